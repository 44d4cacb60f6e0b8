"""Carries out moves of units between backend servers.

A move has these steps: commit the unit as ``moving``, publish that and wait until the
routers have drained it, fence the old owner, commit the new owner, grant the unit to it
and publish. One task does this for all units and commits many units in a transaction.
Each pass starts from the state of all moving units, so that a new coordinator continues
the moves of the previous one from the stored assignment.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from enum import Enum

from returns.pipeline import is_successful

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.hashing import (
    OVERRIDE_PREFIX,
    is_override,
    range_index,
    range_unit,
)
from mulberryrelay_kernel.ids import Epoch, Key, ServerId, ServiceName, UnitId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import (
    Assignment,
    GrantedUnit,
    Unit,
    UnitUpdate,
)
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.states import UnitState

from .assignment import AssignmentStore
from .grants import GrantSender
from .lease import CoordinatorLease
from .membership import Membership, Server
from .placement import MoveReason, PlannedMove
from .sessions import DrainedUnit, RouterSessions

Publish = Callable[[Sequence[UnitUpdate]], None]
Plan = Callable[[Assignment], list[PlannedMove]]
"""Returns the moves that are due. Moves to servers that accept no units are ignored."""
UnitKey = tuple[ServiceName, UnitId]

# Poll period while units are moving, for expired grants and routing leases.
ACTIVE_POLL_MS = 10.0
IDLE_POLL_MS = 100.0
# Limited because planning iterates over all units. A changed server or rule triggers a
# plan at once, so that only changed request rates wait. These are averaged over
# seconds.
PLAN_PERIOD_MS = 500.0
# Pause before a failed store call is retried, so as not to overload a failing store.
STORE_RETRY_MS = 100.0


class MoveStep(Enum):
    """Steps of a move, at which tests interrupt the coordinator."""

    BEFORE_MOVING = "before-moving"
    MOVING_COMMITTED = "moving-committed"
    MOVING_PUBLISHED = "moving-published"
    FENCED = "fenced"
    OWNER_COMMITTED = "owner-committed"
    GRANTED = "granted"


class Move:
    """A move in progress: a unit in state ``moving``."""

    def __init__(self, service: ServiceName, unit: Unit, now_ms: float) -> None:
        self._service = service
        self._unit = unit
        self._started_ms = now_ms
        self._grant_expires_ms: float | None = None

    @property
    def service(self) -> ServiceName:
        return self._service

    @property
    def unit(self) -> Unit:
        return self._unit

    @property
    def started_ms(self) -> float:
        return self._started_ms

    @property
    def drained(self) -> DrainedUnit:
        """The confirmation that each router sends for this move."""
        return DrainedUnit(self._service, self._unit.unit, self._unit.epoch)

    @property
    def granted(self) -> GrantedUnit:
        """The old owner's grant, which has to end."""
        return GrantedUnit(self._unit.unit, self._unit.epoch)

    @property
    def grant_expires_ms(self) -> float | None:
        """Expiry of the old owner's last grant; None while the owner is live."""
        return self._grant_expires_ms

    def record_grant_expiry(self, grant_expires_ms: float) -> None:
        """Record that the old owner was lost or restarted, and its grant's expiry."""
        self._grant_expires_ms = grant_expires_ms


class MoveExecutor:
    """Carries out all moves of one term of the coordinator."""

    def __init__(
        self,
        options: Options,
        store: AssignmentStore,
        lease: CoordinatorLease,
        membership: Membership,
        grants: GrantSender,
        sessions: RouterSessions,
        plan: Plan,
        publish: Publish,
        changes_allowed_ms: float,
        clock: Clock,
        at_step: Callable[[MoveStep], Awaitable[None]] | None = None,
    ) -> None:
        self._options = options
        self._store = store
        self._lease = lease
        self._membership = membership
        self._grants = grants
        self._sessions = sessions
        self._plan = plan
        self._publish = publish
        self._changes_allowed_ms = changes_allowed_ms
        self._clock = clock
        self._at_step = at_step
        self._units: dict[UnitKey, Unit] = {}
        self._moves: dict[UnitKey, Move] = {}
        # Units whose owner was lost or restarted, with the expiry of its grant.
        self._lost_units: dict[UnitKey, float] = {}
        # Units whose owner restarted. A release by the new process does not cover the
        # previous process, whose grant has to expire.
        self._restarted_units: set[UnitKey] = set()
        # Overrides that are removed at the end of their current move.
        self._ending_overrides: set[UnitKey] = set()
        self._last_plan_ms = 0.0
        # Whether the stored units may differ from ``_units`` after a failed commit.
        self._is_stale = False
        self._woken = asyncio.Event()
        self._assignment: Assignment | None = None

    @property
    def assignment(self) -> Assignment:
        """The last known state of the stored assignment."""
        if self._assignment is None:
            raise RuntimeError("no assignment was applied; call apply_assignment first")
        return self._assignment

    def wake(self) -> None:
        """Check all moves now, e.g. because a router drained a unit."""
        self._woken.set()

    def replan(self) -> None:
        """Plan moves now, because a server or rule has changed."""
        self._last_plan_ms = 0.0
        self._woken.set()

    def apply_assignment(self, assignment: Assignment) -> list[UnitUpdate]:
        """Replace all units by the stored ones; return those that changed."""
        changed = []
        updates = list(_unit_updates(assignment))
        stored = {(update.service, update.unit.unit) for update in updates}
        for service, unit in self._units.keys() - stored:
            removed = Unit(unit, None, self._units[service, unit].epoch)
            updates.append(UnitUpdate(service, removed))
        for update in updates:
            key = (update.service, update.unit.unit)
            if self._units.get(key) == update.unit:
                continue
            self._apply_unit(update)
            changed.append(update)
        self._assignment = assignment
        return changed

    def handle_server_lost(self, server: Server) -> None:
        """Plan to move all units of a lost server once its grant has expired."""
        grant_expires_ms = server.latest_expiry_ms
        for key, unit in self._units.items():
            if unit.owner != server.server_id:
                continue
            self._lost_units[key] = grant_expires_ms
            if key in self._moves:
                self._moves[key].record_grant_expiry(grant_expires_ms)
                self._withdraw_grant(key)
        self.replan()

    def handle_server_restarted(self, server: Server) -> None:
        """Plan to fence and reassign all units of a restarted server."""
        for key, unit in self._units.items():
            if unit.owner == server.server_id:
                self._restarted_units.add(key)
                self._withdraw_grant(key)
        self.handle_server_lost(server)

    def handle_server_returned(self, server: Server) -> None:
        """Let a server that replies again keep its units whose move has not begun."""
        for key, unit in self._units.items():
            if unit.owner != server.server_id or key in self._moves:
                continue
            if key not in self._restarted_units:
                self._lost_units.pop(key, None)

    async def run(self) -> None:
        """Plan, begin and finish moves until cancelled."""
        while True:
            await self._wait_until_due()
            if not self._is_change_allowed():
                continue
            if self._is_stale and not await self._reload():
                await asyncio.sleep(STORE_RETRY_MS / 1000)
                continue
            if not (await self._begin_moves() and await self._finish_moves()):
                await asyncio.sleep(STORE_RETRY_MS / 1000)

    def _is_change_allowed(self) -> bool:
        """Return whether all leases of the previous term have certainly expired."""
        return self._clock() >= self._changes_allowed_ms and self._lease.is_held()

    async def _wait_until_due(self) -> None:
        is_waiting = bool(self._moves) or self._clock() < self._changes_allowed_ms
        period_ms = ACTIVE_POLL_MS if is_waiting else IDLE_POLL_MS
        try:
            async with asyncio.timeout(period_ms / 1000):
                await self._woken.wait()
        except TimeoutError:
            pass
        self._woken.clear()

    async def _begin_moves(self) -> bool:
        """Commit and publish ``moving`` for all planned moves."""
        if self._clock() < self._last_plan_ms + PLAN_PERIOD_MS:
            return True
        self._last_plan_ms = self._clock()
        changes: dict[UnitKey, Unit] = {}
        for move in self._due_moves():
            self._begin_move(move, changes)
        if not changes:
            return True
        updates = [UnitUpdate(service, u) for (service, _), u in changes.items()]
        await self._reach_step(MoveStep.BEFORE_MOVING)
        if not await self._commit(updates):
            return False
        await self._reach_step(MoveStep.MOVING_COMMITTED)
        placed = [u for u in updates if u.unit.state is UnitState.ACTIVE]
        await self._wait_for_grants({update.unit.owner for update in placed})
        self._publish(updates)
        log_event(
            "moves_started",
            units=len(updates) - len(placed),
            placed=len(placed),
            services=_service_names(updates),
        )
        await self._reach_step(MoveStep.MOVING_PUBLISHED)
        return True

    def _due_moves(self) -> list[PlannedMove]:
        """Return the planned moves and those of units of restarted servers.

        The units of a restarted server stay with it, but get a new epoch.
        """
        planned = self._plan(self.assignment)
        planned_keys = {(move.service, move.unit) for move in planned}
        for key in self._lost_units:
            owner = self._units[key].owner
            if key in planned_keys or owner is None or not self._accepts_units(owner):
                continue
            planned.append(PlannedMove(*key, owner, MoveReason.INITIAL))
        return planned

    def _begin_move(self, move: PlannedMove, changes: dict[UnitKey, Unit]) -> None:
        """Add the changes that begin a planned move to those of a transaction."""
        key = (move.service, move.unit)
        unit = self._units.get(key)
        if not self._accepts_units(move.target):
            return
        if unit is None and move.reason is MoveReason.COOLED:
            return
        if unit is not None and unit.owner is None:
            changes[key] = _with_new_owner(unit, move.target)
            return
        if unit is not None and move.reason is not MoveReason.COOLED:
            is_at_target = unit.owner == move.target and key not in self._lost_units
            if unit.state is UnitState.ACTIVE and not is_at_target:
                changes[key] = _as_moving(unit, move.target)
            return
        # An override is created or removed. Its range also gets a new epoch, so that
        # servers refuse requests under the previous grant of the range.
        range_key = self._range_of(key)
        key_range = self._units[range_key]
        if (
            key_range.state is UnitState.MOVING
            or key_range.owner is None
            or range_key in changes
        ):
            return
        if unit is None:
            unit = Unit(move.unit, key_range.owner, key_range.epoch)
        elif unit.state is UnitState.MOVING:
            return
        else:
            self._ending_overrides.add(key)
        changes[key] = _as_moving(unit, move.target)
        changes[range_key] = _as_moving(key_range, key_range.owner)

    def _range_of(self, key: UnitKey) -> UnitKey:
        """Return the range that contains the unit."""
        service, unit = key
        if not is_override(unit):
            return key
        ranges = self._options.services[service].ranges
        name = Key(unit.removeprefix(OVERRIDE_PREFIX))
        return service, range_unit(range_index(name, ranges))

    async def _finish_moves(self) -> bool:
        """Commit, grant and publish the new owners of units that are fenced."""
        changes = self._fenced_changes()
        if not changes:
            return True
        await self._reach_step(MoveStep.FENCED)
        started_ms = min(
            self._moves[change.service, change.unit.unit].started_ms
            for change in changes
        )
        if not await self._commit(changes):
            return False
        await self._reach_step(MoveStep.OWNER_COMMITTED)
        await self._wait_for_grants({change.unit.owner for change in changes})
        await self._reach_step(MoveStep.GRANTED)
        self._publish(changes)
        # Moves that were waiting for these may be due now.
        self.replan()
        log_event(
            "moves_finished",
            units=len(changes),
            services=_service_names(changes),
            pause_ms=round(self._clock() - started_ms, 1),
        )
        return True

    def _fenced_changes(self) -> list[UnitUpdate]:
        """Return the new owners of all units whose old owners are fenced.

        A range and its overrides that move at the same time finish together, since a
        request for an overridden key may still run under the grant of the range.
        """
        fenced = {key: self._is_fenced(move) for key, move in self._moves.items()}
        unfenced_ranges = {
            self._range_of(key) for key, is_fenced in fenced.items() if not is_fenced
        }
        changes = {}
        for key, move in self._moves.items():
            if self._range_of(key) in unfenced_ranges:
                continue
            target = self._target_of(move)
            if target is not None:
                changes[key] = _with_new_owner(move.unit, target)
        for key in self._ending_overrides & changes.keys():
            self._end_override(key, changes)
        return [UnitUpdate(service, unit) for (service, _), unit in changes.items()]

    def _end_override(self, key: UnitKey, changes: dict[UnitKey, Unit]) -> None:
        """Merge a key into its range, if both have the same owner now."""
        override = changes[key]
        key_range = changes.get(self._range_of(key))
        if key_range is None or key_range.owner != override.owner:
            return
        epoch = max(key_range.epoch, override.epoch)
        changes[self._range_of(key)] = Unit(key_range.unit, key_range.owner, epoch)
        changes[key] = Unit(override.unit, None, epoch)

    def _is_fenced(self, move: Move) -> bool:
        """Return whether the old owner can no longer run requests for the unit."""
        unit = move.unit
        if unit.owner is None:
            return True
        drained = self._sessions.have_drained(move.drained)
        checks_grants = self._options.services[move.service].checks_grants
        grants = self._grants.for_server(unit.owner)
        key = (move.service, unit.unit)
        if (
            grants.is_released(unit.unit, unit.epoch)
            and key not in self._restarted_units
        ):
            return drained or checks_grants
        server = self._membership.servers.get(unit.owner)
        is_gone = server is None or server.is_lost or move.grant_expires_ms is not None
        if not is_gone:
            if drained and not grants.is_revocation_requested(unit.unit, unit.epoch):
                grants.revoke([move.granted])
            return False
        if unit.unit in grants.wanted_units:
            # The unit was granted again since the loss. Withdraw it, so that the grant
            # is not renewed and expires.
            self._withdraw_grant(key)
            move.record_grant_expiry(
                server.latest_expiry_ms if server else self._clock()
            )
        if not checks_grants:
            # The expiry of its grant does not stop such a server; only the routers do.
            return drained
        return self._clock() >= (move.grant_expires_ms or self._changes_allowed_ms)

    def _target_of(self, move: Move) -> ServerId | None:
        """Return the planned next owner, or another server if it accepts no units."""
        target = move.unit.next_owner
        if target is not None and self._accepts_units(target):
            return target
        candidates = [
            server.server_id
            for server in self._membership.servers.values()
            if server.entry.service == move.service and server.accepts_units
        ]
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda name: (len(self._grants.for_server(name).wanted_units), name),
        )

    def _accepts_units(self, server: ServerId) -> bool:
        record = self._membership.servers.get(server)
        return record is not None and record.accepts_units

    async def _wait_for_grants(self, owners: Iterable[ServerId | None]) -> None:
        """Wait until new owners confirmed their grants, for at most a command timeout.

        A server refuses a request that arrives before the grant, and the request then
        has to be retried.
        """
        waits = [
            self._grants.for_server(owner).wait_until_confirmed()
            for owner in owners
            if owner is not None
        ]
        try:
            async with asyncio.timeout(self._options.timing.order_timeout_ms / 1000):
                await asyncio.gather(*waits)
        except TimeoutError:
            log_event("grants_unconfirmed", servers=sorted(filter(None, owners)))

    async def _commit(self, changes: Sequence[UnitUpdate]) -> bool:
        """Write changes; apply them to the local state and grants if committed."""
        result = await self._store.commit(changes)
        if not is_successful(result):
            failure = result.failure()
            log_event("commit_failed", reason=failure.value, units=len(changes))
            # With several transactions, some may be stored in spite of the failure.
            self._is_stale = True
            return False
        for change in changes:
            self._apply_unit(change)
        self._assignment = self._build_assignment()
        return True

    async def _reload(self) -> bool:
        result = await self._store.load()
        if not is_successful(result):
            return False
        changed = self.apply_assignment(result.unwrap())
        self._is_stale = False
        log_event("assignment_read_back", changed_units=len(changed))
        if changed:
            await self._wait_for_grants({change.unit.owner for change in changed})
            self._publish(changed)
        return True

    def _apply_unit(self, update: UnitUpdate) -> None:
        """Apply a unit that is known to be stored."""
        key = (update.service, update.unit.unit)
        unit = update.unit
        previous = self._units.get(key)
        self._units[key] = unit
        if unit.state is UnitState.MOVING:
            self._apply_moving(key, unit)
            return
        move = self._moves.pop(key, None)
        self._ending_overrides.discard(key)
        if move is not None:
            self._sessions.discard_drained(move.drained)
        if previous is not None and previous.owner is not None:
            self._grants.for_server(previous.owner).discard(
                [GrantedUnit(previous.unit, previous.epoch)]
            )
        if previous is None or previous.epoch != unit.epoch:
            self._lost_units.pop(key, None)
            self._restarted_units.discard(key)
        if unit.owner is not None:
            self._grants.for_server(unit.owner).grant(
                [GrantedUnit(unit.unit, unit.epoch)]
            )
        elif is_override(unit.unit):
            del self._units[key]

    def _apply_moving(self, key: UnitKey, unit: Unit) -> None:
        move = Move(key[0], unit, self._clock())
        self._moves[key] = move
        if key in self._lost_units:
            move.record_grant_expiry(self._lost_units[key])
        if unit.owner is None:
            return
        is_known = unit.owner in self._membership.servers
        if key in self._lost_units or not is_known:
            # A server that returns or is discovered later must not get a grant for a
            # unit that moves away from it.
            self._withdraw_grant(key)

    def _withdraw_grant(self, key: UnitKey) -> None:
        """Remove a unit from its owner's list.

        Also sends the owner a revocation, unless it restarted: a new process cannot
        release a grant of the previous one.
        """
        unit = self._units[key]
        if unit.owner is None:
            return
        grants = self._grants.for_server(unit.owner)
        granted = [GrantedUnit(unit.unit, unit.epoch)]
        if key in self._restarted_units:
            grants.discard(granted)
        else:
            grants.revoke(granted)

    def _build_assignment(self) -> Assignment:
        """Return the assignment with the current units."""
        current = self.assignment
        ranges = {
            service: [self._units[service, unit.unit] for unit in units]
            for service, units in current.ranges.items()
        }
        overrides: dict[ServiceName, dict[Key, Unit]] = {}
        for (service, name), unit in self._units.items():
            if is_override(name):
                key = Key(name.removeprefix(OVERRIDE_PREFIX))
                overrides.setdefault(service, {})[key] = unit
        return Assignment(current.version, ranges, overrides)

    async def _reach_step(self, step: MoveStep) -> None:
        if self._at_step is not None:
            await self._at_step(step)


def _unit_updates(assignment: Assignment) -> Iterable[UnitUpdate]:
    for service, units in assignment.ranges.items():
        for unit in units:
            yield UnitUpdate(service, unit)
    for service, overrides in assignment.overrides.items():
        for unit in overrides.values():
            yield UnitUpdate(service, unit)


def _as_moving(unit: Unit, target: ServerId) -> Unit:
    return Unit(unit.unit, unit.owner, unit.epoch, UnitState.MOVING, target)


def _with_new_owner(unit: Unit, target: ServerId) -> Unit:
    return Unit(unit.unit, target, Epoch(unit.epoch + 1))


def _service_names(changes: Sequence[UnitUpdate]) -> str:
    return ",".join(sorted({change.service for change in changes}))

"""Moves of units between backend servers.

One task takes every unit through its move, many units in each transaction: commit
``moving``, let the routers drain, fence the old owner, commit the new owner, grant,
publish. Each pass looks at the state of all moving units, so that the move of a former
coordinator is taken up where the table shows it.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from enum import Enum

from returns.pipeline import is_successful

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.hashing import OVERRIDE_PREFIX, is_override
from mulberryrelay_kernel.ids import Epoch, Key, ServerId, ServiceName, UnitId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import (
    Assignment,
    GrantedUnit,
    Unit,
    UnitUpdate,
)
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.states import ServerState, StoreFailure, UnitState

from .assignment import AssignmentStore
from .grants import GrantKeeper
from .lease import CoordinatorLease
from .membership import Membership, Server
from .placement import PlannedMove
from .sessions import DrainedUnit, RouterSessions

Publish = Callable[[Sequence[UnitUpdate]], None]
Plan = Callable[[Assignment], list[PlannedMove]]
UnitKey = tuple[ServiceName, UnitId]

# Longest time until an expired grant or routing lease is noticed.
PENDING_PERIOD_MS = 10.0
IDLE_PERIOD_MS = 100.0
# Pause after a failed write, so that a store with trouble is not flooded.
STORE_PAUSE_MS = 100.0


class MoveStep(Enum):
    """Points of a move at which tests stop the coordinator."""

    BEFORE_MOVING = "before-moving"
    MOVING_COMMITTED = "moving-committed"
    MOVING_PUBLISHED = "moving-published"
    FENCED = "fenced"
    OWNER_COMMITTED = "owner-committed"
    GRANTED = "granted"


class Move:
    """A unit in state ``moving``."""

    def __init__(self, service: ServiceName, unit: Unit, now_ms: float) -> None:
        self._service = service
        self._unit = unit
        self._started_ms = now_ms
        self._void_at_ms: float | None = None

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
        """What routers confirm for this move."""
        return DrainedUnit(self._service, self._unit.unit, self._unit.epoch)

    @property
    def granted(self) -> GrantedUnit:
        """The grant that has to end."""
        return GrantedUnit(self._unit.unit, self._unit.epoch)

    @property
    def void_at_ms(self) -> float | None:
        """When the old owner's grant has expired; None while the owner is live."""
        return self._void_at_ms

    def note_lost(self, void_at_ms: float) -> None:
        """Record that the old owner was lost or has started anew."""
        self._void_at_ms = void_at_ms


class Moves:
    """The moves of one term."""

    def __init__(
        self,
        options: Options,
        store: AssignmentStore,
        lease: CoordinatorLease,
        membership: Membership,
        grants: GrantKeeper,
        sessions: RouterSessions,
        plan: Plan,
        publish: Publish,
        first_change_ms: float,
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
        self._first_change_ms = first_change_ms
        self._clock = clock
        self._at_step = at_step
        self._units: dict[UnitKey, Unit] = {}
        self._ranges: dict[ServiceName, list[UnitId]] = {}
        self._moves: dict[UnitKey, Move] = {}
        self._orphans: dict[UnitKey, float] = {}
        self._is_stale = False
        self._woken = asyncio.Event()
        self._assignment: Assignment | None = None

    @property
    def assignment(self) -> Assignment:
        """The assignment that the table is known to hold."""
        if self._assignment is None:
            raise RuntimeError("the assignment was not adopted yet")
        return self._assignment

    def wake(self) -> None:
        """Look at all moves now: a server, router or rule has changed."""
        self._woken.set()

    def adopt(self, assignment: Assignment) -> list[UnitUpdate]:
        """Take over what the table holds; return the units that differ."""
        changed = []
        for update in _updates_of(assignment):
            key = (update.service, update.unit.unit)
            if self._units.get(key) == update.unit:
                continue
            self._apply(update)
            changed.append(update)
        self._assignment = assignment
        return changed

    def note_lost(self, server: Server) -> None:
        """Have all units of a lost server moved once its grant has expired."""
        void_at_ms = server.latest_expiry_ms
        for key, unit in self._units.items():
            if unit.owner != server.server:
                continue
            self._orphans[key] = void_at_ms
            if key in self._moves:
                self._moves[key].note_lost(void_at_ms)
        self.wake()

    def note_new_incarnation(self, server: Server) -> None:
        """Have the units of a server that started anew fenced and assigned again."""
        self._grants.of(server.server).forget(
            GrantedUnit(unit.unit, unit.epoch)
            for unit in self._units.values()
            if unit.owner == server.server
        )
        self.note_lost(server)

    def note_returned(self, server: Server) -> None:
        """Keep units that no transaction has taken from a server that is back."""
        for key, unit in self._units.items():
            if unit.owner == server.server and key not in self._moves:
                self._orphans.pop(key, None)

    async def run(self) -> None:
        """Take all moves forward until cancelled."""
        while True:
            await self._wait_for_work()
            if not self._may_change():
                continue
            if self._is_stale and not await self._reload():
                await asyncio.sleep(STORE_PAUSE_MS / 1000)
                continue
            if not (await self._begin_moves() and await self._finish_moves()):
                await asyncio.sleep(STORE_PAUSE_MS / 1000)

    def _may_change(self) -> bool:
        """Return whether leases of the previous term are certainly over."""
        return self._clock() >= self._first_change_ms and self._lease.is_held()

    async def _wait_for_work(self) -> None:
        period_ms = PENDING_PERIOD_MS if self._moves else IDLE_PERIOD_MS
        try:
            async with asyncio.timeout(period_ms / 1000):
                await self._woken.wait()
        except TimeoutError:
            pass
        self._woken.clear()

    async def _begin_moves(self) -> bool:
        """Commit and publish ``moving`` for all planned moves."""
        changes = []
        initial = []
        for move in self._planned():
            unit = self._units.get((move.service, move.unit))
            if unit is None or unit.state is UnitState.MOVING:
                continue
            if unit.owner is None:
                initial.append(_moved(move.service, unit, move.target))
                continue
            if unit.owner == move.target and self._is_whole(move.service, unit):
                continue
            changes.append(
                UnitUpdate(
                    move.service,
                    Unit(
                        unit.unit,
                        unit.owner,
                        unit.epoch,
                        UnitState.MOVING,
                        move.target,
                    ),
                )
            )
        if not changes and not initial:
            return True
        await self._reach(MoveStep.BEFORE_MOVING)
        if not await self._commit([*changes, *initial]):
            return False
        await self._reach(MoveStep.MOVING_COMMITTED)
        if initial:
            await self._settle({change.unit.owner for change in initial})
        self._publish([*changes, *initial])
        if changes:
            log_event("moves_started", units=len(changes), services=_services(changes))
        if initial:
            log_event("units_assigned", units=len(initial), services=_services(initial))
        await self._reach(MoveStep.MOVING_PUBLISHED)
        return True

    def _planned(self) -> list[PlannedMove]:
        return self._plan(self.assignment)

    def _is_whole(self, service: ServiceName, unit: Unit) -> bool:
        return (service, unit.unit) not in self._orphans

    async def _finish_moves(self) -> bool:
        """Fence the old owners; commit, grant and publish what is fenced."""
        ready = [move for move in self._moves.values() if self._is_fenced(move)]
        changes = []
        for move in ready:
            target = self._target_of(move)
            if target is not None:
                changes.append(_moved(move.service, move.unit, target))
        if not changes:
            return True
        await self._reach(MoveStep.FENCED)
        started_ms = min(
            self._moves[change.service, change.unit.unit].started_ms
            for change in changes
        )
        if not await self._commit(changes):
            return False
        await self._reach(MoveStep.OWNER_COMMITTED)
        await self._settle({change.unit.owner for change in changes})
        await self._reach(MoveStep.GRANTED)
        self._publish(changes)
        log_event(
            "moves_finished",
            units=len(changes),
            services=_services(changes),
            pause_ms=round(self._clock() - started_ms, 1),
        )
        return True

    def _is_fenced(self, move: Move) -> bool:
        """Return whether the old owner can run no request for the unit any more."""
        unit = move.unit
        if unit.owner is None:
            return True
        drained = self._sessions.have_drained(move.drained)
        checks = self._options.services[move.service].checks_grants
        server = self._membership.servers.get(unit.owner)
        if self._grants.of(unit.owner).is_released(unit.unit, unit.epoch):
            return drained or checks
        if server is None or server.is_lost or move.void_at_ms is not None:
            if not checks:
                return drained
            return self._clock() >= (move.void_at_ms or self._first_change_ms)
        if drained:
            grants = self._grants.of(unit.owner)
            if not grants.is_asked(unit.unit, unit.epoch):
                grants.revoke([move.granted])
        return False

    def _target_of(self, move: Move) -> ServerId | None:
        """Return the next owner, or another server if that one is gone."""
        target = move.unit.next_owner
        if target is not None and self._takes_units(target):
            return target
        candidates = [
            server.server
            for server in self._membership.servers.values()
            if server.entry.service == move.service and server.takes_units
        ]
        if not candidates:
            return None
        return min(
            candidates, key=lambda name: (len(self._grants.of(name).wanted), name)
        )

    def _takes_units(self, server: ServerId) -> bool:
        known = self._membership.servers.get(server)
        return known is not None and known.takes_units

    async def _settle(self, owners: Iterable[ServerId | None]) -> None:
        """Wait until new owners have their grants, or for one order's time.

        A request that comes before the grant would be refused, and has to wait.
        """
        waits = [
            self._grants.of(owner).wait_until_settled()
            for owner in owners
            if owner is not None
        ]
        try:
            async with asyncio.timeout(self._options.timing.order_timeout_ms / 1000):
                await asyncio.gather(*waits)
        except TimeoutError:
            log_event("grant_late", servers=sorted(filter(None, owners)))

    async def _commit(self, changes: Sequence[UnitUpdate]) -> bool:
        """Write changes; apply them here and to the grants if they are committed."""
        result = await self._store.commit(changes)
        if not is_successful(result):
            failure = result.failure()
            log_event("commit_failed", reason=failure.value, units=len(changes))
            # What the table holds is unknown after any failure but a refusal.
            self._is_stale = failure is not StoreFailure.UNAVAILABLE
            return False
        for change in changes:
            self._apply(change)
        self._assignment = self._assembled()
        return True

    async def _reload(self) -> bool:
        result = await self._store.load()
        if not is_successful(result):
            return False
        changed = self.adopt(result.unwrap())
        self._is_stale = False
        log_event("assignment_read_back", changed_units=len(changed))
        if changed:
            await self._settle({change.unit.owner for change in changed})
            self._publish(changed)
        return True

    def _apply(self, update: UnitUpdate) -> None:
        """Apply a unit that the table is known to hold."""
        key = (update.service, update.unit.unit)
        unit = update.unit
        known = self._units.get(key)
        self._units[key] = unit
        granted = [GrantedUnit(unit.unit, unit.epoch)]
        if unit.state is UnitState.MOVING:
            self._apply_moving(key, unit, is_taken_over=known is None)
            return
        move = self._moves.pop(key, None)
        if move is not None:
            self._sessions.forget_drained(move.drained)
        if known is not None and known.owner is not None:
            self._grants.of(known.owner).forget([GrantedUnit(known.unit, known.epoch)])
        if known is None or known.epoch != unit.epoch:
            self._orphans.pop(key, None)
        if unit.owner is not None:
            self._grants.of(unit.owner).grant(granted)

    def _apply_moving(self, key: UnitKey, unit: Unit, is_taken_over: bool) -> None:
        move = Move(key[0], unit, self._clock())
        self._moves[key] = move
        if key in self._orphans:
            move.note_lost(self._orphans[key])
        if unit.owner is None:
            return
        if key in self._orphans or is_taken_over:
            # The former coordinator may have revoked the unit already.
            self._grants.of(unit.owner).revoke([move.granted])

    def _assembled(self) -> Assignment:
        """Return the assignment as a record."""
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

    async def _reach(self, step: MoveStep) -> None:
        if self._at_step is not None:
            await self._at_step(step)


def _updates_of(assignment: Assignment) -> Iterable[UnitUpdate]:
    for service, units in assignment.ranges.items():
        for unit in units:
            yield UnitUpdate(service, unit)
    for service, overrides in assignment.overrides.items():
        for unit in overrides.values():
            yield UnitUpdate(service, unit)


def _moved(service: ServiceName, unit: Unit, target: ServerId) -> UnitUpdate:
    return UnitUpdate(service, Unit(unit.unit, target, Epoch(unit.epoch + 1)))


def _services(changes: Sequence[UnitUpdate]) -> str:
    return ",".join(sorted({change.service for change in changes}))

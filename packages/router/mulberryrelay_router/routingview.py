"""The router's local view: owners of units, backend servers, and the routing lease.

A unit is a key range, or a single key with an override. The coordinator client updates
the view. The request path looks up the owner of each request's unit here, and checks
the routing lease directly before each send.
"""

import asyncio
from collections.abc import Iterable, Sequence, Set

from reactivex import Observable
from reactivex.subject import Subject

from mulberryrelay_kernel.clock import Clock, monotonic_ms
from mulberryrelay_kernel.hashing import (
    OVERRIDE_PREFIX,
    RANGE_PREFIX,
    is_override,
    range_index,
)
from mulberryrelay_kernel.ids import (
    AssignmentVersion,
    Key,
    RulesVersion,
    ServerId,
    ServiceName,
    Term,
)
from mulberryrelay_kernel.messages import (
    Assignment,
    ServerEntry,
    Unit,
    UnitUpdate,
)


class RoutingView:
    """The last view that the coordinator sent, and the routing lease under it."""

    def __init__(self, clock: Clock = monotonic_ms) -> None:
        self._clock = clock
        self._term = Term(0)
        self._assignment = Assignment(AssignmentVersion(0), {}, {})
        self._rules_version = RulesVersion(0)
        self._servers: dict[ServerId, ServerEntry] = {}
        self._servers_by_service: dict[ServiceName, list[ServerEntry]] = {}
        self._lease_expires_ms = 0.0
        # A lease that becomes valid once these versions are applied: term, assignment
        # version, rules version and expiry.
        self._pending_lease = (Term(0), AssignmentVersion(0), RulesVersion(0), 0.0)
        self._unit_changes: Subject[UnitUpdate] = Subject()
        self._server_changes: Subject[ServerEntry] = Subject()
        self._departures: Subject[Set[ServerId]] = Subject()
        self._changes: Subject[None] = Subject()
        self._changed = asyncio.Event()

    @property
    def assignment(self) -> Assignment:
        """The last applied assignment."""
        return self._assignment

    @property
    def term(self) -> Term:
        """Term of the coordinator that sent the last applied view."""
        return self._term

    @property
    def rules_version(self) -> RulesVersion:
        """Version of the last applied rules."""
        return self._rules_version

    @property
    def changes(self) -> Observable[None]:
        """Emits after each change of the view, and on gain or revocation of a lease."""
        return self._changes

    @property
    def unit_changes(self) -> Observable[UnitUpdate]:
        """Emits each changed unit once the assignment contains the change."""
        return self._unit_changes

    @property
    def server_changes(self) -> Observable[ServerEntry]:
        """Emits each changed backend server once the view contains the change."""
        return self._server_changes

    @property
    def departures(self) -> Observable[Set[ServerId]]:
        """Emits the backend servers that the view no longer contains."""
        return self._departures

    @property
    def lease_left_ms(self) -> float:
        """Remaining milliseconds of the routing lease; negative after its expiry."""
        return self._lease_expires_ms - self._clock()

    def has_lease(self) -> bool:
        """Return whether the routing lease is valid: this router may send requests."""
        return self._clock() < self._lease_expires_ms

    def extend_lease(self, expires_ms: float) -> None:
        """Extend the routing lease to ``expires_ms`` on this process's clock."""
        had_lease = self.has_lease()
        self._lease_expires_ms = max(self._lease_expires_ms, expires_ms)
        if not had_lease:
            self._notify()

    def set_pending_lease(
        self,
        expires_ms: float,
        term: Term,
        assignment_version: AssignmentVersion,
        rules_version: RulesVersion,
    ) -> None:
        """Extend the routing lease once at least these versions are applied."""
        self._pending_lease = (term, assignment_version, rules_version, expires_ms)
        self._apply_pending_lease()

    def revoke_lease(self) -> None:
        """Give up the routing lease at once."""
        self._lease_expires_ms = 0.0
        self._pending_lease = (Term(0), AssignmentVersion(0), RulesVersion(0), 0.0)
        self._notify()

    def find_unit(self, service: ServiceName, key: Key) -> Unit | None:
        """Return the unit that contains ``key``, or None if the view has none."""
        override = self._assignment.overrides.get(service, {}).get(key)
        if override is not None:
            return override
        units = self._assignment.ranges.get(service)
        if not units:
            return None
        return units[range_index(key, len(units))]

    def server(self, server: ServerId) -> ServerEntry | None:
        """Return a backend server by id, or None if the view does not list it."""
        return self._servers.get(server)

    def servers(self) -> list[ServerEntry]:
        """Return all backend servers of the view."""
        return list(self._servers.values())

    def servers_of(self, service: ServiceName) -> list[ServerEntry]:
        """Return the backend servers of a service."""
        return self._servers_by_service.get(service, [])

    def apply_assignment(self, term: Term, assignment: Assignment) -> None:
        """Replace the whole assignment by that of a coordinator's term."""
        updates = list(_differences(self._assignment, assignment))
        self._term = term
        self._assignment = assignment
        for update in updates:
            self._unit_changes.on_next(update)
        self._apply_pending_lease()
        self._notify()

    def apply_units(
        self, version: AssignmentVersion, updates: Sequence[UnitUpdate]
    ) -> None:
        """Apply changed units; remove each override that comes without an owner."""
        current = self._assignment
        ranges = dict(current.ranges)
        overrides = dict(current.overrides)
        for service in {update.service for update in updates}:
            ranges[service] = list(current.ranges.get(service, []))
            overrides[service] = dict(current.overrides.get(service, {}))
        for update in updates:
            _apply_unit(update.unit, ranges[update.service], overrides[update.service])
        self._assignment = Assignment(version, ranges, overrides)
        for update in updates:
            self._unit_changes.on_next(update)
        self._apply_pending_lease()
        self._notify()

    def apply_rules(self, version: RulesVersion) -> None:
        """Record that this process now uses a version of the rules."""
        self._rules_version = version
        self._apply_pending_lease()

    def revoke_rules(self) -> None:
        """Revoke the lease until rules are applied again.

        Call it when applying the current version has failed in this process.
        """
        self._rules_version = RulesVersion(0)
        self.revoke_lease()

    def apply_servers(self, servers: Iterable[ServerEntry]) -> None:
        """Replace the list of backend servers."""
        previous = self._servers
        self._servers = {entry.server: entry for entry in servers}
        self._servers_by_service = {}
        for entry in self._servers.values():
            self._servers_by_service.setdefault(entry.service, []).append(entry)
            if previous.get(entry.server) != entry:
                self._server_changes.on_next(entry)
        left = previous.keys() - self._servers.keys()
        if left:
            self._departures.on_next(left)
        self._notify()

    async def wait_for_change(self, timeout_ms: float) -> bool:
        """Wait for a change; return whether one occurred within the timeout."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_ms / 1000)
        except TimeoutError:
            return False
        return True

    def _apply_pending_lease(self) -> None:
        term, assignment_version, rules_version, expires_ms = self._pending_lease
        if term != self._term or assignment_version > self._assignment.version:
            return
        if rules_version <= self._rules_version:
            self.extend_lease(expires_ms)

    def _notify(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
        self._changes.on_next(None)


def _apply_unit(unit: Unit, ranges: list[Unit], overrides: dict[Key, Unit]) -> None:
    if not is_override(unit.unit):
        ranges[int(unit.unit.removeprefix(RANGE_PREFIX))] = unit
        return
    key = Key(unit.unit.removeprefix(OVERRIDE_PREFIX))
    if unit.owner is None:
        overrides.pop(key, None)
        return
    overrides[key] = unit


def _differences(before: Assignment, after: Assignment) -> Iterable[UnitUpdate]:
    """Yield new and changed units, and removed overrides without an owner."""
    for service, units in after.ranges.items():
        previous = before.ranges.get(service, [])
        for index, unit in enumerate(units):
            if index >= len(previous) or previous[index] != unit:
                yield UnitUpdate(service, unit)
    for service, overrides in after.overrides.items():
        for key, unit in overrides.items():
            if before.overrides.get(service, {}).get(key) != unit:
                yield UnitUpdate(service, unit)
    for service, overrides in before.overrides.items():
        for key in overrides.keys() - after.overrides.get(service, {}).keys():
            removed = overrides[key]
            yield UnitUpdate(service, Unit(removed.unit, None, removed.epoch))

"""The router's view: owners of units, backend servers, and the routing lease.

The peer task writes the view, the request path reads it. A request looks its unit up
and checks the routing lease directly before each send.
"""

import asyncio
from collections.abc import Iterable

from reactivex import Observable
from reactivex.subject import Subject

from mulberryrelay_kernel.clock import Clock, monotonic_ms
from mulberryrelay_kernel.hashing import range_index
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
    """What this router knows about ownership and backend servers."""

    def __init__(self, clock: Clock = monotonic_ms) -> None:
        self._clock = clock
        self._term = Term(0)
        self._assignment = Assignment(AssignmentVersion(0), {}, {})
        self._rules_version = RulesVersion(0)
        self._servers: dict[ServerId, ServerEntry] = {}
        self._by_service: dict[ServiceName, list[ServerEntry]] = {}
        self._lease_until_ms = 0.0
        self._unit_changes: Subject[UnitUpdate] = Subject()
        self._server_changes: Subject[ServerEntry] = Subject()
        self._changed = asyncio.Event()

    @property
    def assignment(self) -> Assignment:
        """The assignment applied last."""
        return self._assignment

    @property
    def term(self) -> Term:
        """Term of the coordinator whose view was applied last."""
        return self._term

    @property
    def rules_version(self) -> RulesVersion:
        """Version of the rules applied last."""
        return self._rules_version

    @property
    def unit_changes(self) -> Observable[UnitUpdate]:
        """Emits each changed unit after it was applied."""
        return self._unit_changes

    @property
    def server_changes(self) -> Observable[ServerEntry]:
        """Emits each changed backend server after it was applied."""
        return self._server_changes

    @property
    def lease_left_ms(self) -> float:
        """Milliseconds left of the routing lease; negative once it has expired."""
        return self._lease_until_ms - self._clock()

    def has_lease(self) -> bool:
        """Return whether this router may send requests now."""
        return self._clock() < self._lease_until_ms

    def extend_lease(self, until_ms: float) -> None:
        """Extend the routing lease to ``until_ms`` on this process's clock."""
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        self._notify()

    def revoke_lease(self) -> None:
        """Give the routing lease up at once."""
        self._lease_until_ms = 0.0
        self._notify()

    def unit_of(self, service: ServiceName, key: Key) -> Unit | None:
        """Return the unit that contains ``key``, or None if none is known."""
        override = self._assignment.overrides.get(service, {}).get(key)
        if override is not None:
            return override
        units = self._assignment.ranges.get(service)
        if not units:
            return None
        return units[range_index(key, len(units))]

    def server(self, server: ServerId) -> ServerEntry | None:
        """Return a backend server by id."""
        return self._servers.get(server)

    def servers(self) -> list[ServerEntry]:
        """Return all known backend servers."""
        return list(self._servers.values())

    def servers_of(self, service: ServiceName) -> list[ServerEntry]:
        """Return the known backend servers of a service."""
        return self._by_service.get(service, [])

    def apply_assignment(self, term: Term, assignment: Assignment) -> None:
        """Replace the whole assignment."""
        self._term = term
        self._assignment = assignment
        for service, units in assignment.ranges.items():
            for unit in units:
                self._unit_changes.on_next(UnitUpdate(service, unit))
        self._notify()

    def apply_servers(self, servers: Iterable[ServerEntry]) -> None:
        """Replace the list of backend servers."""
        known = self._servers
        self._servers = {entry.server: entry for entry in servers}
        self._by_service = {}
        for entry in self._servers.values():
            self._by_service.setdefault(entry.service, []).append(entry)
            if known.get(entry.server) != entry:
                self._server_changes.on_next(entry)
        self._notify()

    async def wait_for_change(self, timeout_ms: float) -> bool:
        """Wait for any change; return whether one came within the timeout."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_ms / 1000)
        except TimeoutError:
            return False
        return True

    def _notify(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

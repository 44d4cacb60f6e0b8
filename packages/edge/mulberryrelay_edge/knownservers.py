"""Servers with keys that this router has ever seen registered.

A leader still sends commands to servers that are no longer registered. After a restore
of the store, it has to know which servers may have grants that the store has lost.
"""

from collections.abc import Sequence

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId, ServiceName
from mulberryrelay_kernel.states import ServerState

from .lease import LEASE_MS
from .messages import BackendServer
from .tablefollower import StoreRestored
from .unreachableservers import Incarnation

FORGET_MS = 120_000.0
"""Time after its removal from which a server is forgotten; its grants have expired."""


class KnownServers:
    """The last entry of each incarnation, and which of them may have lost grants."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[Incarnation, BackendServer] = {}
        self._registered: set[Incarnation] = set()
        self._leaving_ms: dict[Incarnation, float] = {}
        """Time from which the leader knows that an incarnation drains or is removed.

        It moves no more keys to such a server.
        """
        self._informed_restores = 0
        """Number of the last restore before which the leader had told all it knew."""
        self._left_before_restore: frozenset[Incarnation] = frozenset()
        """Incarnations that were leaving when the leader lost the store before it."""

    def entry(self, incarnation: Incarnation) -> BackendServer | None:
        """Return the last known entry of an incarnation."""
        return self._entries.get(incarnation)

    def record(self, server: BackendServer) -> None:
        """Record the entry of a server that gets a grant."""
        self._entries[server.server, server.started_ms] = server

    def set_registered(
        self, servers: Sequence[BackendServer], is_known_to_leader: bool
    ) -> None:
        """Record all servers that are registered now.

        ``is_known_to_leader`` tells whether this router leads or got them from the
        leader.
        """
        leaving_ms = self._clock()
        if not is_known_to_leader:
            # A leader that misses changes of the store loses its lease.
            leaving_ms += LEASE_MS
        registered = set()
        serving = set()
        for server in servers:
            self.record(server)
            incarnation = (server.server, server.started_ms)
            registered.add(incarnation)
            if server.state is not ServerState.DRAINING:
                serving.add(incarnation)
        for incarnation in (self._registered | registered) - serving:
            self._leaving_ms.setdefault(incarnation, leaving_ms)
        for incarnation in serving:
            self._leaving_ms.pop(incarnation, None)
        self._registered = registered
        self._forget_removed()

    def record_restore(self, restored: StoreRestored) -> None:
        """Record a restore of the store, before entries are read from it."""
        informed_until_ms = restored.informed_until_ms
        if informed_until_ms is None:
            return
        self._informed_restores = restored.restores
        self._left_before_restore = frozenset(
            incarnation
            for incarnation, leaving_ms in self._leaving_ms.items()
            if leaving_ms <= informed_until_ms
        )

    def knew_all_before(self, restores: int) -> bool:
        """Return whether the leader had told all it knew before a restore."""
        return restores == self._informed_restores

    def possible_owners(
        self, service: ServiceName, restores: int
    ) -> list[BackendServer]:
        """Return the servers that may own keys by ranges that a restore lost.

        A server that this router has never seen may be missing, unless
        ``knew_all_before``. An incarnation that was followed by another one has ended,
        and a command to it would reach the other one.
        """
        latest_start_ms: dict[ServerId, int] = {}
        for name, started_ms in self._entries:
            latest_start_ms[name] = max(started_ms, latest_start_ms.get(name, 0))
        owners = []
        for incarnation, server in self._entries.items():
            if server.service != service:
                continue
            if server.started_ms < latest_start_ms[server.server]:
                continue
            has_left = incarnation in self._left_before_restore
            if has_left and self.knew_all_before(restores):
                continue
            owners.append(server)
        return owners

    def _forget_removed(self) -> None:
        oldest_ms = self._clock() - FORGET_MS
        for incarnation, leaving_ms in list(self._leaving_ms.items()):
            if incarnation in self._registered or leaving_ms >= oldest_ms:
                continue
            del self._leaving_ms[incarnation]
            del self._entries[incarnation]

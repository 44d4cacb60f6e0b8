"""Tracks which servers are cold or may be, and how many requests they may get.

A server that has just started sustains only a few requests per second and crashes well
above that. Its entry states how long it stays cold. A server whose connections broke
may have restarted under the same id: a request names only the id, so the new process
would run it. Until it cannot be cold any more it counts as cold.
"""

from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from math import inf

import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre, ServerId, ServiceName
from mulberryrelay_kernel.logs import log_event

from .messages import BackendServer, ServerRefusal, Service
from .serverrefusals import ServerRefusals
from .storeversion import restores_of

COLD_MARGIN_MS = 200.0
"""Time added to the end of coldness, for clocks that run at different speeds."""
UNKNOWN_COLD_START_MS = 5000.0
"""Time for which a server may be cold if the configuration does not state it."""
SETTLED_MS = 1000.0
"""Time after which responses that a server sent before a statement have arrived."""
UNKNOWN_STARTED_MS = -1
"""Start time of a server without an entry."""
REFUSED_MS = 1500.0
"""Time after a refused connection in which the server may start again and be cold then.

Requests are still sent at the rate of a cold server, and show sooner that it is down.
"""
RESET_MS = 500.0
"""Time after a reset connection until it is known whether the process has ended.

Then the server refuses connections. A full server resets them, too, and goes on.
"""
UNKNOWN_DATA_CENTRE = DataCentre("")
MAX_STATES = 4096
"""Servers of which it is remembered how long they are cold."""
PLANNED_SHARE = 0.75
"""Part of the bound that is planned for; the rest is for requests of routers that do
not know yet that the server is cold."""
LATE_FACTOR = 2.3
"""Seconds of reserved times that may be used within one second.

Times are used up to 0.3 s late, their requests are written up to 0.6 s later, and
routers without a leader send 0.4 of the rate.
"""


class Evidence(Enum):
    """How a failed connection shows that a server may have restarted."""

    RESET = "reset"
    """A connection in use was reset; a full server does that as well."""
    CONNECTION_LOST = "connection-lost"
    """An idle connection ended, or none could be opened in time."""
    REFUSED = "refused"
    """No process listens; one may start at any time."""


class ColdBound(msgspec.Struct, frozen=True):
    """What a cold server may get within any second: a multiple of its rate and more."""

    overshoot: float = 1.5
    slack: float = 8.0
    """Requests beyond the multiple of the rate."""


def planned_per_s(cold_per_s: float, bound: ColdBound) -> float:
    """Return the rate for which times are reserved at a cold server.

    It is the rate that the server sustains, unless the bound is too low for that.
    """
    planned = PLANNED_SHARE * (cold_per_s * bound.overshoot + bound.slack)
    # The first of several times within a second takes no interval.
    return max(0.0, min(cold_per_s, (planned - 1) / LATE_FACTOR))


class _State:
    """What is known of a server's coldness."""

    def __init__(self, started_ms: int) -> None:
        self.started_ms = started_ms
        """Start time of the incarnation of the last entry."""
        self.version: int | None = None
        """Version of the row of the last entry."""
        self.value = b""
        """Content of that row."""
        self.stated_ms = -inf
        """Time of the last statement."""
        self.stated_until_ms = -inf
        """Time until which the server is cold by its own statement."""
        self.suspected_until_ms = -inf
        """Time until which it may be cold, as it may have restarted."""

    @property
    def until_ms(self) -> float:
        """Time until which the server counts as cold."""
        return max(self.stated_until_ms, self.suspected_until_ms)


class ColdServers:
    """The servers that are cold or may be."""

    def __init__(
        self,
        services: Callable[[], Mapping[ServiceName, Service]],
        servers: Callable[[], Sequence[BackendServer]],
        bound: Callable[[], ColdBound],
        clock: Clock,
        data_centre: DataCentre = UNKNOWN_DATA_CENTRE,
    ) -> None:
        """``servers`` returns all registered servers.

        ``data_centre`` is the one of this router.
        """
        self._services = services
        self._servers = servers
        self._bound = bound
        self._clock = clock
        self._states: dict[ServerId, _State] = {}
        self._refusals = ServerRefusals(data_centre, clock)

    @property
    def refusals(self) -> ServerRefusals:
        """Which servers lately refused connections."""
        return self._refusals

    def limit_per_s(self, server: BackendServer) -> float | None:
        """Return how many requests a cold server may get, or None if it is warm.

        None as well if the rate of cold servers of the service is not configured.
        """
        state = self._states.get(server.server)
        if state is None or self._clock() >= state.until_ms:
            return None
        cold_per_s = self._cold_per_s(server)
        return planned_per_s(cold_per_s, self._bound()) if cold_per_s else None

    def states_cold(self, server: BackendServer) -> bool:
        """Return whether a server is cold by its own statement."""
        state = self._states.get(server.server)
        return state is not None and self._clock() < state.stated_until_ms

    def left_ms(self, server: BackendServer) -> float:
        """Return how long a server still counts as cold; 0 if it is warm."""
        state = self._states.get(server.server)
        return max(0.0, state.until_ms - self._clock()) if state is not None else 0.0

    @property
    def count(self) -> int:
        """Number of registered servers that are held to the rate of cold servers."""
        return sum(self.limit_per_s(server) is not None for server in self._servers())

    def record_entry(
        self,
        entry: BackendServer,
        version: int,
        is_first_read: bool,
        value: bytes = b"",
    ) -> None:
        """Record what the row of a server states, in this version of the row.

        A row that is read again states nothing new, nor does one that a restored store
        has from before, with the same ``value``. ``is_first_read`` tells whether the
        router has read no entries before, so that the server may have run for long.
        """
        now_ms = self._clock()
        state = self._states.get(entry.server)
        is_same = state is not None and state.started_ms == entry.started_ms
        if state is None or not is_same:
            until_ms = state.until_ms if state is not None else -inf
            state = self._remember(entry)
            # The process that wrote the row may have ended before it was read.
            state.suspected_until_ms = min(until_ms, self._cold_until_ms(entry))
        elif version == state.version:
            return
        is_restored = state.version is not None and (
            restores_of(version) != restores_of(state.version)
        )
        if is_restored and value == state.value:
            state.version = version
            return
        left_ms = entry.slow_start_left_ms
        is_new = not is_same and not is_first_read
        if is_new and not entry.is_coldness_stated and self._cold_per_s(entry):
            left_ms = self._cold_start_ms(entry)
        until_ms = now_ms + left_ms + COLD_MARGIN_MS if left_ms > 0 else -inf
        is_older = state.version is not None and version < state.version
        if is_older or is_restored:
            until_ms = max(until_ms, state.stated_until_ms)
        state.version = version
        state.value = value
        self._state_until(entry, state, until_ms)

    def record_removal(self, server: ServerId) -> None:
        """Record that an entry was removed; the server may restart until it is back."""
        state = self._states.get(server)
        if state is not None:
            state.started_ms = UNKNOWN_STARTED_MS

    def record_response(self, server: BackendServer, cold_ms: float) -> None:
        """Record that a response states how long the server stays cold; 0 if warm."""
        now_ms = self._clock()
        state = self._states.get(server.server) or self._remember(server)
        if cold_ms > 0:
            until_ms = max(state.stated_until_ms, now_ms + cold_ms + COLD_MARGIN_MS)
            self._state_until(server, state, until_ms)
        elif now_ms - state.stated_ms > SETTLED_MS:
            state.stated_until_ms = -inf
            state.suspected_until_ms = -inf

    def record_contact(self, server: BackendServer) -> None:
        """Record a response: the process that sent it has started before now."""
        state = self._states.get(server.server)
        if state is not None and state.suspected_until_ms > self._clock():
            until_ms = self._cold_until_ms(server)
            state.suspected_until_ms = min(state.suspected_until_ms, until_ms)

    def suspect(
        self,
        server: BackendServer,
        reason: str,
        evidence: Evidence = Evidence.CONNECTION_LOST,
        is_own: bool = True,
    ) -> None:
        """Record that a server may have restarted, since a connection to it failed.

        ``is_own`` tells that this router observed it.
        """
        if not self._cold_per_s(server):
            return
        now_ms = self._clock()
        state = self._states.get(server.server) or self._remember(server)
        until_ms = self._cold_until_ms(server)
        if evidence is Evidence.RESET:
            until_ms = now_ms + RESET_MS
        elif evidence is Evidence.REFUSED:
            until_ms += REFUSED_MS
            if is_own:
                self._refusals.record(server.server)
        if now_ms >= state.until_ms and evidence is not Evidence.RESET:
            log_event(
                "server_may_be_cold",
                server=server.server,
                born_ms=server.started_ms,
                reason=reason,
                for_ms=round(until_ms - now_ms),
            )
        state.stated_ms = now_ms
        state.suspected_until_ms = max(state.suspected_until_ms, until_ms)

    def apply_refusals(self, refusals: Sequence[ServerRefusal]) -> None:
        """Suspect the servers that refused connections of other routers."""
        if not refusals:
            return
        new = self._refusals.apply(refusals)
        if not new:
            return
        for server in self._servers():
            if server.server in new:
                self.suspect(server, "refused-others", Evidence.REFUSED, is_own=False)

    def record_lost_connection(self, host: str, port: int) -> None:
        """Suspect the server at an address, which ended an idle connection.

        A new process of an owner of keys has none, and refuses requests with a key.
        """
        for server in self._servers():
            if server.host != host or server.port != port:
                continue
            service = self._services().get(server.service)
            if service is not None and not service.is_keyed:
                self.suspect(server, "connection-lost")

    def _state_until(
        self, server: BackendServer, state: _State, until_ms: float
    ) -> None:
        now_ms = self._clock()
        if until_ms > now_ms >= state.until_ms and self._cold_per_s(server):
            log_event(
                "server_cold",
                server=server.server,
                born_ms=server.started_ms,
                for_ms=round(until_ms - now_ms),
            )
        state.stated_ms = now_ms
        state.stated_until_ms = until_ms

    def _remember(self, server: BackendServer) -> _State:
        self._states.pop(server.server, None)
        state = self._states[server.server] = _State(server.started_ms)
        if len(self._states) > MAX_STATES:
            del self._states[next(iter(self._states))]
        return state

    def _cold_per_s(self, server: BackendServer) -> float:
        service = self._services().get(server.service)
        return service.cold_per_s if service is not None else 0.0

    def _cold_until_ms(self, server: BackendServer) -> float:
        """Return when a server that starts now is certainly warm."""
        return self._clock() + self._cold_start_ms(server) + COLD_MARGIN_MS

    def _cold_start_ms(self, server: BackendServer) -> float:
        service = self._services().get(server.service)
        cold_start_ms = service.cold_start_ms if service is not None else 0.0
        return cold_start_ms or UNKNOWN_COLD_START_MS

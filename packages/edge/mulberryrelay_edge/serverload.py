"""Tracks the load, speed and failures of each server, as observed by this router.

Routers do not see each other's requests. A server states its load in its responses; the
part that exceeds this router's own requests is the estimated load of all other routers.
The estimate decays with the age of the report. The dispatcher chooses servers by it.
"""

import math
from collections.abc import Callable

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId
from mulberryrelay_kernel.logs import log_event

from .machineload import NORMAL_PERCENT, cost_factor
from .messages import BackendServer, LoadReport
from .routelatency import (
    MIN_OVERDUE_MS,
    OVERDUE_FACTOR,
    RouteLatency,
    overdue_after_mean_ms,
)
from .sendwindow import SendWindow
from .serverspeed import OwnSlowdown, ServerSpeeds

LOAD_HALF_LIFE_MS = 400.0
"""Half-life of the estimated load of other routers."""
LATENCY_WEIGHT = 0.15
"""Weight of the newest response in the moving average of a server's latency."""
MAX_RATIO = 8.0
"""Upper bound of one response's latency, relative to the usual, in the slowdown."""
MAX_QUEUED_AT_KEY_OWNER = 4.0
"""Requests with keys that may wait at a server beyond its slots."""
MAX_QUEUED_AT_SERVER = 2.0
"""Requests that may wait at a server beyond its slots, so that no slot idles."""
FAILURES_TO_EJECT = 3
"""Consecutive failures after which a server is ejected."""
INITIAL_EJECTION_MS = 500.0
"""Duration of the first ejection; each consecutive one lasts twice as long."""
MAX_EJECTION_MS = 4000.0
SLOW_START_COST_FACTOR = 2.0
"""Factor on the cost of a server during its slow start."""
INITIAL_LATENCY_MS = 150.0
"""Assumed latency of a route before its first response."""
INITIAL_REST_MS = 100.0
"""Pause of a server that was found full; each further time it is twice as long."""
MAX_REST_MS = 400.0
"""Longest such pause. Below a second, as a full server has room again soon."""
RESETS_TO_EJECT = 8
"""Resets without a response in between after which a server counts as failed.

The pauses between them take 2.3 s in total, in which a full server has room at times.
"""


class ServerStats:
    """Observations of one incarnation of a server."""

    def __init__(
        self, started_ms: int, slow_start_ends_ms: float, window: SendWindow
    ) -> None:
        self.started_ms = started_ms
        """Start time of the server process, which identifies the incarnation."""
        self.slow_start_ends_ms = slow_start_ends_ms
        """End of the server's slow start, in which it warms up."""
        self.in_flight = 0
        """Requests of this router at the server."""
        self.other_load = 0.0
        """Requests of other routers at the server, as of the last load report."""
        self.work_percent = NORMAL_PERCENT
        """How long work took on the server's machine at the last load report."""
        self.load_reported_ms = float("-inf")
        self.usual_ms = INITIAL_LATENCY_MS
        """Moving average of the time from send to response, of all routes."""
        self.own_slowdown = OwnSlowdown()
        """Latency relative to what is usual for the request's route."""
        self.window = window
        """Limits the requests in flight."""
        self.failures = 0
        """Consecutive failures."""
        self.full_signs = 0
        """Resets and overdue requests since the last response."""
        self.ejections = 0
        """Ejections since the last success."""
        self.ejected_until_ms = float("-inf")
        self.paused_until_ms = float("-inf")
        """Time until which the server wants no requests from this router."""
        self.last_response_ms = float("-inf")
        self.sent_ms: dict[int, float] = {}
        """When each request in flight was sent, by its number."""
        self.overdue_ms: dict[int, float] = {}
        """When each request in flight becomes overdue, by its number."""


class ServerLoads:
    """Observed load, speed and failures of all servers."""

    def __init__(self, clock: Clock, on_capacity: Callable[[], None]) -> None:
        """``on_capacity`` is called when a request ends."""
        self._clock = clock
        self._on_capacity = on_capacity
        self._stats: dict[ServerId, ServerStats] = {}
        self._speeds = ServerSpeeds(clock)
        self._latencies: dict[str, RouteLatency] = {}
        self._last_send_id = 0

    @property
    def known_servers(self) -> set[ServerId]:
        """Servers of which there are observations."""
        return set(self._stats)

    @property
    def speeds(self) -> ServerSpeeds:
        """Speeds that this router reports to the leader and gets from it."""
        return self._speeds

    def slowdown(self, server: BackendServer) -> float:
        """Return the latency of a server relative to what is usual for a route."""
        shared = self._speeds.slowdown((server.server, server.started_ms))
        own = self.stats(server).own_slowdown
        return own.combined_with(shared, self._clock())

    def latency_ms(self, route: str) -> float:
        """Return the moving average of the time from send to response of a route."""
        known = self._latencies.get(route)
        return INITIAL_LATENCY_MS if known is None else known.mean_ms

    def overdue_after_ms(self, server: BackendServer, route: str) -> float | None:
        """Return when a response of a server that is not silent has certainly begun.

        None before it is known, here or from the leader, what is usual for the route.
        """
        known = self._latencies.get(route)
        slowdown = self.slowdown(server)
        after_ms = None if known is None else known.overdue_after_ms(slowdown)
        shared_ms = self._speeds.usual_ms(route)
        if after_ms is None and shared_ms is not None:
            return overdue_after_mean_ms(shared_ms, slowdown)
        return after_ms

    def stats(self, server: BackendServer) -> ServerStats:
        """Return the observations of this incarnation of a server."""
        stats = self._stats.get(server.server)
        if stats is None or stats.started_ms != server.started_ms:
            stats = ServerStats(
                server.started_ms,
                self._clock() + server.slow_start_left_ms,
                SendWindow(server.slots, self._clock),
            )
            self._stats[server.server] = stats
        return stats

    def expected_load(self, server: BackendServer) -> float:
        """Return the estimated number of requests at a server, of all routers."""
        stats = self.stats(server)
        age_ms = self._clock() - stats.load_reported_ms
        decay = math.exp2(-age_ms / LOAD_HALF_LIFE_MS)
        return stats.in_flight + stats.other_load * decay

    def is_ejected(self, server: BackendServer) -> bool:
        """Return whether a server must get no requests after repeated failures.

        Once the ejection has expired, one request at a time probes the server until it
        succeeds.
        """
        stats = self.stats(server)
        if self._clock() < stats.ejected_until_ms:
            return True
        return stats.failures >= FAILURES_TO_EJECT and stats.in_flight > 0

    def is_unresponsive(self, server: BackendServer) -> bool:
        """Return whether a request is overdue and no response came lately."""
        stats = self.stats(server)
        if not stats.overdue_ms:
            return False
        if self._clock() - stats.last_response_ms < MIN_OVERDUE_MS:
            return False
        return min(stats.overdue_ms.values()) < self._clock()

    def is_silent(self) -> bool:
        """Return whether requests are overdue and no server has responded lately."""
        now_ms = self._clock()
        last_ms = max(
            (s.last_response_ms for s in self._stats.values()), default=now_ms
        )
        if now_ms - last_ms < MIN_OVERDUE_MS:
            return False
        return any(
            min(stats.overdue_ms.values()) < now_ms
            for stats in self._stats.values()
            if stats.overdue_ms
        )

    def describe(self, server: BackendServer) -> str:
        """Return a server's state for a log line.

        The parts are the requests in flight and the window, the expected load, the
        slowdown, and whether the server is ejected, resting after it was found full, or
        unresponsive ("silent").
        """
        stats = self.stats(server)
        state = f"{server.server}/{stats.in_flight}of{self.window_size(server):.2f}"
        state += f"/load{self.expected_load(server):.1f}/x{self.slowdown(server):.1f}"
        if self.is_ejected(server):
            state += "/ejected"
        if self.stats(server).window.is_closed:
            state += "/resting"
        if self.is_unresponsive(server):
            state += "/silent"
        return state

    def has_capacity(self, server: BackendServer) -> bool:
        """Return whether one more request without a key may be sent to a server."""
        stats = self.stats(server)
        if self.pause_ms(server) > 0:
            return False
        if not stats.window.is_open(stats.in_flight, stats.usual_ms):
            return False
        return self.expected_load(server) < server.slots + MAX_QUEUED_AT_SERVER

    def has_capacity_for_key(self, server: BackendServer) -> bool:
        """Return whether one more request may be sent to the owner of its key.

        No other server can run it, so that more requests may wait there, also while
        the server rests.
        """
        if self.room_wait_ms(server) > 0:
            return False
        return self.expected_load(server) < server.slots + MAX_QUEUED_AT_KEY_OWNER

    def window_size(self, server: BackendServer) -> float:
        """Return how many requests this router may have in flight at a server."""
        stats = self.stats(server)
        return stats.window.size(stats.usual_ms)

    def is_congested(self, server: BackendServer) -> bool:
        """Return whether the server lately had a long queue or refused a request."""
        stats = self.stats(server)
        if self.pause_ms(server) > 0:
            return True
        return stats.window.is_congested(stats.usual_ms)

    def room_wait_ms(self, server: BackendServer) -> float:
        """Return the expected time until a server takes a request, without its rest.

        A rest is short, so that requests wait for it rather than being refused.
        """
        stats = self.stats(server)
        wait_ms = stats.window.room_wait_ms(stats.in_flight, stats.usual_ms)
        return max(wait_ms, self.pause_ms(server))

    def wait_ms(self, server: BackendServer) -> float:
        """Return the expected time until a request may be sent to a server."""
        stats = self.stats(server)
        wait_ms = stats.window.wait_ms(stats.in_flight, stats.usual_ms)
        return max(wait_ms, self.pause_ms(server))

    def cost(self, server: BackendServer) -> float:
        """Return the expected queueing and service time, relative to other servers."""
        stats = self.stats(server)
        load = self.expected_load(server)
        cost = self.slowdown(server) * max(1.0, (load + 1.0) / server.slots)
        if stats.work_percent != NORMAL_PERCENT:
            report_age_ms = self._clock() - stats.load_reported_ms
            cost *= cost_factor(stats.work_percent, report_age_ms)
        if self._clock() < stats.slow_start_ends_ms:
            cost *= SLOW_START_COST_FACTOR
        return cost + load / (4.0 * server.slots)

    def begin_request(self, server: BackendServer, route: str) -> int:
        """Count a request as in flight; return its number for ``end_request``."""
        stats = self.stats(server)
        self._last_send_id += 1
        stats.in_flight += 1
        stats.window.record_sent()
        now_ms = self._clock()
        stats.sent_ms[self._last_send_id] = now_ms
        overdue_ms = OVERDUE_FACTOR * self.slowdown(server) * self.latency_ms(route)
        stats.overdue_ms[self._last_send_id] = now_ms + max(MIN_OVERDUE_MS, overdue_ms)
        return self._last_send_id

    def end_request(
        self, server: BackendServer, send_id: int, load: LoadReport | None
    ) -> float:
        """Count a request as ended; return its time in flight in milliseconds.

        ``load`` is the load that the response stated, if any.
        """
        stats = self.stats(server)
        now_ms = self._clock()
        sent_ms = stats.sent_ms.pop(send_id, None)
        if sent_ms is None:
            return 0.0
        stats.overdue_ms.pop(send_id, None)
        stats.in_flight -= 1
        if load is not None:
            stats.other_load = max(
                0.0, load.running + load.waiting - stats.in_flight - 1
            )
            stats.work_percent = load.work_percent
            stats.load_reported_ms = now_ms
        self._on_capacity()
        return now_ms - sent_ms

    def begin_body(
        self, server: BackendServer, send_id: int, load: LoadReport | None
    ) -> float:
        """Record that a response has begun; return the milliseconds since its send.

        The request stays in flight until ``end_request``, but is not overdue any more.
        """
        stats = self.stats(server)
        now_ms = self._clock()
        if send_id not in stats.sent_ms:
            return 0.0
        stats.overdue_ms.pop(send_id, None)
        if load is not None:
            stats.other_load = max(0.0, load.running + load.waiting - stats.in_flight)
            stats.work_percent = load.work_percent
            stats.load_reported_ms = now_ms
        return now_ms - stats.sent_ms[send_id]

    def record_response(
        self,
        server: BackendServer,
        route: str,
        latency_ms: float,
        load: LoadReport | None,
        is_failure: bool,
    ) -> None:
        """Record a complete response.

        The latency does not count for the slowdown if requests were queued at the
        server.
        """
        stats = self.stats(server)
        stats.last_response_ms = self._clock()
        if is_failure:
            self.record_failure(server, "error response")
            return
        stats.failures = 0
        stats.ejections = 0
        stats.full_signs = 0
        usual_ms = self.latency_ms(route)
        stats.window.record_response(load, usual_ms)
        stats.usual_ms += LATENCY_WEIGHT * (latency_ms - stats.usual_ms)
        if load is None or not load.waiting:
            # A router that uses few servers must not take their speed for the usual.
            route_ms = self._speeds.usual_ms(route) or usual_ms
            ratio = min(MAX_RATIO, latency_ms / max(1.0, route_ms))
            incarnation = (server.server, server.started_ms)
            shared = self._speeds.slowdown(incarnation)
            stats.own_slowdown.record(ratio, shared, self._clock())
            self._speeds.record(incarnation, route, latency_ms, ratio)
        if route not in self._latencies:
            self._latencies[route] = RouteLatency(usual_ms)
        self._latencies[route].record(latency_ms)

    def pause(self, server: BackendServer, for_ms: float) -> None:
        """Send no requests to a server for some time, as it asks for."""
        stats = self.stats(server)
        until_ms = self._clock() + for_ms
        stats.paused_until_ms = max(stats.paused_until_ms, until_ms)
        log_event("server_paused", server=server.server, for_ms=for_ms)

    def pause_ms(self, server: BackendServer) -> float:
        """Return the time left in which a server wants no requests; 0 if none."""
        return max(0.0, self.stats(server).paused_until_ms - self._clock())

    def record_refusal(self, server: BackendServer) -> None:
        """Record that a server refused a request because it had no free slot."""
        stats = self.stats(server)
        stats.last_response_ms = self._clock()
        stats.window.record_refusal(stats.usual_ms)

    def record_reset(self, server: BackendServer) -> None:
        """Record that a server ended a connection instead of responding.

        A full server does so, and has room again soon; one that has crashed refuses
        the next connection. So it is not ejected before many resets in a row.
        """
        self._rest(server)
        stats = self.stats(server)
        if stats.full_signs >= RESETS_TO_EJECT:
            stats.failures = max(stats.failures, FAILURES_TO_EJECT - 1)
            self.record_failure(server, "resets in a row")

    def record_overdue(self, server: BackendServer) -> None:
        """Record that a request in flight is overdue: the server may be full."""
        self._rest(server)

    def _rest(self, server: BackendServer) -> None:
        """Shrink the window and let a server rest, longer after each time in a row.

        Requests sent before the rest show nothing more while it lasts.
        """
        stats = self.stats(server)
        stats.window.record_refusal(stats.usual_ms)
        if stats.window.is_closed:
            return
        stats.window.close_for(min(MAX_REST_MS, INITIAL_REST_MS * 2**stats.full_signs))
        stats.full_signs = min(RESETS_TO_EJECT, stats.full_signs + 1)

    def record_failure(self, server: BackendServer, detail: str) -> None:
        """Record a failure; several in a row eject the server for some time."""
        stats = self.stats(server)
        stats.failures += 1
        stats.window.record_refusal(stats.usual_ms)
        if stats.failures < FAILURES_TO_EJECT:
            return
        ejection_ms = min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2**stats.ejections)
        stats.ejections += 1
        stats.ejected_until_ms = self._clock() + ejection_ms
        log_event(
            "server_ejected",
            server=server.server,
            failures=stats.failures,
            ejection_ms=ejection_ms,
            detail=detail,
        )

    def remove_except(self, servers: set[ServerId]) -> None:
        """Remove the observations of idle servers that are not in ``servers``.

        What a server asked for holds until its time is over, since its entry may come
        back for the same incarnation.
        """
        now_ms = self._clock()
        for server in [s for s in self._stats if s not in servers]:
            stats = self._stats[server]
            if not stats.in_flight and stats.paused_until_ms <= now_ms:
                del self._stats[server]

"""What this router observes of each server: load, speed and failures.

Routers don't see each other's requests. The load that answers state, less the requests
of this router, is taken as that of all others and fades with its age.
"""

import math
from collections.abc import Callable

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId
from mulberryrelay_kernel.logs import log_event

from .messages import BackendServer, LoadReport

REPORT_HALF_LIFE_MS = 400.0
STALE_REPORT_MS = 600.0
UNKNOWN_LIMIT = 2
"""Requests in flight at a server whose load is not known."""
SPEED_WEIGHT = 0.15
"""Weight of the newest answer in the moving average of a server's speed."""
FIRST_LIMIT = 3.0
"""Requests in flight at one server before anything is known of it."""
WAITING_ALLOWED = 2.0
"""Requests that may wait at a server, so that its slots do not run empty."""
FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 500.0
LONGEST_EJECTION_MS = 4000.0
COLD_FACTOR = 2.0
SILENCE_FACTOR = 4.0
"""Multiple of the usual latency after which a server without answers is suspect."""
SHORTEST_SILENCE_MS = 400.0
FIRST_LATENCY_MS = 150.0


class ServerView:
    """Observations of one life of a server."""

    def __init__(self, born_ms: int, cold_until_ms: float) -> None:
        self.born_ms = born_ms
        self.cold_until_ms = cold_until_ms
        self.in_flight = 0
        self.others = 0.0
        self.reported_ms = float("-inf")
        self.slowness = 1.0
        """Latency as a multiple of what is usual for the request's route."""
        self.limit = FIRST_LIMIT
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = float("-inf")
        self.answered_ms = float("-inf")
        self.sent_ms: dict[int, float] = {}
        """Start of each request in flight."""
        self.overdue_ms: dict[int, float] = {}
        """When each request in flight takes unusually long."""


class ServerLoads:
    """Observations of all servers."""

    def __init__(self, clock: Clock, on_room: Callable[[], None]) -> None:
        self._clock = clock
        self._on_room = on_room
        self._views: dict[ServerId, ServerView] = {}
        self._latencies: dict[str, float] = {}
        self._sends = 0

    def latency_ms(self, route: str) -> float:
        """Return the usual time between the send and the answer of a route."""
        return self._latencies.get(route, FIRST_LATENCY_MS)

    def view(self, server: BackendServer) -> ServerView:
        """Return the observations of this life of a server."""
        view = self._views.get(server.server)
        if view is None or view.born_ms != server.born_ms:
            view = ServerView(server.born_ms, self._clock() + server.cold_left_ms)
            self._views[server.server] = view
        return view

    def expected_load(self, server: BackendServer) -> float:
        """Return the estimated number of requests at a server, of all routers."""
        view = self.view(server)
        age_ms = self._clock() - view.reported_ms
        fading = math.exp2(-age_ms / REPORT_HALF_LIFE_MS)
        return view.in_flight + view.others * fading

    def is_ejected(self, server: BackendServer) -> bool:
        """Return whether the server failed lately; one probe at a time may go on."""
        view = self.view(server)
        if self._clock() < view.ejected_until_ms:
            return True
        return view.failures >= FAILURES_TO_EJECT and view.in_flight > 0

    def is_silent(self, server: BackendServer) -> bool:
        """Return whether a server answers nothing, and a request takes too long."""
        view = self.view(server)
        if not view.overdue_ms:
            return False
        if self._clock() - view.answered_ms < SHORTEST_SILENCE_MS:
            return False
        return min(view.overdue_ms.values()) < self._clock()

    def describe(self, server: BackendServer) -> str:
        """Return a server's state for a log line."""
        view = self.view(server)
        state = f"{server.server}/{view.in_flight}of{view.limit:.1f}"
        state += f"/load{self.expected_load(server):.1f}/x{view.slowness:.1f}"
        if self.is_ejected(server):
            state += "/ejected"
        if self.is_silent(server):
            state += "/silent"
        return state

    def has_room(self, server: BackendServer, waiting_allowed: float) -> bool:
        """Return whether one more request may be sent to a server."""
        view = self.view(server)
        if view.in_flight >= view.limit:
            return False
        if self._clock() - view.reported_ms > STALE_REPORT_MS:
            # All routers may turn to a server at once, such as a key's new owner.
            return view.in_flight < UNKNOWN_LIMIT
        return self.expected_load(server) < server.slots + waiting_allowed

    def cost(self, server: BackendServer) -> float:
        """Return the expected waiting and working time, relative to other servers."""
        view = self.view(server)
        load = self.expected_load(server)
        cost = view.slowness * max(1.0, (load + 1.0) / server.slots)
        if self._clock() < view.cold_until_ms:
            cost *= COLD_FACTOR
        return cost + load / (4.0 * server.slots)

    def begin(self, server: BackendServer, route: str) -> int:
        """Count a request as in flight; returns its number for ``end``."""
        view = self.view(server)
        self._sends += 1
        view.in_flight += 1
        now_ms = self._clock()
        view.sent_ms[self._sends] = now_ms
        usual_ms = SILENCE_FACTOR * view.slowness * self.latency_ms(route)
        view.overdue_ms[self._sends] = now_ms + max(SHORTEST_SILENCE_MS, usual_ms)
        return self._sends

    def end(self, server: BackendServer, number: int, load: LoadReport | None) -> float:
        """Count a request as ended; returns its time in flight in milliseconds."""
        view = self.view(server)
        now_ms = self._clock()
        sent_ms = view.sent_ms.pop(number, None)
        if sent_ms is None:
            return 0.0
        view.overdue_ms.pop(number, None)
        view.in_flight -= 1
        if load is not None:
            view.others = max(0.0, load.running + load.waiting - view.in_flight - 1)
            view.reported_ms = now_ms
        self._on_room()
        return now_ms - sent_ms

    def note_answer(
        self,
        server: BackendServer,
        route: str,
        latency_ms: float,
        load: LoadReport | None,
        is_failure: bool,
    ) -> None:
        """Note a whole answer; requests wait where the load says so."""
        view = self.view(server)
        view.answered_ms = self._clock()
        if is_failure:
            self.note_failure(server, "error answer")
            return
        view.failures = 0
        view.ejections = 0
        view.limit = min(view.limit + 0.5, server.slots + WAITING_ALLOWED + 2.0)
        usual_ms = self.latency_ms(route)
        if load is None or not load.waiting:
            ratio = min(8.0, latency_ms / max(1.0, usual_ms))
            view.slowness += SPEED_WEIGHT * (ratio - view.slowness)
            view.slowness = max(0.2, view.slowness)
        self._latencies[route] = usual_ms + 0.05 * (latency_ms - usual_ms)

    def note_refusal(self, server: BackendServer) -> None:
        """Note that a server had no room."""
        view = self.view(server)
        view.answered_ms = self._clock()
        view.limit = max(1.0, view.limit / 2)

    def note_failure(self, server: BackendServer, detail: str) -> None:
        """Note a failure; several in a row eject the server for a while."""
        view = self.view(server)
        view.failures += 1
        view.limit = max(1.0, view.limit / 2)
        if view.failures < FAILURES_TO_EJECT:
            return
        ejection_ms = min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2**view.ejections)
        view.ejections += 1
        view.ejected_until_ms = self._clock() + ejection_ms
        log_event(
            "server_ejected",
            server=server.server,
            failures=view.failures,
            ejection_ms=ejection_ms,
            detail=detail,
        )

    def forget_except(self, servers: set[ServerId]) -> None:
        """Drop the observations of servers that have left."""
        for server in [s for s in self._views if s not in servers]:
            if not self._views[server].in_flight:
                del self._views[server]

"""The speed of servers, as one router observes it and as the leader states it.

A router reports to the leader how long its responses took relative to what is usual for
their routes. The leader sums this over all routers (``speedsums.py``) and returns the
speeds that changed. A router relies on its own observations of a server where they are
many and fresh, and else on the leader's.

What is usual for a route comes from the leader, too: routers that prefer some servers
would otherwise take the speed of these for the usual one.
"""

import math
from collections import Counter

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId

from .speedmessages import LatencySum, SpeedChanges, SpeedReport, SpeedSum

OWN_WEIGHT = 0.15
"""Weight of the newest response in a router's own moving average."""
MIN_SLOWDOWN = 0.2
"""Lower bound of a router's own average."""
OWN_HALF_LIFE_MS = 2000.0
"""Half-life of the weight of a router's own responses against the leader's sum."""
EQUAL_RESPONSES = 4.0
"""Recent responses with which a router's own average weighs as much as the sum."""
OUTDATED_RESPONSES = 0.5
"""Recent responses below which a router's own average starts anew from the sum."""
MAX_RATIO = 4.0
"""Upper bound of one response in the sums; a single late response says little."""
MAX_REPORTED_SERVERS = 40
"""Servers in one report; those with most responses go first, the others wait.

Bounds a report to about 1 KB, and the reports of 65 routers to a tenth of a link of
10 Mbit/s.
"""
MAX_REPORTED_ROUTES = 32
SHARED_TTL_MS = 3000.0
"""Time after the last reply for which a router relies on the leader's speeds."""

Incarnation = tuple[ServerId, int]
"""Incarnation of a server: its id and start time."""


class OwnSlowdown:
    """Latency of one server relative to what is usual, as one router observes it."""

    def __init__(self) -> None:
        self._value = 1.0
        self._responses = 0.0
        """Responses, decayed up to the last one."""
        self._observed_ms = float("-inf")

    @property
    def value(self) -> float:
        return self._value

    def record(self, ratio: float, shared: float | None, now_ms: float) -> None:
        """Record the latency of a response relative to what is usual.

        ``shared`` replaces observations that are too old to count.
        """
        responses = self._recent_responses(now_ms)
        if shared is not None and responses < OUTDATED_RESPONSES:
            self._value = shared
        self._value += OWN_WEIGHT * (ratio - self._value)
        self._value = max(MIN_SLOWDOWN, self._value)
        self._responses = 1.0 + responses
        self._observed_ms = now_ms

    def combined_with(self, shared: float | None, now_ms: float) -> float:
        """Return the slowdown to expect; ``shared`` is the leader's, if it is known."""
        if shared is None:
            return self._value
        responses = self._recent_responses(now_ms)
        weight = responses / (responses + EQUAL_RESPONSES)
        return weight * self._value + (1.0 - weight) * shared

    def _recent_responses(self, now_ms: float) -> float:
        age_ms = now_ms - self._observed_ms
        return self._responses * math.exp2(-age_ms / OWN_HALF_LIFE_MS)


class ServerSpeeds:
    """What a router has not reported yet, and the leader's speeds that it applied."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._responses: Counter[Incarnation] = Counter()
        self._total_percent: Counter[Incarnation] = Counter()
        self._routes: dict[str, LatencySum] = {}
        self._sums_id = ""
        self._version = 0
        self._shared: dict[Incarnation, float] = {}
        self._shared_routes_ms: dict[str, float] = {}
        self._confirmed_ms = float("-inf")
        """When the last report was sent to which the leader replied with speeds."""

    @property
    def shared_servers(self) -> int:
        """Number of servers whose speed is known from the leader."""
        return len(self._shared) if self._is_confirmed else 0

    @property
    def _is_confirmed(self) -> bool:
        return self._clock() - self._confirmed_ms < SHARED_TTL_MS

    def slowdown(self, incarnation: Incarnation) -> float | None:
        """Return a server's slowdown by the responses to all routers, if known."""
        return self._shared.get(incarnation) if self._is_confirmed else None

    def usual_ms(self, route: str) -> float | None:
        """Return a route's usual latency by the responses to all routers, if known."""
        return self._shared_routes_ms.get(route) if self._is_confirmed else None

    def record(
        self, incarnation: Incarnation, route: str, latency_ms: float, ratio: float
    ) -> None:
        """Record a response to a request that did not queue at the server.

        ``ratio`` is its latency relative to what is usual.
        """
        self._responses[incarnation] += 1
        self._total_percent[incarnation] += round(100 * min(MAX_RATIO, ratio))
        known = self._routes.get(route, LatencySum(0, 0))
        self._routes[route] = LatencySum(
            known.responses + 1, known.total_ms + round(latency_ms)
        )

    def pop_report(self) -> SpeedReport:
        """Return what is to be reported now, and clear it."""
        servers = []
        for incarnation, responses in self._responses.most_common(MAX_REPORTED_SERVERS):
            total_percent = self._total_percent.pop(incarnation)
            servers.append(SpeedSum(*incarnation, responses, total_percent))
            del self._responses[incarnation]
        routes = dict(list(self._routes.items())[:MAX_REPORTED_ROUTES])
        self._routes = {}
        return SpeedReport(tuple(servers), routes, self._sums_id, self._version)

    def discard_report(self) -> None:
        """Clear what is to be reported, since there is no leader."""
        self._responses.clear()
        self._total_percent.clear()
        self._routes = {}

    def apply_changes(self, changes: SpeedChanges | None, sent_ms: float) -> None:
        """Apply the leader's reply to a report that was sent at ``sent_ms``.

        ``changes`` is None if the leader knows no speeds yet.
        """
        if changes is None:
            return
        if changes.is_complete:
            self._shared = {}
            self._shared_routes_ms = {}
        for speed in changes.servers:
            incarnation = (speed.server, speed.started_ms)
            if speed.slowdown_percent > 0:
                self._shared[incarnation] = speed.slowdown_percent / 100
            else:
                self._shared.pop(incarnation, None)
        for route, usual_ms in changes.routes_ms.items():
            if usual_ms > 0:
                self._shared_routes_ms[route] = usual_ms
        self._sums_id = changes.sums_id
        self._version = changes.version
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)

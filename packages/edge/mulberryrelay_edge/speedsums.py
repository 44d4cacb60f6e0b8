"""The leader's sums of how fast servers responded to all routers.

Sums decay within seconds. Means are published in steps and once per period, so that
most replies to followers contain few changes, and equal ones are encoded once.
"""

import math
import uuid

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.logs import log_event

from .serverspeed import MAX_RATIO, MAX_REPORTED_ROUTES, Incarnation
from .speedmessages import ServerSpeed, SpeedChanges, SpeedReport

MAX_REPORTED_RESPONSES = 100_000
"""Responses of one server in one report; larger numbers are not plausible."""
SPEED_HALF_LIFE_MS = 4000.0
"""Half-life of the responses in the leader's sums of servers."""
ROUTE_HALF_LIFE_MS = 15_000.0
"""Half-life of the responses in the leader's sums of routes."""
PRIOR_RESPONSES = 2.0
"""Responses of usual speed that are assumed beside those observed."""
MIN_RESPONSES = 3.0
"""Recent responses from which on a speed is published."""
FORGOTTEN_RESPONSES = 0.5
"""Recent responses below which a speed is no longer known."""
SPEED_STEP = 1.15
"""Ratio of neighbouring published speeds."""
ROUTE_STEP = 1.05
"""Ratio of neighbouring published latencies of a route."""
HYSTERESIS_STEPS = 0.8
"""Steps by which a value must differ from the published one to replace it.

More than half a step, so that a value between two steps does not alternate.
"""
PUBLISH_PERIOD_MS = 1000.0
"""Period in which the leader publishes changes; in between all replies are equal."""
SETTLE_MS = 1500.0
"""Time from the start of a term until the leader publishes speeds.

All routers have reported to it by then.
"""
LOGGED_SLOWDOWN = 2.0
"""Published slowdown whose crossing is logged."""
REMOVAL_TTL_MS = 30_000.0
"""Time for which the leader tells followers that it no longer knows a speed."""


class _Sum:
    """A sum of responses that decay, and the mean that was published last."""

    def __init__(self, half_life_ms: float, step: float) -> None:
        self._half_life_ms = half_life_ms
        self._step = step
        self._responses = 0.0
        self._total = 0.0
        self._decayed_ms = 0.0
        self.published: float | None = None
        self.version = 0
        """Version in which ``published`` last changed."""
        self.removed_ms: float | None = None
        """When the published mean was withdrawn, or None."""

    @property
    def responses(self) -> float:
        """Number of responses, as of the last call of ``add``."""
        return self._responses

    def add(self, responses: int, total: float, now_ms: float) -> None:
        """Let the sum decay up to now and add further responses."""
        decay = math.exp2((self._decayed_ms - now_ms) / self._half_life_ms)
        self._decayed_ms = now_ms
        self._responses = self._responses * decay + responses
        self._total = self._total * decay + total

    def publish(self, prior_responses: float, prior_mean: float, version: int) -> bool:
        """Publish the mean if it has changed by more than a step."""
        responses = self._responses + prior_responses
        mean = (self._total + prior_responses * prior_mean) / responses
        if mean <= 0:
            return False
        exact = math.log(mean) / math.log(self._step)
        if self.published is not None:
            published = math.log(self.published) / math.log(self._step)
            if abs(exact - published) < HYSTERESIS_STEPS:
                return False
        self.published = self._step ** round(exact)
        self.version = version
        self.removed_ms = None
        return True

    def withdraw(self, version: int, now_ms: float) -> None:
        """Withdraw the published mean, as it is no longer known."""
        self.published = None
        self.version = version
        self.removed_ms = now_ms


class SpeedSums:
    """The leader's sums of the responses to all routers, in one of its terms."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._id = uuid.uuid4().hex[:12]
        self._started_ms = clock()
        self._published_ms = float("-inf")
        self._version = 0
        self._complete_before = 0
        """Followers with a lower version get all speeds, as removals are forgotten."""
        self._servers: dict[Incarnation, _Sum] = {}
        self._routes: dict[str, _Sum] = {}

    def slowdown(self, incarnation: Incarnation) -> float | None:
        """Return the published slowdown of a server, if it is known."""
        known = self._servers.get(incarnation)
        return None if known is None else known.published

    def add_report(self, report: SpeedReport) -> None:
        """Add what a router observed."""
        now_ms = self._clock()
        for speed in report.servers:
            responses = max(0, min(MAX_REPORTED_RESPONSES, speed.responses))
            total = max(0.0, min(MAX_RATIO * responses, speed.total_percent / 100))
            key = (speed.server, speed.started_ms)
            if key not in self._servers:
                self._servers[key] = _Sum(SPEED_HALF_LIFE_MS, SPEED_STEP)
            self._servers[key].add(responses, total, now_ms)
        for route, times in list(report.routes.items())[:MAX_REPORTED_ROUTES]:
            responses = max(0, min(MAX_REPORTED_RESPONSES, times.responses))
            total = float(max(0, times.total_ms))
            if route not in self._routes:
                self._routes[route] = _Sum(ROUTE_HALF_LIFE_MS, ROUTE_STEP)
            self._routes[route].add(responses, total, now_ms)

    def publish_due(self) -> None:
        """Publish what has changed, if it is time to; has to be called regularly."""
        now_ms = self._clock()
        if now_ms - self._started_ms < SETTLE_MS:
            return
        if now_ms - self._published_ms < PUBLISH_PERIOD_MS:
            return
        self._published_ms = now_ms
        version = self._version + 1
        is_changed = False
        for key, known in list(self._servers.items()):
            is_changed |= self._publish_server(key, known, version, now_ms)
        for route, known in list(self._routes.items()):
            known.add(0, 0.0, now_ms)
            if known.responses < FORGOTTEN_RESPONSES:
                # Followers keep the last value, which is as good as any.
                del self._routes[route]
            elif known.responses >= MIN_RESPONSES:
                is_changed |= known.publish(0.0, 0.0, version)
        if is_changed:
            self._version = version

    def _publish_server(
        self, key: Incarnation, known: _Sum, version: int, now_ms: float
    ) -> bool:
        """Publish or withdraw the speed of a server; return whether it changed."""
        known.add(0, 0.0, now_ms)
        if known.responses >= MIN_RESPONSES or (
            known.published is not None and known.responses >= FORGOTTEN_RESPONSES
        ):
            before = known.published or 1.0
            is_changed = known.publish(PRIOR_RESPONSES, 1.0, version)
            _log_crossing(key, before, known.published or 1.0)
            return is_changed
        if known.published is not None:
            known.withdraw(version, now_ms)
            return True
        if known.responses >= FORGOTTEN_RESPONSES:
            return False
        if known.removed_ms is None:
            del self._servers[key]
        elif now_ms - known.removed_ms >= REMOVAL_TTL_MS:
            self._complete_before = max(self._complete_before, known.version)
            del self._servers[key]
        return False

    def changes_since(self, sums_id: str, version: int) -> SpeedChanges | None:
        """Return what a follower lacks; None before the first publication."""
        if self._published_ms == float("-inf"):
            return None
        is_complete = sums_id != self._id or version < self._complete_before
        if is_complete:
            version = 0
        servers = tuple(
            ServerSpeed(*key, round(100 * (known.published or 0.0)))
            for key, known in self._servers.items()
            if known.version > version
            and (known.published is not None or not is_complete)
        )
        routes_ms = {
            route: round(known.published, 1)
            for route, known in self._routes.items()
            if known.version > version and known.published is not None
        }
        return SpeedChanges(self._id, self._version, is_complete, servers, routes_ms)


def _log_crossing(incarnation: Incarnation, before: float, after: float) -> None:
    """Log that a server became slow, or is slow no longer."""
    is_slow = after >= LOGGED_SLOWDOWN
    if is_slow is (before >= LOGGED_SLOWDOWN):
        return
    server, started_ms = incarnation
    event = "server_slow" if is_slow else "server_no_longer_slow"
    log_event(event, server=server, born_ms=started_ms, slowdown=round(after, 2))

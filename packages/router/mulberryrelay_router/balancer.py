"""Load balancing among backend servers.

For each server the balancer keeps a concurrency limit that it learns from load
shedding, the state of its slow start, and ejections. It uses only this router's own
observations. Admission calls it to choose a server; no function here waits.
"""

import math
import random
import statistics
from collections.abc import Sequence
from enum import Enum

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre, ServerId, ServiceName
from mulberryrelay_kernel.messages import ServerEntry
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.states import ServerState

MIN_LIMIT = 0.05
"""Lowest concurrency limit. Limits below 1 are needed because nine routers with one
request each already exceed the four slots of a server; pauses between requests enforce
them."""
LIMIT_DECREASE = 0.7
"""Factor on the limit after a server has shed a request."""
LIMIT_INCREASE = 0.25
"""Increase per response while the limit is reached, divided by the current limit."""
LATENCY_WEIGHT = 0.1
"""Weight of the newest response in the moving average of latency."""
DEVIATION_FACTOR = 2.0
"""Deviations added to the average for an upper estimate of latency. As many as half of
all responses take longer than the average alone."""
DEFAULT_LATENCY_MS = 10.0
"""Assumed latency of a server that has not responded yet."""

EJECTION_FAILURES = 5
"""Consecutive failures after which a server is ejected."""
FIRST_EJECTION_MS = 2_000.0
"""Length of the first ejection; it doubles with each further one."""
MAX_EJECTION_MS = 30_000.0
EJECTION_RESET_MS = 30_000.0
"""Time since the end of the last ejection after which the next one has the first length
again."""
MAX_EJECTED_SHARE = 0.5
"""Highest share of the servers of a service that may be ejected."""
SLOW_FACTOR = 5.0
"""Multiple of the other servers' median latency above which a server is ejected."""
SLOW_MIN_LATENCY_MS = 50.0
"""Average latency below which a server is never ejected as slow."""
SLOW_MIN_SAMPLES = 20
"""Responses needed before the latency of a server is compared with the others."""
SHORT_DEADLINE_FACTOR = 3.0
"""A timeout below this multiple of the median latency is due to a short deadline."""
RECENT_CANDIDATE_MS = 10_000.0
"""A server counts as part of its service for this long after it was a candidate."""
STALE_STATS_MS = 600_000.0
"""Statistics are removed when a server was no candidate for this long. Servers leave
throughout the day, so they would accumulate."""
MIN_SLOW_START_WEIGHT = 0.1
"""Weight of a server at the beginning of its slow start."""


class Observation(Enum):
    """How an attempt ended, as observed by this router."""

    RESPONDED = "answered"
    SHED = "shed"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    NOT_SENT = "not-sent"


class ServerStats:
    """What this router has observed of one backend server.

    ``latency_ms`` and ``deviation_ms`` are moving averages. ``in_flight`` counts the
    attempts of this router only.
    """

    def __init__(self, initial_limit: float, now_ms: float) -> None:
        self.limit = initial_limit
        self.in_flight = 0
        self.last_candidate_ms = now_ms
        self.cold_since_ms: float | None = None
        self.state = ServerState.SERVING
        self.limit_decreased_ms = -math.inf
        self.paused_until_ms = -math.inf
        self.latency_ms = 0.0
        self.deviation_ms = 0.0
        self.samples = 0
        self.consecutive_failures = 0
        self.ejection_count = 0
        self.ejected_until_ms = -math.inf

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether the server is ejected at this time."""
        return now_ms < self.ejected_until_ms


class Balancer:
    """Keeps statistics of servers and chooses among those with free concurrency."""

    def __init__(self, options: Options, clock: Clock, rng: random.Random) -> None:
        self._options = options
        self._clock = clock
        self._rng = rng
        self._stats: dict[ServiceName, dict[ServerId, ServerStats]] = {
            service: {} for service in options.services
        }

    def server_stats(self, service: ServiceName, server: ServerId) -> ServerStats:
        """Return the statistics of a server.

        The limit of a new server is this router's share of the server's slots.
        """
        stats_by_server = self._stats[service]
        stats = stats_by_server.get(server)
        if stats is None:
            self._remove_stale(stats_by_server)
            stats = ServerStats(max(1.0, self._fair_share(service)), self._clock())
            stats_by_server[server] = stats
        return stats

    def record_candidates(self, entries: Sequence[ServerEntry]) -> None:
        """Record that servers are candidates, and their states."""
        now_ms = self._clock()
        for entry in entries:
            stats = self.server_stats(entry.service, entry.server)
            stats.last_candidate_ms = now_ms
            if entry.state is ServerState.COLD and stats.state is not ServerState.COLD:
                stats.cold_since_ms = now_ms
            stats.state = entry.state

    def slow_start_weight(self, stats: ServerStats) -> float:
        """Return the weight of a server, which rises to 1 during slow start."""
        if stats.cold_since_ms is None:
            return 1.0
        age_ms = self._clock() - stats.cold_since_ms
        return min(
            1.0, max(MIN_SLOW_START_WEIGHT, age_ms / self._options.limits.slow_start_ms)
        )

    def has_capacity(self, service: ServiceName, server: ServerId) -> bool:
        """Return whether the server has free concurrency now."""
        return self._has_capacity(self.server_stats(service, server), self._clock())

    def ready_ms(self, service: ServiceName, server: ServerId) -> float:
        """Return the time until which this router sends the server no requests."""
        stats = self.server_stats(service, server)
        return max(stats.paused_until_ms, stats.ejected_until_ms)

    def median_latency_ms(self, service: ServiceName) -> float:
        """Return the median over servers of their average latency; 0 if unknown.

        A single server that was frozen for a while does not raise the median.
        """
        latencies_ms = [
            stats.latency_ms for stats in self._stats[service].values() if stats.samples
        ]
        return statistics.median(latencies_ms) if latencies_ms else 0.0

    def upper_latency_ms(self, service: ServiceName) -> float:
        """Return a latency that most responses do not exceed; 0 if unknown."""
        latencies_ms = [
            stats.latency_ms + DEVIATION_FACTOR * stats.deviation_ms
            for stats in self._stats[service].values()
            if stats.samples
        ]
        return statistics.median(latencies_ms) if latencies_ms else 0.0

    def usable(
        self, service: ServiceName, entries: Sequence[ServerEntry]
    ) -> list[ServerEntry]:
        """Return the entries that are not ejected, whether or not they have capacity.

        If all are ejected, return all of them: an unreliable server is better than
        none.
        """
        now_ms = self._clock()
        not_ejected = [
            entry
            for entry in entries
            if not self.server_stats(service, entry.server).is_ejected(now_ms)
        ]
        return not_ejected or list(entries)

    def choose(
        self, service: ServiceName, entries: Sequence[ServerEntry]
    ) -> ServerEntry | None:
        """Return the server for one request, or None if none has free concurrency."""
        now_ms = self._clock()
        # A learned limit above this router's share of slots allows for queueing on the
        # server, which takes longer than the round trip to another data centre.
        fair_share = max(1.0, self._fair_share(service))
        with_capacity: list[tuple[ServerEntry, ServerStats]] = []
        nearby: list[tuple[ServerEntry, ServerStats]] = []
        for entry in self.usable(service, entries):
            stats = self.server_stats(service, entry.server)
            if not self._has_capacity(stats, now_ms):
                continue
            with_capacity.append((entry, stats))
            if stats.in_flight < fair_share and self.is_local(entry.data_centre):
                nearby.append((entry, stats))
        candidates = nearby or with_capacity
        if len(candidates) < 2:
            return candidates[0][0] if candidates else None
        first, second = self._pick_two(
            [self.slow_start_weight(stats) for _, stats in candidates]
        )
        return min((candidates[first], candidates[second]), key=self._weighted_load)[0]

    def is_local(self, data_centre: DataCentre) -> bool:
        """Return whether a data centre is this router's own."""
        return data_centre == self._options.instance.data_centre

    def record_start(self, service: ServiceName, server: ServerId) -> None:
        """Count an attempt that is about to be sent."""
        self.server_stats(service, server).in_flight += 1

    def record_result(
        self,
        service: ServiceName,
        server: ServerId,
        started_ms: float,
        observation: Observation,
        latency_ms: float,
    ) -> None:
        """Record how an attempt ended; the latency is in milliseconds."""
        stats = self.server_stats(service, server)
        was_limit_reached = stats.in_flight >= math.floor(max(1.0, stats.limit))
        stats.in_flight -= 1
        match observation:
            case Observation.NOT_SENT:
                return
            case Observation.RESPONDED:
                self._record_response(service, stats, was_limit_reached, latency_ms)
            case Observation.SHED:
                self._record_shed(stats, started_ms)
            case Observation.FAILED:
                self._record_failure(service, stats)
            case Observation.TIMED_OUT:
                if not self._had_short_deadline(service, latency_ms):
                    self._record_failure(service, stats)
        self._start_pause(stats)

    def _has_capacity(self, stats: ServerStats, now_ms: float) -> bool:
        if now_ms < stats.paused_until_ms:
            return False
        limit = max(1.0, stats.limit * self.slow_start_weight(stats))
        return stats.in_flight < math.floor(limit)

    def _remove_stale(self, stats_by_server: dict[ServerId, ServerStats]) -> None:
        oldest_ms = self._clock() - STALE_STATS_MS
        for server, stats in list(stats_by_server.items()):
            if stats.last_candidate_ms < oldest_ms and not stats.in_flight:
                del stats_by_server[server]

    def _fair_share(self, service: ServiceName) -> float:
        return self._options.services[service].slots / self._options.routers

    def _pick_two(self, weights: list[float]) -> tuple[int, int]:
        indexes = range(len(weights))
        first = self._rng.choices(indexes, weights)[0]
        remaining_weights = [
            0.0 if index == first else weights[index] for index in indexes
        ]
        return first, self._rng.choices(indexes, remaining_weights)[0]

    def _weighted_load(self, candidate: tuple[ServerEntry, ServerStats]) -> float:
        _, stats = candidate
        return stats.in_flight / self.slow_start_weight(stats)

    def _record_response(
        self,
        service: ServiceName,
        stats: ServerStats,
        was_limit_reached: bool,
        latency_ms: float,
    ) -> None:
        stats.consecutive_failures = 0
        stats.samples += 1
        weight = max(LATENCY_WEIGHT, 1 / stats.samples)
        error_ms = latency_ms - stats.latency_ms
        stats.latency_ms += weight * error_ms
        if stats.samples > 1:
            stats.deviation_ms += weight * (abs(error_ms) - stats.deviation_ms)
        if was_limit_reached:
            step = LIMIT_INCREASE / max(1.0, stats.limit)
            stats.limit = min(self._limit_cap(service), stats.limit + step)
        if self._is_slow(service, stats):
            self._eject(service, stats)
            stats.samples = 0

    def _record_shed(self, stats: ServerStats, started_ms: float) -> None:
        # An attempt started before the last decrease was not subject to the new limit.
        if started_ms < stats.limit_decreased_ms:
            return
        stats.limit_decreased_ms = self._clock()
        stats.limit = max(MIN_LIMIT, stats.limit * LIMIT_DECREASE)

    def _record_failure(self, service: ServiceName, stats: ServerStats) -> None:
        stats.consecutive_failures += 1
        if stats.consecutive_failures >= EJECTION_FAILURES:
            self._eject(service, stats)

    def _start_pause(self, stats: ServerStats) -> None:
        if stats.limit >= 1.0:
            return
        latency_ms = stats.latency_ms or DEFAULT_LATENCY_MS
        # Jitter keeps routers with equal limits from sending simultaneously.
        pause_ms = latency_ms * (1 / stats.limit - 1) * self._rng.uniform(0.5, 1.5)
        stats.paused_until_ms = self._clock() + pause_ms

    def _limit_cap(self, service: ServiceName) -> float:
        connections = self._options.services[service].connections
        return max(1.0, connections / self._options.routers)

    def _had_short_deadline(self, service: ServiceName, latency_ms: float) -> bool:
        return latency_ms < SHORT_DEADLINE_FACTOR * self.median_latency_ms(service)

    def _is_slow(self, service: ServiceName, stats: ServerStats) -> bool:
        if stats.samples < SLOW_MIN_SAMPLES or stats.latency_ms < SLOW_MIN_LATENCY_MS:
            return False
        others = [
            other.latency_ms
            for other in self._stats[service].values()
            if other is not stats and other.samples >= SLOW_MIN_SAMPLES
        ]
        if not others:
            return False
        return stats.latency_ms > SLOW_FACTOR * statistics.median(others)

    def _eject(self, service: ServiceName, stats: ServerStats) -> None:
        now_ms = self._clock()
        if stats.is_ejected(now_ms) or not self._may_eject(service, now_ms):
            return
        if now_ms - stats.ejected_until_ms > EJECTION_RESET_MS:
            stats.ejection_count = 0
        period_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2**stats.ejection_count)
        stats.ejection_count += 1
        stats.ejected_until_ms = now_ms + period_ms

    def _may_eject(self, service: ServiceName, now_ms: float) -> bool:
        # Only the owner may run requests for a key, so it is never ejected.
        if self._options.services[service].partitioned:
            return False
        recent = [
            stats
            for stats in self._stats[service].values()
            if now_ms - stats.last_candidate_ms <= RECENT_CANDIDATE_MS
        ]
        ejected = sum(stats.is_ejected(now_ms) for stats in recent)
        return ejected + 1 <= MAX_EJECTED_SHARE * len(recent)

"""Choice among backend servers, from this router's own observations only.

Tracks for each server a concurrency limit learned from shedding, slow start and
ejection. Admission asks it where a request may go; nothing here waits.
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

LIMIT_FLOOR = 0.05
"""A limit below 1 is kept by pauses between requests, since nine routers with one
request each already exceed the four slots of a server."""
LIMIT_DECREASE = 0.7
LIMIT_INCREASE = 0.25
"""Added to the limit, divided by it, for an answer while the limit is in use."""
LATENCY_WEIGHT = 0.1
"""Weight of the newest answer in the moving average of latency."""
DEVIATIONS = 2.0
"""Deviations above the average that an answer may take; as many as half of all answers
take longer than the average alone."""
DEFAULT_PAUSE_MS = 10.0
"""Stands for the latency of a server that has not answered yet."""

EJECT_FAILURES = 5
EJECT_FIRST_MS = 2_000.0
EJECT_LONGEST_MS = 30_000.0
EJECT_FORGIVEN_MS = 30_000.0
"""A server that stays in for this long after an ejection starts again at the first
period."""
EJECT_SHARE = 0.5
SLOW_FACTOR = 5.0
SLOW_LEAST_MS = 50.0
"""Latencies below this are never a reason for ejection."""
SLOW_SAMPLES = 20
HASTY_FACTOR = 3.0
"""A timeout below this multiple of the usual latency is due to a short deadline."""
LISTED_MS = 10_000.0
"""A server counts as one of its service for this long after it was a candidate."""
FORGOTTEN_MS = 600_000.0
"""Servers leave all day; one that was no candidate for this long is forgotten."""
COLD_WEIGHT = 0.1


class Observation(Enum):
    """How an attempt ended, as this router saw it."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    NOT_SENT = "not-sent"


class ServerTrack:
    """What this router has observed of one backend server."""

    def __init__(self, first_limit: float, now_ms: float) -> None:
        self.limit = first_limit
        self.in_flight = 0
        self.listed_ms = now_ms
        self.cold_since_ms: float | None = None
        self.state = ServerState.SERVING
        self.decreased_ms = -math.inf
        self.paused_until_ms = -math.inf
        self.latency_ms = 0.0
        self.deviation_ms = 0.0
        self.samples = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = -math.inf

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether the server is left out for now."""
        return now_ms < self.ejected_until_ms


class Balancer:
    """Tracks backend servers and chooses among those with free concurrency."""

    def __init__(self, options: Options, clock: Clock, rng: random.Random) -> None:
        self._options = options
        self._clock = clock
        self._rng = rng
        self._tracks: dict[ServiceName, dict[ServerId, ServerTrack]] = {
            service: {} for service in options.services
        }

    def track(self, service: ServiceName, server: ServerId) -> ServerTrack:
        """Return what is known of a server; a new one starts at its share of slots."""
        tracks = self._tracks[service]
        found = tracks.get(server)
        if found is None:
            self._forget_gone(tracks)
            found = ServerTrack(max(1.0, self._share(service)), self._clock())
            tracks[server] = found
        return found

    def note_listed(self, entries: Sequence[ServerEntry]) -> None:
        """Record which servers are candidates, and in which state."""
        now_ms = self._clock()
        for entry in entries:
            track = self.track(entry.service, entry.server)
            track.listed_ms = now_ms
            if entry.state is ServerState.COLD and track.state is not ServerState.COLD:
                track.cold_since_ms = now_ms
            track.state = entry.state

    def warmth(self, track: ServerTrack) -> float:
        """Return the slow start weight of a server, rising to 1."""
        if track.cold_since_ms is None:
            return 1.0
        age_ms = self._clock() - track.cold_since_ms
        return min(1.0, max(COLD_WEIGHT, age_ms / self._options.limits.slow_start_ms))

    def has_room(self, service: ServiceName, server: ServerId) -> bool:
        """Return whether the server has free concurrency now."""
        return self._has_room(self.track(service, server), self._clock())

    def ready_ms(self, service: ServiceName, server: ServerId) -> float:
        """Return the time before which the server takes nothing from this router."""
        track = self.track(service, server)
        return max(track.paused_until_ms, track.ejected_until_ms)

    def usual_latency_ms(self, service: ServiceName) -> float:
        """Return the median over servers of their average latency; 0 if unknown.

        A server that was frozen for a while does not raise it.
        """
        known = [
            track.latency_ms
            for track in self._tracks[service].values()
            if track.samples
        ]
        return statistics.median(known) if known else 0.0

    def likely_latency_ms(self, service: ServiceName) -> float:
        """Return the latency that most answers do not exceed; 0 if unknown."""
        known = [
            track.latency_ms + DEVIATIONS * track.deviation_ms
            for track in self._tracks[service].values()
            if track.samples
        ]
        return statistics.median(known) if known else 0.0

    def usable(
        self, service: ServiceName, entries: Sequence[ServerEntry]
    ) -> list[ServerEntry]:
        """Return the entries that may be chosen at all, whether or not they have room.

        If every candidate is ejected, all are used, since a doubtful server is better
        than none.
        """
        now_ms = self._clock()
        kept = [
            entry
            for entry in entries
            if not self.track(service, entry.server).is_ejected(now_ms)
        ]
        return kept or list(entries)

    def choose(
        self, service: ServiceName, entries: Sequence[ServerEntry]
    ) -> ServerEntry | None:
        """Return the server for one request, or None if none has free concurrency."""
        now_ms = self._clock()
        # Beyond its share of slots a learned limit allows queueing on the server, which
        # takes longer than the way to another data centre.
        share = max(1.0, self._share(service))
        free: list[tuple[ServerEntry, ServerTrack]] = []
        near: list[tuple[ServerEntry, ServerTrack]] = []
        for entry in self.usable(service, entries):
            track = self.track(service, entry.server)
            if not self._has_room(track, now_ms):
                continue
            free.append((entry, track))
            if track.in_flight < share and self.is_near(entry.data_centre):
                near.append((entry, track))
        pool = near or free
        if len(pool) < 2:
            return pool[0][0] if pool else None
        first, second = self._draw_two([self.warmth(track) for _, track in pool])
        return min((pool[first], pool[second]), key=self._pressure)[0]

    def is_near(self, data_centre: DataCentre) -> bool:
        """Return whether servers there are in this router's own data centre."""
        return data_centre == self._options.instance.data_centre

    def start(self, service: ServiceName, server: ServerId) -> None:
        """Count a request that is about to be sent."""
        self.track(service, server).in_flight += 1

    def finish(
        self,
        service: ServiceName,
        server: ServerId,
        started_ms: float,
        observation: Observation,
        latency_ms: float,
    ) -> None:
        """Learn from a finished attempt; the latency is in milliseconds."""
        track = self.track(service, server)
        was_limited = track.in_flight >= math.floor(max(1.0, track.limit))
        track.in_flight -= 1
        match observation:
            case Observation.NOT_SENT:
                return
            case Observation.ANSWERED:
                self._learn_answer(service, track, was_limited, latency_ms)
            case Observation.SHED:
                self._learn_shed(track, started_ms)
            case Observation.FAILED:
                self._learn_failure(service, track)
            case Observation.TIMED_OUT:
                if not self._was_hasty(service, latency_ms):
                    self._learn_failure(service, track)
        self._pause(track)

    def _has_room(self, track: ServerTrack, now_ms: float) -> bool:
        if now_ms < track.paused_until_ms:
            return False
        limit = max(1.0, track.limit * self.warmth(track))
        return track.in_flight < math.floor(limit)

    def _forget_gone(self, tracks: dict[ServerId, ServerTrack]) -> None:
        oldest_ms = self._clock() - FORGOTTEN_MS
        for server, track in list(tracks.items()):
            if track.listed_ms < oldest_ms and not track.in_flight:
                del tracks[server]

    def _share(self, service: ServiceName) -> float:
        return self._options.services[service].slots / self._options.routers

    def _draw_two(self, weights: list[float]) -> tuple[int, int]:
        indexes = range(len(weights))
        first = self._rng.choices(indexes, weights)[0]
        rest = [0.0 if index == first else weights[index] for index in indexes]
        return first, self._rng.choices(indexes, rest)[0]

    def _pressure(self, candidate: tuple[ServerEntry, ServerTrack]) -> float:
        _, track = candidate
        return track.in_flight / self.warmth(track)

    def _learn_answer(
        self,
        service: ServiceName,
        track: ServerTrack,
        was_limited: bool,
        latency_ms: float,
    ) -> None:
        track.failures = 0
        track.samples += 1
        weight = max(LATENCY_WEIGHT, 1 / track.samples)
        error_ms = latency_ms - track.latency_ms
        track.latency_ms += weight * error_ms
        if track.samples > 1:
            track.deviation_ms += weight * (abs(error_ms) - track.deviation_ms)
        if was_limited:
            step = LIMIT_INCREASE / max(1.0, track.limit)
            track.limit = min(self._limit_cap(service), track.limit + step)
        if self._is_slow(service, track):
            self._eject(service, track)
            track.samples = 0

    def _learn_shed(self, track: ServerTrack, started_ms: float) -> None:
        # Requests sent before the last decrease tell nothing about the new limit.
        if started_ms < track.decreased_ms:
            return
        track.decreased_ms = self._clock()
        track.limit = max(LIMIT_FLOOR, track.limit * LIMIT_DECREASE)

    def _learn_failure(self, service: ServiceName, track: ServerTrack) -> None:
        track.failures += 1
        if track.failures >= EJECT_FAILURES:
            self._eject(service, track)

    def _pause(self, track: ServerTrack) -> None:
        if track.limit >= 1.0:
            return
        latency_ms = track.latency_ms or DEFAULT_PAUSE_MS
        # Jitter keeps routers with equal limits from sending at the same time.
        pause_ms = latency_ms * (1 / track.limit - 1) * self._rng.uniform(0.5, 1.5)
        track.paused_until_ms = self._clock() + pause_ms

    def _limit_cap(self, service: ServiceName) -> float:
        connections = self._options.services[service].connections
        return max(1.0, connections / self._options.routers)

    def _was_hasty(self, service: ServiceName, latency_ms: float) -> bool:
        return latency_ms < HASTY_FACTOR * self.usual_latency_ms(service)

    def _is_slow(self, service: ServiceName, track: ServerTrack) -> bool:
        if track.samples < SLOW_SAMPLES or track.latency_ms < SLOW_LEAST_MS:
            return False
        others = [
            other.latency_ms
            for other in self._tracks[service].values()
            if other is not track and other.samples >= SLOW_SAMPLES
        ]
        if not others:
            return False
        return track.latency_ms > SLOW_FACTOR * statistics.median(others)

    def _eject(self, service: ServiceName, track: ServerTrack) -> None:
        now_ms = self._clock()
        if track.is_ejected(now_ms) or not self._may_eject(service, now_ms):
            return
        if now_ms - track.ejected_until_ms > EJECT_FORGIVEN_MS:
            track.ejections = 0
        period_ms = min(EJECT_LONGEST_MS, EJECT_FIRST_MS * 2**track.ejections)
        track.ejections += 1
        track.ejected_until_ms = now_ms + period_ms

    def _may_eject(self, service: ServiceName, now_ms: float) -> bool:
        # The owner of a key has no substitute, so it is only queued for.
        if self._options.services[service].partitioned:
            return False
        listed = [
            track
            for track in self._tracks[service].values()
            if now_ms - track.listed_ms <= LISTED_MS
        ]
        ejected = sum(track.is_ejected(now_ms) for track in listed)
        return ejected + 1 <= EJECT_SHARE * len(listed)

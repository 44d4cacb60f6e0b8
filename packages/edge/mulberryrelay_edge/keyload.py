"""Samples which keys are requested and how long requests take, for rebalancing.

A follower reports its samples to the leader, which plans moves from all of them.
"""

from collections import deque

import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServiceName

from .messages import EdgeRequest, KeyReport, ServiceTimeSum

WINDOW_MS = 2500.0
"""Length of the sampling window."""
SHORT_WINDOW_MS = 1200.0
"""Length of the window if it contains at least ``ENOUGH_SAMPLES`` requests."""
ENOUGH_SAMPLES = 150
"""Number of requests from which on the short window is used."""
MIN_WINDOW_MS = 300.0
"""Minimum window length from which the request rate is computed."""
MAX_SAMPLES = 4000
"""Maximum number of requested keys that are kept for a service."""
MAX_REPORTED_KEYS = 400
"""Maximum number of keys of a service in one report."""
AVERAGED_RESPONSES = 60
"""Number of responses over which the service time is averaged."""


class KeySample(msgspec.Struct, frozen=True):
    """Recently requested keys of a service."""

    keys: list[int]
    """Requested keys in ascending order, one for each request."""
    slots_per_key: float
    """Mean number of slots that each sampled request occupies on an average server."""
    service_ms: float
    """Mean service time of a request on an average server."""


class KeyLoad:
    """Recently requested keys and the mean service time of each service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._keys: dict[ServiceName, deque[tuple[float, int]]] = {}
        self._unreported: dict[ServiceName, list[int]] = {}
        self._service_times: dict[ServiceName, ServiceTimeSum] = {}
        self._unreported_service_times: dict[ServiceName, ServiceTimeSum] = {}

    def record_request(self, request: EdgeRequest) -> None:
        """Record the key of a request at this router."""
        if request.key is None:
            return
        self._add(request.service, request.key)
        report = self._unreported.setdefault(request.service, [])
        if len(report) < MAX_REPORTED_KEYS:
            report.append(request.key)

    def pop_report(self) -> KeyReport:
        """Return what was recorded here since the last call, and clear it."""
        report = KeyReport(self._unreported, self._unreported_service_times)
        self._unreported = {}
        self._unreported_service_times = {}
        return report

    def add_report(self, report: KeyReport) -> None:
        """Record the requests that another router reported."""
        for service, keys in report.keys.items():
            for key in keys[:MAX_REPORTED_KEYS]:
                self._add(service, key)
        for service, service_times in report.service_times.items():
            self._add_service_times(service, service_times)

    def sample(self, service: ServiceName) -> KeySample:
        """Return the recently requested keys, of the short window if it has enough."""
        keys = self._keys.get(service, deque())
        now_ms = self._clock()
        while keys and keys[0][0] < now_ms - WINDOW_MS:
            keys.popleft()
        recent = [key for at_ms, key in keys if at_ms >= now_ms - SHORT_WINDOW_MS]
        window_ms = SHORT_WINDOW_MS
        if len(recent) < ENOUGH_SAMPLES:
            recent = [key for _, key in keys]
            window_ms = WINDOW_MS
        if keys:
            # A new leader has not observed requests for the whole window yet.
            window_ms = min(window_ms, max(MIN_WINDOW_MS, now_ms - keys[0][0]))
        service_ms = self.service_ms(service)
        return KeySample(sorted(recent), service_ms / window_ms, service_ms)

    def service_ms(self, service: ServiceName) -> float:
        """Return the mean service time on an average server; 0 before any response."""
        return self._service_times.get(service, ServiceTimeSum(0, 0.0)).mean_ms

    def record_service_time(self, service: ServiceName, latency_ms: float) -> None:
        """Record the service time of a request at this router."""
        unreported = self._unreported_service_times.get(service, ServiceTimeSum(0, 0.0))
        self._unreported_service_times[service] = unreported.plus(1, latency_ms)
        self._add_service_times(service, ServiceTimeSum(1, latency_ms))

    def _add_service_times(
        self, service: ServiceName, service_times: ServiceTimeSum
    ) -> None:
        updated = self._service_times.get(service, ServiceTimeSum(0, 0.0)).plus(
            service_times.responses, service_times.total_ms
        )
        if updated.responses > AVERAGED_RESPONSES:
            # Reduce the weight of older responses.
            updated = ServiceTimeSum(
                AVERAGED_RESPONSES, updated.mean_ms * AVERAGED_RESPONSES
            )
        self._service_times[service] = updated

    def _add(self, service: ServiceName, key: int) -> None:
        keys = self._keys.get(service)
        if keys is None:
            keys = self._keys[service] = deque(maxlen=MAX_SAMPLES)
        keys.append((self._clock(), key))

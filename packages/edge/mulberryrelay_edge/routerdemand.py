"""Counts the requests without a key that callers send to one router, by service.

A router reports them to the leader, which divides the servers among the routers by
them (``sharetable.py``).
"""

from collections import Counter

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServiceName

MIN_PERIOD_MS = 100.0
"""Shortest time from which a rate is computed."""


class RouterDemandCounter:
    """Requests since the last report."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._requests: Counter[ServiceName] = Counter()
        self._since_ms = clock()

    def record(self, service: ServiceName) -> None:
        """Record a request of a caller, whether or not it is served."""
        self._requests[service] += 1

    def pop_rates(self) -> dict[ServiceName, float]:
        """Return the requests per second since the last call, and start anew."""
        now_ms = self._clock()
        period_ms = max(MIN_PERIOD_MS, now_ms - self._since_ms)
        rates = {
            service: round(1000.0 * requests / period_ms, 2)
            for service, requests in self._requests.items()
        }
        self._requests.clear()
        self._since_ms = now_ms
        return rates

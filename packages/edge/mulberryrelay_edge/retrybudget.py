"""Limits the number of retries of all routers together.

The deployment allows a share of all requests to be retried, and some more in each time
window. Each router spends the share of its own requests. The rest is divided among the
routers that the leader counts: each fills a token bucket at its part of the rate. A
bucket starts empty, since the process before a restart may have spent its tokens, and
is not filled while the number of routers is unknown. So all routers together stay
within the budget at any number of them, after a restart of all and during a takeover.
"""

from collections import deque
from collections.abc import Callable

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServiceName

from .options import EdgeOptions

USED_SHARE = 0.7
"""Share of the budget that is spent; the rest allows for uneven traffic."""
BURST_SHARE = 0.5
"""Share of a router's part that it may spend at once.

The other half is what the bucket is filled with in one window.
"""


class _TokenBucket:
    """Retries of one service beyond the share of its requests."""

    def __init__(self, now_ms: float) -> None:
        self._tokens = 0.0
        self._filled_ms = now_ms

    def try_consume(self, now_ms: float, part: float, window_ms: float) -> bool:
        """Return whether a retry is allowed; ``part`` is allowed in any window."""
        rate = (1 - BURST_SHARE) * part / window_ms
        self._tokens += rate * (now_ms - self._filled_ms)
        self._tokens = min(self._tokens, BURST_SHARE * part)
        self._filled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryBudget:
    """Retries of one router in a sliding time window, for each service."""

    def __init__(
        self,
        options: Callable[[], EdgeOptions],
        routers: Callable[[], int | None],
        clock: Clock,
    ) -> None:
        """``routers`` returns the number of routers, or None if it is unknown."""
        self._options = options
        self._routers = routers
        self._clock = clock
        self._started_ms = clock()
        self._requests: dict[ServiceName, deque[float]] = {}
        self._retries: dict[ServiceName, deque[float]] = {}
        """Retries that the share of the requests allowed."""
        self._buckets: dict[ServiceName, _TokenBucket] = {}

    def record_request(self, service: ServiceName) -> None:
        """Count a request, which adds to the budget of its service."""
        self._requests.setdefault(service, deque()).append(self._clock())

    def try_consume(self, service: ServiceName) -> bool:
        """Return whether the budget allows a retry, and count it if so."""
        requests = self._requests.setdefault(service, deque())
        retries = self._retries.setdefault(service, deque())
        options = self._options()
        now_ms = self._clock()
        for times in (requests, retries):
            while times and times[0] < now_ms - options.retry_window_ms:
                times.popleft()
        if len(retries) + 1 <= USED_SHARE * options.retry_ratio * len(requests):
            retries.append(now_ms)
            return True
        bucket = self._buckets.setdefault(service, _TokenBucket(self._started_ms))
        return bucket.try_consume(now_ms, self._part(), options.retry_window_ms)

    def _part(self) -> float:
        """Return this router's part of the retries beyond the share of requests."""
        routers = self._routers()
        if routers is None:
            return 0.0
        options = self._options()
        # Routers that the leader does not reach spend their part, too, so the budget is
        # never divided among fewer than the configured number.
        return USED_SHARE * options.retry_slack / max(options.min_routers, routers)

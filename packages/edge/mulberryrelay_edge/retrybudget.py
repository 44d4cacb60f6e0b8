"""Limits the number of retries of all routers together.

The deployment allows a share of all requests to be retried, and some more in each time
window. Each router spends the share of its own requests. The rest is divided among the
routers that the leader counts: each fills a token bucket at its part of the rate. A
bucket starts empty, since the process before a restart may have spent its tokens, and
is not filled while the number of routers is unknown. So all routers together stay
within the budget at any number of them, after a restart of all and during a takeover.

A retry counts from the decision until its attempt has ended, and in the window after it
was dispatched: many may wait for a server and reach it in one window.
"""

import functools
from bisect import insort
from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

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
        self._pending = 0
        """Retries whose attempts have not ended; no tokens fill their place."""

    def try_consume(self, now_ms: float, part: float, window_ms: float) -> bool:
        """Return whether a retry is allowed; ``part`` is allowed in any window.

        The retry is pending until ``end`` is called.
        """
        rate = (1 - BURST_SHARE) * part / window_ms
        self._tokens += rate * (now_ms - self._filled_ms)
        room = max(0.0, BURST_SHARE * part - self._pending)
        self._tokens = min(self._tokens, room)
        self._filled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self._pending += 1
        return True

    def end(self) -> None:
        """Record that the attempt of a retry has ended."""
        self._pending -= 1


class RequestRetries:
    """Retries of one request, of which one at a time is pending."""

    def __init__(
        self,
        try_start: Callable[[], Callable[[float | None], None] | None],
        clock: Clock,
    ) -> None:
        """``try_start`` returns what ends a retry that is allowed, else None.

        That gets the time at which the retry was dispatched, or None if it was not.
        """
        self._try_start = try_start
        self._clock = clock
        self._end: Callable[[float | None], None] | None = None
        self._dispatched_ms: float | None = None

    def try_consume(self) -> bool:
        """Return whether the budget allows a retry, which is pending if so."""
        self.end()
        self._end = self._try_start()
        return self._end is not None

    def try_consume_early(self) -> bool:
        """Return whether the budget allows a retry while an attempt still goes on.

        That attempt may itself be a pending retry, and goes on if this one is not
        allowed.
        """
        end = self._try_start()
        if end is None:
            return False
        self.end()
        self._end = end
        return True

    def record_dispatched(self) -> None:
        """Record that an attempt leaves the queue for its server."""
        self._dispatched_ms = self._clock()

    def end(self) -> None:
        """Record that the attempt of the pending retry has ended, if there is one."""
        if self._end is not None:
            self._end(self._dispatched_ms)
        self._end = None
        self._dispatched_ms = None


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
        """When retries were dispatched that the share of the requests allowed."""
        self._pending: Counter[ServiceName] = Counter()
        """Such retries whose attempts have not ended."""
        self._buckets: dict[ServiceName, _TokenBucket] = {}

    def record_request(self, service: ServiceName) -> None:
        """Count a request, which adds to the budget of its service."""
        self._requests.setdefault(service, deque()).append(self._clock())

    @contextmanager
    def open(self, service: ServiceName) -> Iterator[RequestRetries]:
        """Yield the retries of one request, the last of which ends with the context."""
        retries = RequestRetries(lambda: self._try_start(service), self._clock)
        try:
            yield retries
        finally:
            retries.end()

    def try_consume(self, service: ServiceName) -> bool:
        """Return whether a retry that is sent at once is allowed, and count it."""
        with self.open(service) as retries:
            is_allowed = retries.try_consume()
            retries.record_dispatched()
            return is_allowed

    def _try_start(self, service: ServiceName) -> Callable[[float | None], None] | None:
        """Return what ends a retry if the budget allows one."""
        requests = self._requests.setdefault(service, deque())
        retries = self._retries.setdefault(service, deque())
        options = self._options()
        now_ms = self._clock()
        for times in (requests, retries):
            while times and times[0] < now_ms - options.retry_window_ms:
                times.popleft()
        counted = len(retries) + self._pending[service]
        if counted + 1 <= USED_SHARE * options.retry_ratio * len(requests):
            self._pending[service] += 1
            return functools.partial(self._end_in_share, service)
        bucket = self._buckets.setdefault(service, _TokenBucket(self._started_ms))
        if bucket.try_consume(now_ms, self._part(), options.retry_window_ms):
            return lambda dispatched_ms: bucket.end()
        return None

    def _end_in_share(self, service: ServiceName, dispatched_ms: float | None) -> None:
        """Count a retry in the window after it was dispatched, if it was."""
        self._pending[service] -= 1
        if dispatched_ms is not None:
            insort(self._retries[service], dispatched_ms)

    def _part(self) -> float:
        """Return this router's part of the retries beyond the share of requests."""
        routers = self._routers()
        if routers is None:
            return 0.0
        options = self._options()
        # Routers that the leader does not reach spend their part, too, so the budget is
        # never divided among fewer than the configured number.
        return USED_SHARE * options.retry_slack / max(options.min_routers, routers)

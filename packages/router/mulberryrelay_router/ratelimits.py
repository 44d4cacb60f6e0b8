"""Token buckets for rate limits, and the retry budget."""

from mulberryrelay_kernel.clock import Clock

BURST_S = 0.25
"""Capacity of a token bucket in seconds of its rate; it is at least one request."""
RETRY_RESERVE = 10.0
"""Maximum number of saved retries. A new router starts with all of them, because a
server may fail before the router has seen enough requests to save any."""


class TokenBucket:
    """Limits the rate of requests, in requests per second."""

    def __init__(self, per_second: float, clock: Clock) -> None:
        self._per_second = per_second
        self._clock = clock
        self._burst = max(1.0, per_second * BURST_S)
        self._tokens = self._burst
        self._refilled_ms = clock()

    @property
    def per_second(self) -> float:
        """Refill rate in requests per second."""
        return self._per_second

    def try_acquire(self) -> bool:
        """Take a token; return whether one was available."""
        now_ms = self._clock()
        refill = (now_ms - self._refilled_ms) / 1000 * self._per_second
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryBudget:
    """Limits retries to a ratio of the requests."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._available = RETRY_RESERVE

    def record_request(self) -> None:
        """Count a request or a retry, which adds the ratio to the budget."""
        self._available = min(RETRY_RESERVE, self._available + self._ratio)

    def try_acquire(self) -> bool:
        """Spend one retry; return whether the budget allows it.

        A retry is also counted as a request and adds the ratio to the budget. Its cost
        includes that amount.
        """
        cost = 1.0 + self._ratio
        # The tolerance covers rounding errors in sums of the ratio.
        if self._available < cost - 1e-9:
            return False
        self._available -= cost
        return True

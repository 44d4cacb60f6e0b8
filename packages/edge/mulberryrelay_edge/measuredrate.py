"""Finds the rate at which a server with a long queue takes requests.

The owner of a hot key may get more requests than its slots can run. The leader then
paces the requests of all routers to it (``sendschedule.py``). It starts with an
estimate and corrects the rate by the queue that responses report: a long queue shows
that the rate is too high, an empty one that slots may idle. It answers demand above the
capacity of a key owner, from any number of routers.
"""

TARGET_QUEUE = 0.75
"""Requests that are to wait at the server, so that no slot idles between two."""
ADJUST_PERIOD_MS = 150.0
"""Minimum time between two corrections, in which the previous one takes effect."""
BASE_DECREASE = 0.015
"""Relative decrease of the base rate for each waiting request beyond the target."""
BASE_INCREASE = 0.04
"""Relative increase of the base rate for each request that the queue is too short by.

Larger than the decrease: slots that idle show at once that the estimate is too low.
"""
MAX_BASE_DECREASE = 0.04
MAX_BASE_INCREASE = 0.04
"""Largest relative changes of the base rate in one correction."""
LONG_QUEUE_GAIN = 0.12
"""Share of the base rate that is held back for each waiting request beyond the target.

It empties a long queue without a change of the base rate.
"""
SHORT_QUEUE_GAIN = 0.12
"""Share of the base rate that is added for each request that the queue is too short by.
"""
MIN_QUEUE_FACTOR = 0.4
MAX_QUEUE_FACTOR = 1.1
MIN_SHARE = 0.4
"""Smallest base rate as a share of the first estimate."""
MAX_SHARE = 3.0
"""Largest base rate as a share of the first estimate."""


class MeasuredRate:
    """Requests per second that a server takes from all routers."""

    def __init__(self, estimate_per_s: float, now_ms: float) -> None:
        self._estimate_per_s = estimate_per_s
        self._base_per_s = estimate_per_s
        self._queue_factor = 1.0
        self._adjusted_ms = now_ms
        self._queue_sum = 0.0
        self._reports = 0

    @property
    def per_s(self) -> float:
        """The rate in force."""
        return self._base_per_s * self._queue_factor

    def record_queue(self, length: float, now_ms: float) -> None:
        """Record the queue that a router observed, and correct the rate if due."""
        self._queue_sum += length
        self._reports += 1
        if now_ms - self._adjusted_ms < ADJUST_PERIOD_MS:
            return
        excess = self._queue_sum / self._reports - TARGET_QUEUE
        if excess > 0:
            change = -min(MAX_BASE_DECREASE, BASE_DECREASE * excess)
            factor = 1.0 - LONG_QUEUE_GAIN * excess
        else:
            change = min(MAX_BASE_INCREASE, -BASE_INCREASE * excess)
            factor = 1.0 - SHORT_QUEUE_GAIN * excess
        self._base_per_s = _clamp(
            self._base_per_s * (1.0 + change),
            MIN_SHARE * self._estimate_per_s,
            MAX_SHARE * self._estimate_per_s,
        )
        self._queue_factor = _clamp(factor, MIN_QUEUE_FACTOR, MAX_QUEUE_FACTOR)
        self._adjusted_ms = now_ms
        self._queue_sum = 0.0
        self._reports = 0


def _clamp(value: float, smallest: float, largest: float) -> float:
    return min(largest, max(smallest, value))

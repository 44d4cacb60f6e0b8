"""Estimates how long a request would wait in this router's queue.

A request that cannot be answered within its target latency is refused at once, so that
its caller can return when there is room, instead of being held until it is too late. It
answers load above the capacity of a service; below it the estimate is short.
"""

import random
from collections.abc import Iterable

USED_TARGET_SHARE = 0.75
"""Share of the target latency that a request may be expected to take.

The rest allows for errors of the estimate.
"""
MIN_RETRY_AFTER_S = 0.1
MIN_ON_TIME_RETURN_S = 0.02
ON_TIME_RETURN_SHARE = 0.25
"""Share of the time that a request has to spare after which its caller may return.

The rest is for the wait and the errors of the estimate.
"""
MAX_RETRY_AFTER_S = 1.0


def expected_wait_ms(
    first_wait_ms: float, ahead: int, windows: Iterable[float], latency_ms: float
) -> float:
    """Return the expected wait of a request behind ``ahead`` others.

    The first request in the queue waits ``first_wait_ms``. ``windows`` are the requests
    that this router may have in flight at each server that may run them, and
    ``latency_ms`` is the usual time of one request.
    """
    return first_wait_ms + ahead * latency_ms / sum(windows)


def max_wait_ms(
    target_ms: float, latency_ms: float, queue_deadline_left_ms: float
) -> float:
    """Return how long a new request may wait and still be of full value to its caller.

    If it cannot meet its target even without a wait, it may wait until its deadline.
    """
    if latency_ms >= target_ms:
        return max(0.0, queue_deadline_left_ms)
    return max(0.0, USED_TARGET_SHARE * target_ms - latency_ms)


def retry_after_s(excess_ms: float) -> float:
    """Return when a refused caller should return; ``excess_ms`` is the wait too much.

    The times are spread, so that refused callers do not return together.
    """
    seconds = excess_ms / 1000 * random.uniform(0.5, 1.5)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))


def on_time_return_s(target_ms: float, latency_ms: float) -> float:
    """Return when a refused caller should return to be served within its target."""
    spare_s = max(0.0, target_ms - latency_ms) / 1000
    seconds = ON_TIME_RETURN_SHARE * spare_s * random.uniform(0.5, 1.5)
    return max(MIN_ON_TIME_RETURN_S, seconds)

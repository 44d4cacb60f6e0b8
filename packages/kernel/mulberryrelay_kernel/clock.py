"""Elapsed time.

Leases and deadlines are compared only with this clock of the own process. It
goes on while the process is stopped, so that a resumed process finds its lease expired.
"""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns elapsed milliseconds since an arbitrary point in the past."""


def monotonic_ms() -> float:
    """Return elapsed milliseconds of the operating system's monotonic clock."""
    return time.monotonic_ns() / 1e6


def suspended_ms() -> float:
    """Return elapsed milliseconds, counting time in which the machine was suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6

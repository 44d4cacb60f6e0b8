"""Clocks for elapsed time, in milliseconds.

A process compares leases and deadlines only with a clock of its own host, never with
times that another process sent. These clocks keep running while the process is stopped
(SIGSTOP), so a resumed process finds that its lease has expired.
"""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""A function that returns the milliseconds since an arbitrary fixed moment."""


def monotonic_ms() -> float:
    """Return the operating system's monotonic clock in milliseconds.

    On Linux it stands still while the machine is suspended; see ``boottime_ms``.
    """
    return time.monotonic_ns() / 1e6


def boottime_ms() -> float:
    """Return the boot clock in milliseconds, which includes time spent suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6

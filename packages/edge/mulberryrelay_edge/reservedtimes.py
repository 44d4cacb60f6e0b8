"""The limit of one server, and the times at which requests may be sent to it."""

import random
from collections import deque

from mulberryrelay_kernel.ids import ScheduleId
from mulberryrelay_kernel.logs import log_event

from .messages import BackendServer


class ReservedTimes:
    """The limit of one incarnation of a server, and the reserved times."""

    def __init__(
        self, server: BackendServer, limit_per_s: float, is_cold: bool = False
    ) -> None:
        self.server = server
        self.is_cold = is_cold
        """Whether it is the limit of a cold server, not one that the server states."""
        self.limit_per_s = limit_per_s
        self.logged_per_s = limit_per_s
        self.reserved_ms: deque[float] = deque()
        """Times at which a request may be sent, in ascending order."""
        self.reserved_per_s = limit_per_s
        """Limit under which these times were reserved."""
        self.wanted = 0
        """Requests that wait for a reserved time and have not asked for one yet."""
        self.asked = 0
        """Requests for which a time is being reserved."""
        self.schedule = ScheduleId("")
        """Schedule in which the times are reserved."""
        self.confirmed_ms = float("-inf")
        """Time of the last request to which this schedule replied."""
        self.is_ask_due = False
        """Whether the schedule has to be asked for times, or to confirm them."""
        self.max_wait_ms = 0.0
        self.free_ms = float("-inf")
        """No time before this one can be reserved, as far as is known."""
        self.return_ms = float("-inf")
        """Time at which refused callers should return."""
        self.is_estimate = False
        """Whether the server states no limit, and is paced as it is overloaded."""
        self.needed_ms = float("-inf")
        """Time of the last reply of a leader that names the server as paced."""
        self.queue_lengths: list[float] = []
        """Queues in the responses since the last request for times."""
        self.removed_ms: float | None = None
        """Time at which the server's entry was removed; None while it has one."""


def drop_times(limit: ReservedTimes, reason: str) -> None:
    """Drop all reserved times, since their schedule may no longer be in use."""
    if not limit.reserved_ms:
        return
    log_event(
        "reserved_times_dropped",
        server=limit.server.server,
        times=len(limit.reserved_ms),
        schedule=limit.schedule,
        reason=reason,
    )
    limit.reserved_ms.clear()


def give_up_times(limit: ReservedTimes) -> None:
    """Give up so many reserved times that the others are within a lowered limit.

    The random start lets routers with one time each give up their part together.
    """
    share = limit.limit_per_s / limit.reserved_per_s
    kept: deque[float] = deque()
    credit = random.random()
    for time_ms in limit.reserved_ms:
        credit += share
        if credit < 1:
            continue
        credit -= 1
        kept.append(time_ms)
    limit.reserved_ms = kept
    limit.reserved_per_s = limit.limit_per_s


def pop_mean(lengths: list[float]) -> float | None:
    """Return the mean of a list and clear it; None if it is empty."""
    if not lengths:
        return None
    mean = sum(lengths) / len(lengths)
    lengths.clear()
    return mean

"""Bounds how often requests are sent again, without talking to other routers."""

from collections import deque
from collections.abc import Callable

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServiceName

from .options import EdgeOptions

# Part of the budget that is used; the rest allows for uneven traffic.
USED_SHARE = 0.7


class RetryBudget:
    """Repeated sends of one router in a sliding window, for each service."""

    def __init__(
        self,
        options: Callable[[], EdgeOptions],
        routers: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._options = options
        self._routers = routers
        self._clock = clock
        self._requests: dict[ServiceName, deque[float]] = {}
        self._repeats: dict[ServiceName, deque[float]] = {}

    def note_request(self, service: ServiceName) -> None:
        """Count the first send of a request."""
        self._requests.setdefault(service, deque()).append(self._clock())

    def take(self, service: ServiceName) -> bool:
        """Take one repeated send; return whether the budget allows it."""
        requests = self._requests.setdefault(service, deque())
        repeats = self._repeats.setdefault(service, deque())
        options = self._options()
        oldest_ms = self._clock() - options.retry_window_ms
        for times in (requests, repeats):
            while times and times[0] < oldest_ms:
                times.popleft()
        # Routers that are out of touch spend their part, too.
        slack = options.retry_slack / max(options.routers, self._routers())
        allowed = USED_SHARE * (options.retry_ratio * len(requests) + slack)
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(self._clock())
        return True

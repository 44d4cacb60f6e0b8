"""Limits the number of retries without coordination between routers.

The deployment allows a share of all requests to be retried, and some more in each time
window. Each router spends the share of its own requests and an equal part of the rest.
"""

from collections import deque
from collections.abc import Callable

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServiceName

from .options import EdgeOptions

USED_SHARE = 0.7
"""Share of the budget that is spent; the rest allows for uneven traffic."""


class RetryBudget:
    """Retries of one router in a sliding time window, for each service."""

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
        self._retries: dict[ServiceName, deque[float]] = {}

    def record_request(self, service: ServiceName) -> None:
        """Count a request, which adds to the budget of its service."""
        self._requests.setdefault(service, deque()).append(self._clock())

    def try_consume(self, service: ServiceName) -> bool:
        """Return whether the budget allows a retry, and count it if so."""
        requests = self._requests.setdefault(service, deque())
        retries = self._retries.setdefault(service, deque())
        options = self._options()
        oldest_ms = self._clock() - options.retry_window_ms
        for times in (requests, retries):
            while times and times[0] < oldest_ms:
                times.popleft()
        # Routers that this one cannot reach spend their part, too, so the budget is
        # never divided among fewer than the configured number.
        slack = options.retry_slack / max(options.min_routers, self._routers())
        allowed = USED_SHARE * (options.retry_ratio * len(requests) + slack)
        if len(retries) + 1 > allowed:
            return False
        retries.append(self._clock())
        return True

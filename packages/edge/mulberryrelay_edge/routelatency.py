"""The latency of a route, and when a response is overdue.

A multiple of the mean alone would take the slow requests of a route whose latencies
vary widely for overdue, so the mean deviation counts as well.
"""

MEAN_WEIGHT = 0.05
"""Weight of the newest response in the moving averages."""
KNOWN_RESPONSES = 20
"""Responses from which on it is known what is usual."""
OVERDUE_FACTOR = 4.0
"""Multiple of the usual latency after which a request in flight is overdue."""
OVERDUE_DEVIATIONS = 6.0
"""Mean deviations above the mean after which a response is overdue.

Of exponentially distributed latencies 0.5 % are longer.
"""
UNKNOWN_DEVIATION = 1.0
"""Mean deviation that is assumed while it is unknown, relative to the mean."""
MIN_OVERDUE_MS = 400.0
"""Minimum time in flight after which a request is overdue.

Also the time without any response after which a server may count as unresponsive.
"""


class RouteLatency:
    """Moving averages of the time from send to response of one route."""

    def __init__(self, initial_ms: float) -> None:
        """``initial_ms`` is the assumed mean before the first response."""
        self._mean_ms = initial_ms
        self._deviation_ms = 0.0
        self._responses = 0

    @property
    def mean_ms(self) -> float:
        return self._mean_ms

    def record(self, latency_ms: float) -> None:
        """Record the latency of a response."""
        difference_ms = latency_ms - self._mean_ms
        self._mean_ms += MEAN_WEIGHT * difference_ms
        self._deviation_ms += MEAN_WEIGHT * (abs(difference_ms) - self._deviation_ms)
        self._responses += 1

    def overdue_after_ms(self, slowdown: float) -> float | None:
        """Return the time after which a server's response is overdue.

        ``slowdown`` is the server's latency relative to the usual one. None before the
        usual one is known.
        """
        if self._responses < KNOWN_RESPONSES:
            return None
        return _overdue_after_ms(self._mean_ms, self._deviation_ms, slowdown)


def overdue_after_mean_ms(mean_ms: float, slowdown: float) -> float:
    """Return the same for a route of which only the mean is known."""
    return _overdue_after_ms(mean_ms, UNKNOWN_DEVIATION * mean_ms, slowdown)


def _overdue_after_ms(mean_ms: float, deviation_ms: float, slowdown: float) -> float:
    latest_ms = max(
        OVERDUE_FACTOR * mean_ms, mean_ms + OVERDUE_DEVIATIONS * deviation_ms
    )
    # A server that is usually fast may become slow without being full.
    return max(MIN_OVERDUE_MS, max(1.0, slowdown) * latest_ms)

"""Limits how much one router sends to one server, by the queue that the server reports.

Many routers send to the same server and do not see each other's requests. Each adapts
its own window: it grows while the server reports a short queue and shrinks while the
queue is long, so that all routers together keep the slots busy without filling the
queue. With many routers a window is below one request: the router then pauses between
its requests. It answers load near or above the capacity of a service, from any number
of routers.
"""

from mulberryrelay_kernel.clock import Clock

from .messages import LoadReport

INITIAL_WINDOW = 2.0
"""Requests in flight at a server before its first response."""
MIN_WINDOW = 0.05
"""Smallest window: one request in 20 times the server's latency."""
MAX_QUEUE = 4.0
"""Requests by which a window may exceed the slots of the server."""
GROWTH = 0.5
"""Growth of the window per window of responses, as in TCP."""
IDLE_GROWTH = 0.05
"""Growth of a window below one request, per latency without a response."""
QUEUE_SHARE = 0.125
"""Requests that may wait at the server, as a share of its slots, while windows grow."""
MAX_DECREASE = 0.5
"""Maximum share by which a response with a long queue reduces the window."""
CONGESTION_LATENCIES = 8.0
"""Time for which a server counts as congested, as a multiple of its latency."""
REFUSAL_FACTOR = 0.5
"""Factor on the window after a refusal or a failure."""


class SendWindow:
    """Number of requests that this router may have in flight at one server."""

    def __init__(self, slots: int, clock: Clock) -> None:
        self._slots = slots
        self._clock = clock
        self._size = INITIAL_WINDOW
        self._last_sent_ms = float("-inf")
        self._last_decrease_ms = float("-inf")
        self._adapted_ms = clock()
        self._closed_until_ms = float("-inf")

    def size(self, latency_ms: float) -> float:
        """Return the requests in flight on average; below 1 there are pauses.

        Without responses, a window slowly grows back to one request, since what the
        router knew of the server's queue is outdated.
        """
        if self._size >= 1.0:
            return self._size
        age_ms = self._clock() - self._adapted_ms
        return min(1.0, self._size + IDLE_GROWTH * age_ms / latency_ms)

    def is_congested(self, latency_ms: float) -> bool:
        """Return whether the server lately had a long queue or refused a request."""
        age_ms = self._clock() - self._last_decrease_ms
        return age_ms < CONGESTION_LATENCIES * latency_ms

    def is_open(self, in_flight: int, latency_ms: float) -> bool:
        """Return whether one more request may be sent now."""
        return self.wait_ms(in_flight, latency_ms) <= 0

    def wait_ms(self, in_flight: int, latency_ms: float) -> float:
        """Return the expected time until one more request may be sent."""
        closed_ms = max(0.0, self._closed_until_ms - self._clock())
        return max(closed_ms, self.room_wait_ms(in_flight, latency_ms))

    def room_wait_ms(self, in_flight: int, latency_ms: float) -> float:
        """Return the expected time until there is room, also while it is closed."""
        size = self.size(latency_ms)
        if size >= 1.0:
            return 0.0 if in_flight < size else latency_ms / size
        if in_flight:
            return latency_ms / size
        return max(0.0, self._last_sent_ms + latency_ms / size - self._clock())

    def record_sent(self) -> None:
        """Record that a request was sent."""
        self._last_sent_ms = self._clock()

    def record_response(self, load: LoadReport | None, latency_ms: float) -> None:
        """Adapt the window to the queue that a response reports."""
        self._size = self.size(latency_ms)
        self._adapted_ms = self._clock()
        target = QUEUE_SHARE * self._slots
        if load is None or load.waiting <= target:
            self._size += GROWTH / max(1.0, self._size)
            self._size = min(self._size, self._slots + MAX_QUEUE)
            return
        excess = (load.waiting - target) / load.waiting
        self._decrease(1.0 - MAX_DECREASE * excess, latency_ms)

    def record_refusal(self, latency_ms: float) -> None:
        """Shrink the window, because the server refused or failed a request."""
        self._decrease(REFUSAL_FACTOR, latency_ms)

    @property
    def is_closed(self) -> bool:
        """Whether no requests are let through, whatever their number."""
        return self._clock() < self._closed_until_ms

    def close_for(self, for_ms: float) -> None:
        """Let no requests through for some time, because the server is full."""
        self._closed_until_ms = max(self._closed_until_ms, self._clock() + for_ms)

    def _decrease(self, factor: float, latency_ms: float) -> None:
        """Shrink the window once per latency, since later responses show the effect."""
        now_ms = self._clock()
        if now_ms - self._last_decrease_ms < latency_ms:
            return
        self._last_decrease_ms = now_ms
        self._size = max(MIN_WINDOW, self.size(latency_ms) * factor)
        self._adapted_ms = now_ms

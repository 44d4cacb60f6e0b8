"""Watches an attempt whose response may never come.

Some servers stop responding when they are full: the connection that carried the request
never brings a response. An attempt is overdue after a multiple of what is usual. It is
reported once, and is given up as soon as it may be retried elsewhere.
"""

import asyncio
from collections.abc import Callable

STALL_GRACE_S = 0.02
"""Time in which responses are read that arrived while this process stood still."""
CHECK_PERIOD_S = 0.1
"""Period in which an overdue attempt that was not given up is checked again."""


class OverdueWatch:
    """Watches one attempt from its write to the head of its response."""

    def __init__(
        self,
        after_ms: float,
        on_overdue: Callable[[], None],
        gives_up: Callable[[], bool] | None,
    ) -> None:
        """``after_ms`` is the time from the write after which the attempt is overdue.

        ``gives_up`` returns whether an overdue attempt is to be given up now, or is
        None if it never is.
        """
        self._after_ms = after_ms
        self._on_overdue = on_overdue
        self._gives_up = gives_up
        self._abandon: Callable[[], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_given_up = False

    @property
    def is_given_up(self) -> bool:
        """Whether the attempt was abandoned because it was overdue."""
        return self._is_given_up

    def start(self, abandon: Callable[[], None]) -> None:
        """Watch the attempt, which is written now; ``abandon`` ends it."""
        self._abandon = abandon
        self._schedule(self._after_ms / 1000, self._wait_for_loop)

    def stop(self) -> None:
        """End the watch, since the response has begun or the attempt has ended."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        # The attempt refers to its watch. Without the cycle, the response is freed at
        # once and not only when the garbage collector runs.
        self._abandon = None

    def _wait_for_loop(self) -> None:
        """Let the event loop handle what arrived before; timers may come first."""
        self._schedule(STALL_GRACE_S, self._report)

    def _report(self) -> None:
        self._on_overdue()
        if self._gives_up is not None:
            self._check(self._gives_up)

    def _check(self, gives_up: Callable[[], bool]) -> None:
        if not gives_up():
            self._schedule(CHECK_PERIOD_S, lambda: self._check(gives_up))
            return
        self._is_given_up = True
        if self._abandon is not None:
            self._abandon()

    def _schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, callback)

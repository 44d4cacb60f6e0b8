"""An asyncio event loop with virtual time, for fast and deterministic simulations."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Value = TypeVar("Value")


class _VirtualSelector(selectors.SelectSelector):
    """Advances virtual time by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError(
                "deadlock in virtual time: all tasks wait and no timer is scheduled"
            )
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order of their time, without waiting."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now_s

    def clock(self) -> float:
        """Return the virtual time in milliseconds; usable as a ``Clock``."""
        return self._virtual.now_s * 1000


def run_virtual(main: Coroutine[Any, Any, Value]) -> Value:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


def virtual_clock() -> float:
    """Return the running loop's virtual time in milliseconds; usable as a ``Clock``."""
    return asyncio.get_running_loop().time() * 1000

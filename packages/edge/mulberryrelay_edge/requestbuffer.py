"""Bounds the memory that the bodies of callers' requests take.

A body is held as a whole from its first byte until its request has a response. Bodies
that would exceed the bound wait for room, in order of arrival, before they are read, so
that their callers' connections hold them back. Bodies that make no progress give way
to them.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from mulberryrelay_kernel.logs import log_event

SMALL_BYTES = 16_384
"""Length up to which a body is not counted here, but by its connection."""
STALL_S = 1.0
"""Time without progress after which a body gives way to others."""
PROGRESS_STEPS = 64
"""Parts of a body, each of which counts as progress once it has arrived."""
PROGRESS_BYTES = 4096
"""What counts as progress of a body of unknown length."""
BORROW_STEP_BYTES = 1_048_576
"""Bytes of a body beyond the bound that are taken from other holders at a time."""
SWEEP_PERIOD_S = 0.25
"""Period in which stalled bodies are looked for while others wait."""


class _Waiting(msgspec.Struct, eq=False):
    """A body that waits for room."""

    count: int
    granted: asyncio.Future[None]


class RequestBuffer:
    """The bytes of all bodies that are held."""

    def __init__(
        self, max_bytes: int, on_borrow: Callable[[int], None] = lambda _: None
    ) -> None:
        """``on_borrow`` is called with the bytes that have arrived beyond the bound.

        It must take them from other holders of memory. They count in steps.
        """
        self._max_bytes = max_bytes
        self._on_borrow = on_borrow
        self._arrived_bytes = 0
        self._borrowed_steps = 0
        self._held_bytes = 0
        self._waiting: deque[_Waiting] = deque()
        self._holds: set[BodyHold] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def held_bytes(self) -> int:
        """Number of bytes for which there is room in use."""
        return self._held_bytes

    def open(self) -> "BodyHold":
        """Return a hold for one body, which has to be closed."""
        return BodyHold(self)

    def try_take(self, hold: "BodyHold", count: int) -> bool:
        """Take room at once, before bodies that wait; return whether there is any."""
        if not self._has_room(count, hold.taken_bytes):
            self._evict_stalled(count, hold)
        if not self._has_room(count, hold.taken_bytes):
            return False
        self._held_bytes += count
        self._holds.add(hold)
        return True

    async def take(self, hold: "BodyHold", count: int, timeout_s: float) -> bool:
        """Wait for room for a body; return whether there was any in time.

        A body longer than the bound gets room while no other is held. The rest of its
        bytes is borrowed from other holders of memory as it arrives.
        """
        if not self._waiting and self.try_take(hold, count):
            return True
        if timeout_s <= 0 or not await self._wait(count, timeout_s):
            return False
        self._holds.add(hold)
        return True

    def give_back(self, hold: "BodyHold", count: int) -> None:
        """Give a body's room back, and let the bodies that wait have it."""
        self._holds.discard(hold)
        self._held_bytes -= count
        self._grant_waiting()

    def record_arrived(self, count: int) -> None:
        """Count bytes that have arrived, or, if negative, that are dropped."""
        self._arrived_bytes += count
        excess_bytes = max(0, self._arrived_bytes - self._max_bytes)
        steps = -(-excess_bytes // BORROW_STEP_BYTES)
        if steps != self._borrowed_steps:
            self._borrowed_steps = steps
            self._on_borrow(steps * BORROW_STEP_BYTES)

    async def _wait(self, count: int, timeout_s: float) -> bool:
        loop = asyncio.get_running_loop()
        granted = loop.create_future()
        waiting = _Waiting(count, granted)
        self._waiting.append(waiting)
        if self._sweep_timer is None:
            self._sweep_timer = loop.call_later(SWEEP_PERIOD_S, self._sweep)
        try:
            async with asyncio.timeout(timeout_s):
                await granted
        except TimeoutError:
            # The room may be granted in the same turn of the event loop.
            return granted.done() and not granted.cancelled()
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self._held_bytes -= count
            raise
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            self._grant_waiting()
        return True

    def _has_room(self, count: int, own_bytes: int = 0) -> bool:
        """Return whether a body may take more bytes than its own; always if alone."""
        is_alone = self._held_bytes == own_bytes
        return is_alone or self._held_bytes + count <= self._max_bytes

    def _grant_waiting(self) -> None:
        while self._waiting and self._has_room(self._waiting[0].count):
            waiting = self._waiting.popleft()
            if waiting.granted.done():
                continue
            self._held_bytes += waiting.count
            waiting.granted.set_result(None)

    def _sweep(self) -> None:
        """Make room for the first body that waits."""
        self._sweep_timer = None
        if not self._waiting:
            return
        self._evict_stalled(self._waiting[0].count)
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_PERIOD_S, self._sweep)

    def _evict_stalled(self, count: int, taker: "BodyHold | None" = None) -> None:
        """End bodies without progress until there is room, if there are any.

        The first ones are those that have held most bytes for the longest time.
        """
        now_s = asyncio.get_running_loop().time()
        own_bytes = taker.taken_bytes if taker is not None else 0
        stalled = [hold for hold in self._holds if hold.stalled_s(now_s) >= STALL_S]
        stalled.sort(key=lambda hold: hold.taken_bytes * hold.stalled_s(now_s))
        while stalled and not self._has_room(count, own_bytes):
            hold = stalled.pop()
            if hold is taker:
                continue
            log_event(
                "stalled_body_evicted",
                taken_bytes=hold.taken_bytes,
                arrived_bytes=hold.arrived_bytes,
                stalled_ms=round(hold.stalled_s(now_s) * 1000),
            )
            hold.evict()


class BodyHold:
    """The room that one body takes."""

    def __init__(self, buffer: RequestBuffer) -> None:
        self._buffer = buffer
        self._taken_bytes = 0
        self._arrived_bytes = 0
        self._is_complete = False
        self._step_bytes = PROGRESS_BYTES
        self._last_step_bytes = 0
        """Bytes that had arrived at the last progress."""
        self._progressed_s = asyncio.get_running_loop().time()
        self._on_evict: Callable[[], None] | None = None
        self._tasks = 0
        """Tasks that still use the body."""
        self._is_closed = False

    @property
    def taken_bytes(self) -> int:
        """Bytes for which the body has room; 0 for a short one."""
        return self._taken_bytes

    @property
    def arrived_bytes(self) -> int:
        """Bytes of the body that have arrived."""
        return self._arrived_bytes

    def stalled_s(self, now_s: float) -> float:
        """Return the time for which the body has made no progress, in seconds."""
        return 0.0 if self._is_complete else now_s - self._progressed_s

    def call_on_evict(self, on_evict: Callable[[], None]) -> None:
        """Call a function, which must end the request, if the body gives way."""
        self._on_evict = on_evict

    async def reserve(self, length: int, timeout_s: float) -> bool:
        """Wait for room for a body of known length; return whether there was any."""
        if length <= SMALL_BYTES:
            return True
        if not await self._buffer.take(self, length, timeout_s):
            return False
        self._taken_bytes += length
        self._step_bytes = length // PROGRESS_STEPS
        self._progressed_s = asyncio.get_running_loop().time()
        return True

    def grow_to(self, length: int) -> bool:
        """Take room for a body that has grown; return whether there is any.

        It does not wait: bodies that have arrived in part could wait for each other.
        """
        self._buffer.record_arrived(length - self._arrived_bytes)
        self._arrived_bytes = length
        if length - self._last_step_bytes >= self._step_bytes:
            self._last_step_bytes = length
            self._progressed_s = asyncio.get_running_loop().time()
        missing = length - self._taken_bytes
        if length <= SMALL_BYTES or missing <= 0:
            return True
        if not self._buffer.try_take(self, missing):
            return False
        self._taken_bytes += missing
        return True

    def complete(self) -> None:
        """Record that the whole body has arrived, so that it gives way to none."""
        self._is_complete = True

    def evict(self) -> None:
        """Give all room back, and end the request."""
        self.close()
        if self._on_evict is not None:
            self._on_evict()

    def close_after(self, task: asyncio.Future[Any]) -> None:
        """Keep the room until a task has ended, even if it is closed before."""
        self._tasks += 1
        task.add_done_callback(self._on_task_end)

    def _on_task_end(self, task: asyncio.Future[Any]) -> None:
        self._tasks -= 1
        if self._is_closed:
            self.close()

    def close(self) -> None:
        """Give all room back, once no task uses the body."""
        self._is_closed = True
        if self._tasks:
            return
        taken_bytes, self._taken_bytes = self._taken_bytes, 0
        self._buffer.record_arrived(-self._arrived_bytes)
        self._arrived_bytes = 0
        self._buffer.give_back(self, taken_bytes)

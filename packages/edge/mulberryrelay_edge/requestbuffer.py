"""Bounds the memory that the bodies of callers' requests take.

A body is held as a whole from its first byte until its request has a response. Bodies
that would exceed the bound wait for room, in order of arrival, before they are read, so
that their callers' connections hold them back.
"""

import asyncio
from collections import deque

import msgspec

SMALL_BYTES = 16_384
"""Length up to which a body is not counted.

The number of connections bounds the memory that such bodies take.
"""


class _Waiting(msgspec.Struct, eq=False):
    """A body that waits for room."""

    count: int
    granted: asyncio.Future[None]


class RequestBuffer:
    """The bytes of all bodies that are held."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._waiting: deque[_Waiting] = deque()

    @property
    def held_bytes(self) -> int:
        """Number of bytes for which there is room in use."""
        return self._held_bytes

    def open(self) -> "BodyHold":
        """Return a hold for one body, which has to be closed."""
        return BodyHold(self)

    def try_take(self, count: int, own_bytes: int = 0) -> bool:
        """Take room at once, before bodies that wait; return whether there is any.

        ``own_bytes`` is what the same body has taken before.
        """
        if not self._has_room(count, own_bytes):
            return False
        self._held_bytes += count
        return True

    async def take(self, count: int, timeout_s: float) -> bool:
        """Wait for room for a body; return whether there was any in time.

        A body longer than the bound gets room while no other is held.
        """
        if not self._waiting and self.try_take(count):
            return True
        if timeout_s <= 0:
            return False
        granted = asyncio.get_running_loop().create_future()
        waiting = _Waiting(count, granted)
        self._waiting.append(waiting)
        try:
            async with asyncio.timeout(timeout_s):
                await granted
        except TimeoutError:
            # The room may be granted in the same turn of the event loop.
            return granted.done() and not granted.cancelled()
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.give_back(count)
            raise
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
                self._grant_waiting()
        return True

    def give_back(self, count: int) -> None:
        """Give room back, and let the bodies that wait have it."""
        self._held_bytes -= count
        self._grant_waiting()

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


class BodyHold:
    """The room that one body takes."""

    def __init__(self, buffer: RequestBuffer) -> None:
        self._buffer = buffer
        self._taken_bytes = 0

    @property
    def taken_bytes(self) -> int:
        """Bytes for which the body has room; 0 for a short one."""
        return self._taken_bytes

    async def reserve(self, length: int, timeout_s: float) -> bool:
        """Wait for room for a body of known length; return whether there was any."""
        if length <= SMALL_BYTES:
            return True
        if not await self._buffer.take(length, timeout_s):
            return False
        self._taken_bytes += length
        return True

    def grow_to(self, length: int) -> bool:
        """Take room for a body that has grown; return whether there is any.

        It does not wait: bodies that have arrived in part could wait for each other.
        """
        missing = length - self._taken_bytes
        if length <= SMALL_BYTES or missing <= 0:
            return True
        if not self._buffer.try_take(missing, self._taken_bytes):
            return False
        self._taken_bytes += missing
        return True

    def close(self) -> None:
        """Give all room back."""
        self._buffer.give_back(self._taken_bytes)
        self._taken_bytes = 0

"""Callers that send heads without end, hold connections or read no responses.

A router process with lowered limits meets a few such callers. It must live on, stay
within its memory and its descriptors, and answer an ordinary request beside them. The
bounds are the settings ``Limits.MemoryMb`` and ``Limits.MaxFds``.
"""

import asyncio
import itertools
import socket
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager

from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test
from .fixtures.rawserver import HOST
from .fixtures.routerprocess import (
    APPLICATION,
    LONG_PATH,
    SHORT_PATH,
    RouterProcess,
    router_process,
)

MEMORY_MB = 120
SMALL_MEMORY_MB = 75
"""Memory for a test whose callers hold little each."""
BYTES_PER_MB = 1_000_000
MAX_FDS = 300
LIMITS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": 1 << 20,
    "HeaderTimeoutS": 1.0,
    "IdleTimeoutS": 2.0,
}
PLAY_S = 5.0
"""Time for which the callers misbehave before the resources are judged."""
PAUSE_S = 0.2
"""Pause between two pieces of a slow caller."""
BUFFER_BYTES = 4096
"""Kernel buffer of a caller, so that the router holds what it does not read."""
LONG_BYTES = 400_000
FIELD = b"X-Filler: " + b"x" * 60_000 + b"\r\n"
START = (
    f"GET /listing/1 HTTP/1.1\r\nHost: {APPLICATION}\r\n{HEADERS.request_id}: a\r\n"
).encode()

Pieces = Callable[[], Iterable[bytes]]
"""Returns the pieces that one caller sends, one after the other."""


class _Callers:
    """Connections of callers that each send pieces and read nothing or little."""

    def __init__(self, router: RouterProcess) -> None:
        self._router = router
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def add(
        self, count: int, pieces: Pieces, pause_s: float = 0.0, read_bytes: int = 0
    ) -> None:
        """Connect callers, which send and then read ``read_bytes`` at a time."""
        for _ in range(count):
            caller = socket.socket()
            caller.setblocking(False)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
            self._sockets.append(caller)
            run = self._run(caller, pieces(), pause_s, read_bytes)
            self._tasks.append(asyncio.create_task(run))

    async def play(self) -> None:
        """Let the callers act until all are done, or for ``PLAY_S``."""
        await asyncio.wait(self._tasks, timeout=PLAY_S)

    async def close(self) -> None:
        """Stop the callers and close their connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for caller in self._sockets:
            caller.close()

    async def _run(
        self,
        caller: socket.socket,
        pieces: Iterable[bytes],
        pause_s: float,
        read_bytes: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(caller, (HOST, self._router.port))
            for piece in pieces:
                await loop.sock_sendall(caller, piece)
                await asyncio.sleep(pause_s)
            while read_bytes and await loop.sock_recv(caller, read_bytes):
                await asyncio.sleep(PAUSE_S)
        except OSError:
            return


@asynccontextmanager
async def _attacked_router(memory_mb: int = MEMORY_MB) -> AsyncIterator[_Callers]:
    """Run a router and check it after the callers that the block adds have played."""
    async with router_process(memory_mb, MAX_FDS, LIMITS, LONG_BYTES) as router:
        assert await router.get() == 200, router.log
        callers = _Callers(router)
        try:
            yield callers
            await callers.play()
            assert router.is_running, router.log
            assert await router.get() == 200, "beside the callers"
            descriptors = router.peak_descriptors
            assert descriptors <= MAX_FDS, f"{descriptors} descriptors"
            peak_mb = router.peak_memory_bytes() / BYTES_PER_MB
            assert peak_mb <= memory_mb, f"{peak_mb} MB"
        finally:
            await callers.close()


@async_test
async def test_heads_over_the_limit_take_bounded_memory() -> None:
    """Guards against heads that are kept until they are complete."""
    async with _attacked_router() as callers:
        await callers.add(20, lambda: [START, *[FIELD] * 110, b"\r\n"])


@async_test
async def test_heads_without_end_take_bounded_memory() -> None:
    """Guards against heads that grow until their number of lines is too large."""
    async with _attacked_router() as callers:
        await callers.add(20, lambda: [START, *[FIELD] * 126])


@async_test
async def test_one_header_line_without_end_takes_bounded_memory() -> None:
    """Guards against a header line that grows until the caller stops."""
    async with _attacked_router() as callers:
        await callers.add(20, lambda: [START, b"X-Filler: ", *[b"x" * 60_000] * 126])


@async_test
async def test_empty_lines_without_end_hold_no_connection() -> None:
    """Guards against connections that are never idle and never carry a request."""
    async with _attacked_router() as callers:
        lines = b"\r\n" * 5000
        await callers.add(20, lambda: itertools.repeat(lines, 400))
        await callers.add(MAX_FDS, lambda: itertools.repeat(b"\r\n", 1000), PAUSE_S)


@async_test
async def test_idle_connections_take_bounded_descriptors() -> None:
    """Guards against callers that open connections until no other can connect."""
    async with _attacked_router() as callers:
        await callers.add(MAX_FDS + 100, list)


@async_test
async def test_heads_that_never_complete_take_bounded_descriptors() -> None:
    """Guards against callers that send a head byte by byte."""
    async with _attacked_router() as callers:
        pieces = [START + b"X-Filler: ", *[b"x"] * 1000]
        await callers.add(MAX_FDS + 100, lambda: pieces, PAUSE_S)


@async_test
async def test_long_responses_that_are_not_read_take_bounded_memory() -> None:
    """Guards against long responses that the router keeps for callers."""
    async with _attacked_router() as callers:
        head = START.replace(b"/listing/1", LONG_PATH.encode()) + b"\r\n"
        await callers.add(60, lambda: [head] * 20, PAUSE_S)
        await callers.add(60, lambda: [head] * 10, PAUSE_S, read_bytes=BUFFER_BYTES)


@async_test
async def test_pipelined_requests_whose_responses_are_not_read_are_bounded() -> None:
    """Guards against requests that wait behind responses that nobody reads."""
    async with _attacked_router() as callers:
        head = START + b"X-Filler: " + b"x" * 15_000 + b"\r\n\r\n"
        await callers.add(150, lambda: itertools.repeat(head * 4, 30))


@async_test
async def test_short_responses_that_are_not_read_take_bounded_memory() -> None:
    """Guards against many responses that are each too short to be counted."""
    async with _attacked_router(SMALL_MEMORY_MB) as callers:
        head = START.replace(b"/listing/1", SHORT_PATH.encode()) + b"\r\n"
        await callers.add(240, lambda: [head * 3000])

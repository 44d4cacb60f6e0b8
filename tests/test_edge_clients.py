"""Callers that send heads without end, hold connections or read no responses.

A router process with lowered limits meets a few such callers. It must live on, stay
within its memory and its descriptors, and answer an ordinary request beside them. The
bounds are the settings ``Limits.MemoryMb`` and ``Limits.MaxFds``.
"""

import itertools
from contextlib import AbstractAsyncContextManager

from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test
from .fixtures.crowd import BUFFER_BYTES, PAUSE_S, Crowd, attacked_router
from .fixtures.routerprocess import APPLICATION, LONG_PATH, SHORT_PATH

MEMORY_MB = 120
SMALL_MEMORY_MB = 75
"""Memory for a test whose callers hold little each."""
MAX_FDS = 300
LIMITS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": 1 << 20,
    "HeaderTimeoutS": 1.0,
    "IdleTimeoutS": 2.0,
}
LONG_BYTES = 400_000
FIELD = b"X-Filler: " + b"x" * 60_000 + b"\r\n"
START = (
    f"GET /listing/1 HTTP/1.1\r\nHost: {APPLICATION}\r\n{HEADERS.request_id}: a\r\n"
).encode()


def _attacked_router(
    memory_mb: int = MEMORY_MB,
) -> AbstractAsyncContextManager[Crowd]:
    return attacked_router(memory_mb, MAX_FDS, LIMITS, long_bytes=LONG_BYTES)


@async_test
async def test_heads_over_the_limit_take_bounded_memory() -> None:
    """Guards against heads that are kept until they are complete."""
    async with _attacked_router() as callers:
        callers.add(20, lambda: [START, *[FIELD] * 110, b"\r\n"])


@async_test
async def test_heads_without_end_take_bounded_memory() -> None:
    """Guards against heads that grow until their number of lines is too large."""
    async with _attacked_router() as callers:
        callers.add(20, lambda: [START, *[FIELD] * 126])


@async_test
async def test_one_header_line_without_end_takes_bounded_memory() -> None:
    """Guards against a header line that grows until the caller stops."""
    async with _attacked_router() as callers:
        callers.add(20, lambda: [START, b"X-Filler: ", *[b"x" * 60_000] * 126])


@async_test
async def test_empty_lines_without_end_hold_no_connection() -> None:
    """Guards against connections that are never idle and never carry a request."""
    async with _attacked_router() as callers:
        lines = b"\r\n" * 5000
        callers.add(20, lambda: itertools.repeat(lines, 400))
        callers.add(MAX_FDS, lambda: itertools.repeat(b"\r\n", 1000), PAUSE_S)


@async_test
async def test_idle_connections_take_bounded_descriptors() -> None:
    """Guards against callers that open connections until no other can connect."""
    async with _attacked_router() as callers:
        callers.add(MAX_FDS + 100, list)


@async_test
async def test_heads_that_never_complete_take_bounded_descriptors() -> None:
    """Guards against callers that send a head byte by byte."""
    async with _attacked_router() as callers:
        pieces = [START + b"X-Filler: ", *[b"x"] * 1000]
        callers.add(MAX_FDS + 100, lambda: pieces, PAUSE_S)


@async_test
async def test_long_responses_that_are_not_read_take_bounded_memory() -> None:
    """Guards against long responses that the router keeps for callers."""
    async with _attacked_router() as callers:
        head = START.replace(b"/listing/1", LONG_PATH.encode()) + b"\r\n"
        callers.add(60, lambda: [head] * 20, PAUSE_S)
        callers.add(60, lambda: [head] * 10, PAUSE_S, read_bytes=BUFFER_BYTES)


@async_test
async def test_pipelined_requests_whose_responses_are_not_read_are_bounded() -> None:
    """Guards against requests that wait behind responses that nobody reads."""
    async with _attacked_router() as callers:
        head = START + b"X-Filler: " + b"x" * 15_000 + b"\r\n\r\n"
        callers.add(150, lambda: itertools.repeat(head * 4, 30))


@async_test
async def test_short_responses_that_are_not_read_take_bounded_memory() -> None:
    """Guards against many responses that are each too short to be counted."""
    async with _attacked_router(SMALL_MEMORY_MB) as callers:
        head = START.replace(b"/listing/1", SHORT_PATH.encode()) + b"\r\n"
        callers.add(240, lambda: [head * 3000])

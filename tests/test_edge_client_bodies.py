"""Callers that send long bodies without their end, or read long responses slowly.

A router process with little memory meets a crowd of them. It must live on, stay within
its memory and its descriptors, and answer an ordinary request beside them. The bounds
are the settings ``Limits.MemoryMb`` and ``Limits.MaxFds``.
"""

from collections.abc import Iterable
from contextlib import AbstractAsyncContextManager

from mulberryrelay_platform.names import KIND_UNSAFE

from .fixtures import async_test
from .fixtures.crowd import (
    BUFFER_BYTES,
    BYTES_PER_MB,
    LIMITS,
    LONG_BYTES,
    MAX_BODY_BYTES,
    MAX_FDS,
    MEMORY_MB,
    TIMEOUT_S,
    Crowd,
    Pieces,
    attacked_router,
)
from .fixtures.routerprocess import (
    LONG_PATH,
    SLOW_PATH,
    body_pieces,
    get_status,
    post_body,
    request_head,
    router_process,
)

MEDIUM_BYTES = 1 << 20
SHORT_BYTES = 16_000
"""Length of a body that was not counted."""
TOO_LONG_BYTES = 8_000_000
"""Length of a response that the router rejects."""
LARGEST_BODY_BYTES = 64 << 20
"""Largest legal body of the deployments."""
SMALLEST_MACHINE_MB = 160
"""Memory of the smallest machine of the deployments."""
TRAILER_FIELD = b"X-Filler: " + b"x" * 60_000 + b"\r\n"
TRAILER_FIELDS = 120
"""Fewer than the parser accepts."""
LONG_BODIES = 60
MEDIUM_BODIES = 200
SHORT_BODIES = 300
STAY_S = 0.05
"""Time for which a caller stays that leaves after its body."""
LEAVING_CALLERS = 20
"""Callers that leave after their bodies, which then run, and return."""
SLOW_READERS = 100
PIPELINED_REQUESTS = 5
"""Long responses that each slow reader requests at once."""


def _attacked_router() -> AbstractAsyncContextManager[Crowd]:
    return attacked_router(
        MEMORY_MB, MAX_FDS, LIMITS, long_bytes=LONG_BYTES, timeout_s=TIMEOUT_S
    )


def _long_responses() -> Iterable[bytes]:
    """Yield requests whose long responses are read slowly, sent at once."""
    yield request_head("GET", LONG_PATH) * PIPELINED_REQUESTS


def _body(length: int, missing_bytes: int = 0) -> Pieces:
    """Return the pieces of a request with a body that lacks its last bytes."""

    def pieces() -> Iterable[bytes]:
        yield request_head("POST", "/listing/1", f"Content-Length: {length}\r\n")
        yield from body_pieces(length - missing_bytes)

    return pieces


def _slow_bodies() -> Iterable[bytes]:
    """Yield a request with a whole body, which takes its server some time."""
    framing = f"Content-Length: {MAX_BODY_BYTES}\r\n"
    yield request_head("POST", SLOW_PATH, framing)
    yield from body_pieces(MAX_BODY_BYTES)


def _endless_body(length: int) -> Pieces:
    """Return the pieces of a request whose chunked body lacks its last chunk."""

    def pieces() -> Iterable[bytes]:
        yield request_head("POST", "/listing/1", "Transfer-Encoding: chunked\r\n")
        yield from body_pieces(length, is_chunked=True)

    return pieces


def _pipelined_bodies() -> Iterable[bytes]:
    """Yield requests with bodies, sent at once, of which the last lacks a byte."""
    head = request_head("POST", "/listing/1", f"Content-Length: {SHORT_BYTES}\r\n")
    yield (head + bytes(SHORT_BYTES)) * 30
    yield head + bytes(SHORT_BYTES - 1)


def _add(crowd: Crowd, count: int, pieces: Pieces) -> None:
    """Add callers that send all they have and then read slowly, if anything comes."""
    crowd.add(count, pieces, read_bytes=BUFFER_BYTES)


@async_test
async def test_long_bodies_that_lack_a_byte_take_bounded_memory() -> None:
    """Guards against callers that stop just short of the end of a body and stay."""
    async with _attacked_router() as crowd:
        _add(crowd, LONG_BODIES, _body(MAX_BODY_BYTES, missing_bytes=1))


@async_test
async def test_chunked_bodies_without_an_end_take_bounded_memory() -> None:
    """Guards against bodies of unknown length that never end."""
    async with _attacked_router() as crowd:
        _add(crowd, LONG_BODIES, _endless_body(MAX_BODY_BYTES - 1))


@async_test
async def test_many_medium_bodies_that_lack_a_byte_take_bounded_memory() -> None:
    """Guards against what the connections of bodies hold that wait for room."""
    async with _attacked_router() as crowd:
        _add(crowd, MEDIUM_BODIES, _body(MEDIUM_BYTES, missing_bytes=1))


@async_test
async def test_callers_of_medium_bodies_that_return_take_bounded_memory() -> None:
    """Guards against room that is not given back when callers leave and return."""
    async with _attacked_router() as crowd:
        crowd.add_returning(MEDIUM_BODIES, _body(MEDIUM_BYTES))


@async_test
async def test_bodies_whose_callers_have_left_take_bounded_memory() -> None:
    """Guards against bodies that a server still gets although nobody waits for it."""
    async with attacked_router(
        MEMORY_MB, MAX_FDS, LIMITS, timeout_s=TIMEOUT_S, kind=KIND_UNSAFE
    ) as crowd:
        crowd.add_returning(LEAVING_CALLERS, _slow_bodies, stay_s=STAY_S)


@async_test
async def test_a_long_body_is_served_after_a_crowd_has_left() -> None:
    """Guards against room for bodies that is lost for good."""
    async with _attacked_router() as crowd:
        crowd.add_returning(MEDIUM_BODIES, _body(MEDIUM_BYTES))
        await crowd.play()
        await crowd.close()
        assert await get_status(crowd.port) == 200
        assert await post_body(crowd.port, MAX_BODY_BYTES) == 200


@async_test
async def test_pipelined_short_bodies_take_bounded_memory() -> None:
    """Guards against short bodies that wait behind others and are not counted."""
    async with _attacked_router() as crowd:
        _add(crowd, SHORT_BODIES, _pipelined_bodies)


def _endless_trailers() -> Iterable[bytes]:
    """Yield a request whose chunked body is followed by fields without end."""
    yield request_head("POST", "/listing/1", "Transfer-Encoding: chunked\r\n")
    yield from body_pieces(1, is_chunked=True)
    yield b"0\r\n"
    for _ in range(TRAILER_FIELDS):
        yield TRAILER_FIELD


@async_test
async def test_fields_behind_chunked_bodies_take_bounded_memory() -> None:
    """Guards against header fields that belong to no head and have no bound."""
    async with _attacked_router() as crowd:
        _add(crowd, LONG_BODIES, _endless_trailers)


@async_test
async def test_long_responses_that_are_read_slowly_take_bounded_memory() -> None:
    """Guards against copies of long responses that wait for slow callers."""
    async with _attacked_router() as crowd:
        _add(crowd, SLOW_READERS, _long_responses)


@async_test
async def test_responses_over_the_limit_take_bounded_memory() -> None:
    """Guards against rejected responses whose bytes wait for the collector.

    An ordinary caller is served once their server gets no more of these requests.
    """
    async with router_process(
        MEMORY_MB, MAX_FDS, LIMITS, long_bytes=TOO_LONG_BYTES, timeout_s=TIMEOUT_S
    ) as router:
        crowd = Crowd(router.port)
        _add(crowd, SLOW_READERS, _long_responses)
        await crowd.play()
        await crowd.close()
        assert router.is_running, router.recent_log
        peak_mb = router.peak_memory_bytes() / BYTES_PER_MB
        assert peak_mb <= MEMORY_MB, f"{peak_mb} MB"
        assert await router.get() == 200, "after the callers"


@async_test
async def test_bodies_and_long_responses_together_take_bounded_memory() -> None:
    """Guards against holders that keep to their own bounds and not to the memory."""
    async with _attacked_router() as crowd:
        _add(crowd, SLOW_READERS, _long_responses)
        _add(crowd, LONG_BODIES, _body(MAX_BODY_BYTES, missing_bytes=1))
        _add(crowd, LONG_BODIES, _endless_body(MAX_BODY_BYTES - 1))
        _add(crowd, MEDIUM_BODIES, _body(MEDIUM_BYTES, missing_bytes=1))
        _add(crowd, SLOW_READERS, _pipelined_bodies)


async def _check_largest_body_is_served(is_chunked: bool) -> None:
    limits = LIMITS | {"MaxBodyBytes": LARGEST_BODY_BYTES}
    async with router_process(
        SMALLEST_MACHINE_MB, MAX_FDS, limits, timeout_s=TIMEOUT_S
    ) as router:
        status = await router.post(LARGEST_BODY_BYTES, is_chunked)
        assert status == 200, router.recent_log
        assert router.is_running
        peak_mb = router.peak_memory_bytes() / BYTES_PER_MB
        assert peak_mb <= SMALLEST_MACHINE_MB, f"{peak_mb} MB"


@async_test
async def test_the_largest_body_is_served_in_calm() -> None:
    """Guards against limits that refuse a single request within those of operators."""
    await _check_largest_body_is_served(is_chunked=False)


@async_test
async def test_the_largest_chunked_body_is_served_in_calm() -> None:
    """Guards against bodies that are refused because their length is not known."""
    await _check_largest_body_is_served(is_chunked=True)

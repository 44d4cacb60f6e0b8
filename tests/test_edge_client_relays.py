"""Callers that misbehave at routers which relay all of their requests to another one.

The routers that relay and the one that reaches the server are processes with little
memory. Each must live on, stay within its memory and its descriptors, and answer an
ordinary request beside the callers, as in ``test_edge_client_bodies``.
"""

from collections.abc import Iterable
from contextlib import AbstractAsyncContextManager

from .fixtures import async_test
from .fixtures.crowd import (
    BUFFER_BYTES,
    LIMITS,
    LONG_BYTES,
    MAX_FDS,
    MEMORY_MB,
    TIMEOUT_S,
    Crowd,
    attacked_cut_off_routers,
)
from .fixtures.routerprocess import LONG_PATH, SLOW_PATH, body_pieces, request_head

ROUTERS = 3
"""Routers that relay to one."""
ROUTERS_WITH_BODIES = 6
"""Routers that relay to one, each no more than it may hold itself."""
BODY_BYTES = 1 << 20
BODIES = 40
"""Callers with long bodies at each router."""
SLOW_READERS = 30
"""Callers that read slowly at each router."""
PIPELINED_REQUESTS = 5
"""Long responses that each slow reader requests at once."""


def _attacked_routers(count: int) -> AbstractAsyncContextManager[list[Crowd]]:
    return attacked_cut_off_routers(
        count, MEMORY_MB, MAX_FDS, LIMITS, long_bytes=LONG_BYTES, timeout_s=TIMEOUT_S
    )


def _long_bodies() -> Iterable[bytes]:
    """Yield a request with a whole body, which takes its server some time."""
    yield request_head("POST", SLOW_PATH, f"Content-Length: {BODY_BYTES}\r\n")
    yield from body_pieces(BODY_BYTES)


def _long_responses() -> Iterable[bytes]:
    yield request_head("GET", LONG_PATH) * PIPELINED_REQUESTS


@async_test
async def test_long_responses_that_are_relayed_take_bounded_memory() -> None:
    """Guards against relayed responses that are not counted, at either router."""
    async with _attacked_routers(ROUTERS) as crowds:
        for crowd in crowds:
            crowd.add(SLOW_READERS, _long_responses, read_bytes=BUFFER_BYTES)


@async_test
async def test_long_bodies_that_are_relayed_take_bounded_memory() -> None:
    """Guards against a router that is killed for the bodies that others relay to it."""
    async with _attacked_routers(ROUTERS_WITH_BODIES) as crowds:
        for crowd in crowds:
            crowd.add(BODIES, _long_bodies, read_bytes=BUFFER_BYTES)

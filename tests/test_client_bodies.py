"""Callers of ``mulberryrelay`` that send long bodies and stop short of their end.

A router process with lowered limits meets a crowd of them. It must live on, stay within
its memory, and serve an ordinary caller beside them.
"""

from collections.abc import Iterable
from typing import Any

from standins.deployment import Deployment

from .fixtures import async_test
from .fixtures.crowd import BUFFER_BYTES, BYTES_PER_MB, Crowd
from .fixtures.deployment import DEPLOYMENT_SETTINGS
from .fixtures.routerprocess import (
    body_pieces,
    get_status,
    peak_memory_bytes,
    request_head,
)

MEMORY_MB = 160
"""Memory that the process may take, that of the smallest machine."""
BODY_BYTES = 4 << 20
LIMITS: dict[str, Any] = {"body_bytes": BODY_BYTES, "caller_bytes": 32 << 20}
CALLERS = 60
PATH = "/till/pay"


def _unfinished_body() -> Iterable[bytes]:
    """Yield a request with a body that lacks its last byte."""
    yield request_head("POST", PATH, f"Content-Length: {BODY_BYTES}\r\n")
    yield from body_pieces(BODY_BYTES - 1)


@async_test
async def test_long_bodies_that_lack_a_byte_take_bounded_memory() -> None:
    """Guards against bodies that are held for each connection without a bound."""
    with Deployment({**DEPLOYMENT_SETTINGS, "routers": 1}) as deployment:
        deployment.start_server("server-1", "till")
        router = deployment.start_router("entry-1", limits=LIMITS)
        port = router.port("caller_port")
        crowd = Crowd(port)
        try:
            crowd.add(CALLERS, _unfinished_body, read_bytes=BUFFER_BYTES)
            await crowd.play()
            assert router.is_running(), router.log
            assert await get_status(port, PATH) == 200, "beside the callers"
            peak_mb = peak_memory_bytes(router.pid) / BYTES_PER_MB
            assert peak_mb <= MEMORY_MB, f"{peak_mb} MB"
        finally:
            await crowd.close()

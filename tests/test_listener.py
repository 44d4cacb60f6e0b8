"""The listener for callers of ``mulberryrelay``, and how it stops."""

import asyncio

from aiohttp import web

from mulberryrelay_kernel.settings import check_settings
from mulberryrelay_router.listener import open_listener, stop_listener

from .fixtures import async_test
from .fixtures.rawserver import HOST
from .fixtures.router import SETTINGS

BODY = b"x" * 1000
PIECES = 10
UPLOAD_S = 0.5
SERVICE = {"classes": ["payment"], "default_deadline_ms": 2000, "slots": 4}
TIMING = {"settle_ms": 50, "idle_ms": 100}
"""The listener closes idle connections while the body is still arriving."""


@async_test
async def test_a_body_that_arrives_while_the_listener_stops_is_answered() -> None:
    """Guards against payments that are read whole and never answered."""

    async def echo(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=await request.read())

    instance = {"name": "entry-1", "data_centre": "qld-a"}
    options = check_settings(
        {
            **SETTINGS,
            "instance": instance,
            "services": {"till": SERVICE},
            "timing": TIMING,
        },
        "test",
    )
    runner, site = await open_listener(options, echo)
    reader, writer = await asyncio.open_connection(HOST, runner.addresses[0][1])
    head = f"POST /till/pay HTTP/1.1\r\nHost: r\r\nContent-Length: {len(BODY)}\r\n\r\n"
    writer.write(head.encode())
    await asyncio.sleep(0.05)
    stopping = asyncio.create_task(stop_listener(options, runner, site))
    size = len(BODY) // PIECES
    for start in range(0, len(BODY), size):
        await asyncio.sleep(UPLOAD_S / PIECES)
        writer.write(BODY[start : start + size])
    async with asyncio.timeout(2 * UPLOAD_S):
        status_line = await reader.readline()
        await stopping
    writer.close()
    assert b"200" in status_line, status_line

"""Idle connections to servers and from callers."""

import asyncio
import time

from mulberryrelay_router.serverconnection import parse_idle_limit_s

from .fixtures import async_test
from .fixtures.edgerouter import edge_response, edge_router
from .fixtures.rawserver import RawRequest, raw_server

IDLE_LIMIT_S = 1
"""Idle time after which the server closes a connection."""


@async_test
async def test_no_request_is_sent_on_a_connection_that_its_server_is_closing() -> None:
    """Guards against requests lost on connections idle for as long as servers allow."""
    last_s: dict[int, float] = {}

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        now_s = time.monotonic()
        idle_s = now_s - last_s.get(request.connection, now_s)
        last_s[request.connection] = now_s
        if idle_s >= IDLE_LIMIT_S:
            writer.close()
            return
        keep_alive = f"Keep-Alive: timeout={IDLE_LIMIT_S}\r\n"
        writer.write(edge_response(request, more=keep_alive))

    async with raw_server(respond) as server, edge_router() as router:
        router.register_server(server)
        for pause_s in (0.0, 0.3, IDLE_LIMIT_S + 0.05):
            await asyncio.sleep(pause_s)
            response = await router.send(router.request(is_idempotent=False))
            assert response.status == 200, pause_s
        assert server.connections == 2, "a connection is reused until then"


def test_an_idle_limit_that_cannot_be_read_is_ignored() -> None:
    """Guards against connections that are never or always reused."""
    cases = {
        "timeout=5": 5.0,
        "max=3, Timeout=7": 7.0,
        "timeout=": None,
        "timeout=-1": None,
        "timeout=1e9": None,
        "timeout=99999999999999999999": None,
        "": None,
    }
    for value, expected in cases.items():
        assert parse_idle_limit_s(value) == expected, value

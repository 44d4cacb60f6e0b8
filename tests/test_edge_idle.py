"""Idle connections to servers and from callers."""

import asyncio
import time
from unittest.mock import patch

import aiohttp

from mulberryrelay_edge import callers
from mulberryrelay_kernel.clock import boottime_ms
from mulberryrelay_platform.names import HEADERS
from mulberryrelay_router import serverconnection
from mulberryrelay_router.serverconnection import parse_idle_limit_s

from .fixtures import async_test
from .fixtures.edgerouter import edge_response, edge_router
from .fixtures.rawserver import RawRequest, raw_server, respond_with

IDLE_LIMIT_S = 1
"""Idle time after which the server closes a connection."""
PAUSE_MS = 7000.0
"""Pause between two requests, shorter than the idle time that a server states."""
SHORT_IDLE_S = 0.2
"""Idle time after which the router closes a connection, in place of a minute."""


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


@async_test
async def test_a_connection_is_reused_as_long_as_its_server_states() -> None:
    """Guards against a new connection for each request to a rarely used server."""
    for stated, connections in (("Keep-Alive: timeout=10\r\n", 1), ("", 2)):

        def respond(request: RawRequest, stated: str = stated) -> bytes:
            return edge_response(request, more=stated)

        async with (
            raw_server(respond_with(respond)) as server,
            edge_router() as router,
        ):
            router.register_server(server)
            await router.send(router.request())
            later_ms = boottime_ms() + PAUSE_MS
            with patch.object(serverconnection, "boottime_ms", lambda t=later_ms: t):
                await router.send(router.request())
            assert server.connections == connections, stated


@async_test
async def test_callers_may_stay_idle_as_long_as_operators_permit() -> None:
    """Guards against connections closed while a caller may still use them."""
    for permitted_ms, is_kept in ((100.0, False), (5000.0, True)):
        async with (
            raw_server(respond_with(edge_response)) as server,
            edge_router() as router,
        ):
            router.register_server(server)
            router.permit_idle(permitted_ms)
            with patch.object(callers, "IDLE_TIMEOUT_S", SHORT_IDLE_S):
                await router.callers.start()
                is_reused = await _reuse_connection(router.url)
                await router.callers.stop()
        assert is_reused is is_kept, permitted_ms


async def _reuse_connection(url: str) -> bool:
    """Return whether a connection can be used again after a pause."""
    connections: list[object] = []
    trace = aiohttp.TraceConfig()

    async def record(*args: object) -> None:
        connections.append(args)

    trace.on_connection_create_end.append(record)
    async with aiohttp.ClientSession(trace_configs=[trace]) as session:
        for _ in range(2):
            headers = {"Host": "app.example", HEADERS.request_id: "a"}
            async with session.get(url + "/listing/1", headers=headers) as response:
                assert response.status == 200
                await response.read()
            await asyncio.sleep(3 * SHORT_IDLE_S)
    return len(connections) == 1


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

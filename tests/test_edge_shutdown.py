"""Shutdown of an edge router while requests are still arriving.

The router closes idle connections only, reads the requests that have arrived in part,
and runs only those that certainly have their response before it ends.
"""

import asyncio
import time

from mulberryrelay_edge.instance import complete_requests
from mulberryrelay_edge.messages import RelayedRequest
from mulberryrelay_edge.relay import RelayReceiver
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import RequestId
from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test, wait_until
from .fixtures.edgefleet import route
from .fixtures.edgerouter import (
    GRACE_MS,
    EdgeRouter,
    edge_response,
    edge_router,
)
from .fixtures.rawserver import HOST, raw_server, respond_with

BODY = b"x" * 1800
PIECES = 12
SLOW_S = 0.85
"""Duration of an upload that begins with the shutdown; nothing is accepted by then."""
DRAINING_S = 0.75
"""Time from the stop signal until the router has closed its idle connections."""
RELAYED_S = 1.0
"""Time that a relayed request takes; longer than half of the grace period."""
SHORT_MS = 1000
"""Deadline of a request that ends before the router, even if it arrives late."""
LONG_MS = 5000
PAYMENTS = route("pay", prefix="/pay/", is_idempotent=False, timeout_ms=LONG_MS)
AT_ONCE_S = 0.2
"""Time in which a request is refused that will not be run."""


def _head(deadline_ms: int, body: bytes = b"") -> bytes:
    """Return the head of a request that must not run twice."""
    return (
        f"POST /pay/1 HTTP/1.1\r\nHost: app.example\r\n{HEADERS.request_id}: a\r\n"
        f"{HEADERS.deadline_ms}: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode()


async def _upload(
    router: EdgeRouter, pieces: list[bytes], pause_s: float
) -> tuple[bytes, float]:
    """Send pieces with pauses; return the response's status line and its latency.

    The line is empty if the connection was closed without a response.
    """
    reader, writer = await asyncio.open_connection(HOST, router.callers.port)
    try:
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(pause_s)
            writer.write(piece)
            await writer.drain()
        sent_s = time.monotonic()
        async with asyncio.timeout(GRACE_MS / 1000):
            line = await reader.readline()
        return line.strip(), time.monotonic() - sent_s
    except ConnectionError:
        return b"reset", 0.0
    finally:
        writer.close()


async def _stop_during(
    router: EdgeRouter, pieces: list[bytes], pause_s: float
) -> tuple[bytes, float]:
    await router.callers.start()
    uploading = asyncio.create_task(_upload(router, pieces, pause_s))
    await asyncio.sleep(0.05)
    stopping = asyncio.create_task(router.callers.stop())
    result = await uploading
    await stopping
    return result


def _in_pieces(body: bytes) -> list[bytes]:
    size = len(body) // PIECES
    return [body[start : start + size] for start in range(0, len(body), size)]


@async_test
async def test_a_body_that_arrives_during_the_shutdown_is_answered() -> None:
    """Guards against payments that are read whole and never answered.

    The router stops taking bytes from a connection once it is closed for idleness.
    """
    cases = {SHORT_MS: b"200 OK", LONG_MS: b"503"}
    for deadline_ms, expected in cases.items():
        async with (
            raw_server(respond_with(edge_response)) as server,
            edge_router(False, PAYMENTS) as router,
        ):
            router.register_server(server)
            pieces = [_head(deadline_ms, BODY), *_in_pieces(BODY)]
            line, latency_s = await _stop_during(router, pieces, SLOW_S / PIECES)
            assert expected in line, (deadline_ms, line)
            assert latency_s < AT_ONCE_S, deadline_ms
            assert len(server.received) == (expected == b"200 OK")
            assert all(request.body == BODY for request in server.received)


@async_test
async def test_a_request_that_may_outlast_the_shutdown_is_refused_at_once() -> None:
    """Guards against late requests that are passed on and cut off at the end.

    Its head has arrived in part when the router closes idle connections. The server
    would take longer than the rest of the shutdown.
    """
    slow = respond_with(edge_response, delay_s=GRACE_MS / 1000)
    async with raw_server(slow) as server, edge_router(False, PAYMENTS) as router:
        router.register_server(server)
        head = _head(LONG_MS)
        pieces = [head[:20], head[20:]]
        line, latency_s = await _stop_during(router, pieces, DRAINING_S + 0.1)
        assert b"503" in line, line
        assert latency_s < AT_ONCE_S
        assert not server.received


@async_test
async def test_a_relayed_request_has_the_whole_grace_to_complete() -> None:
    """Guards against requests of other routers' callers that a stop cuts off early."""
    slow = respond_with(edge_response, delay_s=RELAYED_S)
    async with raw_server(slow) as server, edge_router(False, PAYMENTS) as router:
        router.register_server(server)
        await router.callers.start()
        relays = RelayReceiver(
            router.routes_in_force, router.reach, router.send, monotonic_ms
        )
        headers = [(str(HEADERS.request_id), "a")]
        relayed = RelayedRequest(
            RequestId("a"),
            "GET",
            "/pay/1",
            "app.example",
            None,
            headers,
            b"",
            LONG_MS,
            "",
            False,
        )
        handling = asyncio.create_task(relays.handle(relayed))
        await wait_until(lambda: bool(server.received))
        await complete_requests(router.callers, relays, GRACE_MS)
        response = handling.result()
        assert response is not None and response.status == 200


@async_test
async def test_idle_connections_are_closed_before_the_end() -> None:
    """Guards against requests on a connection that the router no longer reads from."""
    async with edge_router(False, PAYMENTS) as router:
        await router.callers.start()
        reader, writer = await asyncio.open_connection(HOST, router.callers.port)
        stopping = asyncio.create_task(router.callers.stop())
        async with asyncio.timeout(DRAINING_S + AT_ONCE_S):
            assert await reader.read() == b""
        writer.close()
        await stopping


@async_test
async def test_a_connection_without_a_whole_request_does_not_delay_the_end() -> None:
    """Guards against a shutdown that outlasts its grace period."""
    async with edge_router(False, PAYMENTS) as router:
        await router.callers.start()
        _, writer = await asyncio.open_connection(HOST, router.callers.port)
        writer.write(_head(LONG_MS, BODY) + BODY[:10])
        await asyncio.sleep(0.05)
        started_s = time.monotonic()
        await router.callers.stop()
        assert time.monotonic() - started_s < GRACE_MS / 1000
        writer.close()

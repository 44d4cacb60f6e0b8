"""Long bodies of requests that a router passes on to another one."""

import asyncio
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from mulberryrelay_edge.linkhttp import LINK_PATH
from mulberryrelay_edge.messages import (
    EdgeRequest,
    EdgeResponse,
    RelayedRequest,
    RelayedResponse,
)
from mulberryrelay_edge.relay import (
    MAX_BODY_BYTES,
    RelayFailure,
    RelayReceiver,
    pass_on,
)
from mulberryrelay_edge.relayencoding import EncodedRelay
from mulberryrelay_edge.relayhttp import ROOM_TIMEOUT_S
from mulberryrelay_edge.requestbuffer import RequestBuffer
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import RequestId, ServiceName

from .fixtures import async_test, wait_until
from .fixtures.edgefleet import route, route_table
from .fixtures.rawserver import HOST
from .fixtures.relays import link_client, link_server_of, unused_reach

BODY_BYTES = 16 << 20
LONG_BYTES = 1 << 20
MAX_BUFFERED_BYTES = 2 << 20
"""Bytes that all bodies of relayed requests may hold."""
DEADLINE_MS = 5000.0
ROUTE = route("pay", is_idempotent=False)
PEERS = ("http://127.0.0.1:1",)


def _relayed(length: int) -> RelayedRequest:
    return RelayedRequest(
        RequestId("a"),
        "POST",
        "/listing/1",
        "app.example",
        7,
        [("Name", "value")],
        bytes(length),
        1000.0,
        "127.0.0.1",
        False,
    )


def _request(length: int) -> EdgeRequest:
    now_ms = monotonic_ms()
    return EdgeRequest(
        RequestId("a"),
        "POST",
        "/listing/1",
        "app.example",
        None,
        CIMultiDict(),
        bytes(length),
        ROUTE,
        ServiceName("pay"),
        now_ms,
        now_ms + DEADLINE_MS,
    )


@async_test
async def test_a_relayed_request_is_encoded_as_before() -> None:
    """Guards against routers of other versions that cannot decode a request."""
    for length in (0, 255, 256, 65_535, 65_536, 200_000):
        relayed = _relayed(length)
        encoded = EncodedRelay(relayed)
        message = b"".join([bytes(piece) async for piece in encoded.pieces()])
        assert message == msgspec.msgpack.encode(relayed), length
        assert encoded.length == len(message), length


@async_test
async def test_a_long_body_is_relayed_without_copies() -> None:
    """Guards against a router that is killed for the copies of one body."""
    received: list[int] = []

    async def respond(request: web.BaseRequest) -> web.Response:
        length = 0
        while piece := await request.content.readany():
            length += len(piece)
        received.append(length)
        response = RelayedResponse(200, [], b"", False)
        return web.Response(body=msgspec.msgpack.encode(response))

    runner = web.ServerRunner(web.Server(respond))
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    relayed = _relayed(BODY_BYTES)
    client = link_client()
    tracemalloc.start()
    result = await client.relay(f"http://{HOST}:{runner.addresses[0][1]}", relayed)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await client.close()
    await runner.cleanup()
    assert isinstance(result, RelayedResponse) and result.status == 200, result
    assert received == [EncodedRelay(relayed).length]
    assert peak < BODY_BYTES / 2, peak


@asynccontextmanager
async def _receiving_router(
    has_routes: bool = True,
) -> AsyncIterator[tuple[str, RequestBuffer, list[EdgeRequest]]]:
    """Run a link server; yield its URL, its buffer and the requests it forwards."""
    forwarded: list[EdgeRequest] = []

    async def forward(request: EdgeRequest) -> EdgeResponse:
        forwarded.append(request)
        return EdgeResponse(200, CIMultiDict(), b"")

    routes = route_table(1, ROUTE) if has_routes else None
    receiver = RelayReceiver(
        lambda: routes, unused_reach(monotonic_ms), forward, monotonic_ms
    )
    bodies = RequestBuffer(MAX_BUFFERED_BYTES)
    server = link_server_of(receiver, monotonic_ms, bodies=bodies)
    port = await server.start(HOST, 0)
    try:
        yield f"http://{HOST}:{port}{LINK_PATH}", bodies, forwarded
    finally:
        await server.close()


@async_test
async def test_a_relayed_body_without_room_is_refused_and_has_not_run() -> None:
    """Guards against refusals of relayed requests that are not true or not readable."""
    client = link_client()
    async with _receiving_router() as (url, bodies, forwarded):
        other_body = bodies.open()
        assert await other_body.reserve(MAX_BUFFERED_BYTES, timeout_s=0)
        refused = await client.relay(url, _relayed(LONG_BYTES))
        assert isinstance(refused, RelayedResponse), refused
        assert (refused.status, refused.is_from_router) == (503, True)
        assert not forwarded
        other_body.close()
        served = await client.relay(url, _relayed(LONG_BYTES))
        assert isinstance(served, RelayedResponse) and served.status == 200, served
        assert [len(request.body) for request in forwarded] == [LONG_BYTES]
        assert bodies.held_bytes == 0
    await client.close()


@async_test
async def test_a_relayed_body_that_waits_for_room_gets_no_more_time() -> None:
    """Guards against servers that are told of time which the caller does not have."""
    client = link_client()
    async with _receiving_router() as (url, bodies, forwarded):
        other_body = bodies.open()
        assert await other_body.reserve(MAX_BUFFERED_BYTES, timeout_s=0)
        relayed = _relayed(LONG_BYTES)
        relaying = asyncio.create_task(client.relay(url, relayed))
        await wait_until(lambda: bool(bodies._waiting))
        await asyncio.sleep(ROOM_TIMEOUT_S / 4)
        released_ms = monotonic_ms()
        other_body.close()
        result = await relaying
        assert isinstance(result, RelayedResponse) and result.status == 200, result
        assert forwarded[0].deadline_ms < released_ms + relayed.left_ms
    await client.close()


@async_test
async def test_a_router_that_accepts_no_requests_refuses_before_their_bodies() -> None:
    """Guards against bodies that take memory at a router which cannot send them on."""
    client = link_client()
    async with _receiving_router(has_routes=False) as (url, bodies, forwarded):
        other_body = bodies.open()
        assert await other_body.reserve(MAX_BUFFERED_BYTES, timeout_s=0)
        result = await client.relay(url, _relayed(LONG_BYTES))
        assert result is RelayFailure.NOT_SENT, result
        assert not forwarded
        other_body.close()
    await client.close()


@async_test
async def test_a_router_whose_response_breaks_off_stays_a_peer() -> None:
    """Guards against routers that relay to none since one response had no room."""

    class Calls:
        async def relay(
            self, url: str, request: RelayedRequest
        ) -> RelayedResponse | RelayFailure:
            return RelayFailure.INCOMPLETE

        async def find_peers(self, url: str) -> list[str] | None:
            return None

    lost: list[str] = []
    result = await pass_on(
        _request(1), PEERS, Calls(), lambda: False, lost.append, monotonic_ms
    )
    assert result is RelayFailure.UNKNOWN, result
    assert not lost


@async_test
async def test_a_body_that_no_router_accepts_is_not_sent() -> None:
    """Guards against requests that wait for a refusal which is known before."""
    asked: list[str] = []

    class Calls:
        async def relay(
            self, url: str, request: RelayedRequest
        ) -> RelayedResponse | RelayFailure:
            asked.append(url)
            return RelayFailure.UNKNOWN

        async def find_peers(self, url: str) -> list[str] | None:
            return None

    for length, sent in ((MAX_BODY_BYTES, list(PEERS)), (MAX_BODY_BYTES + 1, [])):
        asked.clear()
        await pass_on(
            _request(length),
            PEERS,
            Calls(),
            lambda: False,
            lambda _: None,
            monotonic_ms,
        )
        assert asked == sent, length

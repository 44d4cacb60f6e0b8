"""Long bodies of requests that a router passes on to another one."""

import tracemalloc

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from mulberryrelay_edge.messages import EdgeRequest, RelayedRequest, RelayedResponse
from mulberryrelay_edge.relay import MAX_BODY_BYTES, RelayFailure, pass_on
from mulberryrelay_edge.relayencoding import EncodedRelay
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import RequestId, ServiceName

from .fixtures import async_test
from .fixtures.edgefleet import route
from .fixtures.rawserver import HOST
from .fixtures.relays import link_client

BODY_BYTES = 16 << 20
DEADLINE_MS = 5000.0
ROUTE = route("pay", is_idempotent=False)
PEERS = ("http://127.0.0.1:1",)


def _relayed(length: int) -> RelayedRequest:
    return RelayedRequest(
        RequestId("a"),
        "POST",
        "/pay/1",
        "app.example",
        7,
        [("Name", "value")],
        bytes(length),
        1000.0,
        "127.0.0.1",
        False,
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
        now_ms = monotonic_ms()
        request = EdgeRequest(
            RequestId("a"),
            "POST",
            "/pay/1",
            "app.example",
            None,
            CIMultiDict(),
            bytes(length),
            ROUTE,
            ServiceName("pay"),
            now_ms,
            now_ms + DEADLINE_MS,
        )
        await pass_on(
            request, PEERS, Calls(), lambda: False, lambda _: None, monotonic_ms
        )
        assert asked == sent, length

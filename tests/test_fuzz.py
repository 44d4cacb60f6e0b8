"""Malformed messages of servers, callers, the store and other routers.

Whatever they send, no process ends, no response goes to another caller, and the next
valid message is processed. The examples are the same in each run. ``FUZZ_EXAMPLES`` in
the environment sets their number.
"""

import asyncio
import logging
import os
from collections.abc import Callable
from contextlib import AsyncExitStack
from unittest.mock import patch

import aiohttp
import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from mulberryrelay_edge.bulkupdates import BulkUpdates
from mulberryrelay_edge.keyload import KeyLoad
from mulberryrelay_edge.linkhttp import LINK_PATH
from mulberryrelay_edge.messages import KeyReport, LeaderReply, RouterReport
from mulberryrelay_edge.ownership import Ownership
from mulberryrelay_edge.reporthandler import ReportHandler
from mulberryrelay_edge.tablefollower import StoreSync
from mulberryrelay_edge.tablestore import TableRow
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_platform.commands import PlatformCommands
from mulberryrelay_platform.entries import decode_routes, decode_server
from mulberryrelay_platform.names import CONFIGURATION_KEY, HEADERS
from mulberryrelay_platform.store import PlatformStore

from .fixtures.edgefleet import LINK_BYTES_PER_S, backend
from .fixtures.edgerouter import EdgeRouter, edge_response, edge_router, get
from .fixtures.rawserver import HOST, RawRequest, raw_server, respond_with
from .fixtures.relays import link_client, link_server_to
from .fixtures.suspects import leaders_suspects

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "60"))
"""Examples of each test; the suite runs few, a run by hand takes thousands."""
TOO_DEEP = b'{"x":' + b"[" * 100_000
STORE_REPLY = (
    b'{"Rows":[{"Key":"a","RowVersion":3,"Value":"e30="}],"RowVersion":3,'
    b'"NowS":1.5,"HasMore":false}'
)
REPORT = RouterReport("a", KeyReport({}, {}), {}, {}, True, 10.0)

fuzzed = settings(max_examples=EXAMPLES, derandomize=True, database=None, deadline=None)
Edit = tuple[int, int, bytes, int]
"""Position, number of bytes to replace, their replacement, and its repetitions."""
edits = st.lists(
    st.tuples(
        st.integers(0, 400),
        st.integers(0, 40),
        st.one_of(
            st.binary(max_size=8),
            st.sampled_from(
                [
                    b"\r\n",
                    b"\r\n\r\n",
                    b"HTTP/1.1 200 OK\r\n",
                    b"HTTP/1.1 100 Continue\r\n\r\n",
                    b"Content-Length: 99999999999\r\n",
                    b"Transfer-Encoding: chunked\r\n",
                    b"Content-Encoding: gzip\r\n",
                    b"Connection: upgrade\r\n",
                    b"Mulberryrelay-Backend-Load: " + b"9" * 5000 + b",1,1\r\n",
                    b"\xff",
                    b"\0",
                ]
            ),
        ),
        st.integers(1, 50),
    ),
    min_size=1,
    max_size=4,
)
json_values = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.floats(allow_nan=False, allow_infinity=False),
        st.text(max_size=8),
    ),
    lambda children: st.one_of(
        st.lists(children, max_size=4),
        st.dictionaries(st.text(max_size=8), children, max_size=4),
    ),
    max_leaves=12,
)


def spoil(message: bytes, changes: list[Edit]) -> bytes:
    """Return the message with parts of it replaced."""
    for position, length, replacement, repetitions in changes:
        position = min(position, len(message))
        rest = message[position + length :]
        message = message[:position] + replacement * repetitions + rest
    return message


def spoil_first(changes: list[Edit]) -> Callable[[RawRequest], bytes]:
    """Return a function that makes responses, of which the first is spoiled."""
    is_first = True

    def make(request: RawRequest) -> bytes:
        nonlocal is_first
        response = edge_response(request)
        if not is_first:
            return response
        is_first = False
        return spoil(response, changes)

    return make


@fuzzed
@given(edits, st.booleans())
def _check_response(changes: list[Edit], closes: bool) -> None:
    async def check() -> None:
        respond = respond_with(spoil_first(changes), closes=closes)
        async with raw_server(respond) as server, edge_router() as router:
            router.register_server(server)
            for is_idempotent in (False, True, False):
                request = router.request(is_idempotent, timeout_ms=150.0)
                response = await router.send(request)
                response_id = response.headers.get(HEADERS.request_id)
                assert response_id in (None, request.request_id)
            last = await router.send(router.request())
            assert last.status == 200
            assert router.forwarder.response_buffer.held_bytes == 0

    asyncio.run(check())


def test_malformed_responses_reach_no_other_caller() -> None:
    """Guards against a response of one request that is taken for that of the next."""
    _check_response()


REQUEST = (
    f"POST /listing/1 HTTP/1.1\r\nHost: app.example\r\n"
    f"{HEADERS.request_id}: caller-1\r\n{HEADERS.deadline_ms}: 100\r\n"
    f"{HEADERS.key}: 7\r\nContent-Length: 4\r\n\r\nbody"
).encode()


def test_malformed_requests_do_not_end_the_router() -> None:
    """Guards against a caller that stops the requests of all others."""
    aiohttp_log = logging.getLogger("aiohttp.server")
    with asyncio.Runner() as runner, patch.object(aiohttp_log, "disabled", True):
        stack = AsyncExitStack()
        router = runner.run(_start_callers(stack))

        @fuzzed
        @given(edits)
        def check(changes: list[Edit]) -> None:
            runner.run(_send_malformed(router, spoil(REQUEST, changes)))

        check()
        runner.run(stack.aclose())


async def _start_callers(stack: AsyncExitStack) -> EdgeRouter:
    server = await stack.enter_async_context(raw_server(respond_with(edge_response)))
    router = await stack.enter_async_context(edge_router())
    router.register_server(server)
    await router.callers.start()
    stack.push_async_callback(router.callers.stop)
    return router


async def _send_malformed(router: EdgeRouter, request: bytes) -> None:
    """Send bytes on one connection and then a request on another."""
    _, writer = await asyncio.open_connection(HOST, router.callers.port)
    writer.write(request)
    await asyncio.sleep(0.01)
    async with aiohttp.ClientSession() as session:
        status, _ = await get(session, f"{router.url}/listing/2")
    assert status == 200
    writer.close()


@fuzzed
@given(edits)
@example([(0, 400, TOO_DEEP, 1)])
@example([(STORE_REPLY.index(b"e30="), 4, b"x", 1)])
def _check_store_reply(changes: list[Edit]) -> None:
    def make(request: RawRequest) -> bytes:
        body = spoil(STORE_REPLY, changes)
        return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body

    async def check() -> None:
        async with raw_server(respond_with(make)) as server:
            store = PlatformStore(f"{HOST}:{server.port}")
            commands = PlatformCommands()
            entry = backend(1, host=HOST, port=server.port)
            try:
                async with asyncio.timeout(1.0):
                    assert isinstance(await store.read("t"), Success | Failure)
                result = await store.follow("t", 1, 10)
                assert isinstance(result, Success | Failure)
                assert isinstance(await store.commit([], []), Success | Failure)
                granted = await commands.grant(
                    entry, 0, 9, 1, 100.0, None, lambda: True
                )
                assert isinstance(granted, Success | Failure)
            except TimeoutError:
                # The reply claims that more rows follow.
                pass
            finally:
                await store.close()
                await commands.close()

    asyncio.run(check())


def test_malformed_replies_of_the_store_are_failures() -> None:
    """Guards against a router that ends because of a value that is not Base64."""
    _check_store_reply()


@fuzzed
@given(edits)
@example([(0, 400, b"\1" + b"x\x9c", 1)])
@example([(0, 400, b"\0" + b"\x91" * 100_000, 1)])
def _check_link(changes: list[Edit]) -> None:
    reply = b"\0" + msgspec.msgpack.encode(LeaderReply([], [], True, 3))

    def make(request: RawRequest) -> bytes:
        body = spoil(reply, changes)
        return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body

    async def check() -> None:
        suspects = leaders_suspects(monotonic_ms)
        handler = ReportHandler(
            KeyLoad(monotonic_ms),
            Ownership(),
            StoreSync(),
            suspects,
            lambda incarnation: None,
            lambda: True,
            lambda: False,
            monotonic_ms,
            BulkUpdates([], LINK_BYTES_PER_S, monotonic_ms),
            monotonic_ms,
        )
        link_server = link_server_to(handler, suspects, monotonic_ms)
        client = link_client()
        port = await link_server.start(HOST, 0)
        url = f"http://{HOST}:{port}{LINK_PATH}"
        try:
            async with raw_server(respond_with(make)) as server:
                spoiled_url = f"http://{HOST}:{server.port}{LINK_PATH}"
                result = await client.send(spoiled_url, REPORT)
                assert result is None or isinstance(result, LeaderReply)
            report = spoil(msgspec.msgpack.encode(REPORT), changes)
            async with (
                aiohttp.ClientSession() as session,
                session.post(url, data=report) as response,
            ):
                assert response.status in (200, 400, 413)
            assert await client.send(url, REPORT) is not None
        finally:
            await client.close()
            await link_server.close()

    asyncio.run(check())


def test_malformed_messages_between_routers_are_ignored() -> None:
    """Guards against a leader or follower that ends because of a peer's message."""
    _check_link()


@fuzzed
@given(json_values, st.binary(max_size=40))
@example([], TOO_DEEP)
def _check_rows(value: object, other: bytes) -> None:
    entry = {"Address": "127.0.0.1:80", "Info": value, "Status": value, "born": value}
    table = {"Columns": value, "Rows": value}
    configuration = {"Version": value, "Routes": table, "Services": table}
    for content in (
        msgspec.json.encode(value),
        msgspec.json.encode(entry),
        msgspec.json.encode(configuration),
        other,
    ):
        decode_server(TableRow("server-1", content, 1))
        decode_routes(TableRow(CONFIGURATION_KEY, content, 1))


def test_malformed_rows_of_other_writers_are_skipped() -> None:
    """Guards against an entry of one server that hides all others."""
    _check_rows()

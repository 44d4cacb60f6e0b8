"""Requests that callers send on a connection before earlier ones are answered."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from mulberryrelay_edge.pipelining import MAX_CONCURRENT_REQUESTS, PipelinedConnection
from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test, wait_until
from .fixtures.edgefleet import route
from .fixtures.edgerouter import (
    MAX_BUFFERED_BYTES,
    EdgeRouter,
    edge_response,
    edge_router,
)
from .fixtures.rawserver import HOST, RawRequest, RawServer, raw_server

LISTINGS = route(timeout_ms=4000.0)
PAYMENTS = route("pay", prefix="/pay/", is_idempotent=False, timeout_ms=4000.0)
SERVERS = 6
"""Enough that the servers do not limit the concurrency of one connection."""
SETTLE_S = 0.1
"""Time after which a request that may be forwarded has reached a server."""
MAX_PARSED = 32
"""Parsed requests that may wait on a connection; the rest is not read.

The first of them may have its turn before the bytes of the last one arrive.
"""
CALLERS = 20
REQUESTS = 40
"""Requests that each caller sends in the load test."""
LARGE_BYTES = MAX_BUFFERED_BYTES // 4


class _HeldServer:
    """A server that holds back its responses to some paths until they are released."""

    def __init__(self) -> None:
        self.body = b""
        self.held: dict[str, asyncio.Event] = {}

    def hold(self, *paths: str) -> None:
        """Hold back the responses to some paths."""
        self.held.update({path: asyncio.Event() for path in paths})

    def release(self) -> None:
        """Release all responses."""
        for event in self.held.values():
            event.set()

    async def respond(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if request.path in self.held:
            await self.held[request.path].wait()
        response = edge_response(request)
        if self.body:
            length = f"Content-Length: {len(self.body)}\r\n"
            response = edge_response(request, more=length, length=False)
            response = response.removesuffix(request.path.encode()) + self.body
        writer.write(response)


async def _respond_at_random(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(random.random() * 0.01)
    writer.write(edge_response(request))


class _Caller:
    """A caller's connection to the router."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def read(self) -> tuple[int, bytes, bool]:
        """Return the status and body of a response, and whether it is the last one."""
        async with asyncio.timeout(4.0):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
            lines = head.lower().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines[1:] if line)
            body = await self.reader.readexactly(int(fields["content-length"]))
        return int(lines[0].split()[1]), body, fields.get("connection") == "close"

    async def is_closed(self) -> bool:
        """Return whether the router has closed the connection."""
        async with asyncio.timeout(2.0):
            return await self.reader.read(1) == b""


def _request(
    path: str, method: str = "GET", more: str = "", body: bytes = b"", ms: int = 4000
) -> bytes:
    if body:
        more += f"Content-Length: {len(body)}\r\n"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: app.example\r\n"
        f"{HEADERS.request_id}: {path}\r\n{HEADERS.deadline_ms}: {ms}\r\n{more}\r\n"
    ).encode() + body


def _listings(count: int) -> list[str]:
    return [f"/listing/{number}" for number in range(count)]


def _paths(server: RawServer) -> list[str]:
    return [request.path for request in server.received]


@asynccontextmanager
async def _pipeline() -> AsyncIterator[
    tuple[EdgeRouter, _Caller, RawServer, _HeldServer]
]:
    """Run a router with servers, and connect a caller to it."""
    held = _HeldServer()
    async with (
        raw_server(held.respond) as server,
        edge_router(False, LISTINGS, PAYMENTS) as router,
    ):
        for number in range(SERVERS):
            router.register_server(server, number)
        await router.callers.start()
        reader, writer = await asyncio.open_connection(HOST, router.callers.port)
        try:
            yield router, _Caller(reader, writer), server, held
        finally:
            held.release()
            writer.close()


async def _send(caller: _Caller, data: bytes, piece: int) -> None:
    """Send bytes in pieces, each in a segment of its own."""
    for start in range(0, len(data), piece):
        caller.writer.write(data[start : start + piece])
        await caller.writer.drain()
        await asyncio.sleep(0)


@async_test
async def test_responses_keep_the_order_while_requests_run_concurrently() -> None:
    """Guards against short requests that wait behind a long one, and mixed responses.

    They arrive in one segment, and split over many.
    """
    for piece in (1 << 16, 200, 33):
        async with _pipeline() as (_, caller, server, held):
            paths = _listings(6)
            held.hold(paths[0], paths[3])
            await _send(caller, b"".join(map(_request, paths)), piece)
            await wait_until(lambda: len(server.received) == 6)
            held.release()
            for path in paths:
                assert await caller.read() == (200, path.encode(), False)


@async_test
async def test_requests_sent_one_by_one_are_handled_in_their_turn() -> None:
    """Guards against the cost of an early start for callers that do not pipeline."""
    async with _pipeline() as (router, caller, _, _):
        for path in _listings(3):
            caller.writer.write(_request(path))
            assert await caller.read() == (200, path.encode(), False)
        assert "forwarded_early" not in router.metrics.counters


@async_test
async def test_the_concurrency_of_a_connection_is_bounded() -> None:
    """Guards against one caller that takes all slots of the servers."""
    async with _pipeline() as (_, caller, server, held):
        paths = _listings(3 * MAX_CONCURRENT_REQUESTS)
        held.hold(*paths)
        caller.writer.write(b"".join(map(_request, paths)))
        await wait_until(lambda: len(server.received) == MAX_CONCURRENT_REQUESTS)
        await asyncio.sleep(SETTLE_S)
        assert len(server.received) == MAX_CONCURRENT_REQUESTS
        # A request that has its response makes room, also before its turn.
        held.held[paths[3]].set()
        await wait_until(lambda: len(server.received) == MAX_CONCURRENT_REQUESTS + 1)
        held.release()
        for path in paths:
            assert await caller.read() == (200, path.encode(), False)


@async_test
async def test_an_unsafe_request_runs_alone_and_in_its_turn() -> None:
    """Guards against a payment that overtakes, or is overtaken by, other requests.

    A request with a body holds back those behind it as well.
    """
    for method, second, body in (
        ("POST", "/pay/1", b""),
        ("POST", "/pay/1", b"xyz"),
        ("GET", "/listing/b", b"xyz"),
    ):
        async with _pipeline() as (_, caller, server, held):
            held.hold("/listing/0", second)
            caller.writer.write(
                _request("/listing/0")
                + _request("/listing/1")
                + _request(second, method, body=body)
                + _request("/listing/2")
            )
            await asyncio.sleep(SETTLE_S)
            first = ["/listing/0", "/listing/1"]
            assert sorted(_paths(server)) == first
            held.held["/listing/0"].set()
            await wait_until(lambda: len(server.received) == 3)
            assert _paths(server)[2] == second
            for path in first:
                assert await caller.read() == (200, path.encode(), False)
            await asyncio.sleep(SETTLE_S)
            assert len(server.received) == 3
            held.release()
            for path in (second, "/listing/2"):
                assert await caller.read() == (200, path.encode(), False)


@async_test
async def test_the_time_of_a_request_counts_from_its_arrival() -> None:
    """Guards against a payment that runs after its caller has given up."""
    async with _pipeline() as (_, caller, server, held):
        held.hold("/listing/0")
        caller.writer.write(_request("/listing/0") + _request("/pay/1", "POST", ms=50))
        await asyncio.sleep(SETTLE_S)
        held.release()
        assert (await caller.read())[0] == 200
        assert (await caller.read())[0] == 503
        assert _paths(server) == ["/listing/0"]


@async_test
async def test_requests_are_cancelled_when_their_caller_disconnects() -> None:
    """Guards against servers that work for a caller that has gone."""
    async with _pipeline() as (router, caller, server, held):
        paths = _listings(4)
        held.hold(*paths)
        caller.writer.write(b"".join(map(_request, paths)))
        await wait_until(lambda: len(server.received) == 4)
        assert router.callers.in_flight == 4
        caller.writer.transport.abort()
        await wait_until(lambda: router.callers.in_flight == 0)
        held.release()
        # The router also opens connections to see whether the server has crashed.
        await wait_until(lambda: server.closed_connections == server.connections)


@async_test
async def test_nothing_is_forwarded_behind_a_response_that_closes() -> None:
    """Guards against requests that run although they cannot be answered."""
    async with _pipeline() as (_, caller, server, held):
        held.hold("/listing/0")
        caller.writer.write(
            _request("/listing/0")
            + _request("/listing/1", more="Connection: close\r\n")
            + _request("/listing/2")
        )
        await wait_until(lambda: len(server.received) == 2)
        held.release()
        assert await caller.read() == (200, b"/listing/0", False)
        assert await caller.read() == (200, b"/listing/1", True)
        assert await caller.is_closed()
        assert sorted(_paths(server)) == ["/listing/0", "/listing/1"]


@async_test
async def test_requests_before_a_malformed_one_are_answered() -> None:
    """Guards against a refusal that is taken for the response to another request."""
    for piece in (1 << 16, 50):
        async with _pipeline() as (_, caller, server, held):
            paths = _listings(3)
            held.hold(paths[0])
            data = b"".join(map(_request, paths)) + b"bad\x00 request\r\n\r\n"
            await _send(caller, data + _request("/listing/9"), piece)
            await wait_until(lambda: len(server.received) == 3)
            held.release()
            for path in paths:
                assert await caller.read() == (200, path.encode(), False)
            assert (await caller.read())[0] == 400
            assert await caller.is_closed()
            assert sorted(_paths(server)) == paths


@async_test
async def test_a_stopping_router_answers_what_it_has_forwarded() -> None:
    """Guards against requests that ran, and whose responses are lost by a stop."""
    async with _pipeline() as (router, caller, server, held):
        paths = _listings(3)
        held.hold(*paths)
        caller.writer.write(b"".join(map(_request, paths)))
        await wait_until(lambda: len(server.received) == 3)
        stopping = asyncio.create_task(router.callers.stop())
        await asyncio.sleep(0)
        caller.writer.write(_request("/listing/8") + _request("/listing/9"))
        await asyncio.sleep(SETTLE_S)
        held.release()
        for path in paths:
            is_last = path == paths[-1]
            assert await caller.read() == (200, path.encode(), is_last)
        assert await caller.is_closed()
        await stopping
        assert sorted(_paths(server)) == paths


@async_test
async def test_responses_that_wait_for_earlier_ones_count_as_held() -> None:
    """Guards against memory that a caller takes with one slow and many large ones."""
    async with _pipeline() as (router, caller, _, held):
        held.body = b"x" * LARGE_BYTES
        buffer = router.forwarder.response_buffer
        held.hold("/listing/0")
        caller.writer.write(b"".join(map(_request, _listings(3))))
        await wait_until(lambda: buffer.held_bytes == 2 * LARGE_BYTES)
        held.release()
        for _ in range(3):
            assert (await caller.read())[1] == held.body
        await wait_until(lambda: buffer.held_bytes == 0)
        held.hold("/listing/0")
        caller.writer.write(b"".join(map(_request, _listings(7))))
        assert await caller.is_closed()
        await wait_until(lambda: buffer.held_bytes == 0)


@async_test
async def test_a_caller_that_sends_without_end_is_not_read() -> None:
    """Guards against memory that requests take which wait for a slow one."""
    async with _pipeline() as (router, caller, server, held):
        held.hold("/listing/0")
        count = 4000
        caller.writer.write(b"".join(map(_request, _listings(count))))
        await wait_until(lambda: len(server.received) >= MAX_PARSED)
        await asyncio.sleep(SETTLE_S)
        assert len(server.received) <= MAX_PARSED + 1
        assert router.callers._runner is not None
        assert router.callers._runner.server is not None
        (connection,) = router.callers._runner.server.connections
        assert isinstance(connection, PipelinedConnection)
        assert connection.transport is not None
        assert not connection.transport.is_reading()
        held.release()
        for path in _listings(count):
            assert await caller.read() == (200, path.encode(), False)


@async_test
async def test_many_callers_get_all_responses_in_order() -> None:
    """Guards against mixed responses and leaked requests under load.

    Every fourth request is a payment. Some callers leave before they are answered.
    """
    async with (
        raw_server(_respond_at_random) as server,
        edge_router(False, LISTINGS, PAYMENTS) as router,
    ):
        for number in range(SERVERS):
            router.register_server(server, number)
        await router.callers.start()

        async def call(number: int) -> None:
            prefix = f"c{number}-"
            listings = [f"/listing/{prefix}{index}" for index in range(REQUESTS)]
            requests = [
                (f"/pay/{prefix}{index}", "POST") if index % 4 == 3 else (path, "GET")
                for index, path in enumerate(listings)
            ]
            reader, writer = await asyncio.open_connection(HOST, router.callers.port)
            caller = _Caller(reader, writer)
            data = b"".join(_request(path, method) for path, method in requests)
            await _send(caller, data, random.choice([100, 700, 1 << 16]))
            read = REQUESTS // 4 if number % 5 == 0 else REQUESTS
            for path, _ in requests[:read]:
                assert await caller.read() == (200, path.encode(), False)
            writer.close()

        await asyncio.gather(*map(call, range(CALLERS)))
        await wait_until(lambda: router.callers.in_flight == 0)
        assert router.forwarder.response_buffer.held_bytes == 0
        payments = [path for path in _paths(server) if path.startswith("/pay/")]
        assert len(payments) == len(set(payments))

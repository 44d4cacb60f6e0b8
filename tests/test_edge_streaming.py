"""Large responses on routes of kind ``download``, passed on as they arrive."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest.mock import patch

from mulberryrelay_edge import streamedresponse
from mulberryrelay_edge.responsestream import STREAMED_BYTES
from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test, wait_until
from .fixtures.edgefleet import backend, route
from .fixtures.edgerouter import EdgeRouter, edge_response, edge_router
from .fixtures.rawserver import HOST, RawRequest, RawServer, raw_server

DOWNLOADS = route("file", prefix="/file/", is_download=True, timeout_ms=4000.0)
LISTINGS = route(timeout_ms=4000.0)
BODY = bytes(range(256)) * 1200
"""Longer than ``STREAMED_BYTES``."""
SENT_FIRST = 100_000
"""Bytes of the body that the server sends before it waits."""
ENDLESS_BYTES = 200 * len(BODY)
"""More than the sockets between a server and a caller hold."""
MAX_HELD_BYTES = 1 << 20
"""Bound for one response that its caller does not read.

That is the read-ahead, with what asyncio reads at once, and the pieces being written.
"""
STALL_S = 0.6


class _FileServer:
    """Sends a body in two parts; waits before the second one, or breaks off."""

    def __init__(self) -> None:
        self.is_chunked = False
        self.may_finish = asyncio.Event()
        self.waiting_path = ""
        """The only path whose responses wait; all do if it is empty."""
        self.breaks_after: list[int | None] = []
        """Body length after which each of the first responses breaks off, if any."""
        self.more = f"{HEADERS.response_signature}: r\r\n"
        self.length = len(BODY)
        self.sent_bytes = 0

    async def respond(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers["mulberryrelay-attempt-id"]
        framing = f"Content-Length: {self.length}"
        if self.is_chunked:
            framing = "Transfer-Encoding: chunked"
        head = f"HTTP/1.1 200 OK\r\n{HEADERS.request_id}: {request_id}\r\n{self.more}"
        writer.write(f"{head}{framing}\r\n\r\n".encode())
        breaks_after = self.breaks_after.pop(0) if self.breaks_after else None
        if breaks_after is not None:
            await self._send(writer, BODY[:breaks_after])
            writer.close()
            return
        await self._send(writer, BODY[:SENT_FIRST])
        if self.waiting_path in ("", request.path):
            await self.may_finish.wait()
        await self._send(writer, BODY[SENT_FIRST:])
        for _ in range(self.length // len(BODY) - 1):
            await self._send(writer, BODY)
        if self.is_chunked:
            writer.write(b"0\r\n\r\n")

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if self.is_chunked:
            data = f"{len(data):x}\r\n".encode() + data + b"\r\n"
        writer.write(data)
        await writer.drain()
        self.sent_bytes += len(data)


class _Caller:
    """A caller's connection to the router."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.fields: dict[str, str] = {}

    def send(self, path: str = "/file/1", version: str = "1.1") -> None:
        """Send a request."""
        head = f"GET {path} HTTP/{version}\r\nHost: app.example\r\n"
        self.writer.write(f"{head}{HEADERS.request_id}: {path}\r\n\r\n".encode())

    async def read_head(self) -> int:
        """Return the status of a response; its headers are in ``fields``."""
        async with asyncio.timeout(4.0):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
        lines = head.split("\r\n")
        self.fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        return int(lines[0].split()[1])

    async def read_body(self) -> bytes:
        """Return the body.

        Raises:
            ConnectionError: it is incomplete.
        """
        async with asyncio.timeout(8.0):
            try:
                if "content-length" in self.fields:
                    length = int(self.fields["content-length"])
                    return await self.reader.readexactly(length)
                return await self._read_chunks()
            except asyncio.IncompleteReadError as error:
                raise ConnectionResetError("the body is incomplete") from error

    async def _read_chunks(self) -> bytes:
        body = b""
        while True:
            line = await self.reader.readuntil(b"\r\n")
            chunk = await self.reader.readexactly(int(line, 16) + 2)
            if len(chunk) == 2:
                return body
            body += chunk[:-2]


@asynccontextmanager
async def _connected(
    router: EdgeRouter, limit: int = 1 << 16
) -> AsyncIterator[_Caller]:
    reader, writer = await asyncio.open_connection(
        HOST, router.callers.port, limit=limit
    )
    try:
        yield _Caller(reader, writer)
    finally:
        writer.transport.abort()


@asynccontextmanager
async def _download() -> AsyncIterator[
    tuple[EdgeRouter, _Caller, RawServer, _FileServer]
]:
    """Run a router with a file server, and connect a caller to it."""
    files = _FileServer()
    async with (
        raw_server(files.respond) as server,
        edge_router(False, DOWNLOADS, LISTINGS) as router,
    ):
        router.register_server(server)
        await router.callers.start()
        async with _connected(router) as caller:
            yield router, caller, server, files
        await wait_until(lambda: not _in_flight(router))
        assert router.forwarder.response_buffer.held_bytes == 0
        files.may_finish.set()


def _in_flight(router: EdgeRouter) -> int:
    return router.dispatcher.loads.stats(backend(0)).in_flight


def _has_unread(caller: _Caller) -> bool:
    return bool(caller.reader._buffer)  # type: ignore[attr-defined]


@async_test
async def test_a_large_response_is_passed_on_while_it_arrives() -> None:
    """Guards against large responses that are held as a whole.

    The request counts as in flight until the body has been read, and the connections
    on both sides are used again.
    """
    for is_chunked in (False, True):
        async with _download() as (router, caller, server, files):
            files.is_chunked = is_chunked
            for _ in range(2):
                files.may_finish.clear()
                caller.send()
                assert await caller.read_head() == 200
                assert ("content-length" in caller.fields) != is_chunked
                await wait_until(lambda: _has_unread(caller))
                assert _in_flight(router) == 1
                files.may_finish.set()
                assert await caller.read_body() == BODY
                await wait_until(lambda: not _in_flight(router))
            assert server.connections == 1


@async_test
async def test_other_responses_are_held_until_they_are_complete() -> None:
    """Guards against responses that cannot be retried because they were begun.

    Only downloads are streamed, to callers that recognise an incomplete response.
    """
    for path, version in (("/listing/1", "1.1"), ("/file/1", "1.0")):
        async with _download() as (_, caller, _, files):
            caller.send(path, version)
            try:
                async with asyncio.timeout(0.3):
                    await caller.reader.read(1)
                raise AssertionError("the response was begun")
            except TimeoutError:
                files.may_finish.set()
            assert await caller.read_head() == 200
            assert await caller.read_body() == BODY


@async_test
async def test_a_truncated_response_does_not_look_complete() -> None:
    """Guards against a part of a file that is taken for the whole.

    It is not retried once the caller has got its first byte.
    """
    for is_chunked in (False, True):
        async with _download() as (router, caller, server, files):
            files.is_chunked = is_chunked
            files.breaks_after = [SENT_FIRST]
            caller.send()
            assert await caller.read_head() == 200
            try:
                body = await caller.read_body()
                raise AssertionError(f"{len(body)} bytes were taken for the whole")
            except ConnectionError:
                pass
            await wait_until(lambda: not _in_flight(router))
            assert len(server.received) == 1
            assert router.dispatcher.loads.stats(backend(0)).failures == 1
            assert router.metrics.counters["stream_broken"] == 1


@async_test
async def test_a_response_that_fails_before_its_first_byte_is_retried() -> None:
    """Guards against downloads that fail although another attempt would succeed."""
    async with _download() as (_, caller, server, files):
        files.breaks_after = [STREAMED_BYTES // 2]
        files.may_finish.set()
        caller.send()
        assert await caller.read_head() == 200
        assert await caller.read_body() == BODY
        assert len(server.received) == 2
    async with _download() as (_, caller, server, files):
        files.more = ""
        files.may_finish.set()
        caller.send()
        assert await caller.read_head() == 502, "without a signature"


@async_test
async def test_a_caller_that_does_not_read_holds_its_server_back() -> None:
    """Guards against memory that slow callers take, and servers that they occupy."""
    with patch.object(streamedresponse, "CALLER_STALL_S", STALL_S):
        async with _download() as (router, caller, server, files):
            router.pool._max_response_bytes = 2 * ENDLESS_BYTES
            files.length = ENDLESS_BYTES
            files.may_finish.set()
            caller.send()
            await wait_until(lambda: _in_flight(router) == 1)
            buffer = router.forwarder.response_buffer
            peak = 0
            while _in_flight(router):
                peak = max(peak, buffer.held_bytes)
                await asyncio.sleep(0.01)
            assert 0 < peak < MAX_HELD_BYTES, peak
            assert files.sent_bytes < ENDLESS_BYTES / 2, files.sent_bytes
            # The router also opens some to see whether the server has crashed.
            await wait_until(lambda: server.closed_connections == server.connections)
            assert router.metrics.counters["stream_abandoned"] == 1
            assert await caller.read_head() == 200
            try:
                await caller.read_body()
                raise AssertionError("the response looks complete")
            except ConnectionError:
                pass


@async_test
async def test_a_slow_caller_that_reads_on_gets_the_whole_response() -> None:
    """Guards against slow links that are taken for callers that do not read."""
    with patch.object(streamedresponse, "CALLER_STALL_S", STALL_S):
        async with _download() as (router, caller, _, files):
            router.pool._max_response_bytes = 2 * ENDLESS_BYTES
            files.length = 40 * len(BODY)
            files.may_finish.set()
            caller.send()
            assert await caller.read_head() == 200
            left = int(caller.fields["content-length"])
            started_s = asyncio.get_running_loop().time()
            while left:
                left -= len(await caller.reader.read(min(left, 1 << 20)))
                await asyncio.sleep(0.02)
            assert asyncio.get_running_loop().time() - started_s > STALL_S


@async_test
async def test_a_caller_that_leaves_ends_the_response() -> None:
    """Guards against servers that send to nobody."""
    async with _download() as (router, caller, server, files):
        caller.send()
        assert await caller.read_head() == 200
        caller.writer.transport.abort()
        await wait_until(lambda: not _in_flight(router))
        files.may_finish.set()
        await wait_until(lambda: server.closed_connections == server.connections)


@async_test
async def test_streams_end_when_all_responses_hold_too_much() -> None:
    """Guards against a process that is killed for the memory that callers take."""
    async with _download() as (router, caller, _, files):
        router.pool._max_response_bytes = 2 * ENDLESS_BYTES
        router.forwarder.response_buffer._max_bytes = 3 * STREAMED_BYTES
        files.length = ENDLESS_BYTES
        files.may_finish.set()
        caller.send()
        await wait_until(lambda: "stream_abandoned" in router.metrics.counters)
        assert not router.dispatcher.loads.stats(backend(0)).failures
        assert await caller.read_head() == 200
        try:
            await caller.read_body()
            raise AssertionError("the response looks complete")
        except ConnectionError:
            pass


@async_test
async def test_a_stopping_router_completes_a_stream() -> None:
    """Guards against files that are cut off by a planned stop."""
    async with _download() as (router, caller, _, files):
        caller.send()
        assert await caller.read_head() == 200
        stopping = asyncio.create_task(router.callers.stop())
        await asyncio.sleep(0.1)
        assert not stopping.done()
        files.may_finish.set()
        assert await caller.read_body() == BODY
        assert await caller.reader.read() == b""
        await stopping


@async_test
async def test_a_stream_that_is_dropped_is_no_failure_of_its_server() -> None:
    """Guards against servers that are ejected for what slow callers hold."""
    async with _download() as (router, caller, _, _):
        caller.send()
        assert await caller.read_head() == 200
        buffer = router.forwarder.response_buffer
        buffer._max_bytes = 1
        buffer.enforce_limit()
        await wait_until(lambda: not _in_flight(router))
        assert not router.dispatcher.loads.stats(backend(0)).failures


@async_test
async def test_pipelined_downloads_keep_their_order() -> None:
    """Guards against mixed responses, and servers that wait for an earlier response.

    A response that waits for its turn is held as a whole.
    """
    async with _download() as (router, caller, _, files):
        files.waiting_path = "/file/1"
        for path in ("/file/1", "/listing/2", "/file/3"):
            caller.send(path)
        buffer = router.forwarder.response_buffer
        await wait_until(lambda: buffer.held_bytes >= 2 * len(BODY))
        assert _in_flight(router) == 1
        files.may_finish.set()
        for _ in range(3):
            assert await caller.read_head() == 200
            assert await caller.read_body() == BODY


@async_test
async def test_many_downloads_from_unreliable_servers() -> None:
    """Guards against mixed or cut bodies, and leaked connections or counts.

    Every fourth response breaks off somewhere. What looks complete is complete.
    """

    def body_of(path: str) -> bytes:
        rng = random.Random(path)
        return rng.randbytes(1000) * rng.randrange(1, 540)

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        body = body_of(request.path)
        length = f"Content-Length: {len(body)}\r\n"
        response = edge_response(request, more=length, length=False)
        response = response.removesuffix(request.path.encode()) + body
        if random.random() < 0.25:
            writer.write(response[: random.randrange(len(response))])
            await writer.drain()
            writer.close()
            return
        writer.write(response)
        await writer.drain()

    async with (
        raw_server(respond) as server,
        edge_router(False, DOWNLOADS) as router,
    ):
        for number in range(4):
            router.register_server(server, number)
        await router.callers.start()
        complete = 0

        async def call(number: int) -> None:
            nonlocal complete
            for index in range(12):
                path = f"/file/{number}-{index}"
                async with _connected(router) as caller:
                    caller.send(path)
                    if await caller.read_head() != 200:
                        continue
                    try:
                        body = await caller.read_body()
                    except ConnectionError:
                        continue
                    assert body == body_of(path), path
                    complete += 1

        await asyncio.gather(*map(call, range(8)))
        assert complete > 24
        loads = router.dispatcher.loads
        servers = [backend(number) for number in range(4)]
        await wait_until(lambda: not any(loads.stats(s).in_flight for s in servers))
        assert router.forwarder.response_buffer.held_bytes == 0

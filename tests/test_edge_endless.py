"""Servers that send bytes without end, or bytes that are no response.

The connection must be closed at once, memory stays bounded, and the caller learns the
truth: a non-idempotent request may have run.
"""

import asyncio
import socket
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack, ExitStack

import aiohttp
from returns.result import Failure

from mulberryrelay_edge.messages import LAST_KEY
from mulberryrelay_platform.commands import PlatformCommands
from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test, wait_until
from .fixtures.edgefleet import backend
from .fixtures.edgerouter import (
    MAX_BUFFERED_BYTES,
    MAX_RESPONSE_BYTES,
    EdgeRouter,
    edge_response,
    edge_router,
    get,
)
from .fixtures.rawserver import HOST, RawRequest, raw_server, respond_with

DEADLINE_MS = 4000.0
AT_ONCE_S = 1.0
"""Time in which an endless response has to be rejected, a quarter of the deadline."""
SOCKET_BYTES = 16 << 20
"""Upper bound of what the sockets' buffers may hold beyond what the router reads."""
UNREAD_RESPONSES = 16
MAX_KEPT = MAX_BUFFERED_BYTES // (MAX_RESPONSE_BYTES * 3 // 4)
"""Callers whose responses there is room for."""
MAX_COMMAND_BYTES = 4 << 20
"""Upper bound of what a response to a command may take, the socket's reads included."""
MAX_ATTEMPTS_OF_TEST_ROUTE = 2
"""Attempts that may run, of one request on the route of the tests."""

Endless = Callable[[RawRequest], Iterator[bytes]]
"""Returns the pieces of a response that never ends."""


def _repeat(start: bytes, piece: bytes) -> Iterator[bytes]:
    yield start
    while True:
        yield piece


def _head(request: RawRequest, framing: str) -> bytes:
    """Return the head of a successful response, with a header line for its framing."""
    return edge_response(request, more=framing, length=False).partition(b"\r\n\r\n")[0]


BLOCK = b"x" * 16_384
CHUNK = b"4000\r\n" + BLOCK + b"\r\n"
ENDLESS: dict[str, Endless] = {
    "chunked body": lambda r: _repeat(
        _head(r, "Transfer-Encoding: chunked\r\n") + b"\r\n\r\n", CHUNK
    ),
    "body with a huge length": lambda r: _repeat(
        _head(r, "Content-Length: 99999999999\r\n") + b"\r\n\r\n", BLOCK
    ),
    "body without length": lambda r: _repeat(_head(r, "") + b"\r\n\r\n", BLOCK),
    "chunk extension": lambda r: _repeat(
        _head(r, "Transfer-Encoding: chunked\r\n") + b"\r\n\r\n4;", BLOCK
    ),
    "trailers": lambda r: _repeat(
        _head(r, "Transfer-Encoding: chunked\r\n") + b"\r\n\r\n0\r\n", b"A: b\r\n" * 99
    ),
    "header lines": lambda r: _repeat(b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 99),
    "one header line": lambda r: _repeat(b"HTTP/1.1 200 OK\r\nA: ", BLOCK),
    "empty lines": lambda r: _repeat(b"", b"\r\n" * 999),
    "no response": lambda r: _repeat(b"", BLOCK),
    "interim responses": lambda r: _repeat(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "upgrade": lambda r: _repeat(
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", BLOCK
    ),
}


class EndlessServer:
    """Behaviour of a server that sends until its connection is closed."""

    def __init__(self, make: Endless) -> None:
        self._make = make
        self.sent_bytes = 0

    async def respond(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        for piece in self._make(request):
            writer.write(piece)
            self.sent_bytes += len(piece)
            await writer.drain()
            await asyncio.sleep(0)


@async_test
async def test_an_endless_response_is_rejected_at_once() -> None:
    """Guards against a process that runs out of memory, and a false "not run"."""
    for name, make in ENDLESS.items():
        endless = EndlessServer(make)
        async with raw_server(endless.respond) as server, edge_router() as router:
            router.register_server(server)
            started_s = time.monotonic()
            request = router.request(is_idempotent=False, timeout_ms=DEADLINE_MS)
            response = await router.send(request)
            assert response.status == 502, name
            assert time.monotonic() - started_s < AT_ONCE_S, name
            assert len(server.received) == 1, name
            while not server.closed_connections:
                await asyncio.sleep(0.005)
            assert endless.sent_bytes < MAX_RESPONSE_BYTES + SOCKET_BYTES, name


@async_test
async def test_a_request_is_not_sent_to_a_failing_server_again_and_again() -> None:
    """Guards against attempts that repeat until the deadline of the request."""
    for is_keyed in (False, True):
        for name, make in ENDLESS.items():
            endless = EndlessServer(make)
            async with (
                raw_server(endless.respond) as server,
                edge_router(is_keyed) as router,
            ):
                entry = router.register_server(server)
                if is_keyed:
                    router.assign_all_keys(entry)
                request = router.request(key=7, timeout_ms=DEADLINE_MS)
                response = await router.send(request)
                assert response.status == 502, name
                assert len(server.received) <= MAX_ATTEMPTS_OF_TEST_ROUTE, name


@async_test
async def test_an_endless_response_to_a_command_is_not_kept() -> None:
    """Guards against a leader that runs out of memory, or reads on until a timeout.

    The leader sends commands and probes on connections of their own.
    """
    for name, make in ENDLESS.items():
        endless = EndlessServer(make)
        async with raw_server(endless.respond) as server:
            entry = backend(0, host=HOST, port=server.port)
            commands = PlatformCommands()
            started_s = time.monotonic()
            tracemalloc.start()
            result = await commands.release(entry, 0, LAST_KEY, 1, lambda: True)
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            await commands.close()
            assert isinstance(result, Failure), name
            assert time.monotonic() - started_s < AT_ONCE_S, name
            assert peak_bytes < MAX_COMMAND_BYTES, (name, peak_bytes)
            assert endless.sent_bytes < MAX_COMMAND_BYTES + SOCKET_BYTES, name


@async_test
async def test_a_server_that_sends_no_responses_is_ejected() -> None:
    """Guards against requests to a server that fails each of them."""
    endless = EndlessServer(ENDLESS["no response"])
    async with (
        raw_server(endless.respond) as broken,
        raw_server(respond_with(edge_response)) as first,
        raw_server(respond_with(edge_response)) as second,
        edge_router() as router,
    ):
        for number, server in enumerate((broken, first, second)):
            router.register_server(server, number)
        for _ in range(60):
            response = await router.send(router.request())
            assert response.status == 200
        assert len(broken.received) <= 6


@async_test
async def test_all_responses_together_hold_bounded_memory() -> None:
    """Guards against many long responses at once; the largest of them are ended.

    Each server sends most of one long response, which stays below its own limit, and
    then waits. Its further responses are short.
    """
    count = 2 * MAX_BUFFERED_BYTES // MAX_RESPONSE_BYTES
    released = asyncio.Event()
    first_requests: dict[object, RawRequest] = {}
    part = b"x" * (MAX_RESPONSE_BYTES * 3 // 4)

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if (
            first_requests.setdefault(writer.get_extra_info("sockname"), request)
            != request
        ):
            writer.write(edge_response(request))
            return
        framing = f"Content-Length: {MAX_RESPONSE_BYTES}\r\n"
        writer.write(_head(request, framing) + b"\r\n\r\n" + part)
        await released.wait()
        writer.write(b"x" * (MAX_RESPONSE_BYTES - len(part)))

    async with AsyncExitStack() as stack:
        router = await stack.enter_async_context(edge_router())
        for number in range(count):
            server = await stack.enter_async_context(raw_server(respond))
            router.register_server(server, number)
        sending = [asyncio.create_task(_send_once(router)) for _ in range(count)]
        await wait_until(lambda: any(task.done() for task in sending))
        buffer = router.forwarder.response_buffer
        assert MAX_RESPONSE_BYTES < buffer.held_bytes <= MAX_BUFFERED_BYTES
        beside = [_send_once(router) for _ in range(count)]
        assert await asyncio.gather(*beside) == [200] * count
        released.set()
        statuses = await asyncio.gather(*sending)
        assert statuses.count(200) >= 2 and set(statuses) == {200, 502}
        assert buffer.held_bytes == 0


async def _send_once(router: EdgeRouter) -> int:
    request = router.request(is_idempotent=False, timeout_ms=DEADLINE_MS)
    return (await router.send(request)).status


@async_test
async def test_bytes_on_an_idle_connection_close_it() -> None:
    """Guards against memory taken by a server while nobody waits for a response."""

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(edge_response(request))
        await asyncio.sleep(0.05)
        await endless.respond(request, writer)

    endless = EndlessServer(lambda request: _repeat(b"", edge_response(request)))
    async with raw_server(respond) as server, edge_router() as router:
        router.register_server(server)
        response = await router.send(router.request())
        assert response.status == 200
        await wait_until(lambda: server.closed_connections == 1)


@async_test
async def test_responses_that_callers_do_not_read_take_bounded_memory() -> None:
    """Guards against callers that send requests and leave the responses unread.

    The connections of the callers with the largest responses are closed. Others go on.
    """
    body = b"x" * (MAX_RESPONSE_BYTES * 3 // 4)

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if request.path == "/listing/short":
            writer.write(edge_response(request))
            return
        framing = f"Content-Length: {len(body)}\r\n"
        writer.write(_head(request, framing) + b"\r\n\r\n" + body)

    loop = asyncio.get_running_loop()
    with ExitStack() as stack:
        async with raw_server(respond) as server, edge_router() as router:
            router.register_server(server)
            await router.callers.start()
            assert router.callers._listener is not None
            # Otherwise the kernel takes all the responses from the router.
            router.callers._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
            callers = []
            for number in range(UNREAD_RESPONSES):
                caller = stack.enter_context(socket.socket())
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.setblocking(False)
                await loop.sock_connect(caller, (HOST, router.callers.port))
                await loop.sock_sendall(caller, _request(f"/listing/{number}"))
                callers.append(caller)
            await wait_until(lambda: len(server.received) == UNREAD_RESPONSES)
            buffer = router.forwarder.response_buffer
            await wait_until(lambda: _connections(router) <= MAX_KEPT)
            assert 0 < buffer.held_bytes <= MAX_BUFFERED_BYTES
            status, _ = await _get_short(router)
            assert status == 200
            for caller in callers:
                caller.close()
            await wait_until(lambda: buffer.held_bytes == 0)


async def _get_short(router: EdgeRouter) -> tuple[int, bytes]:
    async with aiohttp.ClientSession() as session:
        return await get(session, f"{router.url}/listing/short")


def _request(path: str) -> bytes:
    return (
        f"GET {path} HTTP/1.1\r\nHost: app.example\r\n{HEADERS.request_id}: {path}\r\n"
        f"{HEADERS.deadline_ms}: {DEADLINE_MS}\r\n\r\n"
    ).encode()


def _connections(router: EdgeRouter) -> int:
    runner = router.callers._runner
    assert runner is not None and runner.server is not None
    return len(runner.server.connections)

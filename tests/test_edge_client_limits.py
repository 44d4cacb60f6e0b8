"""Limits for callers of an edge router, for callers that keep to them and others."""

import asyncio

from mulberryrelay_edge.callerlimits import caller_head_limits
from mulberryrelay_edge.pipelining import MAX_CONCURRENT_REQUESTS
from mulberryrelay_kernel.clientlimits import ClientLimiter
from mulberryrelay_platform.names import HEADERS
from mulberryrelay_platform.settings import parse_settings

from .fixtures import async_test, wait_until
from .fixtures.edgerouter import EdgeRouter, edge_response, edge_router
from .fixtures.rawserver import HOST, RawRequest, raw_server, respond_with

HEADER_BYTES = 16_384
"""Limit of the routes that the tests use."""
START = f"Host: app.example\r\n{HEADERS.request_id}: a\r\n"
BODY = b"x" * 100_000
PIECE_BYTES = 3000
PAUSE_S = 0.002
RESPONSE_S = 5.0
"""Time after which a test fails that waits for a response."""
CONNECTIONS = 4
FILLER_BYTES = 8_000_000
"""More than the kernel takes for a caller that does not read."""

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def _head(path: str = "/listing/1", filler_bytes: int = 0, body: bytes = b"") -> bytes:
    method = "POST" if body else "GET"
    filler = f"X-Filler: {'x' * filler_bytes}\r\n" if filler_bytes else ""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = f"{method} {path} HTTP/1.1\r\n{START}{filler}{length}\r\n"
    return head.encode() + body


async def _connect(router: EdgeRouter) -> Streams:
    return await asyncio.open_connection(HOST, router.callers.port)


async def _read_status(reader: asyncio.StreamReader) -> int:
    """Return the status of the next response, or 0 if the connection ends."""
    try:
        async with asyncio.timeout(RESPONSE_S):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = head.partition("content-length: ")[2].partition("\r\n")[0]
            await reader.readexactly(int(length))
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    return int(head.split(" ")[1])


async def _exchange(router: EdgeRouter, request: bytes) -> int:
    """Send a request in pieces; return the status of its response."""
    reader, writer = await _connect(router)
    for start in range(0, len(request), PIECE_BYTES):
        writer.write(request[start : start + PIECE_BYTES])
        await asyncio.sleep(PAUSE_S)
    status = await _read_status(reader)
    writer.close()
    return status


def _limit_connections(limiter: ClientLimiter) -> None:
    limiter._max_connections = CONNECTIONS
    limiter._max_finishing = CONNECTIONS


@async_test
async def test_heads_within_the_limits_are_served() -> None:
    """Guards against limits that callers within the configured ones reach."""
    async with (
        raw_server(respond_with(edge_response)) as server,
        edge_router() as router,
    ):
        router.register_server(server)
        await router.callers.start()
        cases = {
            "long fields": (_head(filler_bytes=HEADER_BYTES - 200), 200),
            "long line": (_head("/listing/" + "x" * 60_000), 200),
            "both": (_head("/listing/" + "x" * 45_000, HEADER_BYTES - 200), 200),
            "body": (_head(body=BODY), 200),
            "fields over the limit": (_head(filler_bytes=HEADER_BYTES + 200), 431),
        }
        for name, (request, status) in cases.items():
            assert await _exchange(router, request) == status, name
        await router.callers.stop()


@async_test
async def test_a_head_that_does_not_end_is_refused() -> None:
    """Guards against heads that are kept for as long as their caller wants.

    Neither an empty line between requests nor a body begins the time for a head.
    """
    async with (
        raw_server(respond_with(edge_response)) as server,
        edge_router() as router,
    ):
        router.register_server(server)
        limits = caller_head_limits(router.routes)
        short = type(limits)(limits.max_bytes, 0.2, limits.max_queued_bytes)
        router.callers.limiter._head_limits = lambda: short
        await router.callers.start()
        # A caller that is still sending may not see the response.
        cases = {
            _head()[:-2]: {408},
            b"\r\n" * 100_000: {431, 0},
            _head()[:-2] + (b"A: " + b"x" * 1000 + b"\r\n") * 120: {431, 0},
        }
        for request, statuses in cases.items():
            assert await _exchange(router, request) in statuses, request[:80]
        counts = router.callers.limiter.gauges()
        assert counts["clients_refused_head_too_slow"] == 1
        assert counts["clients_refused_head_too_long"] == 2
        reader, writer = await _connect(router)
        for data in (_head(body=BODY) + b"\r\n", b"\r\n", b"\r\n" + _head()):
            writer.write(data)
            await asyncio.sleep(2 * short.timeout_s)
        assert [await _read_status(reader) for _ in range(2)] == [200, 200]
        writer.close()
        await router.callers.stop()


@async_test
async def test_the_longest_idle_connection_is_closed_for_a_new_one() -> None:
    """Guards against callers that cannot connect, and requests that are lost for it."""
    released = asyncio.Event()

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if request.path == "/listing/slow":
            await released.wait()
        writer.write(edge_response(request))

    async with raw_server(respond) as server, edge_router() as router:
        router.register_server(server)
        _limit_connections(router.callers.limiter)
        await router.callers.start()
        connections = [await _connect(router) for _ in range(CONNECTIONS)]
        connections[0][1].write(_head("/listing/slow"))
        await wait_until(lambda: len(server.received) == 1)
        connections[1][1].write(_head())
        assert await _read_status(connections[1][0]) == 200
        newest = await _connect(router)
        newest[1].write(_head())
        assert await _read_status(newest[0]) == 200
        assert await _read_status(connections[2][0]) == 0, "idle for the longest time"
        connections[1][1].write(_head())
        assert await _read_status(connections[1][0]) == 200, "used since then"
        released.set()
        assert await _read_status(connections[0][0]) == 200, "in progress"
        assert router.callers.limiter.connections == CONNECTIONS
        for _, writer in (*connections, newest):
            writer.close()
        await router.callers.stop()


@async_test
async def test_no_forwarded_request_is_lost_when_pipelining_ends_for_others() -> None:
    """Guards against responses lost because a new caller needs a connection.

    Each request that reached the server has a response; those behind them did not run.
    """
    released = asyncio.Event()

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        await released.wait()
        writer.write(edge_response(request))

    async with raw_server(respond) as server, edge_router() as router:
        for number in range(MAX_CONCURRENT_REQUESTS):
            # A router sends few requests at once to a server that it does not know.
            router.register_server(server, number)
        _limit_connections(router.callers.limiter)
        await router.callers.start()
        connections = [await _connect(router) for _ in range(CONNECTIONS)]
        for _, writer in connections:
            writer.write(_head() * 20)
        await wait_until(lambda: len(server.received) >= MAX_CONCURRENT_REQUESTS)
        before = router.callers.in_flight
        newest = await _connect(router)
        newest[1].write(_head("/listing/new"))
        await wait_until(lambda: router.callers.in_flight > before)
        released.set()
        assert await _read_status(newest[0]) == 200
        statuses = []
        while status := await _read_status(connections[0][0]):
            statuses.append(status)
        assert statuses and set(statuses) == {200}, statuses
        assert len(statuses) < 20, "closed before its last request"
        others = 0
        for reader, _ in connections[1:]:
            others += [await _read_status(reader) for _ in range(20)].count(200)
        assert len(server.received) == len(statuses) + others + 1
        for _, writer in (*connections, newest):
            writer.close()
        await router.callers.stop()


@async_test
async def test_a_caller_that_reads_nothing_is_disconnected() -> None:
    """Guards against responses that are kept for a caller that never reads them."""

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(edge_response(request))

    async with raw_server(respond) as server, edge_router() as router:
        router.register_server(server)
        limiter = router.callers.limiter
        limiter._unread_timeout_s = 1.0
        await router.callers.start()
        _, writer = await _connect(router)
        await wait_until(lambda: limiter.connections == 1)
        (client,) = limiter._entries
        transport = client._client_transport  # type: ignore[attr-defined]
        transport.write(b"x" * FILLER_BYTES)
        assert client.unsent_bytes
        await wait_until(lambda: limiter.connections == 0, timeout_s=5.0)
        assert limiter.gauges()["clients_refused_response_unread"] == 1
        writer.close()
        await router.callers.stop()


def test_connections_follow_from_descriptors_and_memory() -> None:
    """Guards against a process that accepts more than its machine can hold."""
    base = (
        "Listen.Front=127.0.0.1:1\nListen.Ready=127.0.0.1:2\nNode=a\nZone=b\n"
        "Provider.Address=127.0.0.1:3\nInternalPorts=4\n"
    )
    cases = {
        "": 1250,
        "Limits.MaxFds=1638\nLimits.MemoryMb=160": 819,
        "Limits.MaxFds=8192\nLimits.MemoryMb=200": 1250,
        "Limits.MaxFds=1": 1,
    }
    for lines, connections in cases.items():
        options = parse_settings(base + lines, "settings").options
        assert options.max_caller_connections == connections, lines

"""Request handling of the edge router: valid responses, outcomes and retries.

Scripted servers on real sockets refuse requests or send broken responses. The tests
check which response the caller gets and how often a request is sent.
"""

import asyncio
import functools
import itertools
import socket
import struct
from unittest.mock import patch

import aiohttp
import msgspec

from mulberryrelay_edge.callers import CallerServer
from mulberryrelay_edge.routelatency import MIN_OVERDUE_MS
from mulberryrelay_edge.serverload import INITIAL_LATENCY_MS
from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test
from .fixtures.edgerouter import edge_refusal, edge_response, edge_router, get
from .fixtures.rawserver import (
    HOST,
    RawRequest,
    RawServer,
    close,
    raw_server,
    respond_with,
)

respond_ok = respond_with(edge_response)
RESPONSE_TIMEOUT_S = 0.5
refuse = respond_with(edge_refusal)
disconnect = close


@async_test
async def test_a_duplicate_refusal_is_not_the_response_to_the_retry() -> None:
    """Guards against reporting a payment that ran as not run.

    A server sends its refusal twice on one connection. The retry has the same request
    id, so it must use another connection.
    """

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if len(server.received) == 1:
            writer.write(edge_refusal(request))
            loop = asyncio.get_running_loop()
            loop.call_later(0.03, writer.write, edge_refusal(request))
            return
        await asyncio.sleep(0.1)
        writer.write(edge_response(request))

    async with raw_server(respond) as server, edge_router() as router:
        router.register_server(server)
        response = await router.send(router.request(is_idempotent=False))
        assert response.status == 200
        assert len(server.received) == 2
        assert response.body == server.received[1].path.encode()


@async_test
async def test_a_non_idempotent_request_is_not_retried_after_a_disconnect() -> None:
    """Guards against running a request twice that may already have run."""
    async with raw_server(disconnect) as server, edge_router() as router:
        router.register_server(server)
        response = await router.send(router.request(is_idempotent=False))
        assert response.status == 502
        assert len(server.received) == 1


@async_test
async def test_a_request_at_a_silent_server_is_not_started_elsewhere() -> None:
    """Guards against work that is started again, or given up, while it still runs.

    The server answers only after it counts as unresponsive; another one is idle.
    """
    delay_s = 1.5 * MIN_OVERDUE_MS / 1000 + 4 * INITIAL_LATENCY_MS / 1000
    slow = respond_with(edge_response, delay_s=delay_s)
    for is_idempotent in (False, True):
        async with (
            raw_server(slow) as silent,
            raw_server(respond_ok) as idle,
            edge_router() as router,
        ):
            entry = router.register_server(silent)
            request = router.request(is_idempotent, timeout_ms=4000.0)
            sending = asyncio.create_task(router.send(request))
            while not router.dispatcher.loads.is_unresponsive(entry):
                await asyncio.sleep(0.01)
            router.register_server(idle, 1)
            response = await sending
            assert response.status == 200
            assert len(silent.received) == 1
            assert idle.received == []


@async_test
async def test_a_refused_non_idempotent_request_is_sent_to_another_server() -> None:
    """Guards against failing a request that certainly did not run."""
    async with (
        raw_server(refuse) as full,
        raw_server(respond_ok) as free,
        edge_router() as router,
    ):
        router.register_server(full, 0)
        router.register_server(free, 1)
        for _ in range(4):
            response = await router.send(router.request(is_idempotent=False))
            assert response.status == 200
        assert len(free.received) == 4


@async_test
async def test_a_request_that_was_not_sent_gets_503_with_retry_after() -> None:
    """Guards against a status that leaves the outcome unknown though nothing ran."""
    async with raw_server(respond_ok) as server, edge_router() as router:
        router.register_server(server)
        server.die()
        response = await router.send(router.request(timeout_ms=300.0))
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0


@async_test
async def test_an_idempotent_request_runs_on_no_more_servers_than_allowed() -> None:
    """Guards against endless retries; the route of the tests allows two servers."""
    async with (
        raw_server(disconnect) as first,
        raw_server(disconnect) as second,
        raw_server(disconnect) as third,
        edge_router() as router,
    ):
        servers = [first, second, third]
        for number, server in enumerate(servers):
            router.register_server(server, number)
        response = await router.send(router.request())
        assert response.status == 502
        assert sum(len(server.received) for server in servers) == 2


@async_test
async def test_a_response_that_ends_with_a_reset_is_not_complete() -> None:
    """Guards against passing on a truncated response.

    A response without a length is complete only if its connection was closed, not if it
    was reset.
    """

    async def reset(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(edge_response(request, length=False))
        await asyncio.sleep(0.02)
        # With a linger time of 0, closing resets the connection.
        linger = struct.pack("ii", 1, 0)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    async def end(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(edge_response(request, length=False))
        writer.close()

    for respond, status in ((reset, 502), (end, 200)):
        async with raw_server(respond) as server, edge_router() as router:
            router.register_server(server)
            response = await router.send(router.request(is_idempotent=False))
            assert response.status == status, respond.__name__


INVALID_RESPONSES = {
    "no signature": lambda r: edge_response(r).replace(b"Signature", b"Other"),
    "encoded": lambda r: edge_response(r, more="Content-Encoding: gzip\r\n"),
    "cut": lambda r: edge_response(r)[:-2],
    "foreign": lambda r: edge_response(r).replace(b"request-", b"other-"),
    "no response": lambda r: b"nonsense\r\n\r\n",
}


@async_test
async def test_invalid_responses_are_never_passed_on() -> None:
    """Guards against responses that are truncated or belong to another request."""
    for name, make in INVALID_RESPONSES.items():
        respond = respond_with(make, closes=True)
        async with raw_server(respond) as server, edge_router() as router:
            router.register_server(server)
            response = await router.send(router.request(is_idempotent=False))
            assert response.status == 502, name
            assert response.body == b"", name


@async_test
async def test_a_key_is_ignored_at_a_service_without_keys() -> None:
    """Guards against requests that wait for a busy server while others are idle."""
    async with (
        raw_server(respond_with(edge_response, delay_s=0.2)) as first,
        raw_server(respond_with(edge_response, delay_s=0.2)) as second,
        edge_router() as router,
    ):
        router.register_server(first, 0)
        router.register_server(second, 1)
        sending = [router.send(router.request(key=7)) for _ in range(12)]
        responses = await asyncio.gather(*sending)
        assert {response.status for response in responses} == {200}
        assert len(first.received) >= 4
        assert len(second.received) >= 4


@async_test
async def test_a_server_replaced_at_its_address_gets_one_request() -> None:
    """Guards against refused requests that use up the retry budget of another service.

    Another server responds at the registered address. After its first refusal the
    registered server no longer gets requests.
    """
    other = f"{HEADERS.server}: someone-else\r\n"
    respond = respond_with(lambda r: edge_refusal(r, "421 Misdirected", other))
    async with raw_server(respond) as server, edge_router(is_keyed=True) as router:
        router.assign_all_keys(router.register_server(server))
        for _ in range(3):
            response = await router.send(router.request(key=7, timeout_ms=400.0))
            assert response.status == 503
        assert len(server.received) == 1
        assert not router.catalog.servers(router.routes.routes[0].shares[0].service)


@async_test
async def test_retries_stay_within_the_budget() -> None:
    """Guards against retry storms.

    A single router may retry a fifth of its requests and 60 more in 10 s. The server
    refuses although it has a free slot, so that only the budget holds retries back.
    """
    requests = 100
    refuse = functools.partial(edge_refusal, more=f"{HEADERS.load}: 1,0,4\r\n")
    async with (
        raw_server(respond_with(refuse)) as server,
        edge_router(is_keyed=True) as router,
    ):
        router.adapter.options = msgspec.structs.replace(
            router.adapter.options, retry_slack=60.0
        )
        router.assign_all_keys(router.register_server(server))
        for _ in range(requests):
            await router.send(router.request(key=7, timeout_ms=200.0))
        retries = len(server.received) - requests
        assert {request.path for request in server.received} == {
            f"/listing/{number}" for number in range(1, requests + 1)
        }
        assert 0 < retries <= 60 + 0.2 * requests


@async_test
async def test_each_attempt_states_the_time_left_until_the_deadline() -> None:
    """Guards against servers that work on a request after its caller gave up."""
    async with raw_server(refuse) as server, edge_router() as router:
        router.register_server(server)
        await router.send(router.request(timeout_ms=500.0))
        name = str(HEADERS.deadline_ms).lower()
        left_ms = [int(request.headers[name]) for request in server.received]
        assert left_ms and left_ms[0] <= 500
        for earlier, later in itertools.pairwise(left_ms):
            assert later <= earlier


@async_test
async def test_shutdown_completes_requests_and_closes_idle_connections() -> None:
    """Guards against requests lost at shutdown, and against idle connections that stay
    open although the router no longer reads from them."""
    slow = respond_with(edge_response, delay_s=0.5)
    async with raw_server(slow) as server, edge_router() as router:
        router.register_server(server)
        await router.callers.start()
        async with aiohttp.ClientSession() as session:
            status, _ = await get(session, f"{router.url}/listing/1")
            assert status == 200
            idle_reader, idle_writer = await _connect(router.callers.port)
            stopping = asyncio.create_task(router.callers.stop())
            await asyncio.sleep(0.1)
            busy = await get(session, f"{router.url}/listing/2")
            assert busy == (200, b"/listing/2")
            async with asyncio.timeout(1.5):
                assert await idle_reader.read() == b""
            idle_writer.close()
            await stopping


@async_test
async def test_an_idempotent_request_is_cancelled_when_its_caller_disconnects() -> None:
    """Guards against servers that work on requests whose response nobody reads."""
    received = asyncio.Event()
    closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        received.set()
        await reader.read()
        closed.set()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with edge_router() as router:
        server = RawServer(respond_ok)
        server.port = listener.sockets[0].getsockname()[1]
        router.register_server(server)
        sending = asyncio.create_task(router.send(router.request()))
        await received.wait()
        sending.cancel()
        async with asyncio.timeout(0.5):
            await closed.wait()
    listener.close()


@async_test
async def test_a_started_non_idempotent_request_is_not_cancelled() -> None:
    """Guards against interrupting a request on its server if its caller disconnects."""
    async with (
        raw_server(respond_with(edge_response, delay_s=0.2)) as server,
        edge_router() as router,
    ):
        router.register_server(server)
        sending = asyncio.create_task(router.send(router.request(is_idempotent=False)))
        await _wait_until_received(server, 1)
        sending.cancel()
        await asyncio.sleep(0.4)
        assert not server.closed_connections


async def _connect(
    port: int,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to the router that has carried one request and is idle."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = (
        f"GET /listing/9 HTTP/1.1\r\nHost: app.example\r\n{HEADERS.request_id}: x\r\n"
    )
    writer.write(f"{head}\r\n".encode())
    await reader.readuntil(b"/listing/9")
    return reader, writer


async def _wait_until_received(server: RawServer, count: int) -> None:
    async with asyncio.timeout(1.0):
        while len(server.received) < count:
            await asyncio.sleep(0.01)


async def _first_bytes(caller: socket.socket) -> bytes:
    """Return the first bytes of a response within a time limit; close the socket.

    Returns ``reset`` if the connection was reset, and ``nothing`` after the time limit.
    """
    caller.setblocking(False)
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            loop = asyncio.get_running_loop()
            return (await loop.sock_recv(caller, 4096))[:12]
    except ConnectionError:
        return b"reset"
    except TimeoutError:
        return b"nothing"
    finally:
        caller.close()


@async_test
async def test_a_request_on_the_last_accepted_connection_is_served() -> None:
    """Guards against a connection that hangs because it was closed as it was accepted.

    A caller connects and sends a request, and the router stops listening 0 to 8 steps
    of the event loop later. A connection that was not accepted is reset.
    """
    statuses = []
    stop_listening = CallerServer._stop_listening
    for steps in range(9):
        async with raw_server(respond_ok) as server, edge_router() as router:
            router.register_server(server)
            await router.callers.start()
            opened: list[socket.socket] = []

            async def stop_listening_late(
                callers: CallerServer,
                steps: int = steps,
                opened: list[socket.socket] = opened,
            ) -> None:
                opened.append(socket.create_connection((HOST, callers.port)))
                head = f"Host: app.example\r\n{HEADERS.request_id}: a\r\n\r\n"
                opened[0].sendall(f"GET /listing/1 HTTP/1.1\r\n{head}".encode())
                for _ in range(steps):
                    await asyncio.sleep(0)
                await stop_listening(callers)

            with patch.object(CallerServer, "_stop_listening", stop_listening_late):
                stopping = asyncio.create_task(router.callers.stop())
                while not opened:
                    await asyncio.sleep(0)
                statuses.append(await _first_bytes(opened[0]))
                await stopping
    assert set(statuses) <= {b"HTTP/1.1 200", b"reset"}, statuses
    assert b"HTTP/1.1 200" in statuses


@async_test
async def test_a_refusal_by_a_server_with_a_free_slot_has_a_short_retry_after() -> None:
    """Guards against callers that miss the target latency although a slot is free.

    The route's target latency is 300 ms. If all slots of the server are in use,
    ``Retry-After`` is longer and the window of requests in flight is reduced.
    """
    cases = {"1,0,4": True, "4,2,4": False, "4,0,4": False}
    for load, has_slot in cases.items():
        refusal = functools.partial(edge_refusal, more=f"{HEADERS.load}: {load}\r\n")
        async with (
            raw_server(respond_with(refusal)) as server,
            edge_router(is_keyed=True) as router,
        ):
            entry = router.register_server(server)
            router.assign_all_keys(entry)
            options = router.adapter.options
            router.adapter.options = msgspec.structs.replace(
                options, retry_ratio=0.0, retry_slack=0.0
            )
            window = router.dispatcher.loads.window_size(entry)
            response = await router.send(router.request(key=7, timeout_ms=200.0))
            assert response.status == 503
            assert (float(response.headers["Retry-After"]) <= 0.1) is has_slot, load
            is_window_kept = router.dispatcher.loads.window_size(entry) == window
            assert is_window_kept is has_slot, load

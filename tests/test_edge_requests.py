"""Requests of the edge router: whole and own answers, true refusals, few repeats."""

import asyncio
import functools
import itertools
import socket
import struct
from unittest.mock import patch

import aiohttp
import msgspec

from mulberryrelay_edge.callers import CallerServer
from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test
from .fixtures.edgerouter import edge_answer, edge_refusal, edge_router, get
from .fixtures.rawserver import (
    HOST,
    RawRequest,
    RawServer,
    close,
    raw_server,
    responding,
)

answering = responding(edge_answer)
ANSWERED_S = 0.5
refusing = responding(edge_refusal)
breaking = close


@async_test
async def test_a_late_copy_of_a_refusal_is_not_the_answer_to_the_next_request() -> None:
    """Guards against "not run" for a charge that ran."""

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if len(server.received) == 1:
            writer.write(edge_refusal(request))
            loop = asyncio.get_running_loop()
            loop.call_later(0.03, writer.write, edge_refusal(request))
            return
        await asyncio.sleep(0.1)
        writer.write(edge_answer(request))

    async with raw_server(respond) as server, edge_router() as router:
        router.know(server)
        answer = await router.ask(router.request(is_idempotent=False))
        assert answer.status == 200
        assert len(server.received) == 2
        assert answer.body == server.received[1].path.encode()


@async_test
async def test_a_charge_is_not_sent_again_after_its_connection_broke() -> None:
    async with raw_server(breaking) as server, edge_router() as router:
        router.know(server)
        answer = await router.ask(router.request(is_idempotent=False))
        assert answer.status == 502
        assert len(server.received) == 1


@async_test
async def test_a_charge_refused_for_certain_is_sent_to_another_server() -> None:
    async with (
        raw_server(refusing) as full,
        raw_server(answering) as free,
        edge_router() as router,
    ):
        router.know(full, 0)
        router.know(free, 1)
        for _ in range(4):
            answer = await router.ask(router.request(is_idempotent=False))
            assert answer.status == 200
        assert len(free.received) == 4


@async_test
async def test_a_request_that_reached_no_server_is_refused_with_a_time() -> None:
    async with raw_server(answering) as server, edge_router() as router:
        router.know(server)
        server.die()
        answer = await router.ask(router.request(timeout_ms=300.0))
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0


@async_test
async def test_an_idempotent_request_runs_on_no_more_servers_than_allowed() -> None:
    """The route of the tests allows two servers."""
    async with (
        raw_server(breaking) as first,
        raw_server(breaking) as second,
        raw_server(breaking) as third,
        edge_router() as router,
    ):
        servers = [first, second, third]
        for number, server in enumerate(servers):
            router.know(server, number)
        answer = await router.ask(router.request())
        assert answer.status == 502
        assert sum(len(server.received) for server in servers) == 2


@async_test
async def test_answers_that_end_with_a_reset_are_not_complete() -> None:
    """An answer without a length is whole only if its connection was closed."""

    async def reset(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(edge_answer(request, length=False))
        await asyncio.sleep(0.02)
        # Without lingering, closing resets the connection.
        linger = struct.pack("ii", 1, 0)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    async def end(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(edge_answer(request, length=False))
        writer.close()

    for respond, status in ((reset, 502), (end, 200)):
        async with raw_server(respond) as server, edge_router() as router:
            router.know(server)
            answer = await router.ask(router.request(is_idempotent=False))
            assert answer.status == status, respond.__name__


BAD_ANSWERS = {
    "no receipt": lambda r: edge_answer(r).replace(b"Signature", b"Other"),
    "encoded": lambda r: edge_answer(r, more="Content-Encoding: gzip\r\n"),
    "cut": lambda r: edge_answer(r)[:-2],
    "foreign": lambda r: edge_answer(r).replace(b"request-", b"other-"),
    "no answer": lambda r: b"nonsense\r\n\r\n",
}


@async_test
async def test_answers_that_are_not_whole_and_own_are_never_passed_on() -> None:
    for name, make in BAD_ANSWERS.items():
        respond = responding(make, closes=True)
        async with raw_server(respond) as server, edge_router() as router:
            router.know(server)
            answer = await router.ask(router.request(is_idempotent=False))
            assert answer.status == 502, name
            assert answer.body == b"", name


@async_test
async def test_a_key_binds_no_request_at_a_service_without_keys() -> None:
    """Guards against requests that wait for a busy server while others are idle."""
    async with (
        raw_server(responding(edge_answer, delay_s=0.2)) as first,
        raw_server(responding(edge_answer, delay_s=0.2)) as second,
        edge_router() as router,
    ):
        router.know(first, 0)
        router.know(second, 1)
        asking = [router.ask(router.request(key=7)) for _ in range(12)]
        answers = await asyncio.gather(*asking)
        assert {answer.status for answer in answers} == {200}
        assert len(first.received) >= 4
        assert len(second.received) >= 4


@async_test
async def test_a_server_replaced_at_its_address_is_asked_once() -> None:
    """Guards against refusals that use up the retry budget of another service."""
    other = f"{HEADERS.server}: someone-else\r\n"
    respond = responding(lambda r: edge_refusal(r, "421 Misdirected", other))
    async with raw_server(respond) as server, edge_router(is_keyed=True) as router:
        router.own(router.know(server))
        for _ in range(3):
            answer = await router.ask(router.request(key=7, timeout_ms=400.0))
            assert answer.status == 503
        assert len(server.received) == 1
        assert not router.catalog.servers(router.routes.routes[0].shares[0].service)


@async_test
async def test_repeated_sends_stay_within_the_budget() -> None:
    """One router of one may repeat 60 in 10 s and a fifth of its requests."""
    requests = 100
    async with raw_server(refusing) as server, edge_router(is_keyed=True) as router:
        router.own(router.know(server))
        for _ in range(requests):
            await router.ask(router.request(key=7, timeout_ms=200.0))
        repeats = len(server.received) - requests
        assert 0 < repeats <= 60 + 0.2 * requests


@async_test
async def test_servers_are_told_no_more_time_than_is_left() -> None:
    async with raw_server(refusing) as server, edge_router() as router:
        router.know(server)
        await router.ask(router.request(timeout_ms=500.0))
        name = str(HEADERS.deadline_ms).lower()
        told = [int(request.headers[name]) for request in server.received]
        assert told and told[0] <= 500
        for earlier, later in itertools.pairwise(told):
            assert later <= earlier


@async_test
async def test_a_stopping_router_answers_what_it_took_and_closes_idle_callers() -> None:
    """Guards against connections that stay open although nobody reads from them."""
    slow = responding(edge_answer, delay_s=0.5)
    async with raw_server(slow) as server, edge_router() as router:
        router.know(server)
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
async def test_work_ends_when_the_caller_of_an_idempotent_request_leaves() -> None:
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
        server = RawServer(answering)
        server.port = listener.sockets[0].getsockname()[1]
        router.know(server)
        asking = asyncio.create_task(router.ask(router.request()))
        await received.wait()
        asking.cancel()
        async with asyncio.timeout(0.5):
            await closed.wait()
    listener.close()


@async_test
async def test_a_charge_that_began_goes_on_when_its_caller_leaves() -> None:
    async with (
        raw_server(responding(edge_answer, delay_s=0.2)) as server,
        edge_router() as router,
    ):
        router.know(server)
        asking = asyncio.create_task(router.ask(router.request(is_idempotent=False)))
        await _until_received(server, 1)
        asking.cancel()
        await asyncio.sleep(0.4)
        assert not server.closed_connections


async def _connect(
    port: int,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that has carried one request and is idle."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = (
        f"GET /listing/9 HTTP/1.1\r\nHost: app.example\r\n{HEADERS.request_id}: x\r\n"
    )
    writer.write(f"{head}\r\n".encode())
    await reader.readuntil(b"/listing/9")
    return reader, writer


async def _until_received(server: RawServer, count: int) -> None:
    async with asyncio.timeout(1.0):
        while len(server.received) < count:
            await asyncio.sleep(0.01)


async def _first_bytes(caller: socket.socket) -> bytes:
    """Return how an answer begins that has to come soon, and close the socket."""
    caller.setblocking(False)
    try:
        async with asyncio.timeout(ANSWERED_S):
            loop = asyncio.get_running_loop()
            return (await loop.sock_recv(caller, 4096))[:12]
    except ConnectionError:
        return b"reset"
    except TimeoutError:
        return b"nothing"
    finally:
        caller.close()


@async_test
async def test_a_request_on_a_connection_taken_last_is_answered() -> None:
    """Guards against a connection that hangs because it was closed as it began.

    The router stops to listen a number of steps of the event loop after a caller
    connected and sent its request. A connection that was not accepted is reset.
    """
    statuses = []
    stop_listening = CallerServer._stop_listening
    for steps in range(9):
        async with raw_server(answering) as server, edge_router() as router:
            router.know(server)
            await router.callers.start()
            opened: list[socket.socket] = []

            async def stop_late(
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

            with patch.object(CallerServer, "_stop_listening", stop_late):
                stopping = asyncio.create_task(router.callers.stop())
                while not opened:
                    await asyncio.sleep(0)
                statuses.append(await _first_bytes(opened[0]))
                await stopping
    assert set(statuses) <= {b"HTTP/1.1 200", b"reset"}, statuses
    assert b"HTTP/1.1 200" in statuses


@async_test
async def test_a_refusal_by_a_server_with_room_lets_callers_come_back_at_once() -> None:
    """Guards against callers that wait out their target though a slot is free.

    The target of the route is 300 ms. A server whose slots are taken gets time.
    """
    cases = {"1,0,4": True, "4,2,4": False, "4,0,4": False}
    for load, has_room in cases.items():
        refuse = functools.partial(edge_refusal, more=f"{HEADERS.load}: {load}\r\n")
        async with (
            raw_server(responding(refuse)) as server,
            edge_router(is_keyed=True) as router,
        ):
            entry = router.know(server)
            router.own(entry)
            options = router.adapter.options
            router.adapter.options = msgspec.structs.replace(
                options, retry_ratio=0.0, retry_slack=0.0
            )
            limit = router.dispatcher.loads.view(entry).limit
            answer = await router.ask(router.request(key=7, timeout_ms=200.0))
            assert answer.status == 503
            assert (float(answer.headers["Retry-After"]) <= 0.1) is has_room, load
            is_kept = router.dispatcher.loads.view(entry).limit == limit
            assert is_kept is has_room, load

"""Attempts: each caller gets its own whole answer, and "not run" is true."""

import asyncio
import itertools
import random
import socket
from typing import Any

import aiohttp

from mulberryrelay_kernel.states import UnitState

from .fixtures import async_test, until
from .fixtures.rawserver import (
    RawRequest,
    RawServer,
    Respond,
    close,
    echo,
    make_response,
    raw_server,
    refusal,
    respond_with,
    shed,
)
from .fixtures.router import running_router

CALLERS = 300
SEED = 20261204
LONG_BODY = b"0123456789abcdef" * (3 * 65536)

cut = respond_with(lambda request: make_response(request)[:-3], closes=True)
late = respond_with(delay_s=0.4)


def faulty(rng: random.Random) -> Respond:
    """Return answers that are right, or late, reordered, cut or another request's."""
    earlier: list[bytes] = []

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        earlier.append(make_response(request))
        fault = rng.choice(["none", "none", "none", "extra", "foreign", "cut", "late"])
        if fault == "cut":
            await cut(request, writer)
            return
        if fault == "foreign":
            writer.write(rng.choice(earlier[:-1] or earlier))
            return
        await asyncio.sleep(0.6 if fault == "late" else rng.random() * 0.01)
        writer.write(make_response(request))
        if fault == "extra":
            # The second answer reaches a connection that waits in the pool.
            await asyncio.sleep(0.002)
            writer.write(rng.choice(earlier))

    return respond


@async_test
async def test_answers_of_300_concurrent_callers_are_never_mixed() -> None:
    """Guards against a caller reading the answer to another request.

    Fails without the comparison of request ids.
    """
    async with (
        raw_server(faulty(random.Random(SEED))) as server,
        running_router([server.entry()], connections=40) as router,
    ):

        async def call(number: int) -> str | None:
            body = f"payment {number}".encode()
            reply = await router.send(body=body, Mulberry_Deadline_Ms="500")
            assert reply.status != 200 or reply.body == body
            assert reply.status == 200 or reply.outcome != "ran"
            return reply.outcome

        outcomes: list[str | None] = []
        for _ in range(3):
            outcomes += await asyncio.gather(*map(call, range(CALLERS)))
        assert outcomes.count("ran") > CALLERS
        assert outcomes.count("unknown") > 0
        ids = [request.headers["mulberry-request-id"] for request in server.received]
        assert len(set(ids)) == len(ids) <= router.path.in_flight.started


# Each case: response of the server, status and outcome of a payment received once.
PAYMENT_CASES: list[tuple[Respond, int, str]] = [
    (echo, 200, "ran"),
    (close, 502, "unknown"),
    (cut, 502, "unknown"),
    (
        respond_with(lambda r: make_response(r, length="X: y\r\n"), closes=True),
        502,
        "unknown",
    ),
    (
        respond_with(lambda r: make_response(r).replace(b"-Id: ", b"-Id: 1")),
        502,
        "unknown",
    ),
    (respond_with(lambda r: refusal(r, "perhaps")), 502, "unknown"),
    (late, 504, "unknown"),
    (shed, 503, "not-run"),
]


@async_test
async def test_outcome_of_a_payment_follows_from_what_was_sent() -> None:
    """Guards against calling a payment "not run", or sending it twice, by mistake."""
    for respond, status, outcome in PAYMENT_CASES:
        async with (
            raw_server(respond) as server,
            running_router([server.entry()]) as router,
        ):
            reply = await router.send(body=b"pay", Mulberry_Deadline_Ms="200")
            found = (reply.status, reply.outcome, len(server.received))
            assert found == (status, outcome, 1), (status, outcome, found)


@async_test
async def test_connection_cut_before_and_during_the_write() -> None:
    """Guards against "unknown" before the first byte and "not run" after it."""

    async def cut_early(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(100)
        writer.transport.abort()

    async with raw_server() as server, running_router([server.entry()]) as router:
        server.die()
        reply = await router.send(body=b"pay")
        assert (reply.status, reply.outcome) == (502, "not-run")
    # A server that accepts nothing, with a full backlog: the connection times out.
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
        server = RawServer(echo)
        server.port = full.getsockname()[1]
        with socket.create_connection(full.getsockname()):
            async with running_router([server.entry()]) as router:
                reply = await router.send(body=b"pay")
                assert (reply.status, reply.outcome) == (502, "not-run")
    server = RawServer(echo)
    async with await asyncio.start_server(cut_early, "127.0.0.1", 0) as listener:
        server.port = listener.sockets[0].getsockname()[1]
        async with running_router([server.entry()]) as router:
            reply = await router.send(body=b"p" * 8_000_000)
            assert (reply.status, reply.outcome) == (502, "unknown")
            assert router.path.in_flight.started == 1


@async_test
async def test_kept_connection_that_the_server_closed() -> None:
    """Guards against an unknown outcome for a connection known to be unusable.

    Also fails if a read is sent again without a count in flight.
    """

    async def close_once(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        server.respond = echo
        writer.close()

    async def echo_twice(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        await echo(request, writer)
        await asyncio.sleep(0.02)
        await echo(request, writer)

    async with raw_server() as server, running_router([server.entry()]) as router:
        for respond in (echo, echo_twice, echo):
            server.respond = respond
            assert (await router.send(body=b"1")).outcome == "ran"
            await asyncio.sleep(0.05)
            if respond is echo:
                server.drop_connections()
                await asyncio.sleep(0.05)
        # The server closes a kept connection as the next request arrives.
        for method, outcome, sends in [("POST", "unknown", 5), ("GET", "ran", 8)]:
            assert (await router.send("/till/other")).outcome == "ran"
            server.respond = close_once
            assert (await router.send(method=method)).outcome == outcome
            assert len(server.received) == router.path.in_flight.started == sends
        assert router.path.in_flight.total == 0


@async_test
async def test_checks_are_made_directly_before_the_send() -> None:
    """Guards against a send after the lease or the unit was lost.

    The second request waits for the only connection, after its target was found. Fails
    without the checks in ``before_send``.
    """
    for loses in ("lease", "unit"):
        async with (
            raw_server(respond_with(delay_s=0.2)) as server,
            running_router([server.entry("a", "roster")], connections=1) as router,
        ):
            router.own("a")
            headers: Any = {"Mulberry_Key": "k", "Mulberry_Deadline_Ms": "500"}
            calls = [
                asyncio.create_task(router.send("/roster/pay", **headers))
                for _ in range(2)
            ]
            await asyncio.sleep(0.1)
            if loses == "lease":
                router.view.revoke_lease()
            else:
                router.own("a", state=UnitState.MOVING)
            found = sorted([str((await call).outcome) for call in calls])
            assert found == ["not-run", "ran"], (loses, found)
            assert len(server.received) == 1


@async_test
async def test_server_that_checks_no_grants_is_bounded_by_the_routing_lease() -> None:
    """Guards against a late run on a server after this router counted it as ended."""
    async with (
        raw_server(close) as server,
        running_router(
            [server.entry("a", "roster")], lease_ms=300, checks_grants=False
        ) as router,
    ):
        router.own("a")
        reply = await router.send("/roster/pay", Mulberry_Key="k")
        assert reply.outcome == "unknown"
        assert int(server.received[0].headers["mulberry-deadline-ms"]) <= 300
        assert router.path.in_flight.total == 1
        await asyncio.sleep(0.4)
        assert router.path.in_flight.total == 0


@async_test
async def test_moving_unit_holds_requests_in_a_bounded_queue() -> None:
    """Guards against a lost, early or unbounded request while its unit moves."""
    async with (
        raw_server() as first,
        raw_server() as second,
        running_router(
            [first.entry("a", "roster"), second.entry("b", "roster")],
            limits={"queue_length": 3},
        ) as router,
    ):
        router.own("a", 1, UnitState.MOVING)
        headers: list[Any] = [
            {"Mulberry_Key": "k", "Mulberry_Deadline_Ms": deadline}
            for deadline in ("100", "2000", "2000", "2000")
        ]
        calls = [
            asyncio.create_task(router.send("/roster/pay", **fields))
            for fields in headers
        ]
        await asyncio.sleep(0.2)
        router.own("b", 2)
        replies = [await call for call in calls]
        found = sorted((reply.status, str(reply.outcome)) for reply in replies)
        ran = [(200, "ran")] * 2
        assert found == [*ran, (503, "not-run"), (504, "not-run")], found
        assert not first.received
        assert [r.headers["mulberry-epoch"] for r in second.received] == ["2", "2"]


@async_test
async def test_refusals_are_sent_again_to_the_right_server() -> None:
    """Guards against a failed request that another attempt would have served.

    A server that says that it drains gets no more work at all.
    """
    draining = "Mulberry-Server-State: draining\r\n"
    async with (
        raw_server(respond_with(lambda r: refusal(r, "not-owner"))) as old,
        raw_server(shed) as full,
        raw_server(respond_with(lambda r: make_response(r, more=draining))) as leaving,
        raw_server() as good,
        running_router(
            [
                old.entry("old", "roster"),
                good.entry("new", "roster"),
                full.entry("full"),
                leaving.entry("leaving"),
                good.entry("good"),
            ],
            slots=4,
        ) as router,
    ):
        router.own("old")
        call = asyncio.create_task(router.send("/roster/pay", Mulberry_Key="k"))
        await asyncio.sleep(0.1)
        router.own("new", 2)
        assert (await call).headers["Mulberry-Owner"] == "new"
        assert len(old.received) < 10
        for _ in range(30):
            assert (await router.send()).outcome == "ran"
        assert full.received
        assert len(leaving.received) <= 1


@async_test
async def test_request_queued_for_a_former_owner_goes_to_the_new_one() -> None:
    """Guards against requests that wait for a busy owner until their deadline.

    The key moves while they are in the queue of admission.
    """

    async def slow(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(1.0)
        await echo(request, writer)

    async with (
        raw_server(slow) as old,
        raw_server() as new,
        running_router(
            [old.entry("old", "roster"), new.entry("new", "roster")],
            slots=1,
            connections=1,
        ) as router,
    ):
        router.own("old")
        calls = [
            asyncio.create_task(router.send("/roster/pay", Mulberry_Key="k"))
            for _ in range(3)
        ]
        await asyncio.sleep(0.1)
        router.own("new", 2)
        replies = await asyncio.gather(*calls)
        owners = [reply.headers["Mulberry-Owner"] for reply in replies]
        assert owners == ["old", "new", "new"], replies
        assert len(old.received) == 1


def long_answer(is_chunked: bool, is_cut: bool) -> Respond:
    """Return a long answer, whole or cut in the middle."""

    def make(request: RawRequest) -> bytes:
        size = f"Content-Length: {len(LONG_BODY)}\r\n"
        head = make_response(request, length="Transfer-Encoding: chunked\r\n")
        if not is_chunked:
            head = make_response(request, length=size)
        sent = LONG_BODY[: len(LONG_BODY) // (2 if is_cut else 1)]
        if is_chunked:
            sent = b"%x\r\n" % len(sent) + sent
        return head + sent + b"\r\n0\r\n\r\n" * (is_chunked and not is_cut)

    return respond_with(make, closes=is_cut)


@async_test
async def test_long_answers_are_whole_or_visibly_broken() -> None:
    """Guards against a cut answer that looks complete, with and without a length."""
    for is_chunked, is_cut in itertools.product((False, True), repeat=2):
        async with (
            raw_server(long_answer(is_chunked, is_cut)) as server,
            running_router([server.entry()]) as router,
        ):
            try:
                async with asyncio.timeout(5):
                    reply = await router.send()
                assert not is_cut and reply.body == LONG_BODY
            except aiohttp.ClientError:
                assert is_cut
            await asyncio.sleep(0.02)
            assert router.path.in_flight.total == 0


@async_test
async def test_caller_that_leaves_ends_its_attempt() -> None:
    """Guards against a late answer on a connection that is reused."""
    async with raw_server(late) as server, running_router([server.entry()]) as router:
        call = asyncio.create_task(router.send(body=b"pay"))
        await until(lambda: len(server.received) == 1)
        call.cancel()
        await until(lambda: server.closed_connections == 1)
        await until(lambda: router.path.in_flight.total == 0)

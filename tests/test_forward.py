"""Attempts: each caller gets its own whole response and the right outcome."""

import asyncio
import itertools
import random
import socket
from typing import Any

import aiohttp

from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.states import UnitState
from mulberryrelay_router.routing import LEASE_GAP_MS

from .fixtures import async_test, wait_until
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
SHORT_DEADLINE_MS = "500"
"""Deadline that passes before a late response arrives."""
LONG_DEADLINE_MS = "20000"
"""Deadline that is not reached on a busy machine either."""
SEED = 20261204
LONG_BODY = b"0123456789abcdef" * (3 * 65536)

truncated = respond_with(lambda request: make_response(request)[:-3], closes=True)
late = respond_with(delay_s=0.4)


def faulty(rng: random.Random) -> Respond:
    """Return a server behaviour with random faults.

    Responses are correct, duplicated, truncated or those of another request, and late
    if the deadline is short.
    """
    earlier: list[bytes] = []

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        earlier.append(make_response(request))
        fault = rng.choice(["none", "none", "none", "extra", "foreign", "cut"])
        if int(request.headers["mulberry-deadline-ms"]) <= int(SHORT_DEADLINE_MS):
            fault = "late"
        if fault == "cut":
            await truncated(request, writer)
            return
        if fault == "foreign":
            writer.write(rng.choice(earlier[:-1] or earlier))
            return
        await asyncio.sleep(0.6 if fault == "late" else rng.random() * 0.01)
        writer.write(make_response(request))
        if fault == "extra":
            # The second response arrives on a connection that is idle in the pool.
            await asyncio.sleep(0.002)
            writer.write(rng.choice(earlier))

    return respond


PAY = b"pay"
REQUEST_ID = "mulberry-request-id"


@async_test
async def test_a_request_waits_for_a_routing_lease_that_has_just_ended() -> None:
    """Guards against refused requests while a coordinator takes over.

    The lease ends shortly before the view of the new term arrives. A router that has
    been without a lease for longer refuses at once.
    """
    async with (
        raw_server() as server,
        running_router([server.entry()], lease_ms=50.0) as router,
    ):
        await asyncio.sleep(0.06)
        sending = asyncio.create_task(router.send())
        await asyncio.sleep(0.03)
        assert not sending.done()
        router.view.extend_lease(monotonic_ms() + 100.0)
        assert (await sending).outcome == "ran"
        await asyncio.sleep((100.0 + LEASE_GAP_MS) / 1000)
        started_ms = monotonic_ms()
        response = await router.send()
        assert (response.status, response.outcome) == (503, "not-run")
        assert monotonic_ms() - started_ms < LEASE_GAP_MS


@async_test
async def test_responses_of_300_concurrent_callers_are_never_mixed_up() -> None:
    """Guards against a caller that receives the response to another request.

    The router must compare the request id that a response echoes.
    """
    async with (
        raw_server(faulty(random.Random(SEED))) as server,
        running_router([server.entry()], connections=40) as router,
    ):

        async def call(number: int) -> str | None:
            body = f"payment {number}".encode()
            deadline_ms = LONG_DEADLINE_MS if number % 7 else SHORT_DEADLINE_MS
            response = await router.send(body=body, Mulberry_Deadline_Ms=deadline_ms)
            assert response.status != 200 or response.body == body
            assert response.status == 200 or response.outcome != "ran"
            return response.outcome

        outcomes: list[str | None] = []
        for _ in range(3):
            outcomes += await asyncio.gather(*map(call, range(CALLERS)))
        assert outcomes.count("ran") > CALLERS
        assert outcomes.count("unknown") > 0
        ids = [request.headers["mulberry-request-id"] for request in server.received]
        assert len(set(ids)) == len(ids) <= router.path.in_flight.started


@async_test
async def test_a_duplicate_refusal_is_not_the_response_to_the_retry() -> None:
    """Guards against reporting a payment that ran as not run.

    The owner of the key sends its refusal twice, the second time while the retry, which
    has the same request id, is running.
    """

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if len(server.received) == 1:
            writer.write(refusal(request, "not-owner"))
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, writer.write, refusal(request, "not-owner"))
            return
        await asyncio.sleep(0.2)
        writer.write(make_response(request))

    async with (
        raw_server(respond) as server,
        running_router([server.entry("server-1", "roster")]) as router,
    ):
        router.own("server-1")
        response = await router.send("/roster/pay", b"pay", Mulberry_Key="k")
        assert len(server.received) == 2
        assert (response.status, response.outcome) == (200, "ran")


@async_test
async def test_a_response_cut_off_in_its_head_is_never_passed_on() -> None:
    """Guards against an empty or short response that its caller takes for complete."""
    cut_at = 0

    async def cut(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_response(request)[:cut_at])
        writer.close()

    async with (
        raw_server(cut) as server,
        running_router([server.entry("server-1", "roster")]) as router,
    ):
        router.own("server-1")
        length = len(make_response(RawRequest("", "", {REQUEST_ID: "1" * 32}, PAY, 0)))
        for cut_at in range(0, length, 3):
            # Equal requests would be suspected of crashing the server.
            body = b"%03d" % cut_at
            response = await router.send("/roster/pay", body, Mulberry_Key="k")
            assert response.status >= 500, cut_at
            assert response.outcome == "unknown", cut_at


@async_test
async def test_a_refusal_repeated_on_a_kept_connection_answers_no_other_request() -> (
    None
):
    """Guards against a payment that ran and is reported as not run.

    The owner of the key answers, and writes an earlier refusal once more.
    """
    refusals: list[bytes] = []
    used: set[int] = set()

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if not refusals:
            refusals.append(refusal(request, "not-owner"))
            writer.write(refusals[0])
            return
        is_kept = request.connection in used
        used.add(request.connection)
        writer.write((refusals[0] if is_kept else b"") + make_response(request))

    async with (
        raw_server(respond) as server,
        running_router([server.entry("server-1", "roster")]) as router,
    ):
        router.own("server-1")
        for _ in range(6):
            response = await router.send("/roster/pay", PAY, Mulberry_Key="k")
            assert response.outcome != "not-run"
        assert len(used) < len(server.received) - 1, "connections are kept"


# Each case: behaviour of the server; status and outcome of a payment that it receives
# once.
PAYMENT_CASES: list[tuple[Respond, int, str]] = [
    (echo, 200, "ran"),
    (close, 502, "unknown"),
    (truncated, 502, "unknown"),
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
async def test_outcome_of_a_payment_depends_on_what_was_sent() -> None:
    """Guards against a false "not run", and against sending a payment twice."""
    for respond, status, outcome in PAYMENT_CASES:
        async with (
            raw_server(respond) as server,
            running_router([server.entry()]) as router,
        ):
            response = await router.send(body=b"pay", Mulberry_Deadline_Ms="200")
            observed = (response.status, response.outcome, len(server.received))
            assert observed == (status, outcome, 1), (status, outcome, observed)


@async_test
async def test_connection_cut_before_and_during_the_write() -> None:
    """Guards against "unknown" before the first byte, and "not run" after it."""

    async def abort_early(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(100)
        writer.transport.abort()

    async with raw_server() as server, running_router([server.entry()]) as router:
        server.die()
        response = await router.send(body=b"pay")
        assert (response.status, response.outcome) == (502, "not-run")
    # The server accepts no connections and its backlog is full: connecting times out.
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full_backlog:
        server = RawServer(echo)
        server.port = full_backlog.getsockname()[1]
        with socket.create_connection(full_backlog.getsockname()):
            async with running_router([server.entry()]) as router:
                response = await router.send(body=b"pay")
                assert (response.status, response.outcome) == (502, "not-run")
    server = RawServer(echo)
    async with await asyncio.start_server(abort_early, "127.0.0.1", 0) as listener:
        server.port = listener.sockets[0].getsockname()[1]
        async with running_router([server.entry()]) as router:
            response = await router.send(body=b"p" * 8_000_000)
            assert (response.status, response.outcome) == (502, "unknown")
            assert router.path.in_flight.started == 1


@async_test
async def test_persistent_connection_that_the_server_closed() -> None:
    """Guards against an unknown outcome for a connection that is visibly closed.

    A retried read must be counted in flight like any other attempt.
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
        # The server closes a persistent connection when the next request arrives.
        for method, outcome, sends in [("POST", "unknown", 5), ("GET", "ran", 8)]:
            assert (await router.send("/till/other")).outcome == "ran"
            server.respond = close_once
            assert (await router.send(method=method)).outcome == outcome
            assert len(server.received) == router.path.in_flight.started == sends
        assert router.path.in_flight.total == 0


@async_test
async def test_lease_and_owner_are_checked_directly_before_the_send() -> None:
    """Guards against a send after the routing lease or the owner was lost.

    The second request has its target but still waits for the only connection. The
    checks in ``before_send`` must stop it.
    """
    for lost in ("lease", "unit"):
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
            if lost == "lease":
                router.view.revoke_lease()
            else:
                router.own("a", state=UnitState.MOVING)
            outcomes = sorted([str((await call).outcome) for call in calls])
            assert outcomes == ["not-run", "ran"], (lost, outcomes)
            assert len(server.received) == 1


@async_test
async def test_server_that_checks_no_grants_is_bounded_by_the_routing_lease() -> None:
    """Guards against a run after the router has counted the request as ended."""
    async with (
        raw_server(close) as server,
        running_router(
            [server.entry("a", "roster")], lease_ms=300, checks_grants=False
        ) as router,
    ):
        router.own("a")
        response = await router.send("/roster/pay", Mulberry_Key="k")
        assert response.outcome == "unknown"
        assert int(server.received[0].headers["mulberry-deadline-ms"]) <= 300
        assert router.path.in_flight.total == 1
        await asyncio.sleep(0.4)
        assert router.path.in_flight.total == 0


@async_test
async def test_requests_for_a_moving_unit_wait_in_a_bounded_queue() -> None:
    """Guards against lost or early requests and an unbounded queue during a move."""
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
        responses = [await call for call in calls]
        results = sorted((r.status, str(r.outcome)) for r in responses)
        ran = [(200, "ran")] * 2
        assert results == [*ran, (503, "not-run"), (504, "not-run")], results
        assert not first.received
        assert [r.headers["mulberry-epoch"] for r in second.received] == ["2", "2"]


@async_test
async def test_refused_requests_are_retried_at_the_right_server() -> None:
    """Guards against a failed request for which a retry would have succeeded.

    A server that reports that it is draining must get no further requests.
    """
    draining = "Mulberry-Server-State: draining\r\n"
    async with (
        raw_server(respond_with(lambda r: refusal(r, "not-owner"))) as old,
        raw_server(shed) as shedding,
        raw_server(
            respond_with(lambda r: make_response(r, more=draining))
        ) as draining_server,
        raw_server() as good,
        running_router(
            [
                old.entry("old", "roster"),
                good.entry("new", "roster"),
                shedding.entry("full"),
                draining_server.entry("leaving"),
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
        assert shedding.received
        assert len(draining_server.received) <= 1


@async_test
async def test_request_queued_for_a_former_owner_goes_to_the_new_one() -> None:
    """Guards against requests that wait for a former owner until their deadline.

    The key moves while the requests are in the queue of admission.
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
        responses = await asyncio.gather(*calls)
        owners = [response.headers["Mulberry-Owner"] for response in responses]
        assert owners == ["old", "new", "new"], responses
        assert len(old.received) == 1


def long_response(is_chunked: bool, is_truncated: bool) -> Respond:
    """Return a server behaviour with a long response, whole or truncated."""

    def make(request: RawRequest) -> bytes:
        size = f"Content-Length: {len(LONG_BODY)}\r\n"
        head = make_response(request, length="Transfer-Encoding: chunked\r\n")
        if not is_chunked:
            head = make_response(request, length=size)
        sent = LONG_BODY[: len(LONG_BODY) // (2 if is_truncated else 1)]
        if is_chunked:
            sent = b"%x\r\n" % len(sent) + sent
        return head + sent + b"\r\n0\r\n\r\n" * (is_chunked and not is_truncated)

    return respond_with(make, closes=is_truncated)


@async_test
async def test_long_responses_are_whole_or_visibly_broken() -> None:
    """Guards against a truncated response that looks complete.

    Covers responses with a length and chunked ones.
    """
    for is_chunked, is_truncated in itertools.product((False, True), repeat=2):
        async with (
            raw_server(long_response(is_chunked, is_truncated)) as server,
            running_router([server.entry()]) as router,
        ):
            try:
                async with asyncio.timeout(5):
                    response = await router.send()
                assert not is_truncated and response.body == LONG_BODY
            except aiohttp.ClientError:
                assert is_truncated
            await asyncio.sleep(0.02)
            assert router.path.in_flight.total == 0


@async_test
async def test_disconnected_caller_ends_its_attempt() -> None:
    """Guards against a late response on a connection that is reused."""
    async with raw_server(late) as server, running_router([server.entry()]) as router:
        call = asyncio.create_task(router.send(body=b"pay"))
        await wait_until(lambda: len(server.received) == 1)
        call.cancel()
        await wait_until(lambda: server.closed_connections == 1)
        await wait_until(lambda: router.path.in_flight.total == 0)

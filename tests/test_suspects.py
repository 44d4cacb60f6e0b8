"""Poison requests: at most two servers are lost, and others are served."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import msgspec

from mulberryrelay_control.suspects import (
    RESULT_GRACE_MS,
    SETTLE_MS,
    Holder,
    SuspectRegistry,
)
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import BootId
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    ProbationReply,
    ProbationRequest,
    ProbationResult,
    ServerDeath,
    Suspect,
)
from mulberryrelay_router.deaths import DeathWatch
from mulberryrelay_router.suspects import LocalLink

from .fixtures import async_test
from .fixtures.rawserver import (
    RawRequest,
    RawServer,
    close,
    echo,
    make_response,
    raw_server,
)
from .fixtures.router import RouterFixture, running_router

ASKED = ProbationResult.PROBATION_RESULT_UNSPECIFIED
ANSWERED = ProbationResult.PROBATION_RESULT_ANSWERED
DIED = ProbationResult.PROBATION_RESULT_SERVER_DIED
NOT_SENT = ProbationResult.PROBATION_RESULT_NOT_SENT
POISON = b"poison"
SECOND_DEATH = ServerDeath(server="s2")
OVERDUE_MS = 100 + RESULT_GRACE_MS

# Each case: fingerprint, instance, result, time and the field set in the reply.
REGISTRY_CASES: list[list[tuple[str, str, ProbationResult, float, str]]] = [
    [
        ("a", "entry-1", ASKED, 0, "permitted"),
        ("a", "entry-2", ASKED, 1, ""),
        ("b", "entry-2", ASKED, 1, ""),
        ("a", "entry-1", NOT_SENT, 2, ""),
        ("b", "entry-2", ASKED, 3, "permitted"),
        ("b", "entry-2", ANSWERED, 4, "cleared"),
        ("a", "entry-1", ASKED, 5, "permitted"),
        ("a", "entry-1", DIED, 6, "blocked"),
        ("a", "entry-2", ASKED, 7, "blocked"),
        ("b", "entry-1", ASKED, 8, "permitted"),
    ],
    [
        ("a", "entry-1", ASKED, 0, "permitted"),
        ("b", "entry-2", ASKED, OVERDUE_MS, "permitted"),
        ("a", "entry-1", ASKED, OVERDUE_MS, "blocked"),
        ("a", "entry-1", ANSWERED, OVERDUE_MS + 1, "blocked"),
    ],
]


def test_registry_gives_one_permit_per_service() -> None:
    """Guards against two runs under probation, and against a third death."""
    for case in REGISTRY_CASES:
        registry = SuspectRegistry()
        reported = Suspect(fingerprint="a", service="till", deaths=1)
        assert registry.report([reported]) == [reported]
        assert registry.report([reported]) == []
        for fingerprint, instance, result, now_ms, field in case:
            request = ProbationRequest(
                fingerprint=fingerprint,
                service="till",
                instance=instance,
                deadline_ms=100,
                result=result,
            )
            reply = registry.permit(request, now_ms)
            assert reply == ProbationReply(**({field: True} if field else {})), now_ms
        assert any(suspect.blocked for suspect in registry.take_changes())


# Each case: reports as fingerprint, servers lost, answered before; then the request
# that asks for a permit, and the field set in the reply.
TWO_LOSSES = ("s1", "s2")
LOSS_CASES: list[tuple[list[tuple[str, tuple[str, ...], bool]], str, str]] = [
    ([("a", ("s1",), False), ("a", ("s2",), False)], "a", "blocked"),
    ([("a", ("s1",), False), ("a", ("s1",), False)], "a", "permitted"),
    ([("a", TWO_LOSSES, False), ("b", ("s1",), False)], "a", "blocked"),
    ([("a", TWO_LOSSES, False), ("b", ("s1",), False)], "b", "permitted"),
    # Two requests explain both losses: none is blocked without a run of its own.
    ([("a", TWO_LOSSES, False), ("b", TWO_LOSSES, False)], "b", "permitted"),
    # The one that was answered before is a bystander.
    ([("a", TWO_LOSSES, False), ("b", TWO_LOSSES, True)], "a", "blocked"),
    ([("a", TWO_LOSSES, False), ("b", TWO_LOSSES, True)], "b", "permitted"),
]


def test_two_losses_block_the_only_request_that_explains_them() -> None:
    """Guards against a third death, and against blocking a bystander of two deaths.

    Fails without the count of distinct losses, and without the look at other suspects.
    """
    for reports, asked, field in LOSS_CASES:
        registry = SuspectRegistry()
        for fingerprint, servers, answered in reports:
            deaths = [ServerDeath(server=server, boot_id="b") for server in servers]
            suspect = Suspect(
                fingerprint=fingerprint, service="till", seen=deaths, answered=answered
            )
            registry.report([suspect])
        request = ProbationRequest(fingerprint=asked, service="till")
        first = registry.permit(request, 0)
        reply = registry.permit(request, SETTLE_MS) if not first.permitted else first
        assert reply == ProbationReply(**{field: True}), (reports, asked, reply)


def test_suspects_outlast_their_coordinator() -> None:
    """Guards against a third death because a new coordinator starts without suspects.

    Fails without the block, the losses or the running permit in what a router reports.
    """
    old = SuspectRegistry()
    for fingerprint, server in (("blocked", "s0"), ("seen", "s1")):
        deaths = [ServerDeath(server=server)]
        suspect = Suspect(fingerprint=fingerprint, service="till", seen=deaths)
        old.report([suspect])
    request = ProbationRequest(fingerprint="blocked", service="till", result=DIED)
    old.permit(request, 0)
    new = SuspectRegistry(quiet_until_ms=1000)
    known = old.known()
    known.append(Suspect(fingerprint="running", service="till", probation_ms=2000))
    new.report(known, Holder("entry-2", ""), 500)
    new.report([Suspect(fingerprint="seen", service="till", seen=[SECOND_DEATH])])
    for fingerprint, instance, now_ms, field in [
        ("blocked", "entry-1", 500, "blocked"),
        ("seen", "entry-1", 500, ""),
        # The run under the former permit has not ended.
        ("seen", "entry-1", 1500, ""),
        ("running", "entry-2", 1500, "permitted"),
        ("seen", "entry-1", 10_000, ""),
        ("seen", "entry-1", 10_000 + SETTLE_MS, "blocked"),
        ("running", "entry-1", 10_000, "blocked"),
    ]:
        request = ProbationRequest(
            fingerprint=fingerprint, service="till", instance=instance
        )
        reply = new.permit(request, now_ms)
        assert reply == ProbationReply(**({field: True} if field else {})), (
            fingerprint,
            now_ms,
            reply,
        )


@async_test
async def test_break_in_a_streamed_answer_makes_a_suspect_and_holds_the_slot() -> None:
    """Guards against unnoticed deaths behind a first megabyte that came well.

    Fails without the watch of streams; and the slot would be free from the first byte.
    """
    length = f"Content-Length: {1 << 22}\r\n"
    go_on = asyncio.Event()

    async def half(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_response(request, length=length) + b"x" * (1 << 21))
        await go_on.wait()
        writer.close()

    link = LocalLink()
    reported: list[Suspect] = []
    link.suspect_updates.subscribe(reported.append)
    async with (
        raw_server(half) as server,
        running_router([server.entry()], link=link, slots=1) as router,
    ):
        calls = [
            asyncio.create_task(router.send(body=b"%d" % number)) for number in range(2)
        ]
        await asyncio.sleep(0.3)
        assert len(server.received) == 1
        go_on.set()
        replies = await asyncio.gather(*calls, return_exceptions=True)
        assert all(isinstance(reply, aiohttp.ClientError) for reply in replies), replies
        assert len(server.received) == 2 and len(reported) == 2, reported


@asynccontextmanager
async def poisonable(
    count: int, delay_s: float
) -> AsyncIterator[tuple[list[RawServer], list[RouterFixture]]]:
    """Run servers that die of a poison request, and two routers with one registry."""
    servers: list[RawServer] = []

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(delay_s)
        if request.body != POISON:
            await echo(request, writer)
            return
        port = writer.get_extra_info("sockname")[1]
        next(server for server in servers if server.port == port).die()

    async with AsyncExitStack() as stack:
        for _ in range(count):
            servers.append(await stack.enter_async_context(raw_server(respond)))
        entries = [s.entry(f"server-{n}") for n, s in enumerate(servers)]
        link = LocalLink()
        routers = [
            await stack.enter_async_context(running_router(entries, link=link, name=n))
            for n in ("entry-1", "entry-2")
        ]
        yield servers, routers


@async_test
async def test_poison_request_kills_at_most_two_of_five_servers() -> None:
    """Guards against a loss of all servers to one request that is sent again.

    Fails without quarantine, and without the block after the second death.
    """
    async with poisonable(5, 0.02) as (servers, routers):
        poisoned: list[str | None] = []
        for attempt in range(6):
            poison = asyncio.create_task(routers[attempt % 2].send(body=POISON))
            bystanders = [
                routers[number % 2].send("/till/list", method="GET")
                for number in range(40)
            ]
            replies = await asyncio.gather(*bystanders)
            assert {reply.outcome for reply in replies} == {"ran"}, replies
            poisoned.append((await poison).outcome)
        assert poisoned == ["unknown"] * 2 + ["not-run"] * 4, poisoned
        assert sum(r.body == POISON for s in servers for r in s.received) == 2


@async_test
async def test_run_under_probation_outlives_its_caller() -> None:
    """Guards against a third death because the caller left before the second.

    Fails without the shield around the run.
    """
    async with poisonable(4, 0.1) as (servers, (router, _)):
        assert (await router.send(body=POISON)).outcome == "unknown"
        for _ in range(4):
            alive = [s.entry(f"{s.port}") for s in servers if s.is_alive]
            router.view.apply_servers(alive)
            call = asyncio.create_task(router.send(body=POISON))
            await asyncio.sleep(0.05)
            call.cancel()
            await asyncio.sleep(0.2)
        assert sum(len(server.received) for server in servers) == 2


@async_test
async def test_permit_whose_reply_was_lost_is_given_back() -> None:
    """Guards against blocking a request that never ran under its permit.

    Fails without the return of the permit.
    """

    class LossyLink(LocalLink):
        lost = 1

        async def probation(self, request: ProbationRequest) -> ProbationReply | None:
            reply = await super().probation(request)
            if not self.lost or request.result != ASKED:
                return reply
            self.lost -= 1
            await asyncio.sleep(0.2)
            return None

    later_ms = 0.0
    link = LossyLink(lambda: later_ms)
    async with (
        raw_server(close) as server,
        running_router([server.entry()], link=link) as router,
    ):
        assert (await router.send(body=b"x")).outcome == "unknown"
        server.respond = echo
        late = await router.send(body=b"x", Mulberry_Deadline_Ms="100")
        assert late.outcome == "not-run"
        await asyncio.sleep(0.1)
        later_ms = 60_000.0
        assert (await router.send(body=b"x")).outcome == "ran"


@async_test
async def test_death_after_a_request_was_given_up_is_noticed() -> None:
    """Guards against a server that dies, or is started again, after the deadline.

    Fails without the comparison of boot ids and without the probe of the address.
    """
    for dies, boot_id, expected in [(False, "b1", 0), (False, "b2", 1), (True, "", 1)]:
        reported: list[Suspect] = []

        async def report(suspects: list[Suspect], to: list[Suspect] = reported) -> None:
            to.extend(suspects)

        async with raw_server() as server:
            entry = msgspec.structs.replace(server.entry(), boot_id=BootId("b1"))
            current = msgspec.structs.replace(entry, boot_id=BootId(boot_id))
            watch = DeathWatch(monotonic_ms, {entry.server: current}.get, report)
            watch.note(Suspect(fingerprint="a", service="till"), entry)
            await asyncio.sleep(0.05)
            if dies:
                server.die()
            await asyncio.sleep(0.3)
            await watch.close()
        assert len(reported) == expected, (dies, boot_id, reported)
        assert all(suspect.seen[0].boot_id == "b1" for suspect in reported)


@async_test
async def test_kept_connection_that_was_closed_is_no_death() -> None:
    """Guards against blocking a read because its server closed idle connections.

    Fails if a run under probation uses a kept connection.
    """
    used: set[int] = set()

    async def once(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if request.connection in used:
            writer.close()
            return
        used.add(request.connection)
        await asyncio.sleep(0.05)
        await echo(request, writer)

    async with raw_server(once) as server, running_router([server.entry()]) as router:
        await asyncio.gather(*(router.send() for _ in range(3)))
        assert (await router.send(method="GET")).outcome == "ran"


@async_test
async def test_caller_waits_for_the_report_only_for_a_while() -> None:
    """Guards against an answer held up by a coordinator that does not reply."""

    class SilentLink(LocalLink):
        async def report_suspects(
            self, suspects: Sequence[Suspect], timeout_ms: float
        ) -> bool:
            await asyncio.sleep(60)
            return False

    async with (
        raw_server(close) as server,
        running_router([server.entry()], link=SilentLink()) as router,
    ):
        async with asyncio.timeout(1.5):
            assert (await router.send(body=POISON)).outcome == "unknown"

"""Poison requests crash at most two servers, and other requests are served."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import msgspec

from mulberryrelay_control.suspectregistry import (
    REPORT_WAIT_MS,
    RESULT_GRACE_MS,
    PermitHolder,
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

PERMIT_REQUEST = ProbationResult.PROBATION_RESULT_UNSPECIFIED
ANSWERED = ProbationResult.PROBATION_RESULT_ANSWERED
DIED = ProbationResult.PROBATION_RESULT_SERVER_DIED
NOT_SENT = ProbationResult.PROBATION_RESULT_NOT_SENT
POISON = b"poison"
SECOND_DEATH = ServerDeath(server="s2")
OVERDUE_MS = 100 + RESULT_GRACE_MS

# Steps of each case: fingerprint, instance, result, time in ms, field set in the reply.
REGISTRY_CASES: list[list[tuple[str, str, ProbationResult, float, str]]] = [
    [
        ("a", "entry-1", PERMIT_REQUEST, 0, "permitted"),
        ("a", "entry-2", PERMIT_REQUEST, 1, ""),
        ("b", "entry-2", PERMIT_REQUEST, 1, ""),
        ("a", "entry-1", NOT_SENT, 2, ""),
        ("b", "entry-2", PERMIT_REQUEST, 3, "permitted"),
        ("b", "entry-2", ANSWERED, 4, "cleared"),
        ("a", "entry-1", PERMIT_REQUEST, 5, "permitted"),
        ("a", "entry-1", DIED, 6, "blocked"),
        ("a", "entry-2", PERMIT_REQUEST, 7, "blocked"),
        ("b", "entry-1", PERMIT_REQUEST, 8, "permitted"),
    ],
    [
        ("a", "entry-1", PERMIT_REQUEST, 0, "permitted"),
        ("b", "entry-2", PERMIT_REQUEST, OVERDUE_MS, "permitted"),
        ("a", "entry-1", PERMIT_REQUEST, OVERDUE_MS, "blocked"),
        ("a", "entry-1", ANSWERED, OVERDUE_MS + 1, "blocked"),
    ],
]


def test_registry_gives_one_permit_per_service() -> None:
    """Guards against two concurrent runs under probation, and against a third crash."""
    for case in REGISTRY_CASES:
        registry = SuspectRegistry()
        reported = Suspect(fingerprint="a", service="till", deaths=1)
        assert registry.record_suspects([reported]) == [reported]
        assert registry.record_suspects([reported]) == []
        for fingerprint, instance, result, now_ms, field in case:
            request = ProbationRequest(
                fingerprint=fingerprint,
                service="till",
                instance=instance,
                deadline_ms=100,
                result=result,
            )
            reply = registry.handle_probation(request, now_ms)
            assert reply == ProbationReply(**({field: True} if field else {})), now_ms
        assert any(suspect.blocked for suspect in registry.pop_changes())


# Each case: reports (fingerprint, crashed servers, whether it was answered before), the
# fingerprint for which a permit is requested, and the field set in the reply.
TWO_CRASHES = ("s1", "s2")
CRASH_CASES: list[tuple[list[tuple[str, tuple[str, ...], bool]], str, str]] = [
    ([("a", ("s1",), False), ("a", ("s2",), False)], "a", "blocked"),
    ([("a", ("s1",), False), ("a", ("s1",), False)], "a", "permitted"),
    ([("a", TWO_CRASHES, False), ("b", ("s1",), False)], "a", "blocked"),
    ([("a", TWO_CRASHES, False), ("b", ("s1",), False)], "b", "permitted"),
    # Both explain both crashes: neither is blocked before a run under probation.
    ([("a", TWO_CRASHES, False), ("b", TWO_CRASHES, False)], "b", "permitted"),
    # A request that was answered before did not cause the crashes.
    ([("a", TWO_CRASHES, False), ("b", TWO_CRASHES, True)], "a", "blocked"),
    ([("a", TWO_CRASHES, False), ("b", TWO_CRASHES, True)], "b", "permitted"),
]


def test_two_crashes_block_the_only_request_that_explains_them() -> None:
    """Guards against a third crash, and against blocking an innocent request.

    The registry must count distinct crashes and check whether another suspect explains
    them too.
    """
    for reports, requested, field in CRASH_CASES:
        registry = SuspectRegistry()
        for fingerprint, servers, answered in reports:
            deaths = [ServerDeath(server=server, boot_id="b") for server in servers]
            suspect = Suspect(
                fingerprint=fingerprint, service="till", seen=deaths, answered=answered
            )
            registry.record_suspects([suspect])
        request = ProbationRequest(fingerprint=requested, service="till")
        first = registry.handle_probation(request, 0)
        reply = (
            registry.handle_probation(request, REPORT_WAIT_MS)
            if not first.permitted
            else first
        )
        assert reply == ProbationReply(**{field: True}), (reports, requested, reply)


def test_suspects_survive_a_takeover() -> None:
    """Guards against a third crash after a takeover by a new coordinator.

    Routers must report blocks, crashes and running permits to the new coordinator.
    """
    old = SuspectRegistry()
    for fingerprint, server in (("blocked", "s0"), ("seen", "s1")):
        deaths = [ServerDeath(server=server)]
        suspect = Suspect(fingerprint=fingerprint, service="till", seen=deaths)
        old.record_suspects([suspect])
    request = ProbationRequest(fingerprint="blocked", service="till", result=DIED)
    old.handle_probation(request, 0)
    new = SuspectRegistry(permits_start_ms=1000)
    suspects = old.all_suspects()
    suspects.append(Suspect(fingerprint="running", service="till", probation_ms=2000))
    new.record_suspects(suspects, PermitHolder("entry-2", ""), 500)
    new.record_suspects(
        [Suspect(fingerprint="seen", service="till", seen=[SECOND_DEATH])]
    )
    for fingerprint, instance, now_ms, field in [
        ("blocked", "entry-1", 500, "blocked"),
        ("seen", "entry-1", 500, ""),
        # The run under the permit of the old coordinator has not ended.
        ("seen", "entry-1", 1500, ""),
        ("running", "entry-2", 1500, "permitted"),
        ("seen", "entry-1", 10_000, ""),
        ("seen", "entry-1", 10_000 + REPORT_WAIT_MS, "blocked"),
        ("running", "entry-1", 10_000, "blocked"),
    ]:
        request = ProbationRequest(
            fingerprint=fingerprint, service="till", instance=instance
        )
        reply = new.handle_probation(request, now_ms)
        assert reply == ProbationReply(**({field: True} if field else {})), (
            fingerprint,
            now_ms,
            reply,
        )


@async_test
async def test_broken_stream_is_reported_and_its_slot_is_held_to_the_end() -> None:
    """Guards against an undetected crash after the first part of a long response.

    The slot must be held until the stream ends, not only until its first byte.
    """
    length = f"Content-Length: {1 << 22}\r\n"
    may_break = asyncio.Event()

    async def respond_half(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_response(request, length=length) + b"x" * (1 << 21))
        await may_break.wait()
        writer.close()

    link = LocalLink()
    reported: list[Suspect] = []
    link.suspect_updates.subscribe(reported.append)
    async with (
        raw_server(respond_half) as server,
        running_router([server.entry()], link=link, slots=1) as router,
    ):
        calls = [
            asyncio.create_task(router.send(body=b"%d" % number)) for number in range(2)
        ]
        await asyncio.sleep(0.3)
        assert len(server.received) == 1
        may_break.set()
        errors = await asyncio.gather(*calls, return_exceptions=True)
        assert all(isinstance(error, aiohttp.ClientError) for error in errors), errors
        assert len(server.received) == 2 and len(reported) == 2, reported


@asynccontextmanager
async def vulnerable_servers(
    count: int, delay_s: float
) -> AsyncIterator[tuple[list[RawServer], list[RouterFixture]]]:
    """Run servers that a poison request crashes, and two routers with one registry."""
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
async def test_poison_request_crashes_at_most_two_of_five_servers() -> None:
    """Guards against a resent request that crashes all servers.

    A suspect must run only under probation and be blocked after the second crash.
    """
    async with vulnerable_servers(5, 0.02) as (servers, routers):
        outcomes: list[str | None] = []
        for attempt in range(6):
            poison = asyncio.create_task(routers[attempt % 2].send(body=POISON))
            harmless = [
                routers[number % 2].send("/till/list", method="GET")
                for number in range(40)
            ]
            responses = await asyncio.gather(*harmless)
            assert {response.outcome for response in responses} == {"ran"}, responses
            outcomes.append((await poison).outcome)
        assert outcomes == ["unknown"] * 2 + ["not-run"] * 4, outcomes
        assert sum(r.body == POISON for s in servers for r in s.received) == 2


@async_test
async def test_run_under_probation_continues_after_its_caller_disconnects() -> None:
    """Guards against a third crash when the caller disconnects before the second.

    The run must be shielded from the cancellation of the caller's request.
    """
    async with vulnerable_servers(4, 0.1) as (servers, (router, _)):
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
async def test_permit_whose_reply_was_lost_is_returned() -> None:
    """Guards against blocking a request that never ran under its permit.

    A router that received no reply must return the permit, as it may have been granted.
    """

    class LossyLink(LocalLink):
        lost_replies = 1

        async def send_probation_request(
            self, request: ProbationRequest
        ) -> ProbationReply | None:
            reply = await super().send_probation_request(request)
            if not self.lost_replies or request.result != PERMIT_REQUEST:
                return reply
            self.lost_replies -= 1
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
async def test_crash_after_a_request_was_abandoned_is_detected() -> None:
    """Guards against an undetected crash or restart after the deadline.

    A restart shows in the boot id, a crash in the refused probe of the address.
    """
    for dies, boot_id, expected in [(False, "b1", 0), (False, "b2", 1), (True, "", 1)]:
        reported: list[Suspect] = []

        async def report(suspects: list[Suspect], to: list[Suspect] = reported) -> None:
            to.extend(suspects)

        async with raw_server() as server:
            entry = msgspec.structs.replace(server.entry(), boot_id=BootId("b1"))
            current = msgspec.structs.replace(entry, boot_id=BootId(boot_id))
            watch = DeathWatch(monotonic_ms, {entry.server: current}.get, report)
            watch.watch(Suspect(fingerprint="a", service="till"), entry)
            await asyncio.sleep(0.05)
            if dies:
                server.die()
            await asyncio.sleep(0.3)
            await watch.close()
        assert len(reported) == expected, (dies, boot_id, reported)
        assert all(suspect.seen[0].boot_id == "b1" for suspect in reported)


@async_test
async def test_closed_idle_connection_is_not_counted_as_a_crash() -> None:
    """Guards against blocking a read because its server closed idle connections.

    A run under probation must not use a persistent connection.
    """
    used: set[int] = set()

    async def respond_once_per_connection(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.connection in used:
            writer.close()
            return
        used.add(request.connection)
        await asyncio.sleep(0.05)
        await echo(request, writer)

    async with (
        raw_server(respond_once_per_connection) as server,
        running_router([server.entry()]) as router,
    ):
        await asyncio.gather(*(router.send() for _ in range(3)))
        assert (await router.send(method="GET")).outcome == "ran"


@async_test
async def test_response_waits_for_the_report_only_until_its_timeout() -> None:
    """Guards against a response delayed by a coordinator that does not reply."""

    class UnresponsiveLink(LocalLink):
        async def report_suspects(
            self, suspects: Sequence[Suspect], timeout_ms: float
        ) -> bool:
            await asyncio.sleep(60)
            return False

    async with (
        raw_server(close) as server,
        running_router([server.entry()], link=UnresponsiveLink()) as router,
    ):
        async with asyncio.timeout(1.5):
            assert (await router.send(body=POISON)).outcome == "unknown"

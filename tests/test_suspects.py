"""Poison requests: at most two servers are lost, and others are served."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager

from mulberryrelay_control.suspects import RESULT_GRACE_MS, SuspectRegistry
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    ProbationReply,
    ProbationRequest,
    ProbationResult,
    Suspect,
)
from mulberryrelay_router.suspects import LocalLink

from .fixtures import async_test
from .fixtures.rawserver import RawRequest, RawServer, close, echo, raw_server
from .fixtures.router import RouterFixture, running_router

ASKED = ProbationResult.PROBATION_RESULT_UNSPECIFIED
ANSWERED = ProbationResult.PROBATION_RESULT_ANSWERED
DIED = ProbationResult.PROBATION_RESULT_SERVER_DIED
NOT_SENT = ProbationResult.PROBATION_RESULT_NOT_SENT
POISON = b"poison"
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

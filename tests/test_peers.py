"""The stream between a router and the coordinator, over gRPC in one process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec

from mulberryrelay_control.lease import CoordinatorLease
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import AssignmentVersion, RulesVersion, Tenant, Term
from mulberryrelay_kernel.messages import Address, Assignment, RulesDocument
from mulberryrelay_kernel.peerproto.peer_pb2 import ProbationRequest, Suspect
from mulberryrelay_router.inflight import InFlight
from mulberryrelay_router.peerchannels import PeerChannels
from mulberryrelay_router.peers import CoordinatorClient
from mulberryrelay_router.peerserver import PeerServicer, open_peer_server, serve_peers
from mulberryrelay_router.view import RoutingView
from tests.fixtures.terms import OPTIONS, SERVICE, TIMING, Stage, address, stage


@asynccontextmanager
async def coordinating(
    running: Stage, name: str
) -> AsyncIterator[tuple[Address, CoordinatorLease]]:
    """Run a coordinator and serve the calls of its peers."""
    server, port = open_peer_server(OPTIONS)
    coordinator, lease = running.begin_term(name, port)
    me = address(name, port)
    serve_peers(server, PeerServicer(me, lease, coordinator))
    await server.start()
    try:
        yield me, lease
    finally:
        await server.stop(grace=None)


def router(
    running: Stage,
    name: str,
    holder: Callable[[], Address],
    apply_rules: Callable[[RulesDocument], bool] = lambda document: True,
    tenant: Tenant = OPTIONS.tenant,
) -> tuple[CoordinatorClient, RoutingView]:
    """Run the peer task of a router."""
    view = RoutingView()
    me = address(name)
    task = CoordinatorClient(
        msgspec.structs.replace(OPTIONS, tenant=tenant),
        me,
        holder,
        view,
        InFlight(),
        PeerChannels(me),
        list,
        apply_rules,
        monotonic_ms,
    )
    running.spawn(task.run())
    return task, view


async def until_leased(view: RoutingView) -> None:
    """Wait until a router has a routing lease."""
    async with asyncio.timeout(5):
        while not view.has_lease():
            await asyncio.sleep(0.005)


def test_rules_and_suspects_reach_every_router() -> None:
    """Guards against leases under old rules and suspects unknown to other routers."""

    async def check() -> None:
        async with stage() as running:
            running.rules = RulesDocument(RulesVersion(1), "# one")
            async with coordinating(running, "e1") as (holder, _):
                first, first_view = router(running, "r1", lambda: holder)
                texts: list[str] = []
                told: list[Suspect] = []

                def apply_rules(document: RulesDocument) -> bool:
                    texts.append(document.text)
                    return True

                second, second_view = router(running, "r2", lambda: holder, apply_rules)
                second.suspect_updates.subscribe(told.append)
                await until_leased(first_view)
                await until_leased(second_view)
                assert second_view.rules_version == 1
                running.rules = RulesDocument(RulesVersion(2), "# two")
                await first.notify_rules(RulesVersion(2))
                async with asyncio.timeout(2):
                    while second_view.rules_version < 2:
                        await asyncio.sleep(0.005)
                assert texts == ["# one", "# two"]
                suspect = Suspect(fingerprint="f", service=SERVICE, deaths=1)
                assert await first.report_suspects([suspect], 1000)
                await asyncio.sleep(0.05)
                assert [found.fingerprint for found in told] == ["f"]
                request = ProbationRequest(
                    fingerprint="f",
                    service=SERVICE,
                    instance="r2",
                    boot_id="r2",
                    deadline_ms=1000,
                )
                reply = await second.probation(request)
                assert reply is not None and reply.permitted

    asyncio.run(check())


def test_router_follows_the_holder_and_has_no_lease_without_one() -> None:
    """Guards against sending after the routing lease, and against staying cut off."""

    async def check() -> None:
        async with stage() as running:
            holders: list[Address] = []
            async with coordinating(running, "e1") as (first, lease):
                holders.append(first)
                _, view = router(running, "r1", lambda: holders[-1])
                await until_leased(view)
                running.lose(lease)
                await asyncio.sleep((TIMING.lease_ms + TIMING.bridge_ms) / 1000)
                assert not view.has_lease()
                async with coordinating(running, "e2") as (second, _):
                    holders.append(second)
                    await until_leased(view)
                    assert view.term == 2

    asyncio.run(check())


def test_router_of_another_tenant_is_refused() -> None:
    """Guards against a view of foreign servers where an address was used again."""

    async def check() -> None:
        async with stage() as running, coordinating(running, "e1") as (holder, _):
            _, own = router(running, "r1", lambda: holder)
            other = Tenant("wattlebrook")
            _, foreign = router(running, "r2", lambda: holder, tenant=other)
            await until_leased(own)
            await asyncio.sleep(0.2)
            assert not foreign.has_lease()
            assert not foreign.assignment.ranges

    asyncio.run(check())


def test_lease_counts_only_with_the_versions_that_it_names() -> None:
    """Guards against sending under an older view or older rules than promised."""
    # Each case: term, assignment and rules version of the offer, and whether it counts.
    cases = [
        (1, 5, 2, True),
        (1, 6, 2, False),
        (1, 5, 3, False),
        (2, 5, 2, False),
    ]
    for term, assignment, rules, counts in cases:
        view = RoutingView()
        view.apply_assignment(Term(1), Assignment(AssignmentVersion(5), {}, {}))
        view.apply_rules(RulesVersion(2))
        until_ms = monotonic_ms() + 1000
        view.offer_lease(
            until_ms, Term(term), AssignmentVersion(assignment), RulesVersion(rules)
        )
        assert view.has_lease() is counts, (term, assignment, rules)
        view.apply_rules(RulesVersion(3))
        view.apply_assignment(Term(term), Assignment(AssignmentVersion(6), {}, {}))
        assert view.has_lease(), (term, assignment, rules)

"""The stream between a router and the coordinator, over gRPC in one process."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from mulberryrelay_control.coordinator import Coordinator
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import (
    AssignmentVersion,
    BootId,
    DataCentre,
    InstanceId,
    RulesVersion,
    Term,
)
from mulberryrelay_kernel.messages import Address, Assignment, RulesDocument
from mulberryrelay_kernel.peerproto.peer_pb2 import ProbationRequest, Suspect
from mulberryrelay_router.inflight import InFlight
from mulberryrelay_router.peers import (
    PeerChannels,
    PeerServicer,
    PeerTask,
    open_peer_server,
    serve_peers,
)
from mulberryrelay_router.view import RoutingView
from tests.fixtures.terms import OPTIONS, SERVICE, TIMING, HeldLease, Stage, stage


@asynccontextmanager
async def served(coordinator: Coordinator, lease: HeldLease) -> AsyncIterator[Address]:
    """Serve the calls of peers for a coordinator."""
    server, port = await open_peer_server(OPTIONS)
    me = Address(InstanceId("e1"), BootId("b1"), DataCentre("a"), "127.0.0.1", port)
    serve_peers(server, PeerServicer(me, lease, coordinator))
    await server.start()
    lease.serve_at(me)
    try:
        yield me
    finally:
        await server.stop(grace=None)


def router(running: Stage, name: str, lease: HeldLease) -> tuple[PeerTask, RoutingView]:
    """Run the peer task of a router."""
    me = Address(InstanceId(name), BootId(name), DataCentre("a"), "127.0.0.1", 1)
    view = RoutingView()
    task = PeerTask(
        OPTIONS, me, lease, view, InFlight(), PeerChannels(me), list, monotonic_ms
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
            coordinator, lease = await running.begin_term(1)
            async with served(coordinator, lease):
                first, first_view = router(running, "r1", lease)
                second, second_view = router(running, "r2", lease)
                texts: list[str] = []
                told: list[Suspect] = []
                second.rules.subscribe(lambda document: texts.append(document.text))
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


def test_router_without_coordinator_loses_its_lease() -> None:
    """Guards against sending after the routing lease, and against a slow return."""

    async def check() -> None:
        async with stage() as running:
            coordinator, lease = await running.begin_term(1)
            async with served(coordinator, lease):
                _, view = router(running, "r1", lease)
                await until_leased(view)
                await running.wait_for(lambda units: len(units) > 0)
            await asyncio.sleep(
                (TIMING.lease_ms + TIMING.bridge_ms + TIMING.margin_ms) / 1000
            )
            assert not view.has_lease()
            async with served(coordinator, lease):
                begin_ms = monotonic_ms()
                await until_leased(view)
                assert monotonic_ms() - begin_ms < 2000

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

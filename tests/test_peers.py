"""Streams between routers and the coordinator, over real gRPC in one process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any
from unittest.mock import patch

import msgspec

from mulberryrelay_control.lease import CoordinatorLease
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import AssignmentVersion, RulesVersion, Tenant, Term
from mulberryrelay_kernel.messages import Assignment, RouterAddress, RulesDocument
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    ProbationRequest,
    Server,
    Suspect,
    SyncReply,
)
from mulberryrelay_router import coordinatorclient, peerchannels
from mulberryrelay_router.coordinatorclient import CoordinatorClient
from mulberryrelay_router.inflight import InFlight
from mulberryrelay_router.peerchannels import PeerChannels
from mulberryrelay_router.peerserver import PeerServicer, open_peer_server, serve_peers
from mulberryrelay_router.routingview import RoutingView
from tests.fixtures.terms import (
    OPTIONS,
    SERVICE,
    TIMING,
    CoordinatorDeployment,
    address,
    coordinator_deployment,
)


@asynccontextmanager
async def coordinating(
    running: CoordinatorDeployment, name: str
) -> AsyncIterator[tuple[RouterAddress, CoordinatorLease]]:
    """Run a coordinator and its gRPC server."""
    server, port = open_peer_server(OPTIONS)
    coordinator, lease = running.begin_term(name, port)
    own_address = address(name, port)
    serve_peers(server, PeerServicer(own_address, lease, coordinator))
    await server.start()
    try:
        yield own_address, lease
    finally:
        await server.stop(grace=None)


def router(
    running: CoordinatorDeployment,
    name: str,
    holder: Callable[[], RouterAddress],
    apply_rules: Callable[[RulesDocument], bool] = lambda document: True,
    tenant: Tenant = OPTIONS.tenant,
) -> tuple[CoordinatorClient, RoutingView]:
    """Run the coordinator client of a router."""
    view = RoutingView()
    own_address = address(name)
    client = CoordinatorClient(
        msgspec.structs.replace(OPTIONS, tenant=tenant),
        own_address,
        holder,
        view,
        InFlight(),
        PeerChannels(own_address),
        list,
        apply_rules,
        monotonic_ms,
    )
    running.spawn(client.run())
    return client, view


async def wait_for_lease(view: RoutingView) -> None:
    """Wait until a router has a routing lease."""
    async with asyncio.timeout(5):
        while not view.has_lease():
            await asyncio.sleep(0.005)


def test_rules_and_suspects_reach_every_router() -> None:
    """Guards against routing leases under old rules and against unshared suspects.

    New rules and suspects must reach every router without a new connection.
    """

    async def check() -> None:
        async with coordinator_deployment() as running:
            running.rules = RulesDocument(RulesVersion(1), "# one")
            async with coordinating(running, "e1") as (holder, _):
                first, first_view = router(running, "r1", lambda: holder)
                texts: list[str] = []
                received: list[Suspect] = []

                def apply_rules(document: RulesDocument) -> bool:
                    texts.append(document.text)
                    return True

                second, second_view = router(running, "r2", lambda: holder, apply_rules)
                second.suspect_updates.subscribe(received.append)
                await wait_for_lease(first_view)
                await wait_for_lease(second_view)
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
                assert [found.fingerprint for found in received] == ["f"]
                request = ProbationRequest(
                    fingerprint="f",
                    service=SERVICE,
                    instance="r2",
                    boot_id="r2",
                    deadline_ms=1000,
                )
                reply = await second.send_probation_request(request)
                assert reply is not None and reply.permitted

    asyncio.run(check())


def test_router_loses_lease_without_coordinator_and_connects_to_next() -> None:
    """Guards against requests after the routing lease has expired, and against a router
    that gets no lease from the next coordinator.

    The coordinator loses its lease; later another router becomes the coordinator.
    """

    async def check() -> None:
        async with coordinator_deployment() as running:
            holders: list[RouterAddress] = []
            async with coordinating(running, "e1") as (first, lease):
                holders.append(first)
                _, view = router(running, "r1", lambda: holders[-1])
                await wait_for_lease(view)
                running.stop_lease(lease)
                await asyncio.sleep((TIMING.lease_ms + TIMING.bridge_ms) / 1000)
                assert not view.has_lease()
                async with coordinating(running, "e2") as (second, _):
                    holders.append(second)
                    await wait_for_lease(view)
                    assert view.term == 2

    asyncio.run(check())


class _BrokenStream:
    """A stream to a suspended or faulty coordinator, in place of a gRPC call.

    As in gRPC, a write that is cancelled cancels the call, and reading from a cancelled
    call raises ``CancelledError``.
    """

    def __init__(self, *replies: SyncReply) -> None:
        self._replies = replies
        self._cancelled = asyncio.Event()

    def cancel(self) -> None:
        self._cancelled.set()

    async def write(self, request: object) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            self.cancel()

    async def __aiter__(self) -> AsyncIterator[SyncReply]:
        for reply in self._replies:
            yield reply
        await self._cancelled.wait()
        raise asyncio.CancelledError


def test_broken_stream_to_the_coordinator_does_not_end_the_router() -> None:
    """Guards against a router process that ends because of its coordinator.

    The first stream blocks until its write times out, or delivers a reply that cannot
    be decoded. The router must connect again.
    """
    malformed = SyncReply(servers=[Server(server="s-1", state="no such state")])

    async def check(broken: _BrokenStream) -> None:
        streams: list[Any] = [broken]

        def open_stub(channel: Any) -> Any:
            stub = peerchannels.open_stub(channel)
            if streams:
                stub.Sync = streams.pop
            return stub

        async with (
            coordinator_deployment() as running,
            coordinating(running, "e1") as (holder, _),
        ):
            with patch.object(coordinatorclient, "open_stub", open_stub):
                _, view = router(running, "r1", lambda: holder)
                await wait_for_lease(view)
                assert not streams

    for replies in ((), (malformed,)):
        asyncio.run(check(_BrokenStream(*replies)))


def test_router_of_another_tenant_is_refused() -> None:
    """Guards against a view with servers of another tenant.

    A router may reach another tenant's coordinator where an address was reused.
    """

    async def check() -> None:
        async with (
            coordinator_deployment() as running,
            coordinating(running, "e1") as (holder, _),
        ):
            _, own = router(running, "r1", lambda: holder)
            other = Tenant("wattlebrook")
            _, foreign = router(running, "r2", lambda: holder, tenant=other)
            await wait_for_lease(own)
            await asyncio.sleep(0.2)
            assert not foreign.has_lease()
            assert not foreign.assignment.ranges

    asyncio.run(check())


def test_lease_is_valid_only_with_the_required_versions() -> None:
    """Guards against requests under an older view or older rules than required.

    The lease may arrive before the versions of the view and rules that it depends on.
    """
    # Each case: required term, assignment and rules version, and whether the lease is
    # valid before newer versions are applied.
    cases = [
        (1, 5, 2, True),
        (1, 6, 2, False),
        (1, 5, 3, False),
        (2, 5, 2, False),
    ]
    for term, assignment, rules, is_valid in cases:
        view = RoutingView()
        view.apply_assignment(Term(1), Assignment(AssignmentVersion(5), {}, {}))
        view.apply_rules(RulesVersion(2))
        expires_ms = monotonic_ms() + 1000
        view.set_pending_lease(
            expires_ms, Term(term), AssignmentVersion(assignment), RulesVersion(rules)
        )
        assert view.has_lease() is is_valid, (term, assignment, rules)
        view.apply_rules(RulesVersion(3))
        view.apply_assignment(Term(term), Assignment(AssignmentVersion(6), {}, {}))
        assert view.has_lease(), (term, assignment, rules)

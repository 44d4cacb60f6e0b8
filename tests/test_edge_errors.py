"""Unexpected errors in an edge router: it keeps serving and keeps all keys granted."""

import asyncio
from unittest.mock import patch

from bench.virtual_time import run_virtual
from mulberryrelay_edge.leaderterm import Term
from mulberryrelay_edge.leaserow import LEADER_TABLE, LEASE_KEY
from mulberryrelay_edge.tablestore import TableRead
from mulberryrelay_kernel.supervision import run_supervised

from .fixtures import async_test
from .fixtures.edgefleet import (
    SERVERS_TABLE,
    SERVICE,
    backend,
    start_settled_fleet,
)
from .fixtures.edgerouter import edge_response, edge_router
from .fixtures.followingcatalog import FollowingCatalog
from .fixtures.rawserver import raw_server, respond_with

TAKEOVER_S = 5.0
"""Time for the lease of 3 s and its margin to pass and for another term to begin."""


def test_a_failed_task_starts_again() -> None:
    """Guards against a task that ends for good with its first unexpected error."""
    starts = 0

    async def start() -> None:
        nonlocal starts
        starts += 1
        if starts < 3:
            raise KeyError("unforeseen")

    run_virtual(run_supervised("test", start))
    assert starts == 3


def test_tables_are_followed_after_an_error_in_their_use() -> None:
    """Guards against a router whose servers and routes are never updated again."""

    async def scenario() -> None:
        following = FollowingCatalog()
        following.put_server(1)
        await asyncio.sleep(1.0)

        def fail(read: TableRead, is_complete: bool) -> None:
            raise KeyError("unforeseen")

        with patch.object(following.catalog, "_log_entry_change", fail):
            following.put_server(2)
            await asyncio.sleep(1.0)
        await asyncio.sleep(1.0)
        assert len(following.catalog.servers(SERVICE)) == 2
        following.stop()

    run_virtual(scenario())


def test_an_entry_that_no_decoder_foresees_hides_no_other_server() -> None:
    """Guards against one row that stops the updates of all servers.

    The decoder of the tests raises an error for the row, as it is not JSON.
    """

    async def scenario() -> None:
        following = FollowingCatalog()
        following.tables.write(SERVERS_TABLE, "bad", b"\xff")
        following.put_server(1)
        await asyncio.sleep(1.0)
        servers = [s.server for s in following.catalog.servers(SERVICE)]
        assert servers == [backend(1).server]
        following.stop()

    run_virtual(scenario())


def test_a_term_that_fails_is_followed_by_another_one() -> None:
    """Guards against a leader that renews its lease but grants no keys any more."""

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        leader = fleet.leader
        assert leader is not None
        term = leader.lease.term
        manage_service = Term._manage_service

        def fail_in_first_term(self: Term, service: object) -> None:
            if leader.lease.term == term:
                raise KeyError("unforeseen")
            manage_service(self, service)  # type: ignore[arg-type]

        with patch.object(Term, "_manage_service", fail_in_first_term):
            await asyncio.sleep(TAKEOVER_S)
            assert fleet.leader is not None
            assert fleet.leader.lease.term > term
            assert fleet.servers.ungranted_share() == 0
        fleet.stop()

    run_virtual(scenario())


def test_a_lease_row_that_cannot_be_read_ends_no_router() -> None:
    """Guards against routers that all end, or all lead, because of one row."""

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        row = fleet.tables.rows[LEADER_TABLE, LEASE_KEY]
        fleet.tables.write(LEADER_TABLE, LEASE_KEY, b"\xff")
        await asyncio.sleep(TAKEOVER_S)
        assert fleet.leader is None, "the holder of the lease is unknown"
        fleet.tables.write(LEADER_TABLE, LEASE_KEY, row.value)
        await asyncio.sleep(TAKEOVER_S)
        assert fleet.leader is not None
        await fleet.settle()
        fleet.stop()

    run_virtual(scenario())


@async_test
async def test_an_error_in_one_request_does_not_affect_others() -> None:
    """Guards against slots that stay in use after an unexpected error."""

    respond = respond_with(edge_response)
    async with raw_server(respond) as server, edge_router() as router:
        entry = router.register_server(server)
        with patch.object(router.adapter, "parse_load", side_effect=KeyError):
            for _ in range(4):
                try:
                    await router.send(router.request())
                except KeyError:
                    continue
        assert router.dispatcher.loads.stats(entry).in_flight == 0
        response = await router.send(router.request())
        assert response.status == 200


@async_test
async def test_a_server_at_an_unusable_address_fails_no_requests() -> None:
    """Guards against a 500 for each request that is sent to such a server."""
    async with (
        raw_server(respond_with(edge_response)) as server,
        edge_router() as router,
    ):
        router.register_server(server, 1)
        router.register(backend(0, host="[::1]"))
        for is_idempotent in (True, False):
            for _ in range(5):
                requests = [router.request(is_idempotent) for _ in range(4)]
                responses = await asyncio.gather(*map(router.send, requests))
                statuses = [response.status for response in responses]
                assert statuses == [200] * len(requests), is_idempotent

"""Large updates of tables leave room on the leader's link for what is urgent.

Tests with a fleet run in virtual time.
"""

import asyncio
import random
from collections.abc import Callable
from unittest.mock import patch

import msgspec
from returns.result import Failure, Result

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge.bulkupdates import (
    BULK_SHARE,
    BURST_S,
    LARGE_UPDATE_BYTES,
    BulkUpdates,
)
from mulberryrelay_edge.keyload import KeyLoad
from mulberryrelay_edge.linkhttp import LINK_PATH, _compress_body
from mulberryrelay_edge.messages import KeyReport, LeaderReply, RouterReport
from mulberryrelay_edge.ownership import Ownership
from mulberryrelay_edge.reporthandler import ReportHandler
from mulberryrelay_edge.tablefollower import FollowedTable, Role, StoreSync
from mulberryrelay_edge.tablemirror import TableUpdate
from mulberryrelay_edge.tablestore import TableFailure, TableRead, TableRow
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.states import ServerState
from standins.tables import TableClient

from .fixtures import async_test
from .fixtures.edgefleet import (
    LINK_BYTES_PER_S,
    ROUTES_TABLE,
    SERVERS_TABLE,
    SERVICE,
    Fleet,
    FleetRouter,
    followers_of,
    route,
    route_table,
    start_settled_fleet,
)
from .fixtures.rawserver import HOST
from .fixtures.relays import link_client, link_server_to
from .fixtures.suspects import leaders_suspects

ROUTERS = 71
LARGE_ROUTES = 1000
"""Number of routes of a large table."""
MOVED_S = 0.6
"""Time in which a move is known everywhere, beside one large update on the link."""
IN_FORCE_S = 2.0
"""Time in which a new version of the routes is in force at every router."""
OUTAGE_S = 4.5
LONG_READ_S = 5.0
"""Time that a read takes at a store which is slow for one router."""


def put_large_routes(fleet: Fleet, version: int) -> None:
    """Write a large version of the routes, as an operator does."""
    rng = random.Random(version)
    prefixes = [f"/listing/{rng.getrandbits(64):x}/" for _ in range(LARGE_ROUTES)]
    routes = [route(f"r{n}", prefix=prefix) for n, prefix in enumerate(prefixes)]
    value = msgspec.json.encode(route_table(version, route(), *routes))
    assert len(value) > 100_000
    fleet.tables.write(ROUTES_TABLE, "routes", value)


async def limit_link(fleet: Fleet) -> list[int]:
    """Let replies wait for each other on a link; return the sizes sent over it.

    Return once no report is on its way that was sent without the limit.
    """
    sizes: list[int] = []
    encoded_sizes: dict[bytes, int] = {}
    free_s = 0.0

    def size_of(reply: LeaderReply) -> int:
        body = msgspec.msgpack.encode(reply)
        if body not in encoded_sizes:
            encoded_sizes[body] = len(_compress_body(body))
        return encoded_sizes[body]

    def limited(router: FleetRouter) -> None:
        send = router.link._send

        async def send_report(url: str, report: RouterReport) -> LeaderReply | None:
            nonlocal free_s
            reply = await send(url, report)
            if reply is None:
                return None
            sizes.append(size_of(reply))
            now_s = asyncio.get_running_loop().time()
            free_s = max(now_s, free_s) + sizes[-1] / LINK_BYTES_PER_S
            await asyncio.sleep(free_s - now_s)
            return reply

        router.link._send = send_report

    for router in fleet.routers:
        limited(router)
    await asyncio.sleep(1.0)
    sizes.clear()
    return sizes


async def wait_for_version(fleet: Fleet, version: int) -> None:
    """Wait until a version of the routes is in force everywhere."""
    started_ms = virtual_clock()
    while lacking := [r.name for r in fleet.routers if r.catalog.version < version]:
        waited_s = (virtual_clock() - started_ms) / 1000
        assert waited_s < IN_FORCE_S, f"{len(lacking)} routers lack the new routes"
        await asyncio.sleep(0.01)


def large_bytes(sizes: list[int]) -> int:
    return sum(size for size in sizes if size > 2000)


def test_a_large_change_does_not_fill_the_link_of_the_leader() -> None:
    """Guards against a link that is full of copies of a table while keys move."""

    async def scenario() -> None:
        fleet = await start_settled_fleet(routers=ROUTERS)
        sizes = await limit_link(fleet)
        leader = fleet.leader
        assert leader is not None
        seen = leader.ownership.version(SERVICE)
        put_large_routes(fleet, 2)
        await asyncio.sleep(0.02)
        entry = fleet.servers.incarnations[0].entry
        fleet.register(msgspec.structs.replace(entry, state=ServerState.DRAINING))
        while leader.ownership.version(SERVICE) == seen:
            await asyncio.sleep(0.01)
        moved = leader.ownership.version(SERVICE)
        await asyncio.sleep(MOVED_S)
        for router in followers_of(fleet):
            assert router.ownership.version(SERVICE) >= moved, router.name
        await wait_for_version(fleet, 2)
        assert large_bytes(sizes) <= BULK_SHARE * LINK_BYTES_PER_S, large_bytes(sizes)
        assert all(router.is_connected for router in fleet.routers)
        fleet.stop()

    run_virtual(scenario())


def test_a_change_in_an_outage_does_not_fill_the_link_of_the_leader() -> None:
    """Guards against a leader that sends a table to all when the store is back."""

    async def scenario() -> None:
        fleet = await start_settled_fleet(routers=ROUTERS)
        sizes = await limit_link(fleet)
        for router in fleet.routers:
            router.store.is_refusing = True
        await asyncio.sleep(OUTAGE_S)
        put_large_routes(fleet, 2)
        sizes.clear()
        for router in fleet.routers:
            router.store.is_refusing = False
        await asyncio.sleep(2 * IN_FORCE_S)
        assert all(router.catalog.version == 2 for router in fleet.routers)
        sent_bytes = large_bytes(sizes)
        assert sent_bytes <= BULK_SHARE * LINK_BYTES_PER_S, sent_bytes
        fleet.stop()

    run_virtual(scenario())


def refuse(router: FleetRouter) -> None:
    router.store.is_refusing = True


def cut_off(router: FleetRouter) -> None:
    router.store.is_partitioned = True


def make_slow(router: FleetRouter) -> None:
    router.store.reply_delay_s = 2 * LONG_READ_S


def test_a_follower_that_cannot_read_the_store_gets_large_tables() -> None:
    """Guards against a follower that waits for a read which fails or lasts long."""

    async def scenario(harm: Callable[[FleetRouter], None], share: int) -> None:
        fleet = await start_settled_fleet(routers=ROUTERS)
        await limit_link(fleet)
        for router in followers_of(fleet)[::share]:
            harm(router)
        put_large_routes(fleet, 2)
        await wait_for_version(fleet, 2)
        put_large_routes(fleet, 3)
        await wait_for_version(fleet, 3)
        assert all(router.is_connected for router in fleet.routers)
        fleet.stop()

    for harm in (refuse, cut_off, make_slow):
        # A fifth of them: more do not fit on this link in that time.
        run_virtual(scenario(harm, 5))


def test_a_read_whose_answer_is_lost_is_not_waited_for() -> None:
    """Guards against a follower that lacks the routes as its only read got no reply."""

    async def scenario() -> None:
        fleet = await start_settled_fleet(routers=ROUTERS)
        losing = {router.store for router in followers_of(fleet)[::5]}
        read = TableClient.read

        async def lose_first(
            client: TableClient, table: str
        ) -> Result[TableRead, TableFailure]:
            if client in losing:
                losing.discard(client)
                await asyncio.sleep(LONG_READ_S)
                return Failure(TableFailure.UNKNOWN)
            return await read(client, table)

        await limit_link(fleet)
        with patch.object(TableClient, "read", lose_first):
            put_large_routes(fleet, 2)
            await wait_for_version(fleet, 2)
            # The leader may send one update at once.
            assert len(losing) <= 1, "no read was lost"
        put_large_routes(fleet, 3)
        await wait_for_version(fleet, 3)
        fleet.stop()

    run_virtual(scenario())


def test_a_change_that_only_the_leader_reads_before_an_outage_is_in_force() -> None:
    """Guards against followers that wait for a store which just became unreachable."""

    async def scenario() -> None:
        fleet = await start_settled_fleet(routers=9)
        leader = fleet.leader
        assert leader is not None
        for router in followers_of(fleet):
            router.store.is_partitioned = True
        put_large_routes(fleet, 2)
        while leader.catalog.version < 2:
            await asyncio.sleep(0.001)
        leader.store.is_partitioned = True
        await wait_for_version(fleet, 2)
        fleet.stop()

    run_virtual(scenario())


def test_a_follower_reads_again_once_the_store_answers_it() -> None:
    """Guards against a follower to which the leader sends large tables for good."""

    async def scenario() -> None:
        fleet = await start_settled_fleet(routers=ROUTERS)
        for router in followers_of(fleet):
            router.store.is_refusing = True
        put_large_routes(fleet, 2)
        await wait_for_version(fleet, 2)
        for router in followers_of(fleet):
            router.store.is_refusing = False
        sizes = await limit_link(fleet)
        put_large_routes(fleet, 3)
        await wait_for_version(fleet, 3)
        assert large_bytes(sizes) <= BULK_SHARE * LINK_BYTES_PER_S, large_bytes(sizes)
        fleet.stop()

    run_virtual(scenario())


def test_each_large_table_is_read_once() -> None:
    """Guards against followers that read a table at each reply, or report in a loop."""

    async def scenario() -> None:
        fleet = await start_settled_fleet(routers=ROUTERS)
        sizes = await limit_link(fleet)
        before = fleet.tables.calls
        put_large_routes(fleet, 2)
        await wait_for_version(fleet, 2)
        # One read of each follower, and polls and a renewal of the leader.
        assert fleet.tables.calls - before <= ROUTERS + 4
        assert len(sizes) <= 4 * ROUTERS, len(sizes)
        assert all(
            router.store_sync.role is not Role.STANDALONE for router in fleet.routers
        )
        fleet.stop()

    run_virtual(scenario())


def test_an_evacuation_is_known_at_once_beside_a_large_change() -> None:
    """Guards against an evacuation that waits until a follower has the new routes.

    It is written just before or after the routes, and the store may be slow. It also
    guards against followers that report in a loop meanwhile.
    """

    async def scenario(is_first: bool, harm: Callable[[FleetRouter], None]) -> None:
        fleet = await start_settled_fleet(routers=ROUTERS)
        sizes = await limit_link(fleet)
        for router in followers_of(fleet)[::5]:
            harm(router)
        if is_first:
            fleet.evacuate("a")
        put_large_routes(fleet, 2)
        if not is_first:
            fleet.evacuate("a")
        await asyncio.sleep(MOVED_S)
        followers = followers_of(fleet)
        late = [r.name for r in followers if not r.catalog.evacuations.data_centres]
        assert not late, late
        assert len(sizes) <= 5 * ROUTERS, len(sizes)
        await wait_for_version(fleet, 2)
        fleet.end_evacuation("a")
        put_large_routes(fleet, 3)
        await asyncio.sleep(MOVED_S)
        late = [r.name for r in followers if r.catalog.evacuations.data_centres]
        assert not late, late
        await wait_for_version(fleet, 3)
        assert all(router.is_connected for router in fleet.routers)
        fleet.stop()

    for harm in (lambda router: None, make_slow):
        for is_first in (True, False):
            run_virtual(scenario(is_first, harm))


def test_builds_without_direct_reads_get_large_tables() -> None:
    """Guards against a leader or a follower of the build before that lacks routes."""
    handle_report = ReportHandler.handle_report

    async def scenario(is_older: Callable[[int], bool]) -> None:
        fleet = await start_settled_fleet(routers=9)
        older = {r.boot_id for n, r in enumerate(fleet.routers) if is_older(n)}
        older_handlers = {r.report_handler for r in fleet.routers if r.boot_id in older}

        async def handle(
            handler: ReportHandler, report: RouterReport
        ) -> LeaderReply | None:
            if handler in older_handlers or report.boot_id in older:
                report = msgspec.structs.replace(report, store_reads=None)
            return await handle_report(handler, report)

        with patch.object(ReportHandler, "handle_report", handle):
            for version in (2, 3):
                put_large_routes(fleet, version)
                await wait_for_version(fleet, version)
        fleet.stop()

    run_virtual(scenario(lambda number: number % 2 == 0))
    run_virtual(scenario(lambda number: number % 2 == 1))


@async_test
async def test_a_reply_about_an_unsent_table_is_not_cached_for_its_readers() -> None:
    """Guards against one encoded reply for followers that need different ones."""
    store_sync = StoreSync()
    store_sync.follow(FollowedTable(ROUTES_TABLE, lambda read, is_complete: None))
    large = TableRow(ROUTES_TABLE, bytes(LARGE_UPDATE_BYTES), 2)
    store_sync.apply_rows(ROUTES_TABLE, TableRead([large], 2, 0.0), is_complete=True)
    suspects = leaders_suspects(monotonic_ms)
    report_handler = ReportHandler(
        KeyLoad(monotonic_ms),
        Ownership(),
        store_sync,
        suspects,
        lambda incarnation: None,
        lambda: True,
        lambda: False,
        monotonic_ms,
        BulkUpdates([ROUTES_TABLE], 1.0, monotonic_ms),
        monotonic_ms,
    )
    server = link_server_to(report_handler, suspects, monotonic_ms)
    client = link_client()
    url = f"http://{HOST}:{await server.start(HOST, 0)}{LINK_PATH}"
    report = RouterReport("f", KeyReport({}, {}), {}, {ROUTES_TABLE: 1}, True, 0.0)
    found = []
    for store_reads in (None, (), (ROUTES_TABLE,), None):
        stated = msgspec.structs.replace(report, store_reads=store_reads)
        reply = await client.send(url, stated)
        assert reply is not None
        found.append(([update.table for update in reply.tables], reply.unsent_tables))
    await client.close()
    await server.close()
    sent: tuple[list[str], tuple[str, ...]] = ([ROUTES_TABLE], ())
    assert found == [sent, ([], (ROUTES_TABLE,)), ([], ()), sent]


def _update(table: str, size: int) -> TableUpdate:
    return TableUpdate(table, 2, False, [TableRow("row", bytes(size), 2)])


def test_large_updates_keep_to_their_share_of_the_link() -> None:
    """Guards against a budget that grows without bounds or is never used."""
    now_ms = 0.0
    bulk = BulkUpdates([ROUTES_TABLE], LINK_BYTES_PER_S, lambda: now_ms)
    size = 2 * LARGE_UPDATE_BYTES
    seconds = 60
    sent_bytes = 0
    while now_ms < seconds * 1000:
        divided = bulk.divide([_update(ROUTES_TABLE, size)], ())
        assert divided.unsent == (() if divided.sent else (ROUTES_TABLE,))
        sent_bytes += size * len(divided.sent)
        now_ms += 5
    allowed = BULK_SHARE * LINK_BYTES_PER_S * (seconds + BURST_S) + size
    assert 0.95 * allowed <= sent_bytes <= allowed


def test_small_and_urgent_updates_are_always_sent() -> None:
    """Guards against servers whose draining waits for a read, or is never told."""
    bulk = BulkUpdates([ROUTES_TABLE], 0.001, lambda: 0.0)
    large = _update(ROUTES_TABLE, LARGE_UPDATE_BYTES)
    small = _update(ROUTES_TABLE, LARGE_UPDATE_BYTES - 1)
    urgent = _update(SERVERS_TABLE, 100 * LARGE_UPDATE_BYTES)
    assert bulk.divide([large, urgent], None).sent == [large, urgent]
    divided = bulk.divide([large, small, urgent], ())
    assert (divided.sent, divided.unsent) == ([small, urgent], (ROUTES_TABLE,))
    reading = bulk.divide([large, urgent], (ROUTES_TABLE,))
    assert (reading.sent, reading.unsent) == ([urgent], ())


def test_small_rows_of_a_large_update_are_sent_early_once() -> None:
    """Guards against small rows that are sent again and again, or to older builds."""
    bulk = BulkUpdates([ROUTES_TABLE], 0.001, lambda: 0.0)
    bulk.divide([_update(ROUTES_TABLE, LARGE_UPDATE_BYTES)], None)
    rows = [
        TableRow("routes", bytes(LARGE_UPDATE_BYTES), 2),
        TableRow("evacuate/a", None, 3),
        TableRow("evacuate/b", b"{}", 5),
    ]
    update = TableUpdate(ROUTES_TABLE, 7, False, rows)
    for store_reads in ((), (ROUTES_TABLE,)):
        divided = bulk.divide([update], store_reads, {ROUTES_TABLE: 2})
        assert divided.early == [TableUpdate(ROUTES_TABLE, 5, False, rows[1:])]
        divided = bulk.divide([update], store_reads, {ROUTES_TABLE: 5})
        assert not divided.early and not divided.are_small_rows_withheld
        older = bulk.divide([update], store_reads)
        assert not older.early and older.are_small_rows_withheld
    many = [TableRow(f"evacuate/{n}", b"{}", 3) for n in range(100)]
    update = TableUpdate(ROUTES_TABLE, 7, False, [*rows, *many])
    divided = bulk.divide([update], (), {})
    assert not divided.early and divided.are_small_rows_withheld

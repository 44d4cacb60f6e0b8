"""Link between leader and followers: current data with few calls to the store.

Tests with a fleet run in virtual time.
"""

import asyncio
import random
from collections import Counter
from unittest.mock import patch

import msgspec
from returns.result import Result

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge import reporthandler
from mulberryrelay_edge.bulkupdates import BulkUpdates
from mulberryrelay_edge.keyload import KeyLoad
from mulberryrelay_edge.leaserow import LEADER_TABLE
from mulberryrelay_edge.linkhttp import LINK_PATH
from mulberryrelay_edge.messages import (
    KeyReport,
    RangeChange,
    RangeMapRow,
    RouterReport,
    ServiceTimeSum,
)
from mulberryrelay_edge.ownership import Ownership
from mulberryrelay_edge.rangeedits import (
    PlannedMove,
    Ranges,
    begin_moves,
    changed_ranges,
    complete_move,
    covers_all_keys,
    initial_assignment,
    merge_adjacent_ranges,
    patch_ranges,
    raise_all_fences,
)
from mulberryrelay_edge.reporthandler import ReportHandler
from mulberryrelay_edge.retrybudget import RetryBudget
from mulberryrelay_edge.tablefollower import StoreSync
from mulberryrelay_edge.tablemirror import TableMirror
from mulberryrelay_edge.tablestore import TableFailure, TableRead, TableRow
from mulberryrelay_edge.viewrefresh import LEADER_PERIOD_MS
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.states import ServerState
from standins.tables import TableClient

from .fixtures import async_test
from .fixtures.edgefleet import (
    LINK_BYTES_PER_S,
    LINK_DELAY_S,
    ROUTES_TABLE,
    SERVICE,
    Fleet,
    FleetRouter,
    backend,
    followers_of,
    route_table,
    start_settled_fleet,
)
from .fixtures.edgerouter import EdgeAdapter
from .fixtures.rawserver import HOST
from .fixtures.relays import link_client, link_server_to
from .fixtures.suspects import leaders_suspects

SEED = 20261204
RECONNECT_S = 3.0
"""Time in which the leader detects that the store responds again."""
IN_FORCE_S = 2.0
"""Time in which a new version of the routes is in force at every router."""
TAKEOVER_S = 4.0
"""Time from the loss of a leader until another router leads."""
SLOW_READ_S = 0.25
"""Time that a read of a large table takes over a narrow link."""
RETRY_SLACK = 600.0
"""Retries that all routers together may do in a window."""
EDITS = 200
"""Number of random edits in each randomised test."""


def put_routes(fleet: Fleet, version: int) -> None:
    """Write a version of the routes as an operator does."""
    value = msgspec.json.encode(route_table(version))
    fleet.tables.write(ROUTES_TABLE, "routes", value)


def drain(fleet: Fleet, number: int) -> None:
    """Register a server as draining."""
    leaving = fleet.servers.incarnations[number].entry
    fleet.register(msgspec.structs.replace(leaving, state=ServerState.DRAINING))


def test_moves_reach_all_routers_without_further_calls_to_the_store() -> None:
    """Guards against a call of each router to the store for each change."""

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        leader = fleet.leader
        assert leader is not None
        before = fleet.tables.calls
        started_ms = virtual_clock()
        seen_version = leader.ownership.version(SERVICE)
        drain(fleet, 0)
        for _ in range(100):
            await asyncio.sleep(0.02)
            version = leader.ownership.version(SERVICE)
            await asyncio.sleep(3 * LINK_DELAY_S)
            for router in followers_of(fleet):
                assert router.ownership.version(SERVICE) >= version
        assert leader.ownership.version(SERVICE) > seen_version
        # Two writes, renewals, and polls of two tables by the leader alone.
        refreshes = (virtual_clock() - started_ms) // LEADER_PERIOD_MS
        assert fleet.tables.calls - before <= 2 + 4 + 4 + refreshes
        fleet.stop()

    run_virtual(scenario())


def test_a_router_cut_off_from_the_leader_polls_the_store() -> None:
    """Guards against a router that waits for a leader it cannot reach."""

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        separated = followers_of(fleet)[0]
        separated.is_unreachable = True
        await asyncio.sleep(2.0)
        assert not separated.is_connected
        drain(fleet, 1)
        await asyncio.sleep(2.0)
        leader = fleet.leader
        assert leader is not None
        expected = leader.ownership.version(SERVICE)
        assert separated.ownership.version(SERVICE) == expected
        separated.is_unreachable = False
        await asyncio.sleep(2.0)
        assert separated.is_connected
        fleet.stop()

    run_virtual(scenario())


def test_changes_missed_by_a_lost_poll_are_read_later() -> None:
    """Guards against a poll of 10 s whose reply is lost with its connection."""

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        assert fleet.leader is not None
        for router_with_lost_poll in (followers_of(fleet)[0], fleet.leader):
            before = router_with_lost_poll.catalog.version
            router_with_lost_poll.store.is_partitioned = True
            put_routes(fleet, before + 1)
            await asyncio.sleep(0.01)
            router_with_lost_poll.store.is_partitioned = False
            await asyncio.sleep(RECONNECT_S + IN_FORCE_S)
            for router in fleet.routers:
                assert router.catalog.version == before + 1
        fleet.stop()

    run_virtual(scenario())


def test_followers_detect_an_outage_and_are_current_after_it() -> None:
    """Guards against removal of servers whose registrations expire in an outage.

    Long polls are waiting during the outage and do not detect it themselves.
    """

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        for router in fleet.routers:
            router.store.is_partitioned = True
        await asyncio.sleep(4.5)
        assert all(router.catalog.store_unreachable_ms > 0 for router in fleet.routers)
        expired = backend(3)
        fleet.unregister(expired)
        put_routes(fleet, 2)
        for router in fleet.routers:
            router.store.is_partitioned = False
        await asyncio.sleep(1.5)
        for router in fleet.routers:
            assert router.catalog.server(expired.server) is not None, router.name
        fleet.register(expired)
        await asyncio.sleep(3.0)
        assert all(router.catalog.version == 2 for router in fleet.routers)
        assert all(router.catalog.server(expired.server) for router in fleet.routers)
        fleet.stop()

    run_virtual(scenario())


def test_a_router_reads_a_table_once_after_an_outage() -> None:
    """Guards against narrow links that are full of repeated reads of a large table."""

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        for router in fleet.routers:
            router.store.is_refusing = True
        await asyncio.sleep(4.5)
        reads: Counter[tuple[TableClient, str]] = Counter()
        read = TableClient.read

        async def count_read(
            client: TableClient, table: str
        ) -> Result[TableRead, TableFailure]:
            reads[client, table] += 1
            await asyncio.sleep(SLOW_READ_S)
            return await read(client, table)

        put_routes(fleet, 2)
        for router in fleet.routers:
            router.store.is_refusing = False
        with patch.object(TableClient, "read", count_read):
            await asyncio.sleep(3.0)
        assert all(router.catalog.version == 2 for router in fleet.routers)
        for router in fleet.routers:
            assert reads[router.store, ROUTES_TABLE] <= 1, router.name
        fleet.stop()

    run_virtual(scenario())


def test_routers_find_a_new_leader_soon_after_the_old_one_left() -> None:
    """Guards against followers that keep reporting to a former leader."""

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        old = fleet.leader
        assert old is not None
        await old.lease.release()
        fleet.restart(old)
        await asyncio.sleep(2.0)
        assert all(router.is_connected for router in fleet.routers)
        assert fleet.leader is not None
        fleet.stop()

    run_virtual(scenario())


def test_only_the_leader_polls_the_store() -> None:
    """Guards against followers that poll the store as well."""

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        before = fleet.tables.calls
        await asyncio.sleep(10.0)
        # Renewals every 0.9 s, polls of 2 s of one table and of 10 s of another.
        refreshes = 10_000 // LEADER_PERIOD_MS
        assert fleet.tables.calls - before <= 12 + 6 + 2 + refreshes
        fleet.stop()

    run_virtual(scenario())


def test_few_routers_read_the_lease_of_a_lost_leader_before_it_expires() -> None:
    """Guards against many routers that read the lease again and again in vain."""

    async def scenario() -> None:
        fleet = await start_settled_fleet(routers=30)
        reads = 0
        read = TableClient.read

        async def count_read(
            client: TableClient, table: str
        ) -> Result[TableRead, TableFailure]:
            nonlocal reads
            reads += table == LEADER_TABLE
            return await read(client, table)

        leader = fleet.leader
        assert leader is not None
        with patch.object(TableClient, "read", count_read):
            fleet.restart(leader)
            await asyncio.sleep(TAKEOVER_S)
            assert fleet.leader is not None
            await asyncio.sleep(1.0)
        fleet.stop()
        # When the leader is missed, when its lease has expired, and one to spare.
        assert reads <= 3 * len(fleet.routers), reads

    run_virtual(scenario())


def test_shared_budgets_are_divided_among_all_routers() -> None:
    """Guards against more retries than all routers together may do in any window.

    Each of 200 routers retries as much as its budget allows: from the start, while
    another router takes over, and after all of them were killed and started again.
    """
    window_s, step_s = 10.0, 0.25
    window_steps = int(window_s / step_s)

    async def scenario() -> None:
        fleet = Fleet(1, routers=200)
        limited = msgspec.structs.replace(
            EdgeAdapter(fleet.tables).options,
            retry_ratio=0.0,
            retry_slack=RETRY_SLACK,
            retry_window_ms=window_s * 1000,
            min_routers=12,
        )

        def budget_of(router: FleetRouter) -> RetryBudget:
            return RetryBudget(
                lambda: limited, lambda: router.link.counted_routers, virtual_clock
            )

        permitted: list[int] = []
        by_boot_id: dict[str, RetryBudget] = {}
        for phase in (start, kill_leader, kill_all):
            phase(fleet)
            for router in fleet.routers:
                if router.boot_id not in by_boot_id:
                    by_boot_id[router.boot_id] = budget_of(router)
            budgets = [by_boot_id[router.boot_id] for router in fleet.routers]
            for _ in range(2 * window_steps):
                await asyncio.sleep(step_s)
                permitted.append(
                    sum(budget.try_consume(SERVICE) for budget in budgets for _ in "ab")
                )
        for first in range(len(permitted)):
            window = permitted[first : first + window_steps]
            assert sum(window) <= RETRY_SLACK, first
        assert sum(permitted) > RETRY_SLACK, "no budget at all"
        fleet.stop()

    def start(fleet: Fleet) -> None:
        pass

    def kill_leader(fleet: Fleet) -> None:
        assert fleet.leader is not None
        fleet.restart(fleet.leader)

    def kill_all(fleet: Fleet) -> None:
        for router in list(fleet.routers):
            fleet.restart(router)

    run_virtual(scenario())


def test_new_routes_reach_followers_of_a_leader_without_store_access() -> None:
    """Guards against followers that wait for a leader without access to the store."""

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        leader = fleet.leader
        assert leader is not None
        others = followers_of(fleet)
        leader.store.is_partitioned = True
        await asyncio.sleep(0.05)
        put_routes(fleet, 2)
        await asyncio.sleep(IN_FORCE_S)
        assert all(router.catalog.version == 2 for router in others)
        fleet.stop()

    run_virtual(scenario())


def test_deleted_rows_are_sent_to_a_router_with_any_earlier_version() -> None:
    """Guards against servers that a router keeps because it missed their deletion."""
    rng = random.Random(SEED)
    rows: dict[str, TableRow] = {}
    leader, other = TableMirror(), TableMirror()
    for version in range(1, EDITS):
        key = f"row-{rng.randrange(6)}"
        changed = TableRow(key, None if rng.random() < 0.4 else b"v", version)
        if changed.value is None:
            rows.pop(key, None)
        else:
            rows[key] = changed
        if rng.random() < 0.5:
            leader.apply(TableRead(list(rows.values()), version, 0.0), True)
        elif leader.version == version - 1:
            leader.apply(TableRead([changed], version, 0.0), False)
        if rng.random() < 0.3:
            update = leader.update_since("table", other.version)
            if update is not None:
                read = TableRead(update.rows, update.version, 0.0)
                other.apply(read, update.is_complete)
            received = other.update_since("table", 0)
            expected = leader.update_since("table", 0)
            assert received is not None and expected is not None
            assert sorted(r.key for r in received.rows) == sorted(
                r.key for r in expected.rows
            )


def _edited(ranges: Ranges, rng: random.Random) -> Ranges:
    moving = [key_range for key_range in ranges if key_range.is_moving]
    kind = rng.randrange(4)
    if kind == 0 and moving:
        return complete_move(rng.choice(moving))(ranges)
    if kind == 1:
        return merge_adjacent_ranges(2)(ranges)
    if kind == 2 and rng.random() < 0.2:
        return raise_all_fences(ranges)
    first = rng.randrange(65536)
    last = min(65535, first + rng.randrange(1, 9000))
    return begin_moves([PlannedMove(first, last, backend(rng.randrange(5)))])(ranges)


def test_range_changes_apply_to_any_earlier_version() -> None:
    """Guards against updates that leave ranges missing or overlapping."""
    rng = random.Random(SEED)
    versions = [initial_assignment([backend(number) for number in range(5)])]
    for _ in range(EDITS):
        versions.append(_edited(versions[-1], rng))
        assert covers_all_keys(versions[-1])
        base = rng.choice(versions[-6:])
        changed = changed_ranges(base, versions[-1])
        assert patch_ranges(base, changed) == versions[-1]


def test_range_changes_to_another_base_version_are_not_applied() -> None:
    """Guards against an update that is applied to another version than its base."""
    ownership = Ownership()
    ranges = initial_assignment([backend(1), backend(2)])
    encoded = msgspec.json.encode(RangeMapRow("a", ranges))
    ownership.apply_rows(TableRead([TableRow(SERVICE, encoded, 5)], 5, 0.0), False)
    moved = begin_moves([PlannedMove(0, 99, backend(2))])(ranges)
    changed = changed_ranges(ranges, moved)
    for base_version in (4, 6):
        ownership.apply_changes([RangeChange(SERVICE, 7, base_version, changed)])
        assert ownership.version(SERVICE) == 5
    ownership.apply_changes([RangeChange(SERVICE, 7, 0, changed)])
    assert ownership.version(SERVICE) == 5, "ranges with gaps"
    ownership.apply_changes([RangeChange(SERVICE, 7, 5, changed)])
    key_range = ownership.find(SERVICE, 50)
    assert key_range is not None and key_range.next_owner == backend(2).server
    ownership.apply_changes([RangeChange(SERVICE, 6, 0, ranges)])
    assert ownership.version(SERVICE) == 7, "an older version was applied"


@async_test
async def test_reports_are_sent_over_http_and_only_the_leader_replies() -> None:
    """Guards against reports lost in encoding and replies by a former leader."""
    load = KeyLoad(monotonic_ms)
    ownership = Ownership()
    ranges = initial_assignment([backend(1)])
    row = TableRow(SERVICE, msgspec.json.encode(RangeMapRow("a", ranges)), 3)
    ownership.apply_rows(TableRead([row], 3, 0.0), False)
    is_leader = True
    suspects = leaders_suspects(monotonic_ms)
    report_handler = ReportHandler(
        load,
        ownership,
        StoreSync(),
        suspects,
        lambda incarnation: None,
        lambda: is_leader,
        lambda: False,
        monotonic_ms,
        BulkUpdates([], LINK_BYTES_PER_S, monotonic_ms),
        monotonic_ms,
    )
    server = link_server_to(report_handler, suspects, monotonic_ms)
    key_report = KeyReport({SERVICE: [7, 7]}, {SERVICE: ServiceTimeSum(2, 240.0)})
    client = link_client()
    try:
        port = await server.start(HOST, 0)
        url = f"http://{HOST}:{port}{LINK_PATH}"
        reply = await client.send(
            url, RouterReport("a", key_report, {}, {}, True, 50.0)
        )
        assert reply is not None
        assert reply.ranges == [RangeChange(SERVICE, 3, 0, ranges)]
        assert load.sample(SERVICE).keys == [7, 7]
        assert load.sample(SERVICE).slots_per_key > 0
        current = RouterReport("a", KeyReport({}, {}), {SERVICE: 3}, {}, True, 50.0)
        reply = await client.send(url, current)
        assert reply is not None and reply.ranges == []
        assert reply.routers == 0, "not counted yet"
        report_handler.set_leading(True)
        with patch.object(reporthandler, "COUNT_SETTLE_MS", 0.0):
            reply = await client.send(url, current)
        assert reply is not None and reply.routers == 2, "a count of an earlier reply"
        is_leader = False
        assert await client.send(url, current) is None
        await server.close()
        assert await client.send(url, current) is None
    finally:
        await client.close()

"""A store that comes back from an older copy: it lost what it had acknowledged.

All tests run in virtual time.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Result

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge.lease import LeaderLease
from mulberryrelay_edge.leaserow import LEADER_TABLE, LEASE_KEY
from mulberryrelay_edge.messages import (
    LAST_KEY,
    KeyReport,
    LeaderRow,
    ServiceTimeSum,
)
from mulberryrelay_edge.ownership import Ownership
from mulberryrelay_edge.tablestore import (
    Committed,
    RowCondition,
    RowWrite,
    TableFailure,
)
from mulberryrelay_kernel.ids import InstanceId
from standins.tables import TableClient, Tables, TablesCopy

from .fixtures.edgefleet import SERVICE, Fleet, backend, start_settled_fleet
from .fixtures.followingcatalog import FollowingCatalog

IN_FORCE_S = 2.0
"""Time after its acknowledgement in which a change is in force."""
OUTAGE_S = 2.0
LOST_S = 9.0
"""Seconds before the outage whose writes are lost."""
HOT_KEYS = 3000
"""Keys from 0 that get all requests, so that their ranges keep moving."""
REPORTED_KEYS = 40
MAX_PAUSE_S = 2.0
"""Maximum time for which a key has no owner after a loss."""
SETTLE_S = 25.0
"""Time in which every key has one owner again, also without the earlier leader."""


def test_a_change_after_a_restore_is_in_force_in_time() -> None:
    """Guards against changes that are ignored since the store counts anew."""

    async def scenario() -> None:
        following = FollowingCatalog()
        following.put_routes(1)
        following.put_server(1)
        await asyncio.sleep(1.0)
        copy = following.tables.copy()
        for version in (2, 3, 4):
            following.put_routes(version)
        for number in range(2, 9):
            following.put_server(number)
        await asyncio.sleep(1.0)
        assert following.version == 4
        following.store.is_refusing = True
        await asyncio.sleep(OUTAGE_S)
        following.tables.restore(copy)
        following.store.is_refusing = False
        await asyncio.sleep(1.0)
        assert following.version == 4, "routes in force never go back"
        following.put_routes(4)
        following.put_server(9)
        following.put_routes(5)
        await asyncio.sleep(IN_FORCE_S)
        assert following.version == 5
        assert following.catalog.server(backend(9).server) is not None
        following.stop()

    run_virtual(scenario())


async def report_load(fleet: Fleet, seconds: float) -> None:
    """Let the leader see requests for a few hot keys, which change all the time."""
    end_ms = virtual_clock() + seconds * 1000
    while virtual_clock() < end_ms:
        start = int(virtual_clock()) * 7 % (LAST_KEY - HOT_KEYS)
        keys = [start + fleet.rng.randrange(HOT_KEYS) for _ in range(REPORTED_KEYS)]
        times = ServiceTimeSum(REPORTED_KEYS, REPORTED_KEYS * 90.0)
        if fleet.leader is not None:
            fleet.leader.load.add_report(KeyReport({SERVICE: keys}, {SERVICE: times}))
        await asyncio.sleep(0.2)


async def play_restore(
    seed: int, during_outage: Callable[[Fleet], None], outage_s: float = OUTAGE_S
) -> float:
    """Move keys, restore the store as it was ``LOST_S`` before, and go on.

    Returns the longest time in seconds for which a key had no owner.
    """
    fleet = await start_settled_fleet(seed)
    await report_load(fleet, 3.0)
    copy: TablesCopy = fleet.tables.copy()
    fleet.longest_pause_s = 0.0
    await report_load(fleet, LOST_S)
    for router in fleet.routers:
        router.store.is_refusing = True
    await report_load(fleet, outage_s / 2)
    during_outage(fleet)
    await report_load(fleet, outage_s / 2)
    fleet.tables.restore(copy)
    for router in fleet.routers:
        router.store.is_refusing = False
    await report_load(fleet, SETTLE_S)
    assert fleet.leader is not None, seed
    assert not fleet.servers.ungranted_share(), seed
    fleet.stop()
    return fleet.longest_pause_s


async def play_restore_while_waiting(seed: int) -> None:
    """Restore the store while a leader waits for lost grants, then kill the leader."""
    fleet = await start_settled_fleet(seed)
    await report_load(fleet, 3.0)
    copy = fleet.tables.copy()
    await report_load(fleet, LOST_S)
    kill_leader(fleet)
    fleet.tables.restore(copy)
    for router in fleet.routers:
        router.store.is_refusing = False
    await report_load(fleet, 4.5)
    fleet.tables.restore(fleet.tables.copy())
    await report_load(fleet, 1.0)
    fleet.restart(fleet.leader or fleet.routers[0])
    await report_load(fleet, SETTLE_S)
    assert not fleet.servers.ungranted_share(), seed
    fleet.stop()


def kill_leader(fleet: Fleet) -> None:
    """Restart the leader without any state."""
    leader = fleet.leader
    if leader is not None:
        fleet.restart(leader).store.is_refusing = True


def restart_all(fleet: Fleet) -> None:
    """Restart every router without any state."""
    for router in list(fleet.routers):
        fleet.restart(router).store.is_refusing = True


def test_no_key_has_two_owners_after_a_restore_that_the_leader_outlives() -> None:
    """Guards against a leader that takes old ranges for the newest ones."""
    for seed in range(1, 9):
        run_virtual(play_restore(seed, lambda fleet: None))


def test_no_key_has_two_owners_after_a_restore_without_the_leader() -> None:
    """Guards against a new leader that grants keys by ranges of an older copy."""
    for seed in range(1, 5):
        for during_outage in (kill_leader, restart_all):
            run_virtual(play_restore(seed, during_outage))
        run_virtual(play_restore(seed, lambda fleet: None, outage_s=5.0))


def test_keys_keep_an_owner_after_a_restore_without_the_leader() -> None:
    """Guards against a new leader that lets all grants expire before it renews any."""
    for seed in range(1, 5):
        pause_s = run_virtual(play_restore(seed, kill_leader))
        assert pause_s <= MAX_PAUSE_S, (seed, pause_s)


def test_no_key_has_two_owners_after_a_restore_during_the_wait_for_lost_grants() -> (
    None
):
    """Guards against outdated ranges that a leader writes again as current ones."""
    for seed in range(1, 5):
        run_virtual(play_restore_while_waiting(seed))


def test_a_lease_names_the_last_restore_when_it_is_held() -> None:
    """Guards against a leader whose lease others take for an outdated one.

    The store is restored between the read of the lease and its write, whose reply is
    lost.
    """

    async def scenario() -> None:
        tables = Tables()
        store = TableClient(tables, virtual_clock, random.Random(1))
        commit = store.commit

        async def restore_first(
            conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
        ) -> Result[Committed, TableFailure]:
            store.commit = commit  # type: ignore[method-assign]
            tables.restore(tables.copy())
            store.lost_share = 1.0
            result = await commit(conditions, writes)
            store.lost_share = 0.0
            return result

        store.commit = restore_first  # type: ignore[method-assign]
        lease = LeaderLease(
            store, Ownership(), InstanceId("router-1"), "boot-1", "url", virtual_clock
        )
        running = asyncio.ensure_future(lease.run())
        end_ms = virtual_clock() + 6000
        while virtual_clock() < end_ms:
            await asyncio.sleep(0.02)
            row = tables.rows.get((LEADER_TABLE, LEASE_KEY))
            if lease.is_valid and row is not None and row.value is not None:
                stored = msgspec.json.decode(row.value, type=LeaderRow)
                assert stored.restores == tables.restores, virtual_clock()
        assert lease.is_valid
        running.cancel()

    run_virtual(scenario())

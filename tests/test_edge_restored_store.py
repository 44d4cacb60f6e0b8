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
from mulberryrelay_edge.tablefollower import LONG_WAIT_MS
from mulberryrelay_edge.tablestore import (
    Committed,
    RowCondition,
    RowWrite,
    TableFailure,
)
from mulberryrelay_kernel.ids import InstanceId
from mulberryrelay_kernel.states import ServerState
from standins.keyedservers import WATCHED_KEYS
from standins.tables import TableClient, Tables, TablesCopy

from .fixtures.edgefleet import (
    REREGISTRATION_MS,
    SERVICE,
    Fleet,
    FleetRouter,
    backend,
    followers_of,
    start_settled_fleet,
)
from .fixtures.followingcatalog import FollowingCatalog
from .fixtures.relays import unused_reach

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
REMOVAL_S = 2.0
"""Time after which a server that drains, or whose entry came back, is removed."""
CUT_S = 0.5
UNSEEN_S = 14.0
"""Time in which also the grants of a silent server expire and its keys are moved."""
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


async def play_outage(
    fleet: Fleet,
    copy: TablesCopy,
    during_outage: Callable[[Fleet], None],
    outage_s: float,
) -> None:
    """Let the store be away for a time and come back as the copy."""
    for router in fleet.routers:
        router.store.is_refusing = True
    await report_load(fleet, outage_s / 2)
    during_outage(fleet)
    await report_load(fleet, outage_s / 2)
    fleet.tables.restore(copy)
    for router in fleet.routers:
        router.store.is_refusing = False


async def play_restore(
    seed: int, during_outage: Callable[[Fleet], None], outage_s: float = OUTAGE_S
) -> float:
    """Move keys, restore the store as it was ``LOST_S`` before, and go on.

    Returns the longest time in seconds for which a key had no owner.
    """
    fleet = await start_settled_fleet(seed)
    await report_load(fleet, 3.0)
    copy: TablesCopy = fleet.tables.copy()
    fleet.pauses_s.clear()
    await report_load(fleet, LOST_S)
    await play_outage(fleet, copy, during_outage, outage_s)
    await report_load(fleet, SETTLE_S)
    assert fleet.leader is not None, seed
    assert not fleet.servers.ungranted_share(), seed
    fleet.stop()
    return fleet.longest_pause_s


async def play_restore_after_a_removal(seed: int) -> float:
    """Restore the store without the leader, seconds after a server was removed.

    Returns the longest time in seconds for which a key had no owner.
    """
    fleet = await start_settled_fleet(seed)
    await report_load(fleet, 3.0)
    copy = fleet.tables.copy()
    leaving = msgspec.structs.replace(backend(1), state=ServerState.DRAINING)
    fleet.register(leaving)
    await report_load(fleet, REMOVAL_S)
    fleet.unregister(leaving)
    fleet.servers.incarnations[1].is_up = False
    await report_load(fleet, REMOVAL_S)
    await play_outage(fleet, copy, kill_leader, OUTAGE_S)
    await report_load(fleet, REMOVAL_S)
    fleet.unregister(leaving)
    fleet.pauses_s.clear()
    await report_load(fleet, SETTLE_S)
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


async def lead_alone_after_restore(
    fleet: Fleet, copy: TablesCopy, router: FleetRouter
) -> None:
    """Restore the store while only one router reaches it, which then leads."""
    for other in [r for r in fleet.routers if r is not router]:
        fleet.restart(other).store.is_refusing = True
    fleet.tables.restore(copy)
    router.is_unreachable = False
    router.store.is_refusing = False
    end_ms = virtual_clock() + SETTLE_S * 1000
    while fleet.leader is not router:
        assert virtual_clock() < end_ms
        await asyncio.sleep(0.1)
    await report_load(fleet, SETTLE_S)
    assert not fleet.servers.ungranted_share()


async def play_unseen_server(seed: int) -> None:
    """Let a router lead that was cut off while another server got keys."""
    fleet = await start_settled_fleet(seed)
    copy = fleet.tables.copy()
    router = followers_of(fleet)[0]
    router.is_unreachable = router.store.is_refusing = True
    # A poll that is already on its way still gets its reply.
    await report_load(fleet, LONG_WAIT_MS / 1000)
    unseen = fleet.start_server(backend(9))
    await report_load(fleet, LOST_S)
    assert unseen.grants, seed
    for other in fleet.routers:
        other.store.is_refusing = True
    # The leader grants keys for the maximum time while the store is away.
    await report_load(fleet, OUTAGE_S)
    await lead_alone_after_restore(fleet, copy, router)
    fleet.stop()


async def play_unseen_moves(
    seed: int, is_silent_during_moves: bool = False, is_silent_later: bool = False
) -> None:
    """Let a router lead that was cut off during an outage, after which keys moved.

    One server is silent to the leader that moves keys, or to the one after it.
    """
    fleet = await start_settled_fleet(seed)
    copy = fleet.tables.copy()
    for router in fleet.routers:
        router.store.is_refusing = True
    await report_load(fleet, OUTAGE_S / 2)
    cut_router = followers_of(fleet)[0]
    cut_router.is_unreachable = True
    for router in fleet.routers:
        router.store.is_refusing = router is cut_router
    server = fleet.servers.incarnations[1]
    server.is_unreachable = is_silent_during_moves
    await report_load(fleet, UNSEEN_S)
    server.is_unreachable = is_silent_later
    await lead_alone_after_restore(fleet, copy, cut_router)
    fleet.stop()


async def play_unseen_moves_to_an_unseen_server(
    seed: int, is_registered_again: bool
) -> None:
    """Let a router lead that was cut off while keys of a silent server moved.

    Some of them moved to a server that it has never seen. All servers reply to it.
    """
    fleet = await start_settled_fleet(seed)
    copy = fleet.tables.copy()
    router = followers_of(fleet)[0]
    router.is_unreachable = router.store.is_refusing = True
    # A poll that is already on its way still gets its reply.
    await report_load(fleet, LONG_WAIT_MS / 1000)
    unseen = fleet.start_server(backend(9))
    silent = fleet.servers.incarnations[1]
    silent.is_unreachable = True
    await report_load(fleet, UNSEEN_S)
    assert unseen.grants, seed
    for other in fleet.routers:
        other.store.is_refusing = True
    await report_load(fleet, OUTAGE_S)
    silent.is_unreachable = False
    if is_registered_again:
        loop = asyncio.get_running_loop()
        loop.call_later(REREGISTRATION_MS / 1000, fleet.register, unseen.entry)
    await lead_alone_after_restore(fleet, copy, router)
    fleet.stop()


async def cut_leader_off(fleet: Fleet) -> None:
    """Cut the leader off from the other routers and the store, and wait a moment."""
    assert fleet.leader is not None
    fleet.leader.is_unreachable = fleet.leader.store.is_refusing = True
    await report_load(fleet, CUT_S)


async def play_restore_after_a_cut(seed: int) -> float:
    """Cut the leader off from routers and store just before the store goes away.

    Returns the longest time in seconds for which a key had no owner.
    """
    fleet = await start_settled_fleet(seed)
    copy = fleet.tables.copy()
    await report_load(fleet, 3.0)
    await cut_leader_off(fleet)
    fleet.pauses_s.clear()
    await play_outage(fleet, copy, kill_leader, OUTAGE_S)
    await report_load(fleet, SETTLE_S)
    fleet.stop()
    return fleet.longest_pause_s


async def play_restore_after_a_restart(seed: int) -> float:
    """Restore the store without the leader, after a server restarted under its id.

    The leader is cut off before, so that it cannot tell which servers have left.
    Returns the longest time in seconds for which a key had no owner.
    """
    fleet = await start_settled_fleet(seed)
    copy = fleet.tables.copy()
    fleet.servers.incarnations[1].is_up = False
    restarted = fleet.start_server(backend(1, started_ms=9))
    await report_load(fleet, LOST_S)
    assert restarted.grants, seed
    await cut_leader_off(fleet)
    fleet.pauses_s.clear()
    await play_outage(fleet, copy, kill_leader, OUTAGE_S)
    await report_load(fleet, SETTLE_S)
    fleet.stop()
    return fleet.longest_pause_s


async def play_restore_with_a_silent_server(seed: int) -> float:
    """Let a server fall silent and lose the leader while the store is away.

    Returns the longest time in seconds for which a key of another server had no owner.
    """
    fleet = await start_settled_fleet(seed)
    copy = fleet.tables.copy()
    await report_load(fleet, 3.0)
    silent = fleet.servers.incarnations[1]

    def lose_server_and_leader(fleet: Fleet) -> None:
        silent.is_unreachable = True
        kill_leader(fleet)

    fleet.pauses_s.clear()
    await play_outage(fleet, copy, lose_server_and_leader, OUTAGE_S)
    own_keys = {key for key in WATCHED_KEYS if silent.has_grant(key)}
    await report_load(fleet, SETTLE_S)
    fleet.stop()
    return max(
        (pause_s for key, pause_s in fleet.pauses_s.items() if key not in own_keys),
        default=0.0,
    )


async def play_release_after_a_restore(seed: int) -> float:
    """Release the lease twice after a restore; a server is silent the second time.

    Returns the longest time in seconds for which a key had no owner before that.
    """
    fleet = await start_settled_fleet(seed)
    copy = fleet.tables.copy()
    await play_outage(fleet, copy, lambda fleet: None, OUTAGE_S)
    await report_load(fleet, SETTLE_S)
    fleet.pauses_s.clear()
    await release_lease(fleet)
    await report_load(fleet, SETTLE_S)
    pause_s = fleet.longest_pause_s
    fleet.servers.incarnations[1].is_unreachable = True
    await release_lease(fleet)
    await report_load(fleet, SETTLE_S)
    fleet.stop()
    return pause_s


async def release_lease(fleet: Fleet) -> None:
    """Let the leader release its lease, and start its router again."""
    leader = fleet.leader
    assert leader is not None
    await leader.lease.release()
    fleet.restart(leader)


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


def test_a_server_that_left_before_a_restore_delays_no_key() -> None:
    """Guards against a new leader that waits for the grants of servers that left."""
    for seed in range(1, 4):
        pause_s = run_virtual(play_restore_after_a_removal(seed))
        assert pause_s <= MAX_PAUSE_S, (seed, pause_s)


def test_a_restarted_server_keeps_its_keys_after_a_restore_without_the_leader() -> None:
    """Guards against a revocation for an earlier life that ends the present grants."""
    for seed in range(1, 4):
        pause_s = run_virtual(play_restore_after_a_restart(seed))
        assert pause_s <= MAX_PAUSE_S, (seed, pause_s)


def test_keys_keep_an_owner_if_the_leader_was_cut_off_before_the_outage() -> None:
    """Guards against a wait for lost grants where the known owners can be asked."""
    for seed in range(1, 4):
        pause_s = run_virtual(play_restore_after_a_cut(seed))
        assert pause_s <= MAX_PAUSE_S, (seed, pause_s)


def test_a_silent_server_delays_only_its_own_keys_after_a_restore() -> None:
    """Guards against a new leader that lets all keys wait for a server that is gone."""
    for seed in range(1, 4):
        pause_s = run_virtual(play_restore_with_a_silent_server(seed))
        assert pause_s <= MAX_PAUSE_S, (seed, pause_s)


def test_keys_of_a_server_unknown_to_the_new_leader_are_not_granted_twice() -> None:
    """Guards against a leader that revokes lost grants without knowing all servers."""
    for seed in range(1, 4):
        run_virtual(play_unseen_server(seed))


def test_keys_that_moved_unseen_by_the_new_leader_are_not_granted_twice() -> None:
    """Guards against a leader that renews grants of owners it knows from before."""
    for seed in range(1, 4):
        run_virtual(play_unseen_moves(seed))
        run_virtual(play_unseen_moves(seed, is_silent_during_moves=True))
        run_virtual(play_unseen_moves(seed, is_silent_later=True))


def test_keys_of_a_silent_server_that_moved_unseen_are_not_granted_twice() -> None:
    """Guards against owners that accept a renewal since they missed the release."""
    for seed in range(1, 4):
        for is_registered_again in (True, False):
            run_virtual(
                play_unseen_moves_to_an_unseen_server(seed, is_registered_again)
            )


def test_no_key_has_two_owners_after_a_lease_is_released_after_a_restore() -> None:
    """Guards against a released lease that counts as one of before a restore."""
    for seed in range(1, 4):
        pause_s = run_virtual(play_release_after_a_restore(seed))
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
            store,
            Ownership(),
            InstanceId("router-1"),
            "boot-1",
            "url",
            unused_reach(virtual_clock),
            virtual_clock,
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

"""Removal of servers that left, by each path on which a router learns of it.

A registration may also be missing because it expired during an outage of the store, in
which the server could not renew it. All tests run in virtual time.
"""

import asyncio

import msgspec

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge.messages import BackendServer
from mulberryrelay_edge.tablefollower import Role
from mulberryrelay_edge.tablestore import TableRead, TableRow
from mulberryrelay_kernel.states import ServerState

from .fixtures.edgefleet import (
    REREGISTRATION_MS,
    SERVERS_TABLE,
    SERVICE,
    Fleet,
    FleetRouter,
    backend,
    followers_of,
    start_settled_fleet,
)
from .fixtures.followingcatalog import FollowingCatalog

LEAVING_S = 2.0
"""Time after which a server whose registration was deleted gets no more requests."""
WATCHED_STEPS = 150
"""Steps of ``SHORT_S`` for which a server is watched after that time."""
SHORT_S = 0.01
"""Time in which a poll that is waiting ends after a change."""
TAKEOVER_S = 15.0
"""Time for another leader, and for the grants of a server that left to expire."""
CONTACT_S = 3.0
"""Time in which a router connects to the store again after an outage."""


def test_a_server_that_left_is_not_kept_because_the_leader_lost_the_store() -> None:
    """Guards against requests to a server that left more than 2 s ago.

    The leader loses the store, which answers all other routers, and a server is
    unregistered. There was no outage in which registrations could expire.
    """

    async def scenario() -> None:
        for pause_s in (0.0, 0.4, 0.8, 1.2, 1.6):
            fleet = await start_settled_fleet()
            leader = fleet.leader
            assert leader is not None
            others = followers_of(fleet)
            leader.store.is_partitioned = True
            await asyncio.sleep(pause_s)
            fleet.unregister(backend(3))
            await asyncio.sleep(LEAVING_S)
            for router in others:
                assert router.catalog.server(backend(3).server) is None, pause_s
            fleet.stop()

    run_virtual(scenario())


def test_an_owner_that_drains_unseen_by_the_leader_gets_no_late_requests() -> None:
    """Guards against a grace that starts when a router learns late of the draining.

    The leader loses the store, stands still or has lost its power around the time at
    which the owner of a key reports that it drains.
    """

    def lose_store(fleet: Fleet, leader: FleetRouter) -> None:
        leader.store.is_partitioned = True

    def stand_still(fleet: Fleet, leader: FleetRouter) -> None:
        leader.store.is_partitioned = True
        leader.is_unreachable = True

    def lose_power(fleet: Fleet, leader: FleetRouter) -> None:
        leader.kill()
        fleet.routers.remove(leader)

    async def scenario() -> None:
        for trouble in (lose_store, stand_still, lose_power):
            for pause_s in (-0.1, 0.0, 0.1, 0.3, 0.5, 0.7, 0.9):
                fleet = await start_settled_fleet(seed=round(10 * pause_s) + 2)
                leader = fleet.leader
                assert leader is not None
                others = followers_of(fleet)
                key_range = leader.ownership.find(SERVICE, 0)
                assert key_range is not None
                owner = leader.catalog.server(key_range.owner)
                assert owner is not None
                draining = msgspec.structs.replace(owner, state=ServerState.DRAINING)
                if pause_s >= 0:
                    trouble(fleet, leader)
                    await asyncio.sleep(pause_s)
                    fleet.register(draining)
                else:
                    fleet.register(draining)
                    trouble(fleet, leader)
                await asyncio.sleep(LEAVING_S)
                for _ in range(WATCHED_STEPS):
                    for router in others:
                        sent_to = owner_in_use(router, 0)
                        is_late = sent_to is not None and sent_to == draining
                        assert not is_late, (trouble.__name__, pause_s)
                    await asyncio.sleep(SHORT_S)
                fleet.stop()

    run_virtual(scenario())


def owner_in_use(router: FleetRouter, key: int) -> BackendServer | None:
    """Return the server to which a router sends requests for a key now."""
    key_range = router.ownership.find(SERVICE, key)
    if key_range is None or key_range.is_moving:
        return None
    owner = router.catalog.server(key_range.owner)
    if owner is None or not key_range.is_owned_by(owner):
        return None
    return None if router.catalog.is_drain_grace_over(owner) else owner


def test_a_server_that_left_is_removed_by_every_kind_of_full_read() -> None:
    """Guards against a grace period for removals that no outage precedes.

    The router reads the whole table because its role changed, because the store has
    dropped its history, or because a poll failed while other tables were read.
    """

    async def change_role(following: FollowingCatalog) -> None:
        following.store_sync.set_role(Role.FOLLOWER)
        following.tables.write(SERVERS_TABLE, backend(1).server, None)
        await asyncio.sleep(SHORT_S)
        following.store_sync.set_role(Role.STANDALONE)

    async def drop_history(following: FollowingCatalog) -> None:
        following.store.is_deaf = True
        following.tables.write(SERVERS_TABLE, backend(1).server, None)
        following.tables.compact()
        await asyncio.sleep(SHORT_S)
        following.store.is_deaf = False
        following.put_server(2)

    async def report_outage_of_leader(following: FollowingCatalog) -> None:
        following.store_sync.set_role(Role.FOLLOWER)
        following.tables.write(SERVERS_TABLE, backend(1).server, None)
        following.store_sync.set_reachable(False)
        following.store_sync.set_role(Role.STANDALONE)

    async def scenario() -> None:
        for cause in (change_role, drop_history, report_outage_of_leader):
            following = FollowingCatalog()
            following.put_server(1)
            following.put_server(2)
            await asyncio.sleep(1.0)
            assert len(following.catalog.servers(SERVICE)) == 2
            await cause(following)
            await asyncio.sleep(LEAVING_S)
            servers = [s.server for s in following.catalog.servers(SERVICE)]
            assert servers == [backend(2).server], cause.__name__
            following.stop()

    run_virtual(scenario())


def test_a_read_that_is_older_than_the_leaders_update_is_ignored() -> None:
    """Guards against a server that left and is in use again.

    A router reads all servers from a slow store. Before the reply arrives, the leader
    sends the deletion of one of them.
    """

    async def scenario() -> None:
        following = FollowingCatalog()
        for number in (1, 2):
            following.put_server(number)
        await asyncio.sleep(1.0)
        old_rows = [
            row
            for (table, _), row in following.tables.rows.items()
            if table == SERVERS_TABLE
        ]
        old_read = TableRead(old_rows, following.tables.version, virtual_clock())
        deletion = TableRow(backend(1).server, None, old_read.version + 1)
        newer = TableRead([deletion], deletion.version, virtual_clock())
        following.store_sync.apply_rows(SERVERS_TABLE, newer, False)
        following.store_sync.apply_rows(SERVERS_TABLE, old_read, True)
        servers = [s.server for s in following.catalog.servers(SERVICE)]
        assert servers == [backend(2).server]
        following.stop()

    run_virtual(scenario())


def test_a_restarted_router_does_not_use_what_left() -> None:
    """Guards against a server that left, or a key's former owner, used after a restart.

    The leader has lost the store, so that its copies are older than the store.
    """

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        leader = fleet.leader
        assert leader is not None
        follower = followers_of(fleet)[0]
        before = follower.ownership.find(SERVICE, 0)
        assert before is not None
        former_owner = before.owner
        leader.store.is_partitioned = True
        fleet.tables.write(SERVERS_TABLE, former_owner, None)
        restarted = fleet.restart(follower)
        await asyncio.sleep(LEAVING_S)
        assert restarted.catalog.server(former_owner) is None
        await asyncio.sleep(TAKEOVER_S)
        await fleet.settle()
        restarted = fleet.restart(restarted)
        await asyncio.sleep(LEAVING_S)
        after = restarted.ownership.find(SERVICE, 0)
        assert after is not None and after.owner != former_owner
        assert restarted.catalog.server(former_owner) is None
        fleet.stop()

    run_virtual(scenario())


def test_a_missing_server_gets_requests_only_if_no_other_can_serve() -> None:
    """Guards against requests to a server that may have left during an outage.

    The owner of a key stays known, since no other server may run its requests.
    """

    async def scenario() -> None:
        following = FollowingCatalog()
        for number in (1, 2):
            following.put_server(number)
        await asyncio.sleep(1.0)
        following.store.is_partitioned = True
        await asyncio.sleep(CONTACT_S)
        for number in (1, 2):
            following.tables.write(SERVERS_TABLE, backend(number).server, None)
        following.store.is_partitioned = False
        outage_ended_s = 0.0
        while following.catalog.store_unreachable_ms or not outage_ended_s:
            await asyncio.sleep(SHORT_S)
            outage_ended_s = virtual_clock() / 1000
        catalog = following.catalog
        assert len(catalog.serving(SERVICE)) == 2, "no other server of the service"
        following.put_server(2)
        await asyncio.sleep(0.5)
        assert [s.server for s in catalog.serving(SERVICE)] == [backend(2).server]
        assert catalog.server(backend(1).server) is not None
        await asyncio.sleep(REREGISTRATION_MS / 1000)
        assert catalog.server(backend(1).server) is None
        following.stop()

    run_virtual(scenario())


def test_a_leader_of_just_after_an_outage_informs_its_followers() -> None:
    """Guards against a leader that counts as not current for the rest of its term.

    Its followers would give draining owners of keys no time to serve on.
    """

    async def scenario(outage_s: float) -> None:
        fleet = await start_settled_fleet()
        for router in fleet.routers:
            router.store.is_partitioned = True
        await asyncio.sleep(outage_s)
        for router in fleet.routers:
            router.store.is_partitioned = False
        await asyncio.sleep(TAKEOVER_S)
        oldest_ms = virtual_clock() - CONTACT_S * 1000
        for router in followers_of(fleet):
            assert router.store_sync.informed_until_ms > oldest_ms, outage_s
        fleet.stop()

    for outage_s in (3.5, 4.0, 5.0, 6.0, 8.0):
        run_virtual(scenario(outage_s))

"""The leader lease when a router stops; in virtual time."""

import asyncio
import random

import msgspec

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge.lease import LEASE_MS, RELEASED_EXPIRES_MS, LeaderLease
from mulberryrelay_edge.leaserow import LEADER_TABLE, LEASE_KEY
from mulberryrelay_edge.messages import BackendServer, LeaderRow
from mulberryrelay_edge.ownership import Ownership
from mulberryrelay_edge.serverreach import ServerReach
from mulberryrelay_kernel.ids import InstanceId
from standins.tables import TableClient, Tables

from .fixtures.edgefleet import backend
from .fixtures.relays import unused_reach

SLOW_REPLY_S = 0.2
"""Delay of the replies of a slow store."""
VERY_SLOW_REPLY_S = 1.0
"""Delay of the replies of a store that is slower than a router detects lost links."""
STEP_S = 0.01


def stored_lease(tables: Tables) -> LeaderRow:
    """Return the lease in the store."""
    value = tables.rows[LEADER_TABLE, LEASE_KEY].value
    assert value is not None
    return msgspec.json.decode(value, type=LeaderRow)


def new_lease(store: TableClient, reach: ServerReach) -> LeaderLease:
    """Return the lease of a router that has just started."""
    return LeaderLease(
        store,
        Ownership(),
        InstanceId("router-1"),
        "boot-1",
        "url",
        reach,
        virtual_clock,
    )


async def begin_renewal(
    tables: Tables,
    store: TableClient,
    lease: LeaderLease,
    reply_delay_s: float,
    lost_share: float,
) -> None:
    """Return once a slow renewal is stored, before its reply arrives."""
    while not lease.is_valid:
        await asyncio.sleep(STEP_S)
    store.reply_delay_s = reply_delay_s
    store.lost_share = lost_share
    version = tables.version
    while tables.version == version:
        await asyncio.sleep(STEP_S)
    store.lost_share = 0.0


async def stop_during_renewal(lost_share: float) -> LeaderRow:
    """Release a lease while its renewal is on its way; return the stored lease."""
    tables = Tables()
    store = TableClient(tables, virtual_clock, random.Random(1))
    lease = new_lease(store, unused_reach(virtual_clock))
    running = asyncio.ensure_future(lease.run())
    await begin_renewal(tables, store, lease, SLOW_REPLY_S, lost_share)
    await lease.release()
    await running
    assert not lease.is_valid
    return stored_lease(tables)


def test_a_lease_is_released_while_its_renewal_is_on_its_way() -> None:
    """Guards against a takeover that waits for a lease whose holder has stopped."""
    for lost_share in (0.0, 1.0):
        stored = run_virtual(stop_during_renewal(lost_share))
        assert stored.expires_ms == RELEASED_EXPIRES_MS, lost_share


async def lose_links_during_renewal(lost_share: float) -> None:
    """Hand a lease over while its renewal is on its way."""

    async def reach_no_server(server: BackendServer) -> bool:
        return False

    tables = Tables()
    store = TableClient(tables, virtual_clock, random.Random(1))
    reach = ServerReach(lambda: [backend(0)], reach_no_server, virtual_clock)
    lease = new_lease(store, reach)
    tasks = [asyncio.ensure_future(lease.run()), asyncio.ensure_future(reach.run())]
    await begin_renewal(tables, store, lease, VERY_SLOW_REPLY_S, lost_share)
    reach.suspect()
    while not reach.is_cut_off:
        assert stored_lease(tables).expires_ms != RELEASED_EXPIRES_MS
        await asyncio.sleep(STEP_S)
    # The handover begins in the next turn of the event loop.
    await asyncio.sleep(STEP_S)
    end_ms = virtual_clock() + LEASE_MS
    while virtual_clock() < end_ms:
        assert not lease.is_valid, lost_share
        await asyncio.sleep(STEP_S)
    assert stored_lease(tables).expires_ms == RELEASED_EXPIRES_MS, lost_share
    for task in tasks:
        task.cancel()


def test_a_lease_handed_over_during_a_renewal_is_not_valid_any_more() -> None:
    """Guards against two leaders, as a renewal under way makes a lease valid again."""
    for lost_share in (0.0, 1.0):
        run_virtual(lose_links_during_renewal(lost_share))

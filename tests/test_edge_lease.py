"""The leader lease when a router stops; in virtual time."""

import asyncio
import random

import msgspec

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge.lease import RELEASED_EXPIRES_MS, LeaderLease
from mulberryrelay_edge.leaserow import LEADER_TABLE, LEASE_KEY
from mulberryrelay_edge.messages import LeaderRow
from mulberryrelay_edge.ownership import Ownership
from mulberryrelay_kernel.ids import InstanceId
from standins.tables import TableClient, Tables

from .fixtures.relays import unused_reach

SLOW_REPLY_S = 0.2
"""Delay of the replies of a slow store."""
STEP_S = 0.01


def stored_lease(tables: Tables) -> LeaderRow:
    """Return the lease in the store."""
    value = tables.rows[LEADER_TABLE, LEASE_KEY].value
    assert value is not None
    return msgspec.json.decode(value, type=LeaderRow)


async def stop_during_renewal(lost_share: float) -> LeaderRow:
    """Release a lease while its renewal is on its way; return the stored lease."""
    tables = Tables()
    store = TableClient(tables, virtual_clock, random.Random(1))
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
    while not lease.is_valid:
        await asyncio.sleep(STEP_S)
    store.reply_delay_s = SLOW_REPLY_S
    store.lost_share = lost_share
    version = tables.version
    while tables.version == version:
        await asyncio.sleep(STEP_S)
    store.lost_share = 0.0
    await lease.release()
    await running
    assert not lease.is_valid
    return stored_lease(tables)


def test_a_lease_is_released_while_its_renewal_is_on_its_way() -> None:
    """Guards against a takeover that waits for a lease whose holder has stopped."""
    for lost_share in (0.0, 1.0):
        stored = run_virtual(stop_during_renewal(lost_share))
        assert stored.expires_ms == RELEASED_EXPIRES_MS, lost_share

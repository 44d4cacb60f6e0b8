"""The leader lease while the store's clock runs faster than those of the routers.

It runs in virtual time.
"""

import asyncio

from bench.virtual_time import virtual_clock

from .fixtures.edgefleet import Fleet
from .test_edge_ownership import LEASE_S, leader_of, run_scenario

CLOCK_RATE = 1.005
"""Rate of the store's clock."""
TERM_S = 160.0
"""Length of a term in which the clocks come to differ by 0.8 s."""
POLL_S = 0.02
"""Period in which a scenario looks at the leaders."""


def store_clock() -> float:
    """Return the time on the store's clock."""
    return virtual_clock() * CLOCK_RATE


def test_a_lease_ends_in_time_although_the_clock_of_the_store_is_faster() -> None:
    """Guards against a clock offset of the start of a long term."""

    async def scenario(fleet: Fleet) -> None:
        for router in fleet.routers:
            router.store.clock = store_clock
        old = leader_of(fleet)
        await asyncio.sleep(TERM_S)
        assert leader_of(fleet) is old
        old.store.is_partitioned = True
        old.is_unreachable = True
        for _ in range(round(2 * LEASE_S / POLL_S)):
            await asyncio.sleep(POLL_S)
            for router in fleet.routers:
                router.lease.check_soon()
            holders = [router for router in fleet.routers if router.lease.is_valid]
            assert len(holders) < 2, "two routers hold the lease"
        assert leader_of(fleet) is not old

    run_scenario(scenario)

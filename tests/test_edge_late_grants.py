"""Grants that are written or arrive late: the key must not get a second owner.

They run in virtual time; ``Fleet.stop`` fails if a key was ever granted to two servers.
"""

import asyncio

from .fixtures.edgefleet import Fleet, backend
from .test_edge_ownership import LEASE_S, leader_of, run_scenario

LINK_DELAYS_S = (0.5, 0.8, 1.2, 1.9)
"""Times for which commands wait in the queue of the leader's link."""
SILENT_S = 15.0
"""Time for which a server stays silent; all its grants expire in it."""
DECIDED_S = 0.9
"""Time in which each grant is due for a renewal."""
RESTART_S = 1.05
"""Time that a server takes to start again."""


def test_keys_whose_grant_travels_late_get_no_second_owner() -> None:
    """Guards against an expiry that counts from before a grant can have arrived."""
    for delay_s in LINK_DELAYS_S:

        async def scenario(fleet: Fleet, delay_s: float = delay_s) -> None:
            silent = fleet.servers.incarnations[0]
            leader_of(fleet).commands.hold_link(delay_s)
            await asyncio.sleep(delay_s)
            silent.is_unreachable = True
            await asyncio.sleep(SILENT_S)
            silent.is_unreachable = False
            await fleet.settle()

        run_scenario(scenario)


def test_keys_whose_grant_travels_late_get_no_second_owner_from_the_next_leader() -> (
    None
):
    """Guards against a listed expiry that counts from before a grant arrived."""
    for delay_s in LINK_DELAYS_S:

        async def scenario(fleet: Fleet, delay_s: float = delay_s) -> None:
            silent = fleet.servers.incarnations[0]
            leader = leader_of(fleet)
            leader.commands.hold_link(delay_s)
            await asyncio.sleep(delay_s)
            silent.is_unreachable = True
            await asyncio.sleep(LEASE_S)
            fleet.restart(leader)
            await asyncio.sleep(SILENT_S)
            silent.is_unreachable = False
            await fleet.settle()

        run_scenario(scenario)


def test_a_grant_is_not_written_after_the_lease_has_ended() -> None:
    """Guards against a leader that stands still between its check and the write."""

    async def scenario(fleet: Fleet) -> None:
        old = leader_of(fleet)
        old.store.is_partitioned = True
        await asyncio.sleep(LEASE_S / 2)
        old.commands.write_delay_s = 2 * LEASE_S
        # The next leader must not reach the server, whose grant it would renew.
        await asyncio.sleep(LEASE_S / 6)
        fleet.servers.incarnations[0].is_unreachable = True
        await asyncio.sleep(SILENT_S)
        fleet.servers.incarnations[0].is_unreachable = False
        await fleet.settle()

    run_scenario(scenario)


def test_a_grant_is_not_written_long_after_it_was_decided() -> None:
    """Guards against a renewal that reaches the next life of a server."""

    async def scenario(fleet: Fleet) -> None:
        leader = leader_of(fleet)
        first = fleet.servers.incarnations[0]
        leader.commands.write_delay_s = LEASE_S / 2
        await asyncio.sleep(DECIDED_S)
        first.is_up = False
        await asyncio.sleep(RESTART_S)
        restarted = backend(0, started_ms=1)
        fleet.servers.start(restarted)
        leader.commands.write_delay_s = 0.0
        await asyncio.sleep(LEASE_S / 2)
        fleet.register(restarted)
        await asyncio.sleep(LEASE_S)
        await fleet.settle()

    run_scenario(scenario)

"""Grants that arrive late although other servers reply, or the lease ends meanwhile.

They run in virtual time; ``Fleet.stop`` fails if a key was ever granted to two servers.
"""

import asyncio

from returns.result import Failure, Result

from bench.virtual_time import virtual_clock
from mulberryrelay_edge.adapter import CommandFailure, CommandNotSent, MayWrite
from mulberryrelay_edge.grantexpiries import MAX_TRAVEL_MS, GrantExpiries
from mulberryrelay_edge.messages import BackendServer
from mulberryrelay_kernel.ids import ServerId

from .fixtures.edgefleet import Fleet
from .test_edge_late_grants import LINK_DELAYS_S, SILENT_S
from .test_edge_ownership import LEASE_S, leader_of, run_scenario

START_S = (0.0, 0.2, 0.4, 0.6)
"""Times within a renewal period at which a server's link begins to hold commands."""
LAST_GRANTS_S = 1.0
"""Time before the end of the lease from which on grants are held up."""
LATE_RENEWAL_S = 0.9
"""Time in which the store refuses renewals, so that grants get the maximum TTL."""
RENEWALS_S = 0.45
"""Time in which each of these grants is renewed once."""
POLL_S = 0.02
"""Period in which a scenario looks at the clock."""


def test_a_grant_in_the_queue_of_its_server_gives_a_key_no_second_owner() -> None:
    """Guards against replies of other servers that settle a grant on its way."""
    for delay_s in LINK_DELAYS_S:
        for start_s in START_S:

            async def scenario(
                fleet: Fleet, delay_s: float = delay_s, start_s: float = start_s
            ) -> None:
                slow = fleet.servers.incarnations[0]
                await asyncio.sleep(start_s)
                leader_of(fleet).commands.hold_server(slow.entry.server, delay_s)
                await asyncio.sleep(delay_s)
                slow.is_unreachable = True
                await asyncio.sleep(SILENT_S)
                slow.is_unreachable = False
                await fleet.settle()

            run_scenario(scenario)


def test_a_grant_on_its_way_at_the_end_of_the_lease_gives_no_second_owner() -> None:
    """Guards against an expiry of unlisted servers that counts from the lease's end."""
    for delay_s in LINK_DELAYS_S:

        async def scenario(fleet: Fleet, delay_s: float = delay_s) -> None:
            slow = fleet.servers.incarnations[0]
            leader = leader_of(fleet)
            for router in fleet.routers:
                router.store.is_partitioned = True
            lease_end_ms = leader.lease.stored_ms + LEASE_S * 1000
            while virtual_clock() < lease_end_ms - LAST_GRANTS_S * 1000:
                await asyncio.sleep(POLL_S)
            leader.commands.hold_server(slow.entry.server, delay_s)
            await asyncio.sleep(max(delay_s, LAST_GRANTS_S))
            slow.is_unreachable = True
            fleet.restart(leader)
            for router in fleet.routers:
                router.store.is_partitioned = False
            await asyncio.sleep(SILENT_S)
            slow.is_unreachable = False
            await fleet.settle()

        run_scenario(scenario)


def test_a_grant_on_its_way_when_the_lease_is_released_gives_no_second_owner() -> None:
    """Guards against an expiry of unlisted servers that counts from a release."""
    for delay_s in LINK_DELAYS_S:

        async def scenario(fleet: Fleet, delay_s: float = delay_s) -> None:
            slow = fleet.servers.incarnations[0]
            leader = leader_of(fleet)
            leader.store.is_refusing = True
            await asyncio.sleep(LATE_RENEWAL_S)
            leader.commands.hold_server(slow.entry.server, delay_s)
            await asyncio.sleep(RENEWALS_S)
            slow.is_unreachable = True
            leader.store.is_refusing = False
            await leader.lease.release()
            await asyncio.sleep(SILENT_S)
            slow.is_unreachable = False
            await fleet.settle()

        run_scenario(scenario)


def test_a_wait_for_grants_of_a_server_that_is_gone_ends() -> None:
    """Guards against keys without an owner for the rest of the term."""
    now_ms = 0.0
    expiries = GrantExpiries({}, 0.0, lambda: now_ms)
    gone = (ServerId("server-1"), 0)
    grant = expiries.begin(gone, 1000.0)
    grant.record_write()
    latest_ms = expiries.begun_so_far(gone)
    expiries.end_all(gone)
    expiries.end(gone, grant)
    now_ms += MAX_TRAVEL_MS + 60_000.0
    assert latest_ms() <= now_ms, latest_ms()


def test_a_release_that_was_not_written_is_sent_again() -> None:
    """Guards against an owner that was told no higher fence and takes a late grant."""

    async def scenario(fleet: Fleet) -> None:
        silent = fleet.servers.incarnations[0]
        commands = leader_of(fleet).commands
        send = commands.release
        sent: dict[int, int] = {}

        async def release(
            server: BackendServer,
            first: int,
            last: int,
            fence: int,
            may_write: MayWrite,
        ) -> Result[str | None, CommandFailure]:
            if server.server != silent.entry.server:
                return await send(server, first, last, fence, may_write)
            sent[first] = sent.get(first, 0) + 1
            if sent[first] == 1:
                return Failure(CommandNotSent("the lease is not valid"))
            return await send(server, first, last, fence, may_write)

        commands.release = release  # type: ignore[method-assign]
        silent.is_unreachable = True
        await asyncio.sleep(SILENT_S)
        await fleet.settle()
        assert sent and min(sent.values()) > 1, sent

    run_scenario(scenario)

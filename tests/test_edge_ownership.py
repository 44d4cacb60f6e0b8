"""Ownership of keys under faults: never two owners, and a new owner within a bound.

Servers and tables are in-memory stand-ins that check fencing tokens and lose or delay
commands and writes. Tests run in virtual time; ``Fleet.stop`` fails if a key was ever
granted to two servers at once.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import patch

import msgspec

from bench.virtual_time import run_virtual
from mulberryrelay_edge.grantexpiries import GrantExpiries
from mulberryrelay_edge.lease import LeaderLease
from mulberryrelay_edge.unreachableservers import Incarnation, UnreachableServers
from mulberryrelay_kernel.states import ServerState
from standins.keyedservers import Connections

from .fixtures.edgefleet import MAX_GRANT_TTL_MS, Fleet, FleetRouter, backend

SEEDS = range(12)
FAULT_SEEDS = range(30)
UNREACHABLE_S = 8.5
"""Bound for the keys of an unreachable server to get another owner.

It covers a renewal period of 0.8 s, the longest way of the last renewal (2 s), a grant
TTL of 5 s on a clock that is 2% slow, and two commands.
"""
SHORT_RESTART_S = 0.05
"""Time in which a server is back so soon that no command is sent to it meanwhile."""
LEASE_S = 3.0
"""TTL of the leader lease."""

NO_COMMANDS_S = 0.15
"""Time for which a live server answers commands like one without keys."""

FAULT_KINDS = (
    "kill",
    "kill_all",
    "partition",
    "link",
    "store",
    "late",
    "lost",
    "unreachable",
    "crash",
    "restart",
    "drain",
    "held_link",
    "slow_write",
)
HELD_LINK_S = (0.3, 2.0)
"""Bounds of the time for which commands wait in the queue of a router's link."""
RESTART_S = (SHORT_RESTART_S, 0.9)
"""Bounds of the time in which a server is back under its id and address."""
REGISTER_S = (0.05, 2.0)
"""Bounds of the time after which such a server registers itself."""
SLOW_WRITE_S = (0.4, 4.0)
"""Bounds of the time for which a router stands still before it writes a command."""

Scenario = Callable[[Fleet], Awaitable[None]]


def run_scenario(scenario: Scenario, seed: int = 1) -> None:
    """Run a scenario on a fleet in which every key is granted to a server."""

    async def run() -> None:
        fleet = Fleet(seed)
        await fleet.settle()
        await scenario(fleet)
        fleet.stop()

    run_virtual(run())


def leader_of(fleet: Fleet) -> FleetRouter:
    """Return the leader; fail if there is none."""
    leader = fleet.leader
    assert leader is not None
    return leader


def test_keys_stay_granted_when_the_leader_is_killed() -> None:
    """Guards against grants that expire before the next leader renews them."""

    async def scenario(fleet: Fleet) -> None:
        fleet.restart(leader_of(fleet))
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert fleet.servers.ungranted_share() == 0
        leader_of(fleet)

    run_scenario(scenario)


def test_a_server_that_knows_no_commands_for_a_moment_keeps_its_keys() -> None:
    """Guards against a second owner after a status that a live server gave once."""

    async def scenario(fleet: Fleet) -> None:
        server = fleet.servers.incarnations[0]
        for _ in range(20):
            server.knows_no_commands = True
            await asyncio.sleep(NO_COMMANDS_S)
            server.knows_no_commands = False
            await asyncio.sleep(1.0)
            assert not fleet.servers.overlaps()
            assert fleet.servers.ungranted_share() == 0
            assert server.grants, "the server has lost its keys"

    run_scenario(scenario)


def test_a_server_without_commands_loses_its_keys() -> None:
    """Guards against keys that wait for a server that another one has replaced."""

    async def scenario(fleet: Fleet) -> None:
        replaced = fleet.servers.incarnations[0]
        replaced.knows_no_commands = True
        replaced.grants.clear()
        await asyncio.sleep(LEASE_S)
        assert fleet.servers.ungranted_share() == 0

    run_scenario(scenario)


def test_keys_stay_granted_when_the_leader_is_cut_off_from_the_store() -> None:
    """Guards against grants that expire during the takeover from a cut-off leader."""

    async def scenario(fleet: Fleet) -> None:
        old = leader_of(fleet)
        old.store.is_partitioned = True
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert fleet.servers.ungranted_share() == 0
        assert leader_of(fleet) is not old

    run_scenario(scenario)


def test_keys_stay_granted_through_an_outage_of_the_store_of_8_seconds() -> None:
    """Guards against grants that expire while no router can renew the lease."""

    async def scenario(fleet: Fleet) -> None:
        for router in fleet.routers:
            router.store.is_partitioned = True
        for _ in range(80):
            await asyncio.sleep(0.1)
            assert fleet.servers.ungranted_share() == 0
        for router in fleet.routers:
            router.store.is_partitioned = False
        await asyncio.sleep(LEASE_S)
        assert await fleet.settle() == 0

    run_scenario(scenario)


def test_keys_of_a_draining_server_move_without_delay() -> None:
    """Guards against a wait for the grants of an owner that releases its keys."""

    async def scenario(fleet: Fleet) -> None:
        leaving = fleet.servers.incarnations[0]
        draining = msgspec.structs.replace(leaving.entry, state=ServerState.DRAINING)
        fleet.register(draining)
        await asyncio.sleep(1.0)
        assert fleet.servers.ungranted_share() == 0
        assert not leaving.grants

    run_scenario(scenario)


def test_keys_of_an_unreachable_server_wait_for_its_grant_and_no_longer() -> None:
    """Guards against a wait longer than the grant TTL of an unreachable server."""

    async def scenario(fleet: Fleet) -> None:
        unreachable = fleet.servers.incarnations[0]
        unreachable.is_unreachable = True
        await asyncio.sleep(1.0)
        fleet.unregister(unreachable.entry)
        await asyncio.sleep(UNREACHABLE_S - 1.0)
        assert fleet.servers.ungranted_share() == 0
        assert not any(server.has_grant(0) for server in [unreachable])

    run_scenario(scenario)


def test_a_server_restarted_under_its_id_gets_keys_with_higher_fences() -> None:
    """Guards against a restarted server that is treated as its old incarnation."""

    async def scenario(fleet: Fleet) -> None:
        first = fleet.servers.incarnations[0]
        first.is_up = False
        restarted = backend(0, started_ms=1)
        fleet.start_server(restarted)
        took_s = await fleet.settle()
        assert took_s < 2.0, took_s

    run_scenario(scenario)


def test_a_server_replaced_at_its_address_gets_no_old_fence() -> None:
    """Guards against a renewal that reaches a different server at the same address."""

    async def scenario(fleet: Fleet) -> None:
        first = fleet.servers.incarnations[0]
        first.is_up = False
        other = backend(8, port=first.entry.port)
        fleet.servers.start(other)
        fleet.restart(leader_of(fleet))
        await asyncio.sleep(5.0)
        fleet.unregister(first.entry)
        fleet.register(other)
        await asyncio.sleep(5.0)
        await fleet.settle()

    run_scenario(scenario)


def test_a_server_restarted_unnoticed_gets_no_old_fence() -> None:
    """Guards against reused fencing tokens if the restart is not registered.

    The restarted server has the same id and start time as before in the store.
    """

    async def scenario(fleet: Fleet) -> None:
        first = fleet.servers.incarnations[0]
        first.is_up = False
        await asyncio.sleep(1.5)
        fleet.servers.start(first.entry)
        await asyncio.sleep(1.0)
        fleet.restart(leader_of(fleet))
        await asyncio.sleep(5.0)
        await fleet.settle()

    run_scenario(scenario)


def test_a_server_that_is_back_within_a_second_gets_no_old_fence() -> None:
    """Guards against a renewal at an old fence to the next life of a server.

    Nothing was sent to its address in between, and its entry has not changed.
    """

    async def scenario(fleet: Fleet) -> None:
        for after_s in (0.1, 0.3, 0.5, 0.7):
            first = fleet.servers.incarnations[0]
            first.is_up = False
            await asyncio.sleep(SHORT_RESTART_S)
            fleet.servers.incarnations[0] = fleet.servers.start(first.entry)
            await asyncio.sleep(5.0 + after_s)
            await fleet.settle()

    run_scenario(scenario)


def test_all_routers_killed_during_a_move_finish_it_after_their_return() -> None:
    """Guards against a stored move that no later leader completes."""

    async def scenario(fleet: Fleet) -> None:
        leaving = fleet.servers.incarnations[0]
        draining = msgspec.structs.replace(leaving.entry, state=ServerState.DRAINING)
        fleet.register(draining)
        # The planned move is stored and the release is in progress.
        await asyncio.sleep(0.43)
        for router in list(fleet.routers):
            fleet.restart(router)
        await fleet.settle()
        await asyncio.sleep(2.0)
        assert not leaving.grants

    run_scenario(scenario)


def test_a_joining_server_gets_keys_once_there_is_load() -> None:
    """Guards against a new server that rebalancing leaves without keys."""

    async def scenario(fleet: Fleet) -> None:
        joined = fleet.start_server(backend(9))
        rng = random.Random(5)
        for _ in range(40):
            await asyncio.sleep(0.1)
            load = leader_of(fleet).load
            load.record_service_time(joined.entry.service, 300.0)
            for _ in range(10):
                load._add(joined.entry.service, rng.randrange(65536))
        assert joined.grants

    run_scenario(scenario)


def test_a_leader_that_renews_slowly_goes_on_leading() -> None:
    """Guards against the end of a term because the lease expires between renewals."""

    async def scenario(fleet: Fleet) -> None:
        # Renewals take so long that the lease expires in between.
        for router in fleet.routers:
            router.store.reply_delay_s = 0.9
        await asyncio.sleep(8.0)
        for router in fleet.routers:
            router.store.reply_delay_s = 0.004
        await asyncio.sleep(5.0)
        assert await fleet.settle() == 0
        leader_of(fleet)

    run_scenario(scenario)


def test_servers_missing_after_an_outage_keep_their_keys_until_they_are_back() -> None:
    """Guards against moves away from running servers whose registrations expired."""

    async def scenario(fleet: Fleet) -> None:
        incarnations = list(fleet.servers.incarnations)
        for router in fleet.routers:
            router.store.is_partitioned = True
        await asyncio.sleep(5.0)
        for incarnation in incarnations:
            fleet.unregister(incarnation.entry)
        fleet.tables.compact()
        for router in fleet.routers:
            router.store.is_partitioned = False
        await asyncio.sleep(1.5)
        for incarnation in incarnations:
            fleet.register(incarnation.entry)
        await asyncio.sleep(3.0)
        assert await fleet.settle() == 0
        assert all(incarnation.grants for incarnation in incarnations)

    run_scenario(scenario)


def test_keys_of_a_server_lost_in_an_outage_wait_no_longer_than_its_grant() -> None:
    """Guards against a next leader that counts grants from the end of the outage."""

    async def scenario(fleet: Fleet) -> None:
        lost = fleet.servers.incarnations[0]
        for router in fleet.routers:
            router.store.is_partitioned = True
        await asyncio.sleep(3.5)
        # The lease has expired, so no more commands are sent.
        lost.is_unreachable = True
        fleet.unregister(lost.entry)
        await asyncio.sleep(8.0 - 3.5)
        for router in fleet.routers:
            router.store.is_partitioned = False
        await asyncio.sleep(LEASE_S + MAX_GRANT_TTL_MS * 1.02 / 1000 - 8.0 + 1.5)
        assert fleet.servers.ungranted_share() == 0
        assert not lost.has_grant(0)

    run_scenario(scenario)


def test_keys_of_a_lost_server_do_not_wait_again_for_the_next_leader() -> None:
    """Guards against another wait for the maximum grant TTL under each new leader."""

    async def scenario(fleet: Fleet) -> None:
        lost = fleet.servers.incarnations[0]
        lost.is_unreachable = True
        fleet.unregister(lost.entry)
        await asyncio.sleep(3.0)
        # The leader has detected the loss and renewed its lease. A router can take over
        # only when that lease has expired.
        for router in list(fleet.routers):
            fleet.restart(router)
        await asyncio.sleep(LEASE_S + 1.5)
        assert fleet.servers.ungranted_share() == 0

    run_scenario(scenario)


def test_a_server_that_answers_again_is_granted_keys_and_no_longer_listed() -> None:
    """Guards against a later grant that outlasts the expiry listed in the lease."""

    async def scenario(fleet: Fleet) -> None:
        server = fleet.servers.incarnations[0]
        for _ in range(3):
            server.is_unreachable = True
            await asyncio.sleep(2.5)
            server.is_unreachable = False
            await asyncio.sleep(1.5)
            assert server.grants
            fleet.restart(leader_of(fleet))
            await asyncio.sleep(8.0)
        await fleet.settle()

    run_scenario(scenario)


async def _inject_fault(fleet: Fleet, rng: random.Random, started_ms: int) -> None:
    """Inject one random fault, which may last longer than this call."""
    kind = rng.choice(FAULT_KINDS)
    leader = fleet.leader
    victims = [leader] if leader and rng.random() < 0.7 else fleet.routers
    router = rng.choice(victims)
    alive = [
        incarnation for incarnation in fleet.servers.incarnations if incarnation.is_up
    ]
    incarnation = rng.choice(alive)
    loop = asyncio.get_running_loop()
    until_s = rng.uniform(1.0, 8.0)

    def schedule_end(action: Callable[[], object]) -> None:
        loop.call_later(until_s, action)

    if kind == "kill":
        fleet.restart(router)
    if kind == "kill_all":
        for each in list(fleet.routers):
            fleet.restart(each)
    if kind == "partition":
        router.store.is_partitioned = True
        schedule_end(lambda: setattr(router.store, "is_partitioned", False))
    if kind == "link":
        router.is_unreachable = True
        schedule_end(lambda: setattr(router, "is_unreachable", False))
    if kind == "store":
        for each in fleet.routers:
            each.store.is_refusing = True
            schedule_end(lambda each=each: setattr(each.store, "is_refusing", False))  # type: ignore[misc]
    if kind == "late":
        for each in fleet.routers:
            each.commands.late_share = each.store.late_share = 0.3
            schedule_end(lambda each=each: setattr(each.commands, "late_share", 0.0))  # type: ignore[misc]
            schedule_end(lambda each=each: setattr(each.store, "late_share", 0.0))  # type: ignore[misc]
    if kind == "lost":
        for each in fleet.routers:
            each.commands.lost_share = each.store.lost_share = 0.3
            schedule_end(lambda each=each: setattr(each.commands, "lost_share", 0.0))  # type: ignore[misc]
            schedule_end(lambda each=each: setattr(each.store, "lost_share", 0.0))  # type: ignore[misc]
    if kind == "unreachable":
        incarnation.is_unreachable = True
        fleet.unregister(incarnation.entry)

        def reconnect() -> None:
            incarnation.is_unreachable = False
            if incarnation.is_up:
                fleet.register(incarnation.entry)

        schedule_end(reconnect)
    if kind == "crash":
        incarnation.is_up = False
        restarted = msgspec.structs.replace(
            incarnation.entry, started_ms=started_ms, state=ServerState.SERVING
        )
        schedule_end(lambda: fleet.start_server(restarted))
    if kind == "restart":
        incarnation.is_up = False
        next_life = msgspec.structs.replace(
            incarnation.entry, started_ms=started_ms, state=ServerState.SERVING
        )
        back_s = rng.uniform(*RESTART_S)
        loop.call_later(back_s, fleet.servers.start, next_life)
        loop.call_later(back_s + rng.uniform(*REGISTER_S), fleet.register, next_life)
    if kind == "drain" and len(alive) > 3:
        draining = msgspec.structs.replace(
            incarnation.entry, state=ServerState.DRAINING
        )
        fleet.register(draining)
        schedule_end(lambda: fleet.register(incarnation.entry))
    if kind == "held_link":
        router.commands.hold_link(rng.uniform(*HELD_LINK_S))
    if kind == "slow_write":
        router.commands.write_delay_s = rng.uniform(*SLOW_WRITE_S)
        schedule_end(lambda: setattr(router.commands, "write_delay_s", 0.0))


async def _random_faults(fleet: Fleet, seed: int) -> None:
    rng = random.Random(seed)
    for number in range(14):
        await _inject_fault(fleet, rng, started_ms=number + 1)
        await asyncio.sleep(rng.uniform(0.1, 3.0))
    await asyncio.sleep(25.0)
    await fleet.settle(timeout_s=30.0)


def test_random_faults_never_give_a_key_two_owners() -> None:
    """Guards against unforeseen interleavings of commands, writes and takeovers."""
    for seed in SEEDS:
        run_scenario(lambda fleet, seed=seed: _random_faults(fleet, seed), seed)  # type: ignore[misc]


async def _remove_without_waiting(
    self: UnreachableServers, incarnation: Incarnation
) -> None:
    self._grant_expires_ms.pop(incarnation, None)
    self._possibly_stored -= {incarnation}


SEEDED_FAULTS: dict[str, Any] = {
    "grants are assumed to expire at once": patch.object(
        GrantExpiries, "begun_so_far", lambda self, incarnation: lambda: 0.0
    ),
    "a lease never expires": patch.object(
        LeaderLease, "is_valid", property(lambda self: self.is_held)
    ),
    "a new leader does not raise the fencing tokens": patch(
        "mulberryrelay_edge.leaderterm.raise_all_fences", lambda ranges: ranges
    ),
    "a server gets grants while the lease lists it as unreachable": patch.object(
        UnreachableServers, "remove", _remove_without_waiting
    ),
    "a new connection counts as one to the process before": patch.object(
        Connections, "is_broken", False
    ),
    "grants of earlier leaders are ignored": patch.object(
        LeaderLease, "previous_leader_end_ms", property(lambda self: float("-inf"))
    ),
}


def test_random_faults_detect_each_seeded_protocol_fault() -> None:
    """Guards against checks that pass although the protocol is broken."""
    for name, fault in SEEDED_FAULTS.items():
        with fault:
            assert any(_fails(seed) for seed in FAULT_SEEDS), name


def _fails(seed: int) -> bool:
    try:
        run_scenario(lambda fleet: _random_faults(fleet, seed), seed)
    except AssertionError:
        return True
    return False

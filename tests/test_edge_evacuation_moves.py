"""The leader moves keys out of an evacuated data centre, in steps.

All tests run in virtual time.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import msgspec

from bench.virtual_time import run_virtual
from mulberryrelay_edge.capacity import Capacity
from mulberryrelay_edge.evacuationplan import (
    SPREAD_MS,
    STEP_MS,
    WHOLE_FACTOR,
    plan_evacuation,
    steps_left,
)
from mulberryrelay_edge.messages import KeyReport
from mulberryrelay_edge.rangeedits import (
    Ranges,
    begin_moves,
    complete_move,
    covers_all_keys,
    initial_assignment,
)
from mulberryrelay_edge.rebalance import max_ranges
from mulberryrelay_edge.viewage import SEND_MARGIN_MS
from mulberryrelay_kernel.ids import DataCentre

from .fixtures.edgefleet import (
    EVACUATION_MS,
    ROUTES_TABLE,
    SERVICE,
    Fleet,
    backend,
    route_table,
)

SEED = 20261206
BOUND_S = (EVACUATION_MS - SEND_MARGIN_MS) / 1000
"""Time after the write from which on owners there get no requests."""
MOVED_S = (SPREAD_MS + 2 * STEP_MS) / 1000
"""Time after the write in which all keys are moved if nothing fails."""
MAX_UNKNOWN_S = 1.2
"""Time before the read of a row in which it may have been written, as a router knows.

The leader reads the servers every 0.4 s, and followers hear of it every 0.6 s.
"""
MAX_PAUSE_S = 0.2
"""Time for which a key may have no owner in a move with a hand-over."""
TAKEOVER_S = 12.0
"""Time for another leader, and for moves that the last one began."""
COLD_MS = 3000.0
"""Time for which a server is cold."""
ROUTERS = 5
NEAR = (0, 1, 2, 3)
FAR = (4, 5)
"""Servers of the data centre that is evacuated."""

Scenario = Callable[[Fleet], Coroutine[Any, Any, None]]


def _loads(ranges: Ranges, samples: Sequence[int]) -> dict[str, int]:
    """Return the number of samples of each owner."""
    loads: dict[str, int] = {}
    for key_range in ranges:
        count = sum(key_range.first <= key <= key_range.last for key in samples)
        loads[key_range.owner] = loads.get(key_range.owner, 0) + count
    return loads


def _play_plan(
    servers: int, leaving: set[str], targets: list[Capacity], samples: list[int]
) -> list[Ranges]:
    """Return the ranges before an evacuation and after each of its steps."""
    ranges = initial_assignment([backend(number) for number in range(servers)])
    played = [ranges]
    for steps in range(steps_left(0.0), 0, -1):
        moves = plan_evacuation(
            [key_range for key_range in ranges if key_range.owner in leaving],
            ranges,
            samples,
            targets,
            steps,
            max_ranges(len(targets)) - len(ranges),
        )
        ranges = begin_moves(moves)(ranges)
        for moving in [key_range for key_range in ranges if key_range.is_moving]:
            ranges = complete_move(moving)(ranges)
        played.append(ranges)
    return played


def test_servers_get_keys_in_proportion_to_their_capacity_and_in_steps() -> None:
    """Guards against a cold or full server that gets the keys of a data centre.

    Server 1 is cold and sustains little; server 2 has more than its share already.
    """
    rng = random.Random(SEED)
    samples = [rng.randrange(65536) for _ in range(2000)]
    # Keys of server 2, which owns the third of the six equal ranges.
    samples += [rng.randrange(2 * 65536 // 6, 3 * 65536 // 6) for _ in range(1000)]
    samples.sort()
    shares = {0: 4.0, 1: 0.4, 2: 4.0, 3: 8.0}
    targets = [Capacity(backend(n), share, share) for n, share in shares.items()]
    played = _play_plan(6, {"server-4", "server-5"}, targets, samples)
    before, after = _loads(played[0], samples), _loads(played[-1], samples)
    moved = before["server-4"] + before["server-5"]
    assert "server-4" not in after and "server-5" not in after
    assert covers_all_keys(played[-1])
    gained = {name: after[name] - before[name] for name in after}
    assert gained["server-1"] <= 0.02 * moved, gained
    assert gained["server-2"] <= 0.02 * moved, gained
    assert gained["server-3"] >= 0.6 * moved, gained
    left = [moved]
    for ranges in played[1:]:
        loads = _loads(ranges, samples)
        left.append(loads.get("server-4", 0) + loads.get("server-5", 0))
    steps = [left[step] - left[step + 1] for step in range(len(left) - 1)]
    assert max(steps) <= WHOLE_FACTOR * moved / len(steps), steps


def test_a_plan_for_many_servers_keeps_to_the_number_of_ranges() -> None:
    """Guards against ranges that no longer fit into the row of the service."""
    rng = random.Random(SEED)
    samples = sorted(rng.randrange(65536) for _ in range(2000))
    for servers, far in ((60, 20), (149, 50), (6, 1)):
        leaving = {f"server-{n}" for n in range(far)}
        targets = [Capacity(backend(n), 4.0, 4.0) for n in range(far, servers)]
        played = _play_plan(servers, leaving, targets, samples)
        assert not leaving & set(_loads(played[-1], samples))
        assert len(played[-1]) <= max(servers, max_ranges(len(targets)))
        loads = _loads(played[-1], samples)
        mean = len(samples) / len(targets)
        assert max(loads.values()) <= 2.0 * mean + 10, (servers, max(loads.values()))


def test_keys_move_without_samples_and_not_at_all_without_servers() -> None:
    """Guards against keys that stay because they had no requests lately."""
    targets = [Capacity(backend(n), 4.0, 4.0) for n in (0, 1)]
    played = _play_plan(4, {"server-2", "server-3"}, targets, [])
    assert set(_loads(played[-1], [])) == {"server-0", "server-1"}
    stayed = _play_plan(2, {"server-0", "server-1"}, [], [])
    assert stayed[-1] == stayed[0]


def _run(scenario: Scenario, near: Sequence[int] = NEAR) -> None:
    """Run a scenario with servers in data centre a, and some in b."""

    async def run() -> None:
        fleet = Fleet(SEED, ROUTERS, 0)
        for number in near:
            fleet.start_server(backend(number))
        for number in FAR:
            fleet.start_server(backend(number, data_centre=DataCentre("b")))
        await fleet.settle()
        await asyncio.sleep(1.0)
        assert _granted_far(fleet)
        fleet.pauses_s.clear()
        await scenario(fleet)
        fleet.stop()

    run_virtual(run())


def _granted_far(fleet: Fleet) -> float:
    """Return the share of the keys that servers of data centre b own."""
    return (
        sum(
            granted.last - granted.first + 1
            for server in fleet.servers.incarnations
            if server.entry.data_centre == "b" and server.is_up
            for granted in server.grants
        )
        / 65536
    )


def _owned(fleet: Fleet) -> dict[str, int]:
    """Return the number of keys that each server of data centre a owns."""
    return {
        server.entry.server: sum(g.last - g.first + 1 for g in server.grants)
        for server in fleet.servers.incarnations
        if server.entry.data_centre == "a"
    }


def _senders(fleet: Fleet) -> list[str]:
    """Return the routers that would send to a server of data centre b."""
    return [
        router.name
        for router in fleet.routers
        if any(
            server.data_centre == "b" and router.catalog.may_send_to(server)
            for server in router.catalog.servers(SERVICE)
        )
    ]


def test_keys_leave_in_steps_before_the_bound_and_return_by_rebalancing() -> None:
    """Guards against keys without an owner, and keys that move back at once."""

    async def scenario(fleet: Fleet) -> None:
        far = _granted_far(fleet)
        fleet.evacuate("b")
        await asyncio.sleep(STEP_MS / 2000)
        assert 0.5 * far < _granted_far(fleet) < far
        await asyncio.sleep(MOVED_S - STEP_MS / 2000)
        assert _granted_far(fleet) == 0
        assert fleet.servers.ungranted_share() == 0
        assert fleet.longest_pause_s <= MAX_PAUSE_S
        owned = _owned(fleet)
        assert max(owned.values()) <= 1.3 * 65536 / len(NEAR), owned
        await asyncio.sleep(BOUND_S - MAX_UNKNOWN_S - MOVED_S)
        assert len(_senders(fleet)) == ROUTERS
        # No keys go there while it is evacuated, and without load none go back.
        fleet.start_server(backend(9, data_centre=DataCentre("b")))
        await asyncio.sleep(BOUND_S)
        assert _granted_far(fleet) == 0
        assert _senders(fleet) == []
        fleet.end_evacuation("b")
        await asyncio.sleep(1.0)
        assert len(_senders(fleet)) == ROUTERS
        assert fleet.servers.ungranted_share() == 0
        assert _granted_far(fleet) == 0

    _run(scenario)


def test_cold_servers_get_few_keys_of_an_evacuated_data_centre() -> None:
    """Guards against a server that crashes because it gets a share while it is cold."""

    async def scenario(fleet: Fleet) -> None:
        table = route_table(2)
        service = msgspec.structs.replace(
            table.services[SERVICE], cold_start_ms=COLD_MS, cold_per_s=3.6
        )
        table = msgspec.structs.replace(table, services={SERVICE: service})
        fleet.tables.write(ROUTES_TABLE, "routes", msgspec.json.encode(table))
        leader = fleet.leader
        assert leader is not None
        keys = list(range(0, 65536, 128))
        for _ in range(10):
            leader.load.record_service_time(SERVICE, 100.0)
        leader.load.add_report(KeyReport({SERVICE: keys}, {}))
        fleet.start_server(backend(7, slow_start_left_ms=COLD_MS))
        # The cold server has no keys yet, so that it lacks most to its usual share.
        await asyncio.sleep(0.1)
        leader.load.add_report(KeyReport({SERVICE: keys}, {}))
        owned_before = _owned(fleet)
        fleet.evacuate("b")
        await asyncio.sleep(MOVED_S)
        assert _granted_far(fleet) == 0
        gained = {
            name: keys - owned_before[name] for name, keys in _owned(fleet).items()
        }
        moved = sum(keys for keys in gained.values() if keys > 0)
        assert gained["server-7"] <= 0.05 * moved, gained

    _run(scenario)


def test_a_new_leader_ends_an_evacuation_that_the_last_one_began() -> None:
    """Guards against keys that stay because the leader was lost halfway."""

    async def scenario(fleet: Fleet) -> None:
        far = _granted_far(fleet)
        fleet.evacuate("b")
        await asyncio.sleep(2 * STEP_MS / 1000 + 0.2)
        assert 0 < _granted_far(fleet) < far
        leader = fleet.leader
        assert leader is not None
        fleet.restart(leader)
        await asyncio.sleep(BOUND_S)
        assert _senders(fleet) == []
        await asyncio.sleep(TAKEOVER_S)
        assert _granted_far(fleet) == 0
        assert fleet.servers.ungranted_share() == 0
        assert _senders(fleet) == []

    _run(scenario)


def test_keys_leave_once_the_store_is_back() -> None:
    """Guards against an evacuation that is forgotten in an outage of the store."""

    async def scenario(fleet: Fleet) -> None:
        fleet.evacuate("b")
        await asyncio.sleep(STEP_MS / 2000)
        for router in fleet.routers:
            router.store.is_partitioned = True
        await asyncio.sleep(BOUND_S)
        assert _senders(fleet) == []
        for router in fleet.routers:
            router.store.is_partitioned = False
        await asyncio.sleep(TAKEOVER_S)
        assert _granted_far(fleet) == 0
        assert fleet.servers.ungranted_share() == 0
        assert _senders(fleet) == []

    _run(scenario)


def test_keys_of_a_silent_server_leave_when_its_grants_have_expired() -> None:
    """Guards against keys with two owners, or none for good."""

    async def scenario(fleet: Fleet) -> None:
        silent = next(
            s for s in fleet.servers.incarnations if s.entry.data_centre == "b"
        )
        silent.is_unreachable = True
        fleet.evacuate("b")
        await asyncio.sleep(TAKEOVER_S)
        assert fleet.servers.ungranted_share() == 0
        assert not any(silent.has_grant(key) for key in range(0, 65536, 1024))

    _run(scenario)


def test_keys_stay_and_get_no_requests_if_all_data_centres_are_evacuated() -> None:
    """Guards against requests after the bound, and moves between evacuated servers."""

    async def scenario(fleet: Fleet) -> None:
        far = _granted_far(fleet)
        fleet.evacuate("b")
        await asyncio.sleep(BOUND_S + 0.1)
        assert _senders(fleet) == []
        assert _granted_far(fleet) == far
        fleet.end_evacuation("b")
        await asyncio.sleep(0.2)
        assert len(_senders(fleet)) == ROUTERS
        assert _granted_far(fleet) == far

    _run(scenario, near=())

"""Tests of planned moves, and of the request counters from which they are planned."""

import random
from collections import Counter
from collections.abc import Sequence

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from mulberryrelay_control.placement import (
    VOLUNTARY_REASONS,
    LoadRates,
    MoveReason,
    PlacementPolicy,
    PlacementState,
    PlannedMove,
    ServicePlacement,
    ServicePolicy,
    plan_moves,
    policy_for_churn_weight,
    update_rates,
)
from mulberryrelay_kernel.hashing import override_unit, range_index, range_unit
from mulberryrelay_kernel.ids import DataCentre, Epoch, Key, ServerId, ServiceName
from mulberryrelay_kernel.messages import ServerEntry, Unit, UnitCount
from mulberryrelay_kernel.states import ServerState, UnitState
from mulberryrelay_router.loadcounters import HotKeys, LoadCounter

SLOTFINDER = ServiceName("slotfinder")
RANGES = 64
POLICY = policy_for_churn_weight(0.5)
KEY = Key("trainer-17")
KEY_RANGE = range_unit(range_index(KEY, RANGES))


class Target(msgspec.Struct, frozen=True):
    server: ServerId | None = None
    data_centre: DataCentre | None = None


def server_entry(index: int, state: ServerState = ServerState.SERVING) -> ServerEntry:
    data_centre = DataCentre(f"dc{index % 3}")
    return ServerEntry(
        ServerId(f"s{index}"), SLOTFINDER, data_centre, "127.0.0.1", 1, state
    )


def evenly_spread_units(servers: int) -> list[Unit]:
    return [
        Unit(range_unit(index), ServerId(f"s{index % servers}"), Epoch(1))
        for index in range(RANGES)
    ]


def balanced_service(servers: int = 4, per_unit: float = 10.0) -> ServicePlacement:
    rates = {range_unit(index): per_unit for index in range(RANGES)}
    return ServicePlacement(
        RANGES,
        evenly_spread_units(servers),
        [server_entry(i) for i in range(servers)],
        LoadRates(rates),
    )


def plan(
    placement: ServicePlacement, policy: ServicePolicy = POLICY, now_ms: float = 1e6
) -> list[PlannedMove]:
    return plan_moves(
        PlacementState({SLOTFINDER: placement}),
        PlacementPolicy({SLOTFINDER: policy}),
        now_ms,
    )


def with_moves_applied(
    placement: ServicePlacement, moves: Sequence[PlannedMove], now_ms: float
) -> ServicePlacement:
    """Return the service after the moves were carried out."""
    units = {unit.unit: unit for unit in placement.units}
    for move in moves:
        if move.reason is MoveReason.COOLED:
            del units[move.unit]
            continue
        units[move.unit] = Unit(move.unit, move.target, Epoch(1))
    planned = [now_ms for move in moves if move.reason in VOLUNTARY_REASONS]
    return replace(
        placement,
        units=list(units.values()),
        last_move_ms={
            **placement.last_move_ms,
            **{move.unit: now_ms for move in moves},
        },
        voluntary_move_times_ms=[*placement.voluntary_move_times_ms, *planned],
    )


def with_hot_key(rate: float) -> ServicePlacement:
    """Return a service with a hot key; the rest of its range has the same rate."""
    placement = balanced_service()
    ranges = dict(placement.rates.ranges)
    ranges[KEY_RANGE] += 2 * rate
    return replace(placement, rates=LoadRates(ranges, {KEY: rate}))


def test_initial_placement_spreads_all_ranges() -> None:
    """Guards against ranges without an owner and an uneven initial assignment."""
    placement = replace(balanced_service(), units=[])
    moves = plan(placement)
    assert len({move.unit for move in moves}) == len(moves) == RANGES
    assert set(Counter(move.target for move in moves).values()) == {RANGES // 4}


def test_units_of_lost_draining_and_drained_servers_are_spread() -> None:
    """Guards against units that stay, or that are all moved to one server."""
    cases = [
        (ServerState.LOST, frozenset[ServerId](), MoveReason.LOST),
        (ServerState.DRAINING, frozenset[ServerId](), MoveReason.DRAINING),
        (ServerState.SERVING, frozenset({ServerId("s0")}), MoveReason.DRAINING),
    ]
    for state, drained, reason in cases:
        servers = [server_entry(0, state), *(server_entry(i) for i in range(1, 4))]
        moves = plan(
            replace(balanced_service(), servers=servers, drained_servers=drained)
        )
        units_of_server = {
            unit.unit for unit in evenly_spread_units(4) if unit.owner == "s0"
        }
        assert {move.unit for move in moves} == units_of_server
        assert {move.reason for move in moves} == {reason}
        counts = Counter(move.target for move in moves).values()
        assert max(counts) - min(counts) <= 1, counts


def test_pinned_key_moves_and_stays() -> None:
    """Guards against ignoring a pin, and against rebalancing a pinned key."""
    target = Target(server=ServerId("s2"))
    placement = replace(with_hot_key(200.0), pins={KEY: target})
    first = plan(placement)
    pin = PlannedMove(SLOTFINDER, override_unit(KEY), ServerId("s2"), MoveReason.PIN)
    assert first[0] == pin, first
    # A pinned key does not move because its server is busy or the key has cooled.
    ranges = {
        unit.unit: 30.0 if unit.owner == "s2" else 10.0 for unit in placement.units
    }
    for rate in (60.0, 0.0):
        rates = LoadRates({**ranges, KEY_RANGE: 10.0 + rate}, {KEY: rate})
        kept = replace(with_moves_applied(placement, first, 1e6), rates=rates)
        later = {move.unit for move in plan(kept, now_ms=2e6)}
        assert later and override_unit(KEY) not in later


def test_pin_to_a_lost_server_is_deferred() -> None:
    """Guards against moving a pinned key to a server that is lost."""
    servers = [*(server_entry(i) for i in range(3)), server_entry(3, ServerState.LOST)]
    placement = replace(
        balanced_service(), servers=servers, pins={KEY: Target(server=ServerId("s3"))}
    )
    assert override_unit(KEY) not in {move.unit for move in plan(placement)}


def test_a_hot_key_moves_alone_and_returns_when_it_has_cooled() -> None:
    """Guards against moving a hot key's range instead of the key, and against
    overrides that stay after the key has cooled."""
    busy = next(unit.owner for unit in evenly_spread_units(4) if unit.unit == KEY_RANGE)
    ranges = {
        unit.unit: 20.0 if unit.owner == busy else 10.0
        for unit in evenly_spread_units(4)
    }
    rates = LoadRates({**ranges, KEY_RANGE: 120.0}, {KEY: 80.0})
    placement = replace(balanced_service(), rates=rates)
    moves = plan(placement)
    reasons = {move.unit: move.reason for move in moves}
    assert reasons[override_unit(KEY)] is MoveReason.HOT_KEY, moves
    assert KEY_RANGE not in reasons, "the new override raises the epoch of its range"
    busier = LoadRates({**ranges, KEY_RANGE: 160.0}, {KEY: 50.0})
    moved = {m.unit for m in plan(replace(placement, rates=busier))}
    assert KEY_RANGE in moved and override_unit(KEY) not in moved
    cooled = replace(
        with_moves_applied(placement, moves, 1e6), rates=balanced_service().rates
    )
    owner = next(unit.owner for unit in cooled.units if unit.unit == KEY_RANGE)
    return_move = PlannedMove(
        SLOTFINDER, override_unit(KEY), owner or ServerId(""), MoveReason.COOLED
    )
    assert return_move not in plan(cooled, now_ms=1e6 + POLICY.cool_down_ms - 1)
    assert return_move in plan(cooled, now_ms=1e6 + POLICY.cool_down_ms)
    assert not plan(cooled, replace(POLICY, moves_per_minute=0), 1e9)


def test_rebalancing_obeys_thresholds_budget_and_cool_down() -> None:
    """Guards against churn: moves of small gain, too many moves, and units that move
    again too soon."""
    rng = random.Random(3)
    rates = {
        unit.unit: rng.uniform(10, 12) * (4 if unit.owner == "s0" else 1)
        for unit in evenly_spread_units(4)
    }
    placement = replace(balanced_service(), rates=LoadRates(rates))
    moves = plan(placement)
    assert moves and {move.reason for move in moves} == {MoveReason.REBALANCE}

    def plan_with_policy(**changes: float) -> list[PlannedMove]:
        return plan(placement, replace(POLICY, **changes))

    assert len(plan_with_policy(moves_per_minute=2)) == 2
    assert not plan_with_policy(imbalance_threshold=4.0)
    assert not plan_with_policy(gain_threshold=1.0)
    spent = replace(
        placement, voluntary_move_times_ms=[1e6 - 59_000] * POLICY.moves_per_minute
    )
    assert not plan(spent)
    assert plan(spent, now_ms=1e6 + 1_000)
    cooling_down = replace(
        placement,
        last_move_ms=dict.fromkeys(rates, 1e6 - POLICY.cool_down_ms + 1),
    )
    assert not plan(cooling_down)
    assert plan(cooling_down, now_ms=1e6 + 1)


def test_balanced_and_idle_services_are_not_rebalanced() -> None:
    """Guards against moves in services that are balanced or nearly idle."""
    assert not plan(balanced_service())
    idle = LoadRates({range_unit(0): 2.0, range_unit(4): 2.0})
    assert not plan(replace(balanced_service(), rates=idle))


@st.composite
def placements(draw: st.DrawFn) -> ServicePlacement:
    """Generate services with servers in any state, moving units, pins and hot keys."""
    states = draw(st.lists(st.sampled_from(ServerState), min_size=1, max_size=6))
    owners = [None, ServerId("gone"), *(ServerId(f"s{i}") for i in range(len(states)))]
    keys = [Key(f"key-{index}") for index in range(6)]
    ranges = 8
    names = [range_unit(index) for index in range(ranges)]
    names += [override_unit(key) for key in draw(st.sets(st.sampled_from(keys)))]
    units = []
    for name in names:
        owner = draw(st.sampled_from(owners))
        target = draw(st.none() | st.sampled_from(owners[1:]))
        state = UnitState.ACTIVE if target is None else UnitState.MOVING
        units.append(Unit(name, owner, Epoch(1), state, target))
    rate = st.floats(0, 1000)
    servers = [server_entry(index, state) for index, state in enumerate(states)]
    targets = [Target(server=owner) for owner in owners[1:]]
    targets.append(Target(data_centre=DataCentre("dc1")))
    return ServicePlacement(
        ranges,
        units,
        servers,
        LoadRates(
            {name: draw(rate) for name in names[:ranges]},
            draw(st.dictionaries(st.sampled_from(keys), rate)),
        ),
        draw(st.dictionaries(st.sampled_from(keys), st.sampled_from(targets))),
        draw(st.frozensets(st.sampled_from([server.server for server in servers]))),
        draw(st.dictionaries(st.sampled_from(names), st.floats(0, 1e6))),
        draw(st.lists(st.floats(900_000, 1e6), max_size=5)),
    )


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(placements(), st.integers(0, 8))
def check_invariants(placement: ServicePlacement, budget: int) -> None:
    policy = replace(POLICY, moves_per_minute=budget)
    moves = plan(placement, policy)
    usable = {
        server.server
        for server in placement.servers
        if server.state in (ServerState.SERVING, ServerState.COLD)
        and server.server not in placement.drained_servers
    }
    assert len({move.unit for move in moves}) == len(moves), "two owners"
    assert all(move.target in usable for move in moves), "unusable target"
    recent = [ms for ms in placement.voluntary_move_times_ms if 1e6 - ms < 60_000]
    voluntary = [move for move in moves if move.reason in VOLUNTARY_REASONS]
    assert len(voluntary) <= max(0, budget - len(recent)), "budget"
    pinned = {override_unit(key) for key in placement.pins}
    assert not pinned & {move.unit for move in voluntary}, "a pinned key moves"
    moved = {move.unit for move in moves}
    for unit in placement.units:
        if unit.state is UnitState.MOVING:
            assert unit.unit not in moved or unit.next_owner not in usable
        elif usable and unit.owner not in usable:
            assert unit.unit in moved, "left without an owner"
    new = {move.unit for move in voluntary if move.reason is MoveReason.HOT_KEY}
    parent_ranges = {
        range_unit(range_index(Key(unit.partition(":")[2]), placement.ranges))
        for unit in new
    }
    assert not parent_ranges & moved, "a range moves while a key leaves it"
    moving = {u.unit for u in placement.units if u.state is UnitState.MOVING}
    pins = {m.unit for m in moves if m.reason is MoveReason.PIN}
    for pin in pins - {unit.unit for unit in placement.units}:
        parent_range = range_index(Key(pin.partition(":")[2]), placement.ranges)
        assert range_unit(parent_range) not in moving, "a key leaves a moving range"


def test_plans_keep_their_invariants() -> None:
    """Guards against plans with two owners, unusable targets or too many moves."""
    check_invariants()


def test_averages_do_not_jump_when_a_key_gets_an_override() -> None:
    """Guards against a unit that seems idle directly after a split or merge."""
    counter = LoadCounter(SLOTFINDER, RANGES)
    rates = LoadRates()
    for second in range(40):
        if second == 20:
            counter.set_overrides({KEY})
        for _ in range(100):
            counter.count(KEY)
        rates = update_rates(rates, counter.collect_and_reset(), 1000.0)
        if second < 20:
            continue
        assert 99 < rates.keys[KEY] < 101
        assert 99 < rates.ranges[KEY_RANGE] < 101


def test_hot_keys_are_found_in_bounded_memory() -> None:
    """Guards against unbounded memory of the counter and against wrong hot keys."""
    rng = random.Random(11)
    counter = HotKeys(capacity=50)
    requests = [Key(f"hot-{index}") for index in range(5) for _ in range(500)]
    requests += [Key(f"cold-{rng.randrange(10**9)}") for _ in range(10_000)]
    rng.shuffle(requests)
    for key in requests:
        counter.count(key)
    assert len(counter) == 50
    top = counter.top(10)
    assert {key for key, _ in top[:5]} == {f"hot-{index}" for index in range(5)}
    assert all(count <= 500 for _, count in top)
    assert all(count <= 5 for _, count in top[5:]), top


def test_counts_of_ranges_are_complete() -> None:
    """Guards against lost counts, and counts reported again in the next period."""
    counter = LoadCounter(SLOTFINDER, RANGES)
    for index in range(1000):
        counter.count(Key(f"key-{index}"))
    counts = [count for count in counter.collect_and_reset() if count.key is None]
    assert sum(count.requests for count in counts) == 1000
    assert counter.collect_and_reset() == []
    assert update_rates(
        LoadRates(), [UnitCount(SLOTFINDER, KEY_RANGE, 5)], 1000.0
    ).ranges

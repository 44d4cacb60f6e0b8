"""Placement policies: decide which backend server should own which unit.

Pure functions without I/O. The coordinator builds the state from the assignment, the
servers' states and the request counts of routers, and carries out the planned moves.
Load reports of servers are not used, since they can lag or be wrong.
"""

import heapq
import math
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum
from typing import TypeVar

import msgspec

from mulberryrelay_kernel.hashing import (
    is_override,
    override_unit,
    range_index,
    range_unit,
)
from mulberryrelay_kernel.ids import (
    Epoch,
    Key,
    ServerId,
    ServiceName,
    UnitId,
)
from mulberryrelay_kernel.messages import ServerEntry, Unit, UnitCount
from mulberryrelay_kernel.registry import register
from mulberryrelay_kernel.states import ServerState, UnitState

from .ruletypes import PinTarget

Counted = TypeVar("Counted")

RATE_TIME_CONSTANT_MS = 3_000.0
"""Time constant of the exponential moving average of request rates."""
MIN_TRACKED_RATE_PER_S = 0.01
"""Averages below this rate are dropped, to limit their memory."""
MINUTE_MS = 60_000.0
BASE_WEIGHT_FRACTION = 0.05
"""Fraction of the mean rate that is added to each unit's rate when units are spread,
so that units without requests are also spread evenly."""
COOLED_FRACTION = 0.5
"""A hot key has cooled if its rate is below this fraction of the hot-key rate."""
MIN_REBALANCE_RATE_PER_S = 10.0
"""Below this mean rate per server, imbalance is noise and does not justify moves."""
MAX_OVERRIDES = 256
"""Limit of the overrides of a service; no more hot keys are split beyond it."""


class MoveReason(Enum):
    """Reason of a planned move."""

    INITIAL = "initial"
    LOST = "lost"
    DRAINING = "draining"
    PIN = "pin"
    HOT_KEY = "hot-key"
    COOLED = "cooled"
    REBALANCE = "rebalance"


VOLUNTARY_REASONS = frozenset(
    {MoveReason.HOT_KEY, MoveReason.COOLED, MoveReason.REBALANCE}
)
"""Reasons of moves that count against the move budget of a service."""


class PlannedMove(msgspec.Struct, frozen=True):
    """A unit and the server that should own it next.

    With ``HOT_KEY`` and ``PIN``, the unit may be an override that does not exist yet.
    After a ``COOLED`` move the override is removed, since its target owns the key's
    range. A plan has both a new override and a move of its range only if the range must
    leave its owner anyway.
    """

    service: ServiceName
    unit: UnitId
    target: ServerId
    reason: MoveReason


class LoadRates(msgspec.Struct, frozen=True):
    """Moving averages of requests per second, from the counts of all routers."""

    ranges: dict[UnitId, float] = {}
    """Rate of each range, including keys with an override."""
    keys: dict[Key, float] = {}


class ServicePlacement(msgspec.Struct, frozen=True):
    """State of one service that is partitioned by key."""

    ranges: int
    units: Sequence[Unit]
    """All ranges and overrides; an absent range has no owner yet."""
    servers: Sequence[ServerEntry]
    """Known servers; an absent server counts as lost."""
    rates: LoadRates = LoadRates()
    pins: Mapping[Key, PinTarget] = {}
    drained_servers: frozenset[ServerId] = frozenset()
    """Servers that a rule drains."""
    last_move_ms: Mapping[UnitId, float] = {}
    """Time of each unit's last planned move, on the clock of ``now_ms``."""
    voluntary_move_times_ms: Sequence[float] = ()
    """Times of the planned voluntary moves of at least the last minute."""


class PlacementState(msgspec.Struct, frozen=True):
    """State of all services that are partitioned by key."""

    services: Mapping[ServiceName, ServicePlacement]


class ServicePolicy(msgspec.Struct, frozen=True):
    """Thresholds and limits of a service's voluntary moves."""

    imbalance_threshold: float
    """Ratio of a server's load to the mean load above which units move away."""
    gain_threshold: float
    """Minimum gain of a move, as a fraction of the mean load of a server."""
    moves_per_minute: int
    cool_down_ms: float
    """Time after a planned move in which the unit is not moved voluntarily."""
    hot_share: float
    """Fraction of the mean load of a server above which a key is hot."""


class PlacementPolicy(msgspec.Struct, frozen=True):
    """The policy of each service."""

    services: Mapping[ServiceName, ServicePolicy]


PlanMoves = Callable[[PlacementState, PlacementPolicy, float], list[PlannedMove]]


def policy_for_churn_weight(churn_weight: float) -> ServicePolicy:
    """Return the policy for a weight from 0 (balance) to 1 (avoid moves)."""
    return ServicePolicy(
        imbalance_threshold=1.08 + 0.12 * churn_weight,
        gain_threshold=0.01 + 0.03 * churn_weight,
        moves_per_minute=round(120 - 90 * churn_weight),
        cool_down_ms=5_000 + 25_000 * churn_weight,
        hot_share=0.05 + 0.05 * churn_weight,
    )


def update_rates(
    rates: LoadRates, counts: Iterable[UnitCount], elapsed_ms: float
) -> LoadRates:
    """Return a service's averages, updated with all routers' counts of a period."""
    range_counts: dict[UnitId, int] = defaultdict(int)
    key_counts: dict[Key, int] = defaultdict(int)
    for count in counts:
        if count.key is None:
            range_counts[count.unit] += count.requests
        else:
            key_counts[count.key] += count.requests
    return LoadRates(
        _moving_averages(rates.ranges, range_counts, elapsed_ms),
        _moving_averages(rates.keys, key_counts, elapsed_ms),
    )


@register("placement", "adaptive")
def plan_moves(
    state: PlacementState, policy: PlacementPolicy, now_ms: float
) -> list[PlannedMove]:
    """Return the moves that are due now; moves that restore service come first.

    Pins and moves of units without a usable owner, draining included, are not limited.
    Voluntary moves (hot keys, cooled keys and rebalancing) are limited by the gain
    threshold, move budget and cool-down time of the policy.
    """
    moves: list[PlannedMove] = []
    for service, placement in state.services.items():
        plan = _ServicePlan(service, placement)
        if not plan.usable_servers:
            continue
        plan.place_pins()
        plan.place_displaced_units()
        plan.rebalance(policy.services[service], now_ms)
        moves += plan.moves
    return moves


@register("placement", "static-hash")
def plan_static_hash(
    state: PlacementState, policy: PlacementPolicy, now_ms: float
) -> list[PlannedMove]:
    """Baseline: assign units by their range index modulo the number of servers."""
    moves = []
    for service, placement in state.services.items():
        plan = _ServicePlan(service, placement)
        servers = sorted(plan.usable_servers)
        if not servers:
            continue
        for unit in plan.stable_units():
            target = servers[_range_number(unit, placement.ranges) % len(servers)]
            if unit.owner == target:
                continue
            reason = plan.displacement_reason(unit) or MoveReason.REBALANCE
            moves.append(PlannedMove(service, unit.unit, target, reason))
    return moves


@register("placement", "round-robin")
def plan_round_robin(
    state: PlacementState, policy: PlacementPolicy, now_ms: float
) -> list[PlannedMove]:
    """Baseline: assign units without a usable owner to the servers in turn."""
    moves = []
    for service, placement in state.services.items():
        plan = _ServicePlan(service, placement)
        servers = sorted(plan.usable_servers)
        if not servers:
            continue
        for turn, (unit, reason) in enumerate(plan.displaced_units()):
            target = servers[turn % len(servers)]
            moves.append(PlannedMove(service, unit.unit, target, reason))
    return moves


@register("placement", "always-rebalance")
def plan_always_rebalance(
    state: PlacementState, policy: PlacementPolicy, now_ms: float
) -> list[PlannedMove]:
    """Baseline: rebalance whenever a move has any gain."""
    policies = {
        service: msgspec.structs.replace(
            service_policy,
            imbalance_threshold=1.0,
            gain_threshold=0.0,
            moves_per_minute=1_000_000,
            cool_down_ms=0.0,
        )
        for service, service_policy in policy.services.items()
    }
    return plan_moves(state, PlacementPolicy(policies), now_ms)


def server_loads(placement: ServicePlacement) -> dict[ServerId, float]:
    """Return the requests per second of each usable server, from routers' counts."""
    return dict(_ServicePlan(ServiceName(""), placement).loads)


class _ServicePlan:
    """Plan of one service: the moves so far and the resulting loads of servers."""

    def __init__(self, service: ServiceName, placement: ServicePlacement) -> None:
        self.service = service
        self.placement = placement
        self.moves: list[PlannedMove] = []
        self.usable_servers = {
            entry.server: entry
            for entry in placement.servers
            if _accepts_units(entry) and entry.server not in placement.drained_servers
        }
        self.lost_servers = {
            entry.server
            for entry in placement.servers
            if entry.state is ServerState.LOST
        }
        self.known_servers = {entry.server for entry in placement.servers}
        self.units = _units_by_id(placement)
        self.unit_rates = _unit_rates(placement, self.units)
        self.planned: set[UnitId] = set()
        self.new_overrides: set[UnitId] = set()
        self.loads = dict.fromkeys(self.usable_servers, 0.0)
        for unit in self.units.values():
            owner = _effective_owner(unit)
            if owner in self.loads:
                self.loads[owner] += self.unit_rates[unit.unit]

    @property
    def mean_load(self) -> float:
        """Total rate of all units, with or without an owner, per usable server."""
        return sum(self.unit_rates.values()) / len(self.usable_servers)

    def stable_units(self) -> list[Unit]:
        """Return the units that are neither moving nor planned to move."""
        return [
            unit
            for unit in self.units.values()
            if unit.state is UnitState.ACTIVE and unit.unit not in self.planned
        ]

    def displacement_reason(self, unit: Unit) -> MoveReason | None:
        """Return why the unit must move, or None if its owner is usable."""
        owner = _effective_owner(unit)
        if owner is None:
            return MoveReason.INITIAL
        if owner in self.usable_servers:
            return None
        if owner in self.lost_servers or owner not in self.known_servers:
            return MoveReason.LOST
        return MoveReason.DRAINING

    def displaced_units(self) -> list[tuple[Unit, MoveReason]]:
        """Return the units without a usable owner, the busiest first."""
        displaced = []
        for unit in self.units.values():
            reason = self.displacement_reason(unit)
            if reason is None or unit.unit in self.planned:
                continue
            # A unit that is moving to a draining server moves again afterwards.
            if unit.state is UnitState.MOVING and reason is MoveReason.DRAINING:
                continue
            displaced.append((unit, reason))
        displaced.sort(key=lambda item: (-self.unit_rates[item[0].unit], item[0].unit))
        return displaced

    def place_pins(self) -> None:
        """Move each pinned key to a server that its pin allows, if one is usable."""
        for key, target in sorted(self.placement.pins.items()):
            override = override_unit(key)
            unit = self.units.get(override)
            parent_range = self.units[self._parent_range(override)]
            if (unit or parent_range).state is UnitState.MOVING:
                continue
            allowed = [
                server
                for server, entry in self.usable_servers.items()
                if target.server in (None, server)
                and target.data_centre in (None, entry.data_centre)
            ]
            if not allowed or (unit is not None and unit.owner in allowed):
                continue
            self._add_override(key)
            self._move(override, self._least_loaded(allowed), MoveReason.PIN)

    def place_displaced_units(self) -> None:
        """Spread units without a usable owner over the servers by load."""
        displaced_units = self.displaced_units()
        if not displaced_units:
            return
        weight = (
            BASE_WEIGHT_FRACTION * statistics.fmean(self.unit_rates.values()) or 1.0
        )
        unit_counts = dict.fromkeys(self.usable_servers, 0)
        for unit in self.units.values():
            owner = _effective_owner(unit)
            if owner in unit_counts:
                unit_counts[owner] += 1
        heap = [
            (self.loads[s] + weight * unit_counts[s], s)
            for s in sorted(self.usable_servers)
        ]
        heapq.heapify(heap)
        for unit, reason in displaced_units:
            load, server = heap[0]
            self._move(unit.unit, server, reason)
            added = self.unit_rates[unit.unit] + weight
            heapq.heapreplace(heap, (load + added, server))

    def rebalance(self, policy: ServicePolicy, now_ms: float) -> None:
        """Return cooled keys to their ranges, then offload the busiest servers."""
        recent = [
            planned_ms
            for planned_ms in self.placement.voluntary_move_times_ms
            if now_ms - planned_ms < MINUTE_MS
        ]
        budget = policy.moves_per_minute - len(recent)
        budget -= self._return_cooled_keys(policy, now_ms, budget)
        if self.mean_load < MIN_REBALANCE_RATE_PER_S:
            return
        self._split_hot_keys(policy, now_ms)
        # Busy servers without any further move that is allowed and gains enough.
        exhausted: set[ServerId] = set()
        while budget > 0:
            source = self._most_loaded(policy, exhausted)
            if source is None:
                return
            if self._offload(source, policy, now_ms):
                budget -= 1
            else:
                exhausted.add(source)

    def _return_cooled_keys(
        self, policy: ServicePolicy, now_ms: float, budget: int
    ) -> int:
        cool_rate = COOLED_FRACTION * policy.hot_share * self.mean_load
        returned = 0
        for unit in self.stable_units():
            if returned >= budget:
                break
            if not is_override(unit.unit) or self._is_pinned(unit.unit):
                continue
            if self.unit_rates[unit.unit] > cool_rate:
                continue
            if self._is_cooling_down(unit.unit, policy, now_ms):
                continue
            parent_range = self.units[self._parent_range(unit.unit)]
            if not self._is_stable(parent_range) or parent_range.owner is None:
                continue
            self._move(unit.unit, parent_range.owner, MoveReason.COOLED)
            returned += 1
        return returned

    def _split_hot_keys(self, policy: ServicePolicy, now_ms: float) -> None:
        """Treat each hot key as a separate unit, so that it can move alone."""
        hot_rate = policy.hot_share * self.mean_load
        overrides = sum(is_override(unit) for unit in self.units)
        for key, rate in sorted(self.placement.rates.keys.items()):
            unit = override_unit(key)
            if rate < hot_rate or unit in self.units or overrides >= MAX_OVERRIDES:
                continue
            if not self._is_stable(self.units[self._parent_range(unit)]):
                continue
            self._add_override(key)
            overrides += 1

    def _most_loaded(
        self, policy: ServicePolicy, exhausted: set[ServerId]
    ) -> ServerId | None:
        max_load = policy.imbalance_threshold * self.mean_load
        busy = [
            server
            for server, load in self.loads.items()
            if load > max_load and server not in exhausted
        ]
        return max(busy, key=lambda s: (self.loads[s], s), default=None)

    def _offload(self, source: ServerId, policy: ServicePolicy, now_ms: float) -> bool:
        """Plan the highest-gain move off a busy server; return whether there is one."""
        target = self._least_loaded(self.usable_servers)
        source_load, target_load = self.loads[source], self.loads[target]
        best: tuple[float, UnitId] | None = None
        for unit in self.stable_units():
            if unit.owner != source or self._is_pinned(unit.unit):
                continue
            if (
                self._is_new_override(unit.unit)
                and self._parent_range(unit.unit) in self.planned
            ):
                continue
            rate = self.unit_rates[unit.unit]
            gain = (
                source_load - max(source_load - rate, target_load + rate)
            ) / self.mean_load
            if gain <= policy.gain_threshold:
                continue
            if self._is_cooling_down(unit.unit, policy, now_ms):
                continue
            if best is None or (gain, unit.unit) > best:
                best = (gain, unit.unit)
        if best is None:
            return False
        if not self._is_new_override(best[1]):
            self._move(best[1], target, MoveReason.REBALANCE)
            return True
        self._move(best[1], target, MoveReason.HOT_KEY)
        # Creating the override also changes the range's epoch. Mark the range as
        # planned, so that it does not move in the same plan.
        self.planned.add(self._parent_range(best[1]))
        return True

    def _is_new_override(self, unit: UnitId) -> bool:
        """Return whether the unit is an override that does not exist yet."""
        return unit in self.new_overrides

    def _parent_range(self, unit: UnitId) -> UnitId:
        return _range_of(unit, self.placement.ranges)

    def _is_stable(self, unit: Unit) -> bool:
        if unit.state is UnitState.MOVING or unit.unit in self.planned:
            return False
        return unit.owner in self.usable_servers

    def _is_pinned(self, unit: UnitId) -> bool:
        return is_override(unit) and _key_of(unit) in self.placement.pins

    def _is_cooling_down(
        self, unit: UnitId, policy: ServicePolicy, now_ms: float
    ) -> bool:
        last_move_ms = self.placement.last_move_ms.get(unit, -math.inf)
        return now_ms - last_move_ms < policy.cool_down_ms

    def _least_loaded(self, servers: Iterable[ServerId]) -> ServerId:
        return min(servers, key=lambda server: (self.loads[server], server))

    def _add_override(self, key: Key) -> None:
        """Split a key from its range; it keeps the same owner until it is moved."""
        unit = override_unit(key)
        if unit in self.units:
            return
        parent_range = self.units[self._parent_range(unit)]
        rate = min(
            self.placement.rates.keys.get(key, 0.0), self.unit_rates[parent_range.unit]
        )
        self.units[unit] = Unit(unit, parent_range.owner, parent_range.epoch)
        self.new_overrides.add(unit)
        self.unit_rates[unit] = rate
        self.unit_rates[parent_range.unit] -= rate

    def _move(self, unit: UnitId, target: ServerId, reason: MoveReason) -> None:
        rate = self.unit_rates[unit]
        owner = _effective_owner(self.units[unit])
        if owner in self.loads:
            self.loads[owner] -= rate
        self.loads[target] += rate
        self.planned.add(unit)
        self.moves.append(PlannedMove(self.service, unit, target, reason))


def _moving_averages(
    rates: Mapping[Counted, float], counts: Mapping[Counted, int], elapsed_ms: float
) -> dict[Counted, float]:
    decay = math.exp(-elapsed_ms / RATE_TIME_CONSTANT_MS)
    averaged = {}
    for name in {**rates, **counts}:
        per_second = counts.get(name, 0) * 1000 / elapsed_ms
        rate = decay * rates.get(name, 0.0) + (1 - decay) * per_second
        if rate >= MIN_TRACKED_RATE_PER_S:
            averaged[name] = rate
    return averaged


def _units_by_id(placement: ServicePlacement) -> dict[UnitId, Unit]:
    units = {unit.unit: unit for unit in placement.units}
    for index in range(placement.ranges):
        name = range_unit(index)
        if name not in units:
            units[name] = Unit(name, None, Epoch(0))
    return units


def _unit_rates(
    placement: ServicePlacement, units: Mapping[UnitId, Unit]
) -> dict[UnitId, float]:
    """Return the rate of each unit; that of a range excludes its overrides."""
    rates = {unit: placement.rates.ranges.get(unit, 0.0) for unit in units}
    for unit in units:
        if not is_override(unit):
            continue
        rates[unit] = placement.rates.keys.get(_key_of(unit), 0.0)
        parent_range = _range_of(unit, placement.ranges)
        rates[parent_range] = max(0.0, rates[parent_range] - rates[unit])
    return rates


def _accepts_units(entry: ServerEntry) -> bool:
    return entry.state in (ServerState.SERVING, ServerState.COLD)


def _effective_owner(unit: Unit) -> ServerId | None:
    """Return the unit's owner, or its next owner if it is moving."""
    return unit.next_owner if unit.state is UnitState.MOVING else unit.owner


def _key_of(unit: UnitId) -> Key:
    return Key(unit.partition(":")[2])


def _range_of(unit: UnitId, ranges: int) -> UnitId:
    return range_unit(range_index(_key_of(unit), ranges))


def _range_number(unit: Unit, ranges: int) -> int:
    if is_override(unit.unit):
        return range_index(_key_of(unit.unit), ranges)
    return int(unit.unit[1:])

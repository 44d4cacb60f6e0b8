"""Which server should own which unit: functions over records, without I/O.

The coordinator builds the state from the assignment, the servers' states and the
routers' counts, and carries the planned moves out. Load reports of servers have no
place in the state, since they can lag or mislead.
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
"""Time constant of the moving average of request rates."""
FORGOTTEN_PER_S = 0.01
"""Keys below this rate are dropped from the averages, to bound their memory."""
MINUTE_MS = 60_000.0
IDLE_SHARE = 0.05
"""Part of the mean rate that every unit weighs when units are spread, so that units
without requests are spread evenly too."""
COOLED_PART = 0.5
"""A hot key has cooled below this part of the rate that makes it hot."""
LEAST_RATE_PER_S = 10.0
"""Below this mean rate of a server, imbalance is noise and justifies no move."""
MAX_OVERRIDES = 256


class MoveReason(Enum):
    """Why a unit is to move."""

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
"""Moves that count against the budget of a service."""


class PlannedMove(msgspec.Struct, frozen=True):
    """A unit and the server that should own it next.

    ``HOT_KEY`` and ``PIN`` may name an override that does not exist yet. After a
    ``COOLED`` move the override is dropped, as its target owns the key's range. A new
    override and a move of its range are in one plan only if the range must leave its
    owner anyway.
    """

    service: ServiceName
    unit: UnitId
    target: ServerId
    reason: MoveReason


class LoadRates(msgspec.Struct, frozen=True):
    """Moving averages of requests per second, from the counts of all routers."""

    ranges: dict[UnitId, float] = {}
    """Requests of each range, those of keys with an override included."""
    keys: dict[Key, float] = {}


class ServicePlacement(msgspec.Struct, frozen=True):
    """One service partitioned by key."""

    ranges: int
    units: Sequence[Unit]
    """All ranges and overrides; a range that is absent has no owner yet."""
    servers: Sequence[ServerEntry]
    """A server that is absent counts as lost."""
    rates: LoadRates = LoadRates()
    pins: Mapping[Key, PinTarget] = {}
    drained: frozenset[ServerId] = frozenset()
    """Servers that a rule drains."""
    moved_ms: Mapping[UnitId, float] = {}
    """When each unit was last planned to move, on the clock of ``now_ms``."""
    voluntary_ms: Sequence[float] = ()
    """When the voluntary moves of at least the last minute were planned."""


class PlacementState(msgspec.Struct, frozen=True):
    """All services partitioned by key."""

    services: Mapping[ServiceName, ServicePlacement]


class ServicePolicy(msgspec.Struct, frozen=True):
    """How far moves are worth their churn."""

    imbalance_threshold: float
    """Busiest to mean server above which units move."""
    gain_threshold: float
    """Least gain of a move, as a part of the mean load of a server."""
    moves_per_minute: int
    cool_down_ms: float
    hot_share: float
    """Part of the mean load of a server above which a key is hot."""


class PlacementPolicy(msgspec.Struct, frozen=True):
    """The policy of each service."""

    services: Mapping[ServiceName, ServicePolicy]


PlanMoves = Callable[[PlacementState, PlacementPolicy, float], list[PlannedMove]]


def policy_of(churn_weight: float) -> ServicePolicy:
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
    """Return the averages after one period of counts of all routers, of one service."""
    range_counts: dict[UnitId, int] = defaultdict(int)
    key_counts: dict[Key, int] = defaultdict(int)
    for count in counts:
        if count.key is None:
            range_counts[count.unit] += count.requests
        else:
            key_counts[count.key] += count.requests
    return LoadRates(
        _averaged(rates.ranges, range_counts, elapsed_ms),
        _averaged(rates.keys, key_counts, elapsed_ms),
    )


@register("placement", "adaptive")
def plan_moves(
    state: PlacementState, policy: PlacementPolicy, now_ms: float
) -> list[PlannedMove]:
    """Return the moves that are due now, those that restore service first.

    Placement of units without a usable owner, pins and draining are never limited.
    Hot keys, their return and rebalancing obey the gain threshold, the budget and the
    cool-down time of the policy.
    """
    moves: list[PlannedMove] = []
    for service, placement in state.services.items():
        plan = _Plan(service, placement)
        if not plan.usable:
            continue
        plan.place_pins()
        plan.place_homeless()
        plan.rebalance(policy.services[service], now_ms)
        moves += plan.moves
    return moves


@register("placement", "static-hash")
def plan_static_hash(
    state: PlacementState, policy: PlacementPolicy, now_ms: float
) -> list[PlannedMove]:
    """Baseline: each range goes to the server that its index names."""
    moves = []
    for service, placement in state.services.items():
        plan = _Plan(service, placement)
        servers = sorted(plan.usable)
        if not servers:
            continue
        for unit in plan.settled_units():
            target = servers[_range_number(unit, placement.ranges) % len(servers)]
            if unit.owner == target:
                continue
            reason = plan.homeless_reason(unit) or MoveReason.REBALANCE
            moves.append(PlannedMove(service, unit.unit, target, reason))
    return moves


@register("placement", "round-robin")
def plan_round_robin(
    state: PlacementState, policy: PlacementPolicy, now_ms: float
) -> list[PlannedMove]:
    """Baseline: units without a usable owner go to the servers in turn."""
    moves = []
    for service, placement in state.services.items():
        plan = _Plan(service, placement)
        servers = sorted(plan.usable)
        if not servers:
            continue
        for turn, (unit, reason) in enumerate(plan.homeless()):
            target = servers[turn % len(servers)]
            moves.append(PlannedMove(service, unit.unit, target, reason))
    return moves


@register("placement", "always-rebalance")
def plan_always(
    state: PlacementState, policy: PlacementPolicy, now_ms: float
) -> list[PlannedMove]:
    """Baseline: rebalances whenever a move gains anything."""
    eager = {
        service: msgspec.structs.replace(
            settings,
            imbalance_threshold=1.0,
            gain_threshold=0.0,
            moves_per_minute=1_000_000,
            cool_down_ms=0.0,
        )
        for service, settings in policy.services.items()
    }
    return plan_moves(state, PlacementPolicy(eager), now_ms)


def server_loads(placement: ServicePlacement) -> dict[ServerId, float]:
    """Return requests per second of each usable server, by the routers' counts."""
    return dict(_Plan(ServiceName(""), placement).loads)


class _Plan:
    """Loads of the servers of one service, and the moves planned so far."""

    def __init__(self, service: ServiceName, placement: ServicePlacement) -> None:
        self.service = service
        self.placement = placement
        self.moves: list[PlannedMove] = []
        self.usable = {
            entry.server: entry
            for entry in placement.servers
            if _takes_units(entry) and entry.server not in placement.drained
        }
        self.lost = {
            entry.server
            for entry in placement.servers
            if entry.state is ServerState.LOST
        }
        self.known = {entry.server for entry in placement.servers}
        self.units = _units_by_id(placement)
        self.unit_rates = _unit_rates(placement, self.units)
        self.planned: set[UnitId] = set()
        self.split: set[UnitId] = set()
        self.loads = dict.fromkeys(self.usable, 0.0)
        for unit in self.units.values():
            holder = _holder(unit)
            if holder in self.loads:
                self.loads[holder] += self.unit_rates[unit.unit]

    @property
    def mean(self) -> float:
        """Mean load of the usable servers, units without an owner included."""
        return sum(self.unit_rates.values()) / len(self.usable)

    def settled_units(self) -> list[Unit]:
        return [
            unit
            for unit in self.units.values()
            if unit.state is UnitState.ACTIVE and unit.unit not in self.planned
        ]

    def homeless_reason(self, unit: Unit) -> MoveReason | None:
        """Return why the unit must leave its holder, if so."""
        holder = _holder(unit)
        if holder is None:
            return MoveReason.INITIAL
        if holder in self.usable:
            return None
        if holder in self.lost or holder not in self.known:
            return MoveReason.LOST
        return MoveReason.DRAINING

    def homeless(self) -> list[tuple[Unit, MoveReason]]:
        """Return the units that must leave their holder, the busiest first."""
        found = []
        for unit in self.units.values():
            reason = self.homeless_reason(unit)
            if reason is None or unit.unit in self.planned:
                continue
            # A unit on its way to a draining server moves on once it has arrived.
            if unit.state is UnitState.MOVING and reason is MoveReason.DRAINING:
                continue
            found.append((unit, reason))
        found.sort(key=lambda item: (-self.unit_rates[item[0].unit], item[0].unit))
        return found

    def place_pins(self) -> None:
        """Move each pinned key to its place, if that takes units now."""
        for key, target in sorted(self.placement.pins.items()):
            override = override_unit(key)
            unit = self.units.get(override)
            home = self.units[self._home(override)]
            if (unit or home).state is UnitState.MOVING:
                continue
            allowed = [
                server
                for server, entry in self.usable.items()
                if target.server in (None, server)
                and target.data_centre in (None, entry.data_centre)
            ]
            if not allowed or (unit is not None and unit.owner in allowed):
                continue
            self._add_override(key)
            self._move(override, self._idlest(allowed), MoveReason.PIN)

    def place_homeless(self) -> None:
        """Spread units without a usable holder over the servers by load."""
        homeless = self.homeless()
        if not homeless:
            return
        weight = IDLE_SHARE * statistics.fmean(self.unit_rates.values()) or 1.0
        held = dict.fromkeys(self.usable, 0)
        for unit in self.units.values():
            holder = _holder(unit)
            if holder in held:
                held[holder] += 1
        heap = [(self.loads[s] + weight * held[s], s) for s in sorted(self.usable)]
        heapq.heapify(heap)
        for unit, reason in homeless:
            load, server = heap[0]
            self._move(unit.unit, server, reason)
            added = self.unit_rates[unit.unit] + weight
            heapq.heapreplace(heap, (load + added, server))

    def rebalance(self, settings: ServicePolicy, now_ms: float) -> None:
        """Return cooled keys to their ranges, then relieve the busiest servers."""
        recent = [
            planned_ms
            for planned_ms in self.placement.voluntary_ms
            if now_ms - planned_ms < MINUTE_MS
        ]
        budget = settings.moves_per_minute - len(recent)
        budget -= self._return_cooled(settings, now_ms, budget)
        if self.mean < LEAST_RATE_PER_S:
            return
        self._split_hot(settings, now_ms)
        stuck: set[ServerId] = set()
        while budget > 0:
            busiest = self._busiest(settings, stuck)
            if busiest is None:
                return
            if self._relieve(busiest, settings, now_ms):
                budget -= 1
            else:
                stuck.add(busiest)

    def _return_cooled(
        self, settings: ServicePolicy, now_ms: float, budget: int
    ) -> int:
        cool_rate = COOLED_PART * settings.hot_share * self.mean
        returned = 0
        for unit in self.settled_units():
            if returned >= budget:
                break
            if not is_override(unit.unit) or self._is_pinned(unit.unit):
                continue
            if self.unit_rates[unit.unit] > cool_rate:
                continue
            if self._is_cooling_down(unit.unit, settings, now_ms):
                continue
            home = self.units[self._home(unit.unit)]
            if not self._is_settled(home) or home.owner is None:
                continue
            self._move(unit.unit, home.owner, MoveReason.COOLED)
            returned += 1
        return returned

    def _split_hot(self, settings: ServicePolicy, now_ms: float) -> None:
        """Treat each hot key as a unit of its own, so that it may move alone."""
        hot_rate = settings.hot_share * self.mean
        overrides = sum(is_override(unit) for unit in self.units)
        for key, rate in sorted(self.placement.rates.keys.items()):
            unit = override_unit(key)
            if rate < hot_rate or unit in self.units or overrides >= MAX_OVERRIDES:
                continue
            if not self._is_settled(self.units[self._home(unit)]):
                continue
            self._add_override(key)
            overrides += 1

    def _busiest(
        self, settings: ServicePolicy, stuck: set[ServerId]
    ) -> ServerId | None:
        allowed = settings.imbalance_threshold * self.mean
        busy = [
            server
            for server, load in self.loads.items()
            if load > allowed and server not in stuck
        ]
        return max(busy, key=lambda s: (self.loads[s], s), default=None)

    def _relieve(
        self, busiest: ServerId, settings: ServicePolicy, now_ms: float
    ) -> bool:
        """Plan the move off the busiest server that gains most, if any is worth it."""
        target = self._idlest(self.usable)
        load, idle = self.loads[busiest], self.loads[target]
        best: tuple[float, UnitId] | None = None
        for unit in self.settled_units():
            if unit.owner != busiest or self._is_pinned(unit.unit):
                continue
            if self._is_split(unit.unit) and self._home(unit.unit) in self.planned:
                continue
            rate = self.unit_rates[unit.unit]
            gain = (load - max(load - rate, idle + rate)) / self.mean
            if gain <= settings.gain_threshold:
                continue
            if self._is_cooling_down(unit.unit, settings, now_ms):
                continue
            if best is None or (gain, unit.unit) > best:
                best = (gain, unit.unit)
        if best is None:
            return False
        if not self._is_split(best[1]):
            self._move(best[1], target, MoveReason.REBALANCE)
            return True
        self._move(best[1], target, MoveReason.HOT_KEY)
        # The new override raises the epoch of its range, which must not move at once.
        self.planned.add(self._home(best[1]))
        return True

    def _is_split(self, unit: UnitId) -> bool:
        """Return whether the unit is an override that does not exist yet."""
        return unit in self.split

    def _home(self, unit: UnitId) -> UnitId:
        return _range_of(unit, self.placement.ranges)

    def _is_settled(self, unit: Unit) -> bool:
        if unit.state is UnitState.MOVING or unit.unit in self.planned:
            return False
        return unit.owner in self.usable

    def _is_pinned(self, unit: UnitId) -> bool:
        return is_override(unit) and _key_of(unit) in self.placement.pins

    def _is_cooling_down(
        self, unit: UnitId, settings: ServicePolicy, now_ms: float
    ) -> bool:
        moved_ms = self.placement.moved_ms.get(unit, -math.inf)
        return now_ms - moved_ms < settings.cool_down_ms

    def _idlest(self, servers: Iterable[ServerId]) -> ServerId:
        return min(servers, key=lambda server: (self.loads[server], server))

    def _add_override(self, key: Key) -> None:
        """Split a key from its range, on the same owner for now."""
        unit = override_unit(key)
        if unit in self.units:
            return
        home = self.units[self._home(unit)]
        rate = min(self.placement.rates.keys.get(key, 0.0), self.unit_rates[home.unit])
        self.units[unit] = Unit(unit, home.owner, home.epoch)
        self.split.add(unit)
        self.unit_rates[unit] = rate
        self.unit_rates[home.unit] -= rate

    def _move(self, unit: UnitId, target: ServerId, reason: MoveReason) -> None:
        rate = self.unit_rates[unit]
        holder = _holder(self.units[unit])
        if holder in self.loads:
            self.loads[holder] -= rate
        self.loads[target] += rate
        self.planned.add(unit)
        self.moves.append(PlannedMove(self.service, unit, target, reason))


def _averaged(
    rates: Mapping[Counted, float], counts: Mapping[Counted, int], elapsed_ms: float
) -> dict[Counted, float]:
    kept = math.exp(-elapsed_ms / RATE_TIME_CONSTANT_MS)
    averaged = {}
    for name in {**rates, **counts}:
        per_second = counts.get(name, 0) * 1000 / elapsed_ms
        rate = kept * rates.get(name, 0.0) + (1 - kept) * per_second
        if rate >= FORGOTTEN_PER_S:
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
    """Return the rate of each unit; ranges without their overridden keys."""
    rates = {unit: placement.rates.ranges.get(unit, 0.0) for unit in units}
    for unit in units:
        if not is_override(unit):
            continue
        rates[unit] = placement.rates.keys.get(_key_of(unit), 0.0)
        home = _range_of(unit, placement.ranges)
        rates[home] = max(0.0, rates[home] - rates[unit])
    return rates


def _takes_units(entry: ServerEntry) -> bool:
    return entry.state in (ServerState.SERVING, ServerState.COLD)


def _holder(unit: Unit) -> ServerId | None:
    """Return the server that has the unit, or will have it after its move."""
    return unit.next_owner if unit.state is UnitState.MOVING else unit.owner


def _key_of(unit: UnitId) -> Key:
    return Key(unit.partition(":")[2])


def _range_of(unit: UnitId, ranges: int) -> UnitId:
    return range_unit(range_index(_key_of(unit), ranges))


def _range_number(unit: Unit, ranges: int) -> int:
    if is_override(unit.unit):
        return range_index(_key_of(unit.unit), ranges)
    return int(unit.unit[1:])

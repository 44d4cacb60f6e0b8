"""Plans which keys of an evacuated data centre move where, in several steps.

Servers elsewhere get keys so that the load of each one comes close to its share of the
capacity; one that has more already gets none. Each step gives every server only a part
of that, so that a cold or busy server does not get all of its new keys at once.
"""

import math
from bisect import bisect_left
from collections.abc import Sequence

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre, ServerId, ServiceName
from mulberryrelay_kernel.logs import log_event

from .capacity import Capacity
from .catalog import Catalog
from .evacuations import Evacuation
from .messages import LAST_KEY, KeyRange
from .rangeedits import PlannedMove, Ranges
from .rebalance import max_ranges

SPREAD_MS = 1600.0
"""Time in which the moves out of a data centre begin.

Its servers get requests for at least twice as long after the row is read with the
default of ``EvacuationS``, so that moves can end before.
"""
STEP_MS = 400.0
"""Time between two steps; moves with a hand-over usually end within it."""
WHOLE_FACTOR = 1.25
"""Excess over the wanted load up to which a server gets the rest of a range whole."""
MIN_PIECE_SHARE = 0.5
"""Minimum load of a piece, as a share of the mean that a server gets in a step."""


class EvacuationPlanner:
    """Plans the steps of all evacuations during one term of the leader."""

    def __init__(self, catalog: Catalog, clock: Clock) -> None:
        self._catalog = catalog
        self._clock = clock
        self._planned_ms: dict[tuple[ServiceName, DataCentre], float] = {}
        """Time of the last step of each service's evacuation of a data centre."""

    def leaving(self, ranges: Ranges) -> dict[DataCentre, list[KeyRange]]:
        """Return the ranges of each evacuated data centre that have yet to move."""
        leaving: dict[DataCentre, list[KeyRange]] = {}
        if not self._catalog.evacuations.data_centres:
            return leaving
        for key_range in ranges:
            entry = self._catalog.server(key_range.owner)
            if key_range.is_moving or entry is None:
                continue
            if self._catalog.evacuations.is_evacuated(entry.data_centre):
                leaving.setdefault(entry.data_centre, []).append(key_range)
        return leaving

    def plan(
        self,
        service: ServiceName,
        leaving: dict[DataCentre, list[KeyRange]],
        ranges: Ranges,
        samples: Sequence[int],
        targets: Sequence[Capacity],
    ) -> list[PlannedMove]:
        """Return the next moves out of a data centre for which a step is due."""
        now_ms = self._clock()
        for name, leaving_ranges in leaving.items():
            evacuation = self._catalog.evacuations.evacuation(name)
            last_ms = self._planned_ms.get((service, name), float("-inf"))
            if evacuation is None or now_ms - last_ms < STEP_MS:
                continue
            self._planned_ms[service, name] = now_ms
            steps = self._steps_left(evacuation)
            max_splits = max_ranges(len(targets)) - len(ranges)
            moves = plan_evacuation(
                leaving_ranges, ranges, samples, targets, steps, max_splits
            )
            log_event(
                "evacuation_planned",
                service=service,
                data_centre=name,
                ranges=len(leaving_ranges),
                moves=len(moves),
                steps_left=steps,
                targets=len(targets),
            )
            return moves
        return []

    def _steps_left(self, evacuation: Evacuation) -> int:
        """Return in how many steps to move the keys out of a data centre.

        Once its servers get no requests, keys are better at a full server than there.
        """
        if self._catalog.evacuations.is_grace_over(evacuation.data_centre):
            return 1
        return steps_left(self._clock() - evacuation.seen_ms)


def steps_left(since_seen_ms: float) -> int:
    """Return the number of steps left, this one included, after a time."""
    return max(1, 1 + math.floor((SPREAD_MS - since_seen_ms) / STEP_MS))


def plan_evacuation(
    leaving: Sequence[KeyRange],
    ranges: Ranges,
    samples: Sequence[int],
    targets: Sequence[Capacity],
    steps: int,
    max_splits: int,
) -> list[PlannedMove]:
    """Return the moves of one step of an evacuation; ``steps`` are left with this one.

    ``leaving`` are the ranges that have yet to move, ``samples`` the sorted keys of
    recent requests. At most ``max_splits`` ranges are split in all steps together.
    """
    if not targets or not leaving:
        return []
    missing = _missing_loads(leaving, ranges, samples, targets)
    total = sum(_load(samples, r.first, r.last) for r in leaving)
    budget = total / steps
    scale = budget / sum(missing.values())
    wanted = {server: load * scale for server, load in missing.items() if load > 0}
    min_piece = MIN_PIECE_SHARE * budget / len(wanted)
    splits = max(0, max_splits) // steps
    servers = {target.server.server: target.server for target in targets}
    moves: list[PlannedMove] = []
    by_load = sorted(
        leaving, key=lambda r: _load(samples, r.first, r.last), reverse=True
    )
    for key_range in by_load:
        first = key_range.first
        while first <= key_range.last and (budget > min_piece or steps == 1):
            name = max(wanted, key=lambda server: wanted[server])
            piece = max(min_piece, wanted[name])
            if steps > 1:
                piece = min(piece, budget)
            last = key_range.last
            if splits > 0 and _load(samples, first, last) > WHOLE_FACTOR * piece:
                last = _cut(samples, first, last, piece)
            splits -= last < key_range.last
            moved = _load(samples, first, last)
            wanted[name] -= moved
            budget -= moved
            moves.append(PlannedMove(first, last, servers[name]))
            first = last + 1
    return moves


def _missing_loads(
    leaving: Sequence[KeyRange],
    ranges: Ranges,
    samples: Sequence[int],
    targets: Sequence[Capacity],
) -> dict[ServerId, float]:
    """Return by how much the load of each server is below its share of all load.

    The load of the leaving ranges is included in the load to be shared.
    """
    loads = dict.fromkeys((target.server.server for target in targets), 0.0)
    for key_range in ranges:
        owner = key_range.next_owner or key_range.owner
        if owner in loads:
            loads[owner] += _load(samples, key_range.first, key_range.last)
    total = sum(loads.values())
    total += sum(_load(samples, r.first, r.last) for r in leaving)
    shares = sum(target.share for target in targets)
    return {
        target.server.server: max(
            0.0, total * target.share / shares - loads[target.server.server]
        )
        for target in targets
    }


def _cut(samples: Sequence[int], first: int, last: int, load: float) -> int:
    """Return the last key of a piece that has about the given load."""
    low, high = first, last
    while low < high:
        middle = (low + high) // 2
        if _load(samples, first, middle) < load:
            low = middle + 1
        else:
            high = middle
    if low > first and _load(samples, first, low) > WHOLE_FACTOR * load:
        # A busy key that is too much for this piece starts the next one.
        return low - 1
    return low


def _load(samples: Sequence[int], first: int, last: int) -> float:
    """Return the load of keys; without samples, their number decides."""
    sampled = bisect_left(samples, last + 1) - bisect_left(samples, first)
    return sampled + (last - first + 1) / (LAST_KEY + 1)

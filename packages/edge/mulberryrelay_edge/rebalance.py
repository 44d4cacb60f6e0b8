"""Plans which keys to move so that the servers of a service have similar load.

A server's load is its number of sampled requests divided by its capacity. A move takes
keys from one end of a range, so that adjacent hot keys spread over several servers.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable, Sequence

import msgspec

from .capacity import Capacity
from .messages import KeyRange
from .rangeedits import MAX_RANGES, PlannedMove, Ranges

TOLERATED_EXCESS = 0.25
"""Load above the mean, as a fraction of it, that is not corrected."""
NOISE_FACTOR = 1.5
"""Standard deviations of the sample by which a load must exceed the tolerated one."""
MAX_MOVES = 10
"""Maximum number of moves in one plan."""
MIN_SAMPLES = 20
"""Minimum number of sampled requests for a plan."""
MIN_RANGE_LIMIT = 96
"""Maximum number of ranges of a service with few servers."""
RANGES_PER_SERVER = 4
"""Maximum number of ranges per server of a service with many servers."""
CALM_UTILISATION = 0.35
"""Utilisation below which no keys are moved away from a server."""
BUSY_UTILISATION = 0.55
"""Utilisation from which on keys are moved away even soon after the last plan."""
DOMINANT_UTILISATION = 0.5
"""Utilisation by one key above which all other keys are moved away from its server."""
FASTER_FACTOR = 1.3
"""Minimum gain in capacity for which a single hot key is moved."""


class _ServerLoad:
    """Ranges and sampled load of one server while a plan is made."""

    def __init__(self, target: Capacity) -> None:
        self.target = target
        self.ranges: list[KeyRange] = []
        self.samples = 0
        self.arriving_samples = 0
        """Number of samples of the dominant key that is planned to move here."""

    @property
    def relative_load(self) -> float:
        return self.samples / self.target.share

    def utilisation(self, slots_per_sample: float) -> float:
        """Return the fraction of its slots that is occupied."""
        return self.samples * slots_per_sample / self.target.slots


def max_ranges(servers: int) -> int:
    """Return the maximum number of ranges of a service with this many servers."""
    wanted = max(MIN_RANGE_LIMIT, RANGES_PER_SERVER * servers)
    return min(MAX_RANGES, wanted)


def plan_moves(
    ranges: Ranges,
    samples: Sequence[int],
    targets: Sequence[Capacity],
    slots_per_sample: float,
    min_utilisation: float = CALM_UTILISATION,
) -> list[PlannedMove]:
    """Return the moves that bring the load of all targets close to the mean.

    ``samples`` are the sorted keys of recent requests; each request occupies
    ``slots_per_sample`` slots on average. Ranges of servers that are not in
    ``targets`` are not moved, nor those of a server that keeps its keys or has a
    utilisation below ``min_utilisation``. A key that is too busy for its server moves
    to a faster one.
    """
    if len(targets) < 2 or len(samples) < MIN_SAMPLES:
        return []
    loads = {target.server.server: _ServerLoad(target) for target in targets}
    counted = 0
    for key_range in ranges:
        load = loads.get(key_range.owner)
        if load is None or key_range.is_moving:
            continue
        load.ranges.append(key_range)
        weight = _count(samples, key_range.first, key_range.last)
        load.samples += weight
        if not load.target.keeps_keys:
            counted += weight
    shares = [target.share for target in targets if not target.keeps_keys]
    if not shares:
        return []
    mean = counted / sum(shares)
    moves: list[PlannedMove] = []
    max_moves = min(MAX_MOVES, max_ranges(len(targets)) - len(ranges))
    unmovable = {name for name, load in loads.items() if load.target.keeps_keys}
    while len(moves) < max_moves:
        movable = [
            load
            for name, load in loads.items()
            if name not in unmovable and load.ranges
        ]
        if not movable:
            break
        source = max(movable, key=lambda load: load.relative_load)
        destination = min(loads.values(), key=lambda load: load.relative_load)
        move = None
        if source.utilisation(slots_per_sample) >= min_utilisation:
            move = _move_to_faster_server(source, loads.values(), samples)
            excess = _excess_samples(source, samples, mean, slots_per_sample)
            if move is None and excess > 0:
                missing = mean * destination.target.share - destination.samples
                move = _split_off(source, destination, samples, min(excess, missing))
        if move is None:
            unmovable.add(source.target.server.server)
            continue
        moves.append(move)
    return moves


def _excess_samples(
    source: _ServerLoad, samples: Sequence[int], mean: float, slots_per_sample: float
) -> float:
    """Return the number of samples to move away from a server; 0 if there are none."""
    weight = _dominant_weight(source, samples)
    if weight * slots_per_sample > DOMINANT_UTILISATION * source.target.slots:
        # Requests for other keys would queue behind those for the dominant key.
        return source.samples - weight
    fair_share = mean * source.target.share
    excess = source.samples - fair_share
    if excess <= TOLERATED_EXCESS * fair_share + NOISE_FACTOR * math.sqrt(fair_share):
        return 0.0
    return excess


def _split_off(
    source: _ServerLoad, destination: _ServerLoad, samples: Sequence[int], wanted: float
) -> PlannedMove | None:
    """Plan to move about ``wanted`` samples from an end of one of the source's ranges.

    A range may move as a whole if it has no more samples than that. Returns None if
    each range either has no samples or has too many at its first and last keys.
    """
    if wanted < 1:
        return None
    by_weight = sorted(
        source.ranges,
        key=lambda key_range: _count(samples, key_range.first, key_range.last),
        reverse=True,
    )
    for key_range in by_weight:
        samples_in_range = _samples_in(samples, key_range)
        if not samples_in_range:
            return None
        keys_to_move = _choose_end(key_range, samples_in_range, wanted)
        if keys_to_move is None:
            continue
        first, last = keys_to_move
        moved = _count(samples, first, last)
        source.samples -= moved
        destination.samples += moved
        _remove_keys(source, key_range, first, last)
        return PlannedMove(first, last, destination.target.server)
    return None


def _choose_end(
    key_range: KeyRange, samples_in_range: Sequence[int], wanted: float
) -> tuple[int, int] | None:
    """Return an end of a range, or the whole, that has at most ``wanted`` samples."""
    max_samples = max(1, round(wanted))
    if len(samples_in_range) <= max_samples:
        return key_range.first, key_range.last
    # The upper end with the most samples that fit starts above the first key, counted
    # from the top, that would be one sample too many.
    first = samples_in_range[len(samples_in_range) - max_samples - 1] + 1
    upper_count = len(samples_in_range) - bisect_left(samples_in_range, first)
    last = samples_in_range[max_samples] - 1
    lower_count = bisect_left(samples_in_range, last + 1)
    if upper_count >= lower_count and upper_count:
        return first, key_range.last
    if lower_count:
        return key_range.first, last
    return None


def _move_to_faster_server(
    source: _ServerLoad, loads: Iterable[_ServerLoad], samples: Sequence[int]
) -> PlannedMove | None:
    """Plan to move a key with most of the source's load to a much faster server.

    Later plans move the other keys of that server away, unless one of them is dominant
    there as well.
    """
    dominant = _dominant_key(source, samples)
    if dominant is None:
        return None
    key_range, key, weight = dominant
    best: _ServerLoad | None = None
    best_load = weight / (FASTER_FACTOR * source.target.slots)
    for load in loads:
        load_there = (weight + _dominant_weight(load, samples)) / load.target.slots
        if load is not source and load_there < best_load:
            best, best_load = load, load_there
    if best is None:
        return None
    source.samples -= weight
    best.samples += weight
    best.arriving_samples += weight
    _remove_keys(source, key_range, key, key)
    return PlannedMove(key, key, best.target.server)


def _dominant_weight(load: _ServerLoad, samples: Sequence[int]) -> int:
    """Return the number of samples of a server's dominant key; 0 if it has none."""
    dominant = _dominant_key(load, samples)
    return max(load.arriving_samples, dominant[2] if dominant is not None else 0)


def _dominant_key(
    load: _ServerLoad, samples: Sequence[int]
) -> tuple[KeyRange, int, int] | None:
    """Return the key with at least half of a server's samples, if there is one.

    The result has the key's range, the key and its number of samples.
    """
    for key_range in load.ranges:
        samples_in_range = _samples_in(samples, key_range)
        if 2 * len(samples_in_range) < load.samples or not samples_in_range:
            continue
        # A key with at least half of the samples is the median of its range's samples.
        key = samples_in_range[len(samples_in_range) // 2]
        weight = _count(samples_in_range, key, key)
        if 2 * weight >= load.samples:
            return key_range, key, weight
    return None


def _remove_keys(
    source: _ServerLoad, key_range: KeyRange, first: int, last: int
) -> None:
    """Remove keys from one of the source's ranges and keep the rest."""
    source.ranges.remove(key_range)
    if key_range.first < first:
        source.ranges.append(msgspec.structs.replace(key_range, last=first - 1))
    if last < key_range.last:
        source.ranges.append(msgspec.structs.replace(key_range, first=last + 1))


def place_unowned_ranges(
    unowned: Sequence[KeyRange],
    ranges: Ranges,
    samples: Sequence[int],
    targets: Sequence[Capacity],
) -> list[PlannedMove]:
    """Return moves of whole ranges to the servers with the lowest load."""
    if not targets:
        return []
    # Without samples, the widths of the ranges decide.
    width_weight = 1.0 / 65536
    loads = dict.fromkeys((t.server.server for t in targets), 0.0)
    for key_range in ranges:
        owner = key_range.next_owner or key_range.owner
        if owner in loads:
            loads[owner] += _count(samples, key_range.first, key_range.last)
            loads[owner] += (key_range.last - key_range.first + 1) * width_weight
    moves = []
    by_weight = sorted(
        unowned,
        key=lambda key_range: _count(samples, key_range.first, key_range.last),
        reverse=True,
    )
    for key_range in by_weight:
        best = min(targets, key=lambda t: loads[t.server.server] / t.share)
        loads[best.server.server] += _count(samples, key_range.first, key_range.last)
        loads[best.server.server] += (
            key_range.last - key_range.first + 1
        ) * width_weight
        moves.append(PlannedMove(key_range.first, key_range.last, best.server))
    return moves


def _samples_in(samples: Sequence[int], key_range: KeyRange) -> Sequence[int]:
    """Return the samples whose key is in a range."""
    first = bisect_left(samples, key_range.first)
    return samples[first : bisect_left(samples, key_range.last + 1)]


def _count(samples: Sequence[int], first: int, last: int) -> int:
    return bisect_left(samples, last + 1) - bisect_left(samples, first)

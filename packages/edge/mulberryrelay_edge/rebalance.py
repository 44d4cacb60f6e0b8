"""Plans which keys to move so that the servers of a service have similar load.

A server's load is its number of sampled requests divided by its capacity. A move takes
keys from one end of a range, so that adjacent hot keys spread over several servers.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable, Sequence

import msgspec

from mulberryrelay_kernel.ids import ServerId

from .keyspace import LARGEST_MAP, Piece, Ranges
from .messages import BackendServer, KeyRange

TOLERATED_EXCESS = 0.25
"""Load above the mean, as a fraction of it, that is not corrected."""
NOISE_FACTOR = 1.5
"""Standard deviations of the sample by which a load must exceed the tolerated one."""
MAX_MOVES = 10
"""Maximum number of moves in one plan."""
MIN_SAMPLES = 20
"""Minimum number of sampled requests for a plan."""
LEAST_MAX_RANGES = 96
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


class Capacity(msgspec.Struct, frozen=True):
    """A server that may own keys, and its capacity."""

    server: BackendServer
    share: float
    """Load that it is to get, relative to other servers."""
    slots: float
    """Its capacity, as a number of slots of a server of average speed."""


class _Load:
    """Ranges and sampled load of one server while a plan is made."""

    def __init__(self, target: Capacity) -> None:
        self.target = target
        self.ranges: list[KeyRange] = []
        self.samples = 0
        self.arriving = 0
        """Number of samples of the dominant key that is planned to move here."""

    @property
    def relative(self) -> float:
        return self.samples / self.target.share

    def utilisation(self, work_per_sample: float) -> float:
        """Return the fraction of its slots that is occupied."""
        return self.samples * work_per_sample / self.target.slots


def most_ranges(servers: int) -> int:
    """Return the maximum number of ranges of a service with this many servers."""
    wanted = max(LEAST_MAX_RANGES, RANGES_PER_SERVER * servers)
    return min(LARGEST_MAP, wanted)


def plan_moves(
    ranges: Ranges,
    samples: Sequence[int],
    targets: Sequence[Capacity],
    work_per_sample: float,
    least_utilisation: float = CALM_UTILISATION,
) -> list[Piece]:
    """Return the moves that bring the load of all targets close to the mean.

    ``samples`` are the sorted keys of recent requests; each request occupies
    ``slots_per_sample`` slots on average. Ranges of servers that are not in
    ``targets`` are not moved, nor those of a server with a utilisation below
    ``min_utilisation``. A key that is too busy for its server moves to a faster one.
    """
    if len(targets) < 2 or len(samples) < MIN_SAMPLES:
        return []
    loads = {target.server.server: _Load(target) for target in targets}
    counted = 0
    for part in ranges:
        load = loads.get(part.owner)
        if load is None or part.is_moving:
            continue
        load.ranges.append(part)
        weight = _count(samples, part.first, part.last)
        load.samples += weight
        counted += weight
    mean = counted / sum(target.share for target in targets)
    pieces: list[Piece] = []
    most = min(MAX_MOVES, most_ranges(len(targets)) - len(ranges))
    stuck: set[ServerId] = set()
    while len(pieces) < most:
        movable = [
            load for name, load in loads.items() if name not in stuck and load.ranges
        ]
        if not movable:
            break
        source = max(movable, key=lambda load: load.relative)
        sink = min(loads.values(), key=lambda load: load.relative)
        piece = None
        if source.utilisation(work_per_sample) >= least_utilisation:
            piece = _speed_up(source, loads.values(), samples)
            excess = _excess(source, samples, mean, work_per_sample)
            if piece is None and excess > 0:
                missing = mean * sink.target.share - sink.samples
                piece = _cut(source, sink, samples, min(excess, missing))
        if piece is None:
            stuck.add(source.target.server.server)
            continue
        pieces.append(piece)
    return pieces


def _excess(
    source: _Load, samples: Sequence[int], mean: float, work_per_sample: float
) -> float:
    """Return the number of samples to move away from a server; 0 if there are none."""
    weight = _dominant_weight(source, samples)
    if weight * work_per_sample > DOMINANT_UTILISATION * source.target.slots:
        # Requests for other keys would queue behind those for the dominant key.
        return source.samples - weight
    fair = mean * source.target.share
    excess = source.samples - fair
    if excess <= TOLERATED_EXCESS * fair + NOISE_FACTOR * math.sqrt(fair):
        return 0.0
    return excess


def _cut(
    source: _Load, sink: _Load, samples: Sequence[int], wanted: float
) -> Piece | None:
    """Plan to move about ``wanted`` samples from an end of one of the source's ranges.

    A range may move as a whole if it has no more samples than that. Returns None if
    each range either has no samples or has too many at its first and last keys.
    """
    if wanted < 1:
        return None
    by_weight = sorted(
        source.ranges,
        key=lambda part: _count(samples, part.first, part.last),
        reverse=True,
    )
    for part in by_weight:
        inside = _inside(samples, part)
        if not inside:
            return None
        cut = _end_of(part, inside, wanted)
        if cut is None:
            continue
        first, last = cut
        moved = _count(samples, first, last)
        source.samples -= moved
        sink.samples += moved
        _take_out(source, part, first, last)
        return Piece(first, last, sink.target.server)
    return None


def _end_of(
    part: KeyRange, inside: Sequence[int], wanted: float
) -> tuple[int, int] | None:
    """Return an end of a range, or the whole, that has at most ``wanted`` samples."""
    most = max(1, round(wanted))
    if len(inside) <= most:
        return part.first, part.last
    # The upper end with the most samples that fit starts above the first key, counted
    # from the top, that would be one sample too many.
    first = inside[len(inside) - most - 1] + 1
    above = len(inside) - bisect_left(inside, first)
    last = inside[most] - 1
    below = bisect_left(inside, last + 1)
    if above >= below and above:
        return first, part.last
    if below:
        return part.first, last
    return None


def _speed_up(
    source: _Load, loads: Iterable[_Load], samples: Sequence[int]
) -> Piece | None:
    """Plan to move a key with most of the source's load to a much faster server.

    Later plans move the other keys of that server away, unless one of them is dominant
    there as well.
    """
    found = _dominant_key(source, samples)
    if found is None:
        return None
    part, key, weight = found
    best: _Load | None = None
    best_load = weight / (FASTER_FACTOR * source.target.slots)
    for load in loads:
        load_there = (weight + _dominant_weight(load, samples)) / load.target.slots
        if load is not source and load_there < best_load:
            best, best_load = load, load_there
    if best is None:
        return None
    source.samples -= weight
    best.samples += weight
    best.arriving += weight
    _take_out(source, part, key, key)
    return Piece(key, key, best.target.server)


def _dominant_weight(load: _Load, samples: Sequence[int]) -> int:
    """Return the number of samples of a server's dominant key; 0 if it has none."""
    found = _dominant_key(load, samples)
    return max(load.arriving, found[2] if found is not None else 0)


def _dominant_key(
    load: _Load, samples: Sequence[int]
) -> tuple[KeyRange, int, int] | None:
    """Return the key with at least half of a server's samples, if there is one.

    The result has the key's range, the key and its number of samples.
    """
    for part in load.ranges:
        inside = _inside(samples, part)
        if 2 * len(inside) < load.samples or not inside:
            continue
        # A key with at least half of the samples is the median of its range's samples.
        key = inside[len(inside) // 2]
        weight = _count(inside, key, key)
        if 2 * weight >= load.samples:
            return part, key, weight
    return None


def _take_out(source: _Load, part: KeyRange, first: int, last: int) -> None:
    """Remove keys from one of the source's ranges and keep the rest."""
    source.ranges.remove(part)
    if part.first < first:
        source.ranges.append(msgspec.structs.replace(part, last=first - 1))
    if last < part.last:
        source.ranges.append(msgspec.structs.replace(part, first=last + 1))


def place_orphans(
    orphans: Sequence[KeyRange],
    ranges: Ranges,
    samples: Sequence[int],
    targets: Sequence[Capacity],
) -> list[Piece]:
    """Return moves of whole ranges to the servers with the lowest load."""
    if not targets:
        return []
    # Without samples, the widths of the ranges decide.
    width_weight = 1.0 / 65536
    loads = dict.fromkeys((t.server.server for t in targets), 0.0)
    for part in ranges:
        owner = part.next_owner or part.owner
        if owner in loads:
            loads[owner] += _count(samples, part.first, part.last)
            loads[owner] += (part.last - part.first + 1) * width_weight
    pieces = []
    by_weight = sorted(
        orphans,
        key=lambda part: _count(samples, part.first, part.last),
        reverse=True,
    )
    for part in by_weight:
        best = min(targets, key=lambda t: loads[t.server.server] / t.share)
        loads[best.server.server] += _count(samples, part.first, part.last)
        loads[best.server.server] += (part.last - part.first + 1) * width_weight
        pieces.append(Piece(part.first, part.last, best.server))
    return pieces


def _inside(samples: Sequence[int], part: KeyRange) -> Sequence[int]:
    """Return the samples whose key is in a range."""
    first = bisect_left(samples, part.first)
    return samples[first : bisect_left(samples, part.last + 1)]


def _count(samples: Sequence[int], first: int, last: int) -> int:
    return bisect_left(samples, last + 1) - bisect_left(samples, first)

"""Plans which keys move so that the servers of a service carry similar load.

Load is counted in sampled requests, divided by the capacity of the server. A move takes
an end of a range, so that neighbouring hot keys spread over several servers.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable, Sequence

import msgspec

from mulberryrelay_kernel.ids import ServerId

from .keyspace import LARGEST_MAP, Piece, Ranges
from .messages import BackendServer, KeyRange

TOLERATED_EXCESS = 0.25
"""Load above the mean that no move corrects."""
NOISE_FACTOR = 1.5
"""Standard deviations of the sample that an excess must have."""
MAX_MOVES = 10
MIN_SAMPLES = 20
LEAST_MAX_RANGES = 96
RANGES_PER_SERVER = 4
CALM_UTILISATION = 0.35
"""Share of busy slots up to which a server needs no relief."""
BUSY_UTILISATION = 0.55
"""Share of busy slots from which on a server needs relief soon after a plan."""
DOMINANT_UTILISATION = 0.5
"""Share of busy slots from which on a single key has its server for itself."""
FASTER_FACTOR = 1.3
"""Gain in capacity for which a single busy key moves."""


class Capacity(msgspec.Struct, frozen=True):
    """A server that may hold keys and what it can do."""

    server: BackendServer
    share: float
    """What it is to do, relative to others."""
    slots: float
    """What it can do: slots of a server of usual speed."""


class _Load:
    def __init__(self, target: Capacity) -> None:
        self.target = target
        self.ranges: list[KeyRange] = []
        self.samples = 0
        self.arriving = 0
        """Samples of a single key that is to move here."""

    @property
    def relative(self) -> float:
        return self.samples / self.target.share

    def utilisation(self, work_per_sample: float) -> float:
        """Return the share of its slots that is busy."""
        return self.samples * work_per_sample / self.target.slots


def most_ranges(servers: int) -> int:
    """Return into how many ranges the keys of a service may be divided."""
    wanted = max(LEAST_MAX_RANGES, RANGES_PER_SERVER * servers)
    return min(LARGEST_MAP, wanted)


def plan_moves(
    ranges: Ranges,
    samples: Sequence[int],
    targets: Sequence[Capacity],
    work_per_sample: float,
    least_utilisation: float = CALM_UTILISATION,
) -> list[Piece]:
    """Return the moves that bring the load of all targets near the mean.

    ``samples`` are the keys of recent requests, sorted; each stands for
    ``work_per_sample`` occupied slots. Ranges that belong to servers outside
    ``targets`` are left alone, and so is a server of which a smaller share of slots
    than ``least_utilisation`` is busy. A key too busy for its server moves to one that
    is faster.
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
    """Return how many samples are to leave a server, or 0 if it may stay as it is."""
    weight = _dominant_weight(source, samples)
    if weight * work_per_sample > DOMINANT_UTILISATION * source.target.slots:
        # Other keys would wait behind the busy one.
        return source.samples - weight
    fair = mean * source.target.share
    excess = source.samples - fair
    if excess <= TOLERATED_EXCESS * fair + NOISE_FACTOR * math.sqrt(fair):
        return 0.0
    return excess


def _cut(
    source: _Load, sink: _Load, samples: Sequence[int], wanted: float
) -> Piece | None:
    """Take about ``wanted`` samples off the source, at an end of one of its ranges.

    A range may be taken whole if that is not too much. Returns None if each range is
    either idle or its first and last keys are too busy.
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
    """Return an end of a range, or all of it, with at most ``wanted`` samples."""
    most = max(1, round(wanted))
    if len(inside) <= most:
        return part.first, part.last
    # The most that fits from above: everything over the key that is one too many.
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
    """Move a key that makes up most of the source's load to a much faster server.

    What else that server holds moves away afterwards, unless it is such a key, too.
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
    """Return the samples of the one key that makes up most of a load, or 0."""
    found = _dominant_key(load, samples)
    return max(load.arriving, found[2] if found is not None else 0)


def _dominant_key(
    load: _Load, samples: Sequence[int]
) -> tuple[KeyRange, int, int] | None:
    """Return a key with half of a server's load, its range and its samples."""
    for part in load.ranges:
        inside = _inside(samples, part)
        if 2 * len(inside) < load.samples or not inside:
            continue
        # A key with half of all samples is also the middle one of its range.
        key = inside[len(inside) // 2]
        weight = _count(inside, key, key)
        if 2 * weight >= load.samples:
            return part, key, weight
    return None


def _take_out(source: _Load, part: KeyRange, first: int, last: int) -> None:
    """Leave the rest of a range to the source."""
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
    """Return moves of whole ranges to the servers with the least load."""
    if not targets:
        return []
    # Without samples the width of the ranges decides.
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
    """Return the samples of a range."""
    first = bisect_left(samples, part.first)
    return samples[first : bisect_left(samples, part.last + 1)]


def _count(samples: Sequence[int], first: int, last: int) -> int:
    return bisect_left(samples, last + 1) - bisect_left(samples, first)

"""Plans which keys move so that the servers of a service carry similar load.

Load is counted in sampled requests, divided by the capacity of the server. A move takes
an end of a range, so that neighbouring hot keys spread over several servers.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable, Sequence

import msgspec

from mulberryrelay_kernel.ids import ServerId

from .keyspace import Piece, Ranges
from .messages import BackendServer, KeyRange

TOLERATED_EXCESS = 0.25
"""Load above the mean that no move corrects."""
NOISE_FACTOR = 1.5
"""Standard deviations of the sample that an excess must have."""
MAX_MOVES = 10
MIN_SAMPLES = 20
MAX_RANGES = 96
CALM_UTILISATION = 0.35
"""Share of busy slots up to which a server needs no relief."""
BUSY_UTILISATION = 0.55
"""Share of busy slots from which on a server needs relief soon after a plan."""
FASTER_FACTOR = 1.3
"""Gain in capacity for which a single busy key moves."""


class Capacity(msgspec.Struct, frozen=True):
    """A server that may hold keys and what it can do, relative to others."""

    server: BackendServer
    capacity: float


class _Load:
    def __init__(self, target: Capacity) -> None:
        self.target = target
        self.ranges: list[KeyRange] = []
        self.samples = 0

    @property
    def relative(self) -> float:
        return self.samples / self.target.capacity


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
    mean = counted / sum(target.capacity for target in targets)
    pieces: list[Piece] = []
    most = min(MAX_MOVES, MAX_RANGES - len(ranges))
    stuck: set[ServerId] = set()
    while len(pieces) < most:
        movable = [
            load for name, load in loads.items() if name not in stuck and load.ranges
        ]
        if not movable:
            break
        source = max(movable, key=lambda load: load.relative)
        sink = min(loads.values(), key=lambda load: load.relative)
        if source.relative * work_per_sample < least_utilisation:
            break
        fair = mean * source.target.capacity
        excess = source.samples - fair
        if excess <= TOLERATED_EXCESS * fair + NOISE_FACTOR * math.sqrt(fair):
            break
        missing = mean * sink.target.capacity - sink.samples
        piece = _cut(source, sink, samples, min(excess, missing))
        if piece is None:
            piece = _speed_up(source, loads.values(), samples)
        if piece is None:
            stuck.add(source.target.server.server)
            continue
        pieces.append(piece)
    return pieces


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
        inside = samples[
            bisect_left(samples, part.first) : bisect_left(samples, part.last + 1)
        ]
        if not inside:
            return None
        cut = _end_of(part, inside, wanted)
        if cut is None:
            continue
        first, last = cut
        moved = _count(samples, first, last)
        source.samples -= moved
        sink.samples += moved
        source.ranges.remove(part)
        if part.first < first:
            source.ranges.append(msgspec.structs.replace(part, last=first - 1))
        if last < part.last:
            source.ranges.append(msgspec.structs.replace(part, first=last + 1))
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
    """Move the source's busiest range, of one busy key, to a much faster server."""
    fastest = max(loads, key=lambda load: load.target.capacity)
    gain = fastest.target.capacity / source.target.capacity
    busiest = max(
        source.ranges, key=lambda part: _count(samples, part.first, part.last)
    )
    weight = _count(samples, busiest.first, busiest.last)
    if gain < FASTER_FACTOR or 2 * weight < source.samples:
        return None
    if fastest.samples + weight > source.samples * gain:
        return None
    source.samples -= weight
    fastest.samples += weight
    source.ranges.remove(busiest)
    return Piece(busiest.first, busiest.last, fastest.target.server)


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
        best = min(targets, key=lambda t: loads[t.server.server] / t.capacity)
        loads[best.server.server] += _count(samples, part.first, part.last)
        loads[best.server.server] += (part.last - part.first + 1) * width_weight
        pieces.append(Piece(part.first, part.last, best.server))
    return pieces


def _count(samples: Sequence[int], first: int, last: int) -> int:
    return bisect_left(samples, last + 1) - bisect_left(samples, first)

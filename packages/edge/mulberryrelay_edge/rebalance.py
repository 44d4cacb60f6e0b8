"""Plans which keys move so that the servers of a service carry similar load.

Load is counted in sampled requests, divided by the capacity of the server. A move takes
an end of a range, so that neighbouring hot keys spread over several servers.
"""

import math
from bisect import bisect_left
from collections.abc import Sequence

import msgspec

from .keyspace import Piece, Ranges
from .messages import BackendServer, KeyRange

TOLERATED_EXCESS = 0.25
"""Load above the mean that no move corrects."""
NOISE_FACTOR = 1.5
"""Standard deviations of the sample that an excess must have."""
MAX_MOVES = 6
MIN_SAMPLES = 20
MAX_RANGES = 96


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
    ranges: Ranges, samples: Sequence[int], targets: Sequence[Capacity]
) -> list[Piece]:
    """Return the moves that bring the load of all targets near the mean.

    ``samples`` are the keys of recent requests, sorted. Ranges that belong to servers
    outside ``targets`` are left alone.
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
    room = MAX_RANGES - len(ranges)
    while len(pieces) < MAX_MOVES and len(pieces) < room:
        source = max(loads.values(), key=lambda load: load.relative)
        sink = min(loads.values(), key=lambda load: load.relative)
        fair = mean * source.target.capacity
        excess = source.samples - fair
        if excess <= TOLERATED_EXCESS * fair + NOISE_FACTOR * math.sqrt(fair):
            break
        missing = mean * sink.target.capacity - sink.samples
        piece = _cut(source, sink, samples, min(excess, missing))
        if piece is None:
            break
        pieces.append(piece)
    return pieces


def _cut(
    source: _Load, sink: _Load, samples: Sequence[int], wanted: float
) -> Piece | None:
    """Take about ``wanted`` samples from the source's busiest range."""
    if wanted < 1 or not source.ranges:
        return None
    busiest = max(
        source.ranges, key=lambda part: _count(samples, part.first, part.last)
    )
    first = bisect_left(samples, busiest.first)
    last = bisect_left(samples, busiest.last + 1)
    inside = samples[first:last]
    count = min(len(inside), max(1, round(wanted)))
    if not count:
        return None
    if len(inside) - count < 1 and len(source.ranges) == 1:
        # The whole load of the source is one key, or cannot be divided.
        if inside[0] == inside[-1]:
            return None
        count = len(inside) // 2
    cut = inside[len(inside) - count]
    if cut == inside[0]:
        # Many requests for one key: all from the next key on move instead.
        above = [key for key in inside if key > cut]
        if not above:
            return None
        cut = above[0]
    piece = Piece(cut, busiest.last, sink.target.server)
    moved = _count(samples, cut, busiest.last)
    source.samples -= moved
    source.ranges.remove(busiest)
    source.ranges.append(msgspec.structs.replace(busiest, last=cut - 1))
    sink.samples += moved
    return piece


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

"""Draws the faults of a run from its seed: in series and overlapping.

The same seed and options give the same faults at the same times. Which router leads is
known only while the run goes on, so a fault may name the leader as its target.
"""

import random

import msgspec

from .faultkinds import FaultKind
from .options import SoakOptions

WEIGHTS = {
    FaultKind.ROUTE_ADDED: 4,
    FaultKind.ROUTE_REMOVED: 2,
    FaultKind.ROUTER_TERM: 3,
    FaultKind.ROUTER_KILL: 2,
    FaultKind.ROUTER_PAUSE: 2,
    FaultKind.SERVER_DRAIN: 2,
}
"""How often a kind is drawn, relative to kinds that are not listed."""
LEADER_SHARE = 0.35
"""Share of the faults of routers that strike the leader."""
GAP_S = (0.0, 3.5)
"""Bounds of the time between the starts of two faults; short ones overlap."""
LENGTH_S = (0.3, 6.0)
"""Bounds of the length of a fault."""
SERIES_SHARE = 0.25
"""Share of the faults that are repeated at further targets one after the other."""
MAX_SERIES = 4


class Fault(msgspec.Struct, frozen=True):
    """One fault; times in seconds from the start of the callers."""

    at_s: float
    kind: FaultKind
    target: int
    """Number that selects a router or server."""
    for_s: float
    strikes_leader: bool = False


def draw_plan(seed: int, options: SoakOptions) -> list[Fault]:
    """Return the faults of a run in order of time."""
    rng = random.Random(seed)
    end_s = options.warm_up_s + options.faults_s
    kinds = list(options.kinds or FaultKind)
    weights = [WEIGHTS.get(kind, 1) for kind in kinds]
    faults: list[Fault] = []
    at_s = options.warm_up_s
    while at_s < end_s:
        kind = rng.choices(kinds, weights)[0]
        repeats = rng.randint(2, MAX_SERIES) if rng.random() < SERIES_SHARE else 1
        gap_s = rng.uniform(*GAP_S)
        for number in range(repeats):
            start_s = at_s + number * gap_s
            if start_s >= end_s:
                break
            length_s = min(rng.uniform(*LENGTH_S), end_s - start_s)
            target = rng.randrange(1 << 16)
            strikes_leader = rng.random() < LEADER_SHARE
            faults.append(Fault(start_s, kind, target, length_s, strikes_leader))
        at_s += rng.uniform(*GAP_S)
    return sorted(faults, key=lambda fault: fault.at_s)

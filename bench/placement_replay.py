"""Replays a trace of keyed requests and server states through a placement function.

A policy replay, not a cluster: moves take effect at once, and the time that a move
keeps its unit out of service is the bound of the design page.
"""

import bisect
import itertools
import random
from collections import Counter
from collections.abc import Sequence

import msgspec

from mulberryrelay_control.placement import (
    VOLUNTARY_REASONS,
    LoadRates,
    MoveReason,
    PlacementPolicy,
    PlacementState,
    PlanMoves,
    PlannedMove,
    ServicePlacement,
    ServicePolicy,
    update_rates,
)
from mulberryrelay_kernel.hashing import (
    is_override,
    override_unit,
    range_index,
    range_unit,
)
from mulberryrelay_kernel.ids import (
    DataCentre,
    Epoch,
    Key,
    ServerId,
    ServiceName,
    UnitId,
)
from mulberryrelay_kernel.messages import ServerEntry, Unit, UnitCount
from mulberryrelay_kernel.states import ServerState
from mulberryrelay_router.loadcounters import LoadCounter

ROUTERS = 9
SECOND_MS = 1000.0
PLANNED_PAUSE_S = 0.05
LOSS_PAUSE_S = 1.0
WINDOW_S = 10
"""Imbalance is that of the requests in a window; the noise of counts of one second
would exceed the differences between policies."""
SETTLING_S = 20
"""A window is steady if servers have not changed in it or for this long before."""


class Phase(msgspec.Struct, frozen=True):
    """A period in which each second has the same requests."""

    seconds: int
    counts: dict[Key, int]


class ServerEvent(msgspec.Struct, frozen=True):
    """A server whose state changes, or that reports another load than it has."""

    at_s: int
    server: ServerId
    state: ServerState
    reported_load: float | None = None


class Trace(msgspec.Struct, frozen=True):
    """Requests and servers of one service partitioned by key."""

    name: str
    ranges: int
    phases: list[Phase]
    events: list[ServerEvent]


class ReplayResult(msgspec.Struct, frozen=True):
    """What a placement function made of a trace."""

    owners: dict[UnitId, ServerId]
    moves: list[PlannedMove]
    seconds: int
    window_imbalances: list[float]
    """Busiest to mean server in each window, after the first."""
    steady_imbalances: list[float]
    keys_moved: int
    unavailable_s: float
    """Seconds out of service of the average request's key."""

    @property
    def counted_moves(self) -> list[PlannedMove]:
        """Moves other than the initial placement."""
        return [move for move in self.moves if move.reason is not MoveReason.INITIAL]


def replay(trace: Trace, plan: PlanMoves, settings: ServicePolicy) -> ReplayResult:
    """Replay a trace; placement runs once in each second."""
    run = _Run(trace, plan, settings)
    for phase in trace.phases:
        for _ in range(phase.seconds):
            run.step(phase.counts)
    return run.result()


def generate_trace(
    name: str,
    service: ServiceName,
    servers: int,
    ranges: int,
    seconds: int,
    per_second: int,
    seed: int,
) -> Trace:
    """Return a trace with ten hot keys, one of which changes every 12 seconds.

    Hot keys have 1% to 4% of all requests each, the other keys a Zipf distribution.
    Servers join cold, drain, freeze and return, and misreport their load.
    """
    rng = random.Random(seed)
    tail = [Key(f"{service}-{index}") for index in range(20_000)]
    ranks = itertools.accumulate(1 / (rank + 20) ** 0.8 for rank in range(len(tail)))
    cumulative = list(ranks)
    fresh = itertools.count()
    hot: list[tuple[Key, float]] = []
    phases = []
    for second in range(seconds):
        while len(hot) < 10 or second % 12 == 0:
            hot.append((Key(f"hot-{next(fresh)}"), rng.uniform(0.01, 0.04)))
            if len(hot) > 10:
                hot.pop(0)
                break
        counts: Counter[Key] = Counter()
        bounds = list(itertools.accumulate(share for _, share in hot))
        for _ in range(per_second):
            place = bisect.bisect(bounds, rng.random())
            if place < len(hot):
                counts[hot[place][0]] += 1
                continue
            spot = rng.random() * cumulative[-1]
            counts[tail[bisect.bisect(cumulative, spot)]] += 1
        phases.append(Phase(1, dict(counts)))
    return Trace(name, ranges, phases, _server_events(servers, seconds))


def _server_events(servers: int, seconds: int) -> list[ServerEvent]:
    def event(
        part: float, index: int, state: ServerState, load: float | None = None
    ) -> ServerEvent:
        return ServerEvent(int(part * seconds), ServerId(f"s{index}"), state, load)

    events = [event(0, index, ServerState.SERVING) for index in range(servers)]
    events += [
        event(0.05, 1, ServerState.SERVING, 0.0),
        event(0.05, 2, ServerState.SERVING, 1000.0),
        event(0.15, servers, ServerState.COLD),
        event(0.2, servers, ServerState.SERVING),
        event(0.35, 0, ServerState.DRAINING),
        event(0.4, 0, ServerState.LOST),
        event(0.55, 3, ServerState.LOST),
        event(0.6, 3, ServerState.SERVING),
        event(0.8, servers + 1, ServerState.COLD),
        event(0.85, servers + 1, ServerState.SERVING),
    ]
    return events


class _Run:
    def __init__(self, trace: Trace, plan: PlanMoves, settings: ServicePolicy) -> None:
        self._trace = trace
        self._plan = plan
        self._settings = settings
        self._service = ServiceName(trace.name)
        self._second = 0
        self._servers: dict[ServerId, ServerEntry] = {}
        self._owners: dict[UnitId, ServerId] = {}
        self._rates = LoadRates()
        self._counters = [
            LoadCounter(self._service, trace.ranges) for _ in range(ROUTERS)
        ]
        self._moved_ms: dict[UnitId, float] = {}
        self._voluntary_ms: list[float] = []
        self._moves: list[PlannedMove] = []
        self._window: Counter[ServerId] = Counter()
        self._windows: list[float] = []
        self._steady: list[float] = []
        self._changed_s = 0
        self._keys = {key for phase in trace.phases for key in phase.counts}
        self._range_keys = Counter(
            range_unit(range_index(key, trace.ranges)) for key in self._keys
        )
        self._keys_moved = 0
        self._unavailable_s = 0.0

    def step(self, counts: dict[Key, int]) -> None:
        """Replay one second."""
        self._apply_events()
        self._apply_moves(counts)
        self._count(counts)
        self._second += 1
        if self._second % WINDOW_S == 0:
            self._end_window()

    def result(self) -> ReplayResult:
        return ReplayResult(
            self._owners,
            self._moves,
            self._second,
            self._windows[1:],
            self._steady,
            self._keys_moved,
            self._unavailable_s,
        )

    def _apply_events(self) -> None:
        for event in self._trace.events:
            if event.at_s != self._second:
                continue
            known = self._servers.get(event.server)
            if known is None or known.state is not event.state:
                self._changed_s = self._second
            self._servers[event.server] = ServerEntry(
                event.server,
                self._service,
                DataCentre("dc"),
                "127.0.0.1",
                1,
                event.state,
            )

    def _apply_moves(self, counts: dict[Key, int]) -> None:
        now_ms = self._second * SECOND_MS
        placement = ServicePlacement(
            ranges=self._trace.ranges,
            units=[Unit(unit, owner, Epoch(1)) for unit, owner in self._owners.items()],
            servers=list(self._servers.values()),
            rates=self._rates,
            last_move_ms=self._moved_ms,
            voluntary_move_times_ms=self._voluntary_ms,
        )
        state = PlacementState({self._service: placement})
        policy = PlacementPolicy({self._service: self._settings})
        moves = self._plan(state, policy, now_ms)
        self._note_cost(moves, counts)
        for move in moves:
            self._moved_ms[move.unit] = now_ms
            if move.reason in VOLUNTARY_REASONS:
                self._voluntary_ms.append(now_ms)
            if move.reason is MoveReason.COOLED:
                del self._owners[move.unit]
                continue
            self._owners[move.unit] = move.target
        self._moves += moves
        overrides = {
            Key(unit.partition(":")[2]) for unit in self._owners if is_override(unit)
        }
        for counter in self._counters:
            counter.set_overrides(overrides)

    def _note_cost(self, moves: Sequence[PlannedMove], counts: dict[Key, int]) -> None:
        requests = Counter[UnitId]()
        for key, count in counts.items():
            requests[self._unit_of(key)] += count
            # A hot key that moves out of its range is not yet a unit of its own.
            if override_unit(key) not in self._owners:
                requests[override_unit(key)] += count
        total = sum(counts.values())
        for move in moves:
            if move.reason is MoveReason.INITIAL:
                continue
            self._keys_moved += (
                1 if is_override(move.unit) else self._range_keys[move.unit]
            )
            lost = move.reason is MoveReason.LOST
            pause_s = LOSS_PAUSE_S if lost else PLANNED_PAUSE_S
            self._unavailable_s += pause_s * requests[move.unit] / total

    def _unit_of(self, key: Key) -> UnitId:
        override = override_unit(key)
        if override in self._owners:
            return override
        return range_unit(range_index(key, self._trace.ranges))

    def _count(self, counts: dict[Key, int]) -> None:
        router = 0
        for key, count in counts.items():
            self._window[self._owners[self._unit_of(key)]] += count
            for _ in range(count):
                self._counters[router].count(key)
                router = (router + 1) % ROUTERS
        taken: list[UnitCount] = []
        for counter in self._counters:
            taken += counter.collect_and_reset()
        self._rates = update_rates(self._rates, taken, SECOND_MS)

    def _end_window(self) -> None:
        usable = [
            entry.server
            for entry in self._servers.values()
            if entry.state in (ServerState.SERVING, ServerState.COLD)
        ]
        mean = self._window.total() / len(usable)
        imbalance = max(self._window.values()) / mean
        self._windows.append(imbalance)
        if self._second - self._changed_s >= WINDOW_S + SETTLING_S:
            self._steady.append(imbalance)
        self._window.clear()

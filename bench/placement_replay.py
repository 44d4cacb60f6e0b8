"""Replay a trace of keyed requests and server states through a placement function.

This evaluates the placement policy, not a cluster: moves take effect immediately, and
each move makes its unit unavailable for the maximum time that the design page states.
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
MOVE_PAUSE_S = 0.05
"""How long a planned move makes its unit unavailable."""
LOSS_PAUSE_S = 1.0
"""How long the loss of its owner makes a unit unavailable."""
WINDOW_S = 10
"""Length of the windows over which imbalance is computed. With windows of one second,
noise in the counts would exceed the differences between policies."""
SETTLING_S = 20
"""A window counts as steady if no server changed its state in the window or for this
long before it."""


class Phase(msgspec.Struct, frozen=True):
    """A period in which the number of requests per key is the same every second."""

    seconds: int
    counts: dict[Key, int]
    """Requests per second by key."""


class ServerEvent(msgspec.Struct, frozen=True):
    """A change of the state of a server, or a false load report.

    The replay ignores ``reported_load``: placement uses the routers' counts only.
    """

    at_s: int
    server: ServerId
    state: ServerState
    reported_load: float | None = None


class Trace(msgspec.Struct, frozen=True):
    """Requests and server events of one service that is partitioned by key."""

    name: str
    ranges: int
    phases: list[Phase]
    events: list[ServerEvent]


class ReplayResult(msgspec.Struct, frozen=True):
    """Final owners, moves and imbalances of a replayed trace."""

    owners: dict[UnitId, ServerId]
    moves: list[PlannedMove]
    seconds: int
    window_imbalances: list[float]
    """Requests of the busiest server relative to the mean, for each window except the
    first."""
    steady_imbalances: list[float]
    """The same for steady windows, see ``SETTLING_S``."""
    keys_moved: int
    unavailable_s: float
    """Total time for which the key of an average request was unavailable."""

    @property
    def moves_without_initial(self) -> list[PlannedMove]:
        """Moves other than those of the initial assignment."""
        return [move for move in self.moves if move.reason is not MoveReason.INITIAL]


def replay(trace: Trace, plan: PlanMoves, policy: ServicePolicy) -> ReplayResult:
    """Replay a trace; placement runs once per second of the trace."""
    replay_run = _Replay(trace, plan, policy)
    for phase in trace.phases:
        for _ in range(phase.seconds):
            replay_run.step(phase.counts)
    return replay_run.result()


def generate_trace(
    name: str,
    service: ServiceName,
    servers: int,
    ranges: int,
    seconds: int,
    per_second: int,
    seed: int,
) -> Trace:
    """Return a trace with ten hot keys, one of which is replaced every 12 seconds.

    Each hot key gets 1% to 4% of all requests; the other keys follow a Zipf
    distribution. Servers join cold, drain, fail and return, and misreport their load.
    """
    rng = random.Random(seed)
    tail_keys = [Key(f"{service}-{index}") for index in range(20_000)]
    ranks = itertools.accumulate(
        1 / (rank + 20) ** 0.8 for rank in range(len(tail_keys))
    )
    tail_cumulative = list(ranks)
    hot_key_numbers = itertools.count()
    hot_keys: list[tuple[Key, float]] = []
    phases = []
    for second in range(seconds):
        while len(hot_keys) < 10 or second % 12 == 0:
            hot_keys.append(
                (Key(f"hot-{next(hot_key_numbers)}"), rng.uniform(0.01, 0.04))
            )
            if len(hot_keys) > 10:
                hot_keys.pop(0)
                break
        counts: Counter[Key] = Counter()
        hot_cumulative = list(itertools.accumulate(share for _, share in hot_keys))
        for _ in range(per_second):
            hot_index = bisect.bisect(hot_cumulative, rng.random())
            if hot_index < len(hot_keys):
                counts[hot_keys[hot_index][0]] += 1
                continue
            tail_position = rng.random() * tail_cumulative[-1]
            counts[tail_keys[bisect.bisect(tail_cumulative, tail_position)]] += 1
        phases.append(Phase(1, dict(counts)))
    return Trace(name, ranges, phases, _server_events(servers, seconds))


def _server_events(servers: int, seconds: int) -> list[ServerEvent]:
    def event(
        fraction: float, index: int, state: ServerState, load: float | None = None
    ) -> ServerEvent:
        return ServerEvent(int(fraction * seconds), ServerId(f"s{index}"), state, load)

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


class _Replay:
    """State of a replay: servers, owners, measured rates and results so far."""

    def __init__(self, trace: Trace, plan: PlanMoves, policy: ServicePolicy) -> None:
        self._trace = trace
        self._plan_moves = plan
        self._policy = policy
        self._service = ServiceName(trace.name)
        self._second = 0
        self._servers: dict[ServerId, ServerEntry] = {}
        self._owners: dict[UnitId, ServerId] = {}
        self._rates = LoadRates()
        self._counters = [
            LoadCounter(self._service, trace.ranges) for _ in range(ROUTERS)
        ]
        self._last_move_ms: dict[UnitId, float] = {}
        self._voluntary_move_times_ms: list[float] = []
        self._moves: list[PlannedMove] = []
        self._window_counts: Counter[ServerId] = Counter()
        self._window_imbalances: list[float] = []
        self._steady_imbalances: list[float] = []
        self._servers_changed_s = 0
        self._keys = {key for phase in trace.phases for key in phase.counts}
        self._range_keys = Counter(
            range_unit(range_index(key, trace.ranges)) for key in self._keys
        )
        self._keys_moved = 0
        self._unavailable_s = 0.0

    def step(self, counts: dict[Key, int]) -> None:
        """Replay one second of the trace."""
        self._apply_events()
        self._apply_moves(counts)
        self._count(counts)
        self._second += 1
        if self._second % WINDOW_S == 0:
            self._end_window()

    def result(self) -> ReplayResult:
        """Return the results of the seconds replayed so far."""
        return ReplayResult(
            self._owners,
            self._moves,
            self._second,
            self._window_imbalances[1:],
            self._steady_imbalances,
            self._keys_moved,
            self._unavailable_s,
        )

    def _apply_events(self) -> None:
        for event in self._trace.events:
            if event.at_s != self._second:
                continue
            previous = self._servers.get(event.server)
            if previous is None or previous.state is not event.state:
                self._servers_changed_s = self._second
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
            last_move_ms=self._last_move_ms,
            voluntary_move_times_ms=self._voluntary_move_times_ms,
        )
        state = PlacementState({self._service: placement})
        placement_policy = PlacementPolicy({self._service: self._policy})
        moves = self._plan_moves(state, placement_policy, now_ms)
        self._record_move_costs(moves, counts)
        for move in moves:
            self._last_move_ms[move.unit] = now_ms
            if move.reason in VOLUNTARY_REASONS:
                self._voluntary_move_times_ms.append(now_ms)
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

    def _record_move_costs(
        self, moves: Sequence[PlannedMove], counts: dict[Key, int]
    ) -> None:
        requests = Counter[UnitId]()
        for key, count in counts.items():
            requests[self._unit_of(key)] += count
            # A move that splits a hot key off its range creates the unit of the key.
            if override_unit(key) not in self._owners:
                requests[override_unit(key)] += count
        total = sum(counts.values())
        for move in moves:
            if move.reason is MoveReason.INITIAL:
                continue
            self._keys_moved += (
                1 if is_override(move.unit) else self._range_keys[move.unit]
            )
            is_loss = move.reason is MoveReason.LOST
            pause_s = LOSS_PAUSE_S if is_loss else MOVE_PAUSE_S
            self._unavailable_s += pause_s * requests[move.unit] / total

    def _unit_of(self, key: Key) -> UnitId:
        override = override_unit(key)
        if override in self._owners:
            return override
        return range_unit(range_index(key, self._trace.ranges))

    def _count(self, counts: dict[Key, int]) -> None:
        router = 0
        for key, count in counts.items():
            self._window_counts[self._owners[self._unit_of(key)]] += count
            for _ in range(count):
                self._counters[router].count(key)
                router = (router + 1) % ROUTERS
        unit_counts: list[UnitCount] = []
        for counter in self._counters:
            unit_counts += counter.collect_and_reset()
        self._rates = update_rates(self._rates, unit_counts, SECOND_MS)

    def _end_window(self) -> None:
        available_servers = [
            entry.server
            for entry in self._servers.values()
            if entry.state in (ServerState.SERVING, ServerState.COLD)
        ]
        mean = self._window_counts.total() / len(available_servers)
        imbalance = max(self._window_counts.values()) / mean
        self._window_imbalances.append(imbalance)
        if self._second - self._servers_changed_s >= WINDOW_S + SETTLING_S:
            self._steady_imbalances.append(imbalance)
        self._window_counts.clear()

"""Runs the placement policy of a coordinator's term.

Collects the policy's input: the assignment, the servers, request rates from the
routers' counts, recent moves, and the pins and drained servers of the routing rules.
"""

from collections.abc import Callable

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import Key, ServiceName, UnitId
from mulberryrelay_kernel.messages import Assignment, UnitCount
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.peerproto import peer_pb2

from .membership import Membership
from .placement import (
    MINUTE_MS,
    VOLUNTARY_REASONS,
    LoadRates,
    PlacementPolicy,
    PlacementState,
    PlanMoves,
    PlannedMove,
    ServicePlacement,
    policy_for_churn_weight,
    update_rates,
)
from .ruletypes import ActiveRules
from .sessions import RouterSessions

# Minimum time between two updates of the averages of request rates.
RATE_PERIOD_MS = 1000.0


class Planner:
    """Plans the moves of one term."""

    def __init__(
        self,
        options: Options,
        membership: Membership,
        sessions: RouterSessions,
        rules: Callable[[], ActiveRules],
        clock: Clock,
        plan: PlanMoves,
    ) -> None:
        self._membership = membership
        self._sessions = sessions
        self._rules = rules
        self._clock = clock
        self._plan = plan
        self._ranges = {
            name: service.ranges
            for name, service in options.services.items()
            if service.partitioned
        }
        self._policy = PlacementPolicy(
            {
                name: policy_for_churn_weight(options.services[name].churn_weight)
                for name in self._ranges
            }
        )
        self._rates = dict.fromkeys(self._ranges, LoadRates())
        self._rates_updated_ms = clock()
        self._has_planned = False
        self._last_move_ms: dict[ServiceName, dict[UnitId, float]] = {
            name: {} for name in self._ranges
        }
        self._voluntary_move_times_ms: dict[ServiceName, list[float]] = {
            name: [] for name in self._ranges
        }

    def plan(self, assignment: Assignment) -> list[PlannedMove]:
        """Return the moves that are due now, to servers that accept units."""
        now_ms = self._clock()
        self._start_cool_down(assignment, now_ms)
        self._update_rates(now_ms)
        rules = self._rules()
        state = PlacementState(
            {
                name: self._service_placement(name, assignment, rules)
                for name in self._ranges
            }
        )
        servers = self._membership.servers
        planned = [
            move
            for move in self._plan(state, self._policy, now_ms)
            if move.target in servers and servers[move.target].accepts_units
        ]
        for move in planned:
            self._record_planned(move, now_ms)
        return planned

    def _start_cool_down(self, assignment: Assignment, now_ms: float) -> None:
        """Treat all owned units as just moved when planning for the first time.

        The previous coordinator's moves are unknown. Otherwise each change of
        coordinator would permit voluntary moves of all units again.
        """
        if self._has_planned:
            return
        self._has_planned = True
        for name in self._ranges:
            units = [
                *assignment.ranges.get(name, []),
                *assignment.overrides.get(name, {}).values(),
            ]
            for unit in units:
                if unit.owner is not None:
                    self._last_move_ms[name][unit.unit] = now_ms

    def _service_placement(
        self, name: ServiceName, assignment: Assignment, rules: ActiveRules
    ) -> ServicePlacement:
        return ServicePlacement(
            ranges=self._ranges[name],
            units=[
                *assignment.ranges.get(name, []),
                *assignment.overrides.get(name, {}).values(),
            ],
            servers=[
                server.entry
                for server in self._membership.servers.values()
                if server.entry.service == name
            ],
            rates=self._rates[name],
            pins=rules.pins.get(name, {}),
            drained_servers=rules.drained,
            last_move_ms=self._last_move_ms[name],
            voluntary_move_times_ms=self._voluntary_move_times_ms[name],
        )

    def _update_rates(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._rates_updated_ms
        if elapsed_ms < RATE_PERIOD_MS:
            return
        self._rates_updated_ms = now_ms
        counts = self._sessions.pop_counts()
        for name in self._ranges:
            service_counts = [
                _unit_count(count) for count in counts if count.service == name
            ]
            self._rates[name] = update_rates(
                self._rates[name], service_counts, elapsed_ms
            )

    def _record_planned(self, move: PlannedMove, now_ms: float) -> None:
        self._last_move_ms[move.service][move.unit] = now_ms
        if move.reason not in VOLUNTARY_REASONS:
            return
        recent = self._voluntary_move_times_ms[move.service]
        recent.append(now_ms)
        self._voluntary_move_times_ms[move.service] = [
            planned_ms for planned_ms in recent if now_ms - planned_ms < MINUTE_MS
        ]


def _unit_count(count: peer_pb2.UnitCount) -> UnitCount:
    return UnitCount(
        ServiceName(count.service),
        UnitId(count.unit),
        count.requests,
        Key(count.key) if count.key else None,
    )

"""Replays recorded traces through placement and checks the expected outcomes."""

from pathlib import Path

import msgspec

from bench.placement_replay import Trace, replay
from mulberryrelay_control.placement import (
    VOLUNTARY_REASONS,
    LoadRates,
    ServicePlacement,
    plan_moves,
    policy_for_churn_weight,
)
from mulberryrelay_kernel.ids import ServerId
from mulberryrelay_kernel.messages import ServerEntry

TRACES = Path(__file__).parent / "traces"


class Outcome(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that the rules of the design page set for the replay of a trace."""

    imbalance: float
    moves_a_minute: int
    owned_by: set[ServerId]


class RecordedTrace(msgspec.Struct, frozen=True):
    """A recorded trace with its expected outcome."""

    trace: Trace
    churn_weight: float
    outcome: Outcome


def test_replayed_traces_meet_their_expected_outcomes() -> None:
    """Guards against imbalance, churn, and units that stay on lost servers."""
    paths = sorted(TRACES.glob("*.json"))
    assert len(paths) == 4
    for path in paths:
        recorded = msgspec.json.decode(path.read_bytes(), type=RecordedTrace)
        expected = recorded.outcome
        settings = policy_for_churn_weight(recorded.churn_weight)
        result = replay(recorded.trace, plan_moves, settings)
        voluntary = [m for m in result.moves if m.reason in VOLUNTARY_REASONS]
        assert result.steady_imbalances, path.name
        assert max(result.steady_imbalances) <= expected.imbalance, path.name
        assert set(result.owners.values()) == expected.owned_by, path.name
        minutes = 1 + result.seconds // 60
        assert len(voluntary) <= expected.moves_a_minute * minutes, path.name


PLANNER_INPUTS: dict[type[msgspec.Struct], set[str]] = {
    ServicePlacement: {
        "ranges",
        "units",
        "servers",
        "rates",
        "pins",
        "drained_servers",
        "last_move_ms",
        "voluntary_move_times_ms",
    },
    LoadRates: {"ranges", "keys"},
    ServerEntry: {
        "server",
        "service",
        "data_centre",
        "host",
        "port",
        "state",
        "boot_id",
    },
}
"""Everything that placement knows; the rates are counted by the routers."""


def test_placement_does_not_know_the_load_that_servers_report() -> None:
    """Guards against moves because of servers that misreport their load.

    A new input needs a recorded trace in which it misleads.
    """
    for struct, names in PLANNER_INPUTS.items():
        assert {field.name for field in msgspec.structs.fields(struct)} == names

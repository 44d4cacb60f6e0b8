"""Compare placement and admission with simple baselines, for two example tenants.

``python -m bench.policy --seed 1`` prints markdown tables. It replays generated traces
through the placement functions, and generated requests through ``Admission`` in virtual
time.
"""

import click
from hdrh.histogram import HdrHistogram

from mulberryrelay_control.placement import (
    PlanMoves,
    plan_always_rebalance,
    plan_moves,
    plan_round_robin,
    plan_static_hash,
    policy_for_churn_weight,
)
from mulberryrelay_kernel.ids import ServiceName

from .admission_replay import admission_cases, replay_admission
from .placement_replay import ReplayResult, generate_trace, replay

TENANT_SERVICES = [("kwahu", "slotfinder", 0.2), ("wattlebrook", "roster", 0.8)]
"""Tenant, its service that is partitioned by key, and the service's churn weight."""
PLANNERS: list[tuple[str, PlanMoves]] = [
    ("mulberryrelay", plan_moves),
    ("static hash", plan_static_hash),
    ("round robin", plan_round_robin),
    ("always rebalance", plan_always_rebalance),
]
SERVERS = 10
RANGES = 256
PER_SECOND = 2000
"""Requests per second in the placement trace."""


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--seconds", default=600, show_default=True, help="Length of the placement trace."
)
@click.option("--admission-seconds", default=10, show_default=True)
def main(seed: int, seconds: int, admission_seconds: int) -> None:
    """Print the results as markdown tables."""
    click.echo(f"Policy replay, seed {seed}, all in virtual time: {seconds} s of")
    click.echo(f"placement per tenant, {admission_seconds} s of admission per case.")
    click.echo("This is a simulation, not a cluster: moves take effect immediately and")
    click.echo(
        "make a unit unavailable for 50 ms (planned) or 1 s (loss of its owner).\n"
    )
    if seconds:
        _print_placement(seed, seconds)
    if admission_seconds:
        _print_admission(seed, admission_seconds)


def _print_placement(seed: int, seconds: int) -> None:
    _print_row(
        "tenant",
        "policy",
        "steady imbalance p50",
        "steady imbalance p99",
        "imbalance max",
        "moves/min",
        "keys moved",
        "unavailable ms per key",
    )
    _print_row(*["---"] * 8)
    for tenant, service, churn_weight in TENANT_SERVICES:
        trace = generate_trace(
            service, ServiceName(service), SERVERS, RANGES, seconds, PER_SECOND, seed
        )
        for name, planner in PLANNERS:
            result = replay(trace, planner, policy_for_churn_weight(churn_weight))
            _print_row(tenant, name, *_format_placement_result(result))


def _format_placement_result(result: ReplayResult) -> list[str]:
    return [
        f"{_ratio_percentile(result.steady_imbalances, 50):.2f}",
        f"{_ratio_percentile(result.steady_imbalances, 99):.2f}",
        f"{_ratio_percentile(result.window_imbalances, 100):.2f}",
        f"{len(result.moves_without_initial) * 60 / result.seconds:.1f}",
        str(result.keys_moved),
        f"{result.unavailable_s * 1000:.0f}",
    ]


def _print_admission(seed: int, seconds: int) -> None:
    click.echo()
    _print_row(
        "tenant",
        "service",
        "case",
        "policy",
        "class",
        "offered",
        "served",
        "refused",
        "timed out",
        "p50 ms",
        "p99 ms",
    )
    _print_row(*["---"] * 11)
    for case in admission_cases(seed, seconds):
        for policy, use_admission in (
            ("mulberryrelay", True),
            ("random server", False),
        ):
            for name, class_result in replay_admission(case, use_admission).items():
                _print_row(
                    case.tenant,
                    case.service,
                    case.name,
                    policy,
                    name,
                    str(class_result.offered),
                    f"{class_result.served / class_result.offered:.1%}",
                    f"{class_result.refused / class_result.offered:.1%}",
                    f"{class_result.timed_out / class_result.offered:.1%}",
                    f"{class_result.p50_ms:.1f}",
                    f"{class_result.p99_ms:.1f}",
                )


def _ratio_percentile(ratios: list[float], percentile: float) -> float:
    histogram = HdrHistogram(1, 1_000_000, 3)
    for ratio in ratios:
        histogram.record_value(int(ratio * 1000))
    return float(histogram.get_value_at_percentile(percentile)) / 1000


def _print_row(*cells: str) -> None:
    click.echo(f"| {' | '.join(cells)} |")


if __name__ == "__main__":
    main()

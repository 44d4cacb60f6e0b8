"""Measures placement and admission against baselines, for both tenants in one run.

``python -m bench.policy --seed 1`` prints a markdown table. It replays generated
traces through the policy functions and through Admission in virtual time.
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

TENANTS = [("kwahu", "slotfinder", 0.2), ("wattlebrook", "roster", 0.8)]
"""Tenant, its service partitioned by key, and that service's churn weight."""
PLANNERS: list[tuple[str, PlanMoves]] = [
    ("mulberryrelay", plan_moves),
    ("static hash", plan_static_hash),
    ("round robin", plan_round_robin),
    ("always rebalance", plan_always_rebalance),
]
SERVERS = 10
RANGES = 256
PER_SECOND = 2000


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=600, show_default=True, help="Placement trace.")
@click.option("--admission-seconds", default=10, show_default=True)
def main(seed: int, seconds: int, admission_seconds: int) -> None:
    """Print the measurements as markdown tables."""
    click.echo(f"Policy replay, seed {seed}, all in virtual time: {seconds} s of")
    click.echo(f"placement per tenant, {admission_seconds} s of admission per case.")
    click.echo("It is not a measurement of a cluster: moves take effect at once and")
    click.echo("cost 50 ms (planned) or 1 s (loss) of unavailable time.\n")
    if seconds:
        _print_placement(seed, seconds)
    if admission_seconds:
        _print_admission(seed, admission_seconds)


def _print_placement(seed: int, seconds: int) -> None:
    _row(
        "tenant",
        "policy",
        "steady p50",
        "steady p99",
        "all max",
        "moves/min",
        "keys moved",
        "unavailable ms per key",
    )
    _row(*["---"] * 8)
    for tenant, service, churn_weight in TENANTS:
        trace = generate_trace(
            service, ServiceName(service), SERVERS, RANGES, seconds, PER_SECOND, seed
        )
        for name, planner in PLANNERS:
            result = replay(trace, planner, policy_for_churn_weight(churn_weight))
            _row(tenant, name, *_placement_figures(result))


def _placement_figures(result: ReplayResult) -> list[str]:
    return [
        f"{_percentile(result.steady_imbalances, 50):.2f}",
        f"{_percentile(result.steady_imbalances, 99):.2f}",
        f"{_percentile(result.window_imbalances, 100):.2f}",
        f"{len(result.counted_moves) * 60 / result.seconds:.1f}",
        str(result.keys_moved),
        f"{result.unavailable_s * 1000:.0f}",
    ]


def _print_admission(seed: int, seconds: int) -> None:
    click.echo()
    _row(
        "tenant",
        "service",
        "case",
        "policy",
        "class",
        "offered",
        "served",
        "refused",
        "late",
        "p50 ms",
        "p99 ms",
    )
    _row(*["---"] * 11)
    for case in admission_cases(seed, seconds):
        for policy, admitted in (("mulberryrelay", True), ("random server", False)):
            for name, found in replay_admission(case, admitted).items():
                _row(
                    case.tenant,
                    case.service,
                    case.name,
                    policy,
                    name,
                    str(found.offered),
                    f"{found.served / found.offered:.1%}",
                    f"{found.refused / found.offered:.1%}",
                    f"{found.late / found.offered:.1%}",
                    f"{found.p50_ms:.1f}",
                    f"{found.p99_ms:.1f}",
                )


def _percentile(ratios: list[float], percentile: float) -> float:
    histogram = HdrHistogram(1, 1_000_000, 3)
    for ratio in ratios:
        histogram.record_value(int(ratio * 1000))
    return float(histogram.get_value_at_percentile(percentile)) / 1000


def _row(*cells: str) -> None:
    click.echo(f"| {' | '.join(cells)} |")


if __name__ == "__main__":
    main()

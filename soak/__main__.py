"""Plays soak runs by their seeds and prints what they found."""

import asyncio
import random
import sys
import time
from pathlib import Path

import click

from .faultkinds import FaultKind
from .options import SoakOptions
from .run import Soak, SoakResult

DEFAULTS = SoakOptions()


@click.command()
@click.option("--seed", "seeds", multiple=True, type=int, help="Seed; may be repeated.")
@click.option("--fresh", default=0, help="Number of runs with seeds drawn now.")
@click.option(
    "--only",
    "kinds",
    multiple=True,
    type=click.Choice([kind.value for kind in FaultKind]),
    help="Kind of faults that may happen; may be repeated, default all.",
)
@click.option("--defect", default="", help="Defect of all routers (defects.py).")
@click.option(
    "--network",
    default=DEFAULTS.network,
    show_default=True,
    help="Number n of the routers' addresses 127.0.n.x; one for each run at a time.",
)
@click.option("--routers", default=DEFAULTS.routers, show_default=True)
@click.option("--keyed-servers", default=DEFAULTS.keyed_servers, show_default=True)
@click.option("--plain-servers", default=DEFAULTS.plain_servers, show_default=True)
@click.option("--callers", default=DEFAULTS.callers, show_default=True)
@click.option("--faults-s", default=DEFAULTS.faults_s, show_default=True)
@click.option(
    "--out",
    default="target/soak",
    show_default=True,
    type=click.Path(path_type=Path),
    help="Folder for plans, results and the routers' logs.",
)
def main(
    seeds: tuple[int, ...],
    fresh: int,
    kinds: tuple[str, ...],
    defect: str,
    network: int,
    routers: int,
    keyed_servers: int,
    plain_servers: int,
    callers: int,
    faults_s: float,
    out: Path,
) -> None:
    """Play runs one after the other; the status is 1 if one broke a promise."""
    options = SoakOptions(
        kinds=tuple(FaultKind(kind) for kind in kinds),
        defect=defect,
        network=network,
        routers=routers,
        keyed_servers=keyed_servers,
        plain_servers=plain_servers,
        callers=callers,
        faults_s=faults_s,
    )
    drawn = [random.randrange(1 << 31) for _ in range(fresh)]
    broken = 0
    for seed in (*seeds, *drawn):
        result = play(seed, options, out)
        broken += bool(result.violations)
        click.echo(describe(result))
    sys.exit(1 if broken else 0)


def play(seed: int, options: SoakOptions, out: Path) -> SoakResult:
    """Play one run; its plan, result and logs are in a folder of its own."""
    started = time.strftime("%Y%m%dT%H%M%S")
    directory = out / f"{started}-{options.network}-{seed}"
    directory.mkdir(parents=True)

    async def run() -> SoakResult:
        return await Soak(seed, options, directory).play()

    return asyncio.run(run())


def describe(result: SoakResult) -> str:
    """Return a result as lines: the counts, and each violation."""
    counts = " ".join(
        f"{name.replace(' ', '_')}={n}" for name, n in result.counts.items()
    )
    latencies = " ".join(f"{name}_ms={ms}" for name, ms in result.latency_ms.items())
    lines = [
        f"seed={result.seed} violations={len(result.violations)} {latencies} {counts}"
    ]
    for violation in result.violations:
        lines.append(
            f"  {violation.rule.value} at {violation.at_s} s: {violation.detail}"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    main()

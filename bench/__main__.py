"""Run the benchmark sections and write their results to ``docs/measurements.md``.

Each section is a module of this package with a ``run`` function. ``--only`` selects
sections.
"""

import os
import time
from collections.abc import Callable
from pathlib import Path

import click

from . import failures, request_cost, slopes, tenants
from .page import Section, render

DEFAULT_PAGE = Path(__file__).parent.parent / "docs" / "measurements.md"
SECTIONS: dict[str, Callable[[int], Section]] = {
    "requests": request_cost.run,
    "tenants": tenants.run,
    "failures": failures.run,
    "slopes": slopes.run,
}


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--commit", envvar="COMMIT", default="unknown", show_default=True)
@click.option(
    "--only",
    "names",
    multiple=True,
    type=click.Choice(list(SECTIONS)),
    help="Measure only these sections.",
)
@click.option("--page", default=DEFAULT_PAGE, type=click.Path(path_type=Path))
def main(seed: int, commit: str, names: tuple[str, ...], page: Path) -> None:
    """Run the selected sections, by default all, and write the page."""
    load_before = os.getloadavg()[0]
    sections = []
    for name in names or SECTIONS:
        started_s = time.monotonic()
        section = SECTIONS[name](seed)
        section.seconds = time.monotonic() - started_s
        click.echo(f"section={name} seconds={section.seconds:.0f}")
        sections.append(section)
    page.write_text(render(sections, seed, commit, load_before))
    click.echo(f"wrote={page.name}")


if __name__ == "__main__":
    main()

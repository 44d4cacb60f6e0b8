"""The page of measurements: tables in markdown, and the facts of the run."""

import os
import platform
from collections.abc import Sequence
from datetime import UTC, datetime

import msgspec
from hdrh.histogram import HdrHistogram


class Table(msgspec.Struct):
    """A table with notes below it."""

    title: str
    columns: list[str]
    rows: list[list[str]] = []
    notes: list[str] = []

    def add(self, *cells: object) -> None:
        """Append a row; floats are written with up to three significant digits."""
        self.rows.append([_cell(cell) for cell in cells])


class Target(msgspec.Struct, frozen=True):
    """A figure against a stated target; at most the target is met."""

    name: str
    figure: float
    target: float
    unit: str = ""


class Section(msgspec.Struct):
    """Tables of one module, and the targets that its figures are held against."""

    title: str
    tables: list[Table]
    targets: list[Target] = []
    seconds: float = 0.0


def percentile(figures: Sequence[float], at: float) -> float:
    """Return a percentile of figures from 0.001 to 10 million; 0 if there are none."""
    if not figures:
        return 0.0
    histogram = HdrHistogram(1, 10_000_000_000, 3)
    for figure in figures:
        histogram.record_value(max(1, round(figure * 1000)))
    return float(histogram.get_value_at_percentile(at)) / 1000


def render(
    sections: Sequence[Section], seed: int, commit: str, load_before: float
) -> str:
    """Return the page."""
    now = datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    load_after = os.getloadavg()[0]
    seconds = sum(section.seconds for section in sections)
    lines = [
        "# Measurements",
        "",
        "Written by `make bench`; do not edit. Figures are of one run on one machine.",
        "",
        f"- seed {seed}, commit {commit}, {now}, {seconds:.0f} s",
        f"- {os.cpu_count()} cores, Python {platform.python_version()},"
        f" {platform.system()} {platform.machine()}",
        f"- load average {load_before:.1f} before the run and {load_after:.1f} after"
        " it. Other work may run beside it: the machine is shared, and times include"
        " its effect.",
        "",
        "## Targets",
        "",
    ]
    targets = Table("", ["figure", "measured", "target", "result"])
    for target in (t for section in sections for t in section.targets):
        missed = target.figure - target.target
        result = "met"
        if missed > 0:
            share = f"{missed / target.target:.1%}"
            result = f"missed by {_cell(missed)} {target.unit} ({share})"
        targets.add(
            target.name,
            f"{_cell(target.figure)} {target.unit}",
            f"{_cell(target.target)} {target.unit}",
            result,
        )
    lines += _table_lines(targets)
    for number, section in enumerate(sections, 1):
        lines += [f"## {number}. {section.title}", ""]
        for table in section.tables:
            lines += [f"### {table.title}", "", *_table_lines(table)]
    return "\n".join(line.rstrip() for line in lines).rstrip() + "\n"


def _table_lines(table: Table) -> list[str]:
    lines = [_row(table.columns), _row(["---"] * len(table.columns))]
    lines += [_row(row) for row in table.rows]
    lines.append("")
    for note in table.notes:
        lines += [note, ""]
    return lines


def _row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _cell(cell: object) -> str:
    if not isinstance(cell, float):
        return str(cell)
    if cell >= 100 or cell <= -100:
        return f"{cell:,.0f}"
    return f"{cell:.3g}"

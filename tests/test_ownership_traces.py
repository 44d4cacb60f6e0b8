"""Checks recorded traces of ownership against the invariants and expected findings."""

from pathlib import Path

import msgspec

from .fixtures.traces import Finding, Trace, check

TRACES = Path(__file__).parent / "traces" / "ownership"


def test_recorded_traces_have_the_expected_findings() -> None:
    """Guards against two owners of a key, and against a checker that misses faults."""
    seeded: set[Finding] = set()
    changes = 0
    for path in sorted(TRACES.glob("*.json")):
        trace = msgspec.json.decode(path.read_bytes(), type=Trace)
        assert check(trace) == trace.findings, (path.name, check(trace))
        is_seeded = path.name.startswith("fault_")
        assert bool(trace.findings) == is_seeded, path.name
        seeded.update(trace.findings)
        assert trace.terms and trace.runs, path.name
        changes += len({run.server for run in trace.runs}) - 1
    assert seeded == set(Finding)
    assert changes >= len(seeded), "too few traces have a change of owner"

"""Records the traces in ``tests/traces/ownership``; overwrites the existing ones.

Run as ``python -m tests.record_traces``. Runs real processes with losses and moves, and
records the commits and executions that the checker needs. Traces with a seeded fault
are derived from a recorded one.
"""

import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from .fixtures.cluster import (
    SERVICE_WITH_GRANT_CHECKS,
    SETTINGS,
    Cluster,
    cluster,
    load,
)
from .fixtures.traces import (
    Finding,
    Owned,
    Run,
    Trace,
    check,
    keep_owner_changes,
    record,
)

TRACES = Path(__file__).parent / "traces" / "ownership"
SERVERS = {
    "s1": SERVICE_WITH_GRANT_CHECKS,
    "s2": SERVICE_WITH_GRANT_CHECKS,
    "p1": "roster",
}
FEW_UNITS: dict[str, Any] = {
    **SETTINGS,
    "services": {
        name: {**service, "ranges": 8} for name, service in SETTINGS["services"].items()
    },
}


def planned_moves(running: Cluster) -> None:
    """Drain each server in turn."""
    for server in ("s1", "s2"):
        running.set_state(server, "draining")
        time.sleep(1)
        running.set_state(server, "serving")
        time.sleep(0.5)


def frozen_server(running: Cluster) -> None:
    """Stop a server for longer than its grant, and let it go on."""
    running.servers["s1"].signal(signal.SIGSTOP)
    time.sleep(2)
    running.servers["s1"].signal(signal.SIGCONT)
    time.sleep(1)


def lost_coordinator_and_server(running: Cluster) -> None:
    """Kill the coordinator and a server at once."""
    running.routers.pop(running.coordinator()).kill()
    running.servers["s1"].kill()
    time.sleep(3)


def replaced_routers(running: Cluster) -> None:
    """Replace all routers at once, then move all units."""
    old = dict(running.routers)
    running.start_routers(["n1", "n2", "n3"])
    for name in old:
        del running.routers[name]
    for router in old.values():
        router.signal(signal.SIGTERM)
    for router in old.values():
        router.wait()
    running.set_state("s1", "draining")
    time.sleep(1.5)


SCENARIOS: list[Callable[[Cluster], None]] = [
    planned_moves,
    frozen_server,
    lost_coordinator_and_server,
    replaced_routers,
]


def main() -> None:
    """Record every scenario and write the traces with seeded faults."""
    TRACES.mkdir(parents=True, exist_ok=True)
    for scenario in SCENARIOS:
        with cluster(SERVERS, FEW_UNITS) as running:
            with load(running, SERVICE_WITH_GRANT_CHECKS, threads=4):
                time.sleep(0.5)
                scenario(running)
            alive = [
                name
                for name, service in SERVERS.items()
                if service == SERVICE_WITH_GRANT_CHECKS
                and running.servers[name].is_running()
            ]
            description = str(scenario.__doc__)
            trace = keep_owner_changes(
                record(running, SERVICE_WITH_GRANT_CHECKS, alive, description)
            )
        _write(scenario.__name__, trace)
    seed_faults(_read("planned_moves"))


def seed_faults(trace: Trace) -> None:
    """Write variants of a correct trace, each with one seeded fault."""
    index = next(
        position
        for position, run in enumerate(trace.runs)
        if any(
            r.key == run.key and r.server != run.server for r in trace.runs[:position]
        )
    )
    run = trace.runs[index]
    previous = next(
        r
        for r in reversed(trace.runs[:index])
        if r.key == run.key and r.server != run.server
    )
    before = next(
        o for o in trace.owners if (o.unit, o.epoch) == (previous.unit, previous.epoch)
    )
    after = next(o for o in trace.owners if (o.unit, o.epoch) == (run.unit, run.epoch))
    variants: dict[str, tuple[str, list[Finding], dict[str, Any]]] = {
        "late_run": (
            "A former owner runs a request after the next owner has begun.",
            [Finding.OVERLAP, Finding.OUTDATED],
            {
                "runs": [
                    *trace.runs,
                    _with_times(previous, run.end_ms + 1, run.end_ms + 2),
                ]
            },
        ),
        "overlap": (
            "A request at the former owner ends after one at the next has begun.",
            [Finding.OVERLAP],
            {
                "runs": [
                    *trace.runs,
                    _with_times(previous, previous.start_ms, run.end_ms),
                ]
            },
        ),
        "early_run": (
            "The next owner runs a request before its epoch was committed.",
            [Finding.BEFORE_COMMIT],
            {
                "runs": [
                    *trace.runs,
                    _with_times(run, after.at_ms - 0.02, after.at_ms - 0.01),
                ]
            },
        ),
        "shared_epoch": (
            "A change of owner keeps the epoch.",
            [Finding.EPOCH_SHARED],
            {
                "owners": [
                    *trace.owners,
                    Owned(before.at_ms - 1, before.unit, after.owner, before.epoch),
                ]
            },
        ),
        "fallen_epoch": (
            "A commit takes the epoch of a unit back.",
            [Finding.EPOCH_DECREASED],
            {
                "owners": [
                    *trace.owners,
                    Owned(trace.runs[-1].end_ms + 1, run.unit, run.server, 1),
                ]
            },
        ),
        "wrong_server": (
            "A server that never owned the epoch runs a request of another one.",
            [Finding.NOT_OWNER],
            {"runs": _with_server(trace.runs, index, "s3")},
        ),
        "same_term": (
            "Two routers take over in one term.",
            [Finding.TERM_NOT_INCREASED],
            {"terms": [*trace.terms, msgspec.structs.replace(trace.terms[-1])]},
        ),
    }
    for name, (description, findings, changes) in variants.items():
        _write(
            f"fault_{name}",
            msgspec.structs.replace(
                trace, description=description, findings=findings, **changes
            ),
        )


def _with_times(run: Run, start_ms: float, end_ms: float) -> Run:
    return msgspec.structs.replace(run, start_ms=start_ms, end_ms=end_ms)


def _with_server(runs: list[Run], index: int, server: str) -> list[Run]:
    """Return the runs with the server of one key's runs replaced."""
    key = runs[index].key
    return [
        msgspec.structs.replace(run, server=server) if run.key == key else run
        for run in runs
    ]


def _read(name: str) -> Trace:
    return msgspec.json.decode((TRACES / f"{name}.json").read_bytes(), type=Trace)


def _write(name: str, trace: Trace) -> None:
    encoded = msgspec.json.format(msgspec.json.encode(trace), indent=1)
    (TRACES / f"{name}.json").write_bytes(encoded + b"\n")
    print(name, len(trace.owners), len(trace.runs), check(trace))


if __name__ == "__main__":
    main()

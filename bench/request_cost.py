"""Processor time per request of the router, relative to a bare pass-through.

Router, pass-through, servers and load generator are separate processes with one worker
each. The two are measured in turn, several rounds in one run, with the same load.
"""

import os
import subprocess
import sys
import tempfile
from pathlib import Path
from statistics import median

import msgspec

from standins.deployment import Deployment, Process

from .load import LoadResult
from .page import Section, Table, Target

SETTINGS = {
    "tenant": "kwahu",
    "data_centres": ["accra-osu"],
    "routers": 1,
    "services": {
        "slotfinder": {
            "classes": ["listing"],
            "partitioned": True,
            "checks_grants": False,
        },
    },
}
TARGET_RATIO = 1.5
SERVERS = 3
WARM_UP_REQUESTS = 2000
REQUESTS = 8000
ROUNDS = 5
CONCURRENCY = 8
LATENCY_REQUESTS = 3000
LOAD_TIMEOUT_S = 300

# Name, method and bytes of the body of each kind of load.
KINDS = [("read", "GET", 0), ("payment", "POST", 2000)]


class Cost(msgspec.Struct, frozen=True):
    """Processor time of one process over one load."""

    microseconds: float
    """Per request."""
    load: LoadResult


def processor_s(pid: int) -> float:
    """Return the processor time, user and system, of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(
    process: Process,
    port: str,
    method: str,
    body_bytes: int,
    requests: int,
    concurrency: int,
) -> Cost:
    """Run one load against a process.

    Raises:
        RuntimeError: a request failed.
    """
    url = process.url(port) + "/slotfinder/slots?day=monday"
    before = processor_s(process.pid)
    command = [
        *(sys.executable, "-m", "bench.load", url, "--method", method),
        *("--body-bytes", str(body_bytes), "--requests", str(requests)),
        *("--concurrency", str(concurrency)),
    ]
    output = subprocess.run(
        command, check=True, capture_output=True, timeout=LOAD_TIMEOUT_S
    ).stdout
    result = msgspec.json.decode(output, type=LoadResult)
    if result.failed:
        raise RuntimeError(f"{result.failed} of {requests} requests failed")
    used_s = processor_s(process.pid) - before
    return Cost(used_s / requests * 1e6, result)


def run(seed: int) -> Section:
    """Measure both kinds of load; the load is the same for each seed."""
    section = Section("Processor time and latency per request", [])
    with (
        Deployment(SETTINGS) as deployment,
        tempfile.TemporaryDirectory(prefix="mulberryrelay-bench-") as directory,
    ):
        servers = [
            deployment.start_server(f"server-{n}", "slotfinder", checks_grants=False)
            for n in range(SERVERS)
        ]
        urls = [server.url() for server in servers]
        router = deployment.start_router("entry-1")
        baseline = Process(
            "passthrough",
            [sys.executable, "-m", "bench.passthrough", *urls],
            Path(directory) / "passthrough.log",
        )
        try:
            _compare_processor_time(router, baseline, section)
            _compare_latency(servers[0], router, baseline, section)
        finally:
            baseline.kill()
    return section


def _compare_processor_time(
    router: Process, baseline: Process, section: Section
) -> None:
    table = Table(
        f"Processor time, {REQUESTS} requests per round, {CONCURRENCY} in flight",
        [
            "load",
            "router us",
            "pass-through us",
            "ratio median",
            "lowest",
            "highest",
            "router requests/s per core",
            "pass-through requests/s per core",
        ],
        notes=[
            f"Median of {ROUNDS} rounds, router and pass-through in turn;"
            f" 1 router with real admission, {SERVERS} servers, 500 keys. Requests/s"
            " per core are 1 s divided by the processor time per request. The ratio is"
            " that of the two loads of the same round.",
        ],
    )
    for name, method, body_bytes in KINDS:
        for process in (router, baseline):
            measure(
                *(process, "caller_port", method, body_bytes),
                *(WARM_UP_REQUESTS, CONCURRENCY),
            )
        costs = []
        for _ in range(ROUNDS):
            own, bare = (
                measure(
                    *(process, "caller_port", method, body_bytes),
                    *(REQUESTS, CONCURRENCY),
                ).microseconds
                for process in (router, baseline)
            )
            costs.append((own, bare))
        own = median(cost for cost, _ in costs)
        bare = median(cost for _, cost in costs)
        ratios = [cost / base for cost, base in costs]
        table.add(
            *(name, own, bare, median(ratios), min(ratios), max(ratios)),
            *(1e6 / own, 1e6 / bare),
        )
        section.targets.append(
            Target(
                f"processor time to pass-through, {name}", median(ratios), TARGET_RATIO
            )
        )
    section.tables.append(table)


def _compare_latency(
    server: Process, router: Process, baseline: Process, section: Section
) -> None:
    table = Table(
        f"Latency with one request in flight, {LATENCY_REQUESTS} requests",
        ["load", "way", "p50 ms", "p99 ms", "added p50 ms", "added p99 ms"],
        notes=["Added is the difference from the same percentile of direct calls."],
    )
    for name, method, body_bytes in KINDS:
        ways = [
            ("direct", server, "port"),
            ("pass-through", baseline, "caller_port"),
            ("router", router, "caller_port"),
        ]
        direct: LoadResult | None = None
        for way, process, port in ways:
            found = measure(process, port, method, body_bytes, LATENCY_REQUESTS, 1).load
            direct = direct or found
            table.add(
                *(name, way, found.p50_ms, found.p99_ms),
                found.p50_ms - direct.p50_ms,
                found.p99_ms - direct.p99_ms,
            )
    section.tables.append(table)

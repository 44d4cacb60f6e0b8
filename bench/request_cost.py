"""Compare the router's processor time and latency with those of a minimal proxy.

The baseline is ``bench.passthrough``. Router, pass-through, servers and load generator
are separate processes with one worker each. Router and pass-through are measured
alternately with the same load, for several rounds.
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
"""Highest processor time of the router relative to the pass-through."""
SERVERS = 3
WARM_UP_REQUESTS = 2000
REQUESTS = 8000
ROUNDS = 5
CONCURRENCY = 8
LATENCY_REQUESTS = 3000
LOAD_TIMEOUT_S = 300

LOAD_KINDS = [("read", "GET", 0), ("payment", "POST", 2000)]
"""Name, HTTP method and body size in bytes of each kind of load."""


class LoadCost(msgspec.Struct, frozen=True):
    """Processor time of one process per request, and the results of the load run."""

    processor_us: float
    """Microseconds per request."""
    load: LoadResult


def processor_time_s(pid: int) -> float:
    """Return the total user and system processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(
    process: Process,
    port_name: str,
    method: str,
    body_bytes: int,
    requests: int,
    concurrency: int,
) -> LoadCost:
    """Run a load against a named port of a process; measure its processor time.

    Raises:
        RuntimeError: a request failed.
    """
    url = process.url(port_name) + "/slotfinder/slots?day=monday"
    before = processor_time_s(process.pid)
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
    processor_used_s = processor_time_s(process.pid) - before
    return LoadCost(processor_used_s / requests * 1e6, result)


def run(seed: int) -> Section:
    """Measure all kinds of load; the load does not depend on the seed."""
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
            f"Median of {ROUNDS} rounds, router and pass-through alternately;"
            f" 1 router with admission control, {SERVERS} servers, 500 keys. Requests/s"
            " per core are 1 s divided by the processor time per request. The ratio"
            " compares router and pass-through in the same round.",
        ],
    )
    for name, method, body_bytes in LOAD_KINDS:
        for process in (router, baseline):
            measure(
                *(process, "caller_port", method, body_bytes),
                *(WARM_UP_REQUESTS, CONCURRENCY),
            )
        costs = []
        for _ in range(ROUNDS):
            router_us, baseline_us = (
                measure(
                    *(process, "caller_port", method, body_bytes),
                    *(REQUESTS, CONCURRENCY),
                ).processor_us
                for process in (router, baseline)
            )
            costs.append((router_us, baseline_us))
        router_us = median(router_cost for router_cost, _ in costs)
        baseline_us = median(baseline_cost for _, baseline_cost in costs)
        ratios = [router_cost / baseline_cost for router_cost, baseline_cost in costs]
        table.add(
            *(name, router_us, baseline_us, median(ratios), min(ratios), max(ratios)),
            *(1e6 / router_us, 1e6 / baseline_us),
        )
        section.targets.append(
            Target(
                f"processor time relative to pass-through, {name}",
                median(ratios),
                TARGET_RATIO,
            )
        )
    section.tables.append(table)


def _compare_latency(
    server: Process, router: Process, baseline: Process, section: Section
) -> None:
    table = Table(
        f"Latency with one request in flight, {LATENCY_REQUESTS} requests",
        ["load", "path", "p50 ms", "p99 ms", "added p50 ms", "added p99 ms"],
        notes=["Added is the difference from the same percentile of direct requests."],
    )
    for name, method, body_bytes in LOAD_KINDS:
        paths = [
            ("direct", server, "port"),
            ("pass-through", baseline, "caller_port"),
            ("router", router, "caller_port"),
        ]
        direct: LoadResult | None = None
        for path_name, process, port_name in paths:
            result = measure(
                process, port_name, method, body_bytes, LATENCY_REQUESTS, 1
            ).load
            direct = direct or result
            table.add(
                *(name, path_name, result.p50_ms, result.p99_ms),
                result.p50_ms - direct.p50_ms,
                result.p99_ms - direct.p99_ms,
            )
    section.tables.append(table)

"""Measure planned moves, recovery after crashes, and store outages under load.

Reports how long a planned move pauses its units, how long it takes until every key is
served again after processes were killed, and the outcomes of requests while the store
is not available.
"""

import signal
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from statistics import median
from typing import Any

import msgspec

from .cluster import Cluster, LoadRun, MoveBatch, run_cluster
from .openload import Stream
from .page import Section, Table, Target, percentile

TARGET_PAUSE_MS = 50.0
TARGET_RECOVERY_S = 2.0
ROUTERS = 3
SERVERS = 4
RANGES = 64
KEYS = 48
PER_SECOND = 480.0
SERVICE_TIME_MS = 5.0
DEADLINE_MS = 300
MOVES = 8
REPETITIONS = 3
DELAYED_REQUEST_MS = 100.0
"""A request with a service time of 5 ms that takes longer than this was delayed by the
loss: a router held it until its key was served again."""
REFUSING_S = 20.0
"""How long the store refuses connections."""
UNRESPONSIVE_S = 6.0
"""How long the store accepts requests without replying."""

KEYED_SERVICE = "slotfinder"
PAYMENT_SERVICE = "bookpay"
SETTINGS: dict[str, Any] = {
    "tenant": "kwahu",
    "data_centres": ["accra-osu", "accra-tema", "accra-legon"],
    "routers": ROUTERS,
    "services": {
        KEYED_SERVICE: {"classes": ["listing"], "partitioned": True, "ranges": RANGES},
        PAYMENT_SERVICE: {"classes": ["payment", "booking"]},
    },
}
KillProcesses = Callable[[Cluster], None]


def run(seed: int) -> Section:
    """Run all measurements in one deployment; restart killed processes in between."""
    section = Section("Pauses, losses and store outages", [])
    with run_cluster(
        SETTINGS, ROUTERS, {KEYED_SERVICE: SERVERS, PAYMENT_SERVICE: 2}
    ) as cluster:
        cluster.run([_keyed_stream()], 2, seed)
        _measure_moves(cluster, seed, section)
        _measure_losses(cluster, seed, section)
        _measure_outages(cluster, seed, section)
    return section


def _keyed_stream(deadline_ms: int = DEADLINE_MS) -> Stream:
    return Stream(
        service=KEYED_SERVICE,
        request_class="listing",
        per_second=PER_SECOND,
        keys=KEYS,
        work_ms=SERVICE_TIME_MS,
        deadline_ms=deadline_ms,
    )


def _measure_moves(cluster: Cluster, seed: int, section: Section) -> None:
    """Drain one server after another, which moves all of its units at once."""
    names = [name for name in cluster.servers if name.startswith(KEYED_SERVICE)]
    actions = []
    for index in range(MOVES):
        name = names[index % len(names)]
        at_s = 0.5 + index * 1.2
        actions += [
            (at_s, partial(cluster.set_behaviour, name, state="draining")),
            (at_s + 0.8, partial(cluster.set_behaviour, name, state="serving")),
        ]
    load_run = cluster.run([_keyed_stream(2000)], 0.5 + MOVES * 1.2, seed, actions)
    pauses = _pauses_by_unit(load_run.moves)
    requests = load_run.requests(KEYED_SERVICE)
    latencies = [request.latency_ms for request in requests]
    failed = sum(request.outcome != "ran" for request in requests)
    table = Table(
        "Planned moves",
        [
            *("moves", "units", "pause p50 ms", "pause p99 ms", "pause max ms"),
            *("requests", "not run or unknown", "request p50 ms", "p99 ms", "max ms"),
        ],
        notes=[
            f"{MOVES} drains of one of {SERVERS} servers, {RANGES} ranges, requests of"
            f" {SERVICE_TIME_MS:.0f} ms at {PER_SECOND:.0f}/s, {ROUTERS} routers. The"
            " pause is taken from the coordinator's log: from committing the move as"
            " `moving` to publishing the new owner. It counts once per unit.",
        ],
    )
    table.add(
        *(len(load_run.moves), len(pauses), percentile(pauses, 50)),
        *(percentile(pauses, 99), max(pauses, default=0.0), len(requests), failed),
        *(percentile(latencies, 50), percentile(latencies, 99), max(latencies)),
    )
    section.tables.append(table)
    section.targets.append(
        Target(
            "pause of planned moves p99",
            percentile(pauses, 99),
            TARGET_PAUSE_MS,
            "ms",
        )
    )


def _pauses_by_unit(moves: list[MoveBatch]) -> list[float]:
    return [batch.pause_ms for batch in moves for _ in range(batch.units)]


def _measure_losses(cluster: Cluster, seed: int, section: Section) -> None:
    table = Table(
        "Recovery time until every key is served again after a crash",
        ["killed", "repetitions", "median s", "worst s", "not run", "unknown"],
        notes=[
            f"From the kill to the first response of a request that ran, for the last"
            f" of {KEYS} keys that had a request not run, unknown or slower than"
            f" {DELAYED_REQUEST_MS:.0f} ms after the kill;"
            f" each key has a request every {KEYS / PER_SECOND * 1000:.0f} ms on"
            " average, which bounds the resolution. If a router refuses the connection,"
            " the request goes to the next router, as it would behind a load balancer.",
        ],
    )
    losses: list[tuple[str, KillProcesses]] = [
        ("server", _kill_server),
        ("router, not coordinator", lambda c: _kill_router(c, False)),
        ("router, coordinator", lambda c: _kill_router(c, True)),
        ("coordinator and server", _kill_coordinator_and_server),
    ]
    for name, kill in losses:
        recovery_s = []
        outcomes: Counter[str] = Counter()
        for index in range(REPETITIONS):
            load_run, killed_s = _run_with_loss(cluster, kill, seed + index)
            recovery_s.append(_recovery_s(load_run, killed_s))
            outcomes.update(
                request.outcome for request in load_run.requests(KEYED_SERVICE)
            )
            _restart_killed(cluster)
        table.add(
            *(name, REPETITIONS, median(recovery_s), max(recovery_s)),
            *(outcomes["not-run"], outcomes["unknown"]),
        )
        section.targets.append(
            Target(
                f"recovery time, {name} killed", max(recovery_s), TARGET_RECOVERY_S, "s"
            )
        )
    section.tables.append(table)


def _run_with_loss(
    cluster: Cluster, kill: KillProcesses, seed: int
) -> tuple[LoadRun, float]:
    """Kill processes during a load run; return the run and the time of the kill."""
    killed_s = 0.0

    def kill_now() -> None:
        nonlocal killed_s
        killed_s = time.monotonic()
        kill(cluster)

    load_run = cluster.run([_keyed_stream()], 3.5, seed, [(0.8, kill_now)])
    return load_run, killed_s


def _kill_server(cluster: Cluster) -> None:
    name = min(name for name in cluster.servers if name.startswith(KEYED_SERVICE))
    cluster.servers.pop(name).kill()


def _kill_router(cluster: Cluster, is_coordinator: bool) -> None:
    holder = cluster.coordinator()
    name = next(n for n in cluster.routers if (n == holder) is is_coordinator)
    cluster.routers.pop(name).kill()


def _kill_coordinator_and_server(cluster: Cluster) -> None:
    holder = cluster.coordinator()
    cluster.routers.pop(holder).signal(signal.SIGKILL)
    _kill_server(cluster)


def _restart_killed(cluster: Cluster) -> None:
    """Restart the killed processes under the same names."""
    for number in range(1, SERVERS + 1):
        if f"{KEYED_SERVICE}-{number}" not in cluster.servers:
            cluster.start_server(f"{KEYED_SERVICE}-{number}")
    names = [f"entry-{n}" for n in range(1, ROUTERS + 1)]
    cluster.start_routers([name for name in names if name not in cluster.routers])
    time.sleep(1)


def _recovery_s(load_run: LoadRun, killed_s: float) -> float:
    """Return the seconds from the kill until all affected keys were served again."""
    recovered_s = killed_s
    unserved_keys: set[str] = set()
    for request in load_run.requests(KEYED_SERVICE):
        responded_s = request.due_s + request.latency_ms / 1000
        if responded_s < killed_s:
            continue
        if request.outcome != "ran":
            unserved_keys.add(request.key)
        elif request.latency_ms > DELAYED_REQUEST_MS or request.key in unserved_keys:
            unserved_keys.discard(request.key)
            recovered_s = max(recovered_s, responded_s)
    if unserved_keys:
        # Some keys were not served again before the load ended.
        recovered_s = load_run.load_log.started_s + load_run.seconds
    return recovered_s - killed_s


def _measure_outages(cluster: Cluster, seed: int, section: Section) -> None:
    table = Table(
        "Store outages",
        [
            *("store", "period", "service", "class", "idempotency key", "requests"),
            *("ran", "not run", "unknown", "claims refused", "p99 ms"),
        ],
        notes=[
            "Claims refused counts the responses `store-unavailable`: the request was"
            " not sent to a server, but its outcome is unknown because an earlier"
            " request with the same key may have run. The second period starts when"
            " the store is available again.",
        ],
    )
    streams = [
        msgspec.structs.replace(_keyed_stream(2000), per_second=200.0),
        *(
            Stream(
                service=PAYMENT_SERVICE,
                request_class=name,
                per_second=50.0,
                method="POST",
                work_ms=SERVICE_TIME_MS,
                has_idempotency_key=has_key,
            )
            for name, has_key in [("payment", True), ("booking", False)]
        ),
    ]
    for mode, seconds in [("refusing", REFUSING_S), ("silent", UNRESPONSIVE_S)]:
        load_run = cluster.run(
            streams,
            seconds + 4,
            seed,
            [
                (1.0, partial(cluster.deployment.set_faults, mode=mode)),
                (seconds + 1.0, lambda: cluster.deployment.set_faults(mode="up")),
            ],
        )
        for stream in streams:
            _add_outage(table, mode, seconds, stream, load_run)
    section.tables.append(table)


def _add_outage(
    table: Table, mode: str, seconds: float, stream: Stream, load_run: LoadRun
) -> None:
    outage_start_s = load_run.load_log.started_s + 1.0
    requests = load_run.requests(stream.service, stream.request_class)
    periods = [
        (f"{seconds:.0f} s of outage", outage_start_s, outage_start_s + seconds),
        ("3 s after", outage_start_s + seconds, outage_start_s + seconds + 3),
    ]
    for name, start_s, end_s in periods:
        selected = [request for request in requests if start_s <= request.due_s < end_s]
        outcomes = Counter(request.outcome for request in selected)
        refused = sum(request.error == "store-unavailable" for request in selected)
        ran_ms = [
            request.latency_ms for request in selected if request.outcome == "ran"
        ]
        table.add(
            *(mode, name, stream.service, stream.request_class),
            *("yes" if stream.has_idempotency_key else "no", len(selected)),
            *(outcomes["ran"], outcomes["not-run"], outcomes["unknown"], refused),
            percentile(ran_ms, 99),
        )

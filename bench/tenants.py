"""Run two example tenants under load with server changes, faults and overload.

Servers join, leave, freeze and report false loads. Each placement planner runs in its
own deployment of real processes with the same load and seed. Both tenants run at the
same time; the planners of a tenant run one after another.
"""

import signal
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import json5
import msgspec

from .cluster import (
    Action,
    Cluster,
    LoadRun,
    count_outcomes,
    run_cluster,
    run_in_threads,
)
from .openload import Stream
from .page import Section, Table, Target, percentile

TARGET_IMBALANCE = 1.3
"""Highest ratio of the busiest server to the mean in the steady phase."""
ROUTERS = 3
SERVERS = 4
SLOTS = 4
SERVICE_TIME_MS = 40.0
NORMAL_LOAD = 0.5
"""Offered load relative to the capacity of all slots."""
OVERLOAD = 2.0
KEYS = 100
HOT_KEYS = 5
HOT_SHARE = 0.25
HOT_PERIOD_S = 2.0

ADAPTIVE = "adaptive"
BASELINES = ["static-hash", "round-robin", "always-rebalance"]
SAMPLES_DIRECTORY = Path(__file__).parent.parent / "samples"


class Tenant(msgspec.Struct, frozen=True):
    """A tenant, its service partitioned by key and its service for payments."""

    name: str
    keyed_service: str
    payment_service: str


TENANTS = [
    Tenant("kwahu", "slotfinder", "bookpay"),
    Tenant("wattlebrook", "roster", "till"),
]

STEADY = "steady"
ActionFactory = Callable[[Cluster, str], list[Action]]


def run(seed: int) -> Section:
    """Run all planners for both tenants and return the section."""
    section = Section(
        "Both tenants under load", [_new_placement_table(), _new_class_table()]
    )
    run_in_threads([partial(_run_tenant, tenant, seed, section) for tenant in TENANTS])
    for table in section.tables:
        # The threads append rows in no particular order.
        table.rows.sort(key=lambda row: row[0])
    section.targets.sort(key=lambda target: target.name)
    return section


def _new_placement_table() -> Table:
    capacity = SERVERS * SLOTS * 1000 / SERVICE_TIME_MS
    return Table(
        "Service partitioned by key, by planner and phase",
        [
            *("tenant", "planner", "phase", "seconds", "offered/s", "imbalance"),
            *("unit moves/min", "key moves/min", "unavailable ms per key"),
            *("worst key ms", "not run", "unknown"),
        ],
        notes=[
            f"Real processes: {ROUTERS} routers (9 in section 1.1 of the design) and"
            f" {SERVERS} servers per service (5 to 10) with {SLOTS} slots each. The"
            f" service time is {SERVICE_TIME_MS:.0f} ms, so the capacity is"
            f" {capacity:.0f} requests/s per service. The offered load is"
            f" {NORMAL_LOAD:.0%} of it, and {OVERLOAD:.0%} in the last phase. {KEYS}"
            f" keys; {HOT_KEYS} hot keys get {HOT_SHARE:.0%} of the requests, and one"
            f" of them is replaced every {HOT_PERIOD_S:.0f} s. Both tenants run at the"
            " same time.",
            "Imbalance is the ratio of the busiest server to the mean, from the"
            " execution counts of servers that were present during the whole phase."
            " Unit moves are taken from the coordinator's log; they include the new"
            " epoch of a range when a key becomes, or ceases to be, a unit of its own."
            " Key moves are the changes of owner that callers observed. A key counts"
            " as unavailable from the due time of the first request that was not run"
            " to the response of the next one that ran, summed over the phase. A key"
            " that is not hot has a request every 0.67 s, which bounds the"
            " resolution. Shed requests count as not run, so at overload the value"
            " is the time without a response and not a loss of ownership.",
            "The planners static-hash, round-robin and always-rebalance are baselines:"
            " the same routers with a different `placement` setting.",
        ],
    )


def _new_class_table() -> Table:
    return Table(
        "Request classes, planner adaptive",
        [
            *("tenant", "phase", "service", "class", "offered", "ran", "not run"),
            *("unknown", "p50 ms", "p99 ms"),
        ],
        notes=[
            "Latency of requests that ran, measured from the time at which they were"
            f" due. The service time is {SERVICE_TIME_MS:.0f} ms. Payments and"
            " invoices carry an idempotency key, so their latency includes two writes"
            " of the claim.",
        ],
    )


def _run_tenant(tenant: Tenant, seed: int, section: Section) -> None:
    settings = json5.loads(
        (SAMPLES_DIRECTORY / tenant.name / "settings.jsonc").read_text()
    )
    settings["routers"] = ROUTERS
    for planner in [ADAPTIVE, *BASELINES]:
        planner_settings = {**settings, "placement": planner}
        servers = dict.fromkeys(settings["services"], SERVERS)
        phases = PHASES if planner == ADAPTIVE else BASELINE_PHASES
        with run_cluster(planner_settings, ROUTERS, servers) as cluster:
            for number, (name, seconds, load, actions) in enumerate(phases):
                streams = _streams(tenant, settings, load)
                load_run = cluster.run(
                    streams,
                    seconds,
                    seed + number,
                    actions(cluster, tenant.keyed_service),
                )
                if name == "":
                    continue
                _add_placement(section, tenant, planner, name, load_run)
                if planner == ADAPTIVE:
                    _add_classes(section, tenant, name, load_run)


def _streams(tenant: Tenant, settings: dict[str, Any], load: float) -> list[Stream]:
    requests_per_s = SERVERS * SLOTS * 1000 / SERVICE_TIME_MS * load
    streams = []
    for service, options in settings["services"].items():
        classes = options["classes"]
        is_partitioned = service == tenant.keyed_service
        for request_class in classes:
            has_idempotency_key = (
                service == tenant.payment_service
                and request_class in (*("payment", "invoice"),)
            )
            streams.append(
                Stream(
                    service=service,
                    request_class=request_class,
                    per_second=requests_per_s / len(classes),
                    method="POST" if service == tenant.payment_service else "GET",
                    keys=KEYS,
                    hot_keys=HOT_KEYS if is_partitioned else 0,
                    hot_share=HOT_SHARE if is_partitioned else 0.0,
                    hot_period_s=HOT_PERIOD_S,
                    work_ms=SERVICE_TIME_MS,
                    has_idempotency_key=has_idempotency_key,
                )
            )
    return streams


def _no_actions(cluster: Cluster, service: str) -> list[Action]:
    return []


def _join(cluster: Cluster, service: str) -> list[Action]:
    name = f"{service}-{SERVERS + 1}"
    return [
        (0.5, lambda: cluster.start_server(name, "cold")),
        (3.5, lambda: cluster.set_behaviour(name, state="serving")),
    ]


def _leave(cluster: Cluster, service: str) -> list[Action]:
    name = f"{service}-{SERVERS + 1}"
    return [
        (0.5, lambda: cluster.set_behaviour(name, state="draining")),
        (4.5, lambda: cluster.remove_server(name)),
    ]


def _freeze(cluster: Cluster, service: str) -> list[Action]:
    server = cluster.servers[f"{service}-2"]
    return [
        (0.5, lambda: server.signal(signal.SIGSTOP)),
        (4.0, lambda: server.signal(signal.SIGCONT)),
    ]


def _misreport_load(cluster: Cluster, service: str) -> list[Action]:
    return [
        (0.0, lambda: cluster.set_behaviour(f"{service}-1", load=0.0)),
        (0.0, lambda: cluster.set_behaviour(f"{service}-3", load=10.0)),
    ]


PHASES: list[tuple[str, float, float, ActionFactory]] = [
    ("", 6, NORMAL_LOAD, _no_actions),
    (STEADY, 12, NORMAL_LOAD, _no_actions),
    ("server joins cold", 7, NORMAL_LOAD, _join),
    ("server leaves", 7, NORMAL_LOAD, _leave),
    ("server frozen 3.5 s", 7, NORMAL_LOAD, _freeze),
    ("misreported load", 6, NORMAL_LOAD, _misreport_load),
    ("twice capacity", 6, OVERLOAD, _no_actions),
]
"""Name, seconds, load relative to capacity, and actions of each phase. Phases without a
name are for warming up and are not reported."""
BASELINE_PHASES: list[tuple[str, float, float, ActionFactory]] = [
    ("", 6, NORMAL_LOAD, _no_actions),
    (STEADY, 12, NORMAL_LOAD, _no_actions),
    ("server frozen 3.5 s", 7, NORMAL_LOAD, _freeze),
]


def _add_placement(
    section: Section, tenant: Tenant, planner: str, phase: str, load_run: LoadRun
) -> None:
    requests = load_run.requests(tenant.keyed_service)
    outcomes = count_outcomes(requests)
    unavailable_ms = load_run.unavailable_ms(tenant.keyed_service)
    minutes = load_run.seconds / 60
    imbalance = load_run.imbalance(tenant.keyed_service + "-")
    section.tables[0].add(
        *(
            tenant.name,
            planner,
            phase,
            load_run.seconds,
            len(requests) / load_run.seconds,
        ),
        imbalance,
        sum(batch.units for batch in load_run.moves) / minutes,
        load_run.owner_changes(tenant.keyed_service) / minutes,
        *(sum(unavailable_ms) / len(unavailable_ms), max(unavailable_ms)),
        *(outcomes["not-run"], outcomes["unknown"]),
    )
    if phase == STEADY and planner == ADAPTIVE:
        section.targets.append(
            Target(f"imbalance, steady, {tenant.name}", imbalance, TARGET_IMBALANCE)
        )


def _add_classes(
    section: Section, tenant: Tenant, phase: str, load_run: LoadRun
) -> None:
    for stream in load_run.streams:
        requests = load_run.requests(stream.service, stream.request_class)
        outcomes = count_outcomes(requests)
        ran_ms = [
            request.latency_ms for request in requests if request.outcome == "ran"
        ]
        section.tables[1].add(
            *(tenant.name, phase, stream.service, stream.request_class, len(requests)),
            *(outcomes["ran"], outcomes["not-run"], outcomes["unknown"]),
            *(percentile(ran_ms, 50), percentile(ran_ms, 99)),
        )

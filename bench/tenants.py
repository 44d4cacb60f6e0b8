"""Both tenants under load while servers join, leave, freeze and mislead, and overload.

Each planner runs in a deployment of real processes with the same load and seed. Both
tenants run at the same time, with planners one after another.
"""

import signal
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import json5
import msgspec

from .cluster import Action, Cluster, Phase, cluster, in_threads, outcomes
from .openload import Stream
from .page import Section, Table, Target, percentile

TARGET_IMBALANCE = 1.3
ROUTERS = 3
SERVERS = 4
SLOTS = 4
WORK_MS = 40.0
USUAL_LOAD = 0.5
"""Part of the capacity of the slots."""
OVERLOAD = 2.0
KEYS = 100
HOT_KEYS = 5
HOT_SHARE = 0.25
HOT_PERIOD_S = 2.0

OWN = "adaptive"
BASELINES = ["static-hash", "round-robin", "always-rebalance"]
SAMPLES = Path(__file__).parent.parent / "samples"


class Tenant(msgspec.Struct, frozen=True):
    """A tenant and which of its services take payments."""

    name: str
    keyed: str
    paid: str


TENANTS = [
    Tenant("kwahu", "slotfinder", "bookpay"),
    Tenant("wattlebrook", "roster", "till"),
]

STEADY = "steady"
Actions = Callable[[Cluster, str], list[Action]]


def run(seed: int) -> Section:
    """Run all planners for both tenants."""
    section = Section("Both tenants under load", [_new_placement(), _new_classes()])
    in_threads([partial(_run_tenant, tenant, seed, section) for tenant in TENANTS])
    for table in section.tables:
        # Threads append in any order.
        table.rows.sort(key=lambda row: row[0])
    section.targets.sort(key=lambda target: target.name)
    return section


def _new_placement() -> Table:
    capacity = SERVERS * SLOTS * 1000 / WORK_MS
    return Table(
        "Service partitioned by key, by planner and phase",
        [
            *("tenant", "planner", "phase", "seconds", "offered/s", "imbalance"),
            *("unit moves/min", "key moves/min", "unavailable ms per key"),
            *("worst key ms", "not run", "unknown"),
        ],
        notes=[
            f"Real processes: {ROUTERS} routers (9 in section 1.1 of the design) and"
            f" {SERVERS} servers with {SLOTS} slots per service (5 to 10), work of"
            f" {WORK_MS:.0f} ms per request, so {capacity:.0f} requests/s of slots per"
            f" service; offered {USUAL_LOAD:.0%} of it, and {OVERLOAD:.0%} in the last"
            f" phase. {KEYS} keys; {HOT_KEYS} of them take {HOT_SHARE:.0%} of the"
            f" requests, and one of these changes every {HOT_PERIOD_S:.0f} s. Both"
            " tenants run at the same time.",
            "Imbalance is that of the stand-ins' execution counts over the phase, of"
            " servers present from begin to end. Unit moves are those in the"
            " coordinator's log, which include the new epoch of a range whose key gets"
            " or loses a unit of its own; key moves are the changes of owner that"
            " callers saw. Unavailable time of a key lasts from the time of the first"
            " request that was not run to the answer of the next one that was, summed"
            " over the phase; a cold key has a request every 0.67 s, which bounds the"
            " resolution. A shed request counts, so at overload it is the time"
            " without an answer and not a loss of ownership.",
            "The planners static-hash, round-robin and always-rebalance are baselines:"
            " the same routers with another `placement` setting.",
        ],
    )


def _new_classes() -> Table:
    return Table(
        "Classes, planner adaptive",
        [
            *("tenant", "phase", "service", "class", "offered", "ran", "not run"),
            *("unknown", "p50 ms", "p99 ms"),
        ],
        notes=[
            "Latency is of requests that ran, from the time at which they were due."
            f" The work itself takes {WORK_MS:.0f} ms. Payments and invoices carry an"
            " idempotency key, so they include two writes of the claim.",
        ],
    )


def _run_tenant(tenant: Tenant, seed: int, section: Section) -> None:
    settings = json5.loads((SAMPLES / tenant.name / "settings.jsonc").read_text())
    settings["routers"] = ROUTERS
    for planner in [OWN, *BASELINES]:
        own = {**settings, "placement": planner}
        servers = dict.fromkeys(settings["services"], SERVERS)
        phases = PHASES if planner == OWN else BASELINE_PHASES
        with cluster(own, ROUTERS, servers) as running:
            for number, (name, seconds, load, actions) in enumerate(phases):
                streams = _streams(tenant, settings, load)
                phase = running.run(
                    streams, seconds, seed + number, actions(running, tenant.keyed)
                )
                if name == "":
                    continue
                _add_placement(section, tenant, planner, name, phase)
                if planner == OWN:
                    _add_classes(section, tenant, name, phase)


def _streams(tenant: Tenant, settings: dict[str, Any], load: float) -> list[Stream]:
    per_service = SERVERS * SLOTS * 1000 / WORK_MS * load
    streams = []
    for service, options in settings["services"].items():
        classes = options["classes"]
        is_keyed = service == tenant.keyed
        for request_class in classes:
            is_paid = service == tenant.paid and request_class in (
                *("payment", "invoice"),
            )
            streams.append(
                Stream(
                    service=service,
                    request_class=request_class,
                    per_second=per_service / len(classes),
                    method="POST" if service == tenant.paid else "GET",
                    keys=KEYS,
                    hot_keys=HOT_KEYS if is_keyed else 0,
                    hot_share=HOT_SHARE if is_keyed else 0.0,
                    hot_period_s=HOT_PERIOD_S,
                    work_ms=WORK_MS,
                    claims=is_paid,
                )
            )
    return streams


def _nothing(running: Cluster, service: str) -> list[Action]:
    return []


def _join(running: Cluster, service: str) -> list[Action]:
    name = f"{service}-{SERVERS + 1}"
    return [
        (0.5, lambda: running.start_server(name, "cold")),
        (3.5, lambda: running.behave(name, state="serving")),
    ]


def _leave(running: Cluster, service: str) -> list[Action]:
    name = f"{service}-{SERVERS + 1}"
    return [
        (0.5, lambda: running.behave(name, state="draining")),
        (4.5, lambda: running.remove_server(name)),
    ]


def _freeze(running: Cluster, service: str) -> list[Action]:
    server = running.servers[f"{service}-2"]
    return [
        (0.5, lambda: server.signal(signal.SIGSTOP)),
        (4.0, lambda: server.signal(signal.SIGCONT)),
    ]


def _mislead(running: Cluster, service: str) -> list[Action]:
    return [
        (0.0, lambda: running.behave(f"{service}-1", load=0.0)),
        (0.0, lambda: running.behave(f"{service}-3", load=10.0)),
    ]


# Name, seconds, part of capacity, actions; a phase without name is not reported.
PHASES: list[tuple[str, float, float, Actions]] = [
    ("", 6, USUAL_LOAD, _nothing),
    (STEADY, 12, USUAL_LOAD, _nothing),
    ("server joins cold", 7, USUAL_LOAD, _join),
    ("server leaves", 7, USUAL_LOAD, _leave),
    ("server frozen 3.5 s", 7, USUAL_LOAD, _freeze),
    ("misleading load", 6, USUAL_LOAD, _mislead),
    ("twice capacity", 6, OVERLOAD, _nothing),
]
BASELINE_PHASES: list[tuple[str, float, float, Actions]] = [
    ("", 6, USUAL_LOAD, _nothing),
    (STEADY, 12, USUAL_LOAD, _nothing),
    ("server frozen 3.5 s", 7, USUAL_LOAD, _freeze),
]


def _add_placement(
    section: Section, tenant: Tenant, planner: str, name: str, phase: Phase
) -> None:
    sent = phase.sent(tenant.keyed)
    found = outcomes(sent)
    lost_ms = phase.unavailable_ms(tenant.keyed)
    minutes = phase.seconds / 60
    imbalance = phase.imbalance(tenant.keyed + "-")
    section.tables[0].add(
        *(tenant.name, planner, name, phase.seconds, len(sent) / phase.seconds),
        imbalance,
        sum(moved.units for moved in phase.moved) / minutes,
        phase.owner_changes(tenant.keyed) / minutes,
        *(sum(lost_ms) / len(lost_ms), max(lost_ms)),
        *(found["not-run"], found["unknown"]),
    )
    if name == STEADY and planner == OWN:
        section.targets.append(
            Target(f"imbalance, steady, {tenant.name}", imbalance, TARGET_IMBALANCE)
        )


def _add_classes(section: Section, tenant: Tenant, name: str, phase: Phase) -> None:
    for stream in phase.streams:
        sent = phase.sent(stream.service, stream.request_class)
        found = outcomes(sent)
        ran_ms = [item.latency_ms for item in sent if item.outcome == "ran"]
        section.tables[1].add(
            *(tenant.name, name, stream.service, stream.request_class, len(sent)),
            *(found["ran"], found["not-run"], found["unknown"]),
            *(percentile(ran_ms, 50), percentile(ran_ms, 99)),
        )

"""Pause of planned moves, time until service after losses, and store outages."""

import signal
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from statistics import median
from typing import Any

import msgspec

from .cluster import Cluster, Moved, Phase, cluster
from .openload import Stream
from .page import Section, Table, Target, percentile

TARGET_PAUSE_MS = 50.0
TARGET_SERVED_S = 2.0
ROUTERS = 3
SERVERS = 4
RANGES = 64
KEYS = 48
PER_SECOND = 480.0
WORK_MS = 5.0
DEADLINE_MS = 300
MOVES = 8
REPETITIONS = 3
HELD_MS = 100.0
"""A request of 5 ms that took longer was held until its key was served again."""
OUTAGE_S = 20.0
SILENCE_S = 6.0

KEYED = "slotfinder"
PAID = "bookpay"
SETTINGS: dict[str, Any] = {
    "tenant": "kwahu",
    "data_centres": ["accra-osu", "accra-tema", "accra-legon"],
    "routers": ROUTERS,
    "services": {
        KEYED: {"classes": ["listing"], "partitioned": True, "ranges": RANGES},
        PAID: {"classes": ["payment", "booking"]},
    },
}
Lose = Callable[[Cluster], None]


def run(seed: int) -> Section:
    """Measure in one deployment, lost processes being replaced in between."""
    section = Section("Pauses, losses and store outages", [])
    with cluster(SETTINGS, ROUTERS, {KEYED: SERVERS, PAID: 2}) as running:
        running.run([_keyed()], 2, seed)
        _measure_moves(running, seed, section)
        _measure_losses(running, seed, section)
        _measure_outages(running, seed, section)
    return section


def _keyed(deadline_ms: int = DEADLINE_MS) -> Stream:
    return Stream(
        service=KEYED,
        request_class="listing",
        per_second=PER_SECOND,
        keys=KEYS,
        work_ms=WORK_MS,
        deadline_ms=deadline_ms,
    )


def _measure_moves(running: Cluster, seed: int, section: Section) -> None:
    """Drain servers in turn; all their units move at once."""
    names = [name for name in running.servers if name.startswith(KEYED)]
    actions = []
    for turn in range(MOVES):
        name = names[turn % len(names)]
        at_s = 0.5 + turn * 1.2
        actions += [
            (at_s, partial(running.behave, name, state="draining")),
            (at_s + 0.8, partial(running.behave, name, state="serving")),
        ]
    phase = running.run([_keyed(2000)], 0.5 + MOVES * 1.2, seed, actions)
    pauses = _pauses(phase.moved)
    sent = phase.sent(KEYED)
    latencies = [item.latency_ms for item in sent]
    failed = sum(item.outcome != "ran" for item in sent)
    table = Table(
        "Planned moves",
        [
            *("moves", "units", "pause p50 ms", "pause p99 ms", "pause max ms"),
            *("requests", "not answered", "request p50 ms", "p99 ms", "max ms"),
        ],
        notes=[
            f"{MOVES} drained servers out of {SERVERS}, {RANGES} ranges, requests of"
            f" {WORK_MS:.0f} ms at {PER_SECOND:.0f}/s, {ROUTERS} routers. The pause is"
            " that of the coordinator's log, from the plan committed as `moving` to"
            " the publication of the new owner, and counts once per unit.",
        ],
    )
    table.add(
        *(len(phase.moved), len(pauses), percentile(pauses, 50)),
        *(percentile(pauses, 99), max(pauses, default=0.0), len(sent), failed),
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


def _pauses(moved: list[Moved]) -> list[float]:
    return [batch.pause_ms for batch in moved for _ in range(batch.units)]


def _measure_losses(running: Cluster, seed: int, section: Section) -> None:
    table = Table(
        "Time until every key is served again after a loss",
        ["lost", "repetitions", "median s", "worst s", "not run", "unknown"],
        notes=[
            f"From the kill to the answer of the first request that ran, for the last"
            f" of {KEYS} keys that had a request not run, unknown or held for more than"
            f" {HELD_MS:.0f} ms after the kill;"
            f" each key has a request every {KEYS / PER_SECOND * 1000:.0f} ms on"
            " average, which bounds the resolution. A refused connection goes to the"
            " next router, as a load balancer would have it.",
        ],
    )
    losses: list[tuple[str, Lose]] = [
        ("server", _lose_server),
        ("router, not coordinator", lambda c: _lose_router(c, False)),
        ("router, coordinator", lambda c: _lose_router(c, True)),
        ("coordinator and server", _lose_both),
    ]
    for name, lose in losses:
        served = []
        found: Counter[str] = Counter()
        for turn in range(REPETITIONS):
            phase, lost_s = _lose(running, lose, seed + turn)
            served.append(_served_again_s(phase, lost_s))
            found.update(item.outcome for item in phase.sent(KEYED))
            _replace(running)
        table.add(
            *(name, REPETITIONS, median(served), max(served)),
            *(found["not-run"], found["unknown"]),
        )
        section.targets.append(
            Target(f"served again, {name} lost", max(served), TARGET_SERVED_S, "s")
        )
    section.tables.append(table)


def _lose(running: Cluster, lose: Lose, seed: int) -> tuple[Phase, float]:
    lost_s = 0.0

    def act() -> None:
        nonlocal lost_s
        lost_s = time.monotonic()
        lose(running)

    phase = running.run([_keyed()], 3.5, seed, [(0.8, act)])
    return phase, lost_s


def _lose_server(running: Cluster) -> None:
    name = min(name for name in running.servers if name.startswith(KEYED))
    running.servers.pop(name).kill()


def _lose_router(running: Cluster, is_coordinator: bool) -> None:
    holder = running.coordinator()
    name = next(n for n in running.routers if (n == holder) is is_coordinator)
    running.routers.pop(name).kill()


def _lose_both(running: Cluster) -> None:
    holder = running.coordinator()
    running.routers.pop(holder).signal(signal.SIGKILL)
    _lose_server(running)


def _replace(running: Cluster) -> None:
    """Start what was lost again, under the same names."""
    for number in range(1, SERVERS + 1):
        if f"{KEYED}-{number}" not in running.servers:
            running.start_server(f"{KEYED}-{number}")
    names = [f"entry-{n}" for n in range(1, ROUTERS + 1)]
    running.start_routers([name for name in names if name not in running.routers])
    time.sleep(1)


def _served_again_s(phase: Phase, lost_s: float) -> float:
    last_s = lost_s
    waiting: set[str] = set()
    for sent in phase.sent(KEYED):
        answered_s = sent.due_s + sent.latency_ms / 1000
        if answered_s < lost_s:
            continue
        if sent.outcome != "ran":
            waiting.add(sent.key)
        elif sent.latency_ms > HELD_MS or sent.key in waiting:
            waiting.discard(sent.key)
            last_s = max(last_s, answered_s)
    if waiting:
        # Not served before the load ended.
        last_s = phase.log.started_s + phase.seconds
    return last_s - lost_s


def _measure_outages(running: Cluster, seed: int, section: Section) -> None:
    table = Table(
        "Store outages",
        [
            *("store", "time", "service", "class", "idempotency key", "requests"),
            *("ran", "not run", "unknown", "claims refused", "p99 ms"),
        ],
        notes=[
            "Claims refused are the answers `store-unavailable`: the request was not"
            " sent, and its outcome is unknown, since an earlier one with its key may"
            " have run. The time after begins when the store answers again.",
        ],
    )
    streams = [
        msgspec.structs.replace(_keyed(2000), per_second=200.0),
        *(
            Stream(
                service=PAID,
                request_class=name,
                per_second=50.0,
                method="POST",
                work_ms=WORK_MS,
                claims=claims,
            )
            for name, claims in [("payment", True), ("booking", False)]
        ),
    ]
    for mode, seconds in [("refusing", OUTAGE_S), ("silent", SILENCE_S)]:
        phase = running.run(
            streams,
            seconds + 4,
            seed,
            [
                (1.0, partial(running.deployment.set_faults, mode=mode)),
                (seconds + 1.0, lambda: running.deployment.set_faults(mode="up")),
            ],
        )
        for stream in streams:
            _add_outage(table, mode, seconds, stream, phase)
    section.tables.append(table)


def _add_outage(
    table: Table, mode: str, seconds: float, stream: Stream, phase: Phase
) -> None:
    begin_s = phase.log.started_s + 1.0
    sent = phase.sent(stream.service, stream.request_class)
    times = [
        (f"{seconds:.0f} s of outage", begin_s, begin_s + seconds),
        ("3 s after", begin_s + seconds, begin_s + seconds + 3),
    ]
    for name, first_s, last_s in times:
        own = [item for item in sent if first_s <= item.due_s < last_s]
        found = Counter(item.outcome for item in own)
        refused = sum(item.error == "store-unavailable" for item in own)
        ran_ms = [item.latency_ms for item in own if item.outcome == "ran"]
        table.add(
            *(mode, name, stream.service, stream.request_class),
            *("yes" if stream.claims else "no", len(own)),
            *(found["ran"], found["not-run"], found["unknown"], refused),
            percentile(ran_ms, 99),
        )

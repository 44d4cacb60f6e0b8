"""What each router, range, override, rule, server and claim costs.

Heartbeats and claims are measured with real processes. The other figures are of the
product's own functions in this process, without sockets, which the tables say.
"""

import asyncio
import random
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
from multidict import CIMultiDict

from mulberryrelay_control.grants import ServerGrants
from mulberryrelay_control.placement import (
    LoadRates,
    PlacementPolicy,
    PlacementState,
    ServicePlacement,
    plan_moves,
    policy_for_churn_weight,
)
from mulberryrelay_control.platform_http import HttpPlatform
from mulberryrelay_control.rules import RuleSet, parse_rules
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.hashing import grants_digest, override_unit, range_unit
from mulberryrelay_kernel.ids import (
    AssignmentVersion,
    BootId,
    DataCentre,
    Epoch,
    IdempotencyKey,
    InstanceId,
    Key,
    RequestClass,
    RequestId,
    ServerId,
    ServiceName,
    Term,
    UnitId,
)
from mulberryrelay_kernel.messages import (
    Assignment,
    GrantedUnit,
    GrantReply,
    ServerEntry,
    Unit,
)
from mulberryrelay_kernel.options import LimitOptions, Options, PlatformOptions
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    SyncReply,
    SyncRequest,
    UnitCount,
    UnitUpdate,
)
from mulberryrelay_kernel.settings import check_settings
from mulberryrelay_kernel.states import Outcome, ServerState
from mulberryrelay_router.attempts import CallerRequest, RoutedResponse
from mulberryrelay_router.claims import Claims
from mulberryrelay_router.routingview import RoutingView
from standins.deployment import Process, get_json

from .cluster import cluster
from .page import Section, Table
from .request_cost import processor_s

KEYED = ServiceName("slotfinder")
SETTINGS: dict[str, Any] = {
    "tenant": "kwahu",
    "data_centres": ["accra-osu", "accra-tema", "accra-legon"],
    "routers": 9,
    "services": {
        KEYED: {"classes": ["listing"], "partitioned": True},
        "bookpay": {"classes": ["payment"]},
    },
}
IN_PROCESS = "In this process, without sockets; median of repetitions."
ROUTER_COUNTS = [1, 3, 6, 9]
HEARTBEATS_PER_S = 1000 / 150
IDLE_S = 4.0
RANGES = [64, 256, 1024, 4096, 16_384]
OVERRIDES = [0, 64, 256]
RULES = [10, 100, 1000]
PLAN_RANGES = [1000, 4096, 16_384, 65_536]
PLAN_SERVERS = 10
CONCURRENCIES = [1, 8, 32, 128]
UNPACED_PER_S = 1_000_000
CLAIMS = 1500
REPETITIONS = 5


def run(seed: int) -> Section:
    """Measure all slopes; only random rates of ranges depend on the seed."""
    tables = [
        _measure_heartbeats(),
        _measure_ranges(),
        _measure_overrides(),
        _measure_rules(),
        _measure_grants(),
        _measure_pushes(),
        _measure_plans(seed),
        asyncio.run(_measure_claims()),
    ]
    return Section("Slopes", tables)


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the slope of the least squares line."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return over / sum((x - mean_x) ** 2 for x, _ in points)


def timed_us(work: Callable[..., Any], *arguments: Any, calls: int = 1) -> float:
    """Return the median processor time of one call in microseconds."""
    found = []
    for _ in range(REPETITIONS):
        begun_s = time.process_time()
        for _ in range(calls):
            work(*arguments)
        found.append((time.process_time() - begun_s) / calls * 1e6)
    return sorted(found)[REPETITIONS // 2]


def allocated(work: Callable[..., Any], *arguments: Any) -> tuple[int, Any]:
    """Return the bytes that the result of a call keeps, and the result."""
    tracemalloc.start()
    result = work(*arguments)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, result


def _options() -> Options:
    instance = {"name": "entry-1", "data_centre": "accra-osu"}
    platform = {"plugin": "memory"}
    return check_settings(
        {**SETTINGS, "instance": instance, "platform": platform}, "bench"
    )


def _measure_heartbeats() -> Table:
    """Real processes without load: the first router is the coordinator."""
    table = Table(
        "Heartbeats at the coordinator",
        ["routers", "coordinator % of a core", "other router % of a core"],
    )
    points = []
    with cluster(SETTINGS, 1, {KEYED: 1}) as running:
        for count in ROUTER_COUNTS:
            names = [f"entry-{n}" for n in range(1, count + 1)]
            running.start_routers([n for n in names if n not in running.routers])
            time.sleep(1)
            holder = running.coordinator()
            before = {n: processor_s(p.pid) for n, p in running.routers.items()}
            time.sleep(IDLE_S)
            used = {
                name: (processor_s(process.pid) - before[name]) / IDLE_S * 100
                for name, process in running.routers.items()
            }
            own = used.pop(holder)
            others = sum(used.values()) / len(used) if used else 0.0
            points.append((float(count), own))
            table.add(count, own, others)
    per_router = slope(points)
    table.notes = [
        "Real processes without requests, 1 server, 256 ranges; kernel times have a"
        f" resolution of 10 ms in {IDLE_S:.0f} s. Slope: {per_router:.3g}% of a core"
        f" per router, so {per_router * 1e4 / HEARTBEATS_PER_S:.0f} us per heartbeat"
        f" and reply at {HEARTBEATS_PER_S:.2g} heartbeats/s.",
        "Size of a heartbeat, message alone (in this process): request"
        f" {_heartbeat(0).ByteSize()} bytes, with counts of 32 ranges and 32 keys once"
        f" a second {_heartbeat(32).ByteSize()} bytes; reply"
        f" {_heartbeat_reply().ByteSize()} bytes. HTTP/2 and TCP add to this.",
    ]
    return table


def _heartbeat(counts: int) -> SyncRequest:
    found = [
        UnitCount(service=KEYED, unit=f"r{n}", requests=100, key=key)
        for n in range(counts)
        for key in ("", f"trainer-{n}")
    ]
    return SyncRequest(
        sequence=100_000,
        term=10,
        applied_rules_version=100,
        counts=found,
    )


def _heartbeat_reply() -> SyncReply:
    return SyncReply(
        sequence=100_000,
        term=10,
        routing_lease_ms=850,
        assignment_version=1000,
        rules_version=100,
    )


def _assignment(ranges: int, overrides: int = 0) -> Assignment:
    units = [
        Unit(range_unit(n), ServerId(f"slotfinder-{n % PLAN_SERVERS}"), Epoch(n + 1))
        for n in range(ranges)
    ]
    keys = [Key(f"trainer-{n}") for n in range(overrides)]
    return Assignment(
        AssignmentVersion(1),
        {KEYED: units},
        {KEYED: {k: Unit(override_unit(k), ServerId("s"), Epoch(1)) for k in keys}},
    )


def _unit_messages(assignment: Assignment) -> list[UnitUpdate]:
    units = [
        *assignment.ranges[KEYED],
        *assignment.overrides[KEYED].values(),
    ]
    return [
        UnitUpdate(
            service=KEYED,
            unit=unit.unit,
            owner=unit.owner or "",
            epoch=unit.epoch,
            state=unit.state.value,
        )
        for unit in units
    ]


def _encode(assignment: Assignment) -> bytes:
    return SyncReply(units=_unit_messages(assignment)).SerializeToString()


def _apply(assignment: Assignment) -> None:
    RoutingView().apply_assignment(Term(1), assignment)


def _measure_ranges() -> Table:
    table = Table(
        "Ranges",
        [
            *("ranges", "memory KB", "full view bytes", "build and encode ms"),
            *("decode ms", "apply to a view ms", "chunk rows JSON bytes"),
        ],
    )
    points = []
    for ranges in RANGES:
        size, assignment = allocated(_assignment, ranges)
        encoded = _encode(assignment)
        rows = len(msgspec.json.encode(assignment.ranges[KEYED]))
        decode_us = timed_us(SyncReply.FromString, encoded)
        table.add(
            *(ranges, size / 1000, len(encoded), timed_us(_encode, assignment) / 1000),
            *(decode_us / 1000, timed_us(_apply, assignment) / 1000, rows),
        )
        points.append((float(ranges), size / 1000))
    table.notes = [
        f"{IN_PROCESS} Memory is of one copy of the assignment; slope"
        f" {slope(points) * 1000:.0f} bytes per range.",
    ]
    return table


def _measure_overrides() -> Table:
    table = Table("Overrides", ["overrides", "memory KB", "full view bytes"])
    points = []
    for overrides in OVERRIDES:
        size, assignment = allocated(_assignment, 256, overrides)
        encoded = _encode(assignment)
        table.add(overrides, size / 1000, len(encoded))
        points.append((float(overrides), size))
    table.notes = [
        f"{IN_PROCESS} 256 ranges besides; slope {slope(points):.0f} bytes of memory"
        " per override."
    ]
    return table


def _measure_rules() -> Table:
    table = Table("Rules", ["rules", "text bytes", "memory KB", "parse ms"])
    points = []
    options = _options()
    for rules in RULES:
        text = "".join(
            f"pin key {KEYED} trainer-{n} to data-centre accra-osu"
            " # requested by Ama Mensah\n"
            for n in range(rules)
        )
        size, _ = allocated(_parse, text, options)
        parse_us = timed_us(_parse, text, options)
        table.add(rules, len(text), size / 1000, parse_us / 1000)
        points.append((float(rules), parse_us / 1000))
    table.notes = [
        f"{IN_PROCESS} Pins; each router parses each version once. Slope:"
        f" {slope(points) * 1000:.0f} us per rule."
    ]
    return table


def _parse(text: str, options: Options) -> RuleSet:
    return parse_rules(text, "rules", options).unwrap()


def _measure_grants() -> Table:
    table = Table(
        "Renewal of one server's grant",
        ["units of the server", "order bytes", "full list bytes", "order and reply us"],
    )
    for units in [0, 26, 256, 1639]:
        grants = ServerGrants()
        granted = {range_unit(n): Epoch(n + 1) for n in range(units)}
        grants.grant(GrantedUnit(unit, epoch) for unit, epoch in granted.items())
        _renew(grants)
        full = len(msgspec.json.encode(_order(grants)))
        _renew(grants)
        _renew(grants)
        table.add(
            *(units, len(msgspec.json.encode(_order(grants))), full),
            timed_us(_renew, grants, calls=20),
        )
    table.notes = [
        f"{IN_PROCESS} Once per 150 ms and server, HTTP excluded: the order is made"
        " and encoded, the reply decoded and recorded. The time includes the reply's"
        " digest, which the server makes.",
    ]
    return table


def _order(grants: ServerGrants) -> Any:
    return grants.next_command(InstanceId("entry-1"), Term(1), 850, False)


def _renew(grants: ServerGrants) -> None:
    order = _order(grants)
    sent = dict(grants.wanted_units)
    msgspec.json.encode(order)
    reply = GrantReply(
        server=ServerId("slotfinder-1"),
        boot_id=BootId("boot"),
        state=ServerState.SERVING,
        term=Term(1),
        server_clock_ms=1000,
        accepted=True,
        digest=grants_digest(sent),
    )
    decoded = msgspec.json.decode(msgspec.json.encode(reply), type=GrantReply)
    grants.record_reply(order, sent, decoded, monotonic_ms())


def _measure_pushes() -> Table:
    table = Table(
        "A change pushed to routers",
        ["units changed", "routers", "bytes in total", "build and encode us"],
        notes=[f"{IN_PROCESS} Messages alone; each stream completes its own copy."],
    )
    for units in [1, 64]:
        messages = _unit_messages(_assignment(units))
        for routers in [1, 9, 90, 620]:
            table.add(
                *(units, routers, _push(messages, routers)),
                timed_us(_push, messages, routers),
            )
    return table


def _push(messages: list[UnitUpdate], routers: int) -> int:
    """Make the message for each router; return the bytes of all."""
    return sum(
        len(SyncReply(view_version=1000, units=messages).SerializeToString())
        for _ in range(routers)
    )


def _measure_plans(seed: int) -> Table:
    table = Table("plan_moves", ["ranges", "balanced ms", "one server lost ms"])
    policy = PlacementPolicy({KEYED: policy_for_churn_weight(0.5)})
    rng = random.Random(seed)
    for ranges in PLAN_RANGES:
        assignment = _assignment(ranges)
        rates = {range_unit(n): rng.uniform(0.5, 1.5) for n in range(ranges)}
        times = []
        for servers in (PLAN_SERVERS, PLAN_SERVERS - 1):
            state = PlacementState({KEYED: _placement(assignment, rates, servers)})
            times.append(timed_us(plan_moves, state, policy, 1e6) / 1000)
        table.add(ranges, *times)
    table.notes = [
        f"{IN_PROCESS} {PLAN_SERVERS} servers, every range with requests; planned"
        " twice a second and after each change of servers or rules.",
    ]
    return table


def _placement(
    assignment: Assignment, rates: dict[UnitId, float], servers: int
) -> ServicePlacement:
    return ServicePlacement(
        ranges=len(assignment.ranges[KEYED]),
        units=assignment.ranges[KEYED],
        servers=[
            ServerEntry(
                ServerId(f"slotfinder-{n}"),
                KEYED,
                DataCentre("accra-osu"),
                "127.0.0.1",
                9000 + n,
            )
            for n in range(servers)
        ],
        rates=LoadRates(rates),
    )


async def _measure_claims() -> Table:
    table = Table(
        "Idempotency claims, one router",
        [
            *("in flight", "claims", "claims/s", "writes per claim"),
            *("reads per claim", "processor us per claim"),
        ],
        notes=[
            "The claims of a router in this process over HTTP to the platform stand-in,"
            " with a request that takes no time. The stand-in is one Python process and"
            " bounds the rate. Processor time is that of this process. The pace of"
            " limits.claim_writes_per_second is not applied.",
        ],
    )
    with tempfile.TemporaryDirectory(prefix="mulberryrelay-bench-") as directory:
        store = Process(
            "platform",
            [sys.executable, "-m", "standins.platform"],
            Path(directory) / "platform.log",
        )
        try:
            options = PlatformOptions(url=store.url(), timeout_ms=2000)
            for in_flight in CONCURRENCIES:
                await _measure_claims_at(in_flight, store, options, table)
        finally:
            store.kill()
    return table


async def _measure_claims_at(
    in_flight: int, store: Process, options: PlatformOptions, table: Table
) -> None:
    platform = HttpPlatform(options, InstanceId("entry-1"))
    limits = LimitOptions(claim_writes_per_second=UNPACED_PER_S)
    unpaced = msgspec.structs.replace(_options(), limits=limits)
    claims = Claims(unpaced, platform, monotonic_ms)
    before = get_json(store.url() + "/control/counts")
    numbers = iter(range(CLAIMS))

    async def forward(request: CallerRequest) -> RoutedResponse:
        return RoutedResponse(Outcome.RAN, 200, CIMultiDict(), b"recorded")

    async def caller() -> None:
        for number in numbers:
            key = IdempotencyKey(f"{in_flight}-{number}")
            answer = await claims.run(_payment(key), key, forward)
            if answer.outcome is not Outcome.RAN:
                raise RuntimeError(f"a claim was refused: {answer.error}")

    begun_s, used_s = time.monotonic(), time.process_time()
    await asyncio.gather(*(caller() for _ in range(in_flight)))
    await claims.drain()
    seconds = time.monotonic() - begun_s
    used_s = time.process_time() - used_s
    after = get_json(store.url() + "/control/counts")
    await platform.close()
    table.add(
        *(in_flight, CLAIMS, CLAIMS / seconds),
        (after["writes"] - before["writes"]) / CLAIMS,
        (after["reads"] - before["reads"]) / CLAIMS,
        used_s / CLAIMS * 1e6,
    )


def _payment(key: IdempotencyKey) -> CallerRequest:
    return CallerRequest(
        request_id=RequestId(key),
        service=ServiceName("bookpay"),
        request_class=RequestClass("payment"),
        method="POST",
        path="/pay",
        key=None,
        idempotency_key=key,
        headers=CIMultiDict(),
        body=b"x" * 200,
        deadline_ms=monotonic_ms() + 10_000,
    )

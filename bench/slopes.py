"""Measure how cost grows with routers, ranges, overrides, rules, servers and claims.

Heartbeats and claims are measured with real processes. All other results are from
calling the functions of the product in this process, without sockets; the notes of the
tables say so.
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

from .cluster import run_cluster
from .page import Section, Table
from .request_cost import processor_time_s

KEYED_SERVICE = ServiceName("slotfinder")
SETTINGS: dict[str, Any] = {
    "tenant": "kwahu",
    "data_centres": ["accra-osu", "accra-tema", "accra-legon"],
    "routers": 9,
    "services": {
        KEYED_SERVICE: {"classes": ["listing"], "partitioned": True},
        "bookpay": {"classes": ["payment"]},
    },
}
IN_PROCESS_NOTE = "In one process, without sockets; median of repetitions."
ROUTER_COUNTS = [1, 3, 6, 9]
HEARTBEATS_PER_S = 1000 / 150
"""Heartbeats per second that each router sends to the coordinator by default."""
MEASUREMENT_S = 4.0
RANGE_COUNTS = [64, 256, 1024, 4096, 16_384]
OVERRIDE_COUNTS = [0, 64, 256]
RULE_COUNTS = [10, 100, 1000]
PLAN_RANGE_COUNTS = [1000, 4096, 16_384, 65_536]
PLAN_SERVERS = 10
CLAIM_CONCURRENCIES = [1, 8, 32, 128]
UNLIMITED_WRITES_PER_S = 1_000_000
"""High enough that ``limits.claim_writes_per_second`` does not limit the claims."""
CLAIMS = 1500
REPETITIONS = 5


def run(seed: int) -> Section:
    """Run all measurements; the seed only affects the request rates of ranges."""
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
    return Section("Cost scaling", tables)


def least_squares_slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line through points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)


def measure_cpu_us(
    function: Callable[..., Any], *arguments: Any, calls: int = 1
) -> float:
    """Return the processor time per call in microseconds, the median of repetitions."""
    samples = []
    for _ in range(REPETITIONS):
        started_s = time.process_time()
        for _ in range(calls):
            function(*arguments)
        samples.append((time.process_time() - started_s) / calls * 1e6)
    return sorted(samples)[REPETITIONS // 2]


def measure_allocated(function: Callable[..., Any], *arguments: Any) -> tuple[int, Any]:
    """Return the bytes that are still allocated after a call, and its result."""
    tracemalloc.start()
    result = function(*arguments)
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
    """Measure idle routers in separate processes; the first one is the coordinator."""
    table = Table(
        "Heartbeats at the coordinator",
        ["routers", "coordinator % of a core", "other router % of a core"],
    )
    points = []
    with run_cluster(SETTINGS, 1, {KEYED_SERVICE: 1}) as cluster:
        for count in ROUTER_COUNTS:
            names = [f"entry-{n}" for n in range(1, count + 1)]
            cluster.start_routers([n for n in names if n not in cluster.routers])
            time.sleep(1)
            holder = cluster.coordinator()
            before = {n: processor_time_s(p.pid) for n, p in cluster.routers.items()}
            time.sleep(MEASUREMENT_S)
            cpu_percent = {
                name: (processor_time_s(process.pid) - before[name])
                / MEASUREMENT_S
                * 100
                for name, process in cluster.routers.items()
            }
            coordinator_percent = cpu_percent.pop(holder)
            router_percent = (
                sum(cpu_percent.values()) / len(cpu_percent) if cpu_percent else 0.0
            )
            points.append((float(count), coordinator_percent))
            table.add(count, coordinator_percent, router_percent)
    per_router = least_squares_slope(points)
    table.notes = [
        "Separate processes without requests, 1 server, 256 ranges. Processor times"
        " from the kernel have a resolution of 10 ms; each measurement takes"
        f" {MEASUREMENT_S:.0f} s. Slope: {per_router:.3g}% of a core per router, so"
        f" {per_router * 1e4 / HEARTBEATS_PER_S:.0f} us per heartbeat and reply at"
        f" {HEARTBEATS_PER_S:.2g} heartbeats/s.",
        "Size of the encoded messages, without HTTP/2 and TCP: request"
        f" {_heartbeat(0).ByteSize()} bytes; with counts of 32 ranges and 32 keys, as"
        f" sent once per second, {_heartbeat(32).ByteSize()} bytes; reply"
        f" {_heartbeat_reply().ByteSize()} bytes.",
    ]
    return table


def _heartbeat(counts: int) -> SyncRequest:
    unit_counts = [
        UnitCount(service=KEYED_SERVICE, unit=f"r{n}", requests=100, key=key)
        for n in range(counts)
        for key in ("", f"trainer-{n}")
    ]
    return SyncRequest(
        sequence=100_000,
        term=10,
        applied_rules_version=100,
        counts=unit_counts,
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
        {KEYED_SERVICE: units},
        {
            KEYED_SERVICE: {
                k: Unit(override_unit(k), ServerId("s"), Epoch(1)) for k in keys
            }
        },
    )


def _unit_messages(assignment: Assignment) -> list[UnitUpdate]:
    units = [
        *assignment.ranges[KEYED_SERVICE],
        *assignment.overrides[KEYED_SERVICE].values(),
    ]
    return [
        UnitUpdate(
            service=KEYED_SERVICE,
            unit=unit.unit,
            owner=unit.owner or "",
            epoch=unit.epoch,
            state=unit.state.value,
        )
        for unit in units
    ]


def _encode_view(assignment: Assignment) -> bytes:
    return SyncReply(units=_unit_messages(assignment)).SerializeToString()


def _apply_to_view(assignment: Assignment) -> None:
    RoutingView().apply_assignment(Term(1), assignment)


def _measure_ranges() -> Table:
    table = Table(
        "Ranges",
        [
            *("ranges", "memory KB", "full view bytes", "build and encode ms"),
            *("decode ms", "apply to view ms", "stored rows JSON bytes"),
        ],
    )
    points = []
    for ranges in RANGE_COUNTS:
        size, assignment = measure_allocated(_assignment, ranges)
        encoded = _encode_view(assignment)
        stored_bytes = len(msgspec.json.encode(assignment.ranges[KEYED_SERVICE]))
        decode_us = measure_cpu_us(SyncReply.FromString, encoded)
        table.add(
            *(
                ranges,
                size / 1000,
                len(encoded),
                measure_cpu_us(_encode_view, assignment) / 1000,
            ),
            *(
                decode_us / 1000,
                measure_cpu_us(_apply_to_view, assignment) / 1000,
                stored_bytes,
            ),
        )
        points.append((float(ranges), size / 1000))
    table.notes = [
        f"{IN_PROCESS_NOTE} Memory is that of one copy of the assignment; slope"
        f" {least_squares_slope(points) * 1000:.0f} bytes per range.",
    ]
    return table


def _measure_overrides() -> Table:
    table = Table("Overrides", ["overrides", "memory KB", "full view bytes"])
    points = []
    for overrides in OVERRIDE_COUNTS:
        size, assignment = measure_allocated(_assignment, 256, overrides)
        encoded = _encode_view(assignment)
        table.add(overrides, size / 1000, len(encoded))
        points.append((float(overrides), size))
    table.notes = [
        f"{IN_PROCESS_NOTE} With 256 ranges; slope {least_squares_slope(points):.0f}"
        " bytes of memory per override."
    ]
    return table


def _measure_rules() -> Table:
    table = Table("Rules", ["rules", "text bytes", "memory KB", "parse ms"])
    points = []
    options = _options()
    for rules in RULE_COUNTS:
        text = "".join(
            f"pin key {KEYED_SERVICE} trainer-{n} to data-centre accra-osu"
            " # requested by Ama Mensah\n"
            for n in range(rules)
        )
        size, _ = measure_allocated(_parse, text, options)
        parse_us = measure_cpu_us(_parse, text, options)
        table.add(rules, len(text), size / 1000, parse_us / 1000)
        points.append((float(rules), parse_us / 1000))
    table.notes = [
        f"{IN_PROCESS_NOTE} All rules are pins; each router parses each version once."
        f" Slope: {least_squares_slope(points) * 1000:.0f} us per rule."
    ]
    return table


def _parse(text: str, options: Options) -> RuleSet:
    return parse_rules(text, "rules", options).unwrap()


def _measure_grants() -> Table:
    table = Table(
        "Renewal of one server's grant",
        [
            "units of the server",
            "command bytes",
            "full list bytes",
            "command and reply us",
        ],
    )
    for units in [0, 26, 256, 1639]:
        grants = ServerGrants()
        granted = {range_unit(n): Epoch(n + 1) for n in range(units)}
        grants.grant(GrantedUnit(unit, epoch) for unit, epoch in granted.items())
        _renew(grants)
        full_list_bytes = len(msgspec.json.encode(_next_command(grants)))
        _renew(grants)
        _renew(grants)
        table.add(
            *(units, len(msgspec.json.encode(_next_command(grants))), full_list_bytes),
            measure_cpu_us(_renew, grants, calls=20),
        )
    table.notes = [
        f"{IN_PROCESS_NOTE} Happens once per 150 ms and server, measured without HTTP:"
        " the command is created and encoded, the reply decoded and recorded. The"
        " time includes computing the digest in the reply, which the server does.",
    ]
    return table


def _next_command(grants: ServerGrants) -> Any:
    return grants.next_command(InstanceId("entry-1"), Term(1), 850, False)


def _renew(grants: ServerGrants) -> None:
    command = _next_command(grants)
    sent = dict(grants.wanted_units)
    msgspec.json.encode(command)
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
    grants.record_reply(command, sent, decoded, monotonic_ms())


def _measure_pushes() -> Table:
    table = Table(
        "Pushing a change to routers",
        ["units changed", "routers", "bytes in total", "build and encode us"],
        notes=[
            f"{IN_PROCESS_NOTE} Messages only; each stream builds and encodes its own"
            " copy."
        ],
    )
    for units in [1, 64]:
        messages = _unit_messages(_assignment(units))
        for routers in [1, 9, 90, 620]:
            table.add(
                *(units, routers, _encode_for_routers(messages, routers)),
                measure_cpu_us(_encode_for_routers, messages, routers),
            )
    return table


def _encode_for_routers(messages: list[UnitUpdate], routers: int) -> int:
    """Encode the message once per router; return the total size in bytes."""
    return sum(
        len(SyncReply(view_version=1000, units=messages).SerializeToString())
        for _ in range(routers)
    )


def _measure_plans(seed: int) -> Table:
    table = Table("plan_moves", ["ranges", "balanced ms", "one server lost ms"])
    policy = PlacementPolicy({KEYED_SERVICE: policy_for_churn_weight(0.5)})
    rng = random.Random(seed)
    for ranges in PLAN_RANGE_COUNTS:
        assignment = _assignment(ranges)
        rates = {range_unit(n): rng.uniform(0.5, 1.5) for n in range(ranges)}
        times = []
        for servers in (PLAN_SERVERS, PLAN_SERVERS - 1):
            state = PlacementState(
                {KEYED_SERVICE: _placement(assignment, rates, servers)}
            )
            times.append(measure_cpu_us(plan_moves, state, policy, 1e6) / 1000)
        table.add(ranges, *times)
    table.notes = [
        f"{IN_PROCESS_NOTE} {PLAN_SERVERS} servers, all ranges have requests. A"
        " coordinator plans twice per second and after each change of servers or"
        " rules.",
    ]
    return table


def _placement(
    assignment: Assignment, rates: dict[UnitId, float], servers: int
) -> ServicePlacement:
    return ServicePlacement(
        ranges=len(assignment.ranges[KEYED_SERVICE]),
        units=assignment.ranges[KEYED_SERVICE],
        servers=[
            ServerEntry(
                ServerId(f"slotfinder-{n}"),
                KEYED_SERVICE,
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
            "Claims of a router in the benchmark process over HTTP to the platform"
            " stand-in, for requests with a service time of 0. The stand-in is a single"
            " Python process and bounds the rate. Processor time is that of the"
            " benchmark process. limits.claim_writes_per_second is not enforced.",
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
            for in_flight in CLAIM_CONCURRENCIES:
                await _measure_claims_at(in_flight, store, options, table)
        finally:
            store.kill()
    return table


async def _measure_claims_at(
    in_flight: int, store: Process, options: PlatformOptions, table: Table
) -> None:
    platform = HttpPlatform(options, InstanceId("entry-1"))
    limits = LimitOptions(claim_writes_per_second=UNLIMITED_WRITES_PER_S)
    options_without_limit = msgspec.structs.replace(_options(), limits=limits)
    claims = Claims(options_without_limit, platform, monotonic_ms)
    before = get_json(store.url() + "/control/counts")
    numbers = iter(range(CLAIMS))

    async def forward(request: CallerRequest) -> RoutedResponse:
        return RoutedResponse(Outcome.RAN, 200, CIMultiDict(), b"recorded")

    async def send_claims() -> None:
        for number in numbers:
            key = IdempotencyKey(f"{in_flight}-{number}")
            response = await claims.run(_payment(key), key, forward)
            if response.outcome is not Outcome.RAN:
                raise RuntimeError(
                    "expected the request of a claim to run, got error"
                    f" {response.error}"
                )

    started_s, processor_started_s = time.monotonic(), time.process_time()
    await asyncio.gather(*(send_claims() for _ in range(in_flight)))
    await claims.drain()
    seconds = time.monotonic() - started_s
    processor_used_s = time.process_time() - processor_started_s
    after = get_json(store.url() + "/control/counts")
    await platform.close()
    table.add(
        *(in_flight, CLAIMS, CLAIMS / seconds),
        (after["writes"] - before["writes"]) / CLAIMS,
        (after["reads"] - before["reads"]) / CLAIMS,
        processor_used_s / CLAIMS * 1e6,
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

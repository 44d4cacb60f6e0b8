"""Measure the control plane of an idle deployment: processor time, memory and traffic.

Runs deployments of separate processes without requests and reads the usage of each
router from ``/proc`` and the kernel's socket statistics. The cost of building,
encoding and applying the coordinator's routing view is measured in this process.
Prints markdown tables.
"""

import os
import socket
import struct
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import click
import msgspec

from mulberryrelay_control.coordinatorterm import unit_message
from mulberryrelay_kernel.hashing import range_unit
from mulberryrelay_kernel.ids import (
    AssignmentVersion,
    Epoch,
    ServerId,
    ServiceName,
    Term,
)
from mulberryrelay_kernel.messages import Unit, UnitUpdate
from mulberryrelay_kernel.peerproto.peer_pb2 import SyncReply
from mulberryrelay_router.routingview import RoutingView
from mulberryrelay_router.viewmessages import decode_assignment, decode_units
from standins.deployment import Deployment, Process

SERVICES = ("slotfinder", "bookpay")
DATA_CENTRES = [f"dc-{number}" for number in range(3)]
SETTLE_S = 5.0
"""Time for the first grants, the initial assignment and the waits of a new term."""
RANGES = (256, 4096, 65536)
SERVERS_IN_VIEW = 10
DESIGN_ROUTERS = 620
"""Number of routers, one on each node, at the scale of the design."""
DESIGN_DATA_CENTRES = 9
"""Number of data centres at the scale of the design."""
BYTES_PER_KB = 1000
BYTES_PER_MB = 1_000_000

# Linux sock_diag: struct inet_diag_req_v2, inet_diag_msg and struct tcp_info.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST_AND_DUMP = 0x301
NLMSG_DONE = 3
INET_DIAG_INFO = 2
ALL_TCP_STATES = 0xFFFFFFFF
DIAG_MESSAGE_LENGTH = 72
INODE_OFFSET = 68
BYTES_ACKED_OFFSET = 120


class ProcessSample(msgspec.Struct, frozen=True):
    """Total resource usage of one process since its start."""

    at_s: float
    cpu_s: float
    sockets: dict[int, tuple[int, int]]
    """Bytes sent and received by inode of each open TCP socket."""


class Usage(msgspec.Struct, frozen=True):
    """Resource usage of one process, averaged over a period."""

    cpu_percent: float
    resident_mb: float
    sent_kb: float
    """Kilobytes of TCP payload per second."""
    received_kb: float
    """Kilobytes of TCP payload per second."""


class ControlCost(msgspec.Struct, frozen=True):
    """Resource usage by role in one idle deployment."""

    routers: int
    servers: int
    coordinator: Usage
    router: Usage
    """Mean of the routers other than the coordinator."""


class ViewCost(msgspec.Struct, frozen=True):
    """Processor time and message sizes for the routing view of one service."""

    ranges: int
    full_bytes: int
    full_build_ms: float
    """Building the messages of all units, once for each new stream."""
    full_encode_ms: float
    full_apply_ms: float
    """Decoding and applying the full view at the router."""
    push_bytes: int
    push_send_ms: float
    """Building and encoding the update of one unit for one router."""
    push_apply_ms: float


def socket_bytes() -> dict[int, tuple[int, int]]:
    """Return the bytes sent and received by each TCP socket, by inode."""
    # gRPC uses IPv6 sockets for IPv4 addresses as well.
    return {**_family_bytes(socket.AF_INET), **_family_bytes(socket.AF_INET6)}


def _family_bytes(family: int) -> dict[int, tuple[int, int]]:
    totals: dict[int, tuple[int, int]] = {}
    body = struct.pack(
        "=BBBBI48x",
        family,
        socket.IPPROTO_TCP,
        1 << (INET_DIAG_INFO - 1),
        0,
        ALL_TCP_STATES,
    )
    header = struct.pack(
        "=IHHII", 16 + len(body), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST_AND_DUMP, 1, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
    ) as netlink:
        netlink.send(header + body)
        while True:
            for kind, payload in _netlink_messages(netlink.recv(1 << 18)):
                if kind == NLMSG_DONE:
                    return totals
                (inode,) = struct.unpack_from("=I", payload, INODE_OFFSET)
                info = _attribute(payload[DIAG_MESSAGE_LENGTH:], INET_DIAG_INFO)
                if info is not None:
                    totals[inode] = struct.unpack_from("=QQ", info, BYTES_ACKED_OFFSET)


def _netlink_messages(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the kind and payload of each netlink message in a datagram."""
    while data:
        length, kind = struct.unpack_from("=IH", data)
        yield kind, data[16:length]
        data = data[(length + 3) & ~3 :]


def _attribute(data: bytes, wanted: int) -> bytes | None:
    """Return the payload of the first netlink attribute of a kind, or None."""
    while len(data) >= 4:
        length, kind = struct.unpack_from("=HH", data)
        if kind == wanted:
            return data[4:length]
        data = data[(length + 3) & ~3 :]
    return None


def sample_process(
    process: Process, sockets: dict[int, tuple[int, int]]
) -> ProcessSample:
    """Return the total usage of a process; ``sockets`` is from ``socket_bytes``."""
    inodes = set()
    directory = f"/proc/{process.pid}/fd"
    for descriptor in os.listdir(directory):
        target = os.readlink(f"{directory}/{descriptor}")
        if target.startswith("socket:["):
            inodes.add(int(target[len("socket:[") : -1]))
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ProcessSample(
        time.monotonic(),
        ticks / os.sysconf("SC_CLK_TCK"),
        {inode: sockets[inode] for inode in inodes & sockets.keys()},
    )


def resident_mb(process: Process) -> float:
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{process.pid}/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def usage(process: Process, before: ProcessSample, after: ProcessSample) -> Usage:
    """Return the averages between two samples of a process."""
    seconds = after.at_s - before.at_s
    sent = received = 0
    for inode, totals in after.sockets.items():
        previous = before.sockets.get(inode, (0, 0))
        sent += totals[0] - previous[0]
        received += totals[1] - previous[1]
    return Usage(
        100 * (after.cpu_s - before.cpu_s) / seconds,
        resident_mb(process),
        sent / seconds / BYTES_PER_KB,
        received / seconds / BYTES_PER_KB,
    )


def mean_usage(usages: list[Usage]) -> Usage:
    """Return the mean of each field."""
    return Usage(
        *(
            sum(getattr(process_usage, name) for process_usage in usages) / len(usages)
            for name in Usage.__struct_fields__
        )
    )


@contextmanager
def idle_deployment(routers: int, servers: int) -> Iterator[list[Process]]:
    """Run a deployment with ``servers`` servers per service; yield its routers."""
    settings: dict[str, Any] = {
        "tenant": "kwahu",
        "data_centres": DATA_CENTRES,
        "routers": routers,
        "services": {
            SERVICES[0]: {"classes": ["listing"], "partitioned": True},
            SERVICES[1]: {"classes": ["payment"]},
        },
    }
    with Deployment(settings) as deployment:
        for service in SERVICES:
            for number in range(servers):
                data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
                deployment.start_server(f"{service}-{number}", service, data_centre)
        started = [
            deployment.start_router(
                f"entry-{number}", DATA_CENTRES[number % len(DATA_CENTRES)], wait=False
            )
            for number in range(routers)
        ]
        for router in started:
            router.wait_for("event=ready")
        time.sleep(SETTLE_S)
        yield started


def measure_deployment(routers: int, servers: int, seconds: float) -> ControlCost:
    """Measure the resource usage by role in one idle deployment.

    Raises:
        RuntimeError: not exactly one router was coordinator, so that usage cannot be
            attributed to roles.
    """
    with idle_deployment(routers, servers) as started:
        sockets = socket_bytes()
        before = [sample_process(router, sockets) for router in started]
        time.sleep(seconds)
        sockets = socket_bytes()
        after = [sample_process(router, sockets) for router in started]
        usages = [usage(*row) for row in zip(started, before, after, strict=True)]
        is_coordinator = ["event=coordinating" in router.log for router in started]
    if is_coordinator.count(True) != 1:
        raise RuntimeError("expected exactly one coordinator during the measurement")
    return ControlCost(
        routers,
        servers * len(SERVICES),
        usages[is_coordinator.index(True)],
        mean_usage(
            [
                router_usage
                for router_usage, is_holder in zip(usages, is_coordinator, strict=True)
                if not is_holder
            ]
        ),
    )


def cpu_ms(function: Callable[[], object], calls: int) -> float:
    """Return the mean processor time of one call, in milliseconds."""
    started_s = time.process_time()
    for _ in range(calls):
        function()
    return 1000 * (time.process_time() - started_s) / calls


def measure_view(ranges: int) -> ViewCost:
    """Measure the full routing view of a service and the update of one unit."""
    service = ServiceName(SERVICES[0])
    updates = [
        UnitUpdate(
            service,
            Unit(
                range_unit(index),
                ServerId(f"{service}-{index % SERVERS_IN_VIEW}"),
                Epoch(1),
            ),
        )
        for index in range(ranges)
    ]
    view = RoutingView()

    def build() -> SyncReply:
        return SyncReply(
            full=True, view_version=1, units=[unit_message(u) for u in updates]
        )

    def send_push() -> bytes:
        reply = SyncReply(view_version=2, units=[unit_message(updates[0])])
        return reply.SerializeToString()

    def apply_full() -> None:
        view.apply_assignment(Term(1), decode_assignment(SyncReply.FromString(full)))

    def apply_push() -> None:
        reply = SyncReply.FromString(push)
        view.apply_units(AssignmentVersion(2), decode_units(reply))

    message = build()
    full = message.SerializeToString()
    push = send_push()
    repeats = max(3, 65536 // ranges)
    return ViewCost(
        ranges,
        len(full),
        cpu_ms(build, repeats),
        cpu_ms(message.SerializeToString, repeats),
        cpu_ms(apply_full, repeats),
        len(push),
        cpu_ms(send_push, 1000),
        cpu_ms(apply_push, max(20, repeats)),
    )


def print_table(columns: list[str], rows: list[list[object]]) -> None:
    """Print a markdown table."""
    click.echo("| " + " | ".join(columns) + " |")
    click.echo("|" + "---|" * len(columns))
    for row in rows:
        click.echo("| " + " | ".join(map(_cell, row)) + " |")
    click.echo()


def _cell(value: object) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def usage_per_process(first: Usage, second: Usage, added: int) -> list[object]:
    """Return the change in each field of ``Usage`` per added process."""
    return [
        (getattr(second, name) - getattr(first, name)) / added
        for name in Usage.__struct_fields__
    ]


def report_deployments(costs: list[ControlCost]) -> None:
    """Print usage by role, usage per added process, and the design scale.

    Takes three deployments: the second is the base, the first has fewer servers and
    the last has more routers. The usage of the coordinator is extrapolated linearly
    to one stream per router and to one stream per data centre of the design scale.
    """
    figures = ["% of a core", "MB resident", "KB/s sent", "KB/s received"]
    rows: list[list[object]] = []
    for cost in costs:
        for role, role_usage in (
            ("coordinator", cost.coordinator),
            ("router", cost.router),
        ):
            values = [getattr(role_usage, name) for name in Usage.__struct_fields__]
            rows.append([cost.routers, cost.servers, role, *values])
    print_table(["routers", "servers", "role", *figures], rows)
    few_servers, base, many_routers = costs
    added_servers = base.servers - few_servers.servers
    added_routers = many_routers.routers - base.routers
    per_router = usage_per_process(
        base.coordinator, many_routers.coordinator, added_routers
    )
    print_table(
        ["change per added process", *figures],
        [
            ["coordinator, per router", *per_router],
            [
                "router, per router",
                *usage_per_process(base.router, many_routers.router, added_routers),
            ],
            [
                "coordinator, per server",
                *usage_per_process(
                    few_servers.coordinator, base.coordinator, added_servers
                ),
            ],
            [
                "router, per server",
                *usage_per_process(few_servers.router, base.router, added_servers),
            ],
        ],
    )
    rows = []
    for streams in (DESIGN_ROUTERS, DESIGN_DATA_CENTRES):
        extrapolated: list[object] = [streams]
        for name, change_per_router in zip(
            Usage.__struct_fields__, per_router, strict=True
        ):
            assert isinstance(change_per_router, float)
            at_base = getattr(base.coordinator, name)
            extrapolated.append(at_base + change_per_router * (streams - base.routers))
        rows.append(extrapolated)
    print_table(["streams at the coordinator (extrapolated)", *figures], rows)


def report_views() -> None:
    """Print the cost of full views and of single updates."""
    columns = [
        "ranges",
        "full view bytes",
        "build ms",
        "encode ms",
        "apply ms",
        "update bytes",
        "update build and encode ms",
        "update apply ms",
    ]
    costs = [measure_view(ranges) for ranges in RANGES]
    fields = ViewCost.__struct_fields__
    print_table(columns, [[getattr(c, name) for name in fields] for c in costs])


@click.command()
@click.option("--seconds", default=15.0, help="Length of each measurement.")
@click.option("--views/--no-views", default=True, help="Also measure routing views.")
@click.option(
    "--brief", is_flag=True, help="Measure only 3 routers and 10 servers per service."
)
def main(seconds: float, views: bool, brief: bool) -> None:
    """Measure the cost of the control plane without requests."""
    if views:
        report_views()
    if brief:
        cost = measure_deployment(3, 10, seconds)
        click.echo(f"coordinator {cost.coordinator}")
        click.echo(f"router {cost.router}")
        return
    report_deployments(
        [
            measure_deployment(3, 3, seconds),
            measure_deployment(3, 10, seconds),
            measure_deployment(9, 10, seconds),
        ]
    )


if __name__ == "__main__":
    main()

"""What control costs while nothing happens: processor time, memory and bytes per role.

Runs deployments of separate processes without requests and reads the figures of each
process from ``/proc`` and the kernel's socket statistics. The view of the coordinator
is measured in this process. Prints markdown tables.
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
# Grants, first placement and the waits of a new term are over by then.
SETTLE_S = 5.0
RANGES = (256, 4096, 65536)
VIEW_SERVERS = 10
# Nodes and data centres of the design scale.
DESIGN_ROUTERS = 620
DESIGN_RELAYS = 9
KILOBYTE = 1000
MEGABYTE = 1_000_000

# Linux sock_diag: struct inet_diag_req_v2, inet_diag_msg and struct tcp_info.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_DUMP_REQUEST = 0x301
NLMSG_DONE = 3
INET_DIAG_INFO = 2
ALL_TCP_STATES = 0xFFFFFFFF
DIAG_MESSAGE_LENGTH = 72
INODE_OFFSET = 68
BYTES_ACKED_OFFSET = 120


class Sample(msgspec.Struct, frozen=True):
    """Totals of one process since its start."""

    at_s: float
    cpu_s: float
    sockets: dict[int, tuple[int, int]]
    """Bytes sent and received, by inode of the TCP socket."""


class Usage(msgspec.Struct, frozen=True):
    """What one process used, averaged over a period."""

    cpu_percent: float
    resident_mb: float
    sent_kb: float
    """Kilobytes of TCP payload in a second."""
    received_kb: float


class ControlCost(msgspec.Struct, frozen=True):
    """Usage by role in one deployment."""

    routers: int
    servers: int
    coordinator: Usage
    router: Usage
    """Mean of the routers that are not coordinator."""


class ViewCost(msgspec.Struct, frozen=True):
    """Processor time for the view of one service, in milliseconds."""

    ranges: int
    full_bytes: int
    full_build_ms: float
    """Messages of all units, once for each stream that begins."""
    full_encode_ms: float
    full_apply_ms: float
    """Decoding and applying at the router."""
    push_bytes: int
    push_send_ms: float
    """One changed unit for one router: message and encoding."""
    push_apply_ms: float


def socket_bytes() -> dict[int, tuple[int, int]]:
    """Return the bytes sent and received by each TCP socket, by inode."""
    # gRPC opens IPv6 sockets for IPv4 addresses too.
    return {**_family_bytes(socket.AF_INET), **_family_bytes(socket.AF_INET6)}


def _family_bytes(family: int) -> dict[int, tuple[int, int]]:
    found: dict[int, tuple[int, int]] = {}
    body = struct.pack(
        "=BBBBI48x",
        family,
        socket.IPPROTO_TCP,
        1 << (INET_DIAG_INFO - 1),
        0,
        ALL_TCP_STATES,
    )
    header = struct.pack(
        "=IHHII", 16 + len(body), SOCK_DIAG_BY_FAMILY, NLM_F_DUMP_REQUEST, 1, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
    ) as netlink:
        netlink.send(header + body)
        while True:
            for kind, payload in _netlink_messages(netlink.recv(1 << 18)):
                if kind == NLMSG_DONE:
                    return found
                (inode,) = struct.unpack_from("=I", payload, INODE_OFFSET)
                info = _attribute(payload[DIAG_MESSAGE_LENGTH:], INET_DIAG_INFO)
                if info is not None:
                    found[inode] = struct.unpack_from("=QQ", info, BYTES_ACKED_OFFSET)


def _netlink_messages(data: bytes) -> Iterator[tuple[int, bytes]]:
    while data:
        length, kind = struct.unpack_from("=IH", data)
        yield kind, data[16:length]
        data = data[(length + 3) & ~3 :]


def _attribute(data: bytes, wanted: int) -> bytes | None:
    while len(data) >= 4:
        length, kind = struct.unpack_from("=HH", data)
        if kind == wanted:
            return data[4:length]
        data = data[(length + 3) & ~3 :]
    return None


def sample(process: Process, sockets: dict[int, tuple[int, int]]) -> Sample:
    """Return the totals of a process."""
    inodes = set()
    directory = f"/proc/{process.pid}/fd"
    for descriptor in os.listdir(directory):
        target = os.readlink(f"{directory}/{descriptor}")
        if target.startswith("socket:["):
            inodes.add(int(target[len("socket:[") : -1]))
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return Sample(
        time.monotonic(),
        ticks / os.sysconf("SC_CLK_TCK"),
        {inode: sockets[inode] for inode in inodes & sockets.keys()},
    )


def resident_mb(process: Process) -> float:
    """Return the resident memory of a process."""
    with open(f"/proc/{process.pid}/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


def usage(process: Process, before: Sample, after: Sample) -> Usage:
    """Return the averages between two samples of a process."""
    seconds = after.at_s - before.at_s
    sent = received = 0
    for inode, totals in after.sockets.items():
        known = before.sockets.get(inode, (0, 0))
        sent += totals[0] - known[0]
        received += totals[1] - known[1]
    return Usage(
        100 * (after.cpu_s - before.cpu_s) / seconds,
        resident_mb(process),
        sent / seconds / KILOBYTE,
        received / seconds / KILOBYTE,
    )


def mean_usage(found: list[Usage]) -> Usage:
    """Return the mean of each figure."""
    return Usage(
        *(
            sum(getattr(one, name) for one in found) / len(found)
            for name in Usage.__struct_fields__
        )
    )


@contextmanager
def idle_deployment(routers: int, servers: int) -> Iterator[list[Process]]:
    """Run a deployment with that many servers per service; yield its routers."""
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
                place = DATA_CENTRES[number % len(DATA_CENTRES)]
                deployment.start_server(f"{service}-{number}", service, place)
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
    """Measure one idle deployment.

    Raises:
        RuntimeError: the coordinator changed, so that the roles are not known.
    """
    with idle_deployment(routers, servers) as started:
        sockets = socket_bytes()
        before = [sample(router, sockets) for router in started]
        time.sleep(seconds)
        sockets = socket_bytes()
        after = [sample(router, sockets) for router in started]
        found = [usage(*row) for row in zip(started, before, after, strict=True)]
        holders = ["event=coordinating" in router.log for router in started]
    if holders.count(True) != 1:
        raise RuntimeError("the coordinator changed during the measurement")
    return ControlCost(
        routers,
        servers * len(SERVICES),
        found[holders.index(True)],
        mean_usage([one for one, held in zip(found, holders, strict=True) if not held]),
    )


def cpu_ms(step: Callable[[], object], repeats: int) -> float:
    """Return the processor time of one step, in milliseconds."""
    started_s = time.process_time()
    for _ in range(repeats):
        step()
    return 1000 * (time.process_time() - started_s) / repeats


def measure_view(ranges: int) -> ViewCost:
    """Measure the full view and one pushed change of a service."""
    service = ServiceName(SERVICES[0])
    updates = [
        UnitUpdate(
            service,
            Unit(
                range_unit(index),
                ServerId(f"{service}-{index % VIEW_SERVERS}"),
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


def slope(first: Usage, second: Usage, added: int) -> list[object]:
    """Return what each added process changes, in the order of ``Usage``."""
    return [
        (getattr(second, name) - getattr(first, name)) / added
        for name in Usage.__struct_fields__
    ]


def report_deployments(costs: list[ControlCost]) -> None:
    """Print usage, slopes and the coordinator at the design scale.

    Of the deployments the first has fewer servers, the last has more routers.
    """
    figures = ["% of a core", "MB resident", "KB/s sent", "KB/s received"]
    rows: list[list[object]] = []
    for cost in costs:
        for role, used in (("coordinator", cost.coordinator), ("router", cost.router)):
            values = [getattr(used, name) for name in Usage.__struct_fields__]
            rows.append([cost.routers, cost.servers, role, *values])
    print_table(["routers", "servers", "role", *figures], rows)
    few, base, many = costs
    added_servers = base.servers - few.servers
    added_routers = many.routers - base.routers
    per_router = slope(base.coordinator, many.coordinator, added_routers)
    print_table(
        ["slope", *figures],
        [
            ["coordinator, per router", *per_router],
            ["router, per router", *slope(base.router, many.router, added_routers)],
            [
                "coordinator, per server",
                *slope(few.coordinator, base.coordinator, added_servers),
            ],
            ["router, per server", *slope(few.router, base.router, added_servers)],
        ],
    )
    rows = []
    for streams in (DESIGN_ROUTERS, DESIGN_RELAYS):
        extrapolated: list[object] = [streams]
        for name, step in zip(Usage.__struct_fields__, per_router, strict=True):
            assert isinstance(step, float)
            at_base = getattr(base.coordinator, name)
            extrapolated.append(at_base + step * (streams - base.routers))
        rows.append(extrapolated)
    print_table(["streams at the coordinator (extrapolated)", *figures], rows)


def report_views() -> None:
    """Print the cost of full views and pushed changes."""
    columns = [
        "ranges",
        "full: bytes",
        "build ms",
        "encode ms",
        "apply ms",
        "change: bytes",
        "send ms",
        "apply ms",
    ]
    costs = [measure_view(ranges) for ranges in RANGES]
    fields = ViewCost.__struct_fields__
    print_table(columns, [[getattr(c, name) for name in fields] for c in costs])


@click.command()
@click.option("--seconds", default=15.0, help="Length of each measurement.")
@click.option("--views/--no-views", default=True, help="Measure views too.")
@click.option("--brief", is_flag=True, help="Only 3 routers and 10 servers a service.")
def main(seconds: float, views: bool, brief: bool) -> None:
    """Measure the cost of control without requests."""
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

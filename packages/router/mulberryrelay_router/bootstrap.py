"""Loads servers and an assignment straight from the platform."""

from mulberryrelay_kernel.hashing import range_unit
from mulberryrelay_kernel.ids import AssignmentVersion, Epoch, ServerId, Term
from mulberryrelay_kernel.messages import Assignment, ServerEntry, Unit
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.platform import Platform
from mulberryrelay_kernel.states import InstanceKind

from .view import RoutingView

LEASE_MS = 1e12


async def load_static_view(
    options: Options, platform: Platform, view: RoutingView
) -> None:
    """Assign ranges to the listed servers in order of their names."""
    listed = (await platform.instances()).unwrap()
    servers = [
        ServerEntry(
            ServerId(entry.name),
            entry.service,
            entry.data_centre,
            entry.host,
            entry.port,
        )
        for entry in sorted(listed, key=lambda entry: entry.name)
        if entry.kind is InstanceKind.SERVER and entry.service is not None
    ]
    view.apply_servers(servers)
    ranges = {}
    for name, service in options.services.items():
        owners = [entry.server for entry in servers if entry.service == name]
        if not service.partitioned or not owners:
            continue
        ranges[name] = [
            Unit(range_unit(index), owners[index % len(owners)], Epoch(1))
            for index in range(service.ranges)
        ]
    view.apply_assignment(Term(1), Assignment(AssignmentVersion(1), ranges, {}))
    view.extend_lease(LEASE_MS)

"""Converts the protobuf messages of the coordinator's view into internal records.

A view lists the backend servers and, for each unit, its owner, epoch and state.
"""

from mulberryrelay_kernel.hashing import OVERRIDE_PREFIX, is_override
from mulberryrelay_kernel.ids import (
    AssignmentVersion,
    BootId,
    DataCentre,
    Epoch,
    Key,
    ServerId,
    ServiceName,
    UnitId,
)
from mulberryrelay_kernel.messages import (
    Assignment,
    ServerEntry,
    Unit,
    UnitUpdate,
)
from mulberryrelay_kernel.peerproto import peer_pb2
from mulberryrelay_kernel.peerproto.peer_pb2 import SyncReply
from mulberryrelay_kernel.states import ServerState, UnitState


def decode_server(server: peer_pb2.Server) -> ServerEntry:
    """Convert a server of a view."""
    return ServerEntry(
        ServerId(server.server),
        ServiceName(server.service),
        DataCentre(server.data_centre),
        server.host,
        server.port,
        ServerState(server.state),
        BootId(server.boot_id),
    )


def decode_units(reply: SyncReply) -> list[UnitUpdate]:
    """Convert the units of a message."""
    return [
        UnitUpdate(
            ServiceName(unit.service),
            Unit(
                UnitId(unit.unit),
                ServerId(unit.owner) if unit.owner else None,
                Epoch(unit.epoch),
                UnitState(unit.state),
                ServerId(unit.next_owner) if unit.next_owner else None,
            ),
        )
        for unit in reply.units
    ]


def decode_assignment(reply: SyncReply) -> Assignment:
    """Convert the units of a full view to an assignment."""
    ranges: dict[ServiceName, list[Unit]] = {}
    overrides: dict[ServiceName, dict[Key, Unit]] = {}
    for update in decode_units(reply):
        unit = update.unit
        if is_override(unit.unit):
            key = Key(unit.unit.removeprefix(OVERRIDE_PREFIX))
            overrides.setdefault(update.service, {})[key] = unit
            continue
        ranges.setdefault(update.service, []).append(unit)
    return Assignment(AssignmentVersion(reply.view_version), ranges, overrides)

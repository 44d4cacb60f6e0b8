"""Records that cross module or process boundaries.

Rows of the table service are stored as JSON of the structures whose names end in
``Row``. Messages between routers are in ``peerproto/peer.proto``.
"""

import msgspec

from .ids import (
    AssignmentVersion,
    BootId,
    DataCentre,
    Epoch,
    Fingerprint,
    IdempotencyKey,
    InstanceId,
    Key,
    OperatorName,
    RequestClass,
    RequestId,
    RowName,
    RulesVersion,
    ServerId,
    ServiceName,
    Term,
    UnitId,
    WriteId,
)
from .states import (
    ClaimState,
    InstanceKind,
    ListedState,
    ServerState,
    UnitState,
)

# Table service


class Row(msgspec.Struct, frozen=True):
    """A row of the table service; ``value`` is JSON."""

    name: RowName
    version: int
    """Rises with each write; 0 stands for an absent row."""
    value: msgspec.Raw
    write_id: WriteId


class Condition(msgspec.Struct, frozen=True):
    """Requires that a row still has this version."""

    name: RowName
    version: int


class Write(msgspec.Struct, frozen=True):
    """New value of a row, or its deletion if ``value`` is None."""

    name: RowName
    value: msgspec.Raw | None


# Instance list


class ListedInstance(msgspec.Struct, frozen=True):
    """An entry of the platform's instance list."""

    name: str
    kind: InstanceKind
    data_centre: DataCentre
    host: str
    port: int
    """Port for requests on a server, for peers on a router."""
    state: ListedState = ListedState.LIVE
    service: ServiceName | None = None


# Coordinator lease


class Address(msgspec.Struct, frozen=True):
    """Where a router accepts connections of its peers."""

    instance: InstanceId
    boot_id: BootId
    data_centre: DataCentre
    host: str
    port: int


class TermRow(msgspec.Struct, frozen=True):
    """Row ``coordinator/term``."""

    term: Term
    holder: Address | None


class LeaseRow(msgspec.Struct, frozen=True):
    """Row ``coordinator/lease``."""

    term: Term
    holder: Address | None
    successors: list[Address]
    renewal: int
    released: bool = False


# Assignment


class Unit(msgspec.Struct, frozen=True):
    """Ownership of one range, or of one key that overrides its range."""

    unit: UnitId
    owner: ServerId | None
    epoch: Epoch
    state: UnitState = UnitState.ACTIVE
    next_owner: ServerId | None = None


class ChunkRow(msgspec.Struct, frozen=True):
    """Row ``assignment/<service>/<chunk>`` or ``overrides/<service>``."""

    units: list[Unit]


class ServerEntry(msgspec.Struct, frozen=True):
    """A backend server as routers see it."""

    server: ServerId
    service: ServiceName
    data_centre: DataCentre
    host: str
    port: int
    state: ServerState = ServerState.SERVING


class UnitUpdate(msgspec.Struct, frozen=True):
    """A changed unit of a service."""

    service: ServiceName
    unit: Unit


class Assignment(msgspec.Struct, frozen=True):
    """Owners of all units of all services partitioned by key."""

    version: AssignmentVersion
    ranges: dict[ServiceName, list[Unit]]
    """One unit for each range, in the order of their indexes."""
    overrides: dict[ServiceName, dict[Key, Unit]]


class UnitCount(msgspec.Struct, frozen=True):
    """Requests for a range, or for one key in it, that a router has counted."""

    service: ServiceName
    unit: UnitId
    """The range, also for a key that has an override."""
    requests: int
    key: Key | None = None


# Backend servers


class GrantedUnit(msgspec.Struct, frozen=True):
    """A unit that a server may serve under an epoch."""

    unit: UnitId
    epoch: Epoch


class GrantRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /mulberry/grants`` to a backend server."""

    coordinator: InstanceId
    term: Term
    ttl_ms: int
    sequence: int
    """Rises with each request of a term to this server. A request that was delayed
    behind a later one is refused, since its list may name units revoked meanwhile."""
    stamp_ms: int | None
    """Server's clock in its previous reply; None fetches a first stamp only, and the
    lists of the request do not count."""
    boot_id: BootId | None
    """Boot id in the same reply. A server that was started since refuses the request,
    as its clock may have started anew too and would extend the grant."""
    changed: list[GrantedUnit] = []
    revoked: list[GrantedUnit] = []
    """The server finishes what it runs for these units, then confirms."""
    full: bool = False
    """``changed`` is the complete list; units that it lacks are released."""
    digest: str = ""
    """Digest of the complete list after this request."""


class GrantReply(msgspec.Struct, frozen=True):
    """Reply of a backend server to a grant request."""

    server: ServerId
    boot_id: BootId
    state: ServerState
    term: Term
    """Highest term that the server has seen."""
    stamp_ms: int
    accepted: bool
    digest: str
    idle: list[UnitId] = []
    """Revoked units for which the server runs no request any more."""
    load: float = 0.0


# Requests


class ClaimRow(msgspec.Struct, frozen=True):
    """Row ``claims/<service>/<digest of the idempotency key>``."""

    state: ClaimState
    fingerprint: Fingerprint
    router: InstanceId
    request_id: RequestId
    idempotency_key: IdempotencyKey
    status: int | None = None
    content_type: str | None = None
    body: bytes | None = None
    created_s: int = 0
    """Seconds since the Unix epoch."""
    claim_id: str = ""
    """Unique to the request that inserted the row."""


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of an answer that the router makes itself."""

    error: str
    detail: str
    request_id: RequestId
    request_class: RequestClass | None = None


# Rules


class RulesRow(msgspec.Struct, frozen=True):
    """Row ``rules/current``."""

    version: RulesVersion
    object_name: str
    digest: str
    submitter: OperatorName
    submitted_s: int
    """Seconds since the Unix epoch."""


class RulesDocument(msgspec.Struct, frozen=True):
    """A version of the rule file."""

    version: RulesVersion
    text: str

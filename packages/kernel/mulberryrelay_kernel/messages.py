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
    boot_id: BootId = BootId("")
    """Incarnation of the server; empty until it has answered the coordinator."""


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


# Administration API

# Bodies of the administration API, whose client is ``mulberryctl``. Times are seconds
# since the Unix epoch.


class AdminError(msgspec.Struct, frozen=True):
    """Body of every answer of the administration API that reports an error."""

    error: str
    detail: str
    findings: list[str] = []
    current: RulesRow | None = None
    """Version in force, if another operator's submission came first."""
    diff: str = ""
    """Unified diff from the base version to ``current``."""


class RulesText(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /rules/check`` and ``POST /rules/plan``."""

    text: str
    file: str = "rules"
    """Name of the file in findings."""


class RulesSubmission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /rules``."""

    base: RulesVersion
    """Version that the text was edited from; 0 if there was none."""
    text: str
    file: str = "rules"


class RulesSubmitted(msgspec.Struct, frozen=True):
    """Answer to an accepted submission."""

    version: RulesVersion
    submitter: OperatorName


class RulesShown(msgspec.Struct, frozen=True):
    """Answer to ``GET /rules``."""

    version: RulesVersion
    text: str


class RulesChecked(msgspec.Struct, frozen=True):
    """Answer to ``POST /rules/check``."""

    findings: list[str]
    warnings: list[str] = []


class RuleChange(msgspec.Struct, frozen=True):
    """What a new rule file changes about one subject, such as a key or a server."""

    kind: str
    """First word of the rule."""
    subject: str
    before: str | None
    """Rule in force, with its times; None if there is none."""
    after: str | None


class UnitMove(msgspec.Struct, frozen=True):
    """A unit that would leave its owner."""

    service: ServiceName
    unit: UnitId
    owner: ServerId | None
    target: str
    """Server or data centre of a pin; empty if placement chooses."""
    reason: str
    starts: str = ""
    """Booked time in the form of rule files; empty means at once."""


class RulesPlan(msgspec.Struct, frozen=True):
    """Answer to ``POST /rules/plan``."""

    base: RulesVersion
    """Version that the file was compared with."""
    changes: list[RuleChange]
    moves: list[UnitMove]
    warnings: list[str] = []


class RouterRules(msgspec.Struct, frozen=True):
    """Rules version that one router has confirmed."""

    instance: InstanceId
    version: RulesVersion
    lease_left_ms: float
    """Time left of its routing lease; not positive once it has expired."""


class RouterList(msgspec.Struct, frozen=True):
    """Routers as the coordinator knows them."""

    routers: list[RouterRules]
    complete: bool
    """Whether every router that may hold a routing lease is listed."""


class RulesStatus(msgspec.Struct, frozen=True):
    """Which routers have confirmed which version."""

    applied: RulesVersion
    """Version applied by the router that answers."""
    rejected: RulesVersion | None
    """Newer version that this router could not apply."""
    stored: RulesRow | None
    """Row of the current version; None if there is none or the store is down."""
    store_reached: bool
    routers: list[RouterRules]
    complete: bool
    """Whether ``routers`` lists every router that may hold a routing lease."""
    in_force: RulesVersion | None
    """Version confirmed by every live router; None if that is not known."""


class RouterStatus(msgspec.Struct, frozen=True):
    """Answer to ``GET /status``."""

    instance: InstanceId
    boot_id: BootId
    tenant: str
    data_centre: DataCentre
    ready: bool
    lease_left_ms: float
    term: Term
    assignment: AssignmentVersion
    servers: int
    rules: RulesStatus


class MemberList(msgspec.Struct, frozen=True):
    """Answer to ``GET /members``."""

    servers: list[ServerEntry]
    """Backend servers as this router sees them."""
    listed: list[ListedInstance] | None
    """The platform's list; None if the platform does not answer."""


class EdgeRangeStatus(msgspec.Struct, frozen=True):
    """Keys of a service that one server holds, as an edge router knows them."""

    first: int
    last: int
    server: ServerId
    fence: int
    next_server: ServerId
    """Empty unless the keys move."""
    hold_left_ms: float | None
    """Time until its last hold has run out; only the leader knows it."""


class EdgeServiceStatus(msgspec.Struct, frozen=True):
    """Owners of the keys of one service."""

    service: ServiceName
    row_version: int
    ranges: list[EdgeRangeStatus]


class EdgeStatus(msgspec.Struct, frozen=True):
    """What an edge router believes now; times in milliseconds."""

    instance: InstanceId
    role: str
    """How it learns of changes: alone, linked or leading."""
    term: int
    """Of the last leader that it heard of."""
    leader_url: str
    routers: int
    store_answers: bool
    store_silent_ms: float
    routes_version: int
    routes_age_ms: float
    """Time since these routes were put in force here."""
    servers: int
    in_flight: int
    waiting: int
    silent_servers: list[ServerId]
    """Servers that the leader gives no grants, as they answer no orders."""
    services: list[EdgeServiceStatus]

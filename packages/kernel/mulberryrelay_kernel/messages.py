"""Records that cross module or process boundaries.

They are encoded as JSON. Structures whose names end in ``Row`` are the values of rows
in the platform's table service; most others are bodies of HTTP requests and responses.
Messages between routers are protocol buffers; see ``peerproto/peer.proto``.
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
    """A row of the platform's table service; ``value`` is JSON."""

    name: RowName
    version: int
    """Increases with each write; 0 for an absent row."""
    value: msgspec.Raw
    write_id: WriteId
    """Id of the transaction that wrote this version."""


class Condition(msgspec.Struct, frozen=True):
    """Precondition of a transaction: the row still has this version."""

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
    """The port for requests on a server, the port for peers on a router."""
    state: ListedState = ListedState.LIVE
    service: ServiceName | None = None


# Coordinator lease


class RouterAddress(msgspec.Struct, frozen=True):
    """Address at which one run of a router accepts connections from other routers."""

    instance: InstanceId
    boot_id: BootId
    data_centre: DataCentre
    host: str
    port: int


class TermRow(msgspec.Struct, frozen=True):
    """Row ``coordinator/term``: the current term and its coordinator."""

    term: Term
    holder: RouterAddress | None


class LeaseRow(msgspec.Struct, frozen=True):
    """Row ``coordinator/lease``: the lease that makes a router the coordinator."""

    term: Term
    holder: RouterAddress | None
    successors: list[RouterAddress]
    """Routers that may take the lease over soon after it has expired."""
    renewal: int
    """Increases with each renewal, so that the row visibly changes."""
    released: bool = False
    """The holder gave the lease up; others need not wait for it to expire."""


# Assignment


class Unit(msgspec.Struct, frozen=True):
    """Ownership of one range, or of one key that is assigned separately."""

    unit: UnitId
    owner: ServerId | None
    epoch: Epoch
    """Fencing token; increases with each change of owner."""
    state: UnitState = UnitState.ACTIVE
    next_owner: ServerId | None = None


class ChunkRow(msgspec.Struct, frozen=True):
    """Row ``assignment/<service>/<chunk>`` or ``overrides/<service>``.

    The ranges of a service are stored in several rows (chunks), its overrides in one.
    """

    units: list[Unit]


class ServerEntry(msgspec.Struct, frozen=True):
    """A backend server as the coordinator publishes it to the routers."""

    server: ServerId
    service: ServiceName
    data_centre: DataCentre
    host: str
    port: int
    state: ServerState = ServerState.SERVING
    boot_id: BootId = BootId("")
    """Incarnation of the server; empty until it has replied to the coordinator."""


class UnitUpdate(msgspec.Struct, frozen=True):
    """A changed unit of a service."""

    service: ServiceName
    unit: Unit


class Assignment(msgspec.Struct, frozen=True):
    """Owners of all units of the services that are partitioned by key."""

    version: AssignmentVersion
    ranges: dict[ServiceName, list[Unit]]
    """One unit for each range, in the order of range indexes."""
    overrides: dict[ServiceName, dict[Key, Unit]]


class UnitCount(msgspec.Struct, frozen=True):
    """Number of requests for a range, or for one key in it, that a router counted."""

    service: ServiceName
    unit: UnitId
    """Always the range, even if the key has an override."""
    requests: int
    key: Key | None = None


# Backend servers


class GrantedUnit(msgspec.Struct, frozen=True):
    """A unit and the epoch under which a server may run requests for it."""

    unit: UnitId
    epoch: Epoch


class GrantRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /mulberry/grants`` to a backend server."""

    coordinator: InstanceId
    term: Term
    ttl_ms: int
    sequence: int
    """Increases with each request of a term to this server. The server refuses a
    request that arrives after a later one, since it may grant units that were revoked
    meanwhile."""
    server_clock_ms: int | None = msgspec.field(name="stamp_ms")
    """The server's clock reading from its previous reply; the grant expires ``ttl_ms``
    after it. None only requests a clock reading, and the lists are ignored."""
    boot_id: BootId | None
    """Boot id from the same reply. A server that was restarted since refuses the
    request: its clock may have restarted too, which would extend the grant."""
    changed: list[GrantedUnit] = []
    """Granted units that the server has not confirmed yet."""
    revoked: list[GrantedUnit] = []
    """The server finishes running requests for these units, then confirms."""
    full: bool = False
    """``changed`` is the complete list; the server releases all other units."""
    digest: str = ""
    """Digest of the complete list after this request; see ``grants_digest``."""


class GrantReply(msgspec.Struct, frozen=True):
    """Reply of a backend server to a grant request."""

    server: ServerId
    boot_id: BootId
    state: ServerState
    term: Term
    """Highest term that the server has seen."""
    server_clock_ms: int = msgspec.field(name="stamp_ms")
    """The server's clock when it sent the reply."""
    accepted: bool
    """False if the request was out of order, expired or for another incarnation."""
    digest: str
    """Digest of the units that are granted to the server now; see ``grants_digest``."""
    idle: list[UnitId] = []
    """Revoked units for which no request is running any more."""
    load: float = 0.0
    """Requests in flight relative to the server's slots."""


# Requests


class ClaimRow(msgspec.Struct, frozen=True):
    """Row ``claims/<service>/<digest of the idempotency key>``.

    A router inserts it before it runs a request with an idempotency key, and records
    the response in it, so that a resent request is not run twice.
    """

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
    """Unique id of the request that inserted the row."""


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of an error response that the router itself generates."""

    error: str
    detail: str
    request_id: RequestId
    request_class: RequestClass | None = None


# Rules


class RulesRow(msgspec.Struct, frozen=True):
    """Row ``rules/current``, and the row of each version in ``rules/history/``."""

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


# Administration API, whose client is ``mulberryctl``. Times are seconds since the Unix
# epoch unless a name ends in ``_ms``.


class AdminError(msgspec.Struct, frozen=True):
    """Body of every error response of the administration API."""

    error: str
    detail: str
    findings: list[str] = []
    current: RulesRow | None = None
    """The current version, if another operator's submission was committed first."""
    diff: str = ""
    """Unified diff from the base version to ``current``."""


class RulesCheckRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /rules/check`` and ``POST /rules/plan``."""

    text: str
    file: str = "rules"
    """File name to use in findings."""


class RulesSubmitRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /rules``."""

    base: RulesVersion
    """Version that the text is based on; 0 if there was none."""
    text: str
    file: str = "rules"


class RulesSubmitResponse(msgspec.Struct, frozen=True):
    """Response to an accepted submission."""

    version: RulesVersion
    submitter: OperatorName


class RulesResponse(msgspec.Struct, frozen=True):
    """Response to ``GET /rules``."""

    version: RulesVersion
    text: str


class RulesCheckResponse(msgspec.Struct, frozen=True):
    """Response to ``POST /rules/check``."""

    findings: list[str]
    warnings: list[str] = []


class RuleChange(msgspec.Struct, frozen=True):
    """Change of the rules about one subject, such as a key or a server."""

    kind: str
    """First word of the rule."""
    subject: str
    before: str | None
    """Current rule with its times; None if there is none."""
    after: str | None
    """Proposed rule with its times; None if the rule is removed."""


class UnitMove(msgspec.Struct, frozen=True):
    """A unit that a proposed rule would move away from its owner."""

    service: ServiceName
    unit: UnitId
    owner: ServerId | None
    target: str
    """Server or data centre of a pin; empty if placement chooses the server."""
    reason: str
    """Kind of the rule that causes the move: ``pin`` or ``drain``."""
    starts: str = ""
    """Start time of the rule as in a rule file; empty means immediately."""


class RulesPlan(msgspec.Struct, frozen=True):
    """Response to ``POST /rules/plan``: the effects of a proposed rule file."""

    base: RulesVersion
    """Version that the proposed file was compared with."""
    changes: list[RuleChange]
    moves: list[UnitMove]
    warnings: list[str] = []


class RouterRulesStatus(msgspec.Struct, frozen=True):
    """Rules version that one router has confirmed to the coordinator."""

    instance: InstanceId
    version: RulesVersion
    lease_left_ms: float
    """Time until its routing lease expires; zero or negative once it has."""


class RouterList(msgspec.Struct, frozen=True):
    """Routers that the coordinator knows, with the rules that they have confirmed."""

    routers: list[RouterRulesStatus]
    complete: bool
    """Whether the list has every router that may hold a routing lease."""


class RulesStatus(msgspec.Struct, frozen=True):
    """Current rules version and the versions that the routers have confirmed."""

    applied: RulesVersion
    """Version applied by the router that sends this response."""
    rejected: RulesVersion | None
    """Newer version that this router could not apply."""
    stored: RulesRow | None
    """Row of the current version; None if there is none or the store failed."""
    store_reached: bool
    routers: list[RouterRulesStatus]
    complete: bool
    """Whether ``routers`` lists every router that may hold a routing lease."""
    in_force: RulesVersion | None
    """Version that every live router has confirmed; None if unknown."""


class RouterStatus(msgspec.Struct, frozen=True):
    """Response to ``GET /status`` of a router."""

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
    """Response to ``GET /members``: the backend servers and the instance list."""

    servers: list[ServerEntry]
    """Backend servers in this router's view."""
    listed: list[ListedInstance] | None
    """The platform's instance list; None if the platform does not respond."""


class EdgeRangeStatus(msgspec.Struct, frozen=True):
    """Key range of a service in the local view of an edge router."""

    first: int
    last: int
    server: ServerId
    fence: int
    """Fencing token of the range."""
    next_server: ServerId
    """Server that the range is being moved to, or empty."""
    grant_left_ms: float | None = msgspec.field(name="hold_left_ms")
    """Time until the last grant of the range's server expires.

    None if it is unknown; only the leader knows it.
    """


class EdgeServiceStatus(msgspec.Struct, frozen=True):
    """Key ranges of one service and their owners."""

    service: ServiceName
    row_version: int
    """Version of the stored row that contains the service's ranges."""
    ranges: list[EdgeRangeStatus]


class EdgeStatus(msgspec.Struct, frozen=True):
    """State of an edge router and its local view of the deployment."""

    instance: InstanceId
    role: str
    """How the router gets updates.

    ``leading``: it is the leader; ``linked``: from the leader; ``alone``: only from the
    store.
    """
    term: int
    """Term of the last observed leader."""
    leader_url: str
    routers: int
    is_store_reachable: bool = msgspec.field(name="store_answers")
    """Whether the store responded when it was last called."""
    store_unreachable_ms: float = msgspec.field(name="store_silent_ms")
    """Time since the store was found unreachable; 0 while it responds."""
    routes_version: int
    routes_age_ms: float
    """Time since this router applied this version of the routes."""
    servers: int
    in_flight: int
    waiting: int
    unreachable_servers: list[ServerId] = msgspec.field(name="silent_servers")
    """Servers that answer no commands, so that the leader sends them no grants."""
    services: list[EdgeServiceStatus]


class EdgeServerExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Why an edge router would send a request to a server, or not."""

    server: ServerId
    data_centre: DataCentre
    is_candidate: bool
    """Whether the request may go there, apart from load and limits."""
    is_chosen: bool
    reasons: list[str]
    """Why it would not get the request; empty if another server is better."""
    in_flight: int
    """Requests of this router at the server."""
    window: float
    """Requests of this router that may be at the server."""
    slots: int
    load: float
    """Estimated requests of all routers at the server."""
    load_age_ms: float | None
    """Age of the last report of its load; None without one."""
    slowdown: float
    """Service time relative to what is usual."""
    limit_per_s: float | None
    """Requests per second that the server takes, if it states a limit."""
    is_cold: bool


class EdgeDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Decision of an edge router on a request, if a service gets it."""

    service: ServiceName
    weight: int
    """Weight of the service in the traffic split of the route."""
    key: int | None
    """Key of the request; None if it does not matter."""
    owner: ServerId
    """Owner of the key, or empty."""
    next_owner: ServerId
    """Server that the key is being moved to, or empty."""
    outcome: str
    """``sent``, ``queued`` or ``refused``."""
    reason: str
    server: ServerId
    """Server that would get the request now, or empty."""
    queued: int
    """Queued requests of the service."""
    expected_wait_ms: float
    allowed_wait_ms: float
    """Wait with which the request is still of full value to its caller."""
    servers: list[EdgeServerExplanation]


class EdgeExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where an edge router would send a request now, and why."""

    instance: InstanceId
    host: str
    path: str
    route: str
    """Name of the route, or empty if none matches."""
    routes_version: int
    routes_age_ms: float
    view_age_ms: float
    """Time since all changes of the servers were known."""
    store_unreachable_ms: float
    evacuated: list[DataCentre]
    """Evacuated data centres."""
    decisions: list[EdgeDecision]
    """One for each service of the route."""

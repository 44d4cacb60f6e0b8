"""Data structures that the modules of the edge router share.

They describe routes, backend servers, requests, the range map of a keyed service, the
leader lease, and the messages between routers. Times are in milliseconds. A structure
whose name ends in ``Row`` is stored as JSON in a row of the store.
"""

import msgspec
from multidict import CIMultiDict, istr

from mulberryrelay_kernel.hashing import request_fingerprint
from mulberryrelay_kernel.ids import (
    BootId,
    DataCentre,
    Fingerprint,
    InstanceId,
    RequestId,
    ScheduleId,
    ServerId,
    ServiceName,
)
from mulberryrelay_kernel.messages import ServerEntry
from mulberryrelay_kernel.states import ServerState

from .requestbuffer import BodyHold
from .responsestream import ResponseStream
from .speedmessages import SpeedChanges, SpeedReport
from .tablemirror import TableUpdate
from .viewage import VersionRead

LAST_KEY = 65535
"""Highest key of a keyed service; the lowest is 0."""
AUTHORIZATION_HEADER = istr("Authorization")
RequestBody = bytes | bytearray
"""A request's body; nobody changes it once it is read."""


class ServiceShare(msgspec.Struct, frozen=True):
    """A service of a route and its weight in the route's traffic split."""

    service: ServiceName
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Rules for requests to one host and path prefix."""

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    is_idempotent: bool
    attempts: int
    """Maximum number of servers that may have run one request.

    Servers that certainly did not run it do not count.
    """
    timeout_ms: float
    target_latency_ms: float
    """Latency up to which a response has its full value to the caller."""
    rank: int
    """Priority class of the requests; 0 is the most important."""
    is_download: bool = False
    """Whether responses may be so large that they are not held as a whole."""
    allowed_regions: tuple[str, ...] | None = None
    """Regions that its requests may be sent to; None if they may go anywhere."""


class Service(msgspec.Struct, frozen=True):
    """A group of backend servers that handle the same requests."""

    name: ServiceName
    health_path: str
    is_keyed: bool
    """Whether each key is owned by exactly one server."""
    cold_start_ms: float = 0.0
    """Time after its start for which a server is cold; 0 if unknown."""
    cold_per_s: float = 0.0
    """Requests per second that a cold server sustains; 0 if it has no limit."""


class CallerLimits(msgspec.Struct, frozen=True):
    """Maximum sizes of a caller's request headers and body, and its idle time."""

    header_bytes: int
    body_bytes: int
    idle_ms: float = 0.0
    """Time for which a caller may leave its connection idle."""
    header_ms: float = 0.0
    """Time that operators give a caller for a head; 0 if they state none."""


class RouteTable(msgspec.Struct, frozen=True):
    """One complete version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service]
    limits: CallerLimits


class BackendServer(msgspec.Struct, frozen=True):
    """Registration of a backend server.

    A restarted server may register under the same id (``server``). Its start time,
    ``started_ms``, tells the incarnations apart.
    """

    server: ServerId
    started_ms: int
    service: ServiceName
    host: str
    port: int
    data_centre: DataCentre
    slots: int
    state: ServerState
    slow_start_left_ms: float
    """Time for which the server stays cold, counted from when the entry is read."""
    is_coldness_stated: bool = True
    """Whether the entry states ``slow_start_left_ms``; it is 0 otherwise."""

    @property
    def entry(self) -> ServerEntry:
        """The server as the shared modules know it; the boot id is its start time."""
        return ServerEntry(
            self.server,
            self.service,
            self.data_centre,
            self.host,
            self.port,
            self.state,
            BootId(str(self.started_ms)),
        )

    def is_same_incarnation(self, other: "BackendServer") -> bool:
        """Return whether both registrations belong to the same server process."""
        return self.server == other.server and self.started_ms == other.started_ms


class LoadReport(msgspec.Struct, frozen=True):
    """Load that a server reported in a response."""

    running: int
    waiting: int
    slots: int
    work_percent: int = 100
    """How long work takes on the server's machine now; 100 is normal.

    It changes many times a second, so it must not enter averages over seconds.
    """


class EdgeRequest(msgspec.Struct, frozen=True):
    """A caller's request, including its complete body."""

    request_id: RequestId
    method: str
    target: str
    """Request target: path and query as the caller sent them."""
    host: str
    key: int | None
    headers: CIMultiDict[str]
    """Headers to forward; hop-by-hop headers are removed."""
    body: RequestBody
    route: Route
    service: ServiceName
    arrived_ms: float
    deadline_ms: float
    """Earlier of the caller's deadline and the route's timeout."""
    caller_address: str = ""
    """Network address of the caller, without the port."""
    is_relayed: bool = False
    """Whether another router, which reaches no server, has passed it on."""
    may_stream: bool = False
    """Whether its caller may receive the response while it is still being read."""
    body_hold: BodyHold | None = None
    """The room of a long body."""

    def fingerprint(self) -> Fingerprint:
        """Return a digest that a request has in common with its repetitions.

        Repetitions have the caller, target, key and body of the request, but another id
        and deadline. Cookies are left out, since they change from one to the next.
        """
        parts = (
            self.caller_address,
            self.headers.get(AUTHORIZATION_HEADER, ""),
            self.host,
            self.method,
            self.target,
            "" if self.key is None else str(self.key),
        )
        return request_fingerprint(parts, self.body)


class EdgeResponse(msgspec.Struct, frozen=True):
    """Response to a caller."""

    status: int
    headers: CIMultiDict[str]
    body: bytes
    is_from_router: bool = False
    """Whether the router generated the response itself, rather than a server."""
    stream: ResponseStream | None = None
    """The body, instead of ``body``; it has to be closed."""


class KeyRange(msgspec.Struct, frozen=True, array_like=True):
    """A range of keys, both ends included, and the server that owns it.

    While ``next_owner`` is set, the range is being moved: the leader commands ``owner``
    to release it with fencing token ``fence`` + 1, then grants it to ``next_owner``
    with ``fence`` + 2.
    """

    first: int
    last: int
    owner: ServerId
    """Empty if no server has owned the range yet."""
    owner_started_ms: int
    fence: int
    next_owner: ServerId = ServerId("")
    next_started_ms: int = 0

    @property
    def is_moving(self) -> bool:
        return bool(self.next_owner)

    def is_owned_by(self, server: BackendServer) -> bool:
        """Return whether this incarnation of the server owns the range."""
        return (
            self.owner == server.server and self.owner_started_ms == server.started_ms
        )


class RangeMapRow(msgspec.Struct, frozen=True):
    """Range map of one service: all its key ranges, in key order and without gaps."""

    write_id: str = msgspec.field(name="edit")
    """Unique id of the write.

    After a lost reply, the writer recognises its own write by this id.
    """
    ranges: tuple[KeyRange, ...]
    restores: int = 0
    """How often the store had been restored when the map was written.

    A map that a restored store has from before the restore may lack later moves.
    """


class UnreachableServer(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a server that answered no commands and gets no grants."""

    server: ServerId
    started_ms: int
    grant_expires_ms: float
    """Latest expiry of its grants, on the store's clock."""


class LeaderRow(msgspec.Struct, frozen=True):
    """The leader lease; ``expires_ms`` is on the store's clock."""

    term: int
    holder: InstanceId
    boot_id: str
    expires_ms: float
    write_id: str = msgspec.field(name="edit", default="")
    unreachable: tuple[UnreachableServer, ...] = msgspec.field(
        name="silent", default=()
    )
    restores: int = 0
    """How often the store had been restored when the lease was written.

    A lease that a restored store has from before the restore is not the last one.
    """


class LeaderNoticeRow(msgspec.Struct, frozen=True):
    """Announces a new leader to the followers.

    An empty ``boot_id`` announces that the leader released its lease.
    """

    term: int
    boot_id: str
    link_url: str = ""
    """URL to which followers post their reports."""


class RangeChange(msgspec.Struct, frozen=True, array_like=True):
    """Update of a service's ranges to one version of its row."""

    service: ServiceName
    version: int
    base_version: int
    """Version that the update applies to; 0 if ``ranges`` is the complete map."""
    ranges: tuple[KeyRange, ...]
    """Ranges that the base version lacks; they replace all ranges they overlap."""


class ServiceTimeSum(msgspec.Struct, frozen=True, array_like=True):
    """Total service time of requests that did not queue at the server."""

    responses: int
    total_ms: float

    @property
    def mean_ms(self) -> float:
        return self.total_ms / self.responses if self.responses else 0.0

    def plus(self, responses: int, total_ms: float) -> "ServiceTimeSum":
        """Return the sum with further responses added."""
        return ServiceTimeSum(self.responses + responses, self.total_ms + total_ms)


class KeyReport(msgspec.Struct, frozen=True):
    """Requested keys and service times at one router since its last report."""

    keys: dict[ServiceName, list[int]]
    service_times: dict[ServiceName, ServiceTimeSum] = msgspec.field(name="work")


class RelayedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that a router without links to the servers passes on to another."""

    request_id: RequestId
    method: str
    target: str
    host: str
    key: int | None
    headers: list[tuple[str, str]]
    body: bytes
    left_ms: float
    """Time until its deadline."""
    caller_address: str
    is_idempotent: bool
    data_centre: DataCentre = DataCentre("")
    """Data centre that the router does not reach; empty if it reaches no server."""
    allowed_regions: tuple[str, ...] | None = None
    """Regions that it may be sent to, by the routes of the router that passes it on."""


class RelayedResponse(msgspec.Struct, frozen=True, array_like=True):
    """The response to a request that was passed on."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    is_from_router: bool


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """Reports a follower's suspects to the leader."""

    instance: InstanceId
    boot_id: str
    suspects: list[bytes]
    """Encoded messages ``Suspect``."""


class SuspectChanges(msgspec.Struct, frozen=True, array_like=True):
    """Suspects that changed at the leader, up to a version that counts its changes."""

    version: int
    suspects: list[bytes]
    """Encoded messages ``Suspect``."""


class ServerRefusal(msgspec.Struct, frozen=True, array_like=True):
    """A server that refused a connection of a router, since no process listened."""

    server: ServerId
    data_centre: DataCentre
    """Data centre of the router whose connection was refused."""
    age_ms: float


class Refusals(msgspec.Struct, frozen=True, array_like=True):
    """Servers that lately refused connections of any router."""

    version: int
    """Number of refusals that the leader was told of."""
    servers: tuple[ServerRefusal, ...]


class RouterState(msgspec.Struct, frozen=True, array_like=True):
    """What a follower tells the leader of itself and of what servers told it."""

    link_url: str = ""
    """URL at which other routers reach the follower."""
    is_cut_off: bool = False
    """Whether the follower reaches no server."""
    leaving: tuple[tuple[ServerId, int], ...] = ()
    """Servers, by id and start time, that told the follower that they drain."""
    refusals: tuple[ServerRefusal, ...] = ()
    """Servers that lately refused connections of the follower."""
    unreached: tuple[DataCentre, ...] = ()
    """Data centres that the follower does not reach, while it reaches others."""
    region: str = ""
    """Region of the follower; empty if unknown, and from builds that ignore regions."""


class RouterPeer(msgspec.Struct, frozen=True, array_like=True):
    """Where a router is, and what it reaches, as the leader lists it."""

    url: str
    data_centre: DataCentre
    unreached: tuple[DataCentre, ...] = ()
    """Data centres that the router does not reach, while it reaches others."""
    region: str = ""
    """Region of the router; empty if unknown, and from builds that ignore regions."""


class RouterReport(msgspec.Struct, frozen=True):
    """Report of a follower to the leader.

    It contains the follower's load and the versions that it has already applied, so
    that the leader replies with newer data only.
    """

    boot_id: str
    requested: KeyReport
    range_versions: dict[ServiceName, int]
    table_versions: dict[str, int]
    is_store_reachable: bool = msgspec.field(name="store_answers")
    """Value of ``is_store_reachable`` in the leader's last reply."""
    wait_ms: float
    """Maximum time that the leader waits for newer data before it replies."""
    suspects_version: int = 0
    """Version of the leader's suspects that the follower has applied."""
    state: RouterState = RouterState()
    store_reads: tuple[str, ...] | None = None
    """Tables that the follower is reading from the store; it needs no updates of them.

    None in reports of older builds, and if the follower could not read a table: the
    leader then has to send all updates.
    """
    early_versions: dict[str, int] | None = None
    """Highest version of the rows of each table that came as ``LeaderReply.early``.

    None in reports of older builds, which read no such rows.
    """
    speeds: SpeedReport = SpeedReport()
    data_centre: DataCentre = DataCentre("")
    """Data centre of the follower; empty in reports of older builds."""
    requests_per_s: dict[ServiceName, float] | None = None
    """Requests without a key that callers sent to the follower since its last report.

    None in reports of older builds, which get no shares of servers.
    """
    refusals_version: int | None = None
    """Version of the leader's refusals that the follower has applied.

    None in reports of older builds.
    """


class ReservationRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for times at which a router may send to a server that states a limit."""

    server: ServerId
    started_ms: int
    limit_per_s: float
    """Requests per second that the server takes from all routers together."""
    wanted: int
    max_wait_ms: float
    """Maximum time from now until a reserved time."""
    is_cold: bool = False
    """Whether the limit applies because the server is cold or may be.

    One schedule is then used for all incarnations of the server.
    """
    is_estimate: bool = False
    """Whether the server states no limit and ``limit_per_s`` is the router's estimate.

    The schedule corrects it by ``queue_length``.
    """
    queue_length: float | None = None
    """Mean queue in the responses of the server since the last request; None if there
    were none."""


class PacedServer(msgspec.Struct, frozen=True, array_like=True):
    """A server with a long queue, to which all routers send by one schedule."""

    server: ServerId
    started_ms: int
    per_s: float
    """Requests per second that it takes from all routers together."""


class Reservations(msgspec.Struct, frozen=True, array_like=True):
    """Times reserved at a server, in milliseconds from now."""

    waits_ms: tuple[float, ...]
    free_in_ms: float
    """Time until the first one that is not reserved."""
    return_in_ms: float
    """Time until callers that are refused should return; 0 if none are refused."""
    schedule: ScheduleId = ScheduleId("")
    """Schedule in which the times are reserved; empty in replies of older builds."""


class LeaderReply(msgspec.Struct, frozen=True):
    """The leader's reply to a report: all data newer than the reported versions."""

    tables: list[TableUpdate]
    ranges: list[RangeChange]
    is_store_reachable: bool = msgspec.field(name="store_answers")
    """Whether the store answers the leader, so that the leader observes changes."""
    routers: int
    """Number of routers, the leader included; 0 while some may not have reported."""
    suspects: SuspectChanges = SuspectChanges(0, [])
    informed_after_report_ms: float | None = None
    """As below, for the build before; it counts on an earlier build's meaning of it."""
    servers_known_after_report_ms: float | None = None
    """Time from the arrival of the report until the last one up to which the leader
    certainly knows all changes of the servers; negative if that was before the report.

    None in replies of older builds, and before the leader has read the servers.
    """
    unsent_tables: tuple[str, ...] = ()
    """Tables with newer rows that the follower has to read from the store."""
    routes_known_after_report_ms: float | None = None
    """As ``servers_known_after_report_ms``, for evacuations of data centres.

    None in replies of older builds as well, and if the follower lacks rows.
    """
    store_read: VersionRead | None = None
    """The leader's last read of the store; its time counts as the one above.

    None in replies of older builds.
    """
    early: list[TableUpdate] = []
    """Small rows of tables of which the follower lacks larger rows as well."""
    speeds: SpeedChanges | None = None
    """Changed speeds of servers; they do not make the leader reply earlier.

    None in replies of older builds, and before the leader knows any.
    """
    paced: tuple[PacedServer, ...] = ()
    """Servers to which requests are paced; empty in replies of older builds."""
    shares: dict[ServiceName, dict[ServerId, float]] | None = None
    """The follower's parts of servers without keys, where these are divided.

    None in replies of older builds, and in those with rows of tables, which are encoded
    once for several followers.
    """
    refusals: Refusals = Refusals(0, ())

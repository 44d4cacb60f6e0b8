"""Records of the edge router that cross a module boundary.

Times are in milliseconds. Rows that the router keeps in the store are the JSON of the
structures whose names end in ``Row``.
"""

import msgspec
from multidict import CIMultiDict

from mulberryrelay_kernel.ids import (
    DataCentre,
    InstanceId,
    RequestId,
    ServerId,
    ServiceName,
)
from mulberryrelay_kernel.states import ServerState

from .tablemirror import TableUpdate

LAST_KEY = 65535


class ServiceShare(msgspec.Struct, frozen=True):
    """Part of a route's requests that goes to one service."""

    service: ServiceName
    weight: int


class Route(msgspec.Struct, frozen=True):
    """How the requests of one host and path prefix are handled."""

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    is_idempotent: bool
    attempts: int
    """Servers to which one request may be sent."""
    timeout_ms: float
    target_ms: float
    """Time within which an answer has its full value."""
    rank: int
    """0 is the most important."""


class Service(msgspec.Struct, frozen=True):
    """A service of backend servers."""

    name: ServiceName
    health_path: str
    is_keyed: bool
    """Whether each key is held by one server."""


class CallerLimits(msgspec.Struct, frozen=True):
    """What callers may send."""

    header_bytes: int
    body_bytes: int


class RouteTable(msgspec.Struct, frozen=True):
    """One version of the operators' configuration, complete."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service]
    limits: CallerLimits


class BackendServer(msgspec.Struct, frozen=True):
    """A server as it registered itself.

    A restarted server may have the same ``server``; ``born_ms`` tells its lives apart.
    """

    server: ServerId
    born_ms: int
    service: ServiceName
    host: str
    port: int
    data_centre: DataCentre
    slots: int
    state: ServerState
    cold_left_ms: float

    def is_same_life(self, other: "BackendServer") -> bool:
        """Return whether both entries are of one process."""
        return self.server == other.server and self.born_ms == other.born_ms


class LoadReport(msgspec.Struct, frozen=True):
    """Load of a server as its answer states it."""

    running: int
    waiting: int
    slots: int


class EdgeRequest(msgspec.Struct, frozen=True):
    """A request of a caller, read completely."""

    request_id: RequestId
    method: str
    target: str
    """Path and query as the caller sent them."""
    host: str
    key: int | None
    headers: CIMultiDict[str]
    """Headers to pass on, without those of the caller's connection."""
    body: bytes
    route: Route
    service: ServiceName
    arrived_ms: float
    deadline_ms: float
    """When the caller or the route stops waiting, whichever is first."""


class EdgeAnswer(msgspec.Struct, frozen=True):
    """Answer to a caller."""

    status: int
    headers: CIMultiDict[str]
    body: bytes
    is_own: bool = False
    """Whether the router made it, and not a server."""


class KeyRange(msgspec.Struct, frozen=True, array_like=True):
    """Ownership of consecutive keys, both ends included.

    While ``next_owner`` is set, the range moves: ``owner`` is told to release it at
    ``fence`` + 1, and ``next_owner`` is granted it at ``fence`` + 2.
    """

    first: int
    last: int
    owner: ServerId
    """Empty if no server has held the range yet."""
    owner_born_ms: int
    fence: int
    next_owner: ServerId = ServerId("")
    next_born_ms: int = 0

    @property
    def is_moving(self) -> bool:
        return bool(self.next_owner)

    def is_held_by(self, server: BackendServer) -> bool:
        """Return whether this life of the server is the owner."""
        return self.owner == server.server and self.owner_born_ms == server.born_ms


class RangeMapRow(msgspec.Struct, frozen=True):
    """Owners of all keys of one service, in key order and without gaps."""

    edit: str
    """Identifies the write, to recognise it after a lost reply."""
    ranges: tuple[KeyRange, ...]


class SilentServer(msgspec.Struct, frozen=True, array_like=True):
    """A life of a server that gets no grants, since it answered no orders."""

    server: ServerId
    born_ms: int
    hold_end_ms: float
    """When its last possible hold has run out, on the store's own clock."""


class LeaderRow(msgspec.Struct, frozen=True):
    """The leader lease; ``expires_ms`` is on the store's own clock."""

    term: int
    holder: InstanceId
    boot_id: str
    expires_ms: float
    edit: str = ""
    silent: tuple[SilentServer, ...] = ()


class LeaderNoticeRow(msgspec.Struct, frozen=True):
    """Tells followers that the leader changed, or has left if ``boot_id`` is empty."""

    term: int
    boot_id: str
    link_url: str = ""
    """Where the leader takes the reports of other routers."""


class RangeChange(msgspec.Struct, frozen=True, array_like=True):
    """Ranges of a service as of one version of its row."""

    service: ServiceName
    version: int
    base_version: int
    """Version to which the ranges are a change; 0 if they are complete."""
    ranges: tuple[KeyRange, ...]
    """Those that the base does not have; they cover what they replace."""


class Work(msgspec.Struct, frozen=True, array_like=True):
    """Time that servers took for requests that did not wait there."""

    answers: int
    total_ms: float

    @property
    def mean_ms(self) -> float:
        return self.total_ms / self.answers if self.answers else 0.0

    def plus(self, answers: int, total_ms: float) -> "Work":
        """Return the work with further answers."""
        return Work(self.answers + answers, self.total_ms + total_ms)


class KeyReport(msgspec.Struct, frozen=True):
    """What was requested at one router since its last report, by service."""

    keys: dict[ServiceName, list[int]]
    work: dict[ServiceName, Work]


class RouterReport(msgspec.Struct, frozen=True):
    """What a router tells the leader: requested keys, and what it knows."""

    boot_id: str
    requested: KeyReport
    range_versions: dict[ServiceName, int]
    table_versions: dict[str, int]
    store_answers: bool
    """What the leader last said of the store."""
    wait_ms: float
    """Longest time to wait for something new."""


class LeaderView(msgspec.Struct, frozen=True):
    """What the leader tells a router."""

    tables: list[TableUpdate]
    ranges: list[RangeChange]
    store_answers: bool
    """Whether the leader's own calls are answered, so that it knows what changes."""
    routers: int
    """Number of routers that report, and the leader."""

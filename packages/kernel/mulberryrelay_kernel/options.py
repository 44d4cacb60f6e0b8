"""Options of a router process; ``settings`` reads them from files and checks them."""

import msgspec

from .ids import DataCentre, InstanceId, OperatorName, RequestClass, ServiceName, Tenant
from .messages import ListedInstance


class InstanceOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Identity, location and ports of this process; port 0 means any free port."""

    name: InstanceId
    data_centre: DataCentre
    host: str = "127.0.0.1"
    caller_port: int = 0
    peer_port: int = 0
    admin_port: int = 0


class PlatformOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Connection to the platform's store and instance list."""

    plugin: str = "http"
    """Name of a registered plug-in of kind ``platform``."""
    url: str = ""
    timeout_ms: int = 200
    """Timeout of one call to the platform."""
    instances: list[ListedInstance] = []
    """Instance list for the plug-in ``memory``."""


class ServiceOptions(msgspec.Struct, frozen=True, kw_only=True):
    """A service, which one or more backend servers provide."""

    classes: list[RequestClass]
    """Request classes, the most important first; the last one is the default."""
    partitioned: bool = False
    """Whether each key of the service is owned by one server."""
    ranges: int = 256
    """Number of ranges into which the keys are hashed."""
    checks_grants: bool = True
    """Whether the servers refuse requests for units that they have no grant for."""
    slots: int = 4
    """Requests that one server can run at the same time."""
    connections: int = 100
    """Upper limit of concurrent requests to one server, from all routers together."""
    churn_weight: float = 0.5
    """At 0 placement considers only unavailable time and imbalance; at 1 it avoids
    moves the most."""
    default_deadline_ms: int = 5000
    """Time that a request may take if its caller sets no deadline."""


class TimingOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Durations of leases, heartbeats and timeouts, in milliseconds."""

    lease_ms: int = 500
    """Duration of the coordinator lease, counted from each renewal."""
    renew_ms: int = 150
    """Period at which the coordinator renews its lease and the servers' grants."""
    poll_ms: int = 100
    """Period at which the other routers read the lease row."""
    margin_ms: int = 50
    """Extra time to wait before a lease or grant of another process counts as expired;
    allows for clocks that run at different rates."""
    bridge_ms: int = 350
    """Time by which routing leases and grants outlast the coordinator lease, so that
    requests are served during a takeover. A new coordinator waits this long before it
    changes the assignment."""
    promise_ms: int = 1000
    """Period for which a successor promises not to take over. Promises let the
    coordinator keep its lease while the store is unavailable."""
    outage_cap_ms: int = 300_000
    """Longest time that the coordinator keeps its lease without renewing it in the
    store."""
    heartbeat_ms: int = 150
    """Period of a router's heartbeats to the coordinator."""
    suspect_ms: int = 300
    """Time without a reply after which a server whose commands fail counts as lost."""
    list_period_ms: int = 1000
    """Period at which the coordinator reads the platform's instance list."""
    rules_period_ms: int = 500
    """Period at which the coordinator reads the current rules version."""
    order_timeout_ms: int = 100
    """Timeout of a command to a server and of a request for a promise."""
    settle_ms: int = 1000
    """Time that a stopping router still accepts connections, until load balancers stop
    sending to it."""
    idle_ms: int = 2000
    """Time that a stopping router gives callers to use or close idle connections."""


class LimitOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the resources that one process uses."""

    connections: int = 2000
    """Connections from callers; further ones are closed before anything is read from
    them."""
    header_bytes: int = 16_384
    header_timeout_ms: int = 10_000
    """Timeout for receiving the headers of the first request of a connection."""
    body_bytes: int = 8_388_608
    body_timeout_ms: int = 10_000
    """Timeout for receiving a complete request body."""
    caller_bytes: int = 268_435_456
    """Bytes of heads, bodies and unread responses that all callers together may hold;
    those that hold most are disconnected beyond it."""
    deadline_ms: int = 120_000
    """Longest deadline that a caller may request."""
    buffered_answer_bytes: int = 1_048_576
    """Longest response that is buffered; longer ones are streamed to the caller."""
    queue_length: int = 512
    """Requests that may wait for a slot, per class, or for a move, per service."""
    retry_ratio: float = 0.1
    """Retry budget: retries allowed per request."""
    lower_class_share: float = 0.1
    """Share of the requests sent to each server that goes to the classes below the most
    important waiting one, while those have requests waiting."""
    slow_start_ms: int = 10_000
    """Time over which a cold server's share of requests rises to the normal one."""
    claim_writes_per_second: int = 300
    """Transactions per second for idempotency claims, of all routers together. Each
    router may use this limit divided by ``routers``, the planned number of routers. The
    store can do several hundred writes per second; the rest is left to the
    coordinator."""
    claim_retention_s: int = 86_400
    """Age at which a claim is deleted; a request resent later would run again."""


class OperatorOptions(msgspec.Struct, frozen=True, kw_only=True):
    """An operator who may use the administration API."""

    name: OperatorName
    credential: str


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of a router process."""

    tenant: Tenant
    instance: InstanceOptions
    platform: PlatformOptions
    data_centres: list[DataCentre]
    services: dict[ServiceName, ServiceOptions]
    timing: TimingOptions = TimingOptions()
    limits: LimitOptions = LimitOptions()
    operators: list[OperatorOptions] = []
    peers: list[str] = []
    """Peer ports of routers as ``host:port``, asked for the coordinator while the store
    is unavailable. The routers need not be running."""
    placement: str = "adaptive"
    """Name of the placement plug-in, which plans moves. All but ``adaptive`` are
    baselines for comparison."""
    routers: int = 9
    """Planned number of routers; each starts with an equal share of a server's
    slots."""

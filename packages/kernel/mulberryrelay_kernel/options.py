"""The options of a router process, as checked by ``settings``."""

import msgspec

from .ids import DataCentre, InstanceId, OperatorName, RequestClass, ServiceName, Tenant
from .messages import ListedInstance


class InstanceOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses and place of this process; port 0 takes any free port."""

    name: InstanceId
    data_centre: DataCentre
    host: str = "127.0.0.1"
    caller_port: int = 0
    peer_port: int = 0
    admin_port: int = 0


class PlatformOptions(msgspec.Struct, frozen=True, kw_only=True):
    """How to reach the platform."""

    plugin: str = "http"
    url: str = ""
    timeout_ms: int = 200
    instances: list[ListedInstance] = []
    """Entries of the instance list of the plug-in ``memory``."""


class ServiceOptions(msgspec.Struct, frozen=True, kw_only=True):
    """A service of backend servers."""

    classes: list[RequestClass]
    """Classes of requests, the most important first; the last is the default."""
    partitioned: bool = False
    ranges: int = 256
    checks_grants: bool = True
    slots: int = 4
    connections: int = 100
    churn_weight: float = 0.5
    """0 weighs only unavailable time and imbalance, 1 avoids moves most."""
    default_deadline_ms: int = 5000


class TimingOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Periods of leases and heartbeats, in milliseconds."""

    lease_ms: int = 500
    renew_ms: int = 150
    poll_ms: int = 100
    margin_ms: int = 50
    bridge_ms: int = 350
    promise_ms: int = 1000
    outage_cap_ms: int = 300_000
    heartbeat_ms: int = 150
    suspect_ms: int = 300
    list_period_ms: int = 1000
    rules_period_ms: int = 500
    order_timeout_ms: int = 100
    settle_ms: int = 1000
    idle_ms: int = 2000
    """Time that a stopping router gives callers to use or close idle connections."""


class LimitOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on memory and work of one process."""

    connections: int = 2000
    """Connections from callers; further ones are closed before anything is read."""
    header_bytes: int = 16_384
    header_timeout_ms: int = 10_000
    """Time for a caller to send the headers of the first request of a connection."""
    body_bytes: int = 8_388_608
    body_timeout_ms: int = 10_000
    """Time for a caller to send a whole body."""
    deadline_ms: int = 120_000
    """Longest deadline that a caller may ask for."""
    buffered_answer_bytes: int = 1_048_576
    queue_length: int = 512
    retry_ratio: float = 0.1
    lower_class_share: float = 0.1
    slow_start_ms: int = 10_000
    claim_writes_per_second: int = 300
    """Transactions for idempotency claims of all routers together; each router takes
    its share of the planned number. The rest of the store's several hundred writes is
    for the coordinator."""
    claim_retention_s: int = 86_400
    """Age at which a claim is deleted; a resend after that would run again."""


class OperatorOptions(msgspec.Struct, frozen=True, kw_only=True):
    """An operator who may use the administration API."""

    name: OperatorName
    credential: str


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a router process is told by its settings."""

    tenant: Tenant
    instance: InstanceOptions
    platform: PlatformOptions
    data_centres: list[DataCentre]
    services: dict[ServiceName, ServiceOptions]
    timing: TimingOptions = TimingOptions()
    limits: LimitOptions = LimitOptions()
    operators: list[OperatorOptions] = []
    peers: list[str] = []
    """Peer ports of routers as ``host:port``, asked for the coordinator when the store
    does not tell it; none of them needs to run."""
    placement: str = "adaptive"
    """Plug-in that plans moves; the others are baselines for comparison."""
    routers: int = 9
    """Planned number of routers; sets the first share of each server's slots."""

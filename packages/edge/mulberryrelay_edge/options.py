"""Options of an edge router.

The platform's adapter reads them from its settings file.
"""

import msgspec

from mulberryrelay_kernel.ids import DataCentre, InstanceId


class EdgeOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, location and limits of this process; times are in milliseconds."""

    instance: InstanceId
    data_centre: DataCentre
    host: str
    caller_port: int
    ready_port: int
    """Port of the readiness check."""
    internal_port: int
    """Port for the reports of other routers."""
    metrics_port: int
    stop_grace_ms: float
    """Time from the stop signal until the process is killed."""
    max_grant_ttl_ms: float
    """Maximum TTL of a grant of keys to a server."""
    reregistration_ms: float
    """Time for running servers to register again after an outage of the store."""
    drain_ms: float
    """Time after a server's report that it drains from which on it gets no requests."""
    retry_ratio: float
    """Allowed retries as a share of all requests."""
    retry_window_ms: float
    """Sliding time window in which requests and retries are counted."""
    retry_slack: float
    """Retries allowed in each window beyond that share, for all routers together."""
    min_routers: int
    """Minimum number of routers among which shared budgets are divided."""
    link_bytes_per_s: float
    """Rate of the machine's network link."""
    max_request_bytes: int
    """Bytes that the bodies of all requests together may hold."""
    max_response_bytes: int
    """Bytes that the bodies received for one request may have."""
    max_buffered_bytes: int
    """Bytes that all responses together may hold while they are received."""
    evacuation_ms: float = 5000.0
    """Time after the write of an evacuation from which on servers get no requests."""
    cold_overshoot: float = 1.5
    """Multiple of the rate of a cold server that it may get within any second."""
    cold_slack: float = 8.0
    """Requests that a cold server may get beyond that within any second."""
    max_caller_connections: int = 2048
    """Connections of callers; the longest idle ones are closed for further ones."""
    max_caller_bytes: int = 25_000_000
    """Bytes of heads and unread responses that all callers together may hold."""
    region: str = ""
    """Region of this machine; empty if it is that of its data centre, or unknown."""
    regions: dict[DataCentre, str] = {}
    """Regions of data centres, as far as they are known."""

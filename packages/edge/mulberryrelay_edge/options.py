"""Options of an edge router, as the adapter of its platform reads them."""

import msgspec

from mulberryrelay_kernel.ids import DataCentre, InstanceId


class EdgeOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, place and bounds of this process; times in milliseconds."""

    instance: InstanceId
    data_centre: DataCentre
    host: str
    caller_port: int
    ready_port: int
    internal_port: int
    metrics_port: int
    stop_grace_ms: float
    """Time from the signal to stop until the process is killed."""
    longest_hold_ms: float
    """Longest time for which a server may be granted keys."""
    relist_ms: float
    """Time for living servers to register again after an outage of the store."""
    retry_ratio: float
    """Sends beyond the first of a request, as a share of all requests."""
    retry_window_ms: float
    retry_slack: float
    """Further repeated sends in a window, for all routers together."""
    routers: int
    """Least number of routers among which shared budgets are divided."""

"""Parts of reports and replies that carry the observed speed of servers."""

import msgspec

from mulberryrelay_kernel.ids import ServerId


class SpeedSum(msgspec.Struct, frozen=True, array_like=True):
    """Responses of one incarnation of a server since a router's last report."""

    server: ServerId
    started_ms: int
    responses: int
    total_percent: int
    """Sum of their latencies, each in percent of what is usual for its route."""


class LatencySum(msgspec.Struct, frozen=True, array_like=True):
    """Responses on one route since a router's last report."""

    responses: int
    total_ms: int


class SpeedReport(msgspec.Struct, frozen=True, array_like=True):
    """What a router observed since its last report; requests that queued don't count.

    It also states which of the leader's speeds the router has applied.
    """

    servers: tuple[SpeedSum, ...] = ()
    routes: dict[str, LatencySum] = {}
    sums_id: str = ""
    """Identifies the leader's sums whose speeds were applied; empty if none were."""
    version: int = 0


class ServerSpeed(msgspec.Struct, frozen=True, array_like=True):
    """Speed of one incarnation of a server, from the responses to all routers."""

    server: ServerId
    started_ms: int
    slowdown_percent: int
    """Latency in percent of what is usual; 0 if it is no longer known."""


class SpeedChanges(msgspec.Struct, frozen=True, array_like=True):
    """Speeds that a follower lacks, up to a version of the leader's sums."""

    sums_id: str
    version: int
    is_complete: bool
    """Whether the follower has to discard all speeds that are not listed."""
    servers: tuple[ServerSpeed, ...]
    routes_ms: dict[str, float]
    """Usual latency of routes, of requests that did not queue."""

"""Limits for the heads of callers' requests, from the operators' limits."""

from mulberryrelay_kernel.clientlimits import HeadLimits
from mulberryrelay_kernel.limitedconnections import head_limits

from .messages import RouteTable

MAX_LINE_BYTES = 65_536
"""Limit of aiohttp for the request line and for one header field.

The limit for all header fields together is in the routes.
"""
DEFAULT_HEADER_BYTES = 16_384
"""Length of all header fields of a request if there are no routes yet."""
DEFAULT_HEAD_TIMEOUT_S = 10.0
"""Time for a head if operators state none."""
HEAD_MARGIN_S = 2.0
"""Time beyond the one that operators state, for what the network adds."""


def caller_head_limits(routes: RouteTable | None) -> HeadLimits:
    """Return limits that no caller within the operators' limits exceeds."""
    header_bytes = DEFAULT_HEADER_BYTES
    timeout_s = DEFAULT_HEAD_TIMEOUT_S
    if routes is not None:
        header_bytes = routes.limits.header_bytes
        if routes.limits.header_ms > 0:
            timeout_s = routes.limits.header_ms / 1000 + HEAD_MARGIN_S
    return head_limits(header_bytes, MAX_LINE_BYTES, timeout_s)

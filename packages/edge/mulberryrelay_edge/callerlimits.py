"""Limits for the heads of callers' requests, from the operators' limits."""

from mulberryrelay_kernel.clientlimits import HeadLimits

from .messages import RouteTable

DEFAULT_HEADER_BYTES = 16_384
"""Length of all header fields of a request if there are no routes yet."""
MAX_FIELDS = 128
"""Number of header fields that the parser accepts."""
FIELD_OVERHEAD_BYTES = 4
"""Bytes of a header line beside its name and value: a colon, a space and its end."""
DEFAULT_HEAD_TIMEOUT_S = 10.0
"""Time for a head if operators state none."""
HEAD_MARGIN_S = 2.0
"""Time beyond the one that operators state, for what the network adds."""
QUEUED_HEADS = 4
"""Heads of maximum length that may wait on one connection before reading stops."""


def head_limits(routes: RouteTable | None, max_request_line_bytes: int) -> HeadLimits:
    """Return limits that no caller within the operators' limits exceeds.

    A head that is longer than the operators permit, but within these limits, is
    refused once it is complete.
    """
    header_bytes = DEFAULT_HEADER_BYTES
    timeout_s = DEFAULT_HEAD_TIMEOUT_S
    if routes is not None:
        header_bytes = routes.limits.header_bytes
        if routes.limits.header_ms > 0:
            timeout_s = routes.limits.header_ms / 1000 + HEAD_MARGIN_S
    fields_bytes = header_bytes + MAX_FIELDS * FIELD_OVERHEAD_BYTES
    return HeadLimits(
        max_request_line_bytes + fields_bytes,
        timeout_s,
        QUEUED_HEADS * fields_bytes,
    )

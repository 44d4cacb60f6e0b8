"""Requests that wait for a server, and what their wait ends with."""

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from mulberryrelay_kernel.ids import ServerId

from .messages import BackendServer, EdgeRequest
from .regions import are_disjoint

Candidates = Callable[[], Sequence[BackendServer]]
"""Returns the servers that may run a request now.

For a request with a key this is the owner of the key, or none while the key moves.
"""

RETRY_AFTER_S = 0.3
"""Time after which a caller should return whose request has waited in vain."""


class SendPermit(msgspec.Struct, frozen=True):
    """Permission to send one attempt to a server.

    The request counts as in flight until ``ServerLoads.end_request`` is called, which
    must happen exactly once.
    """

    server: BackendServer
    send_id: int


class RefusalReason(Enum):
    """Why a request got no permission; it was not sent."""

    QUEUE_FULL = "queue-full"
    OVERLOAD = "overload"
    """It would have waited too long for its target latency."""
    SERVER_LIMIT = "server-limit"
    """The owner of its key takes no more requests in the time that it may wait."""
    SERVER_PAUSED = "server-paused"
    """All servers that may run it want no requests for longer than it may wait."""
    REGION = "region-not-allowed"
    """No server that may run it is in a region that its route allows."""
    CUT_OFF = "cut-off"
    """The router has lost its links to all servers."""
    NO_ROOM = "no-room"
    """It waited as long as its deadline permits."""


class QueueRefusal(msgspec.Struct, frozen=True):
    """Refusal of a request, and when its caller should return."""

    reason: RefusalReason
    retry_after_s: float


class QueuedRequest:
    """A request that waits for a server with free capacity."""

    def __init__(
        self,
        request: EdgeRequest,
        candidates: Candidates,
        is_keyed: bool,
        queue_deadline_ms: float,
        avoided: frozenset[ServerId],
    ) -> None:
        self.request = request
        self.candidates = candidates
        self.is_keyed = is_keyed
        self.queue_deadline_ms = queue_deadline_ms
        self.avoided = avoided
        self.is_preview = False
        """Whether it is only to be explained, so that no times are reserved for it."""
        self.has_reservation = False
        """Whether a time at the owner of its key is reserved for it."""
        self.is_held = False
        """Whether it counts as held back by a cold server."""
        self.permit: asyncio.Future[SendPermit | QueueRefusal] = (
            asyncio.get_running_loop().create_future()
        )


def count_ahead(queue: Sequence[QueuedRequest], queued: QueuedRequest) -> int:
    """Return how many queued requests are sent to the same servers before a new one."""
    servers = queued.candidates()
    ahead = 0
    for other in queue:
        if other.permit.done() or other.is_keyed is not queued.is_keyed:
            continue
        if other.request.route.rank > queued.request.route.rank:
            continue
        if are_disjoint(
            other.request.route.allowed_regions, queued.request.route.allowed_regions
        ):
            continue
        if queued.is_keyed and list(other.candidates()) != list(servers):
            continue
        ahead += 1
    return ahead

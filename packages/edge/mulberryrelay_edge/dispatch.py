"""Queues requests and decides which one is sent next, and to which server.

Requests that can still meet their route's target latency go first, and among these the
ones with the most important rank; requests of equal rank go in order of arrival.
"""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre, ServerId, ServiceName
from mulberryrelay_kernel.logs import log_event

from .messages import BackendServer, EdgeRequest
from .serverload import MAX_QUEUED_AT_SERVER, ServerLoads

Candidates = Callable[[], Sequence[BackendServer]]
"""Returns the servers that may run a request now.

For a request with a key this is the owner of the key, or none while the key moves.
"""

MAX_QUEUE_LENGTH = 600
"""Queued requests of one service; further ones are refused at once."""
MAX_QUEUED_AT_KEY_OWNER = 4.0
"""Requests with keys that may wait at a server beyond its slots.

Higher than ``MAX_QUEUED_AT_SERVER``, since no other server can run them.
"""
REMOTE_DATA_CENTRE_COST = 0.8
"""Cost added to a server in another data centre."""
DISPATCH_PERIOD_S = 0.02
"""Period in which the queues are checked even without an event."""
MAX_LOGGED_CANDIDATES = 4
"""Servers described in the log line of a request whose wait in the queue timed out."""


class SendPermit(msgspec.Struct, frozen=True):
    """Permission to send one attempt to a server.

    The request counts as in flight until ``ServerLoads.end_request`` is called, which
    must happen exactly once.
    """

    server: BackendServer
    send_id: int


class _QueuedRequest:
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
        self.permit: asyncio.Future[SendPermit | None] = (
            asyncio.get_running_loop().create_future()
        )


class Dispatcher:
    """The request queues of all services."""

    def __init__(self, data_centre: DataCentre, clock: Clock) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._loads = ServerLoads(clock, self.schedule_dispatch)
        self._queues: dict[ServiceName, list[_QueuedRequest]] = {}
        self._is_dispatch_scheduled = False

    @property
    def loads(self) -> ServerLoads:
        """Observed load of the servers."""
        return self._loads

    @property
    def queue_length(self) -> int:
        """Number of queued requests of all services."""
        return sum(len(queue) for queue in self._queues.values())

    async def acquire(
        self,
        request: EdgeRequest,
        candidates: Candidates,
        is_keyed: bool,
        queue_deadline_ms: float,
        avoided: frozenset[ServerId] = frozenset(),
    ) -> SendPermit | None:
        """Return a permit, or None if the queue is full or the wait timed out.

        The request waits until ``queue_deadline_ms`` at most. A server in ``avoided``
        is chosen only if it is the only one left.
        """
        queued = _QueuedRequest(
            request, candidates, is_keyed, queue_deadline_ms, avoided
        )
        queue = self._queues.setdefault(request.service, [])
        if not queue:
            permit = self._try_admit(queued)
            if permit is not None:
                return permit
        if len(queue) >= MAX_QUEUE_LENGTH:
            return None
        queue.append(queued)
        if len(queue) > 1:
            self.schedule_dispatch()
        left_s = (queue_deadline_ms - self._clock()) / 1000
        expiry = asyncio.get_running_loop().call_later(
            max(0.0, left_s), self._expire, queued
        )
        try:
            return await queued.permit
        except asyncio.CancelledError:
            if queued.permit.done() and not queued.permit.cancelled():
                permit = queued.permit.result()
                if permit is not None:
                    self._loads.end_request(permit.server, permit.send_id, None)
            raise
        finally:
            expiry.cancel()
            if queued in queue:
                queue.remove(queued)

    def schedule_dispatch(self) -> None:
        """Dispatch queued requests soon, since a server may have free capacity."""
        if self._is_dispatch_scheduled or not any(self._queues.values()):
            return
        self._is_dispatch_scheduled = True
        asyncio.get_running_loop().call_soon(self._dispatch_all)

    async def run(self) -> None:
        """Dispatch periodically, since reported load decays without an event."""
        while True:
            await asyncio.sleep(DISPATCH_PERIOD_S)
            self.schedule_dispatch()

    def _dispatch_all(self) -> None:
        self._is_dispatch_scheduled = False
        for queue in self._queues.values():
            if queue:
                self._dispatch_queue(queue)

    def _dispatch_queue(self, queue: list[_QueuedRequest]) -> None:
        now_ms = self._clock()

        def sort_key(queued: _QueuedRequest) -> tuple[bool, int, float]:
            request = queued.request
            target_end_ms = request.arrived_ms + request.route.target_latency_ms
            usual_ms = self._loads.latency_ms(request.route.name)
            return (
                now_ms + usual_ms > target_end_ms,
                request.route.rank,
                request.arrived_ms,
            )

        full: set[ServerId] = set()
        are_all_full = False
        for queued in sorted(queue, key=sort_key):
            if queued.permit.done():
                continue
            if queued.is_keyed:
                owners = queued.candidates()
                if not owners or owners[0].server in full:
                    continue
            elif are_all_full:
                continue
            permit = self._try_admit(queued)
            if permit is not None:
                queued.permit.set_result(permit)
                continue
            if queued.is_keyed:
                full.add(owners[0].server)
            elif not queued.avoided:
                # No later request without a key can be sent either. The owner of a key
                # may still have capacity, as more requests may wait there.
                are_all_full = True

    def _try_admit(self, queued: _QueuedRequest) -> SendPermit | None:
        server = self._choose_server(queued)
        if server is None:
            return None
        route = queued.request.route.name
        return SendPermit(server, self._loads.begin_request(server, route))

    def _choose_server(self, queued: _QueuedRequest) -> BackendServer | None:
        """Return the server with the lowest cost, or None if all are at capacity."""
        candidates = queued.candidates()
        if queued.is_keyed:
            if not candidates:
                return None
            owner = candidates[0]
            if self._loads.has_capacity(owner, MAX_QUEUED_AT_KEY_OWNER):
                return owner
            return None
        best: BackendServer | None = None
        best_cost = float("inf")
        healthy = [s for s in candidates if not self._loads.is_ejected(s)]
        # If more than half of the servers are ejected, the cause is elsewhere.
        eligible = healthy if 2 * len(healthy) >= len(candidates) else candidates
        for server in eligible:
            if not self._loads.has_capacity(server, MAX_QUEUED_AT_SERVER):
                continue
            if self._loads.is_unresponsive(server):
                continue
            cost = self._loads.cost(server)
            if server.server in queued.avoided:
                # Exceeds the cost of every server that is not avoided.
                cost += 100.0
            if server.data_centre != self._data_centre:
                cost += REMOTE_DATA_CENTRE_COST
            if cost < best_cost:
                best, best_cost = server, cost
        if best is not None and best_cost >= 100.0 and len(eligible) > 1:
            # Wait for a server that is not avoided.
            return None
        return best

    def _expire(self, queued: _QueuedRequest) -> None:
        if queued.permit.done():
            return
        queued.permit.set_result(None)
        candidates = queued.candidates()
        log_event(
            "wait_ended",
            request_id=queued.request.request_id,
            service=queued.request.service,
            key=queued.request.key,
            candidates=len(candidates),
            servers=[
                self._loads.describe(s) for s in candidates[:MAX_LOGGED_CANDIDATES]
            ],
        )

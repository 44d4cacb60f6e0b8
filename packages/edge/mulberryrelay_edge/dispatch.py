"""Queues requests and decides which one is sent next, and to which server.

Requests that can still meet their route's target latency go first, and among these the
ones with the most important rank; requests of equal rank go in order of arrival.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Collection, Sequence

import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre, ServerId, ServiceName
from mulberryrelay_kernel.logs import log_event

from .capacity import ServerCondition
from .messages import BackendServer, EdgeRequest, Route
from .queuedrequest import (
    RETRY_AFTER_S,
    Candidates,
    QueuedRequest,
    QueueRefusal,
    RefusalReason,
    SendPermit,
    count_ahead,
)
from .queuewait import (
    expected_wait_ms,
    max_wait_ms,
    on_time_return_s,
    retry_after_s,
)
from .regions import PermittedRegions
from .routershares import RouterShares
from .serverchoice import ServerChooser
from .serverlimits import ColdLimit, Reserve, ServerLimits, no_cold_limit
from .serverload import ServerLoads

MAX_QUEUE_LENGTH = 600
"""Queued requests of one service; further ones are refused at once."""
SHARED_WAIT_SHARE = 0.6
"""Part of the wait that its target allows for which a request may wait here.

Applies where many routers share servers: the queue at the server, which other routers
fill as well, needs the rest.
"""
DISPATCH_PERIOD_S = 0.02
"""Period in which the queues are checked even without an event."""
MAX_LOGGED_CANDIDATES = 4
"""Servers described in the log line of a request whose wait in the queue timed out."""


IsAffected = Callable[[Sequence[BackendServer]], bool]
"""Returns whether none of a request's candidates are reached."""


class Preview(msgspec.Struct, frozen=True):
    """What would happen to a request that arrives now."""

    server: ServerId | None
    """Server that would get it, or None if it would have to wait."""
    refusal: str
    """Why it would be refused; empty if it would not be."""
    queued: int
    """Queued requests of its service."""
    expected_wait_ms: float
    allowed_wait_ms: float
    """Wait with which it is still of full value to its caller."""


class Dispatcher:
    """The request queues of all services."""

    def __init__(
        self,
        data_centre: DataCentre,
        reserve: Reserve,
        clock: Clock,
        cold_limit_per_s: ColdLimit = no_cold_limit,
        states_cold: Callable[[BackendServer], bool] = lambda _: False,
    ) -> None:
        """``states_cold`` returns whether a server is cold by its own statement."""
        self._clock = clock
        self._loads = ServerLoads(clock, self.schedule_dispatch)
        self._limits = ServerLimits(
            reserve, self.schedule_dispatch, clock, cold_limit_per_s
        )
        self._queues: dict[ServiceName, list[QueuedRequest]] = {}
        self._is_dispatch_scheduled = False
        self._shares = RouterShares(self._limits, clock)
        self._chooser = ServerChooser(
            data_centre, self._loads, self._limits, self._shares, states_cold
        )

    @property
    def loads(self) -> ServerLoads:
        """Observed load of the servers."""
        return self._loads

    @property
    def limits(self) -> ServerLimits:
        """Limits that servers state."""
        return self._limits

    @property
    def shares(self) -> RouterShares:
        """This router's shares of servers without keys."""
        return self._shares

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
    ) -> SendPermit | QueueRefusal:
        """Return a permit, or a refusal if the wait would be or was too long.

        The request waits until ``queue_deadline_ms`` at most. A server in ``avoided``
        is chosen only if it is the only one left.
        """
        if not is_keyed:
            candidates = self._chooser.prefer_own(request.service, candidates, avoided)
        queued = QueuedRequest(
            request, candidates, is_keyed, queue_deadline_ms, avoided
        )
        queue = self._queues.setdefault(request.service, [])
        if not queue:
            permit = self._try_admit(queued)
            if permit is not None:
                return permit
        if len(queue) >= MAX_QUEUE_LENGTH:
            return QueueRefusal(RefusalReason.QUEUE_FULL, RETRY_AFTER_S)
        refusal = self._refusal_by_pause(queued)
        if refusal is not None:
            return refusal
        allowed_ms = self._allowed_wait_ms(queued)
        is_divided = bool(self._shares.shares(request.service))
        if is_divided:
            allowed_ms *= SHARED_WAIT_SHARE
        excess_ms = self._expected_wait_ms(queue, queued) - allowed_ms
        if excess_ms > 0:
            return_s = retry_after_s(excess_ms)
            if is_divided:
                return_s = min(return_s, self._on_time_return_s(request.route))
            return QueueRefusal(RefusalReason.OVERLOAD, return_s)
        queue.append(queued)
        if len(queue) > 1 or is_keyed:
            # A request with a key may have to reserve a time at the key's owner.
            self.schedule_dispatch()
        left_s = (queue_deadline_ms - self._clock()) / 1000
        expiry = asyncio.get_running_loop().call_later(
            max(0.0, left_s), self._expire, queued
        )
        try:
            return await queued.permit
        except asyncio.CancelledError:
            if queued.permit.done() and not queued.permit.cancelled():
                result = queued.permit.result()
                if isinstance(result, SendPermit):
                    self._loads.end_request(result.server, result.send_id, None)
            raise
        finally:
            expiry.cancel()
            if queued in queue:
                queue.remove(queued)

    def _allowed_wait_ms(self, queued: QueuedRequest) -> float:
        """Return how long a request may wait and still be of full value."""
        route = queued.request.route
        return max_wait_ms(
            route.target_latency_ms,
            self._loads.latency_ms(route.name),
            queued.queue_deadline_ms - self._clock(),
        )

    def _refusal_by_pause(self, queued: QueuedRequest) -> QueueRefusal | None:
        """Refuse a request whose servers all want none for longer than it may wait."""
        candidates = queued.candidates()
        if not candidates:
            return None
        pause_ms = min(self._loads.pause_ms(server) for server in candidates)
        if pause_ms <= self._allowed_wait_ms(queued):
            return None
        reason = RefusalReason.SERVER_PAUSED
        return QueueRefusal(reason, pause_ms / 1000 * random.uniform(1.0, 1.2))

    def _expected_wait_ms(
        self, queue: list[QueuedRequest], queued: QueuedRequest
    ) -> float:
        """Return how long a new request would wait.

        0 unless all servers that may run it are congested: a burst that they can serve
        late is queued. 0 as well while its key moves.
        """
        candidates = queued.candidates()
        if not candidates or not self._are_congested(candidates, queued.is_keyed):
            return 0.0
        latency_ms = self._loads.latency_ms(queued.request.route.name)
        ahead = count_ahead(queue, queued)
        first_wait_ms = min(
            self._first_wait_ms(server, queued.is_keyed) for server in candidates
        )
        windows = [self._loads.window_size(server) for server in candidates]
        return expected_wait_ms(first_wait_ms, ahead, windows, latency_ms)

    def _are_congested(
        self, candidates: Sequence[BackendServer], is_keyed: bool
    ) -> bool:
        """Return whether requests have to wait at all of these servers.

        A request with a key that waits for the limit of the key's owner is refused in
        the queue (``_wait_for_limit``), so the limit does not count for it here.
        """
        for server in candidates:
            if self._loads.is_congested(server):
                continue
            if is_keyed or self._limits.is_open(server):
                return False
        return True

    def _first_wait_ms(self, server: BackendServer, is_keyed: bool) -> float:
        """Return the expected time until the next request is sent to a server."""
        wait_ms = self._loads.room_wait_ms(server)
        if is_keyed:
            return wait_ms
        return max(wait_ms, self._limits.wait_ms(server, 0) or 0.0)

    def condition(self, server: BackendServer) -> ServerCondition:
        """Return what this router observes of a server beside its load."""
        return ServerCondition(
            self._loads.slowdown(server), self._limits.limit_per_s(server)
        )

    def has_room_beside(
        self, tried: Collection[ServerId], candidates: Sequence[BackendServer]
    ) -> bool:
        """Return whether a server that was not tried has room and no long queue."""
        return any(
            other.server not in tried
            and not self._loads.is_ejected(other)
            and not self._loads.is_unresponsive(other)
            and not self._loads.is_congested(other)
            and self._loads.has_capacity(other)
            and self._limits.is_open(other)
            for other in candidates
        )

    def describe(self, server: BackendServer) -> str:
        """Return the load and the limit of a server for a log line."""
        return self._loads.describe(server) + self._limits.describe(server)

    def release_queued(self, is_affected: IsAffected = lambda _: True) -> None:
        """Refuse all queued requests whose candidates are not reached any more."""
        for queue in self._queues.values():
            for queued in queue:
                if not queued.permit.done() and is_affected(queued.candidates()):
                    refusal = QueueRefusal(RefusalReason.CUT_OFF, RETRY_AFTER_S)
                    queued.permit.set_result(refusal)

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

    def _dispatch_queue(self, queue: list[QueuedRequest]) -> None:
        now_ms = self._clock()

        def sort_key(queued: QueuedRequest) -> tuple[bool, bool, int, float]:
            request = queued.request
            target_end_ms = request.arrived_ms + request.route.target_latency_ms
            usual_ms = self._loads.latency_ms(request.route.name)
            return (
                # A newer request must not take the time that is reserved for it.
                not queued.has_reservation,
                now_ms + usual_ms > target_end_ms,
                request.route.rank,
                request.arrived_ms,
            )

        full: set[ServerId] = set()
        held_back: Counter[ServerId] = Counter()
        full_regions: set[PermittedRegions] = set()
        """Restrictions of requests without a key for which no server has room."""
        for queued in sorted(queue, key=sort_key):
            if queued.permit.done():
                continue
            refusal = self._refusal_by_pause(queued)
            if refusal is not None:
                queued.permit.set_result(refusal)
                continue
            if queued.is_keyed:
                owners = queued.candidates()
                if not owners:
                    continue
                if not self._limits.is_open(owners[0]):
                    self._wait_for_limit(queued, owners[0], held_back)
                    continue
                if owners[0].server in full:
                    continue
            elif queued.request.route.allowed_regions in full_regions:
                continue
            permit = self._try_admit(queued)
            if permit is not None:
                queued.permit.set_result(permit)
                continue
            if queued.is_keyed:
                full.add(owners[0].server)
            elif not queued.avoided:
                # No later request without a key that may go to the same regions can be
                # sent either. The owner of a key may still have capacity, as more
                # requests may wait there.
                full_regions.add(queued.request.route.allowed_regions)

    def _wait_for_limit(
        self, queued: QueuedRequest, owner: BackendServer, held_back: Counter[ServerId]
    ) -> None:
        """Reserve a time for a request at the owner of its key, or refuse it.

        ``held_back`` counts the requests that wait for a time at each server.
        """
        if not queued.is_held:
            queued.is_held = self._limits.count_held(owner)
        position = held_back[owner.server]
        allowed_ms = self._allowed_wait_ms(queued)
        if self._limits.is_paced(owner):
            allowed_ms *= SHARED_WAIT_SHARE
        wait_ms = self._limits.wait_ms(owner, position)
        if wait_ms is not None and wait_ms > allowed_ms:
            refusal = QueueRefusal(
                RefusalReason.SERVER_LIMIT,
                self._return_s(queued, owner),
            )
            queued.permit.set_result(refusal)
            return
        queued.has_reservation = position < self._limits.reserved(owner)
        held_back[owner.server] = position + 1
        self._limits.want(owner, position + 1, allowed_ms)

    def _return_s(self, queued: QueuedRequest, owner: BackendServer) -> float:
        """Return when the caller of a request that a limit refuses should return.

        At the owner of a hot key there is no room before the demand falls. An early
        return gives the caller another chance to be served on time.
        """
        return_s = retry_after_s(self._limits.return_in_ms(owner))
        if not self._limits.is_paced(owner):
            return return_s
        return min(return_s, self._on_time_return_s(queued.request.route))

    def _on_time_return_s(self, route: Route) -> float:
        """Return when a caller should return to be served within its target."""
        return on_time_return_s(
            route.target_latency_ms, self._loads.latency_ms(route.name)
        )

    def _try_admit(self, queued: QueuedRequest) -> SendPermit | None:
        server = self._chooser.choose(queued)
        if server is None:
            return None
        route = queued.request.route.name
        send_id = self._loads.begin_request(server, route)
        self._limits.consume(server, send_id)
        return SendPermit(server, send_id)

    def preview(
        self, request: EdgeRequest, candidates: Candidates, is_keyed: bool
    ) -> Preview:
        """Return what would happen to a request now, without any effect on others."""
        if not is_keyed:
            candidates = self._chooser.prefer_own(
                request.service, candidates, frozenset()
            )
        queued = QueuedRequest(
            request, candidates, is_keyed, request.deadline_ms, frozenset()
        )
        queued.is_preview = True
        queue = self._queues.get(request.service, [])
        chosen = self._chooser.choose(queued)
        expected_ms = self._expected_wait_ms(queue, queued)
        allowed_ms = self._allowed_wait_ms(queued)
        refusal = self._refusal_by_pause(queued)
        reason = refusal.reason.value if refusal is not None else ""
        if len(queue) >= MAX_QUEUE_LENGTH:
            reason = RefusalReason.QUEUE_FULL.value
        elif not reason and expected_ms > allowed_ms:
            reason = RefusalReason.OVERLOAD.value
        elif not reason and chosen is None and is_keyed:
            limit_waits_ms = [self._limits.wait_ms(s, 0) for s in candidates()]
            if any(wait_ms and wait_ms > allowed_ms for wait_ms in limit_waits_ms):
                reason = RefusalReason.SERVER_LIMIT.value
        if chosen is not None and not queue:
            reason = ""
        return Preview(
            chosen.server if chosen is not None else None,
            reason,
            len(queue),
            expected_ms,
            allowed_ms,
        )

    def _expire(self, queued: QueuedRequest) -> None:
        if queued.permit.done():
            return
        queued.permit.set_result(QueueRefusal(RefusalReason.NO_ROOM, RETRY_AFTER_S))
        candidates = queued.candidates()
        log_event(
            "wait_ended",
            request_id=queued.request.request_id,
            service=queued.request.service,
            key=queued.request.key,
            candidates=len(candidates),
            servers=[self.describe(s) for s in candidates[:MAX_LOGGED_CANDIDATES]],
        )

"""Decides which waiting request is sent next, and to which server.

Requests that can still be answered within their target go first, the most important
rank before the others; among equals the one that came first.
"""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre, ServerId, ServiceName
from mulberryrelay_kernel.logs import log_event

from .messages import BackendServer, EdgeRequest
from .serverload import WAITING_ALLOWED, ServerLoads

Candidates = Callable[[], Sequence[BackendServer]]
"""Returns the servers that may run a request now; empty while its keys move."""

MAX_WAITING = 600
KEYED_WAITING_ALLOWED = 4.0
"""Requests that may wait at the one server that holds a key."""
REMOTE_PENALTY = 0.8
"""Added cost of a server in another data centre."""
EXPIRY_PERIOD_S = 0.02
MAX_DESCRIBED = 4
"""Servers named in the line of a request that found no room."""


class Turn(msgspec.Struct, frozen=True):
    """Permission to send one attempt to a server; ended exactly once."""

    server: BackendServer
    number: int


class _Waiter:
    def __init__(
        self,
        request: EdgeRequest,
        candidates: Candidates,
        is_keyed: bool,
        give_up_ms: float,
        avoided: frozenset[ServerId],
    ) -> None:
        self.request = request
        self.candidates = candidates
        self.is_keyed = is_keyed
        self.give_up_ms = give_up_ms
        self.avoided = avoided
        self.turn: asyncio.Future[Turn | None] = (
            asyncio.get_running_loop().create_future()
        )


class Dispatcher:
    """The waiting requests of all services."""

    def __init__(self, data_centre: DataCentre, clock: Clock) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._loads = ServerLoads(clock, self.wake)
        self._queues: dict[ServiceName, list[_Waiter]] = {}
        self._is_waking = False

    @property
    def loads(self) -> ServerLoads:
        """Observations of the servers."""
        return self._loads

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    async def acquire(
        self,
        request: EdgeRequest,
        candidates: Candidates,
        is_keyed: bool,
        give_up_ms: float,
        avoided: frozenset[ServerId] = frozenset(),
    ) -> Turn | None:
        """Return a turn, or None if there was none until ``give_up_ms``.

        ``avoided`` servers are chosen only if there is no other.
        """
        waiter = _Waiter(request, candidates, is_keyed, give_up_ms, avoided)
        queue = self._queues.setdefault(request.service, [])
        if not queue:
            turn = self._try(waiter)
            if turn is not None:
                return turn
        if len(queue) >= MAX_WAITING:
            return None
        queue.append(waiter)
        if len(queue) > 1:
            self.wake()
        left_s = (give_up_ms - self._clock()) / 1000
        expiry = asyncio.get_running_loop().call_later(
            max(0.0, left_s), self._expire, waiter
        )
        try:
            return await waiter.turn
        except asyncio.CancelledError:
            if waiter.turn.done() and not waiter.turn.cancelled():
                turn = waiter.turn.result()
                if turn is not None:
                    self._loads.end(turn.server, turn.number, None)
            raise
        finally:
            expiry.cancel()
            if waiter in queue:
                queue.remove(waiter)

    def wake(self) -> None:
        """Look at the waiting requests soon, since there may be room."""
        if self._is_waking or not any(self._queues.values()):
            return
        self._is_waking = True
        asyncio.get_running_loop().call_soon(self._look)

    async def run(self) -> None:
        """Look again regularly, as reported load fades without an event."""
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            self.wake()

    def _look(self) -> None:
        self._is_waking = False
        for queue in self._queues.values():
            if queue:
                self._serve(queue)

    def _serve(self, queue: list[_Waiter]) -> None:
        now_ms = self._clock()

        def order(waiter: _Waiter) -> tuple[bool, int, float]:
            request = waiter.request
            target_ms = request.arrived_ms + request.route.target_ms
            usual_ms = self._loads.latency_ms(request.route.name)
            return now_ms + usual_ms > target_ms, request.route.rank, request.arrived_ms

        full: set[ServerId] = set()
        for waiter in sorted(queue, key=order):
            if waiter.turn.done():
                continue
            if waiter.is_keyed:
                owners = waiter.candidates()
                if not owners or owners[0].server in full:
                    continue
            turn = self._try(waiter)
            if turn is not None:
                waiter.turn.set_result(turn)
                continue
            if waiter.is_keyed:
                full.add(owners[0].server)
            elif not waiter.avoided:
                # Nobody after this one finds room either, unless the key is held.
                break

    def _try(self, waiter: _Waiter) -> Turn | None:
        server = self._choose(waiter)
        if server is None:
            return None
        route = waiter.request.route.name
        return Turn(server, self._loads.begin(server, route))

    def _choose(self, waiter: _Waiter) -> BackendServer | None:
        candidates = waiter.candidates()
        if waiter.is_keyed:
            if not candidates:
                return None
            owner = candidates[0]
            if self._loads.has_room(owner, KEYED_WAITING_ALLOWED):
                return owner
            return None
        best: BackendServer | None = None
        best_cost = float("inf")
        healthy = [s for s in candidates if not self._loads.is_ejected(s)]
        # With more than half of the servers ejected, the cause is elsewhere.
        pool = healthy if 2 * len(healthy) >= len(candidates) else candidates
        for server in pool:
            if not self._loads.has_room(server, WAITING_ALLOWED):
                continue
            if self._loads.is_silent(server):
                continue
            cost = self._loads.cost(server)
            if server.server in waiter.avoided:
                cost += 100.0
            if server.data_centre != self._data_centre:
                cost += REMOTE_PENALTY
            if cost < best_cost:
                best, best_cost = server, cost
        if best is not None and best_cost >= 100.0 and len(pool) > 1:
            return None
        return best

    def _expire(self, waiter: _Waiter) -> None:
        if waiter.turn.done():
            return
        waiter.turn.set_result(None)
        candidates = waiter.candidates()
        log_event(
            "wait_ended",
            request_id=waiter.request.request_id,
            service=waiter.request.service,
            key=waiter.request.key,
            candidates=len(candidates),
            servers=[self._loads.describe(s) for s in candidates[:MAX_DESCRIBED]],
        )

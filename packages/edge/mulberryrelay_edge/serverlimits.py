"""Holds back requests to servers that state how many requests a second they take.

A request to such a server is sent only at a time that was reserved for this router, in
a schedule that all routers share (``sendschedule.py``). All sends pass here, so that a
server gets no more than it states, however many routers there are.
"""

import asyncio
from bisect import insort
from collections.abc import Awaitable, Callable, Sequence

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.supervision import log_failure

from .messages import BackendServer, ReservationRequest, Reservations
from .reservedtimes import ReservedTimes, drop_times, give_up_times, pop_mean

MIN_LIMIT_PER_S = 0.1
"""Smallest limit that is kept to.

Only a response can lift a limit, so some requests have to be sent even to a server that
states to take none.
"""
RESERVATION_TTL_MS = 300.0
"""Time after the reserved time in which the request may still be sent."""
CONFIRM_PERIOD_MS = 300.0
"""Time after a reply in which its schedule is asked again, while times are reserved."""
UNCONFIRMED_TTL_MS = 750.0
"""Time after the last reply of a schedule for which the times reserved in it hold.

The next schedule does not know them, so that a server may get up to twice its limit for
as long.
"""
MAX_WANTED = 20
"""Times that one router reserves at most in one request for them."""
REMEMBERED_MS = 120_000.0
"""Time after the removal of its entry for which a server's limit is remembered."""
PACING_HOLD_MS = 2000.0
"""Time after the last reply that names a server for which it is paced."""
COLD_PERMIT_TTL_MS = 600.0
"""Time after the permit to send to a cold server in which the request is written.

Opening a connection takes up to 0.5 s.
"""
COLD_ASK_PERIOD_MS = 250.0
"""Minimum time between two requests of a router for times at cold servers.

When a data centre returns, many servers are cold, and each request of a caller may want
a time at one of them. 65 routers then ask the leader 260 times per second at most.
"""
LOGGED_CHANGE = 0.1
"""Change of a limit, as a share of it, from which on it is logged."""

Reserve = Callable[[Sequence[ReservationRequest]], Awaitable[Sequence[Reservations]]]
"""Reserves times at servers; returns a result for each request, in order."""
ColdLimit = Callable[[BackendServer], float | None]
"""Returns how many requests per second a cold server may get, or None if it is warm."""


def no_cold_limit(server: BackendServer) -> float | None:
    """Return that a server is warm; implements ``ColdLimit``."""
    return None


class ServerLimits:
    """The limits that servers state, and the times reserved for this router."""

    def __init__(
        self,
        reserve: Reserve,
        on_change: Callable[[], None],
        clock: Clock,
        cold_limit_per_s: ColdLimit = no_cold_limit,
    ) -> None:
        """``on_change`` is called when requests may be sent or have to be refused."""
        self._reserve = reserve
        self._on_change = on_change
        self._clock = clock
        self._cold_limit_per_s = cold_limit_per_s
        self._limits: dict[ServerId, ReservedTimes] = {}
        self._cold_limits: dict[ServerId, ReservedTimes] = {}
        self._cold_permits_ms: dict[int, float] = {}
        """When each send to a cold server got its permit, by its number."""
        self._held_requests = 0
        self._cold_asked_ms = float("-inf")
        self._reserving: asyncio.Task[None] | None = None

    @property
    def limited_servers(self) -> int:
        """Number of servers that state a limit."""
        return len(self._limits) - self.paced_servers

    @property
    def paced_servers(self) -> int:
        """Number of servers that are paced, as they are overloaded."""
        return sum(limit.is_estimate for limit in self._limits.values())

    @property
    def held_requests(self) -> int:
        """Requests that had to wait for a cold server, so far."""
        return self._held_requests

    def record(self, server: BackendServer, limit_per_s: float | None) -> None:
        """Record the limit that a response stated; None if it stated none."""
        limit = self._find_stated(server)
        if limit_per_s is None:
            if limit is not None and not limit.is_estimate:
                del self._limits[server.server]
                log_event("server_limit_lifted", server=server.server)
                self._on_change()
            return
        limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
        if limit is None:
            limit = self._limits[server.server] = ReservedTimes(server, limit_per_s)
            log_event(
                "server_limit_stated", server=server.server, limit_per_s=limit_per_s
            )
        limit.is_estimate = False
        limit.limit_per_s = limit_per_s
        if limit_per_s < limit.reserved_per_s:
            give_up_times(limit)
        change = abs(limit_per_s - limit.logged_per_s)
        if change > LOGGED_CHANGE * limit.logged_per_s:
            limit.logged_per_s = limit_per_s
            log_event(
                "server_limit_changed", server=server.server, limit_per_s=limit_per_s
            )

    def record_queue(self, server: BackendServer, length: int) -> None:
        """Record the queue of a server, which corrects the rate if it is paced."""
        limit = self._find_stated(server)
        if limit is not None and limit.is_estimate:
            limit.queue_lengths.append(length)

    def apply_paced(self, server: BackendServer, per_s: float) -> None:
        """Pace requests to a server that the leader names, at about this rate."""
        limit = self._find_stated(server)
        if limit is None:
            limit = self._start_pacing(server, per_s)
        limit.needed_ms = self._clock()

    def is_paced(self, server: BackendServer) -> bool:
        """Return whether a server without a stated limit is paced."""
        limit = self._find(server)
        return limit is not None and limit.is_estimate

    def _start_pacing(self, server: BackendServer, per_s: float) -> ReservedTimes:
        limit = self._limits[server.server] = ReservedTimes(server, per_s)
        limit.is_estimate = True
        limit.needed_ms = self._clock()
        log_event("server_paced", server=server.server, estimate_per_s=round(per_s, 1))
        return limit

    def limit_per_s(self, server: BackendServer) -> float | None:
        """Return the limit that a server states, or None if it states none."""
        limit = self._find_stated(server)
        if limit is None or limit.is_estimate:
            return None
        return limit.limit_per_s

    def is_open(self, server: BackendServer) -> bool:
        """Return whether a request may be sent to a server now."""
        limit = self._find(server)
        if limit is None:
            return True
        self._drop_expired(limit)
        return bool(limit.reserved_ms) and limit.reserved_ms[0] <= self._clock()

    def consume(self, server: BackendServer, send_id: int = 0) -> None:
        """Use up a reserved time, since a request is sent.

        ``send_id`` is its number, which ``may_write`` gets.
        """
        limit = self._find(server)
        if limit is None or not limit.reserved_ms:
            # The server may have ceased to be cold since ``is_open``.
            return
        limit.reserved_ms.popleft()
        if limit.is_cold:
            self._drop_old_permits()
            self._cold_permits_ms[send_id] = self._clock()

    def may_write(self, server: BackendServer, send_id: int) -> bool:
        """Return whether a request with a permit may be written to a server now.

        The server may have turned cold since, or the permit may be old.
        """
        if not self.is_cold(server):
            return True
        self._drop_old_permits()
        if send_id in self._cold_permits_ms:
            return True
        self._held_requests += 1
        return False

    def wait_ms(self, server: BackendServer, position: int) -> float | None:
        """Return how long the request at a position of the queue will have to wait.

        Returns None if that is not known yet, and 0 if the server states no limit.
        """
        limit = self._find(server)
        if limit is None:
            return 0.0
        self._drop_expired(limit)
        now_ms = self._clock()
        if position < len(limit.reserved_ms):
            return max(0.0, limit.reserved_ms[position] - now_ms)
        if position < len(limit.reserved_ms) + limit.asked:
            return None
        return limit.free_ms - now_ms if limit.free_ms > now_ms else None

    def reserved(self, server: BackendServer) -> int:
        """Return the number of times reserved at a server."""
        limit = self._find(server)
        if limit is None:
            return 0
        self._drop_expired(limit)
        return len(limit.reserved_ms)

    def return_in_ms(self, server: BackendServer) -> float:
        """Return when the caller of a request that is refused should return."""
        limit = self._find(server)
        if limit is None:
            return 0.0
        return max(limit.return_ms, limit.free_ms) - self._clock()

    def want(self, server: BackendServer, waiting: int, max_wait_ms: float) -> None:
        """Reserve times for the requests that wait for a server.

        ``max_wait_ms`` is how long the last of them may wait.
        """
        limit = self._find(server)
        if limit is None:
            return
        self._drop_expired(limit)
        if limit.is_cold and not self._may_ask_for_cold():
            return
        missing = waiting - len(limit.reserved_ms) - limit.asked
        if missing > 0 and limit.free_ms - self._clock() <= max_wait_ms:
            limit.wanted = min(MAX_WANTED, missing)
            limit.max_wait_ms = max_wait_ms
            limit.is_ask_due = True
        elif self._needs_confirmation(limit):
            limit.is_ask_due = True
        if limit.is_ask_due and self._reserving is None:
            self._reserving = asyncio.create_task(self._run_reserving())

    def is_cold(self, server: BackendServer) -> bool:
        """Return whether a server is held to the rate of cold servers."""
        return self._cold_limit_per_s(server) is not None

    def count_held(self, server: BackendServer) -> bool:
        """Count a request that has to wait if the server is cold; return whether so."""
        is_held = self.is_cold(server)
        self._held_requests += is_held
        return is_held

    def describe(self, server: BackendServer) -> str:
        """Return the limit of a server for a log line; empty if it states none."""
        limit = self._find(server)
        if limit is None:
            return ""
        kind = "cold" if limit.is_cold else "limit"
        return f"/{kind}{limit.limit_per_s:.1f}per_s/reserved{len(limit.reserved_ms)}"

    def remove_except(self, servers: set[ServerId]) -> None:
        """Remove the limits of servers that have not been in ``servers`` for long.

        The entry of a server may come back for the same incarnation.
        """
        now_ms = self._clock()
        for name in [name for name in self._cold_limits if name not in servers]:
            del self._cold_limits[name]
        for name, limit in list(self._limits.items()):
            if name in servers:
                limit.removed_ms = None
                continue
            if limit.removed_ms is None:
                limit.removed_ms = now_ms
            if now_ms - limit.removed_ms > REMEMBERED_MS:
                del self._limits[name]

    def _find(self, server: BackendServer) -> ReservedTimes | None:
        """Return the limit of a server, which is the lower one if it has two."""
        stated = self._find_stated(server)
        cold_per_s = self._cold_limit_per_s(server)
        if cold_per_s is None:
            if self._cold_limits:
                self._cold_limits.pop(server.server, None)
            return stated
        cold_per_s = max(MIN_LIMIT_PER_S, cold_per_s)
        if stated is not None:
            cold_per_s = min(cold_per_s, stated.limit_per_s)
        limit = self._cold_limits.get(server.server)
        if limit is None or limit.server.started_ms != server.started_ms:
            limit = self._cold_limits[server.server] = ReservedTimes(
                server, cold_per_s, True
            )
        limit.limit_per_s = cold_per_s
        return limit

    def _may_ask_for_cold(self) -> bool:
        return self._clock() - self._cold_asked_ms >= COLD_ASK_PERIOD_MS

    def _drop_old_permits(self) -> None:
        oldest_ms = self._clock() - COLD_PERMIT_TTL_MS
        while self._cold_permits_ms:
            send_id = next(iter(self._cold_permits_ms))
            if self._cold_permits_ms[send_id] >= oldest_ms:
                break
            del self._cold_permits_ms[send_id]

    def _find_stated(self, server: BackendServer) -> ReservedTimes | None:
        limit = self._limits.get(server.server)
        if limit is None or limit.server.started_ms != server.started_ms:
            return None
        if limit.is_estimate and self._clock() - limit.needed_ms > PACING_HOLD_MS:
            del self._limits[server.server]
            log_event("server_pacing_ended", server=server.server)
            return None
        return limit

    def _needs_confirmation(self, limit: ReservedTimes) -> bool:
        if not limit.reserved_ms:
            return False
        return self._clock() - limit.confirmed_ms >= CONFIRM_PERIOD_MS

    def _drop_expired(self, limit: ReservedTimes) -> None:
        if self._clock() - limit.confirmed_ms > UNCONFIRMED_TTL_MS:
            drop_times(limit, "unconfirmed")
        oldest_ms = self._clock() - RESERVATION_TTL_MS
        while limit.reserved_ms and limit.reserved_ms[0] < oldest_ms:
            limit.reserved_ms.popleft()

    async def _run_reserving(self) -> None:
        """Reserve times until no request waits for one."""
        try:
            while asking := [
                limit
                for limits in (self._limits, self._cold_limits)
                for limit in limits.values()
                if limit.is_ask_due
            ]:
                await self._reserve_for(asking)
                self._on_change()
        except Exception as error:
            log_failure("reserving", error)
        finally:
            self._reserving = None

    async def _reserve_for(self, asking: list[ReservedTimes]) -> None:
        requests = []
        asked_ms = self._clock()
        if any(limit.is_cold for limit in asking):
            self._cold_asked_ms = asked_ms
        for limit in asking:
            limit.asked, limit.wanted = limit.wanted, 0
            limit.is_ask_due = False
            requests.append(
                ReservationRequest(
                    limit.server.server,
                    limit.server.started_ms,
                    limit.limit_per_s,
                    limit.asked,
                    limit.max_wait_ms,
                    limit.is_cold,
                    limit.is_estimate,
                    pop_mean(limit.queue_lengths),
                )
            )
        try:
            results = await self._reserve(requests)
        finally:
            for limit in asking:
                limit.asked = 0
        for limit, request, reservations in zip(asking, requests, results, strict=True):
            self._apply(limit, reservations, asked_ms)
            limit.reserved_per_s = max(limit.reserved_per_s, request.limit_per_s)
            if limit.limit_per_s < limit.reserved_per_s:
                give_up_times(limit)

    def _apply(
        self, limit: ReservedTimes, reservations: Reservations, asked_ms: float
    ) -> None:
        now_ms = self._clock()
        if reservations.schedule != limit.schedule:
            drop_times(limit, "schedule-changed")
            limit.schedule = reservations.schedule
        limit.confirmed_ms = asked_ms
        loop = asyncio.get_running_loop()
        for wait_ms in reservations.waits_ms:
            # Not always the last: times of the leader's schedule may follow later ones
            # of the router's own.
            insort(limit.reserved_ms, now_ms + wait_ms)
            if wait_ms > 0:
                loop.call_later(wait_ms / 1000, self._on_change)
        limit.free_ms = now_ms + reservations.free_in_ms
        if reservations.return_in_ms:
            limit.return_ms = now_ms + reservations.return_in_ms

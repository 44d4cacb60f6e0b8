"""Sends grants and releases of key ranges to servers, and tracks when grants expire.

Only the leader uses it. A range whose owner does not confirm its release is granted to
another server only after the owner's last grant has expired.
"""

import asyncio

from returns.result import Failure, Result, Success

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event

from .adapter import OrderFailure, OrderLost, OrderMisdirected, ServerOrders
from .catalog import Catalog
from .keyspace import GRANT_STEP, RELEASE_STEP
from .lease import LeaderLease
from .messages import BackendServer, KeyRange
from .silences import Life

RENEW_MS = 800.0
"""Minimum period in which a grant is renewed."""
RENEWAL_SPACING_MS = 4.0
"""Minimum mean time between two renewals, so that the leader has time for requests."""
TAKEOVER_MS = 4200.0
"""Time that grants outlast the renewal period, for a takeover by the next leader."""
SLOW_CLOCK_FACTOR = 1.02
"""Factor by which a server's clock may run slower than real time."""
HOLD_MARGIN_MS = 500.0
"""Allowance for the time until a command leaves this process and arrives."""
RETRY_S = 0.1
"""Pause before a failed release is retried."""
LAST_RELEASE_S = 0.2
"""Minimum timeout of a release, also after the owner's grant has expired."""
SHORTEST_RESTART_MS = 1000.0
"""A server that answered a command less than this ago cannot have restarted since."""


def renewal_period_ms(ranges: int) -> float:
    """Return the period in which the grant of each of this many ranges is renewed."""
    return max(RENEW_MS, RENEWAL_SPACING_MS * ranges)


def usual_hold_ms(period_ms: float, longest_hold_ms: float) -> float:
    """Return the grant TTL that fits a renewal period."""
    return min(longest_hold_ms, period_ms + TAKEOVER_MS)


class Holders:
    """Grants, releases and probes that this process sends during one term as leader."""

    def __init__(
        self,
        orders: ServerOrders,
        catalog: Catalog,
        known: dict[Life, BackendServer],
        longest_hold_ms: float,
        lease: LeaderLease,
        clock: Clock,
    ) -> None:
        self._orders = orders
        self._catalog = catalog
        self._known = known
        """Last entry of each incarnation, also of those no longer registered."""
        self._longest_hold_ms = longest_hold_ms
        self._first_end_ms = (
            lease.previous_end_ms + longest_hold_ms * SLOW_CLOCK_FACTOR + HOLD_MARGIN_MS
        )
        self._lease = lease
        self._clock = clock
        self._silences = lease.silences
        self._ends = self._silences.ends
        self._silent_since = dict.fromkeys(self._ends, clock())
        self._answered_ms: dict[Life, float] = {}
        """Send time of the last grant that a server confirmed."""

    def address(self, life: Life) -> BackendServer | None:
        """Return the last known entry of an incarnation of a server."""
        entry = self._catalog.server(life[0])
        if entry is not None and entry.born_ms == life[1]:
            return entry
        return self._known.get(life)

    def hold_end_ms(self, life: Life) -> float:
        """Return the latest time at which a grant of a server may expire."""
        return self._ends.get(life, self._first_end_ms)

    def is_silent(self, life: Life) -> bool:
        """Return whether a server is unreachable: its last command got no reply."""
        return life in self._silent_since

    def is_lost(self, life: Life) -> bool:
        """Return whether a server is unreachable and all its grants have expired."""
        return self.is_silent(life) and self._clock() >= self.hold_end_ms(life)

    async def renew(
        self, service: ServiceName, part: KeyRange, hold_ms: float
    ) -> Result[None, OrderFailure]:
        """Renew the grant of a range that is not moving to its owner."""
        server = self.address((part.owner, part.owner_born_ms))
        if server is None:
            return Failure(OrderLost("no address"))
        return await self._grant(service, server, part, part.fence, hold_ms, None)

    async def probe(self, life: Life, health_path: str) -> bool:
        """Return whether an unreachable server answers again.

        The server stays unreachable until ``mark_reachable``: it may have restarted
        meanwhile, so its fencing tokens have to be raised before the next grant.
        """
        server = self.address(life)
        if server is None:
            return False
        result = await self._orders.probe(server, health_path)
        if isinstance(result, Success):
            return True
        self._note_failure(server, result.failure())
        return False

    async def forgive(self, life: Life) -> None:
        """Allow grants to a server again, after its fencing tokens were raised."""
        self._lease.renew_soon()
        await self._silences.withdraw(life)
        self._silent_since.pop(life, None)
        log_event("server_answers_orders", server=life[0])

    def _note_failure(self, server: BackendServer, failure: OrderFailure) -> None:
        life = (server.server, server.born_ms)
        if isinstance(failure, OrderMisdirected):
            # The server is gone for good, since another one has its address.
            self._ends[life] = self._clock()
            self._catalog.note_replaced(server, failure.found)
            return
        answered_ms = self._answered_ms.get(life, float("-inf"))
        if self._clock() - answered_ms < SHORTEST_RESTART_MS:
            return
        if isinstance(failure, OrderLost) and life not in self._silent_since:
            self._silent_since[life] = self._clock()
            self._silences.add(life, self.hold_end_ms(life))
            log_event(
                "server_silent",
                server=server.server,
                service=server.service,
                error=failure.error,
                hold_left_ms=round(self.hold_end_ms(life) - self._clock()),
            )

    async def free(self, service: ServiceName, part: KeyRange) -> str | None:
        """Wait until the owner of a moving range can no longer run requests for it.

        Returns the token that the owner returned for the next owner, or None if the
        owner did not release the range itself.
        """
        life = (part.owner, part.owner_born_ms)
        if not part.owner:
            return None
        end_ms = self.hold_end_ms(life)
        was_asked = False
        while True:
            await self._lease.wait_valid()
            left_ms = end_ms - self._clock()
            if left_ms <= 0 and was_asked:
                log_event(
                    "hold_ran_out",
                    service=service,
                    first=part.first,
                    last=part.last,
                    server=part.owner,
                    fence=part.fence,
                )
                return None
            server = self.address(life)
            if server is None:
                was_asked = True
                await asyncio.sleep(max(0.0, min(RETRY_S, left_ms / 1000)))
                continue
            # Send the release even after the grant has expired: the server may still
            # be about to apply an older grant.
            was_asked = True
            fence = part.fence + RELEASE_STEP
            result: Result[str | None, OrderFailure]
            try:
                async with asyncio.timeout(max(LAST_RELEASE_S, left_ms / 1000)):
                    result = await self._orders.release(
                        server, part.first, part.last, fence
                    )
            except TimeoutError:
                continue
            if isinstance(result, Success):
                token: str | None = result.unwrap()
                return token
            self._note_failure(server, result.failure())
            if isinstance(result.failure(), OrderMisdirected):
                return None
            log_event(
                "release_failed",
                service=service,
                first=part.first,
                last=part.last,
                server=part.owner,
                fence=fence,
                error=str(result.failure()),
                left_ms=round(left_ms),
            )
            await asyncio.sleep(max(0.0, min(RETRY_S, left_ms / 1000)))

    async def grant_next(
        self, service: ServiceName, part: KeyRange, hold_ms: float, token: str | None
    ) -> Result[None, OrderFailure]:
        """Grant a moving range to its next owner."""
        server = self.address((part.next_owner, part.next_born_ms))
        if server is None:
            return Failure(OrderLost("no address"))
        fence = part.fence + GRANT_STEP
        return await self._grant(service, server, part, fence, hold_ms, token)

    async def _grant(
        self,
        service: ServiceName,
        server: BackendServer,
        part: KeyRange,
        fence: int,
        hold_ms: float,
        token: str | None,
    ) -> Result[None, OrderFailure]:
        if not self._lease.is_valid:
            return Failure(OrderLost("not leader"))
        hold_ms = min(hold_ms, self._longest_hold_ms)
        life = (server.server, server.born_ms)
        if self._silences.is_named(life):
            return Failure(OrderLost("named as silent"))
        self._known[life] = server
        sent_ms = self._clock()
        end_ms = sent_ms + hold_ms * SLOW_CLOCK_FACTOR + HOLD_MARGIN_MS
        self._ends[life] = max(self.hold_end_ms(life), end_ms)
        result = await self._orders.grant(
            server, part.first, part.last, fence, hold_ms, token
        )
        if isinstance(result, Success):
            self._answered_ms[life] = sent_ms
        else:
            self._note_failure(server, result.failure())
        return result

"""Orders to the servers that hold keys, and until when each may hold them at most."""

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
RENEWAL_SPACING_MS = 4.0
"""Least time between two renewals, which leaves the leader time for requests."""
TAKEOVER_MS = 4200.0
"""Time for which holds outlast the last renewal of a leader that is lost."""
SLOW_CLOCK_FACTOR = 1.02
"""A server's clock may run this much slower than the true time."""
HOLD_MARGIN_MS = 500.0
"""For the time until an order leaves this process and arrives."""
RETRY_S = 0.1
LAST_RELEASE_S = 0.2
"""Time for the answer to a release when the hold is over."""
SHORTEST_RESTART_MS = 1000.0
"""A server that answered less than this ago has not started again since."""


def renewal_period_ms(ranges: int) -> float:
    """Return the time after which each of a number of ranges is renewed."""
    return max(RENEW_MS, RENEWAL_SPACING_MS * ranges)


def usual_hold_ms(period_ms: float, longest_hold_ms: float) -> float:
    """Return the time for which ranges are granted that are renewed so often."""
    return min(longest_hold_ms, period_ms + TAKEOVER_MS)


class Holders:
    """Orders of one term of this process."""

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
        """Entries of servers that may have left the list since."""
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
        """When the last order that got an answer was sent."""

    def address(self, life: Life) -> BackendServer | None:
        """Return the last known entry of a life of a server."""
        entry = self._catalog.server(life[0])
        if entry is not None and entry.born_ms == life[1]:
            return entry
        return self._known.get(life)

    def hold_end_ms(self, life: Life) -> float:
        """Return when a server's last possible hold has run out."""
        return self._ends.get(life, self._first_end_ms)

    def is_silent(self, life: Life) -> bool:
        """Return whether a server's last order got no answer."""
        return life in self._silent_since

    def is_lost(self, life: Life) -> bool:
        """Return whether a server is silent and can hold nothing any more."""
        return self.is_silent(life) and self._clock() >= self.hold_end_ms(life)

    async def renew(
        self, service: ServiceName, part: KeyRange, hold_ms: float
    ) -> Result[None, OrderFailure]:
        """Grant a settled range to its owner again."""
        server = self.address((part.owner, part.owner_born_ms))
        if server is None:
            return Failure(OrderLost("no address"))
        return await self._grant(service, server, part, part.fence, hold_ms, None)

    async def probe(self, life: Life, health_path: str) -> bool:
        """Ask whether a silent server answers again; return whether it does.

        It counts as silent until ``forgive``: it may have started again meanwhile, so
        its fences have to be raised before the next grant.
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
        """Give grants to a silent server again, after its fences were raised."""
        self._lease.renew_soon()
        await self._silences.withdraw(life)
        self._silent_since.pop(life, None)
        log_event("server_answers_orders", server=life[0])

    def _note_failure(self, server: BackendServer, failure: OrderFailure) -> None:
        life = (server.server, server.born_ms)
        if isinstance(failure, OrderMisdirected):
            # A server is gone for good once another one has its address.
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
        """Return once the owner of a moving range cannot run requests for it.

        Returns the token for the next owner, if the owner released the range itself.
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
            # A server that lives is told even after its hold, as it may still be about
            # to carry out an older grant.
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

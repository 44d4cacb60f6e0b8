"""Tracks when the grants that this process has sent expire at the latest.

The TTL of a grant counts from its arrival, and nothing tells when a command without a
reply has arrived. So its expiry counts from the time at which it is settled: nothing of
it can be on its way any more. A command with a reply is settled at once. One without is
settled after its connection was closed and the queue of this router's link has drained.
Commands leave through that link in order, so a reply to a later command proves it.
"""

from collections.abc import Callable, Mapping

from mulberryrelay_kernel.clock import Clock

from .unreachableservers import Incarnation

SLOW_CLOCK_FACTOR = 1.02
"""Factor by which a server's clock may run slower than real time."""
ARRIVAL_MARGIN_MS = 250.0
"""Time that a command may take from this router's link to its server."""
MAX_QUEUED_MS = 2000.0
"""Time after which a closed connection has no command in the link's queue any more.

It counts only if no server replies to a later command.
"""


def grant_end_ms(arrived_ms: float, grant_ttl_ms: float) -> float:
    """Return when a grant ends at the latest that left this router by then."""
    return arrived_ms + grant_ttl_ms * SLOW_CLOCK_FACTOR + ARRIVAL_MARGIN_MS


class SentGrant:
    """One grant, from before its command is written until it is settled."""

    def __init__(self, grant_ttl_ms: float, clock: Clock) -> None:
        self._grant_ttl_ms = grant_ttl_ms
        self._clock = clock
        self._written_ms: float | None = None
        self._closed_ms: float | None = None
        """Time at which the connection of a command without a reply was closed."""
        self._settled_ms: float | None = None

    @property
    def written_ms(self) -> float | None:
        """Time at which the command was written; None if it was not."""
        return self._written_ms

    @property
    def is_settled(self) -> bool:
        """Whether the command arrived before now, or will never arrive."""
        return self._settled_ms is not None

    @property
    def is_closed(self) -> bool:
        """Whether the connection was closed without a reply."""
        return self._closed_ms is not None

    @property
    def expires_ms(self) -> float:
        """Latest expiry of the grant; grows while the command is not settled."""
        if self._settled_ms is None:
            return grant_end_ms(self._clock(), self._grant_ttl_ms)
        if self._written_ms is None:
            return float("-inf")
        return grant_end_ms(self._settled_ms, self._grant_ttl_ms)

    def record_write(self) -> None:
        """Record that the command is written now."""
        self._written_ms = self._clock()

    def record_reply(self) -> None:
        """Record that the server replied."""
        self._settled_ms = self._clock()

    def record_close(self) -> None:
        """Record that the connection was closed without a reply."""
        self._closed_ms = self._clock()
        if self._written_ms is None:
            self._settled_ms = self._closed_ms

    def settle_before(self, written_ms: float) -> None:
        """Settle it if a command that was written at that time has a reply now."""
        if self._settled_ms is not None or self._closed_ms is None:
            return
        assert self._written_ms is not None
        if self._written_ms < written_ms:
            self._settled_ms = self._clock()

    def settle_if_old(self) -> None:
        """Settle it if it cannot be in the link's queue any more."""
        if self._settled_ms is not None or self._closed_ms is None:
            return
        if self._clock() >= self._closed_ms + MAX_QUEUED_MS:
            self._settled_ms = self._closed_ms + MAX_QUEUED_MS


class GrantExpiries:
    """Latest expiry of all grants of each incarnation of a server."""

    def __init__(
        self,
        listed_ms: Mapping[Incarnation, float],
        default_expires_ms: float,
        server_reached_ms: Callable[[], float],
        clock: Clock,
    ) -> None:
        """``listed_ms`` has expiries that earlier leaders stated.

        ``default_expires_ms`` is the latest expiry of their grants to other servers,
        ``server_reached_ms`` the start of the last connection that reached a server.
        """
        self._settled_ms = dict(listed_ms)
        """Latest expiry of the settled grants of each incarnation."""
        self._default_expires_ms = default_expires_ms
        self._server_reached_ms = server_reached_ms
        self._clock = clock
        self._unsettled: dict[Incarnation, list[SentGrant]] = {}
        self._closed: set[Incarnation] = set()
        """Servers with an unsettled grant whose connection was closed."""

    @property
    def default_expires_ms(self) -> float:
        """Latest expiry of any grant of an earlier leader that is not listed."""
        return self._default_expires_ms

    def is_settled(self, incarnation: Incarnation) -> bool:
        """Return whether no grant can be on its way to a server any more."""
        self._settle(incarnation)
        return incarnation not in self._unsettled

    def latest_ms(self, incarnation: Incarnation) -> float:
        """Return the latest time at which a grant of a server may expire."""
        return self.sent_so_far(incarnation)()

    def sent_so_far(self, incarnation: Incarnation) -> Callable[[], float]:
        """Return a function for the latest expiry of the grants sent until now."""
        self._settle(incarnation)
        settled_ms = self._settled_ms.get(incarnation, self._default_expires_ms)
        unsettled = tuple(self._unsettled.get(incarnation, ()))

        def latest_ms() -> float:
            self._settle(incarnation)
            return max(settled_ms, *(grant.expires_ms for grant in unsettled))

        return latest_ms if unsettled else lambda: settled_ms

    def add(self, incarnation: Incarnation, grant_ttl_ms: float) -> SentGrant:
        """Add a grant that is about to be sent."""
        grant = SentGrant(grant_ttl_ms, self._clock)
        self._unsettled.setdefault(incarnation, []).append(grant)
        return grant

    def record_close(self, incarnation: Incarnation, grant: SentGrant) -> None:
        """Record that the connection of a grant was closed without a reply."""
        grant.record_close()
        self._closed.add(incarnation)
        self._settle(incarnation)

    def record_reply(self, written_ms: float) -> None:
        """Record that a command that was written at that time has a reply now."""
        for incarnation in list(self._closed):
            for grant in self._unsettled.get(incarnation, ()):
                grant.settle_before(written_ms)
            self._settle(incarnation)

    def end_all(self, incarnation: Incarnation) -> None:
        """Record that a server is gone, and its grants with it."""
        self._unsettled.pop(incarnation, None)
        self._closed.discard(incarnation)
        self._settled_ms[incarnation] = self._clock()

    def _settle(self, incarnation: Incarnation) -> None:
        """Move the grants that are settled to the settled expiries."""
        unsettled = []
        for grant in self._unsettled.pop(incarnation, ()):
            grant.settle_before(self._server_reached_ms())
            grant.settle_if_old()
            if not grant.is_settled:
                unsettled.append(grant)
                continue
            earlier_ms = self._settled_ms.get(incarnation, self._default_expires_ms)
            self._settled_ms[incarnation] = max(earlier_ms, grant.expires_ms)
        if unsettled:
            self._unsettled[incarnation] = unsettled
        if not any(grant.is_closed for grant in unsettled):
            self._closed.discard(incarnation)

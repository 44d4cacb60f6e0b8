"""Tracks when the grants that this process has sent expire at the latest.

The TTL of a grant counts from its arrival, which nothing proves for certain: a command
may wait in a queue on its way, and a reply on a kept connection may be an extra one of
an earlier command. So a grant counts as arrived at the latest time at which a command
may arrive after its write.
"""

from collections.abc import Callable, Mapping

from mulberryrelay_kernel.clock import Clock

from .unreachableservers import Incarnation

SLOW_CLOCK_FACTOR = 1.02
"""Factor by which a server's clock may run slower than real time."""
MAX_TRAVEL_MS = 2000.0
"""Time after which a command that was written does not arrive any more.

The kernel gives up data that is unacknowledged for so long.
"""


def grant_end_ms(written_ms: float, grant_ttl_ms: float) -> float:
    """Return when a grant that was written then, or earlier, ends at the latest."""
    return written_ms + MAX_TRAVEL_MS + grant_ttl_ms * SLOW_CLOCK_FACTOR


class SentGrant:
    """A grant that this process sends or has sent."""

    def __init__(self, grant_ttl_ms: float, clock: Clock) -> None:
        self._grant_ttl_ms = grant_ttl_ms
        self._clock = clock
        self._written_ms: float | None = None

    @property
    def written_ms(self) -> float | None:
        """Time at which the command was written; None if it was not."""
        return self._written_ms

    @property
    def expires_ms(self) -> float:
        """Latest expiry of the grant; minus infinity if it was not written."""
        if self._written_ms is None:
            return float("-inf")
        return grant_end_ms(self._written_ms, self._grant_ttl_ms)

    def record_write(self) -> None:
        """Record that the command is written now."""
        self._written_ms = self._clock()


class GrantExpiries:
    """Latest expiry of all grants of each incarnation of a server."""

    def __init__(
        self,
        listed_ms: Mapping[Incarnation, float],
        default_expires_ms: float,
        clock: Clock,
    ) -> None:
        """``listed_ms`` has expiries that earlier leaders stated.

        ``default_expires_ms`` is the latest expiry of their grants to other servers.
        """
        self._ended_ms = dict(listed_ms)
        """Latest expiry of the grants whose commands have ended."""
        self._default_expires_ms = default_expires_ms
        self._clock = clock
        self._in_flight: dict[Incarnation, list[SentGrant]] = {}
        """Grants whose commands have not ended."""

    @property
    def default_expires_ms(self) -> float:
        """Latest expiry of any grant of an earlier leader that is not listed."""
        return self._default_expires_ms

    def latest_ms(self, incarnation: Incarnation) -> float:
        """Return the latest time at which a grant of a server may expire."""
        return self.begun_so_far(incarnation)()

    def begun_so_far(self, incarnation: Incarnation) -> Callable[[], float]:
        """Return a function for the latest expiry of the grants that began until now.

        They may be written later.
        """
        ended_ms = self._ended_ms.get(incarnation, self._default_expires_ms)
        in_flight = tuple(self._in_flight.get(incarnation, ()))
        return lambda: max((ended_ms, *(grant.expires_ms for grant in in_flight)))

    def begin(self, incarnation: Incarnation, grant_ttl_ms: float) -> SentGrant:
        """Add a grant whose command begins now."""
        grant = SentGrant(grant_ttl_ms, self._clock)
        self._in_flight.setdefault(incarnation, []).append(grant)
        return grant

    def end(self, incarnation: Incarnation, grant: SentGrant) -> None:
        """Record that the command of a grant has ended; it is not written any more."""
        in_flight = self._in_flight.get(incarnation, [])
        if grant not in in_flight:
            return
        in_flight.remove(grant)
        if not in_flight:
            del self._in_flight[incarnation]
        ended_ms = self._ended_ms.get(incarnation, self._default_expires_ms)
        self._ended_ms[incarnation] = max(ended_ms, grant.expires_ms)

    def end_all(self, incarnation: Incarnation) -> None:
        """Record that a server is gone, and its grants with it."""
        self._in_flight.pop(incarnation, None)
        self._ended_ms[incarnation] = self._clock()

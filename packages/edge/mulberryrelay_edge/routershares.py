"""What the leader tells a router of sharing the servers with the other routers.

These are its shares of servers without keys and the servers to which requests are
paced. Both hold for a while without a reply of a leader; then the router chooses among
all servers by what it observes itself.
"""

from collections.abc import Callable

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId, ServiceName

from .messages import BackendServer, LeaderReply, PacedServer
from .routerdemand import RouterDemandCounter
from .serverlimits import ServerLimits
from .servershares import Shares

SHARES_TTL_MS = 5000.0
"""Time after the last reply with shares for which they hold.

Longer than it takes to replace a leader and to divide the servers anew.
"""
NO_SHARES: Shares = {}


class RouterShares:
    """The shares in force at this router, and what it reports for them."""

    def __init__(self, limits: ServerLimits, clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self._demand = RouterDemandCounter(clock)
        self._shares: dict[ServiceName, Shares] = {}
        self._applied_ms = float("-inf")

    @property
    def demand(self) -> RouterDemandCounter:
        """The requests of callers, which are reported to the leader."""
        return self._demand

    @property
    def services(self) -> int:
        """Number of services of which this router has shares."""
        return len(self._shares) if self._are_valid else 0

    @property
    def _are_valid(self) -> bool:
        return self._clock() - self._applied_ms < SHARES_TTL_MS

    def shares(self, service: ServiceName) -> Shares:
        """Return this router's shares of a service; empty if it is not divided."""
        if not self._are_valid:
            return NO_SHARES
        return self._shares.get(service, NO_SHARES)

    def apply_shares(self, shares: dict[ServiceName, Shares] | None) -> None:
        """Apply the shares in a leader's reply, if it contains any."""
        if shares is None:
            return
        self._shares = shares
        self._applied_ms = self._clock()

    def apply_paced(
        self,
        paced: tuple[PacedServer, ...],
        find: Callable[[ServerId], BackendServer | None],
    ) -> None:
        """Pace requests to the servers that the leader names."""
        for entry in paced:
            server = find(entry.server)
            if server is not None and server.started_ms == entry.started_ms:
                self._limits.apply_paced(server, entry.per_s)

    def apply_reply(
        self, reply: LeaderReply, find: Callable[[ServerId], BackendServer | None]
    ) -> None:
        """Apply the reply of a leader; ``find`` returns the entry of a server."""
        self.apply_shares(reply.shares)
        self.apply_paced(reply.paced, find)

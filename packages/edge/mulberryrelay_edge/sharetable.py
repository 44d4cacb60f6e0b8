"""The leader's division of servers among the routers (``servershares.py``).

Followers report how many requests callers send to them. The leader divides the servers
of each service without keys by that, and returns each router's shares in its replies.
All of this lives in the leader's memory: a new leader divides anew once the followers
have reported to it, and until then they keep the shares that they have for a while.
"""

from collections.abc import Callable, Mapping, Sequence

import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre, ServiceName
from mulberryrelay_kernel.logs import log_event

from .capacity import ServerCondition
from .messages import BackendServer, RouteTable
from .servershares import RouterDemand, ServerCapacity, Shares, divide_servers

PLAN_PERIOD_MS = 500.0
"""Minimum time between two divisions."""
DEMAND_WEIGHT = 0.3
"""Weight of the newest report in the moving average of a router's demand."""
SILENT_MS = 3000.0
"""Time after its last report from which a router gets no share."""
ROUTERS_PER_SLOT = 4.0
"""Routers per slot of a server from which on servers are divided.

With fewer routers, each one may have a quarter of a request in flight at every server,
and knows their load well enough.
"""
DEFAULT_SERVICE_MS = 150.0
"""Assumed time of a request before the first responses."""
MIN_SLOWDOWN = 0.4
MAX_SLOWDOWN = 4.0
MIN_SLOTS = 0.01
"""Lower bound of a server's capacity, so that it gets a request now and then."""


class _Router(msgspec.Struct):
    """What the leader knows of one router."""

    data_centre: DataCentre
    per_s: dict[ServiceName, float]
    reported_ms: float


def _all_returned(data_centre: DataCentre) -> float:
    """Return that servers get their full load."""
    return 1.0


class ShareTable:
    """Divides servers while this router leads."""

    def __init__(
        self,
        routes: Callable[[], RouteTable | None],
        serving: Callable[[ServiceName], Sequence[BackendServer]],
        service_ms: Callable[[ServiceName], float],
        condition: Callable[[BackendServer], ServerCondition],
        clock: Clock,
        return_share: Callable[[DataCentre], float] = _all_returned,
    ) -> None:
        """``serving`` returns the servers of a service that may get requests.

        ``service_ms`` returns the time of a request on an average server, 0 if unknown,
        and ``condition`` a server's speed and the limit that it is held to.
        ``return_share`` returns which part of their load the servers of a data centre
        get after an evacuation.
        """
        self._routes = routes
        self._serving = serving
        self._service_ms = service_ms
        self._condition = condition
        self._clock = clock
        self._return_share = return_share
        self._routers: dict[str, _Router] = {}
        self._planned_ms = float("-inf")
        self._shares: dict[str, dict[ServiceName, Shares]] = {}

    @property
    def routers(self) -> int:
        """Number of routers that have shares."""
        return len(self._shares)

    def clear(self) -> None:
        """Forget all reports, as another router leads or a term begins."""
        self._routers.clear()
        self._shares.clear()
        self._planned_ms = float("-inf")

    def record(
        self, boot_id: str, data_centre: DataCentre, rates: Mapping[ServiceName, float]
    ) -> None:
        """Record the requests per second that callers send to a router."""
        now_ms = self._clock()
        router = self._routers.get(boot_id)
        if router is None:
            self._routers[boot_id] = _Router(data_centre, dict(rates), now_ms)
            return
        router.reported_ms = now_ms
        for service in {*rates, *router.per_s}:
            known = router.per_s.get(service, 0.0)
            change = rates.get(service, 0.0) - known
            router.per_s[service] = known + DEMAND_WEIGHT * change

    def shares_of(self, boot_id: str) -> dict[ServiceName, Shares]:
        """Return a router's shares by service; services that are not divided lack."""
        now_ms = self._clock()
        if now_ms - self._planned_ms >= PLAN_PERIOD_MS:
            self._planned_ms = now_ms
            self._divide_all(now_ms)
        return self._shares.get(boot_id, {})

    def _divide_all(self, now_ms: float) -> None:
        for boot_id, router in list(self._routers.items()):
            if now_ms - router.reported_ms > SILENT_MS:
                del self._routers[boot_id]
        routes = self._routes()
        shares: dict[str, dict[ServiceName, Shares]] = {}
        for service in routes.services.values() if routes is not None else ():
            if service.is_keyed:
                continue
            servers = self._serving(service.name)
            if not servers or not self._are_many_routers(servers):
                continue
            divided = self._divide(service.name, servers)
            for boot_id, own in divided.items():
                shares.setdefault(boot_id, {})[service.name] = own
        if bool(shares) is not bool(self._shares):
            log_event(
                "servers_divided" if shares else "servers_undivided",
                routers=len(self._routers),
            )
        self._shares = shares

    def _are_many_routers(self, servers: Sequence[BackendServer]) -> bool:
        slots = sum(server.slots for server in servers) / len(servers)
        return len(self._routers) > ROUTERS_PER_SLOT * slots

    def _divide(
        self, service: ServiceName, servers: Sequence[BackendServer]
    ) -> dict[str, Shares]:
        service_s = (self._service_ms(service) or DEFAULT_SERVICE_MS) / 1000
        routers = [
            RouterDemand(
                boot_id, router.data_centre, router.per_s.get(service, 0.0) * service_s
            )
            for boot_id, router in self._routers.items()
        ]
        capacities = [
            ServerCapacity(
                server.server, server.data_centre, self._slots(server, service_s)
            )
            for server in servers
        ]
        return divide_servers(routers, capacities)

    def _slots(self, server: BackendServer, service_s: float) -> float:
        """Return a server's slots by its speed, or by its limit if that is less."""
        condition = self._condition(server)
        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, condition.slowdown))
        slots = server.slots / slowdown
        if condition.limit_per_s is not None:
            slots = min(slots, condition.limit_per_s * service_s)
        return max(MIN_SLOTS, slots * self._return_share(server.data_centre))

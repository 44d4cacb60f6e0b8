"""Decides which servers and routers may get the requests of a restricted route.

A route with ``allowed_regions`` is restricted. Whatever has no known region may not get
its requests.
"""

from collections.abc import Callable

import msgspec

from mulberryrelay_kernel.ids import DataCentre

from .messages import BackendServer, EdgeRequest, RouteTable
from .options import EdgeOptions

PermittedRegions = tuple[str, ...] | None
"""Names of regions; None for all regions, also for unknown ones."""


def is_allowed(region: str, allowed: PermittedRegions) -> bool:
    """Return whether something in a region, empty if unknown, may get requests."""
    return allowed is None or (bool(region) and region in allowed)


def intersection(first: PermittedRegions, second: PermittedRegions) -> PermittedRegions:
    """Return the regions that both allow."""
    if first is None:
        return second
    if second is None:
        return first
    return tuple(region for region in first if region in second)


def are_disjoint(first: PermittedRegions, second: PermittedRegions) -> bool:
    """Return whether no region is allowed by both."""
    return intersection(first, second) == ()


def own_region(options: EdgeOptions) -> str:
    """Return the region of this machine; empty if unknown."""
    return options.region or options.regions.get(options.data_centre, "")


class RegionRules:
    """Which regions may get a request, by the routes and settings in force now."""

    def __init__(
        self,
        options: Callable[[], EdgeOptions],
        routes: Callable[[], RouteTable | None],
    ) -> None:
        self._options = options
        self._routes = routes
        self._table: RouteTable | None = None
        self._restricted: dict[str, PermittedRegions] = {}
        """Allowed regions of the restricted routes in ``_table``, by name."""

    @property
    def has_restricted_routes(self) -> bool:
        """Whether any route is restricted."""
        return bool(self._current())

    def allowed(self, request: EdgeRequest) -> PermittedRegions:
        """Return where a request may be sent, by its own route and the current one.

        The operators may have restricted the route since the request arrived.
        """
        current = self._current().get(request.route.name)
        return intersection(request.route.allowed_regions, current)

    def restricted(self, request: EdgeRequest) -> EdgeRequest:
        """Return a request with the restriction that is in force now."""
        allowed = self.allowed(request)
        if allowed == request.route.allowed_regions:
            return request
        route = msgspec.structs.replace(request.route, allowed_regions=allowed)
        return msgspec.structs.replace(request, route=route)

    def may_get(self, request: EdgeRequest, server: BackendServer) -> bool:
        """Return whether a server may get a request."""
        return self.is_server_allowed(server, self.allowed(request))

    def is_server_allowed(
        self, server: BackendServer, allowed: PermittedRegions
    ) -> bool:
        """Return whether a server is in one of the allowed regions."""
        return is_allowed(self._region_of(server.data_centre), allowed)

    def _region_of(self, data_centre: DataCentre) -> str:
        return self._options().regions.get(data_centre, "")

    def _current(self) -> dict[str, PermittedRegions]:
        table = self._routes()
        if table is not self._table:
            self._table = table
            self._restricted = {}
            for route in table.routes if table is not None else ():
                if route.allowed_regions is None:
                    continue
                known = self._restricted.get(route.name)
                self._restricted[route.name] = intersection(
                    known, route.allowed_regions
                )
        return self._restricted

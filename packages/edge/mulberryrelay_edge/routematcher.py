"""Selects the route of a request and, by weight, the service that handles it."""

from mulberryrelay_kernel.ids import ServiceName

from .messages import Route, RouteTable


class RouteMatcher:
    """Matches routes by host and longest prefix, and splits traffic between services.

    The split is a smooth weighted round robin.
    """

    def __init__(self) -> None:
        self._version = -1
        self._hosts: dict[str, list[Route]] = {}
        self._current_weights: dict[str, dict[ServiceName, float]] = {}

    def match(self, table: RouteTable, host: str, path: str) -> Route | None:
        """Return the route for a host and path, or None if no route matches."""
        if table.version != self._version:
            self._index(table)
        for route in self._hosts.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def pick_service(self, route: Route) -> ServiceName:
        """Return the service for the next request, by smooth weighted round robin."""
        if len(route.shares) == 1:
            return route.shares[0].service
        current_weights = self._current_weights.setdefault(route.name, {})
        total = 0.0
        best = route.shares[0].service
        for share in route.shares:
            total += share.weight
            current_weights[share.service] = (
                current_weights.get(share.service, 0.0) + share.weight
            )
            if current_weights[share.service] > current_weights.get(best, 0.0):
                best = share.service
        current_weights[best] = current_weights.get(best, 0.0) - total
        return best

    def _index(self, table: RouteTable) -> None:
        self._version = table.version
        self._hosts = {}
        self._current_weights = {}
        for route in table.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

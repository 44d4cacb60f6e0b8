"""Finds the servers that may run a request, by its key and the regions of its route."""

from .catalog import Catalog
from .datacentrereach import DataCentreReach
from .messages import BackendServer, EdgeRequest
from .ownership import Ownership
from .queuedrequest import Candidates
from .regions import RegionRules


class RequestCandidates:
    """Finds servers by what this router knows now, whenever it is asked."""

    def __init__(
        self,
        catalog: Catalog,
        ownership: Ownership,
        data_centre_reach: DataCentreReach,
        regions: RegionRules,
    ) -> None:
        self._catalog = catalog
        self._ownership = ownership
        self._data_centre_reach = data_centre_reach
        self._regions = regions

    def find(self, request: EdgeRequest) -> tuple[Candidates, bool]:
        """Return the servers that may run a request, and whether its key matters."""
        is_keyed = self._catalog.is_keyed(request)
        return (self._owner(request) if is_keyed else self._any(request)), is_keyed

    def _any(self, request: EdgeRequest) -> Candidates:
        return lambda: self._data_centre_reach.usable(self._serving(request))

    def _owner(self, request: EdgeRequest) -> Candidates:
        key = request.key
        assert key is not None

        def owner() -> list[BackendServer]:
            key_range = self._ownership.find(request.service, key)
            if key_range is None or key_range.is_moving:
                return []
            server = self._catalog.serving_owner(key_range)
            if server is None or not self._regions.may_get(request, server):
                return []
            return [server]

        return owner

    def _serving(self, request: EdgeRequest) -> list[BackendServer]:
        """Return the servers that may run a request without a key."""
        allowed = self._regions.allowed(request)
        if allowed is None:
            return self._catalog.serving(request.service)
        return self._catalog.serving(
            request.service, lambda s: self._regions.is_server_allowed(s, allowed)
        )

    def are_outside_regions(self, request: EdgeRequest) -> bool:
        """Return whether no server that could run a request may get it.

        If no server is registered, or a key has no owner, there may soon be one.
        """
        allowed = self._regions.allowed(request)
        if allowed is None:
            return False
        if not allowed:
            return True
        servers = self._catalog.servers(request.service)
        if self._catalog.is_keyed(request):
            assert request.key is not None
            key_range = self._ownership.find(request.service, request.key)
            if key_range is None or key_range.is_moving:
                return False
            servers = [s for s in servers if key_range.is_owned_by(s)]
        return bool(servers) and not any(
            self._regions.is_server_allowed(server, allowed) for server in servers
        )

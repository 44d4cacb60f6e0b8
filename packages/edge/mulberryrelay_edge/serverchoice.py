"""Chooses the server for a request, by load, speed, limits and this router's shares.

Among several servers it is the one with the least expected time. Servers in the own
data centre, and those of which this router has a large share, are preferred.
"""

from collections.abc import Callable, Collection, Sequence

from mulberryrelay_kernel.ids import DataCentre, ServerId, ServiceName

from .messages import BackendServer
from .queuedrequest import Candidates, QueuedRequest
from .routershares import RouterShares
from .serverlimits import ServerLimits
from .serverload import ServerLoads

REMOTE_DATA_CENTRE_COST = 0.8
"""Cost added to a server in another data centre."""
COLD_COST_FACTOR = 0.25
"""Factor on the cost of a cold server at which a time is reserved.

An unused time is lost for all routers. So routers in other data centres, to which the
server costs more, reserve times there only if no other server has room. The same holds
for a server that only may be cold.
"""
SMALL_SHARE_COST = 0.5
"""Cost added to a server of which this router has nearly no share."""
MAX_LIMIT_WAIT_MS = 200.0
"""Time ahead for which a send to one of several servers is reserved."""


class ServerChooser:
    """Chooses servers by what this router knows of them."""

    def __init__(
        self,
        data_centre: DataCentre,
        loads: ServerLoads,
        limits: ServerLimits,
        shares: RouterShares,
        states_cold: Callable[[BackendServer], bool],
    ) -> None:
        """``states_cold`` returns whether a server is cold by its own statement."""
        self._data_centre = data_centre
        self._loads = loads
        self._limits = limits
        self._shares = shares
        self._states_cold = states_cold

    def choose(self, queued: QueuedRequest) -> BackendServer | None:
        """Return the server with the lowest cost, or None if all are at capacity."""
        candidates = queued.candidates()
        if queued.is_keyed:
            return self._open_owner(candidates)
        best: BackendServer | None = None
        best_cost = float("inf")
        other_cold: list[BackendServer] = []
        healthy = [s for s in candidates if not self._loads.is_ejected(s)]
        # If more than half of the servers are ejected, the cause is elsewhere.
        eligible = healthy if 2 * len(healthy) >= len(candidates) else candidates
        shares = self._shares.shares(queued.request.service)
        for server in eligible:
            if not self._loads.has_capacity(server):
                continue
            if self._loads.is_unresponsive(server):
                continue
            is_cold = self._limits.is_cold(server)
            states_cold = is_cold and self._states_cold(server)
            is_local = server.data_centre == self._data_centre
            if not self._limits.is_open(server):
                if is_cold and not (states_cold and is_local):
                    other_cold.append(server)
                else:
                    self._want_time(queued, server)
                continue
            cost = self._loads.cost(server)
            if shares:
                cost += SMALL_SHARE_COST * (1.0 - shares.get(server.server, 0.0))
            if states_cold:
                cost *= COLD_COST_FACTOR
            if server.server in queued.avoided:
                # Exceeds the cost of every server that is not avoided.
                cost += 100.0
            if server.data_centre != self._data_centre:
                cost += REMOTE_DATA_CENTRE_COST
            if cost < best_cost:
                best, best_cost = server, cost
        if best is None:
            for server in other_cold:
                self._want_time(queued, server)
        if best is not None and best_cost >= 100.0 and len(eligible) > 1:
            # Wait for a server that is not avoided.
            return None
        return best

    def _open_owner(self, owners: Sequence[BackendServer]) -> BackendServer | None:
        """Return the owner of a key if it may be sent a request now."""
        if not owners:
            return None
        owner = owners[0]
        if not self._limits.is_open(owner):
            return None
        if self._limits.is_paced(owner):
            # The schedule accounts for the requests of all routers.
            return owner
        return owner if self._loads.has_capacity_for_key(owner) else None

    def prefer_own(
        self,
        service: ServiceName,
        candidates: Candidates,
        avoided: Collection[ServerId],
    ) -> Candidates:
        """Return the candidates of which this router has a share, where it has any.

        A request waits for one of them even if it has no room: the others are other
        routers' share, and their load is not known here. All are candidates if none of
        the own ones responds, or if the request was tried there.
        """

        def own_candidates() -> Sequence[BackendServer]:
            servers = candidates()
            shares = self._shares.shares(service)
            if not shares:
                return servers
            own = [
                server
                for server in servers
                if server.server in shares
                and server.server not in avoided
                and not self._loads.is_ejected(server)
                and not self._loads.is_unresponsive(server)
                and not self._loads.pause_ms(server) > 0
            ]
            return own or servers

        return own_candidates

    def _want_time(self, queued: QueuedRequest, server: BackendServer) -> None:
        if not queued.is_preview:
            self._limits.want(server, 1, MAX_LIMIT_WAIT_MS)

"""Divides the servers of a service among the routers, in proportion to their demand.

With many routers, each one sends so few requests to each server that it knows its load
only as of seconds ago, and the sum of their choices overruns some servers while others
idle. Here each router gets few servers, and each server few routers, so that a router's
own requests are a large part of the load it has to know. Subsets of a ring are known
from deterministic aperture load balancing; here the parts follow demand and capacity.

Routers and servers of a data centre lie on a line, routers with the length of their
demand and servers with that of their capacity. A router gets the servers that it
overlaps. Demand beyond the capacity of a data centre goes to the others.
"""

from collections.abc import Mapping, Sequence

import msgspec

from mulberryrelay_kernel.ids import DataCentre, ServerId

MAX_LOCAL_UTILISATION = 0.7
"""Utilisation up to which the requests of a data centre stay inside it."""
BALANCE_TOLERANCE = 1.15
"""Utilisation of a data centre, relative to the mean, up to which it keeps its own."""
MIN_SERVERS = 2
"""Servers that a router gets at least; further ones have the smallest share."""
SPARE_SHARE = 0.02
"""Share of a server that a router gets beyond its own demand."""
MIN_DEMAND = 1e-3
"""Demand of a router without requests, which may get some at any time."""
EPSILON = 1e-9


class RouterDemand(msgspec.Struct, frozen=True):
    """A router and the requests that callers send to it for a service."""

    boot_id: str
    data_centre: DataCentre
    slots: float
    """Slots of a server of average speed that its requests occupy."""


class ServerCapacity(msgspec.Struct, frozen=True):
    """A server that runs requests without a key."""

    server: ServerId
    data_centre: DataCentre
    slots: float
    """Its slots, multiplied by its speed."""


Shares = dict[ServerId, float]
"""The part of each server that one router gets; 1 is the whole server."""


def divide_servers(
    routers: Sequence[RouterDemand], servers: Sequence[ServerCapacity]
) -> dict[str, Shares]:
    """Return the shares of each router, by its boot id."""
    routers = sorted(routers, key=lambda router: router.boot_id)
    by_centre: dict[DataCentre, list[ServerCapacity]] = {}
    for server in sorted(servers, key=lambda server: server.server):
        by_centre.setdefault(server.data_centre, []).append(server)
    if not by_centre:
        return {}
    shares: dict[str, Shares] = {router.boot_id: {} for router in routers}
    for centre, demands in _place_demand(routers, by_centre).items():
        _divide_line(demands, by_centre[centre], shares)
    return shares


def _place_demand(
    routers: Sequence[RouterDemand],
    by_centre: Mapping[DataCentre, list[ServerCapacity]],
) -> dict[DataCentre, list[tuple[str, float]]]:
    """Return which routers send how much to the servers of each data centre."""
    capacity = {
        centre: sum(server.slots for server in servers)
        for centre, servers in by_centre.items()
    }
    total = sum(max(MIN_DEMAND, router.slots) for router in routers)
    mean = total / max(EPSILON, sum(capacity.values()))
    utilisation = max(MAX_LOCAL_UTILISATION, BALANCE_TOLERANCE * mean)
    room = {centre: utilisation * slots for centre, slots in capacity.items()}
    placed: dict[DataCentre, list[tuple[str, float]]] = {c: [] for c in by_centre}
    excess: list[tuple[str, float]] = []
    for router in routers:
        slots = max(MIN_DEMAND, router.slots)
        local = min(slots, max(0.0, room.get(router.data_centre, 0.0)))
        if local > EPSILON:
            placed[router.data_centre].append((router.boot_id, local))
            room[router.data_centre] -= local
        if slots - local > EPSILON:
            excess.append((router.boot_id, slots - local))
    for boot_id, slots in excess:
        while slots > EPSILON:
            centre = max(room, key=lambda name: room[name])
            taken = min(slots, room[centre]) if room[centre] > EPSILON else slots
            placed[centre].append((boot_id, taken))
            room[centre] -= taken
            slots -= taken
    return placed


def _divide_line(
    demands: Sequence[tuple[str, float]],
    servers: Sequence[ServerCapacity],
    shares: dict[str, Shares],
) -> None:
    """Add the shares of the servers of one data centre."""
    if not demands:
        return
    scale = sum(server.slots for server in servers) / sum(d for _, d in demands)
    position = 0
    left = servers[0].slots
    for boot_id, demand in demands:
        needed = demand * scale
        own = shares[boot_id]
        first = position
        while needed > EPSILON:
            taken = min(needed, left)
            server = servers[position]
            own[server.server] = own.get(server.server, 0.0) + taken / server.slots
            needed -= taken
            left -= taken
            if left > EPSILON or position + 1 >= len(servers):
                break
            position += 1
            left = servers[position].slots
        _add_spares(own, servers, first)


def _add_spares(own: Shares, servers: Sequence[ServerCapacity], first: int) -> None:
    """Add servers next to a router's own ones if it has few."""
    for step in range(1, len(servers)):
        if len(own) >= MIN_SERVERS:
            return
        spare = servers[(first + step) % len(servers)].server
        own.setdefault(spare, SPARE_SHARE)

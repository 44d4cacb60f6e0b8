"""Capacity of the servers of a keyed service, for deciding which keys each one owns."""

from collections.abc import Sequence

import msgspec

from .keyload import KeySample
from .messages import BackendServer

MIN_SLOWDOWN = 0.4
"""Lower bound of a server's relative service time."""
MAX_SLOWDOWN = 2.5
"""Upper bound of a server's relative service time."""
USED_LIMIT_SHARE = 0.7
"""Part of its stated limit for which a server gets keys.

The rest is for requests that arrive unevenly.
"""
MAX_KEPT_COLD_MS = 10_000.0
"""Time left of a server's coldness up to which it keeps its keys.

Moving keys away and back would take longer, and each move interrupts their requests.
"""
MIN_SLOTS = 0.001
"""Lower bound of a capacity, so that any load relative to it is finite."""


class ServerCondition(msgspec.Struct, frozen=True):
    """What is observed of a server beside its load."""

    slowdown: float = 1.0
    """Service time relative to what is usual."""
    limit_per_s: float | None = None
    """Requests per second that it takes from all routers, if it states a limit."""
    cold_limit_per_s: float | None = None
    """Requests per second that it takes for a short time, as it is cold."""


def combined_condition(
    own: ServerCondition, slowdown: float | None, limit_per_s: float | None
) -> ServerCondition:
    """Return the condition of a server by what all routers observed.

    ``own`` is what this router observed. The speed of all routers' responses replaces
    its own; of the limits, its own is at least as new.
    """
    return ServerCondition(
        own.slowdown if slowdown is None else slowdown,
        limit_per_s if own.limit_per_s is None else own.limit_per_s,
    )


def with_cold_limit(
    condition: ServerCondition, cold_per_s: float | None, left_ms: float
) -> ServerCondition:
    """Return the condition of a server that is cold for some time.

    ``cold_per_s`` is how many requests it takes, or None if it is warm.
    """
    if cold_per_s is None:
        return condition
    if left_ms <= MAX_KEPT_COLD_MS:
        return msgspec.structs.replace(condition, cold_limit_per_s=cold_per_s)
    if condition.limit_per_s is not None:
        cold_per_s = min(cold_per_s, condition.limit_per_s)
    return msgspec.structs.replace(condition, limit_per_s=cold_per_s)


class Capacity(msgspec.Struct, frozen=True):
    """A server that may own keys, and its capacity."""

    server: BackendServer
    share: float
    """Load that it is to get, relative to other servers; above 0."""
    slots: float
    """Its capacity, as a number of slots of a server of average speed; above 0."""
    keeps_keys: bool = False
    """Whether it keeps the keys that it has, even if they exceed its share."""


def capacities(
    servers: Sequence[tuple[BackendServer, ServerCondition]], sample: KeySample
) -> list[Capacity]:
    """Return the capacities of the servers of a service.

    While slots are free, fast servers get more than their proportional share of the
    load, because requests finish sooner there. A server that states a limit gets no
    more than its limit permits, once it is known how long a request takes. One that is
    cold for a short time gets few more keys, but keeps those that it has.
    """
    speeds = [_speed(condition) for _, condition in servers]
    slots = sum(
        server.slots * speed for (server, _), speed in zip(servers, speeds, strict=True)
    )
    utilisation = len(sample.keys) * sample.slots_per_key / max(1.0, slots)
    exponent = 1.0 + max(0.0, 1.0 - utilisation)
    result = []
    for (server, condition), speed in zip(servers, speeds, strict=True):
        share = server.slots * speed**exponent
        max_slots = server.slots * speed
        for limit_per_s in (condition.limit_per_s, condition.cold_limit_per_s):
            if limit_per_s is None or sample.service_ms <= 0:
                continue
            limited_slots = limit_per_s * sample.service_ms / 1000
            max_slots = min(max_slots, limited_slots)
            share = min(share, USED_LIMIT_SHARE * limited_slots)
        result.append(
            Capacity(
                server,
                max(MIN_SLOTS, share),
                max(MIN_SLOTS, max_slots),
                condition.cold_limit_per_s is not None,
            )
        )
    return result


def _speed(condition: ServerCondition) -> float:
    """Return the speed of a server; 1 is usual."""
    return 1.0 / max(MIN_SLOWDOWN, min(MAX_SLOWDOWN, condition.slowdown))

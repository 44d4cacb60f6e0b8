"""Ends grants by ranges that a restore of the store has lost.

A leader that takes over after a restore cannot trust the ranges in the store: later
moves are missing. It first revokes from every server the keys that the server is not
known to own. Then each key has at most its known owner, and grants may be renewed
without waiting until the lost ones have expired.
"""

import asyncio
from collections.abc import Sequence

import msgspec

from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event

from .grants import GrantManager
from .messages import LAST_KEY, BackendServer
from .rangeedits import Ranges, first_fence
from .unreachableservers import Incarnation


class KeyInterval(msgspec.Struct, frozen=True):
    """Keys from ``first`` to ``last``, both included."""

    first: int
    last: int


def keys_of_others(ranges: Ranges, server: BackendServer) -> list[KeyInterval]:
    """Return the keys that a server does not own according to the ranges."""
    intervals: list[KeyInterval] = []
    first = 0
    for key_range in ranges:
        if not key_range.is_owned_by(server):
            continue
        if first < key_range.first:
            intervals.append(KeyInterval(first, key_range.first - 1))
        first = key_range.last + 1
    if first <= LAST_KEY:
        intervals.append(KeyInterval(first, LAST_KEY))
    return intervals


class LostGrants:
    """Revokes lost grants of the services during one term."""

    def __init__(self, grants: GrantManager) -> None:
        self._grants = grants
        self._revoked: set[tuple[ServiceName, Incarnation]] = set()
        """Servers that have no grant by lost ranges any more."""

    async def revoke(
        self,
        service: ServiceName,
        ranges: Ranges,
        servers: Sequence[BackendServer],
        restores: int,
    ) -> bool:
        """Revoke from each server the keys that it does not own; return if all did.

        ``ranges`` must stay the same in a term, as servers that have confirmed are not
        asked again.

        Raises:
            TermEndedError: the term ended first.
        """
        left = [server for server in servers if not self._is_revoked(service, server)]
        tasks = [
            self._revoke_from(service, server, keys_of_others(ranges, server), restores)
            for server in left
        ]
        confirmed = sum(await asyncio.gather(*tasks))
        log_event(
            "lost_grants_revoked",
            service=service,
            restores=restores,
            servers=len(servers),
            missing=len(left) - confirmed,
        )
        return confirmed == len(left)

    def _is_revoked(self, service: ServiceName, server: BackendServer) -> bool:
        return (service, (server.server, server.started_ms)) in self._revoked

    async def _revoke_from(
        self,
        service: ServiceName,
        server: BackendServer,
        intervals: list[KeyInterval],
        restores: int,
    ) -> bool:
        # Above all fencing tokens of before the restore, below all later ones.
        fence = first_fence(restores) - 1
        for keys in intervals:
            if not await self._grants.revoke(server, keys.first, keys.last, fence):
                return False
        self._revoked.add((service, (server.server, server.started_ms)))
        return True

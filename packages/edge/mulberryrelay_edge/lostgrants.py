"""Ends grants by ranges that a restore of the store has lost.

A leader that takes over after a restore cannot trust the ranges in the store: later
moves are missing. It first revokes from every server the keys that the server is not
known to own. Then each key has at most its known owner, and grants may be renewed
without waiting until the lost ones have expired.

A server that is silent may still have a lost grant. Keys that were moved to it were
released from their known owner first, at a higher fencing token. So owners that accept
a renewal at the token that is known prove that their keys were not moved.
"""

import asyncio
from collections.abc import Sequence

import msgspec
from returns.result import Failure

from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event

from .adapter import CommandRefused
from .grants import GrantManager
from .messages import LAST_KEY, BackendServer, KeyRange
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
        self._moved: set[ServiceName] = set()
        """Services of which a server refused a renewal, as keys were moved from it."""

    async def revoke(
        self,
        service: ServiceName,
        ranges: Ranges,
        servers: Sequence[BackendServer],
        restores: int,
    ) -> list[BackendServer]:
        """Revoke from each server the keys that it does not own.

        Returns the servers that did not confirm it. ``ranges`` must stay the same in a
        term, as servers that have confirmed are not asked again.

        Raises:
            TermEndedError: the term ended first.
        """
        left = [server for server in servers if not self._is_revoked(service, server)]
        tasks = [
            self._revoke_from(service, server, keys_of_others(ranges, server), restores)
            for server in left
        ]
        await asyncio.gather(*tasks)
        silent = [server for server in left if not self._is_revoked(service, server)]
        log_event(
            "lost_grants_revoked",
            service=service,
            restores=restores,
            servers=len(servers),
            silent=len(silent),
        )
        return silent

    async def confirm_owners(
        self,
        service: ServiceName,
        ranges: Ranges,
        silent: Sequence[BackendServer],
        grant_ttl_ms: float,
    ) -> bool:
        """Renew all grants of servers that are not silent; return if none was refused.

        Raises:
            TermEndedError: the term ended first.
        """
        if service in self._moved:
            return False
        tasks = []
        for key_range in ranges:
            if key_range.is_moving or any(map(key_range.is_owned_by, silent)):
                continue
            tasks.append(self._confirm_owner(service, key_range, grant_ttl_ms))
        if all(await asyncio.gather(*tasks)):
            return True
        self._moved.add(service)
        return False

    def _is_revoked(self, service: ServiceName, server: BackendServer) -> bool:
        return (service, (server.server, server.started_ms)) in self._revoked

    async def _revoke_from(
        self,
        service: ServiceName,
        server: BackendServer,
        intervals: list[KeyInterval],
        restores: int,
    ) -> None:
        # Above all fencing tokens of before the restore, below all later ones.
        fence = first_fence(restores) - 1
        for keys in intervals:
            if not await self._grants.revoke(server, keys.first, keys.last, fence):
                return
        self._revoked.add((service, (server.server, server.started_ms)))

    async def _confirm_owner(
        self, service: ServiceName, key_range: KeyRange, grant_ttl_ms: float
    ) -> bool:
        """Return False if the owner has seen a higher fencing token."""
        result = await self._grants.renew(service, key_range, grant_ttl_ms)
        if not isinstance(result, Failure):
            return True
        if not isinstance(result.failure(), CommandRefused):
            # The range waits like those of other silent owners.
            return True
        log_event(
            "lost_move_found",
            service=service,
            first=key_range.first,
            last=key_range.last,
            server=key_range.owner,
            fence=key_range.fence,
        )
        return False

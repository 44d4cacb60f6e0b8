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

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event

from .adapter import CommandRefused
from .grants import GrantManager
from .knownservers import KnownServers
from .lease import LeaderLease
from .messages import LAST_KEY, BackendServer, KeyRange
from .ownership import Ownership
from .rangeedits import Ranges, first_fence, replace_after_restore
from .rangestore import RangeStore
from .unreachableservers import Incarnation

RETRY_S = 0.1
"""Pause before servers that did not confirm to have no lost grant are asked again."""


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
    """Ends the lost grants of each service during one term."""

    def __init__(
        self,
        lease: LeaderLease,
        ranges: RangeStore,
        grants: GrantManager,
        known_servers: KnownServers,
        ownership: Ownership,
        clock: Clock,
    ) -> None:
        """``ownership`` has the ranges that were known before the restore."""
        self._lease = lease
        self._ranges = ranges
        self._grants = grants
        self._known_servers = known_servers
        self._ownership = ownership
        self._clock = clock
        self._waiting: set[ServiceName] = set()
        """Services whose lost grants have to expire."""
        self._revoked: set[tuple[ServiceName, Incarnation]] = set()
        """Servers that have no lost grant any more."""
        self._moved: set[ServiceName] = set()
        """Services of which an owner refused a renewal, as keys were moved from it."""

    async def end(self, service: ServiceName, grant_ttl_ms: float) -> None:
        """Try to end the lost grants of a service; has to be called until they ended.

        The service's ranges are up to date then.

        Raises:
            TermEndedError: the term ended first.
        """
        # They stay the same during the term, since the store has only older ones.
        ranges = self._ownership.ranges(service)
        if await self._have_ended(service, ranges, grant_ttl_ms):
            await self._replace_outdated_ranges(service, ranges)
            return
        await asyncio.sleep(RETRY_S)

    async def _have_ended(
        self, service: ServiceName, ranges: Ranges, grant_ttl_ms: float
    ) -> bool:
        left_ms = self._grants.default_expires_ms - self._clock()
        if left_ms <= 0:
            return True
        is_known = self._ownership.is_from_before(service, self._lease.restores)
        if not ranges or not is_known:
            self._log_wait(service, left_ms)
            return False
        if await self._have_only_owners_grants(service, ranges, grant_ttl_ms):
            return True
        self._log_wait(service, left_ms)
        return False

    async def _have_only_owners_grants(
        self, service: ServiceName, ranges: Ranges, grant_ttl_ms: float
    ) -> bool:
        """Return whether no server has a grant of a key that another one owns.

        The owners are asked as well unless all other servers have confirmed it, since a
        key is moved only after its owner has released it. They may have missed the
        release if they were silent, so one kind of doubt remains allowed, not two.
        """
        restores = self._lease.restores
        servers = self._known_servers.possible_owners(service, restores)
        knew_all = self._known_servers.knew_all_before(restores)
        silent = await self._revoke(service, ranges, servers, restores)
        if knew_all and not silent:
            return True
        if silent and not knew_all:
            return False
        return await self._confirm_owners(service, ranges, silent, grant_ttl_ms)

    async def _revoke(
        self,
        service: ServiceName,
        ranges: Ranges,
        servers: Sequence[BackendServer],
        restores: int,
    ) -> list[BackendServer]:
        """Revoke from each server the keys that it does not own.

        Returns the servers that did not confirm it. Those that have confirmed are not
        asked again.
        """
        left = [server for server in servers if not self._is_revoked(service, server)]
        tasks = [
            self._revoke_from(service, server, keys_of_others(ranges, server), restores)
            for server in left
        ]
        await asyncio.gather(*tasks)
        silent = [server for server in left if not self._is_revoked(service, server)]
        if len(silent) < len(left):
            log_event(
                "lost_grants_revoked",
                service=service,
                restores=restores,
                servers=len(servers),
                silent=len(silent),
            )
        return silent

    async def _confirm_owners(
        self,
        service: ServiceName,
        ranges: Ranges,
        silent: Sequence[BackendServer],
        grant_ttl_ms: float,
    ) -> bool:
        """Renew all grants of servers that are not silent; return if none was refused.

        A refusal is final: the service is not asked again in this term.
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

    async def _replace_outdated_ranges(
        self, service: ServiceName, known: Ranges
    ) -> None:
        restores = self._lease.restores
        await self._ranges.update(service, replace_after_restore(known, restores))
        self._ranges.mark_current(service)
        log_event("lost_grants_ended", service=service, restores=restores)

    def _log_wait(self, service: ServiceName, left_ms: float) -> None:
        if service in self._waiting:
            return
        self._waiting.add(service)
        log_event(
            "lost_grants_wait",
            service=service,
            restores=self._lease.restores,
            ranges=len(self._ranges.ranges(service)),
            left_ms=round(left_ms),
        )

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

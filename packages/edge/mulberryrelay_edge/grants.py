"""Sends grants and releases of key ranges to servers, and tracks when grants expire.

Only the leader uses it. A range whose owner does not confirm its release is granted to
another server only after the owner's last grant has expired.
"""

import asyncio
from typing import TypeVar

from returns.result import Failure, Result, Success

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event

from .adapter import (
    CommandFailure,
    CommandMisdirected,
    CommandNotSent,
    CommandUnanswered,
    Continuity,
    ServerCommands,
)
from .catalog import Catalog
from .grantexpiries import GrantExpiries, SentGrant, grant_end_ms
from .knownservers import KnownServers
from .lease import LeaderLease
from .messages import BackendServer, KeyRange
from .rangeedits import GRANT_STEP, RELEASE_STEP
from .unreachableservers import Incarnation

T = TypeVar("T")

MIN_RENEWAL_PERIOD_MS = 800.0
"""Minimum time between two renewals of the same grant."""
RENEWAL_SPACING_MS = 4.0
"""Minimum mean time between two renewals, so that the leader has time for requests."""
TAKEOVER_ALLOWANCE_MS = 4200.0
"""Time that grants outlast the renewal period, for a takeover by the next leader."""
RETRY_S = 0.1
"""Pause before a failed release is retried."""
MIN_RELEASE_TIMEOUT_S = 0.2
"""Minimum timeout of a release, also after the owner's grant has expired."""
MAX_WRITE_DELAY_MS = 500.0
"""Time after which a grant that is not written is given up.

What it is based on may have changed since, such as the server at its address.
"""
MIN_RESTART_MS = 1000.0
"""Minimum duration of a server restart.

A server that confirmed a grant less than this ago cannot have restarted since, so a
failed command does not make it unreachable. Nor does a server without keys have its
address yet.
"""


def renewal_period_ms(ranges: int) -> float:
    """Return the period in which the grant of each of this many ranges is renewed."""
    return max(MIN_RENEWAL_PERIOD_MS, RENEWAL_SPACING_MS * ranges)


def normal_grant_ttl_ms(period_ms: float, max_grant_ttl_ms: float) -> float:
    """Return the grant TTL that fits a renewal period."""
    return min(max_grant_ttl_ms, period_ms + TAKEOVER_ALLOWANCE_MS)


class GrantManager:
    """Grants, releases and probes that this process sends during one term as leader."""

    def __init__(
        self,
        commands: ServerCommands,
        catalog: Catalog,
        known_servers: KnownServers,
        max_grant_ttl_ms: float,
        lease: LeaderLease,
        clock: Clock,
    ) -> None:
        self._commands = commands
        self._catalog = catalog
        self._known_servers = known_servers
        self._max_grant_ttl_ms = max_grant_ttl_ms
        self._lease = lease
        self._clock = clock
        self._unreachable_servers = lease.unreachable_servers
        listed_ms = self._unreachable_servers.grant_expiries_ms
        self._expiries = GrantExpiries(
            listed_ms,
            grant_end_ms(lease.previous_leader_end_ms, max_grant_ttl_ms),
            clock,
        )
        self._unreachable_since_ms = dict.fromkeys(listed_ms, clock())
        self._confirmed_ms: dict[Incarnation, float] = {}
        """Time at which the last grant that a server confirmed was written."""
        self._written_ms: dict[Incarnation, float] = {}
        """Time at which the last grant to a server was written to a connection."""
        self._continuities: dict[Incarnation, Continuity] = {}
        """Continuity of the connections since the fences of a server were raised."""

    def last_entry(self, incarnation: Incarnation) -> BackendServer | None:
        """Return the last known entry of an incarnation of a server."""
        entry = self._catalog.server(incarnation[0])
        if entry is not None and entry.started_ms == incarnation[1]:
            return entry
        return self._known_servers.entry(incarnation)

    @property
    def default_expires_ms(self) -> float:
        """Latest expiry of any grant of an earlier leader that is not listed."""
        return self._expiries.default_expires_ms

    def grant_expires_ms(self, incarnation: Incarnation) -> float:
        """Return the latest time at which a grant of a server may expire."""
        return self._expiries.latest_ms(incarnation)

    def is_unreachable(self, incarnation: Incarnation) -> bool:
        """Return whether a command got no reply and the server is not reachable again.

        The servers that the previous leader listed in the lease count as well.
        """
        return incarnation in self._unreachable_since_ms

    def is_lost(self, incarnation: Incarnation) -> bool:
        """Return whether a server is unreachable and all its grants have expired."""
        return self.is_unreachable(
            incarnation
        ) and self._clock() >= self.grant_expires_ms(incarnation)

    def may_have_ended(self, incarnation: Incarnation) -> bool:
        """Return whether another process may be at a server's address by now.

        The server gets no grants until ``mark_fences_raised``.
        """
        continuity = self._continuities.get(incarnation)
        return continuity is not None and continuity.is_broken

    def mark_fences_raised(self, incarnation: Incarnation) -> None:
        """Allow grants to a server over new connections, at its raised fences."""
        self._continuities.pop(incarnation, None)

    def continuity(self, incarnation: Incarnation) -> Continuity | None:
        """Return the connections over which a server gets grants at its fences.

        Returns None if the address of the server is not known.
        """
        server = self.last_entry(incarnation)
        return None if server is None else self._continuity(server)

    def _continuity(self, server: BackendServer) -> Continuity:
        incarnation = (server.server, server.started_ms)
        current = self._commands.continuity(server)
        return self._continuities.setdefault(incarnation, current)

    async def renew(
        self, service: ServiceName, key_range: KeyRange, grant_ttl_ms: float
    ) -> Result[None, CommandFailure]:
        """Renew the grant of a range that is not moving to its owner."""
        server = self.last_entry((key_range.owner, key_range.owner_started_ms))
        if server is None:
            return Failure(CommandNotSent("address of the server is not known"))
        return await self._grant(
            service, server, key_range, key_range.fence, grant_ttl_ms, None
        )

    async def probe(self, incarnation: Incarnation, health_path: str) -> bool:
        """Return whether an unreachable server answers again.

        The server stays unreachable until ``mark_reachable``: it may have restarted
        meanwhile, so its fencing tokens have to be raised before the next grant.
        """
        server = self.last_entry(incarnation)
        if server is None:
            return False
        result = await self._commands.probe(server, health_path)
        if isinstance(result, Success):
            return True
        self._record_failure(server, result.failure())
        return False

    async def mark_reachable(self, incarnation: Incarnation) -> None:
        """Allow grants to a server again, after its fencing tokens were raised."""
        self._lease.renew_soon()
        await self._unreachable_servers.remove(incarnation)
        self.mark_fences_raised(incarnation)
        self._unreachable_since_ms.pop(incarnation, None)
        log_event("server_answers_orders", server=incarnation[0])

    def _record_failure(self, server: BackendServer, failure: CommandFailure) -> None:
        incarnation = (server.server, server.started_ms)
        if isinstance(failure, CommandMisdirected):
            # The server is gone for good, since another one has its address.
            self._expiries.end_all(incarnation)
            self._catalog.mark_replaced(server, failure.responder)
            return
        if isinstance(failure, CommandUnanswered):
            self._record_silence(server, failure.error)

    def _is_recently_confirmed(self, incarnation: Incarnation) -> bool:
        """Return whether a server cannot have ended since it confirmed a grant."""
        confirmed_ms = self._confirmed_ms.get(incarnation, float("-inf"))
        return self._clock() - confirmed_ms < MIN_RESTART_MS

    def _without_doubtful_end(
        self, server: BackendServer, result: Result[T, CommandFailure]
    ) -> Result[T, CommandFailure]:
        """Return a result that calls no server gone which was there just before.

        A response under another id is always believed.
        """
        if isinstance(result, Success):
            return result
        failure = result.failure()
        if not isinstance(failure, CommandMisdirected) or failure.responder:
            return result
        if not self._is_recently_confirmed((server.server, server.started_ms)):
            return result
        log_event("server_end_doubted", server=server.server)
        return Failure(CommandUnanswered("a server without keys, after a confirmation"))

    def _record_silence(self, server: BackendServer, error: str) -> None:
        incarnation = (server.server, server.started_ms)
        if self._is_recently_confirmed(incarnation):
            return
        if self.is_unreachable(incarnation):
            return
        self._unreachable_since_ms[incarnation] = self._clock()
        expires_ms = self.grant_expires_ms(incarnation)
        self._unreachable_servers.add(incarnation, expires_ms)
        log_event(
            "server_silent",
            server=server.server,
            service=server.service,
            error=error,
            hold_left_ms=round(expires_ms - self._clock()),
            written_ms_ago=self._written_ms_ago(incarnation),
        )

    def _written_ms_ago(self, incarnation: Incarnation) -> int | None:
        """Return the age of the last grant that was written; None if there is none."""
        written_ms = self._written_ms.get(incarnation)
        return None if written_ms is None else round(self._clock() - written_ms)

    async def wait_released(
        self, service: ServiceName, key_range: KeyRange
    ) -> str | None:
        """Wait until the owner of a moving range can no longer run requests for it.

        Returns the handover token for the next owner, or None if there is none: the
        owner returned none or did not confirm the release.
        """
        incarnation = (key_range.owner, key_range.owner_started_ms)
        if not key_range.owner:
            return None
        latest_expiry_ms = self._expiries.begun_so_far(incarnation)
        was_sent = False
        while True:
            await self._lease.wait_sendable()
            left_ms = latest_expiry_ms() - self._clock()
            if left_ms <= 0 and was_sent:
                log_event(
                    "hold_ran_out",
                    service=service,
                    first=key_range.first,
                    last=key_range.last,
                    server=key_range.owner,
                    fence=key_range.fence,
                )
                return None
            server = self.last_entry(incarnation)
            if server is None:
                was_sent = True
                await asyncio.sleep(max(0.0, min(RETRY_S, left_ms / 1000)))
                continue
            # Send the release even after the grant has expired: the server may still
            # be about to apply an older grant.
            fence = key_range.fence + RELEASE_STEP
            result: Result[str | None, CommandFailure]
            try:
                async with asyncio.timeout(max(MIN_RELEASE_TIMEOUT_S, left_ms / 1000)):
                    result = await self._commands.release(
                        server,
                        key_range.first,
                        key_range.last,
                        fence,
                        self._may_send,
                    )
            except TimeoutError:
                was_sent = True
                continue
            result = self._without_doubtful_end(server, result)
            if isinstance(result, Success):
                handover_token: str | None = result.unwrap()
                return handover_token
            self._record_failure(server, result.failure())
            if isinstance(result.failure(), CommandMisdirected):
                return None
            if not isinstance(result.failure(), CommandNotSent):
                was_sent = True
            log_event(
                "release_failed",
                service=service,
                first=key_range.first,
                last=key_range.last,
                server=key_range.owner,
                fence=fence,
                error=str(result.failure()),
                left_ms=round(left_ms),
            )
            await asyncio.sleep(max(0.0, min(RETRY_S, left_ms / 1000)))

    async def revoke(
        self, server: BackendServer, first: int, last: int, fence: int
    ) -> bool:
        """Release keys from a server that may have a lost grant of them.

        Returns whether the server has no such grant any more.

        Raises:
            TermEndedError: the term ended first.
        """
        await self._lease.wait_sendable()
        result = await self._commands.release(
            server, first, last, fence, self._may_send
        )
        result = self._without_doubtful_end(server, result)
        if isinstance(result, Success):
            return True
        self._record_failure(server, result.failure())
        return isinstance(result.failure(), CommandMisdirected)

    async def grant_to_next_owner(
        self,
        service: ServiceName,
        key_range: KeyRange,
        grant_ttl_ms: float,
        handover_token: str | None,
    ) -> Result[None, CommandFailure]:
        """Grant a moving range to its next owner."""
        server = self.last_entry((key_range.next_owner, key_range.next_started_ms))
        if server is None:
            return Failure(CommandNotSent("address of the server is not known"))
        fence = key_range.fence + GRANT_STEP
        return await self._grant(
            service, server, key_range, fence, grant_ttl_ms, handover_token
        )

    async def _grant(
        self,
        service: ServiceName,
        server: BackendServer,
        key_range: KeyRange,
        fence: int,
        grant_ttl_ms: float,
        handover_token: str | None,
    ) -> Result[None, CommandFailure]:
        incarnation = (server.server, server.started_ms)
        if self._is_barred(incarnation):
            return Failure(CommandNotSent("the server is unreachable"))
        continuity = self._continuity(server)
        if continuity.is_broken:
            return Failure(CommandNotSent("the server may have ended"))
        self._known_servers.record(server)
        grant_ttl_ms = min(grant_ttl_ms, self._max_grant_ttl_ms)
        begun_ms = self._clock()
        grant = self._expiries.begin(incarnation, grant_ttl_ms)

        def may_write() -> bool:
            if self._is_barred(incarnation) or not self._may_send():
                return False
            if continuity.is_broken:
                return False
            if self._clock() - begun_ms > MAX_WRITE_DELAY_MS:
                return False
            grant.record_write()
            self._written_ms[incarnation] = self._clock()
            return True

        try:
            result = await self._commands.grant(
                server,
                key_range.first,
                key_range.last,
                fence,
                grant_ttl_ms,
                handover_token,
                may_write,
            )
            result = self._without_doubtful_end(server, result)
        finally:
            self._expiries.end(incarnation, grant)
        if isinstance(result, Success):
            self._record_confirmation(incarnation, grant)
        else:
            self._record_failure(server, result.failure())
        return result

    def _record_confirmation(self, incarnation: Incarnation, grant: SentGrant) -> None:
        if grant.written_ms is not None:
            self._confirmed_ms[incarnation] = grant.written_ms

    def _is_barred(self, incarnation: Incarnation) -> bool:
        """Return whether a server gets no grants, as its last expiry may be listed."""
        if self.is_unreachable(incarnation):
            return True
        return self._unreachable_servers.is_listed(incarnation)

    def _may_send(self) -> bool:
        return self._lease.may_send

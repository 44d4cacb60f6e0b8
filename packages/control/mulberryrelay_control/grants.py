"""Sends grants to backend servers: time-limited permissions to serve units.

One task per server grants, renews and revokes its units. The list of a server has the
units that the stored assignment gives to it and that no move has revoked. Each command
contains the unconfirmed changes of the list and a digest of the whole list, so that
both sides detect a difference.
"""

import asyncio
from collections.abc import Callable, Iterable
from enum import Enum

import aiohttp
import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.decoding import decode_json
from mulberryrelay_kernel.hashing import grants_digest
from mulberryrelay_kernel.httpclient import read_body
from mulberryrelay_kernel.ids import (
    BootId,
    Epoch,
    InstanceId,
    ServerId,
    Term,
    UnitId,
)
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import GrantedUnit, GrantReply, GrantRequest
from mulberryrelay_kernel.options import Options

from .lease import CoordinatorLease
from .membership import Server

# Period of the commands that ask whether a revocation has finished. Requests for a
# moving key wait for it.
REVOCATION_POLL_MS = 5.0
# Pause before a failed command is retried.
RETRY_DELAY_MS = 25.0
# Maximum length of a server's reply to a command.
MAX_REPLY_BYTES = 1_048_576
# Number of servers whose renewals are sent together. A command takes about 0.1 ms of
# processor time, so that a group blocks the event loop for a few milliseconds.
RENEWAL_GROUP_SIZE = 32
# Offset between the renewals of successive groups.
RENEWAL_GROUP_SPACING_MS = 10.0


class ServerGrants:
    """The wanted and the confirmed list of one server's units, and its revocations."""

    def __init__(self, phase_ms: float = 0.0) -> None:
        self._phase_ms = phase_ms
        self._wanted: dict[UnitId, Epoch] = {}
        self._confirmed: dict[UnitId, Epoch] = {}
        self._revoking: dict[UnitId, Epoch] = {}
        self._released: set[tuple[UnitId, Epoch]] = set()
        # Digest of the wanted list; None if the list has changed since.
        self._digest: str | None = None
        self._needs_full = True
        self._sequence = 0
        self._server_clock_ms: int | None = None
        self._clock_reading_received_ms = 0.0
        self._boot_id: BootId | None = None
        self._woken = asyncio.Event()
        self._all_confirmed = asyncio.Event()

    @property
    def phase_ms(self) -> float:
        """Offset of the server's renewals within the renewal period."""
        return self._phase_ms

    @property
    def wanted_units(self) -> dict[UnitId, Epoch]:
        """The units that the server should have a grant for, with their epochs."""
        return self._wanted

    @property
    def is_confirmed(self) -> bool:
        """Whether the server has confirmed exactly the wanted list."""
        return not self._needs_full and self._confirmed == self._wanted

    @property
    def clock_reading_received_ms(self) -> float:
        """Time on this process's clock at which the last clock reading arrived."""
        return self._clock_reading_received_ms

    @property
    def has_clock_reading(self) -> bool:
        return self._server_clock_ms is not None

    @property
    def is_revoking(self) -> bool:
        return bool(self._revoking)

    def is_revocation_requested(self, unit: UnitId, epoch: Epoch) -> bool:
        """Return whether a revocation of the unit is in progress or has finished."""
        return self._revoking.get(unit) == epoch or self.is_released(unit, epoch)

    def is_released(self, unit: UnitId, epoch: Epoch) -> bool:
        """Return whether the server has confirmed that it runs nothing for the unit."""
        return (unit, epoch) in self._released

    def grant(self, units: Iterable[GrantedUnit]) -> None:
        """Add units to the list."""
        self._digest = None
        for granted in units:
            self._wanted[granted.unit] = granted.epoch
            self._revoking.pop(granted.unit, None)
        self.wake()

    def revoke(self, units: Iterable[GrantedUnit]) -> None:
        """Remove units from the list; the server finishes their running requests."""
        self._digest = None
        for revoked in units:
            self._wanted.pop(revoked.unit, None)
            if not self.is_released(revoked.unit, revoked.epoch):
                self._revoking[revoked.unit] = revoked.epoch
        self.wake()

    def discard(self, units: Iterable[GrantedUnit]) -> None:
        """Remove units whose grants are not in force any more."""
        self._digest = None
        for discarded in units:
            if self._wanted.get(discarded.unit) == discarded.epoch:
                del self._wanted[discarded.unit]
            self._revoking.pop(discarded.unit, None)
            self._released.discard((discarded.unit, discarded.epoch))

    def reset(self) -> None:
        """Assume nothing about the server's grants; first request a clock reading."""
        self._server_clock_ms = None
        self._needs_full = True

    def require_full_list(self) -> None:
        """Send the complete list next, since the last command may not be applied."""
        self._needs_full = True

    def wake(self) -> None:
        """Send the next command at once."""
        self._woken.set()

    async def wait_until_confirmed(self) -> None:
        """Wait until the server has confirmed the list."""
        while not self.is_confirmed:
            self._all_confirmed.clear()
            await self._all_confirmed.wait()

    async def wait_until_due(self, timeout_ms: float) -> None:
        """Wait until a command should be sent at once, or for the timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._woken.wait()
        except TimeoutError:
            pass

    def next_command(
        self, coordinator: InstanceId, term: Term, ttl_ms: int, clock_reading_only: bool
    ) -> GrantRequest:
        """Return the next command for the server.

        The command only requests a clock reading if ``clock_reading_only`` is set or
        no reading is known.
        """
        self._woken.clear()
        self._sequence += 1
        if clock_reading_only or self._server_clock_ms is None:
            return GrantRequest(coordinator, term, ttl_ms, self._sequence, None, None)
        if self._digest is None:
            self._digest = grants_digest(self._wanted)
        return GrantRequest(
            coordinator=coordinator,
            term=term,
            ttl_ms=ttl_ms,
            sequence=self._sequence,
            server_clock_ms=self._server_clock_ms,
            boot_id=self._boot_id,
            changed=self._unconfirmed(),
            revoked=[
                GrantedUnit(unit, epoch) for unit, epoch in self._revoking.items()
            ],
            full=self._needs_full,
            digest=self._digest,
        )

    def _unconfirmed(self) -> list[GrantedUnit]:
        """Return the wanted units that the server has not confirmed."""
        if self.is_confirmed:
            return []
        return [
            GrantedUnit(unit, epoch)
            for unit, epoch in self._wanted.items()
            if self._needs_full or self._confirmed.get(unit) != epoch
        ]

    def record_reply(
        self,
        command: GrantRequest,
        sent: dict[UnitId, Epoch],
        reply: GrantReply,
        now_ms: float,
    ) -> bool:
        """Record the reply to a command; return whether to send the next one at once.

        ``sent`` is the wanted list at the time at which the command was created.
        """
        had_clock_reading = command.server_clock_ms is not None
        self._server_clock_ms = reply.server_clock_ms
        self._clock_reading_received_ms = now_ms
        self._boot_id = reply.boot_id
        if not had_clock_reading:
            return True
        self._needs_full = not reply.accepted or reply.digest != command.digest
        if self._needs_full:
            return True
        self._confirmed = sent
        idle = set(reply.idle)
        for revoked in command.revoked:
            if revoked.unit not in idle:
                continue
            self._released.add((revoked.unit, revoked.epoch))
            if self._revoking.get(revoked.unit) == revoked.epoch:
                del self._revoking[revoked.unit]
        if self.is_confirmed:
            self._all_confirmed.set()
        return False


class ServerEvent(Enum):
    """Change of a server that was detected from its replies or their absence."""

    CHANGED = "changed"
    """Its state has changed, or whether units may be assigned to it."""
    RELEASED = "released"
    """It may have finished the requests of revoked units."""
    LOST = "lost"
    """It was declared lost after failed commands."""
    RETURNED = "returned"
    """It replies again after a loss, with the same boot id as before."""
    RESTARTED = "restarted"
    """It replies as a new incarnation."""


class GrantSender:
    """Sends the commands of one term to all servers."""

    def __init__(
        self,
        options: Options,
        session: aiohttp.ClientSession,
        lease: CoordinatorLease,
        grants_allowed_ms: float,
        on_event: Callable[[ServerEvent, Server], None],
        clock: Clock,
    ) -> None:
        self._options = options
        self._session = session
        self._lease = lease
        self._grants_allowed_ms = grants_allowed_ms
        self._on_event = on_event
        self._clock = clock
        self._grants: dict[ServerId, ServerGrants] = {}

    def for_server(self, server: ServerId) -> ServerGrants:
        """Return the grants of a server."""
        if server not in self._grants:
            group = len(self._grants) // RENEWAL_GROUP_SIZE
            self._grants[server] = ServerGrants(group * RENEWAL_GROUP_SPACING_MS)
        return self._grants[server]

    async def run(self, server: Server) -> None:
        """Send commands to one server until it is dropped from the membership."""
        grants = self.for_server(server.server_id)
        pause_ms = 0.0
        while not server.is_dropped:
            await grants.wait_until_due(pause_ms)
            pause_ms = await self._send_command(server, grants)

    async def _send_command(self, server: Server, grants: ServerGrants) -> float:
        """Send one command; return the pause until the next one, in milliseconds."""
        timing = self._options.timing
        command = grants.next_command(
            self._options.instance.name,
            self._lease.term,
            int(min(timing.lease_ms, max(self._lease.remaining_ms, 0.0)))
            + timing.bridge_ms,
            clock_reading_only=self._are_grants_delayed(server),
        )
        sent = dict(grants.wanted_units)
        if self._lease.remaining_ms <= timing.order_timeout_ms:
            # The command could take effect after the lease has expired. On a server
            # that does not check grants, it could undo a command of the next
            # coordinator.
            return RETRY_DELAY_MS
        if command.server_clock_ms is not None:
            server.record_grant(
                grants.clock_reading_received_ms + command.ttl_ms + timing.margin_ms
            )
        reply = await self._exchange(server, command)
        if reply is None:
            return self._handle_failure(server, grants)
        before = (server.state, server.accepts_units)
        was_lost = server.is_lost
        is_new = server.record_reply(reply, self._clock())
        if is_new:
            grants.reset()
            self._on_event(ServerEvent.RESTARTED, server)
        elif was_lost:
            self._on_event(ServerEvent.RETURNED, server)
        must_send_next = grants.record_reply(command, sent, reply, self._clock())
        if reply.term > command.term:
            log_event("command_refused", server=server.server_id, term=reply.term)
            return timing.renew_ms
        if grants.is_confirmed:
            server.mark_reconciled()
        if before != (server.state, server.accepts_units):
            self._on_event(ServerEvent.CHANGED, server)
        if command.revoked:
            self._on_event(ServerEvent.RELEASED, server)
        if must_send_next and not self._are_grants_delayed(server):
            return 0.0
        return (
            REVOCATION_POLL_MS if grants.is_revoking else self._next_renewal_ms(grants)
        )

    def _next_renewal_ms(self, grants: ServerGrants) -> float:
        """Return the pause until the next renewal of the server's group.

        Renewals are grouped because commands that are sent together cost less than
        commands spread over the period, since the process wakes up less often.
        """
        period_ms = self._options.timing.renew_ms
        return period_ms - (self._clock() - grants.phase_ms) % period_ms

    def _are_grants_delayed(self, server: Server) -> bool:
        """Return whether grants of this term must not be sent to the server yet.

        A server that does not check grants could apply a delayed command of the
        previous coordinator after one of this term. A server at an address that the
        previous coordinator did not publish may be a new process, while the previous
        process of that server still has a grant.
        """
        service = self._options.services[server.entry.service]
        if service.checks_grants and server.has_known_address:
            return False
        return self._clock() < self._grants_allowed_ms

    async def _exchange(
        self, server: Server, command: GrantRequest
    ) -> GrantReply | None:
        timeout = aiohttp.ClientTimeout(
            total=self._options.timing.order_timeout_ms / 1000
        )
        try:
            async with self._session.post(
                f"{server.url}/mulberry/grants",
                data=msgspec.json.encode(command),
                timeout=timeout,
            ) as response:
                body = await read_body(response, MAX_REPLY_BYTES)
            reply = decode_json(body, GrantReply)
        except (TimeoutError, aiohttp.ClientError, OSError, msgspec.DecodeError):
            return None
        # Another server may be listening at this address now.
        return reply if reply.server == server.server_id else None

    def _handle_failure(self, server: Server, grants: ServerGrants) -> float:
        grants.require_full_list()
        timing = self._options.timing
        if server.record_failure(self._clock(), timing.suspect_ms):
            # Stop renewing the grants, so that they expire.
            grants.reset()
            self._on_event(ServerEvent.LOST, server)
        return timing.renew_ms if server.is_lost else RETRY_DELAY_MS

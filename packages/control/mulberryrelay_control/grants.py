"""Grants of units to backend servers: one task per server renews and revokes them.

A server's list holds the units that the table assigns to it and that no move has
revoked. Each request carries the changes to the list and a digest of the whole.
"""

import asyncio
from collections.abc import Callable, Iterable
from enum import Enum

import aiohttp
import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.hashing import grants_digest
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

# Pause before a failed order is repeated and before an unfinished revocation is asked
# about again. It is part of the pause of a moving key.
REPEAT_MS = 5.0
RETRY_MS = 25.0
# Servers whose renewals are sent together. An order takes about 0.1 ms of processor
# time, so that a group holds the event loop for a few milliseconds.
GROUP_SIZE = 32
GROUP_SPACING_MS = 10.0


class ServerGrants:
    """What one server should hold, and what it has confirmed."""

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
        self._stamp_ms: int | None = None
        self._stamp_received_ms = 0.0
        self._boot_id: BootId | None = None
        self._woken = asyncio.Event()
        self._settled = asyncio.Event()

    @property
    def phase_ms(self) -> float:
        """Offset of the server's renewals in the common period."""
        return self._phase_ms

    @property
    def wanted(self) -> dict[UnitId, Epoch]:
        """The units that the server should hold."""
        return self._wanted

    @property
    def is_settled(self) -> bool:
        """Whether the server has confirmed exactly the wanted list."""
        return not self._needs_full and self._confirmed == self._wanted

    @property
    def stamp_received_ms(self) -> float:
        """Own time at which the stamp in use arrived."""
        return self._stamp_received_ms

    @property
    def has_stamp(self) -> bool:
        return self._stamp_ms is not None

    @property
    def is_revoking(self) -> bool:
        return bool(self._revoking)

    def is_asked(self, unit: UnitId, epoch: Epoch) -> bool:
        """Return whether the unit is being revoked or has been released."""
        return self._revoking.get(unit) == epoch or self.is_released(unit, epoch)

    def is_released(self, unit: UnitId, epoch: Epoch) -> bool:
        """Return whether the server has confirmed that it is idle for the unit."""
        return (unit, epoch) in self._released

    def grant(self, units: Iterable[GrantedUnit]) -> None:
        """Add units to the list."""
        self._digest = None
        for granted in units:
            self._wanted[granted.unit] = granted.epoch
            self._revoking.pop(granted.unit, None)
        self.wake()

    def revoke(self, units: Iterable[GrantedUnit]) -> None:
        """Take units from the list; the server finishes what it runs for them."""
        self._digest = None
        for revoked in units:
            self._wanted.pop(revoked.unit, None)
            if not self.is_released(revoked.unit, revoked.epoch):
                self._revoking[revoked.unit] = revoked.epoch
        self.wake()

    def forget(self, units: Iterable[GrantedUnit]) -> None:
        """Drop units whose grants have expired or were void."""
        self._digest = None
        for dropped in units:
            if self._wanted.get(dropped.unit) == dropped.epoch:
                del self._wanted[dropped.unit]
            self._revoking.pop(dropped.unit, None)
            self._released.discard((dropped.unit, dropped.epoch))

    def reset(self) -> None:
        """Assume nothing about what the server holds; the next order is a first one."""
        self._stamp_ms = None
        self._needs_full = True

    def reset_lists(self) -> None:
        """Send the complete list next, since the last order may be unapplied."""
        self._needs_full = True

    def wake(self) -> None:
        """Have the next order sent at once."""
        self._woken.set()

    async def wait_until_settled(self) -> None:
        """Wait until the server has confirmed the list."""
        while not self.is_settled:
            self._settled.clear()
            await self._settled.wait()

    async def wait_for_work(self, timeout_ms: float) -> None:
        """Wait until an order should be sent at once, or for the timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._woken.wait()
        except TimeoutError:
            pass

    def next_order(
        self, coordinator: InstanceId, term: Term, ttl_ms: int, stamp_only: bool
    ) -> GrantRequest:
        """Return the next request for the server."""
        self._woken.clear()
        self._sequence += 1
        if stamp_only or self._stamp_ms is None:
            return GrantRequest(coordinator, term, ttl_ms, self._sequence, None, None)
        if self._digest is None:
            self._digest = grants_digest(self._wanted)
        return GrantRequest(
            coordinator=coordinator,
            term=term,
            ttl_ms=ttl_ms,
            sequence=self._sequence,
            stamp_ms=self._stamp_ms,
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
        if self.is_settled:
            return []
        return [
            GrantedUnit(unit, epoch)
            for unit, epoch in self._wanted.items()
            if self._needs_full or self._confirmed.get(unit) != epoch
        ]

    def note_reply(
        self,
        order: GrantRequest,
        sent: dict[UnitId, Epoch],
        reply: GrantReply,
        now_ms: float,
    ) -> bool:
        """Record the reply to an order; return whether more must be sent at once.

        ``sent`` is the list as it was when the order was made.
        """
        had_stamp = order.stamp_ms is not None
        self._stamp_ms = reply.stamp_ms
        self._stamp_received_ms = now_ms
        self._boot_id = reply.boot_id
        if not had_stamp:
            return True
        self._needs_full = not reply.accepted or reply.digest != order.digest
        if self._needs_full:
            return True
        self._confirmed = sent
        idle = set(reply.idle)
        for revoked in order.revoked:
            if revoked.unit not in idle:
                continue
            self._released.add((revoked.unit, revoked.epoch))
            if self._revoking.get(revoked.unit) == revoked.epoch:
                del self._revoking[revoked.unit]
        if self.is_settled:
            self._settled.set()
        return False


class ServerEvent(Enum):
    """What the replies of a server tell about it."""

    CHANGED = "changed"
    """Its state, or whether it takes units."""
    RELEASED = "released"
    """It may be idle for units that are revoked."""
    LOST = "lost"
    RETURNED = "returned"
    """It answers again, with the boot id from before the loss."""
    RESTARTED = "restarted"


class GrantKeeper:
    """Sends the grants of one term to all servers."""

    def __init__(
        self,
        options: Options,
        session: aiohttp.ClientSession,
        lease: CoordinatorLease,
        first_order_ms: float,
        on_event: Callable[[ServerEvent, Server], None],
        clock: Clock,
    ) -> None:
        self._options = options
        self._session = session
        self._lease = lease
        self._first_order_ms = first_order_ms
        self._on_event = on_event
        self._clock = clock
        self._grants: dict[ServerId, ServerGrants] = {}

    def of(self, server: ServerId) -> ServerGrants:
        """Return the grants of a server."""
        if server not in self._grants:
            group = len(self._grants) // GROUP_SIZE
            self._grants[server] = ServerGrants(group * GROUP_SPACING_MS)
        return self._grants[server]

    async def run(self, server: Server) -> None:
        """Renew the grants of one server until it is dropped."""
        grants = self.of(server.server)
        pause_ms = 0.0
        while not server.is_dropped:
            await grants.wait_for_work(pause_ms)
            pause_ms = await self._send_order(server, grants)

    async def _send_order(self, server: Server, grants: ServerGrants) -> float:
        """Send one order; return the pause until the next one, in milliseconds."""
        timing = self._options.timing
        order = grants.next_order(
            self._options.instance.name,
            self._lease.term,
            int(min(timing.lease_ms, max(self._lease.left_ms, 0.0))) + timing.bridge_ms,
            stamp_only=self._must_wait(server),
        )
        sent = dict(grants.wanted)
        if self._lease.left_ms <= timing.order_timeout_ms:
            # An order that takes effect after the lease has ended could undo an order
            # of the next coordinator on a server that does not check grants.
            return RETRY_MS
        if order.stamp_ms is not None:
            server.note_grant(
                grants.stamp_received_ms + order.ttl_ms + timing.margin_ms
            )
        reply = await self._exchange(server, order)
        if reply is None:
            return self._note_failure(server, grants)
        before = (server.state, server.takes_units)
        was_lost = server.is_lost
        is_new = server.note_reply(reply, self._clock())
        if is_new:
            grants.reset()
            self._on_event(ServerEvent.RESTARTED, server)
        elif was_lost:
            self._on_event(ServerEvent.RETURNED, server)
        again = grants.note_reply(order, sent, reply, self._clock())
        if reply.term > order.term:
            log_event("order_refused", server=server.server, term=reply.term)
            return timing.renew_ms
        if grants.is_settled:
            server.note_reconciled()
        if before != (server.state, server.takes_units):
            self._on_event(ServerEvent.CHANGED, server)
        if order.revoked:
            self._on_event(ServerEvent.RELEASED, server)
        if again and not self._must_wait(server):
            return 0.0
        return REPEAT_MS if grants.is_revoking else self._next_renewal_ms(grants)

    def _next_renewal_ms(self, grants: ServerGrants) -> float:
        """Return the pause until the renewal of the server's group, at most the period.

        Orders that are sent together cost less than orders spread over the period,
        since the process wakes up less often.
        """
        period_ms = self._options.timing.renew_ms
        return period_ms - (self._clock() - grants.phase_ms) % period_ms

    def _must_wait(self, server: Server) -> bool:
        """Return whether the server may not get an order of this term yet.

        A server that does not check grants could take an order of the previous
        coordinator after ours. A server whose former address is unknown may have been
        started anew while the previous process still holds a grant.
        """
        service = self._options.services[server.entry.service]
        if service.checks_grants and server.has_known_address:
            return False
        return self._clock() < self._first_order_ms

    async def _exchange(self, server: Server, order: GrantRequest) -> GrantReply | None:
        timeout = aiohttp.ClientTimeout(
            total=self._options.timing.order_timeout_ms / 1000
        )
        try:
            async with self._session.post(
                f"{server.url}/mulberry/grants",
                data=msgspec.json.encode(order),
                timeout=timeout,
            ) as response:
                body = await response.read()
            reply = msgspec.json.decode(body, type=GrantReply)
        except (TimeoutError, aiohttp.ClientError, OSError, msgspec.DecodeError):
            return None
        # The address may have been taken over by another server.
        return reply if reply.server == server.server else None

    def _note_failure(self, server: Server, grants: ServerGrants) -> float:
        grants.reset_lists()
        timing = self._options.timing
        if server.note_failure(self._clock(), timing.suspect_ms):
            # Grants are not renewed any more, so that those sent expire.
            grants.reset()
            self._on_event(ServerEvent.LOST, server)
        return timing.renew_ms if server.is_lost else RETRY_MS

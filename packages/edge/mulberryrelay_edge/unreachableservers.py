"""List of unreachable servers that the leader stores in its lease.

A server on the list gets no grants until a lease without it has been stored. So the
next leader knows when the server's last grant expires and need not wait for the maximum
grant TTL. The list is written with the lease renewals and costs no additional call.
"""

import asyncio
from collections.abc import Sequence

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId

from .messages import UnreachableServer

LISTED_AFTER_EXPIRY_MS = 15_000.0
"""Time for which a server stays on the list after its last grant expired."""

Incarnation = tuple[ServerId, int]
"""Incarnation of a server: its id and start time."""


class UnreachableServers:
    """The unreachable servers that this process's stored or next lease lists."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._grant_expires_ms: dict[Incarnation, float] = {}
        self._possibly_stored: frozenset[Incarnation] = frozenset()
        """Servers that the stored lease may list."""
        self._stored_event = asyncio.Event()

    @property
    def grant_expiries_ms(self) -> dict[Incarnation, float]:
        """Latest grant expiry of each server on the list."""
        return dict(self._grant_expires_ms)

    def is_listed(self, incarnation: Incarnation) -> bool:
        """Return whether a server may be on a stored list and must get no grant."""
        return (
            incarnation in self._grant_expires_ms
            or incarnation in self._possibly_stored
        )

    def add(self, incarnation: Incarnation, expires_ms: float) -> None:
        """Add a server whose last grant expires at the given time."""
        self._grant_expires_ms[incarnation] = expires_ms

    async def remove(self, incarnation: Incarnation) -> None:
        """Remove a server; return once the stored lease no longer lists it."""
        self._grant_expires_ms.pop(incarnation, None)
        while incarnation in self._possibly_stored:
            await self._stored_event.wait()

    def load(self, unreachable: Sequence[UnreachableServer], store_ms: float) -> None:
        """Replace the list by that of an earlier lease.

        ``store_ms`` is the store's time at which that lease was read.
        """
        now_ms = self._clock()
        self._grant_expires_ms = {
            (server.server, server.started_ms): now_ms
            + server.grant_expires_ms
            - store_ms
            for server in unreachable
        }
        self._possibly_stored = frozenset(self._grant_expires_ms)

    def rows(self, clock_offset_ms: float) -> tuple[UnreachableServer, ...]:
        """Return the list to store, with expiries on the store's clock.

        ``clock_offset_ms`` is an upper bound of the store's clock minus this process's
        clock.
        """
        now_ms = self._clock()
        for incarnation, expires_ms in list(self._grant_expires_ms.items()):
            if now_ms > expires_ms + LISTED_AFTER_EXPIRY_MS:
                del self._grant_expires_ms[incarnation]
        # The write of this list may take effect even if it gets no reply.
        self._possibly_stored |= frozenset(self._grant_expires_ms)
        return tuple(
            UnreachableServer(server, started_ms, expires_ms + clock_offset_ms)
            for (server, started_ms), expires_ms in self._grant_expires_ms.items()
        )

    def mark_stored(self, unreachable: Sequence[UnreachableServer]) -> None:
        """Record that a lease with this list was stored."""
        self._possibly_stored = frozenset(
            (row.server, row.started_ms) for row in unreachable
        )
        self._stored_event.set()
        self._stored_event = asyncio.Event()

"""List of unreachable servers that the leader stores in its lease.

A server on the list gets no grants until a lease without it has been stored. So the
next leader knows when the server's last grant expires and need not wait for the maximum
grant TTL. The list is written with the lease renewals and costs no additional call.
"""

import asyncio
from collections.abc import Sequence

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId

from .messages import SilentServer

KEPT_MS = 15_000.0
"""Time for which a server stays on the list after its last grant expired."""

Life = tuple[ServerId, int]
"""Incarnation of a server: its id and start time."""


class Silences:
    """The unreachable servers that this process's stored or next lease lists."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ends: dict[Life, float] = {}
        self._stored: frozenset[Life] = frozenset()
        """Servers that the stored lease may list."""
        self._was_stored = asyncio.Event()

    @property
    def ends(self) -> dict[Life, float]:
        """Latest grant expiry of each server on the list."""
        return dict(self._ends)

    def is_named(self, life: Life) -> bool:
        """Return whether a server may be on a stored list and must get no grant."""
        return life in self._ends or life in self._stored

    def add(self, life: Life, end_ms: float) -> None:
        """Add a server whose last grant expires at the given time."""
        self._ends[life] = end_ms

    async def withdraw(self, life: Life) -> None:
        """Remove a server; return once the stored lease no longer lists it."""
        self._ends.pop(life, None)
        while life in self._stored:
            await self._was_stored.wait()

    def load(self, silent: Sequence[SilentServer], store_ms: float) -> None:
        """Replace the list by that of an earlier lease.

        ``store_ms`` is the store's time at which that lease was read.
        """
        now_ms = self._clock()
        self._ends = {
            (server.server, server.born_ms): now_ms + server.hold_end_ms - store_ms
            for server in silent
        }
        self._stored = frozenset(self._ends)

    def rows(self, clock_offset_ms: float) -> tuple[SilentServer, ...]:
        """Return the list to store, with expiries on the store's clock.

        ``clock_offset_ms`` is an upper bound of the store's clock minus this process's
        clock.
        """
        now_ms = self._clock()
        for life, end_ms in list(self._ends.items()):
            if now_ms > end_ms + KEPT_MS:
                del self._ends[life]
        # The write of this list may take effect even if it gets no reply.
        self._stored |= frozenset(self._ends)
        return tuple(
            SilentServer(server, born_ms, end_ms + clock_offset_ms)
            for (server, born_ms), end_ms in self._ends.items()
        )

    def note_stored(self, silent: Sequence[SilentServer]) -> None:
        """Record that a lease with this list was stored."""
        self._stored = frozenset((row.server, row.born_ms) for row in silent)
        self._was_stored.set()
        self._was_stored = asyncio.Event()

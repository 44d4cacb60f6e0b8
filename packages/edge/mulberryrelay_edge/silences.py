"""Servers that answer no orders, as the leader's lease names them.

A server that is named gets no grants until a stored lease no longer names it. So the
next leader knows when its last hold runs out, and need not wait for the longest hold
that there might be. The names travel with the renewals and cost no further call.
"""

import asyncio
from collections.abc import Sequence

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId

from .messages import SilentServer

KEPT_MS = 15_000.0
"""Time after the end of its last hold for which a server is named."""

Life = tuple[ServerId, int]


class Silences:
    """The servers that the current or next lease of this process names."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ends: dict[Life, float] = {}
        self._stored: frozenset[Life] = frozenset()
        """Those that the stored lease may name."""
        self._was_stored = asyncio.Event()

    @property
    def ends(self) -> dict[Life, float]:
        """When the last hold of each server that is named has run out."""
        return dict(self._ends)

    def is_named(self, life: Life) -> bool:
        """Return whether a server must get no grant."""
        return life in self._ends or life in self._stored

    def add(self, life: Life, end_ms: float) -> None:
        """Name a server, whose last possible hold ends at the given time."""
        self._ends[life] = end_ms

    async def withdraw(self, life: Life) -> None:
        """Return when the stored lease no longer names a server."""
        self._ends.pop(life, None)
        while life in self._stored:
            await self._was_stored.wait()

    def load(self, silent: Sequence[SilentServer], store_ms: float) -> None:
        """Take over what an earlier lease says, read when the store said its time."""
        now_ms = self._clock()
        self._ends = {
            (server.server, server.born_ms): now_ms + server.hold_end_ms - store_ms
            for server in silent
        }
        self._stored = frozenset(self._ends)

    def rows(self, clock_offset_ms: float) -> tuple[SilentServer, ...]:
        """Return what is about to be stored; the offset of the store's clock is at most
        the given one."""
        now_ms = self._clock()
        for life, end_ms in list(self._ends.items()):
            if now_ms > end_ms + KEPT_MS:
                del self._ends[life]
        # A write without a reply may have been stored.
        self._stored |= frozenset(self._ends)
        return tuple(
            SilentServer(server, born_ms, end_ms + clock_offset_ms)
            for (server, born_ms), end_ms in self._ends.items()
        )

    def note_stored(self, silent: Sequence[SilentServer]) -> None:
        """Note that a lease was stored."""
        self._stored = frozenset((row.server, row.born_ms) for row in silent)
        self._was_stored.set()
        self._was_stored = asyncio.Event()

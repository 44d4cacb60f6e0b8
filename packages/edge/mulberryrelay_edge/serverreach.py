"""Finds out whether this router has lost its links to all servers.

One server that cannot be reached may be down itself. After a hint, such as a failed
connection, the router tries to connect to some servers of different services. If none
of them can be reached twice in a row, the fault is in the router's own links. The
module decides when to probe and what follows from it; ``probe`` connects.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from reactivex.subject import Subject

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.logs import log_event

from .messages import BackendServer

PROBED_SERVERS = 4
"""Servers that are probed at a time."""
ROUNDS_TO_CUT_OFF = 2
"""Rounds of probes without a reached server after which the router is cut off."""
ROUND_PERIOD_S = 0.2
"""Pause between two rounds of probes while no server is reached."""
HINT_PERIOD_S = 1.0
"""Time after a round that reached a server in which hints are ignored."""
PROBE_TIMEOUT_S = 0.3

Probe = Callable[[BackendServer], Awaitable[bool]]
"""Returns whether a connection to a server can be opened."""


class ServerReach:
    """Whether this router reaches servers, as far as hints made it probe them."""

    def __init__(
        self, servers: Callable[[], Sequence[BackendServer]], probe: Probe, clock: Clock
    ) -> None:
        """``servers`` returns all registered servers."""
        self._servers = servers
        self._probe = probe
        self._clock = clock
        self._hint = asyncio.Event()
        self._cut_off_ms: float | None = None
        """Since when the router is cut off, or None."""
        self._changes: Subject[bool] = Subject()

    @property
    def changes(self) -> Subject[bool]:
        """Emits True when the router loses its links to the servers, False after it."""
        return self._changes

    @property
    def is_cut_off(self) -> bool:
        """Whether the router reaches no server."""
        return self._cut_off_ms is not None

    def suspect(self) -> None:
        """Probe servers soon, because one of them could not be reached."""
        self._hint.set()

    async def run(self) -> None:
        """Probe servers whenever there is a reason to; never returns."""
        while True:
            await self._hint.wait()
            if await self._reaches_none():
                await self._wait_for_links()
            self._hint.clear()
            await asyncio.sleep(HINT_PERIOD_S)

    async def _reaches_none(self) -> bool:
        """Return whether several rounds of probes reach no server."""
        for _ in range(ROUNDS_TO_CUT_OFF):
            probed, reached = await self._probe_round()
            if not probed or reached:
                return False
            await asyncio.sleep(ROUND_PERIOD_S)
        return True

    async def _wait_for_links(self) -> None:
        """Return once most of the probed servers are reached again."""
        self._cut_off_ms = self._clock()
        log_event("servers_unreachable", servers=len(self._servers()))
        self._changes.on_next(True)
        probed, reached = 1, 0
        while 2 * reached <= probed:
            await asyncio.sleep(ROUND_PERIOD_S)
            probed, reached = await self._probe_round()
        lost_ms = round(self._clock() - self._cut_off_ms)
        self._cut_off_ms = None
        log_event("servers_reachable", lost_ms=lost_ms)
        self._changes.on_next(False)

    async def _probe_round(self) -> tuple[int, int]:
        """Probe some servers; return how many, and how many of them are reached."""
        servers = list(self._servers())
        chosen = random.sample(servers, min(PROBED_SERVERS, len(servers)))
        results = await asyncio.gather(*(self._probe(server) for server in chosen))
        return len(chosen), sum(results)

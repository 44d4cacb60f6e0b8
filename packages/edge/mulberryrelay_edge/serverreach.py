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
HINT_PERIOD_MS = 1000.0
"""Time after a server was reached in which hints are ignored."""
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
        """Set while the links are suspected to be lost, and while they are."""
        self._verdict = asyncio.Event()
        """Set unless the links are only suspected to be lost."""
        self._verdict.set()
        self._ignores_hints_until_ms = float("-inf")
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

    @property
    def is_suspected(self) -> bool:
        """Whether servers are being probed to find out whether links are lost."""
        return self._hint.is_set() and not self.is_cut_off

    def suspect(self) -> None:
        """Probe servers now, because one of them could not be reached."""
        if self.is_cut_off or self._clock() < self._ignores_hints_until_ms:
            return
        self._verdict.clear()
        self._hint.set()

    async def wait_for_verdict(self) -> None:
        """Wait while the links are suspected to be lost."""
        await self._verdict.wait()

    async def run(self) -> None:
        """Probe servers whenever there is a reason to; never returns."""
        while True:
            await self._hint.wait()
            if await self._reaches_none():
                await self._wait_for_links()
            self._ignores_hints_until_ms = self._clock() + HINT_PERIOD_MS
            self._hint.clear()
            self._verdict.set()

    async def _reaches_none(self) -> bool:
        """Return whether several rounds of probes reach no server."""
        for _ in range(ROUNDS_TO_CUT_OFF):
            chosen = self._choose()
            probes = [asyncio.ensure_future(self._probe(server)) for server in chosen]
            try:
                for probe in asyncio.as_completed(probes):
                    if await probe:
                        return False
            finally:
                for started in probes:
                    started.cancel()
            if not chosen:
                return False
            await asyncio.sleep(ROUND_PERIOD_S)
        return True

    async def _wait_for_links(self) -> None:
        """Return once most of the probed servers are reached again."""
        self._cut_off_ms = self._clock()
        log_event("servers_unreachable", servers=len(self._servers()))
        self._verdict.set()
        try:
            self._changes.on_next(True)
            while not await self._reaches_most():
                await asyncio.sleep(ROUND_PERIOD_S)
        finally:
            lost_ms = round(self._clock() - self._cut_off_ms)
            self._cut_off_ms = None
            log_event("servers_reachable", lost_ms=lost_ms)
            self._changes.on_next(False)

    async def _reaches_most(self) -> bool:
        chosen = self._choose()
        reached = await asyncio.gather(*(self._probe(server) for server in chosen))
        return 2 * sum(reached) > len(chosen)

    def _choose(self) -> list[BackendServer]:
        servers = list(self._servers())
        return random.sample(servers, min(PROBED_SERVERS, len(servers)))

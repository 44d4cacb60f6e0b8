"""Detects server processes that crash, also after a request was abandoned.

When the caller disconnects or the deadline passes, the router closes the connection to
the server, which asks the server to cancel the request. The request may still crash the
server, so the router probes the server's address for a while.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId
from mulberryrelay_kernel.messages import ServerEntry
from mulberryrelay_kernel.peerproto.peer_pb2 import ServerDeath, Suspect

# A crash within this time after a request was abandoned is attributed to the request.
WATCH_MS = 2000.0
# Default pause between probes. A probe opens a connection, which costs a server about
# 1 ms.
PROBE_PERIOD_S = 0.25
PROBE_TIMEOUT_S = 0.1
# Pauses before the probes: a dying process does not close its connections and its
# listener at the same moment.
CONFIRM_PAUSES_S = (0.0, 0.02)
# Maximum number of abandoned requests per server. It bounds the memory for a server on
# which many requests time out.
MAX_ABANDONED = 1024


class _AbandonedRequest(msgspec.Struct):
    """An abandoned request that its server may still run."""

    suspect: Suspect
    until_ms: float


class DeathWatch:
    """Watches the servers of abandoned requests for crashes.

    ``current_entry`` returns the entry of a server in the local view. ``report`` is
    called with the requests that may have caused the crash of a server.
    """

    def __init__(
        self,
        clock: Clock,
        current_entry: Callable[[ServerId], ServerEntry | None],
        report: Callable[[list[Suspect]], Awaitable[None]],
        probe_period_s: float = PROBE_PERIOD_S,
    ) -> None:
        self._clock = clock
        self._probe_period_s = probe_period_s
        self._current_entry = current_entry
        self._report = report
        self._abandoned: dict[ServerId, list[_AbandonedRequest]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def watch(self, suspect: Suspect, server: ServerEntry) -> None:
        """Watch a server on which a request was abandoned."""
        abandoned = self._abandoned.get(server.server)
        if abandoned is None:
            abandoned = self._abandoned[server.server] = []
            task = asyncio.create_task(self._watch_server(server, abandoned))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if len(abandoned) < MAX_ABANDONED:
            abandoned.append(_AbandonedRequest(suspect, self._clock() + WATCH_MS))

    async def dies_within(self, server: ServerEntry, period_ms: float) -> bool:
        """Return whether a server dies within a period, as soon as that is certain."""
        until_ms = self._clock() + period_ms
        while not await self._is_dead(server):
            if self._clock() >= until_ms:
                return False
            await asyncio.sleep(self._probe_period_s)
        return True

    async def close(self) -> None:
        """Stop watching all servers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _watch_server(
        self, server: ServerEntry, abandoned: list[_AbandonedRequest]
    ) -> None:
        try:
            while abandoned:
                if await self._is_dead(server):
                    suspects = [entry.suspect for entry in abandoned]
                    for suspect in suspects:
                        suspect.seen.append(server_death(server))
                    abandoned.clear()
                    # Requests abandoned later belong to the next incarnation.
                    self._abandoned.pop(server.server, None)
                    await self._report(suspects)
                    return
                await asyncio.sleep(self._probe_period_s)
                now_ms = self._clock()
                abandoned[:] = [e for e in abandoned if now_ms < e.until_ms]
        finally:
            if self._abandoned.get(server.server) is abandoned:
                del self._abandoned[server.server]

    async def _is_dead(self, server: ServerEntry) -> bool:
        """Return whether a server has been restarted or refuses connections."""
        entry = self._current_entry(server.server)
        boot_ids = {server.boot_id, entry.boot_id if entry else ""} - {""}
        if len(boot_ids) > 1:
            return True
        return await refuses_connections(server)


class ProbeResult(Enum):
    """How a server's address took a new connection."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"
    """Neither: the server is frozen, or the network fails."""


async def probe_address(
    server: ServerEntry, timeout_s: float = PROBE_TIMEOUT_S
) -> ProbeResult:
    """Open a connection to a server's address and close it."""
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(server.host, server.port)
    except ConnectionError:
        return ProbeResult.REFUSED
    except (OSError, TimeoutError):
        return ProbeResult.SILENT
    writer.close()
    return ProbeResult.ACCEPTED


async def refuses_connections(server: ServerEntry) -> bool:
    """Return whether a server's address refuses connections."""
    return await probe_address(server) is ProbeResult.REFUSED


async def is_unreachable(server: ServerEntry) -> bool:
    """Return whether no connection to a server can be opened."""
    return await probe_address(server) is not ProbeResult.ACCEPTED


async def has_died(server: ServerEntry) -> bool:
    """Return whether a server whose connection has just broken is dead."""
    for pause_s in CONFIRM_PAUSES_S:
        await asyncio.sleep(pause_s)
        if await refuses_connections(server):
            return True
    return False


def server_death(server: ServerEntry) -> ServerDeath:
    """Return the message that identifies the incarnation that died."""
    return ServerDeath(server=server.server, boot_id=server.boot_id)

"""Finds out whether a server has died, also after its request was given up.

A request whose caller left or whose deadline passed has its connection closed, which
asks the server to cancel it. The server may still die of it, so that its address is
watched for a while.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId
from mulberryrelay_kernel.messages import ServerEntry
from mulberryrelay_kernel.peerproto.peer_pb2 import ServerDeath, Suspect

# How long after the end of its request a server's death is put down to it.
WATCH_MS = 2000.0
# A probe is a connection, which costs a server about 1 ms.
PROBE_PERIOD_S = 0.25
PROBE_TIMEOUT_S = 0.1
# A dying process closes its connections and its listener at different moments.
CONFIRM_PAUSES_S = (0.0, 0.02)
# Bounds the memory for a server at which many requests time out.
MAX_GIVEN_UP = 1024


class _GivenUp(msgspec.Struct):
    """A request that a server may still run."""

    suspect: Suspect
    until_ms: float


class DeathWatch:
    """Watches the servers of requests that were given up.

    ``current`` returns the present entry of a server. ``report`` is called with the
    requests that may have been the cause, once a server is found dead.
    """

    def __init__(
        self,
        clock: Clock,
        current: Callable[[ServerId], ServerEntry | None],
        report: Callable[[list[Suspect]], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._current = current
        self._report = report
        self._given_up: dict[ServerId, list[_GivenUp]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def note(self, suspect: Suspect, server: ServerEntry) -> None:
        """Watch a server for a request that was given up on it."""
        given_up = self._given_up.get(server.server)
        if given_up is None:
            given_up = self._given_up[server.server] = []
            task = asyncio.create_task(self._watch(server, given_up))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if len(given_up) < MAX_GIVEN_UP:
            given_up.append(_GivenUp(suspect, self._clock() + WATCH_MS))

    async def dies_within(self, server: ServerEntry, period_ms: float) -> bool:
        """Return whether a server dies within a period; returns as soon as it has."""
        until_ms = self._clock() + period_ms
        while not await self._is_dead(server):
            if self._clock() >= until_ms:
                return False
            await asyncio.sleep(PROBE_PERIOD_S)
        return True

    async def close(self) -> None:
        """End all watches."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _watch(self, server: ServerEntry, given_up: list[_GivenUp]) -> None:
        try:
            while given_up:
                if await self._is_dead(server):
                    found = [entry.suspect for entry in given_up]
                    for suspect in found:
                        suspect.seen.append(death_of(server))
                    given_up.clear()
                    # A later note belongs to the next incarnation.
                    self._given_up.pop(server.server, None)
                    await self._report(found)
                    return
                await asyncio.sleep(PROBE_PERIOD_S)
                now_ms = self._clock()
                given_up[:] = [e for e in given_up if now_ms < e.until_ms]
        finally:
            if self._given_up.get(server.server) is given_up:
                del self._given_up[server.server]

    async def _is_dead(self, server: ServerEntry) -> bool:
        current = self._current(server.server)
        boot_ids = {server.boot_id, current.boot_id if current else ""} - {""}
        if len(boot_ids) > 1:
            return True
        return await refuses_connections(server)


async def refuses_connections(server: ServerEntry) -> bool:
    """Return whether nothing listens at a server's address."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(server.host, server.port)
    except ConnectionError:
        return True
    except (OSError, TimeoutError):
        # A frozen server or a broken network does not refuse.
        return False
    writer.close()
    return False


async def has_died(server: ServerEntry) -> bool:
    """Return whether a server whose connection has just broken is dead."""
    for pause_s in CONFIRM_PAUSES_S:
        await asyncio.sleep(pause_s)
        if await refuses_connections(server):
            return True
    return False


def death_of(server: ServerEntry) -> ServerDeath:
    """Return the record of a server's death."""
    return ServerDeath(server=server.server, boot_id=server.boot_id)

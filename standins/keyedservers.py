"""In-memory backend servers that own keys under grants and check fencing tokens.

``KeyedServers.overlaps`` finds keys for which two running servers have a grant.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from mulberryrelay_edge.adapter import (
    CommandFailure,
    CommandMisdirected,
    CommandNotSent,
    CommandRefused,
    CommandUnanswered,
    MayWrite,
)
from mulberryrelay_edge.messages import LAST_KEY, BackendServer
from mulberryrelay_kernel.ids import ServerId

REPLY_DELAY_S = 0.003
"""Time from a command to its reply."""
COMMAND_TIMEOUT_S = 0.4
"""Time after which the sender of a command stops waiting for a reply."""
CONNECT_TIMEOUT_S = 0.3
"""Time after which a connection that is not open is given up."""
LATE_S = (2.0, 12.0)
"""Bounds of the delay of a command that is applied late."""
SLOW_CLOCK_FACTOR = 1.02
"""Factor by which the servers' clocks run slower than real time."""
WATCHED_KEY_STEP = 1024
"""Distance between two watched keys; the ends of ranges are watched as well."""
WATCHED_KEYS = range(0, LAST_KEY + 1, WATCHED_KEY_STEP)
"""Watched keys without the ends of ranges."""


class GrantedRange(msgspec.Struct):
    """A key range that is granted to a server until ``expires_ms``."""

    first: int
    last: int
    fence: int
    expires_ms: float


class KeyedServer:
    """One incarnation of a server, and the ranges granted to it."""

    def __init__(
        self,
        entry: BackendServer,
        clock: Callable[[], float],
        on_grant: Callable[["KeyedServer", int, int, int], None],
    ) -> None:
        self.entry = entry
        """Registration of this incarnation."""
        self.on_grant = on_grant
        self._clock = clock
        self.is_up = True
        self.is_unreachable = False
        """Whether it receives and answers no commands, but still runs requests."""
        self.knows_no_commands = False
        """Whether it answers commands as a server of a service without keys does."""
        self.grants: list[GrantedRange] = []
        self.fences: dict[int, int] = {}
        """Highest fencing token that it received for each watched key."""

    def has_grant(self, key: int) -> bool:
        """Return whether it would currently run a request for a key."""
        if not self.is_up:
            return False
        now_ms = self._clock()
        return any(
            key_range.first <= key <= key_range.last and now_ms < key_range.expires_ms
            for key_range in self.grants
        )

    def grant(self, first: int, last: int, fence: int, grant_ttl_ms: float) -> int:
        """Apply a grant; return the HTTP status of the reply."""
        self.on_grant(self, first, last, fence)
        if any(self._highest_fence(key) > fence for key in watched_keys(first, last)):
            return 409
        self._remove_keys(first, last)
        expires_ms = self._clock() + grant_ttl_ms * SLOW_CLOCK_FACTOR
        self.grants.append(GrantedRange(first, last, fence, expires_ms))
        self._record_fence(first, last, fence)
        return 200

    def accepts(self, key: int, fence: int) -> bool:
        """Return whether it would accept a grant of a key with this fencing token."""
        return self._highest_fence(key) <= fence

    def release(self, first: int, last: int, fence: int) -> int:
        """Apply a release, which is never refused."""
        self._remove_keys(first, last)
        self._record_fence(first, last, fence)
        return 200

    def _highest_fence(self, key: int) -> int:
        return self.fences.get(key, 0)

    def _record_fence(self, first: int, last: int, fence: int) -> None:
        for key in watched_keys(first, last):
            self.fences[key] = max(fence, self._highest_fence(key))

    def _remove_keys(self, first: int, last: int) -> None:
        kept = []
        for key_range in self.grants:
            if key_range.last < first or key_range.first > last:
                kept.append(key_range)
                continue
            if key_range.first < first:
                kept.append(msgspec.structs.replace(key_range, last=first - 1))
            if key_range.last > last:
                kept.append(msgspec.structs.replace(key_range, first=last + 1))
        self.grants = kept


def watched_keys(first: int, last: int) -> list[int]:
    """Return the watched keys of a range, including its first and last key."""
    inner = range(
        (first // WATCHED_KEY_STEP + 1) * WATCHED_KEY_STEP, last, WATCHED_KEY_STEP
    )
    return [first, *inner, last]


class KeyedServers:
    """All servers of a service, and the highest fencing token granted for each key."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.incarnations: list[KeyedServer] = []
        self.low_fence_grants: list[str] = []
        """Grants whose fencing token was not above those of all other incarnations."""
        self._highest_grants: dict[int, tuple[int, KeyedServer]] = {}
        """Highest fencing token granted for each watched key, and the grantee."""

    def start(self, server: BackendServer) -> KeyedServer:
        """Start a server without grants."""
        incarnation = KeyedServer(server, self._clock, self._check_grant)
        self.incarnations.append(incarnation)
        return incarnation

    def _check_grant(
        self, incarnation: KeyedServer, first: int, last: int, fence: int
    ) -> None:
        for key in range(
            -(-first // WATCHED_KEY_STEP) * WATCHED_KEY_STEP, last + 1, WATCHED_KEY_STEP
        ):
            highest, grantee = self._highest_grants.get(key, (0, incarnation))
            if (
                grantee is not incarnation
                and fence <= highest
                and incarnation.accepts(key, fence)
            ):
                names = f"{incarnation.entry.server}, {grantee.entry.server}"
                self.low_fence_grants.append(f"key {key} fence {fence}: {names}")
            if fence > highest:
                self._highest_grants[key] = (fence, incarnation)

    def find_running(self, server: BackendServer) -> KeyedServer | None:
        """Return the running server at the address of an entry."""
        for incarnation in self.incarnations:
            entry = incarnation.entry
            if incarnation.is_up and (entry.host, entry.port) == (
                server.host,
                server.port,
            ):
                return incarnation
        return None

    def overlaps(self) -> list[tuple[int, list[ServerId]]]:
        """Return keys granted to several servers now, and these servers.

        Of neighbouring keys granted to the same two servers, only one is returned.
        """
        overlaps = []
        last = -1
        owner: KeyedServer | None = None
        for granted, incarnation in self._current_grants():
            if owner is not None and owner is not incarnation and granted.first <= last:
                names = [owner.entry.server, incarnation.entry.server]
                overlaps.append((granted.first, names))
            if granted.last > last:
                last = granted.last
                owner = incarnation
        return overlaps

    def ungranted_keys(self) -> list[int]:
        """Return the watched keys for which no running server has a grant."""
        ungranted = []
        grants = self._current_grants()
        position = 0
        last = -1
        for key in WATCHED_KEYS:
            while position < len(grants) and grants[position][0].first <= key:
                last = max(last, grants[position][0].last)
                position += 1
            if last < key:
                ungranted.append(key)
        return ungranted

    def _current_grants(self) -> list[tuple[GrantedRange, KeyedServer]]:
        """Return the grants in force and their servers, in order of the first keys."""
        now_ms = self._clock()
        grants = [
            (granted, incarnation)
            for incarnation in self.incarnations
            if incarnation.is_up
            for granted in incarnation.grants
            if now_ms < granted.expires_ms
        ]
        return sorted(grants, key=lambda grant: grant[0].first)

    def ungranted_share(self) -> float:
        """Return the fraction of keys for which no running server has a grant."""
        return len(self.ungranted_keys()) / len(WATCHED_KEYS)


Apply = Callable[[KeyedServer, float], int]
"""Applies a command at a server, so many milliseconds after its arrival."""


class Connections:
    """Connections of one router to the address of a server."""

    def __init__(self, is_noticed: Callable[[], bool]) -> None:
        """``is_noticed`` tells whether the router notices that a server ends them."""
        self._is_noticed = is_noticed
        self._is_broken = False
        self.server: KeyedServer | None = None
        """The server at the other end; None before the first connection."""

    @property
    def is_broken(self) -> bool:
        """Whether the last one is closed."""
        server = self.server
        if server is not None and not server.is_up and not server.is_unreachable:
            self._is_broken = self._is_broken or self._is_noticed()
        return self._is_broken

    def close(self) -> None:
        """Close all connections."""
        self._is_broken = self.server is not None


class CommandClient:
    """Commands that one router sends; implements ``ServerCommands``."""

    def __init__(self, servers: KeyedServers, rng: random.Random) -> None:
        self._servers = servers
        self._rng = rng
        self.late_share = 0.0
        """Fraction of the commands that are applied seconds later, without a reply."""
        self.lost_share = 0.0
        """Fraction of the commands that are applied but whose reply is lost."""
        self.is_cut_off = False
        """Whether no command reaches a server."""
        self.write_delay_s = 0.0
        """Time for which the router stands still before it writes a command."""
        self._link_held_until_s = float("-inf")
        """Time at which commands in the queue of the router's link arrive."""
        self._server_held_until_s: dict[ServerId, float] = {}
        """Time at which commands in the queue of a server's own link arrive."""
        self._connections: dict[tuple[str, int], Connections] = {}
        """The last connections to each address."""

    def hold_link(self, for_s: float) -> None:
        """Let commands wait in the queue of the router's link for some seconds."""
        self._link_held_until_s = asyncio.get_running_loop().time() + for_s

    def hold_server(self, server: ServerId, for_s: float) -> None:
        """Let commands to one server wait in the queue of its link for some seconds."""
        loop = asyncio.get_running_loop()
        self._server_held_until_s[server] = loop.time() + for_s

    async def connect(self) -> bool:
        """Return whether a connection to some server is opened in time."""
        loop = asyncio.get_running_loop()
        queued_s = max(0.0, self._link_held_until_s - loop.time())
        await asyncio.sleep(min(queued_s, CONNECT_TIMEOUT_S))
        return not self.is_cut_off and queued_s < CONNECT_TIMEOUT_S

    async def grant(
        self,
        server: BackendServer,
        first: int,
        last: int,
        fence: int,
        grant_ttl_ms: float,
        handover_token: str | None,
        may_write: MayWrite,
    ) -> Result[None, CommandFailure]:
        # The TTL of a grant counts from the arrival of the call, however late the
        # grant is applied.
        def apply(incarnation: KeyedServer, elapsed_ms: float) -> int:
            return incarnation.grant(first, last, fence, grant_ttl_ms - elapsed_ms)

        result = await self._send(server, apply, may_write)
        return result.map(lambda _: None)

    async def release(
        self,
        server: BackendServer,
        first: int,
        last: int,
        fence: int,
        may_write: MayWrite,
    ) -> Result[str | None, CommandFailure]:
        return await self._send(
            server,
            lambda incarnation, _: incarnation.release(first, last, fence),
            may_write,
        )

    async def probe(
        self, server: BackendServer, health_path: str
    ) -> Result[None, CommandFailure]:
        result = await self._send(server, lambda incarnation, _: 200, lambda: True)
        return result.map(lambda _: None)

    def continuity(self, server: BackendServer) -> Connections:
        address = (server.host, server.port)
        last = self._connections.get(address)
        if last is None or last.is_broken:
            last = Connections(lambda: not self.is_cut_off)
            self._connections[address] = last
        return last

    def _connect(self, server: BackendServer) -> KeyedServer | None:
        """Return the server at an address; connect to it if there is no connection."""
        receiver = self._servers.find_running(server)
        last = self.continuity(server)
        if receiver is None or last.server is receiver:
            return receiver
        # Connections to a process that has ended are of no use.
        last.close()
        self.continuity(server).server = receiver
        return receiver

    async def close(self) -> None:
        """Nothing to release."""

    async def _send(
        self, server: BackendServer, apply: Apply, may_write: MayWrite
    ) -> Result[str | None, CommandFailure]:
        loop = asyncio.get_running_loop()
        if self.write_delay_s >= COMMAND_TIMEOUT_S:
            # A router that goes on may write before the end of its term takes effect.
            loop.call_later(self.write_delay_s, self._write, server, apply, may_write)
            await asyncio.sleep(self.write_delay_s)
            return Failure(CommandUnanswered("timeout"))
        queued_s = self._queued_s(server)
        if queued_s >= COMMAND_TIMEOUT_S:
            self._write(server, apply, may_write)
            await asyncio.sleep(COMMAND_TIMEOUT_S)
            return Failure(CommandUnanswered("timeout"))
        receiver = self._servers.find_running(server)
        is_connected = self.continuity(server).server is receiver
        if receiver is not None and receiver.is_unreachable and not is_connected:
            await asyncio.sleep(COMMAND_TIMEOUT_S)
            return Failure(CommandUnanswered("no connection"))
        self._connect(server)
        if not may_write():
            return Failure(CommandNotSent("not permitted"))
        await asyncio.sleep(max(REPLY_DELAY_S / 2, queued_s))
        if self.is_cut_off:
            await asyncio.sleep(COMMAND_TIMEOUT_S)
            return Failure(CommandUnanswered("timeout"))
        incarnation = self._servers.find_running(server)
        if incarnation is None:
            return Failure(CommandUnanswered("refused"))
        if incarnation.is_unreachable:
            self.continuity(server).close()
            await asyncio.sleep(COMMAND_TIMEOUT_S)
            return Failure(CommandUnanswered("timeout"))
        if incarnation.entry.server != server.server:
            return Failure(CommandMisdirected(incarnation.entry.server))
        if incarnation.knows_no_commands:
            return Failure(CommandMisdirected(ServerId("")))
        if self._rng.random() < self.late_share:
            late_s = self._rng.uniform(*LATE_S)
            loop.call_later(late_s, _apply_late, incarnation, apply, late_s * 1000)
            await asyncio.sleep(COMMAND_TIMEOUT_S)
            return Failure(CommandUnanswered("timeout"))
        status = apply(incarnation, 0.0)
        if self._rng.random() < self.lost_share:
            await asyncio.sleep(COMMAND_TIMEOUT_S)
            return Failure(CommandUnanswered("timeout"))
        await asyncio.sleep(REPLY_DELAY_S / 2)
        if status != 200:
            return Failure(CommandRefused(status))
        return Success("token")

    def _queued_s(self, server: BackendServer) -> float:
        """Return for how long a command that is written now waits in queues."""
        server_until_s = self._server_held_until_s.get(server.server, float("-inf"))
        held_until_s = max(self._link_held_until_s, server_until_s)
        return held_until_s - asyncio.get_running_loop().time()

    def _write(self, server: BackendServer, apply: Apply, may_write: MayWrite) -> None:
        """Write a command that arrives after its sender stopped waiting."""
        self._connect(server)
        if not may_write():
            return
        incarnation = self._servers.find_running(server)
        if incarnation is None or incarnation.entry.server != server.server:
            return
        loop = asyncio.get_running_loop()
        queued_s = max(0.0, self._queued_s(server))
        loop.call_later(queued_s, _apply_late, incarnation, apply, 0.0)


def _apply_late(incarnation: KeyedServer, apply: Apply, elapsed_ms: float) -> None:
    if incarnation.is_up:
        apply(incarnation, elapsed_ms)

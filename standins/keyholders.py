"""In-memory backend servers that own keys under grants and check fencing tokens.

``KeyHolders.overlaps`` finds keys for which two running servers have a grant.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from mulberryrelay_edge.adapter import (
    OrderFailure,
    OrderLost,
    OrderMisdirected,
    OrderRefused,
)
from mulberryrelay_edge.messages import LAST_KEY, BackendServer
from mulberryrelay_kernel.ids import ServerId

ANSWER_S = 0.003
"""Time from a command to its reply."""
ORDER_TIMEOUT_S = 0.4
"""Time after which the sender of a command stops waiting for a reply."""
LATE_S = (2.0, 12.0)
"""Bounds of the delay of a command that is applied late."""
SLOWEST_CLOCK = 1.02
"""Factor by which the servers' clocks run slower than real time."""
STEP = 1024
"""Distance between two watched keys; the ends of ranges are watched as well."""


class Held(msgspec.Struct):
    """A key range that is granted to a server until ``until_ms``."""

    first: int
    last: int
    fence: int
    until_ms: float


class KeyHolder:
    """One incarnation of a server, and the ranges granted to it."""

    def __init__(
        self,
        server: BackendServer,
        clock: Callable[[], float],
        granted: Callable[["KeyHolder", int, int, int], None],
    ) -> None:
        self.server = server
        self.granted = granted
        self._clock = clock
        self.is_up = True
        self.is_silent = False
        """Whether it receives and answers no commands, but still runs requests."""
        self.held: list[Held] = []
        self.fences: dict[int, int] = {}
        """Highest fencing token that it received for each watched key."""

    def holds(self, key: int) -> bool:
        """Return whether it would currently run a request for a key."""
        if not self.is_up:
            return False
        now_ms = self._clock()
        return any(
            part.first <= key <= part.last and now_ms < part.until_ms
            for part in self.held
        )

    def grant(self, first: int, last: int, fence: int, hold_ms: float) -> int:
        """Apply a grant; return the HTTP status of the reply."""
        self.granted(self, first, last, fence)
        if any(self._seen(key) > fence for key in watched(first, last)):
            return 409
        self._cut_out(first, last)
        until_ms = self._clock() + hold_ms * SLOWEST_CLOCK
        self.held.append(Held(first, last, fence, until_ms))
        self._note(first, last, fence)
        return 200

    def accepts(self, key: int, fence: int) -> bool:
        """Return whether it would accept a grant of a key with this fencing token."""
        return self._seen(key) <= fence

    def release(self, first: int, last: int, fence: int) -> int:
        """Apply a release, which is never refused."""
        self._cut_out(first, last)
        self._note(first, last, fence)
        return 200

    def _seen(self, key: int) -> int:
        return self.fences.get(key, 0)

    def _note(self, first: int, last: int, fence: int) -> None:
        for key in watched(first, last):
            self.fences[key] = max(fence, self._seen(key))

    def _cut_out(self, first: int, last: int) -> None:
        kept = []
        for part in self.held:
            if part.last < first or part.first > last:
                kept.append(part)
                continue
            if part.first < first:
                kept.append(msgspec.structs.replace(part, last=first - 1))
            if part.last > last:
                kept.append(msgspec.structs.replace(part, first=last + 1))
        self.held = kept


def watched(first: int, last: int) -> list[int]:
    """Return the watched keys of a range, including its first and last key."""
    inner = range((first // STEP + 1) * STEP, last, STEP)
    return [first, *inner, last]


class KeyHolders:
    """All servers of a service, and the highest fencing token granted for each key."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.lives: list[KeyHolder] = []
        self.low_fences: list[str] = []
        """Grants whose fencing token was not above those of all other incarnations."""
        self._highest: dict[int, tuple[int, KeyHolder]] = {}

    def start(self, server: BackendServer) -> KeyHolder:
        """Start a server without grants."""
        holder = KeyHolder(server, self._clock, self._note_grant)
        self.lives.append(holder)
        return holder

    def _note_grant(self, holder: KeyHolder, first: int, last: int, fence: int) -> None:
        for key in range(-(-first // STEP) * STEP, last + 1, STEP):
            highest, by = self._highest.get(key, (0, holder))
            if by is not holder and fence <= highest and holder.accepts(key, fence):
                names = f"{holder.server.server}, {by.server.server}"
                self.low_fences.append(f"key {key} fence {fence}: {names}")
            if fence > highest:
                self._highest[key] = (fence, holder)

    def at(self, server: BackendServer) -> KeyHolder | None:
        """Return the running server at the address of an entry."""
        for holder in self.lives:
            entry = holder.server
            if holder.is_up and (entry.host, entry.port) == (server.host, server.port):
                return holder
        return None

    def overlaps(self) -> list[tuple[int, list[ServerId]]]:
        """Return the watched keys that several servers hold now, with the servers."""
        found = []
        edges = {part.first for holder in self.lives for part in holder.held}
        for key in sorted(edges | set(range(0, LAST_KEY + 1, STEP))):
            owners = [h.server.server for h in self.lives if h.holds(key)]
            if len(owners) > 1:
                found.append((key, owners))
        return found

    def unheld_share(self) -> float:
        """Return the fraction of the key space that no server holds."""
        keys = range(0, LAST_KEY + 1, STEP)
        missing = [k for k in keys if not any(h.holds(k) for h in self.lives)]
        return len(missing) / len(keys)


class OrderClient:
    """Commands that one router sends; implements ``ServerOrders``."""

    def __init__(self, holders: KeyHolders, rng: random.Random) -> None:
        self._holders = holders
        self._rng = rng
        self.late_share = 0.0
        """Fraction of the commands that are applied seconds later, without a reply."""
        self.lost_share = 0.0
        """Fraction of the commands that are applied but whose reply is lost."""

    async def grant(
        self,
        server: BackendServer,
        first: int,
        last: int,
        fence: int,
        hold_ms: float,
        token: str | None,
    ) -> Result[None, OrderFailure]:
        # The TTL of a grant counts from the arrival of the call, however late the
        # grant is applied.
        arrived_ms = asyncio.get_running_loop().time() * 1000

        def apply(holder: KeyHolder) -> int:
            passed_ms = asyncio.get_running_loop().time() * 1000 - arrived_ms
            return holder.grant(first, last, fence, hold_ms - passed_ms)

        result = await self._send(server, apply)
        return result.map(lambda _: None)

    async def release(
        self, server: BackendServer, first: int, last: int, fence: int
    ) -> Result[str | None, OrderFailure]:
        return await self._send(server, lambda h: h.release(first, last, fence))

    async def probe(
        self, server: BackendServer, health_path: str
    ) -> Result[None, OrderFailure]:
        result = await self._send(server, lambda holder: 200)
        return result.map(lambda _: None)

    async def close(self) -> None:
        """Nothing to release."""

    async def _send(
        self, server: BackendServer, apply: Callable[[KeyHolder], int]
    ) -> Result[str | None, OrderFailure]:
        await asyncio.sleep(ANSWER_S / 2)
        holder = self._holders.at(server)
        if holder is None:
            return Failure(OrderLost("refused"))
        if holder.is_silent:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return Failure(OrderLost("timeout"))
        if holder.server.server != server.server:
            return Failure(OrderMisdirected(holder.server.server))
        if self._rng.random() < self.late_share:
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.uniform(*LATE_S), _apply_late, holder, apply)
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return Failure(OrderLost("timeout"))
        status = apply(holder)
        if self._rng.random() < self.lost_share:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return Failure(OrderLost("timeout"))
        await asyncio.sleep(ANSWER_S / 2)
        if status != 200:
            return Failure(OrderRefused(status))
        return Success("token")


def _apply_late(holder: KeyHolder, apply: Callable[[KeyHolder], int]) -> None:
    if holder.is_up:
        apply(holder)

"""Bounds what all clients together take of a process: connections and memory.

Clients may open connections without end, send heads that never complete, or leave
responses unread. ``ClientLimiter`` knows all connections of clients and disconnects
those that wait for their client the longest, so that others can still connect.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import Enum
from math import inf
from typing import Protocol

import msgspec

from .allocator import return_free_memory
from .logs import log_event
from .memoryshares import kept_bytes

UNREAD_TIMEOUT_S = 15.0
"""Time for which a client may take no byte of a response before it is disconnected.

Kernels report that a client reads only once a third of their send buffer is free.
"""
SWEEP_PERIOD_S = 1.0
"""Period in which it is checked whether clients read their responses."""
FINISHING_SHARE = 0.1
"""Share of the connections that may be open beyond the limit while they finish."""
LOG_PERIOD_S = 1.0
"""Minimum time between two log lines with the same reason."""


class DisconnectReason(Enum):
    """Why a client was disconnected or refused."""

    CONNECTIONS_FULL = "connections-full"
    """There are too many connections."""
    MEMORY_FULL = "memory-full"
    """The connections together hold too many bytes."""
    RESPONSE_UNREAD = "response-unread"
    """The client takes no byte of a response."""
    HEAD_TOO_LONG = "head-too-long"
    HEAD_TOO_SLOW = "head-too-slow"


class HeadLimits(msgspec.Struct, frozen=True):
    """Limits for the head of one request."""

    max_bytes: int
    """Bytes that may arrive before a head is complete."""
    timeout_s: float
    """Time from the first byte of a head until it is complete."""
    max_queued_bytes: int
    """Bytes of requests that may wait on one connection before reading stops."""


class Client(Protocol):
    """A connection as the limiter sees it."""

    @property
    def held_bytes(self) -> int:
        """Bytes of received requests and of unread responses."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the client has not taken."""

    @property
    def has_carried_request(self) -> bool:
        """Whether a head was complete."""

    @property
    def awaits_client(self) -> bool:
        """Whether no request is in progress that the client has sent as a whole."""

    @property
    def has_queued_requests(self) -> bool:
        """Whether further requests wait behind the one in progress."""

    def disconnect(self) -> None:
        """Close the connection at once, without its unread bytes."""

    def finish(self) -> None:
        """Close the connection after the requests in progress; drop those queued."""


class _Entry(msgspec.Struct, eq=False):
    """What is known about a client."""

    opened_s: float
    held_bytes: int = 0
    unsent_bytes: int = 0
    """Unsent bytes at the last check."""
    stalled_s: float = 0.0
    """Time for which the client has taken none of them."""


class ClientLimiter:
    """All clients of a process, in the order of their last complete head."""

    def __init__(
        self,
        max_connections: float,
        max_held_bytes: float,
        head_limits: Callable[[], HeadLimits],
        unread_timeout_s: float = UNREAD_TIMEOUT_S,
    ) -> None:
        """``head_limits`` returns the limits that are in force."""
        self._max_connections = max_connections
        self._share_bytes = max_held_bytes
        self._max_held_bytes = max_held_bytes
        self._head_limits = head_limits
        self._max_finishing = FINISHING_SHARE * max_connections
        self._unread_timeout_s = unread_timeout_s
        self._entries: dict[Client, _Entry] = {}
        self._finishing: set[Client] = set()
        self._held_bytes = 0
        self._counts: Counter[DisconnectReason] = Counter()
        self._logged: dict[DisconnectReason, tuple[float, int]] = {}
        """Time and count of the last log line for each reason."""
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._has_freed = False
        """Whether clients were disconnected for their bytes since the last check."""

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._entries)

    @property
    def held_bytes(self) -> int:
        """Bytes that all connections hold, as of their last change."""
        return self._held_bytes

    @property
    def head_limits(self) -> HeadLimits:
        """Limits for heads that are in force."""
        return self._head_limits()

    def gauges(self) -> dict[str, float]:
        """Return the metrics: what clients hold now, and how many were refused."""
        gauges = {
            "client_connections": float(len(self._entries)),
            "client_held_bytes": float(self._held_bytes),
        }
        for reason in DisconnectReason:
            name = reason.value.replace("-", "_")
            gauges[f"clients_refused_{name}"] = float(self._counts[reason])
        return gauges

    def open(self, client: Client) -> None:
        """Add a connection; make room for it, or disconnect it if there is none."""
        loop = asyncio.get_running_loop()
        self._entries[client] = _Entry(loop.time())
        if self._sweep_timer is None:
            self._sweep_timer = loop.call_later(SWEEP_PERIOD_S, self._sweep)
        if len(self._entries) > self._max_connections:
            self._make_room(client)

    def close(self, client: Client) -> None:
        """Remove a connection that has ended."""
        self._finishing.discard(client)
        entry = self._entries.pop(client, None)
        if entry is not None:
            self._held_bytes -= entry.held_bytes

    def record_head(self, client: Client) -> None:
        """Record that a head is complete; the client is now the last to be closed."""
        entry = self._entries.pop(client, None)
        if entry is not None:
            self._entries[client] = entry

    def record_held(self, client: Client, held_bytes: int) -> None:
        """Record what a client holds; disconnect the largest if it is too much."""
        entry = self._entries.get(client)
        if entry is None or entry.held_bytes == held_bytes:
            return
        self._held_bytes += held_bytes - entry.held_bytes
        entry.held_bytes = held_bytes
        if self._held_bytes > self._max_held_bytes:
            self._reduce_held()

    def lend(self, lent_bytes: int) -> None:
        """Set how many bytes others may hold in place of connections."""
        self._max_held_bytes = kept_bytes(self._share_bytes, lent_bytes)
        if self._held_bytes > self._max_held_bytes:
            self._reduce_held()

    def record_refusal(self, reason: DisconnectReason) -> None:
        """Count and log that a client was refused."""
        self._counts[reason] += 1
        now_s = asyncio.get_running_loop().time()
        logged_s, logged_count = self._logged.get(reason, (-inf, 0))
        if now_s < logged_s + LOG_PERIOD_S:
            return
        self._logged[reason] = now_s, self._counts[reason]
        log_event(
            "clients_disconnected",
            reason=reason.value,
            clients=self._counts[reason] - logged_count,
            connections=len(self._entries),
            held_bytes=self._held_bytes,
        )

    def _make_room(self, newest: Client) -> None:
        """Close a connection for a new one, or the new one itself.

        If all have requests in progress, one with further requests behind them ends
        after their responses.
        """
        victim = self._find_idle(newest) or self._find_stalled()
        if victim is None and len(self._finishing) < self._max_finishing:
            for client in self._entries:
                if client.has_queued_requests and client not in self._finishing:
                    self._finishing.add(client)
                    self.record_refusal(DisconnectReason.CONNECTIONS_FULL)
                    client.finish()
                    return
        self._disconnect(victim or newest, DisconnectReason.CONNECTIONS_FULL)

    def _find_idle(self, newest: Client) -> Client | None:
        """Return the idle connection to be closed first, if there is one.

        First come clients that connected and sent no request in the time for a head,
        then the longest idle one.
        """
        timeout_s = self.head_limits.timeout_s
        last_opened_s = asyncio.get_running_loop().time() - timeout_s
        idle: Client | None = None
        for client, entry in self._entries.items():
            if client is newest or not client.awaits_client:
                continue
            if not client.has_carried_request and entry.opened_s < last_opened_s:
                return client
            idle = idle or client
        return idle

    def _find_stalled(self) -> Client | None:
        """Return the client that has read nothing for the longest time, if any."""
        slowest = max(self._entries, key=lambda client: self._entries[client].stalled_s)
        return slowest if self._entries[slowest].stalled_s else None

    def _reduce_held(self) -> None:
        """Disconnect clients until the others hold few enough bytes."""
        for client, entry in self._entries.items():
            # Requests that were taken from a queue are not recorded.
            held_bytes = client.held_bytes if entry.held_bytes else 0
            self._held_bytes += held_bytes - entry.held_bytes
            entry.held_bytes = held_bytes
        while self._held_bytes > self._max_held_bytes:
            victim = max(self._entries, key=self._rank_held)
            self._disconnect(victim, DisconnectReason.MEMORY_FULL)
            self._has_freed = True

    def _rank_held(self, client: Client) -> tuple[bool, bool, float, int]:
        """Return the rank of a client to be disconnected for its bytes.

        The bytes of clients that read their responses are soon gone.
        """
        entry = self._entries[client]
        held_bytes = entry.held_bytes
        return held_bytes > 0, client.awaits_client, entry.stalled_s, held_bytes

    def _sweep(self) -> None:
        """Disconnect clients that have taken no byte for too long."""
        self._sweep_timer = None
        if self._has_freed:
            self._has_freed = False
            return_free_memory()
        unread: list[Client] = []
        for client, entry in self._entries.items():
            unsent_bytes = client.unsent_bytes
            is_stalled = unsent_bytes > 0 and unsent_bytes == entry.unsent_bytes
            entry.unsent_bytes = unsent_bytes
            entry.stalled_s = entry.stalled_s + SWEEP_PERIOD_S if is_stalled else 0.0
            if entry.stalled_s >= self._unread_timeout_s:
                unread.append(client)
        for client in unread:
            self._disconnect(client, DisconnectReason.RESPONSE_UNREAD)
        if self._entries:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(SWEEP_PERIOD_S, self._sweep)

    def _disconnect(self, client: Client, reason: DisconnectReason) -> None:
        self.close(client)
        self.record_refusal(reason)
        client.disconnect()

"""Connections to backend servers that bound what a server may send.

A faulty server may send bytes without end: in a head, in a body, as interim responses,
or on a connection that waits in the pool. ``ServerConnection`` closes the connection at
once in each of these cases, and when a response has an invalid status.
``ResponseBuffer`` bounds the bytes that all responses together may hold in memory.
"""

import asyncio
import functools
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader
from multidict import istr

from mulberryrelay_kernel.clock import boottime_ms
from mulberryrelay_kernel.httpclient import InvalidStatusError, ResponseTooLongError
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.memoryshares import kept_bytes

MAX_INTERIM_RESPONSES = 8
"""Interim responses (1xx) that a server may send before its response."""
MAX_STATUS = 599
"""Largest status of a response, RFC 9110 section 15."""
MAX_UNREAD_RESPONSES = 4
"""Responses that may wait on a connection.

A connection carries one request at a time, so more than one of them is unrequested.
"""
KEEP_ALIVE_HEADER = istr("Keep-Alive")
IDLE_MARGIN_MS = 300.0
"""Time before its server closes an idle connection in which it is not reused."""
MAX_IDLE_DIGITS = 6
"""Digits of an idle time; larger numbers are not plausible."""
MAX_LOGGED_LENGTH = 32
"""Characters of an invalid header value in a log line."""
MAX_HEAD_BYTES = 65_536
"""Bytes that all heads of the responses to one request may have together."""

OnLost = Callable[[str, int], None]
"""Called with the host and port of a server."""


class ServerConnection(ResponseHandler):
    """A connection that is closed when its server sends more than it may.

    Interim responses are dropped. The reader of the response gets a
    ``ResponseTooLongError``, or an ``InvalidStatusError`` if its status is not valid.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        last_response_header: istr | None = None,
        default_idle_s: float | None = None,
        on_lost: OnLost | None = None,
    ) -> None:
        """``last_response_header`` marks the last response on a connection.

        ``default_idle_s`` is how long it may be idle if its server does not state that.
        ``on_lost`` is called if the server ends an idle connection that it had not
        announced to close; its process may have ended.
        """
        super().__init__(loop)
        self._default_idle_s = default_idle_s
        self._on_lost = on_lost
        self._has_ended_by_server = False
        self._is_response_due = False
        self._last_response_header = last_response_header
        self._has_carried_request = False
        self._interim_responses = 0
        self._bytes_left = float(MAX_HEAD_BYTES)
        self._idle_limit_s: float | None = None
        """Idle time after which the server closes the connection, if it states one."""
        self._received_ms = boottime_ms()

    @property
    def is_closing_soon(self) -> bool:
        """Whether the server may close the connection now, because it is idle."""
        limit_ms = None
        if self._idle_limit_s is not None:
            limit_ms = self._idle_limit_s * 1000 - IDLE_MARGIN_MS
        elif self._default_idle_s is not None:
            limit_ms = self._default_idle_s * 1000
        return limit_ms is not None and boottime_ms() - self._received_ms > limit_ms

    @property
    def has_carried_request(self) -> bool:
        """Whether a request was already sent on this connection."""
        return self._has_carried_request

    def expect_response(self, max_bytes: float) -> None:
        """Permit the next response; ``max_bytes`` bounds the bodies received for it."""
        self._has_carried_request = True
        self._is_response_due = True
        self._interim_responses = 0
        self._bytes_left = max_bytes + MAX_HEAD_BYTES

    def data_received(self, data: bytes) -> None:
        self._bytes_left -= len(data)
        if self._bytes_left < 0:
            self.reject("a response exceeds its limit")
            return
        self._received_ms = boottime_ms()
        super().data_received(data)

    def eof_received(self) -> None:
        self._has_ended_by_server = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        is_lost = exc is not None or self._has_ended_by_server
        # A full server may reset a connection before it has carried a request.
        is_idle = self._has_carried_request and not self._is_response_due
        is_idle = is_idle and not self.should_close
        is_unannounced = is_lost and is_idle and not self.is_closing_soon
        if self._on_lost is not None and is_unannounced:
            peer = self.transport.get_extra_info("peername") if self.transport else None
            if peer is not None:
                self._on_lost(peer[0], peer[1])
        super().connection_lost(exc)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        message, _ = data
        if not 100 <= message.code <= MAX_STATUS:
            # Its length may be as wrong as its status, so the body is not read.
            reason = f"the invalid status {message.code:03}"
            self.reject(reason, InvalidStatusError(reason))
            return
        if message.code < 200:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES or message.code == 101:
                self.reject("interim responses without end, or an unrequested upgrade")
            return
        self._is_response_due = False
        if len(self) >= MAX_UNREAD_RESPONSES:
            self.reject("responses that nobody requested")
            return
        if self._last_response_header in message.headers:
            self.force_close()
        if KEEP_ALIVE_HEADER in message.headers:
            self._idle_limit_s = parse_idle_limit_s(message.headers[KEEP_ALIVE_HEADER])
        super().feed_data(data, size)

    def reject(self, reason: str, error: Exception | None = None) -> None:
        """Close the connection; its reader gets ``error``.

        By default it is a ``ResponseTooLongError``.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        peer = transport.get_extra_info("peername")
        log_event("response_rejected", peer=peer, reason=reason)
        error = error or ResponseTooLongError(reason)
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        transport.abort()


class BoundedConnection(ServerConnection):
    """A connection of a client session, which states no limit for each request.

    It is closed when bytes arrive while no request waits for a response. The session
    would read them as the response to its next request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, max_bytes: float) -> None:
        super().__init__(loop)
        self._max_bytes = max_bytes
        self._awaits_response = False
        """Whether a request was sent and the head of its response is still missing."""

    @property
    def is_idle(self) -> bool:
        """Whether no response, nor a part of one, is expected."""
        is_read = self._payload is None or self._payload.is_eof()
        return is_read and not self._awaits_response

    def set_response_params(self, **params: Any) -> None:
        self.expect_response(self._max_bytes)
        self._awaits_response = True
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        if data and self.is_idle:
            self.reject("bytes on an idle connection")
            return
        super().data_received(data)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        message, _ = data
        if message.code >= 200:
            self._awaits_response = False
        super().feed_data(data, size)


def bound_responses(connector: aiohttp.TCPConnector, max_bytes: float) -> None:
    """Close a connection whose server sends a longer body, or a head without end."""

    def create_connection() -> ResponseHandler:
        return BoundedConnection(asyncio.get_running_loop(), max_bytes)

    set_connection_factory(connector, create_connection)


def set_connection_factory(
    connector: aiohttp.TCPConnector, create_connection: Callable[[], ResponseHandler]
) -> None:
    """Let a connector create its connections with a function."""
    # aiohttp has no public way to choose the class of its connections.
    connector._factory = functools.partial(create_connection)


def parse_idle_limit_s(value: str) -> float | None:
    """Return the idle time that a ``Keep-Alive`` header states, or None."""
    for parameter in value.split(","):
        name, _, text = parameter.strip().partition("=")
        if name.lower() != "timeout":
            continue
        if text.isdecimal() and len(text) <= MAX_IDLE_DIGITS:
            return float(text)
        log_event("invalid_keep_alive", value=value[:MAX_LOGGED_LENGTH])
    return None


class ResponseHold:
    """The bytes that one response holds in memory."""

    def __init__(self, buffer: "ResponseBuffer", on_evict: Callable[[], None]) -> None:
        self._buffer = buffer
        self._on_evict = on_evict
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Number of bytes that the response holds."""
        return self._held_bytes

    def add(self, count: int) -> None:
        """Count received bytes; evict the largest response if there are too many."""
        self._held_bytes += count
        self._buffer.enforce_limit()

    def resize(self, held_bytes: int) -> None:
        """Set what the response holds; evict the largest one if there is too much."""
        is_growing = held_bytes > self._held_bytes
        self._held_bytes = held_bytes
        if is_growing:
            self._buffer.enforce_limit()

    def close(self) -> None:
        """Release the response's bytes."""
        self._buffer.close(self)

    def evict(self) -> None:
        """End the response, because all responses together hold too much."""
        self._on_evict()


class ResponseBuffer:
    """Bounds the bytes of all responses that are being received or sent."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._lent_bytes = 0
        self._holds: set[ResponseHold] = set()

    @property
    def held_bytes(self) -> int:
        """Number of bytes that all responses hold."""
        return sum(hold.held_bytes for hold in self._holds)

    def open(self, on_evict: Callable[[], None]) -> ResponseHold:
        """Register a response; ``on_evict`` must end it."""
        hold = ResponseHold(self, on_evict)
        self._holds.add(hold)
        return hold

    def close(self, hold: ResponseHold) -> None:
        """Release all bytes of a response."""
        self._holds.discard(hold)

    def lend(self, lent_bytes: int) -> None:
        """Set how many bytes others may hold in place of responses."""
        self._lent_bytes = lent_bytes
        self.enforce_limit()

    def enforce_limit(self) -> None:
        """Evict the largest responses until the others are within the limit."""
        limit_bytes = kept_bytes(self._max_bytes, self._lent_bytes)
        while self._holds and self.held_bytes > limit_bytes:
            largest = max(self._holds, key=lambda hold: hold.held_bytes)
            log_event(
                "response_evicted",
                held_bytes=largest.held_bytes,
                responses=len(self._holds),
                limit_bytes=round(limit_bytes),
            )
            self._holds.discard(largest)
            largest.evict()

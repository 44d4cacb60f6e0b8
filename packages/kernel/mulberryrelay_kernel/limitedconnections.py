"""Connections of callers that bound what each caller may send and leave unread.

A head has to be complete within a number of bytes and a time. Complete heads that wait
are bounded by not reading on. ``clientlimits`` bounds all connections together.
"""

import asyncio
from typing import Any, cast

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import _ErrInfo

from .callerconnections import CallerConnection, CallerConnectionServer
from .clientlimits import ClientLimiter, DisconnectReason, HeadLimits
from .transports import limit_reads

WRITE_BUFFER_BYTES = 16_384
"""Unsent bytes of a connection from which on its responses wait to be written."""
EMPTY_LINE = b"\r\n"
"""A caller may send some before a head; they begin none, RFC 9112 section 2.2."""
BODY_STALL_S = 10.0
"""Time without a byte of a body after which its connection may be closed for others."""
MAX_FIELDS = 128
"""Number of header fields that the parser accepts."""
FIELD_OVERHEAD_BYTES = 4
"""Bytes of a header line beside its name and value: a colon, a space and its end."""
QUEUED_HEADS = 4
"""Heads of maximum length that may wait on one connection before reading stops.

Requests with a body may wait as long as they take no more bytes than these.
"""
PARSED_REQUEST_BYTES = 4096
"""Memory of the objects of a parsed request, beside its bytes."""
REFUSED_STATUSES = {
    DisconnectReason.HEAD_TOO_LONG: 431,
    DisconnectReason.HEAD_TOO_SLOW: 408,
}


def head_limits(
    header_bytes: int, request_line_bytes: int, timeout_s: float
) -> HeadLimits:
    """Return limits that no head exceeds whose fields and request line are permitted.

    ``header_bytes`` counts names and values of all fields. A head that is longer than
    permitted, but within these limits, is refused by its handler once it is complete.
    """
    fields_bytes = header_bytes + MAX_FIELDS * FIELD_OVERHEAD_BYTES
    return HeadLimits(
        request_line_bytes + fields_bytes, timeout_s, QUEUED_HEADS * fields_bytes
    )


class LimitedConnection(CallerConnection):
    """A connection of a caller, known to a ``ClientLimiter`` as long as it is open."""

    def __init__(
        self, server: web.Server, limiter: ClientLimiter, **options: Any
    ) -> None:
        super().__init__(server, **options)
        self._limiter = limiter
        # aiohttp forgets its transport when it begins to close it.
        self._client_transport: asyncio.Transport | None = None
        self._partial_bytes = 0
        """Bytes received since a head was complete and its body ended."""
        self._last_payload: StreamReader | None = None
        """Body that arrives after the last complete head."""
        self._body_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._received_s = 0.0
        self._is_refused = False
        self._has_carried_request = False

    @property
    def has_carried_request(self) -> bool:
        """Whether a head was complete."""
        return self._has_carried_request

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the caller has not taken."""
        transport = self._client_transport
        return transport.get_write_buffer_size() if transport is not None else 0

    @property
    def held_bytes(self) -> int:
        """Bytes of heads, of bodies that nobody else counts, and unread responses."""
        received = self._partial_bytes + self._queued_bytes + self._unread_body_bytes
        return received + self._body_bytes + self.unsent_bytes

    @property
    def awaits_client(self) -> bool:
        """Whether no request is in progress that the caller has sent as a whole."""
        if self._messages or self._is_refused:
            return False
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            return True
        if not self._is_receiving_body or self._reading_paused:
            return False
        return self._loop.time() > self._received_s + BODY_STALL_S

    @property
    def has_queued_requests(self) -> bool:
        """Whether further requests wait behind the one in progress."""
        return bool(self._messages) and not self._is_refused

    @property
    def _is_receiving_body(self) -> bool:
        payload = self._last_payload
        return payload is not None and not payload.is_eof()

    @property
    def _queued_bytes(self) -> int:
        """Bytes of complete heads that wait to be handled, and of their bodies."""
        queued = 0
        for message, payload in self._messages:
            if isinstance(message, _ErrInfo):
                continue
            queued += PARSED_REQUEST_BYTES + len(message.path) + payload.total_bytes
            for name, value in message.raw_headers:
                queued += len(name) + len(value)
        return queued

    @property
    def _unread_body_bytes(self) -> int:
        """Bytes of the body of the request in progress that its handler has not read.

        Those of a request that waits belong to ``_queued_bytes``.
        """
        payload = self._last_payload
        if payload is None or not payload.total_bytes:
            return 0
        if self._messages and self._messages[-1][1] is payload:
            return 0
        # aiohttp has no public way to read it.
        return payload._size

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of uvloop are no subclass.
        client_transport = cast(asyncio.Transport, transport)
        self._client_transport = client_transport
        client_transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        limit_reads(transport)
        super().connection_made(transport)
        self._limiter.open(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._client_transport = None
        self._cancel_head_timer()
        self._limiter.close(self)
        # Bodies refer to their connection; without the cycle they are freed at once.
        self._last_payload = None
        if self._waiter is None:
            self._messages.clear()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._is_refused:
            return
        payload = self._last_payload if self._is_receiving_body else None
        body_bytes = payload.total_bytes if payload is not None else 0
        heads = self._request_count
        super().data_received(data)
        self._received_s = self._loop.time()
        if self._request_count != heads:
            self._record_head()
        elif payload is not None:
            has_progress = payload.total_bytes > body_bytes or payload.is_eof()
            self._check_trailer(data, has_progress)
        elif data and not self._upgraded:
            self._check_partial_head(data)
        self._record_held()

    def hold_body(self, body_bytes: int) -> None:
        """Count a body that was read, until it is called again with 0."""
        self._body_bytes = body_bytes
        self._record_held()

    def pause_writing(self) -> None:
        super().pause_writing()
        self._record_held()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._record_held()

    def disconnect(self) -> None:
        """Close the connection at once, without its unread bytes."""
        if self._client_transport is not None:
            self._client_transport.abort()

    def finish(self) -> None:
        """Close the connection after the requests in progress; drop those queued."""
        self.stop_reading()
        self.close()

    def stop_reading(self) -> None:
        """Take no more requests from the caller."""
        self._is_refused = True
        self._cancel_head_timer()
        self._pause_transport_reading()

    def _resume_reading_if_drained(self) -> None:
        limit = self._limiter.head_limits.max_queued_bytes
        if not self._is_refused and self._queued_bytes <= limit / 2:
            super()._resume_reading_if_drained()

    def _record_head(self) -> None:
        """Record complete heads; the rest of these bytes is not counted."""
        self._has_carried_request = True
        self._partial_bytes = 0
        self._cancel_head_timer()
        if self._messages:
            _, payload = self._messages[-1]
            self._last_payload = payload
        if len(self._messages) > 1 and not self._buffer_paused:
            limit = self._limiter.head_limits.max_queued_bytes
            if self._queued_bytes > limit:
                self._pause_reading_for_buffer()
        self._limiter.record_head(self)

    def _check_partial_head(self, data: bytes) -> None:
        limits = self._limiter.head_limits
        self._partial_bytes += len(data)
        if self._partial_bytes > limits.max_bytes:
            self._refuse(DisconnectReason.HEAD_TOO_LONG)
        elif self._head_timer is None and data.strip(EMPTY_LINE):
            self._head_timer = self._loop.call_later(
                limits.timeout_s, self._refuse, DisconnectReason.HEAD_TOO_SLOW
            )

    def _check_trailer(self, data: bytes, has_progress: bool) -> None:
        """Disconnect a caller that sends too much between the bytes of a body.

        That is fields behind the last chunk, or what stands between two chunks.
        """
        self._partial_bytes = 0 if has_progress else self._partial_bytes + len(data)
        if self._partial_bytes > self._limiter.head_limits.max_bytes:
            self._partial_bytes = 0
            self._limiter.record_refusal(DisconnectReason.HEAD_TOO_LONG)
            self.disconnect()

    def _refuse(self, reason: DisconnectReason) -> None:
        """Read no more, and refuse the head once earlier requests have responses."""
        self._cancel_head_timer()
        if self._is_refused or self._force_close or self._close:
            return
        self.stop_reading()
        self._partial_bytes = 0
        self._limiter.record_refusal(reason)
        status = REFUSED_STATUSES[reason]
        error = HttpProcessingError(code=status, message=reason.value)
        info = _ErrInfo(status=status, exc=error, message=reason.value)
        self._messages.append((info, EMPTY_PAYLOAD))
        self._request_count += 1
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _record_held(self) -> None:
        self._limiter.record_held(self, self.held_bytes)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class LimitedConnectionServer(CallerConnectionServer):
    """Creates a ``LimitedConnection`` for each connection."""

    def __init__(self, limiter: ClientLimiter, handler: Any, **options: Any) -> None:
        super().__init__(handler, **options)
        self._limiter = limiter

    @property
    def limiter(self) -> ClientLimiter:
        """The limits that all connections share."""
        return self._limiter

    def __call__(self) -> web.RequestHandler:
        return LimitedConnection(self, self._limiter, loop=self._loop, **self._kwargs)

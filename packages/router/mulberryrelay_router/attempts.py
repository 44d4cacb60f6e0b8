"""Sends one attempt of a request to one backend server and determines its outcome.

The outcome is "not run" if no byte of the request was written or if the server refused
it. Otherwise it is "ran" once a response that echoes the request id has arrived as a
whole, or exceeds the buffer and is streamed. In all other cases it is "unknown".
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec
from multidict import CIMultiDict, istr

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.hashing import request_fingerprint
from mulberryrelay_kernel.ids import (
    Epoch,
    Fingerprint,
    IdempotencyKey,
    Key,
    RequestClass,
    RequestId,
    ServiceName,
    Term,
    UnitId,
)
from mulberryrelay_kernel.messages import ServerEntry
from mulberryrelay_kernel.states import NotRunReason, Outcome

from .pool import NotSentError, Pool

REQUEST_ID_HEADER = istr("Mulberry-Request-Id")
KEY_HEADER = istr("Mulberry-Key")
CLASS_HEADER = istr("Mulberry-Class")
DEADLINE_HEADER = istr("Mulberry-Deadline-Ms")
UNIT_HEADER = istr("Mulberry-Unit")
EPOCH_HEADER = istr("Mulberry-Epoch")
TERM_HEADER = istr("Mulberry-Term")
OUTCOME_HEADER = istr("Mulberry-Outcome")
OWNER_HEADER = istr("Mulberry-Owner")
NOT_RUN_HEADER = istr("Mulberry-Not-Run")
SERVER_STATE_HEADER = istr("Mulberry-Server-State")
IDEMPOTENCY_HEADER = istr("Idempotency-Key")

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD"})

# Headers that apply to one connection (RFC 9110 section 7.6.1) or are set by aiohttp.
HOP_BY_HOP_HEADERS = tuple(
    istr(name)
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    )
)
CONTENT_LENGTH_HEADER = istr("Content-Length")
TRANSFER_ENCODING_HEADER = istr("Transfer-Encoding")
# Statuses of responses without a body (RFC 9110 section 6.4.1).
BODILESS_STATUSES = frozenset({204, 304})


class CallerRequest(msgspec.Struct, frozen=True):
    """A request of a caller, with its whole body."""

    request_id: RequestId
    service: ServiceName
    request_class: RequestClass
    method: str
    path: str
    """Path and query that follow the name of the service."""
    key: Key | None
    idempotency_key: IdempotencyKey | None
    headers: CIMultiDict[str]
    """Headers to forward, without those of the caller's connection."""
    body: bytes
    deadline_ms: float
    """Deadline on the monotonic clock of this process."""

    @property
    def is_idempotent(self) -> bool:
        """Whether the method is idempotent, so that a retry is safe."""
        return self.method in IDEMPOTENT_METHODS

    def fingerprint(self) -> Fingerprint:
        """Return the digest of service, method, path, key and body."""
        parts = (self.service, self.method, self.path, self.key or "")
        return request_fingerprint(parts, self.body)


class Target(msgspec.Struct, frozen=True):
    """Server of an attempt, and the unit and epoch under which it owns the key."""

    server: ServerEntry
    term: Term
    unit: UnitId | None = None
    """None for a service without units."""
    epoch: Epoch = Epoch(0)


class RoutedResponse(msgspec.Struct, frozen=True):
    """Response to one attempt or to a request, with its outcome."""

    outcome: Outcome
    status: int
    headers: CIMultiDict[str]
    body: bytes
    reason: NotRunReason | None = None
    stream: "ResponseStream | None" = None
    """The rest of a response that is too long to be buffered."""
    error: str = ""
    """Code of an error that the router itself reports."""
    detail: str = ""
    is_sent: bool = True
    """Whether the first byte of the request was written."""
    is_broken: bool = False
    """Whether the connection broke before the response was complete."""
    is_timed_out: bool = False
    """Whether the deadline of the attempt passed."""


class ResponseStream:
    """Rest of a response that is forwarded to the caller while it arrives."""

    def __init__(
        self, server_response: aiohttp.ClientResponse, on_close: Callable[[], None]
    ) -> None:
        self._server_response = server_response
        self._on_close = [on_close]
        self._on_break: Callable[[], Awaitable[None]] | None = None
        self._is_closed = False
        self._is_broken = False
        self._closed = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether the whole response has arrived."""
        return self._server_response.content.is_eof() and not self._is_broken

    @property
    def is_broken(self) -> bool:
        """Whether the connection broke before the end of the response."""
        return self._is_broken

    def add_callbacks(
        self, on_close: Callable[[], None], on_break: Callable[[], Awaitable[None]]
    ) -> None:
        """Add callbacks for the end of the stream and for a broken connection.

        ``on_break`` runs before the error is raised to the reader of the stream.
        """
        self._on_close.append(on_close)
        self._on_break = on_break

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the rest of the body.

        Raises:
            aiohttp.ClientError: the connection broke before the end.
            TimeoutError: the deadline of the attempt passed.
        """
        while True:
            try:
                chunk = await self._server_response.content.readany()
            except (aiohttp.ClientError, ConnectionError):
                self._is_broken = True
                if self._on_break is not None:
                    await self._on_break()
                raise
            if not chunk:
                return
            yield chunk

    def close(self) -> None:
        """End the attempt; close the connection unless the response is complete."""
        if self._is_closed:
            return
        self._is_closed = True
        if not self._server_response.content.is_eof():
            self._server_response.close()
        self._server_response.release()
        self._closed.set()
        for on_close in self._on_close:
            on_close()

    async def wait_closed(self) -> None:
        """Wait until the response has ended or was abandoned."""
        await self._closed.wait()


class Attempt:
    """State of one attempt while it runs.

    ``before_send`` is called directly before the write and returns whether the attempt
    may be sent. ``on_end`` is called once the attempt can have no later effect.
    """

    def __init__(
        self,
        request: CallerRequest,
        target: Target,
        deadline_ms: float,
        clock: Clock,
        before_send: Callable[[], bool],
        on_end: Callable[[], None],
    ) -> None:
        self._request = request
        self._target = target
        self._deadline_ms = deadline_ms
        self._clock = clock
        self._before_send = before_send
        self._on_end = on_end
        self._is_sent = False

    @property
    def body(self) -> bytes:
        return self._request.body

    @property
    def is_sent(self) -> bool:
        """Whether the first byte may have been written."""
        return self._is_sent

    @property
    def left_ms(self) -> float:
        """Milliseconds until the deadline of the attempt."""
        return self._deadline_ms - self._clock()

    def before_write(self, headers: CIMultiDict[str]) -> None:
        """Check that the attempt may be sent, and mark it as sent.

        Raises:
            NotSentError: the attempt must not be sent now.
        """
        left_ms = int(self.left_ms)
        if left_ms <= 0 or not self._before_send():
            raise NotSentError(
                "the owner changed or the deadline passed before the request was sent"
            )
        self._is_sent = True
        headers[DEADLINE_HEADER] = str(left_ms)

    def end(self, is_outcome_known: bool, is_fenced: bool) -> None:
        """Call ``on_end`` now, or at the deadline if the request may still run.

        A server that checks grants refuses a request that it reads after the unit has
        moved. A server that does not may run the request until its deadline, unless
        its response has made the outcome certain.
        """
        if not self._is_sent:
            return
        if is_outcome_known or is_fenced or self.left_ms <= 0:
            self._on_end()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.left_ms / 1000, self._on_end)


async def send_attempt(
    pool: Pool,
    attempt: Attempt,
    request: CallerRequest,
    target: Target,
    is_fenced: bool,
    max_buffered_bytes: int,
) -> RoutedResponse:
    """Send a request to a server and return the response with its outcome.

    Connection failures are returned as a response with status 502 or 504, never raised
    as an exception. A response of more than ``max_buffered_bytes`` is returned as a
    stream, which the receiver has to close. ``is_fenced`` is whether a late run cannot
    overlap that of a new owner: the server checks grants, or the service has no units.
    """
    is_outcome_known = False
    is_streaming = False
    try:
        async with asyncio.timeout(attempt.left_ms / 1000):
            server_response = await pool.send(
                target.server.host,
                target.server.port,
                request.method,
                request.path,
                _request_headers(request, target),
                attempt,
            )
            try:
                response = await _read_response(
                    server_response, attempt, request, max_buffered_bytes
                )
            except BaseException:
                server_response.close()
                raise
        is_outcome_known = response.outcome is not Outcome.UNKNOWN
        is_streaming = response.stream is not None
        return response
    except (aiohttp.ClientConnectionError, aiohttp.ClientPayloadError) as error:
        # A connect timeout is both one of these and a TimeoutError.
        return _failed_attempt(
            attempt, 502, "connection-lost", repr(error), is_broken=True
        )
    except TimeoutError:
        return _failed_attempt(
            attempt,
            504,
            "deadline",
            "the deadline of the attempt passed",
            is_timed_out=True,
        )
    except OSError as error:
        return _failed_attempt(
            attempt, 502, "connection-lost", repr(error), is_broken=True
        )
    except NotSentError as error:
        return _failed_attempt(attempt, 503, "not-sent", str(error))
    except aiohttp.ClientError as error:
        return _failed_attempt(attempt, 502, "bad-answer", repr(error))
    except ValueError as error:
        # Raised before anything is written, for headers that cannot be encoded.
        return _failed_attempt(attempt, 400, "bad-header", str(error))
    finally:
        if not is_streaming:
            attempt.end(is_outcome_known, is_fenced)


def local_response(
    outcome: Outcome, status: int, error: str, detail: str = ""
) -> RoutedResponse:
    """Return a response that the router itself generates, without an attempt."""
    return RoutedResponse(
        outcome, status, CIMultiDict(), b"", error=error, detail=detail, is_sent=False
    )


def _failed_attempt(
    attempt: Attempt,
    status: int,
    error: str,
    detail: str,
    is_broken: bool = False,
    is_timed_out: bool = False,
) -> RoutedResponse:
    return RoutedResponse(
        Outcome.UNKNOWN if attempt.is_sent else Outcome.NOT_RUN,
        status,
        CIMultiDict(),
        b"",
        error=error,
        detail=detail,
        is_sent=attempt.is_sent,
        is_broken=is_broken and attempt.is_sent,
        is_timed_out=is_timed_out,
    )


def _request_headers(request: CallerRequest, target: Target) -> CIMultiDict[str]:
    headers = request.headers.copy()
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[TERM_HEADER] = str(target.term)
    if target.unit is not None:
        headers[UNIT_HEADER] = target.unit
        headers[EPOCH_HEADER] = str(target.epoch)
    if request.body or not request.is_idempotent:
        headers[CONTENT_LENGTH_HEADER] = str(len(request.body))
    return headers


async def _read_response(
    server_response: aiohttp.ClientResponse,
    attempt: Attempt,
    request: CallerRequest,
    max_buffered_bytes: int,
) -> RoutedResponse:
    if server_response.headers.get(REQUEST_ID_HEADER) != request.request_id:
        server_response.close()
        return _failed_attempt(
            attempt, 502, "foreign-answer", "the response has the id of another request"
        )
    is_chunked = TRANSFER_ENCODING_HEADER in server_response.headers
    has_body = (
        request.method != "HEAD" and server_response.status not in BODILESS_STATUSES
    )
    if has_body and server_response.content_length is None and not is_chunked:
        server_response.close()
        # The end of such a response cannot be told from a broken connection.
        return _failed_attempt(
            attempt, 502, "unbounded-answer", "the response has no length"
        )
    headers = CIMultiDict(server_response.headers)
    for name in HOP_BY_HOP_HEADERS:
        headers.popall(name, None)
    length = server_response.content_length or 0
    if has_body and length > max_buffered_bytes:
        return _streamed_response(server_response, attempt, headers, b"")
    if not is_chunked or not has_body:
        return _buffered_response(
            server_response, attempt, headers, await server_response.read()
        )
    chunks = []
    while chunk := await server_response.content.readany():
        chunks.append(chunk)
        length += len(chunk)
        if length > max_buffered_bytes:
            return _streamed_response(
                server_response, attempt, headers, b"".join(chunks)
            )
    return _buffered_response(server_response, attempt, headers, b"".join(chunks))


def _streamed_response(
    server_response: aiohttp.ClientResponse,
    attempt: Attempt,
    headers: CIMultiDict[str],
    buffered: bytes,
) -> RoutedResponse:
    stream = ResponseStream(server_response, lambda: attempt.end(True, True))
    return RoutedResponse(
        Outcome.RAN, server_response.status, headers, buffered, stream=stream
    )


def _buffered_response(
    server_response: aiohttp.ClientResponse,
    attempt: Attempt,
    headers: CIMultiDict[str],
    body: bytes,
) -> RoutedResponse:
    refusal = server_response.headers.get(NOT_RUN_HEADER)
    if server_response.status != 503 or refusal is None:
        return RoutedResponse(Outcome.RAN, server_response.status, headers, body)
    try:
        reason = NotRunReason(refusal)
    except ValueError:
        return _failed_attempt(
            attempt, 502, "bad-answer", f"unknown refusal reason {refusal!r}"
        )
    return RoutedResponse(
        Outcome.NOT_RUN, server_response.status, headers, body, reason
    )

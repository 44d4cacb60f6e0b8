"""Sends one attempt of a request to one server and classifies its outcome.

An attempt certainly did not run if none of its bytes were written or the server states
that it did not run it. After any other failure once the first byte was written, the
request may have run.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from math import inf, nan

import aiohttp
import msgspec
from aiohttp.http import RawResponseMessage, StreamWriter
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from multidict import CIMultiDict, istr

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.supervision import log_failure
from mulberryrelay_router.attempts import (
    CONTENT_LENGTH_HEADER,
    HOP_BY_HOP_HEADERS,
)
from mulberryrelay_router.pool import (
    NotSentError,
    Pool,
    has_long_body,
    write_body,
)
from mulberryrelay_router.serverconnection import ResponseBuffer, ServerConnection

from .adapter import Adapter
from .messages import BackendServer, EdgeRequest, LoadReport, RequestBody
from .overdue import OverdueWatch
from .rangeedits import NO_SERVER
from .responsestream import (
    STREAMED_BYTES,
    ResponseStream,
    content_length,
    is_unframed,
)

HOST_HEADER = istr("Host")
CONTENT_ENCODING_HEADER = istr("Content-Encoding")
MAX_RESPONSES_READ = 3
"""Maximum number of responses read from a connection for one attempt.

A server may send the response to an earlier attempt late, on the same connection.
"""
RETRY_AFTER_HEADER = istr("Retry-After")
MAX_PAUSE_S = 3600.0
"""Longest time for which a server may refuse requests in advance."""
MAX_LOGGED_LENGTH = 32
"""Characters of an invalid header value in a log line."""
NOT_RUN_STATUSES = frozenset({400, 421, 429, 503})
"""Statuses with which a server can state that it did not run a request."""


class AttemptOutcome(Enum):
    """How one attempt ended."""

    COMPLETED = "answered"
    """The server's response was read completely."""
    NOT_RUN = "not-run"
    """The server states that it did not run the request."""
    NOT_SENT = "not-sent"
    """No byte of the request was written."""
    BROKEN = "broken"
    """The connection failed or the response is invalid; the request may have run."""
    OVERDUE = "overdue"
    """No response began for long, so it is retried; the request may have run."""
    TIMED_OUT = "late"
    """There was no complete response by the deadline; the request may have run."""


class Obstacle(Enum):
    """Why a request may not be written to the server that was chosen for it."""

    MAY_HAVE_LEFT = "server-may-have-left"
    WANTS_NONE = "server-paused"
    MAY_CRASH = "request-may-crash-servers"
    COLD = "server-cold"
    REGION = "region-not-allowed"


FindObstacle = Callable[[], Obstacle | None]
"""Returns why a request may not be written now, or None if it may."""


class AttemptResult(msgspec.Struct, frozen=True):
    """Result of one attempt."""

    outcome: AttemptOutcome
    status: int = 0
    headers: CIMultiDict[str] | None = None
    body: bytes = b""
    load: LoadReport | None = None
    limit_per_s: float | None = None
    """Requests per second that the server takes from all routers; None if unstated."""
    pause_ms: float = 0.0
    """Time for which the server wants no requests from this router."""
    is_leaving: bool = False
    """Whether the server states that it drains."""
    detail: str = ""
    is_withheld: bool = False
    """Whether this router kept it back, which shows nothing about the server."""
    other_server: ServerId = NO_SERVER
    """Id of the server that responds at the address instead of the expected one."""
    is_reset: bool = False
    """Whether the connection ended before the response began, as of a full server."""
    cold_ms: float | None = None
    """Time for which the server stays cold; None if unstated."""
    stream: ResponseStream | None = None
    """The body, instead of ``body``, of a response that is still being received."""
    is_unreached: bool = False
    """Whether no connection to the server could be opened."""
    is_refused: bool = False
    """Whether no process listened at the server's address."""


class _WithheldError(NotSentError):
    """The request may no longer be sent to the server that was chosen."""


class _InvalidResponseError(aiohttp.ClientError):
    """The response must not be passed on to the caller."""


class Exchange:
    """One attempt to send a request to a server.

    Implements the ``SendHook`` that ``Pool`` calls just before it writes the request.
    """

    def __init__(
        self,
        request: EdgeRequest,
        server: BackendServer,
        adapter: Adapter,
        response_buffer: ResponseBuffer,
        find_obstacle: FindObstacle,
        clock: Clock,
        overdue: OverdueWatch | None = None,
    ) -> None:
        """``find_obstacle`` is called when the request is written."""
        self._request = request
        self._server = server
        self._adapter = adapter
        self._response_buffer = response_buffer
        self._find_obstacle = find_obstacle
        self._clock = clock
        self._overdue = overdue
        self._timeout: asyncio.Timeout | None = None
        self._is_sent = False
        self._has_response_begun = False

    @property
    def request(self) -> EdgeRequest:
        """The request that this attempt sends."""
        return self._request

    @property
    def server(self) -> BackendServer:
        """The server that this attempt is sent to."""
        return self._server

    @property
    def body(self) -> RequestBody:
        return self._request.body

    @property
    def left_ms(self) -> float:
        """Milliseconds left until the request's deadline."""
        return self._request.deadline_ms - self._clock()

    def before_write(self, headers: CIMultiDict[str]) -> None:
        """Set the deadline header and mark the attempt as sent.

        Raises:
            NotSentError: the deadline has passed, or there is an obstacle.
        """
        left_ms = int(self.left_ms)
        if left_ms <= 0:
            raise NotSentError("the deadline passed before the request was sent")
        obstacle = self._find_obstacle()
        if obstacle is not None:
            raise _WithheldError(obstacle.value)
        headers[self._adapter.headers.deadline_ms] = str(left_ms)
        self._is_sent = True
        # How long the kernel takes to send a long body is unknown.
        if self._overdue is not None and not has_long_body(self):
            self._overdue.start(self._abandon)

    def _abandon(self) -> None:
        """End the attempt as if its deadline had passed; closes its connection."""
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def run(self, pool: Pool) -> AttemptResult:
        """Send the request and return its result, within the deadline."""
        try:
            async with asyncio.timeout(max(0.0, self.left_ms) / 1000) as timeout:
                self._timeout = timeout
                return await self._run_without_cycle(pool)
        except (aiohttp.ClientConnectionError, aiohttp.ClientPayloadError) as error:
            is_reset = (
                isinstance(error, aiohttp.ClientConnectionError)
                and not self._has_response_begun
            )
            result = self._failure(AttemptOutcome.BROKEN, repr(error), is_reset)
            return msgspec.structs.replace(
                result, is_unreached=not self._is_sent, is_refused=_is_refusal(error)
            )
        except TimeoutError:
            if self._overdue is not None and self._overdue.is_given_up:
                return self._failure(AttemptOutcome.OVERDUE, "overdue")
            return self._failure(AttemptOutcome.TIMED_OUT, "deadline")
        except NotSentError as error:
            return AttemptResult(
                AttemptOutcome.NOT_SENT,
                detail=str(error),
                is_withheld=isinstance(error, _WithheldError),
            )
        except (aiohttp.ClientError, HttpProcessingError, OSError) as error:
            return self._failure(AttemptOutcome.BROKEN, repr(error))
        except Exception as error:
            if self._is_sent:
                raise
            # Counts against the server like any failure, so that it is ejected.
            log_failure("attempt", error)
            return AttemptResult(AttemptOutcome.NOT_SENT, detail=repr(error))
        finally:
            self._timeout = None
            if self._overdue is not None:
                self._overdue.stop()

    async def _run_without_cycle(self, pool: Pool) -> AttemptResult:
        """Send the request; free what was received of a response that broke off.

        The connection keeps the error, and the traceback of the error would keep the
        connection and the body.
        """
        try:
            return await self._run(pool)
        except (
            aiohttp.ClientError,
            HttpProcessingError,
            OSError,
            asyncio.CancelledError,
        ) as error:
            raise error.with_traceback(None) from error.__cause__

    async def _run(self, pool: Pool) -> AttemptResult:
        connection = await pool.open(self._server.host, self._server.port)
        is_reusable = False
        stream: ResponseStream | None = None
        try:
            protocol = connection.protocol
            assert isinstance(protocol, ServerConnection)
            headers = self._headers()
            is_fresh = not protocol.has_carried_request
            closed = protocol.closed
            if closed is not None:
                closed.add_done_callback(_retrieve_exception)
            writer = await pool.write(
                connection, self._request.method, self._request.target, headers, self
            )
            writing = self._start_writing_body(writer)
            try:
                message, body, rest = await self._read(protocol, is_fresh)
            finally:
                is_written = writing is None or writing.done()
                if writing is not None:
                    writing.cancel()
            if rest is not None:
                result = self._classify(message, b"")
                stream = ResponseStream(
                    connection,
                    rest,
                    body,
                    content_length(message),
                    is_written and not message.should_close,
                    self._response_buffer,
                )
                return msgspec.structs.replace(result, stream=stream)
            if is_unframed(message):
                if closed is not None:
                    # Raises if the connection was reset instead of closed.
                    await closed
            else:
                # After an early response, the rest of the body is still expected.
                is_reusable = is_written and not message.should_close
            result = self._classify(message, body)
            if result.outcome is AttemptOutcome.NOT_RUN:
                # A duplicate of the refusal on this connection would be taken for the
                # response to the retry, which has the same request id.
                is_reusable = is_reusable and self._request.route.is_idempotent
            return result
        finally:
            if is_reusable:
                connection.release()
            elif stream is None:
                connection.close()

    def _start_writing_body(self, writer: StreamWriter) -> asyncio.Task[None] | None:
        """Write a long body while the response is read; return None if it is short.

        If the connection breaks, the reader of the response gets the error.
        """
        if not has_long_body(self):
            return None
        writing = asyncio.create_task(write_body(writer, self))
        writing.add_done_callback(_retrieve_exception)
        return writing

    def _headers(self) -> CIMultiDict[str]:
        names = self._adapter.headers
        headers = self._request.headers.copy()
        headers[HOST_HEADER] = self._request.host
        headers[names.expected_server] = self._server.server
        if self._request.body or self._request.method not in ("GET", "HEAD"):
            headers[CONTENT_LENGTH_HEADER] = str(len(self._request.body))
        return headers

    async def _read(
        self, protocol: ServerConnection, is_fresh: bool
    ) -> tuple[RawResponseMessage, bytes, StreamReader | None]:
        """Return the response to this request; skip responses to earlier ones.

        If it is to be streamed, only the first part of its body is read. The last item
        is the reader of the rest.

        Raises:
            _InvalidResponseError: there is no response with this request's id.
        """
        request_id = self._adapter.headers.request_id
        for _ in range(MAX_RESPONSES_READ):
            message, payload = await protocol.read()
            self._record_response_begun()
            assert isinstance(payload, StreamReader)
            response_id = message.headers.get(request_id, "")
            may_stream = (
                self._request.may_stream
                and response_id == self._request.request_id
                and 200 <= message.code < 300
                and not is_unframed(message)
            )
            max_bytes = STREAMED_BYTES if may_stream else inf
            body = await self._read_body(protocol, payload, max_bytes)
            if response_id == self._request.request_id:
                is_partial = may_stream and not payload.is_eof()
                return message, body, payload if is_partial else None
            if not response_id and is_fresh:
                # Refusals may lack the id. On a new connection there can be no response
                # to an earlier request.
                return message, body, None
            log_event(
                "response_id_mismatch",
                request_id=self._request.request_id,
                response_id=response_id,
                status=message.code,
                server=self._server.server,
            )
            if message.should_close:
                break
        raise _InvalidResponseError("no response has the id of this request")

    def _record_response_begun(self) -> None:
        self._has_response_begun = True
        if self._overdue is not None:
            self._overdue.stop()

    async def _read_body(
        self, protocol: ServerConnection, payload: StreamReader, max_bytes: float
    ) -> bytes:
        """Return a response's body, or its beginning if it exceeds ``max_bytes``.

        The connection closes if it is too long.
        """
        chunks: list[bytes] = []
        hold = self._response_buffer.open(
            lambda: protocol.reject("all responses together exceed their limit")
        )
        try:
            while chunk := await payload.readany():
                chunks.append(chunk)
                hold.add(len(chunk))
                if hold.held_bytes > max_bytes and not payload.is_eof():
                    break
            return b"".join(chunks)
        finally:
            self._response_buffer.close(hold)

    def _classify(self, message: RawResponseMessage, body: bytes) -> AttemptResult:
        names = self._adapter.headers
        load = self._adapter.parse_load(message.headers)
        limit_per_s = self._adapter.parse_limit(message.headers)
        cold_ms = self._adapter.parse_cold_ms(message.headers)
        pause_ms = 0.0
        if message.code == 503:
            pause_ms = parse_pause_ms(message.headers.get(RETRY_AFTER_HEADER, "0"))
        is_leaving = message.headers.get(names.leaving) == "1"
        is_refusal = names.not_run in message.headers or message.code == 421
        if is_refusal and message.code in NOT_RUN_STATUSES:
            return AttemptResult(
                AttemptOutcome.NOT_RUN,
                message.code,
                message.headers.copy() if message.code == 400 else None,
                body,
                load,
                limit_per_s,
                pause_ms,
                is_leaving,
                other_server=self._other_server(message),
                cold_ms=cold_ms,
            )
        is_success = 200 <= message.code < 300
        if is_success and names.response_signature not in message.headers:
            raise _InvalidResponseError(
                "successful response without a signature header"
            )
        if CONTENT_ENCODING_HEADER in message.headers:
            raise _InvalidResponseError("response body with a Content-Encoding")
        headers = CIMultiDict(message.headers)
        for name in HOP_BY_HOP_HEADERS:
            headers.popall(name, None)
        headers.popall(CONTENT_LENGTH_HEADER, None)
        return AttemptResult(
            AttemptOutcome.COMPLETED,
            message.code,
            headers,
            body,
            load,
            limit_per_s,
            pause_ms,
            is_leaving,
            cold_ms=cold_ms,
        )

    def _other_server(self, message: RawResponseMessage) -> ServerId:
        """Return the id of the server that refused the request as misdirected."""
        server_id = message.headers.get(self._adapter.headers.server, "")
        if message.code != 421 or server_id == self._server.server:
            return NO_SERVER
        return ServerId(server_id)

    def _failure(
        self, outcome: AttemptOutcome, detail: str, is_reset: bool = False
    ) -> AttemptResult:
        """Return the result of a failure, which is ``NOT_SENT`` before the write."""
        if not self._is_sent:
            return AttemptResult(AttemptOutcome.NOT_SENT, detail=detail)
        return AttemptResult(outcome, detail=detail, is_reset=is_reset)


def parse_pause_ms(text: str) -> float:
    """Return the time that a server states in ``Retry-After``; 0 if it is invalid."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = nan
    if not 0 <= seconds <= MAX_PAUSE_S:
        log_event("invalid_retry_after", value=text[:MAX_LOGGED_LENGTH])
        return 0.0
    return seconds * 1000


def _retrieve_exception(ended: "asyncio.Future[None]") -> None:
    """Retrieve the exception of a closed connection, so that asyncio does not log it.

    Only responses whose body ends with the connection depend on it.
    """
    if not ended.cancelled():
        ended.exception()


def _is_refusal(error: aiohttp.ClientError) -> bool:
    """Return whether a connection failed because no process listens."""
    if not isinstance(error, aiohttp.ClientConnectorError):
        return False
    return isinstance(error.os_error, ConnectionRefusedError)

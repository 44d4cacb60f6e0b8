"""Sends one attempt of a request to one backend server and states its outcome.

An attempt is certainly not run if none of its bytes were written or if the server
refused it. Once a byte was written, only an answer that echoes the request id, as a
whole, says that it ran.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec
from multidict import CIMultiDict, istr

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import (
    Epoch,
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

# Headers of one connection, RFC 9110 section 7.6.1, and those that aiohttp sets.
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
# Statuses of answers that have no body, RFC 9110 section 6.4.1.
BODILESS_STATUSES = frozenset({204, 304})


class CallerRequest(msgspec.Struct, frozen=True):
    """A request of a caller, read completely."""

    request_id: RequestId
    service: ServiceName
    request_class: RequestClass
    method: str
    path: str
    """Path and query after the name of the service."""
    key: Key | None
    idempotency_key: IdempotencyKey | None
    headers: CIMultiDict[str]
    """Headers to pass on; without those of the caller's connection."""
    body: bytes
    deadline_ms: float
    """On the clock of this process."""

    @property
    def is_idempotent(self) -> bool:
        return self.method in IDEMPOTENT_METHODS


class Target(msgspec.Struct, frozen=True):
    """Where and under which ownership an attempt is sent."""

    server: ServerEntry
    term: Term
    unit: UnitId | None = None
    epoch: Epoch = Epoch(0)


class Answer(msgspec.Struct, frozen=True):
    """Result of one attempt, or of a request."""

    outcome: Outcome
    status: int
    headers: CIMultiDict[str]
    body: bytes
    reason: NotRunReason | None = None
    stream: "AnswerStream | None" = None
    """The rest of an answer that is too long to be buffered."""
    error: str = ""
    """Code of an error of the router's own."""
    detail: str = ""
    is_sent: bool = True
    """Whether the first byte of the request was written."""
    is_broken: bool = False
    """Whether the server's connection broke before the answer was complete."""
    is_late: bool = False
    """Whether the deadline of the attempt passed."""


class AnswerStream:
    """Rest of an answer that is passed on while it arrives."""

    def __init__(
        self, response: aiohttp.ClientResponse, on_close: Callable[[], None]
    ) -> None:
        self._response = response
        self._on_close = [on_close]
        self._on_break: Callable[[], Awaitable[None]] | None = None
        self._is_closed = False
        self._is_broken = False
        self._closed = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer has arrived."""
        return self._response.content.is_eof() and not self._is_broken

    @property
    def is_broken(self) -> bool:
        """Whether the server's connection broke before the end."""
        return self._is_broken

    def watch(
        self, on_close: Callable[[], None], on_break: Callable[[], Awaitable[None]]
    ) -> None:
        """Add what is called at the end, and before a break is passed on."""
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
                chunk = await self._response.content.readany()
            except (aiohttp.ClientError, ConnectionError):
                self._is_broken = True
                if self._on_break is not None:
                    await self._on_break()
                raise
            if not chunk:
                return
            yield chunk

    def close(self) -> None:
        """End the attempt; closes the connection unless the answer is complete."""
        if self._is_closed:
            return
        self._is_closed = True
        if not self._response.content.is_eof():
            self._response.close()
        self._response.release()
        self._closed.set()
        for on_close in self._on_close:
            on_close()

    async def wait_closed(self) -> None:
        """Wait until the answer has ended or was given up."""
        await self._closed.wait()


class Attempt:
    """One attempt while it runs.

    ``before_send`` is called directly before the write and returns whether the attempt
    may be sent; ``on_end`` is called once it can have no later effect.
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
        """Milliseconds left until the deadline of the attempt."""
        return self._deadline_ms - self._clock()

    def start(self, headers: CIMultiDict[str]) -> None:
        """Make the last checks and count the attempt as sent.

        Raises:
            NotSentError: the attempt must not be sent now.
        """
        left_ms = int(self.left_ms)
        if left_ms <= 0 or not self._before_send():
            raise NotSentError("ownership or deadline changed before the send")
        self._is_sent = True
        headers[DEADLINE_HEADER] = str(left_ms)

    def end(self, is_settled: bool, is_fenced: bool) -> None:
        """Call ``on_end``, at once or at the deadline.

        A server that checks grants refuses a request that it reads after the unit has
        moved. One that does not may still run it until its deadline, unless its answer
        has settled the outcome.
        """
        if not self._is_sent:
            return
        if is_settled or is_fenced or self.left_ms <= 0:
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
    buffer_bytes: int,
) -> Answer:
    """Send a request to a server and return the answer with its outcome.

    Connection failures come back as an answer with status 502 or 504, never as an
    exception. Answers of more than ``buffer_bytes`` are returned as a stream, which the
    receiver has to close.
    """
    is_settled = False
    is_streaming = False
    try:
        async with asyncio.timeout(attempt.left_ms / 1000):
            response = await pool.send(
                target.server.host,
                target.server.port,
                request.method,
                request.path,
                _attempt_headers(request, target),
                attempt,
            )
            try:
                answer = await _read_answer(response, attempt, request, buffer_bytes)
            except BaseException:
                response.close()
                raise
        is_settled = answer.outcome is not Outcome.UNKNOWN
        is_streaming = answer.stream is not None
        return answer
    except (aiohttp.ClientConnectionError, aiohttp.ClientPayloadError) as error:
        # A timeout while connecting is one of these and also a TimeoutError.
        return _failure(attempt, 502, "connection-lost", repr(error), is_broken=True)
    except TimeoutError:
        return _failure(attempt, 504, "deadline", "the deadline passed", is_late=True)
    except OSError as error:
        return _failure(attempt, 502, "connection-lost", repr(error), is_broken=True)
    except NotSentError as error:
        return _failure(attempt, 503, "not-sent", str(error))
    except aiohttp.ClientError as error:
        return _failure(attempt, 502, "bad-answer", repr(error))
    except ValueError as error:
        # Raised for headers that cannot be encoded, before anything is written.
        return _failure(attempt, 400, "bad-header", str(error))
    finally:
        if not is_streaming:
            attempt.end(is_settled, is_fenced)


def failed_answer(
    outcome: Outcome, status: int, error: str, detail: str = ""
) -> Answer:
    """Return an answer of the router's own."""
    return Answer(
        outcome, status, CIMultiDict(), b"", error=error, detail=detail, is_sent=False
    )


def _failure(
    attempt: Attempt,
    status: int,
    error: str,
    detail: str,
    is_broken: bool = False,
    is_late: bool = False,
) -> Answer:
    return Answer(
        Outcome.UNKNOWN if attempt.is_sent else Outcome.NOT_RUN,
        status,
        CIMultiDict(),
        b"",
        error=error,
        detail=detail,
        is_sent=attempt.is_sent,
        is_broken=is_broken and attempt.is_sent,
        is_late=is_late,
    )


def _attempt_headers(request: CallerRequest, target: Target) -> CIMultiDict[str]:
    headers = request.headers.copy()
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[TERM_HEADER] = str(target.term)
    if target.unit is not None:
        headers[UNIT_HEADER] = target.unit
        headers[EPOCH_HEADER] = str(target.epoch)
    if request.body or not request.is_idempotent:
        headers[CONTENT_LENGTH_HEADER] = str(len(request.body))
    return headers


async def _read_answer(
    response: aiohttp.ClientResponse,
    attempt: Attempt,
    request: CallerRequest,
    buffer_bytes: int,
) -> Answer:
    if response.headers.get(REQUEST_ID_HEADER) != request.request_id:
        response.close()
        return _failure(attempt, 502, "foreign-answer", "not the id of this request")
    is_chunked = TRANSFER_ENCODING_HEADER in response.headers
    has_body = request.method != "HEAD" and response.status not in BODILESS_STATUSES
    if has_body and response.content_length is None and not is_chunked:
        response.close()
        # The end of such an answer cannot be told from a broken connection.
        return _failure(attempt, 502, "unbounded-answer", "answer without a length")
    headers = CIMultiDict(response.headers)
    for name in HOP_BY_HOP_HEADERS:
        headers.popall(name, None)
    length = response.content_length or 0
    if has_body and length > buffer_bytes:
        return _streamed(response, attempt, headers, b"")
    if not is_chunked or not has_body:
        return _answer_of(response, attempt, headers, await response.read())
    chunks = []
    while chunk := await response.content.readany():
        chunks.append(chunk)
        length += len(chunk)
        if length > buffer_bytes:
            return _streamed(response, attempt, headers, b"".join(chunks))
    return _answer_of(response, attempt, headers, b"".join(chunks))


def _streamed(
    response: aiohttp.ClientResponse,
    attempt: Attempt,
    headers: CIMultiDict[str],
    begin: bytes,
) -> Answer:
    stream = AnswerStream(response, lambda: attempt.end(True, True))
    return Answer(Outcome.RAN, response.status, headers, begin, stream=stream)


def _answer_of(
    response: aiohttp.ClientResponse,
    attempt: Attempt,
    headers: CIMultiDict[str],
    body: bytes,
) -> Answer:
    refused = response.headers.get(NOT_RUN_HEADER)
    if response.status != 503 or refused is None:
        return Answer(Outcome.RAN, response.status, headers, body)
    try:
        reason = NotRunReason(refused)
    except ValueError:
        return _failure(attempt, 502, "bad-answer", f"unknown refusal {refused!r}")
    return Answer(Outcome.NOT_RUN, response.status, headers, body, reason)

"""Sends one attempt to one server and judges what comes back.

An attempt certainly did not run if nothing of it was written or the server says so.
Whatever else goes wrong after the first byte leaves its outcome unknown.
"""

import asyncio
from enum import Enum
from weakref import WeakSet

import aiohttp
import msgspec
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from multidict import CIMultiDict, istr

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_router.forward import (
    CONTENT_LENGTH_HEADER,
    HOP_BY_HOP_HEADERS,
    TRANSFER_ENCODING_HEADER,
)
from mulberryrelay_router.pool import NotSentError, Pool

from .adapter import Adapter
from .keyspace import NOBODY
from .messages import BackendServer, EdgeRequest, LoadReport

HOST_HEADER = istr("Host")
CONTENT_ENCODING_HEADER = istr("Content-Encoding")
# Answers to earlier attempts that a server may send late on one connection.
MAX_FOREIGN_ANSWERS = 3
# Statuses with which a server says that it did not run a request.
NOT_RUN_STATUSES = frozenset({400, 421, 429, 503})
USED_CONNECTIONS: WeakSet[ResponseHandler] = WeakSet()
"""Connections that carried a request before."""


class Verdict(Enum):
    """What is known of one attempt."""

    ANSWERED = "answered"
    """The server's whole answer."""
    NOT_RUN = "not-run"
    """The server states that it did not run the request."""
    NOT_SENT = "not-sent"
    """Nothing was written."""
    BROKEN = "broken"
    """The connection or the answer broke; the request may have run."""
    LATE = "late"
    """No whole answer by the deadline; the request may have run."""


class AttemptResult(msgspec.Struct, frozen=True):
    """Result of one attempt."""

    verdict: Verdict
    status: int = 0
    headers: CIMultiDict[str] | None = None
    body: bytes = b""
    load: LoadReport | None = None
    detail: str = ""
    other_server: ServerId = NOBODY
    """Id of the server that answers at the address instead of the expected one."""


class _BadAnswerError(aiohttp.ClientError):
    """The answer cannot be passed on."""


class Exchange:
    """One attempt while it runs; the hook that ``Pool`` calls before the write."""

    def __init__(
        self,
        request: EdgeRequest,
        server: BackendServer,
        adapter: Adapter,
        clock: Clock,
    ) -> None:
        self._request = request
        self._server = server
        self._adapter = adapter
        self._clock = clock
        self._is_sent = False

    @property
    def body(self) -> bytes:
        return self._request.body

    @property
    def left_ms(self) -> float:
        """Milliseconds until the request is given up."""
        return self._request.deadline_ms - self._clock()

    def start(self, headers: CIMultiDict[str]) -> None:
        """State the time left and count the attempt as sent.

        Raises:
            NotSentError: the deadline has passed.
        """
        left_ms = int(self.left_ms)
        if left_ms <= 0:
            raise NotSentError("the deadline passed before the send")
        headers[self._adapter.headers.deadline_ms] = str(left_ms)
        self._is_sent = True

    async def run(self, pool: Pool) -> AttemptResult:
        """Send the request and return its result, within the deadline."""
        try:
            async with asyncio.timeout(max(0.0, self.left_ms) / 1000):
                return await self._run(pool)
        except (aiohttp.ClientConnectionError, aiohttp.ClientPayloadError) as error:
            return self._failed(Verdict.BROKEN, repr(error))
        except TimeoutError:
            return self._failed(Verdict.LATE, "deadline")
        except NotSentError as error:
            return AttemptResult(Verdict.NOT_SENT, detail=str(error))
        except (aiohttp.ClientError, HttpProcessingError, OSError) as error:
            return self._failed(Verdict.BROKEN, repr(error))

    async def _run(self, pool: Pool) -> AttemptResult:
        connection = await pool.open(self._server.host, self._server.port)
        is_reusable = False
        try:
            protocol = connection.protocol
            assert protocol is not None
            headers = self._headers()
            is_fresh = protocol not in USED_CONNECTIONS
            USED_CONNECTIONS.add(protocol)
            closed = protocol.closed
            if closed is not None:
                closed.add_done_callback(_retrieve)
            await pool.write(
                connection, self._request.method, self._request.target, headers, self
            )
            message, body = await self._read(protocol, is_fresh)
            if _is_unframed(message):
                if closed is not None:
                    # Raises if the connection was reset instead of closed.
                    await closed
            else:
                is_reusable = not message.should_close
            result = self._judge(message, body)
            if result.verdict is Verdict.NOT_RUN:
                # A second copy of the refusal would pass for the answer to the next
                # send of this request, which has the same id.
                is_reusable = is_reusable and self._request.route.is_idempotent
            return result
        finally:
            if is_reusable:
                connection.release()
            else:
                connection.close()

    def _headers(self) -> CIMultiDict[str]:
        names = self._adapter.headers
        headers = self._request.headers.copy()
        headers[HOST_HEADER] = self._request.host
        headers[names.expected_server] = self._server.server
        if self._request.body or self._request.method not in ("GET", "HEAD"):
            headers[CONTENT_LENGTH_HEADER] = str(len(self._request.body))
        return headers

    async def _read(
        self, protocol: ResponseHandler, is_fresh: bool
    ) -> tuple[RawResponseMessage, bytes]:
        """Return the answer to this request, passing over those to earlier ones."""
        request_id = self._adapter.headers.request_id
        for _ in range(MAX_FOREIGN_ANSWERS):
            message, payload = await protocol.read()
            assert isinstance(payload, StreamReader)
            while 100 <= message.code < 200:
                message, payload = await protocol.read()
            body = await payload.read()
            answered_id = message.headers.get(request_id, "")
            if answered_id == self._request.request_id:
                return message, body
            if not answered_id and is_fresh:
                # Refusals may lack the id; on a new connection there is no other.
                return message, body
            log_event(
                "foreign_answer",
                request_id=self._request.request_id,
                answered_id=answered_id,
                status=message.code,
                server=self._server.server,
            )
            if message.should_close:
                break
        raise _BadAnswerError("the answer is not to this request")

    def _judge(self, message: RawResponseMessage, body: bytes) -> AttemptResult:
        names = self._adapter.headers
        load = self._adapter.parse_load(message.headers)
        is_refused = names.not_run in message.headers or message.code == 421
        if is_refused and message.code in NOT_RUN_STATUSES:
            return AttemptResult(
                Verdict.NOT_RUN,
                message.code,
                message.headers.copy() if message.code == 400 else None,
                body,
                load,
                other_server=self._other_server(message),
            )
        is_success = 200 <= message.code < 300
        if is_success and names.receipt not in message.headers:
            raise _BadAnswerError("a success without a receipt")
        if CONTENT_ENCODING_HEADER in message.headers:
            raise _BadAnswerError("the body is encoded")
        headers = CIMultiDict(message.headers)
        for name in HOP_BY_HOP_HEADERS:
            headers.popall(name, None)
        headers.popall(CONTENT_LENGTH_HEADER, None)
        return AttemptResult(Verdict.ANSWERED, message.code, headers, body, load)

    def _other_server(self, message: RawResponseMessage) -> ServerId:
        found = message.headers.get(self._adapter.headers.server, "")
        if message.code != 421 or found == self._server.server:
            return NOBODY
        return ServerId(found)

    def _failed(self, verdict: Verdict, detail: str) -> AttemptResult:
        if not self._is_sent:
            return AttemptResult(Verdict.NOT_SENT, detail=detail)
        return AttemptResult(verdict, detail=detail)


def _retrieve(closed: "asyncio.Future[None]") -> None:
    """Mark the end of a connection as seen, which matters to unframed answers only."""
    if not closed.cancelled():
        closed.exception()


def _is_unframed(message: RawResponseMessage) -> bool:
    """Return whether the body ends with the connection, RFC 9112 section 6.3."""
    if message.chunked or message.code in (204, 304):
        return False
    return (
        CONTENT_LENGTH_HEADER not in message.headers
        and TRANSFER_ENCODING_HEADER not in message.headers
    )

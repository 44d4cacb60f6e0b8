"""Requests that a caller sends before its earlier ones are answered (pipelining).

aiohttp handles the requests of a connection one after the other. A
``PipelinedConnection`` starts to forward requests that wait behind others, and aiohttp
still writes the responses in order: the handler of a request that was forwarded early
only waits for its result.
"""

import asyncio
from collections import deque
from itertools import islice
from typing import Any, Protocol

import msgspec
from aiohttp import web
from aiohttp.http import RawRequestMessage, StreamWriter
from aiohttp.streams import StreamReader

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.limitedconnections import LimitedConnection
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_router.serverconnection import ResponseHold

from .messages import EdgeRequest, EdgeResponse

MAX_CONCURRENT_REQUESTS = 8
"""Requests of one connection that are forwarded at the same time."""
HEAD_END = b"\r\n\r\n"
MAX_SPLITS = 32
"""Heads that are parsed one by one from the bytes that arrive at once.

aiohttp parses no more requests than that before the first of them is handled.
"""


class EarlyResponse(msgspec.Struct, frozen=True):
    """The response to a request that was forwarded before its turn."""

    response: EdgeResponse
    hold: ResponseHold
    """Counts the response's body while earlier responses are not written yet."""


class EarlyForwarder(Protocol):
    """Forwards requests that wait behind others on their connection."""

    def read_early(
        self, request: web.BaseRequest, arrived_ms: float
    ) -> EdgeRequest | None:
        """Return the request to forward now, or None if it has to wait its turn."""

    async def forward_early(
        self, request: EdgeRequest, connection: web.RequestHandler
    ) -> EarlyResponse:
        """Return the response to a request; ``connection`` is closed to drop it."""


class _ParsedRequest(msgspec.Struct, eq=False):
    """A request that aiohttp has parsed."""

    message: RawRequestMessage | None
    """None if it is malformed, or once its turn has come."""
    payload: StreamReader | None
    arrived_ms: float
    must_wait: bool = False
    """Whether it is handled in its turn only, and holds back those behind it."""
    forwarding: "asyncio.Task[None] | None" = None
    early: EarlyResponse | None = None
    """Result of ``forwarding``. The task itself may outlive the connection."""


class PipelinedConnection(LimitedConnection):
    """A connection whose idempotent requests without a body run concurrently.

    aiohttp bounds the number of parsed requests that wait, by reading no more from the
    socket, and parses none behind a request whose response closes the connection.
    """

    def __init__(
        self,
        server: web.Server,
        forwarder: EarlyForwarder,
        clock: Clock,
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._forwarder = forwarder
        self._clock = clock
        self._waiting: deque[_ParsedRequest] = deque()
        self._current: _ParsedRequest | None = None
        self._recorded = 0
        """Number of requests that were put in ``_waiting``."""
        self._is_malformed = False
        self._has_ended = False
        self._is_finishing = False

    @property
    def is_finishing(self) -> bool:
        """Whether it is closed once all forwarded requests have responses."""
        return self._is_finishing

    @property
    def arrived_ms(self) -> float:
        """Time at which the request that is handled now was parsed."""
        assert self._current is not None
        return self._current.arrived_ms

    @property
    def has_forwarded(self) -> bool:
        """Whether the request behind the one that is handled now is forwarded."""
        return bool(self._waiting) and self._waiting[0].forwarding is not None

    def begin(self, is_concurrent: bool) -> None:
        """Start the turn of the next request, and forward those behind it.

        ``is_concurrent`` states whether they may run at the same time.
        """
        self._record()
        current = self._current = self._waiting.popleft()
        current.message = current.payload = None
        current.must_wait = not is_concurrent and current.forwarding is None
        self._forward_waiting()

    async def early_response(self) -> EdgeResponse | None:
        """Return the response to the request whose turn it is, if it was forwarded."""
        current = self._current
        assert current is not None
        if current.forwarding is None:
            return None
        await current.forwarding
        # The connection may stay idle, and must not keep the response meanwhile.
        early, current.early, current.forwarding = current.early, None, None
        assert early is not None
        early.hold.close()
        return early.response

    async def start(self) -> None:
        try:
            await super().start()
        finally:
            self._end()

    def finish(self) -> None:
        self._is_finishing = True
        self.stop_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._end()

    def data_received(self, data: bytes) -> None:
        if self._is_malformed:
            # The parser would report the same error again for each segment.
            return
        # The parser drops the requests before a malformed one that it is fed with.
        start = 0
        for _ in range(MAX_SPLITS):
            end = data.find(HEAD_END, start) + len(HEAD_END)
            if not len(HEAD_END) <= end < len(data):
                break
            super().data_received(data[start:end])
            start = end
        super().data_received(data[start:])
        self._record()
        self._forward_waiting()

    def _record(self) -> None:
        """Put the requests that were parsed since the last call in ``_waiting``."""
        count = self._request_count - self._recorded
        if not count or self._has_ended:
            return
        self._recorded = self._request_count
        now_ms = self._clock()
        skipped = len(self._messages) - count
        for _ in range(-skipped):
            # aiohttp has parsed it after a refused upgrade and started its turn.
            self._waiting.append(_ParsedRequest(None, None, now_ms, must_wait=True))
        for message, payload in islice(self._messages, max(0, skipped), None):
            if isinstance(message, RawRequestMessage):
                self._waiting.append(_ParsedRequest(message, payload, now_ms))
                continue
            self._is_malformed = True
            self._waiting.append(_ParsedRequest(None, None, now_ms, must_wait=True))

    def _forward_waiting(self) -> None:
        """Forward waiting requests, up to the first one that must wait its turn."""
        # aiohttp has a waiter while no request is handled.
        if self._current is None or self._waiter is not None or self._has_ended:
            return
        running = 1
        previous = self._current
        for parsed in self._waiting:
            if previous.must_wait:
                return
            if running >= MAX_CONCURRENT_REQUESTS:
                return
            if parsed.forwarding is None and not parsed.must_wait:
                self._forward(parsed)
            if parsed.forwarding is not None and not parsed.forwarding.done():
                running += 1
            previous = parsed

    def _forward(self, parsed: _ParsedRequest) -> None:
        """Start to forward a request, or mark it as one that must wait."""
        assert parsed.message is not None and parsed.payload is not None
        task = self._task_handler
        assert task is not None
        request = web.BaseRequest(
            parsed.message,
            parsed.payload,
            self,
            StreamWriter(self, self._loop),
            task,
            self._loop,
        )
        edge_request = self._forwarder.read_early(request, parsed.arrived_ms)
        if edge_request is None:
            parsed.must_wait = True
            return

        async def forward() -> None:
            parsed.early = await self._forwarder.forward_early(edge_request, self)

        parsed.forwarding = asyncio.create_task(forward())
        parsed.forwarding.add_done_callback(lambda _: self._forward_waiting())

    def _end(self) -> None:
        """Cancel the requests whose responses will not be written."""
        self._has_ended = True
        current = [self._current] if self._current is not None else []
        cancelled = 0
        for parsed in (*current, *self._waiting):
            if parsed.forwarding is not None and parsed.forwarding.cancel():
                cancelled += 1
            # A cancelled task keeps what it referred to, this connection included.
            parsed.forwarding = None
            if parsed.early is not None:
                parsed.early.hold.close()
                parsed.early = None
        self._waiting.clear()
        if cancelled:
            log_event("pipelined_requests_cancelled", requests=cancelled)

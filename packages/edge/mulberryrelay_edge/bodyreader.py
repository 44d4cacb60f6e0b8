"""Reads the bodies of callers' requests, within their limits, memory and time."""

import asyncio

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from mulberryrelay_kernel.allocator import return_free_memory
from mulberryrelay_kernel.clientlimits import ClientLimiter
from mulberryrelay_kernel.ids import RequestId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_router.serverconnection import ResponseBuffer

from .messages import CallerLimits, EdgeResponse, RequestBody
from .requestbuffer import SMALL_BYTES, BodyHold, RequestBuffer
from .responses import router_response

ROOM_WAIT_SHARE = 0.5
"""Share of a request's time for which its body may wait for room in memory."""
BODY_TOO_SLOW_STATUS = 408


class RefusedError(Exception):
    """The router itself responds to a request, which is not forwarded."""

    def __init__(self, response: EdgeResponse) -> None:
        super().__init__(f"status {response.status}")
        self.response = response


class BodyReader:
    """Reads bodies, and takes the memory for long ones from other holders."""

    def __init__(
        self, max_bytes: int, responses: ResponseBuffer, limiter: ClientLimiter
    ) -> None:
        """``max_bytes`` bounds all bodies; ``RequestBuffer`` states the exception."""
        self._buffer = RequestBuffer(max_bytes, self._borrow)
        self._responses = responses
        self._limiter = limiter
        self._has_borrowed = False

    def open(self) -> BodyHold:
        """Return a hold for one body, which has to be closed."""
        return self._buffer.open()

    async def read(
        self,
        request: web.BaseRequest,
        request_id: RequestId,
        limits: CallerLimits,
        hold: BodyHold,
        left_ms: float,
    ) -> RequestBody:
        """Return the whole body, once there is room for it.

        ``left_ms`` is the time until the deadline of the request.

        Raises:
            RefusedError: it is malformed, too long or too slow, or there is no room
                in time.
        """
        if not request.body_exists:
            return b""
        announced = request.content_length or 0
        _check_length(announced, limits)
        if not await hold.reserve(announced, ROOM_WAIT_SHARE * left_ms / 1000):
            raise self._no_room(request, request_id)
        body: RequestBody
        try:
            if request.content.is_eof():
                # Most bodies arrive together with their heads; they need no timer.
                body = request.content.read_nowait()
                _check_length(len(body), limits)
                hold.complete()
                return body
            async with asyncio.timeout(max(0.0, left_ms) / 1000) as timeout:
                hold.call_on_evict(lambda: _expire(timeout))
                body = await self._read_pieces(request, request_id, limits, hold)
        except TimeoutError:
            raise _too_slow(request, request_id, hold) from None
        except HttpProcessingError as error:
            log_event("malformed_request", status=error.code, error=str(error))
            raise RefusedError(router_response(400)) from error
        hold.complete()
        return bytes(body) if len(body) <= SMALL_BYTES else body

    async def _read_pieces(
        self,
        request: web.BaseRequest,
        request_id: RequestId,
        limits: CallerLimits,
        hold: BodyHold,
    ) -> bytearray:
        # One buffer that grows: joining pieces would hold the body twice.
        body = bytearray()
        while chunk := await request.content.readany():
            length = len(body) + len(chunk)
            _check_length(length, limits)
            if not hold.grow_to(length):
                raise self._no_room(request, request_id)
            body += chunk
        return body

    def _no_room(self, request: web.BaseRequest, request_id: RequestId) -> RefusedError:
        """Return the refusal of a request whose body there is no room for."""
        log_event(
            "no_room_for_body",
            request_id=request_id,
            length=request.content_length,
            held_bytes=self._buffer.held_bytes,
        )
        return RefusedError(router_response(503))

    def _borrow(self, body_bytes: int) -> None:
        """Take bytes of the shares of responses and connections for a long body."""
        if body_bytes and not self._has_borrowed:
            return_free_memory()
        self._has_borrowed = body_bytes > 0
        self._responses.lend(body_bytes // 2)
        self._limiter.lend(body_bytes // 2)


def _check_length(length: int, limits: CallerLimits) -> None:
    """Raise a ``RefusedError`` if a body is too long."""
    if length > limits.body_bytes:
        raise RefusedError(router_response(413))


def _too_slow(
    request: web.BaseRequest, request_id: RequestId, hold: BodyHold
) -> RefusedError:
    """Return the refusal of a request whose body did not arrive in time.

    It has not run, which its status states.
    """
    log_event(
        "body_too_slow",
        request_id=request_id,
        length=request.content_length,
        arrived_bytes=hold.arrived_bytes,
    )
    return RefusedError(router_response(BODY_TOO_SLOW_STATUS))


def _expire(timeout: asyncio.Timeout) -> None:
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())

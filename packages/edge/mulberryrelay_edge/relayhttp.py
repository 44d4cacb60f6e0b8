"""HTTP calls with which routers relay requests to each other.

The bodies of requests count as held at the router that receives them, until they have
a response. Those of responses count at both routers, until they are passed on.
"""

import asyncio
import weakref

import aiohttp
import msgspec
from aiohttp import web
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from mulberryrelay_kernel.decoding import decode_msgpack
from mulberryrelay_kernel.httpclient import ResponseTooLongError, create_client_session
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.transports import limit_reads
from mulberryrelay_router.attempts import CONTENT_LENGTH_HEADER
from mulberryrelay_router.serverconnection import (
    ResponseBuffer,
    ResponseHold,
    set_connection_factory,
)

from .messages import RelayedRequest, RelayedResponse
from .relay import (
    MAX_MESSAGE_BYTES,
    RelayFailure,
    RelayReceiver,
    relayed_response,
)
from .relayencoding import EncodedRelay
from .requestbuffer import BodyHold
from .responses import router_response

RELAY_PATH = "/relay"
RESPONSE_TIMEOUT_S = 0.1
"""Time that a relayed response may take beyond the time of its request."""
CONNECT_TIMEOUT_S = 0.3
ROOM_TIMEOUT_S = 0.5
"""Time for which a relayed body waits for room in memory."""
MAX_CONNECTIONS = 100
"""Connections on which one router relays requests; further ones wait."""
READ_AHEAD_BYTES = 16_384
"""Half of the bytes that are read from a connection before they are counted."""


class _RelayConnection(ResponseHandler):
    """A connection to another router, which reads little ahead."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        limit_reads(transport)
        super().connection_made(transport)


class _RelayReply(web.StreamResponse):
    """A long reply, which counts as held until it is written."""

    def __init__(self, encoded: EncodedRelay, hold: ResponseHold) -> None:
        super().__init__()
        self.content_length = encoded.length
        self._encoded: EncodedRelay | None = encoded
        self._hold = hold
        # If the other router has left, the reply is never written.
        weakref.finalize(self, hold.close)

    async def write_eof(self, data: bytes = b"") -> None:
        assert self._encoded is not None
        try:
            async for piece in self._encoded.pieces():
                await self.write(piece)
            await super().write_eof(data)
        finally:
            self._hold.close()
            # aiohttp keeps the last reply of each open connection.
            self._encoded = None


def create_relay_session() -> aiohttp.ClientSession:
    """Return a session for relayed requests alone, so that no other call waits."""
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
    loop = asyncio.get_running_loop()
    set_connection_factory(connector, lambda: _RelayConnection(loop))
    return create_client_session(connector, read_ahead_bytes=READ_AHEAD_BYTES)


async def relay_request(
    session: aiohttp.ClientSession,
    responses: ResponseBuffer,
    url: str,
    request: RelayedRequest,
) -> RelayedResponse | RelayFailure:
    """Relay a request to another router; ``url`` is the one for reports."""
    target = URL(url).with_path(RELAY_PATH)
    timeout = aiohttp.ClientTimeout(
        total=request.left_ms / 1000 + RESPONSE_TIMEOUT_S,
        sock_connect=CONNECT_TIMEOUT_S,
    )
    failure = RelayFailure.UNKNOWN
    encoded = EncodedRelay(request)
    try:
        async with session.post(
            target,
            data=encoded.whole() if encoded.is_short else encoded.pieces(),
            headers={CONTENT_LENGTH_HEADER: str(encoded.length)},
            timeout=timeout,
        ) as reply:
            if reply.status in (400, 409):
                return RelayFailure.NOT_SENT
            if reply.status != 200:
                return RelayFailure.UNKNOWN
            # From here on the other router is known to be alive.
            failure = RelayFailure.INCOMPLETE
            return decode_msgpack(await _read_reply(reply, responses), RelayedResponse)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        log_event("relay_failed", url=str(target), error=repr(error), is_sent=False)
        return RelayFailure.NOT_SENT
    except (
        aiohttp.ClientError,
        TimeoutError,
        OSError,
        msgspec.MsgspecError,
    ) as error:
        log_event("relay_failed", url=str(target), error=repr(error), is_sent=True)
        # The reply keeps the error; its traceback would keep the reply and its body.
        error.with_traceback(None)
        return failure


async def handle_relayed(
    request: web.Request,
    receiver: RelayReceiver,
    responses: ResponseBuffer,
    body_hold: BodyHold,
) -> web.StreamResponse:
    """Return the reply to a router that relays a request to this one.

    Its body is the encoded ``RelayedResponse``. Status 409 states that the request is
    not accepted. ``body_hold`` counts the body of the request, and is closed.

    Raises:
        web.HTTPBadRequest: the request cannot be decoded.
        web.HTTPRequestEntityTooLarge: it is longer than any router sends.
    """
    response = None
    if receiver.is_accepting:
        response = await _respond(request, receiver, body_hold)
    if response is None:
        return web.Response(status=409)
    encoded = EncodedRelay(response)
    if encoded.is_short:
        return web.Response(body=encoded.whole())
    hold = responses.open(lambda: _disconnect(request))
    hold.add(encoded.length)
    return _RelayReply(encoded, hold)


async def _respond(
    request: web.Request, receiver: RelayReceiver, hold: BodyHold
) -> RelayedResponse | None:
    """Return the response to a relayed request, or None if it is not accepted."""
    loop = asyncio.get_running_loop()
    arrived_s = loop.time()
    try:
        relayed = await _receive(request, hold)
        if relayed is None:
            return relayed_response(router_response(503))
        waited_ms = 1000 * (loop.time() - arrived_s)
        return await receiver.handle(relayed, waited_ms, hold)
    finally:
        hold.close()


async def _receive(request: web.Request, hold: BodyHold) -> RelayedRequest | None:
    """Return a relayed request; None if there is no room for it in time."""
    length = request.content_length or 0
    _check_length(length)
    if request.transport is not None:
        limit_reads(request.transport)
    hold.call_on_evict(lambda: _disconnect(request))
    if not await hold.reserve(length, ROOM_TIMEOUT_S):
        log_event("no_room_for_relayed_body", length=length)
        return None
    message = bytearray()
    while chunk := await request.content.readany():
        message += chunk
        _check_length(len(message))
        if not hold.grow_to(len(message)):
            log_event("no_room_for_relayed_body", length=len(message))
            return None
    hold.complete()
    try:
        return decode_msgpack(message, RelayedRequest)
    except msgspec.MsgspecError as error:
        log_event("bad_relayed_request", error=str(error))
        raise web.HTTPBadRequest from error


def _check_length(length: int) -> None:
    if length > MAX_MESSAGE_BYTES:
        raise web.HTTPRequestEntityTooLarge(MAX_MESSAGE_BYTES, length)


async def _read_reply(
    reply: aiohttp.ClientResponse, responses: ResponseBuffer
) -> bytearray:
    """Return the body of a reply, whose connection is closed if there is no room."""
    body = bytearray()
    hold = responses.open(reply.close)
    try:
        while chunk := await reply.content.readany():
            body += chunk
            if len(body) > MAX_MESSAGE_BYTES:
                reply.close()
                raise ResponseTooLongError(f"more than {MAX_MESSAGE_BYTES} bytes")
            hold.add(len(chunk))
    finally:
        hold.close()
    return body


def _disconnect(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()

"""The rest of a server's response, which is read while its caller receives it.

The connection to the server, the response's share of ``ResponseBuffer`` and the
request's place among those in flight belong to a ``ResponseStream`` until it is closed.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

import aiohttp
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader

from mulberryrelay_router.attempts import (
    CONTENT_LENGTH_HEADER,
    TRANSFER_ENCODING_HEADER,
)
from mulberryrelay_router.serverconnection import ResponseBuffer, ServerConnection

STREAMED_BYTES = 65_536
"""Length above which the body of a response is streamed instead of held as a whole."""
PIECE_BYTES = 16_384
"""Length of the pieces in which a body is passed on."""
SERVER_STALL_S = 5.0
"""Time without a byte from the server after which a response counts as broken."""
MAX_STREAM_S = 30.0
"""Time after which a response is broken off that its caller still has not received."""


class StreamEnd(Enum):
    """How a streamed response ended."""

    COMPLETED = "complete"
    BROKEN = "broken"
    """The server's part of it failed."""
    ABANDONED = "abandoned"
    """Its caller left or was too slow, or all responses held too much."""


class StreamBrokenError(Exception):
    """A streamed response cannot be passed on completely."""


class ResponseStream:
    """The body of a response, of which the first bytes have been read.

    Whoever holds it has to close it; closing it again has no effect.
    """

    def __init__(
        self,
        connection: Connection,
        payload: StreamReader,
        first: bytes,
        length: int | None,
        is_reusable: bool,
        buffer: ResponseBuffer,
    ) -> None:
        """``is_reusable`` states whether the connection may be used after the body."""
        self._connection = connection
        self._payload = payload
        self._first = first
        self._length = length
        self._is_reusable = is_reusable
        self._hold = buffer.open(self._evict)
        self._read_bytes = len(first)
        self._ends_s = asyncio.get_running_loop().time() + MAX_STREAM_S
        self._end = StreamEnd.ABANDONED
        self._is_closed = False
        self._is_evicted = False
        self._reason = ""
        self._on_end: Callable[[StreamEnd, str], None] | None = None
        self._on_evict: Callable[[], None] | None = None
        self._protocol = connection.protocol
        self.count_unsent(0)

    @property
    def length(self) -> int | None:
        """Length of the whole body; None if the server does not state it."""
        return self._length

    def call_on_end(self, on_end: Callable[[StreamEnd, str], None]) -> None:
        """Call a function when the stream is closed.

        It gets the reason if the response is incomplete, unless its caller has left.
        """
        self._on_end = on_end

    def call_on_evict(self, on_evict: Callable[[], None]) -> None:
        """Call a function, which must end the response, if there is no room for it."""
        self._on_evict = on_evict

    def count_unsent(self, unsent_bytes: int) -> None:
        """Count what the response holds, with the bytes not yet sent to its caller.

        Raises:
            StreamBrokenError: the response has taken too long.
        """
        ahead = self._payload.total_bytes - self._read_bytes
        self._hold.resize(ahead + len(self._first) + unsent_bytes)
        if asyncio.get_running_loop().time() > self._ends_s:
            raise StreamBrokenError("the response takes too long")

    async def read(self) -> bytes:
        """Return the next piece of the body; empty once it is complete.

        Raises:
            StreamBrokenError: the server's response is incomplete or has stalled.
        """
        if self._first:
            piece = self._first[:PIECE_BYTES]
            self._first = self._first[PIECE_BYTES:]
            return piece
        try:
            async with asyncio.timeout(SERVER_STALL_S):
                piece = await self._payload.read(PIECE_BYTES)
        except (aiohttp.ClientError, HttpProcessingError, OSError) as error:
            # TimeoutError is an OSError.
            if not self._is_evicted:
                self._end = StreamEnd.BROKEN
            # The payload keeps the error; its traceback would keep the payload.
            raise StreamBrokenError(repr(error)) from error.with_traceback(None)
        self._read_bytes += len(piece)
        if not piece:
            self._end = StreamEnd.COMPLETED
        return piece

    def fail(self, reason: str) -> None:
        """Record why the response is incomplete."""
        self._reason = reason
        if self._end is StreamEnd.COMPLETED:
            self._end = StreamEnd.ABANDONED

    def close(self) -> None:
        """Release the connection, or close it if the body was not read completely."""
        if self._is_closed:
            return
        self._is_closed = True
        self._first = b""
        self._hold.close()
        if self._end is StreamEnd.COMPLETED and self._is_reusable:
            self._connection.release()
        else:
            self._connection.close()
        if self._on_end is not None:
            self._on_end(self._end, self._reason)

    def _evict(self) -> None:
        self._is_evicted = True
        if isinstance(self._protocol, ServerConnection):
            self._protocol.reject("all responses together exceed their limit")
        if self._on_evict is not None:
            self._on_evict()


def content_length(message: RawResponseMessage) -> int | None:
    """Return the length of a response's body, if it is stated."""
    if message.chunked:
        return None
    return int(message.headers[CONTENT_LENGTH_HEADER])


def is_unframed(message: RawResponseMessage) -> bool:
    """Return whether the body ends when the connection does, RFC 9112 section 6.3."""
    if message.chunked or message.code in (204, 304):
        return False
    return (
        CONTENT_LENGTH_HEADER not in message.headers
        and TRANSFER_ENCODING_HEADER not in message.headers
    )

"""Writes a streamed response to its caller, as fast as the caller reads it.

An incomplete response must never look complete: its connection is aborted, without the
rest of the body or the last chunk.
"""

import asyncio

from aiohttp import web
from aiohttp.http import StreamWriter

from .messages import EdgeResponse
from .responsestream import ResponseStream, StreamBrokenError

CALLER_STALL_S = 5.0
"""Time in which a caller reads nothing after which its response is broken off."""
PROGRESS_CHECK_S = 0.25
"""Time between checks whether a caller reads."""


class StreamedResponse(web.StreamResponse):
    """A response whose body is read from a server while it is written."""

    def __init__(self, response: EdgeResponse, stream: ResponseStream) -> None:
        super().__init__(status=response.status, headers=response.headers)
        if stream.length is not None:
            self.content_length = stream.length
        self._stream = stream
        self._sent_bytes = 0
        self._is_truncated = False

    async def send(self, request: web.BaseRequest) -> None:
        """Write the head and the body; abort the connection if it is incomplete."""
        transport = request.transport
        stream = self._stream
        writer = request.writer
        assert isinstance(writer, StreamWriter)
        try:
            if transport is None:
                raise StreamBrokenError("the caller has disconnected")
            stream.call_on_evict(transport.abort)
            await self.prepare(request)
            while piece := await stream.read():
                stream.count_unsent(len(piece) + transport.get_write_buffer_size())
                # Its own wait for the caller to read would have no limit.
                await writer.write(piece, drain=False)
                self._sent_bytes += len(piece)
                if request.protocol.writing_paused:
                    await self._wait_for_progress(request, transport)
            if stream.length not in (None, self._sent_bytes):
                raise StreamBrokenError("the body has another length than stated")
        except (StreamBrokenError, ConnectionError) as error:
            self._is_truncated = True
            stream.fail(str(error))
            if transport is not None:
                transport.abort()
        finally:
            stream.close()

    async def write_eof(self, data: bytes = b"") -> None:
        if self._is_truncated:
            raise ConnectionResetError("the response is incomplete")
        await super().write_eof(data)

    async def _wait_for_progress(
        self, request: web.BaseRequest, transport: asyncio.WriteTransport
    ) -> None:
        """Wait until the caller has read most of what was written.

        Raises:
            StreamBrokenError: it read nothing for ``CALLER_STALL_S``.
        """
        loop = asyncio.get_running_loop()
        unsent = transport.get_write_buffer_size()
        last_progress_s = loop.time()
        draining = asyncio.ensure_future(request.writer.drain())
        try:
            while not draining.done():
                await asyncio.wait({draining}, timeout=PROGRESS_CHECK_S)
                previous, unsent = unsent, transport.get_write_buffer_size()
                self._stream.count_unsent(unsent)
                if unsent < previous:
                    last_progress_s = loop.time()
                elif loop.time() - last_progress_s >= CALLER_STALL_S:
                    raise StreamBrokenError("the caller does not read")
            draining.result()
        finally:
            # It is still waiting only if the connection is about to end.
            draining.cancel()

"""HTTP connections to backend servers.

The last checks of an attempt and the only write of its bytes are made in
``AttemptRequest.send``, which aiohttp calls with the connection that it has chosen.
"""

from contextvars import ContextVar
from typing import Protocol

import aiohttp
from aiohttp.connector import Connection
from aiohttp.http import StreamWriter
from multidict import CIMultiDict

CONNECT_TIMEOUT_S = 0.5
KEEPALIVE_S = 30.0


class NotSentError(aiohttp.ClientError):
    """The attempt ended before its first byte was written."""


class StaleConnectionError(NotSentError):
    """A pooled connection was closed, or holds bytes that nobody asked for."""


class SendHook(Protocol):
    """What ``send`` needs of the attempt that it sends."""

    @property
    def body(self) -> bytes: ...

    def start(self, headers: CIMultiDict[str]) -> None:
        """Make the last checks and count the attempt as sent.

        Raises:
            NotSentError: the attempt must not be sent now, or was sent before.
        """


current_attempt: ContextVar[SendHook] = ContextVar("current_attempt")


class AttemptRequest(aiohttp.ClientRequest):
    """Writes a request in one piece, directly after the last checks.

    aiohttp itself writes a body from another task, some time after ``send``, and sends
    an idempotent request again on its own if a kept connection breaks. Here
    ``SendHook.start`` refuses a second send.
    """

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        protocol = conn.protocol
        transport = conn.transport
        if protocol is None or transport is None:
            raise StaleConnectionError("connection is closed")
        if transport.is_closing() or protocol.should_close:
            raise StaleConnectionError("connection cannot be used again")
        attempt = current_attempt.get()
        writer = StreamWriter(protocol, self.loop)
        attempt.start(self.headers)
        # write_headers only fills a buffer; write_eof writes it with the body.
        await writer.write_headers(
            f"{self.method} {self.url.raw_path_qs} HTTP/1.1", self.headers
        )
        await writer.write_eof(attempt.body)
        protocol.start_timeout()
        response = aiohttp.ClientResponse(
            self.method,
            self.original_url,
            writer=None,
            continue100=None,
            timer=self._timer,
            request_info=self.request_info,
            traces=self._traces,
            loop=self.loop,
            session=self.session,
            stream_writer=writer,
        )
        self.response = response  # type: ignore[assignment]
        return response


def open_pool(
    connections_per_server: int, force_close: bool = False
) -> aiohttp.ClientSession:
    """Return a session that reuses connections, or opens one for each attempt.

    Answers are passed on as they are: no decompression, redirects or cookies. Each
    attempt sets its own timeout.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=connections_per_server,
        keepalive_timeout=None if force_close else KEEPALIVE_S,
        force_close=force_close,
        use_dns_cache=False,
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        request_class=AttemptRequest,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"),
    )


class Pools:
    """Connections of one router to all backend servers."""

    def __init__(self, connections_per_server: int) -> None:
        self._kept = open_pool(connections_per_server)
        # A run under probation needs a connection of its own: on a kept one, a break
        # may only mean that the server closed it while idle.
        self._fresh = open_pool(connections_per_server, force_close=True)

    @property
    def kept(self) -> aiohttp.ClientSession:
        """Session whose connections are reused."""
        return self._kept

    @property
    def fresh(self) -> aiohttp.ClientSession:
        """Session that opens a connection for each attempt."""
        return self._fresh

    async def close(self) -> None:
        """Close all connections."""
        await self._kept.close()
        await self._fresh.close()

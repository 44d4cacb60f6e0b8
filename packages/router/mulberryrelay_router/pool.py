"""HTTP connections to backend servers.

``Pool.send`` takes a connection from aiohttp's connector, checks that the request may
still be sent, and writes the whole request in one step. ``ClientSession.request`` would
write the body from another task, some time after that check, and would retry an
idempotent request by itself when a persistent connection breaks.
"""

import asyncio
import functools
from math import inf
from typing import Protocol

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.helpers import TimerNoop
from aiohttp.http import StreamWriter
from multidict import CIMultiDict, istr
from yarl import URL

from .serverconnection import OnLost, ServerConnection, set_connection_factory

CONNECT_TIMEOUT_S = 0.5
KEEPALIVE_S = 30.0
READ_BUFFER_BYTES = 65_536
# Length up to which a body is written in one step with its head.
WRITTEN_AT_ONCE_BYTES = 65_536
# Bounds the memory for servers that no longer exist.
MAX_TEMPLATES = 4096

CONNECT_TIMEOUTS = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class NotSentError(aiohttp.ClientError):
    """The attempt ended before its first byte was written."""


class SendHook(Protocol):
    """Interface of the attempt that ``Pool.send`` sends."""

    @property
    def body(self) -> bytes | bytearray: ...

    def before_write(self, headers: CIMultiDict[str]) -> None:
        """Check that the attempt may be sent, and mark it as sent.

        Raises:
            NotSentError: the attempt must not be sent now.
        """


class Pool:
    """Connections that are reused, or with ``force_close`` used for one attempt each.

    Responses are returned unchanged: no decompression, redirects or cookies.
    """

    def __init__(
        self,
        connections_per_server: int,
        force_close: bool = False,
        keepalive_s: float = KEEPALIVE_S,
        max_response_bytes: float = inf,
        last_response_header: istr | None = None,
        default_idle_s: float | None = None,
        on_lost: OnLost | None = None,
    ) -> None:
        """``max_response_bytes`` bounds the bodies received for one request.

        A connection is not reused after a response with ``last_response_header``, or
        when it has been idle for ``keepalive_s``, or for as long as its server states,
        or for ``default_idle_s`` if it states nothing.
        ``on_lost`` is called when a server ends an idle connection unannounced.
        """
        self._force_close = force_close
        self._max_response_bytes = max_response_bytes
        self._connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=connections_per_server,
            keepalive_timeout=None if force_close else keepalive_s,
            force_close=force_close,
            use_dns_cache=False,
        )
        set_connection_factory(
            self._connector,
            functools.partial(
                _create_connection, last_response_header, default_idle_s, on_lost
            ),
        )
        self._session = aiohttp.ClientSession(
            connector=self._connector, cookie_jar=aiohttp.DummyCookieJar()
        )
        self._loop = asyncio.get_running_loop()
        self._templates: dict[tuple[str, int], aiohttp.ClientRequest] = {}

    async def send(
        self,
        host: str,
        port: int,
        method: str,
        path: str,
        headers: CIMultiDict[str],
        attempt: SendHook,
    ) -> aiohttp.ClientResponse:
        """Send a request and return the response once its headers have arrived.

        This method and the attempt add to ``headers``. The calling code sets the
        timeout.

        Raises:
            NotSentError: the attempt must not be sent now.
            aiohttp.ClientError: the connection broke or the response is malformed.
        """
        template = self._template(host, port)
        headers["Host"] = f"{host}:{port}"
        if self._force_close:
            headers["Connection"] = "close"
        connection = await self.open(host, port)
        try:
            writer = await self.write(connection, method, path, headers, attempt)
            if has_long_body(attempt):
                await write_body(writer, attempt)
            response = self._response(method, template, writer)
            try:
                await response.start(connection)
            except BaseException:
                response.close()
                raise
        except BaseException:
            connection.close()
            raise
        return response

    async def open(self, host: str, port: int) -> Connection:
        """Return a usable connection, which the calling code releases or closes.

        Raises:
            aiohttp.ClientError: no connection could be opened.
        """
        template = self._template(host, port)
        while True:
            connection = await self._connect(template)
            if _is_usable(connection):
                return connection
            # Nothing was written to it. Closing removes it from the pool.
            connection.close()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def _template(self, host: str, port: int) -> aiohttp.ClientRequest:
        """Return the request object that identifies a server to the connector."""
        template = self._templates.get((host, port))
        if template is not None:
            return template
        if len(self._templates) >= MAX_TEMPLATES:
            self._templates.clear()
        template = aiohttp.ClientRequest(
            "GET", URL.build(scheme="http", host=host, port=port), loop=self._loop
        )
        self._templates[host, port] = template
        return template

    async def _connect(self, template: aiohttp.ClientRequest) -> Connection:
        try:
            return await self._connector.connect(template, [], CONNECT_TIMEOUTS)
        except TimeoutError:
            # Only the connect timeout: one set by the calling code cancels this task.
            raise aiohttp.ConnectionTimeoutError("connection timeout") from None

    async def write(
        self,
        connection: Connection,
        method: str,
        path: str,
        headers: CIMultiDict[str],
        attempt: SendHook,
    ) -> StreamWriter:
        """Call ``attempt.before_write`` and write the whole request in one step.

        If the body is long (``has_long_body``), only the head is written, and
        ``write_body`` has to follow.

        Raises:
            NotSentError: the attempt must not be sent now.
        """
        protocol = connection.protocol
        assert isinstance(protocol, ServerConnection)
        protocol.expect_response(self._max_response_bytes)
        protocol.set_response_params(
            skip_payload=method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        writer = StreamWriter(protocol, self._loop)
        attempt.before_write(headers)
        # write_headers only fills a buffer; write_eof writes it with the body.
        await writer.write_headers(f"{method} {path} HTTP/1.1", headers)
        if has_long_body(attempt):
            writer.send_headers()
        else:
            await writer.write_eof(bytes(attempt.body))
        return writer

    def _response(
        self, method: str, template: aiohttp.ClientRequest, writer: StreamWriter
    ) -> aiohttp.ClientResponse:
        return aiohttp.ClientResponse(
            method,
            template.url,
            writer=None,
            continue100=None,
            timer=TimerNoop(),
            request_info=template.request_info,
            traces=[],
            loop=self._loop,
            session=self._session,
            stream_writer=writer,
        )


def has_long_body(attempt: SendHook) -> bool:
    """Return whether an attempt's body is written by ``write_body``."""
    return len(attempt.body) > WRITTEN_AT_ONCE_BYTES


async def write_body(writer: StreamWriter, attempt: SendHook) -> None:
    """Write a long body in pieces, each once the connection has room for it.

    Written in one step, the connection would hold a copy of it.

    Raises:
        aiohttp.ClientError: the connection broke.
    """
    body = memoryview(attempt.body)
    for start in range(0, len(body), WRITTEN_AT_ONCE_BYTES):
        await writer.write(body[start : start + WRITTEN_AT_ONCE_BYTES])
    await writer.write_eof()


class Pools:
    """Connections of one router to all backend servers."""

    def __init__(self, connections_per_server: int, refusal_header: istr) -> None:
        # A duplicate of a refusal would be taken for the response to the retry, which
        # has the same request id.
        self._persistent = Pool(
            connections_per_server, last_response_header=refusal_header
        )
        # A run under probation needs a new connection. A persistent one may break only
        # because the server closed it while it was idle.
        self._single_use = Pool(connections_per_server, force_close=True)

    @property
    def persistent(self) -> Pool:
        """Pool whose connections are reused."""
        return self._persistent

    @property
    def single_use(self) -> Pool:
        """Pool that opens a new connection for each attempt."""
        return self._single_use

    async def close(self) -> None:
        """Close all connections."""
        await self._persistent.close()
        await self._single_use.close()


def _create_connection(
    last_response_header: istr | None,
    default_idle_s: float | None,
    on_lost: OnLost | None,
) -> ResponseHandler:
    return ServerConnection(
        asyncio.get_running_loop(), last_response_header, default_idle_s, on_lost
    )


def _is_usable(connection: Connection) -> bool:
    """Return whether a connection is open, stays so and got no unexpected bytes."""
    protocol = connection.protocol
    transport = connection.transport
    if protocol is None or transport is None:
        return False
    if isinstance(protocol, ServerConnection) and protocol.is_closing_soon:
        return False
    return not transport.is_closing() and not protocol.should_close

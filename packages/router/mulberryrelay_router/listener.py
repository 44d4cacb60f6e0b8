"""HTTP listener for callers, and its shutdown without cutting off requests."""

import asyncio
from math import inf
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from mulberryrelay_kernel.callerconnections import drain_connections
from mulberryrelay_kernel.clientlimits import ClientLimiter, HeadLimits
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.limitedconnections import (
    LimitedConnection,
    LimitedConnectionServer,
    head_limits,
)
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.options import Options

from .callers import Handler

LISTEN_BACKLOG = 1024
# Maximum length of a header line; limits.header_bytes limits the sum of all lines.
MAX_HEADER_LINE_BYTES = 8190
READ_AHEAD_BYTES = 65_536
"""Half of the bytes of a body that may arrive before they are read."""
# Pause between checks for open connections during shutdown.
CONNECTION_POLL_S = 0.01


class CallerServer(LimitedConnectionServer):
    """Limits the number of connections and the time until their first headers arrive.

    aiohttp has a single time limit for idle connections and for slow headers. A limit
    short enough for headers would close idle connections that callers are about to use.
    """

    def __init__(self, options: Options, handler: Handler, **settings: Any) -> None:
        self._limits = options.limits
        # This class limits the connections, as it tells no idle ones from others. A
        # request may last until its deadline, and so may its response.
        limiter = ClientLimiter(
            inf,
            self._limits.caller_bytes,
            self._head_limits,
            self._limits.deadline_ms / 1000,
        )
        super().__init__(limiter, self._handle, **settings)
        self._request_handler = handler
        self._header_timers: dict[RequestHandler, asyncio.TimerHandle] = {}
        self._is_full = False

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Accept a connection, or close it if there are too many."""
        was_full = self._is_full
        self._is_full = len(self.connections) >= self._limits.connections
        if self._is_full:
            if not was_full:
                log_event("connections_full", limit=self._limits.connections)
            transport.abort()
            return
        super().connection_made(handler, transport)
        self._header_timers[handler] = asyncio.get_running_loop().call_later(
            self._limits.header_timeout_ms / 1000,
            self._abort_slow_connection,
            handler,
            transport,
        )

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Cancel the header timer of a connection that has ended."""
        self._cancel_header_timer(handler)
        super().connection_lost(handler, exc)

    def _head_limits(self) -> HeadLimits:
        limits = self._limits
        timeout_s = limits.header_timeout_ms / 1000
        return head_limits(limits.header_bytes, MAX_HEADER_LINE_BYTES, timeout_s)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, LimitedConnection)
        self._cancel_header_timer(connection)
        try:
            return await self._request_handler(request)
        finally:
            connection.hold_body(0)

    def _abort_slow_connection(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        self._header_timers.pop(handler, None)
        log_event("headers_too_slow", limit_ms=self._limits.header_timeout_ms)
        transport.abort()

    def _cancel_header_timer(self, handler: RequestHandler) -> None:
        timer = self._header_timers.pop(handler, None)
        if timer is not None:
            timer.cancel()


async def open_listener(
    options: Options, handler: Handler
) -> tuple[web.ServerRunner, web.TCPSite]:
    """Open the listener for callers.

    A handler is cancelled when its caller disconnects. Bodies are not decompressed,
    because they are forwarded together with the headers that describe them.
    """
    max_line_bytes = min(MAX_HEADER_LINE_BYTES, options.limits.header_bytes)
    server = CallerServer(
        options,
        handler,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        max_line_size=max_line_bytes,
        max_field_size=max_line_bytes,
        read_bufsize=READ_AHEAD_BYTES,
    )
    runner = web.ServerRunner(
        server, shutdown_timeout=options.limits.deadline_ms / 1000
    )
    await runner.setup()
    site = web.TCPSite(
        runner,
        options.instance.host,
        options.instance.caller_port,
        backlog=LISTEN_BACKLOG,
    )
    await site.start()
    return runner, site


async def stop_listener(
    options: Options, runner: web.ServerRunner, site: web.TCPSite
) -> None:
    """Wait until the load balancer sends no new connections, then stop the listener.

    While the router is stopping, every response closes its connection. HTTP/1.1 cannot
    announce to the caller that an idle connection is about to be closed, and a request
    that crosses with the close gets no response. Idle connections are therefore kept
    open for the idle time: only a connection that was idle throughout can lose a
    request.
    """
    await asyncio.sleep(options.timing.settle_ms / 1000)
    await site.stop()
    assert runner.server is not None
    deadline_ms = monotonic_ms() + options.timing.idle_ms
    while runner.server.connections and monotonic_ms() < deadline_ms:
        await asyncio.sleep(CONNECTION_POLL_S)
    loop = asyncio.get_running_loop()
    body_deadline_s = loop.time() + options.limits.body_timeout_ms / 1000
    await drain_connections(runner.server, body_deadline_s)
    await runner.cleanup()

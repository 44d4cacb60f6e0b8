"""The callers' HTTP listener, and how it ends without cutting off a request."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.options import Options

from .callers import Handler

LISTEN_BACKLOG = 1024
# Longest header line; the sum of all lines is limited by limits.header_bytes.
MAX_HEADER_LINE = 8190
IDLE_POLL_S = 0.01


class CallerServer(web.Server):
    """Bounds the connections of callers and the time for their first headers.

    aiohttp has one time limit for idle connections and slow headers together. Short
    enough for headers, it would close idle connections that callers are about to use.
    """

    def __init__(self, options: Options, handler: Handler, **settings: Any) -> None:
        super().__init__(self._handle, **settings)
        self._limits = options.limits
        self._answer = handler
        self._timers: dict[RequestHandler, asyncio.TimerHandle] = {}
        self._is_full = False

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Take a connection in, or close it if there are too many."""
        was_full = self._is_full
        self._is_full = len(self.connections) >= self._limits.connections
        if self._is_full:
            if not was_full:
                log_event("connections_full", limit=self._limits.connections)
            transport.abort()
            return
        super().connection_made(handler, transport)
        self._timers[handler] = asyncio.get_running_loop().call_later(
            self._limits.header_timeout_ms / 1000, self._expire, handler, transport
        )

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Forget a connection that has ended."""
        self._end_timer(handler)
        super().connection_lost(handler, exc)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._end_timer(request.protocol)
        return await self._answer(request)

    def _expire(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        self._timers.pop(handler, None)
        log_event("headers_too_slow", limit_ms=self._limits.header_timeout_ms)
        transport.abort()

    def _end_timer(self, handler: RequestHandler) -> None:
        timer = self._timers.pop(handler, None)
        if timer is not None:
            timer.cancel()


async def open_listener(
    options: Options, handler: Handler
) -> tuple[web.ServerRunner, web.TCPSite]:
    """Listen for callers.

    A handler is cancelled when its caller disconnects. Bodies are passed on as they
    are, so that they fit the headers that describe them.
    """
    line = min(MAX_HEADER_LINE, options.limits.header_bytes)
    server = CallerServer(
        options,
        handler,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        max_line_size=line,
        max_field_size=line,
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
    """Let the load balancer settle, then end the listener without cutting requests.

    From the settle time on every answer closes its connection. HTTP/1.1 cannot tell a
    caller on an idle connection that it is about to be closed, and a request that
    crosses with the close gets no answer. So idle connections are kept for a while
    longer: only one that was idle all that time can lose a request.
    """
    await asyncio.sleep(options.timing.settle_ms / 1000)
    await site.stop()
    assert runner.server is not None
    give_up_ms = monotonic_ms() + options.timing.idle_ms
    while runner.server.connections and monotonic_ms() < give_up_ms:
        await asyncio.sleep(IDLE_POLL_S)
    await runner.cleanup()

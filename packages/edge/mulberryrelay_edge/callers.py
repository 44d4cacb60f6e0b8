"""HTTP server for the callers of an edge router, and its readiness check.

``callerhandler`` handles the requests. On shutdown this module first reports that the
router is not ready, so that the load balancer takes it out, and then completes the
requests in flight and those whose bodies are still arriving.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from aiohttp import web

from mulberryrelay_kernel.callerconnections import drain_connections
from mulberryrelay_kernel.clientlimits import ClientLimiter
from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.limitedconnections import LimitedConnectionServer
from mulberryrelay_kernel.logs import log_event

from .adapter import Adapter
from .callerhandler import CallerHandler
from .callerlimits import MAX_LINE_BYTES, caller_head_limits
from .catalog import Catalog
from .forwarder import RequestForwarder
from .options import EdgeOptions
from .pipelining import PipelinedConnection
from .requestbuffer import BodyHold

IDLE_TIMEOUT_S = 60.0
"""Time after which an idle connection is closed, unless operators permit more."""
LISTEN_BACKLOG = 1024
ACCEPT_BATCH = 16
"""Connections accepted before those that are too many are closed.

asyncio accepts as many at once as its backlog has, before it tells of any of them.
"""
READ_AHEAD_BYTES = 16_384
"""Half of the bytes that are read from a connection whose body waits for room."""
DEREGISTRATION_S = 2.6
"""Time for which a stopping router still accepts connections.

The load balancer takes a router out after two failed checks, which are a second apart.
"""
PENDING_ACCEPT_S = 0.02
"""Time between the last accept and the closing of the listener.

asyncio drops connections that it is accepting when their listener is closed.
"""
FIRST_REQUEST_S = 0.15
"""Time after the end of accepting for the first request of the newest connections.

aiohttp ignores what arrives on a connection that is closed before its task has started,
and does not close such a connection either.
"""
MAX_ACCEPTING_SHARE = 0.45
"""Maximum share of the shutdown time in which new connections are accepted."""
STOP_RESERVE_MS = 300.0
"""Time kept free at the end of the grace period, before the process is killed."""
CANCEL_S = 0.01
"""Time to cancel each request whose body has not arrived; 0 would be no limit."""


class _ConnectionServer(LimitedConnectionServer):
    """Gives each connection the idle timeout that is in force when it is opened."""

    def __init__(
        self,
        idle_timeout_s: Callable[[], float],
        limiter: ClientLimiter,
        handler: CallerHandler,
        clock: Clock,
        **options: Any,
    ) -> None:
        super().__init__(limiter, handler.handle, **options)
        self._idle_timeout_s = idle_timeout_s
        self._handler = handler
        self._clock = clock

    def __call__(self) -> web.RequestHandler:
        connection = PipelinedConnection(
            self,
            self._handler,
            self._clock,
            limiter=self.limiter,
            loop=self._loop,
            **self._kwargs,
        )
        # aiohttp has no public way to set it for a connection.
        connection._keepalive_timeout = self._idle_timeout_s()
        return connection


class CallerServer:
    """Serves requests of callers until it is stopped."""

    def __init__(
        self,
        adapter: Adapter,
        catalog: Catalog,
        forwarder: RequestForwarder,
        clock: Clock,
    ) -> None:
        self._adapter = adapter
        self._options: EdgeOptions = adapter.options
        self._catalog = catalog
        self._clock = clock
        self._limiter = ClientLimiter(
            self._options.max_caller_connections,
            self._options.max_caller_bytes,
            lambda: caller_head_limits(catalog.routes),
        )
        self._handler = CallerHandler(adapter, catalog, forwarder, self._limiter, clock)
        self._runner: web.ServerRunner | None = None
        self._listener: socket.socket | None = None
        self._site: web.SockSite | None = None
        self._ready_runner: web.AppRunner | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests that are being read or processed."""
        return self._handler.in_flight

    @property
    def limiter(self) -> ClientLimiter:
        """What all connections of callers together may take."""
        return self._limiter

    @property
    def port(self) -> int:
        """Port on which callers connect, once the server is started."""
        assert self._runner is not None
        return int(self._runner.addresses[0][1])

    def open_body(self) -> BodyHold:
        """Return a hold for a body that another router relays; it has to be closed."""
        return self._handler.open_body()

    async def start(self) -> None:
        """Listen for callers and for readiness checks."""
        server = _ConnectionServer(
            self._idle_timeout_s,
            self._limiter,
            self._handler,
            self._clock,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            read_bufsize=READ_AHEAD_BYTES,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=1.0)
        await self._runner.setup()
        options = self._options
        self._listener = socket.create_server(
            (options.host, options.caller_port), backlog=LISTEN_BACKLOG
        )
        self._listener.setblocking(False)
        self._site = web.SockSite(self._runner, self._listener, backlog=ACCEPT_BATCH)
        await self._site.start()
        self._listener.listen(LISTEN_BACKLOG)
        app = web.Application()
        app.router.add_get(self._adapter.ready_path, self._check_ready)
        self._ready_runner = web.AppRunner(app, access_log=None)
        await self._ready_runner.setup()
        site = web.TCPSite(self._ready_runner, options.host, options.ready_port)
        await site.start()

    async def stop(self) -> None:
        """Report not ready, then shut down and let requests in flight complete."""
        shutdown = self._handler.shutdown
        shutdown.is_begun = True
        grace_ms = self._options.stop_grace_ms - STOP_RESERVE_MS
        shutdown.deadline_ms = self._clock() + grace_ms
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + grace_ms / 1000
        await asyncio.sleep(
            min(DEREGISTRATION_S, MAX_ACCEPTING_SHARE * grace_ms / 1000)
        )
        await self._stop_listening()
        await asyncio.sleep(FIRST_REQUEST_S)
        assert self._runner is not None
        server = self._runner.server
        assert server is not None
        shutdown.is_draining = True
        await drain_connections(server, deadline_s)
        log_event("caller_server_stopped", in_flight=self.in_flight)
        await server.shutdown(CANCEL_S)
        await self._runner.cleanup()
        if self._ready_runner is not None:
            await self._ready_runner.cleanup()

    def _idle_timeout_s(self) -> float:
        routes = self._catalog.routes
        permitted_ms = routes.limits.idle_ms if routes is not None else 0.0
        return max(IDLE_TIMEOUT_S, permitted_ms / 1000)

    async def _stop_listening(self) -> None:
        """Stop accepting, and close the listener once pending accepts are done."""
        assert self._site is not None and self._listener is not None
        asyncio.get_running_loop().remove_reader(self._listener)
        await asyncio.sleep(PENDING_ACCEPT_S)
        await self._site.stop()

    async def _check_ready(self, request: web.Request) -> web.Response:
        is_stopping = self._handler.shutdown.is_begun
        is_ready = self._catalog.has_routes_and_servers and not is_stopping
        return web.Response(status=200 if is_ready else 503)

"""HTTP interface for callers of an edge router, and its readiness."""

import asyncio
import socket

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from multidict import CIMultiDict, istr

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import RequestId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_router.forward import CONTENT_LENGTH_HEADER, HOP_BY_HOP_HEADERS

from .adapter import Adapter
from .catalog import Catalog
from .messages import CallerLimits, EdgeAnswer, EdgeRequest
from .options import EdgeOptions
from .requests import RequestPath, own_answer
from .routetable import RouteMatcher

DROPPED_HEADERS = (
    *HOP_BY_HOP_HEADERS,
    CONTENT_LENGTH_HEADER,
    istr("Host"),
    istr("Expect"),
)
IDLE_TIMEOUT_S = 60.0
LISTEN_BACKLOG = 1024
MAX_HEADER_BYTES = 65_536
# The load balancer needs two missed checks, a second apart, to take a router out.
STOP_ACCEPTING_S = 2.6
# Time for connections that are being accepted; asyncio drops them with the listener.
LAST_ACCEPT_S = 0.02
# Time for the first request of a connection that was taken last. aiohttp ignores what
# arrives on a connection that is closed before its task has begun, and never ends it.
LAST_REQUEST_S = 0.15
# Share of the time to stop within which new connections are taken at most.
ACCEPTING_SHARE = 0.45
# Time for the last answers to leave before the process is killed.
STOP_RESERVE_MS = 300.0
LAST_ANSWER_MS = 200.0


class CallerServer:
    """Takes requests from callers until it is stopped."""

    def __init__(
        self, adapter: Adapter, catalog: Catalog, path: RequestPath, clock: Clock
    ) -> None:
        self._adapter = adapter
        self._options: EdgeOptions = adapter.options
        self._catalog = catalog
        self._path = path
        self._clock = clock
        self._matcher = RouteMatcher()
        self._in_flight = 0
        self._is_stopping = False
        self._stop_ms = float("inf")
        self._runner: web.ServerRunner | None = None
        self._listening: socket.socket | None = None
        self._site: web.SockSite | None = None
        self._ready_runner: web.AppRunner | None = None

    @property
    def in_flight(self) -> int:
        """Requests read and not yet answered."""
        return self._in_flight

    @property
    def port(self) -> int:
        """Port of the callers' listener, once it is started."""
        assert self._runner is not None
        return int(self._runner.addresses[0][1])

    async def start(self) -> None:
        """Listen for callers and for checks of readiness."""
        server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=IDLE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=1.0)
        await self._runner.setup()
        options = self._options
        self._listening = socket.create_server(
            (options.host, options.caller_port), backlog=LISTEN_BACKLOG
        )
        self._listening.setblocking(False)
        self._site = web.SockSite(self._runner, self._listening, backlog=LISTEN_BACKLOG)
        await self._site.start()
        app = web.Application()
        app.router.add_get(self._adapter.ready_path, self._ready)
        self._ready_runner = web.AppRunner(app, access_log=None)
        await self._ready_runner.setup()
        site = web.TCPSite(self._ready_runner, options.host, options.ready_port)
        await site.start()

    async def stop(self) -> None:
        """Report not ready, then end without cutting a request off."""
        self._is_stopping = True
        grace_ms = self._options.stop_grace_ms - STOP_RESERVE_MS
        self._stop_ms = self._clock() + grace_ms
        loop = asyncio.get_running_loop()
        end_s = loop.time() + grace_ms / 1000
        await asyncio.sleep(min(STOP_ACCEPTING_S, ACCEPTING_SHARE * grace_ms / 1000))
        await self._stop_listening()
        await asyncio.sleep(LAST_REQUEST_S)
        assert self._runner is not None
        server = self._runner.server
        assert server is not None
        for connection in server.connections:
            # Ends the wait for a further request; a busy connection goes on.
            connection.close()
        await asyncio.sleep(0)
        await server.shutdown(max(0.0, end_s - loop.time()))
        log_event("callers_stopped", in_flight=self._in_flight)
        await self._runner.cleanup()
        if self._ready_runner is not None:
            await self._ready_runner.cleanup()

    async def _stop_listening(self) -> None:
        assert self._site is not None and self._listening is not None
        asyncio.get_running_loop().remove_reader(self._listening)
        await asyncio.sleep(LAST_ACCEPT_S)
        await self._site.stop()

    async def _ready(self, request: web.Request) -> web.Response:
        is_ready = self._catalog.is_complete and not self._is_stopping
        return web.Response(status=200 if is_ready else 503)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._in_flight += 1
        try:
            answer = await self._answer(request)
        finally:
            self._in_flight -= 1
        response = web.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )
        if self._is_stopping:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> EdgeAnswer:
        arrived_ms = self._clock()
        routes = self._catalog.routes
        if routes is None:
            await request.read()
            return own_answer(503)
        try:
            body = await self._read_body(request, routes.limits)
        except HttpProcessingError as error:
            log_event("bad_request", status=error.code, error=str(error))
            return own_answer(400)
        if body is None:
            return own_answer(413)
        header_bytes = sum(len(k) + len(v) for k, v in request.raw_headers)
        if header_bytes > routes.limits.header_bytes:
            return own_answer(431)
        names = self._adapter.headers
        route = self._matcher.match(routes, request.host, request.rel_url.raw_path)
        if route is None:
            request_id = request.headers.get(names.request_id, "")
            log_event(
                "no_route",
                request_id=request_id,
                host=request.host,
                path=request.rel_url.raw_path,
                routes_version=routes.version,
            )
            return own_answer(404)
        patience_ms = _number(request.headers.get(names.deadline_ms), route.timeout_ms)
        headers = CIMultiDict(request.headers)
        for name in DROPPED_HEADERS:
            headers.popall(name, None)
        headers.popall(names.expected_server, None)
        key = _number(request.headers.get(names.key), -1.0)
        edge_request = EdgeRequest(
            request_id=RequestId(request.headers.get(names.request_id, "")),
            method=request.method,
            target=request.raw_path,
            host=request.host,
            key=int(key) if 0 <= key <= 65535 else None,
            headers=headers,
            body=body,
            route=route,
            service=self._matcher.pick_service(route),
            arrived_ms=arrived_ms,
            deadline_ms=min(
                arrived_ms + min(patience_ms, route.timeout_ms),
                self._stop_ms - LAST_ANSWER_MS,
            ),
        )
        return await self._path.run(edge_request)

    async def _read_body(
        self, request: web.BaseRequest, limits: CallerLimits
    ) -> bytes | None:
        """Return the whole body, or None if it is too long."""
        if not request.body_exists:
            return b""
        chunks: list[bytes] = []
        length = 0
        while chunk := await request.content.readany():
            length += len(chunk)
            if length > limits.body_bytes:
                return None
            chunks.append(chunk)
        return b"".join(chunks)


def _number(text: str | None, default: float) -> float:
    """Return a header's number, or the default if it has none."""
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        log_event("bad_number", value=text[:32])
        return default

"""Handles the requests of callers: reads and checks each one, and forwards it."""

from math import isnan, nan
from typing import Any

import msgspec
from aiohttp import web
from aiohttp.http import HttpVersion11
from multidict import CIMultiDict, istr

from mulberryrelay_kernel.clientlimits import ClientLimiter
from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import RequestId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.supervision import log_failure
from mulberryrelay_router.attempts import CONTENT_LENGTH_HEADER, HOP_BY_HOP_HEADERS
from mulberryrelay_router.serverconnection import ResponseBuffer

from .adapter import Adapter
from .bodyreader import BODY_TOO_SLOW_STATUS, BodyReader, RefusedError
from .catalog import Catalog
from .forwarder import RequestForwarder
from .heldresponse import HeldResponse
from .messages import (
    LAST_KEY,
    EdgeRequest,
    EdgeResponse,
    RequestBody,
    Route,
    RouteTable,
)
from .pipelining import EarlyResponse, PipelinedConnection
from .requestbuffer import SMALL_BYTES, BodyHold
from .responses import router_response
from .routematcher import RouteMatcher
from .streamedresponse import StreamedResponse

DROPPED_HEADERS = (
    *HOP_BY_HOP_HEADERS,
    CONTENT_LENGTH_HEADER,
    istr("Host"),
    istr("Expect"),
)
"""Request headers that are not passed on to a server."""
STOPPING_RETRY_AFTER_S = 0.05
"""Time after which a caller should return to another router."""
RESPONSE_RESERVE_MS = 200.0
"""Minimum time between a request's deadline and the end of the shutdown.

In this time the last responses are written.
"""
MAX_LOGGED_LENGTH = 32
"""Characters of an invalid header value in a log line."""


class Shutdown(msgspec.Struct):
    """How far the shutdown of a router has come."""

    is_begun: bool = False
    is_draining: bool = False
    """Whether no more connections are accepted, as callers have gone elsewhere."""
    deadline_ms: float = float("inf")
    """Time at which the router stops."""


class CallerHandler:
    """Handles requests and counts those that it is reading or processing."""

    def __init__(
        self,
        adapter: Adapter,
        catalog: Catalog,
        forwarder: RequestForwarder,
        limiter: ClientLimiter,
        clock: Clock,
    ) -> None:
        self._adapter = adapter
        self._catalog = catalog
        self._forwarder = forwarder
        self._clock = clock
        self._matcher = RouteMatcher()
        self._responses: ResponseBuffer = forwarder.response_buffer
        self._bodies = BodyReader(
            adapter.options.max_request_bytes, self._responses, limiter
        )
        self._shutdown = Shutdown()
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that are being read or processed."""
        return self._in_flight

    @property
    def shutdown(self) -> Shutdown:
        """How far the shutdown has come; changed by who runs it."""
        return self._shutdown

    def open_body(self) -> BodyHold:
        """Return a hold for a body that another router relays; it has to be closed."""
        return self._bodies.open()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to a request."""
        connection = request.protocol
        assert isinstance(connection, PipelinedConnection)
        connection.begin(self._is_concurrent(request))
        edge_response = await connection.early_response()
        if edge_response is None:
            edge_response = await self._respond(request, connection)
        response: web.StreamResponse
        if edge_response.stream is not None:
            response = StreamedResponse(edge_response, edge_response.stream)
        else:
            response = self._build_response(request, edge_response)
        # The responses to requests that are already forwarded are written as well.
        if self._is_ending(connection) and not connection.has_forwarded:
            response.force_close()
        if response.status == BODY_TOO_SLOW_STATUS and not request.content.is_eof():
            response.force_close()
        if isinstance(response, StreamedResponse):
            await response.send(request)
        return response

    def read_early(
        self, request: web.BaseRequest, arrived_ms: float
    ) -> EdgeRequest | None:
        """Return the request to forward now, or None if it has to wait its turn."""
        routes = self._catalog.routes
        if routes is None or self._is_ending(request.protocol):
            return None
        if not self._is_concurrent(request):
            return None
        try:
            return self._check(request, routes, b"", arrived_ms, may_stream=False)
        except RefusedError:
            return None

    async def forward_early(
        self, request: EdgeRequest, connection: web.RequestHandler
    ) -> EarlyResponse:
        """Return the response to a request; ``connection`` is closed to drop it."""
        self._in_flight += 1
        self._forwarder.metrics.count("forwarded_early")
        try:
            response = await self.forward(request)
        except Exception as error:
            log_failure("request", error)
            response = router_response(500)
        finally:
            self._in_flight -= 1
        hold = self._responses.open(lambda: _disconnect(connection))
        hold.add(len(response.body))
        return EarlyResponse(response, hold)

    async def forward(self, request: EdgeRequest) -> EdgeResponse:
        """Forward a request that was read and checked."""
        return await self._forwarder.forward(request)

    async def _respond(
        self, request: web.BaseRequest, connection: PipelinedConnection
    ) -> EdgeResponse:
        """Forward a request in its turn, or refuse it."""
        self._in_flight += 1
        hold = self._bodies.open()
        try:
            edge_request = await self._read(request, connection.arrived_ms, hold)
            connection.hold_body(len(edge_request.body) - hold.taken_bytes)
            return await self.forward(edge_request)
        except RefusedError as refused:
            return refused.response
        except (web.HTTPException, web.RequestPayloadError, ConnectionError):
            raise
        except Exception as error:
            # What the request has caused is not known here.
            log_failure("request", error)
            return router_response(500)
        finally:
            hold.close()
            connection.hold_body(0)
            self._in_flight -= 1

    def _is_ending(self, connection: web.RequestHandler) -> bool:
        """Return whether no further requests of a connection are forwarded."""
        assert isinstance(connection, PipelinedConnection)
        return self._shutdown.is_begun or connection.is_finishing

    def _is_concurrent(self, request: web.BaseRequest) -> bool:
        """Return whether a request and those around it may run at the same time."""
        routes = self._catalog.routes
        if routes is None or request.body_exists:
            return False
        route = self._match(request, routes)
        return route is not None and route.is_idempotent

    def _build_response(
        self, request: web.BaseRequest, edge_response: EdgeResponse
    ) -> web.Response:
        options: dict[str, Any] = {
            "status": edge_response.status,
            "headers": edge_response.headers,
        }
        body = edge_response.body
        if len(body) <= SMALL_BYTES:
            return web.Response(body=body, **options)
        connection = request.protocol
        hold = self._responses.open(lambda: _disconnect(connection))
        hold.add(len(body))
        return HeldResponse(hold, body, **options)

    async def _read(
        self, request: web.BaseRequest, arrived_ms: float, hold: BodyHold
    ) -> EdgeRequest:
        """Read and check a request.

        Raises:
            RefusedError: it must not be forwarded.
        """
        routes = self._catalog.routes
        if routes is None:
            raise RefusedError(router_response(503))
        route = self._find_route(request, routes)
        timeout_ms = min(self._timeout_ms(request, route.timeout_ms), route.timeout_ms)
        left_ms = arrived_ms + timeout_ms - self._clock()
        request_id = self._request_id(request)
        body = await self._bodies.read(
            request, request_id, routes.limits, hold, left_ms
        )
        checked = self._check(request, routes, body, arrived_ms, may_stream=True)
        if hold.taken_bytes:
            checked = msgspec.structs.replace(checked, body_hold=hold)
        return checked

    def _check(
        self,
        request: web.BaseRequest,
        routes: RouteTable,
        body: RequestBody,
        arrived_ms: float,
        may_stream: bool,
    ) -> EdgeRequest:
        """Check a request whose body has been read.

        ``may_stream`` states whether its response may be written at once.

        Raises:
            RefusedError: it must not be forwarded.
        """
        header_bytes = sum(len(k) + len(v) for k, v in request.raw_headers)
        if header_bytes > routes.limits.header_bytes:
            raise RefusedError(router_response(431))
        route = self._find_route(request, routes)
        deadline_ms = self._deadline_ms(request, route, arrived_ms)
        names = self._adapter.headers
        headers = CIMultiDict(request.headers)
        for name in DROPPED_HEADERS:
            headers.popall(name, None)
        headers.popall(names.expected_server, None)
        key = _parse_number(request.headers.get(names.key), -1.0)
        return EdgeRequest(
            request_id=self._request_id(request),
            method=request.method,
            target=request.raw_path,
            host=request.host,
            key=int(key) if 0 <= key <= LAST_KEY else None,
            headers=headers,
            body=body,
            route=route,
            service=self._matcher.pick_service(route),
            arrived_ms=arrived_ms,
            deadline_ms=deadline_ms,
            caller_address=request.remote or "",
            may_stream=may_stream and _may_stream(request, route),
        )

    def _match(self, request: web.BaseRequest, routes: RouteTable) -> Route | None:
        return self._matcher.match(routes, request.host, request.rel_url.raw_path)

    def _find_route(self, request: web.BaseRequest, routes: RouteTable) -> Route:
        route = self._match(request, routes)
        if route is not None:
            return route
        log_event(
            "no_route",
            request_id=self._request_id(request),
            host=request.host,
            path=request.rel_url.raw_path,
            routes_version=routes.version,
        )
        raise RefusedError(router_response(404))

    def _deadline_ms(
        self, request: web.BaseRequest, route: Route, arrived_ms: float
    ) -> float:
        """Return the deadline of a request, which is before the router ends.

        Once callers have gone elsewhere, a request that may outlast the router is
        refused.
        """
        timeout_ms = min(self._timeout_ms(request, route.timeout_ms), route.timeout_ms)
        deadline_ms = arrived_ms + timeout_ms
        last_deadline_ms = self._shutdown.deadline_ms - RESPONSE_RESERVE_MS
        if not self._shutdown.is_draining or deadline_ms <= last_deadline_ms:
            return min(deadline_ms, last_deadline_ms)
        log_event(
            "refused_while_stopping",
            request_id=self._request_id(request),
            route=route.name,
            needed_ms=round(deadline_ms - self._clock()),
            left_ms=round(last_deadline_ms - self._clock()),
        )
        raise RefusedError(router_response(503, STOPPING_RETRY_AFTER_S))

    def _timeout_ms(self, request: web.BaseRequest, default_ms: float) -> float:
        """Return the time for which the caller waits."""
        text = request.headers.get(self._adapter.headers.deadline_ms)
        return _parse_number(text, default_ms)

    def _request_id(self, request: web.BaseRequest) -> RequestId:
        return RequestId(request.headers.get(self._adapter.headers.request_id, ""))


def _may_stream(request: web.BaseRequest, route: Route) -> bool:
    """Return whether a response to a request is recognised as incomplete."""
    is_chunkable = request.version >= HttpVersion11
    return route.is_download and request.method == "GET" and is_chunkable


def _disconnect(connection: web.RequestHandler) -> None:
    if connection.transport is not None:
        connection.transport.abort()


def _parse_number(text: str | None, default: float) -> float:
    """Return the number in a header, or the default if it is absent or invalid."""
    if text is None:
        return default
    try:
        number = float(text)
    except ValueError:
        number = nan
    if isnan(number):
        log_event("invalid_header_number", value=text[:MAX_LOGGED_LENGTH])
        return default
    return number

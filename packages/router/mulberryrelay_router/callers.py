"""HTTP interface for callers: reads a request, has it routed, writes the answer."""

import uuid
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import (
    IdempotencyKey,
    Key,
    RequestClass,
    RequestId,
    ServiceName,
)
from mulberryrelay_kernel.messages import ErrorBody
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.states import Outcome

from .forward import (
    CLASS_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Answer,
    CallerRequest,
)

RouteRequest = Callable[[CallerRequest], Awaitable[Answer]]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class BadRequestError(Exception):
    """A request that no server can be found for."""

    def __init__(self, status: int, error: str, detail: str) -> None:
        super().__init__(detail)
        self._status = status
        self._error = error

    @property
    def status(self) -> int:
        return self._status

    @property
    def error(self) -> str:
        return self._error


def caller_handler(options: Options, route_request: RouteRequest) -> Handler:
    """Return the handler of the callers' listener."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        request_id = RequestId(request.headers.get(REQUEST_ID_HEADER, uuid.uuid4().hex))
        try:
            caller_request = await read_request(options, request, request_id)
        except BadRequestError as error:
            return error_response(error.status, error.error, str(error), request_id)
        answer = await route_request(caller_request)
        headers = CIMultiDict(answer.headers)
        headers[REQUEST_ID_HEADER] = request_id
        headers[OUTCOME_HEADER] = answer.outcome.value
        return web.Response(status=answer.status, headers=headers, body=answer.body)

    return handle


async def read_request(
    options: Options, request: web.BaseRequest, request_id: RequestId
) -> CallerRequest:
    """Return the request with its body.

    Raises:
        BadRequestError: unknown service or class, missing key or bad deadline.
    """
    service_name, _, rest = request.path_qs.lstrip("/").partition("/")
    service = options.services.get(ServiceName(service_name))
    if service is None:
        raise BadRequestError(404, "unknown-service", f"no service {service_name!r}")
    key = request.headers.get(KEY_HEADER)
    if service.partitioned and not key:
        raise BadRequestError(400, "missing-key", f"{KEY_HEADER} is required")
    request_class = request.headers.get(CLASS_HEADER, service.classes[-1])
    if request_class not in service.classes:
        raise BadRequestError(400, "unknown-class", f"no class {request_class!r}")
    deadline = request.headers.get(DEADLINE_HEADER, str(service.default_deadline_ms))
    if not deadline.isdecimal():
        raise BadRequestError(400, "bad-deadline", f"{DEADLINE_HEADER} is not a number")
    idempotency_key = request.headers.get(IDEMPOTENCY_HEADER)
    return CallerRequest(
        request_id=request_id,
        service=ServiceName(service_name),
        request_class=RequestClass(request_class),
        method=request.method,
        path=f"/{rest}",
        key=Key(key) if key else None,
        idempotency_key=IdempotencyKey(idempotency_key) if idempotency_key else None,
        headers=CIMultiDict(request.headers),
        body=await request.read(),
        deadline_ms=monotonic_ms() + int(deadline),
    )


def error_response(
    status: int, error: str, detail: str, request_id: RequestId
) -> web.Response:
    """Return an answer of the router's own; the request was not run."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(ErrorBody(error, detail, request_id)),
        content_type="application/json",
        headers={
            REQUEST_ID_HEADER: request_id,
            OUTCOME_HEADER: Outcome.NOT_RUN.value,
        },
    )

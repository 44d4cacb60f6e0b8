"""HTTP interface for callers.

The handler checks and reads a request, passes it to the router and writes the response,
which states the outcome of the request: ran, not run or unknown.
"""

import asyncio
import uuid
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from multidict import CIMultiDict, istr

from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import (
    IdempotencyKey,
    Key,
    RequestClass,
    RequestId,
    ServiceName,
)
from mulberryrelay_kernel.limitedconnections import LimitedConnection
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import ErrorBody
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.states import Outcome

from .attempts import (
    CLASS_HEADER,
    CONTENT_LENGTH_HEADER,
    DEADLINE_HEADER,
    EPOCH_HEADER,
    HOP_BY_HOP_HEADERS,
    IDEMPOTENCY_HEADER,
    IDEMPOTENT_METHODS,
    KEY_HEADER,
    OUTCOME_HEADER,
    OWNER_HEADER,
    REQUEST_ID_HEADER,
    TERM_HEADER,
    UNIT_HEADER,
    CallerRequest,
    RoutedResponse,
)

RouteRequest = Callable[[CallerRequest], Awaitable[RoutedResponse]]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

CONNECTION_HEADER = istr("Connection")
# Headers that are not forwarded. The router alone sets those that name an owner, and
# computes the length from the body that it has read. If Expect were forwarded, aiohttp
# would wait for an interim response.
DROPPED_HEADERS = (
    *HOP_BY_HOP_HEADERS,
    CONTENT_LENGTH_HEADER,
    istr("Host"),
    istr("Expect"),
    UNIT_HEADER,
    EPOCH_HEADER,
    TERM_HEADER,
)
# Maximum length of the value of a header that the router itself reads.
MAX_HEADER_VALUE_LENGTH = 256
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BadRequestError(Exception):
    """A request that is refused before it is routed."""

    def __init__(self, status: int, error: str, detail: str) -> None:
        super().__init__(detail)
        self._status = status
        self._error = error

    @property
    def status(self) -> int:
        """Status of the response."""
        return self._status

    @property
    def error(self) -> str:
        """Error code in the body of the response."""
        return self._error


def caller_handler(
    options: Options, route_request: RouteRequest, is_stopping: Callable[[], bool]
) -> Handler:
    """Return the request handler of the callers' listener.

    While the router is stopping, each response closes its connection.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex
        if not _is_valid_header_value(request_id):
            request_id = uuid.uuid4().hex
        started_ms = monotonic_ms()
        try:
            caller_request = await read_request(options, request, RequestId(request_id))
        except BadRequestError as error:
            outcome = _outcome_before_claim(request)
            log_event(
                "request_refused",
                request_id=request_id,
                outcome=outcome.value,
                status=error.status,
                error=error.error,
            )
            http_response = error_response(
                error.status, error.error, str(error), RequestId(request_id), outcome
            )
            # Part of the request may still be unread.
            http_response.force_close()
            return http_response
        try:
            response = await route_request(caller_request)
        except asyncio.CancelledError:
            _log_failure(caller_request, started_ms, Outcome.UNKNOWN, "caller-left")
            raise
        except Exception as error:
            _log_failure(
                caller_request, started_ms, Outcome.UNKNOWN, "internal-error", 500
            )
            log_event("request_failed", request_id=request_id, error=repr(error))
            return error_response(
                500,
                "internal-error",
                "internal error; the request may have run",
                RequestId(request_id),
                Outcome.UNKNOWN,
            )
        if response.outcome is not Outcome.RAN:
            _log_failure(
                caller_request,
                started_ms,
                response.outcome,
                response.error or (response.reason.value if response.reason else ""),
                response.status,
                response.headers.get(OWNER_HEADER, ""),
            )
        if response.stream is not None:
            return await _stream_response(
                request, caller_request, response, is_stopping
            )
        http_response = _buffered_response(caller_request, response)
        if is_stopping():
            http_response.force_close()
        return http_response

    return handle


def _log_failure(
    request: CallerRequest,
    started_ms: float,
    outcome: Outcome,
    error: str,
    status: int = 0,
    server: str = "",
) -> None:
    """Log a request whose outcome is "not run" or "unknown".

    The path and the body are not logged: the query may contain credentials.
    """
    log_event(
        "request_not_run" if outcome is Outcome.NOT_RUN else "request_unknown",
        request_id=request.request_id,
        service=request.service,
        request_class=request.request_class,
        method=request.method,
        outcome=outcome.value,
        error=error,
        status=status,
        server=server,
        elapsed_ms=round(monotonic_ms() - started_ms, 1),
    )


async def read_request(
    options: Options, request: web.BaseRequest, request_id: RequestId
) -> CallerRequest:
    """Validate a request, read its body and return it for routing.

    Raises:
        BadRequestError: the service or class is unknown, the key is missing, a header
            is invalid, or the request is too long or arrives too slowly.
    """
    _check_headers(options, request)
    if request.method == "CONNECT":
        raise BadRequestError(405, "bad-method", "CONNECT is not supported")
    # Decoding and encoding the path again could change it, so the raw path is used.
    service_name, _, rest = request.raw_path.removeprefix("/").partition("/")
    service = options.services.get(ServiceName(service_name))
    if service is None:
        raise BadRequestError(404, "unknown-service", f"no service {service_name!r}")
    key = _header_value(request, KEY_HEADER)
    if service.partitioned and not key:
        raise BadRequestError(
            400, "missing-key", f"{KEY_HEADER} is required for {service_name!r}"
        )
    request_class = _header_value(request, CLASS_HEADER) or service.classes[-1]
    if request_class not in service.classes:
        raise BadRequestError(400, "unknown-class", f"unknown class {request_class!r}")
    deadline = _header_value(request, DEADLINE_HEADER) or str(
        service.default_deadline_ms
    )
    deadline_ms = _deadline_ms(deadline, options.limits.deadline_ms)
    idempotency_key = _header_value(request, IDEMPOTENCY_HEADER)
    arrived_ms = monotonic_ms()
    body = await _read_body(options, request) if request.body_exists else b""
    return CallerRequest(
        request_id=request_id,
        service=ServiceName(service_name),
        request_class=RequestClass(request_class),
        method=request.method,
        path=f"/{rest}",
        key=Key(key) if key else None,
        idempotency_key=IdempotencyKey(idempotency_key) if idempotency_key else None,
        headers=_forwarded_headers(request),
        body=body,
        deadline_ms=arrived_ms + deadline_ms,
    )


def error_response(
    status: int,
    error: str,
    detail: str,
    request_id: RequestId,
    outcome: Outcome = Outcome.NOT_RUN,
) -> web.Response:
    """Return an error response that the router itself generates."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(ErrorBody(error, detail, request_id)),
        content_type="application/json",
        headers={REQUEST_ID_HEADER: request_id, OUTCOME_HEADER: outcome.value},
    )


def _outcome_before_claim(request: web.BaseRequest) -> Outcome:
    """Return the outcome of a request that is refused before its claim is looked up.

    An earlier request with the same idempotency key may have run, unless the key is
    invalid and every request with it is refused.
    """
    if request.method in IDEMPOTENT_METHODS:
        return Outcome.NOT_RUN
    try:
        key = _header_value(request, IDEMPOTENCY_HEADER)
    except BadRequestError:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN if key else Outcome.NOT_RUN


def _check_headers(options: Options, request: web.BaseRequest) -> None:
    size = 0
    for name, value in request.raw_headers:
        size += len(name) + len(value)
        if not value.isascii() and not _is_utf8(value):
            # aiohttp would drop the bytes that it cannot encode.
            raise BadRequestError(400, "bad-header", f"{name!r} is not valid UTF-8")
    if size > options.limits.header_bytes:
        raise BadRequestError(
            431,
            "headers-too-long",
            f"headers of {size} bytes exceed {options.limits.header_bytes}",
        )


def _is_utf8(value: bytes) -> bool:
    try:
        value.decode()
    except UnicodeDecodeError:
        return False
    return True


def _header_value(request: web.BaseRequest, name: istr) -> str | None:
    """Return the value of a header that the router reads, or None if it is absent.

    Raises:
        BadRequestError: the header is repeated, or its value is too long or not
            printable.
    """
    value = request.headers.get(name)
    if value is None:
        return None
    if not _is_valid_header_value(value):
        raise BadRequestError(400, "bad-header", f"{name} is too long or not printable")
    if len(request.headers.getall(name)) > 1:
        raise BadRequestError(400, "bad-header", f"{name} is given twice")
    return value


def _is_valid_header_value(value: str) -> bool:
    return len(value) <= MAX_HEADER_VALUE_LENGTH and value.isprintable()


def _deadline_ms(text: str, max_deadline_ms: int) -> int:
    # The length is checked first, because int() raises for very long numbers.
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise BadRequestError(
            400,
            "bad-deadline",
            f"{DEADLINE_HEADER} {text!r} is not a number of milliseconds",
        )
    return min(int(text), max_deadline_ms)


def _forwarded_headers(request: web.BaseRequest) -> CIMultiDict[str]:
    headers = CIMultiDict(request.headers)
    connection = headers.get(CONNECTION_HEADER)
    if connection is not None:
        # Connection lists further headers that apply only to this connection.
        for name in connection.split(","):
            headers.popall(name.strip(), None)
    for dropped in DROPPED_HEADERS:
        headers.popall(dropped, None)
    return headers


async def _read_body(options: Options, request: web.BaseRequest) -> bytes:
    limit = options.limits.body_bytes
    _check_body_size(request.content_length or 0, limit)
    expects_continue = request.headers.get("Expect", "").lower() == "100-continue"
    if expects_continue and request.transport is not None:
        request.transport.write(CONTINUE_RESPONSE)
    timeout_ms = options.limits.body_timeout_ms
    chunks: list[bytes] = []
    try:
        if request.content.is_eof():
            # Most bodies arrive together with their headers; they need no timer.
            body = request.content.read_nowait()
            _check_body_size(len(body), limit)
            return body
        async with asyncio.timeout(timeout_ms / 1000):
            await _read_chunks(request, limit, chunks)
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)
    except TimeoutError:
        raise BadRequestError(
            408, "body-timeout", f"the body took more than {timeout_ms} ms"
        ) from None
    except (aiohttp.ClientError, HttpProcessingError, web.RequestPayloadError) as error:
        raise BadRequestError(400, "bad-body", repr(error)) from None
    finally:
        # The traceback of a request that was cancelled keeps this frame.
        chunks.clear()


async def _read_chunks(
    request: web.BaseRequest, limit: int, chunks: list[bytes]
) -> None:
    """Append the chunks of a body to a list, and count them for its connection."""
    size = 0
    while chunk := await request.content.readany():
        size += len(chunk)
        _check_body_size(size, limit)
        chunks.append(chunk)
        if isinstance(request.protocol, LimitedConnection):
            request.protocol.hold_body(size)


def _check_body_size(size: int, limit: int) -> None:
    if size > limit:
        raise BadRequestError(413, "body-too-long", f"body exceeds {limit} bytes")


def _buffered_response(
    request: CallerRequest, response: RoutedResponse
) -> web.Response:
    if response.error:
        http_response = error_response(
            response.status,
            response.error,
            response.detail,
            request.request_id,
            response.outcome,
        )
        http_response.headers.extend(response.headers)
        return http_response
    headers = response.headers
    if request.method != "HEAD":
        headers.popall(CONTENT_LENGTH_HEADER, None)
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[OUTCOME_HEADER] = response.outcome.value
    return web.Response(status=response.status, headers=headers, body=response.body)


async def _stream_response(
    request: web.BaseRequest,
    caller_request: CallerRequest,
    response: RoutedResponse,
    is_stopping: Callable[[], bool],
) -> web.StreamResponse:
    """Forward a streamed response; abort the caller's connection if it breaks."""
    assert response.stream is not None
    left_ms = caller_request.deadline_ms - monotonic_ms()
    try:
        response.headers[REQUEST_ID_HEADER] = caller_request.request_id
        response.headers[OUTCOME_HEADER] = response.outcome.value
        http_response = web.StreamResponse(
            status=response.status, headers=response.headers
        )
        if CONTENT_LENGTH_HEADER not in response.headers:
            http_response.enable_chunked_encoding()
        if is_stopping():
            http_response.force_close()
        async with asyncio.timeout(left_ms / 1000):
            await http_response.prepare(request)
            if response.body:
                await http_response.write(response.body)
            async for chunk in response.stream.chunks():
                await http_response.write(chunk)
            await http_response.write_eof()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        log_event(
            "answer_cut_off", request_id=caller_request.request_id, error=repr(error)
        )
        if request.transport is not None:
            request.transport.abort()
    finally:
        response.stream.close()
    return http_response

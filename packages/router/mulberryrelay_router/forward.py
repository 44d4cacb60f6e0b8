"""Sends one attempt of a request to one backend server and states its outcome."""

import aiohttp
import msgspec
from multidict import CIMultiDict

from mulberryrelay_kernel.ids import (
    Epoch,
    IdempotencyKey,
    Key,
    RequestClass,
    RequestId,
    ServiceName,
    Term,
    UnitId,
)
from mulberryrelay_kernel.messages import ServerEntry
from mulberryrelay_kernel.states import NotRunReason, Outcome

REQUEST_ID_HEADER = "Mulberry-Request-Id"
KEY_HEADER = "Mulberry-Key"
CLASS_HEADER = "Mulberry-Class"
DEADLINE_HEADER = "Mulberry-Deadline-Ms"
UNIT_HEADER = "Mulberry-Unit"
EPOCH_HEADER = "Mulberry-Epoch"
TERM_HEADER = "Mulberry-Term"
OUTCOME_HEADER = "Mulberry-Outcome"
OWNER_HEADER = "Mulberry-Owner"
NOT_RUN_HEADER = "Mulberry-Not-Run"
IDEMPOTENCY_HEADER = "Idempotency-Key"

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD"})

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    }
)


class CallerRequest(msgspec.Struct, frozen=True):
    """A request of a caller, read completely."""

    request_id: RequestId
    service: ServiceName
    request_class: RequestClass
    method: str
    path: str
    """Path and query after the name of the service."""
    key: Key | None
    idempotency_key: IdempotencyKey | None
    headers: CIMultiDict[str]
    body: bytes
    deadline_ms: float
    """On the clock of this process."""

    @property
    def is_idempotent(self) -> bool:
        return self.method in IDEMPOTENT_METHODS


class Target(msgspec.Struct, frozen=True):
    """Where and under which ownership an attempt is sent."""

    server: ServerEntry
    term: Term
    unit: UnitId | None = None
    epoch: Epoch = Epoch(0)


class Answer(msgspec.Struct, frozen=True):
    """Result of one attempt."""

    outcome: Outcome
    status: int
    headers: CIMultiDict[str]
    body: bytes
    reason: NotRunReason | None = None


async def send_attempt(
    session: aiohttp.ClientSession,
    request: CallerRequest,
    target: Target,
    timeout_ms: float,
) -> Answer:
    """Send a request to a server and return the answer with its outcome.

    The timeout is in milliseconds. Connection failures come back as an answer with
    status 502 or 504, never as an exception.
    """
    server = target.server
    url = f"http://{server.host}:{server.port}{request.path}"
    headers = _attempt_headers(request, target, timeout_ms)
    try:
        async with session.request(
            request.method,
            url,
            headers=headers,
            data=request.body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=timeout_ms / 1000),
        ) as response:
            body = await response.read()
            if response.headers.get(REQUEST_ID_HEADER) != request.request_id:
                response.close()
                return failed_answer(Outcome.UNKNOWN, 502)
            return _answer_of(response, body)
    except aiohttp.ClientConnectorError:
        return failed_answer(Outcome.NOT_RUN, 502)
    except TimeoutError:
        return failed_answer(Outcome.UNKNOWN, 504)
    except (aiohttp.ClientError, OSError):
        return failed_answer(Outcome.UNKNOWN, 502)


def failed_answer(outcome: Outcome, status: int) -> Answer:
    """Return an answer without content from the server."""
    return Answer(outcome, status, CIMultiDict(), b"")


def _attempt_headers(
    request: CallerRequest, target: Target, timeout_ms: float
) -> CIMultiDict[str]:
    headers = CIMultiDict(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[DEADLINE_HEADER] = str(int(timeout_ms))
    headers[TERM_HEADER] = str(target.term)
    if target.unit is not None:
        headers[UNIT_HEADER] = target.unit
        headers[EPOCH_HEADER] = str(target.epoch)
    return headers


def _answer_of(response: aiohttp.ClientResponse, body: bytes) -> Answer:
    headers = CIMultiDict(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    refused = response.headers.get(NOT_RUN_HEADER)
    if response.status == 503 and refused is not None:
        return Answer(
            Outcome.NOT_RUN, response.status, headers, body, NotRunReason(refused)
        )
    return Answer(Outcome.RAN, response.status, headers, body)

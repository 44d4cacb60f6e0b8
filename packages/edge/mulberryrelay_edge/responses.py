"""Responses to callers, and what an attempt says about them."""

from multidict import CIMultiDict

from mulberryrelay_kernel.states import Outcome

from .exchange import AttemptOutcome, AttemptResult
from .messages import EdgeResponse
from .queuedrequest import RETRY_AFTER_S


def may_have_run(result: AttemptResult) -> bool:
    """Return whether a server may have run the request of an attempt."""
    return result.outcome not in (AttemptOutcome.NOT_RUN, AttemptOutcome.NOT_SENT)


def had_free_slot(result: AttemptResult) -> bool:
    """Return whether a server refused a request although it had a free slot."""
    if result.outcome is not AttemptOutcome.NOT_RUN or result.load is None:
        return False
    return result.load.running < result.load.slots


def outcome_of(response: EdgeResponse) -> Outcome:
    """Return the outcome that a response states to its caller."""
    if response.is_from_router:
        return Outcome.NOT_RUN if response.status == 503 else Outcome.UNKNOWN
    return Outcome.RAN


def router_response(status: int, retry_after_s: float = RETRY_AFTER_S) -> EdgeResponse:
    """Return a response made by the router itself.

    Status 503 states that the request did not run.
    """
    headers: CIMultiDict[str] = CIMultiDict()
    if status == 503:
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    return EdgeResponse(status, headers, b"", is_from_router=True)


def server_response(result: AttemptResult) -> EdgeResponse:
    """Return the response that a server gave to an attempt."""
    assert result.headers is not None
    return EdgeResponse(
        result.status, result.headers, result.body, stream=result.stream
    )

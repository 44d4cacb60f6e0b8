"""Interprets the response of an attempt.

Routing uses these functions to decide whether to retry, what admission learns from the
attempt, and which response the caller receives.
"""

import msgspec

from mulberryrelay_kernel.states import (
    NotRunReason,
    Outcome,
)

from .admission import Refusal, RefusalReason
from .attempts import (
    RoutedResponse,
    local_response,
)
from .balancer import Observation

REFUSAL_STATUS = {
    RefusalReason.QUEUE_FULL: 503,
    RefusalReason.RATE_LIMITED: 429,
    RefusalReason.DEADLINE: 504,
}
REFUSAL_ERRORS = frozenset(reason.value for reason in RefusalReason)
OWNERSHIP_REFUSALS = (NotRunReason.NOT_OWNER, NotRunReason.DRAINING)
"""Refusals that end once the range map shows the new owner."""


def is_final(response: RoutedResponse) -> bool:
    """Return whether a retry would have the same result."""
    if response.reason is not None:
        return response.reason is NotRunReason.DEADLINE
    return response.status == 400 or response.error in REFUSAL_ERRORS


def is_exempt_from_attempt_limit(response: RoutedResponse) -> bool:
    """Return whether the attempt counts neither as an attempt nor as a retry.

    Such attempts add almost no load to the servers. For a service with units, an owner
    that refuses or cannot be reached is about to be replaced, and no other server can
    run the request.
    For a service without units, each server that cannot be reached is tried once,
    because a new coordinator may publish several servers that have failed.
    """
    if response.reason in OWNERSHIP_REFUSALS:
        return True
    return not response.is_sent and response.reason is None


def reached_server(response: RoutedResponse) -> bool:
    """Return whether the attempt reached a server, so that a retry adds load."""
    return response.is_sent or response.reason is not None


def with_final_outcome(response: RoutedResponse, may_have_run: bool) -> RoutedResponse:
    """Return the response, with "unknown" for "not run" if an attempt may have run."""
    if not may_have_run or response.outcome is not Outcome.NOT_RUN:
        return response
    return msgspec.structs.replace(response, outcome=Outcome.UNKNOWN)


def not_run_response(status: int, error: str, detail: str) -> RoutedResponse:
    """Return an error response of the router to a request that was not run."""
    return local_response(Outcome.NOT_RUN, status, error, detail)


def refusal_response(refusal: Refusal) -> RoutedResponse:
    """Return the response to a request that was not admitted."""
    return not_run_response(
        REFUSAL_STATUS[refusal.reason], refusal.reason.value, refusal.detail
    )


def blocked_response() -> RoutedResponse:
    """Return the response to a request that has crashed two servers."""
    return not_run_response(422, "blocked", "this request has crashed two servers")


def observation_of(response: RoutedResponse | None) -> Observation:
    """Return the observation for admission; None is a cancelled attempt."""
    if response is None:
        return Observation.FAILED
    if response.reason is NotRunReason.SHED:
        return Observation.SHED
    if response.outcome is Outcome.RAN or response.reason is not None:
        return Observation.RESPONDED
    if response.is_timed_out and response.is_sent:
        return Observation.TIMED_OUT
    if response.is_sent or response.error == "connection-lost":
        return Observation.FAILED
    return Observation.NOT_SENT


def may_still_run(response: RoutedResponse) -> bool:
    """Return whether the request may still run after the caller has its response."""
    return response.stream is not None or (response.is_timed_out and response.is_sent)


def close_stream(response: RoutedResponse) -> None:
    """Close the stream of a response whose caller has disconnected."""
    if response.stream is not None:
        response.stream.close()

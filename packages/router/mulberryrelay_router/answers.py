"""What the answer of an attempt means: whether to go on, and what the caller gets."""

import asyncio

import msgspec

from mulberryrelay_kernel.states import (
    NotRunReason,
    Outcome,
)

from .admission import Refusal, RefusalReason
from .balance import Observation
from .forward import (
    Answer,
    failed_answer,
)

REFUSAL_STATUS = {
    RefusalReason.QUEUE_FULL: 503,
    RefusalReason.RATE_LIMITED: 429,
    RefusalReason.DEADLINE: 504,
}
REFUSAL_ERRORS = frozenset(reason.value for reason in RefusalReason)
OWNERSHIP_REFUSALS = (NotRunReason.NOT_OWNER, NotRunReason.DRAINING)


def is_final(answer: Answer) -> bool:
    """Return whether another attempt could not help."""
    if answer.reason is not None:
        return answer.reason is NotRunReason.DEADLINE
    return answer.status == 400 or answer.error in REFUSAL_ERRORS


def costs_servers_little(answer: Answer) -> bool:
    """Return whether another attempt costs the servers next to nothing.

    An owner that refuses or cannot be reached is about to be replaced, and a key has no
    other server. Without units, each server that cannot be reached is tried once: a new
    coordinator may publish several that were lost. Such attempts are outside the retry
    budget.
    """
    if answer.reason in OWNERSHIP_REFUSALS:
        return True
    return not answer.is_sent and answer.reason is None


def costs_a_retry(answer: Answer) -> bool:
    """Return whether the attempt reached a server, so that another one adds load."""
    return answer.is_sent or answer.reason is not None


def with_uncertainty(answer: Answer, is_uncertain: bool) -> Answer:
    """Return the answer; "not run" only if no earlier attempt may have run."""
    if not is_uncertain or answer.outcome is not Outcome.NOT_RUN:
        return answer
    return msgspec.structs.replace(answer, outcome=Outcome.UNKNOWN)


def not_run(status: int, error: str, detail: str) -> Answer:
    """Return an answer of the router's own to a request that was certainly not run."""
    return failed_answer(Outcome.NOT_RUN, status, error, detail)


def refused(refusal: Refusal) -> Answer:
    """Return the answer to a request that was not admitted."""
    return not_run(REFUSAL_STATUS[refusal.reason], refusal.reason.value, refusal.detail)


def blocked() -> Answer:
    """Return the answer to a request that has crashed two servers."""
    return not_run(422, "blocked", "this request has broken two servers")


def observation(answer: Answer | None) -> Observation:
    """Return what admission learns of an attempt; None if it was cancelled."""
    if answer is None:
        return Observation.FAILED
    if answer.reason is NotRunReason.SHED:
        return Observation.SHED
    if answer.outcome is Outcome.RAN or answer.reason is not None:
        return Observation.ANSWERED
    if answer.is_late and answer.is_sent:
        return Observation.TIMED_OUT
    if answer.is_sent or answer.error == "connection-lost":
        return Observation.FAILED
    return Observation.NOT_SENT


def may_go_on(answer: Answer) -> bool:
    """Return whether the server may still work after the caller has its answer."""
    return answer.stream is not None or (answer.is_late and answer.is_sent)


def close_stream(answered: "asyncio.Future[Answer]") -> None:
    """End the attempt of an answer that nobody waits for any more."""
    if answered.cancelled() or answered.exception() is not None:
        return
    stream = answered.result().stream
    if stream is not None:
        stream.close()

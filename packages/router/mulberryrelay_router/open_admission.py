"""Admission without limits: takes any candidate at once.

Has the interface of ``admission``, which replaces it in ``instance``.
"""

import random
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.messages import ServerEntry
from mulberryrelay_kernel.options import Options

from .forward import CallerRequest


class Observation(Enum):
    """How an attempt at a server ended."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    NOT_SENT = "not-sent"


class Refusal(Enum):
    """Why no slot was given."""

    NO_SERVER = "no-server"


class Slot(msgspec.Struct, frozen=True):
    """Permission to run one attempt at a server."""

    server: ServerEntry


class OpenAdmission:
    """Admits every request and every retry."""

    def __init__(self, options: Options, clock: Clock) -> None:
        pass

    async def acquire(
        self, request: CallerRequest, candidates: Callable[[], Sequence[ServerEntry]]
    ) -> Result[Slot, Refusal]:
        """Return a slot at one of the candidates."""
        servers = candidates()
        if not servers:
            return Failure(Refusal.NO_SERVER)
        if len(servers) == 1:
            return Success(Slot(servers[0]))
        return Success(Slot(random.choice(servers)))

    def release(self, slot: Slot, observation: Observation, latency_ms: float) -> None:
        """Give a slot back."""

    def wake(self) -> None:
        """Take note that candidates may have changed."""

    def may_retry(self, service: ServiceName) -> bool:
        """Return whether the retry budget allows another attempt."""
        return True

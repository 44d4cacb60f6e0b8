"""Runs suspects, one at a time per service, each under a permit of the coordinator.

The request path of a router passes a suspect here together with the function that sends
one attempt. The coordinator learns the result of each run, also if the caller has left.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from enum import Enum
from typing import Any, Generic, Protocol, TypeVar

import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    PROBATION_RESULT_NOT_SENT,
    ProbationResult,
    ServerDeath,
)

from .deaths import WATCH_MS
from .suspects import PERMIT_RETRY_PAUSE_S, SuspectRequest, Suspects

ResponseT = TypeVar("ResponseT")

MAX_RUNS = 3
"""Permitted runs of one request that end without a verdict."""


class DueRequest(SuspectRequest, Protocol):
    """A request that may become a suspect, with its deadline."""

    @property
    def deadline_ms(self) -> float: ...


class ProbationEnd(Enum):
    """Why a suspect was not run."""

    CLEARED = "cleared"
    """It is no suspect any more, and may be sent as any other request."""
    BLOCKED = "blocked"
    NO_PERMIT = "no-permit"
    """The coordinator gave no permit before the request's deadline."""


class ProbationRun(msgspec.Struct, Generic[ResponseT]):
    """What one permitted run brought."""

    response: ResponseT | None = None
    """None if the request could not be sent and may be tried again."""
    result: ProbationResult = PROBATION_RESULT_NOT_SENT
    death: ServerDeath | None = None
    """The server process that was lost."""
    is_final: bool = False
    """Whether the response is passed on, rather than another run tried."""


RunOnce = Callable[[Callable[[ResponseT], None]], Awaitable[ProbationRun[ResponseT]]]
"""Sends one attempt.

The argument passes a response on to the caller before the result of the run is known.
"""


class Probations(Generic[ResponseT]):
    """The runs of suspects by one router."""

    def __init__(self, suspects: Suspects, clock: Clock) -> None:
        self._suspects = suspects
        self._clock = clock
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(
        self,
        request: DueRequest,
        run_once: RunOnce[ResponseT],
        discard: Callable[[ResponseT], None] = lambda response: None,
    ) -> ResponseT | ProbationEnd:
        """Run a suspect once the coordinator permits it; return its last response.

        The run continues if its caller disconnects. ``discard`` then gets the response.
        """
        early_response: asyncio.Future[ResponseT | ProbationEnd]
        early_response = asyncio.get_running_loop().create_future()

        def on_done(task: asyncio.Task[ResponseT | ProbationEnd]) -> None:
            if early_response.done() or task.cancelled():
                return
            error = task.exception()
            if error is None:
                early_response.set_result(task.result())
            else:
                early_response.set_exception(error)

        def on_unclaimed(response: "asyncio.Future[ResponseT | ProbationEnd]") -> None:
            if response.cancelled() or response.exception() is not None:
                return
            result = response.result()
            if not isinstance(result, ProbationEnd):
                discard(result)

        task = self._start(
            self._run_until_final(request, run_once, early_response.set_result)
        )
        task.add_done_callback(on_done)
        try:
            return await asyncio.shield(early_response)
        except asyncio.CancelledError:
            early_response.add_done_callback(on_unclaimed)
            raise

    async def drain(self, timeout_s: float) -> None:
        """Wait until the results of all runs are reported.

        The coordinator blocks a suspect whose result never arrives.
        """
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    def _start(
        self, coroutine: Coroutine[None, None, ResponseT | ProbationEnd | None]
    ) -> asyncio.Task[Any]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_until_final(
        self,
        request: DueRequest,
        run_once: RunOnce[ResponseT],
        respond_early: Callable[[ResponseT], None],
    ) -> ResponseT | ProbationEnd:
        lock = self._suspects.lock(request.service)
        runs = 0
        last_response: ResponseT | ProbationEnd = ProbationEnd.NO_PERMIT
        while (left_ms := request.deadline_ms - self._clock()) > 0:
            suspect = self._suspects.find(request)
            if suspect is None:
                return ProbationEnd.CLEARED
            if suspect.blocked:
                return ProbationEnd.BLOCKED
            if not await _acquire_within(lock, left_ms):
                break
            try:
                if self._suspects.find(request) is not suspect:
                    continue
                run = await self._run_permitted(request, run_once, respond_early)
            finally:
                lock.release()
            if run is not None and run.response is not None:
                runs += 1
                last_response = run.response
                if run.is_final or runs >= MAX_RUNS:
                    return run.response
            await asyncio.sleep(PERMIT_RETRY_PAUSE_S)
        self._start(self._suspects.return_permit(request))
        return last_response

    async def _run_permitted(
        self,
        request: DueRequest,
        run_once: RunOnce[ResponseT],
        respond_early: Callable[[ResponseT], None],
    ) -> ProbationRun[ResponseT] | None:
        """Run the request if the coordinator permits it; return None if it does not."""
        # The run may crash the server after the deadline.
        permit_ms = max(request.deadline_ms - self._clock(), 0) + WATCH_MS
        reply = await self._suspects.request_permit(request, permit_ms)
        if reply is None or not reply.permitted:
            return None
        run: ProbationRun[ResponseT] = ProbationRun()
        try:
            run = await run_once(respond_early)
        finally:
            await self._suspects.record_result(
                request, run.result, run.death, permit_ms
            )
        return run


async def _acquire_within(lock: asyncio.Lock, timeout_ms: float) -> bool:
    """Acquire a lock; return False if the timeout passes first."""
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            return await lock.acquire()
    except TimeoutError:
        return False

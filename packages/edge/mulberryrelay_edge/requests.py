"""The way of one request: it waits for its turn, is sent, and repeated if safe."""

import asyncio
from collections.abc import Callable

from multidict import CIMultiDict

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import RequestClass, ServerId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_kernel.states import Outcome
from mulberryrelay_router.pool import Pool

from .adapter import Adapter
from .catalog import Catalog
from .dispatch import Candidates, Dispatcher
from .exchange import AttemptResult, Exchange, Verdict
from .keyload import KeyLoad
from .messages import BackendServer, EdgeAnswer, EdgeRequest
from .ownership import Ownership
from .retrybudget import RetryBudget

RETRY_AFTER_S = 0.3
RETRY_SOON_S = 0.04
"""After a refusal by a server that had room, so that waiting gains nothing."""
# A request is not sent with less time left than this multiple of the usual latency.
LATENCY_RESERVE = 2.0
# Share of the time until the deadline that a request may wait at least.
WAIT_SHARE = 0.5
# Pause before the owner of a key is asked again; grows with each refusal.
REFUSED_PAUSE_S = 0.05


class RequestPath:
    """Sends requests to servers and returns truthful answers."""

    def __init__(
        self,
        adapter: Adapter,
        catalog: Catalog,
        ownership: Ownership,
        dispatcher: Dispatcher,
        pool: Pool,
        key_load: KeyLoad,
        metrics: Metrics,
        routers: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._adapter = adapter
        self._catalog = catalog
        self._ownership = ownership
        self._dispatcher = dispatcher
        self._pool = pool
        self._key_load = key_load
        self._metrics = metrics
        self._clock = clock
        self._budget = RetryBudget(lambda: adapter.options, routers, clock)

    async def run(self, request: EdgeRequest) -> EdgeAnswer:
        """Return the answer to a request, at its deadline at the latest."""
        answer = await self._run(request)
        self._metrics.record(
            request.service,
            RequestClass(request.route.name),
            _outcome_of(answer),
            self._clock() - request.arrived_ms,
        )
        return answer

    async def _run(self, request: EdgeRequest) -> EdgeAnswer:
        is_keyed = self._is_keyed(request)
        if is_keyed:
            self._key_load.note(request)
        candidates = self._candidates(request, is_keyed)
        self._budget.note_request(request.service)
        tried: set[ServerId] = set()
        ran: set[ServerId] = set()
        refusals = 0
        result: AttemptResult | None = None
        while True:
            usual_ms = self._dispatcher.loads.latency_ms(request.route.name)
            give_up_ms = request.deadline_ms - min(
                LATENCY_RESERVE * usual_ms,
                (1 - WAIT_SHARE) * (request.deadline_ms - request.arrived_ms),
            )
            turn = await self._dispatcher.acquire(
                request, candidates, is_keyed, give_up_ms, frozenset(tried)
            )
            if turn is None:
                return self._given_up(request, result, "no-room", ran)
            server = turn.server
            result = await self._attempt(request, server, turn.number)
            if result.verdict is Verdict.ANSWERED and not (
                result.status >= 500 and request.route.is_idempotent
            ):
                return _passed_on(result)
            if result.status == 400:
                return _passed_on(result)
            tried.add(server.server)
            self._log_attempt(request, server, result)
            if result.verdict not in (Verdict.NOT_RUN, Verdict.NOT_SENT):
                ran.add(server.server)
                if not request.route.is_idempotent:
                    return self._given_up(request, result, "unknown", ran)
                if len(ran) >= max(1, request.route.attempts):
                    return self._given_up(request, result, "attempts", ran)
            if result.verdict is Verdict.LATE or self._clock() >= request.deadline_ms:
                return self._given_up(request, result, "deadline", ran)
            refusals += 1
            reached = result.verdict is not Verdict.NOT_SENT
            if reached and not self._budget.take(request.service):
                return self._given_up(request, result, "retry-budget", ran)
            if is_keyed:
                tried.clear()
                await asyncio.sleep(REFUSED_PAUSE_S * refusals)
            elif len(tried) >= len(candidates()):
                tried.clear()
                await asyncio.sleep(REFUSED_PAUSE_S)

    def _is_keyed(self, request: EdgeRequest) -> bool:
        routes = self._catalog.routes
        service = routes.services.get(request.service) if routes else None
        return service is not None and service.is_keyed and request.key is not None

    def _candidates(self, request: EdgeRequest, is_keyed: bool) -> Candidates:
        if not is_keyed:
            return lambda: self._catalog.serving(request.service)
        key = request.key
        assert key is not None

        def owner() -> list[BackendServer]:
            part = self._ownership.find(request.service, key)
            if part is None or part.is_moving:
                return []
            server = self._catalog.server(part.owner)
            if server is None or not part.is_held_by(server):
                return []
            if self._catalog.has_drained(server):
                return []
            return [server]

        return owner

    async def _attempt(
        self, request: EdgeRequest, server: BackendServer, number: int
    ) -> AttemptResult:
        work = self._exchange(request, server, number)
        if request.route.is_idempotent:
            return await work
        # A charge that has begun goes on if the caller leaves.
        return await asyncio.shield(asyncio.ensure_future(work))

    async def _exchange(
        self, request: EdgeRequest, server: BackendServer, number: int
    ) -> AttemptResult:
        loads = self._dispatcher.loads
        result: AttemptResult | None = None
        try:
            exchange = Exchange(request, server, self._adapter, self._clock)
            result = await exchange.run(self._pool)
        finally:
            load = result.load if result is not None else None
            latency_ms = loads.end(server, number, load)
        if result.verdict is Verdict.ANSWERED:
            is_failure = result.status >= 500
            has_waited = result.load is not None and result.load.waiting > 0
            if not is_failure and not has_waited:
                self._key_load.note_latency(request.service, latency_ms)
            loads.note_answer(
                server, request.route.name, latency_ms, result.load, is_failure
            )
        elif result.verdict is Verdict.NOT_RUN:
            if result.other_server:
                self._catalog.note_replaced(server, result.other_server)
            elif result.status != 421 and not _had_room(result):
                loads.note_refusal(server)
        else:
            loads.note_failure(server, result.detail)
        return result

    def _given_up(
        self,
        request: EdgeRequest,
        result: AttemptResult | None,
        reason: str,
        ran: set[ServerId],
    ) -> EdgeAnswer:
        if result is not None and result.verdict is Verdict.ANSWERED:
            return _passed_on(result)
        waited_ms = self._clock() - request.arrived_ms
        if not ran:
            status = 503
        elif result is not None and result.verdict is Verdict.LATE:
            status = 504
        else:
            status = 502
        log_event(
            "request_given_up",
            request_id=request.request_id,
            route=request.route.name,
            service=request.service,
            key=request.key,
            reason=reason,
            status=status,
            waited_ms=round(waited_ms, 1),
            queued=self._dispatcher.waiting,
            routes_version=self._catalog.version,
            ranges_version=self._ownership.version(request.service),
            store_silent_ms=round(self._catalog.store_silent_ms),
        )
        self._metrics.count(f"given_up_{reason}")
        if result is not None and _had_room(result):
            return own_answer(status, RETRY_SOON_S)
        return own_answer(status)

    def _log_attempt(
        self, request: EdgeRequest, server: BackendServer, result: AttemptResult
    ) -> None:
        log_event(
            "attempt_failed",
            request_id=request.request_id,
            server=server.server,
            verdict=result.verdict.value,
            status=result.status,
            detail=result.detail,
            state=self._dispatcher.loads.describe(server),
            born_ms=server.born_ms,
        )
        self._metrics.count(f"attempt_{result.verdict.value}")


def _had_room(result: AttemptResult) -> bool:
    """Return whether a server turned a request away although it had a free slot."""
    if result.verdict is not Verdict.NOT_RUN or result.load is None:
        return False
    return result.load.running < result.load.slots


def _outcome_of(answer: EdgeAnswer) -> Outcome:
    if answer.is_own:
        return Outcome.NOT_RUN if answer.status == 503 else Outcome.UNKNOWN
    return Outcome.RAN


def own_answer(status: int, retry_after_s: float = RETRY_AFTER_S) -> EdgeAnswer:
    """Return an answer of the router's own; with 503 the request did not run."""
    headers: CIMultiDict[str] = CIMultiDict()
    if status == 503:
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    return EdgeAnswer(status, headers, b"", is_own=True)


def _passed_on(result: AttemptResult) -> EdgeAnswer:
    assert result.headers is not None
    return EdgeAnswer(result.status, result.headers, result.body)

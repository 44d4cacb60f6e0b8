"""Forwards one request: queues it, sends it to a server and retries it where safe.

The dispatcher decides when and to which server a request is sent, an ``AttemptSender``
sends one attempt, and ``RequestForwarder`` turns the results of the attempts into the
response to the caller.
"""

import asyncio
import functools
from collections.abc import Callable, Collection

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre, RequestClass, ServerId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_router.pool import Pool
from mulberryrelay_router.probation import ProbationEnd
from mulberryrelay_router.serverconnection import ResponseBuffer
from mulberryrelay_router.suspects import Suspects

from .adapter import Adapter
from .attemptsender import AttemptSender, is_final
from .catalog import Catalog
from .datacentrerelay import DataCentreRelay
from .dispatch import Dispatcher
from .exchange import AttemptOutcome, AttemptResult
from .keyload import KeyLoad
from .messages import EdgeRequest, EdgeResponse
from .ownership import Ownership
from .queuedrequest import (
    RETRY_AFTER_S,
    Candidates,
    QueueRefusal,
    RefusalReason,
    SendPermit,
)
from .rangeedits import NO_SERVER
from .regions import RegionRules
from .relay import Relay, RelayFailure
from .requestcandidates import RequestCandidates
from .requestrelay import RequestRelay
from .responses import (
    had_free_slot,
    may_have_run,
    outcome_of,
    router_response,
    server_response,
)
from .retrybudget import RequestRetries, RetryBudget
from .serverreach import ServerReach
from .suspectruns import SuspectRuns

RETRY_AFTER_FREE_SLOT_S = 0.04
"""Value of ``Retry-After`` if the server that refused had a free slot.

Waiting longer would gain nothing.
"""
LATENCY_RESERVE = 2.0
"""Multiple of the route's usual latency that must be left when a request is sent."""
MIN_QUEUE_SHARE = 0.5
"""Minimum share of a request's total time for which it may wait in the queue."""
SUSPECT_RETRY_AFTER_S = 30.0
"""Time after which a request may come again that is not run for crashing servers."""
MAX_ATTEMPTS = 8
"""Attempts of one request that were written to a server, refused ones included."""
RETRY_BACKOFF_S = 0.05
"""Pause before a retry at the owner of a key, multiplied by the number of retries.

A request without a key pauses for this time whenever all servers were tried.
"""
REGION_RETRY_AFTER_S = 5.0
"""``Retry-After`` of a request that no server may get before operators or moves act."""
REGION_REFUSAL = QueueRefusal(RefusalReason.REGION, REGION_RETRY_AFTER_S)


class RequestForwarder:
    """Sends requests to servers and returns their responses.

    Never reports that a request did not run if it may have run.
    """

    def __init__(
        self,
        adapter: Adapter,
        catalog: Catalog,
        ownership: Ownership,
        dispatcher: Dispatcher,
        pool: Pool,
        responses: ResponseBuffer,
        key_load: KeyLoad,
        metrics: Metrics,
        routers: Callable[[], int | None],
        suspects: Suspects,
        reach: ServerReach,
        relay: Relay,
        data_centres: DataCentreRelay,
        clock: Clock,
    ) -> None:
        self._adapter = adapter
        self._catalog = catalog
        self._ownership = ownership
        self._dispatcher = dispatcher
        self._key_load = key_load
        self._metrics = metrics
        self._clock = clock
        self._regions = RegionRules(lambda: adapter.options, lambda: catalog.routes)
        self._candidates = RequestCandidates(
            catalog, ownership, data_centres.reach, self._regions
        )
        self._suspect_runs = SuspectRuns(suspects, catalog, metrics, clock)
        self._sender = AttemptSender(
            adapter,
            catalog,
            dispatcher,
            pool,
            responses,
            key_load,
            metrics,
            self._suspect_runs,
            reach,
            data_centres.reach,
            self._regions,
            clock,
        )
        self._budget = RetryBudget(lambda: adapter.options, routers, clock)
        self._relays = RequestRelay(
            reach, relay, data_centres, self._budget, self._regions, metrics
        )

    @property
    def response_buffer(self) -> ResponseBuffer:
        """The bytes of the responses that are being received or sent."""
        return self._sender.response_buffer

    @property
    def regions(self) -> RegionRules:
        """Which regions may get a request."""
        return self._regions

    @property
    def metrics(self) -> Metrics:
        """Counts of the requests and of the decisions on them."""
        return self._metrics

    async def drain_probations(self, timeout_s: float) -> None:
        """Wait until the results of all runs of suspects are reported."""
        await self._suspect_runs.drain(timeout_s)

    async def forward(self, request: EdgeRequest) -> EdgeResponse:
        """Return the response to a request, at its deadline at the latest."""
        response = await self._forward(request)
        self._metrics.record(
            request.service,
            RequestClass(request.route.name),
            outcome_of(response),
            self._clock() - request.arrived_ms,
        )
        return response

    async def _forward(self, request: EdgeRequest) -> EdgeResponse:
        if self.is_outside_regions(request):
            return self._refuse(request, None, REGION_REFUSAL, set())
        if self._relays.is_cut_off(request):
            return await self._relay_request(request, set())
        candidates, is_keyed = self.candidates(request)
        if target := self._relays.target(request, candidates):
            return await self._relay_request(request, set(), target)
        if is_keyed:
            self._key_load.record_request(request)
        else:
            self._dispatcher.shares.demand.record(request.service)
        self._budget.record_request(request.service)
        with self._budget.open(request.service) as budget:
            return await self._forward_here(request, candidates, is_keyed, budget)

    async def _forward_here(
        self,
        request: EdgeRequest,
        candidates: Candidates,
        is_keyed: bool,
        budget: RequestRetries,
    ) -> EdgeResponse:
        """Send a request to servers, or to other routers once these reach none."""
        tried: set[ServerId] = set()
        possibly_ran: set[ServerId] = set()
        sent = 0
        failures = 0
        retries = 0
        result: AttemptResult | None = None
        while True:
            if self._suspect_runs.is_suspect(request):
                response = await self._forward_suspect(
                    request, candidates, is_keyed, possibly_ran
                )
                if response is not None:
                    return response
            if self.is_outside_regions(request):
                return self._refuse(request, result, REGION_REFUSAL, possibly_ran)
            if self._relays.is_cut_off(request):
                return await self._relay_request(request, possibly_ran)
            if target := self._relays.target(request, candidates):
                return await self._relay_request(request, possibly_ran, target)
            permit = await self._acquire(request, candidates, is_keyed, tried)
            if isinstance(permit, QueueRefusal):
                if await self._relays.must_relay(request, candidates):
                    continue
                return self._refuse(request, result, permit, possibly_ran)
            server = permit.server
            budget.record_dispatched()
            is_last = failures + 1 >= request.route.attempts or sent + 1 >= MAX_ATTEMPTS
            gives_up = functools.partial(
                self._gives_up, request, tried | {server.server}, candidates, budget
            )
            can_give_up = request.route.is_idempotent and not is_keyed and not is_last
            result = await self._sender.send(
                request, server, permit.send_id, gives_up if can_give_up else None
            )
            if is_final(request, result):
                return server_response(result)
            tried.add(server.server)
            if may_have_run(result):
                possibly_ran.add(server.server)
                failures += 1
                if not request.route.is_idempotent:
                    return self._give_up(request, result, "unknown", possibly_ran)
                # The same server may fail each attempt at a key that it owns.
                if failures >= max(1, request.route.attempts):
                    return self._give_up(request, result, "attempts", possibly_ran)
            if (
                result.outcome is AttemptOutcome.TIMED_OUT
                or self._clock() >= request.deadline_ms
            ):
                return self._give_up(request, result, "deadline", possibly_ran)
            retries += 1
            if result.outcome is not AttemptOutcome.NOT_SENT:
                sent += 1
                if sent >= MAX_ATTEMPTS:
                    return self._give_up(request, result, "attempts", possibly_ran)
                # The budget was asked before an overdue attempt was given up.
                is_allowed = result.outcome is AttemptOutcome.OVERDUE
                if not is_allowed and not budget.try_consume():
                    return self._give_up(request, result, "retry-budget", possibly_ran)
            if is_keyed:
                # Only the owner can run the request, so retry there after a pause.
                tried.clear()
                left_s = (request.deadline_ms - self._clock()) / 1000
                await asyncio.sleep(min(RETRY_BACKOFF_S * retries, left_s))
            elif len(tried) >= len(candidates()):
                tried.clear()
                await asyncio.sleep(RETRY_BACKOFF_S)

    def _gives_up(
        self,
        request: EdgeRequest,
        tried: Collection[ServerId],
        candidates: Candidates,
        budget: RequestRetries,
    ) -> bool:
        """Return whether an overdue attempt ends now, because it can be retried.

        A retry needs time, a server that is not full, and the budget, which is used up
        by it.
        """
        usual_ms = self._dispatcher.loads.latency_ms(request.route.name)
        left_ms = request.deadline_ms - self._clock()
        if left_ms < (LATENCY_RESERVE + 1) * usual_ms:
            return False
        if not self._dispatcher.has_room_beside(tried, candidates()):
            return False
        return budget.try_consume_early()

    async def _relay_request(
        self,
        request: EdgeRequest,
        possibly_ran: set[ServerId],
        target: DataCentre | None = None,
    ) -> EdgeResponse:
        """Pass a request on to another router, as this one reaches no server for it.

        ``target`` is the unreached data centre of its servers, None if all are.
        """
        response = await self._relays.send(request, target)
        if isinstance(response, EdgeResponse):
            if response.is_from_router and response.status == 503 and possibly_ran:
                return router_response(502)
            return response
        if response is RelayFailure.UNKNOWN:
            possibly_ran = possibly_ran | {NO_SERVER}
        return self._give_up(request, None, RefusalReason.CUT_OFF.value, possibly_ran)

    async def _acquire(
        self,
        request: EdgeRequest,
        candidates: Candidates,
        is_keyed: bool,
        tried: Collection[ServerId],
    ) -> SendPermit | QueueRefusal:
        """Wait for a server that may be sent the request; avoid those in ``tried``."""
        usual_ms = self._dispatcher.loads.latency_ms(request.route.name)
        queue_deadline_ms = request.deadline_ms - min(
            LATENCY_RESERVE * usual_ms,
            (1 - MIN_QUEUE_SHARE) * (request.deadline_ms - request.arrived_ms),
        )
        return await self._dispatcher.acquire(
            request, candidates, is_keyed, queue_deadline_ms, frozenset(tried)
        )

    async def _forward_suspect(
        self,
        request: EdgeRequest,
        candidates: Candidates,
        is_keyed: bool,
        possibly_ran: set[ServerId],
    ) -> EdgeResponse | None:
        """Run a suspect under probation; return None if it is no suspect any more."""
        possibly_ran = set(possibly_ran)

        async def send(request: EdgeRequest, permit: SendPermit) -> AttemptResult:
            result = await self._sender.send_once(
                request, permit.server, permit.send_id, is_probation=True
            )
            if result.outcome is not AttemptOutcome.COMPLETED:
                self._sender.log_failure(request, permit.server, result)
            if may_have_run(result):
                possibly_ran.add(permit.server.server)
            return result

        result = await self._suspect_runs.run(
            request,
            lambda tried: self._acquire(request, candidates, is_keyed, tried),
            send,
        )
        if result is ProbationEnd.CLEARED:
            return None
        if isinstance(result, ProbationEnd):
            return self._give_up(
                request, None, result.value, possibly_ran, SUSPECT_RETRY_AFTER_S
            )
        if isinstance(result, QueueRefusal):
            return self._refuse(request, None, result, possibly_ran)
        return self._give_up(request, result, "probation", possibly_ran)

    def _refuse(
        self,
        request: EdgeRequest,
        result: AttemptResult | None,
        refusal: QueueRefusal,
        possibly_ran: set[ServerId],
    ) -> EdgeResponse:
        """Return the response to a request that got no permit to be sent."""
        return self._give_up(
            request, result, refusal.reason.value, possibly_ran, refusal.retry_after_s
        )

    def candidates(self, request: EdgeRequest) -> tuple[Candidates, bool]:
        """Return the servers that may run a request, and whether its key matters."""
        return self._candidates.find(request)

    def is_outside_regions(self, request: EdgeRequest) -> bool:
        """Return whether no server that could run a request may get it."""
        return self._candidates.are_outside_regions(request)

    def _give_up(
        self,
        request: EdgeRequest,
        result: AttemptResult | None,
        reason: str,
        possibly_ran: set[ServerId],
        retry_after_s: float = RETRY_AFTER_S,
    ) -> EdgeResponse:
        """Return the response to a request that is not retried any more.

        503 means that it did not run on any server; 502 and 504 that it may have run.
        """
        if result is not None and result.outcome is AttemptOutcome.COMPLETED:
            return server_response(result)
        elapsed_ms = self._clock() - request.arrived_ms
        if not possibly_ran:
            status = 503
        elif result is not None and result.outcome is AttemptOutcome.TIMED_OUT:
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
            waited_ms=round(elapsed_ms, 1),
            queued=self._dispatcher.queue_length,
            routes_version=self._catalog.version,
            ranges_version=self._ownership.version(request.service),
            store_silent_ms=round(self._catalog.store_unreachable_ms),
            view_age_ms=self._catalog.view_age_ms,
        )
        self._metrics.count(f"given_up_{reason}")
        if result is not None and had_free_slot(result):
            return router_response(status, RETRY_AFTER_FREE_SLOT_S)
        return router_response(status, retry_after_s)

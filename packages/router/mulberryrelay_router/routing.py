"""Routes the requests of callers to backend servers.

For each request the router finds the owner of its key in the local view (or any server
of a service without units), acquires a slot from admission, sends an attempt and
decides from the response whether to retry. Requests suspected of crashing servers run
under probation, one at a time per service.
"""

from collections import Counter
from collections.abc import Callable, Collection
from math import inf

import msgspec
from returns.pipeline import is_successful

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId, ServiceName
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import ServerEntry, Unit
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    PROBATION_RESULT_ANSWERED,
    PROBATION_RESULT_NOT_SENT,
    PROBATION_RESULT_SERVER_DIED,
    ProbationResult,
)
from mulberryrelay_kernel.states import (
    Outcome,
    ServerState,
    UnitState,
)

from .admission import Admission, Slot
from .attempts import (
    OWNER_HEADER,
    SERVER_STATE_HEADER,
    Attempt,
    CallerRequest,
    ResponseStream,
    RoutedResponse,
    Target,
    local_response,
    send_attempt,
)
from .balancer import Observation
from .claims import Claims
from .deaths import WATCH_MS, DeathWatch, has_died, server_death
from .inflight import InFlight
from .loadcounters import LoadCounters
from .pool import Pools
from .probation import ProbationEnd, ProbationRun, Probations
from .responses import (
    blocked_response,
    close_stream,
    is_exempt_from_attempt_limit,
    is_final,
    may_still_run,
    not_run_response,
    observation_of,
    reached_server,
    refusal_response,
    with_final_outcome,
)
from .routingview import RoutingView
from .suspects import Suspects

# Attempts per request, without those that add almost no load.
MAX_ATTEMPTS = 3
# Backoff before a request is sent again to an owner that refused it, while the view
# does not change: the owner's grant may arrive shortly after the view.
FIRST_RETRY_PAUSE_MS = 5.0
MAX_RETRY_PAUSE_MS = 160.0

# Time for which requests wait after a routing lease has ended. A router that has been
# without one for longer refuses them at once.
LEASE_GAP_MS = 200.0

# A server that reports that it is draining gets no new requests from this router for
# this long. By then the coordinator has published the state to all routers.
DRAINING_EXCLUSION_MS = 2000.0

# States in which a server gets new requests.
SERVING_STATES = (ServerState.SERVING, ServerState.COLD)


class Router:
    """Routes the requests of callers and records their outcomes and latencies."""

    def __init__(
        self,
        options: Options,
        view: RoutingView,
        pools: Pools,
        metrics: Metrics,
        clock: Clock,
        in_flight: InFlight,
        admission: Admission,
        suspects: Suspects,
        claims: Claims,
        load: LoadCounters,
    ) -> None:
        self._options = options
        self._view = view
        self._pools = pools
        self._metrics = metrics
        self._clock = clock
        self._in_flight = in_flight
        self._admission = admission
        self._suspects = suspects
        self._claims = claims
        self._load = load
        self._view_waiters: Counter[ServiceName] = Counter()
        self._draining_until_ms: dict[ServerId, float] = {}
        self._probations: Probations[RoutedResponse] = Probations(suspects, clock)
        self._death_watch = DeathWatch(clock, view.server, suspects.report)

    async def drain_probations(self, timeout_s: float) -> None:
        """Wait until the results of all runs under probation are reported."""
        await self._probations.drain(timeout_s)

    async def close(self) -> None:
        """Stop watching servers for crashes caused by abandoned requests."""
        await self._death_watch.close()

    def remove_servers(self, servers: Collection[ServerId]) -> None:
        """Forget servers that left."""
        for server in servers:
            self._draining_until_ms.pop(server, None)
        self._admission.remove_servers(servers)

    async def route(self, request: CallerRequest) -> RoutedResponse:
        """Return the response to a request; failures are returned as responses too."""
        started_ms = self._clock()
        if request.key is not None:
            self._load.count(request.service, request.key)
        if request.idempotency_key is None or request.is_idempotent:
            response = await self._forward(request)
        elif not self._view.has_lease():
            # A claim would load the store, but the request could not be sent. Without
            # the claim, the outcome of an earlier request with this key is unknown.
            response = local_response(
                Outcome.UNKNOWN,
                503,
                "not-ready",
                "no routing lease; a request with this idempotency key may have run",
            )
        else:
            response = await self._claims.run(
                request, request.idempotency_key, self._forward
            )
        self._metrics.record(
            request.service,
            request.request_class,
            response.outcome,
            self._clock() - started_ms,
        )
        return response

    async def _forward(self, request: CallerRequest) -> RoutedResponse:
        """Send attempts until a response is final or the attempts are used up."""
        excluded: set[ServerId] = set()
        attempts = 0
        pause_ms = FIRST_RETRY_PAUSE_MS
        # Once an attempt may have run, the outcome can no longer be "not run".
        may_have_run = False
        last_response: RoutedResponse | None = None
        while True:
            if self._suspects.find(request) is not None:
                response = await self._forward_suspect(request)
                return with_final_outcome(response, may_have_run)
            target = await self._wait_for_target(request, excluded, last_response)
            if isinstance(target, RoutedResponse):
                return with_final_outcome(target, may_have_run)
            last_response = response = await self._attempt(request, target, excluded)
            if response.outcome is Outcome.RAN:
                if response.stream is None:
                    self._suspects.record_response(request)
                return response
            if response.outcome is Outcome.UNKNOWN:
                may_have_run = True
                if not request.is_idempotent:
                    return response
            if response.error == "view-changed":
                continue
            if is_final(response):
                return with_final_outcome(response, may_have_run)
            if not is_exempt_from_attempt_limit(response):
                attempts += 1
                if attempts >= MAX_ATTEMPTS:
                    return with_final_outcome(response, may_have_run)
                if reached_server(response) and not self._admission.try_consume_retry(
                    request.service
                ):
                    return with_final_outcome(response, may_have_run)
            if target.unit is None:
                excluded.add(ServerId(response.headers[OWNER_HEADER]))
                continue
            if not await self._wait_for_view(request, pause_ms):
                return with_final_outcome(response, may_have_run)
            pause_ms = min(pause_ms * 2, MAX_RETRY_PAUSE_MS)

    async def _wait_for_target(
        self,
        request: CallerRequest,
        excluded: set[ServerId],
        last_response: RoutedResponse | None,
    ) -> Target | RoutedResponse:
        """Return the target of the next attempt, waiting while there is none.

        ``excluded`` has the servers that are not tried again for this request.
        """
        while True:
            if request.deadline_ms <= self._clock():
                return last_response or not_run_response(
                    504, "deadline", "no server was available before the deadline"
                )
            if not self._view.has_lease():
                # During a takeover, the lease may end shortly before the view of the
                # new term arrives.
                gap_left_ms = LEASE_GAP_MS + self._view.lease_left_ms
                if gap_left_ms > 0 and await self._wait_for_view(request, gap_left_ms):
                    continue
                return last_response or not_run_response(
                    503, "not-ready", "this router has no routing lease"
                )
            target = self._find_target(request, excluded)
            if target is not None:
                return target
            if last_response is not None and excluded:
                return last_response
            if not await self._wait_for_view(request):
                return not_run_response(
                    503, "queue-full", "too many requests are waiting for a server"
                )

    async def _wait_for_view(
        self, request: CallerRequest, pause_ms: float = inf
    ) -> bool:
        """Wait for a change of the view; return False if too many requests wait."""
        if self._view_waiters[request.service] >= self._options.limits.queue_length:
            return False
        self._view_waiters[request.service] += 1
        try:
            left_ms = request.deadline_ms - self._clock()
            await self._view.wait_for_change(min(pause_ms, max(left_ms, 0)))
        finally:
            self._view_waiters[request.service] -= 1
        return True

    def _find_target(
        self, request: CallerRequest, excluded: set[ServerId]
    ) -> Target | None:
        """Return where the request may be sent under the current view, or None.

        For a service without units the server is a placeholder: admission chooses
        among all candidates.
        """
        if not self._options.services[request.service].partitioned:
            servers = self._candidates(request, excluded)
            return Target(servers[0], self._view.term) if servers else None
        unit = self._find_unit(request)
        if unit is None or unit.state is UnitState.MOVING or unit.owner is None:
            return None
        server = self._view.server(unit.owner)
        if server is None:
            return None
        return Target(server, self._view.term, unit.unit, unit.epoch)

    def _find_unit(self, request: CallerRequest) -> Unit | None:
        if request.key is None:
            return None
        return self._view.find_unit(request.service, request.key)

    def _candidates(
        self, request: CallerRequest, excluded: set[ServerId]
    ) -> list[ServerEntry]:
        return [
            server
            for server in self._view.servers_of(request.service)
            if server.state in SERVING_STATES
            and server.server not in excluded
            and not self._is_draining(server.server)
        ]

    def _is_draining(self, server: ServerId) -> bool:
        until_ms = self._draining_until_ms.get(server)
        if until_ms is None:
            return False
        if self._clock() < until_ms:
            return True
        del self._draining_until_ms[server]
        return False

    async def _attempt(
        self,
        request: CallerRequest,
        target: Target,
        excluded: set[ServerId],
        is_probation: bool = False,
    ) -> RoutedResponse:
        """Acquire a slot from admission and send one attempt."""

        def candidates() -> list[ServerEntry]:
            if target.unit is None:
                return self._candidates(request, excluded)
            # The key may move while the request is queued.
            owner = self._find_target(request, excluded)
            return [owner.server] if owner is not None else []

        acquired = await self._admission.acquire(request, candidates)
        if not is_successful(acquired):
            return refusal_response(acquired.failure())
        slot = acquired.unwrap()
        if target.unit is not None:
            owner = self._find_target(request, excluded)
            if owner is None or owner.server.server != slot.server.server:
                # The key moved after admission had granted the slot.
                self._admission.release(slot, Observation.NOT_SENT, 0.0)
                return not_run_response(
                    503, "view-changed", "the unit has moved to another server"
                )
            target = owner
        started_ms = self._clock()

        def release(observation: Observation) -> None:
            self._admission.release(slot, observation, self._clock() - started_ms)

        response = None
        try:
            response = await self._send(request, target, slot, is_probation)
        finally:
            if response is None or response.stream is None:
                release(observation_of(response))
        if response.stream is not None:
            self._watch_stream(request, slot, response.stream, release, is_probation)
        if response.is_broken and not is_probation:
            await self._report_broken_connection(request, slot.server)
        if response.headers.get(SERVER_STATE_HEADER) == ServerState.DRAINING.value:
            until_ms = self._clock() + DRAINING_EXCLUSION_MS
            self._draining_until_ms[slot.server.server] = until_ms
        response.headers[OWNER_HEADER] = slot.server.server
        return response

    async def _send(
        self, request: CallerRequest, target: Target, slot: Slot, is_probation: bool
    ) -> RoutedResponse:
        """Send one attempt; if it is abandoned, watch its server for a crash."""
        if target.unit is None:
            target = msgspec.structs.replace(target, server=slot.server)
        # In a service without units a late run cannot overlap that of a new owner.
        is_fenced = (
            target.unit is None or self._options.services[request.service].checks_grants
        )
        deadline_ms = request.deadline_ms
        if not is_fenced:
            # The server does not check grants, so only the deadline stops a late run.
            until_ms = self._clock() + self._view.lease_left_ms
            deadline_ms = min(deadline_ms, until_ms)

        def before_send() -> bool:
            if not self._view.has_lease() or not self._is_target_valid(request, target):
                return False
            self._in_flight.start(request.service, target.unit, request.key)
            return True

        attempt = Attempt(
            request,
            target,
            deadline_ms,
            self._clock,
            before_send,
            lambda: self._in_flight.end(request.service, target.unit, request.key),
        )
        response = None
        try:
            response = await send_attempt(
                self._pools.single_use if is_probation else self._pools.persistent,
                attempt,
                request,
                target,
                is_fenced,
                self._options.limits.buffered_answer_bytes,
            )
        finally:
            is_abandoned = response is None or response.is_timed_out
            if is_abandoned and attempt.is_sent and not is_probation:
                self._death_watch.watch(
                    self._suspects.build_suspect(request), target.server
                )
        if not response.is_sent and not self._is_target_valid(request, target):
            return not_run_response(
                503, "view-changed", "the owner changed before the request was sent"
            )
        return response

    def _watch_stream(
        self,
        request: CallerRequest,
        slot: Slot,
        stream: ResponseStream,
        release: Callable[[Observation], None],
        is_probation: bool,
    ) -> None:
        """Hold the slot until a streamed response ends; report a broken connection."""

        def on_close() -> None:
            release(Observation.FAILED if stream.is_broken else Observation.RESPONDED)
            if is_probation:
                return
            if stream.is_complete:
                self._suspects.record_response(request)
            elif not stream.is_broken:
                self._death_watch.watch(
                    self._suspects.build_suspect(request), slot.server
                )

        async def on_break() -> None:
            if not is_probation:
                await self._report_broken_connection(request, slot.server)

        stream.add_callbacks(on_close, on_break)

    async def _report_broken_connection(
        self, request: CallerRequest, server: ServerEntry
    ) -> None:
        """Report a request as a suspect after the connection to its server broke.

        Only a crash counts towards a block, because a server may close a connection
        for other reasons.
        """
        is_dead = await has_died(server)
        log_event(
            "server_connection_broken",
            request_id=request.request_id,
            server=server.server,
            is_dead=is_dead,
        )
        deaths = [server_death(server)] if is_dead else []
        await self._suspects.report([self._suspects.build_suspect(request, deaths)])

    def _is_target_valid(self, request: CallerRequest, target: Target) -> bool:
        """Return whether the target is still valid under the current view."""
        if target.unit is None:
            entry = self._view.server(target.server.server)
            return entry is not None and entry.state in SERVING_STATES
        unit = self._find_unit(request)
        return (
            unit is not None
            and unit.unit == target.unit
            and unit.epoch == target.epoch
            and unit.owner == target.server.server
            and unit.state is UnitState.ACTIVE
        )

    async def _forward_suspect(self, request: CallerRequest) -> RoutedResponse:
        """Run a suspect under probation."""
        excluded: set[ServerId] = set()

        async def run_once(
            respond_early: Callable[[RoutedResponse], None],
        ) -> ProbationRun[RoutedResponse]:
            return await self._run_permitted(request, excluded, respond_early)

        response = await self._probations.run(request, run_once, close_stream)
        if response is ProbationEnd.CLEARED:
            return await self._forward(request)
        if response is ProbationEnd.BLOCKED:
            return blocked_response()
        if isinstance(response, ProbationEnd):
            return not_run_response(
                503,
                "quarantined",
                "the request may have crashed a server; no permit to run it in time",
            )
        return response

    async def _run_permitted(
        self,
        request: CallerRequest,
        excluded: set[ServerId],
        respond_early: Callable[[RoutedResponse], None],
    ) -> ProbationRun[RoutedResponse]:
        """Send a suspect once, under a permit; return what came of it."""
        target = self._find_target(request, excluded)
        if target is None or not self._view.has_lease():
            return ProbationRun()
        response = await self._attempt(request, target, excluded, True)
        owner = ServerId(response.headers.get(OWNER_HEADER, ""))
        excluded.add(owner)
        server = self._view.server(owner)
        if may_still_run(response):
            respond_early(response)
        result = await self._probation_result(response, server)
        death = None
        if result == PROBATION_RESULT_SERVER_DIED and server is not None:
            death = server_death(server)
        is_last = response.outcome is not Outcome.NOT_RUN or is_final(response)
        return ProbationRun(response, result, death, is_last)

    async def _probation_result(
        self, response: RoutedResponse, server: ServerEntry | None
    ) -> ProbationResult:
        """Wait until the result of a run is certain and return it."""
        is_broken = response.is_broken
        is_abandoned = response.is_timed_out and response.is_sent
        if response.stream is not None:
            await response.stream.wait_closed()
            is_broken = response.stream.is_broken
            is_abandoned = not is_broken and not response.stream.is_complete
        if is_abandoned and server is not None:
            is_broken = await self._death_watch.dies_within(server, WATCH_MS)
        if is_broken:
            return PROBATION_RESULT_SERVER_DIED
        if response.outcome is Outcome.RAN and not is_abandoned:
            return PROBATION_RESULT_ANSWERED
        return PROBATION_RESULT_NOT_SENT

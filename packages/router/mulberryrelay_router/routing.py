"""Routes a request: finds its server, sends attempts and records the outcome."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from math import inf
from typing import Any

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
    Suspect,
)
from mulberryrelay_kernel.states import (
    Outcome,
    ServerState,
    UnitState,
)

from .admission import Admission, Slot
from .answers import (
    blocked,
    close_stream,
    costs_a_retry,
    costs_servers_little,
    is_final,
    may_go_on,
    not_run,
    observation,
    refused,
    with_uncertainty,
)
from .balance import Observation
from .claims import Claims
from .deaths import WATCH_MS, DeathWatch, death_of, has_died
from .forward import (
    OWNER_HEADER,
    SERVER_STATE_HEADER,
    Answer,
    AnswerStream,
    Attempt,
    CallerRequest,
    Target,
    failed_answer,
    send_attempt,
)
from .inflight import InFlight
from .loadcount import LoadCounters
from .pool import Pools
from .suspects import PERMIT_PAUSE_S, Suspects
from .view import RoutingView

# Attempts that count against the retry budget.
MAX_ATTEMPTS = 3
# Pauses before an owner that refused is asked again under the same view: its grant may
# arrive just after the view.
FIRST_PAUSE_MS = 5.0
LAST_PAUSE_MS = 160.0

# A server that says that it drains gets no new work for this long, by when the
# coordinator has told the routers.
DRAINING_MS = 2000.0

SERVING_STATES = (ServerState.SERVING, ServerState.COLD)


class Router:
    """Routes the requests of callers."""

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
        self._waiting: Counter[ServiceName] = Counter()
        self._draining_until_ms: dict[ServerId, float] = {}
        self._probations: set[asyncio.Task[Any]] = set()
        self._background: set[asyncio.Task[Any]] = set()
        self._watch = DeathWatch(clock, view.server, suspects.report)

    async def drain(self, timeout_s: float) -> None:
        """Wait until the results of all runs under probation are reported.

        The coordinator would block a suspect whose result never comes.
        """
        tasks = self._probations | self._background
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    async def close(self) -> None:
        """End what goes on after the answers."""
        await self._watch.close()

    def _keep(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def route(self, request: CallerRequest) -> Answer:
        """Return the answer to a request; failures are answers too."""
        started_ms = self._clock()
        if request.key is not None:
            self._load.count(request.service, request.key)
        if request.idempotency_key is None or request.is_idempotent:
            answer = await self._forward(request)
        elif not self._view.has_lease():
            # Spares the store a claim that could not be used. Without it, nothing is
            # known of an earlier request with the same key.
            answer = failed_answer(
                Outcome.UNKNOWN,
                503,
                "not-ready",
                "no routing lease; whether the idempotency key has run is not known",
            )
        else:
            answer = await self._claims.run(
                request, request.idempotency_key, self._forward
            )
        self._metrics.record(
            request.service,
            request.request_class,
            answer.outcome,
            self._clock() - started_ms,
        )
        return answer

    async def _forward(self, request: CallerRequest) -> Answer:
        """Send attempts until one is final."""
        refused_by: set[ServerId] = set()
        attempts = 0
        pause_ms = FIRST_PAUSE_MS
        # Whether an earlier attempt may have run, which no later one can undo.
        is_uncertain = False
        last: Answer | None = None
        while True:
            suspect = self._suspects.find(request)
            if suspect is not None:
                answer = await self._forward_suspect(request, suspect)
                return with_uncertainty(answer, is_uncertain)
            found = await self._find_server(request, refused_by, last)
            if isinstance(found, Answer):
                return with_uncertainty(found, is_uncertain)
            last = answer = await self._attempt(request, found, refused_by)
            if answer.outcome is Outcome.RAN:
                if answer.stream is None:
                    self._suspects.note_answered(request)
                return answer
            if answer.outcome is Outcome.UNKNOWN:
                is_uncertain = True
                if not request.is_idempotent:
                    return answer
            if answer.error == "view-changed":
                continue
            if is_final(answer):
                return with_uncertainty(answer, is_uncertain)
            if not costs_servers_little(answer):
                attempts += 1
                if attempts >= MAX_ATTEMPTS:
                    return with_uncertainty(answer, is_uncertain)
                if costs_a_retry(answer) and not self._admission.may_retry(
                    request.service
                ):
                    return with_uncertainty(answer, is_uncertain)
            if found.unit is None:
                refused_by.add(ServerId(answer.headers[OWNER_HEADER]))
                continue
            if not await self._wait_for_view(request, pause_ms):
                return with_uncertainty(answer, is_uncertain)
            pause_ms = min(pause_ms * 2, LAST_PAUSE_MS)

    async def _find_server(
        self, request: CallerRequest, refused_by: set[ServerId], last: Answer | None
    ) -> Target | Answer:
        """Return the server for the next attempt; waits while there is none."""
        while True:
            if request.deadline_ms <= self._clock():
                return last or not_run(504, "deadline", "no server in time")
            if not self._view.has_lease():
                return last or not_run(503, "not-ready", "no routing lease")
            target = self._target(request, refused_by)
            if target is not None:
                return target
            if last is not None and refused_by:
                return last
            if not await self._wait_for_view(request):
                return not_run(503, "queue-full", "too many requests wait for a move")

    async def _wait_for_view(
        self, request: CallerRequest, pause_ms: float = inf
    ) -> bool:
        """Wait for a change of the view; return False if the queue is full."""
        if self._waiting[request.service] >= self._options.limits.queue_length:
            return False
        self._waiting[request.service] += 1
        try:
            left_ms = request.deadline_ms - self._clock()
            await self._view.wait_for_change(min(pause_ms, max(left_ms, 0)))
        finally:
            self._waiting[request.service] -= 1
        return True

    def _target(
        self, request: CallerRequest, refused_by: set[ServerId]
    ) -> Target | None:
        """Return where the request may be sent under the current view.

        Without a unit the server is only an example: admission chooses among all.
        """
        if not self._options.services[request.service].partitioned:
            servers = self._candidates(request, refused_by)
            return Target(servers[0], self._view.term) if servers else None
        unit = self._unit(request)
        if unit is None or unit.state is UnitState.MOVING or unit.owner is None:
            return None
        server = self._view.server(unit.owner)
        if server is None:
            return None
        return Target(server, self._view.term, unit.unit, unit.epoch)

    def _unit(self, request: CallerRequest) -> Unit | None:
        if request.key is None:
            return None
        return self._view.unit_of(request.service, request.key)

    def _candidates(
        self, request: CallerRequest, refused_by: set[ServerId]
    ) -> list[ServerEntry]:
        return [
            server
            for server in self._view.servers_of(request.service)
            if server.state in SERVING_STATES
            and server.server not in refused_by
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
        refused_by: set[ServerId],
        is_probation: bool = False,
    ) -> Answer:
        """Run one attempt in a slot of admission."""

        def candidates() -> list[ServerEntry]:
            if target.unit is None:
                return self._candidates(request, refused_by)
            # Looked up anew, since the key may move while the request is queued.
            owner = self._target(request, refused_by)
            return [owner.server] if owner is not None else []

        acquired = await self._admission.acquire(request, candidates)
        if not is_successful(acquired):
            return refused(acquired.failure())
        slot = acquired.unwrap()
        if target.unit is not None:
            owner = self._target(request, refused_by)
            if owner is None or owner.server.server != slot.server.server:
                # The key moved again between the grant of the slot and now.
                self._admission.release(slot, Observation.NOT_SENT, 0.0)
                return not_run(503, "view-changed", "the unit has moved")
            target = owner
        started_ms = self._clock()

        def release(observation: Observation) -> None:
            self._admission.release(slot, observation, self._clock() - started_ms)

        answer = None
        try:
            answer = await self._send(request, target, slot, is_probation)
        finally:
            if answer is None or answer.stream is None:
                release(observation(answer))
        if answer.stream is not None:
            self._watch_stream(request, slot, answer.stream, release, is_probation)
        if answer.is_broken and not is_probation:
            await self._report_break(request, slot.server)
        if answer.headers.get(SERVER_STATE_HEADER) == ServerState.DRAINING.value:
            until_ms = self._clock() + DRAINING_MS
            self._draining_until_ms[slot.server.server] = until_ms
        answer.headers[OWNER_HEADER] = slot.server.server
        return answer

    async def _send(
        self, request: CallerRequest, target: Target, slot: Slot, is_probation: bool
    ) -> Answer:
        if target.unit is None:
            target = msgspec.structs.replace(target, server=slot.server)
        # A service without units has no owners that a late run could overlap.
        is_fenced = (
            target.unit is None or self._options.services[request.service].checks_grants
        )
        deadline_ms = request.deadline_ms
        if not is_fenced:
            # Nothing but the deadline ends a late run on such a server.
            until_ms = self._clock() + self._view.lease_left_ms
            deadline_ms = min(deadline_ms, until_ms)

        def before_send() -> bool:
            if not self._view.has_lease() or not self._is_current(request, target):
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
        answer = None
        try:
            answer = await send_attempt(
                self._pools.fresh if is_probation else self._pools.kept,
                attempt,
                request,
                target,
                is_fenced,
                self._options.limits.buffered_answer_bytes,
            )
        finally:
            is_given_up = answer is None or answer.is_late
            if is_given_up and attempt.is_sent and not is_probation:
                self._watch.note(self._suspects.describe(request), target.server)
        if not answer.is_sent and not self._is_current(request, target):
            return not_run(503, "view-changed", "ownership changed before the send")
        return answer

    def _watch_stream(
        self,
        request: CallerRequest,
        slot: Slot,
        stream: AnswerStream,
        release: Callable[[Observation], None],
        is_probation: bool,
    ) -> None:
        """Hold the slot until the end of a streamed answer, and notice its break."""

        def on_close() -> None:
            release(Observation.FAILED if stream.is_broken else Observation.ANSWERED)
            if is_probation:
                return
            if stream.is_complete:
                self._suspects.note_answered(request)
            elif not stream.is_broken:
                self._watch.note(self._suspects.describe(request), slot.server)

        async def on_break() -> None:
            if not is_probation:
                await self._report_break(request, slot.server)

        stream.watch(on_close, on_break)

    async def _report_break(self, request: CallerRequest, server: ServerEntry) -> None:
        """Make a suspect of a request whose server's connection broke.

        Only a death counts towards a block: a server may close a connection for other
        reasons.
        """
        is_dead = await has_died(server)
        log_event(
            "server_connection_broken",
            request_id=request.request_id,
            server=server.server,
            is_dead=is_dead,
        )
        deaths = [death_of(server)] if is_dead else []
        await self._suspects.report([self._suspects.describe(request, deaths)])

    def _is_current(self, request: CallerRequest, target: Target) -> bool:
        """Return whether the view still has the target own the request's unit."""
        if target.unit is None:
            known = self._view.server(target.server.server)
            return known is not None and known.state in SERVING_STATES
        unit = self._unit(request)
        return (
            unit is not None
            and unit.unit == target.unit
            and unit.epoch == target.epoch
            and unit.owner == target.server.server
            and unit.state is UnitState.ACTIVE
        )

    async def _forward_suspect(
        self, request: CallerRequest, suspect: Suspect
    ) -> Answer:
        """Run a suspect under probation.

        The run goes on if its caller leaves, since the coordinator needs its result.
        """
        if suspect.blocked:
            return blocked()
        answered = asyncio.get_running_loop().create_future()

        def on_done(task: asyncio.Task[Answer]) -> None:
            self._probations.discard(task)
            if answered.done() or task.cancelled():
                return
            error = task.exception()
            if error is None:
                answered.set_result(task.result())
            else:
                answered.set_exception(error)

        task = asyncio.create_task(self._run_probation(request, answered))
        self._probations.add(task)
        task.add_done_callback(on_done)
        try:
            return await asyncio.shield(answered)
        except asyncio.CancelledError:
            answered.add_done_callback(close_stream)
            raise

    async def _run_probation(
        self, request: CallerRequest, answered: "asyncio.Future[Answer]"
    ) -> Answer:
        """Run a suspect once it is permitted.

        ``answered`` gets the answer if the caller has it before the run has ended.
        """
        lock = self._suspects.lock(request.service)
        attempts = 0
        refused_by: set[ServerId] = set()
        last = not_run(
            503, "quarantined", "a request that broke a server's connection waits"
        )
        while (left_ms := request.deadline_ms - self._clock()) > 0:
            suspect = self._suspects.find(request)
            if suspect is None:
                return await self._forward(request)
            if suspect.blocked:
                return blocked()
            if not await _acquire(lock, left_ms):
                break
            try:
                if self._suspects.find(request) is not suspect:
                    continue
                answer = await self._try_probation(request, refused_by, answered)
            finally:
                lock.release()
            if answer is not None:
                attempts += 1
                last = answer
                if answer.outcome is not Outcome.NOT_RUN or is_final(answer):
                    return answer
                if attempts >= MAX_ATTEMPTS:
                    return answer
                refused_by.add(ServerId(answer.headers.get(OWNER_HEADER, "")))
            await asyncio.sleep(PERMIT_PAUSE_S)
        self._keep(self._suspects.return_permit(request))
        return last

    async def _try_probation(
        self,
        request: CallerRequest,
        refused_by: set[ServerId],
        answered: "asyncio.Future[Answer]",
    ) -> Answer | None:
        """Ask for a permit and run the request; None if it was not permitted."""
        # A server may die of the run after its deadline.
        permit_ms = max(request.deadline_ms - self._clock(), 0) + WATCH_MS
        reply = await self._suspects.ask_permit(request, permit_ms)
        if reply is None or not reply.permitted:
            return None
        answer = None
        result = PROBATION_RESULT_NOT_SENT
        death = None
        try:
            target = self._target(request, refused_by)
            if target is not None and self._view.has_lease():
                answer = await self._attempt(request, target, refused_by, True)
                owner = ServerId(answer.headers.get(OWNER_HEADER, ""))
                server = self._view.server(owner)
                if may_go_on(answer):
                    answered.set_result(answer)
                result = await self._probation_result(answer, server)
                if result == PROBATION_RESULT_SERVER_DIED and server is not None:
                    death = death_of(server)
        finally:
            await self._suspects.record_result(request, result, death, permit_ms)
        return answer

    async def _probation_result(
        self, answer: Answer, server: ServerEntry | None
    ) -> ProbationResult:
        """Return the result of a run; waits until the run can have no other."""
        is_broken = answer.is_broken
        is_given_up = answer.is_late and answer.is_sent
        if answer.stream is not None:
            await answer.stream.wait_closed()
            is_broken = answer.stream.is_broken
            is_given_up = not is_broken and not answer.stream.is_complete
        if is_given_up and server is not None:
            is_broken = await self._watch.dies_within(server, WATCH_MS)
        if is_broken:
            return PROBATION_RESULT_SERVER_DIED
        if answer.outcome is Outcome.RAN and not is_given_up:
            return PROBATION_RESULT_ANSWERED
        return PROBATION_RESULT_NOT_SENT


async def _acquire(lock: asyncio.Lock, timeout_ms: float) -> bool:
    """Acquire a lock; return False after the timeout."""
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            return await lock.acquire()
    except TimeoutError:
        return False

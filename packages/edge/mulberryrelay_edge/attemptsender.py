"""Sends one attempt of a request, and records what it shows of its server.

That is load, speed, limits, failures and crashes, whether or not the caller still waits
for the response.
"""

import asyncio
from collections.abc import Callable

import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_kernel.unreadheaders import UnreadHeaders
from mulberryrelay_router.pool import Pool
from mulberryrelay_router.serverconnection import ResponseBuffer

from .adapter import Adapter
from .catalog import Catalog
from .coldservers import Evidence
from .datacentrereach import DataCentreReach
from .dispatch import Dispatcher
from .exchange import AttemptOutcome, AttemptResult, Exchange, Obstacle
from .keyload import KeyLoad
from .messages import BackendServer, EdgeRequest
from .overdue import OverdueWatch
from .regions import RegionRules
from .responses import had_free_slot
from .responsestream import StreamEnd
from .serverreach import ServerReach
from .shielding import run_to_end
from .suspectruns import SuspectRuns

SLOW_CONNECT_S = 0.15
"""Time without a connection after which its data centre may not be reached."""


class AttemptSender:
    """Sends the attempts of one router."""

    def __init__(
        self,
        adapter: Adapter,
        catalog: Catalog,
        dispatcher: Dispatcher,
        pool: Pool,
        responses: ResponseBuffer,
        key_load: KeyLoad,
        metrics: Metrics,
        suspect_runs: SuspectRuns,
        reach: ServerReach,
        data_centres: DataCentreReach,
        regions: RegionRules,
        clock: Clock,
    ) -> None:
        self._adapter = adapter
        self._catalog = catalog
        self._dispatcher = dispatcher
        self._pool = pool
        self._key_load = key_load
        self._metrics = metrics
        self._suspect_runs = suspect_runs
        self._reach = reach
        self._data_centres = data_centres
        self._regions = regions
        self._clock = clock
        self._response_buffer = responses
        self._unread_headers = UnreadHeaders(
            "server", msgspec.structs.astuple(adapter.headers)
        )

    @property
    def response_buffer(self) -> ResponseBuffer:
        """The bytes of the responses that are being received or sent."""
        return self._response_buffer

    async def send(
        self,
        request: EdgeRequest,
        server: BackendServer,
        send_id: int,
        gives_up: Callable[[], bool] | None = None,
    ) -> AttemptResult:
        """Send one attempt and return its result.

        ``gives_up`` returns whether an overdue attempt ends now, because the request is
        retried. None if it never is.
        """
        attempt = self._send_watched(request, server, send_id, gives_up)
        if request.route.is_idempotent:
            return await attempt
        # A non-idempotent request that was started is not cancelled if its caller
        # disconnects.
        return await run_to_end(request, attempt)

    async def _send_watched(
        self,
        request: EdgeRequest,
        server: BackendServer,
        send_id: int,
        gives_up: Callable[[], bool] | None,
    ) -> AttemptResult:
        """Send one attempt, and report the request if its server crashes under it.

        Whether the caller still waits does not matter for that.
        """
        try:
            result = await self.send_once(request, server, send_id, gives_up=gives_up)
        except asyncio.CancelledError:
            self._suspect_runs.record_abandoned(request, server)
            raise
        if not is_final(request, result):
            self.log_failure(request, server, result)
        elif result.outcome is AttemptOutcome.COMPLETED and result.stream is None:
            self._suspect_runs.record_response(request)
        if result.outcome is AttemptOutcome.BROKEN:
            has_crashed = await self._suspect_runs.record_broken(request, server)
            if has_crashed:
                self._catalog.cold.suspect(server, "crashed", Evidence.REFUSED)
            if has_crashed and result.is_reset:
                self._dispatcher.loads.record_failure(server, result.detail)
        elif result.outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.OVERDUE):
            self._suspect_runs.record_abandoned(request, server)
        return result

    async def send_once(
        self,
        request: EdgeRequest,
        server: BackendServer,
        send_id: int,
        is_probation: bool = False,
        gives_up: Callable[[], bool] | None = None,
    ) -> AttemptResult:
        """Send an attempt whose crashes the calling code watches for."""

        hint = asyncio.get_running_loop().call_later(
            SLOW_CONNECT_S, self._data_centres.suspect, server.data_centre
        )

        def find_obstacle() -> Obstacle | None:
            hint.cancel()
            return self._find_obstacle(request, server, send_id, is_probation)

        if is_probation:
            # The run is over only when the whole response has arrived.
            request = msgspec.structs.replace(request, may_stream=False)
        loads = self._dispatcher.loads
        result: AttemptResult | None = None
        try:
            exchange = Exchange(
                request,
                server,
                self._adapter,
                self._response_buffer,
                find_obstacle,
                self._clock,
                self._watch_overdue(request, server, gives_up),
            )
            result = await exchange.run(self._pool)
        finally:
            hint.cancel()
            load = result.load if result is not None else None
            if result is not None and result.stream is not None:
                latency_ms = loads.begin_body(server, send_id, load)
                result.stream.call_on_end(
                    lambda end, reason: self._end_stream(
                        request, server, send_id, end, reason
                    )
                )
            else:
                latency_ms = loads.end_request(server, send_id, load)
        self._record_statements(server, result)
        if result.load is not None and self._catalog.is_keyed(request):
            self._dispatcher.limits.record_queue(server, result.load.waiting)
        if result.outcome is AttemptOutcome.COMPLETED:
            self._record_response(request, server, result, latency_ms)
        elif result.outcome is AttemptOutcome.NOT_RUN:
            if result.other_server:
                self._catalog.mark_replaced(server, result.other_server)
            elif result.status != 421 and not had_free_slot(result):
                loads.record_refusal(server)
        elif result.is_reset:
            loads.record_reset(server)
            self._metrics.count("server_reset")
        elif not result.is_withheld:
            loads.record_failure(server, result.detail)
        evidence = _restart_evidence(result, self._catalog.is_keyed(request))
        if evidence is not None:
            self._catalog.cold.suspect(server, result.detail, evidence)
        if _is_failure(result) and (
            result.outcome is AttemptOutcome.NOT_SENT or loads.is_silent()
        ):
            self._reach.suspect()
        if result.status:
            self._data_centres.record_response(server.data_centre)
        elif _hangs(result):
            self._data_centres.suspect(server.data_centre)
        return result

    def _watch_overdue(
        self,
        request: EdgeRequest,
        server: BackendServer,
        gives_up: Callable[[], bool] | None,
    ) -> OverdueWatch | None:
        """Return a watch of an attempt, or None while the usual latency is unknown."""
        loads = self._dispatcher.loads
        after_ms = loads.overdue_after_ms(server, request.route.name)
        if after_ms is None:
            return None

        def record() -> None:
            loads.record_overdue(server)
            self._data_centres.suspect(server.data_centre)
            self._metrics.count("overdue")
            log_event(
                "request_overdue",
                request_id=request.request_id,
                route=request.route.name,
                server=server.server,
                after_ms=round(after_ms),
                state=self._dispatcher.describe(server),
            )

        return OverdueWatch(after_ms, record, gives_up)

    def _end_stream(
        self,
        request: EdgeRequest,
        server: BackendServer,
        send_id: int,
        end: StreamEnd,
        reason: str,
    ) -> None:
        """Record that no more bytes of a response are received."""
        loads = self._dispatcher.loads
        loads.end_request(server, send_id, None)
        self._metrics.count(f"stream_{end.value}")
        if end is StreamEnd.COMPLETED:
            self._suspect_runs.record_response(request)
            return
        self._suspect_runs.record_abandoned(request, server)
        if reason:
            log_event(
                "stream_broken",
                request_id=request.request_id,
                server=server.server,
                verdict=end.value,
                detail=reason,
            )
        if end is StreamEnd.BROKEN:
            loads.record_failure(server, "broken response")

    def _find_obstacle(
        self,
        request: EdgeRequest,
        server: BackendServer,
        send_id: int,
        is_probation: bool,
    ) -> Obstacle | None:
        """Return why a request may not be written to a server now, if so.

        All of this may have changed while it waited in the queue or for a connection.
        """
        if not self._catalog.may_send_to(server):
            return Obstacle.MAY_HAVE_LEFT
        current = self._catalog.server(server.server) or server
        if not self._regions.may_get(request, current):
            return Obstacle.REGION
        if self._dispatcher.loads.pause_ms(server) > 0:
            return Obstacle.WANTS_NONE
        if not self._dispatcher.limits.may_write(server, send_id):
            return Obstacle.COLD
        if is_probation and not self._suspect_runs.is_blocked(request):
            return None
        if self._suspect_runs.is_suspect(request):
            return Obstacle.MAY_CRASH
        return None

    def _record_response(
        self,
        request: EdgeRequest,
        server: BackendServer,
        result: AttemptResult,
        latency_ms: float,
    ) -> None:
        assert result.headers is not None
        self._unread_headers.log_new(result.headers, server.server)
        is_failure = result.status >= 500
        has_queued = result.load is not None and result.load.waiting > 0
        if not is_failure and not has_queued:
            self._key_load.record_service_time(request.service, latency_ms)
        self._dispatcher.loads.record_response(
            server, request.route.name, latency_ms, result.load, is_failure
        )

    def _record_statements(self, server: BackendServer, result: AttemptResult) -> None:
        """Record what a server states of the requests that it wants.

        Only a success shows that it states no limit: a refusal may come from another
        server at the address.
        """
        if result.pause_ms > 0:
            self._dispatcher.loads.pause(server, result.pause_ms)
        if result.status and result.status != 421:
            self._catalog.cold.record_contact(server)
        if result.cold_ms is not None and not result.other_server:
            self._catalog.cold.record_response(server, result.cold_ms)
        if result.is_leaving:
            self._catalog.record_leaving((server.server, server.started_ms))
        is_success = result.outcome is AttemptOutcome.COMPLETED and result.status < 300
        if result.limit_per_s is not None or is_success:
            self._dispatcher.limits.record(server, result.limit_per_s)

    def log_failure(
        self, request: EdgeRequest, server: BackendServer, result: AttemptResult
    ) -> None:
        """Log and count an attempt that brought no response for the caller."""
        log_event(
            "attempt_failed",
            request_id=request.request_id,
            server=server.server,
            verdict=result.outcome.value,
            status=result.status,
            detail=result.detail,
            state=self._dispatcher.describe(server),
            born_ms=server.started_ms,
            view_age_ms=self._catalog.view_age_ms,
        )
        self._metrics.count(f"attempt_{result.outcome.value}")


def _is_failure(result: AttemptResult) -> bool:
    """Return whether an attempt brought no response, because of the server or link."""
    if result.outcome in (AttemptOutcome.COMPLETED, AttemptOutcome.NOT_RUN):
        return False
    return not result.is_withheld


def _hangs(result: AttemptResult) -> bool:
    """Return whether no packet may have come back from the server's data centre."""
    if result.outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.OVERDUE):
        return True
    is_unsent = result.outcome is AttemptOutcome.NOT_SENT
    return is_unsent and not result.is_withheld and not result.is_refused


def _restart_evidence(result: AttemptResult, is_keyed: bool) -> Evidence | None:
    """Return how an attempt shows that its server may be a new, cold process.

    The new process of an owner of keys has none, and refuses requests with a key until
    the leader grants it keys. So only a refused connection, which a full server does
    not cause, counts for such an owner.
    """
    if result.is_refused:
        return Evidence.REFUSED
    if is_keyed:
        return None
    if result.is_unreached:
        return Evidence.CONNECTION_LOST
    return Evidence.RESET if result.is_reset else None


def is_final(request: EdgeRequest, result: AttemptResult) -> bool:
    """Return whether the server's response is passed on to the caller."""
    if result.status == 400:
        return True
    if result.outcome is not AttemptOutcome.COMPLETED:
        return False
    return result.status < 500 or not request.route.is_idempotent

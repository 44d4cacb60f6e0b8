"""Finds out under which requests servers crash, and runs suspects under probation.

The recognition itself is that of ``mulberryrelay_router.suspects``; this module applies
it to the attempts of an edge router.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import ServerEntry
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    PROBATION_RESULT_ANSWERED,
    PROBATION_RESULT_NOT_SENT,
    PROBATION_RESULT_SERVER_DIED,
    ServerDeath,
    Suspect,
)
from mulberryrelay_kernel.states import ServerState
from mulberryrelay_router.deaths import WATCH_MS, DeathWatch, has_died, server_death
from mulberryrelay_router.probation import ProbationEnd, ProbationRun, Probations
from mulberryrelay_router.suspects import Suspects

from .catalog import Catalog
from .exchange import AttemptOutcome, AttemptResult
from .messages import BackendServer, EdgeRequest
from .queuedrequest import QueueRefusal, SendPermit

PROBE_PERIOD_S = 0.8
"""Pause between probes of a server at which a request was abandoned.

Callers of any request may leave, so there are far more such requests than crashes.
"""

Acquire = Callable[[Collection[ServerId]], Awaitable[SendPermit | QueueRefusal]]
"""Waits for a server that may be sent the request; avoids those given, if it can."""
Send = Callable[[EdgeRequest, SendPermit], Awaitable[AttemptResult]]
"""Sends one attempt; does not raise for failures of the server."""


class SuspectRuns:
    """The suspects among the requests of one router."""

    def __init__(
        self, suspects: Suspects, catalog: Catalog, metrics: Metrics, clock: Clock
    ) -> None:
        self._suspects = suspects
        self._catalog = catalog
        self._metrics = metrics
        self._death_watch = DeathWatch(
            clock, self._entry, self._report_abandoned, PROBE_PERIOD_S
        )
        self._reports: set[asyncio.Task[bool]] = set()
        self._probations: Probations[AttemptResult | QueueRefusal] = Probations(
            suspects, clock
        )

    def is_suspect(self, request: EdgeRequest) -> bool:
        """Return whether a request may only run under probation, or not at all."""
        return self._suspects.find(request) is not None

    def is_blocked(self, request: EdgeRequest) -> bool:
        """Return whether a request may not run at all."""
        suspect = self._suspects.find(request)
        return suspect is not None and suspect.blocked

    def record_response(self, request: EdgeRequest) -> None:
        """Record that a server answered a request, so that it did not crash."""
        self._suspects.record_response(request)

    async def record_broken(self, request: EdgeRequest, server: BackendServer) -> bool:
        """Report the request if its server has crashed under it; return whether it has.

        The report goes on if the caller of this method is cancelled.
        """
        report = asyncio.create_task(self._report_if_dead(request, server))
        self._reports.add(report)
        report.add_done_callback(self._reports.discard)
        return await asyncio.shield(report)

    def record_abandoned(self, request: EdgeRequest, server: BackendServer) -> None:
        """Report the request if its server crashes under it within ``WATCH_MS``.

        Nobody waits for its response any more, but the server may still run it.
        """
        suspect = self._suspects.build_suspect(request)
        self._death_watch.watch(suspect, server.entry)

    async def _report_if_dead(
        self, request: EdgeRequest, server: BackendServer
    ) -> bool:
        death = await self._find_death(request, server)
        if death is None:
            return False
        suspect = self._suspects.build_suspect(request, [death])
        await self._suspects.report([suspect])
        return True

    async def run(
        self, request: EdgeRequest, acquire: Acquire, send: Send
    ) -> AttemptResult | QueueRefusal | ProbationEnd:
        """Run a suspect once the leader permits it; return what came of it."""

        tried: set[ServerId] = set()

        async def run_once(
            respond_early: Callable[[AttemptResult | QueueRefusal], None],
        ) -> ProbationRun[AttemptResult | QueueRefusal]:
            permit = await acquire(tried)
            if isinstance(permit, QueueRefusal):
                return ProbationRun(permit, is_final=True)
            attempt = await send(request, permit)
            if attempt.outcome is AttemptOutcome.NOT_SENT:
                tried.add(permit.server.server)
                return ProbationRun(attempt)
            # Without a leader the result may be reported late.
            respond_early(attempt)
            death = None
            if attempt.outcome is AttemptOutcome.TIMED_OUT:
                if await self._death_watch.dies_within(permit.server.entry, WATCH_MS):
                    death = server_death(permit.server.entry)
            elif attempt.outcome is AttemptOutcome.BROKEN:
                death = await self._find_death(request, permit.server)
            result = PROBATION_RESULT_NOT_SENT
            if death is not None:
                result = PROBATION_RESULT_SERVER_DIED
            elif attempt.outcome is AttemptOutcome.COMPLETED:
                result = PROBATION_RESULT_ANSWERED
            return ProbationRun(attempt, result, death, is_final=True)

        return await self._probations.run(request, run_once)

    async def drain(self, timeout_s: float) -> None:
        """Wait until the results of all runs under probation are reported."""
        await self._probations.drain(timeout_s)

    async def _find_death(
        self, request: EdgeRequest, server: BackendServer
    ) -> ServerDeath | None:
        """Return the crash of a server whose connection has just broken, if it is one.

        A server that was leaving has ended as planned.
        """
        is_dead = await has_died(server.entry)
        is_leaving = self._is_leaving(server.server)
        log_event(
            "server_connection_broken",
            request_id=request.request_id,
            fingerprint=request.fingerprint(),
            server=server.server,
            born_ms=server.started_ms,
            is_dead=is_dead,
            is_leaving=is_leaving,
        )
        self._metrics.count("server_dead" if is_dead else "connection_broken")
        return server_death(server.entry) if is_dead and not is_leaving else None

    async def _report_abandoned(self, suspects: list[Suspect]) -> None:
        """Report abandoned requests whose server has crashed."""
        crashed = [
            suspect
            for suspect in suspects
            if not self._is_leaving(ServerId(suspect.seen[-1].server))
        ]
        if crashed:
            await self._suspects.report(crashed)

    def _is_leaving(self, server: ServerId) -> bool:
        entry = self._catalog.server(server)
        return entry is None or entry.state is ServerState.DRAINING

    def _entry(self, server: ServerId) -> ServerEntry | None:
        current = self._catalog.server(server)
        return current.entry if current is not None else None

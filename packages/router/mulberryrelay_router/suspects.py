"""Requests that are suspected of crashing servers (poison requests).

A request becomes a suspect if the connection to its server breaks while the request is
in flight. From then on it runs only under probation, for which the coordinator grants
one permit at a time per service. A response clears a suspect, a second crash blocks it.

The request path checks here before each attempt whether a request is a suspect. It
reports suspects and asks for permits through ``CoordinatorLink``.
"""

import asyncio
from collections.abc import Sequence
from typing import Protocol

from reactivex import Observable
from reactivex.subject import Subject

from mulberryrelay_control.suspectregistry import (
    FROM_FIRST_BREAK,
    SuspectRegistry,
    SuspicionPolicy,
    merged_suspect,
)
from mulberryrelay_kernel.clock import Clock, monotonic_ms
from mulberryrelay_kernel.ids import BootId, Fingerprint, InstanceId, ServiceName
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    PROBATION_RESULT_NOT_SENT,
    PROBATION_RESULT_UNSPECIFIED,
    ProbationReply,
    ProbationRequest,
    ProbationResult,
    ServerDeath,
    Suspect,
)

# The response to a suspect's caller waits until the coordinator has confirmed the
# suspect, or for this long.
REPORT_TIMEOUT_MS = 200.0
# Pause before a request for a permit, or the report of a result, is sent again.
PERMIT_RETRY_PAUSE_S = 0.05
# Time for returning a permit; shorter than the time for which the permit stays valid
# after the deadline of its run.
PERMIT_RETURN_TIMEOUT_MS = 1000.0
# Bounds the memory of one router; the coordinator keeps at most as many suspects.
MAX_SUSPECTS = 4096
# Number of recently answered requests whose fingerprints are stored, and the maximum
# size of a body that is digested for this.
MAX_COMPLETED = 4096
MAX_DIGESTED_BYTES = 65_536


class CoordinatorLink(Protocol):
    """Interface through which the request path reaches the coordinator."""

    @property
    def suspect_updates(self) -> Observable[Suspect]:
        """Emits each suspect that the coordinator has changed."""

    async def report_suspects(
        self, suspects: Sequence[Suspect], timeout_ms: float
    ) -> bool:
        """Report suspects; return whether the coordinator confirmed in time."""

    async def send_probation_request(
        self, request: ProbationRequest
    ) -> ProbationReply | None:
        """Ask for a permit or report a result; return None if no reply arrived."""


class LocalLink:
    """Link of a router without peers, which has its own registry of suspects."""

    def __init__(
        self, clock: Clock = monotonic_ms, policy: SuspicionPolicy = FROM_FIRST_BREAK
    ) -> None:
        self._clock = clock
        self._registry = SuspectRegistry(policy=policy)
        self._updates: Subject[Suspect] = Subject()

    @property
    def suspect_updates(self) -> Observable[Suspect]:
        return self._updates

    async def report_suspects(
        self, suspects: Sequence[Suspect], timeout_ms: float
    ) -> bool:
        self._registry.record_suspects(suspects)
        self._publish()
        return True

    async def send_probation_request(
        self, request: ProbationRequest
    ) -> ProbationReply | None:
        reply = self._registry.handle_probation(request, self._clock())
        self._publish()
        return reply

    def _publish(self) -> None:
        for suspect in self._registry.pop_changes():
            self._updates.on_next(suspect)


class SuspectRequest(Protocol):
    """What is needed of a request to recognise it when it comes again."""

    @property
    def service(self) -> ServiceName: ...
    @property
    def body(self) -> bytes | bytearray: ...
    def fingerprint(self) -> Fingerprint: ...


class SuspectList:
    """Suspects by fingerprint: reports and the coordinator's updates, merged."""

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def find(self, fingerprint: Fingerprint) -> Suspect | None:
        """Return the suspect with this fingerprint, if any."""
        return self._suspects.get(fingerprint)

    def all_suspects(self) -> list[Suspect]:
        """Return all suspects."""
        return list(self._suspects.values())

    def apply_update(self, suspect: Suspect) -> None:
        """Apply a report or an update; only a clearance ends a block.

        A coordinator that has just taken over may not have a block yet.
        """
        if suspect.cleared:
            self._suspects.pop(suspect.fingerprint, None)
            return
        known = self._suspects.get(suspect.fingerprint)
        merged = suspect if known is None else merged_suspect(known, suspect)
        if merged == known:
            return
        self._suspects[suspect.fingerprint] = merged
        if len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]


class PermitExpiries:
    """Until when this router may run suspects under permits that it holds."""

    def __init__(self) -> None:
        self._expires_ms: dict[str, float] = {}

    def track(
        self, request: ProbationRequest, reply: ProbationReply, started_ms: float
    ) -> None:
        """Store a permit's expiry; delete it once the result was reported."""
        if reply.permitted:
            self._expires_ms[request.fingerprint] = started_ms + request.deadline_ms
        elif request.result != PROBATION_RESULT_UNSPECIFIED:
            self._expires_ms.pop(request.fingerprint, None)

    def with_time_left(
        self, suspects: Sequence[Suspect], now_ms: float
    ) -> list[Suspect]:
        """Return suspects to report, with the time left of their permitted runs."""
        reports = []
        for known in suspects:
            suspect = Suspect()
            suspect.CopyFrom(known)
            expires_ms = self._expires_ms.get(suspect.fingerprint, now_ms)
            suspect.probation_ms = max(0, int(expires_ms - now_ms))
            reports.append(suspect)
        return reports


class Suspects:
    """Suspects in this router's local view, and its side of runs under probation."""

    def __init__(
        self,
        link: CoordinatorLink,
        instance: InstanceId,
        boot_id: BootId,
        policy: SuspicionPolicy = FROM_FIRST_BREAK,
    ) -> None:
        self._link = link
        self._policy = policy
        self._instance = instance
        self._boot_id = boot_id
        self._known = SuspectList()
        self._completed: dict[Fingerprint, None] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unconfirmed_permits: set[Fingerprint] = set()
        self._locks: dict[ServiceName, asyncio.Lock] = {}
        link.suspect_updates.subscribe(self._known.apply_update)

    def find(self, request: SuspectRequest) -> Suspect | None:
        """Return the suspect with the fingerprint of this request, if any."""
        if not len(self._known):
            return None
        suspect = self._known.find(request.fingerprint())
        if suspect is None or not self._policy.needs_permit(suspect):
            return None
        return suspect

    def build_suspect(
        self, request: SuspectRequest, deaths: Sequence[ServerDeath] = ()
    ) -> Suspect:
        """Return the suspect for a request that may have caused these crashes."""
        fingerprint = request.fingerprint()
        return Suspect(
            fingerprint=fingerprint,
            service=request.service,
            deaths=1,
            seen=deaths,
            answered=fingerprint in self._completed,
        )

    async def report(self, suspects: Sequence[Suspect]) -> None:
        """Report requests that may have crashed their server."""
        for suspect in suspects:
            self._known.apply_update(suspect)
            log_event(
                "suspect_reported",
                fingerprint=suspect.fingerprint,
                service=suspect.service,
                server=suspect.seen[0].server if suspect.seen else "",
            )
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_MS / 1000):
                await self._link.report_suspects(suspects, REPORT_TIMEOUT_MS)
        except TimeoutError:
            log_event("suspect_report_unconfirmed", count=len(suspects))

    def record_response(self, request: SuspectRequest) -> None:
        """Record that a request was answered, so that equal requests are less suspect.

        If an equal request became a suspect while this one was in flight, report it as
        cleared.
        """
        if len(request.body) > MAX_DIGESTED_BYTES and not len(self._known):
            return
        fingerprint = request.fingerprint()
        self._completed.pop(fingerprint, None)
        self._completed[fingerprint] = None
        if len(self._completed) > MAX_COMPLETED:
            del self._completed[next(iter(self._completed))]
        if self._known.find(fingerprint) is None:
            return
        cleared = Suspect(
            fingerprint=fingerprint, service=request.service, cleared=True
        )
        task = asyncio.create_task(self._report_cleared(cleared))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report_cleared(self, cleared: Suspect) -> None:
        # The coordinator decides, and sends the update to this router too.
        await self._link.report_suspects([cleared], REPORT_TIMEOUT_MS)

    def lock(self, service: ServiceName) -> asyncio.Lock:
        """Return the lock that a run under probation holds in this router.

        The coordinator cannot distinguish two runs of the same suspect by one router.
        """
        return self._locks.setdefault(service, asyncio.Lock())

    async def request_permit(
        self, request: SuspectRequest, permit_ms: float
    ) -> ProbationReply | None:
        """Ask the coordinator once for a permit to run a suspect for ``permit_ms``."""
        reply = await self._link.send_probation_request(
            self._build_message(request, permit_ms)
        )
        fingerprint = request.fingerprint()
        self._unconfirmed_permits.discard(fingerprint)
        if reply is None:
            self._unconfirmed_permits.add(fingerprint)
        if reply is not None and (reply.cleared or reply.blocked):
            self._known.apply_update(
                Suspect(
                    fingerprint=request.fingerprint(),
                    service=request.service,
                    blocked=reply.blocked,
                    cleared=reply.cleared,
                )
            )
        return reply

    async def return_permit(self, request: SuspectRequest) -> None:
        """Return a permit that may have been granted although no reply arrived.

        Otherwise the coordinator would assume that the run had crashed a server.
        """
        if request.fingerprint() not in self._unconfirmed_permits:
            return
        async with self.lock(request.service):
            if request.fingerprint() in self._unconfirmed_permits:
                await self.record_result(
                    request, PROBATION_RESULT_NOT_SENT, None, PERMIT_RETURN_TIMEOUT_MS
                )
            self._unconfirmed_permits.discard(request.fingerprint())

    async def record_result(
        self,
        request: SuspectRequest,
        result: ProbationResult,
        death: ServerDeath | None,
        permit_ms: float,
    ) -> None:
        """Report how a run ended; retry for as long as the permit may be valid.

        If the result never arrives, the coordinator blocks the request.
        """
        message = self._build_message(request, 0.0)
        message.result = result
        if death is not None:
            message.death.CopyFrom(death)
        try:
            async with asyncio.timeout(permit_ms / 1000):
                while await self._link.send_probation_request(message) is None:
                    await asyncio.sleep(PERMIT_RETRY_PAUSE_S)
        except TimeoutError:
            log_event("probation_result_lost", fingerprint=message.fingerprint)

    def _build_message(
        self, request: SuspectRequest, permit_ms: float
    ) -> ProbationRequest:
        return ProbationRequest(
            fingerprint=request.fingerprint(),
            service=request.service,
            instance=self._instance,
            boot_id=self._boot_id,
            deadline_ms=max(0, int(permit_ms)),
        )

"""Suspected poison requests as this router knows them.

The peer task passes reports and probation requests on to the coordinator through
``PeerLink``. The request path asks here before each attempt.
"""

import asyncio
from collections.abc import Sequence
from typing import Protocol

import xxhash
from reactivex import Observable
from reactivex.subject import Subject

from mulberryrelay_control.suspects import SuspectRegistry
from mulberryrelay_kernel.clock import Clock, monotonic_ms
from mulberryrelay_kernel.ids import BootId, Fingerprint, InstanceId, ServiceName
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    PROBATION_RESULT_NOT_SENT,
    ProbationReply,
    ProbationRequest,
    ProbationResult,
    ServerDeath,
    Suspect,
)

from .forward import CallerRequest

# A caller may be answered only after the coordinator knows the suspect, or after this.
REPORT_TIMEOUT_MS = 200.0
# Pause between two requests for a permit while another suspect runs.
PERMIT_PAUSE_S = 0.05
# Time to give a permit back; shorter than the permit lasts after its deadline.
RETURN_MS = 1000.0
# Bounds the memory of one router; the coordinator keeps at most as many.
MAX_SUSPECTS = 4096
# Requests whose answers are remembered, and the longest body digested for that.
MAX_ANSWERED = 4096
MAX_DIGESTED_BYTES = 65_536


class PeerLink(Protocol):
    """What the request path uses of the peer task."""

    @property
    def suspect_updates(self) -> Observable[Suspect]:
        """Emits each suspect that the coordinator has changed."""

    async def report_suspects(
        self, suspects: Sequence[Suspect], timeout_ms: float
    ) -> bool:
        """Report suspects; return whether the coordinator confirmed in time."""

    async def probation(self, request: ProbationRequest) -> ProbationReply | None:
        """Ask for a permit or report a result; None if no reply arrived."""


class LocalLink:
    """Link of a router that runs without peers: the registry is its own."""

    def __init__(self, clock: Clock = monotonic_ms) -> None:
        self._clock = clock
        self._registry = SuspectRegistry()
        self._updates: Subject[Suspect] = Subject()

    @property
    def suspect_updates(self) -> Observable[Suspect]:
        return self._updates

    async def report_suspects(
        self, suspects: Sequence[Suspect], timeout_ms: float
    ) -> bool:
        self._registry.report(suspects)
        self._publish()
        return True

    async def probation(self, request: ProbationRequest) -> ProbationReply | None:
        reply = self._registry.permit(request, self._clock())
        self._publish()
        return reply

    def _publish(self) -> None:
        for suspect in self._registry.take_changes():
            self._updates.on_next(suspect)


class SuspectList:
    """Suspects to be told to the next coordinator."""

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}

    def known(self) -> list[Suspect]:
        """Return all suspects."""
        return list(self._suspects.values())

    def note(self, suspect: Suspect) -> None:
        """Apply a report or an update; a block ends only with a clearance."""
        if suspect.cleared:
            self._suspects.pop(suspect.fingerprint, None)
            return
        known = self._suspects.get(suspect.fingerprint)
        if (
            known is not None
            and not suspect.blocked
            and (known.blocked or len(known.seen) > len(suspect.seen))
        ):
            return
        self._suspects[suspect.fingerprint] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]


class Suspects:
    """Suspects known to this router, and its runs under probation."""

    def __init__(self, link: PeerLink, instance: InstanceId, boot_id: BootId) -> None:
        self._link = link
        self._instance = instance
        self._boot_id = boot_id
        self._known: dict[Fingerprint, Suspect] = {}
        self._answered: dict[Fingerprint, None] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unanswered: set[Fingerprint] = set()
        self._locks: dict[ServiceName, asyncio.Lock] = {}
        link.suspect_updates.subscribe(self._apply)

    def find(self, request: CallerRequest) -> Suspect | None:
        """Return the suspect that equals this request, if any."""
        if not self._known:
            return None
        return self._known.get(fingerprint_of(request))

    def describe(
        self, request: CallerRequest, deaths: Sequence[ServerDeath] = ()
    ) -> Suspect:
        """Return the suspect that a request would be after these losses."""
        fingerprint = fingerprint_of(request)
        return Suspect(
            fingerprint=fingerprint,
            service=request.service,
            deaths=1,
            seen=deaths,
            answered=fingerprint in self._answered,
        )

    async def report(self, suspects: Sequence[Suspect]) -> None:
        """Make suspects of requests that ran when their server's connection broke."""
        for suspect in suspects:
            if Fingerprint(suspect.fingerprint) not in self._known:
                self._apply(suspect)
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

    def note_answered(self, request: CallerRequest) -> None:
        """Record an answer, which speaks against a crash by an equal request.

        A suspect that was in flight elsewhere when it became one is cleared.
        """
        if len(request.body) > MAX_DIGESTED_BYTES and not self._known:
            return
        fingerprint = fingerprint_of(request)
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = None
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        if fingerprint not in self._known:
            return
        cleared = Suspect(
            fingerprint=fingerprint, service=request.service, cleared=True
        )
        task = asyncio.create_task(self._clear(cleared))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _clear(self, cleared: Suspect) -> None:
        # The coordinator decides, and tells this router too.
        await self._link.report_suspects([cleared], REPORT_TIMEOUT_MS)

    def lock(self, service: ServiceName) -> asyncio.Lock:
        """Return the lock that a run under probation holds in this router.

        The coordinator cannot tell two runs of the same suspect by one router apart.
        """
        return self._locks.setdefault(service, asyncio.Lock())

    async def ask_permit(
        self, request: CallerRequest, left_ms: float
    ) -> ProbationReply | None:
        """Ask the coordinator once for a permit to run a suspect."""
        reply = await self._link.probation(self._message(request, left_ms))
        fingerprint = fingerprint_of(request)
        self._unanswered.discard(fingerprint)
        if reply is None:
            self._unanswered.add(fingerprint)
        if reply is not None and (reply.cleared or reply.blocked):
            self._apply(
                Suspect(
                    fingerprint=fingerprint_of(request),
                    service=request.service,
                    blocked=reply.blocked,
                    cleared=reply.cleared,
                )
            )
        return reply

    async def return_permit(self, request: CallerRequest) -> None:
        """Give a permit back whose reply may have been lost.

        The coordinator would take the run that never was for the loss of a server.
        """
        if fingerprint_of(request) not in self._unanswered:
            return
        async with self.lock(request.service):
            if fingerprint_of(request) in self._unanswered:
                await self.record_result(
                    request, PROBATION_RESULT_NOT_SENT, None, RETURN_MS
                )
            self._unanswered.discard(fingerprint_of(request))

    async def record_result(
        self,
        request: CallerRequest,
        result: ProbationResult,
        death: ServerDeath | None,
        permit_ms: float,
    ) -> None:
        """Report how a run ended; repeats it for as long as the permit may last.

        A result that never arrives would block the request.
        """
        message = self._message(request, 0.0)
        message.result = result
        if death is not None:
            message.death.CopyFrom(death)
        try:
            async with asyncio.timeout(permit_ms / 1000):
                while await self._link.probation(message) is None:
                    await asyncio.sleep(PERMIT_PAUSE_S)
        except TimeoutError:
            log_event("probation_result_lost", fingerprint=message.fingerprint)

    def _message(self, request: CallerRequest, left_ms: float) -> ProbationRequest:
        return ProbationRequest(
            fingerprint=fingerprint_of(request),
            service=request.service,
            instance=self._instance,
            boot_id=self._boot_id,
            deadline_ms=max(0, int(left_ms)),
        )

    def _apply(self, suspect: Suspect) -> None:
        fingerprint = Fingerprint(suspect.fingerprint)
        if suspect.cleared:
            self._known.pop(fingerprint, None)
            return
        known = self._known.get(fingerprint)
        if known is not None and known.blocked and not suspect.blocked:
            # A coordinator that has just taken over may not know of the block yet.
            return
        self._known[fingerprint] = suspect
        if len(self._known) > MAX_SUSPECTS:
            del self._known[next(iter(self._known))]


def fingerprint_of(request: CallerRequest) -> Fingerprint:
    """Return the digest of service, method, path, key and body of a request."""
    digest = xxhash.xxh3_128()
    key = request.key or ""
    for part in (request.service, request.method, request.path, key):
        encoded = part.encode(errors="surrogateescape")
        digest.update(b"%d:" % len(encoded))
        digest.update(encoded)
    digest.update(request.body)
    return Fingerprint(digest.hexdigest())

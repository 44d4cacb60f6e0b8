"""Requests suspected of crashing servers, between the leader and its followers.

The leader keeps the registry of suspects of all routers. Followers report losses of
servers and ask for permits at once, and get changed suspects with the leader's replies
to their reports. A new leader learns all suspects from its followers, and gives no
permits until they can have reported. Without a leader a router blocks what it knows
itself, and gives no permits.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol, TypeVar

from google.protobuf.message import DecodeError
from reactivex import Observable
from reactivex.subject import Subject

from mulberryrelay_control.suspectregistry import (
    PermitHolder,
    SuspectRegistry,
    SuspicionPolicy,
)
from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import BootId, InstanceId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    PROBATION_RESULT_NOT_SENT,
    PROBATION_RESULT_SERVER_DIED,
    ProbationReply,
    ProbationRequest,
    ServerDeath,
    Suspect,
)
from mulberryrelay_router.suspects import PermitExpiries, SuspectList

from .messages import LeaderNoticeRow, SuspectChanges, SuspectReport

MessageT = TypeVar("MessageT", Suspect, ProbationRequest, ProbationReply)

EDGE_POLICY = SuspicionPolicy(losses_to_permit=2, losses_to_block=3)
"""One loss is not enough: each request beside a poison request would wait for a permit.
"""
REPORT_WINDOW_MS = 1500.0
"""Time from the start of a term in which followers report the suspects they know."""
MAX_UNREPORTED = 1024
"""Reports that wait for a leader; the oldest are dropped beyond."""
MAX_CHANGES = 4096
"""Changed suspects that the leader keeps for its followers."""


class SuspectCalls(Protocol):
    """Calls to the leader with this URL; they return None without a reply."""

    async def report_suspects(self, url: str, report: SuspectReport) -> bool: ...
    async def request_probation(self, url: str, body: bytes) -> bytes | None: ...


ConfirmLoss = Callable[[ServerDeath], Awaitable[bool]]
"""Returns whether a server that a follower reports as lost is not up here."""


class SuspectLink:
    """Implements ``CoordinatorLink`` for the leader and for followers."""

    def __init__(
        self,
        instance: InstanceId,
        boot_id: str,
        is_leader: Callable[[], bool],
        leader_notice: Callable[[], LeaderNoticeRow | None],
        calls: SuspectCalls,
        confirm_loss: ConfirmLoss,
        on_change: Callable[[], None],
        clock: Clock,
    ) -> None:
        """``on_change`` is called when the leader has changes for its followers."""
        self._holder = PermitHolder(instance, BootId(boot_id))
        self._is_leader = is_leader
        self._leader_notice = leader_notice
        self._calls = calls
        self._confirm_loss = confirm_loss
        self._on_change = on_change
        self._clock = clock
        self._known = SuspectList()
        self._permits = PermitExpiries()
        self._unreported: list[Suspect] = []
        self._informed_leader: LeaderNoticeRow | None = None
        """The leader, in its term, that has got all suspects known here."""
        self._applied_version = 0
        """Version of the suspects applied from ``_informed_leader``."""
        self._registry = SuspectRegistry(policy=EDGE_POLICY)
        self._changes: dict[str, tuple[int, bytes]] = {}
        """Last change of each suspect in this router's term, by fingerprint."""
        self._version = 0
        self._updates: Subject[Suspect] = Subject()

    @property
    def suspect_updates(self) -> Observable[Suspect]:
        """Emits each suspect that the leader has changed."""
        return self._updates

    @property
    def blocked(self) -> int:
        """Number of requests that are blocked here."""
        return sum(suspect.blocked for suspect in self._known.all_suspects())

    def set_leading(self, is_leader: bool) -> None:
        """Begin or end a term of this router."""
        self._informed_leader = None
        if not is_leader:
            return
        self._registry = SuspectRegistry(self._clock() + REPORT_WINDOW_MS, EDGE_POLICY)
        self._changes.clear()
        self._version = 0
        own = self._known_suspects()
        self._registry.record_suspects(own, self._holder, self._clock())
        self._publish()

    async def report_suspects(
        self, suspects: Sequence[Suspect], timeout_ms: float
    ) -> bool:
        for suspect in suspects:
            self._known.apply_update(suspect)
        if self._is_leader():
            self._record(suspects, self._holder)
            return True
        self._unreported = [*self._unreported, *suspects][-MAX_UNREPORTED:]
        return await self.report_due()

    async def report_due(self) -> bool:
        """Report to the leader what it has not got yet; return whether it has all."""
        notice = self._leader_notice()
        if self._is_leader() or notice is None or not notice.boot_id:
            return False
        is_new_leader = notice != self._informed_leader
        due, self._unreported = self._unreported, []
        if is_new_leader:
            due = self._known_suspects() + due
        if due:
            report = SuspectReport(
                InstanceId(self._holder.instance),
                self._holder.boot_id,
                [suspect.SerializeToString() for suspect in due],
            )
            is_recorded = False
            try:
                is_recorded = await self._calls.report_suspects(notice.link_url, report)
            finally:
                # The caller may give up the wait for the leader.
                if not is_recorded:
                    self._unreported = [*due, *self._unreported][-MAX_UNREPORTED:]
            if not is_recorded:
                return False
        if is_new_leader:
            self._informed_leader = notice
            self._applied_version = 0
        return True

    async def send_probation_request(
        self, request: ProbationRequest
    ) -> ProbationReply | None:
        started_ms = self._clock()
        reply = await self._ask_leader(request)
        if reply is not None:
            self._permits.track(request, reply, started_ms)
        return reply

    @property
    def applied_version(self) -> int:
        """Version of the leader's suspects that this router has applied."""
        return self._applied_version

    def apply_changes(self, changes: SuspectChanges) -> None:
        """Apply the changes in a leader's reply."""
        for body in changes.suspects:
            suspect = _decode(body, Suspect())
            if suspect is None:
                continue
            self._known.apply_update(suspect)
            self._updates.on_next(suspect)
        self._applied_version = changes.version

    def changes_since(self, version: int) -> SuspectChanges:
        """Return what a follower lacks that has applied a version of this term."""
        if version == self._version:
            return SuspectChanges(self._version, [])
        return SuspectChanges(
            self._version,
            [body for changed, body in self._changes.values() if changed > version],
        )

    async def handle_report(self, report: SuspectReport) -> bool:
        """Record a follower's report; return False if this router does not lead."""
        suspects = []
        for body in report.suspects:
            suspect = _decode(body, Suspect())
            if suspect is None:
                continue
            suspects.append(await self._with_confirmed_losses(suspect))
        if not self._is_leader():
            return False
        holder = PermitHolder(report.instance, BootId(report.boot_id))
        self._record(suspects, holder)
        return True

    async def handle_probation(self, body: bytes) -> bytes | None:
        """Reply to a follower that asks for a permit or reports the result of a run.

        Returns None if this router does not lead or cannot read the request.
        """
        request = _decode(body, ProbationRequest())
        if request is None:
            return None
        is_lost = request.result == PROBATION_RESULT_SERVER_DIED
        if is_lost and not await self._is_confirmed(request.fingerprint, request.death):
            request.result = PROBATION_RESULT_NOT_SENT
        if not self._is_leader():
            return None
        return self._reply_to(request).SerializeToString()

    async def _ask_leader(self, request: ProbationRequest) -> ProbationReply | None:
        if self._is_leader():
            return self._reply_to(request)
        notice = self._leader_notice()
        if notice is None or not notice.boot_id:
            return None
        body = request.SerializeToString()
        reply = await self._calls.request_probation(notice.link_url, body)
        return None if reply is None else _decode(reply, ProbationReply())

    async def _with_confirmed_losses(self, suspect: Suspect) -> Suspect:
        """Return a report without the servers that are up as seen from here."""
        confirmed = []
        for death in suspect.seen:
            if await self._is_confirmed(suspect.fingerprint, death):
                confirmed.append(death)
        del suspect.seen[:]
        suspect.seen.extend(confirmed)
        return suspect

    async def _is_confirmed(self, fingerprint: str, death: ServerDeath) -> bool:
        """Return whether a server that a follower reports as lost is not up here.

        A router that is cut off from its servers may take them for crashed.
        """
        if not death.server or await self._confirm_loss(death):
            return True
        log_event(
            "loss_not_confirmed",
            fingerprint=fingerprint,
            server=death.server,
            boot_id=death.boot_id,
        )
        return False

    def _record(self, suspects: Sequence[Suspect], holder: PermitHolder) -> None:
        self._registry.record_suspects(suspects, holder, self._clock())
        self._publish()

    def _reply_to(self, request: ProbationRequest) -> ProbationReply:
        reply = self._registry.handle_probation(request, self._clock())
        self._publish()
        return reply

    def _publish(self) -> None:
        """Pass changed suspects on to this router and its followers."""
        changed = self._registry.pop_changes()
        for suspect in changed:
            self._version += 1
            # The newest change stands last.
            self._changes.pop(suspect.fingerprint, None)
            body = suspect.SerializeToString()
            self._changes[suspect.fingerprint] = (self._version, body)
            if len(self._changes) > MAX_CHANGES:
                del self._changes[next(iter(self._changes))]
            log_event(
                "suspect_changed",
                fingerprint=suspect.fingerprint,
                service=suspect.service,
                losses=len(suspect.seen),
                blocked=suspect.blocked,
                cleared=suspect.cleared,
            )
            self._known.apply_update(suspect)
            self._updates.on_next(suspect)
        if changed:
            self._on_change()

    def _known_suspects(self) -> list[Suspect]:
        return self._permits.with_time_left(self._known.all_suspects(), self._clock())


def _decode(body: bytes, message: MessageT) -> MessageT | None:
    """Fill a message from its encoded form; return None if it is malformed."""
    try:
        message.ParseFromString(body)
    except DecodeError as error:
        log_event("bad_suspect_message", error=str(error))
        return None
    return message

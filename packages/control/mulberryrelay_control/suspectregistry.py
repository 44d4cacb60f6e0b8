"""The coordinator's registry of suspected poison requests.

A poison request crashes the server that runs it. A request becomes a suspect when the
connection to a server breaks while the request is in flight there, or after a number of
such losses (``SuspicionPolicy``). A suspect may only be run under a permit, one at a
time per service, until a run ends with a response (the suspect is cleared) or with the
loss of another server (the suspect is blocked).

If equal requests ran on several servers before the first loss was reported, these
servers are already lost, and another run must be prevented. Such a suspect is blocked
without a further run unless it may only have been in flight beside the poison request:
an equal request got a response before, or another suspect explains the same losses.
"""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from mulberryrelay_kernel.ids import Fingerprint, ServiceName
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    PROBATION_RESULT_ANSWERED,
    PROBATION_RESULT_SERVER_DIED,
    PROBATION_RESULT_UNSPECIFIED,
    ProbationReply,
    ProbationRequest,
    ServerDeath,
    Suspect,
)

# Limits the memory of the registry. If many servers fail at once, each request in
# flight becomes a suspect; these are at most a few thousand.
MAX_SUSPECTS = 4096
# Limits the losses recorded for one suspect; fewer are enough to block it.
MAX_DEATHS = 8
# Time after the deadline of a run within which its result must arrive.
RESULT_GRACE_MS = 1000.0
# Time to wait for reports of the other requests that were in flight at a loss. Routers
# spend at most as long on reporting before they respond to a caller.
REPORT_WAIT_MS = 200.0


class SuspicionPolicy(NamedTuple):
    """From how many losses of servers on a request is treated as a suspect."""

    losses_to_permit: int = 0
    """Losses from which it runs only under a permit; 0: a broken connection is enough.
    """
    losses_to_block: int = 2
    """Losses that block it without another run, if no other suspect explains them."""

    def needs_permit(self, suspect: Suspect) -> bool:
        """Return whether a request may only be run under a permit, or not at all."""
        return suspect.blocked or len(suspect.seen) >= self.losses_to_permit


FROM_FIRST_BREAK = SuspicionPolicy()


class PermitHolder(NamedTuple):
    """Identifies the router process that holds a permit."""

    instance: str
    boot_id: str


class _Permit(msgspec.Struct, frozen=True):
    """Permit for one run of a suspect whose result has not arrived."""

    fingerprint: Fingerprint
    holder: PermitHolder
    until_ms: float

    def is_held_by(self, request: ProbationRequest) -> bool:
        holder = PermitHolder(request.instance, request.boot_id)
        return (self.fingerprint, self.holder) == (request.fingerprint, holder)


class _Entry(msgspec.Struct):
    """A suspect and the state of the decision about it."""

    suspect: Suspect
    is_confirmed_poison: bool = False
    """Whether a server was lost in a permitted run. Later responses to equal requests
    then do not clear the suspect."""
    decidable_ms: float | None = None
    """Time from which the known losses may block the suspect; None until a permit is
    requested."""


class SuspectRegistry:
    """Keeps the suspects, and at most one permit per service.

    No permit is given before ``permits_start_ms``, since routers may still run suspects
    under permits of a previous coordinator that they have not reported yet.
    """

    def __init__(
        self,
        permits_start_ms: float = 0.0,
        policy: SuspicionPolicy = FROM_FIRST_BREAK,
    ) -> None:
        self._permits_start_ms = permits_start_ms
        self._policy = policy
        self._entries: dict[Fingerprint, _Entry] = {}
        self._permits: dict[ServiceName, _Permit] = {}
        self._changes: list[Suspect] = []

    def all_suspects(self) -> list[Suspect]:
        """Return all requests that need a permit, including blocked ones."""
        return [
            entry.suspect
            for entry in self._entries.values()
            if self._policy.needs_permit(entry.suspect)
        ]

    def pop_changes(self) -> list[Suspect]:
        """Return and clear the changes since the last call, to be sent to routers."""
        changes = self._changes
        self._changes = []
        return changes

    def record_suspects(
        self,
        suspects: Sequence[Suspect],
        holder: PermitHolder = PermitHolder("", ""),  # noqa: B008
        now_ms: float = 0.0,
    ) -> list[Suspect]:
        """Record the suspects that a router reports; return those that are new."""
        new = []
        for reported in suspects:
            fingerprint = Fingerprint(reported.fingerprint)
            entry = self._entries.get(fingerprint)
            if reported.cleared:
                if entry is not None and not entry.is_confirmed_poison:
                    self._clear(reported.fingerprint, reported.service)
                continue
            if entry is None:
                entry = self._add(reported.fingerprint, reported.service)
                new.append(entry.suspect)
            self._merge(entry, reported)
            if reported.probation_ms:
                self._permits.setdefault(
                    ServiceName(reported.service),
                    _Permit(
                        fingerprint,
                        holder,
                        now_ms + reported.probation_ms + RESULT_GRACE_MS,
                    ),
                )
        return new

    def handle_probation(
        self, request: ProbationRequest, now_ms: float
    ) -> ProbationReply:
        """Reply to a request to run a suspect, or record the result of such a run."""
        service = ServiceName(request.service)
        self._end_overdue_permit(service, now_ms)
        if request.result != PROBATION_RESULT_UNSPECIFIED:
            return self._record_result(request)
        fingerprint = Fingerprint(request.fingerprint)
        entry = self._entries.get(fingerprint)
        if entry is None:
            # A new coordinator starts without suspects, while routers keep theirs.
            entry = self._add(request.fingerprint, request.service)
        if entry.suspect.blocked:
            return ProbationReply(blocked=True)
        if now_ms < self._permits_start_ms:
            return ProbationReply()
        permit = self._permits.get(service)
        if permit is not None and not permit.is_held_by(request):
            return ProbationReply()
        if len(entry.suspect.seen) >= self._policy.losses_to_block:
            if entry.decidable_ms is None:
                entry.decidable_ms = now_ms + REPORT_WAIT_MS
            if now_ms < entry.decidable_ms:
                return ProbationReply()
            if self._is_only_cause(entry.suspect):
                self._block(entry)
                return ProbationReply(blocked=True)
        self._permits[service] = _Permit(
            fingerprint,
            PermitHolder(request.instance, request.boot_id),
            now_ms + request.deadline_ms + RESULT_GRACE_MS,
        )
        return ProbationReply(permitted=True)

    def _record_result(self, request: ProbationRequest) -> ProbationReply:
        service = ServiceName(request.service)
        permit = self._permits.get(service)
        is_current = permit is not None and permit.is_held_by(request)
        if is_current:
            del self._permits[service]
        if request.result == PROBATION_RESULT_SERVER_DIED:
            deaths = [request.death] if request.death.server else []
            self._confirm_poison(request.fingerprint, request.service, deaths)
        elif request.result == PROBATION_RESULT_ANSWERED and is_current:
            self._clear(request.fingerprint, request.service)
        entry = self._entries.get(Fingerprint(request.fingerprint))
        return ProbationReply(
            blocked=entry is not None and entry.suspect.blocked, cleared=entry is None
        )

    def _end_overdue_permit(self, service: ServiceName, now_ms: float) -> None:
        """Block the suspect of a permit whose result did not arrive in time.

        The router may have been lost together with the server. Another run could then
        crash a third server.
        """
        permit = self._permits.get(service)
        if permit is None or now_ms < permit.until_ms:
            return
        del self._permits[service]
        self._confirm_poison(permit.fingerprint, service, [])

    def _is_only_cause(self, suspect: Suspect) -> bool:
        """Return whether only this suspect can have caused enough losses to block."""
        if suspect.answered:
            return False
        others = [
            entry.suspect
            for entry in self._entries.values()
            if entry.suspect.fingerprint != suspect.fingerprint
        ]
        # Losses at which a blocked suspect was in flight are attributed to it.
        attributed = [d for other in others if other.blocked for d in other.seen]
        deaths = [
            death for death in suspect.seen if not _contains_death(death, attributed)
        ]
        needed = self._policy.losses_to_block
        if len(deaths) < needed:
            return False
        return not any(
            not other.answered
            and sum(_contains_death(death, other.seen) for death in deaths) >= needed
            for other in others
        )

    def _merge(self, entry: _Entry, reported: Suspect) -> None:
        """Merge a report into an entry; a blocked suspect stays blocked."""
        before = entry.suspect
        merged = merged_suspect(before, reported)
        if reported.blocked:
            entry.is_confirmed_poison = True
        if len(merged.seen) != len(before.seen):
            entry.decidable_ms = None
        if merged != before:
            self._replace_suspect(entry, merged)

    def _confirm_poison(
        self, fingerprint: str, service: str, deaths: Sequence[ServerDeath]
    ) -> None:
        """Block a suspect whose permitted run lost a server or did not report."""
        entry = self._entries.get(Fingerprint(fingerprint))
        if entry is None:
            entry = self._add(fingerprint, service)
        self._merge(entry, Suspect(deaths=2, seen=deaths, blocked=True))

    def _block(self, entry: _Entry) -> None:
        """Mark a suspect as blocked, so that routers refuse the request."""
        blocked = Suspect()
        blocked.CopyFrom(entry.suspect)
        blocked.blocked = True
        self._replace_suspect(entry, blocked)

    def _clear(self, fingerprint: str, service: str) -> None:
        entry = self._entries.pop(Fingerprint(fingerprint), None)
        if entry is not None and not self._policy.needs_permit(entry.suspect):
            return
        self._changes.append(
            Suspect(fingerprint=fingerprint, service=service, cleared=True)
        )

    def _add(self, fingerprint: str, service: str) -> _Entry:
        suspect = Suspect(fingerprint=fingerprint, service=service, deaths=1)
        entry = _Entry(suspect)
        self._entries[Fingerprint(fingerprint)] = entry
        self._note_change(suspect)
        if len(self._entries) > MAX_SUSPECTS:
            self._evict()
        return entry

    def _replace_suspect(self, entry: _Entry, suspect: Suspect) -> None:
        entry.suspect = suspect
        self._note_change(suspect)

    def _note_change(self, suspect: Suspect) -> None:
        if self._policy.needs_permit(suspect):
            self._changes.append(suspect)

    def _evict(self) -> None:
        """Remove the oldest suspect that is not blocked, or else the oldest one."""
        for fingerprint, entry in self._entries.items():
            if not entry.suspect.blocked:
                del self._entries[fingerprint]
                return
        del self._entries[next(iter(self._entries))]


def merged_suspect(known: Suspect, reported: Suspect) -> Suspect:
    """Return what is known of a request after a report; a block is not undone."""
    merged = Suspect()
    merged.CopyFrom(known)
    for death in reported.seen:
        if len(merged.seen) >= MAX_DEATHS or _contains_death(death, merged.seen):
            continue
        merged.seen.append(death)
    merged.deaths = max(1, reported.deaths, known.deaths, len(merged.seen))
    merged.answered = known.answered or reported.answered
    merged.blocked = known.blocked or reported.blocked
    return merged


def _contains_death(death: ServerDeath, deaths: Sequence[ServerDeath]) -> bool:
    """Return whether a loss is recorded; an empty boot id matches any."""
    return any(
        known.server == death.server
        and (not known.boot_id or not death.boot_id or known.boot_id == death.boot_id)
        for known in deaths
    )

"""One term of the coordinator: its state and its tasks.

A term begins by reading the rules and the assignment of units (key ranges and single
keys) from the store. After that it issues routing leases and publishes the assignment
to routers through their ``Sync`` streams, sends grants to backend servers, and moves
units between servers.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any, Protocol

import aiohttp
from returns.pipeline import is_successful
from returns.result import Result

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import RulesVersion, Term
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import (
    Assignment,
    RulesDocument,
    UnitUpdate,
)
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.peerproto import peer_pb2
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    ProbationReply,
    ProbationRequest,
    RoutersReply,
    RouterState,
    Suspect,
    SyncReply,
    SyncRequest,
)
from mulberryrelay_kernel.platform import Platform
from mulberryrelay_kernel.states import StoreFailure

from .assignment import AssignmentStore
from .claimsweeper import ClaimSweeper
from .grants import GrantSender, ServerEvent
from .lease import CoordinatorLease
from .membership import Membership, Server
from .moveexecutor import MoveExecutor, MoveStep
from .placement import PlanMoves
from .planner import Planner
from .ruletypes import ActiveRules
from .sessions import RouterSession, RouterSessions
from .suspectregistry import PermitHolder

LoadRules = Callable[[], Awaitable[Result[RulesDocument | None, StoreFailure]]]
ApplyRules = Callable[[RulesDocument], bool]
MoveStepHook = Callable[[MoveStep], Awaitable[None]]
"""Called by tests at each step of a move."""

# Pause after a failed read of the store at the beginning of a term.
LOAD_RETRY_MS = 50.0
# Rules before the first version was committed.
NO_RULES = RulesDocument(RulesVersion(0), "")


class NotCoordinatorError(Exception):
    """This router cannot serve a call that only the coordinator serves.

    It does not hold the lease, has not read the store yet, or refuses a caller of
    another tenant.
    """


class Suspects(Protocol):
    """The methods of ``SuspectRegistry`` that a term uses."""

    def record_suspects(
        self, suspects: Sequence[Suspect], holder: PermitHolder, now_ms: float
    ) -> list[Suspect]: ...
    def handle_probation(
        self, request: ProbationRequest, now_ms: float
    ) -> ProbationReply: ...
    def all_suspects(self) -> list[Suspect]: ...
    def pop_changes(self) -> list[Suspect]: ...


class CoordinatorTerm:
    """State and tasks of one term; discarded when the term ends."""

    def __init__(
        self,
        options: Options,
        platform: Platform,
        lease: CoordinatorLease,
        session: aiohttp.ClientSession,
        load_rules: LoadRules,
        suspects: Suspects,
        placement_rules: Callable[[], ActiveRules],
        apply_rules: ApplyRules,
        plan: PlanMoves,
        clock: Clock,
        at_step: MoveStepHook | None,
    ) -> None:
        timing = options.timing
        # All leases and grants of the previous term have expired by this time.
        changes_allowed_ms = (
            lease.handover_wait_start_ms + timing.bridge_ms + timing.margin_ms
        )
        self._options = options
        self._lease = lease
        self._changes_allowed_ms = changes_allowed_ms
        self._load_rules = load_rules
        self._apply_rules = apply_rules
        self._suspects = suspects
        self._claim_sweeper = ClaimSweeper(options, platform, clock)
        self._clock = clock
        self._term: Term = lease.term
        self._version = 0
        self._published_servers: list[peer_pb2.Server] = []
        self._rules = NO_RULES
        self._rules_check_due = asyncio.Event()
        self._is_ready = False
        self._membership = Membership(options, platform, clock)
        self._sessions = RouterSessions(clock)
        self._store = AssignmentStore(options, platform, lease)
        self._grants = GrantSender(
            options,
            session,
            lease,
            changes_allowed_ms,
            self._handle_server_event,
            clock,
        )
        planner = Planner(
            options, self._membership, self._sessions, placement_rules, clock, plan
        )
        self._moves = MoveExecutor(
            options,
            self._store,
            lease,
            self._membership,
            self._grants,
            self._sessions,
            planner.plan,
            self._publish_units,
            changes_allowed_ms,
            clock,
            at_step,
        )

    @property
    def membership(self) -> Membership:
        return self._membership

    @property
    def sessions(self) -> RouterSessions:
        return self._sessions

    @property
    def is_ready(self) -> bool:
        """Whether rules and assignment have been read; no lease is issued before."""
        return self._is_ready

    async def run(self) -> None:
        """Read the store, then run the tasks of the term until cancelled."""
        await self._load()
        self._is_ready = True
        log_event(
            "coordinating",
            term=self._term,
            assignment=self._version,
            rules=self._rules.version,
            servers=len(self._membership.servers),
        )
        async with asyncio.TaskGroup() as tasks:
            for server in self._membership.servers.values():
                tasks.create_task(self._grants.run(server))
            self._membership.added.subscribe(
                lambda server: self._start_server(tasks, server)
            )
            tasks.create_task(self._membership.run())
            tasks.create_task(self._moves.run())
            tasks.create_task(self._watch_rules())
            tasks.create_task(self._claim_sweeper.run())
            tasks.create_task(self._watch_sessions())

    async def serve_sync_stream(
        self, requests: AsyncIterator[SyncRequest]
    ) -> AsyncIterator[SyncReply]:
        """Serve the ``Sync`` stream of one router."""
        first = await anext(requests)
        if first.tenant != self._options.tenant:
            log_event("router_refused", router=first.instance, tenant=first.tenant)
            raise NotCoordinatorError
        session = self._sessions.open(first)
        queue = session.connect()
        session.push(self._full_view(first))
        reader = asyncio.create_task(self._read_requests(session, first, requests))
        reader.add_done_callback(lambda _: queue.put_nowait(None))
        try:
            while True:
                reply = await queue.get()
                if reply is None or not session.is_current_stream(queue):
                    return
                self._finalise_reply(session, reply)
                yield reply
        finally:
            reader.cancel()
            session.disconnect(queue)

    def handle_probation(self, request: ProbationRequest) -> ProbationReply:
        """Pass a request to the registry of suspects and publish changed suspects."""
        reply = self._suspects.handle_probation(request, self._clock())
        self._publish_suspects()
        return reply

    def handle_rules_changed(self) -> None:
        """Read the rules now instead of at the next periodic check."""
        self._rules_check_due.set()

    def replan(self) -> None:
        """Plan moves now instead of after the planning period."""
        self._moves.replan()

    def list_routers(self) -> RoutersReply:
        """Return the routers that may hold a routing lease."""
        now_ms = self._clock()
        return RoutersReply(
            routers=[
                RouterState(
                    instance=session.address.instance,
                    applied_rules_version=session.rules_version,
                    lease_left_ms=int(max(session.latest_expiry_ms - now_ms, -1)),
                )
                for session in self._sessions.all
            ],
            # Before, unlisted routers may hold routing leases of the previous term.
            complete=now_ms >= self._changes_allowed_ms,
        )

    def close(self) -> None:
        """End all streams."""
        self._sessions.close()

    async def _load(self) -> None:
        """Read rules, assignment and servers; retry until all were read."""
        assignment: Assignment | None = None
        while assignment is None:
            loaded = await self._store.load()
            # Publishing an empty list of servers would remove the known servers from
            # the local views of the routers.
            if await self._read_rules() and is_successful(loaded):
                refreshed = await self._membership.refresh()
                if refreshed or self._membership.servers:
                    assignment = loaded.unwrap()
                    continue
            await asyncio.sleep(LOAD_RETRY_MS / 1000)
        self._version = assignment.version
        self._moves.apply_assignment(assignment)

    async def _read_rules(self) -> bool:
        result = await self._load_rules()
        if not is_successful(result):
            return False
        document = result.unwrap()
        if document is not None and document.version > self._rules.version:
            # Placement uses the rules in force in this process. Its own ``Sync`` stream
            # may deliver them only after the first plan of the term.
            self._apply_rules(document)
            self._rules = document
            self._push(rules_text=document.text)
            self._moves.replan()
            log_event("rules_read", rules=document.version)
        return True

    async def _watch_rules(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._options.timing.rules_period_ms / 1000):
                    await self._rules_check_due.wait()
            except TimeoutError:
                pass
            self._rules_check_due.clear()
            await self._read_rules()

    async def _watch_sessions(self) -> None:
        while True:
            await asyncio.sleep(self._options.timing.heartbeat_ms / 1000)
            self._sessions.drop_expired()

    def _start_server(self, tasks: asyncio.TaskGroup, server: Server) -> None:
        tasks.create_task(self._grants.run(server))

    def _handle_server_event(self, event: ServerEvent, server: Server) -> None:
        if event is ServerEvent.RELEASED:
            self._moves.wake()
            return
        log_event(
            f"server_{event.value}", server=server.server_id, state=server.state.value
        )
        if event is ServerEvent.LOST:
            self._moves.handle_server_lost(server)
        if event is ServerEvent.RETURNED:
            self._moves.handle_server_returned(server)
        if event is ServerEvent.RESTARTED:
            self._moves.handle_server_restarted(server)
        self._moves.replan()
        self._publish_servers()

    async def _read_requests(
        self,
        session: RouterSession,
        first: SyncRequest,
        requests: AsyncIterator[SyncRequest],
    ) -> None:
        """Handle the requests of one stream until it ends or the router leaves."""
        self._handle_request(session, first)
        async for request in requests:
            self._handle_request(session, request)
            if request.leaving:
                self._sessions.remove(session)
                return

    def _handle_request(self, session: RouterSession, request: SyncRequest) -> None:
        session.record_request(request, request.term == self._term)
        if request.drained:
            self._moves.wake()
        if request.suspects:
            holder = PermitHolder(request.instance, request.boot_id)
            self._suspects.record_suspects(request.suspects, holder, self._clock())
            # Queued before the reply, since the reply confirms to the router that the
            # suspects were published.
            self._publish_suspects()
        reply = SyncReply(sequence=request.sequence)
        if request.applied_rules_version < self._rules.version:
            reply.rules_text = self._rules.text
        session.push(reply)

    def _finalise_reply(self, session: RouterSession, reply: SyncReply) -> None:
        """Set the fields that must be current at sending: versions, rules and lease.

        With the versions from the time of queueing, a delayed reply could renew the
        lease of a router that has already been counted as expired and has not yet
        received the update that a unit is moving.
        """
        reply.term = self._term
        reply.assignment_version = self._version
        reply.rules_version = self._rules.version
        if reply.HasField("rules_text"):
            reply.rules_text = self._rules.text
        left_ms = self._lease.remaining_ms
        if not reply.sequence or left_ms <= 0:
            return
        timing = self._options.timing
        lease_ms = int(min(timing.lease_ms, left_ms)) + timing.bridge_ms
        reply.routing_lease_ms = lease_ms
        session.record_lease(self._clock() + lease_ms + timing.margin_ms)

    def _full_view(self, request: SyncRequest) -> SyncReply:
        """Return the first message of a stream: all units, servers and suspects."""
        assignment = self._moves.assignment
        updates = [
            UnitUpdate(service, unit)
            for service, units in assignment.ranges.items()
            for unit in units
        ]
        updates += [
            UnitUpdate(service, unit)
            for service, units in assignment.overrides.items()
            for unit in units.values()
        ]
        reply = SyncReply(
            full=True,
            view_version=self._version,
            units=[unit_message(update) for update in updates],
            servers=self._server_messages(),
            suspects=self._suspects.all_suspects(),
        )
        if request.applied_rules_version < self._rules.version:
            reply.rules_text = self._rules.text
        return reply

    def _publish_units(self, updates: Sequence[UnitUpdate]) -> None:
        self._version += 1
        self._push(
            view_version=self._version,
            units=[unit_message(update) for update in updates],
        )

    def _publish_servers(self) -> None:
        messages = self._server_messages()
        if messages == self._published_servers:
            return
        self._published_servers = messages
        self._version += 1
        self._push(view_version=self._version, servers=messages)

    def _publish_suspects(self) -> None:
        changes = self._suspects.pop_changes()
        if changes:
            self._push(suspects=changes)

    def _push(self, **fields: Any) -> None:
        """Queue a message for all connected routers."""
        for session in self._sessions.connected:
            # Each stream needs its own copy, since it sets fields before sending.
            session.push(SyncReply(**fields))

    def _server_messages(self) -> list[peer_pb2.Server]:
        return [
            peer_pb2.Server(
                server=entry.server,
                service=entry.service,
                data_centre=entry.data_centre,
                host=entry.host,
                port=entry.port,
                state=entry.state.value,
                boot_id=entry.boot_id,
            )
            for entry in (s.entry for s in self._membership.servers.values())
        ]


def unit_message(update: UnitUpdate) -> peer_pb2.UnitUpdate:
    """Return the protocol message for a changed unit."""
    unit = update.unit
    return peer_pb2.UnitUpdate(
        service=update.service,
        unit=unit.unit,
        owner=unit.owner or "",
        epoch=unit.epoch,
        state=unit.state.value,
        next_owner=unit.next_owner or "",
    )

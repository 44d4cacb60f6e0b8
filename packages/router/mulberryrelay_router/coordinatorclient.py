"""Client side of the protocol between routers: the gRPC stream to the coordinator.

Each router keeps a ``Sync`` stream to the router that holds the coordinator lease. It
applies the units, servers, rules and suspects that the coordinator sends, and renews
its routing lease, the permission to send requests, with each heartbeat. Probation
requests, rule notices and router lists are single calls to the coordinator.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any

import grpc
from reactivex import Observable
from reactivex.subject import Subject

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import (
    AssignmentVersion,
    Epoch,
    InstanceId,
    RulesVersion,
    ServiceName,
    Term,
    UnitId,
)
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import (
    RouterAddress,
    RouterList,
    RouterRulesStatus,
    RulesDocument,
    UnitCount,
    UnitUpdate,
)
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.peerproto import peer_pb2
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    ProbationReply,
    ProbationRequest,
    Suspect,
    SyncReply,
    SyncRequest,
)
from mulberryrelay_kernel.states import UnitState

from .inflight import InFlight
from .peerchannels import PeerChannels, open_channel, open_stub
from .routingview import RoutingView
from .suspects import PermitExpiries, SuspectList
from .viewmessages import decode_assignment, decode_server, decode_units

# Pause before the next attempt to reach the coordinator. The routing lease stays valid
# meanwhile, for at least ``timing.bridge_ms``.
RECONNECT_DELAY_MS = 20.0
# Period of comparing the lease holder with the peer of the stream while replies are
# overdue. Little is left of the routing lease by the time that the lease row shows a
# takeover.
HOLDER_CHECK_PERIOD_MS = 20.0
# The stream is closed once more heartbeats than this have no reply.
MAX_UNANSWERED_HEARTBEATS = 3
# Period of reporting request counts to the coordinator, for placement.
COUNT_REPORT_PERIOD_MS = 1000.0
# Timeout of a single call to the coordinator.
CALL_TIMEOUT_S = 0.5
# Timeout for the coordinator to confirm that this router gives up its routing lease.
LEAVE_TIMEOUT_S = 0.5


FindPeers = Callable[[], Awaitable[Sequence[RouterAddress]]]
"""Returns addresses of routers that may be the coordinator; boot ids are empty."""


class CoordinatorClient:
    """Keeps a stream to the coordinator; the ``CoordinatorLink`` of the request path.

    ``holder`` returns the last read holder of the coordinator lease. ``apply_rules``
    applies a version of the rules and returns whether this process now uses it.
    ``find_peers`` returns routers to try while the store cannot name the coordinator.
    ``collect_counts`` returns the request counts since its last call and resets them.

    A suspect is a request that may have crashed its server. It runs again only under
    probation: with a permit from the coordinator, and a report of the result to it.
    """

    def __init__(
        self,
        options: Options,
        me: RouterAddress,
        holder: Callable[[], RouterAddress | None],
        view: RoutingView,
        in_flight: InFlight,
        channels: PeerChannels,
        collect_counts: Callable[[], Sequence[UnitCount]],
        apply_rules: Callable[[RulesDocument], bool],
        clock: Clock,
        find_peers: FindPeers | None = None,
    ) -> None:
        self._options = options
        self._me = me
        self._holder = holder
        self._find_peers = find_peers
        self._untried_peers: list[RouterAddress] = []
        self._stream_peer: RouterAddress | None = None
        self._view = view
        self._in_flight = in_flight
        self._channels = channels
        self._collect_counts = collect_counts
        self._clock = clock
        self._sequence = 0
        self._sent_ms: dict[int, float] = {}
        self._reply_waiters: dict[int, asyncio.Future[None]] = {}
        self._moving_epochs: dict[tuple[ServiceName, UnitId], Epoch] = {}
        self._unreported_drained: list[peer_pb2.UnitRef] = []
        self._unreported_suspects: list[Suspect] = []
        self._suspects = SuspectList()
        self._permits = PermitExpiries()
        self._counts_reported_ms = clock()
        self._apply_rules_document = apply_rules
        self._request_due = asyncio.Event()
        self._is_leaving = False
        self._is_connected = False
        self._write_timeout_ms = MAX_UNANSWERED_HEARTBEATS * options.timing.heartbeat_ms
        self._suspect_updates: Subject[Suspect] = Subject()
        in_flight.drained.subscribe(self._report_if_drained)

    @property
    def suspect_updates(self) -> Observable[Suspect]:
        """Emits each suspect that the coordinator adds or changes."""
        return self._suspect_updates

    async def report_suspects(
        self, suspects: Sequence[Suspect], timeout_ms: float
    ) -> bool:
        """Report suspects; return whether the coordinator confirmed them in time."""
        self._unreported_suspects += suspects
        sequence = self._sequence + 1
        confirmed = self._reply_waiters.setdefault(
            sequence, asyncio.get_running_loop().create_future()
        )
        self._request_due.set()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await asyncio.shield(confirmed)
        except (TimeoutError, ConnectionError):
            return False
        return True

    async def send_probation_request(
        self, request: ProbationRequest
    ) -> ProbationReply | None:
        """Request a probation permit or report the result of a probation run.

        Return None if no reply arrived.
        """
        coordinator = self._coordinator()
        if coordinator is None:
            return None
        started_ms = self._clock()
        try:
            reply: ProbationReply = await self._channels.stub(coordinator).Probation(
                request, timeout=CALL_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            return None
        self._permits.track(request, reply, started_ms)
        return reply

    async def notify_rules(self, version: RulesVersion) -> None:
        """Notify the coordinator of a committed version of the rules."""
        coordinator = self._coordinator()
        if coordinator is None:
            return
        try:
            await self._channels.stub(coordinator).RulesChanged(
                peer_pb2.RulesNotice(rules_version=version), timeout=CALL_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            # The coordinator also reads the rules row periodically.
            pass

    async def routers(self) -> RouterList | None:
        """Return the coordinator's list of routers, or None if it is unreachable."""
        coordinator = self._coordinator()
        if coordinator is None:
            return None
        try:
            reply = await self._channels.stub(coordinator).Routers(
                peer_pb2.RoutersRequest(), timeout=CALL_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            return None
        routers = [
            RouterRulesStatus(
                InstanceId(router.instance),
                RulesVersion(router.applied_rules_version),
                router.lease_left_ms,
            )
            for router in reply.routers
        ]
        return RouterList(routers, reply.complete)

    async def run(self) -> None:
        """Keep a stream to the coordinator until this router shuts down."""
        while not self._is_leaving:
            holder = self._holder()
            if holder is not None:
                await self._sync_while_coordinator(holder)
            if not self._view.has_lease() and not self._is_leaving:
                await self._try_next_peer()
            await asyncio.sleep(RECONNECT_DELAY_MS / 1000)

    async def leave(self) -> None:
        """Give up the routing lease; call it after all requests have ended."""
        self._is_leaving = True
        self._view.revoke_lease()
        sequence = self._sequence + 1
        confirmed = self._reply_waiters.setdefault(
            sequence, asyncio.get_running_loop().create_future()
        )
        self._request_due.set()
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await confirmed
        except (TimeoutError, ConnectionError):
            pass

    def _coordinator(self) -> RouterAddress | None:
        """Return the peer of a stream with replies, else the last read holder."""
        return self._stream_peer if self._is_connected else self._holder()

    async def _sync_while_coordinator(self, address: RouterAddress) -> None:
        """Keep a stream to a router for as long as it is the coordinator."""
        self._stream_peer = address
        reason = await self._run_stream(address)
        if self._is_connected:
            log_event("coordinator_disconnected", peer=address.instance, why=reason)
            # Addresses found earlier may have been reused by other processes since.
            self._untried_peers = []
        self._is_connected = False

    async def _try_next_peer(self) -> None:
        """Try one router that may be the coordinator, without asking the store.

        A router that is not the coordinator refuses the stream. The coordinator issues
        routing leases under its own lease, however the router has found it.
        """
        if self._find_peers is None:
            return
        if not self._untried_peers:
            self._untried_peers = list(await self._find_peers())
        if self._untried_peers:
            await self._sync_while_coordinator(self._untried_peers.pop(0))

    async def _run_stream(self, peer: RouterAddress) -> str:
        """Run one stream to a router; return the reason for its end.

        No reply and no failure of the stream ends this router.
        """
        async with open_channel(peer) as channel:
            stream = open_stub(channel).Sync()
            # The first task to end gives the reason. A suspended peer process can block
            # both reading and writing, so each has its own task.
            tasks = [
                asyncio.create_task(self._receive_replies(stream)),
                asyncio.create_task(self._send_requests(stream)),
                asyncio.create_task(self._watch_lease_holder(peer)),
            ]
            try:
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                return _end_reason(done)
            finally:
                for task in tasks:
                    task.cancel()
                stream.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                self._reset_stream_state()

    async def _watch_lease_holder(self, peer: RouterAddress) -> str:
        """Wait until the last read lease holder changes; return the reason.

        A change to the peer of this stream does not count.
        """
        heartbeat_ms = self._options.timing.heartbeat_ms
        initial_holder = self._holder()
        while self._holder() in (initial_holder, peer):
            is_reply_overdue = len(self._sent_ms) > 1
            period_ms = HOLDER_CHECK_PERIOD_MS if is_reply_overdue else heartbeat_ms
            await asyncio.sleep(period_ms / 1000)
        return "the lease holder has changed"

    async def _send_requests(self, stream: Any) -> str:
        """Send heartbeats until the stream fails; return the reason for its end."""
        # The full view at the start of each stream lists all moving units again.
        self._unreported_drained = []
        is_first = True
        try:
            while len(self._sent_ms) <= MAX_UNANSWERED_HEARTBEATS:
                self._request_due.clear()
                request = self._next_request(is_first)
                is_first = False
                # The routing lease starts before the request is sent, so that it ends
                # no later here than at the coordinator.
                self._sent_ms[request.sequence] = self._clock()
                async with asyncio.timeout(self._write_timeout_ms / 1000):
                    await stream.write(request)
                if request.leaving:
                    await stream.done_writing()
                    # The peer closes the stream once it has processed the request.
                    await asyncio.sleep(LEAVE_TIMEOUT_S)
                    return "leaving"
                await self._wait_for_next_request()
        except grpc.aio.AioRpcError as error:
            return str(error.details())
        except asyncio.InvalidStateError:
            return "the stream ended before a request was written"
        except TimeoutError:
            pass
        return "no reply to heartbeats"

    async def _wait_for_next_request(self) -> None:
        """Wait for the next heartbeat time or for data to report at once."""
        try:
            async with asyncio.timeout(self._options.timing.heartbeat_ms / 1000):
                await self._request_due.wait()
        except TimeoutError:
            pass

    def _next_request(self, is_first: bool) -> SyncRequest:
        self._sequence += 1
        drained, self._unreported_drained = self._unreported_drained, []
        suspects, self._unreported_suspects = self._unreported_suspects, []
        if is_first:
            # A new coordinator has no list of suspects yet. This router's list also has
            # the reports that the former coordinator did not confirm.
            suspects = self._known_suspects() + suspects
        for suspect in suspects:
            self._suspects.apply_update(suspect)
        request = SyncRequest(
            sequence=self._sequence,
            term=self._view.term,
            applied_rules_version=self._view.rules_version,
            drained=drained,
            counts=self._counts_if_due(),
            suspects=suspects,
            leaving=self._is_leaving,
        )
        if is_first:
            request.tenant = self._options.tenant
            request.instance = self._me.instance
            request.boot_id = self._me.boot_id
            request.data_centre = self._me.data_centre
            request.host = self._me.host
            request.peer_port = self._me.port
        return request

    def _counts_if_due(self) -> list[peer_pb2.UnitCount]:
        now_ms = self._clock()
        if now_ms < self._counts_reported_ms + COUNT_REPORT_PERIOD_MS:
            return []
        self._counts_reported_ms = now_ms
        return [
            peer_pb2.UnitCount(
                service=count.service,
                unit=count.unit,
                requests=count.requests,
                key=count.key or "",
            )
            for count in self._collect_counts()
        ]

    async def _receive_replies(self, stream: Any) -> str:
        """Apply replies until the stream ends; return the reason for its end."""
        try:
            async for reply in stream:
                if reply.term < self._view.term:
                    return "the peer has an older term"
                self._apply(reply)
        except grpc.aio.AioRpcError as error:
            return str(error.details())
        return "the peer closed the stream"

    def _apply(self, reply: SyncReply) -> None:
        """Apply a reply.

        The lease comes last: it takes effect only once the versions of assignment and
        rules that the reply names are applied.
        """
        self._is_connected = True
        if reply.servers:
            self._view.apply_servers([decode_server(s) for s in reply.servers])
        if reply.full:
            self._view.apply_assignment(Term(reply.term), decode_assignment(reply))
            log_event("view_received", term=reply.term, version=reply.view_version)
            self._track_moving_units(decode_units(reply), is_full=True)
        elif reply.view_version:
            updates = decode_units(reply)
            self._view.apply_units(AssignmentVersion(reply.view_version), updates)
            self._track_moving_units(updates, is_full=False)
        if reply.HasField("rules_text"):
            self._apply_rules(reply)
        for suspect in reply.suspects:
            self._apply_suspect(suspect)
        if reply.sequence:
            self._apply_lease(reply)

    def _apply_rules(self, reply: SyncReply) -> None:
        version = RulesVersion(reply.rules_version)
        if version <= self._view.rules_version:
            return
        if not self._apply_rules_document(RulesDocument(version, reply.rules_text)):
            return
        self._view.apply_rules(version)
        # Confirm the version at once instead of with the next heartbeat.
        self._request_due.set()

    def _apply_lease(self, reply: SyncReply) -> None:
        sent_ms = self._sent_ms.get(reply.sequence)
        for sequence in [s for s in self._sent_ms if s <= reply.sequence]:
            del self._sent_ms[sequence]
        self._resolve_reply_waiters(reply.sequence)
        if sent_ms is None or not reply.routing_lease_ms or self._is_leaving:
            return
        self._view.set_pending_lease(
            sent_ms + reply.routing_lease_ms,
            Term(reply.term),
            AssignmentVersion(reply.assignment_version),
            RulesVersion(reply.rules_version),
        )

    def _resolve_reply_waiters(self, sequence: int) -> None:
        """Resolve the futures that wait for a reply to this request or earlier ones."""
        for replied in [s for s in self._reply_waiters if s <= sequence]:
            waiter = self._reply_waiters.pop(replied)
            if not waiter.done():
                waiter.set_result(None)

    def _reset_stream_state(self) -> None:
        self._sent_ms.clear()
        if self._is_leaving:
            self._resolve_reply_waiters(self._sequence)
        for waiter in self._reply_waiters.values():
            if not waiter.done():
                waiter.set_exception(ConnectionError("the stream has ended"))
                # Avoids a warning of asyncio if the waiter has timed out already.
                waiter.exception()
        self._reply_waiters.clear()

    def _apply_suspect(self, suspect: Suspect) -> None:
        self._suspects.apply_update(suspect)
        self._suspect_updates.on_next(suspect)

    def _known_suspects(self) -> list[Suspect]:
        """Return all suspects, with the remaining time of their probation runs."""
        return self._permits.with_time_left(
            self._suspects.all_suspects(), self._clock()
        )

    def _track_moving_units(self, updates: Sequence[UnitUpdate], is_full: bool) -> None:
        """Track moving units, and report those without requests in flight."""
        if is_full:
            self._moving_epochs.clear()
        for update in updates:
            key = (update.service, update.unit.unit)
            if update.unit.state is not UnitState.MOVING:
                self._moving_epochs.pop(key, None)
                continue
            self._moving_epochs[key] = update.unit.epoch
            self._report_if_drained(key)

    def _report_if_drained(self, key: tuple[ServiceName, UnitId]) -> None:
        epoch = self._moving_epochs.get(key)
        if epoch is None or not self._in_flight.is_drained(*key):
            return
        self._unreported_drained.append(
            peer_pb2.UnitRef(service=key[0], unit=key[1], epoch=epoch)
        )
        self._request_due.set()


def _end_reason(done: Iterable[asyncio.Task[str]]) -> str:
    """Return why a stream ended, from the tasks that have ended so far.

    A write that timed out cancels the gRPC call, which then raises ``CancelledError``
    in the task that reads replies although nobody has cancelled that task.
    """
    reason = "the stream was cancelled"
    for task in done:
        if task.cancelled():
            continue
        error = task.exception()
        if error is None:
            return task.result()
        log_event("coordinator_stream_failed", error=repr(error))
        reason = repr(error)
    return reason

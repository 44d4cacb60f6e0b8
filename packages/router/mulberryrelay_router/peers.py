"""Connections between routers: the gRPC server, and the stream to the coordinator.

The peer task keeps a stream to whoever holds the lease row. It applies what the
coordinator publishes to the view, and its heartbeats renew the routing lease.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
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
    Address,
    RouterList,
    RouterRules,
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
from .peerviews import assignment_of, server_entry, updates_of
from .suspects import SuspectList
from .view import RoutingView

# Pause before the next attempt to reach the coordinator. The routing lease runs on
# meanwhile, with at least BRIDGE left.
RECONNECT_PAUSE_MS = 20.0
# Period in which the holder of the lease is compared with the peer of a stream that is
# silent. The routing lease is short by the time that a takeover shows in the lease row.
HOLDER_PERIOD_MS = 20.0
# Heartbeats without a reply after which the stream is given up.
SILENT_HEARTBEATS = 3
COUNT_PERIOD_MS = 1000.0
CALL_TIMEOUT_S = 0.5
LEAVE_TIMEOUT_S = 0.5


FindPeers = Callable[[], Awaitable[Sequence[Address]]]
"""Returns routers that may be the coordinator, without their boot ids."""


class PeerTask:
    """The stream to the coordinator; also the ``PeerLink`` of the request path.

    ``holder`` returns the holder of the coordinator lease as last read. ``apply_rules``
    returns whether a version of the rules is in use in this process now. ``find_peers``
    returns routers to ask while the store does not tell which one is the coordinator.
    """

    def __init__(
        self,
        options: Options,
        me: Address,
        holder: Callable[[], Address | None],
        view: RoutingView,
        in_flight: InFlight,
        channels: PeerChannels,
        take_counts: Callable[[], Sequence[UnitCount]],
        apply_rules: Callable[[RulesDocument], bool],
        clock: Clock,
        find_peers: FindPeers | None = None,
    ) -> None:
        self._options = options
        self._me = me
        self._holder = holder
        self._find_peers = find_peers
        self._untried: list[Address] = []
        self._followed: Address | None = None
        self._view = view
        self._in_flight = in_flight
        self._channels = channels
        self._take_counts = take_counts
        self._clock = clock
        self._sequence = 0
        self._started_ms: dict[int, float] = {}
        self._waiters: dict[int, asyncio.Future[None]] = {}
        self._moving: dict[tuple[ServiceName, UnitId], Epoch] = {}
        self._drained: list[peer_pb2.UnitRef] = []
        self._reports: list[Suspect] = []
        self._suspects = SuspectList()
        self._probations: dict[str, float] = {}
        self._counted_ms = clock()
        self._apply_document = apply_rules
        self._woken = asyncio.Event()
        self._is_leaving = False
        self._is_connected = False
        self._silence_ms = SILENT_HEARTBEATS * options.timing.heartbeat_ms
        self._suspect_updates: Subject[Suspect] = Subject()
        in_flight.drained.subscribe(self._note_drained)

    @property
    def suspect_updates(self) -> Observable[Suspect]:
        """Emits each suspect that the coordinator has changed."""
        return self._suspect_updates

    async def report_suspects(
        self, suspects: Sequence[Suspect], timeout_ms: float
    ) -> bool:
        """Report suspects; return whether the coordinator confirmed in time."""
        self._reports += suspects
        sequence = self._sequence + 1
        confirmed = self._waiters.setdefault(
            sequence, asyncio.get_running_loop().create_future()
        )
        self._woken.set()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await asyncio.shield(confirmed)
        except (TimeoutError, ConnectionError):
            return False
        return True

    async def probation(self, request: ProbationRequest) -> ProbationReply | None:
        """Ask for a permit or report a result; None if no reply arrived."""
        holder = self._coordinator()
        if holder is None:
            return None
        started_ms = self._clock()
        try:
            reply: ProbationReply = await self._channels.stub(holder).Probation(
                request, timeout=CALL_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            return None
        self._note_probation(request, reply, started_ms)
        return reply

    async def notify_rules(self, version: RulesVersion) -> None:
        """Tell the coordinator that a rule file was committed."""
        holder = self._coordinator()
        if holder is None:
            return
        try:
            await self._channels.stub(holder).RulesChanged(
                peer_pb2.RulesNotice(rules_version=version), timeout=CALL_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            # The coordinator reads the row periodically too.
            pass

    async def routers(self) -> RouterList | None:
        """Return the routers as the coordinator knows them, or None if unreachable."""
        holder = self._coordinator()
        if holder is None:
            return None
        try:
            reply = await self._channels.stub(holder).Routers(
                peer_pb2.RoutersRequest(), timeout=CALL_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            return None
        routers = [
            RouterRules(
                InstanceId(router.instance),
                RulesVersion(router.applied_rules_version),
                router.lease_left_ms,
            )
            for router in reply.routers
        ]
        return RouterList(routers, reply.complete)

    async def run(self) -> None:
        """Keep a stream to the coordinator until this router has left."""
        while not self._is_leaving:
            holder = self._holder()
            if holder is not None:
                await self._try(holder)
            if not self._view.has_lease() and not self._is_leaving:
                await self._try_next_peer()
            await asyncio.sleep(RECONNECT_PAUSE_MS / 1000)

    async def leave(self) -> None:
        """Give the routing lease up, after all requests have ended."""
        self._is_leaving = True
        self._view.revoke_lease()
        sequence = self._sequence + 1
        confirmed = self._waiters.setdefault(
            sequence, asyncio.get_running_loop().create_future()
        )
        self._woken.set()
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await confirmed
        except (TimeoutError, ConnectionError):
            pass

    def _coordinator(self) -> Address | None:
        """Return the router that answers as coordinator, or the holder as last read."""
        return self._followed if self._is_connected else self._holder()

    async def _try(self, address: Address) -> None:
        """Follow a router for as long as it is the coordinator."""
        self._followed = address
        reason = await self._follow(address)
        if self._is_connected:
            log_event("coordinator_disconnected", peer=address.instance, why=reason)
            # Addresses that were found before may be of other processes by now.
            self._untried = []
        self._is_connected = False

    async def _try_next_peer(self) -> None:
        """Try a router that may be the coordinator, since the store tells of none.

        A router that is not the coordinator refuses the stream. One that is issues
        routing leases under its own lease, whoever asks.
        """
        if self._find_peers is None:
            return
        if not self._untried:
            self._untried = list(await self._find_peers())
        if self._untried:
            await self._try(self._untried.pop(0))

    async def _follow(self, holder: Address) -> str:
        """Run one stream; return why it ended."""
        async with open_channel(holder) as channel:
            stream = open_stub(channel).Sync()
            # The one that ends first tells why the stream is of no use any more. A peer
            # that is stopped can hold up both reading and writing.
            tasks = [
                asyncio.create_task(self._read(stream)),
                asyncio.create_task(self._write(stream)),
                asyncio.create_task(self._watch_holder(holder)),
            ]
            try:
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                return done.pop().result()
            finally:
                for task in tasks:
                    task.cancel()
                stream.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                self._end_stream()

    async def _watch_holder(self, holder: Address) -> str:
        """Return once another holder of the lease was read than at the beginning."""
        heartbeat_ms = self._options.timing.heartbeat_ms
        known = self._holder()
        while self._holder() in (known, holder):
            is_silent = len(self._started_ms) > 1
            period_ms = HOLDER_PERIOD_MS if is_silent else heartbeat_ms
            await asyncio.sleep(period_ms / 1000)
        return "the lease has another holder"

    async def _write(self, stream: Any) -> str:
        """Send heartbeats until the stream is of no use any more."""
        # The full view that begins each stream brings up all moving units again.
        self._drained = []
        is_first = True
        try:
            while len(self._started_ms) <= SILENT_HEARTBEATS:
                self._woken.clear()
                request = self._next_request(is_first)
                is_first = False
                # The lease counts from before the request is sent.
                self._started_ms[request.sequence] = self._clock()
                async with asyncio.timeout(self._silence_ms / 1000):
                    await stream.write(request)
                if request.leaving:
                    await stream.done_writing()
                    # The peer ends the stream once it has taken the request in.
                    await asyncio.sleep(LEAVE_TIMEOUT_S)
                    return "leaving"
                await self._wait_for_work()
        except grpc.aio.AioRpcError as error:
            return str(error.details())
        except asyncio.InvalidStateError:
            return "ended before a request was written"
        except TimeoutError:
            pass
        return "no reply"

    async def _wait_for_work(self) -> None:
        """Wait until a request is due."""
        try:
            async with asyncio.timeout(self._options.timing.heartbeat_ms / 1000):
                await self._woken.wait()
        except TimeoutError:
            pass

    def _next_request(self, is_first: bool) -> SyncRequest:
        self._sequence += 1
        drained, self._drained = self._drained, []
        suspects, self._reports = self._reports, []
        if is_first:
            # A new coordinator knows no suspects yet. Reports whose confirmation was
            # lost with the former one are among those known here.
            suspects = self._known_suspects() + suspects
        for suspect in suspects:
            self._suspects.note(suspect)
        request = SyncRequest(
            sequence=self._sequence,
            term=self._view.term,
            applied_rules_version=self._view.rules_version,
            drained=drained,
            counts=self._due_counts(),
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

    def _due_counts(self) -> list[peer_pb2.UnitCount]:
        now_ms = self._clock()
        if now_ms < self._counted_ms + COUNT_PERIOD_MS:
            return []
        self._counted_ms = now_ms
        return [
            peer_pb2.UnitCount(
                service=count.service,
                unit=count.unit,
                requests=count.requests,
                key=count.key or "",
            )
            for count in self._take_counts()
        ]

    async def _read(self, stream: Any) -> str:
        """Apply replies until the stream ends; return why it ended."""
        try:
            async for reply in stream:
                if reply.term < self._view.term:
                    return "an older term"
                self._apply(reply)
        except grpc.aio.AioRpcError as error:
            return str(error.details())
        return "ended by the peer"

    def _apply(self, reply: SyncReply) -> None:
        """Apply one message; the lease comes last, as it depends on the versions."""
        self._is_connected = True
        if reply.servers:
            self._view.apply_servers([server_entry(s) for s in reply.servers])
        if reply.full:
            self._view.apply_assignment(Term(reply.term), assignment_of(reply))
            log_event("view_received", term=reply.term, version=reply.view_version)
            self._note_units(updates_of(reply), is_full=True)
        elif reply.view_version:
            updates = updates_of(reply)
            self._view.apply_units(AssignmentVersion(reply.view_version), updates)
            self._note_units(updates, is_full=False)
        if reply.HasField("rules_text"):
            self._apply_rules(reply)
        for suspect in reply.suspects:
            self._note_suspect(suspect)
        if reply.sequence:
            self._apply_lease(reply)

    def _apply_rules(self, reply: SyncReply) -> None:
        version = RulesVersion(reply.rules_version)
        if version <= self._view.rules_version:
            return
        if not self._apply_document(RulesDocument(version, reply.rules_text)):
            return
        self._view.apply_rules(version)
        # Confirms the version without waiting for the next heartbeat.
        self._woken.set()

    def _apply_lease(self, reply: SyncReply) -> None:
        started_ms = self._started_ms.get(reply.sequence)
        for sequence in [s for s in self._started_ms if s <= reply.sequence]:
            del self._started_ms[sequence]
        self._confirm(reply.sequence)
        if started_ms is None or not reply.routing_lease_ms or self._is_leaving:
            return
        self._view.offer_lease(
            started_ms + reply.routing_lease_ms,
            Term(reply.term),
            AssignmentVersion(reply.assignment_version),
            RulesVersion(reply.rules_version),
        )

    def _confirm(self, sequence: int) -> None:
        """Wake those who wait for a reply up to this sequence."""
        for waited in [s for s in self._waiters if s <= sequence]:
            waiter = self._waiters.pop(waited)
            if not waiter.done():
                waiter.set_result(None)

    def _end_stream(self) -> None:
        self._started_ms.clear()
        if self._is_leaving:
            self._confirm(self._sequence)
        for waiter in self._waiters.values():
            if not waiter.done():
                waiter.set_exception(ConnectionError("the stream has ended"))
                # A waiter that timed out does not look at it.
                waiter.exception()
        self._waiters.clear()

    def _note_suspect(self, suspect: Suspect) -> None:
        self._suspects.note(suspect)
        self._suspect_updates.on_next(suspect)

    def _known_suspects(self) -> list[Suspect]:
        """Return all suspects, with the time left of runs under probation."""
        now_ms = self._clock()
        found = []
        for known in self._suspects.known():
            suspect = Suspect()
            suspect.CopyFrom(known)
            until_ms = self._probations.get(suspect.fingerprint, now_ms)
            suspect.probation_ms = max(0, int(until_ms - now_ms))
            found.append(suspect)
        return found

    def _note_probation(
        self, request: ProbationRequest, reply: ProbationReply, started_ms: float
    ) -> None:
        """Remember the permit for as long as its run may last."""
        if reply.permitted:
            until_ms = started_ms + request.deadline_ms
            self._probations[request.fingerprint] = until_ms
        elif request.result != peer_pb2.PROBATION_RESULT_UNSPECIFIED:
            self._probations.pop(request.fingerprint, None)

    def _note_units(self, updates: Sequence[UnitUpdate], is_full: bool) -> None:
        """Confirm moving units that are drained already, and remember the others."""
        if is_full:
            self._moving.clear()
        for update in updates:
            key = (update.service, update.unit.unit)
            if update.unit.state is not UnitState.MOVING:
                self._moving.pop(key, None)
                continue
            self._moving[key] = update.unit.epoch
            self._note_drained(key)

    def _note_drained(self, key: tuple[ServiceName, UnitId]) -> None:
        epoch = self._moving.get(key)
        if epoch is None or not self._in_flight.is_drained(*key):
            return
        self._drained.append(peer_pb2.UnitRef(service=key[0], unit=key[1], epoch=epoch))
        self._woken.set()

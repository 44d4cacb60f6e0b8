"""The coordinator's records of routers.

A session records until when a router may have a routing lease, which moving units it
has drained, and the messages queued for its ``Sync`` stream.
"""

import asyncio

import msgspec

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import (
    BootId,
    DataCentre,
    Epoch,
    InstanceId,
    RulesVersion,
    ServiceName,
    UnitId,
)
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import RouterAddress
from mulberryrelay_kernel.peerproto.peer_pb2 import SyncReply, SyncRequest, UnitCount

# Limit of the messages queued for a router; beyond it, its stream is ended. A router
# that reads so slowly has lost its routing lease long before.
MAX_QUEUED_REPLIES = 4096


class DrainedUnit(msgspec.Struct, frozen=True):
    """A moving unit for which a router has no requests in flight."""

    service: ServiceName
    unit: UnitId
    epoch: Epoch


class RouterSession:
    """One router process; kept after its stream until its lease has expired."""

    def __init__(self, address: RouterAddress) -> None:
        self._address = address
        self._latest_expiry_ms = 0.0
        self._drained: set[DrainedUnit] = set()
        self._rules_version = RulesVersion(0)
        self._counts: list[UnitCount] = []
        self._queue: asyncio.Queue[SyncReply | None] | None = None

    @property
    def address(self) -> RouterAddress:
        return self._address

    @property
    def latest_expiry_ms(self) -> float:
        """Latest possible expiry of the router's lease, on the coordinator's clock."""
        return self._latest_expiry_ms

    @property
    def rules_version(self) -> RulesVersion:
        """Version of the rules that the router has confirmed."""
        return self._rules_version

    @property
    def is_connected(self) -> bool:
        return self._queue is not None

    def connect(self) -> asyncio.Queue[SyncReply | None]:
        """Start a stream; return the queue of its replies."""
        self._queue = asyncio.Queue()
        return self._queue

    def disconnect(self, queue: asyncio.Queue[SyncReply | None]) -> None:
        """End a stream, unless another one has replaced it."""
        if self._queue is queue:
            self._queue = None

    def push(self, reply: SyncReply) -> None:
        """Queue a message for the router; end its stream if the queue is full."""
        if self._queue is None:
            return
        if self._queue.qsize() >= MAX_QUEUED_REPLIES:
            self.end_stream()
            self._queue = None
            return
        self._queue.put_nowait(reply)

    def end_stream(self) -> None:
        """End the current stream."""
        if self._queue is not None:
            self._queue.put_nowait(None)

    def is_current_stream(self, queue: asyncio.Queue[SyncReply | None]) -> bool:
        """Return whether the queue belongs to the current stream."""
        return self._queue is queue

    def record_lease(self, expiry_ms: float) -> None:
        """Record a lease that is about to be sent and expires by ``expiry_ms``."""
        self._latest_expiry_ms = max(self._latest_expiry_ms, expiry_ms)

    def record_request(self, request: SyncRequest, is_current_term: bool) -> None:
        """Record the rules version, counts and drained units that a router reports."""
        self._rules_version = RulesVersion(request.applied_rules_version)
        if request.counts:
            self._counts.extend(request.counts)
        if not is_current_term:
            return
        for drained in request.drained:
            self._drained.add(
                DrainedUnit(
                    ServiceName(drained.service),
                    UnitId(drained.unit),
                    Epoch(drained.epoch),
                )
            )

    def pop_counts(self) -> list[UnitCount]:
        """Return and clear the router's request counts by unit since the last call."""
        counts = self._counts
        self._counts = []
        return counts

    def has_drained(self, unit: DrainedUnit) -> bool:
        """Return whether the router has confirmed the unit as drained."""
        return unit in self._drained

    def discard_drained(self, unit: DrainedUnit) -> None:
        """Discard the router's confirmation for a move that has ended."""
        self._drained.discard(unit)


class RouterSessions:
    """All routers that may hold a routing lease of this term."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sessions: dict[tuple[InstanceId, BootId], RouterSession] = {}

    @property
    def all(self) -> list[RouterSession]:
        """Sessions of all routers that may hold a routing lease of this term."""
        return list(self._sessions.values())

    @property
    def connected(self) -> list[RouterSession]:
        """Sessions that have a stream."""
        return [s for s in self._sessions.values() if s.is_connected]

    def open(self, request: SyncRequest) -> RouterSession:
        """Return the session of the router that sent the first request of a stream."""
        address = RouterAddress(
            InstanceId(request.instance),
            BootId(request.boot_id),
            DataCentre(request.data_centre),
            request.host,
            request.peer_port,
        )
        key = (address.instance, address.boot_id)
        session = self._sessions.get(key)
        if session is None:
            session = RouterSession(address)
            self._sessions[key] = session
            log_event("router_joined", router=address.instance)
        return session

    def remove(self, session: RouterSession) -> None:
        """Remove a router that has given up its routing lease."""
        address = session.address
        if self._sessions.pop((address.instance, address.boot_id), None):
            log_event("router_left", router=address.instance)

    def close(self) -> None:
        """End all streams."""
        for session in self.connected:
            session.end_stream()

    def have_drained(self, unit: DrainedUnit) -> bool:
        """Return whether no router may send requests for the moving unit any more.

        True if each router has confirmed that the unit is drained, or its routing lease
        has expired.
        """
        now_ms = self._clock()
        return all(
            session.has_drained(unit) or session.latest_expiry_ms <= now_ms
            for session in self._sessions.values()
        )

    def discard_drained(self, unit: DrainedUnit) -> None:
        """Discard all confirmations for a move that has ended."""
        for session in self._sessions.values():
            session.discard_drained(unit)

    def pop_counts(self) -> list[UnitCount]:
        """Return and clear the request counts of all routers since the last call."""
        return [c for session in self._sessions.values() for c in session.pop_counts()]

    def drop_expired(self) -> None:
        """Remove disconnected routers whose leases have expired."""
        now_ms = self._clock()
        for session in list(self._sessions.values()):
            if session.is_connected or session.latest_expiry_ms > now_ms:
                continue
            log_event("router_lost", router=session.address.instance)
            self.remove(session)

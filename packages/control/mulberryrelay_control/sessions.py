"""Routers as the coordinator knows them: routing leases issued and views confirmed."""

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
from mulberryrelay_kernel.messages import Address
from mulberryrelay_kernel.peerproto.peer_pb2 import SyncReply, SyncRequest, UnitCount

# A router that reads this slowly has lost its routing lease long before.
QUEUE_LENGTH = 4096


class DrainedUnit(msgspec.Struct, frozen=True):
    """A moving unit for which a router has no request in flight."""

    service: ServiceName
    unit: UnitId
    epoch: Epoch


class RouterSession:
    """One router process; outlives its stream until its routing lease has expired."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._latest_expiry_ms = 0.0
        self._drained: set[DrainedUnit] = set()
        self._rules_version = RulesVersion(0)
        self._counts: list[UnitCount] = []
        self._queue: asyncio.Queue[SyncReply | None] | None = None

    @property
    def address(self) -> Address:
        return self._address

    @property
    def latest_expiry_ms(self) -> float:
        """Latest time at which the router's lease may expire, on the own clock."""
        return self._latest_expiry_ms

    @property
    def rules_version(self) -> RulesVersion:
        """Version of the rules that the router has confirmed."""
        return self._rules_version

    @property
    def is_connected(self) -> bool:
        return self._queue is not None

    def connect(self) -> asyncio.Queue[SyncReply | None]:
        """Begin a stream; return the queue of its replies."""
        self._queue = asyncio.Queue()
        return self._queue

    def disconnect(self, queue: asyncio.Queue[SyncReply | None]) -> None:
        """End a stream, unless another one has replaced it."""
        if self._queue is queue:
            self._queue = None

    def push(self, reply: SyncReply) -> None:
        """Queue a message for the router."""
        if self._queue is None:
            return
        if self._queue.qsize() >= QUEUE_LENGTH:
            self.end_stream()
            self._queue = None
            return
        self._queue.put_nowait(reply)

    def end_stream(self) -> None:
        """End the present stream."""
        if self._queue is not None:
            self._queue.put_nowait(None)

    def owns(self, queue: asyncio.Queue[SyncReply | None]) -> bool:
        """Return whether the queue belongs to the present stream."""
        return self._queue is queue

    def note_lease(self, expiry_ms: float) -> None:
        """Record a lease that is about to be sent and may last until ``expiry_ms``."""
        self._latest_expiry_ms = max(self._latest_expiry_ms, expiry_ms)

    def note_request(self, request: SyncRequest, is_current_term: bool) -> None:
        """Record what the router has applied and drained."""
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

    def take_counts(self) -> list[UnitCount]:
        """Return the requests by unit that the router counted since the last call."""
        counts = self._counts
        self._counts = []
        return counts

    def has_drained(self, unit: DrainedUnit) -> bool:
        """Return whether the router has confirmed the unit as drained."""
        return unit in self._drained

    def forget_drained(self, unit: DrainedUnit) -> None:
        """Drop the confirmation of a move that has ended."""
        self._drained.discard(unit)


class RouterSessions:
    """All routers that may hold a routing lease of this term."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sessions: dict[tuple[InstanceId, BootId], RouterSession] = {}

    @property
    def all(self) -> list[RouterSession]:
        """Routers that may hold a routing lease of this term."""
        return list(self._sessions.values())

    @property
    def connected(self) -> list[RouterSession]:
        """Routers with a stream."""
        return [s for s in self._sessions.values() if s.is_connected]

    def open(self, request: SyncRequest) -> RouterSession:
        """Return the session of the router that sent the first request of a stream."""
        address = Address(
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
        """Forget a router that has given up its routing lease."""
        address = session.address
        if self._sessions.pop((address.instance, address.boot_id), None):
            log_event("router_left", router=address.instance)

    def close(self) -> None:
        """End all streams."""
        for session in self.connected:
            session.end_stream()

    def have_drained(self, unit: DrainedUnit) -> bool:
        """Return whether no router may send requests for the moving unit.

        Each router has confirmed that the unit is drained, or its lease has expired.
        """
        now_ms = self._clock()
        return all(
            session.has_drained(unit) or session.latest_expiry_ms <= now_ms
            for session in self._sessions.values()
        )

    def forget_drained(self, unit: DrainedUnit) -> None:
        """Drop the confirmations of a move that has ended."""
        for session in self._sessions.values():
            session.forget_drained(unit)

    def take_counts(self) -> list[UnitCount]:
        """Return the counts of all routers since the last call."""
        return [c for session in self._sessions.values() for c in session.take_counts()]

    def drop_expired(self) -> None:
        """Forget disconnected routers whose leases have expired."""
        now_ms = self._clock()
        for session in list(self._sessions.values()):
            if session.is_connected or session.latest_expiry_ms > now_ms:
                continue
            log_event("router_lost", router=session.address.instance)
            self.remove(session)

"""The leader lease: at most one router at a time sends commands about keys to servers.

The lease is a row in the store and expires by the store's clock. The lease holder
compares the expiry with an upper bound of that clock, derived from the time at which it
started a call to the store. So it stops before any other router can observe that the
lease has expired.

A store that was restored from an older copy may have lost the last lease. Whoever holds
it writes it again; any other router first waits until it must have expired.
"""

import asyncio

import msgspec
from reactivex.subject import Subject
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import InstanceId
from mulberryrelay_kernel.logs import log_event

from .leaserow import LEADER_TABLE, LEASE_KEY, find_lease
from .leasewatch import LeaseWatch, wait_for_event
from .messages import LeaderNoticeRow, LeaderRow
from .ownership import LEADER_NOTICE_KEY, RANGES_TABLE, Ownership
from .serverreach import ServerReach
from .storeversion import restores_of
from .tablestore import (
    Committed,
    RowCondition,
    RowWrite,
    TableFailure,
    TableRead,
    TableStore,
)
from .unreachableservers import UnreachableServers

LEASE_MS = 3000.0
"""TTL of the lease."""
RENEW_MS = 900.0
"""Period in which the leader renews its lease."""
RETRY_MS = 150.0
"""Pause before a failed renewal is retried."""
SEND_MARGIN_MS = 1000.0
"""Time by which the lease has to outlast the write of a command.

The next leader waits less then for commands that are still on their way.
"""
SENDABLE_POLL_S = 0.03
"""Period in which ``wait_sendable`` checks the lease."""
RELEASED_EXPIRES_MS = 0.0
"""Expiry that marks a lease as released by its holder, at an unknown time."""
SLOW_RENEWAL_MS = 150.0
"""Duration of a renewal above which rebalancing is paused."""
LATE_RENEWAL_MS = 300.0
"""Time without a reply after which a renewal is treated as failing."""
LOST_RENEWAL_MS = 700.0
"""Time without a reply after which the store is treated as unreachable."""
UNINFORMED_DELAY_MS = 1000.0
"""Time that a router without ranges of before a restore leaves the lease to others.

Those serve keys sooner, as they know the owners.
"""
MARGIN_MS = 100.0
"""Added to a lease's expiry before takeover, as clocks may run at different speeds."""


class TermEndedError(Exception):
    """Raised when this process is no longer the leader."""


class LeaderLease:
    """Acquires and renews the leader lease, or watches it while another holds it."""

    def __init__(
        self,
        store: TableStore,
        ownership: Ownership,
        instance: InstanceId,
        boot_id: str,
        link_url: str,
        reach: ServerReach,
        clock: Clock,
    ) -> None:
        """The lease is neither kept nor taken while ``reach`` reaches no server."""
        self._store = store
        self._ownership = ownership
        self._instance = instance
        self._boot_id = boot_id
        self._link_url = link_url
        self._clock = clock
        self._unreachable_servers = UnreachableServers(clock)
        self._renew_event = asyncio.Event()
        """Set when the lease has to be renewed before its next period."""
        self._row: LeaderRow | None = None
        """The lease row of the current term; None while this process does not lead."""
        self._version = 0
        self._valid_until_ms = float("-inf")
        """Expiry of the lease on this process's clock."""
        self._clock_offset_ms = 0.0
        """Upper bound of the store's clock minus this process's clock."""
        self._previous_leader_end_ms = float("-inf")
        self._has_renewal_failed = False
        self._renewal_duration_ms = 0.0
        """Duration of the last renewal."""
        self._stored_ms = float("-inf")
        """Start time of the last call that certainly stored the lease."""
        self._renewal_started_ms = float("inf")
        """Start time of the renewal in progress; infinity if there is none."""
        self._is_leaving = False
        self._is_released = False
        """Whether the lease of the current term is released, or being released."""
        self._reach = reach
        self._handover: asyncio.Task[None] | None = None
        self._writing = asyncio.Lock()
        """Held while the lease is written by its holder."""
        self._restores = 0
        """How often the store was restored, as last observed."""
        self._restored_ms = float("-inf")
        """Time at which that number was first observed; infinitely long ago if 0."""
        self._write_count = 0
        self._watch = LeaseWatch(ownership, clock)
        self._changes: Subject[bool] = Subject()
        self._restored: Subject[None] = Subject()
        reach.changes.subscribe(self._on_reach_change)

    @property
    def changes(self) -> Subject[bool]:
        """Emits True when a term begins and False when it ends."""
        return self._changes

    @property
    def restores(self) -> int:
        """How often the store was restored, as last observed."""
        return self._restores

    @property
    def restored(self) -> Subject[None]:
        """Emits when the lease is stored again after a restore of the store."""
        return self._restored

    @property
    def unreachable_servers(self) -> UnreachableServers:
        """The servers that the lease lists as unreachable."""
        return self._unreachable_servers

    @property
    def term(self) -> int:
        """Number of this process's current term; 0 while it does not lead."""
        return self._row.term if self._row is not None else 0

    @property
    def is_valid(self) -> bool:
        """Whether the lease is held and not expired."""
        return self._clock() < self._valid_until_ms

    @property
    def may_send(self) -> bool:
        """Whether commands may be sent: the lease outlasts their way to a server."""
        return self._clock() + SEND_MARGIN_MS < self._valid_until_ms

    @property
    def is_held(self) -> bool:
        """Whether this process's term has not ended.

        The lease may have expired temporarily; sending commands requires ``may_send``.
        """
        return self._row is not None and not self._is_ending

    @property
    def _is_ending(self) -> bool:
        """Whether the lease may not become valid again in the current term."""
        return self._is_leaving or self._is_released

    @property
    def stored_ms(self) -> float:
        """Start time of the last call to the store that certainly stored the lease."""
        return self._stored_ms

    @property
    def is_renewal_late(self) -> bool:
        """Whether the last renewal failed, or the current one is late."""
        waited_ms = self._clock() - self._renewal_started_ms
        return self._has_renewal_failed or waited_ms > LATE_RENEWAL_MS

    @property
    def is_store_unresponsive(self) -> bool:
        """Whether the store seems unreachable, so that its changes may be missed."""
        waited_ms = self._clock() - self._renewal_started_ms
        return self._has_renewal_failed or waited_ms > LOST_RENEWAL_MS

    @property
    def is_store_slow(self) -> bool:
        """Whether the store is so slow that rebalancing has to wait."""
        return self.is_renewal_late or self._renewal_duration_ms > SLOW_RENEWAL_MS

    async def wait_sendable(self) -> None:
        """Wait until commands may be sent.

        Raises:
            TermEndedError: the term has ended.
        """
        while not self.may_send:
            if not self.is_held:
                raise TermEndedError
            await asyncio.sleep(SENDABLE_POLL_S)

    @property
    def previous_leader_end_ms(self) -> float:
        """Latest time at which an earlier leader may have sent a command."""
        return self._previous_leader_end_ms

    async def run(self) -> None:
        """Acquire the lease whenever it is free, and renew it while it is held."""
        while not self._is_leaving:
            if self._row is None:
                await self._check_lease()
                continue
            await self._renew()

    async def release(self) -> None:
        """Release the lease for good, so that another router takes over at once."""
        self._is_leaving = True
        await self._release()

    def _on_reach_change(self, is_cut_off: bool) -> None:
        if is_cut_off and self.is_valid:
            log_event("leader_cut_off", term=self.term)
            self._handover = asyncio.create_task(self._hand_over())

    async def _hand_over(self) -> None:
        """Release the lease and watch it, as its commands reach no server any more."""
        term = self.term
        await self._release()
        if self.term == term:
            self._row = None

    async def _release(self) -> None:
        row = self._row
        if row is None or not self.is_valid:
            return
        self._is_released = True
        self._valid_until_ms = float("-inf")
        self._changes.on_next(False)
        # A renewal that is on its way changes the version of the row.
        async with self._writing:
            await self._write_released(self._row or row)

    async def _write_released(self, row: LeaderRow) -> None:
        released = LeaderRow(
            row.term,
            row.holder,
            row.boot_id,
            RELEASED_EXPIRES_MS,
            self._next_write_id(),
            self._unreachable_servers.rows(self._clock_offset_ms),
            row.restores,
        )
        notice = LeaderNoticeRow(row.term, "")
        result = await self._write_lease(released, notice)
        if isinstance(result, Success):
            log_event("leader_released", term=row.term)
            return
        reason = result.failure().value
        log_event("leader_release_failed", term=row.term, reason=reason)

    def step_down(self, reason: str) -> None:
        """End the term without writing to the store.

        The lease expires there before any router can acquire it again, so a term after
        this one treats the grants of this one like those of any earlier leader.
        """
        if self._row is not None:
            self._end_term(reason)

    def renew_soon(self) -> None:
        """Renew the lease now, because its contents have changed."""
        self._renew_event.set()

    def check_soon(self) -> None:
        """Read the lease as soon as it may be free, because the leader may be gone."""
        self._watch.check_soon()

    async def _check_lease(self) -> None:
        """Read the lease, acquire it if it is free, otherwise wait."""
        started_ms = self._clock()
        result = await self._store.read(LEADER_TABLE)
        if isinstance(result, Success):
            read = result.unwrap()
            self._record_restores(read.version)
            self._clock_offset_ms = read.store_ms - started_ms
            if await self._acquire_if_free(read):
                return
        await self._watch.wait()

    async def _acquire_if_free(self, read: TableRead) -> bool:
        stored = find_lease(read)
        if stored is None or self._reach.is_cut_off:
            return False
        previous = stored.row
        now_ms = self._clock()
        is_outdated = previous.restores < self._restores
        if is_outdated:
            # The store lost later leases. The last one was stored before the restore.
            lost_lease_end_ms = self._restored_ms + LEASE_MS
            free_from_ms = lost_lease_end_ms + MARGIN_MS
            if not self._ownership.has_ranges_before(self._restores):
                free_from_ms += UNINFORMED_DELAY_MS
            self._watch.set_free_from(free_from_ms)
            if now_ms < free_from_ms:
                return False
            previous = msgspec.structs.replace(
                previous, expires_ms=RELEASED_EXPIRES_MS, unreachable=()
            )
        elif previous.expires_ms + MARGIN_MS > read.store_ms:
            left_ms = previous.expires_ms + MARGIN_MS - read.store_ms
            self._watch.set_free_from(now_ms + left_ms)
            return False
        self._version = stored.version
        expires_ms = now_ms + self._clock_offset_ms + LEASE_MS
        self._unreachable_servers.load(previous.unreachable, read.store_ms)
        acquired = LeaderRow(
            previous.term + 1,
            self._instance,
            self._boot_id,
            expires_ms,
            self._next_write_id(),
            previous.unreachable,
            self._restores,
        )
        notice = LeaderNoticeRow(acquired.term, self._boot_id, self._link_url)
        if is_outdated:
            self._previous_leader_end_ms = lost_lease_end_ms - SEND_MARGIN_MS
        elif previous.term:
            self._previous_leader_end_ms = now_ms
            if previous.expires_ms != RELEASED_EXPIRES_MS:
                expired_ms = read.store_ms - previous.expires_ms
                self._previous_leader_end_ms -= expired_ms + SEND_MARGIN_MS
        result = await self._write_lease(acquired, notice)
        if not isinstance(result, Success):
            return False
        if self._is_outdated_on_arrival(acquired, result.unwrap()):
            return False
        self._stored_ms = now_ms
        self._begin_term(acquired, result.unwrap())
        return True

    def _begin_term(self, row: LeaderRow, committed: Committed) -> None:
        self._row = row
        self._is_released = False
        self._version = committed.version
        self._valid_until_ms = row.expires_ms - self._clock_offset_ms
        self._has_renewal_failed = False
        log_event("leader_acquired", term=row.term, row_version=committed.version)
        self._changes.on_next(True)

    async def _renew(self) -> None:
        row = self._row
        assert row is not None
        pause_ms = RETRY_MS if self._has_renewal_failed else RENEW_MS
        await wait_for_event(self._renew_event, pause_ms)
        if self._is_leaving:
            return
        if not self.is_valid:
            self._end_term("expired")
            return
        async with self._writing:
            await self._write_renewal(row)

    async def _write_renewal(self, row: LeaderRow) -> None:
        if self._unreachable_servers.grant_expiries_ms:
            # Commands get no replies, perhaps because this router's links are lost.
            self._reach.suspect()
        started_ms = self._clock()
        expires_ms = started_ms + self._clock_offset_ms + LEASE_MS
        renewed = msgspec.structs.replace(
            row,
            expires_ms=expires_ms,
            write_id=self._next_write_id(),
            unreachable=self._unreachable_servers.rows(self._clock_offset_ms),
            restores=self._restores,
        )
        is_restored = renewed.restores != row.restores
        notice = LeaderNoticeRow(row.term, self._boot_id, self._link_url)
        self._renewal_started_ms = started_ms
        result = await self._write_lease(renewed, notice if is_restored else None)
        self._renewal_started_ms = float("inf")
        self._renewal_duration_ms = self._clock() - started_ms
        if self._row is not row:
            # The term ended while the renewal was on its way.
            return
        if isinstance(result, Success) and self._is_outdated_on_arrival(
            renewed, result.unwrap()
        ):
            self._version = result.unwrap().version
            self._has_renewal_failed = True
            self._renew_event.set()
            return
        if isinstance(result, Success):
            self._row = renewed
            self._stored_ms = started_ms
            self._unreachable_servers.mark_stored(renewed.unreachable)
            self._version = result.unwrap().version
            if self._is_ending:
                return
            self._valid_until_ms = expires_ms - self._clock_offset_ms
            # Not the smallest one so far: clocks run at different rates.
            self._clock_offset_ms = result.unwrap().store_ms - started_ms
            if self._has_renewal_failed:
                log_event("lease_renewal_recovered", term=row.term)
            self._has_renewal_failed = False
            if is_restored:
                log_event("lease_restored", term=row.term, restores=renewed.restores)
                self._restored.on_next(None)
            return
        if result.failure() is TableFailure.CONFLICT:
            self._end_term("taken")
            return
        if not self._has_renewal_failed and not self._is_leaving:
            log_event(
                "lease_troubled",
                term=row.term,
                reason=result.failure().value,
                left_ms=round(self._valid_until_ms - self._clock()),
            )
        self._has_renewal_failed = True

    def _end_term(self, reason: str) -> None:
        log_event("leader_lost", term=self.term, reason=reason)
        self._row = None
        self._valid_until_ms = float("-inf")
        self._has_renewal_failed = False
        if not self._is_leaving:
            self._changes.on_next(False)

    async def _write_lease(
        self, row: LeaderRow, notice: LeaderNoticeRow | None
    ) -> Result[Committed, TableFailure]:
        """Write the lease; if the reply is lost, read the row back."""
        condition = RowCondition(LEADER_TABLE, LEASE_KEY, self._version)
        writes = [RowWrite(LEADER_TABLE, LEASE_KEY, msgspec.json.encode(row))]
        if notice is not None:
            encoded = msgspec.json.encode(notice)
            writes.append(RowWrite(RANGES_TABLE, LEADER_NOTICE_KEY, encoded))
        result = await self._store.commit([condition], writes)
        if isinstance(result, Success):
            return result
        if result.failure() is TableFailure.REFUSED:
            return result
        read = await self._store.read(LEADER_TABLE)
        if not isinstance(read, Success):
            # A conflict may only show that the store was restored.
            return Failure(TableFailure.UNKNOWN)
        is_restored = self._record_restores(read.unwrap().version)
        stored = find_lease(read.unwrap())
        if stored is None:
            return result
        if is_restored and self.is_valid and stored.row.restores < self._restores:
            # Nobody has taken the lease since the restore, so it can be written again.
            self._version = stored.version
            self._renew_event.set()
            return Failure(TableFailure.UNKNOWN)
        if stored.row.write_id == row.write_id:
            return Success(Committed(stored.version, read.unwrap().store_ms))
        if stored.row.boot_id == self._boot_id and stored.row.term == self.term:
            # An earlier renewal was stored although its reply was lost.
            self._version = stored.version
            return Failure(TableFailure.UNKNOWN)
        return result

    def _is_outdated_on_arrival(self, row: LeaderRow, committed: Committed) -> bool:
        """Return whether the store was restored before it stored this lease.

        Others take such a lease for an outdated one and do not wait for its end.
        """
        self._record_restores(committed.version)
        return row.restores < self._restores

    def _record_restores(self, version: int) -> bool:
        """Record a restore of the store; return whether it is a new one."""
        restores = restores_of(version)
        if restores <= self._restores:
            return False
        self._restores = restores
        self._restored_ms = self._clock()
        return True

    def _next_write_id(self) -> str:
        self._write_count += 1
        return f"{self._boot_id}-{self._write_count}"

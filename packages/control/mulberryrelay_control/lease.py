"""The coordinator lease: leader election among routers through the platform's store.

At most one router holds the lease and is the coordinator; each takeover begins a new
term. One task per router polls the lease row, takes the lease over when it has expired
or was released, and then renews it. While the store is unreachable, the holder keeps
the lease with promises of its successors (see ``promises``).

The lease has no expiry timer. Every check of its validity reads the clock, so that a
process that was suspended finds its lease expired as soon as it resumes.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any, TypeVar

import msgspec
from reactivex import Observable
from reactivex.subject import Subject
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.clock import Clock, monotonic_ms
from mulberryrelay_kernel.ids import InstanceId, RowName, Term, WriteId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import (
    Condition,
    LeaseRow,
    RouterAddress,
    Row,
    TermRow,
    Write,
)
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.platform import Platform
from mulberryrelay_kernel.states import LeaseTransition, StoreFailure

from .conditional_write import apply_write, new_write
from .promises import NEVER_MS, CollectedPromises, GivenPromises
from .successors import choose_successors

TERM_ROW = RowName("coordinator/term")
"""Row with the current term and its holder; only written by takeovers."""
LEASE_ROW = RowName("coordinator/lease")
"""Row with the lease holder and its successors; written by each renewal."""

RequestPromise = Callable[[RouterAddress, Term, int], Awaitable[bool]]
"""Requests a promise from a successor for a term and a period in milliseconds. Returns
True only if it was given by the process with the boot id of the address."""

Value = TypeVar("Value")

NO_VERSION = -1
"""Row version before the first read. No row has it, so a condition on it fails."""


class _PendingWrite(msgspec.Struct, frozen=True):
    """A write of the lease row whose result is not known yet."""

    row: LeaseRow
    started_ms: float
    follows_release: bool = False
    """Whether it is the takeover of a row that the previous holder released."""


class CoordinatorLease:
    """Elects this process as the coordinator or follows the present lease holder.

    The lease row names up to two successors. They may take over as soon as the lease
    has expired; other routers wait for the outage cap in addition.
    """

    def __init__(
        self,
        options: Options,
        platform: Platform,
        own_address: RouterAddress,
        request_promise: RequestPromise,
        candidates: Callable[[], Sequence[RouterAddress]],
        clock: Clock = monotonic_ms,
    ) -> None:
        self._timing = options.timing
        self._platform = platform
        self._own_address = own_address
        self._request_promise = request_promise
        self._candidates = candidates
        self._clock = clock
        self._transitions: Subject[LeaseTransition] = Subject()
        self._write_lock = asyncio.Lock()
        self._is_leaving = False
        # Contents of the rows as last read or as written by an applied write.
        self._term = Term(0)
        self._holder: RouterAddress | None = None
        self._row: LeaseRow | None = None
        self._term_version = NO_VERSION
        self._lease_version = NO_VERSION
        self._row_changed_ms = float("inf")
        self._versions_are_current = False
        self._pending_writes: dict[WriteId, _PendingWrite] = {}
        self._given_promises = GivenPromises()
        # State of the term in which this process is or was the holder.
        self._is_holder = False
        self._own_term_version = NO_VERSION
        self._last_write_ms = NEVER_MS
        self._handover_wait_start_ms = NEVER_MS
        self._collected_promises = CollectedPromises()

    @property
    def term(self) -> Term:
        """Term in the last known state of the store; 0 before the first read."""
        return self._term

    @property
    def holder(self) -> RouterAddress | None:
        """Lease holder in the last known state of the store."""
        return self._holder

    @property
    def remaining_ms(self) -> float:
        """Time until the held lease expires, with promises; negative if not held."""
        if not self._is_holder:
            return -1.0
        return self._valid_until_ms() - self._clock()

    @property
    def handover_wait_start_ms(self) -> float:
        """Time on this process's clock from which the waits of a new term count.

        The new coordinator waits until everything that the previous one issued has
        expired. After the takeover of a released row, this time lies ``lease_ms`` after
        the takeover: the previous holder may have issued routing leases based on a full
        lease until it released the row.
        """
        return self._handover_wait_start_ms

    @property
    def term_condition(self) -> Condition:
        """Condition for store writes that fails once another term has begun."""
        return Condition(TERM_ROW, self._own_term_version)

    @property
    def transitions(self) -> Observable[LeaseTransition]:
        """Emits when this process acquires or loses the lease.

        Each ``ACQUIRED`` begins a new term. ``LOST`` is emitted when the task detects
        the loss, which may be later than the expiry; only ``is_held`` is exact.
        """
        return self._transitions

    def is_held(self) -> bool:
        """Return whether this process is the coordinator at this moment."""
        return self.remaining_ms > 0

    def handle_promise_request(
        self, holder: InstanceId, term: Term, period_ms: int
    ) -> bool:
        """Promise the lease holder not to take over for a period.

        Returns:
            False if the promise is refused: this process may have taken over already,
            or the request is not from the live holder of the latest known term.
        """
        received_ms = self._clock()
        if self._is_holder or self._pending_writes:
            # A takeover by this process has taken effect or may still do so.
            return False
        if term < self._term:
            return False
        if term == self._term and not self._is_live_holder(holder):
            return False
        self._given_promises.record(received_ms, period_ms + self._timing.margin_ms)
        return True

    async def run(self) -> None:
        """Acquire the lease whenever possible and renew it, until cancelled."""
        try:
            while True:
                await self._wait_for_takeover()
                await self._renew_until_lost()
        finally:
            self._end_lease("stopped")

    async def release(self) -> None:
        """Withdraw from the lease before shutdown; also works without a running task.

        A holder ends its lease at once and marks the row as released. A successor waits
        until the holder has named another one. Gives up after two promise periods,
        since the lease then expires without a release.
        """
        self._is_leaving = True
        self._end_lease("released")
        deadline_ms = self._clock() + 2 * self._timing.promise_ms
        while self._clock() < deadline_ms:
            async with self._write_lock:
                if await self._try_leave():
                    return
            await asyncio.sleep(self._timing.poll_ms / 1000)

    # Waiting for a takeover

    async def _wait_for_takeover(self) -> None:
        """Poll the rows until this process has taken the lease over."""
        while True:
            async with self._write_lock:
                if await self._poll_once():
                    return
            await asyncio.sleep(self._poll_delay_ms() / 1000)

    async def _poll_once(self) -> bool:
        """Read the rows and take over if allowed; return whether a new term began."""
        if not await self._poll_rows():
            return False
        if self._begin_term():
            return True
        if not self._is_takeover_allowed():
            return False
        await self._take_over()
        return await self._read_rows() and self._begin_term()

    def _poll_delay_ms(self) -> float:
        """Return the poll period, or the time until a takeover if that is shorter."""
        period_ms = float(self._timing.poll_ms)
        due_ms = self._row_changed_ms + self._takeover_delay_ms() - self._clock()
        if 0 < due_ms < period_ms:
            # The event loop's clock is coarser, so a sleep may end slightly early.
            return due_ms + 1
        return period_ms

    def _takeover_delay_ms(self) -> float:
        """Return how long the rows must stay unchanged before a takeover."""
        timing = self._timing
        expiry_ms = timing.lease_ms + timing.margin_ms
        if self._row is None or not self._row.successors or self._is_successor():
            return expiry_ms
        # The holder's outage cap counts from its last successful write. This period
        # counts from when that write was first read, which is never earlier.
        return timing.outage_cap_ms + expiry_ms + timing.promise_ms

    def _is_takeover_allowed(self) -> bool:
        now_ms = self._clock()
        if self._is_leaving or self._lease_version == NO_VERSION:
            return False
        if self._row is None or self._row.released:
            return True
        if self._is_own_address(self._row.holder):
            # This process's lease expired and no other router has taken over.
            return True
        if self._given_promises.is_in_force(now_ms):
            return False
        return now_ms >= self._row_changed_ms + self._takeover_delay_ms()

    async def _take_over(self) -> None:
        previous = self._row
        term = Term(self._term + 1)
        row = LeaseRow(term, self._own_address, self._initial_successors(), renewal=0)
        await self._write(
            row,
            [Write(TERM_ROW, _encode(TermRow(term, self._own_address)))],
            follows_release=previous is not None and previous.released,
        )

    def _initial_successors(self) -> list[RouterAddress]:
        """Return the successors for a new term, before any router is connected."""
        named = self._row.successors if self._row is not None else []
        others = [address for address in named if not self._is_own_address(address)]
        return choose_successors(self._own_address, others, self._candidates())

    def _begin_term(self) -> bool:
        """Begin a term if the rows show a takeover by this process, not yet expired."""
        if self._is_leaving or self._row is None or self._row.released:
            return False
        if self._term_version == self._own_term_version:
            return False
        if not self._is_own_address(self._row.holder):
            return False
        # A takeover that is read back too late has expired; it needs a new term.
        if self._clock() >= self._last_write_ms + self._timing.lease_ms:
            return False
        self._collected_promises.clear()
        self._own_term_version = self._term_version
        self._is_holder = True
        log_event("lease_acquired", term=self._term, successors=self._successor_names())
        self._transitions.on_next(LeaseTransition.ACQUIRED)
        return True

    # Renewal

    async def _renew_until_lost(self) -> None:
        """Renew the lease periodically until it is lost."""
        while self.is_held():
            started_ms = self._clock()
            async with self._write_lock:
                if not self.is_held():
                    break
                if not await self._renew() and self.is_held():
                    await self._collect_promises()
            await self._sleep_until(started_ms + self._timing.renew_ms)
        self._end_lease("expired")

    async def _renew(self) -> bool:
        """Renew once; return whether the store confirmed it."""
        if not self._versions_are_current and not await self._read_rows():
            return False
        if not self._is_holder or self._row is None:
            return False
        row = msgspec.structs.replace(
            self._row, renewal=self._row.renewal + 1, successors=self._next_successors()
        )
        result = await self._write(row, [])
        await self._read_rows()
        return isinstance(result, Success)

    def _next_successors(self) -> list[RouterAddress]:
        """Return the successors for the next renewal.

        While a change of successors is unconfirmed, the promises of both the old and
        the new ones are needed. They are therefore only changed while no write is
        pending and at least half of the lease is left without any promise.
        """
        assert self._row is not None
        current = self._row.successors
        change_until_ms = self._last_write_ms + self._timing.lease_ms / 2
        if self._pending_writes or self._clock() >= change_until_ms:
            return current
        return choose_successors(self._own_address, current, self._candidates())

    def _valid_until_ms(self) -> float:
        promised_ms = self._collected_promises.valid_until_ms(
            self._possible_successors()
        )
        # The cap counts from the start of the last applied write, not from the last
        # contact with the store: routers that are not successors wait from the time at
        # which they saw the row change.
        cap_ms = self._last_write_ms + self._timing.outage_cap_ms
        return max(
            self._last_write_ms + self._timing.lease_ms, min(promised_ms, cap_ms)
        )

    def _possible_successors(self) -> list[list[RouterAddress]]:
        """Return every set of successors that the stored row may name now."""
        possible = [pending.row.successors for pending in self._pending_writes.values()]
        if self._row is not None:
            possible.append(self._row.successors)
        return possible

    async def _collect_promises(self) -> None:
        """Request a promise from every router that may be a successor now."""
        targets = {
            successor.boot_id: successor
            for successors in self._possible_successors()
            for successor in successors
        }
        await asyncio.gather(*map(self._collect_promise, targets.values()))

    async def _collect_promise(self, successor: RouterAddress) -> None:
        period_ms = self._timing.promise_ms
        requested_ms = self._clock()
        try:
            async with asyncio.timeout(self._timing.order_timeout_ms / 1000):
                promised = await self._request_promise(successor, self._term, period_ms)
        except TimeoutError:
            return
        except Exception as error:
            # An error of the peer connection must not end the renewal task.
            log_event("promise_failed", successor=successor.instance, error=str(error))
            return
        if promised:
            self._collected_promises.record(successor, requested_ms, period_ms)

    async def _call_store(
        self, call: Coroutine[Any, Any, Result[Value, StoreFailure]]
    ) -> Result[Value, StoreFailure]:
        """Await a store call; collect promises if the held lease is about to expire."""
        if not self._is_holder:
            return await call
        task = asyncio.ensure_future(call)
        try:
            await asyncio.wait({task}, timeout=self._promise_slack_ms() / 1000)
            while not task.done() and self.is_held():
                await self._collect_promises()
                wait_ms = max(self._promise_slack_ms(), self._timing.order_timeout_ms)
                await asyncio.wait({task}, timeout=wait_ms / 1000)
            return await task
        finally:
            task.cancel()

    def _promise_slack_ms(self) -> float:
        """Return how long to wait before collecting promises.

        Half of ``lease_ms`` is kept for collecting them.
        """
        return max(0.0, self.remaining_ms - self._timing.lease_ms / 2)

    async def _sleep_until(self, due_ms: float) -> None:
        delay_ms = min(due_ms - self._clock(), self.remaining_ms)
        await asyncio.sleep(max(0.0, delay_ms) / 1000)

    def _end_lease(self, reason: str) -> None:
        if not self._is_holder:
            return
        self._is_holder = False
        log_event("lease_lost", term=self._term, reason=reason)
        self._transitions.on_next(LeaseTransition.LOST)

    async def _try_leave(self) -> bool:
        """Return whether this process is neither holder nor successor any more.

        Writes the released row if this process is still the holder in the store.
        """
        if not await self._read_rows():
            return False
        if self._row is None or self._row.released:
            return True
        if not self._is_own_address(self._row.holder):
            # A pending takeover could still make this process the holder later.
            return not self._is_successor() and not self._pending_writes
        await self._write(msgspec.structs.replace(self._row, released=True), [])
        return False

    # Store access

    async def _write(
        self, row: LeaseRow, other_writes: list[Write], follows_release: bool = False
    ) -> Result[None, StoreFailure]:
        """Write the lease row, conditional on the last read versions of both rows."""
        write = new_write(
            [
                Condition(TERM_ROW, self._term_version),
                Condition(LEASE_ROW, self._lease_version),
            ],
            [Write(LEASE_ROW, _encode(row)), *other_writes],
        )
        pending = _PendingWrite(row, self._clock(), follows_release)
        # Recorded before the first await, since the write may take effect from here on.
        self._pending_writes[write.write_id] = pending
        result = await self._call_store(apply_write(self._platform, write))
        if isinstance(result, Success):
            self._apply_own_write(pending)
            self._versions_are_current = False
        elif result != Failure(StoreFailure.UNKNOWN):
            self._pending_writes.pop(write.write_id, None)
            self._versions_are_current = False
        return result

    def _apply_own_write(self, pending: _PendingWrite) -> None:
        """Update the local state from a write that is known to be applied."""
        if pending.row.term != self._term:
            self._handover_wait_start_ms = self._clock()
            if pending.follows_release:
                self._handover_wait_start_ms += self._timing.lease_ms
        self._term = pending.row.term
        self._holder = pending.row.holder
        self._row = pending.row
        self._last_write_ms = pending.started_ms
        # The other pending writes have the same conditions, which now fail.
        self._pending_writes.clear()

    async def _poll_rows(self) -> bool:
        """Read the lease row, and the term row if it may have changed or is needed.

        The term row is only written together with the lease row. Therefore it is
        unchanged while the lease row has the known term.
        """
        # After a write of this process that was not read back, the known versions may
        # be older than the known term.
        is_known = self._versions_are_current and self._lease_version != NO_VERSION
        if not is_known or self._pending_writes or self._is_takeover_allowed():
            return await self._read_rows()
        read = await self._call_store(self._platform.read([LEASE_ROW]))
        if not isinstance(read, Success):
            return False
        lease_row = read.unwrap().get(LEASE_ROW)
        row = _lease_of(lease_row)
        if lease_row is None or row is None or row.term != self._term:
            return await self._read_rows()
        self._versions_are_current = True
        if lease_row.version != self._lease_version:
            self._lease_version = lease_row.version
            self._row_changed_ms = self._clock()
            self._row = row
        return True

    async def _read_rows(self) -> bool:
        """Read both rows; return whether the store replied."""
        read = await self._call_store(self._platform.read([TERM_ROW, LEASE_ROW]))
        if not isinstance(read, Success):
            return False
        rows = read.unwrap()
        self._apply_rows(rows.get(TERM_ROW), rows.get(LEASE_ROW))
        return True

    def _apply_rows(self, term_row: Row | None, lease_row: Row | None) -> None:
        now_ms = self._clock()
        term_version = term_row.version if term_row else 0
        lease_version = lease_row.version if lease_row else 0
        self._versions_are_current = True
        if (term_version, lease_version) == (self._term_version, self._lease_version):
            return
        self._term_version = term_version
        self._lease_version = lease_version
        self._row_changed_ms = now_ms
        applied = self._pending_writes.get(lease_row.write_id) if lease_row else None
        if applied is not None:
            self._apply_own_write(applied)
        self._pending_writes.clear()
        self._term, self._holder = _term_of(term_row)
        self._row = _lease_of(lease_row)
        if self._is_holder and term_version != self._own_term_version:
            self._end_lease("taken over")

    def _is_successor(self) -> bool:
        return self._row is not None and any(
            map(self._is_own_address, self._row.successors)
        )

    def _is_own_address(self, address: RouterAddress | None) -> bool:
        """Return whether the address is of this process, not of an earlier one."""
        return address is not None and address.boot_id == self._own_address.boot_id

    def _is_live_holder(self, holder: InstanceId) -> bool:
        if self._row is not None and self._row.released:
            return False
        return self._holder is not None and self._holder.instance == holder

    def _successor_names(self) -> list[InstanceId]:
        if self._row is None:
            return []
        return [successor.instance for successor in self._row.successors]


def _encode(row: TermRow | LeaseRow) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(row))


def _term_of(row: Row | None) -> tuple[Term, RouterAddress | None]:
    if row is None:
        return Term(0), None
    decoded = msgspec.json.decode(row.value, type=TermRow)
    return decoded.term, decoded.holder


def _lease_of(row: Row | None) -> LeaseRow | None:
    if row is None:
        return None
    return msgspec.json.decode(row.value, type=LeaseRow)

"""The coordinator lease: which router is the coordinator, for how long, in which term.

One task watches the lease row, takes it over when allowed, and renews it. Every
question about validity reads the clock, so that a process that was stopped finds its
lease expired, whatever its task was doing.
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
    Address,
    Condition,
    LeaseRow,
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
LEASE_ROW = RowName("coordinator/lease")

AskPromise = Callable[[Address, Term, int], Awaitable[bool]]
"""Asks a successor for a promise of a period in milliseconds. Returns True only if the
process that answered has the boot id of the address."""

Answer = TypeVar("Answer")

NO_VERSION = -1
"""Version that no row has, so that a condition on it never holds."""


class _Attempt(msgspec.Struct, frozen=True):
    """A write of the lease row that may take effect."""

    row: LeaseRow
    started_ms: float
    follows_release: bool = False


class CoordinatorLease:
    """This process's part in the coordinator lease, as holder, successor or neither."""

    def __init__(
        self,
        options: Options,
        platform: Platform,
        me: Address,
        ask_promise: AskPromise,
        candidates: Callable[[], Sequence[Address]],
        clock: Clock = monotonic_ms,
    ) -> None:
        self._timing = options.timing
        self._platform = platform
        self._me = me
        self._ask_promise = ask_promise
        self._candidates = candidates
        self._clock = clock
        self._transitions: Subject[LeaseTransition] = Subject()
        self._writing = asyncio.Lock()
        self._leaving = False
        # The rows as last read, or as written once the write is known to be applied.
        self._term = Term(0)
        self._holder: Address | None = None
        self._row: LeaseRow | None = None
        self._term_version = NO_VERSION
        self._lease_version = NO_VERSION
        self._first_read_ms = float("inf")
        self._version_known = False
        self._attempts: dict[WriteId, _Attempt] = {}
        self._given = GivenPromises()
        # The own term.
        self._holding = False
        self._own_term_version = NO_VERSION
        self._renewed_ms = NEVER_MS
        self._taken_over_ms = NEVER_MS
        self._collected = CollectedPromises()

    @property
    def term(self) -> Term:
        """Term as last read or written; 0 before the first read."""
        return self._term

    @property
    def holder(self) -> Address | None:
        """Holder as last read or written."""
        return self._holder

    @property
    def left_ms(self) -> float:
        """Milliseconds left of the own lease with promises; negative if not held."""
        if not self._holding:
            return -1.0
        return self._valid_until_ms() - self._clock()

    @property
    def taken_over_ms(self) -> float:
        """Time on the own clock from which the waits of a new term count.

        After the takeover of a released row it lies LEASE ahead: the former holder may
        have issued routing leases until the release, based on a full lease.
        """
        return self._taken_over_ms

    @property
    def term_condition(self) -> Condition:
        """Condition that holds until another term than the own last one begins."""
        return Condition(TERM_ROW, self._own_term_version)

    @property
    def transitions(self) -> Observable[LeaseTransition]:
        """Emits when this process acquires or loses the lease.

        Each ``ACQUIRED`` begins a new term. ``LOST`` comes when the task notices; only
        ``is_held`` is exact.
        """
        return self._transitions

    def is_held(self) -> bool:
        """Return whether this process is the coordinator at this moment."""
        return self.left_ms > 0

    def promise(self, holder: InstanceId, term: Term, period_ms: int) -> bool:
        """Promise the holder of a term not to take over for a period, if possible."""
        received_ms = self._clock()
        if self._holding or self._attempts:
            # An own takeover may have taken effect, or may still do so.
            return False
        if term < self._term:
            return False
        if term == self._term and not self._is_live_holder(holder):
            return False
        self._given.give(received_ms, period_ms + self._timing.margin_ms)
        return True

    async def run(self) -> None:
        """Watch the lease, and hold it whenever possible, until cancelled."""
        try:
            while True:
                await self._watch()
                await self._hold()
        finally:
            self._lose("stopped")

    async def release(self) -> None:
        """Leave in an orderly way; needs no running task.

        A holder stops at once and writes the released row. A successor waits until the
        holder named another. Gives up after two promise periods, since the lease then
        simply expires.
        """
        self._leaving = True
        self._lose("released")
        give_up_ms = self._clock() + 2 * self._timing.promise_ms
        while self._clock() < give_up_ms:
            async with self._writing:
                if await self._has_left():
                    return
            await asyncio.sleep(self._timing.poll_ms / 1000)

    # Watching

    async def _watch(self) -> None:
        """Return once this process has taken the lease over."""
        while True:
            async with self._writing:
                if await self._watch_once():
                    return
            await asyncio.sleep(self._watch_period_ms() / 1000)

    async def _watch_once(self) -> bool:
        """Read the rows and take over if allowed; return whether a term has begun."""
        if not await self._read_watched():
            return False
        if self._begin_term():
            return True
        if not self._may_take_over():
            return False
        await self._take_over()
        return await self._read_rows() and self._begin_term()

    def _watch_period_ms(self) -> float:
        """Return the time to the next poll, or less if a takeover is due before it."""
        period_ms = float(self._timing.poll_ms)
        due_ms = self._first_read_ms + self._patience_ms() - self._clock()
        if 0 < due_ms < period_ms:
            # A sleep may end slightly early on the event loop's coarser clock.
            return due_ms + 1
        return period_ms

    def _patience_ms(self) -> float:
        """Return how long the row must stay unchanged before a takeover."""
        timing = self._timing
        expiry_ms = timing.lease_ms + timing.margin_ms
        if self._row is None or not self._row.successors or self._is_successor():
            return expiry_ms
        # Counted from a later moment than the holder's cap, which counts from its last
        # successful write.
        return timing.outage_cap_ms + expiry_ms + timing.promise_ms

    def _may_take_over(self) -> bool:
        now_ms = self._clock()
        if self._leaving or self._lease_version == NO_VERSION:
            return False
        if self._row is None or self._row.released:
            return True
        if self._is_me(self._row.holder):
            # The own lease has expired and nobody else has taken over.
            return True
        if self._given.is_bound(now_ms):
            return False
        return now_ms >= self._first_read_ms + self._patience_ms()

    async def _take_over(self) -> None:
        former = self._row
        term = Term(self._term + 1)
        row = LeaseRow(term, self._me, self._first_successors(), renewal=0)
        await self._write(
            row,
            [Write(TERM_ROW, _encode(TermRow(term, self._me)))],
            follows_release=former is not None and former.released,
        )

    def _first_successors(self) -> list[Address]:
        """Return successors for a new term, before heartbeats show who is live."""
        named = self._row.successors if self._row is not None else []
        known = [address for address in named if not self._is_me(address)]
        return choose_successors(self._me, known, self._candidates())

    def _begin_term(self) -> bool:
        """Begin a term if the rows show an own takeover that has not expired."""
        if self._leaving or self._row is None or self._row.released:
            return False
        if self._term_version == self._own_term_version:
            return False
        if not self._is_me(self._row.holder):
            return False
        # A takeover found long after it was sent has expired and needs another term.
        if self._clock() >= self._renewed_ms + self._timing.lease_ms:
            return False
        self._collected.clear()
        self._own_term_version = self._term_version
        self._holding = True
        log_event("lease_acquired", term=self._term, successors=self._successor_names())
        self._transitions.on_next(LeaseTransition.ACQUIRED)
        return True

    # Holding

    async def _hold(self) -> None:
        """Renew until the lease is lost."""
        while self.is_held():
            started_ms = self._clock()
            async with self._writing:
                if not self.is_held():
                    break
                if not await self._renew() and self.is_held():
                    await self._collect_promises()
            await self._sleep_until(started_ms + self._timing.renew_ms)
        self._lose("expired or taken over")

    async def _renew(self) -> bool:
        """Renew once; return whether the store confirmed it."""
        if not self._version_known and not await self._read_rows():
            return False
        if not self._holding or self._row is None:
            return False
        row = msgspec.structs.replace(
            self._row, renewal=self._row.renewal + 1, successors=self._next_successors()
        )
        result = await self._write(row, [])
        await self._read_rows()
        return isinstance(result, Success)

    def _next_successors(self) -> list[Address]:
        """Return the successors to name; the same ones while the store is failing.

        A change makes the promises of both sets necessary until its reply arrives, so
        that none is begun unless half of the lease is left without any promise.
        """
        assert self._row is not None
        current = self._row.successors
        settled_until_ms = self._renewed_ms + self._timing.lease_ms / 2
        if self._attempts or self._clock() >= settled_until_ms:
            return current
        return choose_successors(self._me, current, self._candidates())

    def _valid_until_ms(self) -> float:
        promised_ms = self._collected.until_ms(self._possible_successors())
        # The cap counts from the start of the last applied write, not from the last
        # contact: routers that are not named count from the change of the row.
        cap_ms = self._renewed_ms + self._timing.outage_cap_ms
        return max(self._renewed_ms + self._timing.lease_ms, min(promised_ms, cap_ms))

    def _possible_successors(self) -> list[list[Address]]:
        """Return every set of successors that the row may name now."""
        possible = [attempt.row.successors for attempt in self._attempts.values()]
        if self._row is not None:
            possible.append(self._row.successors)
        return possible

    async def _collect_promises(self) -> None:
        """Ask every router that may take over for a promise."""
        asked = {
            successor.boot_id: successor
            for successors in self._possible_successors()
            for successor in successors
        }
        await asyncio.gather(*map(self._collect_promise, asked.values()))

    async def _collect_promise(self, successor: Address) -> None:
        period_ms = self._timing.promise_ms
        asked_ms = self._clock()
        try:
            async with asyncio.timeout(self._timing.order_timeout_ms / 1000):
                promised = await self._ask_promise(successor, self._term, period_ms)
        except TimeoutError:
            return
        except Exception as error:
            # A failing peer link must not end the holder's task.
            log_event("promise_failed", successor=successor.instance, error=str(error))
            return
        if promised:
            self._collected.record(successor, asked_ms, period_ms)

    async def _guarded(
        self, call: Coroutine[Any, Any, Result[Answer, StoreFailure]]
    ) -> Result[Answer, StoreFailure]:
        """Await a store call; collect promises if a held lease nears its end."""
        if not self._holding:
            return await call
        task = asyncio.ensure_future(call)
        try:
            await asyncio.wait({task}, timeout=self._spare_ms() / 1000)
            while not task.done() and self.is_held():
                await self._collect_promises()
                wait_ms = max(self._spare_ms(), self._timing.order_timeout_ms)
                await asyncio.wait({task}, timeout=wait_ms / 1000)
            return await task
        finally:
            task.cancel()

    def _spare_ms(self) -> float:
        """Return how long promises can wait; half of LEASE is left for collecting."""
        return max(0.0, self.left_ms - self._timing.lease_ms / 2)

    async def _sleep_until(self, due_ms: float) -> None:
        delay_ms = min(due_ms - self._clock(), self.left_ms)
        await asyncio.sleep(max(0.0, delay_ms) / 1000)

    def _lose(self, reason: str) -> None:
        if not self._holding:
            return
        self._holding = False
        log_event("lease_lost", term=self._term, reason=reason)
        self._transitions.on_next(LeaseTransition.LOST)

    async def _has_left(self) -> bool:
        """Return whether the rows show that this process has no part in the lease."""
        if not await self._read_rows():
            return False
        if self._row is None or self._row.released:
            return True
        if not self._is_me(self._row.holder):
            # An open takeover would make this process the holder after it has left.
            return not self._is_successor() and not self._attempts
        await self._write(msgspec.structs.replace(self._row, released=True), [])
        return False

    # Rows

    async def _write(
        self, row: LeaseRow, further: list[Write], follows_release: bool = False
    ) -> Result[None, StoreFailure]:
        """Write the lease row under the versions of both rows as last read."""
        write = new_write(
            [
                Condition(TERM_ROW, self._term_version),
                Condition(LEASE_ROW, self._lease_version),
            ],
            [Write(LEASE_ROW, _encode(row)), *further],
        )
        attempt = _Attempt(row, self._clock(), follows_release)
        # Recorded before the first await: from here on the write may take effect.
        self._attempts[write.write_id] = attempt
        result = await self._guarded(apply_write(self._platform, write))
        if isinstance(result, Success):
            self._adopt(attempt)
            self._version_known = False
        elif result != Failure(StoreFailure.UNKNOWN):
            self._attempts.pop(write.write_id, None)
            self._version_known = False
        return result

    def _adopt(self, attempt: _Attempt) -> None:
        """Take an own write as applied."""
        if attempt.row.term != self._term:
            self._taken_over_ms = self._clock()
            if attempt.follows_release:
                self._taken_over_ms += self._timing.lease_ms
        self._term = attempt.row.term
        self._holder = attempt.row.holder
        self._row = attempt.row
        self._renewed_ms = attempt.started_ms
        # All others have the same conditions, which are dead now.
        self._attempts.clear()

    async def _read_watched(self) -> bool:
        """Read the lease row, and the term row if it may matter or have changed.

        Whoever writes the term row writes the lease row in the same transaction. While
        the lease row names the known term, the term row is therefore unchanged.
        """
        # After an own write that was not read back, the versions may be older than the
        # term that it set.
        is_known = self._version_known and self._lease_version != NO_VERSION
        if not is_known or self._attempts or self._may_take_over():
            return await self._read_rows()
        read = await self._guarded(self._platform.read([LEASE_ROW]))
        if not isinstance(read, Success):
            return False
        lease_row = read.unwrap().get(LEASE_ROW)
        row = _lease_of(lease_row)
        if lease_row is None or row is None or row.term != self._term:
            return await self._read_rows()
        self._version_known = True
        if lease_row.version != self._lease_version:
            self._lease_version = lease_row.version
            self._first_read_ms = self._clock()
            self._row = row
        return True

    async def _read_rows(self) -> bool:
        """Read both rows; return whether the store answered."""
        read = await self._guarded(self._platform.read([TERM_ROW, LEASE_ROW]))
        if not isinstance(read, Success):
            return False
        rows = read.unwrap()
        self._observe(rows.get(TERM_ROW), rows.get(LEASE_ROW))
        return True

    def _observe(self, term_row: Row | None, lease_row: Row | None) -> None:
        now_ms = self._clock()
        term_version = term_row.version if term_row else 0
        lease_version = lease_row.version if lease_row else 0
        self._version_known = True
        if (term_version, lease_version) == (self._term_version, self._lease_version):
            return
        self._term_version = term_version
        self._lease_version = lease_version
        self._first_read_ms = now_ms
        landed = self._attempts.get(lease_row.write_id) if lease_row else None
        if landed is not None:
            self._adopt(landed)
        self._attempts.clear()
        self._term, self._holder = _term_of(term_row)
        self._row = _lease_of(lease_row)
        if self._holding and term_version != self._own_term_version:
            self._lose("taken over")

    def _is_successor(self) -> bool:
        return self._row is not None and any(map(self._is_me, self._row.successors))

    def _is_me(self, address: Address | None) -> bool:
        """Return whether the address is of this process, not of one before it."""
        return address is not None and address.boot_id == self._me.boot_id

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


def _term_of(row: Row | None) -> tuple[Term, Address | None]:
    if row is None:
        return Term(0), None
    decoded = msgspec.json.decode(row.value, type=TermRow)
    return decoded.term, decoded.holder


def _lease_of(row: Row | None) -> LeaseRow | None:
    if row is None:
        return None
    return msgspec.json.decode(row.value, type=LeaseRow)

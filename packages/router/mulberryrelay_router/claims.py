"""Idempotency claims: a request with an idempotency key runs at most once.

A claim row is inserted before the first send and updated with the outcome afterwards.
Only the router that holds a row in state ``claimed`` writes it, and each write is
conditional on the row's version, so that a late write never undoes a newer one.
"""

import asyncio
import hashlib
import time
import uuid
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Generic, TypeVar

import msgspec
from returns.pipeline import is_successful

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import (
    IdempotencyKey,
    RowName,
    ServiceName,
    WriteId,
)
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import ClaimRow, Condition, Row, Write
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.platform import Platform
from mulberryrelay_kernel.states import ClaimState, Outcome, StoreFailure

from .forward import Answer, CallerRequest, failed_answer
from .suspects import fingerprint_of

# Claims per transaction. The store sustains several hundred writes a second.
BATCH_SIZE = 32
# Transactions that may follow each other at once: the insertion of a claim, its update
# and as many of a second request.
BURST = 4
# An answer up to this size is kept for replay.
KEPT_ANSWER_BYTES = 16_384
# First and longest pause between two reads of a row that another request has claimed.
FIRST_POLL_MS = 20.0
LAST_POLL_MS = 250.0
# Attempts to record an outcome, two minutes, before the row is left claimed.
FINISH_ATTEMPTS = 480
FINISH_PAUSE_S = 0.25
# An insertion that timed out is looked for during two seconds, ten store timeouts, in
# which the store answers.
WITHDRAW_LOOKS = 8
# Pause between looks while the store does not answer, at most half of the time in which
# a key is to be served again.
WITHDRAW_LAST_PAUSE_S = 1.0
# Looks without an answer, about five minutes, before the row is left claimed.
WITHDRAW_FAILURES = 300
# Rounds of an insertion in which others took some of the rows.
INSERT_ROUNDS = 5
# An answer waits this long for its outcome to be recorded, about two store calls.
FINISH_WAIT_S = 0.4

CONTENT_TYPE_HEADER = "Content-Type"

Item = TypeVar("Item")
Reply = TypeVar("Reply")


class Claim(msgspec.Struct, frozen=True):
    """A row that this router has inserted and has to update."""

    name: RowName
    row: ClaimRow


class _Insert(msgspec.Struct, frozen=True):
    """A claim to be inserted while the row still has ``version``."""

    claim: Claim
    version: int


class _Inserted(msgspec.Struct, frozen=True):
    """Result of an insertion."""

    is_ours: bool
    found: ClaimRow | None = None
    """The row of another request that was found instead."""
    version: int = 0
    is_refused: bool = False
    """Whether the store refused the insertion, so that it has no effect."""


class _Finish(msgspec.Struct, frozen=True):
    """A claim with its final row."""

    claim: Claim
    row: ClaimRow


class Pacer:
    """Spaces transactions, so that all routers together stay within the store's rate.

    A few may follow each other at once after a pause, so that a single claim does not
    wait.
    """

    def __init__(self, per_second: float, clock: Clock) -> None:
        self._interval_ms = 1000 / per_second
        self._clock = clock
        self._next_ms = 0.0

    async def wait(self) -> None:
        """Wait until the next transaction may start."""
        now_ms = self._clock()
        earliest_ms = now_ms - (BURST - 1) * self._interval_ms
        start_ms = max(self._next_ms, earliest_ms)
        self._next_ms = start_ms + self._interval_ms
        if start_ms > now_ms:
            await asyncio.sleep((start_ms - now_ms) / 1000)


class GroupCommit(Generic[Item, Reply]):
    """Collects items while a batch waits or is being committed.

    An item that arrives after a pause starts a batch at once, so that a single item
    waits for nothing but its own transaction.
    """

    def __init__(
        self,
        commit: Callable[[Sequence[Item]], Awaitable[Sequence[Reply]]],
        pacer: Pacer,
    ) -> None:
        self._commit = commit
        self._pacer = pacer
        self._waiting: list[tuple[Item, asyncio.Future[Reply]]] = []
        self._task: asyncio.Task[None] | None = None

    async def submit(self, item: Item) -> Reply:
        """Commit an item with others and return its reply."""
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._waiting.append((item, future))
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        return await future

    async def _run(self) -> None:
        try:
            while self._waiting:
                await self._pacer.wait()
                batch = self._waiting[:BATCH_SIZE]
                del self._waiting[:BATCH_SIZE]
                await self._commit_batch(batch)
        finally:
            self._task = None

    async def _commit_batch(
        self, batch: Sequence[tuple[Item, asyncio.Future[Reply]]]
    ) -> None:
        try:
            replies = await self._commit([item for item, _ in batch])
        except Exception as error:
            for _, future in batch:
                if not future.done():
                    future.set_exception(error)
            return
        for (_, future), reply in zip(batch, replies, strict=True):
            if not future.done():
                future.set_result(reply)


class Claims:
    """Claims of one router on the platform's table."""

    def __init__(self, options: Options, platform: Platform, clock: Clock) -> None:
        self._platform = platform
        self._router = options.instance.name
        self._clock = clock
        share = options.limits.claim_writes_per_second / options.routers
        self._pacer = Pacer(share, clock)
        self._inserts = GroupCommit(self._commit_inserts, self._pacer)
        self._finishes = GroupCommit(self._commit_finishes, self._pacer)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self,
        request: CallerRequest,
        idempotency_key: IdempotencyKey,
        forward: Callable[[CallerRequest], Awaitable[Answer]],
    ) -> Answer:
        """Run a request unless it has run before; return its answer either way."""
        claim = await self._claim(request, idempotency_key)
        if isinstance(claim, Answer):
            return claim
        answer = None
        try:
            answer = await forward(request)
        finally:
            # Without an answer the caller has left, and the request may have run.
            try:
                await self._finish(claim, _final_row(claim.row, answer))
            except asyncio.CancelledError:
                if answer is not None and answer.stream is not None:
                    answer.stream.close()
                raise
        return answer

    async def drain(self) -> None:
        """Wait until the outcomes of all ended requests are recorded or given up."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _claim(
        self, request: CallerRequest, idempotency_key: IdempotencyKey
    ) -> Claim | Answer:
        """Return the claim of this request, or the answer that it gets without one."""
        row = ClaimRow(
            state=ClaimState.CLAIMED,
            fingerprint=fingerprint_of(request),
            router=self._router,
            request_id=request.request_id,
            idempotency_key=idempotency_key,
            created_s=int(time.time()),
            claim_id=uuid.uuid4().hex,
        )
        claim = Claim(claim_name(request.service, idempotency_key), row)
        version = 0
        while True:
            inserted = await self._insert(_Insert(claim, version), request.deadline_ms)
            if inserted is None or inserted.is_refused:
                # This request was not sent, but an earlier one with its key may have
                # run, and its caller takes the answer for that of the payment.
                return failed_answer(
                    Outcome.UNKNOWN,
                    503,
                    "store-unavailable",
                    "not sent; whether the idempotency key has run is not known",
                )
            if inserted.is_ours:
                return claim
            found = inserted.found
            if found is not None and found.state is ClaimState.CLAIMED:
                found, version = await self._wait_for_outcome(claim, request)
            else:
                version = inserted.version
            if found is None:
                version = 0
                continue
            if found.fingerprint != row.fingerprint:
                return _mismatch()
            if found.state is not ClaimState.NOT_RUN:
                return _replay(found)

    async def _insert(self, insert: _Insert, deadline_ms: float) -> _Inserted | None:
        """Insert a claim; None if it is not known to be recorded in time."""
        left_ms = deadline_ms - self._clock()
        inserted = None
        try:
            async with asyncio.timeout(left_ms / 1000):
                inserted = await self._inserts.submit(insert)
        except TimeoutError:
            pass
        finally:
            if inserted is None:
                self._start(self._withdraw(insert.claim))
        return inserted

    async def _wait_for_outcome(
        self, claim: Claim, request: CallerRequest
    ) -> tuple[ClaimRow | None, int]:
        """Return the row and version once it is not claimed, or at the deadline."""
        poll_ms = FIRST_POLL_MS
        found: ClaimRow | None = msgspec.structs.replace(claim.row)
        version = 0
        while request.deadline_ms - self._clock() > poll_ms:
            result = await self._platform.read([claim.name])
            if is_successful(result):
                row = result.unwrap().get(claim.name)
                found = _decode(row) if row is not None else None
                version = row.version if row is not None else 0
                if found is None or found.state is not ClaimState.CLAIMED:
                    break
                if found.fingerprint != claim.row.fingerprint:
                    break
            await asyncio.sleep(poll_ms / 1000)
            poll_ms = min(poll_ms * 2, LAST_POLL_MS)
        return found, version

    async def _withdraw(self, claim: Claim) -> None:
        """Release a claim whose insertion may still take effect.

        Its request is never sent. Without this, a resend would be answered "unknown".
        """
        row = msgspec.structs.replace(claim.row, state=ClaimState.NOT_RUN)
        looks = failures = 0
        pause_s = FINISH_PAUSE_S
        while looks < WITHDRAW_LOOKS and failures < WITHDRAW_FAILURES:
            if await self._finishes.submit(_Finish(claim, row)):
                looks += 1
                pause_s = FINISH_PAUSE_S
            else:
                # Counted apart: an outage may be longer than all looks together.
                failures += 1
                pause_s = min(pause_s * 2, WITHDRAW_LAST_PAUSE_S)
            await asyncio.sleep(pause_s)

    async def _commit_inserts(
        self, inserts: Sequence[_Insert]
    ) -> Sequence[_Inserted | None]:
        # One name may occur once per transaction; its repetitions find the first one.
        first = {insert.claim.name: insert for insert in reversed(inserts)}
        rows = await self._try_inserts(list(first.values()))
        if rows is StoreFailure.UNAVAILABLE:
            return [_Inserted(False, is_refused=True)] * len(inserts)
        if isinstance(rows, StoreFailure):
            return [None] * len(inserts)
        return [_inserted(insert, rows.get(insert.claim.name)) for insert in inserts]

    async def _try_inserts(
        self, inserts: Sequence[_Insert]
    ) -> dict[RowName, Row] | StoreFailure:
        """Insert what can be inserted; return the rows, or why they are not known.

        ``UNAVAILABLE`` means that nothing was inserted, ``UNKNOWN`` that it may be.
        """
        names = [insert.claim.name for insert in inserts]
        write_id = WriteId(uuid.uuid4().hex)
        rows: dict[RowName, Row] = {}
        pending = list(inserts)
        for turn in range(INSERT_ROUNDS):
            if not pending:
                return rows
            if turn:
                await self._pacer.wait()
            result = await self._platform.transact(
                [Condition(insert.claim.name, insert.version) for insert in pending],
                [_write(insert.claim.name, insert.claim.row) for insert in pending],
                write_id,
            )
            if is_successful(result):
                for insert in pending:
                    value = msgspec.Raw(msgspec.json.encode(insert.claim.row))
                    rows[insert.claim.name] = Row(insert.claim.name, 0, value, write_id)
                return rows
            if result.failure() is StoreFailure.UNAVAILABLE:
                return StoreFailure.UNAVAILABLE
            found = await self._platform.read(names)
            if not is_successful(found):
                return StoreFailure.UNKNOWN
            rows = found.unwrap()
            if any(row.write_id == write_id for row in rows.values()):
                return rows
            if result.failure() is StoreFailure.UNKNOWN:
                return StoreFailure.UNKNOWN
            # A conflict: others hold some of the rows. The rest is tried again.
            pending = [
                insert
                for insert in pending
                if _version_of(rows, insert.claim.name) == insert.version
            ]
        return StoreFailure.UNKNOWN

    async def _finish(self, claim: Claim, row: ClaimRow) -> None:
        """Record an outcome; goes on in the background if the store is slow."""
        task = self._start(self._record(_Finish(claim, row)))
        await asyncio.wait([task], timeout=FINISH_WAIT_S)

    def _start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _record(self, finish: _Finish) -> None:
        for _ in range(FINISH_ATTEMPTS):
            if await self._finishes.submit(finish):
                return
            await asyncio.sleep(FINISH_PAUSE_S)
        log_event(
            "claim_left_claimed",
            row=finish.claim.name,
            request_id=finish.row.request_id,
            outcome=finish.row.state.value,
        )

    async def _commit_finishes(self, finishes: Sequence[_Finish]) -> Sequence[bool]:
        """Update rows that are still claimed; return for each whether it is final."""
        names = [finish.claim.name for finish in finishes]
        found = await self._platform.read(names)
        if not is_successful(found):
            return [False] * len(finishes)
        rows = found.unwrap()
        pending = [
            finish
            for finish in finishes
            if _holds(rows.get(finish.claim.name), finish.claim.row)
        ]
        if not pending:
            return [True] * len(finishes)
        result = await self._platform.transact(
            [Condition(f.claim.name, rows[f.claim.name].version) for f in pending],
            [_write(finish.claim.name, finish.row) for finish in pending],
            WriteId(uuid.uuid4().hex),
        )
        # After a failure the rows are read again: a lost reply is found as a row that
        # is not claimed any more.
        if is_successful(result):
            return [True] * len(finishes)
        unsettled = {id(finish) for finish in pending}
        return [id(finish) not in unsettled for finish in finishes]


def claim_name(service: ServiceName, idempotency_key: IdempotencyKey) -> RowName:
    """Return the name of the row of an idempotency key."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return RowName(f"claims/{service}/{digest}")


def _write(name: RowName, row: ClaimRow) -> Write:
    return Write(name, msgspec.Raw(msgspec.json.encode(row)))


def _version_of(rows: dict[RowName, Row], name: RowName) -> int:
    row = rows.get(name)
    return row.version if row is not None else 0


def _decode(row: Row) -> ClaimRow:
    return msgspec.json.decode(row.value, type=ClaimRow)


def _is_same_claim(found: ClaimRow, mine: ClaimRow) -> bool:
    # Neither the request id nor the name of the router is unique over time.
    return found.claim_id == mine.claim_id


def _holds(row: Row | None, mine: ClaimRow) -> bool:
    if row is None:
        return False
    found = _decode(row)
    return found.state is ClaimState.CLAIMED and _is_same_claim(found, mine)


def _inserted(insert: _Insert, row: Row | None) -> _Inserted:
    if row is None:
        return _Inserted(False)
    found = _decode(row)
    if _is_same_claim(found, insert.claim.row):
        return _Inserted(True)
    return _Inserted(False, found, row.version)


def _final_row(row: ClaimRow, answer: Answer | None) -> ClaimRow:
    if answer is None or answer.outcome is Outcome.UNKNOWN:
        return msgspec.structs.replace(row, state=ClaimState.UNKNOWN)
    if answer.outcome is Outcome.NOT_RUN:
        return msgspec.structs.replace(row, state=ClaimState.NOT_RUN)
    is_kept = answer.stream is None and len(answer.body) <= KEPT_ANSWER_BYTES
    return msgspec.structs.replace(
        row,
        state=ClaimState.RAN,
        status=answer.status,
        content_type=answer.headers.get(CONTENT_TYPE_HEADER),
        body=answer.body if is_kept else None,
    )


def _replay(row: ClaimRow) -> Answer:
    if row.state is not ClaimState.RAN:
        return failed_answer(
            Outcome.UNKNOWN,
            504,
            "outcome-unknown",
            "an earlier request with this idempotency key may have run",
        )
    if row.status is None or row.body is None:
        return failed_answer(
            Outcome.RAN,
            409,
            "answer-not-kept",
            "the request ran before; its answer was too long to be kept",
        )
    answer = failed_answer(Outcome.RAN, row.status, "")
    if row.content_type is not None:
        answer.headers[CONTENT_TYPE_HEADER] = row.content_type
    return msgspec.structs.replace(answer, body=row.body)


def _mismatch() -> Answer:
    return failed_answer(
        Outcome.NOT_RUN,
        422,
        "idempotency-key-reused",
        "this idempotency key was used for another request",
    )

"""Idempotency claims: a request with an idempotency key runs at most once.

The router inserts a claim row into the platform's store before the first attempt and
updates it with the outcome afterwards. Only the router that inserted a row in state
``claimed`` updates it. Each write is conditional on the version of the row, so that a
late write never overwrites a newer one.
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

from .attempts import CallerRequest, RoutedResponse, local_response

# Maximum claims per transaction. The store sustains several hundred writes per second.
BATCH_SIZE = 32
# Transactions that may start without a pause after an idle period: the insertion and
# the update of a claim, and the same for a second request.
TRANSACTION_BURST = 4
# Maximum size of a response body that is stored for resends.
MAX_STORED_RESPONSE_BYTES = 16_384
# First and longest pause between reads of a row that another request has claimed.
FIRST_POLL_MS = 20.0
MAX_POLL_MS = 250.0
# Attempts to record an outcome (two minutes) before the row is left in state claimed.
MAX_RECORD_ATTEMPTS = 480
RECORD_RETRY_PAUSE_S = 0.25
# Number of successful store calls that check for a timed-out insertion. With the pauses
# they take two seconds, which is ten store timeouts.
WITHDRAW_CHECKS = 8
# Longest pause between checks while the store does not reply: at most half of the time
# within which a key has to be served again after a failure.
MAX_WITHDRAW_PAUSE_S = 1.0
# Failed checks (about five minutes) before the row is left in state claimed.
MAX_WITHDRAW_FAILURES = 300
# Attempts to insert a batch when other routers have written some of its rows.
MAX_INSERT_ROUNDS = 5
# A response waits this long, about two store calls, for its outcome to be recorded.
RECORD_WAIT_S = 0.4

CONTENT_TYPE_HEADER = "Content-Type"

Item = TypeVar("Item")
Reply = TypeVar("Reply")


class Claim(msgspec.Struct, frozen=True):
    """A row that this router inserts and has to update with the outcome."""

    name: RowName
    row: ClaimRow


class _Insertion(msgspec.Struct, frozen=True):
    """A claim to be inserted if the row still has ``version``."""

    claim: Claim
    version: int
    """Expected version of the row; 0 if the row must not exist."""


class _InsertResult(msgspec.Struct, frozen=True):
    """Result of an insertion."""

    is_own: bool
    """Whether the row now has the claim of this request."""
    other_row: ClaimRow | None = None
    """Row of another request that exists instead."""
    version: int = 0
    """Version of the row ``other_row``."""
    is_refused: bool = False
    """Whether the store refused the insertion, which then has no effect."""


class _OutcomeUpdate(msgspec.Struct, frozen=True):
    """A claim and the row that records its outcome."""

    claim: Claim
    row: ClaimRow


class Pacer:
    """Spaces transactions to keep all routers together within the store's write rate.

    After an idle period a short burst may start without a pause, so that a single claim
    is not delayed.
    """

    def __init__(self, per_second: float, clock: Clock) -> None:
        self._interval_ms = 1000 / per_second
        self._clock = clock
        self._next_ms = 0.0

    async def wait(self) -> None:
        """Wait until the next transaction may start."""
        now_ms = self._clock()
        earliest_ms = now_ms - (TRANSACTION_BURST - 1) * self._interval_ms
        start_ms = max(self._next_ms, earliest_ms)
        self._next_ms = start_ms + self._interval_ms
        if start_ms > now_ms:
            await asyncio.sleep((start_ms - now_ms) / 1000)


class GroupCommit(Generic[Item, Reply]):
    """Commits items in batches; new items are collected while a batch is in progress.

    An item that arrives while none is in progress starts a batch at once, so that it
    waits only for its own transaction.
    """

    def __init__(
        self,
        commit: Callable[[Sequence[Item]], Awaitable[Sequence[Reply]]],
        pacer: Pacer,
    ) -> None:
        self._commit = commit
        self._pacer = pacer
        self._queue: list[tuple[Item, asyncio.Future[Reply]]] = []
        self._task: asyncio.Task[None] | None = None

    async def submit(self, item: Item) -> Reply:
        """Commit an item in a batch and return its reply."""
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._queue.append((item, future))
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        return await future

    async def _run(self) -> None:
        try:
            while self._queue:
                await self._pacer.wait()
                batch = self._queue[:BATCH_SIZE]
                del self._queue[:BATCH_SIZE]
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
    """Idempotency claims of one router, stored in the platform's table."""

    def __init__(self, options: Options, platform: Platform, clock: Clock) -> None:
        self._platform = platform
        self._router_name = options.instance.name
        self._clock = clock
        rate = options.limits.claim_writes_per_second / options.routers
        self._pacer = Pacer(rate, clock)
        self._insertions = GroupCommit(self._commit_insertions, self._pacer)
        self._updates = GroupCommit(self._commit_updates, self._pacer)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self,
        request: CallerRequest,
        idempotency_key: IdempotencyKey,
        forward: Callable[[CallerRequest], Awaitable[RoutedResponse]],
    ) -> RoutedResponse:
        """Run a request unless it has run before; return its response in both cases."""
        claim = await self._claim(request, idempotency_key)
        if isinstance(claim, RoutedResponse):
            return claim
        response = None
        try:
            response = await forward(request)
        finally:
            # Without a response the caller has disconnected; the request may have run.
            try:
                await self._record_outcome(claim, _final_row(claim.row, response))
            except asyncio.CancelledError:
                if response is not None and response.stream is not None:
                    response.stream.close()
                raise
        return response

    async def drain(self) -> None:
        """Wait until all outcomes are recorded or their retries are exhausted."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _claim(
        self, request: CallerRequest, idempotency_key: IdempotencyKey
    ) -> Claim | RoutedResponse:
        """Return the claim of this request, or the response if it must not be sent."""
        row = ClaimRow(
            state=ClaimState.CLAIMED,
            fingerprint=request.fingerprint(),
            router=self._router_name,
            request_id=request.request_id,
            idempotency_key=idempotency_key,
            created_s=int(time.time()),
            claim_id=uuid.uuid4().hex,
        )
        claim = Claim(claim_row_name(request.service, idempotency_key), row)
        version = 0
        while True:
            insert_result = await self._insert(
                _Insertion(claim, version), request.deadline_ms
            )
            if insert_result is None or insert_result.is_refused:
                # This request was not sent, but an earlier one with the same key may
                # have run. The caller applies the outcome to the whole operation.
                return local_response(
                    Outcome.UNKNOWN,
                    503,
                    "store-unavailable",
                    "not sent; a request with this idempotency key may have run",
                )
            if insert_result.is_own:
                return claim
            other_row = insert_result.other_row
            if other_row is not None and other_row.state is ClaimState.CLAIMED:
                other_row, version = await self._wait_for_outcome(claim, request)
            else:
                version = insert_result.version
            if other_row is None:
                version = 0
                continue
            if other_row.fingerprint != row.fingerprint:
                return _key_reused_response()
            if other_row.state is not ClaimState.NOT_RUN:
                return _stored_response(other_row)

    async def _insert(
        self, insertion: _Insertion, deadline_ms: float
    ) -> _InsertResult | None:
        """Insert a claim; return None if the result is unknown at the deadline."""
        left_ms = deadline_ms - self._clock()
        insert_result = None
        try:
            async with asyncio.timeout(left_ms / 1000):
                insert_result = await self._insertions.submit(insertion)
        except TimeoutError:
            pass
        finally:
            if insert_result is None:
                self._start_background(self._withdraw(insertion.claim))
        return insert_result

    async def _wait_for_outcome(
        self, claim: Claim, request: CallerRequest
    ) -> tuple[ClaimRow | None, int]:
        """Wait while another request holds the claim; return the row and its version.

        Return early if the row has been removed or has another fingerprint.
        At the deadline, the returned row is still claimed.
        """
        poll_ms = FIRST_POLL_MS
        current_row: ClaimRow | None = msgspec.structs.replace(claim.row)
        version = 0
        while request.deadline_ms - self._clock() > poll_ms:
            result = await self._platform.read([claim.name])
            if is_successful(result):
                row = result.unwrap().get(claim.name)
                current_row = _decode(row) if row is not None else None
                version = row.version if row is not None else 0
                if current_row is None or current_row.state is not ClaimState.CLAIMED:
                    break
                if current_row.fingerprint != claim.row.fingerprint:
                    break
            await asyncio.sleep(poll_ms / 1000)
            poll_ms = min(poll_ms * 2, MAX_POLL_MS)
        return current_row, version

    async def _withdraw(self, claim: Claim) -> None:
        """Mark a claim as not run when its insertion may still take effect.

        Its request is never sent. Without this, a resend would get the outcome
        "unknown".
        """
        row = msgspec.structs.replace(claim.row, state=ClaimState.NOT_RUN)
        checks = failures = 0
        pause_s = RECORD_RETRY_PAUSE_S
        while checks < WITHDRAW_CHECKS and failures < MAX_WITHDRAW_FAILURES:
            if await self._updates.submit(_OutcomeUpdate(claim, row)):
                checks += 1
                pause_s = RECORD_RETRY_PAUSE_S
            else:
                # Counted separately: an outage may outlast all checks together.
                failures += 1
                pause_s = min(pause_s * 2, MAX_WITHDRAW_PAUSE_S)
            await asyncio.sleep(pause_s)

    async def _commit_insertions(
        self, insertions: Sequence[_Insertion]
    ) -> Sequence[_InsertResult | None]:
        # A row may occur only once per transaction. Other insertions of it in this
        # batch get the row of the first one.
        first_by_name = {
            insertion.claim.name: insertion for insertion in reversed(insertions)
        }
        rows = await self._try_insertions(list(first_by_name.values()))
        if rows is StoreFailure.UNAVAILABLE:
            return [_InsertResult(False, is_refused=True)] * len(insertions)
        if isinstance(rows, StoreFailure):
            return [None] * len(insertions)
        return [
            _insert_result(insertion, rows.get(insertion.claim.name))
            for insertion in insertions
        ]

    async def _try_insertions(
        self, insertions: Sequence[_Insertion]
    ) -> dict[RowName, Row] | StoreFailure:
        """Insert the rows whose versions match; return all rows, or the failure.

        ``UNAVAILABLE`` means that nothing was inserted, ``UNKNOWN`` that rows may have
        been inserted.
        """
        names = [insertion.claim.name for insertion in insertions]
        write_id = WriteId(uuid.uuid4().hex)
        rows: dict[RowName, Row] = {}
        pending = list(insertions)
        for attempt in range(MAX_INSERT_ROUNDS):
            if not pending:
                return rows
            if attempt:
                await self._pacer.wait()
            result = await self._platform.transact(
                [
                    Condition(insertion.claim.name, insertion.version)
                    for insertion in pending
                ],
                [
                    _write(insertion.claim.name, insertion.claim.row)
                    for insertion in pending
                ],
                write_id,
            )
            if is_successful(result):
                for insertion in pending:
                    value = msgspec.Raw(msgspec.json.encode(insertion.claim.row))
                    rows[insertion.claim.name] = Row(
                        insertion.claim.name, 0, value, write_id
                    )
                return rows
            if result.failure() is StoreFailure.UNAVAILABLE:
                return StoreFailure.UNAVAILABLE
            read_result = await self._platform.read(names)
            if not is_successful(read_result):
                return StoreFailure.UNKNOWN
            rows = read_result.unwrap()
            if any(row.write_id == write_id for row in rows.values()):
                return rows
            if result.failure() is StoreFailure.UNKNOWN:
                return StoreFailure.UNKNOWN
            # Conflict: other routers have written some of the rows. Retry the others.
            pending = [
                insertion
                for insertion in pending
                if _version_of(rows, insertion.claim.name) == insertion.version
            ]
        return StoreFailure.UNKNOWN

    async def _record_outcome(self, claim: Claim, row: ClaimRow) -> None:
        """Record an outcome; continue in the background if the store is slow."""
        task = self._start_background(
            self._record_with_retries(_OutcomeUpdate(claim, row))
        )
        await asyncio.wait([task], timeout=RECORD_WAIT_S)

    def _start_background(
        self, coroutine: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _record_with_retries(self, update: _OutcomeUpdate) -> None:
        for _ in range(MAX_RECORD_ATTEMPTS):
            if await self._updates.submit(update):
                return
            await asyncio.sleep(RECORD_RETRY_PAUSE_S)
        log_event(
            "claim_left_claimed",
            row=update.claim.name,
            request_id=update.row.request_id,
            outcome=update.row.state.value,
        )

    async def _commit_updates(
        self, updates: Sequence[_OutcomeUpdate]
    ) -> Sequence[bool]:
        """Update the rows that are still claimed; return which updates are settled.

        An update is also settled if its row no longer has this claim.
        """
        names = [update.claim.name for update in updates]
        read_result = await self._platform.read(names)
        if not is_successful(read_result):
            return [False] * len(updates)
        rows = read_result.unwrap()
        pending = [
            update
            for update in updates
            if _is_still_claimed(rows.get(update.claim.name), update.claim.row)
        ]
        if not pending:
            return [True] * len(updates)
        result = await self._platform.transact(
            [
                Condition(update.claim.name, rows[update.claim.name].version)
                for update in pending
            ],
            [_write(update.claim.name, update.row) for update in pending],
            WriteId(uuid.uuid4().hex),
        )
        # After a failure the next attempt reads the rows again. If only the reply was
        # lost, the row is no longer claimed.
        if is_successful(result):
            return [True] * len(updates)
        unsettled = {id(update) for update in pending}
        return [id(update) not in unsettled for update in updates]


def claim_row_name(service: ServiceName, idempotency_key: IdempotencyKey) -> RowName:
    """Return the name of the row for an idempotency key."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return RowName(f"claims/{service}/{digest}")


def _write(name: RowName, row: ClaimRow) -> Write:
    return Write(name, msgspec.Raw(msgspec.json.encode(row)))


def _version_of(rows: dict[RowName, Row], name: RowName) -> int:
    row = rows.get(name)
    return row.version if row is not None else 0


def _decode(row: Row) -> ClaimRow:
    return msgspec.json.decode(row.value, type=ClaimRow)


def _is_same_claim(found: ClaimRow, own: ClaimRow) -> bool:
    # The request id and the name of the router are not unique over time.
    return found.claim_id == own.claim_id


def _is_still_claimed(row: Row | None, own: ClaimRow) -> bool:
    if row is None:
        return False
    found = _decode(row)
    return found.state is ClaimState.CLAIMED and _is_same_claim(found, own)


def _insert_result(insertion: _Insertion, row: Row | None) -> _InsertResult:
    if row is None:
        return _InsertResult(False)
    found = _decode(row)
    if _is_same_claim(found, insertion.claim.row):
        return _InsertResult(True)
    return _InsertResult(False, found, row.version)


def _final_row(row: ClaimRow, response: RoutedResponse | None) -> ClaimRow:
    if response is None or response.outcome is Outcome.UNKNOWN:
        return msgspec.structs.replace(row, state=ClaimState.UNKNOWN)
    if response.outcome is Outcome.NOT_RUN:
        return msgspec.structs.replace(row, state=ClaimState.NOT_RUN)
    is_stored = (
        response.stream is None and len(response.body) <= MAX_STORED_RESPONSE_BYTES
    )
    return msgspec.structs.replace(
        row,
        state=ClaimState.RAN,
        status=response.status,
        content_type=response.headers.get(CONTENT_TYPE_HEADER),
        body=response.body if is_stored else None,
    )


def _stored_response(row: ClaimRow) -> RoutedResponse:
    if row.state is not ClaimState.RAN:
        return local_response(
            Outcome.UNKNOWN,
            504,
            "outcome-unknown",
            "an earlier request with this idempotency key may have run",
        )
    if row.status is None or row.body is None:
        return local_response(
            Outcome.RAN,
            409,
            "answer-not-kept",
            "the request has run; its response was too long to be stored",
        )
    response = local_response(Outcome.RAN, row.status, "")
    if row.content_type is not None:
        response.headers[CONTENT_TYPE_HEADER] = row.content_type
    return msgspec.structs.replace(response, body=row.body)


def _key_reused_response() -> RoutedResponse:
    return local_response(
        Outcome.NOT_RUN,
        422,
        "idempotency-key-reused",
        "this idempotency key was used for a different request",
    )

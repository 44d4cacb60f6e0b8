"""Reads changes of a table directly when the view of it grows old.

Changes usually come by a waiting poll or from the leader. Neither shows in time that
there are none: a poll may wait, its reply may be lost, and a leader may be slow.
"""

import asyncio
from collections.abc import Callable, Collection
from math import isinf

from returns.result import Failure, Result, Success

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.logs import log_event

from .tablefollower import Role, StoreSync
from .tablestore import TableFailure, TableRead, TableStore
from .viewage import ViewAge

LEADER_PERIOD_MS = 400.0
"""Age of the leader's view at which it is refreshed; followers' views are older."""
REFRESH_RESERVE_MS = 350.0
"""Time before the view becomes unusable at which other routers refresh it."""
CHECK_PERIOD_S = 0.05
"""Longest pause between two checks of the view's age."""
TIMEOUT_MS = 350.0
"""Time after which a refresh counts as unanswered, until its reply arrives."""
TURN_S = 0.02
"""Period in which the wait for a reply counts the turns of the event loop."""
MIN_TURNS = 8
"""Turns within the timeout below which it says nothing about the store.

A call on a new connection takes about six turns, so this process may be what is slow.
"""
FAILURES_OF_OUTAGE = 2
"""Calls in a row without a reply after which entries may be missing for a while."""
MIN_RETRY_S = 0.1
"""Pause after the first refresh without an answer; it doubles with each further one."""
MAX_RETRY_S = 0.8
"""Longest pause after a refresh without an answer."""

_Changes = tuple[Result[TableRead, TableFailure], bool]
"""Rows, or why there are none, and whether they are the complete table."""


class ViewRefresher:
    """Keeps the view from becoming older than it may be used."""

    def __init__(
        self,
        store: TableStore,
        table: str,
        store_sync: StoreSync,
        view_age: ViewAge,
        max_age_ms: float,
        on_outage_end: Callable[[], None],
        clock: Clock,
        roles: Collection[Role] = tuple(Role),
    ) -> None:
        """``view_age`` is that of the view of ``table``.

        ``on_outage_end`` is called before rows that follow unanswered calls. The view
        is refreshed while this router has one of the ``roles``.
        """
        self._store = store
        self._table = table
        self._store_sync = store_sync
        self._view_age = view_age
        self._max_age_ms = max_age_ms
        self._roles = frozenset(roles)
        self._on_outage_end = on_outage_end
        self._clock = clock
        self._failures = 0
        self._last_took_ms = 0.0
        """Duration of the last refresh."""

    async def run(self) -> None:
        """Refresh the view whenever it is due; never returns."""
        while True:
            left_s = (self._due_ms - self._clock()) / 1000
            if left_s > 0:
                await asyncio.sleep(min(CHECK_PERIOD_S, left_s))
                continue
            if not self._is_needed():
                await asyncio.sleep(CHECK_PERIOD_S)
                continue
            if await self._refresh():
                continue
            delay_s = min(MAX_RETRY_S, MIN_RETRY_S * 2 ** min(self._failures, 8))
            await asyncio.sleep(delay_s)

    @property
    def _due_ms(self) -> float:
        """Time at which the view has to be refreshed."""
        max_age_ms = self._max_age_ms - REFRESH_RESERVE_MS - self._last_took_ms
        if self._store_sync.role is Role.LEADER:
            max_age_ms = LEADER_PERIOD_MS
        return self._view_age.informed_until_ms + max_age_ms

    def _is_needed(self) -> bool:
        """Return whether nothing else is about to read the table or to show an outage.

        The first read of the table, and the reads after an outage, are complete ones.
        """
        if isinf(self._view_age.informed_until_ms):
            return False
        if self._store_sync.role not in self._roles:
            return False
        return self._store_sync.is_reachable or not self._view_age.has_unanswered_call

    async def _refresh(self) -> bool:
        """Read the changes; return whether the store answered.

        A late reply is used as well: it counts from the start of its call.
        """
        started_ms = self._clock()
        reading = asyncio.ensure_future(self._read_changes())
        try:
            await self._wait_for_reply(reading, started_ms)
            result, is_complete = await reading
        finally:
            reading.cancel()
            self._last_took_ms = self._clock() - started_ms
        if not isinstance(result, Success):
            if self._last_took_ms < TIMEOUT_MS:
                self._record_unanswered(result.failure().value, started_ms)
            return False
        if self._failures:
            log_event("view_refreshed", table=self._table, failures=self._failures)
        if self._failures >= FAILURES_OF_OUTAGE:
            self._on_outage_end()
        self._failures = 0
        read = result.unwrap()
        self._store_sync.apply_rows(self._table, read, is_complete)
        self._view_age.record_informed(started_ms)
        self._store_sync.write_times.record_read(
            read.version, started_ms, self._clock()
        )
        return True

    async def _wait_for_reply(
        self, reading: asyncio.Future[_Changes], started_ms: float
    ) -> None:
        """Wait for a call, and record that it is unanswered if its reply is late."""
        turns = 0
        while not reading.done() and self._clock() - started_ms < TIMEOUT_MS:
            await asyncio.wait({reading}, timeout=TURN_S)
            turns += 1
        if reading.done():
            return
        if turns < MIN_TURNS:
            log_event("view_refresh_overdue", table=self._table, turns=turns)
            return
        self._record_unanswered("late", started_ms)

    async def _read_changes(self) -> _Changes:
        """Return the changes, and whether they are the complete table."""
        version = self._store_sync.table_versions.get(self._table, 0)
        result = await self._store.follow(self._table, version, 0)
        if result != Failure(TableFailure.HISTORY_LOST):
            return result, False
        return await self._store.read(self._table), True

    def _record_unanswered(self, reason: str, started_ms: float) -> None:
        now_ms = self._clock()
        log_event(
            "view_refresh_failed",
            table=self._table,
            reason=reason,
            took_ms=round(now_ms - started_ms),
            age_ms=round(self._view_age.age_ms(now_ms)),
        )
        self._failures += 1
        self._view_age.record_unanswered(started_ms)

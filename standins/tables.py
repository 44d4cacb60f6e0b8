"""In-memory store tables with fault injection, in place of a platform's store."""

import asyncio
import random
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Failure, Result, Success

from mulberryrelay_edge.storeversion import own_version, restores_of, store_version
from mulberryrelay_edge.tablestore import (
    Committed,
    RowCondition,
    RowWrite,
    TableFailure,
    TableRead,
    TableRow,
)

REPLY_DELAY_S = 0.004
"""Time from a call to its reply."""
LATE_S = (1.0, 6.0)
"""Bounds of the delay of a transaction that is applied late."""
CALL_TIMEOUT_S = 1.0
"""Time after which a call without a reply fails."""


class TablesCopy(msgspec.Struct, frozen=True):
    """Copy of all rows, and the version of the store when it was made."""

    rows: dict[tuple[str, str], TableRow]
    version: int


class Tables:
    """The rows of all tables, shared by all clients.

    Each transaction gets the next version of a counter that all tables share.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], TableRow] = {}
        self.history: list[tuple[str, TableRow]] = []
        self.compacted_version = 0
        """Changes up to this version are no longer available."""
        self.version = 0
        self.restores = 0
        """How often the tables were restored from a copy."""
        self.calls = 0
        self._changed = asyncio.Event()

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row directly, as operators and servers do."""
        self.version += 1
        self._put(table, key, value)

    def copy(self) -> TablesCopy:
        """Return a copy of all rows."""
        return TablesCopy(dict(self.rows), self.version)

    def restore(self, copy: TablesCopy) -> None:
        """Go back to a copy; later changes are lost and their versions used again."""
        self.rows = dict(copy.rows)
        self.version = copy.version
        self.history = [row for row in self.history if row[1].version <= copy.version]
        self.restores += 1

    def compact(self) -> None:
        """Drop the history of changes."""
        self.compacted_version = self.version
        self.history.clear()

    def apply(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> bool:
        """Apply a transaction; return whether its conditions held."""
        for condition in conditions:
            row = self.rows.get((condition.table, condition.key))
            if (row.version if row is not None else 0) != condition.version:
                return False
        self.version += 1
        for write in writes:
            self._put(write.table, write.key, write.value)
        return True

    def changes(self, table: str, after: int) -> list[TableRow]:
        """Return the newest change of each row after a version."""
        newest = {
            row.key: row
            for changed_table, row in self.history
            if changed_table == table and row.version > after
        }
        return sorted(newest.values(), key=lambda row: row.version)

    async def wait_changed(self) -> None:
        """Return after the next change."""
        await self._changed.wait()

    def _put(self, table: str, key: str, value: bytes | None) -> None:
        row = TableRow(key, value, self.version)
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = row
        self.history.append((table, row))
        self._changed.set()
        self._changed = asyncio.Event()


class TableClient:
    """One process's access to the tables; implements ``TableStore``."""

    def __init__(
        self, tables: Tables, clock: Callable[[], float], rng: random.Random
    ) -> None:
        self._tables = tables
        self.clock = clock
        """The store's clock."""
        self._rng = rng
        self.is_partitioned = False
        """Whether calls get no reply."""
        self.is_refusing = False
        """Whether calls are refused."""
        self.is_deaf = False
        """Whether waiting polls miss changes."""
        self.lost_share = 0.0
        """Fraction of the transactions that are applied but whose reply is lost."""
        self.late_share = 0.0
        """Fraction of the transactions applied seconds later, without a reply."""
        self.reply_delay_s = REPLY_DELAY_S
        self.lost_polls: set[str] = set()
        """Tables whose waiting polls get no reply."""
        self.poll_travel_s: dict[str, float] = {}
        """Time that the reply to a waiting poll of a table travels."""
        self.read_travel_s: dict[str, float] = {}
        """Time that the reply to a read of a whole table travels."""
        self.failing_reads: set[str] = set()
        """Tables whose reads and polls fail although the store answers other calls."""

    async def read(self, table: str) -> Result[TableRead, TableFailure]:
        failure = await self._injected_failure()
        if failure is None and table in self.failing_reads:
            failure = await self._time_out()
        if failure is not None:
            return Failure(failure)
        rows = [row for (name, _), row in self._tables.rows.items() if name == table]
        read = self._read(rows)
        if table in self.read_travel_s:
            await asyncio.sleep(self.read_travel_s[table])
        return Success(read)

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[TableRead, TableFailure]:
        loop = asyncio.get_running_loop()
        given_up_s = loop.time() + wait_ms / 1000 + CALL_TIMEOUT_S
        result = await self._follow(table, after, wait_ms)
        if table in self.failing_reads:
            return Failure(await self._time_out())
        travel_s = self.poll_travel_s.get(table, 0.0)
        if table in self.lost_polls or loop.time() + travel_s > given_up_s:
            await asyncio.sleep(given_up_s - loop.time())
            return Failure(TableFailure.UNKNOWN)
        if travel_s:
            await asyncio.sleep(travel_s)
        return result

    async def _follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[TableRead, TableFailure]:
        failure = await self._injected_failure()
        if failure is not None:
            return Failure(failure)
        own_after = own_version(after)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self.is_deaf or not self._tables.changes(table, own_after):
                    is_lost = own_after < self._tables.compacted_version
                    if is_lost or own_after > self._tables.version:
                        return Failure(TableFailure.HISTORY_LOST)
                    await self._tables.wait_changed()
        except TimeoutError:
            pass
        if self.is_partitioned or self.is_refusing:
            return Failure(TableFailure.UNKNOWN)
        if after and restores_of(after) != self._tables.restores:
            return Failure(TableFailure.HISTORY_LOST)
        return Success(self._read(self._tables.changes(table, own_after)))

    async def commit(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Result[Committed, TableFailure]:
        failure = await self._injected_failure()
        if failure is not None:
            return Failure(failure)
        if self._rng.random() < self.late_share:
            delay_s = self._rng.uniform(*LATE_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._apply, conditions, writes)
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Failure(TableFailure.UNKNOWN)
        was_applied = self._apply(conditions, writes)
        version = store_version(self._tables.restores, self._tables.version)
        if self._rng.random() < self.lost_share:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Failure(TableFailure.UNKNOWN)
        await asyncio.sleep(self.reply_delay_s / 2)
        if not was_applied:
            return Failure(TableFailure.CONFLICT)
        return Success(Committed(version, self.clock()))

    async def close(self) -> None:
        """Nothing to release."""

    def _read(self, rows: list[TableRow]) -> TableRead:
        restores = self._tables.restores
        read = [
            msgspec.structs.replace(row, version=store_version(restores, row.version))
            for row in rows
        ]
        version = store_version(restores, self._tables.version)
        return TableRead(read, version, self.clock())

    def _apply(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> bool:
        """Apply a transaction; a condition of before a restore does not hold."""
        restores = self._tables.restores
        for condition in conditions:
            if condition.version and restores_of(condition.version) != restores:
                return False
        own_conditions = [
            msgspec.structs.replace(condition, version=own_version(condition.version))
            for condition in conditions
        ]
        return self._tables.apply(own_conditions, writes)

    async def _time_out(self) -> TableFailure:
        """Wait until a call without a reply is given up; return its failure."""
        await asyncio.sleep(CALL_TIMEOUT_S)
        return TableFailure.UNKNOWN

    async def _injected_failure(self) -> TableFailure | None:
        """Count a call, delay it and return its failure, if it is to fail."""
        self._tables.calls += 1
        if self.is_partitioned:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return TableFailure.UNKNOWN
        await asyncio.sleep(self.reply_delay_s / 2)
        if self.is_refusing:
            return TableFailure.REFUSED
        return None

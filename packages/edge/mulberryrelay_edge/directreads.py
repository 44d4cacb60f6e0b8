"""Reads of tables of which the leader does not send an update to this follower.

Each such table is read from the store once. If that fails, the leader has to send the
update: it may be the store that turns this router away.
"""

import asyncio

from returns.result import Failure

from mulberryrelay_kernel.logs import log_event

from .tablefollower import StoreSync
from .tablestore import TableFailure, TableRead, TableStore

READ_TIMEOUT_S = 0.8
"""Time after which the leader has to send the update."""


class DirectReads:
    """The tables that a follower reads from the store, and those it could not read."""

    def __init__(self) -> None:
        self._due: set[str] = set()
        self._failed: set[str] = set()
        """Tables that could not be read, until an update of them is applied."""
        self._due_event = asyncio.Event()

    @property
    def reported(self) -> tuple[str, ...] | None:
        """Value of ``RouterReport.store_reads``."""
        return None if self._failed else tuple(sorted(self._due))

    @property
    def are_pending(self) -> bool:
        """Whether the result of a read is still missing."""
        return bool(self._due)

    def request(self, table: str) -> None:
        """Read a table soon, because the leader did not send an update of it."""
        self._due.add(table)
        self._due_event.set()

    async def next_table(self) -> str:
        """Wait for a table to read; it remains due until ``end`` is called."""
        while not self._due:
            self._due_event.clear()
            await self._due_event.wait()
        return min(self._due)

    def end(self, table: str, is_read: bool) -> None:
        """Record the result of a read."""
        self._due.discard(table)
        if not is_read:
            self._failed.add(table)

    def record_applied(self, table: str) -> None:
        """Record that the leader sent an update of a table."""
        self._failed.discard(table)


async def read_due_tables(
    store: TableStore, store_sync: StoreSync, direct_reads: DirectReads
) -> None:
    """Read and apply the tables that are due; never returns."""
    while True:
        table = await direct_reads.next_table()
        is_known = table in store_sync.table_versions
        read = await _read(store, table) if is_known else None
        if read is not None:
            store_sync.apply_rows(table, read, is_complete=True)
        direct_reads.end(table, is_read=read is not None)


async def _read(store: TableStore, table: str) -> TableRead | None:
    """Return the rows of a table, or None if the store does not return them soon."""
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            result = await store.read(table)
    except TimeoutError:
        result = Failure(TableFailure.UNKNOWN)
    if isinstance(result, Failure):
        reason = result.failure()
        log_event("direct_read_failed", table=table, reason=reason.value)
        return None
    return result.unwrap()

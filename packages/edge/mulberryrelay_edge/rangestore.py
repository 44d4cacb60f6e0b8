"""Writes the range maps of services to the store; only the leader uses it.

Edits that arrive while a write is in progress are combined into the next write. If the
reply to a write is lost, the row is read back; if the write is not in it, it is retried
under the same version condition, so that it takes effect at most once.
"""

import asyncio

import msgspec
from returns.result import Success

from mulberryrelay_kernel.decoding import decode_json
from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event

from .lease import LeaderLease
from .messages import RangeMapRow
from .ownership import LEADER_NOTICE_KEY, RANGES_TABLE, Ownership
from .rangeedits import Edit, Ranges
from .storeversion import restores_of
from .tablestore import (
    RowCondition,
    RowWrite,
    TableFailure,
    TableRead,
    TableRow,
    TableStore,
)

RETRY_S = 0.15
"""Pause before a failed call to the store is retried."""
BATCH_DELAY_S = 0.1
"""Time to wait for further edits before a write.

Each write makes the leader send an update to every router.
"""


class RangeStore:
    """The range maps of all services during one term of this process as leader."""

    def __init__(
        self,
        store: TableStore,
        ownership: Ownership,
        boot_id: str,
        lease: LeaderLease,
    ) -> None:
        self._store = store
        self._ownership = ownership
        self._boot_id = boot_id
        self._lease = lease
        self._rows: dict[ServiceName, RangeMapRow] = {}
        self._versions: dict[ServiceName, int] = {}
        self._pending: dict[ServiceName, list[tuple[Edit, asyncio.Future[None]]]] = {}
        self._writers: dict[ServiceName, asyncio.Task[None]] = {}
        self._write_count = 0
        self._rewritten: set[ServiceName] = set()
        """Services whose ranges have to be stored again after a restore."""
        self._restores = 0
        """How often the store had been restored at the last read or write."""
        self._outdated: set[ServiceName] = set()
        """Services whose ranges are from before a restore."""
        self._current: set[ServiceName] = set()
        """Services of which no server has a grant by lost ranges any more."""

    @property
    def services(self) -> list[ServiceName]:
        """Services that have ranges."""
        return list(self._rows)

    def ranges(self, service: ServiceName) -> Ranges:
        """Return the ranges last written or read; empty if there are none."""
        row = self._rows.get(service)
        return row.ranges if row is not None else ()

    def is_outdated(self, service: ServiceName) -> bool:
        """Return whether later moves of a service may have been lost.

        This is so if its ranges were read from a restored store and nobody has written
        them since the restore.
        """
        if service in self._current:
            return False
        if service in self._rows:
            return service in self._outdated
        return self._lease.restores > 0

    def mark_current(self, service: ServiceName) -> None:
        """Record that no server has a grant by lost ranges of a service any more."""
        self._current.add(service)

    async def write_again(self) -> None:
        """Store all ranges again after the store was restored from an older copy.

        Outdated ranges stay as they are, so that the next leader does not trust them.

        Raises:
            TermEndedError: the term ended first.
        """
        await self.load()
        services = [name for name in self._rows if not self.is_outdated(name)]
        self._rewritten.update(services)
        for service in services:
            await self.update(service, lambda ranges: ranges)

    async def load(self) -> None:
        """Read all ranges.

        Raises:
            TermEndedError: the term ended first.
        """
        while True:
            await self._lease.wait_sendable()
            result = await self._store.read(RANGES_TABLE)
            if isinstance(result, Success):
                self._apply_read(result.unwrap())
                return
            await asyncio.sleep(RETRY_S)

    async def update(self, service: ServiceName, edit: Edit) -> None:
        """Apply an edit and return once it is stored.

        Raises:
            TermEndedError: the term ended first; the edit may still have been stored.
        """
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending.setdefault(service, []).append((edit, done))
        if service not in self._writers:
            self._writers[service] = asyncio.create_task(self._write_all(service))
        await done

    def _is_expecting_edits(self, service: ServiceName) -> bool:
        """Return whether several ranges are moving, so that more edits follow soon."""
        return sum(key_range.is_moving for key_range in self.ranges(service)) > 1

    def _apply_read(self, read: TableRead) -> None:
        for row in read.rows:
            if row.value is None or row.key == LEADER_NOTICE_KEY:
                continue
            service = ServiceName(row.key)
            if row.version < self._versions.get(service, 0):
                continue
            stored = decode_json(row.value, RangeMapRow)
            self._versions[service] = row.version
            is_outdated = stored.restores < restores_of(row.version)
            if service in self._rows and is_outdated:
                # The ranges in memory are newer than what a restored store has.
                continue
            self._rows[service] = stored
            if is_outdated:
                self._outdated.add(service)
        self._restores = restores_of(read.version)
        for service, version in self._versions.items():
            if restores_of(version) < self._restores:
                # The restored store has no row of the service.
                self._versions[service] = 0
        self._ownership.apply_rows(read, False)

    async def _write_all(self, service: ServiceName) -> None:
        try:
            while True:
                if self._is_expecting_edits(service):
                    await asyncio.sleep(BATCH_DELAY_S)
                batch = self._pending.pop(service, [])
                if not batch:
                    return
                error: Exception | None = None
                try:
                    await self._write(service, [edit for edit, _ in batch])
                except Exception as failure:
                    # Raised where the edits were requested.
                    error = failure
                for _, done in batch:
                    if done.done():
                        continue
                    if error is not None:
                        done.set_exception(error)
                    else:
                        done.set_result(None)
        finally:
            del self._writers[service]

    async def _write(self, service: ServiceName, edits: list[Edit]) -> None:
        while True:
            await self._lease.wait_sendable()
            old = self.ranges(service)
            ranges = old
            for edit in edits:
                ranges = edit(ranges)
            if ranges == old and service not in self._rewritten:
                return
            self._write_count += 1
            restores = max(self._restores, self._lease.restores)
            row = RangeMapRow(f"{self._boot_id}-{self._write_count}", ranges, restores)
            if await self._store_row(service, row):
                self._rewritten.discard(service)
                return

    async def _store_row(self, service: ServiceName, row: RangeMapRow) -> bool:
        """Store a row; return False if another write came first.

        In that case the newest rows have been read.
        """
        value = msgspec.json.encode(row)
        condition = RowCondition(RANGES_TABLE, service, self._versions.get(service, 0))
        while True:
            await self._lease.wait_sendable()
            result = await self._store.commit(
                [condition], [RowWrite(RANGES_TABLE, service, value)]
            )
            if isinstance(result, Success):
                version = result.unwrap().version
                self._versions[service] = version
                self._rows[service] = row
                self._restores = restores_of(version)
                if self._restores != row.restores:
                    # The row names too few restores; a new leader would not trust it.
                    return False
                written = TableRow(service, value, version)
                self._ownership.apply_rows(TableRead([written], version, 0.0), False)
                log_event(
                    "ranges_written",
                    service=service,
                    row_version=version,
                    ranges=len(row.ranges),
                    moving=sum(key_range.is_moving for key_range in row.ranges),
                )
                return True
            if result.failure() is TableFailure.REFUSED:
                await asyncio.sleep(RETRY_S)
                continue
            await self.load()
            if self._rows.get(service, RangeMapRow("", ())).write_id == row.write_id:
                return True
            if result.failure() is TableFailure.CONFLICT:
                return False
            await asyncio.sleep(RETRY_S)

"""The stored assignment: which backend server owns which unit.

A unit is a key range, or an override: a single key that was split from its range.
Ranges are stored 64 to a row, the overrides of a service in one row. Every transaction
is conditional on the term row, so that a coordinator whose term has ended cannot write.
"""

import asyncio
from collections.abc import Iterator, Sequence
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.hashing import (
    OVERRIDE_PREFIX,
    RANGE_PREFIX,
    is_override,
    range_index,
    range_unit,
)
from mulberryrelay_kernel.ids import (
    AssignmentVersion,
    Epoch,
    Key,
    RowName,
    ServiceName,
    UnitId,
)
from mulberryrelay_kernel.messages import (
    Assignment,
    ChunkRow,
    Condition,
    Row,
    Unit,
    UnitUpdate,
    Write,
)
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.platform import Platform
from mulberryrelay_kernel.states import StoreFailure

from .conditional_write import (
    ConditionalWrite,
    WriteState,
    apply_write,
    new_write,
    resolve_write,
)
from .lease import CoordinatorLease

UNITS_PER_CHUNK = 64
"""Number of ranges that are stored in one row."""
CHUNKS_PER_TRANSACTION = 16
"""Maximum number of rows of ranges in a transaction; keeps it near 100 KB."""

ASSIGNMENT_PREFIX = "assignment/"
OVERRIDES_PREFIX = "overrides/"


class _Chunk(NamedTuple):
    """A stored row of units as last read or written."""

    version: int | None
    """None if the row was written since its version was read."""
    units: dict[UnitId, Unit]


class _PendingWrite(NamedTuple):
    """A write whose result is not known yet, with the units of each of its rows."""

    write: ConditionalWrite
    rows: dict[RowName, dict[UnitId, Unit]]


class AssignmentStore:
    """Reads and writes the assignment, and caches its last known stored state."""

    def __init__(
        self, options: Options, platform: Platform, lease: CoordinatorLease
    ) -> None:
        self._options = options
        self._platform = platform
        self._lease = lease
        self._chunks: dict[RowName, _Chunk] = {}
        self._version = 0
        self._pending: _PendingWrite | None = None
        self._lock = asyncio.Lock()

    @property
    def assignment(self) -> Assignment:
        """The last known state of the stored assignment.

        Its version increases with each write, across terms and coordinators.
        """
        ranges = {}
        overrides = {}
        for service, options in self._options.services.items():
            if not options.partitioned:
                continue
            ranges[service] = [
                self._stored_unit(service, range_unit(index))
                for index in range(options.ranges)
            ]
            stored = self._chunks.get(overrides_row(service), _ABSENT_ROW).units
            overrides[service] = {
                Key(unit.removeprefix(OVERRIDE_PREFIX)): value
                for unit, value in stored.items()
            }
        return Assignment(AssignmentVersion(self._version), ranges, overrides)

    @property
    def is_resolved(self) -> bool:
        """Whether the result of every write is known."""
        return self._pending is None

    async def load(self) -> Result[Assignment, StoreFailure]:
        """Read the whole assignment from the store.

        Units that were never stored have no owner and epoch 0. Fails with ``UNKNOWN``
        while an earlier commit may still take effect, since it could change the units
        after they were read.
        """
        async with self._lock:
            if not await self._resolve_pending():
                return Failure(StoreFailure.UNKNOWN)
            chunks: dict[RowName, _Chunk] = {}
            for prefix in (ASSIGNMENT_PREFIX, OVERRIDES_PREFIX):
                scanned = await self._platform.scan(prefix)
                if not isinstance(scanned, Success):
                    return Failure(scanned.failure())
                chunks.update((row.name, _decode(row)) for row in scanned.unwrap())
            self._chunks = chunks
            # Each write increases the version of a row by at least one. The sum is
            # therefore never lower than a version that was counted by commits.
            versions = sum(chunk.version or 0 for chunk in chunks.values())
            self._version = max(self._version, versions)
            return Success(self.assignment)

    async def commit(self, changes: Sequence[UnitUpdate]) -> Result[None, StoreFailure]:
        """Store changed units, conditional on the term of the lease.

        All units of up to 16 rows are stored in one transaction. More rows take several
        transactions, and a service with changed overrides takes its own; after a
        failure, ``assignment`` has the changes that were stored. An override that is
        committed without an owner is removed. Committing the same changes again writes
        nothing.

        Returns:
            ``CONFLICT`` if the changes are based on an older assignment or the lease
            is not held, ``UNAVAILABLE`` if the store refused the call. In both cases
            nothing of the failed transaction was or will be stored. ``UNKNOWN`` if the
            failed transaction may have been stored or may still be.
        """
        async with self._lock:
            if not await self._resolve_pending():
                return Failure(StoreFailure.UNKNOWN)
            for batch in self._batches(changes):
                result = await self._commit_batch(batch)
                if not isinstance(result, Success):
                    return result
            return Success(None)

    async def _commit_batch(
        self, batch: dict[RowName, list[Unit]]
    ) -> Result[None, StoreFailure]:
        refreshed = await self._read_stale_versions(list(batch))
        if not isinstance(refreshed, Success):
            return refreshed
        rows: dict[RowName, dict[UnitId, Unit]] = {}
        for name, changed in batch.items():
            units = self._chunks.get(name, _ABSENT_ROW).units
            if any(_is_outdated(unit, units.get(unit.unit)) for unit in changed):
                return Failure(StoreFailure.CONFLICT)
            if (result := _changed_units(units, changed)) != units:
                rows[name] = result
        if not self._lease.is_held():
            return Failure(StoreFailure.CONFLICT)
        return await self._write(rows) if rows else Success(None)

    async def _write(
        self, rows: dict[RowName, dict[UnitId, Unit]]
    ) -> Result[None, StoreFailure]:
        conditions = [self._lease.term_condition]
        for name in rows:
            version = self._chunks.get(name, _ABSENT_ROW).version
            assert version is not None
            conditions.append(Condition(name, version))
        write = new_write(
            conditions, [Write(name, _encode(units)) for name, units in rows.items()]
        )
        # Recorded before the first await, since a cancelled call may take effect.
        self._pending = _PendingWrite(write, rows)
        result = await apply_write(self._platform, write)
        if isinstance(result, Success):
            self._record_stored(self._pending)
        if result != Failure(StoreFailure.UNKNOWN):
            self._pending = None
        return result

    async def _resolve_pending(self) -> bool:
        """Find out the result of the pending write; return whether none is left."""
        if self._pending is None:
            return True
        state = await resolve_write(self._platform, self._pending.write)
        if state is None or state is WriteState.PENDING:
            return False
        if state is WriteState.APPLIED:
            self._record_stored(self._pending)
        self._pending = None
        return True

    def _record_stored(self, written: _PendingWrite) -> None:
        for name, units in written.rows.items():
            self._chunks[name] = _Chunk(None, units)
            self._version += 1

    async def _read_stale_versions(
        self, names: Sequence[RowName]
    ) -> Result[None, StoreFailure]:
        """Read the versions of rows that were written since the last read."""
        stale = [
            name
            for name in names
            if self._chunks.get(name, _ABSENT_ROW).version is None
        ]
        if not stale:
            return Success(None)
        read = await self._platform.read(stale)
        if not isinstance(read, Success):
            # Only the read failed; no write has been sent yet.
            return Failure(StoreFailure.UNAVAILABLE)
        rows = read.unwrap()
        for name in stale:
            row = rows.get(name)
            self._chunks[name] = _decode(row) if row else _ABSENT_ROW
        return Success(None)

    def _batches(
        self, changes: Sequence[UnitUpdate]
    ) -> Iterator[dict[RowName, list[Unit]]]:
        """Group changes by row and yield the rows of each transaction.

        An override and the range that it was split from must change together, so that
        each transaction with overrides also has the rows of their ranges.
        """
        by_service: dict[ServiceName, list[Unit]] = {}
        for change in changes:
            by_service.setdefault(change.service, []).append(change.unit)
        shared: dict[RowName, list[Unit]] = {}
        for service, units in by_service.items():
            ranges: dict[RowName, list[Unit]] = {}
            for unit in units:
                if not is_override(unit.unit):
                    ranges.setdefault(row_of(service, unit.unit), []).append(unit)
            overrides = [unit for unit in units if is_override(unit.unit)]
            yield from self._override_batches(service, overrides, ranges)
            shared.update(ranges)
        names = list(shared)
        for start in range(0, len(names), CHUNKS_PER_TRANSACTION):
            chosen = names[start : start + CHUNKS_PER_TRANSACTION]
            yield {name: shared[name] for name in chosen}

    def _override_batches(
        self,
        service: ServiceName,
        overrides: list[Unit],
        ranges: dict[RowName, list[Unit]],
    ) -> Iterator[dict[RowName, list[Unit]]]:
        """Yield transactions with overrides and the rows of the ranges they split.

        Removes these rows, and those that fill the last transaction, from ``ranges``.
        All overrides of a service are in one row, so that each transaction has that row
        and up to 15 others.
        """
        batch: dict[RowName, list[Unit]] = {}
        range_count = self._options.services[service].ranges
        by_row: dict[RowName, list[Unit]] = {}
        for override in overrides:
            key = Key(override.unit.removeprefix(OVERRIDE_PREFIX))
            unit = range_unit(range_index(key, range_count))
            by_row.setdefault(row_of(service, unit), []).append(override)
        for name, split in by_row.items():
            if len(batch) >= CHUNKS_PER_TRANSACTION:
                yield batch
                batch = {}
            batch.setdefault(overrides_row(service), []).extend(split)
            if name in ranges:
                batch[name] = ranges.pop(name)
        if not batch:
            return
        for name in list(ranges)[: CHUNKS_PER_TRANSACTION - len(batch)]:
            batch[name] = ranges.pop(name)
        yield batch

    def _stored_unit(self, service: ServiceName, unit: UnitId) -> Unit:
        chunk = self._chunks.get(row_of(service, unit), _ABSENT_ROW)
        return chunk.units.get(unit) or Unit(unit, None, Epoch(0))


def overrides_row(service: ServiceName) -> RowName:
    """Return the name of the row with a service's overrides."""
    return RowName(f"{OVERRIDES_PREFIX}{service}")


def row_of(service: ServiceName, unit: UnitId) -> RowName:
    """Return the name of the row that stores a unit."""
    if is_override(unit):
        return overrides_row(service)
    chunk = int(unit.removeprefix(RANGE_PREFIX)) // UNITS_PER_CHUNK
    return RowName(f"{ASSIGNMENT_PREFIX}{service}/{chunk}")


def _is_outdated(changed: Unit, stored: Unit | None) -> bool:
    """Return whether the epoch of a change conflicts with the stored unit."""
    if stored is None or stored == changed:
        return False
    if changed.epoch == stored.epoch:
        return changed.owner != stored.owner and not _is_removed(changed)
    return changed.epoch < stored.epoch


def _is_removed(unit: Unit) -> bool:
    return is_override(unit.unit) and unit.owner is None


def _changed_units(
    units: dict[UnitId, Unit], changed: Sequence[Unit]
) -> dict[UnitId, Unit]:
    result = dict(units)
    for unit in changed:
        if _is_removed(unit):
            result.pop(unit.unit, None)
            continue
        result[unit.unit] = unit
    return result


def _encode(units: dict[UnitId, Unit]) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(ChunkRow(list(units.values()))))


def _decode(row: Row) -> _Chunk:
    decoded = msgspec.json.decode(row.value, type=ChunkRow)
    return _Chunk(row.version, {unit.unit: unit for unit in decoded.units})


_ABSENT_ROW = _Chunk(0, {})

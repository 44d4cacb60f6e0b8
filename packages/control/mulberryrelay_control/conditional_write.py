"""Conditional writes to the store whose result can be found out if a reply is lost.

Used by the coordinator lease and the assignment store. Each write has a write id, which
the store keeps with every row that it writes. A call without a reply may still take
effect later. A write that is not seen in the rows is therefore only known to have
failed once one of its conditions can no longer hold.
"""

import uuid
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.ids import RowName, WriteId
from mulberryrelay_kernel.messages import Condition, Row, Write
from mulberryrelay_kernel.platform import Platform
from mulberryrelay_kernel.states import StoreFailure


class WriteState(Enum):
    """State of a write, derived from the rows in the store."""

    APPLIED = "applied"
    NOT_APPLIED = "not-applied"
    """A condition can no longer hold, so that the write can never take effect."""
    OVERWRITTEN = "overwritten"
    """Every row of the write was written by others. Whether the write was applied
    before them is unknown; it can no longer take effect."""
    PENDING = "open"
    """The write may still take effect."""


class ConditionalWrite(msgspec.Struct, frozen=True):
    """A transaction that may be sent repeatedly and takes effect at most once.

    Each written row must have a condition on its version, so that a retry of an applied
    write fails.
    """

    conditions: list[Condition]
    writes: list[Write]
    write_id: WriteId


def new_write(conditions: list[Condition], writes: list[Write]) -> ConditionalWrite:
    """Return a write with a new write id."""
    return ConditionalWrite(conditions, writes, WriteId(uuid.uuid4().hex))


async def apply_write(
    platform: Platform, write: ConditionalWrite
) -> Result[None, StoreFailure]:
    """Send a new write; if its reply is lost, read the rows back.

    ``CONFLICT`` and ``UNAVAILABLE`` mean that the write never takes effect. ``UNKNOWN``
    means that it may have taken effect or may still do so.
    """
    sent = await platform.transact(write.conditions, write.writes, write.write_id)
    if sent != Failure(StoreFailure.UNKNOWN):
        return sent
    state = await read_back(platform, write)
    if state is WriteState.APPLIED:
        return Success(None)
    if state is WriteState.NOT_APPLIED:
        return Failure(StoreFailure.CONFLICT)
    return Failure(StoreFailure.UNKNOWN)


async def resolve_write(
    platform: Platform, write: ConditionalWrite
) -> WriteState | None:
    """Retry a write whose reply was lost, unless its rows already show the result.

    Returns:
        The state of the write, or None if its rows cannot be read. With ``PENDING`` and
        None it may still take effect.
    """
    state = await read_back(platform, write)
    if state is not WriteState.PENDING:
        return state
    sent = await platform.transact(write.conditions, write.writes, write.write_id)
    if isinstance(sent, Success):
        return WriteState.APPLIED
    # A refusal is only valid for the retry; the first call may have been applied.
    return await read_back(platform, write)


async def read_back(platform: Platform, write: ConditionalWrite) -> WriteState | None:
    """Return the state of ``write``, or None if its rows cannot be read."""
    names = {condition.name for condition in write.conditions}
    names.update(row.name for row in write.writes)
    read = await platform.read(sorted(names))
    if not isinstance(read, Success):
        return None
    return write_state(write, read.unwrap())


def write_state(write: ConditionalWrite, rows: dict[RowName, Row]) -> WriteState:
    """Return the state of ``write`` according to rows from a single read."""
    written = [row.name for row in write.writes]
    if any(_write_id(rows.get(name)) == write.write_id for name in written):
        return WriteState.APPLIED
    changed = {
        condition.name
        for condition in write.conditions
        if _version(rows.get(condition.name)) != condition.version
    }
    if not changed:
        return WriteState.PENDING
    if all(name in changed for name in written):
        return WriteState.OVERWRITTEN
    return WriteState.NOT_APPLIED


def _version(row: Row | None) -> int:
    return row.version if row else 0


def _write_id(row: Row | None) -> WriteId | None:
    return row.write_id if row else None

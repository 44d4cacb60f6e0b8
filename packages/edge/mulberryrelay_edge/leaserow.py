"""The row of the store that holds the leader lease."""

import msgspec

from mulberryrelay_kernel.decoding import decode_json
from mulberryrelay_kernel.ids import InstanceId
from mulberryrelay_kernel.logs import log_event

from .messages import LeaderRow
from .tablestore import TableRead

LEADER_TABLE = "leader"
LEASE_KEY = "lease"
NO_LEASE = LeaderRow(0, InstanceId(""), "", 0.0)
"""Stands for a lease that was never written."""


class StoredLease(msgspec.Struct, frozen=True):
    """The lease as stored, and the version of its row; 0 if there is no row."""

    row: LeaderRow
    version: int


def find_lease(read: TableRead) -> StoredLease | None:
    """Return the lease in the rows of its table.

    Returns None after logging that the row cannot be read. Its holder is unknown then,
    so that the lease must not be taken.
    """
    for row in read.rows:
        if row.key != LEASE_KEY or row.value is None:
            continue
        try:
            return StoredLease(decode_json(row.value, LeaderRow), row.version)
        except msgspec.MsgspecError as error:
            log_event("bad_row", table=LEADER_TABLE, error=str(error))
            return None
    return StoredLease(NO_LEASE, 0)

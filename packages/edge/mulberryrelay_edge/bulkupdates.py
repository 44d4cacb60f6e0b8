"""Limits the share of its link that a leader uses for large updates of tables.

All followers lack the same update at the same time. A large one, sent to all of them,
would fill a narrow link for seconds, and commands to servers would be late. Followers
beyond the limit read the table from the store, each over its own link
(``directreads.py``). Small rows of such an update are sent at once nevertheless: one
that evacuates a data centre must not wait for a large row beside it.
"""

from collections.abc import Collection, Mapping, Sequence

import msgspec

from mulberryrelay_kernel.clock import Clock

from .tablemirror import TableUpdate

LARGE_UPDATE_BYTES = 8192
"""Size from which on an update counts as large, before compression."""
BULK_SHARE = 0.25
"""Share of the link's rate that large updates may use."""
BURST_S = 0.2
"""Time in which an unused budget is saved up to its maximum."""
MAX_EARLY_ROW_BYTES = 256
"""Size of a row up to which it is sent ahead of the large rows of its update."""


class DividedUpdates(msgspec.Struct, frozen=True):
    """Updates for a follower, by the way in which it gets them."""

    sent: list[TableUpdate]
    unsent: tuple[str, ...]
    """Tables that the follower has to read from the store."""
    early: list[TableUpdate]
    """Small rows of the updates that are not sent, as far as the follower lacks them.

    Their version is the highest one of a row.
    """
    are_small_rows_withheld: bool
    """Whether the follower may lack small rows."""


class BulkUpdates:
    """Chooses the updates that are sent, by the bytes that large ones may use now."""

    def __init__(
        self, tables: Collection[str], link_bytes_per_s: float, clock: Clock
    ) -> None:
        """``tables`` are those that followers may read from the store.

        Updates of the others are always sent.
        """
        self._tables = frozenset(tables)
        self._bytes_per_s = BULK_SHARE * link_bytes_per_s
        self._max_bytes = self._bytes_per_s * BURST_S
        self._left_bytes = self._max_bytes
        self._counted_ms = clock()
        self._clock = clock

    def divide(
        self,
        updates: Sequence[TableUpdate],
        store_reads: Collection[str] | None,
        early_versions: Mapping[str, int] | None = None,
    ) -> DividedUpdates:
        """Choose which updates to send to a follower, and count the large ones.

        ``store_reads`` is ``RouterReport.store_reads``, or None if the store may not
        answer the follower. ``early_versions`` is ``RouterReport.early_versions``.
        """
        sent: list[TableUpdate] = []
        unsent: list[str] = []
        withheld: list[TableUpdate] = []
        for update in updates:
            size = _update_bytes(update)
            if update.table not in self._tables or size < LARGE_UPDATE_BYTES:
                sent.append(update)
                continue
            if store_reads is not None and update.table in store_reads:
                withheld.append(update)
                continue
            if store_reads is not None and not self._has_room():
                withheld.append(update)
                unsent.append(update.table)
                continue
            self._left_bytes -= size
            sent.append(update)
        if early_versions is None:
            return DividedUpdates(sent, tuple(unsent), [], bool(withheld))
        early = [
            _small_rows(update, early_versions.get(update.table, 0))
            for update in withheld
        ]
        return DividedUpdates(
            sent,
            tuple(unsent),
            [update for update in early if update is not None and update.rows],
            any(update is None for update in early),
        )

    def _has_room(self) -> bool:
        """Return whether an update may be sent now, of any size.

        One that exceeds the budget uses later time.
        """
        now_ms = self._clock()
        added_bytes = self._bytes_per_s * (now_ms - self._counted_ms) / 1000
        self._left_bytes = min(self._max_bytes, self._left_bytes + added_bytes)
        self._counted_ms = now_ms
        return self._left_bytes > 0


def _small_rows(update: TableUpdate, known_version: int) -> TableUpdate | None:
    """Return the small rows of an update that are newer than a version.

    None if there are so many that they are not small together.
    """
    rows = [
        row
        for row in update.rows
        if row.version > known_version and len(row.value or b"") <= MAX_EARLY_ROW_BYTES
    ]
    if len(rows) * MAX_EARLY_ROW_BYTES > LARGE_UPDATE_BYTES:
        return None
    version = max((row.version for row in rows), default=known_version)
    return TableUpdate(update.table, version, False, rows)


def _update_bytes(update: TableUpdate) -> int:
    return sum(len(row.value) for row in update.rows if row.value is not None)

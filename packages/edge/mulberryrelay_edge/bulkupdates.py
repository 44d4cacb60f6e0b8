"""Limits the share of its link that a leader uses for large updates of tables.

All followers lack the same update at the same time. A large one, sent to all of them,
would fill a narrow link for seconds, and commands to servers would be late. Followers
beyond the limit read the table from the store, each over its own link
(``directreads.py``).
"""

from collections.abc import Collection, Sequence

import msgspec

from mulberryrelay_kernel.clock import Clock

from .tablemirror import TableUpdate

LARGE_UPDATE_BYTES = 8192
"""Size from which on an update counts as large, before compression."""
BULK_SHARE = 0.25
"""Share of the link's rate that large updates may use."""
BURST_S = 0.2
"""Time in which an unused budget is saved up to its maximum."""


class DividedUpdates(msgspec.Struct, frozen=True):
    """Updates for a follower, by the way in which it gets them."""

    sent: list[TableUpdate]
    unsent: tuple[str, ...]
    """Tables that the follower has to read from the store."""


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
        self, updates: Sequence[TableUpdate], store_reads: Collection[str] | None
    ) -> DividedUpdates:
        """Choose which updates to send to a follower, and count the large ones.

        ``store_reads`` is ``RouterReport.store_reads``, or None if the store may not
        answer the follower.
        """
        sent: list[TableUpdate] = []
        unsent: list[str] = []
        for update in updates:
            size = _update_bytes(update)
            if update.table not in self._tables or size < LARGE_UPDATE_BYTES:
                sent.append(update)
                continue
            if store_reads is not None and update.table in store_reads:
                continue
            if store_reads is not None and not self._has_room():
                unsent.append(update.table)
                continue
            self._left_bytes -= size
            sent.append(update)
        return DividedUpdates(sent, tuple(unsent))

    def _has_room(self) -> bool:
        """Return whether an update may be sent now, of any size.

        One that exceeds the budget uses later time.
        """
        now_ms = self._clock()
        added_bytes = self._bytes_per_s * (now_ms - self._counted_ms) / 1000
        self._left_bytes = min(self._max_bytes, self._left_bytes + added_bytes)
        self._counted_ms = now_ms
        return self._left_bytes > 0


def _update_bytes(update: TableUpdate) -> int:
    return sum(len(row.value) for row in update.rows if row.value is not None)

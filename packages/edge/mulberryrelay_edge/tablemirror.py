"""In-memory copy of a store table that can list the changes since a version.

The leader keeps one for each table that it distributes and sends its followers the
rows that changed since the version they have, so that they need not poll the store.
"""

import msgspec

from .tablestore import TableRead, TableRow


class TableUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Rows of a table that are newer than the version that a router has."""

    table: str
    version: int
    """Version of the store that the router has after it applied the rows."""
    is_complete: bool
    """Whether the rows are the whole table rather than only the changed rows."""
    rows: list[TableRow]


MAX_GAPS = 16
"""Complete reads of which it is kept what lay between them and the read before."""


class TableMirror:
    """The rows of a table, including those deleted since the first read."""

    def __init__(self) -> None:
        self._rows: dict[str, TableRow] = {}
        self._first_version = 0
        """Version from which on deletions are recorded, but for the gaps."""
        self._version = 0
        self._gaps: list[tuple[int, int]] = []
        """Versions before and at each complete read.

        Rows that were written and deleted between the two are unknown here.
        """

    @property
    def version(self) -> int:
        """Version of the store at the last read; 0 before the first read."""
        return self._version

    def apply(self, read: TableRead, is_complete: bool) -> None:
        """Apply changed rows, or the whole table if ``is_complete``."""
        if not self._version:
            self._first_version = read.version
        read_keys = set()
        for row in read.rows:
            read_keys.add(row.key)
            current = self._rows.get(row.key)
            if current is None or current.version < row.version:
                self._rows[row.key] = row
        if is_complete:
            self._record_gap(read.version)
            for key, current in list(self._rows.items()):
                is_removed = key not in read_keys and current.version <= read.version
                if is_removed and current.value is not None:
                    self._rows[key] = TableRow(key, None, read.version)
        self._version = max(self._version, read.version)

    def _record_gap(self, version: int) -> None:
        if not self._version or version <= self._version:
            return
        self._gaps.append((self._version, version))
        if len(self._gaps) > MAX_GAPS:
            self._first_version = self._gaps.pop(0)[1]

    def _is_in_gap(self, version: int) -> bool:
        return any(before < version < after for before, after in self._gaps)

    def update_since(self, table: str, known_version: int) -> TableUpdate | None:
        """Return the changes since a version, or None if there are none."""
        if known_version < self._first_version or self._is_in_gap(known_version):
            rows = [row for row in self._rows.values() if row.value is not None]
            return TableUpdate(table, self._version, True, rows)
        rows = [row for row in self._rows.values() if row.version > known_version]
        if not rows:
            return None
        return TableUpdate(table, self._version, False, rows)

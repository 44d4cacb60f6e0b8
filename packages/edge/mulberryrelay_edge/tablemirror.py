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


class TableMirror:
    """The rows of a table, including those deleted since the first read."""

    def __init__(self) -> None:
        self._rows: dict[str, TableRow] = {}
        self._first_version = 0
        """Version of the first read; deletions after it are recorded."""
        self._version = 0

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
            for key, current in list(self._rows.items()):
                is_removed = key not in read_keys and current.version <= read.version
                if is_removed and current.value is not None:
                    self._rows[key] = TableRow(key, None, read.version)
        self._version = max(self._version, read.version)

    def update_since(self, table: str, known_version: int) -> TableUpdate | None:
        """Return the changes since a version, or None if there are none."""
        if known_version < self._first_version:
            rows = [row for row in self._rows.values() if row.value is not None]
            return TableUpdate(table, self._version, True, rows)
        rows = [row for row in self._rows.values() if row.version > known_version]
        if not rows:
            return None
        return TableUpdate(table, self._version, False, rows)

"""A table as last read, from which the leader tells other routers what changed."""

import msgspec

from .tablestore import TableRead, TableRow


class TableUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Rows of a table for a router that knows it up to some version."""

    table: str
    version: int
    """The store's version up to which the table is known with these rows."""
    is_complete: bool
    """Whether these are all rows, and not only those that changed."""
    rows: list[TableRow]


class TableMirror:
    """The rows of a table, with those that were removed since the first read."""

    def __init__(self) -> None:
        self._rows: dict[str, TableRow] = {}
        self._first_version = 0
        """Removals since this version are known."""
        self._version = 0

    @property
    def version(self) -> int:
        """The store's version up to which the table is known; 0 before the first."""
        return self._version

    def take(self, read: TableRead, is_complete: bool) -> None:
        """Apply rows of the table, or all of them."""
        if not self._version:
            self._first_version = read.version
        named = set()
        for row in read.rows:
            named.add(row.key)
            known = self._rows.get(row.key)
            if known is None or known.version < row.version:
                self._rows[row.key] = row
        if is_complete:
            for key, known in list(self._rows.items()):
                is_removed = key not in named and known.version <= read.version
                if is_removed and known.value is not None:
                    self._rows[key] = TableRow(key, None, read.version)
        self._version = max(self._version, read.version)

    def update_since(self, table: str, known_version: int) -> TableUpdate | None:
        """Return what is new since a version, or None if nothing is."""
        if known_version < self._first_version:
            rows = [row for row in self._rows.values() if row.value is not None]
            return TableUpdate(table, self._version, True, rows)
        rows = [row for row in self._rows.values() if row.version > known_version]
        if not rows:
            return None
        return TableUpdate(table, self._version, False, rows)

"""Interface of the store's tables, as the edge router uses them.

Every call ends within a bounded time. Expected failures come back as
``Failure(TableFailure)``.
"""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Generic, Protocol, TypeVar

import msgspec
from returns.result import Result

Item = TypeVar("Item")


class TableFailure(Enum):
    """Why a call to the store gave no result."""

    CONFLICT = "conflict"
    """A condition did not hold; nothing was written."""
    REFUSED = "refused"
    """The store refused the call; nothing was done."""
    UNKNOWN = "unknown"
    """No reply arrived; a write may have taken effect, or may do so later."""
    HISTORY_LOST = "history-lost"
    """The changes since the given version are no longer available."""


class TableRow(msgspec.Struct, frozen=True):
    """A row, or its deletion if ``value`` is None."""

    key: str
    value: bytes | None
    version: int


class TableRead(msgspec.Struct, frozen=True):
    """Rows of a table at one moment."""

    rows: list[TableRow]
    version: int
    """Newest version of the store; changes are followed from here."""
    store_ms: float
    """The store's steady clock."""


class RowCondition(msgspec.Struct, frozen=True):
    """Requires that a row has this version; 0 stands for an absent row."""

    table: str
    key: str
    version: int


class RowWrite(msgspec.Struct, frozen=True):
    """New value of a row."""

    table: str
    key: str
    value: bytes


class Committed(msgspec.Struct, frozen=True):
    """Result of a transaction: the version of all rows written."""

    version: int
    store_ms: float


class TableStore(Protocol):
    """The store's tables."""

    async def read(self, table: str) -> Result[TableRead, TableFailure]:
        """Read all rows of a table."""

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[TableRead, TableFailure]:
        """Wait for changes after a version; none came in time if there are no rows."""

    async def commit(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Result[Committed, TableFailure]:
        """Apply all writes if every condition holds, else none."""

    async def close(self) -> None:
        """Release connections."""


class Source(msgspec.Struct, Generic[Item], frozen=True):
    """A table of the platform and how its rows are read."""

    table: str
    decode: Callable[[TableRow], Item | None]
    """Returns None for a row that names nothing usable; logs why."""

"""Interfaces of the platform: table service, object store and instance list.

Plug-ins of kind ``platform`` implement them. Each call ends within the store timeout of
the settings. Expected failures come back as ``Failure(StoreFailure)``.
"""

from collections.abc import Sequence
from typing import Protocol

from returns.result import Result

from .ids import RowName, WriteId
from .messages import Condition, ListedInstance, Row, Write
from .states import StoreFailure


class Platform(Protocol):
    """Everything the system uses of the platform."""

    async def read(
        self, names: Sequence[RowName]
    ) -> Result[dict[RowName, Row], StoreFailure]:
        """Read rows in one consistent read; absent rows are left out."""

    async def scan(self, prefix: str) -> Result[list[Row], StoreFailure]:
        """Read all rows whose names begin with ``prefix``, ordered by name."""

    async def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        write_id: WriteId,
    ) -> Result[None, StoreFailure]:
        """Apply all writes if every condition holds, else none."""

    async def put_object(self, name: str, body: bytes) -> Result[None, StoreFailure]:
        """Store an object under a name that is never reused for another body."""

    async def get_object(self, name: str) -> Result[bytes | None, StoreFailure]:
        """Return an object, or None if there is none of this name."""

    async def instances(self) -> Result[list[ListedInstance], StoreFailure]:
        """Return the platform's lagging list of live and leaving instances."""

    async def close(self) -> None:
        """Release connections."""

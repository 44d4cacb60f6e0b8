"""Interface of the platform: table service, object store and instance list.

Plug-ins of kind ``platform`` implement it. Each call ends within the setting
``platform.timeout_ms``. Expected failures are returned as ``Failure(StoreFailure)``.
"""

from collections.abc import Sequence
from typing import Protocol

from returns.result import Result

from .ids import RowName, WriteId
from .messages import Condition, ListedInstance, Row, Write
from .states import StoreFailure


class Platform(Protocol):
    """The platform services that a router uses."""

    async def read(
        self, names: Sequence[RowName]
    ) -> Result[dict[RowName, Row], StoreFailure]:
        """Return the rows in one consistent read; absent rows are left out."""

    async def scan(self, prefix: str) -> Result[list[Row], StoreFailure]:
        """Return all rows whose names begin with ``prefix``, ordered by name."""

    async def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        write_id: WriteId,
    ) -> Result[None, StoreFailure]:
        """Apply all writes atomically if every condition holds, otherwise none."""

    async def put_object(self, name: str, body: bytes) -> Result[None, StoreFailure]:
        """Store an object; callers never use a name for two different bodies."""

    async def get_object(self, name: str) -> Result[bytes | None, StoreFailure]:
        """Return the body of an object, or None if it does not exist."""

    async def instances(self) -> Result[list[ListedInstance], StoreFailure]:
        """Return the live and leaving instances; the list may lag behind reality."""

    async def close(self) -> None:
        """Close all connections."""

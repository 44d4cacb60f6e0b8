"""Platform plug-in ``memory``: keeps all data in the memory of the process.

For tests and for trying out a single router. The platform stand-in serves the same
store over HTTP. All data is lost when the process ends.
"""

from collections.abc import Sequence

from returns.result import Failure, Result, Success

from mulberryrelay_kernel.ids import InstanceId, RowName, WriteId
from mulberryrelay_kernel.messages import Condition, ListedInstance, Row, Write
from mulberryrelay_kernel.options import PlatformOptions
from mulberryrelay_kernel.platform import Platform
from mulberryrelay_kernel.registry import register
from mulberryrelay_kernel.states import StoreFailure


class MemoryPlatform:
    """Table service, object store and instance list of one process."""

    def __init__(self) -> None:
        self._rows: dict[RowName, Row] = {}
        self._last_version = 0
        self._objects: dict[str, bytes] = {}
        self._instances: dict[str, ListedInstance] = {}

    async def read(
        self, names: Sequence[RowName]
    ) -> Result[dict[RowName, Row], StoreFailure]:
        return Success({name: self._rows[name] for name in names if name in self._rows})

    async def scan(self, prefix: str) -> Result[list[Row], StoreFailure]:
        names = sorted(name for name in self._rows if name.startswith(prefix))
        return Success([self._rows[name] for name in names])

    async def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        write_id: WriteId,
    ) -> Result[None, StoreFailure]:
        for condition in conditions:
            row = self._rows.get(condition.name)
            if (row.version if row else 0) != condition.version:
                return Failure(StoreFailure.CONFLICT)
        for write in writes:
            if write.value is None:
                self._rows.pop(write.name, None)
                continue
            # All rows share one version counter, so that a row that is deleted and
            # written again never gets an earlier version again.
            self._last_version += 1
            self._rows[write.name] = Row(
                write.name, self._last_version, write.value, write_id
            )
        return Success(None)

    async def put_object(self, name: str, body: bytes) -> Result[None, StoreFailure]:
        self._objects[name] = body
        return Success(None)

    async def get_object(self, name: str) -> Result[bytes | None, StoreFailure]:
        return Success(self._objects.get(name))

    async def instances(self) -> Result[list[ListedInstance], StoreFailure]:
        return Success(list(self._instances.values()))

    async def close(self) -> None:
        pass

    def list_instance(self, instance: ListedInstance) -> None:
        """Add or replace an entry of the instance list."""
        self._instances[instance.name] = instance

    def unlist_instance(self, name: str) -> None:
        """Remove an entry of the instance list."""
        self._instances.pop(name, None)


@register("platform", "memory")
def memory_platform(options: PlatformOptions, instance: InstanceId) -> Platform:
    """Return an in-memory platform that lists ``options.instances``."""
    platform = MemoryPlatform()
    for entry in options.instances:
        platform.list_instance(entry)
    return platform

"""Platform plug-in ``http``: client of a platform service, with JSON over HTTP."""

from collections.abc import Sequence
from typing import Any, TypeVar

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.decoding import decode_json
from mulberryrelay_kernel.httpclient import create_client_session, read_body
from mulberryrelay_kernel.ids import InstanceId, RowName, WriteId
from mulberryrelay_kernel.messages import Condition, ListedInstance, Row, Write
from mulberryrelay_kernel.options import PlatformOptions
from mulberryrelay_kernel.platform import Platform
from mulberryrelay_kernel.registry import register
from mulberryrelay_kernel.states import StoreFailure

INSTANCE_HEADER = "Mulberry-Instance"
"""Request header with the name of the calling instance."""
MAX_REPLY_BYTES = 67_108_864
"""Maximum length of a reply; a scan returns all rows with a prefix."""

_NULL_JSON = b"null"
_NULL = msgspec.Raw(_NULL_JSON)

Decoded = TypeVar("Decoded")


class ReadBody(msgspec.Struct, frozen=True):
    """Body of ``POST /table/read``."""

    names: list[RowName]


class WriteBody(msgspec.Struct, frozen=True):
    """A write in a ``TransactBody``.

    Replaces ``Write``, which cannot be decoded: msgspec decodes a field of type
    ``Raw | None`` as null only.
    """

    name: RowName
    value: msgspec.Raw
    """JSON of the row; null deletes the row."""

    @classmethod
    def from_write(cls, write: Write) -> "WriteBody":
        """Return the encodable form of a write."""
        return cls(write.name, _NULL if write.value is None else write.value)

    def to_write(self) -> Write:
        """Return the write; its value is copied, since it is a view of the body."""
        value = bytes(self.value)
        return Write(self.name, None if value == _NULL_JSON else msgspec.Raw(value))


class TransactBody(msgspec.Struct, frozen=True):
    """Body of ``POST /table/transact``."""

    write_id: WriteId
    conditions: list[Condition]
    writes: list[WriteBody]


class HttpPlatform:
    """Client of the platform's table service, object store and instance list."""

    def __init__(self, options: PlatformOptions, instance: InstanceId) -> None:
        self._url = options.url
        self._session = create_client_session(
            timeout=aiohttp.ClientTimeout(total=options.timeout_ms / 1000),
            headers={INSTANCE_HEADER: instance},
        )

    async def read(
        self, names: Sequence[RowName]
    ) -> Result[dict[RowName, Row], StoreFailure]:
        body = msgspec.json.encode(ReadBody(list(names)))
        rows = await self._call("POST", "/table/read", body, list[Row])
        return rows.map(lambda listed: {row.name: row for row in listed})

    async def scan(self, prefix: str) -> Result[list[Row], StoreFailure]:
        return await self._call(
            "GET", "/table/scan", None, list[Row], {"prefix": prefix}
        )

    async def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        write_id: WriteId,
    ) -> Result[None, StoreFailure]:
        body = msgspec.json.encode(
            TransactBody(
                write_id,
                list(conditions),
                [WriteBody.from_write(write) for write in writes],
            )
        )
        return await self._call("POST", "/table/transact", body, None)

    async def put_object(self, name: str, body: bytes) -> Result[None, StoreFailure]:
        return await self._call("PUT", f"/objects/{name}", body, None)

    async def get_object(self, name: str) -> Result[bytes | None, StoreFailure]:
        reply = await self._exchange("GET", f"/objects/{name}", None, None)
        if isinstance(reply, StoreFailure):
            return Failure(reply)
        status, body = reply
        if status == 404:
            return Success(None)
        if status != 200:
            return Failure(_failure_of(status))
        return Success(body)

    async def instances(self) -> Result[list[ListedInstance], StoreFailure]:
        return await self._call("GET", "/instances", None, list[ListedInstance])

    async def close(self) -> None:
        await self._session.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        reply_type: Any,
        query: dict[str, str] | None = None,
    ) -> Result[Any, StoreFailure]:
        reply = await self._exchange(method, path, body, query)
        if isinstance(reply, StoreFailure):
            return Failure(reply)
        status, content = reply
        if status != 200:
            return Failure(_failure_of(status))
        if reply_type is None:
            return Success(None)
        try:
            return Success(decode_json(content, reply_type))
        except msgspec.DecodeError:
            return Failure(StoreFailure.UNKNOWN)

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        query: dict[str, str] | None,
    ) -> tuple[int, bytes] | StoreFailure:
        """Send a request; return the status and body of the response, or the failure.

        ``UNAVAILABLE`` means that no connection was made, so that nothing was sent.
        """
        try:
            async with self._session.request(
                method, self._url + path, data=body, params=query
            ) as response:
                return response.status, await read_body(response, MAX_REPLY_BYTES)
        except aiohttp.ClientConnectorError:
            return StoreFailure.UNAVAILABLE
        except (TimeoutError, aiohttp.ClientError, OSError):
            return StoreFailure.UNKNOWN


def _failure_of(status: int) -> StoreFailure:
    if status == 409:
        return StoreFailure.CONFLICT
    if status == 503:
        return StoreFailure.UNAVAILABLE
    return StoreFailure.UNKNOWN


@register("platform", "http")
def http_platform(options: PlatformOptions, instance: InstanceId) -> Platform:
    """Return a platform client; ``options.url`` is the service's base URL."""
    return HttpPlatform(options, instance)

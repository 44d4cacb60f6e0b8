"""Simulated platform: table service, object store and instance list.

Serves ``MemoryPlatform`` over HTTP and simulates faults that tests request through
``/control/faults``.
"""

import asyncio
import fnmatch
import sys
from collections.abc import Sequence
from enum import Enum

import msgspec
from aiohttp import web
from returns.pipeline import is_successful
from returns.result import Result

from mulberryrelay_control.platform_http import (
    INSTANCE_HEADER,
    ReadBody,
    TransactBody,
    WriteBody,
)
from mulberryrelay_control.platform_memory import MemoryPlatform
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import InstanceId, RowName
from mulberryrelay_kernel.messages import ListedInstance
from mulberryrelay_kernel.states import StoreFailure


class StoreMode(Enum):
    """How the store responds to calls."""

    UP = "up"
    REFUSING = "refusing"
    """Responds with 503; calls do not take effect."""
    UNRESPONSIVE = "silent"
    """Accepts calls, does not respond, and calls do not take effect."""


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``; replaces all current faults."""

    mode: StoreMode = StoreMode.UP
    delay_ms: int = 0
    """Delay of each call."""
    lose_replies: int = 0
    """Number of upcoming matching transactions that are applied without a reply."""
    lose_pattern: str = "*"
    """Row name pattern (fnmatch); a transaction matches if it writes such a row."""
    keep_list: bool = False
    """Whether the instance list is exempt from all faults."""
    blocked: list[InstanceId] = []
    """Instances whose connections to the store are dropped."""


# Prefixes of the rows whose commits the journal records: unit ownership and terms.
JOURNALLED_PREFIXES = ("assignment/", "overrides/", "coordinator/term")


class Commit(msgspec.Struct, frozen=True):
    """A committed row, with the time from the machine's monotonic clock."""

    at_ms: float
    name: RowName
    value: msgspec.Raw


class PlatformStandin:
    """State and request handlers of the simulated platform."""

    def __init__(self) -> None:
        self._platform = MemoryPlatform()
        self._faults = Faults()
        self._writes = 0
        self._reads = 0
        self._journal: list[Commit] = []

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=64 * 1024 * 1024)
        add = application.router.add_route
        add("POST", "/table/read", self._read)
        add("GET", "/table/scan", self._scan)
        add("POST", "/table/transact", self._transact)
        add("PUT", "/objects/{name:.+}", self._put_object)
        add("GET", "/objects/{name:.+}", self._get_object)
        add("GET", "/instances", self._instances)
        add("POST", "/control/faults", self._set_faults)
        add("POST", "/control/instances", self._list_instance)
        add("DELETE", "/control/instances/{name}", self._unlist_instance)
        add("GET", "/control/counts", self._counts)
        add("GET", "/control/journal", self._list_journal)
        return application

    async def _read(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        self._reads += 1
        body = msgspec.json.decode(await request.read(), type=ReadBody)
        result = await self._platform.read(body.names)
        return _reply(result.map(lambda rows: list(rows.values())))

    async def _scan(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        self._reads += 1
        return _reply(await self._platform.scan(request.query["prefix"]))

    async def _transact(self, request: web.Request) -> web.Response:
        # Read before any delay, so that a transaction takes effect even if its caller
        # gives up during the delay.
        content = await request.read()
        await self._apply_faults(request)
        self._writes += 1
        body = msgspec.json.decode(content, type=TransactBody)
        result = await self._platform.transact(
            body.conditions,
            [write.to_write() for write in body.writes],
            body.write_id,
        )
        if is_successful(result):
            self._record_commits(body.writes)
        names = [write.name for write in body.writes]
        if self._must_lose_reply(names):
            self._faults.lose_replies -= 1
            _drop_connection(request)
        return _reply(result)

    def _record_commits(self, writes: Sequence[WriteBody]) -> None:
        now_ms = monotonic_ms()
        for write in writes:
            # Copied, since the value refers to the buffer of the request.
            value = msgspec.Raw(bytes(write.value))
            if write.name.startswith(JOURNALLED_PREFIXES):
                self._journal.append(Commit(now_ms, write.name, value))

    def _must_lose_reply(self, names: Sequence[str]) -> bool:
        if not self._faults.lose_replies:
            return False
        return bool(fnmatch.filter(names, self._faults.lose_pattern))

    async def _put_object(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        self._writes += 1
        name = request.match_info["name"]
        return _reply(await self._platform.put_object(name, await request.read()))

    async def _get_object(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        self._reads += 1
        body = (await self._platform.get_object(request.match_info["name"])).unwrap()
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body)

    async def _instances(self, request: web.Request) -> web.Response:
        if not self._faults.keep_list:
            await self._apply_faults(request)
        return _reply(await self._platform.instances())

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults = msgspec.json.decode(await request.read(), type=Faults)
        return web.Response()

    async def _list_instance(self, request: web.Request) -> web.Response:
        instance = msgspec.json.decode(await request.read(), type=ListedInstance)
        self._platform.list_instance(instance)
        return web.Response()

    async def _unlist_instance(self, request: web.Request) -> web.Response:
        self._platform.unlist_instance(request.match_info["name"])
        return web.Response()

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response({"reads": self._reads, "writes": self._writes})

    async def _list_journal(self, request: web.Request) -> web.Response:
        return web.Response(body=msgspec.json.encode(self._journal))

    async def _apply_faults(self, request: web.Request) -> None:
        """Apply the current faults to a call; raise if it must not be processed."""
        if self._faults.delay_ms:
            await asyncio.sleep(self._faults.delay_ms / 1000)
        if request.headers.get(INSTANCE_HEADER) in self._faults.blocked:
            _drop_connection(request)
        if self._faults.mode is StoreMode.REFUSING:
            raise web.HTTPServiceUnavailable
        if self._faults.mode is StoreMode.UNRESPONSIVE:
            # The call must not take effect, even after the store responds again.
            await asyncio.sleep(3600)


def _drop_connection(request: web.Request) -> None:
    """Abort the connection and end the request handler."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def _reply(result: Result[object, StoreFailure]) -> web.Response:
    if is_successful(result):
        return web.Response(
            body=msgspec.json.encode(result.unwrap()),
            content_type="application/json",
        )
    status = 409 if result.failure() is StoreFailure.CONFLICT else 503
    return web.Response(status=status)


async def serve() -> None:
    """Serve on a free port and print ``event=listening`` with the port."""
    runner = web.AppRunner(PlatformStandin().application(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    print(f"event=listening port={runner.addresses[0][1]}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(serve())
    except KeyboardInterrupt:
        sys.exit(0)

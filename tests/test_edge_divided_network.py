"""Whole routers in three data centres, two of which cannot reach each other."""

import asyncio
import random
import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from unittest.mock import patch

import aiohttp
import msgspec

from mulberryrelay_edge.instance import run_edge
from mulberryrelay_edge.messages import BackendServer
from mulberryrelay_edge.tablestore import Source, TableRow
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import DataCentre, InstanceId
from mulberryrelay_platform.names import HEADERS
from standins.keyedservers import CommandClient, KeyedServers
from standins.tables import TableClient, Tables

from .fixtures import async_test
from .fixtures.cutlinks import silent_address
from .fixtures.edgefleet import (
    ROUTES_TABLE,
    SERVERS_TABLE,
    backend,
    route_table,
    server_source,
)
from .fixtures.edgerouter import EdgeAdapter, edge_response
from .fixtures.rawserver import HOST, RawServer, raw_server, respond_with
from .fixtures.routerprocess import free_ports

ZONES = ("a", "b", "c")
"""Data centres: routers in the first one do not reach servers in the last one."""
READY_S = 15.0
SETTLED_S = 3.0
"""Time from the first hint in which the fault is noticed and relays are known."""
CONNECT_TIMEOUT_S = 0.5
KEYS = range(0, 65_536, 2_048)


class _Adapter(EdgeAdapter):
    """An adapter of one of several routers with common tables and servers."""

    def __init__(
        self, zone: str, tables: Tables, servers: KeyedServers, ports: list[int]
    ) -> None:
        super().__init__(tables)
        rng = random.Random(zone)
        self.store = TableClient(tables, monotonic_ms, rng)
        self.commands = CommandClient(servers, rng)
        self.options = msgspec.structs.replace(
            self.options,
            instance=InstanceId(f"router-{zone}"),
            data_centre=DataCentre(zone),
            caller_port=ports[0],
            internal_port=ports[1],
        )
        self.silent_port: int | None = None
        """Port by which this router sees the servers of the last data centre."""

    @property
    def server_source(self) -> Source[BackendServer]:
        def decode(row: TableRow) -> BackendServer | None:
            entry = server_source().decode(row)
            if entry is None or entry.data_centre != ZONES[-1]:
                return entry
            port = self.silent_port or entry.port
            return msgspec.structs.replace(entry, port=port)

        return Source(SERVERS_TABLE, decode)


@asynccontextmanager
async def _routers(
    silent_port: int, order: tuple[str, ...]
) -> AsyncIterator[tuple[dict[str, str], dict[str, RawServer]]]:
    """Run a router and a server in each data centre; the first in ``order`` leads.

    Yields the URLs of the routers and the servers.
    """
    tables = Tables()
    keyed = KeyedServers(monotonic_ms)
    tables.write(ROUTES_TABLE, "routes", msgspec.json.encode(route_table()))
    stops: list[Callable[[], None]] = []

    def add_handler(number: int, callback: Callable[[], None]) -> None:
        if number == signal.SIGTERM:
            stops.append(callback)

    async with AsyncExitStack() as stack:
        servers: dict[str, RawServer] = {}
        for number, zone in enumerate(ZONES):
            servers[zone] = await stack.enter_async_context(
                raw_server(respond_with(edge_response))
            )
            entry = backend(
                number, port=servers[zone].port, data_centre=DataCentre(zone), slots=32
            )
            tables.write(SERVERS_TABLE, entry.server, msgspec.json.encode(entry))
            keyed.start(entry)
        loop = asyncio.get_running_loop()
        urls: dict[str, str] = {}
        running: list[asyncio.Future[None]] = []
        with patch.object(loop, "add_signal_handler", add_handler):
            for zone in order:
                ports = free_ports(2)
                adapter = _Adapter(zone, tables, keyed, ports)
                if zone == ZONES[0]:
                    adapter.silent_port = silent_port
                running.append(asyncio.ensure_future(run_edge(adapter)))
                urls[zone] = f"http://{HOST}:{ports[0]}"
                await asyncio.sleep(1.0)
        try:
            yield urls, servers
        finally:
            for stop in stops:
                stop()
            await asyncio.gather(*running)


async def _get(session: aiohttp.ClientSession, url: str, key: int) -> int:
    headers = {
        "Host": "app.example",
        str(HEADERS.request_id): f"caller-{key}",
        str(HEADERS.key): str(key),
    }
    try:
        async with session.get(f"{url}/listing/{key}", headers=headers) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


async def _wait_served(session: aiohttp.ClientSession, url: str) -> None:
    """Wait until a router serves requests for all keys."""
    async with asyncio.timeout(READY_S):
        while True:
            statuses = [await _get(session, url, key) for key in KEYS]
            if all(status == 200 for status in statuses):
                return
            await asyncio.sleep(0.2)


@async_test
async def test_callers_of_one_data_centre_use_all_keys_of_another() -> None:
    """Guards against wiring that leaves the routers without lists of each other.

    The leader is in the third data centre, or in the one that misses another.
    """
    for order in (("b", "c", "a"), ("a", "b", "c")):
        with silent_address() as silent_port:
            async with (
                aiohttp.ClientSession() as session,
                _routers(silent_port, order) as (urls, servers),
            ):
                await _wait_served(session, urls["b"])
                noticing = [
                    asyncio.create_task(_get(session, urls["a"], key)) for key in KEYS
                ]
                await asyncio.gather(*noticing)
                await asyncio.sleep(SETTLED_S)
                far = len(servers["c"].received)
                slowest_s = 0.0
                for key in KEYS:
                    started_s = time.monotonic()
                    status = await _get(session, urls["a"], key)
                    slowest_s = max(slowest_s, time.monotonic() - started_s)
                    assert status == 200, (order, key, status)
                assert slowest_s < CONNECT_TIMEOUT_S, (order, slowest_s)
                assert len(servers["c"].received) > far, order

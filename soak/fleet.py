"""Backend servers of a run, registered in the store.

Each router reaches a server by way of a proxy of its own, at the router's own address
and the server's port (``links.py``).
"""

import asyncio
import contextlib
import time
from collections.abc import Callable

import msgspec
from aiohttp import web

from mulberryrelay_edge.messages import BackendServer
from mulberryrelay_kernel.ids import DataCentre, ServerId, ServiceName
from mulberryrelay_kernel.states import ServerState
from mulberryrelay_platform.names import SERVERS_TABLE, STATE_DRAINING, STATE_READY
from standins.edgeserver import EdgeServer, Execution
from standins.keyedservers import KeyedServers
from standins.tables import Tables

from .links import SERVERS_HOST
from .operator import KEYED_SERVICE
from .proxy import Proxy
from .routers import RouterProcess

HOST = SERVERS_HOST
SLOTS = 4
WORK_S = 0.03
SLOW_FACTOR = 6.0
HEARTBEAT_S = 0.87
LAPSE_S = 3 * HEARTBEAT_S
"""Time without a heartbeat after which the store removes a server's entry."""
POISON_PREFIX = "/receipt/poison-"
"""Prefix of the paths of requests that crash whichever server runs them."""
POISONED_FOR_S = 0.5
"""Time until a server that such a request has crashed is started again."""
LEAVES_S = 3.0
"""Time from the report that a server leaves until its entry is removed and it ends."""


class SoakServer:
    """A place for one server: its links and address stay, incarnations change."""

    def __init__(
        self,
        number: int,
        service: str,
        zone: str,
        servers: KeyedServers,
        tables: Tables,
        routers: list[RouterProcess],
        on_execution: Callable[[Execution], None],
        on_poison: Callable[[str], None],
    ) -> None:
        """``on_poison`` gets the path of each request that crashes a server."""
        self.name = ServerId(f"i-{service}-{number}")
        self.service = service
        self.links: dict[str, Proxy] = {}
        """The link of each router to the server, by the router's name."""
        self.incarnation: EdgeServer | None = None
        self.state = ServerState.SERVING
        self._zone = zone
        self._servers = servers
        self._tables = tables
        self._routers = routers
        self._on_execution = on_execution
        self._on_poison = on_poison
        self._port = 0
        self._runner: web.ServerRunner | None = None
        self._lives = 0

    @property
    def running(self) -> EdgeServer:
        """The current incarnation; fails if the server is down."""
        assert self.incarnation is not None
        return self.incarnation

    async def open(self) -> None:
        """Listen behind the links and start the first incarnation."""
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None, handler_cancellation=True)
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, HOST, 0, backlog=512).start()
        self._port = int(self._runner.addresses[0][1])
        for router in self._routers:
            link = Proxy(router.host, HOST, self._port)
            await link.start(self._port)
            self.links[router.name] = link
        await self.start()

    async def start(self, keeps_name: bool = True) -> None:
        """Start an incarnation, under the id of the one before or a new id."""
        self._lives += 1
        if not keeps_name:
            self.name = ServerId(f"{self.name.partition('~')[0]}~{self._lives}")
        self.state = ServerState.SERVING
        entry = BackendServer(
            self.name,
            int(time.time() * 1000),
            ServiceName(self.service),
            HOST,
            self._port,
            DataCentre(self._zone),
            SLOTS,
            ServerState.SERVING,
            0.0,
        )
        is_keyed = self.service == KEYED_SERVICE
        server = self._servers.start(entry)
        self.incarnation = EdgeServer(server, is_keyed, WORK_S, self._on_execution)
        for link in self.links.values():
            await link.set_target_down(False)
        self.register()

    async def crash(self) -> None:
        """End the incarnation at once, without a word."""
        if self.incarnation is None:
            return
        self.incarnation.server.is_up = False
        self.incarnation = None
        for link in self.links.values():
            await link.set_target_down(True)
        for link in self.links.values():
            link.reset_connections()

    def register(self) -> None:
        """Write the server's entry if it has changed or is missing."""
        if self.incarnation is None:
            return
        value = self._encode()
        row = self._tables.rows.get((SERVERS_TABLE, self.name))
        if row is None or row.value != value:
            self._tables.write(SERVERS_TABLE, self.name, value)

    def remove_entry(self) -> None:
        """Remove the entry, as a server does when it leaves."""
        if (SERVERS_TABLE, self.name) in self._tables.rows:
            self._tables.write(SERVERS_TABLE, self.name, None)

    async def close(self) -> None:
        """Stop to listen."""
        for link in self.links.values():
            await link.close()
        if self._runner is not None:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._runner.cleanup(), 1.0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        incarnation = self.incarnation
        if incarnation is None:
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=503)
        if request.path.startswith(POISON_PREFIX):
            await asyncio.sleep(WORK_S)
            if self.incarnation is incarnation:
                self._on_poison(request.path)
                await asyncio.shield(self._crash_for(POISONED_FOR_S))
        return await incarnation.handle(request)

    async def _crash_for(self, down_s: float) -> None:
        await self.crash()
        await asyncio.sleep(down_s)
        if self.incarnation is None:
            await self.start()

    def _encode(self) -> bytes:
        entry = self.running.server.entry
        is_serving = self.state is ServerState.SERVING
        state = STATE_READY if is_serving else STATE_DRAINING
        body = {
            "Address": f"{entry.host}:{entry.port}",
            "Info": {"Service": self.service, "Zone": self._zone, "Slots": SLOTS},
            "Status": {"State": state, "ColdLeftS": 0},
            "born": entry.started_ms,
        }
        return msgspec.json.encode(body)


class Registry:
    """Lets servers report to the store, which drops entries without a report."""

    def __init__(self, servers: list[SoakServer], tables: Tables) -> None:
        self._servers = servers
        self._tables = tables
        self._reported_s: dict[str, float] = {}

    async def run(self, is_store_away: Callable[[], bool]) -> None:
        """Report and drop entries until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S / 3)
            if is_store_away():
                continue
            now_s = time.monotonic()
            for server in self._servers:
                if server.incarnation is not None:
                    server.register()
                    self._reported_s[server.name] = now_s
            for table, key in list(self._tables.rows):
                if table != SERVERS_TABLE:
                    continue
                if now_s - self._reported_s.setdefault(key, now_s) > LAPSE_S:
                    self._tables.write(SERVERS_TABLE, key, None)
                    del self._reported_s[key]

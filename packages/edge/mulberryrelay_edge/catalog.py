"""What this process knows of routes and servers, kept current by following the store.

Knowledge that cannot be renewed stays in use: servers refuse requests that were meant
for others, so old knowledge costs a refusal and never a wrong run.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from reactivex.subject import Subject
from returns.result import Failure, Success

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId, ServiceName
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.states import ServerState

from .messages import BackendServer, RouteTable
from .tablestore import Source, TableFailure, TableRead, TableStore

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
SERVERS_GATHER_S = 0.15


async def follow_table(
    store: TableStore,
    table: str,
    take: Callable[[TableRead, bool], None],
    on_contact: Callable[[bool], None],
    gather_s: float = 0.0,
) -> None:
    """Read a table, then pass on each change; never returns.

    Changes within ``gather_s`` seconds of one are fetched together.

    ``take`` is given the rows and whether they are the complete table; ``on_contact``
    whether the store answered, at each change of that.
    """
    version: int | None = None
    failures = 0
    while True:
        if version is None:
            result = await store.read(table)
        else:
            result = await store.follow(table, version)
        if isinstance(result, Success):
            if failures:
                log_event("store_regained", table=table, failures=failures)
                on_contact(True)
                failures = 0
            read = result.unwrap()
            take(read, version is None)
            version = read.version
            if gather_s and read.rows:
                await asyncio.sleep(gather_s)
            continue
        reason = result.failure()
        if reason is TableFailure.HISTORY_LOST:
            log_event("history_lost", table=table, version=version)
            version = None
            continue
        if not failures:
            log_event("store_lost", table=table, reason=reason.value, version=version)
            on_contact(False)
        failures += 1
        delay_s = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2 ** min(failures, 8))
        await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))


class Catalog:
    """Routes and servers in force here."""

    def __init__(
        self,
        store: TableStore,
        routes: Source[RouteTable],
        servers: Source[BackendServer],
        relist_ms: float,
        clock: Clock,
    ) -> None:
        self._store = store
        self._route_source = routes
        self._server_source = servers
        self._relist_ms = relist_ms
        self._clock = clock
        self._routes: RouteTable | None = None
        self._servers: dict[ServerId, BackendServer] = {}
        self._absent: dict[ServerId, float] = {}
        """Servers missing since an outage of the store, with the end of their time to
        register again."""
        self._regained_ms = float("-inf")
        self._in_contact = True
        self._changes: Subject[None] = Subject()

    @property
    def routes(self) -> RouteTable | None:
        """The newest routes seen; never an older version than before."""
        return self._routes

    @property
    def changes(self) -> Subject[None]:
        """Emits after each change of routes or servers."""
        return self._changes

    @property
    def is_complete(self) -> bool:
        """Whether requests can be routed."""
        return self._routes is not None and bool(self._servers)

    def server(self, server: ServerId) -> BackendServer | None:
        """Return the entry of a server, if it is registered."""
        return self._servers.get(server)

    def servers(self, service: ServiceName) -> list[BackendServer]:
        """Return the registered servers of a service, in order of their ids."""
        found = [s for s in self._servers.values() if s.service == service]
        return sorted(found, key=lambda s: s.server)

    def serving(self, service: ServiceName) -> list[BackendServer]:
        """Return the servers of a service that take new work."""
        return [s for s in self.servers(service) if s.state is not ServerState.DRAINING]

    def tasks(self) -> list[Awaitable[None]]:
        """Return the loops that keep the catalog current."""
        return [
            follow_table(
                self._store, self._route_source.table, self.take_routes, _ignore
            ),
            follow_table(
                self._store,
                self._server_source.table,
                self.take_servers,
                self.note_contact,
                SERVERS_GATHER_S,
            ),
        ]

    def note_contact(self, in_contact: bool) -> None:
        """Note that the store was lost or answers again."""
        if in_contact and not self._in_contact:
            self._regained_ms = self._clock()
        self._in_contact = in_contact

    def take_routes(self, read: TableRead, is_complete: bool) -> None:
        """Put the newest valid routes in force."""
        for row in read.rows:
            if row.value is None:
                continue
            table = self._route_source.decode(row)
            if table is None:
                continue
            if self._routes is not None and table.version <= self._routes.version:
                continue
            self._routes = table
            log_event("routes_applied", version=table.version, row_version=row.version)
            self._changes.on_next(None)

    def take_servers(self, read: TableRead, is_complete: bool) -> None:
        """Apply changed entries, or replace all."""
        named: set[ServerId] = set()
        for row in read.rows:
            server = ServerId(row.key)
            entry = self._server_source.decode(row) if row.value is not None else None
            if entry is None:
                self._drop(server)
                continue
            named.add(server)
            self._absent.pop(server, None)
            self._note_entry(entry, row.version)
            self._servers[server] = entry
        if is_complete:
            for server in [s for s in self._servers if s not in named]:
                self._drop(server)
        self._changes.on_next(None)

    def _drop(self, server: ServerId) -> None:
        entry = self._servers.get(server)
        if entry is None or server in self._absent:
            return
        left_ms = self._regained_ms + self._relist_ms - self._clock()
        if left_ms <= 0:
            self._forget(server)
            return
        # Entries lapse while the store is away, although their servers live.
        log_event("server_absent", server=server, grace_ms=left_ms)
        self._absent[server] = self._clock() + left_ms
        loop = asyncio.get_running_loop()
        loop.call_later(left_ms / 1000, self._end_grace, server)

    def _end_grace(self, server: ServerId) -> None:
        if self._absent.pop(server, None) is None:
            return
        self._forget(server)
        self._changes.on_next(None)

    def _forget(self, server: ServerId) -> None:
        entry = self._servers.pop(server, None)
        if entry is not None:
            log_event("server_gone", server=server, service=entry.service)

    def _note_entry(self, entry: BackendServer, version: int) -> None:
        known = self._servers.get(entry.server)
        if known is not None and known.is_same_life(entry):
            if known.state is entry.state:
                return
        log_event(
            "server_listed",
            server=entry.server,
            service=entry.service,
            state=entry.state.value,
            born_ms=entry.born_ms,
            address=f"{entry.host}:{entry.port}",
            row_version=version,
        )


def _ignore(in_contact: bool) -> None:
    """Routes need nothing beyond being read again."""

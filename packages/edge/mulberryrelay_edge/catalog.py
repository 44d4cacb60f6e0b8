"""What this process knows of routes and servers, kept current by following the store.

Knowledge that cannot be renewed stays in use: servers refuse requests that were meant
for others, so old knowledge costs a refusal and never a wrong run.
"""

import asyncio
from collections.abc import Awaitable

from reactivex.subject import Subject

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId, ServiceName
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.states import ServerState

from .following import Followed, StoreContact, follow_table
from .messages import BackendServer, RouteTable
from .tablestore import Source, TableRead, TableStore

SERVERS_GATHER_S = 0.2
LAST_SEND_MS = 1200.0
"""Time after which a draining owner gets no more requests, if its keys do not move."""


class Catalog:
    """Routes and servers in force here."""

    def __init__(
        self,
        store: TableStore,
        routes: Source[RouteTable],
        servers: Source[BackendServer],
        contact: StoreContact,
        relist_ms: float,
        clock: Clock,
    ) -> None:
        self._store = store
        self._contact = contact
        contact.changes.subscribe(self.note_contact)
        self._route_source = routes
        self._server_source = servers
        self._relist_ms = relist_ms
        self._clock = clock
        self._routes: RouteTable | None = None
        self._routes_ms = float("-inf")
        self._servers: dict[ServerId, BackendServer] = {}
        self._absent: dict[ServerId, float] = {}
        """Servers missing since an outage of the store, with the end of their time to
        register again."""
        self._replaced: set[tuple[ServerId, int, str, int]] = set()
        """Entries whose address answered under another id."""
        self._draining_ms: dict[ServerId, float] = {}
        """When each draining server was first seen to drain."""
        self._regained_ms = float("-inf")
        self._lost_ms = float("-inf")
        self._in_contact = True
        self._changes: Subject[None] = Subject()

    @property
    def routes(self) -> RouteTable | None:
        """The newest routes seen; never an older version than before."""
        return self._routes

    @property
    def version(self) -> int:
        """Version of the routes in force; 0 before the first."""
        return self._routes.version if self._routes is not None else 0

    @property
    def routes_age_ms(self) -> float:
        """How long the routes have been in force here; 0 before the first."""
        return self._clock() - self._routes_ms if self._routes is not None else 0.0

    @property
    def server_count(self) -> int:
        """Number of registered servers of all services."""
        return len(self._servers)

    @property
    def store_silent_ms(self) -> float:
        """How long ago the store was lost; 0 while it answers."""
        return 0.0 if self._in_contact else self._clock() - self._lost_ms

    @property
    def changes(self) -> Subject[None]:
        """Emits after each change of routes or servers."""
        return self._changes

    @property
    def is_complete(self) -> bool:
        """Whether requests can be routed."""
        return self._routes is not None and bool(self._servers)

    @property
    def is_relisting(self) -> bool:
        """Whether living servers may be missing after an outage of the store."""
        return self._clock() < self._regained_ms + self._relist_ms

    def note_replaced(self, server: BackendServer, by: ServerId) -> None:
        """Take a server as gone, as another one answers at its address."""
        self._replaced.add(_place(server))
        known = self._servers.get(server.server)
        if known is None or _place(known) != _place(server):
            return
        log_event("server_replaced", server=server.server, by=by)
        self._forget(server.server)
        self._changes.on_next(None)

    def has_drained(self, server: BackendServer) -> bool:
        """Return whether a server drains for so long that it gets no more requests."""
        since_ms = self._draining_ms.get(server.server)
        return since_ms is not None and self._clock() - since_ms > LAST_SEND_MS

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
        tables = (
            Followed(self._route_source.table, self.take_routes, is_probe=True),
            Followed(
                self._server_source.table, self.take_servers, gather_s=SERVERS_GATHER_S
            ),
        )
        return [follow_table(self._store, table, self._contact) for table in tables]

    def note_contact(self, in_contact: bool) -> None:
        """Note that the store was lost or answers again."""
        if in_contact and not self._in_contact:
            self._regained_ms = self._clock()
        if not in_contact and self._in_contact:
            self._lost_ms = self._clock()
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
            self._routes_ms = self._clock()
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
            if _place(entry) in self._replaced:
                continue
            named.add(server)
            self._absent.pop(server, None)
            self._note_entry(entry, row.version)
            if entry.state is ServerState.DRAINING:
                self._draining_ms.setdefault(server, self._clock())
            else:
                self._draining_ms.pop(server, None)
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
        self._draining_ms.pop(server, None)
        if entry is not None:
            log_event("server_gone", server=server, service=entry.service)

    def _note_entry(self, entry: BackendServer, version: int) -> None:
        known = self._servers.get(entry.server)
        is_known = known is not None and known.is_same_life(entry)
        if is_known and known is not None and known.state is entry.state:
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


def _place(server: BackendServer) -> tuple[ServerId, int, str, int]:
    """Return what tells one life at one address from all others."""
    return server.server, server.born_ms, server.host, server.port

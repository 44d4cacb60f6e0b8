"""What this process knows of routes and servers, kept current by following the store.

Knowledge that cannot be renewed stays in use: servers refuse requests that were meant
for others, so old knowledge costs a refusal and never a wrong run.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from reactivex.subject import Subject
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId, ServiceName
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.states import ServerState

from .messages import BackendServer, RouteTable
from .tablestore import Source, TableFailure, TableRead, TableStore

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.8
PROBE_WAIT_MS = 2000
LONG_WAIT_MS = 10_000
SERVERS_GATHER_S = 0.4
LAST_SEND_MS = 1200.0
"""Time after which a draining owner gets no more requests, if its keys do not move."""


class StoreContact:
    """Whether the store answers, as the calls with the shortest wait show.

    A long call that was lost on the way ends only after its whole wait. So one table is
    followed in short calls, and all others are read again once the store is back.
    """

    def __init__(self) -> None:
        self._regained = asyncio.Event()
        self._changes: Subject[bool] = Subject()

    @property
    def changes(self) -> Subject[bool]:
        """Emits whether the store answers, at each change of that."""
        return self._changes

    @property
    def regained(self) -> asyncio.Event:
        """Is set when the store answers again, and replaced at once."""
        return self._regained

    def note(self, answers: bool) -> None:
        """Note that the store was lost or answers again."""
        self._changes.on_next(answers)
        if answers:
            self._regained.set()
            self._regained = asyncio.Event()


async def follow_table(
    store: TableStore,
    table: str,
    take: Callable[[TableRead, bool], None],
    contact: StoreContact,
    wait_ms: int = LONG_WAIT_MS,
    gather_s: float = 0.0,
) -> None:
    """Read a table, then pass on each change; never returns.

    ``take`` is given the rows and whether they are the complete table. Changes within
    ``gather_s`` seconds of one are fetched together. The loop with the shortest wait
    tells ``contact`` of each loss of the store.
    """
    version: int | None = None
    failures = 0
    is_probe = wait_ms == PROBE_WAIT_MS
    while True:
        regained = contact.regained
        if version is None:
            result = await store.read(table)
        elif is_probe:
            result = await store.follow(table, version, wait_ms)
        else:
            result = await _unless_regained(
                store.follow(table, version, wait_ms), regained
            )
        if isinstance(result, Success):
            if failures:
                log_event("store_regained", table=table, failures=failures)
                failures = 0
                if is_probe:
                    contact.note(True)
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
        if regained.is_set() and version is not None:
            version = None
            continue
        # A wait may be lost on the way; a read shows at once whether the store answers.
        version = None
        if not failures:
            log_event("store_lost", table=table, reason=reason.value)
            if is_probe:
                contact.note(False)
        failures += 1
        delay_s = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2 ** min(failures, 8))
        await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))


async def _unless_regained(
    call: Coroutine[Any, Any, Result[TableRead, TableFailure]], regained: asyncio.Event
) -> Result[TableRead, TableFailure]:
    """Return the result of a call, or give it up when the store was lost meanwhile."""
    following = asyncio.ensure_future(call)
    waiting = asyncio.ensure_future(regained.wait())
    try:
        await asyncio.wait({following, waiting}, return_when=asyncio.FIRST_COMPLETED)
        if following.done():
            return following.result()
        return Failure(TableFailure.UNKNOWN)
    finally:
        following.cancel()
        waiting.cancel()


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
        return [
            follow_table(
                self._store,
                self._route_source.table,
                self.take_routes,
                self._contact,
                PROBE_WAIT_MS,
            ),
            follow_table(
                self._store,
                self._server_source.table,
                self.take_servers,
                self._contact,
                gather_s=SERVERS_GATHER_S,
            ),
        ]

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

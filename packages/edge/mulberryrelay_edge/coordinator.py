"""Follows the lease, and runs a term whenever this process is the leader."""

import asyncio
from collections.abc import Callable

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.logs import log_event

from .adapter import ServerOrders
from .catalog import Catalog
from .holders import Holders
from .keyload import KeyLoad
from .lease import LeaderLease, TermEndedError
from .messages import BackendServer
from .ownership import Ownership
from .rangestore import RangeStore
from .silences import Life
from .tablestore import TableStore
from .term import Term


class Coordinator:
    """Keeps every key of every keyed service owned, while this process leads."""

    def __init__(
        self,
        lease: LeaderLease,
        store: TableStore,
        orders: ServerOrders,
        catalog: Catalog,
        ownership: Ownership,
        load: KeyLoad,
        slowness: Callable[[BackendServer], float],
        longest_hold_ms: float,
        boot_id: str,
        clock: Clock,
    ) -> None:
        self._lease = lease
        self._store = store
        self._orders = orders
        self._catalog = catalog
        self._ownership = ownership
        self._load = load
        self._slowness = slowness
        self._longest_hold_ms = longest_hold_ms
        self._boot_id = boot_id
        self._clock = clock
        self._known: dict[Life, BackendServer] = {}
        self._term: asyncio.Task[None] | None = None
        self._holders: Holders | None = None
        """Of the current term."""
        lease.changes.subscribe(self._on_lease)
        catalog.changes.subscribe(lambda _: self._remember())

    def _remember(self) -> None:
        routes = self._catalog.routes
        if routes is None:
            return
        for service in routes.services.values():
            if not service.is_keyed:
                continue
            for server in self._catalog.servers(service.name):
                self._known[server.server, server.born_ms] = server

    def hold_end_ms(self, life: Life) -> float | None:
        """Return when a server's last possible hold runs out, if this router leads."""
        return self._holders.hold_end_ms(life) if self._holders is not None else None

    def abort(self) -> None:
        """End the work of the current term without any further order."""
        self._holders = None
        if self._term is not None:
            self._term.cancel()
            self._term = None

    def _on_lease(self, is_leader: bool) -> None:
        self.abort()
        if is_leader:
            self._term = asyncio.create_task(self._run_term())

    async def _run_term(self) -> None:
        self._holders = Holders(
            self._orders,
            self._catalog,
            self._known,
            self._longest_hold_ms,
            self._lease,
            self._clock,
        )
        term = Term(
            self._lease,
            RangeStore(
                self._store,
                self._ownership,
                self._boot_id,
                self._lease,
            ),
            self._holders,
            self._catalog,
            self._load,
            self._slowness,
            self._longest_hold_ms,
            self._clock,
        )
        try:
            await term.run()
        except TermEndedError:
            log_event("term_ended", term=self._lease.term)
        finally:
            term.cancel()

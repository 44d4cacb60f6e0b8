"""Runs a leader term from the acquisition of the lease until its loss."""

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
    """Assigns an owner to every key of each keyed service while this process leads."""

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
        """The grants of the current term; None while this process does not lead."""
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
        """Return when a server's grants expire; None if this router does not lead."""
        return self._holders.hold_end_ms(life) if self._holders is not None else None

    def abort(self) -> None:
        """Stop the current term without sending any further command."""
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

"""Runs a leader term from the acquisition of the lease until its loss."""

import asyncio
from collections.abc import Callable

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.supervision import log_failure

from .adapter import ServerCommands
from .capacity import ServerCondition
from .catalog import Catalog
from .grants import GrantManager
from .keyload import KeyLoad
from .knownservers import KnownServers
from .leaderterm import Term
from .lease import LeaderLease, TermEndedError
from .lostgrants import LostGrants
from .messages import BackendServer
from .ownership import Ownership
from .rangestore import RangeStore
from .tablefollower import Role, StoreSync
from .tablestore import TableStore
from .unreachableservers import Incarnation


class Coordinator:
    """Assigns an owner to every key of each keyed service while this process leads."""

    def __init__(
        self,
        lease: LeaderLease,
        store: TableStore,
        commands: ServerCommands,
        catalog: Catalog,
        ownership: Ownership,
        store_sync: StoreSync,
        load: KeyLoad,
        condition: Callable[[BackendServer], ServerCondition],
        max_grant_ttl_ms: float,
        boot_id: str,
        clock: Clock,
    ) -> None:
        self._lease = lease
        self._store = store
        self._commands = commands
        self._catalog = catalog
        self._ownership = ownership
        self._store_sync = store_sync
        self._load = load
        self._condition = condition
        self._max_grant_ttl_ms = max_grant_ttl_ms
        self._boot_id = boot_id
        self._clock = clock
        self._known_servers = KnownServers(clock)
        self._term: asyncio.Task[None] | None = None
        self._grants: GrantManager | None = None
        """The grants of the current term; None while this process does not lead."""
        lease.changes.subscribe(self._on_lease_change)
        catalog.changes.subscribe(lambda _: self._record_servers())
        store_sync.restored.subscribe(self._known_servers.record_restore)

    def _record_servers(self) -> None:
        routes = self._catalog.routes
        if routes is None:
            return
        registered: list[BackendServer] = []
        for service in routes.services.values():
            if not service.is_keyed:
                continue
            registered += self._catalog.servers(service.name)
        is_known_to_leader = self._store_sync.role is not Role.STANDALONE
        self._known_servers.set_registered(registered, is_known_to_leader)

    def grant_expires_ms(self, incarnation: Incarnation) -> float | None:
        """Return when a server's grants expire; None if this router does not lead."""
        return (
            self._grants.grant_expires_ms(incarnation)
            if self._grants is not None
            else None
        )

    def abort(self) -> None:
        """Stop the current term without sending any further command."""
        self._grants = None
        if self._term is not None:
            self._term.cancel()
            self._term = None

    def _on_lease_change(self, is_leader: bool) -> None:
        self.abort()
        if is_leader:
            self._term = asyncio.create_task(self._run_term())

    async def _run_term(self) -> None:
        grants = self._grants = GrantManager(
            self._commands,
            self._catalog,
            self._known_servers,
            self._max_grant_ttl_ms,
            self._lease,
            self._clock,
        )
        ranges = RangeStore(self._store, self._ownership, self._boot_id, self._lease)
        lost_grants = LostGrants(
            self._lease,
            ranges,
            grants,
            self._known_servers,
            self._ownership,
            self._clock,
        )
        term = Term(
            self._lease,
            ranges,
            grants,
            lost_grants,
            self._catalog,
            self._load,
            self._condition,
            self._max_grant_ttl_ms,
            self._clock,
        )
        try:
            await term.run()
        except TermEndedError:
            log_event("term_ended", term=self._lease.term)
        except Exception as error:
            # Without this term's tasks no grants are renewed, so that another router,
            # or a new term of this one, has to take over.
            log_failure("term", error)
            self._lease.step_down("failed")
        finally:
            term.cancel()

"""Entry point of the coordinator: starts and ends its terms, and serves routers' calls.

The router that holds the coordinator lease assigns key ranges to backend servers and
issues routing leases to all routers. ``Coordinator`` runs a ``CoordinatorTerm`` during
each term of the lease. Between terms, calls of routers fail with
``NotCoordinatorError``.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable

import aiohttp

from mulberryrelay_kernel.clock import Clock, monotonic_ms
from mulberryrelay_kernel.messages import (
    RouterAddress,
    ServerEntry,
)
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    ProbationReply,
    ProbationRequest,
    RoutersReply,
    SyncReply,
    SyncRequest,
)
from mulberryrelay_kernel.platform import Platform

from .coordinatorterm import (
    ApplyRules,
    CoordinatorTerm,
    LoadRules,
    MoveStepHook,
    NotCoordinatorError,
    Suspects,
)
from .lease import CoordinatorLease
from .placement import PlanMoves, plan_moves
from .ruletypes import ActiveRules


class Coordinator:
    """Runs a ``CoordinatorTerm`` whenever this process holds the lease."""

    def __init__(
        self,
        options: Options,
        platform: Platform,
        lease: CoordinatorLease,
        session: aiohttp.ClientSession,
        load_rules: LoadRules,
        new_suspects: Callable[[], Suspects],
        known_servers: Callable[[], Iterable[ServerEntry]],
        placement_rules: Callable[[], ActiveRules] = ActiveRules,
        apply_rules: ApplyRules = lambda document: True,
        plan: PlanMoves = plan_moves,
        clock: Clock = monotonic_ms,
        at_step: MoveStepHook | None = None,
    ) -> None:
        self._options = options
        self._platform = platform
        self._lease = lease
        self._session = session
        self._load_rules = load_rules
        self._new_suspects = new_suspects
        self._known_servers = known_servers
        self._placement_rules = placement_rules
        self._apply_rules = apply_rules
        self._plan = plan
        self._clock = clock
        self._at_step = at_step
        self._current_term: CoordinatorTerm | None = None

    @property
    def candidates(self) -> list[RouterAddress]:
        """Connected routers, from which the lease holder chooses its successors."""
        if self._current_term is None:
            return []
        return [session.address for session in self._current_term.sessions.connected]

    async def run(self) -> None:
        """Run a term for each time that the lease is acquired, until cancelled."""
        lease_changed = asyncio.Event()
        self._lease.transitions.subscribe(lambda _: lease_changed.set())
        while True:
            lease_changed.clear()
            if self._lease.is_held():
                await self._run_term(lease_changed)
            else:
                await lease_changed.wait()

    async def serve_sync_stream(
        self, requests: AsyncIterator[SyncRequest]
    ) -> AsyncIterator[SyncReply]:
        """Serve the ``Sync`` stream of one router.

        Raises:
            NotCoordinatorError: this router cannot issue routing leases now, or the
                requests are from a router of another tenant.
        """
        current_term = self._ready_term()
        async for reply in current_term.serve_sync_stream(requests):
            yield reply

    def handle_probation(self, request: ProbationRequest) -> ProbationReply:
        """Reply to a request to run a suspect, or record the result of such a run.

        Raises:
            NotCoordinatorError: this router is not the coordinator.
        """
        return self._ready_term().handle_probation(request)

    def handle_rules_changed(self) -> None:
        """Read the rules now, because a new version was committed."""
        if self._current_term is not None:
            self._current_term.handle_rules_changed()

    def replan(self) -> None:
        """Plan moves now, because the rules in force have changed."""
        if self._current_term is not None:
            self._current_term.replan()

    def list_routers(self) -> RoutersReply:
        """Return the routers that may hold a routing lease.

        Raises:
            NotCoordinatorError: this router is not the coordinator.
        """
        return self._ready_term().list_routers()

    def _ready_term(self) -> CoordinatorTerm:
        current_term = self._current_term
        if (
            current_term is None
            or not current_term.is_ready
            or not self._lease.is_held()
        ):
            raise NotCoordinatorError
        return current_term

    async def _run_term(self, lease_changed: asyncio.Event) -> None:
        current_term = CoordinatorTerm(
            self._options,
            self._platform,
            self._lease,
            self._session,
            self._load_rules,
            self._new_suspects(),
            self._placement_rules,
            self._apply_rules,
            self._plan,
            self._clock,
            self._at_step,
        )
        self._current_term = current_term
        current_term.membership.add_known(self._known_servers())
        running = asyncio.ensure_future(current_term.run())
        ended = asyncio.ensure_future(lease_changed.wait())
        try:
            await asyncio.wait({running, ended}, return_when=asyncio.FIRST_COMPLETED)
            if running.done():
                # Raises the error of the failed term. The records of issued leases are
                # lost with its tasks, so this process must not continue as coordinator.
                running.result()
        finally:
            self._current_term = None
            running.cancel()
            ended.cancel()
            current_term.close()
            await asyncio.gather(running, ended, return_exceptions=True)

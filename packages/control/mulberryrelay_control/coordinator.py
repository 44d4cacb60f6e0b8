"""The coordinator: what one router does for all while it holds the lease.

Each term of the lease has a ``CoordinatorTerm`` of its own. Between terms, the calls of
routers are refused.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable

import aiohttp

from mulberryrelay_kernel.clock import Clock, monotonic_ms
from mulberryrelay_kernel.messages import (
    Address,
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
    AtStep,
    CoordinatorTerm,
    LoadRules,
    NotCoordinatorError,
    Suspects,
)
from .lease import CoordinatorLease
from .placement import PlanMoves, plan_moves
from .ruletypes import ActiveRules


class Coordinator:
    """Runs a term whenever the lease is held."""

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
        at_step: AtStep | None = None,
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
        self._current: CoordinatorTerm | None = None

    @property
    def candidates(self) -> list[Address]:
        """Connected routers, which may be named as successors."""
        if self._current is None:
            return []
        return [session.address for session in self._current.sessions.connected]

    async def run(self) -> None:
        """Coordinate during each term of this process until cancelled."""
        changed = asyncio.Event()
        self._lease.transitions.subscribe(lambda _: changed.set())
        while True:
            changed.clear()
            if self._lease.is_held():
                await self._run_term(changed)
            else:
                await changed.wait()

    async def sync(
        self, requests: AsyncIterator[SyncRequest]
    ) -> AsyncIterator[SyncReply]:
        """Serve one stream of a router.

        Raises:
            NotCoordinatorError: this router cannot issue routing leases now, or not
                to routers of that tenant.
        """
        current = self._ready_term()
        async for reply in current.sync(requests):
            yield reply

    def probation(self, request: ProbationRequest) -> ProbationReply:
        """Answer a request to run a suspect, or record the result of such a run.

        Raises:
            NotCoordinatorError: this router is not the coordinator.
        """
        return self._ready_term().probation(request)

    def rules_changed(self) -> None:
        """Read the rules now, since a new version was committed."""
        if self._current is not None:
            self._current.rules_changed()

    def replan(self) -> None:
        """Plan moves now, since the rules in force have changed."""
        if self._current is not None:
            self._current.replan()

    def routers(self) -> RoutersReply:
        """Return the routers that may hold a routing lease.

        Raises:
            NotCoordinatorError: this router is not the coordinator.
        """
        return self._ready_term().routers()

    def _ready_term(self) -> CoordinatorTerm:
        current = self._current
        if current is None or not current.is_ready or not self._lease.is_held():
            raise NotCoordinatorError
        return current

    async def _run_term(self, changed: asyncio.Event) -> None:
        current = CoordinatorTerm(
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
        self._current = current
        current.membership.seed(self._known_servers())
        running = asyncio.ensure_future(current.run())
        ended = asyncio.ensure_future(changed.wait())
        try:
            await asyncio.wait({running, ended}, return_when=asyncio.FIRST_COMPLETED)
            if running.done():
                # The records of issued leases are gone with the term's tasks, so this
                # process must not go on as coordinator.
                running.result()
        finally:
            self._current = None
            running.cancel()
            ended.cancel()
            current.close()
            await asyncio.gather(running, ended, return_exceptions=True)

"""The leader's work during one term.

It assigns the keys of each keyed service to servers, renews their grants, moves ranges
away from servers that leave or fail, and rebalances the load.
"""

import asyncio
import random
from collections.abc import Callable

from returns.result import Failure, Success

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.states import ServerState

from .adapter import OrderRefused
from .catalog import Catalog
from .holders import Holders, renewal_period_ms, usual_hold_ms
from .keyload import KeyLoad
from .keyspace import (
    Piece,
    begin_moves,
    complete_move,
    divide,
    merge_neighbours,
    raise_all_fences,
    raise_fence,
    raise_fences_of,
)
from .lease import LeaderLease, TermEndedError
from .messages import BackendServer, KeyRange
from .rangestore import RangeStore
from .rebalance import (
    BUSY_UTILISATION,
    CALM_UTILISATION,
    Capacity,
    most_ranges,
    place_orphans,
    plan_moves,
)
from .silences import Life

TICK_S = 0.1
"""Period of the leader's main loop."""
SETTLE_MS = 2000.0
"""Time without a change in the number of servers before the initial assignment."""
LONGEST_SETTLE_MS = 6000.0
"""Time after the start of a term from which on that change is no longer waited for."""
REBALANCE_MS = 300.0
"""Minimum time between two plans of a service."""
LONGEST_MOVE_MS = 1000.0
"""Time within which a move ends if the owner cooperates."""
CALM_REBALANCE_MS = 2500.0
"""Time after a plan in which only very busy servers are relieved of keys."""
PROBE_MS = 500.0
"""Period in which an unreachable owner is probed."""
RENEW_RETRY_MS = 150.0
"""Pause before a renewal that got no reply is retried."""
GRANT_TRIES = 3
"""Maximum number of attempts to grant a range to its next owner."""
LEAST_SLOWNESS = 0.4
"""Lower bound of a server's relative service time."""
MOST_SLOWNESS = 2.5
"""Upper bound of a server's relative service time."""
MERGE_SHARE = 0.5
"""Fraction of a service's maximum number of ranges above which ranges are merged."""
MERGES_AT_ONCE = 8
"""Maximum number of merges in one edit."""


class Term:
    """Runs the tasks of one term, which ends when the lease is lost."""

    def __init__(
        self,
        lease: LeaderLease,
        ranges: RangeStore,
        holders: Holders,
        catalog: Catalog,
        load: KeyLoad,
        slowness: Callable[[BackendServer], float],
        longest_hold_ms: float,
        clock: Clock,
    ) -> None:
        self._lease = lease
        self._ranges = ranges
        self._holders = holders
        self._catalog = catalog
        self._load = load
        self._slowness = slowness
        self._longest_hold_ms = longest_hold_ms
        self._clock = clock
        self._started_ms = clock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._moving: dict[tuple[ServiceName, int], float] = {}
        """Start time of each move in progress, by service and first key."""
        self._renewed_ms: dict[tuple[ServiceName, int, int], float] = {}
        self._probed_ms: dict[Life, float] = {}
        self._period_ms = renewal_period_ms(0)
        self._hold_ms = usual_hold_ms(self._period_ms, longest_hold_ms)
        self._planned_ms: dict[ServiceName, float] = {}
        self._planning: set[ServiceName] = set()
        self._server_counts: dict[ServiceName, int] = {}
        self._counted_ms: dict[ServiceName, float] = {}

    async def run(self) -> None:
        """Run until the term ends.

        Raises:
            TermEndedError: the lease was lost.
        """
        await self._ranges.load()
        for service in self._ranges.services:
            # Owners may have restarted under an earlier leader without its notice.
            await self._ranges.update(service, raise_all_fences)
        while True:
            await self._lease.wait_valid()
            services = self._keyed_services()
            ranges = sum(len(self._ranges.ranges(service)) for service in services)
            self._period_ms = renewal_period_ms(ranges)
            self._hold_ms = usual_hold_ms(self._period_ms, self._longest_hold_ms)
            for service in services:
                self._work_on(service)
            await asyncio.sleep(TICK_S)

    def cancel(self) -> None:
        """Cancel all tasks of the term."""
        for task in self._tasks:
            task.cancel()

    def _keyed_services(self) -> list[ServiceName]:
        routes = self._catalog.routes
        if routes is None:
            return []
        return [s.name for s in routes.services.values() if s.is_keyed]

    def _work_on(self, service: ServiceName) -> None:
        ranges = self._ranges.ranges(service)
        if not ranges:
            self._divide(service)
            return
        for part in ranges:
            if part.is_moving:
                if (service, part.first) not in self._moving:
                    self._moving[service, part.first] = self._clock()
                    self._start(self._move(service, part))
                continue
            self._renew_if_due(service, part)
        if service in self._planning:
            return
        pieces = self._plan(service)
        if pieces:
            self._planning.add(service)
            self._start(self._begin(service, pieces))

    def _divide(self, service: ServiceName) -> None:
        servers = self._catalog.serving(service)
        now_ms = self._clock()
        if len(servers) != self._server_counts.get(service, 0):
            self._server_counts[service] = len(servers)
            self._counted_ms[service] = now_ms
        is_settled = now_ms - self._counted_ms.get(service, now_ms) >= SETTLE_MS
        is_overdue = now_ms - self._started_ms >= LONGEST_SETTLE_MS
        if not servers or service in self._planning:
            return
        if not is_settled and not is_overdue:
            return
        self._planning.add(service)
        log_event("keys_divided", service=service, servers=len(servers))
        self._start(self._store_division(service, servers))

    async def _store_division(
        self, service: ServiceName, servers: list[BackendServer]
    ) -> None:
        try:
            await self._ranges.update(service, lambda ranges: ranges or divide(servers))
        finally:
            self._planning.discard(service)

    def _renew_if_due(self, service: ServiceName, part: KeyRange) -> None:
        due = (service, part.first, part.fence)
        period_ms = self._period_ms
        hold_ms = self._hold_ms
        if self._lease.is_troubled:
            # An outage of the store may last longer than a grant with the normal TTL.
            hold_ms = self._longest_hold_ms
            period_ms /= 2
        last_ms = self._renewed_ms.get(due, float("-inf"))
        if self._clock() - last_ms < period_ms:
            return
        life = (part.owner, part.owner_born_ms)
        if self._holders.address(life) is None:
            return
        if self._holders.is_silent(life):
            self._probe_if_due(service, life)
            return
        self._renewed_ms[due] = self._clock() - random.uniform(0, 0.1) * period_ms
        self._start(self._renew(service, part, hold_ms))

    def _probe_if_due(self, service: ServiceName, life: Life) -> None:
        last_ms = self._probed_ms.get(life, float("-inf"))
        if self._clock() - last_ms < PROBE_MS:
            return
        self._probed_ms[life] = self._clock()
        self._start(self._probe(service, life))

    async def _probe(self, service: ServiceName, life: Life) -> None:
        routes = self._catalog.routes
        path = routes.services[service].health_path if routes is not None else "/"
        if await self._holders.probe(life, path):
            await self._ranges.update(service, raise_fences_of(*life))
            await self._holders.forgive(life)

    async def _renew(
        self, service: ServiceName, part: KeyRange, hold_ms: float
    ) -> None:
        result = await self._holders.renew(service, part, hold_ms)
        if isinstance(result, Success):
            return
        failure = result.failure()
        if not isinstance(failure, OrderRefused):
            due = (service, part.first, part.fence)
            self._renewed_ms[due] = self._clock() - self._period_ms + RENEW_RETRY_MS
            return
        log_event(
            "renewal_refused",
            service=service,
            first=part.first,
            last=part.last,
            server=part.owner,
            fence=part.fence,
            status=failure.status,
        )
        await self._ranges.update(service, raise_fence(part))

    def _plan(self, service: ServiceName) -> list[Piece]:
        """Return moves of ranges that need a new owner, or else moves for balance."""
        ranges = self._ranges.ranges(service)
        targets = self._targets(service)
        orphans = [part for part in ranges if self._must_move(part)]
        if orphans:
            keys = self._load.sample(service).keys
            return place_orphans(orphans, ranges, keys, targets)
        now_ms = self._clock()
        # An older move waits for the grants of an unreachable owner to expire; other
        # moves need not wait for it.
        is_moving = any(
            moved == service and now_ms - since_ms < LONGEST_MOVE_MS
            for (moved, _), since_ms in self._moving.items()
        )
        if self._lease.is_slow or is_moving:
            return []
        since_ms = now_ms - self._planned_ms.get(service, float("-inf"))
        if since_ms < REBALANCE_MS:
            return []
        if len(ranges) > MERGE_SHARE * most_ranges(len(targets)):
            self._start(self._merge(service))
        is_early = since_ms < CALM_REBALANCE_MS
        least = BUSY_UTILISATION if is_early else CALM_UTILISATION
        sample = self._load.sample(service)
        pieces = plan_moves(ranges, sample.keys, targets, sample.work_per_key, least)
        if pieces:
            self._planned_ms[service] = now_ms
        return pieces

    def _must_move(self, part: KeyRange) -> bool:
        if part.is_moving:
            return False
        entry = self._catalog.server(part.owner)
        if entry is None:
            return not self._catalog.is_relisting
        if not part.is_held_by(entry):
            return True
        if entry.state is ServerState.DRAINING:
            return True
        return self._holders.is_lost((part.owner, part.owner_born_ms))

    def _targets(self, service: ServiceName) -> list[Capacity]:
        """Return the servers that may get keys, with their capacities.

        While slots are free, fast servers get more than their proportional share of
        the load, because requests finish sooner there.
        """
        servers = [
            (server, 1.0 / max(LEAST_SLOWNESS, min(MOST_SLOWNESS, slowness)))
            for server in self._catalog.serving(service)
            if not self._holders.is_silent((server.server, server.born_ms))
            for slowness in [self._slowness(server)]
        ]
        sample = self._load.sample(service)
        slots = sum(server.slots * speed for server, speed in servers)
        busy = len(sample.keys) * sample.work_per_key / max(1.0, slots)
        exponent = 1.0 + max(0.0, 1.0 - busy)
        return [
            Capacity(server, server.slots * speed**exponent, server.slots * speed)
            for server, speed in servers
        ]

    async def _begin(self, service: ServiceName, pieces: list[Piece]) -> None:
        try:
            for piece in pieces:
                log_event(
                    "move_planned",
                    service=service,
                    first=piece.first,
                    last=piece.last,
                    to=piece.to.server,
                )
            await self._ranges.update(service, begin_moves(pieces))
        finally:
            self._planning.discard(service)

    async def _merge(self, service: ServiceName) -> None:
        await self._ranges.update(service, merge_neighbours(MERGES_AT_ONCE))

    async def _move(self, service: ServiceName, part: KeyRange) -> None:
        started_ms = self._clock()
        try:
            token = await self._holders.free(service, part)
            outcome = "granted"
            for _ in range(GRANT_TRIES):
                result = await self._holders.grant_next(
                    service, part, self._hold_ms, token
                )
                if isinstance(result, Success):
                    break
                outcome = str(result.failure())
                await self._lease.wait_valid()
                if isinstance(result, Failure) and isinstance(
                    result.failure(), OrderRefused
                ):
                    await self._ranges.update(service, raise_fence(part))
                    return
            # A grant without a reply may still be applied, so the next owner becomes
            # the owner even if it did not answer.
            await self._ranges.update(service, complete_move(part))
            log_event(
                "move_completed",
                service=service,
                first=part.first,
                last=part.last,
                owner=part.next_owner,
                fence=part.fence,
                is_warm=token is not None,
                outcome=outcome,
                took_ms=round(self._clock() - started_ms),
            )
        finally:
            self._moving.pop((service, part.first), None)

    def _start(self, work: object) -> None:
        task = asyncio.create_task(self._guard(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, work: object) -> None:
        try:
            await work  # type: ignore[misc]
        except TermEndedError:
            return

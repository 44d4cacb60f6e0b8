"""The leader's work during one term.

It assigns the keys of each keyed service to servers, renews their grants, moves ranges
away from servers that leave or fail, and rebalances the load.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec
from returns.result import Failure, Success

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.states import ServerState
from mulberryrelay_kernel.supervision import log_failure

from .adapter import CommandRefused
from .capacity import Capacity, ServerCondition, capacities
from .catalog import Catalog
from .evacuationplan import EvacuationPlanner
from .grants import GrantManager, normal_grant_ttl_ms, renewal_period_ms
from .keyload import KeyLoad
from .lease import LeaderLease, TermEndedError
from .lostgrants import LostGrants
from .messages import BackendServer, KeyRange
from .rangeedits import (
    PlannedMove,
    begin_moves,
    complete_move,
    first_fence,
    initial_assignment,
    merge_adjacent_ranges,
    raise_all_fences,
    raise_fence,
    raise_fences_of_incarnation,
)
from .rangestore import RangeStore
from .rebalance import (
    BUSY_UTILISATION,
    CALM_UTILISATION,
    max_ranges,
    place_unowned_ranges,
    plan_moves,
)
from .unreachableservers import Incarnation

TICK_S = 0.1
"""Period of the leader's main loop."""
SETTLE_MS = 2000.0
"""Time without a change in the number of servers before the initial assignment."""
MAX_SETTLE_MS = 6000.0
"""Maximum time from the start of a term to the initial assignment.

The number of servers may still change then; without servers, the assignment waits.
"""
REBALANCE_MS = 300.0
"""Minimum time between two rebalancing plans for a service."""
MAX_COOPERATIVE_MOVE_MS = 1000.0
"""Time within which a move ends if its owner confirms the release."""
CALM_REBALANCE_MS = 2500.0
"""Time after a plan in which keys are moved away only from very busy servers.

``BUSY_UTILISATION`` defines them.
"""
PROBE_PERIOD_MS = 500.0
"""Period in which an unreachable owner is probed."""
PLAN_RETRY_MS = 1000.0
"""Pause after a plan that failed with an error."""
RENEW_RETRY_MS = 150.0
"""Pause before a renewal that got no reply is retried."""
MAX_GRANT_ATTEMPTS = 3
"""Maximum number of attempts to grant a range to its next owner."""
MERGE_THRESHOLD = 0.5
"""Fraction of a service's maximum number of ranges above which ranges are merged."""
MAX_MERGES_PER_EDIT = 8
"""Maximum number of merges in one edit."""


class Term:
    """Runs the tasks of one term, which ends when the lease is lost."""

    def __init__(
        self,
        lease: LeaderLease,
        ranges: RangeStore,
        grants: GrantManager,
        lost_grants: LostGrants,
        catalog: Catalog,
        load: KeyLoad,
        condition: Callable[[BackendServer], ServerCondition],
        max_grant_ttl_ms: float,
        clock: Clock,
    ) -> None:
        self._lease = lease
        self._ranges = ranges
        self._grants = grants
        self._lost_grants = lost_grants
        self._catalog = catalog
        self._load = load
        self._condition = condition
        self._max_grant_ttl_ms = max_grant_ttl_ms
        self._clock = clock
        self._started_ms = clock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._moving: dict[tuple[ServiceName, int], float] = {}
        """Start time of each move in progress, by service and first key."""
        self._renewed_ms: dict[tuple[ServiceName, int, int], float] = {}
        """Last renewal of each grant, by service, first key and fencing token."""
        self._probed_ms: dict[Incarnation, float] = {}
        self._raising: set[Incarnation] = set()
        """Servers that may have ended, and whose fences are being raised."""
        self._renewal_period_ms = renewal_period_ms(0)
        self._grant_ttl_ms = normal_grant_ttl_ms(
            self._renewal_period_ms, max_grant_ttl_ms
        )
        self._planned_ms: dict[ServiceName, float] = {}
        """Time of the last rebalancing plan of each service."""
        self._evacuation_planner = EvacuationPlanner(catalog, clock)
        self._plan_failed_ms: dict[ServiceName, float] = {}
        """Time of the last plan of each service that failed with an error."""
        self._planning: set[ServiceName] = set()
        """Services for which new ranges or moves are being stored."""
        self._server_counts: dict[ServiceName, int] = {}
        self._counted_ms: dict[ServiceName, float] = {}
        """Time of the last change in the number of servers of each service."""

    async def run(self) -> None:
        """Run until the term ends.

        Raises:
            TermEndedError: the lease was lost.
        """
        await self._ranges.load()
        restored = self._lease.restored.subscribe(
            lambda _: self._start_task(self._ranges.write_again())
        )
        try:
            await self._run_started()
        finally:
            restored.dispose()

    async def _run_started(self) -> None:
        for service in self._ranges.services:
            if not self._ranges.is_outdated(service):
                # Owners may have restarted unnoticed under an earlier leader.
                await self._ranges.update(service, raise_all_fences)
        while True:
            await self._lease.wait_sendable()
            services = self._keyed_services()
            ranges = sum(len(self._ranges.ranges(service)) for service in services)
            self._renewal_period_ms = renewal_period_ms(ranges)
            self._grant_ttl_ms = normal_grant_ttl_ms(
                self._renewal_period_ms, self._max_grant_ttl_ms
            )
            for service in services:
                self._manage_service(service)
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

    def _manage_service(self, service: ServiceName) -> None:
        if self._ranges.is_outdated(service):
            self._start_ending_lost_grants(service)
            return
        ranges = self._ranges.ranges(service)
        if not ranges:
            self._start_initial_assignment(service)
            return
        for key_range in ranges:
            if key_range.is_moving:
                if (service, key_range.first) not in self._moving:
                    self._moving[service, key_range.first] = self._clock()
                    self._start_task(self._move(service, key_range))
                continue
            self._renew_if_due(service, key_range)
        if service in self._planning:
            return
        moves = self._try_plan_moves(service)
        if moves:
            self._planning.add(service)
            self._start_task(self._begin_moves(service, moves))

    def _start_ending_lost_grants(self, service: ServiceName) -> None:
        if service in self._planning:
            return
        self._planning.add(service)
        self._start_task(self._end_lost_grants(service))

    async def _end_lost_grants(self, service: ServiceName) -> None:
        try:
            await self._lost_grants.end(service, self._grant_ttl_ms)
        finally:
            self._planning.discard(service)

    def _start_initial_assignment(self, service: ServiceName) -> None:
        servers = self._catalog.assignable(service)
        now_ms = self._clock()
        if len(servers) != self._server_counts.get(service, 0):
            self._server_counts[service] = len(servers)
            self._counted_ms[service] = now_ms
        is_settled = now_ms - self._counted_ms.get(service, now_ms) >= SETTLE_MS
        is_overdue = now_ms - self._started_ms >= MAX_SETTLE_MS
        if not servers or service in self._planning:
            return
        if not is_settled and not is_overdue:
            return
        self._planning.add(service)
        log_event("keys_divided", service=service, servers=len(servers))
        self._start_task(self._store_initial_assignment(service, servers))

    async def _store_initial_assignment(
        self, service: ServiceName, servers: list[BackendServer]
    ) -> None:
        try:
            await self._ranges.update(
                service,
                lambda ranges: (
                    ranges
                    or initial_assignment(servers, first_fence(self._lease.restores))
                ),
            )
        finally:
            self._planning.discard(service)

    def _renew_if_due(self, service: ServiceName, key_range: KeyRange) -> None:
        renewal_key = (service, key_range.first, key_range.fence)
        period_ms = self._renewal_period_ms
        grant_ttl_ms = self._grant_ttl_ms
        if self._lease.is_renewal_late:
            # An outage of the store may last longer than a grant with the normal TTL.
            grant_ttl_ms = self._max_grant_ttl_ms
            period_ms /= 2
        last_ms = self._renewed_ms.get(renewal_key, float("-inf"))
        if self._clock() - last_ms < period_ms:
            return
        incarnation = (key_range.owner, key_range.owner_started_ms)
        if self._grants.last_entry(incarnation) is None:
            return
        if self._grants.is_unreachable(incarnation):
            self._probe_if_due(service, incarnation)
            return
        if self._grants.may_have_ended(incarnation):
            self._start_raising_fences(service, incarnation)
            return
        self._renewed_ms[renewal_key] = (
            self._clock() - random.uniform(0, 0.1) * period_ms
        )
        self._start_task(self._renew(service, key_range, grant_ttl_ms))

    def _probe_if_due(self, service: ServiceName, incarnation: Incarnation) -> None:
        last_ms = self._probed_ms.get(incarnation, float("-inf"))
        if self._clock() - last_ms < PROBE_PERIOD_MS:
            return
        self._probed_ms[incarnation] = self._clock()
        self._start_task(self._probe(service, incarnation))

    async def _probe(self, service: ServiceName, incarnation: Incarnation) -> None:
        routes = self._catalog.routes
        path = routes.services[service].health_path if routes is not None else "/"
        if await self._grants.probe(incarnation, path):
            await self._ranges.update(
                service, raise_fences_of_incarnation(*incarnation)
            )
            await self._grants.mark_reachable(incarnation)

    def _start_raising_fences(
        self, service: ServiceName, incarnation: Incarnation
    ) -> None:
        if incarnation in self._raising:
            return
        self._raising.add(incarnation)
        self._start_task(self._raise_fences(service, incarnation))

    async def _raise_fences(
        self, service: ServiceName, incarnation: Incarnation
    ) -> None:
        """Raise the fences of a server whose next life may be at its address."""
        self._raising.add(incarnation)
        log_event("server_may_have_ended", service=service, server=incarnation[0])
        try:
            await self._ranges.update(
                service, raise_fences_of_incarnation(*incarnation)
            )
            self._grants.mark_fences_raised(incarnation)
        finally:
            self._raising.discard(incarnation)

    async def _renew(
        self, service: ServiceName, key_range: KeyRange, grant_ttl_ms: float
    ) -> None:
        result = await self._grants.renew(service, key_range, grant_ttl_ms)
        if isinstance(result, Success):
            return
        failure = result.failure()
        if not isinstance(failure, CommandRefused):
            renewal_key = (service, key_range.first, key_range.fence)
            self._renewed_ms[renewal_key] = (
                self._clock() - self._renewal_period_ms + RENEW_RETRY_MS
            )
            return
        log_event(
            "renewal_refused",
            service=service,
            first=key_range.first,
            last=key_range.last,
            server=key_range.owner,
            fence=key_range.fence,
            status=failure.status,
        )
        await self._ranges.update(service, raise_fence(key_range))

    def _try_plan_moves(self, service: ServiceName) -> list[PlannedMove]:
        """Return the moves to begin; none if planning fails with an error.

        The grants of all services have to be renewed nevertheless.
        """
        failed_ms = self._plan_failed_ms.get(service, float("-inf"))
        if self._clock() - failed_ms < PLAN_RETRY_MS:
            return []
        try:
            return self._plan_moves(service)
        except Exception as error:
            self._plan_failed_ms[service] = self._clock()
            log_failure(f"plan {service}", error)
            return []

    def _plan_moves(self, service: ServiceName) -> list[PlannedMove]:
        """Return moves of ranges that need a new owner, or else moves for balance."""
        ranges = self._ranges.ranges(service)
        targets = self._targets(service, self._condition)
        unowned = [
            key_range for key_range in ranges if self._needs_new_owner(key_range)
        ]
        if unowned:
            keys = self._load.sample(service).keys
            targets = self._targets(service, self._condition_if_cold)
            return place_unowned_ranges(unowned, ranges, keys, targets)
        leaving = self._evacuation_planner.leaving(ranges)
        if leaving and targets:
            targets = self._targets(service, self._condition_if_cold)
            keys = self._load.sample(service).keys
            return self._evacuation_planner.plan(
                service, leaving, ranges, keys, targets
            )
        now_ms = self._clock()
        # An older move waits for the grants of an unreachable owner to expire; other
        # moves need not wait for it.
        is_moving = any(
            moving_service == service and now_ms - started_ms < MAX_COOPERATIVE_MOVE_MS
            for (moving_service, _), started_ms in self._moving.items()
        )
        if self._lease.is_store_slow or is_moving:
            return []
        since_plan_ms = now_ms - self._planned_ms.get(service, float("-inf"))
        if since_plan_ms < REBALANCE_MS:
            return []
        if len(ranges) > MERGE_THRESHOLD * max_ranges(len(targets)):
            self._start_task(self._merge(service))
        is_recent = since_plan_ms < CALM_REBALANCE_MS
        min_utilisation = BUSY_UTILISATION if is_recent else CALM_UTILISATION
        sample = self._load.sample(service)
        # Cold servers keep their keys and get no more until they are warm.
        warm = [
            target
            for target in targets
            if self._catalog.cold.limit_per_s(target.server) is None
        ]
        moves = plan_moves(
            ranges, sample.keys, warm, sample.slots_per_key, min_utilisation
        )
        if moves:
            self._planned_ms[service] = now_ms
        return moves

    def _needs_new_owner(self, key_range: KeyRange) -> bool:
        if key_range.is_moving:
            return False
        entry = self._catalog.server(key_range.owner)
        if entry is None:
            return not self._catalog.is_reregistration_pending
        if not key_range.is_owned_by(entry):
            return True
        if entry.state is ServerState.DRAINING:
            return True
        return self._grants.is_lost((key_range.owner, key_range.owner_started_ms))

    def _condition_if_cold(self, server: BackendServer) -> ServerCondition:
        """Return the condition of a server, with its limit while it is cold.

        Only keys that need a new owner move to cold servers.
        """
        condition = self._condition(server)
        cold_per_s = self._catalog.cold.limit_per_s(server)
        if cold_per_s is None:
            return condition
        if condition.limit_per_s is not None:
            cold_per_s = min(cold_per_s, condition.limit_per_s)
        return msgspec.structs.replace(condition, limit_per_s=cold_per_s)

    def _targets(
        self,
        service: ServiceName,
        condition: Callable[[BackendServer], ServerCondition],
    ) -> list[Capacity]:
        """Return the servers that may get keys, with their capacities."""
        servers = [
            (server, condition(server))
            for server in self._catalog.assignable(service)
            if not self._grants.is_unreachable((server.server, server.started_ms))
        ]
        return capacities(servers, self._load.sample(service))

    async def _begin_moves(
        self, service: ServiceName, moves: list[PlannedMove]
    ) -> None:
        try:
            for move in moves:
                log_event(
                    "move_planned",
                    service=service,
                    first=move.first,
                    last=move.last,
                    to=move.destination.server,
                )
            await self._ranges.update(service, begin_moves(moves))
        finally:
            self._planning.discard(service)

    async def _merge(self, service: ServiceName) -> None:
        await self._ranges.update(service, merge_adjacent_ranges(MAX_MERGES_PER_EDIT))

    async def _move(self, service: ServiceName, key_range: KeyRange) -> None:
        started_ms = self._clock()
        try:
            handover_token = await self._grants.wait_released(service, key_range)
            outcome = "granted"
            next_owner = (key_range.next_owner, key_range.next_started_ms)
            if self._grants.may_have_ended(next_owner):
                await self._raise_fences(service, next_owner)
            continuity = self._grants.continuity(next_owner)
            for _ in range(MAX_GRANT_ATTEMPTS):
                result = await self._grants.grant_to_next_owner(
                    service, key_range, self._grant_ttl_ms, handover_token
                )
                if continuity is not None and continuity.is_broken:
                    # The fence may have been granted to the process before.
                    await self._ranges.update(service, raise_fence(key_range))
                    return
                if isinstance(result, Success):
                    break
                outcome = str(result.failure())
                await self._lease.wait_sendable()
                if isinstance(result, Failure) and isinstance(
                    result.failure(), CommandRefused
                ):
                    await self._ranges.update(service, raise_fence(key_range))
                    return
            # A grant without a reply may still be applied, so the next owner becomes
            # the owner even if it did not answer.
            await self._ranges.update(service, complete_move(key_range))
            log_event(
                "move_completed",
                service=service,
                first=key_range.first,
                last=key_range.last,
                owner=key_range.next_owner,
                fence=key_range.fence,
                is_warm=handover_token is not None,
                outcome=outcome,
                took_ms=round(self._clock() - started_ms),
            )
        finally:
            self._moving.pop((service, key_range.first), None)

    def _start_task(self, coroutine: object) -> None:
        task = asyncio.create_task(self._run_until_term_ends(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_until_term_ends(self, coroutine: object) -> None:
        try:
            await coroutine  # type: ignore[misc]
        except TermEndedError:
            return
        except Exception as error:
            # The next tick starts the task again if it is still due.
            log_failure("term-task", error)

"""Admission control: decides which request is sent when, and to which server.

The request path acquires a slot before each attempt and releases it afterwards. A
request waits in the queue of its class while no server has capacity for it.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from mulberryrelay_control.ruletypes import ActiveRules
from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import RequestClass, ServerId, ServiceName
from mulberryrelay_kernel.messages import ServerEntry
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.states import ServerState

from .balancer import Balancer, Observation
from .ratelimits import RetryBudget, TokenBucket

Candidates = Callable[[], Sequence[ServerEntry]]
"""Returns the servers to which a request may be sent at the time of the call."""
CandidateGroup = tuple[ServerId, ...]
"""Ids of the candidates; waiting requests with the same candidates form a group."""

SHARE_TOLERANCE = 1e-9
"""Rounding error that is tolerated in sums of the lower classes' share."""


class AdmissionRequest(Protocol):
    """The fields of a request that admission uses."""

    @property
    def service(self) -> ServiceName: ...
    @property
    def request_class(self) -> RequestClass: ...
    @property
    def deadline_ms(self) -> float: ...


class RefusalReason(Enum):
    """Why a request was not admitted; it was certainly not run."""

    QUEUE_FULL = "queue-full"
    RATE_LIMITED = "rate-limited"
    DEADLINE = "deadline"


class Refusal(msgspec.Struct, frozen=True):
    """Why a request was not admitted, with a detail for the caller."""

    reason: RefusalReason
    detail: str


class Slot(msgspec.Struct, frozen=True):
    """Permission to send one attempt to a server; released exactly once."""

    server: ServerEntry
    started_ms: float


class _Waiter:
    """A request that waits for a slot."""

    def __init__(
        self, arrival_number: int, request: AdmissionRequest, candidates: Candidates
    ) -> None:
        self.arrival_number = arrival_number
        self.request = request
        self.candidates = candidates
        self.group: CandidateGroup = ()
        self.granted_slot: asyncio.Future[Slot | None] = (
            asyncio.get_running_loop().create_future()
        )
        """Result is None if the deadline passes before a slot is granted."""

    def expire(self) -> None:
        if not self.granted_slot.done():
            self.granted_slot.set_result(None)


class _ServiceQueue:
    """Waiting requests of a service, by class and by set of candidate servers.

    Grouping by candidates keeps requests for a busy owner from blocking those for other
    owners. When a slot is released, only the first request of each group is examined.
    """

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.classes = list(classes)
        self.groups: dict[RequestClass, dict[CandidateGroup, deque[_Waiter]]] = {
            name: {} for name in classes
        }
        self.lengths = dict.fromkeys(classes, 0)
        self.lower_class_credits: dict[ServerId, float] = {}
        """Fraction of a dispatch that the lower classes have accumulated per server."""
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_empty(self) -> bool:
        return not any(self.lengths.values())

    def add(self, waiter: _Waiter, group: CandidateGroup) -> None:
        waiter.group = group
        name = waiter.request.request_class
        queue = self.groups[name].setdefault(group, deque())
        index = len(queue)
        while index and queue[index - 1].arrival_number > waiter.arrival_number:
            index -= 1
        queue.insert(index, waiter)
        self.lengths[name] += 1

    def remove(self, waiter: _Waiter) -> None:
        name = waiter.request.request_class
        queue = self.groups[name].get(waiter.group)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self.lengths[name] -= 1
        if not queue:
            del self.groups[name][waiter.group]

    def head(self, name: RequestClass, server: ServerId) -> _Waiter | None:
        """Return the longest waiting request of a class that the server may run."""
        heads = [
            queue[0] for group, queue in self.groups[name].items() if server in group
        ]
        return min(heads, key=lambda waiter: waiter.arrival_number, default=None)

    def next_waiter(self, server: ServerId, share: float) -> _Waiter | None:
        """Return the request to send to the server next.

        The first class with waiting requests has priority, except that ``share`` of the
        dispatches goes to the lower classes while they also have waiting requests.
        """
        heads = [
            head
            for name in self.classes
            if (head := self.head(name, server)) is not None
        ]
        if len(heads) < 2:
            return heads[0] if heads else None
        credit = self.lower_class_credits.get(server, 0.0) + share
        if credit < 1.0 - SHARE_TOLERANCE:
            self.lower_class_credits[server] = credit
            return heads[0]
        self.lower_class_credits[server] = credit - 1.0
        return min(heads[1:], key=lambda waiter: waiter.arrival_number)

    def waiters(self) -> list[_Waiter]:
        return [
            waiter
            for groups in self.groups.values()
            for queue in groups.values()
            for waiter in queue
        ]

    def servers(self) -> list[ServerId]:
        """Return the servers that are candidates of any waiting request."""
        servers = {
            server: None
            for groups in self.groups.values()
            for group in groups
            for server in group
        }
        return list(servers)


class Admission:
    """Admits requests by class, within the balancer's concurrency limits."""

    def __init__(
        self, options: Options, clock: Clock, rng: random.Random | None = None
    ) -> None:
        self._options = options
        self._clock = clock
        self._balancer = Balancer(options, clock, rng or random.Random())
        self._queues = {
            name: _ServiceQueue(service.classes)
            for name, service in options.services.items()
        }
        self._retry_budgets = {
            name: RetryBudget(options.limits.retry_ratio) for name in options.services
        }
        self._rate_limits: dict[tuple[ServiceName, RequestClass], TokenBucket] = {}
        self._drained_servers: frozenset[ServerId] = frozenset()
        self._entries: dict[ServerId, ServerEntry] = {}
        self._arrivals = 0
        self._is_recheck_scheduled = False

    @property
    def balancer(self) -> Balancer:
        """Balancer that chooses among the servers."""
        return self._balancer

    def queued(self, service: ServiceName) -> dict[RequestClass, int]:
        """Return the number of waiting requests of each class."""
        return dict(self._queues[service].lengths)

    async def acquire(
        self, request: AdmissionRequest, candidates: Candidates
    ) -> Result[Slot, Refusal]:
        """Return a slot on a candidate, or the reason why the request is refused.

        Wait until a candidate has free concurrency, at most until the deadline.
        ``candidates`` is called again whenever the result may have changed. For a
        service partitioned by key it returns only the owner, or nothing while the key
        moves.
        """
        service = request.service
        self._retry_budgets[service].record_request()
        if self._clock() >= request.deadline_ms:
            return Failure(_deadline_refusal())
        bucket = self._rate_limits.get((service, request.request_class))
        if bucket is not None and not bucket.try_acquire():
            detail = f"class {request.request_class} is over its rate limit"
            return Failure(Refusal(RefusalReason.RATE_LIMITED, detail))
        queue = self._queues[service]
        if queue.is_empty:
            slot = self._try_start(service, self._eligible_servers(service, candidates))
            if slot is not None:
                return Success(slot)
        return await self._wait(queue, request, candidates)

    def release(self, slot: Slot, observation: Observation, latency_ms: float) -> None:
        """Return a slot and record how its attempt ended; latency in milliseconds."""
        server = slot.server
        self._balancer.record_result(
            server.service, server.server, slot.started_ms, observation, latency_ms
        )
        self._dispatch(server.service)

    @property
    def known_servers(self) -> set[ServerId]:
        """Servers that were candidates of a request and have not left."""
        return set(self._entries)

    def remove_servers(self, servers: Iterable[ServerId]) -> None:
        """Forget servers that left."""
        for server in servers:
            self._entries.pop(server, None)

    def schedule_recheck(self) -> None:
        """Recheck waiting requests soon, because their candidates may have changed.

        Consecutive calls are combined: a complete assignment changes hundreds of units
        at once, and each recheck evaluates the candidates of every waiting request.
        """
        if self._is_recheck_scheduled or all(
            queue.is_empty for queue in self._queues.values()
        ):
            return
        self._is_recheck_scheduled = True
        asyncio.get_running_loop().call_soon(self._recheck)

    def _recheck(self) -> None:
        self._is_recheck_scheduled = False
        for service, queue in self._queues.items():
            for waiter in queue.waiters():
                self._regroup(queue, waiter)
            self._dispatch(service)

    def try_consume_retry(self, service: ServiceName) -> bool:
        """Spend one retry of the retry budget; return whether it allowed one."""
        return self._retry_budgets[service].try_acquire()

    def set_rules(self, rules: ActiveRules) -> None:
        """Apply new rules.

        Each router enforces its share of a rate limit, because routers do not see each
        other's requests.
        """
        self._drained_servers = frozenset(rules.drained)
        buckets = {}
        for service, limits in rules.limits.items():
            for name, per_second in limits.items():
                buckets[service, name] = self._bucket(service, name, per_second)
        self._rate_limits = buckets
        for service, queue in self._queues.items():
            default_order = self._options.services[service].classes
            preferred = [
                name for name in rules.orders.get(service, ()) if name in default_order
            ]
            queue.classes = preferred + [
                name for name in default_order if name not in preferred
            ]
        self.schedule_recheck()

    def _bucket(
        self, service: ServiceName, name: RequestClass, per_second: int
    ) -> TokenBucket:
        """Return the current bucket if its rate is unchanged, otherwise a new one."""
        rate = per_second / self._options.routers
        existing = self._rate_limits.get((service, name))
        if existing is not None and existing.per_second == rate:
            return existing
        return TokenBucket(rate, self._clock)

    def _eligible_servers(
        self, service: ServiceName, candidates: Candidates
    ) -> list[ServerEntry]:
        entries = list(candidates())
        if not self._options.services[service].partitioned:
            entries = [entry for entry in entries if self._accepts_requests(entry)]
        self._balancer.record_candidates(entries)
        for entry in entries:
            self._entries[entry.server] = entry
        return entries

    def _accepts_requests(self, entry: ServerEntry) -> bool:
        if entry.server in self._drained_servers:
            return False
        return entry.state in (ServerState.SERVING, ServerState.COLD)

    def _try_start(
        self, service: ServiceName, entries: Sequence[ServerEntry]
    ) -> Slot | None:
        entry = self._balancer.choose(service, entries)
        if entry is None:
            return None
        self._balancer.record_start(service, entry.server)
        return Slot(entry, self._clock())

    async def _wait(
        self, queue: _ServiceQueue, request: AdmissionRequest, candidates: Candidates
    ) -> Result[Slot, Refusal]:
        service = request.service
        if queue.lengths[request.request_class] >= self._options.limits.queue_length:
            detail = f"the queue of class {request.request_class} is full"
            return Failure(Refusal(RefusalReason.QUEUE_FULL, detail))
        self._arrivals += 1
        waiter = _Waiter(self._arrivals, request, candidates)
        queue.add(waiter, _candidate_group(self._eligible_servers(service, candidates)))
        self._dispatch(service)
        left_s = max(0.0, request.deadline_ms - self._clock()) / 1000
        timer = asyncio.get_running_loop().call_later(left_s, waiter.expire)
        try:
            slot = await waiter.granted_slot
        except asyncio.CancelledError:
            if not waiter.granted_slot.cancelled():
                self._release_unused(waiter.granted_slot.result())
            raise
        finally:
            timer.cancel()
            queue.remove(waiter)
        if slot is None or self._clock() >= request.deadline_ms:
            self._release_unused(slot)
            return Failure(_deadline_refusal())
        return Success(slot)

    def _release_unused(self, slot: Slot | None) -> None:
        if slot is not None:
            self.release(slot, Observation.NOT_SENT, 0.0)

    def _regroup(self, queue: _ServiceQueue, waiter: _Waiter) -> None:
        group = _candidate_group(
            self._eligible_servers(waiter.request.service, waiter.candidates)
        )
        if group == waiter.group:
            return
        queue.remove(waiter)
        queue.add(waiter, group)

    def _dispatch(self, service: ServiceName) -> None:
        """Grant free concurrency to waiting requests, one per server and pass."""
        queue = self._queues[service]
        if queue.is_empty:
            return
        has_changed = True
        while has_changed:
            has_changed = False
            for server in self._local_first(service, queue.servers()):
                if self._dispatch_one(service, queue, server):
                    has_changed = True
        if not queue.is_empty:
            self._schedule_dispatch(service, queue)

    def _local_first(
        self, service: ServiceName, servers: Sequence[ServerId]
    ) -> list[ServerId]:
        # Requests that wait for a server that left are rechecked soon.
        entries = [
            self._entries[server] for server in servers if server in self._entries
        ]
        usable = self._balancer.usable(service, entries)
        usable.sort(key=lambda entry: not self._balancer.is_local(entry.data_centre))
        return [entry.server for entry in usable]

    def _dispatch_one(
        self, service: ServiceName, queue: _ServiceQueue, server: ServerId
    ) -> bool:
        """Admit one request to the server; return whether the queue changed."""
        if not self._balancer.has_capacity(service, server):
            return False
        share = self._options.limits.lower_class_share
        waiter = queue.next_waiter(server, share)
        if waiter is None:
            return False
        queue.remove(waiter)
        # A queued request that is unlikely to be answered before its deadline would end
        # with an unknown outcome, so it is refused. A request that did not wait is
        # always sent, so that a latency estimate that is too high gets corrected.
        expected_ms = self._balancer.upper_latency_ms(service)
        left_ms = waiter.request.deadline_ms - self._clock()
        if waiter.granted_slot.done() or left_ms <= expected_ms:
            waiter.expire()
            return True
        entries = self._eligible_servers(service, waiter.candidates)
        chosen = [entry for entry in entries if entry.server == server]
        slot = self._try_start(service, chosen)
        if slot is None:
            queue.add(waiter, _candidate_group(entries))
            return server not in waiter.group
        waiter.granted_slot.set_result(slot)
        return True

    def _schedule_dispatch(self, service: ServiceName, queue: _ServiceQueue) -> None:
        """Schedule a dispatch for when the first paused or ejected server is ready."""
        now_ms = self._clock()
        times = [
            ready_ms
            for server in queue.servers()
            if (ready_ms := self._balancer.ready_ms(service, server)) > now_ms
        ]
        if not times:
            return
        if queue.timer is not None:
            queue.timer.cancel()
        queue.timer = asyncio.get_running_loop().call_later(
            (min(times) - now_ms) / 1000, self._dispatch, service
        )


def _candidate_group(entries: Sequence[ServerEntry]) -> CandidateGroup:
    return tuple(entry.server for entry in entries)


def _deadline_refusal() -> Refusal:
    return Refusal(
        RefusalReason.DEADLINE, "the deadline passed before the request was sent"
    )

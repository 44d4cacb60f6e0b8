"""Admission control: which request may be sent, when, and to which server.

The request path acquires a slot before each attempt and releases it afterwards. A
request that no server has room for waits in the queue of its class.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Sequence
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

from .balance import Balancer, Observation
from .budgets import RetryBudget, TokenBucket

Candidates = Callable[[], Sequence[ServerEntry]]
Group = tuple[ServerId, ...]

ROUNDING = 1e-9
"""Tolerates the rounding of sums of the lower classes' share."""


class AdmissionRequest(Protocol):
    """What admission needs to know about a request."""

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
    """A request that was not admitted."""

    reason: RefusalReason
    detail: str


class Slot(msgspec.Struct, frozen=True):
    """Permission to send one attempt to a server; released exactly once."""

    server: ServerEntry
    started_ms: float


class _Waiter:
    def __init__(
        self, order: int, request: AdmissionRequest, candidates: Candidates
    ) -> None:
        self.order = order
        self.request = request
        self.candidates = candidates
        self.group: Group = ()
        self.admitted: asyncio.Future[Slot | None] = (
            asyncio.get_running_loop().create_future()
        )
        """Ends with None when the deadline passes first."""

    def expire(self) -> None:
        if not self.admitted.done():
            self.admitted.set_result(None)


class _ServiceQueue:
    """Waiting requests of a service by class, grouped by their candidates.

    Groups keep requests for a busy owner from blocking those for others, and let the
    release of a slot look at one head per group instead of at every request.
    """

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.classes = list(classes)
        self.groups: dict[RequestClass, dict[Group, deque[_Waiter]]] = {
            name: {} for name in classes
        }
        self.lengths = dict.fromkeys(classes, 0)
        self.owed: dict[ServerId, float] = {}
        """Share of each server's dispatches that the lower classes are owed."""
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_empty(self) -> bool:
        return not any(self.lengths.values())

    def add(self, waiter: _Waiter, group: Group) -> None:
        waiter.group = group
        name = waiter.request.request_class
        queue = self.groups[name].setdefault(group, deque())
        place = len(queue)
        while place and queue[place - 1].order > waiter.order:
            place -= 1
        queue.insert(place, waiter)
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
        """Return the longest waiting request of a class that the server may take."""
        heads = [
            queue[0] for group, queue in self.groups[name].items() if server in group
        ]
        return min(heads, key=lambda waiter: waiter.order, default=None)

    def next_for(self, server: ServerId, share: float) -> _Waiter | None:
        """Return the request that the server takes next, by class and share."""
        heads = [
            head
            for name in self.classes
            if (head := self.head(name, server)) is not None
        ]
        if len(heads) < 2:
            return heads[0] if heads else None
        owed = self.owed.get(server, 0.0) + share
        if owed < 1.0 - ROUNDING:
            self.owed[server] = owed
            return heads[0]
        self.owed[server] = owed - 1.0
        return min(heads[1:], key=lambda waiter: waiter.order)

    def waiters(self) -> list[_Waiter]:
        return [
            waiter
            for groups in self.groups.values()
            for queue in groups.values()
            for waiter in queue
        ]

    def servers(self) -> list[ServerId]:
        """Return the servers that some waiting request may go to."""
        found = {
            server: None
            for groups in self.groups.values()
            for group in groups
            for server in group
        }
        return list(found)


class Admission:
    """Admits requests within learned concurrency limits, by class."""

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
        self._retries = {
            name: RetryBudget(options.limits.retry_ratio) for name in options.services
        }
        self._buckets: dict[tuple[ServiceName, RequestClass], TokenBucket] = {}
        self._drained: frozenset[ServerId] = frozenset()
        self._entries: dict[ServerId, ServerEntry] = {}
        self._arrivals = 0
        self._is_waking = False

    @property
    def balancer(self) -> Balancer:
        """What this router has observed of the servers."""
        return self._balancer

    def queued(self, service: ServiceName) -> dict[RequestClass, int]:
        """Return how many requests of each class wait."""
        return dict(self._queues[service].lengths)

    async def acquire(
        self, request: AdmissionRequest, candidates: Candidates
    ) -> Result[Slot, Refusal]:
        """Return a slot of a candidate, or why the request is not sent.

        Waits until a candidate has free concurrency, at most until the deadline.
        ``candidates`` is called again whenever they may have changed; for a service
        partitioned by key it returns the owner alone, or nothing while the key moves.
        """
        service = request.service
        self._retries[service].note_request()
        if self._clock() >= request.deadline_ms:
            return Failure(_expired())
        bucket = self._buckets.get((service, request.request_class))
        if bucket is not None and not bucket.take():
            detail = f"class {request.request_class} is over its rate limit"
            return Failure(Refusal(RefusalReason.RATE_LIMITED, detail))
        queue = self._queues[service]
        if queue.is_empty:
            slot = self._take(service, self._eligible(service, candidates))
            if slot is not None:
                return Success(slot)
        return await self._wait(queue, request, candidates)

    def release(self, slot: Slot, observation: Observation, latency_ms: float) -> None:
        """Give a slot back with what was observed; latency in milliseconds."""
        server = slot.server
        self._balancer.finish(
            server.service, server.server, slot.started_ms, observation, latency_ms
        )
        self._dispatch(server.service)

    def wake(self) -> None:
        """Look at waiting requests again soon, since candidates may have changed.

        Calls in a row are joined: a complete assignment changes hundreds of units at
        once, and each look reads the candidates of every waiting request.
        """
        if self._is_waking or all(queue.is_empty for queue in self._queues.values()):
            return
        self._is_waking = True
        asyncio.get_running_loop().call_soon(self._look_again)

    def _look_again(self) -> None:
        self._is_waking = False
        for service, queue in self._queues.items():
            for waiter in queue.waiters():
                self._regroup(queue, waiter)
            self._dispatch(service)

    def may_retry(self, service: ServiceName) -> bool:
        """Take one retry from the budget; return whether it allowed one."""
        return self._retries[service].take()

    def set_rules(self, rules: ActiveRules) -> None:
        """Follow these rules from now on.

        Each router enforces its share of a rate limit, as routers cannot see each
        other's requests.
        """
        self._drained = frozenset(rules.drained)
        buckets = {}
        for service, limits in rules.limits.items():
            for name, per_second in limits.items():
                buckets[service, name] = self._bucket(service, name, per_second)
        self._buckets = buckets
        for service, queue in self._queues.items():
            usual = self._options.services[service].classes
            first = [name for name in rules.orders.get(service, ()) if name in usual]
            queue.classes = first + [name for name in usual if name not in first]
        self.wake()

    def _bucket(
        self, service: ServiceName, name: RequestClass, per_second: int
    ) -> TokenBucket:
        """Return the bucket in use if its rate is unchanged, or else a new one."""
        rate = per_second / self._options.routers
        known = self._buckets.get((service, name))
        if known is not None and known.per_second == rate:
            return known
        return TokenBucket(rate, self._clock)

    def _eligible(
        self, service: ServiceName, candidates: Candidates
    ) -> list[ServerEntry]:
        entries = list(candidates())
        if not self._options.services[service].partitioned:
            entries = [entry for entry in entries if self._takes_work(entry)]
        self._balancer.note_listed(entries)
        for entry in entries:
            self._entries[entry.server] = entry
        return entries

    def _takes_work(self, entry: ServerEntry) -> bool:
        if entry.server in self._drained:
            return False
        return entry.state in (ServerState.SERVING, ServerState.COLD)

    def _take(
        self, service: ServiceName, entries: Sequence[ServerEntry]
    ) -> Slot | None:
        entry = self._balancer.choose(service, entries)
        if entry is None:
            return None
        self._balancer.start(service, entry.server)
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
        queue.add(waiter, _group_of(self._eligible(service, candidates)))
        self._dispatch(service)
        left_s = max(0.0, request.deadline_ms - self._clock()) / 1000
        timer = asyncio.get_running_loop().call_later(left_s, waiter.expire)
        try:
            slot = await waiter.admitted
        except asyncio.CancelledError:
            if not waiter.admitted.cancelled():
                self._return_unused(waiter.admitted.result())
            raise
        finally:
            timer.cancel()
            queue.remove(waiter)
        if slot is None or self._clock() >= request.deadline_ms:
            self._return_unused(slot)
            return Failure(_expired())
        return Success(slot)

    def _return_unused(self, slot: Slot | None) -> None:
        if slot is not None:
            self.release(slot, Observation.NOT_SENT, 0.0)

    def _regroup(self, queue: _ServiceQueue, waiter: _Waiter) -> None:
        group = _group_of(self._eligible(waiter.request.service, waiter.candidates))
        if group == waiter.group:
            return
        queue.remove(waiter)
        queue.add(waiter, group)

    def _dispatch(self, service: ServiceName) -> None:
        """Give free concurrency to waiting requests, one per server and pass."""
        queue = self._queues[service]
        if queue.is_empty:
            return
        progress = True
        while progress:
            progress = False
            for server in self._nearest_first(service, queue.servers()):
                if self._dispatch_one(service, queue, server):
                    progress = True
        if not queue.is_empty:
            self._arm(service, queue)

    def _nearest_first(
        self, service: ServiceName, servers: Sequence[ServerId]
    ) -> list[ServerId]:
        entries = [self._entries[server] for server in servers]
        usable = self._balancer.usable(service, entries)
        usable.sort(key=lambda entry: not self._balancer.is_near(entry.data_centre))
        return [entry.server for entry in usable]

    def _dispatch_one(
        self, service: ServiceName, queue: _ServiceQueue, server: ServerId
    ) -> bool:
        """Admit one request to the server; return whether the queue changed."""
        if not self._balancer.has_room(service, server):
            return False
        share = self._options.limits.lower_class_share
        waiter = queue.next_for(server, share)
        if waiter is None:
            return False
        queue.remove(waiter)
        # A request that waited and can hardly be answered in time would end as
        # unknown. One that finds free concurrency at once is always sent, so that a
        # latency that has become too high is corrected.
        likely_ms = self._balancer.likely_latency_ms(service)
        left_ms = waiter.request.deadline_ms - self._clock()
        if waiter.admitted.done() or left_ms <= likely_ms:
            waiter.expire()
            return True
        entries = self._eligible(service, waiter.candidates)
        chosen = [entry for entry in entries if entry.server == server]
        slot = self._take(service, chosen)
        if slot is None:
            queue.add(waiter, _group_of(entries))
            return server not in waiter.group
        waiter.admitted.set_result(slot)
        return True

    def _arm(self, service: ServiceName, queue: _ServiceQueue) -> None:
        """Look again when the first paused or ejected server is ready."""
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


def _group_of(entries: Sequence[ServerEntry]) -> Group:
    return tuple(entry.server for entry in entries)


def _expired() -> Refusal:
    return Refusal(RefusalReason.DEADLINE, "the deadline passed before sending")

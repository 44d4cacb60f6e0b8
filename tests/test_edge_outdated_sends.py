"""Attempts whose permission has become outdated by the time at which they are written.

An attempt is permitted when it leaves the queue, or before. Until its first byte is
written it may wait: in the queue, for its connection, at a router that has stalled.
"""

import asyncio
import itertools
from bisect import bisect_left
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from unittest.mock import patch

import msgspec

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge.exchange import AttemptOutcome, AttemptResult, Exchange
from mulberryrelay_edge.forwarder import MAX_ATTEMPTS
from mulberryrelay_edge.messages import (
    EdgeRequest,
)
from mulberryrelay_edge.suspectlink import EDGE_POLICY
from mulberryrelay_kernel.ids import RequestId
from mulberryrelay_router.pool import Pool
from mulberryrelay_router.suspects import LocalLink

from .fixtures import async_test, wait_until
from .fixtures.edgefleet import DRAIN_MS
from .fixtures.edgerouter import (
    EdgeRouter,
    edge_response,
    edge_router,
)
from .fixtures.rawserver import RawRequest, raw_server

SLOWEST_MS = 6000.0
"""Longest time budget of a route at the sites."""
WAITING = 5
"""Attempts that wait for their connection."""
WINDOW_MS = 10_000.0
"""Window of the retry budget at the sites, as are the next two values."""
RATIO = 0.2
SLACK = 58.0
REQUEST_PERIOD_S = 0.005
ROUTERS = 12
MISDIRECTED = AttemptResult(AttemptOutcome.NOT_RUN, 421)

Respond = Callable[[Exchange], Awaitable[AttemptResult]]


@async_test
async def test_a_queued_request_is_not_sent_after_the_drain_time() -> None:
    """Guards against requests that leave the queue after their owner's drain time."""
    blocking = asyncio.Event()

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        await blocking.wait()
        writer.write(edge_response(request))

    async with raw_server(respond) as server, edge_router(is_keyed=True) as router:
        entry = router.register_server(server)
        router.assign_all_keys(entry)
        sending = [
            asyncio.create_task(
                router.send(router.request(key=7, timeout_ms=SLOWEST_MS))
            )
            for _ in range(2 * WAITING)
        ]
        await wait_until(lambda: router.dispatcher.queue_length > 0)
        router.catalog.record_leaving((entry.server, entry.started_ms))
        await asyncio.sleep(DRAIN_MS / 1000)
        before = len(server.received)
        blocking.set()
        await asyncio.gather(*sending)
        assert len(server.received) == before


class _Arrivals:
    """Records what reaches servers in virtual time, instead of connections."""

    def __init__(self, respond: Respond) -> None:
        self._respond = respond
        self._times_ms: dict[str, list[float]] = {}

    async def run(self, exchange: Exchange) -> AttemptResult:
        """Record an attempt and return its result."""
        times_ms = self._times_ms.setdefault(exchange.request.request_id, [])
        times_ms.append(virtual_clock())
        return await self._respond(exchange)

    def of(self, requests: Sequence[EdgeRequest]) -> list[float]:
        """Return when these requests arrived."""
        return [ms for r in requests for ms in self._times_ms.get(r.request_id, [])]

    @property
    def repeats_ms(self) -> list[float]:
        """Times of the arrivals beyond the first of each request, in order."""
        return sorted(ms for times_ms in self._times_ms.values() for ms in times_ms[1:])

    def worst_repeats(self) -> int:
        """Return the most repeats in any window of the budget."""
        repeats_ms = self.repeats_ms
        return max(
            bisect_left(repeats_ms, from_ms + WINDOW_MS) - first
            for first, from_ms in enumerate(repeats_ms)
        )

    @property
    def most_of_one_request(self) -> int:
        return max(len(times_ms) for times_ms in self._times_ms.values())


def _with_budget(router: EdgeRouter, routers: int) -> None:
    """Give a router the sites' retry budget, as one of some routers."""
    router.adapter.options = msgspec.structs.replace(
        router.adapter.options,
        retry_ratio=RATIO,
        retry_slack=SLACK,
        retry_window_ms=WINDOW_MS,
        min_routers=routers,
    )


@asynccontextmanager
async def _virtual_routers(
    arrivals: _Arrivals, count: int, is_keyed: bool, link: LocalLink | None = None
) -> AsyncIterator[list[EdgeRouter]]:
    """Run routers in virtual time that have no connections to servers."""

    async def run(exchange: Exchange, pool: Pool) -> AttemptResult:
        return await arrivals.run(exchange)

    async with AsyncExitStack() as stack:
        stack.enter_context(patch.object(Exchange, "run", run))
        routers = []
        for _ in range(count):
            own_link = link or LocalLink(virtual_clock, EDGE_POLICY)
            router = await stack.enter_async_context(
                edge_router(is_keyed, clock=virtual_clock, suspect_link=own_link)
            )
            _with_budget(router, count)
            routers.append(router)
        yield routers


async def _send_at_rate(
    routers: list[EdgeRouter], for_s: float, key: int | None, timeout_ms: float
) -> int:
    """Send requests to the routers in turn; return how many."""
    sent = 0
    async with asyncio.TaskGroup() as group:
        for router in itertools.cycle(routers):
            if sent * REQUEST_PERIOD_S >= for_s:
                return sent
            request = router.request(key=key, timeout_ms=timeout_ms)
            request = msgspec.structs.replace(
                request, request_id=RequestId(f"sent-{sent}")
            )
            group.create_task(router.send(request))
            sent += 1
            await asyncio.sleep(REQUEST_PERIOD_S)
    raise AssertionError


def test_retries_of_all_routers_at_a_former_key_owner_stay_within_the_budget() -> None:
    """Guards against repeats at a server that does not hold the key any more.

    The ranges of all routers are old, as after a change of the leader.
    """

    async def scenario() -> None:
        async def respond(exchange: Exchange) -> AttemptResult:
            return MISDIRECTED

        arrivals = _Arrivals(respond)
        async with _virtual_routers(arrivals, ROUTERS, True) as routers:
            for router in routers:
                router.assign_all_keys(router.register_address(1))
            await _send_at_rate(routers, 24.0, 7, 2000.0)
        requests = WINDOW_MS / 1000 / REQUEST_PERIOD_S
        worst = arrivals.worst_repeats()
        assert worst > 0
        assert worst <= RATIO * requests + SLACK, worst
        assert arrivals.most_of_one_request <= MAX_ATTEMPTS

    run_virtual(scenario())

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
from aiohttp.connector import Connection
from multidict import CIMultiDict

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge.exchange import AttemptOutcome, AttemptResult, Exchange
from mulberryrelay_edge.forwarder import MAX_ATTEMPTS
from mulberryrelay_edge.messages import (
    EdgeRequest,
    LoadReport,
    RelayedRequest,
    RelayedResponse,
)
from mulberryrelay_edge.relay import PEERS_PERIOD_S, RelayFailure
from mulberryrelay_edge.suspectlink import EDGE_POLICY
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import RequestId
from mulberryrelay_kernel.peerproto.peer_pb2 import ServerDeath, Suspect
from mulberryrelay_platform.names import HEADERS
from mulberryrelay_router.pool import NotSentError, Pool
from mulberryrelay_router.suspects import LocalLink

from .fixtures import async_test, wait_until
from .fixtures.cutlinks import refusing_address
from .fixtures.edgefleet import DRAIN_MS, SERVICE
from .fixtures.edgerouter import (
    EdgeRouter,
    edge_refusal,
    edge_response,
    edge_router,
    linked_routers,
)
from .fixtures.rawserver import RawRequest, raw_server, respond_with

POISON_PATH = "/listing/poison"
SLOWEST_MS = 6000.0
"""Longest time budget of a route at the sites."""
BUSY = 2
"""Requests that a router has in flight at a server before the first response."""
BUSY_S = 4.0
"""Time for which these keep the server busy; routers learn of a block in 3 s."""
WARM_UP_REQUESTS = 30
"""Requests after which a router keeps several in flight at a server."""
WAITING = 5
"""Attempts that wait for their connection."""
PAUSE_S = 5.0
UNTIL_PAUSED_S = 0.5
"""Time in which requests that are on their way may reach a server in its pause."""
MAX_IN_PAUSE = 2
RELAY_DELAY_S = 0.8
"""Time that a relayed request takes to the other router."""
MAX_EXCESS_MS = 500.0
"""Time by which a server may be told more than the caller has left."""
FREE_SLOT = LoadReport(1, 0, 4)
WINDOW_MS = 10_000.0
"""Window of the retry budget at the sites, as are the next two values."""
RATIO = 0.2
SLACK = 58.0
REQUEST_PERIOD_S = 0.005
ROUTERS = 12
HANGS_S = 12.0
"""Time for which a server hangs from the start."""
REFUSED = AttemptResult(AttemptOutcome.NOT_RUN, 503, load=FREE_SLOT)
MISDIRECTED = AttemptResult(AttemptOutcome.NOT_RUN, 421)
RAN = AttemptResult(AttemptOutcome.COMPLETED, 200, CIMultiDict(), load=FREE_SLOT)

Respond = Callable[[Exchange], Awaitable[AttemptResult]]


class _Gate:
    """Holds back attempts that were permitted, until their connections may open."""

    def __init__(self) -> None:
        self.waiting = 0
        self._opened = asyncio.Event()
        self._opened.set()

    def close(self) -> None:
        self._opened.clear()

    def open(self) -> None:
        self._opened.set()

    async def wait(self) -> None:
        self.waiting += 1
        await self._opened.wait()
        self.waiting -= 1


@asynccontextmanager
async def _gated_connections(router: EdgeRouter) -> AsyncIterator[_Gate]:
    """Let a test decide when the connections of a router to servers open."""
    gate = _Gate()
    open_connection = router.pool.open

    async def open_gated(host: str, port: int) -> Connection:
        await gate.wait()
        return await open_connection(host, port)

    with patch.object(router.pool, "open", open_gated):
        yield gate


def _poison_of(router: EdgeRouter) -> EdgeRequest:
    request = router.request(timeout_ms=SLOWEST_MS)
    return msgspec.structs.replace(request, target=POISON_PATH)


async def _record_losses(link: LocalLink, request: EdgeRequest, losses: int) -> None:
    """Let the leader say that a request has crashed some servers."""
    suspect = Suspect(
        fingerprint=request.fingerprint(),
        service=SERVICE,
        deaths=losses,
        seen=[ServerDeath(server=f"lost-{n}", boot_id="1") for n in range(losses)],
        blocked=losses >= EDGE_POLICY.losses_to_block,
    )
    await link.report_suspects([suspect], 0.0)


@async_test
async def test_a_request_that_is_blocked_while_it_connects_is_not_sent() -> None:
    """Guards against a poison request written after its block is known."""
    await _block_while_connecting(0)


@async_test
async def test_a_probation_that_is_blocked_while_it_connects_is_not_sent() -> None:
    """Guards against a permit that is used after a block that followed it."""
    await _block_while_connecting(EDGE_POLICY.losses_to_permit)


async def _block_while_connecting(losses: int) -> None:
    """Block a request of some known losses while its connection opens."""
    link = LocalLink(monotonic_ms, EDGE_POLICY)
    async with (
        raw_server(respond_with(edge_response)) as server,
        edge_router(suspect_link=link) as router,
        _gated_connections(router) as gate,
    ):
        router.register_server(server)
        poison = _poison_of(router)
        if losses:
            await _record_losses(link, poison, losses)
        gate.close()
        sending = asyncio.create_task(router.send(poison))
        await wait_until(lambda: gate.waiting == 1)
        await _record_losses(link, poison, EDGE_POLICY.losses_to_block)
        gate.open()
        response = await sending
        assert (len(server.received), response.status) == (0, 503)


@async_test
async def test_attempts_that_connect_during_a_pause_are_not_sent() -> None:
    """Guards against requests in a pause that had left the queue before it began."""
    for key in (None, 7):
        async with (
            raw_server(respond_with(edge_response, delay_s=0.01)) as server,
            edge_router(is_keyed=key is not None) as router,
            _gated_connections(router) as gate,
        ):
            entry = router.register_server(server)
            if key is not None:
                router.assign_all_keys(entry)
            for _ in range(WARM_UP_REQUESTS):
                await router.send(router.request(key=key))
            is_refusing = asyncio.Event()

            async def refuse(request: RawRequest, writer: asyncio.StreamWriter) -> None:
                await is_refusing.wait()  # noqa: B023
                pause = f"Retry-After: {PAUSE_S}\r\n"
                writer.write(edge_refusal(request, more=pause))

            server.respond = refuse
            before = len(server.received)
            first = asyncio.create_task(router.send(router.request(key=key)))
            await wait_until(lambda: len(server.received) > before)  # noqa: B023
            gate.close()
            waiting = [
                asyncio.create_task(router.send(router.request(key=key)))
                for _ in range(WAITING)
            ]
            await wait_until(lambda: gate.waiting == WAITING)
            is_refusing.set()
            assert (await first).status == 503
            await asyncio.sleep(UNTIL_PAUSED_S)
            before = len(server.received)
            gate.open()
            await asyncio.gather(*waiting)
            arrived = len(server.received) - before
            assert arrived <= MAX_IN_PAUSE, (key, arrived)


@async_test
async def test_an_attempt_that_connects_after_the_drain_time_is_not_sent() -> None:
    """Guards against requests at a key owner whose drain time passed meanwhile."""
    async with (
        raw_server(respond_with(edge_response)) as server,
        edge_router(is_keyed=True) as router,
        _gated_connections(router) as gate,
    ):
        entry = router.register_server(server)
        router.assign_all_keys(entry)
        router.catalog.record_leaving((entry.server, entry.started_ms))
        gate.close()
        sending = asyncio.create_task(
            router.send(router.request(key=7, timeout_ms=SLOWEST_MS))
        )
        await wait_until(lambda: gate.waiting == 1)
        await asyncio.sleep(DRAIN_MS / 1000)
        gate.open()
        await sending
        assert server.received == []


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


@async_test
async def test_a_relayed_request_states_no_more_time_than_its_caller_has() -> None:
    """Guards against a deadline that begins anew after a slow way to another router."""
    async with (
        raw_server(respond_with(edge_response)) as server,
        linked_routers(2) as (cut_off, other),
    ):
        other.register_server(server)
        relay = cut_off.link_client.relay

        async def relay_late(
            url: str, request: RelayedRequest
        ) -> RelayedResponse | RelayFailure:
            await asyncio.sleep(RELAY_DELAY_S)
            return await relay(url, request)

        with (
            refusing_address() as port,
            patch.object(cut_off.link_client, "relay", relay_late),
        ):
            cut_off.register_address(port)
            cut_off.reach.suspect()
            await wait_until(lambda: cut_off.relay.is_needed)
            request = cut_off.request()
            await cut_off.send(request)
        stated = str(HEADERS.deadline_ms).lower()
        left_ms = request.deadline_ms - monotonic_ms()
        assert float(server.received[0].headers[stated]) <= left_ms + MAX_EXCESS_MS


@async_test
async def test_requests_that_are_relayed_again_stay_within_the_budget() -> None:
    """Guards against repeats, without a budget, of requests whose relay was lost."""
    requests = 5
    async with (
        raw_server(respond_with(edge_response)) as server,
        linked_routers(4) as (cut_off, *others),
    ):
        for router in (cut_off, *others):
            router.adapter.options = msgspec.structs.replace(
                router.adapter.options, retry_slack=0.0, retry_ratio=RATIO
            )
        for other in others:
            other.register_server(server)
        relay = cut_off.link_client.relay

        async def lose_reply(
            url: str, request: RelayedRequest
        ) -> RelayedResponse | RelayFailure:
            await relay(url, request)
            return RelayFailure.UNKNOWN

        with (
            refusing_address() as port,
            patch.object(cut_off.link_client, "relay", lose_reply),
        ):
            cut_off.register_address(port)
            cut_off.reach.suspect()
            await wait_until(lambda: cut_off.relay.is_needed)
            for _ in range(requests):
                await cut_off.send(cut_off.request())
                # Until the router has asked for all peers again.
                await asyncio.sleep(2 * PEERS_PERIOD_S)
        repeats = len(server.received) - requests
        assert repeats <= RATIO * requests, repeats


class _Arrivals:
    """Records what reaches servers in virtual time, instead of connections."""

    def __init__(self, respond: Respond) -> None:
        self._respond = respond
        self._times_ms: dict[str, list[float]] = {}

    async def run(self, exchange: Exchange) -> AttemptResult:
        """Record an attempt and return its result, unless it must not be written."""
        try:
            exchange.before_write(CIMultiDict())
        except NotSentError as error:
            return AttemptResult(AttemptOutcome.NOT_SENT, detail=str(error))
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


def test_requests_that_are_blocked_while_they_are_queued_are_not_sent() -> None:
    """Guards against poison requests that crash more servers after their wait."""
    run_virtual(_block_while_queued(0))


def test_a_probation_that_is_blocked_while_it_is_queued_is_not_sent() -> None:
    """Guards against a permit that is used seconds later, after a block."""
    run_virtual(_block_while_queued(EDGE_POLICY.losses_to_permit))


async def _block_while_queued(losses: int) -> None:
    """Block a request, sent several times, that waits behind others in the queue."""

    async def respond(exchange: Exchange) -> AttemptResult:
        if exchange.request.target != POISON_PATH:
            await asyncio.sleep(BUSY_S)
        return RAN

    arrivals = _Arrivals(respond)
    link = LocalLink(virtual_clock, EDGE_POLICY)
    async with _virtual_routers(arrivals, 1, False, link) as (router,):
        router.register_address(1)
        harmless = [router.request(timeout_ms=SLOWEST_MS) for _ in range(BUSY)]
        sending = [asyncio.create_task(router.send(each)) for each in harmless]
        await asyncio.sleep(0.1)
        poisons = [_poison_of(router) for _ in range(WAITING)]
        if losses:
            await _record_losses(link, poisons[0], losses)
        sending += [asyncio.create_task(router.send(each)) for each in poisons]
        await asyncio.sleep(0.1)
        await _record_losses(link, poisons[0], EDGE_POLICY.losses_to_block)
        await asyncio.gather(*sending)
        assert arrivals.of(poisons) == []


def test_retries_that_waited_for_a_hung_server_stay_within_the_budget() -> None:
    """Guards against retries permitted over a long time that arrive in one window.

    One of two servers refuses requests although it has a free slot, and the other hangs
    for some time, during which retries wait for it.
    """

    async def scenario() -> None:
        hangs = asyncio.Event()

        async def respond(exchange: Exchange) -> AttemptResult:
            if exchange.server.server == "server-0":
                return REFUSED
            await hangs.wait()
            await asyncio.sleep(0.005)
            return RAN

        arrivals = _Arrivals(respond)
        async with _virtual_routers(arrivals, 1, False) as routers:
            for number in range(2):
                routers[0].register_address(1, number)
            loop = asyncio.get_running_loop()
            loop.call_later(HANGS_S, hangs.set)
            await _send_at_rate(routers, HANGS_S + WINDOW_MS / 1000, None, SLOWEST_MS)
        requests = WINDOW_MS / 1000 / REQUEST_PERIOD_S
        worst = arrivals.worst_repeats()
        assert worst > 0
        assert worst <= RATIO * requests + SLACK, worst

    run_virtual(scenario())


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

"""Servers that reset connections, or stop responding, when they are full."""

import asyncio
import random
import socket
import struct
import sys
import time
from collections import Counter

import msgspec

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge.messages import BackendServer, EdgeRequest, EdgeResponse
from mulberryrelay_edge.overdue import OverdueWatch
from mulberryrelay_edge.routelatency import (
    KNOWN_RESPONSES,
    MIN_OVERDUE_MS,
    RouteLatency,
)
from mulberryrelay_edge.serverload import (
    FAILURES_TO_EJECT,
    MAX_REST_MS,
    RESETS_TO_EJECT,
    ServerLoads,
)
from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test
from .fixtures.edgefleet import backend
from .fixtures.edgerouter import EdgeRouter, edge_response, edge_router
from .fixtures.overload import SLOTS as OVERLOAD_SLOTS
from .fixtures.overload import WORK_MS, overload
from .fixtures.rawserver import RawRequest, RawServer, raw_server, respond_with

respond_ok = respond_with(edge_response)
ROUTE = "listing"
TIMEOUT_MS = 4000.0
SEED = 20261206
SLOTS = 4
WORK_S = 0.02
MEAN_GAP_S = 0.002
"""Mean time between requests; the slots of all servers can run one in 1.25 ms."""
OVERLOADED_SERVERS = 6
OVERLOAD_S = 30.0
CAPACITY_PER_S = OVERLOADED_SERVERS * OVERLOAD_SLOTS * 1000.0 / WORK_MS
ON_TIME_SHARE = 0.85
"""Share of what the slots can do that has to be answered on time."""
AFTER_REST_S = MAX_REST_MS / 1000 + 0.001


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; with a linger time of 0, closing does."""
    connection = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def respond_with_reset(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    """Respond as a full server that resets the connection."""
    reset(writer)


async def respond_never(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    """Respond as a full server that stops responding on the connection."""
    while not writer.transport.is_closing():
        await asyncio.sleep(0.01)


async def warm_up(router: EdgeRouter, *entries: BackendServer) -> None:
    """Let the router learn the usual latency of the route."""
    for _ in range(KNOWN_RESPONSES + 40):
        assert (await router.send(router.request())).status == 200
    loads = router.dispatcher.loads
    for entry in entries:
        assert loads.overdue_after_ms(entry, ROUTE) == MIN_OVERDUE_MS


def test_resets_of_a_full_server_do_not_eject_it_for_seconds() -> None:
    """Guards against healthy servers that idle since they were full for a moment."""

    async def scenario() -> None:
        loads = ServerLoads(virtual_clock, _ignore)
        server = backend(1)
        for _ in range(RESETS_TO_EJECT - 1):
            loads.record_reset(server)
            assert not loads.is_ejected(server)
            assert not loads.has_capacity(server), "no pause after a reset"
            assert loads.wait_ms(server) > 0
            await asyncio.sleep(AFTER_REST_S)
            assert not loads.stats(server).window.is_closed
        loads.record_response(server, ROUTE, 50.0, None, False)
        for _ in range(4 * RESETS_TO_EJECT):
            # Requests in flight together are reset together.
            loads.record_reset(server)
        assert not loads.is_ejected(server)
        for _ in range(RESETS_TO_EJECT):
            await asyncio.sleep(AFTER_REST_S)
            loads.record_reset(server)
        assert loads.is_ejected(server), "it resets every connection"

    run_virtual(scenario())


@async_test
async def test_requests_that_a_full_server_resets_are_served_elsewhere() -> None:
    """Guards against requests that fail, or a server that is avoided for seconds."""
    async with (
        raw_server(respond_with_reset) as full,
        raw_server(respond_ok) as free,
        edge_router() as router,
    ):
        entry = router.register_server(full, 0)
        router.register_server(free, 1)
        while len(full.received) < FAILURES_TO_EJECT:
            assert (await router.send(router.request())).status == 200
            assert not router.dispatcher.loads.is_ejected(entry)
            await asyncio.sleep(0.02)
        full.respond = respond_ok
        await asyncio.sleep(AFTER_REST_S)
        before = len(full.received)
        sending = [router.send(router.request()) for _ in range(12)]
        assert {response.status for response in await asyncio.gather(*sending)} == {200}
        assert len(full.received) > before


@async_test
async def test_a_server_that_crashes_is_ejected_at_once() -> None:
    """Guards against a crash that is taken for a reset by a full server."""
    async with raw_server(respond_never) as server, edge_router() as router:
        entry = router.register_server(server)
        sending = [
            asyncio.create_task(router.send(router.request(is_idempotent=False)))
            for _ in range(FAILURES_TO_EJECT)
        ]
        loads = router.dispatcher.loads
        while loads.stats(entry).in_flight < 2:
            await asyncio.sleep(0.01)
        server.die()
        await asyncio.gather(*sending)
        assert loads.is_ejected(entry)


@async_test
async def test_an_overdue_idempotent_request_is_retried_elsewhere() -> None:
    """Guards against requests that wait until their deadline at a full server.

    Its connection is closed, and the server gets fewer requests after a single one.
    """
    async with (
        raw_server(respond_ok) as full,
        raw_server(respond_ok) as free,
        edge_router() as router,
    ):
        entry = router.register_server(full, 0)
        await warm_up(router, entry)
        router.register_server(free, 1)
        full.respond = respond_never
        before = len(full.received)
        size = router.dispatcher.loads.window_size(entry)
        while len(full.received) == before:
            request = router.request(timeout_ms=TIMEOUT_MS)
            response = await router.send(request)
            assert response.status == 200
        # The last one was first sent to the full server.
        assert full.received[-1].path == request.target
        assert free.received[-1].path == request.target
        assert router.dispatcher.loads.window_size(entry) < size
        assert not router.dispatcher.loads.is_ejected(entry)
        assert router.metrics.counters["attempt_overdue"] == 1
        for _ in range(100):
            if full.closed_connections:
                break
            await asyncio.sleep(0.01)
        assert full.closed_connections, "the overdue request's connection stays open"


@async_test
async def test_an_overdue_request_waits_unless_it_may_run_elsewhere() -> None:
    """Guards against requests that run twice, or fail although one response comes.

    The request is not idempotent, or there is no budget, or no other server has room.
    """
    for is_idempotent, has_budget, has_other in (
        (False, True, True),
        (True, False, True),
        (True, True, False),
    ):
        async with (
            raw_server(respond_ok) as full,
            raw_server(respond_ok) as free,
            edge_router() as router,
        ):
            entry = router.register_server(full, 0)
            await warm_up(router, entry)
            if not has_budget:
                router.adapter.options = msgspec.structs.replace(
                    router.adapter.options, retry_ratio=0.0, retry_slack=0.0
                )
            full.respond = respond_with(
                edge_response, delay_s=3 * MIN_OVERDUE_MS / 1000
            )
            request = router.request(is_idempotent, timeout_ms=TIMEOUT_MS)
            sending = asyncio.create_task(router.send(request))
            while full.received[-1].path != request.target:
                await asyncio.sleep(0.01)
            if has_other:
                router.register_server(free, 1)
            response = await sending
            assert response.status == 200, (is_idempotent, has_budget, has_other)
            assert free.received == []
            assert router.metrics.counters["overdue"] == 1
            assert [r.path for r in full.received].count(request.target) == 1


def test_what_is_overdue_depends_on_the_latencies_of_the_route() -> None:
    """Guards against slow requests of a route that are taken for lost ones."""
    rng = random.Random(SEED)
    steady, varying = RouteLatency(150.0), RouteLatency(150.0)
    assert steady.overdue_after_ms(1.0) is None
    latencies = [rng.expovariate(1 / 600.0) for _ in range(4000)]
    overdue = 0
    for latency_ms in latencies:
        steady.record(600.0)
        after_ms = varying.overdue_after_ms(1.0)
        overdue += after_ms is not None and latency_ms > after_ms
        varying.record(latency_ms)
    steady_ms, varying_ms = steady.overdue_after_ms(1.0), varying.overdue_after_ms(1.0)
    assert steady_ms is not None and varying_ms is not None
    assert 2000.0 < steady_ms < 3000.0 < varying_ms
    assert overdue < 0.02 * len(latencies)
    assert steady.overdue_after_ms(2.0) == 2 * steady_ms


@async_test
async def test_a_response_that_arrived_while_the_router_stood_still_counts() -> None:
    """Guards against requests given up because this process got no time to run."""
    ours, theirs = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=ours)
    overdue: list[float] = []
    watch = OverdueWatch(50.0, lambda: overdue.append(time.monotonic()), None)
    watch.start(_ignore)

    async def receive() -> None:
        await reader.readexactly(1)
        watch.stop()

    receiving = asyncio.create_task(receive())
    await asyncio.sleep(0.01)
    theirs.send(b"x")
    time.sleep(0.1)
    await receiving
    await asyncio.sleep(0.1)
    writer.close()
    theirs.close()
    assert overdue == []


@async_test
async def test_the_time_to_write_a_long_body_does_not_make_a_request_overdue() -> None:
    """Guards against uploads over narrow links that are given up and start again."""
    slow = respond_with(edge_response, delay_s=2 * MIN_OVERDUE_MS / 1000)
    async with raw_server(respond_ok) as server, edge_router() as router:
        await warm_up(router, router.register_server(server))
        server.respond = slow
        for size, overdue in ((1 << 20, 0), (1 << 10, 1)):
            request = msgspec.structs.replace(
                router.request(timeout_ms=TIMEOUT_MS), method="POST", body=b"x" * size
            )
            assert (await router.send(request)).status == 200
            assert router.metrics.counters.get("overdue", 0) == overdue


class FullServer:
    """Runs a few requests at a time; while it is full, it drops connections."""

    def __init__(self, is_silent: bool) -> None:
        self._is_silent = is_silent
        self._running = 0
        self.dropped: list[str] = []
        """Paths of the requests that it dropped."""

    async def respond(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        """Run a request, or drop it if the server is full."""
        if self._running >= SLOTS:
            self.dropped.append(request.path)
            await (respond_never if self._is_silent else respond_with_reset)(
                request, writer
            )
            return
        self._running += 1
        await asyncio.sleep(WORK_S)
        self._running -= 1
        load = f"{HEADERS.load}: {self._running},0,{SLOTS}\r\n"
        writer.write(edge_response(request, more=load))


@async_test
async def test_bursts_above_the_slots_are_served() -> None:
    """Guards against a load that full servers turn into failures.

    Other routers, which this one does not see, keep the slots busy at times.
    """
    rng = random.Random(SEED)
    for is_silent in (False, True):
        scripts = [FullServer(is_silent) for _ in range(4)]
        async with (
            raw_server(scripts[0].respond) as first,
            raw_server(scripts[1].respond) as second,
            raw_server(scripts[2].respond) as third,
            raw_server(scripts[3].respond) as fourth,
            edge_router() as router,
            edge_router() as other,
        ):
            servers: list[RawServer] = [first, second, third, fourth]
            for number, server in enumerate(servers):
                router.register_server(server, number)
                other.register_server(server, number)
            await warm_up(router)
            await warm_up(other)
            sent: list[tuple[EdgeRequest, asyncio.Task[EdgeResponse]]] = []
            for _ in range(300):
                chosen = rng.choice((router, other))
                request = chosen.request(timeout_ms=TIMEOUT_MS)
                request = msgspec.structs.replace(
                    request, target=f"{request.target}/{len(sent)}"
                )
                sent.append((request, asyncio.create_task(chosen.send(request))))
                await asyncio.sleep(rng.expovariate(1 / MEAN_GAP_S))
            await asyncio.gather(*(sending for _, sending in sent))
        dropped = Counter(path for script in scripts for path in script.dropped)
        assert dropped, "no server was full"
        for request, sending in sent:
            # The route of the tests allows two servers for a request.
            is_served = sending.result().status == 200
            assert is_served or dropped[request.target] >= 2, request.target


def test_servers_that_reset_when_full_keep_their_slots_busy() -> None:
    """Guards against slots that idle above the capacity because of ejections.

    Ten routers send one and a half times what the slots can run.
    """

    async def scenario() -> None:
        async with overload(OVERLOADED_SERVERS, is_idempotent=True) as running:
            for server in running.servers:
                server.queue_length = 2
                server.resets_when_full = True
            await running.run(1.5 * CAPACITY_PER_S, OVERLOAD_S)
            print(dict(running.results), file=sys.stderr)
            possible = CAPACITY_PER_S * OVERLOAD_S
            assert running.results["on time"] >= ON_TIME_SHARE * possible

    run_virtual(scenario())


def _ignore() -> None:
    """Stand in for the callback at free capacity."""

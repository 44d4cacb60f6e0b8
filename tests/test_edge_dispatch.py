"""Order of queued requests, and what the dispatcher knows of servers."""

import asyncio

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge.dispatch import Dispatcher
from mulberryrelay_edge.messages import BackendServer, LoadReport
from mulberryrelay_edge.queuedrequest import QueueRefusal, SendPermit
from mulberryrelay_edge.sendschedule import SendSchedule
from mulberryrelay_kernel.ids import DataCentre

from .fixtures import async_test
from .fixtures.edgefleet import backend
from .fixtures.edgerouter import edge_router, reserve_in
from .fixtures.rawserver import raw_server
from .fixtures.router import running_router

WAIT_MS = 1000.0


def new_dispatcher() -> Dispatcher:
    """Return a dispatcher in virtual time, with a schedule of its own."""
    reserve = reserve_in(SendSchedule(virtual_clock))
    return Dispatcher(DataCentre("a"), reserve, virtual_clock)


def report_load(dispatcher: Dispatcher, server: BackendServer, waiting: int) -> None:
    """Record a response of a server whose slots are all busy."""
    send_id = dispatcher.loads.begin_request(server, "listing")
    report = LoadReport(server.slots, waiting, server.slots)
    dispatcher.loads.end_request(server, send_id, report)


def test_a_keyed_request_does_not_wait_for_one_without_a_key() -> None:
    """Guards against keyed requests that wait although their owner has capacity.

    More requests may wait at the owner of a key than at any of several servers.
    """

    async def scenario() -> None:
        dispatcher = new_dispatcher()
        async with edge_router() as router:
            owner = backend(1)
            for waiting in (6, 3):
                report_load(dispatcher, owner, waiting)

            def acquire(key: int | None) -> "asyncio.Task[SendPermit | QueueRefusal]":
                return asyncio.create_task(
                    dispatcher.acquire(
                        router.request(key=key),
                        lambda: [owner],
                        key is not None,
                        virtual_clock() + WAIT_MS,
                    )
                )

            waiting_task = acquire(None)
            await asyncio.sleep(0)
            keyed = acquire(7)
            await asyncio.sleep(0.01)
            assert not waiting_task.done()
            assert keyed.done()
            waiting_task.cancel()

    run_virtual(scenario())


def test_the_load_of_servers_that_left_is_forgotten() -> None:
    """Guards against memory that grows with each server that ever joined."""

    async def scenario() -> None:
        dispatcher = new_dispatcher()
        busy = dispatcher.loads.begin_request(backend(1), "listing")
        for number in range(1, 100):
            dispatcher.loads.stats(backend(number))
        dispatcher.loads.remove_except({backend(2).server})
        assert dispatcher.loads.known_servers == {
            backend(1).server,
            backend(2).server,
        }, "a server with a request in flight stays known"
        dispatcher.loads.end_request(backend(1), busy, None)
        dispatcher.loads.remove_except({backend(2).server})
        assert dispatcher.loads.known_servers == {backend(2).server}

    run_virtual(scenario())


def test_the_work_time_of_a_machine_counts_for_a_fraction_of_a_second() -> None:
    """Guards against figures that change many times a second and count for seconds."""

    async def scenario() -> None:
        loads = new_dispatcher().loads
        servers = [backend(1), backend(2)]
        for server, work_percent in zip(servers, (100, 300), strict=True):
            send_id = loads.begin_request(server, "listing")
            report = LoadReport(1, 0, server.slots, work_percent)
            latency_ms = loads.end_request(server, send_id, report)
            loads.record_response(server, "listing", latency_ms, report, False)
        assert loads.cost(servers[1]) > 2 * loads.cost(servers[0])
        assert loads.slowdown(servers[1]) == loads.slowdown(servers[0])
        await asyncio.sleep(0.5)
        assert loads.cost(servers[1]) == loads.cost(servers[0])
        # A response that is streamed replaces the figure when it begins.
        send_id = loads.begin_request(servers[1], "listing")
        usual = LoadReport(1, 0, servers[1].slots)
        loads.end_request(servers[1], send_id, LoadReport(1, 0, 4, 300))
        send_id = loads.begin_request(servers[1], "listing")
        loads.begin_body(servers[1], send_id, usual)
        loads.end_request(servers[1], send_id, None)
        assert loads.cost(servers[1]) < 2 * loads.cost(servers[0])

    run_virtual(scenario())


@async_test
async def test_routers_forget_servers_that_left_the_view() -> None:
    """Guards against memory of a router that grows with each server."""
    async with raw_server() as server:
        entries = [server.entry(f"server-{number}") for number in range(20)]
        async with running_router(entries) as router:
            assert (await router.send()).outcome == "ran"
            router.view.apply_servers(entries[:1])
            assert router.path.known_servers <= {entries[0].server}

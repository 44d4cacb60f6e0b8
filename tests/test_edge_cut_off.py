"""Routers that have lost their links to all servers, and are reached by callers."""

import asyncio
import random
import time
from contextlib import ExitStack, suppress
from unittest.mock import patch

import aiohttp

from bench.virtual_time import run_virtual
from mulberryrelay_edge import relay
from mulberryrelay_edge.messages import BackendServer
from mulberryrelay_edge.serverreach import ServerReach
from mulberryrelay_kernel.clock import monotonic_ms

from .fixtures import async_test, wait_until
from .fixtures.cutlinks import refusing_address, silent_address
from .fixtures.edgefleet import (
    MAX_GRANT_TTL_MS,
    backend,
    followers_of,
    start_settled_fleet,
)
from .fixtures.edgerouter import edge_refusal, edge_response, get, linked_routers
from .fixtures.rawserver import HOST, RawRequest, close, raw_server, respond_with

SERVERS = 4
NOTICED_S = 3.0
"""Time from the loss of the links in which a router notices it."""
REQUESTS = 50
MAX_FAILED = 11
"""Requests that may fail of ``REQUESTS``: 10 and one in 50."""
MIN_SERVED_SHARE = 2 / 3
REFUSED_AT_ONCE_S = 0.25
"""Time in which a request is refused that nobody can serve."""


@async_test
async def test_callers_of_a_router_without_links_to_servers_are_served() -> None:
    """Guards against a router that lets its callers wait for servers it cannot reach.

    Other routers reach the servers, and each other.
    """
    for unreachable in (refusing_address, silent_address):
        async with (
            raw_server(respond_with(edge_response)) as server,
            linked_routers(2) as (cut_off, other),
        ):
            other.register_server(server)
            with ExitStack() as stack:
                for number in range(SERVERS):
                    port = stack.enter_context(unreachable())
                    cut_off.register_address(port, number)
                served = await _served(cut_off.url)
        assert served >= MIN_SERVED_SHARE * REQUESTS, (unreachable, served)
        assert served >= REQUESTS - MAX_FAILED, (unreachable, served)


async def _served(url: str) -> int:
    """Return how many requests succeed, once a router has noticed its loss."""
    async with aiohttp.ClientSession() as session:
        noticing = [
            asyncio.create_task(get(session, f"{url}/listing/{number}"))
            for number in range(10)
        ]
        await asyncio.sleep(NOTICED_S)
        await asyncio.gather(*noticing)
        results = [
            await get(session, f"{url}/listing/{number}") for number in range(REQUESTS)
        ]
    return sum(status == 200 for status, _ in results)


@async_test
async def test_a_relayed_request_runs_once_and_is_reported_truly() -> None:
    """Guards against a charge that is sent again, or said not to have run, on its way.

    Each case: what the other router's only server does, the caller's status, and how
    often the request ran.
    """

    async def serve(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        runs.append(request.path)
        writer.write(edge_response(request))

    async def run_and_close(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        runs.append(request.path)
        writer.close()

    async def refuse(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(edge_refusal(request))

    for respond, status, expected_runs in (
        (serve, 200, 1),
        (run_and_close, 502, 1),
        (refuse, 503, 0),
    ):
        runs: list[str] = []
        async with raw_server(respond) as server, linked_routers(2) as routers:
            cut_off, other = routers
            other.register_server(server)
            with refusing_address() as port:
                cut_off.register_address(port)
                cut_off.reach.suspect()
                await wait_until(lambda: cut_off.relay.is_needed)  # noqa: B023
                request = cut_off.request(is_idempotent=False)
                response = await cut_off.send(request)
        assert (response.status, len(runs)) == (status, expected_runs), respond


@async_test
async def test_a_request_is_relayed_once_and_refused_if_nobody_takes_it() -> None:
    """Guards against requests that go in circles between routers without links."""
    with refusing_address() as port:
        async with linked_routers(3) as routers:
            for router in routers:
                router.register_address(port)
                router.reach.suspect()
            for router in routers:
                await wait_until(lambda: router.relay.is_needed)  # noqa: B023
            started_s = time.monotonic()
            response = await routers[0].send(routers[0].request())
            assert response.status == 503
            assert time.monotonic() - started_s < REFUSED_AT_ONCE_S


@async_test
async def test_queued_requests_are_relayed_and_links_that_return_are_used() -> None:
    """Guards against requests that wait for links, and relays that outlast the cut."""
    async with (
        raw_server(respond_with(edge_response)) as server,
        linked_routers(2) as (cut_off, other),
    ):
        other.register_server(server)
        waiting = asyncio.create_task(cut_off.send(cut_off.request()))
        with refusing_address() as port:
            cut_off.register_address(port)
            cut_off.reach.suspect()
            assert (await waiting).status == 200
        cut_off.register_server(server)
        await wait_until(lambda: not cut_off.reach.is_cut_off)
        arrived = len(server.received)
        assert (await cut_off.send(cut_off.request())).status == 200
        assert len(server.received) == arrived + 1
        assert server.received[-1].connection != server.received[arrived - 1].connection


def test_keys_keep_their_owners_when_the_leader_loses_its_links_to_servers() -> None:
    """Guards against keys that nobody serves while a leader cannot renew their grants.

    All other routers reach the servers. The time is that from the loss of the links.
    """

    async def scenario(cut_off: int) -> None:
        fleet = await start_settled_fleet(routers=5)
        leader = fleet.leader
        assert leader is not None
        others = followers_of(fleet)
        fleet.pauses_s.clear()
        for router in [leader, *others[: cut_off - 1]]:
            router.commands.is_cut_off = True
        for router in others[: cut_off - 1]:
            # The leader finds out by its commands, these by their requests.
            router.reach.suspect()
        await asyncio.sleep(NOTICED_S)
        assert fleet.leader in others[cut_off - 1 :]
        await asyncio.sleep(2 * MAX_GRANT_TTL_MS / 1000)
        assert fleet.longest_pause_s == 0.0, fleet.longest_pause_s
        for router in fleet.routers:
            router.commands.is_cut_off = False
        await asyncio.sleep(NOTICED_S)
        assert not any(router.reach.is_cut_off for router in fleet.routers)
        fleet.stop()

    for cut_off in (1, 4):
        run_virtual(scenario(cut_off))


@async_test
async def test_a_refusal_after_a_relay_of_unknown_outcome_is_not_passed_on() -> None:
    """Guards against "not run" for a request that the first router may have run."""
    async with (
        raw_server(close) as broken,
        raw_server(respond_with(edge_refusal)) as full,
        linked_routers(2) as (cut_off, other),
    ):
        other.register_server(full)
        broken_url = f"http://{HOST}:{broken.port}/link"
        refusing_url = cut_off.peers[0]
        with refusing_address() as port:
            cut_off.register_address(port)
            cut_off.reach.suspect()
            await wait_until(lambda: cut_off.relay.is_needed)
            for urls, status in (
                ([refusing_url], 503),
                ([broken_url], 502),
                ([broken_url, refusing_url], 502),
            ):
                cut_off.peers = urls
                await asyncio.sleep(2 * relay.PEERS_PERIOD_S)
                with patch.object(random, "sample", lambda peers, count: list(peers)):
                    response = await cut_off.send(cut_off.request())
                assert response.status == status, urls


@async_test
async def test_an_error_while_cut_off_does_not_leave_the_router_cut_off() -> None:
    """Guards against requests that are relayed for ever."""

    async def reaches(server: BackendServer) -> bool:
        return False

    def fail(is_cut_off: bool) -> None:
        if is_cut_off:
            raise RuntimeError

    reach = ServerReach(lambda: [backend(1)], reaches, monotonic_ms)
    reach.changes.subscribe(fail)
    reach.suspect()
    with suppress(RuntimeError):
        await asyncio.wait_for(reach.run(), NOTICED_S)
    assert not reach.is_cut_off

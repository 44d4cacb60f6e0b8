"""Routers that have lost their links to all servers, and are reached by callers."""

import asyncio
from contextlib import ExitStack

import aiohttp

from .fixtures import async_test
from .fixtures.cutlinks import refusing_address, silent_address
from .fixtures.edgerouter import edge_response, get, linked_routers
from .fixtures.rawserver import raw_server, respond_with

SERVERS = 4
NOTICED_S = 3.0
"""Time from the loss of the links in which a router notices it."""
REQUESTS = 50
MAX_FAILED = 11
"""Requests that may fail of ``REQUESTS``: 10 and one in 50."""
MIN_SERVED_SHARE = 2 / 3


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

"""What servers state in their responses about the requests that they still want."""

import asyncio
import time

import msgspec

from bench.virtual_time import run_virtual
from mulberryrelay_edge.messages import BackendServer
from mulberryrelay_kernel.states import ServerState
from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test
from .fixtures.edgefleet import SERVICE, followers_of, start_settled_fleet
from .fixtures.edgerouter import EdgeRouter, edge_response, edge_router
from .fixtures.rawserver import RawRequest, raw_server, respond_with

DRAIN_S = 2.0
"""Time after the first response of a leaving server in which it may get requests."""
LEAVING = f"{HEADERS.leaving}: 1\r\n"
MOVED_S = 2.0
"""Time in which the keys of a leaving server have another owner."""


async def _send_for(router: EdgeRouter, for_s: float, key: int | None = None) -> None:
    """Send requests of both kinds, one after the other."""
    until_s = time.monotonic() + for_s
    number = 0
    while time.monotonic() < until_s:
        request = router.request(number % 3 > 0, key, timeout_ms=300.0)
        await router.send(request)
        number += 1
        await asyncio.sleep(0.01)


@async_test
async def test_a_server_that_states_that_it_leaves_gets_no_more_requests() -> None:
    """Guards against requests at a server that leaves while the store does not say so.

    A later entry of the server that still says that it serves does not bring it back.
    """

    def leave(request: RawRequest) -> bytes:
        return edge_response(request, more=LEAVING)

    for key in (None, 7):
        async with (
            raw_server(respond_with(leave)) as leaving,
            raw_server(respond_with(edge_response)) as staying,
            edge_router(is_keyed=key is not None) as router,
        ):
            entry = router.register_server(leaving)
            router.register_server(staying, 1)
            if key is not None:
                router.assign_all_keys(entry)
            await _send_for(router, DRAIN_S, key)
            assert leaving.received
            router.register(entry)
            before = len(leaving.received)
            await _send_for(router, 0.5, key)
            assert len(leaving.received) == before, key


@async_test
async def test_a_server_that_starts_again_after_it_left_is_used() -> None:
    """Guards against a server that is left out for what its earlier life stated."""
    async with (
        raw_server(respond_with(lambda r: edge_response(r, more=LEAVING))) as server,
        edge_router() as router,
    ):
        entry = router.register_server(server)
        await router.send(router.request())
        assert router.catalog.serving(SERVICE) == []
        router.register(msgspec.structs.replace(entry, started_ms=1))
        assert len(router.catalog.serving(SERVICE)) == 1


def test_keys_move_away_from_a_server_that_told_one_router_that_it_leaves() -> None:
    """Guards against keys that nobody serves, as only the leader can move them."""

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        leaving: BackendServer = fleet.servers.incarnations[0].entry
        followers_of(fleet)[0].catalog.record_leaving(
            (leaving.server, leaving.started_ms)
        )
        await asyncio.sleep(MOVED_S)
        assert fleet.leader is not None
        owners = {r.owner for r in fleet.leader.ownership.ranges(SERVICE)}
        assert leaving.server not in owners
        entry = fleet.leader.catalog.server(leaving.server)
        assert entry is not None and entry.state is ServerState.DRAINING
        fleet.stop()

    run_virtual(scenario())

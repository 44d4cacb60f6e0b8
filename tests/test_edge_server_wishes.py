"""What servers state in their responses about the requests that they still want."""

import asyncio
import time

import msgspec

from bench.virtual_time import run_virtual
from mulberryrelay_edge.exchange import parse_pause_ms
from mulberryrelay_edge.messages import BackendServer
from mulberryrelay_kernel.states import ServerState
from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test
from .fixtures.edgefleet import (
    SERVERS_TABLE,
    SERVICE,
    backend,
    followers_of,
    start_settled_fleet,
)
from .fixtures.edgerouter import EdgeRouter, edge_refusal, edge_response, edge_router
from .fixtures.followingcatalog import FollowingCatalog
from .fixtures.rawserver import RawRequest, raw_server, respond_with

DRAIN_S = 2.0
"""Time after the first response of a leaving server in which it may get requests."""
LEAVING = f"{HEADERS.leaving}: 1\r\n"
PAUSE_S = 2.0
UNTIL_PAUSED_S = 0.5
"""Time in which requests that are on their way may reach a server in its pause."""
MAX_IN_PAUSE = 2
LONG_PAUSE_S = 20.0
LIMIT_PER_S = 0.5
REFUSED_AT_ONCE_S = 0.1
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


def test_a_server_that_left_is_not_used_again_when_its_entry_comes_back() -> None:
    """Guards against a drain time that begins again, or a server taken for serving.

    The entry is removed, and a restored store shows it in its older state. The owner of
    keys gets requests for the rest of its drain time only, whatever said it leaves.
    """

    async def scenario() -> None:
        for says_entry in (True, False):
            following = FollowingCatalog()
            catalog = following.catalog
            following.put_server(1)
            await asyncio.sleep(1.0)
            if says_entry:
                following.put_server(1, state=ServerState.DRAINING)
            else:
                catalog.record_leaving((backend(1).server, backend(1).started_ms))
            await asyncio.sleep(0.5)
            following.tables.write(SERVERS_TABLE, backend(1).server, None)
            await asyncio.sleep(0.5)
            assert catalog.servers(SERVICE) == []
            following.put_server(1)
            await asyncio.sleep(DRAIN_S - 1.0)
            assert catalog.serving(SERVICE) == []
            assert catalog.is_drain_grace_over(catalog.servers(SERVICE)[0])
            restarted = backend(1, started_ms=5)
            value = msgspec.json.encode(restarted)
            following.tables.write(SERVERS_TABLE, restarted.server, value)
            await asyncio.sleep(0.5)
            assert catalog.serving(SERVICE) == [restarted]
            assert not catalog.is_drain_grace_over(restarted)
            following.stop()

    run_virtual(scenario())


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


@async_test
async def test_a_server_that_asks_for_a_pause_gets_no_requests_in_it() -> None:
    """Guards against requests at a server that has refused all of them in advance.

    They are served elsewhere. Without another server they are refused at once, with the
    time at which the pause ends.
    """

    def refuse(request: RawRequest) -> bytes:
        return edge_refusal(request, more=f"Retry-After: {PAUSE_S}\r\n")

    for key in (None, 7):
        async with (
            raw_server(respond_with(refuse)) as paused,
            raw_server(respond_with(edge_response)) as other,
            edge_router(is_keyed=key is not None) as router,
        ):
            entry = router.register_server(paused)
            if key is not None:
                router.assign_all_keys(entry)
            await router.send(router.request(key=key))
            paused_s = time.monotonic()
            await asyncio.sleep(UNTIL_PAUSED_S)
            arrived = len(paused.received)
            started_s = time.monotonic()
            response = await router.send(router.request(key=key))
            assert response.status == 503
            assert time.monotonic() - started_s < REFUSED_AT_ONCE_S
            left_s = PAUSE_S - (started_s - paused_s)
            retry_after_s = float(response.headers["Retry-After"])
            assert left_s - 0.1 <= retry_after_s <= 1.2 * left_s + 0.1
            if key is None:
                other_entry = router.register_server(other, 1)
                await _send_for(router, 0.3)
                assert other.received
                draining = ServerState.DRAINING
                router.register(msgspec.structs.replace(other_entry, state=draining))
            assert len(paused.received) <= arrived + MAX_IN_PAUSE, key
            await asyncio.sleep(left_s)
            paused.respond = respond_with(edge_response)
            await _send_for(router, 0.5, key)
            assert len(paused.received) > arrived, "it is used after the pause"


@async_test
async def test_what_a_server_asked_for_outlives_its_entry() -> None:
    """Guards against requests in a pause, or beyond a limit, after an entry came back.

    The entry lapses while the server is cut off from the store. A server that has
    started again in the meantime has asked for nothing.
    """
    pause = f"Retry-After: {LONG_PAUSE_S}\r\n"
    limit = f"{HEADERS.limit}: {LIMIT_PER_S}\r\n"
    for wish in (pause, limit):

        def refuse(request: RawRequest, wish: str = wish) -> bytes:
            return edge_refusal(request, more=wish)

        def respond(request: RawRequest, wish: str = wish) -> bytes:
            return edge_response(request, more=wish)

        async with (
            raw_server(respond_with(refuse)) as server,
            edge_router() as router,
        ):
            entry = router.register_server(server)
            # Enough time to learn what the server asks for on a busy machine.
            await router.send(router.request())
            router.unregister(entry)
            assert router.catalog.servers(SERVICE) == []
            router.register(entry)
            server.respond = respond_with(respond)
            before = len(server.received)
            for _ in range(20):
                await router.send(router.request(timeout_ms=50.0))
            arrived = len(server.received) - before
            assert arrived <= MAX_IN_PAUSE, (wish, arrived)
            router.register(msgspec.structs.replace(entry, started_ms=1))
            assert (await router.send(router.request())).status == 200, wish


@async_test
async def test_queued_requests_are_refused_when_their_server_asks_for_a_pause() -> None:
    """Guards against requests that wait for a server until their deadline in vain."""

    async def refuse_slowly(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.1)
        writer.write(edge_refusal(request, more="Retry-After: 60\r\n"))

    async with raw_server(refuse_slowly) as server, edge_router() as router:
        router.register_server(server)
        started_s = time.monotonic()
        responses = await asyncio.gather(
            *(router.send(router.request()) for _ in range(20))
        )
        assert {response.status for response in responses} == {503}
        assert time.monotonic() - started_s < 0.1 + REFUSED_AT_ONCE_S
        assert len(server.received) < 20


def test_a_pause_that_cannot_be_read_is_ignored() -> None:
    """Guards against a server that is left out for ever, and against an exception."""
    for value, expected_ms in (
        ("1.5", 1500.0),
        ("0", 0.0),
        ("-3", 0.0),
        ("1e30", 0.0),
        ("nan", 0.0),
        ("Sat, 05 Dec 2026 08:00:00 GMT", 0.0),
    ):
        assert parse_pause_ms(value) == expected_ms, value

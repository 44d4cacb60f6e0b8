"""Data centres that cannot reach each other, while a third one reaches both."""

import asyncio
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from unittest.mock import patch

import msgspec

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge import leaderproxy
from mulberryrelay_edge.bulkupdates import BulkUpdates
from mulberryrelay_edge.datacentrereach import DataCentreReach
from mulberryrelay_edge.datacentrerelay import REST_MS, DataCentreRelay
from mulberryrelay_edge.keyload import KeyLoad
from mulberryrelay_edge.leaderproxy import LeaderProxy
from mulberryrelay_edge.linkhttp import LINK_PATH, LinkClient, LinkServer
from mulberryrelay_edge.messages import (
    BackendServer,
    KeyReport,
    LeaderNoticeRow,
    RouterPeer,
    RouterReport,
    RouterState,
)
from mulberryrelay_edge.ownership import Ownership
from mulberryrelay_edge.relay import RelayReceiver
from mulberryrelay_edge.reporthandler import ReportHandler
from mulberryrelay_edge.tablefollower import StoreSync
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import DataCentre

from .fixtures import async_test, wait_until
from .fixtures.cutlinks import silent_address
from .fixtures.edgefleet import LINK_BYTES_PER_S, backend
from .fixtures.edgerouter import (
    EdgeRouter,
    edge_refusal,
    edge_response,
    linked_routers,
)
from .fixtures.rawserver import (
    HOST,
    RawRequest,
    RawServer,
    Respond,
    raw_server,
    respond_with,
)
from .fixtures.relays import (
    link_client,
    link_server_of,
    link_server_to,
    no_request,
    unused_reach,
)
from .fixtures.suspects import leaders_suspects

HERE, THIRD, FAR = DataCentre("a"), DataCentre("b"), DataCentre("c")
NOTICED_S = 1.5
"""Time from the first hint in which a router notices the loss of a data centre."""
RETURN_S = 1.5
"""Time in which it notices that the data centre is reached again."""
CONNECT_TIMEOUT_S = 0.5
CALL_DELAY_S = 0.2
"""Time that a call for the leader takes at the router between."""
REQUESTS = 20


def _servers() -> list[BackendServer]:
    return [
        backend(number, data_centre=(HERE, THIRD, FAR)[number % 3])
        for number in range(18)
    ]


def test_a_data_centre_is_unreached_only_if_its_servers_hang_and_others_answer() -> (
    None
):
    """Guards against verdicts on single servers or on the router's own links.

    Each case: the servers that answer, and the data centres that are unreached.
    """

    async def scenario(answering: Sequence[BackendServer], unreached: bool) -> None:
        probed: list[BackendServer] = []

        async def probe(server: BackendServer) -> bool:
            probed.append(server)
            if server in answering:
                return True
            await asyncio.sleep(0.3)
            return False

        reach = DataCentreReach(_servers, probe, virtual_clock)
        running = asyncio.ensure_future(reach.run())
        reach.suspect(FAR)
        await asyncio.sleep(NOTICED_S)
        assert reach.is_unreached(FAR) is unreached
        assert not reach.is_unreached(HERE)
        assert len(probed) <= 20
        running.cancel()

    servers = _servers()
    elsewhere = [server for server in servers if server.data_centre != FAR]
    far = [server for server in servers if server.data_centre == FAR]
    for answering, unreached in (
        (elsewhere, True),
        (servers, False),
        # Four probes of six servers find one of these three.
        ([*elsewhere, *far[:3]], False),
        ([], False),
    ):
        run_virtual(scenario(answering, unreached))


def test_the_only_data_centre_is_not_probed() -> None:
    """Guards against probes where there is no other data centre to compare with."""

    async def scenario() -> None:
        probed: list[BackendServer] = []

        async def probe(server: BackendServer) -> bool:
            probed.append(server)
            return False

        reach = DataCentreReach(lambda: [backend(1)], probe, virtual_clock)
        running = asyncio.ensure_future(reach.run())
        reach.suspect(HERE)
        await asyncio.sleep(NOTICED_S)
        assert not probed
        running.cancel()

    run_virtual(scenario())


def test_a_data_centre_is_used_again_soon_and_probed_little() -> None:
    """Guards against loads of probes, and against a loss that outlasts the fault."""

    async def scenario() -> None:
        probes = 0
        answering = {THIRD, HERE}

        async def probe(server: BackendServer) -> bool:
            nonlocal probes
            probes += 1
            return server.data_centre in answering

        reach = DataCentreReach(_servers, probe, virtual_clock)
        running = asyncio.ensure_future(reach.run())
        reach.suspect(FAR)
        await asyncio.sleep(NOTICED_S)
        assert reach.are_unreached([backend(2, data_centre=FAR)])
        assert {s.data_centre for s in reach.usable(_servers())} == answering
        probes = 0
        await asyncio.sleep(10.0)
        assert probes <= 10 * 6 + 3, probes
        answering.add(FAR)
        await asyncio.sleep(RETURN_S)
        assert not reach.unreached
        # A response is evidence as good as a probe.
        answering.discard(FAR)
        await asyncio.sleep(1.0)
        reach.suspect(FAR)
        await asyncio.sleep(NOTICED_S)
        assert reach.unreached == (FAR,)
        reach.record_response(FAR)
        assert not reach.unreached
        reach.suspect(FAR)
        await asyncio.sleep(NOTICED_S)
        assert not reach.unreached
        running.cancel()

    run_virtual(scenario())


def test_requests_are_passed_on_only_to_routers_that_reach_both() -> None:
    """Guards against requests for a router that cannot help, or was just tried."""

    async def scenario() -> None:
        async def probe(server: BackendServer) -> bool:
            return server.data_centre != FAR

        reach = DataCentreReach(_servers, probe, virtual_clock)
        peers = [
            RouterPeer("http://third", THIRD),
            RouterPeer("http://other-third", THIRD, (FAR,)),
            RouterPeer("http://not-here", THIRD, (HERE,)),
            RouterPeer("http://neighbour", HERE),
            RouterPeer("http://far", FAR),
            RouterPeer("http://older-build", DataCentre("")),
        ]
        ready: list[bool] = []
        relay = DataCentreRelay(
            reach,
            HERE,
            _servers,
            lambda: True,
            lambda: None,
            lambda: peers,
            None,  # type: ignore[arg-type]
            lambda: ready.append(True),
            virtual_clock,
        )
        tasks = [asyncio.ensure_future(run()) for run in (reach.run, relay.run)]
        reach.suspect(FAR)
        await asyncio.sleep(NOTICED_S)
        assert ready
        assert relay.routers_for(FAR) == ["http://third"]
        relay.rest("http://third")
        assert relay.routers_for(FAR) == []
        await asyncio.sleep(REST_MS / 1000)
        assert relay.routers_for(FAR) == ["http://third"]
        for task in tasks:
            task.cancel()

    run_virtual(scenario())


def _leader(store_sync: StoreSync) -> LinkServer:
    """Return the link server of a leader."""
    suspects = leaders_suspects(monotonic_ms)
    handler = ReportHandler(
        KeyLoad(monotonic_ms),
        Ownership(),
        store_sync,
        suspects,
        lambda incarnation: None,
        lambda: True,
        lambda: False,
        monotonic_ms,
        BulkUpdates([], LINK_BYTES_PER_S, monotonic_ms),
        monotonic_ms,
    )
    return link_server_to(handler, suspects, monotonic_ms)


@async_test
async def test_reports_reach_the_leader_through_a_third_data_centre() -> None:
    """Guards against followers without a leader behind hanging links.

    Also against a reply that looks newer than it is, after a delay on its way, against
    calls to other addresses, and against calls without a bound.
    """

    async def call(url: str, path: str, body: bytes) -> bytes | None:
        await asyncio.sleep(CALL_DELAY_S)
        return await client.pass_on(leader_url, path, body)

    store_sync = StoreSync()
    leader = _leader(store_sync)
    client = link_client()
    unreached = False
    with silent_address() as silent_port:
        known_url = f"http://{HOST}:{silent_port}{LINK_PATH}"
        notice = LeaderNoticeRow(1, "leader", known_url)
        proxy = LeaderProxy(lambda: notice, lambda url: unreached, call)
        third = link_server_of(
            RelayReceiver(
                lambda: None, unused_reach(monotonic_ms), no_request, monotonic_ms
            ),
            monotonic_ms,
            proxy.forward,
        )
        third_url = f"http://{HOST}:{await third.start(HOST, 0)}{LINK_PATH}"
        follower = link_client(lambda url: third_url)
        leader_url = f"http://{HOST}:{await leader.start(HOST, 0)}{LINK_PATH}"
        state = RouterState("http://a", unreached=(FAR,))
        report = RouterReport("a", KeyReport({}, {}), {}, {}, True, 0.0, state=state)
        try:
            assert await client.send(known_url, report) is None, "the link hangs"
            informed_ms = monotonic_ms()
            store_sync.view_age.record_informed(informed_ms)
            sent_ms = monotonic_ms()
            reply = await follower.send(known_url, report)
            assert reply is not None
            known_after_ms = reply.servers_known_after_report_ms
            assert known_after_ms is not None
            assert sent_ms + known_after_ms <= informed_ms
            listed = await follower.list_routers(known_url)
            assert listed == [RouterPeer("http://a", DataCentre(""), (FAR,))]
            assert await follower.send(leader_url, report) is None, "unknown leader"
            with patch.object(leaderproxy, "MAX_CALLS", 0):
                assert await follower.send(known_url, report) is None, "too many"
            unreached = True
            assert await follower.send(known_url, report) is None, "relayed twice"
            assert proxy.calls == 0
        finally:
            await asyncio.gather(follower.close(), client.close())
            await asyncio.gather(leader.close(), third.close())


def test_the_leader_is_called_through_a_router_only_while_it_is_unreached() -> None:
    """Guards against detours without the fault, and reports that hang with it."""

    async def scenario() -> None:
        answering = {HERE, THIRD, FAR}

        async def probe(server: BackendServer) -> bool:
            return server.data_centre in answering

        reach = DataCentreReach(_servers, probe, virtual_clock)
        peers = [RouterPeer("http://far", FAR), RouterPeer("http://third", THIRD)]
        relay = DataCentreRelay(
            reach,
            HERE,
            _servers,
            lambda: False,
            lambda: LeaderNoticeRow(1, "leader", "http://far"),
            list,
            _ListedPeers(peers),
            lambda: None,
            virtual_clock,
        )
        tasks = [asyncio.ensure_future(run()) for run in (reach.run, relay.run)]
        await asyncio.sleep(0.1)
        assert relay.find_via("http://far") is None
        answering.discard(FAR)
        relay.suspect_leader()
        await asyncio.sleep(NOTICED_S)
        assert relay.find_via("http://far") == "http://third"
        assert relay.find_via("http://third") is None
        assert relay.is_router_unreached("http://far")
        answering.add(FAR)
        await asyncio.sleep(RETURN_S)
        assert relay.find_via("http://far") is None
        for task in tasks:
            task.cancel()

    run_virtual(scenario())


class _ListedPeers(LinkClient):
    """Calls of which only the list of routers gets a reply."""

    def __init__(self, peers: list[RouterPeer]) -> None:
        self._peers = peers

    async def list_routers(self, url: str) -> list[RouterPeer] | None:
        return self._peers


@async_test
async def test_the_leader_lists_where_routers_are_and_what_they_miss() -> None:
    """Guards against requests that are relayed to routers which cannot help.

    Routers of earlier builds and those that reach no server are told apart.
    """
    server = _leader(StoreSync())
    client = link_client()
    try:
        url = f"http://{HOST}:{await server.start(HOST, 0)}{LINK_PATH}"
        for name, state in (
            ("a", RouterState("http://a", unreached=(FAR,))),
            ("b", RouterState("http://b")),
            ("cut-off", RouterState("http://cut-off", True)),
        ):
            report = RouterReport(
                name, KeyReport({}, {}), {}, {}, True, 0.0, state=state
            )
            report = msgspec.structs.replace(report, data_centre=DataCentre(name))
            assert await client.send(url, report) is not None
        assert await client.list_routers(url) == [
            RouterPeer("http://a", DataCentre("a"), (FAR,)),
            RouterPeer("http://b", DataCentre("b")),
        ]
        await server.close()
        assert await client.list_routers(url) is None
    finally:
        await client.close()


@asynccontextmanager
async def _divided(
    respond: Respond,
) -> AsyncIterator[tuple[EdgeRouter, EdgeRouter, RawServer, RawServer]]:
    """Run a router that does not reach a data centre, and one in a third that does.

    Yields both, the far server, which owns all keys, and a server of the third one.
    """
    async with (
        raw_server(respond) as far,
        raw_server(respond_with(edge_response)) as near,
        linked_routers(2, is_keyed=True) as (cut, third),
    ):
        with silent_address() as silent_port:
            for router, port in ((cut, silent_port), (third, far.port)):
                owner = backend(1, host=HOST, port=port, data_centre=FAR)
                router.register(owner)
                router.register(
                    backend(2, host=HOST, port=near.port, data_centre=THIRD)
                )
                router.register(backend(3, host=HOST, port=near.port))
                router.assign_all_keys(owner)
            cut.data_centre_peers = [RouterPeer(cut.peers[0], THIRD)]
            third.data_centre_peers = [RouterPeer(third.peers[0], THIRD)]
            yield cut, third, far, near


@async_test
async def test_requests_for_owners_behind_hanging_links_are_relayed() -> None:
    """Guards against keys that callers of one data centre cannot use.

    The far owner is reached from the third data centre only. Once the fault is noticed,
    no request waits for a connection that hangs, and the links are used when they are
    back.
    """
    async with _divided(respond_with(edge_response)) as (cut, third, far, near):
        assert (await cut.send(cut.request(key=1))).status == 200
        await wait_until(lambda: cut.data_centre_reach.is_unreached(FAR))
        slowest_s = 0.0
        for key in range(REQUESTS):
            started_s = time.monotonic()
            response = await cut.send(cut.request(key=key))
            slowest_s = max(slowest_s, time.monotonic() - started_s)
            assert response.status == 200
        assert len(far.received) == REQUESTS + 1
        assert cut.metrics.counters["relayed_data_centre"] >= REQUESTS
        for _ in range(REQUESTS):
            started_s = time.monotonic()
            response = await cut.send(cut.request())
            slowest_s = max(slowest_s, time.monotonic() - started_s)
            assert response.status == 200
        assert len(near.received) == REQUESTS
        assert slowest_s < CONNECT_TIMEOUT_S, slowest_s
        assert "relayed_data_centre" not in third.metrics.counters
        owner = backend(1, host=HOST, port=far.port, data_centre=FAR)
        cut.register(owner)
        await wait_until(lambda: not cut.data_centre_reach.unreached)
        relayed = cut.metrics.counters["relayed_data_centre"]
        assert (await cut.send(cut.request(key=1))).status == 200
        assert cut.metrics.counters["relayed_data_centre"] == relayed


@async_test
async def test_a_charge_for_a_far_owner_runs_once_and_is_reported_truly() -> None:
    """Guards against a charge that is sent again, or said not to have run.

    Each case: what the far owner does, the caller's status, and how often it ran.
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
        for is_noticed in (False, True):
            runs: list[str] = []
            async with _divided(respond) as (cut, _, _, _):
                if is_noticed:
                    cut.data_centre_reach.suspect(FAR)
                    await wait_until(lambda: cut.data_centre_reach.is_unreached(FAR))
                response = await cut.send(cut.request(is_idempotent=False, key=1))
                assert (response.status, len(runs)) == (status, expected_runs), respond


@async_test
async def test_a_relayed_request_is_not_relayed_again() -> None:
    """Guards against requests that go in circles between two data centres."""
    async with _divided(respond_with(edge_response)) as (cut, third, far, _):
        with silent_address() as silent_port:
            third.register(backend(1, host=HOST, port=silent_port, data_centre=FAR))
            for router in (cut, third):
                router.data_centre_reach.suspect(FAR)
            await wait_until(lambda: cut.data_centre_reach.is_unreached(FAR))
            await wait_until(lambda: third.data_centre_reach.is_unreached(FAR))
            request = cut.request(key=1, timeout_ms=1200.0)
            relayed = msgspec.structs.replace(request, is_relayed=True)
            assert (await third.send(relayed)).status == 503
            assert "relayed" not in third.metrics.counters
            # The other router does not accept it, and is not asked again at once.
            started_s = time.monotonic()
            assert (await cut.send(request)).status == 503
            assert time.monotonic() - started_s < CONNECT_TIMEOUT_S
        assert not far.received

"""Routes whose requests stay in some regions."""

import asyncio
import time
from contextlib import AsyncExitStack
from unittest.mock import patch

import msgspec
from aiohttp.connector import Connection

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge import datacentrerelay
from mulberryrelay_edge.explain import ExplanationSource
from mulberryrelay_edge.messages import RouterPeer
from mulberryrelay_edge.queuedrequest import QueuedRequest, count_ahead
from mulberryrelay_edge.regions import (
    PermittedRegions,
    RegionRules,
    intersection,
    is_allowed,
    own_region,
)
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import DataCentre
from mulberryrelay_router.pool import Pool

from .fixtures import async_test, wait_until
from .fixtures.cutlinks import refusing_address, silent_address
from .fixtures.edgefleet import SERVICE, backend, route, route_table
from .fixtures.edgerouter import (
    EdgeRouter,
    edge_response,
    edge_router,
    linked_routers,
)
from .fixtures.rawserver import HOST, RawServer, raw_server, respond_with
from .test_edge_dispatch import new_dispatcher, report_load

REGIONS = {"a": "east", "b": "west"}
"""The region of the data centre "c" is unknown."""
REQUESTS = 30
REFUSED_AT_ONCE_S = 0.5

respond_ok = respond_with(edge_response)


def _register(router: EdgeRouter, number: int, zone: str, port: int) -> None:
    entry = backend(number, host=HOST, port=port, data_centre=DataCentre(zone))
    router.register(entry)


def test_what_has_no_known_region_gets_no_restricted_request() -> None:
    """Guards against requests that leave their regions because a name is missing."""
    assert is_allowed("", None) and is_allowed("east", None)
    assert is_allowed("east", ("west", "east"))
    for region in ("", "west", "East"):
        assert not is_allowed(region, ("east",))
    assert not is_allowed("", ("",)) and not is_allowed("east", ())
    assert intersection(None, ("a",)) == intersection(("a",), None) == ("a",)
    assert intersection(("a", "b"), ("b", "c")) == ("b",)
    assert intersection(None, None) is None


def test_the_stricter_of_the_requests_and_the_current_route_applies() -> None:
    """Guards against requests that were accepted before their route was restricted."""

    async def scenario() -> None:
        async with edge_router() as router:
            options = router.adapter.options
            assert own_region(options) == ""
            options = msgspec.structs.replace(
                options, regions={DataCentre("a"): "east"}
            )
            assert own_region(options) == "east"
            assert own_region(msgspec.structs.replace(options, region="west")) == "west"
            table = route_table(1, route())
            rules = RegionRules(lambda: options, lambda: table)
            request = router.request()
            near, unknown = backend(1), backend(2, data_centre=DataCentre("c"))
            assert rules.may_get(request, near) and rules.may_get(request, unknown)
            assert not rules.has_restricted_routes
            assert rules.restricted(request) is request
            for current, own, expected in (
                (("east",), None, ("east",)),
                (None, ("east",), ("east",)),
                (("east",), ("west",), ()),
                ((), None, ()),
            ):
                table = route_table(2, route(allowed_regions=current))
                restricted = msgspec.structs.replace(
                    request, route=route(allowed_regions=own)
                )
                assert rules.allowed(restricted) == expected
                assert rules.restricted(restricted).route.allowed_regions == expected
                assert rules.may_get(restricted, near) is bool(expected)
                assert not rules.may_get(restricted, unknown)

    run_virtual(scenario())


@async_test
async def test_requests_reach_only_servers_in_their_regions() -> None:
    """Guards against requests sent elsewhere, also with shares of other servers only.

    Each case: the allowed regions, and the data centres that may get requests.
    """
    cases: tuple[tuple[PermittedRegions, set[str]], ...] = (
        (("west",), {"b"}),
        (("east", "west"), {"a", "b"}),
        (("north",), set()),
        ((), set()),
        (None, {"a", "b", "c"}),
    )
    for allowed, expected in cases:
        async with (
            raw_server(respond_ok) as server_a,
            raw_server(respond_ok) as server_b,
            raw_server(respond_ok) as server_c,
            edge_router() as router,
        ):
            servers = {"a": server_a, "b": server_b, "c": server_c}
            for number, (zone, server) in enumerate(servers.items()):
                _register(router, number, zone, server.port)
            router.restrict(allowed, REGIONS)
            sending = [router.send(router.request()) for _ in range(REQUESTS)]
            statuses = {response.status for response in await asyncio.gather(*sending)}
            assert statuses == {200 if expected else 503}, (allowed, statuses)
            reached = {zone for zone, server in servers.items() if server.received}
            assert reached <= expected, (allowed, reached)
            router.dispatcher.shares.apply_shares({SERVICE: {backend(0).server: 1.0}})
            started_s = time.monotonic()
            response = await router.send(router.request())
            assert response.status == (200 if expected else 503), allowed
            assert time.monotonic() - started_s < REFUSED_AT_ONCE_S
            reached = {zone for zone, server in servers.items() if server.received}
            assert reached <= expected, (allowed, reached)
            # None was chosen that the check at the write would have to hold back.
            assert "attempt_not-sent" not in router.metrics.counters


@async_test
async def test_evacuated_servers_in_the_region_are_used_while_they_may_be() -> None:
    """Guards against requests without candidates as others are outside the region."""
    async with (
        raw_server(respond_ok) as near,
        raw_server(respond_ok) as far,
        edge_router() as router,
    ):
        _register(router, 0, "a", near.port)
        _register(router, 1, "b", far.port)
        router.restrict(("west",), REGIONS)
        router.evacuate("b")
        assert (await router.send(router.request())).status == 200
        assert far.received and not near.received


@async_test
async def test_the_owner_of_a_key_elsewhere_gets_no_request() -> None:
    """Guards against a charge sent out of its region, and one that waits in vain."""
    async with raw_server(respond_ok) as server, edge_router(True) as router:
        entry = router.register_server(server)
        router.assign_all_keys(entry)
        for allowed, status in ((("west",), 503), (("east",), 200)):
            router.restrict(allowed, REGIONS)
            started_s = time.monotonic()
            response = await router.send(router.request(is_idempotent=False, key=7))
            assert response.status == status and response.is_from_router == (
                status == 503
            )
            assert time.monotonic() - started_s < REFUSED_AT_ONCE_S
            assert len(server.received) == (status == 200)


@async_test
async def test_a_refusal_because_of_regions_is_explained() -> None:
    """Guards against operators who look for a fault where a restriction applies."""
    async with raw_server(respond_ok) as server, edge_router() as router:
        router.register_server(server)
        source = ExplanationSource(
            router.adapter.options.instance,
            router.catalog,
            router.ownership,
            router.dispatcher,
            router.forwarder,
            monotonic_ms,
        )
        for allowed, outcome in ((("west",), "refused"), (("east",), "sent")):
            router.restrict(allowed, REGIONS)
            (decision,) = source.explain("app.example", "/listing/1", None).decisions
            assert decision.outcome == outcome
            reasons = decision.servers[0].reasons
            assert ("outside the allowed regions" in reasons) is (outcome == "refused")


@async_test
async def test_the_region_is_checked_again_when_a_request_is_written() -> None:
    """Guards against a request that waits for its connection while it is restricted."""
    async with raw_server(respond_ok) as server, edge_router() as router:
        router.register_server(server)
        open_connection = Pool.open

        async def open_late(pool: Pool, host: str, port: int) -> Connection:
            connection = await open_connection(pool, host, port)
            router.restrict(("west",), REGIONS)
            return connection

        with patch.object(Pool, "open", open_late):
            response = await router.send(router.request(is_idempotent=False))
        assert response.status == 503
        assert not server.received


def test_requests_for_full_regions_hold_no_others_back() -> None:
    """Guards against one full region that stops the requests of a whole service."""

    async def scenario() -> None:
        dispatcher = new_dispatcher()
        async with edge_router(clock=virtual_clock) as router:
            full, free = backend(1), backend(2, data_centre=DataCentre("b"))
            for server in (full, free):
                report_load(dispatcher, server, 6)

            def queued(allowed: PermittedRegions) -> QueuedRequest:
                request = msgspec.structs.replace(
                    router.request(), route=route(allowed_regions=allowed)
                )
                regions = {"east": full, "west": free}
                candidates = [regions[name] for name in allowed or regions]
                return QueuedRequest(
                    request, lambda: candidates, False, 1e9, frozenset()
                )

            east, west, anywhere = queued(("east",)), queued(("west",)), queued(None)
            assert count_ahead([east, east], west) == 0
            assert count_ahead([east, west], anywhere) == 2
            waiting = [
                asyncio.create_task(
                    dispatcher.acquire(q.request, q.candidates, False, 1e9)
                )
                for q in (east, west, anywhere)
            ]
            await asyncio.sleep(0.001)
            assert not any(task.done() for task in waiting)
            report_load(dispatcher, free, 0)
            send_id = dispatcher.loads.begin_request(free, "listing")
            dispatcher.loads.end_request(free, send_id, None)
            for _ in range(200):
                report_load(dispatcher, full, 6)
                await asyncio.sleep(0.005)
            assert not waiting[0].done()
            assert waiting[1].done() and waiting[2].done()
            waiting[0].cancel()

    run_virtual(scenario())


@async_test
async def test_restricted_requests_are_relayed_only_within_their_regions() -> None:
    """Guards against bodies sent to routers elsewhere, or to those of earlier builds.

    Each case: whether the router is cut off from all servers or only from one data
    centre, the regions of the other two routers as listed and as they know them
    themselves, and the one that handles the request.
    """
    for is_cut_off in (True, False):
        for listed, own, taker in (
            (("east", "west"), ("east", "west"), 1),
            (("west", "east"), ("west", "east"), 0),
            (("east", ""), ("east", "west"), None),
            (("west", "west"), ("east", ""), None),
        ):
            async with AsyncExitStack() as stack:
                stack.enter_context(
                    patch.object(datacentrerelay, "BUSY_REFRESH_PERIOD_S", 0.1)
                )
                far = await stack.enter_async_context(raw_server(respond_ok))
                near = await stack.enter_async_context(raw_server(respond_ok))
                routers = linked_routers(3, is_keyed=True)
                cut, *others = await stack.enter_async_context(routers)
                cut.data_centre_peers = [
                    RouterPeer(url, DataCentre("a2" if is_cut_off else "b"), (), region)
                    for url, region in zip(cut.peers, listed, strict=True)
                ]
                for router, region in zip(others, own, strict=True):
                    router.restrict(("west",), {"c": "west", "a": region})
                cut.restrict(("west",), {"c": "west", "a": "east", "b": "east"})
                await _check_relayed(cut, others, far, near, is_cut_off, taker)


async def _check_relayed(
    cut: EdgeRouter,
    others: list[EdgeRouter],
    far: RawServer,
    near: RawServer,
    is_cut_off: bool,
    taker: int | None,
) -> None:
    """Check who gets the requests of a router that does not reach the data centre."""
    unreachable = refusing_address if is_cut_off else silent_address
    with unreachable() as port:
        for router in (cut, *others):
            far_port = port if router is cut else far.port
            owner = backend(1, host=HOST, port=far_port, data_centre=DataCentre("c"))
            router.register(owner)
            router.assign_all_keys(owner)
        for router in others:
            _register(router, 2, "b", near.port)
        if not is_cut_off:
            _register(cut, 2, "b", near.port)
            _register(cut, 3, "a", near.port)
            cut.data_centre_reach.suspect(DataCentre("c"))
            await wait_until(lambda: bool(cut.data_centre_reach.unreached))
        else:
            cut.reach.suspect()
            await wait_until(lambda: cut.relay.is_needed)
        await wait_until(
            lambda: cut.data_centre_relay.region_of(cut.peers[0]) != "", timeout_s=5.0
        )
        request = cut.request(is_idempotent=False, key=1, timeout_ms=600.0)
        response = await cut.send(request)
        assert response.status == (503 if taker is None else 200)
        assert len(far.received) == (taker is not None)
        assert not near.received
        for number, router in enumerate(others):
            served = sum(s.count for s in router.metrics.summaries())
            assert served == (number == taker), (number, taker)

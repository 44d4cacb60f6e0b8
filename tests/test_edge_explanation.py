"""Where a router would send a request, as ``mulberryctl edge-explain`` shows it."""

import asyncio
import re
import textwrap
from pathlib import Path

import msgspec
from click.testing import CliRunner, Result

from mulberryctl.formatting import format_edge_explanation
from mulberryctl.main import main
from mulberryrelay_edge.dispatch import Preview
from mulberryrelay_edge.explain import (
    ExplanationSource,
    ServerFacts,
    ServiceFacts,
    explain_service,
)
from mulberryrelay_edge.messages import BackendServer, KeyRange, ServiceShare
from mulberryrelay_edge.monitoring import MonitoringServer
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import DataCentre, InstanceId, Tenant
from mulberryrelay_kernel.messages import EdgeDecision, EdgeExplanation, EdgeStatus
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_kernel.states import ServerState

from .fixtures import async_test
from .fixtures.edgefleet import SERVICE, backend
from .fixtures.edgerouter import EdgeRouter, edge_response, edge_router
from .fixtures.rawserver import HOST, raw_server, respond_with

PAUSE_MS = 60_000.0
PATH = "/listing/1"


def _server(number: int, **changes: object) -> ServerFacts:
    """Return what is known of an idle server."""
    usual = ServerFacts(
        server=backend(number),
        is_candidate=True,
        may_get_requests=True,
        is_evacuated=False,
        return_share=1.0,
        pause_ms=0.0,
        is_ejected=False,
        is_unresponsive=False,
        has_capacity=True,
        share=None,
        in_flight=0,
        window=4.0,
        load=0.0,
        load_age_ms=None,
        slowdown=1.0,
        limit_per_s=None,
        is_cold=False,
        is_limit_open=True,
        limit_wait_ms=0.0,
    )
    return msgspec.structs.replace(usual, **changes)


def _service(*servers: ServerFacts, **changes: object) -> ServiceFacts:
    usual = ServiceFacts(
        share=ServiceShare(SERVICE, 1),
        key=None,
        key_range=None,
        is_view_usable=True,
        servers=servers,
        preview=Preview(None, "", 0, 0.0, 200.0),
    )
    return msgspec.structs.replace(usual, **changes)


def _outcome(facts: ServiceFacts) -> tuple[str, str]:
    decision = explain_service(facts)
    return decision.outcome, decision.reason


def test_a_decision_names_what_keeps_a_request_waiting() -> None:
    """Guards against an explanation that names another reason than the right one."""
    chosen = Preview(backend(1).server, "", 0, 0.0, 200.0)
    owned = KeyRange(0, 65535, backend(1).server, 0, 1)
    moving = msgspec.structs.replace(owned, next_owner=backend(2).server)
    busy = _server(1, has_capacity=False)
    gone = _server(1, is_candidate=False, may_get_requests=False)
    cases = {
        ("sent", "lowest cost"): _service(_server(1), preview=chosen),
        ("sent", "owner of the key"): _service(
            _server(1), preview=chosen, key=7, key_range=owned
        ),
        ("queued", "3 requests were there before"): _service(
            _server(1), preview=msgspec.structs.replace(chosen, queued=3)
        ),
        ("refused", "overload"): _service(
            busy, preview=Preview(None, "overload", 9, 900.0, 200.0)
        ),
        ("queued", "the view of the servers is too old"): _service(
            gone, is_view_usable=False
        ),
        ("queued", "the key has no owner yet"): _service(_server(1), key=7),
        ("queued", "the key moves to server-2"): _service(
            _server(1), key=7, key_range=moving
        ),
        ("queued", "the owner of the key gets no requests"): _service(
            gone, key=7, key_range=owned
        ),
        ("queued", "all servers that may run it are at capacity or held back"): (
            _service(busy)
        ),
        ("queued", "no server of the service is registered"): _service(),
        ("queued", "no server of the service may get requests"): _service(gone),
    }
    for expected, facts in cases.items():
        assert _outcome(facts) == expected


def test_each_server_has_the_reasons_against_it() -> None:
    """Guards against a server that is left out without a reason."""
    draining = msgspec.structs.replace(backend(1), state=ServerState.DRAINING)
    cases = {
        "draining": _server(1, server=draining, is_candidate=False),
        "evacuated": _server(1, is_evacuated=True, is_candidate=False),
        "returning, 10% of the servers in use": _server(1, return_share=0.1),
        "not registered, or the view is too old": _server(1, is_candidate=False),
        "wants none for 300 ms": _server(1, pause_ms=300.0, has_capacity=False),
        "at capacity": _server(1, has_capacity=False),
        "ejected after failures": _server(1, is_ejected=True),
        "unresponsive": _server(1, is_unresponsive=True),
        "share of other routers": _server(1, share=0.0),
        "stated limit, free in 40 ms": _server(
            1, is_limit_open=False, limit_wait_ms=40.0
        ),
        "rate of a cold server, free at an unknown time": _server(
            1, is_cold=True, is_limit_open=False, limit_wait_ms=None
        ),
    }
    preview = Preview(backend(2).server, "", 0, 0.0, 200.0)
    for reason, facts in cases.items():
        decision = explain_service(_service(facts, _server(2), preview=preview))
        against, chosen = decision.servers
        assert against.reasons == [reason]
        assert chosen.is_chosen and not chosen.reasons
    owned = KeyRange(0, 65535, backend(2).server, 0, 1)
    keyed = _service(_server(1), _server(2), preview=preview, key=7, key_range=owned)
    assert explain_service(keyed).servers[0].reasons == ["not the owner of the key"]


def _source(router: EdgeRouter) -> ExplanationSource:
    return ExplanationSource(
        InstanceId("router-1"),
        router.catalog,
        router.ownership,
        router.dispatcher,
        router.forwarder,
        monotonic_ms,
    )


def _decision(router: EdgeRouter, key: int | None = None) -> EdgeDecision:
    decisions = _source(router).explain("app.example", PATH, key).decisions
    assert len(decisions) == 1
    return decisions[0]


@async_test
async def test_a_request_goes_where_the_explanation_says_and_that_sends_nothing() -> (
    None
):
    """Guards against an explanation that differs from what the router does."""
    respond = respond_with(edge_response)
    async with raw_server(respond) as one, raw_server(respond) as two:
        servers = [one, two]
        for chosen in (0, 1):
            async with edge_router() as router:
                entries = [
                    router.register_server(server, number)
                    for number, server in enumerate(servers)
                ]
                router.dispatcher.loads.pause(entries[1 - chosen], PAUSE_MS)
                before = [len(server.received) for server in servers]
                decision = _decision(router)
                assert (decision.outcome, decision.server) == (
                    "sent",
                    entries[chosen].server,
                )
                assert [len(server.received) for server in servers] == before
                assert router.dispatcher.loads.stats(entries[chosen]).in_flight == 0
                assert (await router.send(router.request())).status == 200
                before[chosen] += 1
                assert [len(server.received) for server in servers] == before
        async with edge_router(is_keyed=True) as router:
            owner = router.register_server(one)
            assert _decision(router, 7).reason == "the key has no owner yet"
            router.assign_all_keys(owner)
            assert _decision(router, 7).server == owner.server
            router.evacuate(owner.data_centre)
            assert _decision(router, 7).servers[0].is_candidate
            router.dispatcher.loads.pause(owner, PAUSE_MS)
            assert _decision(router, 7).outcome == "refused"
            assert (await router.send(router.request(key=7))).status == 503


@async_test
async def test_a_preview_reserves_no_time_at_a_limited_server() -> None:
    """Guards against an explanation that takes the place of a request."""
    async with edge_router() as router:
        entry = router.register_address(1)
        router.dispatcher.limits.record(entry, 1.0)
        decision = _decision(router)
        await asyncio.sleep(0.05)
        assert decision.outcome == "queued"
        assert router.dispatcher.limits.reserved(entry) == 0
        assert decision.servers[0].limit_per_s == 1.0


@async_test
async def test_the_example_of_the_operators_page_is_what_a_router_prints() -> None:
    """Guards against a page that shows an output which no router has."""
    async with edge_router() as router:
        entries = [backend(n, data_centre=DataCentre("aaabb"[n])) for n in range(5)]
        for entry in entries:
            router.register(entry)
        router.evacuate("b")
        router.dispatcher.loads.pause(entries[1], 800.0)
        router.dispatcher.limits.record(entries[2], 2.5)
        explanation = _source(router).explain("app.example", PATH, None)
    # Times pass between the steps.
    text = re.sub(
        r"none for \d+ ms",
        "none for 800 ms",
        format_edge_explanation(
            msgspec.structs.replace(explanation, routes_age_ms=0.0)
        ),
    )
    page = (Path(__file__).parent.parent / "docs" / "OPERATIONS.md").read_text()
    assert textwrap.indent(text, "    ") in page, text


def _no_status() -> EdgeStatus:
    raise AssertionError("the status is not asked for")


def _run_ctl(*arguments: str) -> Result:
    """Run ``mulberryctl edge-explain`` in this process."""
    return CliRunner().invoke(main, ["edge-explain", *arguments])


@async_test
async def test_operators_read_an_explanation_as_text_and_as_json() -> None:
    """Guards against an explanation that ``mulberryctl`` cannot read or show."""
    async with edge_router(is_keyed=True) as router:
        entry: BackendServer = router.register_address(1)
        router.register_address(1, number=1)
        router.assign_all_keys(entry)
        router.evacuate("b")
        monitoring = MonitoringServer(
            Metrics(Tenant("")), dict, _no_status, _source(router).explain
        )
        await monitoring.start(HOST, 0)
        address = ("--address", f"http://{HOST}:{monitoring.port}")

        async def run(*arguments: str) -> Result:
            return await asyncio.to_thread(_run_ctl, *arguments, *address)

        shown = await run("app.example", PATH, "--key", "7")
        assert shown.exit_code == 0, shown.output
        for expected in (
            "route listing",
            "evacuated: b",
            "sent to server-0, owner of the key",
            "key 7 owned by server-0",
            "* server-0 (a)",
            "not the owner of the key",
        ):
            assert expected in shown.output, shown.output
        as_json = await run("app.example", PATH, "--json")
        explanation = msgspec.json.decode(as_json.output, type=EdgeExplanation)
        assert explanation.decisions[0].key is None
        unknown = await run("other.example", PATH)
        assert "none matches" in unknown.output
        assert (await run("", PATH)).exit_code == 2
        assert (await run("app.example", PATH, "--key", "70000")).exit_code == 2
        await monitoring.close()
        older = MonitoringServer(Metrics(Tenant("")), dict, _no_status)
        await older.start(HOST, 0)
        address = ("--address", f"http://{HOST}:{older.port}")
        assert (await run("app.example", PATH)).exit_code == 4
        await older.close()
    assert (await asyncio.to_thread(_run_ctl, "a", "/")).exit_code == 2

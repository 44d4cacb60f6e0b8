"""Status of an edge router and its output by ``mulberryctl edge-status``."""

import asyncio

from click.testing import CliRunner, Result

from bench.virtual_time import run_virtual, virtual_clock
from mulberryctl.main import main
from mulberryrelay_edge.monitoring import MonitoringServer
from mulberryrelay_edge.status import StatusSource
from mulberryrelay_kernel.ids import InstanceId, Tenant
from mulberryrelay_kernel.messages import EdgeStatus
from mulberryrelay_kernel.metrics import Metrics

from .fixtures import async_test
from .fixtures.edgefleet import SERVICE, Fleet, FleetRouter
from .fixtures.rawserver import HOST


def status_of(router: FleetRouter) -> EdgeStatus:
    """Return the current status of a router."""
    source = StatusSource(
        InstanceId(router.name),
        router.catalog,
        router.ownership,
        router.store_sync,
        router.lease,
        router.coordinator,
        router.link,
        virtual_clock,
    )
    return source.snapshot(in_flight=3, waiting=1)


def fleet_status() -> tuple[EdgeStatus, EdgeStatus]:
    """Return the status of the leader and of a follower; a server is unreachable."""
    statuses: list[EdgeStatus] = []

    async def scenario() -> None:
        fleet = Fleet(1)
        await fleet.settle()
        fleet.servers.incarnations[0].is_unreachable = True
        await asyncio.sleep(3.0)
        leader = fleet.leader
        assert leader is not None
        other = next(router for router in fleet.routers if router is not leader)
        statuses.extend((status_of(leader), status_of(other)))
        fleet.stop()

    run_virtual(scenario())
    return statuses[0], statuses[1]


def test_a_status_shows_the_role_ranges_and_unreachable_servers() -> None:
    """Guards against a status that differs from the state of the router."""
    leader, other = fleet_status()
    assert (leader.role, other.role) == ("leading", "linked")
    assert leader.term == other.term == 1
    assert leader.routers == other.routers == 3
    assert leader.unreachable_servers == ["server-0"]
    assert leader.is_store_reachable and leader.routes_version == 1
    assert leader.routes_age_ms > 3000.0
    for status in (leader, other):
        assert [service.service for service in status.services] == [SERVICE]
        ranges = status.services[0].ranges
        assert ranges[0].first == 0 and ranges[-1].last == 65535
    assert all(
        key_range.grant_left_ms is not None for key_range in leader.services[0].ranges
    )
    assert all(
        key_range.grant_left_ms is None for key_range in other.services[0].ranges
    )


def run_ctl(*arguments: str) -> Result:
    """Run ``mulberryctl edge-status`` in this process."""
    return CliRunner().invoke(main, ["edge-status", *arguments])


@async_test
async def test_operators_read_the_status_from_the_address_of_the_metrics() -> None:
    """Guards against a status page that ``mulberryctl`` cannot read or show."""
    status, _ = await asyncio.to_thread(fleet_status)
    server = MonitoringServer(Metrics(Tenant("")), dict, lambda: status)
    await server.start(HOST, 0)
    try:
        url = f"http://{HOST}:{server.port}"
        shown = await asyncio.to_thread(run_ctl, "--address", url)
        assert shown.exit_code == 0, shown.output
        for expected in ("leading", "term 1", "fence", "without grants: server-0"):
            assert expected in shown.output, shown.output
        as_json = await asyncio.to_thread(run_ctl, "--address", url, "--json")
        assert '"role":"leading"' in as_json.output
    finally:
        await server.close()
    unreachable = await asyncio.to_thread(run_ctl, "--address", url)
    assert unreachable.exit_code == 4
    assert (await asyncio.to_thread(run_ctl)).exit_code == 2

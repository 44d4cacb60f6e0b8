"""The speed of servers, summed over all routers by the leader.

The decision code runs without a network, under a load like that of deployment B in
docs/design/hard-load.md.
"""

import asyncio
import random
import statistics
from collections.abc import Iterable
from typing import TypeVar

import msgspec

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge.capacity import (
    ServerCondition,
    capacities,
    combined_condition,
)
from mulberryrelay_edge.keyload import KeySample
from mulberryrelay_edge.messages import (
    BackendServer,
    KeyReport,
    LeaderReply,
    LoadReport,
    RouterReport,
)
from mulberryrelay_edge.serverload import ServerLoads
from mulberryrelay_edge.serverspeed import SHARED_TTL_MS
from mulberryrelay_edge.speedmessages import SpeedChanges, SpeedReport
from mulberryrelay_edge.speedsums import SpeedSums

from .fixtures.edgefleet import backend, followers_of, start_settled_fleet

SEED = 20261206
ROUTERS = 65
SERVERS = 150
REQUESTS_PER_S = 1012
REPORT_PERIOD_S = 0.6
PREFERRED_SERVERS = 12
"""Servers that each router uses."""
ROUTES_MS = {"listing": 60.0, "search": 300.0, "booking": 900.0}
"""Mean latency of each route at a server of usual speed."""
LINK_BYTES_PER_S = 1_250_000
MAX_LINK_SHARE = 0.1
"""Share of the leader's link that the speeds may use, in each direction."""

MessageT = TypeVar("MessageT")


class SpeedFleet:
    """Routers that report to a leader, and servers with given slowdowns."""

    def __init__(self, slowdowns: Iterable[float]) -> None:
        self.now_ms = 0.0
        self.rng = random.Random(SEED)
        self.slowdowns = dict(enumerate(slowdowns))
        self.servers: dict[int, BackendServer] = {n: backend(n) for n in self.slowdowns}
        self.routers = [
            ServerLoads(lambda: self.now_ms, _ignore) for _ in range(ROUTERS)
        ]
        self.leader: SpeedSums | None = SpeedSums(lambda: self.now_ms)
        self.report_bytes = 0
        self.reply_bytes = 0

    def run(self, seconds: float) -> None:
        """Send requests and reports for some time."""
        for _ in range(round(seconds / REPORT_PERIOD_S)):
            for number, loads in enumerate(self.routers):
                self._send_requests(number, loads)
            self.now_ms += 1000 * REPORT_PERIOD_S
            for loads in self.routers:
                self._report(loads)

    def shared(self, router: ServerLoads, number: int) -> float | None:
        """Return the slowdown that a router knows from the leader."""
        server = self.servers[number]
        return router.speeds.slowdown((server.server, server.started_ms))

    def _send_requests(self, number: int, loads: ServerLoads) -> None:
        mean = REQUESTS_PER_S * REPORT_PERIOD_S / ROUTERS
        for _ in range(self.rng.randint(0, round(2 * mean))):
            preferred = number * SERVERS // ROUTERS + self.rng.randrange(
                PREFERRED_SERVERS
            )
            preferred %= SERVERS
            route = self.rng.choice(list(ROUTES_MS))
            mean_ms = ROUTES_MS[route] * self.slowdowns[preferred]
            latency_ms = self.rng.gammavariate(2.0, mean_ms / 2.0)
            report = LoadReport(1, 0, 6)
            loads.record_response(
                self.servers[preferred], route, latency_ms, report, False
            )

    def _report(self, loads: ServerLoads) -> None:
        if self.leader is None:
            loads.speeds.discard_report()
            return
        report = loads.speeds.pop_report()
        self.report_bytes += len(msgspec.msgpack.encode(report))
        self.leader.add_report(_decoded(report, SpeedReport))
        self.leader.publish_due()
        changes = self.leader.changes_since(report.sums_id, report.version)
        self.reply_bytes += len(msgspec.msgpack.encode(changes))
        loads.speeds.apply_changes(
            changes and _decoded(changes, SpeedChanges), self.now_ms
        )

    def restart(self, number: int) -> None:
        """Start a server again, as another incarnation."""
        self.servers[number] = backend(number, started_ms=1)


def _ignore() -> None:
    """Stand in for the callback at free capacity."""


def _decoded(message: MessageT, message_type: type[MessageT]) -> MessageT:
    """Return a message as its receiver decodes it."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=message_type)


def usual_slowdowns() -> list[float]:
    """Return slowdowns of servers, fast ones next to each other."""
    return [0.5 + 1.1 * number / SERVERS for number in range(SERVERS)]


def test_routers_know_the_speed_of_servers_that_they_do_not_use() -> None:
    """Guards against routers that take the servers they prefer for usually fast.

    Each router uses a few servers of similar speed, so it sees no difference itself.
    """
    fleet = SpeedFleet(usual_slowdowns())
    fleet.run(15.0)
    fleet.report_bytes = fleet.reply_bytes = 0
    fleet.run(9.0)
    for router in fleet.routers:
        known = [fleet.shared(router, number) or 0.0 for number in fleet.slowdowns]
        for number, slowdown in fleet.slowdowns.items():
            # The usual latency of a route is that of all responses.
            expected = slowdown / statistics.mean(fleet.slowdowns.values())
            assert 0.6 * expected < known[number] < 1.6 * expected, number
        assert min(known[-20:]) > max(known[:20])
    for used_bytes in (fleet.report_bytes, fleet.reply_bytes):
        assert used_bytes / 9.0 < MAX_LINK_SHARE * LINK_BYTES_PER_S


def test_a_server_that_turns_slow_is_known_to_all_routers_within_seconds() -> None:
    """Guards against sums that remember how fast a server was minutes ago."""
    fleet = SpeedFleet([1.0] * SERVERS)
    fleet.run(30.0)
    fleet.slowdowns[7] = 4.0
    fleet.run(3.0)
    assert all((fleet.shared(router, 7) or 0.0) > 1.5 for router in fleet.routers)
    fleet.slowdowns[7] = 1.0
    fleet.run(15.0)
    assert all((fleet.shared(router, 7) or 9.9) < 1.5 for router in fleet.routers)


def test_a_restarted_server_is_not_judged_by_the_one_before() -> None:
    """Guards against a new incarnation that is avoided because the last one was slow.

    The speed of the last one is forgotten everywhere.
    """
    fleet = SpeedFleet([1.0] * SERVERS)
    fleet.slowdowns[7] = 3.0
    fleet.run(12.0)
    before = fleet.servers[7]
    router = fleet.routers[-1]
    assert (fleet.shared(router, 7) or 0.0) > 2.0
    fleet.restart(7)
    fleet.slowdowns[7] = 1.0
    assert fleet.shared(router, 7) is None
    assert router.slowdown(fleet.servers[7]) == 1.0
    fleet.run(30.0)
    assert 0.6 < (fleet.shared(router, 7) or 0.0) < 1.5
    incarnation = (before.server, before.started_ms)
    assert all(r.speeds.slowdown(incarnation) is None for r in fleet.routers)
    assert fleet.leader is not None
    assert fleet.leader.slowdown(incarnation) is None


def test_without_a_leader_a_router_relies_on_its_own_observations() -> None:
    """Guards against speeds that are used long after the leader stated them.

    The next leader knows nothing of the speeds of the one before.
    """
    fleet = SpeedFleet(usual_slowdowns())
    fleet.run(12.0)
    router = fleet.routers[0]
    fleet.leader = None
    assert fleet.shared(router, 140) is not None
    fleet.now_ms += SHARED_TTL_MS
    assert fleet.shared(router, 140) is None
    slow = fleet.servers[141]
    for _ in range(20):
        router.record_response(slow, "listing", 400.0, None, False)
        router.record_response(fleet.servers[0], "listing", 40.0, None, False)
    assert router.slowdown(slow) > 2 * router.slowdown(fleet.servers[0])
    fleet.slowdowns = dict.fromkeys(fleet.slowdowns, 1.0)
    fleet.leader = SpeedSums(lambda: fleet.now_ms)
    fleet.run(12.0)
    for number in fleet.slowdowns:
        assert 0.6 < (fleet.shared(router, number) or 0.0) < 1.6, number


def test_fresh_observations_of_a_router_outweigh_the_sum() -> None:
    """Guards against a router that waits for the leader to learn what it sees."""
    fleet = SpeedFleet([1.0] * SERVERS)
    fleet.run(12.0)
    router, server = fleet.routers[0], fleet.servers[3]
    for _ in range(20):
        router.record_response(server, "listing", 600.0, None, False)
    assert router.slowdown(server) > 3.0
    fleet.now_ms += 20_000.0
    fleet.run(6.0)
    assert router.slowdown(server) < 2.0, "old observations count"


def test_the_plans_for_keys_use_the_speeds_of_all_routers() -> None:
    """Guards against key owners that are slow for all routers but the leader."""
    own = ServerCondition(1.0, 7.0)
    assert combined_condition(own, 2.0, 5.0) == ServerCondition(2.0, 7.0)
    assert combined_condition(ServerCondition(), None, 5.0) == ServerCondition(1.0, 5.0)
    sample = KeySample([1, 2, 3], 0.5, 100.0)
    servers = [
        (backend(number), combined_condition(ServerCondition(), slowdown, None))
        for number, slowdown in enumerate((1.0, 2.0))
    ]
    usual, slow = capacities(servers, sample)
    assert usual.slots == 2 * slow.slots


def test_speeds_of_a_fleet_reach_all_routers() -> None:
    """Guards against reports and replies that leave out the speeds.

    A change of a speed must not make the leader reply earlier.
    """

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        slow, usual = backend(1), backend(2)
        incarnation = (slow.server, slow.started_ms)
        for _ in range(60):
            for router in followers_of(fleet):
                for server, ratio in ((slow, 3.0), (usual, 1.0)):
                    router.speeds.record(
                        (server.server, server.started_ms), "listing", 50.0, ratio
                    )
            await asyncio.sleep(0.1)
        assert fleet.leader is not None
        sums = fleet.leader.report_handler.speeds
        assert (sums.slowdown(incarnation) or 0.0) > 2.0
        for router in fleet.routers:
            assert (router.speeds.slowdown(incarnation) or 0.0) > 2.0
        report = RouterReport(
            "z",
            KeyReport({}, {}),
            dict(fleet.leader.ownership.range_versions),
            fleet.leader.store_sync.table_versions,
            True,
            500.0,
        )
        started_ms = virtual_clock()
        reply = await fleet.leader.report_handler.handle_report(report)
        assert reply is not None and reply.speeds is not None
        assert reply.speeds.is_complete and reply.speeds.servers
        assert virtual_clock() - started_ms >= 500.0
        fleet.stop()

    run_virtual(scenario())


def test_a_fleet_that_loses_its_leader_finds_the_speeds_again() -> None:
    """Guards against speeds of a lost leader, and routers that are left without any.

    One of the followers does not reach the next leader.
    """

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        server = backend(1)
        incarnation = (server.server, server.started_ms)

        async def observe(seconds: float, ratio: float) -> None:
            for _ in range(round(10 * seconds)):
                for router in fleet.routers:
                    router.speeds.record(incarnation, "listing", 50.0, ratio)
                await asyncio.sleep(0.1)

        await observe(6.0, 3.0)
        leader = fleet.leader
        assert leader is not None
        assert (leader.speeds.slowdown(incarnation) or 0.0) > 2.0
        leader.kill()
        fleet.routers.remove(leader)
        cut_off = fleet.routers[0]
        cut_off.is_unreachable = True
        await observe(SHARED_TTL_MS / 1000 + 0.2, 1.0)
        assert all(r.speeds.slowdown(incarnation) is None for r in fleet.routers)
        await observe(8.0, 1.0)
        for router in fleet.routers:
            slowdown = router.speeds.slowdown(incarnation)
            if router is cut_off and router is not fleet.leader:
                assert slowdown is None
            else:
                assert 0.8 < (slowdown or 0.0) < 1.3, router.name
        fleet.stop()

    run_virtual(scenario())


def test_routers_of_the_build_before_exchange_reports_with_this_one() -> None:
    """Guards against a leader and followers that do not understand each other."""

    class EarlierReport(msgspec.Struct, frozen=True):
        boot_id: str

    class EarlierReply(msgspec.Struct, frozen=True):
        routers: int

    earlier = msgspec.msgpack.encode(
        {
            "boot_id": "a",
            "requested": {"keys": {}, "work": {}},
            "range_versions": {},
            "table_versions": {},
            "store_answers": True,
            "wait_ms": 10.0,
        }
    )
    report = msgspec.msgpack.decode(earlier, type=RouterReport)
    assert report.speeds == SpeedReport()
    encoded = msgspec.msgpack.encode(report)
    assert msgspec.msgpack.decode(encoded, type=EarlierReport).boot_id == "a"
    reply = LeaderReply([], [], True, 3, speeds=SpeedChanges("x", 1, True, (), {}))
    encoded = msgspec.msgpack.encode(reply)
    assert msgspec.msgpack.decode(encoded, type=EarlierReply).routers == 3

"""Evacuated data centres get no requests in time, and get them back in steps.

Tests of catalogues and fleets run in virtual time.
"""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from math import inf
from typing import Any
from unittest.mock import patch

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge import catalog, evacuations
from mulberryrelay_edge.capacity import ServerCondition
from mulberryrelay_edge.evacuations import (
    RETURN_FIRST_SHARE,
    RETURN_RAMP_MS,
    Evacuations,
    _position,
)
from mulberryrelay_edge.sharetable import ShareTable
from mulberryrelay_edge.tablestore import TableRead, TableRow
from mulberryrelay_edge.viewage import (
    MAX_READS,
    SEND_MARGIN_MS,
    VersionRead,
    WriteTimes,
)
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import DataCentre, InstanceId, ServerId
from mulberryrelay_platform.entries import decode_evacuation
from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test
from .fixtures.edgefleet import (
    EVACUATION_MS,
    EVACUATION_PREFIX,
    ROUTES_TABLE,
    SERVERS_TABLE,
    SERVICE,
    Fleet,
    FleetRouter,
    backend,
    evacuation_source,
    followers_of,
    route_table,
)
from .fixtures.edgerouter import edge_response, edge_router
from .fixtures.followingcatalog import FollowingCatalog
from .fixtures.rawserver import HOST, RawRequest, raw_server, respond_with

SOON_S = 0.1
"""Time in which a row is known to a router whose poll is waiting."""
BOUND_S = (EVACUATION_MS - SEND_MARGIN_MS) / 1000
"""Time after the write from which on no request is written."""
STEP_S = 0.02
"""Period in which routers are asked whether they would send a request."""
MOMENTS_S = (0.0, 0.3, 0.7, 1.2, 5.0)
"""Times for which a trouble has lasted when the row is written."""
STALL_MS = 100.0
"""Time before the bound at which a request arrives, and half of the time it waits."""
STALL_STEPS = range(12)
"""Steps of the event loop before it stands still; a request is written in one."""
ROUNDING_MS = 1.0
"""Difference of the time left that a request states to the time that is left."""
TROUBLE_S = 2.0
"""Duration of a trouble that ends by itself."""
POLL_TRAVEL_S = 0.8
"""Time that a reply travels; the store is given up after 1 s."""
WATCHED_S = 10.0
ROUTERS = 5

Trouble = Callable[[Fleet, FleetRouter], None]
"""Starts a trouble of the leader, or of the followers."""


def _run(scenario: Callable[[FollowingCatalog], Coroutine[Any, Any, None]]) -> None:
    """Run a scenario with two servers in data centre a, and two in b."""

    async def run() -> None:
        following = FollowingCatalog()
        following.put_routes(1)
        for number in range(4):
            following.put_server(number, data_centre=DataCentre("aabb"[number]))
        await asyncio.sleep(1.0)
        assert _used(following) == "aabb"
        await scenario(following)
        following.stop()

    run_virtual(run())


def _used(following: FollowingCatalog) -> str:
    """Return the data centres of the servers that requests without a key may use."""
    return "".join(s.data_centre for s in following.catalog.serving(SERVICE))


def _sendable(following: FollowingCatalog) -> str:
    """Return the data centres of the servers to which a chosen request is written."""
    servers = following.catalog.servers(SERVICE)
    return "".join(s.data_centre for s in servers if following.catalog.may_send_to(s))


def test_requests_leave_at_once_and_owners_keep_theirs_until_the_bound() -> None:
    """Guards against late requests, and against keys without an owner before moves."""

    async def scenario(following: FollowingCatalog) -> None:
        following.evacuate("a")
        await asyncio.sleep(SOON_S)
        assert (_used(following), _sendable(following)) == ("bb", "aabb")
        assert len(following.catalog.assignable(SERVICE)) == 2
        assert following.catalog.evacuated_data_centres == 1
        await asyncio.sleep(BOUND_S - SOON_S - 2.5)
        assert _sendable(following) == "aabb"
        await asyncio.sleep(2.5)
        assert _sendable(following) == "bb"
        following.evacuate("a", False)
        await asyncio.sleep(SOON_S)
        assert _sendable(following) == "aabb"
        assert len(following.catalog.assignable(SERVICE)) == 4

    _run(scenario)


def test_an_evacuation_of_all_data_centres_holds() -> None:
    """Guards against requests to evacuated servers because there are no others."""

    async def scenario(following: FollowingCatalog) -> None:
        following.evacuate("a")
        following.evacuate("b")
        await asyncio.sleep(SOON_S)
        assert (_used(following), _sendable(following)) == ("aabb", "aabb")
        assert following.catalog.assignable(SERVICE) == []
        await asyncio.sleep(BOUND_S)
        assert (_used(following), _sendable(following)) == ("", "")

    _run(scenario)


def test_an_evacuation_of_an_unknown_data_centre_is_logged_only() -> None:
    """Guards against a misspelt name that moves load, or passes unnoticed."""

    async def scenario(following: FollowingCatalog) -> None:
        with patch.object(catalog, "log_event") as log:
            following.evacuate("c")
            await asyncio.sleep(BOUND_S + SOON_S)
        log.assert_called_once_with("evacuation_unknown", data_centre="c")
        assert (_used(following), _sendable(following)) == ("aabb", "aabb")
        assert following.catalog.evacuated_data_centres == 0

    _run(scenario)


def test_a_row_that_is_gone_in_a_complete_read_ends_its_evacuation() -> None:
    """Guards against an evacuation for good if its deletion is not read as such."""

    async def scenario(following: FollowingCatalog) -> None:
        following.evacuate("a")
        await asyncio.sleep(SOON_S)
        following.store.is_partitioned = True
        following.evacuate("a", False)
        following.evacuate("b")
        following.tables.compact()
        await asyncio.sleep(30.0)
        # The last known state applies while the store is away.
        assert _sendable(following) == "bb"
        following.store.is_partitioned = False
        await asyncio.sleep(3.0)
        assert (set(_used(following)), _sendable(following)) == ({"a"}, "aa")

    _run(scenario)


def test_a_router_that_starts_later_sends_nothing_to_an_evacuated_server() -> None:
    """Guards against a new bound that starts with the router."""

    async def scenario() -> None:
        following = FollowingCatalog()
        for number in range(4):
            following.put_server(number, data_centre=DataCentre("aabb"[number]))
        following.evacuate("a")
        await asyncio.sleep(SOON_S)
        assert (_used(following), _sendable(following)) == ("bb", "bb")
        following.stop()

    run_virtual(scenario())


def test_old_rows_and_repeated_writes_do_not_extend_an_evacuation() -> None:
    """Guards against rows that come late, or ahead of others of their table."""

    async def scenario(following: FollowingCatalog) -> None:
        following.evacuate("a")
        await asyncio.sleep(SOON_S)
        written = following.tables.version
        for _ in range(round(BOUND_S)):
            following.evacuate("a")
            await asyncio.sleep(1.0)
        assert _sendable(following) == "bb"
        following.evacuate("a", False)
        await asyncio.sleep(SOON_S)
        known = following.catalog.evacuations
        row = TableRow(EVACUATION_PREFIX + "a", b"{}", written)
        assert not known.apply(TableRead([row], written, 0.0), is_complete=False)
        early = TableRow(EVACUATION_PREFIX + "b", b"{}", written + 100)
        assert known.apply(TableRead([early], written + 100, 0.0), is_complete=False)
        assert not known.apply(TableRead([], written + 99, 0.0), is_complete=True)
        assert known.data_centres == ("b",)

    _run(scenario)


def test_the_earliest_time_of_a_write_follows_from_its_version() -> None:
    """Guards against a bound that counts from a time after the write."""
    times = WriteTimes()
    assert times.earliest_ms(9) == -inf
    # Replies come in another order than their calls started; some are older.
    for version, started_ms in ((5, 10.0), (7, 30.0), (6, 20.0), (7, 40.0), (9, 35.0)):
        times.record_read(version, started_ms, started_ms + 15.0)
    earliest_ms = {version: times.earliest_ms(version) for version in (5, 6, 7, 8, 10)}
    assert earliest_ms == {5: -inf, 6: 10.0, 7: 10.0, 8: 40.0, 10: 40.0}
    assert times.last_read == VersionRead(7, 40.0)
    for version in range(10, 10 + 2 * MAX_READS):
        times.record_read(version, 100.0 * version, 100.0 * version)
    assert times.earliest_ms(10) == -inf
    # A store whose tables had versions of their own would state nothing.
    times.record_read(8, 1e6, 1e6)
    assert times.last_read is None
    assert times.earliest_ms(10**6) == -inf


def test_load_returns_in_steps() -> None:
    """Guards against routers that all use a returning server at the same moment."""
    instances = [InstanceId(f"router-{number}") for number in range(200)]

    def share_below(limit: float) -> float:
        server = ServerId("server-1")
        return sum(_position(name, server) < limit for name in instances) / 200

    for limit in (RETURN_FIRST_SHARE, 0.5, 0.9):
        assert abs(share_below(limit) - limit) < 0.1, limit

    async def scenario(following: FollowingCatalog) -> None:
        known = following.catalog.evacuations
        data_centre = DataCentre("a")
        following.evacuate("a")
        await asyncio.sleep(SOON_S)
        following.evacuate("a", False)
        await asyncio.sleep(SOON_S)
        shares = []
        with patch.object(evacuations, "_position", lambda *names: 0.5):
            assert _used(following) == "bb"
            while known.return_share(data_centre) < 1.0:
                shares.append(known.return_share(data_centre))
                is_used = _used(following) == "aabb"
                assert is_used == (shares[-1] > 0.5), shares[-1]
                await asyncio.sleep(STEP_S)
        assert shares == sorted(shares)
        assert len(shares) * STEP_S >= 0.9 * RETURN_RAMP_MS / 1000 - SOON_S
        assert shares[0] < 2 * RETURN_FIRST_SHARE
        following.evacuate("b")
        await asyncio.sleep(SOON_S)
        following.evacuate("b", False)
        following.evacuate("a")
        await asyncio.sleep(SOON_S)
        # Without servers elsewhere, all returning ones are used.
        with patch.object(evacuations, "_position", lambda *names: 1.0):
            assert _used(following) == "bb"

    _run(scenario)


def test_a_leader_that_divides_servers_lets_their_load_rise() -> None:
    """Guards against routers that get returning servers as their only ones at once.

    Each router then uses its servers as the leader divides them.
    """
    now_ms = 0.0
    shares = {DataCentre("b"): RETURN_FIRST_SHARE}
    servers = [backend(n, data_centre=DataCentre("aabb"[n])) for n in range(4)]
    table = ShareTable(
        lambda: route_table(is_keyed=False),
        lambda service: servers,
        lambda service: 100.0,
        lambda server: ServerCondition(),
        lambda: now_ms,
        lambda data_centre: shares.get(data_centre, 1.0),
    )
    routers = [f"{number:02}" for number in range(65)]
    loads = []
    for return_share in (RETURN_FIRST_SHARE, 0.5, 1.0):
        shares[DataCentre("b")] = return_share
        now_ms += 1000.0
        for boot_id in routers:
            table.record(boot_id, DataCentre("c"), {SERVICE: 1.0})
        load = dict.fromkeys((server.server for server in servers), 0.0)
        for boot_id in routers:
            own = table.shares_of(boot_id)[SERVICE]
            for name, share in own.items():
                load[name] += share / sum(own.values()) / len(routers)
        loads.append(load[servers[2].server] + load[servers[3].server])
    assert loads[0] < 0.2 < loads[1] < 0.45 < loads[2], loads

    known = Evacuations(
        evacuation_source(),
        0.0,
        InstanceId("r"),
        WriteTimes(),
        lambda: now_ms,
        lambda service: True,
    )
    row = TableRow(EVACUATION_PREFIX + "b", b"{}", 1)
    known.apply(TableRead([row], 1, 0.0), False)
    assert len(known.usable(servers)) == 2
    known.apply(TableRead([TableRow(row.key, None, 2)], 2, 0.0), False)
    assert known.usable(servers) == servers
    assert known.return_share(DataCentre("b")) == RETURN_FIRST_SHARE


def test_rows_of_evacuations_are_told_from_other_rows() -> None:
    """Guards against rows of later builds that are taken for evacuations."""
    rows = {
        "evacuate/accra": "accra",
        "evacuate/": None,
        "evacuate": None,
        "config": None,
    }
    for key, expected in rows.items():
        for value in (b"{}", b"", None):
            assert decode_evacuation(TableRow(key, value, 1)) == expected, key


class _LateClock:
    """The monotonic clock plus the time for which the event loop stood still."""

    def __init__(self) -> None:
        self.stall_ms = 0.0

    def __call__(self) -> float:
        return monotonic_ms() + self.stall_ms


@async_test
async def test_the_bound_is_checked_again_when_a_request_is_written() -> None:
    """Guards against a request that waits between the choice of a server and its write.

    The event loop stands still at each step from the arrival of a request on, and the
    bound passes meanwhile.
    """

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(edge_response(request))

    written = 0
    for is_keyed, steps in itertools.product((True, False), STALL_STEPS):
        clock = _LateClock()
        async with (
            raw_server(respond) as server,
            edge_router(is_keyed, clock=clock) as router,
        ):
            owner = router.register_server(server)
            router.assign_all_keys(owner)
            router.evacuate(owner.data_centre)
            bound_ms = clock() + BOUND_S * 1000
            clock.stall_ms = BOUND_S * 1000 - STALL_MS
            request = router.request(
                key=0 if is_keyed else None, timeout_ms=4 * STALL_MS
            )
            sending = asyncio.ensure_future(router.send(request))
            for _ in range(steps):
                await asyncio.sleep(0)
            clock.stall_ms += 2 * STALL_MS
            response = await sending
            assert response.status == (200 if server.received else 503)
            for received in server.received:
                # A request states the time left until its deadline when it is written.
                left_ms = int(received.headers[HEADERS.deadline_ms.lower()])
                late_ms = request.deadline_ms - left_ms - bound_ms
                assert late_ms <= ROUNDING_MS, (is_keyed, steps, late_ms)
            written += len(server.received)
    assert 0 < written < 2 * len(STALL_STEPS), written


@async_test
async def test_load_moves_to_other_servers_and_comes_back() -> None:
    """Guards against requests that fail, or go there, while a data centre is evacuated.

    Callers send as much all the while as the server elsewhere can serve alone.
    """
    respond = respond_with(edge_response, delay_s=0.01)
    statuses: list[int] = []
    async with (
        raw_server(respond) as near,
        raw_server(respond) as far,
        edge_router() as router,
    ):
        near_entry = router.register_server(near)
        router.register(
            backend(1, host=HOST, port=far.port, data_centre=DataCentre("b"))
        )

        async def play(for_s: float) -> tuple[int, int]:
            """Send requests for some time; return how many came to each server."""
            before = len(near.received), len(far.received)
            calls = []
            for _ in range(round(for_s / STEP_S)):
                calls += [
                    asyncio.ensure_future(router.send(router.request()))
                    for _ in range(2)
                ]
                await asyncio.sleep(STEP_S)
            statuses.extend(result.status for result in await asyncio.gather(*calls))
            return len(near.received) - before[0], len(far.received) - before[1]

        router.dispatcher.loads.pause(near_entry, 200.0)
        assert (await play(0.2))[1] > 0
        router.evacuate("b")
        in_evacuation = await play(1.0)
        assert in_evacuation == (100, 0), in_evacuation
        router.end_evacuation("b")
        router.dispatcher.loads.pause(near_entry, RETURN_RAMP_MS)
        with patch.object(evacuations, "_position", lambda *names: 0.0):
            assert (await play(0.3))[1] > 0
    assert set(statuses) == {200}, statuses


async def _late_senders(fleet: Fleet) -> dict[str, float]:
    """Return the routers that would send to a data centre evacuated just now.

    Each has the time after the write, in seconds, at which it last would.
    """
    written_ms = virtual_clock()
    last_s: dict[str, float] = {}
    await asyncio.sleep(BOUND_S + STEP_S)
    while virtual_clock() < written_ms + WATCHED_S * 1000:
        for router in fleet.routers:
            for server in router.catalog.servers(SERVICE):
                if server.data_centre == "b" and router.catalog.may_send_to(server):
                    role = "leader" if router is fleet.leader else "follower"
                    after_s = (virtual_clock() - written_ms) / 1000
                    last_s[f"{role} {router.name}"] = round(after_s, 2)
        await asyncio.sleep(STEP_S)
    return last_s


async def _play(trouble: Trouble) -> None:
    """Evacuate at several moments of a trouble; fail if requests are late."""
    errors = []
    for moment_s in MOMENTS_S:
        fleet = Fleet(1, ROUTERS, 2)
        for number in (2, 3):
            fleet.start_server(backend(number, data_centre=DataCentre("b")))
        await fleet.settle()
        await asyncio.sleep(1.0)
        leader = fleet.leader
        assert leader is not None
        trouble(fleet, leader)
        await asyncio.sleep(moment_s)
        fleet.evacuate("b")
        late = await _late_senders(fleet)
        if late:
            errors.append(f"{trouble.__name__} for {moment_s:.1f} s: {late}")
        fleet.stop()
    assert not errors, "\n".join(errors)


def _do_nothing(fleet: Fleet, leader: FleetRouter) -> None:
    pass


def _lose_all_polls(fleet: Fleet, leader: FleetRouter) -> None:
    leader.store.lost_polls.add(ROUTES_TABLE)


def _lose_polls(fleet: Fleet, leader: FleetRouter) -> None:
    _lose_all_polls(fleet, leader)
    loop = asyncio.get_running_loop()
    loop.call_later(TROUBLE_S, leader.store.lost_polls.clear)


def _delay_polls(fleet: Fleet, leader: FleetRouter) -> None:
    leader.store.poll_travel_s[ROUTES_TABLE] = POLL_TRAVEL_S


def _fail_reads(fleet: Fleet, leader: FleetRouter) -> None:
    leader.store.failing_reads.add(ROUTES_TABLE)


def _fail_all_reads(fleet: Fleet, leader: FleetRouter) -> None:
    leader.store.failing_reads.update((ROUTES_TABLE, SERVERS_TABLE))


def _hold_replies(fleet: Fleet, leader: FleetRouter) -> None:
    until_s = asyncio.get_running_loop().time() + TROUBLE_S
    for router in followers_of(fleet):
        router.replies_held_until_s = until_s


def _lose_polls_and_hold_replies(fleet: Fleet, leader: FleetRouter) -> None:
    _lose_polls(fleet, leader)
    _hold_replies(fleet, leader)


def _kill_leader(fleet: Fleet, leader: FleetRouter) -> None:
    leader.kill()
    fleet.routers.remove(leader)


def test_no_router_that_reaches_the_store_sends_after_the_bound() -> None:
    """Guards against routers that learn of an evacuation late from their leader.

    A leader whose reads of the routes fail does not reach the store itself.
    """
    for trouble in (
        _do_nothing,
        _lose_polls,
        _delay_polls,
        _hold_replies,
        _lose_polls_and_hold_replies,
        _kill_leader,
    ):
        run_virtual(_play(trouble))


def test_followers_of_a_leader_that_cannot_read_the_routes_send_nothing_late() -> None:
    """Guards against followers that rely on a leader which is not current."""

    async def scenario(trouble: Trouble) -> None:
        fleet = Fleet(1, ROUTERS, 2)
        for number in (2, 3):
            fleet.start_server(backend(number, data_centre=DataCentre("b")))
        await fleet.settle()
        await asyncio.sleep(1.0)
        leader = fleet.leader
        assert leader is not None
        trouble(fleet, leader)
        await asyncio.sleep(0.5)
        fleet.evacuate("b")
        late = await _late_senders(fleet)
        assert not [name for name in late if not name.endswith(leader.name)], late
        fleet.stop()

    for trouble in (_lose_all_polls, _fail_reads, _fail_all_reads):
        run_virtual(scenario(trouble))

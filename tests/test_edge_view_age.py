"""A draining owner gets no request that a router sends because its view is old.

The time counts from the store's acknowledgement of the report, however late a router
learns of it. Tests of whole fleets run in virtual time.
"""

import asyncio
import itertools
from collections.abc import Callable, Sequence

import msgspec

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge.messages import BackendServer
from mulberryrelay_edge.viewage import SEND_MARGIN_MS
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.states import ServerState
from mulberryrelay_platform.names import HEADERS

from .fixtures import async_test, wait_until
from .fixtures.edgefleet import (
    DRAIN_MS,
    SERVERS_TABLE,
    SERVICE,
    Fleet,
    FleetRouter,
    backend,
    followers_of,
)
from .fixtures.edgerouter import edge_response, edge_router
from .fixtures.rawserver import RawRequest, raw_server

KEY = 0
"""Key whose owner drains."""
GRACE_S = (DRAIN_MS - SEND_MARGIN_MS) / 1000
"""Time after the acknowledgement for which a draining owner may get requests."""
STEP_S = 0.02
"""Period in which the routers are asked whether they would send a request."""
MOMENTS_S = (0.0, 0.3, 0.7, 1.2, 5.0)
"""Times for which a trouble has lasted when an owner reports that it drains."""
READ_MOMENTS_S = tuple(0.5 + 0.1 * step for step in range(10))
"""Times after a report began to hang, from before the read that follows until after."""
OUTAGE_MOMENTS_S = (0.0, 0.3, 0.6, 0.9)
"""Times after the start of a fleet at which an outage of the store begins."""
OUTAGE_S = 10.0
"""Duration of an outage; keys are granted for longer without the store."""
QUIET_S = 30.0
"""Time without changes of the servers; it is longer than several polls."""
ROUTERS = 5
SERVER_COUNTS = (1, 4)
"""With a single server the keys stay, as there is no other owner for them."""

CHOSEN_BEFORE_MS = 50.0
"""Time before the end of the grace at which a request is sent to its owner."""
STALL_MS = 300.0
"""Time for which a router stands still between the choice of a server and the write."""
STALL_STEPS = range(12)
"""Steps of the event loop before it stands still; a request is written in one."""
REQUEST_TIMEOUT_MS = 700.0
ROUNDING_MS = 1.0
"""Difference of the time left that a request states to the time that is left."""

Trouble = Callable[[Fleet, FleetRouter], None]
"""Starts a trouble of the leader, or of the followers."""


def owner_in_use(router: FleetRouter, key: int) -> BackendServer | None:
    """Return the server to which a router would send a request for a key now."""
    key_range = router.ownership.find(SERVICE, key)
    if key_range is None or key_range.is_moving:
        return None
    return router.catalog.serving_owner(key_range)


async def _start_fleet(servers: int) -> Fleet:
    """Return a fleet with all keys granted and its followers connected."""
    fleet = Fleet(1, ROUTERS, servers)
    await fleet.settle()
    await asyncio.sleep(1.0)
    assert all(owner_in_use(router, KEY) is not None for router in fleet.routers)
    return fleet


def _drain_owner(fleet: Fleet) -> BackendServer:
    """Let the owner of the key report that it drains; return its entry."""
    key_range = fleet.routers[0].ownership.find(SERVICE, KEY)
    assert key_range is not None
    owner = fleet.routers[0].catalog.server(key_range.owner)
    assert owner is not None
    draining = msgspec.structs.replace(owner, state=ServerState.DRAINING)
    fleet.register(draining)
    return draining


async def _late_senders(
    fleet: Fleet, draining: BackendServer, watched_s: float
) -> dict[str, float]:
    """Return the routers that would send to a server whose report is just stored.

    Each has the time after the report, in seconds, at which it last would.
    """
    stored_ms = virtual_clock()
    last_s: dict[str, float] = {}
    await asyncio.sleep(GRACE_S + STEP_S)
    while virtual_clock() < stored_ms + watched_s * 1000:
        for router in fleet.routers:
            owner = owner_in_use(router, KEY)
            if owner is None or owner.server != draining.server:
                continue
            role = "leader" if router is fleet.leader else "follower"
            after_s = (virtual_clock() - stored_ms) / 1000
            last_s[f"{role} {router.name}"] = round(after_s, 2)
        await asyncio.sleep(STEP_S)
    return last_s


async def _play(
    trouble: Trouble, watched_s: float, moments_s: Sequence[float] = MOMENTS_S
) -> None:
    """Let an owner drain at several moments of a trouble; fail if requests are late."""
    errors = []
    for servers in SERVER_COUNTS:
        for moment_s in moments_s:
            fleet = await _start_fleet(servers)
            leader = fleet.leader
            assert leader is not None
            trouble(fleet, leader)
            await asyncio.sleep(moment_s)
            draining = _drain_owner(fleet)
            late = await _late_senders(fleet, draining, watched_s)
            if late:
                errors.append(f"{servers} servers, {moment_s:.1f} s: {late}")
            fleet.stop()
    assert not errors, "\n".join(errors)


def test_a_lost_poll_of_the_leader_causes_no_late_requests() -> None:
    """Guards against a leader whose poll hangs while its lease is renewed."""

    def lose_polls(fleet: Fleet, leader: FleetRouter) -> None:
        leader.store.lost_polls.add(SERVERS_TABLE)

    run_virtual(_play(lose_polls, watched_s=13.0))


def test_a_slow_poll_of_the_leader_causes_no_late_requests() -> None:
    """Guards against a report whose age is taken for zero when a poll returns it."""

    def delay_polls(fleet: Fleet, leader: FleetRouter) -> None:
        leader.store.poll_travel_s[SERVERS_TABLE] = 1.0

    run_virtual(_play(delay_polls, watched_s=4.0))


def test_a_change_before_the_report_causes_no_late_requests() -> None:
    """Guards against a report that waits for the pause after an earlier change."""

    def delay_polls_after_change(fleet: Fleet, leader: FleetRouter) -> None:
        leader.store.poll_travel_s[SERVERS_TABLE] = 1.0
        fleet.register(backend(9, state=ServerState.DRAINING))

    run_virtual(_play(delay_polls_after_change, watched_s=4.0))


def test_reports_that_hang_cause_no_late_requests() -> None:
    """Guards against followers that wait for a leader although the store answers."""

    def hold_replies(fleet: Fleet, leader: FleetRouter) -> None:
        until_s = asyncio.get_running_loop().time() + 2.0
        for router in followers_of(fleet):
            router.replies_held_until_s = until_s

    run_virtual(_play(hold_replies, watched_s=5.0))


def test_a_report_during_a_slow_read_causes_no_late_requests() -> None:
    """Guards against a read that counts as of its arrival, and the pause after it."""

    def hold_replies_and_reads(fleet: Fleet, leader: FleetRouter) -> None:
        until_s = asyncio.get_running_loop().time() + 2.0
        for router in followers_of(fleet):
            router.replies_held_until_s = until_s
            router.store.read_travel_s[SERVERS_TABLE] = 0.25

    run_virtual(_play(hold_replies_and_reads, 4.0, READ_MOMENTS_S))


def test_a_leader_that_cannot_read_the_servers_causes_no_late_requests() -> None:
    """Guards against followers of a leader that states that it is not current."""

    def fail_reads(fleet: Fleet, leader: FleetRouter) -> None:
        leader.store.failing_reads.add(SERVERS_TABLE)

    run_virtual(_play(fail_reads, watched_s=6.0))


def test_hanging_reports_to_a_leader_with_an_old_view_cause_no_late_requests() -> None:
    """Guards against followers that return to a leader which knows less than they."""

    def hold_replies_of_uninformed(fleet: Fleet, leader: FleetRouter) -> None:
        leader.store.lost_polls.add(SERVERS_TABLE)
        until_s = asyncio.get_running_loop().time() + 2.0
        for router in followers_of(fleet):
            router.replies_held_until_s = until_s

    run_virtual(_play(hold_replies_of_uninformed, watched_s=6.0))


def _cut_off_from_store(fleet: Fleet) -> None:
    for router in fleet.routers:
        router.store.is_partitioned = True


def _refuse_calls(fleet: Fleet) -> None:
    for router in fleet.routers:
        router.store.is_refusing = True


def test_the_last_known_view_is_used_while_the_store_is_away() -> None:
    """Guards against requests that are refused because the view is old in an outage."""

    async def scenario(start_outage: Callable[[Fleet], None]) -> None:
        for moment_s in OUTAGE_MOMENTS_S:
            fleet = await _start_fleet(4)
            await asyncio.sleep(moment_s)
            await _check_owner_is_used(fleet, start_outage, OUTAGE_S)
            fleet.stop()

    for start_outage in (_cut_off_from_store, _refuse_calls):
        run_virtual(scenario(start_outage))


def test_owners_are_used_while_the_servers_do_not_change() -> None:
    """Guards against requests that are refused because there is nothing to learn."""

    async def scenario() -> None:
        fleet = await _start_fleet(4)
        await _check_owner_is_used(fleet, lambda fleet: None, QUIET_S)
        fleet.stop()

    run_virtual(scenario())


async def _check_owner_is_used(
    fleet: Fleet, start_trouble: Callable[[Fleet], None], for_s: float
) -> None:
    """Check that all routers send requests for a key to its owner for some time."""
    owner = owner_in_use(fleet.routers[0], KEY)
    started_ms = virtual_clock()
    start_trouble(fleet)
    while virtual_clock() < started_ms + for_s * 1000:
        for router in fleet.routers:
            after_s = (virtual_clock() - started_ms) / 1000
            assert owner_in_use(router, KEY) == owner, (router.name, after_s)
        await asyncio.sleep(STEP_S)


class ShiftedClock:
    """The monotonic clock plus the time for which the event loop stood still."""

    def __init__(self) -> None:
        self.stall_ms = 0.0

    def __call__(self) -> float:
        return monotonic_ms() + self.stall_ms


async def _respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(edge_response(request))


async def _write_after_stall(
    steps: int, is_connected: bool, is_queued: bool
) -> list[float]:
    """Return how long after the end of its owner's grace a request was written.

    Empty if it was not written. The event loop stands still ``steps`` steps after the
    request came, or after its owner got known, and the grace ends meanwhile.
    """
    clock = ShiftedClock()
    async with raw_server(_respond) as server, edge_router(True, clock=clock) as router:
        owner = router.register_server(server)
        router.assign_all_keys(owner)
        if is_connected:
            first = await router.send(router.request(key=KEY))
            assert first.status == 200
        earlier = len(server.received)
        router.register(msgspec.structs.replace(owner, state=ServerState.DRAINING))
        grace_end_ms = clock() + GRACE_S * 1000
        clock.stall_ms += GRACE_S * 1000 - CHOSEN_BEFORE_MS
        if is_queued:
            router.assign_all_keys(backend(9))
        request = router.request(key=KEY, timeout_ms=REQUEST_TIMEOUT_MS)
        sending = asyncio.ensure_future(router.send(request))
        if is_queued:
            await wait_until(lambda: router.dispatcher.queue_length > 0)
            router.assign_all_keys(owner)
            router.dispatcher.schedule_dispatch()
        for _ in range(steps):
            await asyncio.sleep(0)
        clock.stall_ms += STALL_MS
        response = await sending
        assert response.status in (200, 503), response.status
        name = HEADERS.deadline_ms.lower()
        return [
            request.deadline_ms - int(received.headers[name]) - grace_end_ms
            for received in server.received[earlier:]
        ]


@async_test
async def test_a_request_is_not_written_after_its_owner_has_drained() -> None:
    """Guards against a check of the owner that is made before the connection opens."""
    errors = []
    written = 0
    cases = list(itertools.product((False, True), (False, True), STALL_STEPS))
    for is_connected, is_queued, steps in cases:
        late_ms = await _write_after_stall(steps, is_connected, is_queued)
        written += len(late_ms)
        if any(late > ROUNDING_MS for late in late_ms):
            case = f"connected: {is_connected}, queued: {is_queued}, {steps} steps"
            errors.append(f"{case}: {late_ms}")
    assert not errors, "\n".join(errors)
    assert 0 < written < len(cases), written

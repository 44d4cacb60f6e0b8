"""Requests that crash servers, at the edge router.

Tests with a fleet run in virtual time; the others use real sockets.
"""

import asyncio
from collections.abc import Callable, Iterator, Sequence
from itertools import cycle

import msgspec

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_edge.messages import EdgeRequest
from mulberryrelay_edge.suspectlink import EDGE_POLICY
from mulberryrelay_kernel.ids import BootId, Fingerprint, InstanceId, ServiceName
from mulberryrelay_kernel.peerproto.peer_pb2 import (
    PROBATION_RESULT_SERVER_DIED,
    ServerDeath,
)
from mulberryrelay_kernel.states import ServerState
from mulberryrelay_router.probation import ProbationRun, Probations
from mulberryrelay_router.suspects import Suspects

from .fixtures import async_test
from .fixtures.crashes import (
    ALLOWED_S,
    POISON_PERIOD_S,
    crashing_servers,
    send_beside,
)
from .fixtures.edgefleet import (
    LINK_TIMEOUT_S,
    SERVICE,
    Fleet,
    FleetRouter,
    followers_of,
    start_settled_fleet,
)
from .fixtures.edgerouter import EdgeRouter, edge_response, edge_router
from .fixtures.rawserver import RawRequest, close, raw_server, respond_with

SERVERS = 8
FOR_S = 8.0
PATIENCE_S = 0.1
"""Time after which an impatient caller leaves, or its deadline passes."""
LONG_S = 5.0
"""Time for which a patient caller waits."""
CRASH_AFTER_S = 0.25
"""Time from the start of a poison request until its server crashes."""
IMPATIENT_REQUESTS = 24
IMPATIENT_PERIOD_S = 0.4
POISON_PATH = "/listing/poison"
MAX_LATE_ARRIVALS = 3
"""Arrivals of a poison request allowed later than 3 s after its third crash."""


def _is_poison(request: RawRequest) -> bool:
    return request.path == POISON_PATH and not request.body


def _poison_of(router: EdgeRouter, is_idempotent: bool = True) -> EdgeRequest:
    request = router.request(is_idempotent)
    return msgspec.structs.replace(request, target=POISON_PATH)


@async_test
async def test_a_request_that_crashes_servers_is_sent_to_few_of_them() -> None:
    """Guards against a request that crashes one server after the other without end."""
    for is_idempotent in (True, False):
        async with (
            edge_router() as router,
            crashing_servers([router], SERVERS, _is_poison) as servers,
        ):

            def poison() -> EdgeRequest:
                return _poison_of(router, is_idempotent)  # noqa: B023

            statuses = await send_beside(router, poison, router.request, FOR_S)
        assert servers.late_arrivals() <= MAX_LATE_ARRIVALS, servers.late_arrivals()
        assert set(statuses) == {200}, statuses


@async_test
async def test_requests_that_resemble_a_poison_request_are_served() -> None:
    """Guards against requests refused for another caller's, or another one's, crash."""
    async with (
        edge_router() as router,
        crashing_servers([router], SERVERS, _is_poison) as servers,
    ):
        for _ in range(4):
            await router.send(_poison_of(router))
        crashes = len(servers.arrivals_s)
        assert (await router.send(_poison_of(router))).status == 503
        assert len(servers.arrivals_s) == crashes
        assert crashes == EDGE_POLICY.losses_to_block, crashes
        resembling = [
            msgspec.structs.replace(_poison_of(router), body=b"{}"),
            msgspec.structs.replace(_poison_of(router), target=f"{POISON_PATH}?a=1"),
        ]
        for request in resembling:
            assert (await router.send(request)).status == 200, request
        other_caller = msgspec.structs.replace(
            _poison_of(router), caller_address="192.0.2.7"
        )
        # It reaches a server: that it crashes it too is not known of this caller.
        assert (await router.send(other_caller)).status == 502


@async_test
async def test_connections_that_end_without_a_crash_make_no_suspects() -> None:
    """Guards against requests refused after faults of connections or planned stops."""

    async def leave(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        entry = router.catalog.servers(SERVICE)[0]
        draining = msgspec.structs.replace(entry, state=ServerState.DRAINING)
        router.register(draining)
        server.die()

    for respond in (close, leave):
        async with edge_router() as router:
            starts = range(EDGE_POLICY.losses_to_block + 1)
            for started_ms in starts:
                async with raw_server(respond) as server:
                    router.register_server(server, started_ms=started_ms)
                    await router.send(_poison_of(router, is_idempotent=False))
            async with raw_server(respond_with(edge_response)) as server:
                router.register_server(server, started_ms=len(starts))
                assert (await router.send(_poison_of(router))).status == 200, respond


@async_test
async def test_a_request_whose_caller_leaves_before_the_crash_is_recognised() -> None:
    """Guards against crashes without end by a caller less patient than they take.

    The caller disconnects, or its deadline passes, before the server crashes.
    """
    waits_s = {"leaves": PATIENCE_S, "deadline": LONG_S}
    cases = [(name, idempotent) for name in waits_s for idempotent in (True, False)]
    late = await asyncio.gather(
        *(_late_arrivals(waits_s[name], idempotent) for name, idempotent in cases)
    )
    for case, arrivals in zip(cases, late, strict=True):
        assert arrivals <= MAX_LATE_ARRIVALS, (case, arrivals)


async def _late_arrivals(wait_s: float, is_idempotent: bool) -> int:
    """Send a poison request again and again; return how often it arrived too late."""
    timeout_ms = 1000 * (LONG_S if wait_s < LONG_S else PATIENCE_S)
    async with (
        edge_router() as router,
        crashing_servers([router], SERVERS, _is_poison, CRASH_AFTER_S) as servers,
    ):

        async def send_and_leave() -> None:
            request = router.request(is_idempotent, None, timeout_ms)
            request = msgspec.structs.replace(request, target=POISON_PATH)
            sending = asyncio.create_task(router.send(request))
            await asyncio.wait({sending}, timeout=wait_s)
            sending.cancel()

        async with asyncio.TaskGroup() as group:
            for _ in range(IMPATIENT_REQUESTS):
                group.create_task(send_and_leave())
                await asyncio.sleep(IMPATIENT_PERIOD_S)
        return servers.late_arrivals()


class _PoisonedRouter:
    """A router of a fleet that runs a poison request whenever it comes."""

    def __init__(self, router: FleetRouter, crash: Callable[[], ServerDeath]) -> None:
        self.router = router
        self.started_s = asyncio.get_running_loop().time()
        self._crash = crash
        self._suspects = Suspects(
            router.suspects,
            InstanceId(router.name),
            BootId(router.boot_id),
            EDGE_POLICY,
        )
        self._probations: Probations[str] = Probations(self._suspects, virtual_clock)

    async def receive(self, request: "_PoisonRequest") -> None:
        """Do what the request path does with a request that crashes its servers."""
        for _ in range(2):
            if self._suspects.find(request) is not None:
                await self._probations.run(request, self._run_once)
                return
            death = self._crash()
            await self._suspects.report(
                [self._suspects.build_suspect(request, [death])]
            )

    async def _run_once(
        self, respond_early: Callable[[str], None]
    ) -> ProbationRun[str]:
        result = PROBATION_RESULT_SERVER_DIED
        return ProbationRun("crashed", result, self._crash(), is_final=True)


class _PoisonRequest(msgspec.Struct):
    deadline_ms: float
    service: ServiceName = SERVICE
    body: bytes = b""

    def fingerprint(self) -> Fingerprint:
        return Fingerprint("poison")


class _PoisonedFleet:
    """A fleet that gets a poison request again and again, each time at a router."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.crashes_s: list[tuple[float, float]] = []
        """Time of each crash, and since when the router that caused it was up."""
        self._routers: dict[str, _PoisonedRouter] = {}
        self._numbers: Iterator[int] = iter(range(1_000_000))
        self._calls: set[asyncio.Task[None]] = set()

    async def play(
        self, for_s: float, routers: Sequence[FleetRouter] | None = None
    ) -> None:
        """Send the request to one router after the other."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        for fleet_router in cycle(routers or list(self.fleet.routers)):
            if loop.time() >= until_s:
                return
            router = self._poisoned(fleet_router)
            request = _PoisonRequest(virtual_clock() + 2000.0)
            task = asyncio.create_task(router.receive(request))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            await asyncio.sleep(POISON_PERIOD_S)

    def late_crashes(self) -> int:
        """Return the crashes after the allowed time by routers that are long up."""
        times_s = sorted(crashed_s for crashed_s, _ in self.crashes_s)
        return sum(
            crashed_s > times_s[2] + ALLOWED_S and crashed_s > started_s + ALLOWED_S
            for crashed_s, started_s in self.crashes_s
        )

    def _poisoned(self, router: FleetRouter) -> _PoisonedRouter:
        if router.boot_id not in self._routers:

            def crash() -> ServerDeath:
                now_s = asyncio.get_running_loop().time()
                self.crashes_s.append((now_s, poisoned.started_s))
                return ServerDeath(server=f"server-{next(self._numbers)}", boot_id="1")

            poisoned = _PoisonedRouter(router, crash)
            self._routers[router.boot_id] = poisoned
        return self._routers[router.boot_id]


def test_all_routers_together_send_a_poison_request_to_few_servers() -> None:
    """Guards against a bound for each router, and one that a lost leader resets."""

    async def scenario(kill_leader_s: float) -> None:
        fleet = await start_settled_fleet(routers=9)
        poisoned = _PoisonedFleet(fleet)
        await poisoned.play(kill_leader_s)
        assert fleet.leader is not None
        fleet.restart(fleet.leader)
        await poisoned.play(8.0)
        crashes = len(poisoned.crashes_s)
        for router in followers_of(fleet)[:3]:
            fleet.restart(router)
            await poisoned.play(3.0)
        assert poisoned.late_crashes() <= MAX_LATE_ARRIVALS, poisoned.crashes_s
        # A router that has just started knows no suspects yet.
        unknown = 3 * EDGE_POLICY.losses_to_permit
        assert len(poisoned.crashes_s) <= crashes + unknown, poisoned.crashes_s
        fleet.stop()

    for kill_leader_s in (0.1, 0.3, 0.6, 2.0):
        run_virtual(scenario(kill_leader_s))


def test_a_router_that_is_cut_off_from_servers_makes_no_suspects() -> None:
    """Guards against requests blocked because one router reaches no servers."""

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        poisoned = _PoisonedFleet(fleet)
        fleet.reachable_servers = {f"server-{number}" for number in range(100)}
        await poisoned.play(5.0, followers_of(fleet)[:1])
        assert fleet.leader is not None
        assert not fleet.leader.suspects.blocked
        fleet.stop()

    run_virtual(scenario())


def test_a_report_that_the_leader_takes_late_is_sent_again() -> None:
    """Guards against a loss that is forgotten since nobody waited for its report."""

    async def scenario() -> None:
        fleet = await start_settled_fleet()
        leader = fleet.leader
        assert leader is not None
        poisoned = _PoisonedFleet(fleet)
        leader.is_unreachable = True
        await poisoned.play(POISON_PERIOD_S, followers_of(fleet)[:1])
        await asyncio.sleep(LINK_TIMEOUT_S)
        leader.is_unreachable = False
        await asyncio.sleep(LINK_TIMEOUT_S)
        reported = leader.suspects.changes_since(0).suspects
        assert len(reported) == 1, "two losses of one request"
        fleet.stop()

    run_virtual(scenario())

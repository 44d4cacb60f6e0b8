"""Tests of moves, routing leases and grant commands, including coordinator losses."""

import asyncio

import aiohttp
import msgspec

from mulberryrelay_control.moveexecutor import MoveStep
from mulberryrelay_control.placement import (
    MoveReason,
    PlacementPolicy,
    PlacementState,
    PlannedMove,
    plan_moves,
)
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.hashing import grants_digest, override_unit, range_index
from mulberryrelay_kernel.ids import (
    BootId,
    Epoch,
    InstanceId,
    Key,
    RulesVersion,
    ServerId,
    Term,
    UnitId,
)
from mulberryrelay_kernel.messages import (
    GrantedUnit,
    GrantReply,
    GrantRequest,
    RulesDocument,
    Unit,
)
from mulberryrelay_kernel.peerproto.peer_pb2 import SyncReply
from mulberryrelay_kernel.states import ServerState, UnitState
from mulberryrelay_router.routerrules import RouterRules
from standins.backend import Behaviour
from tests.fixtures.terms import (
    OPTIONS,
    RANGES,
    SERVICE,
    TIMING,
    CoordinatorDeployment,
    FakeRouter,
    coordinator_deployment,
)

DRAINING = Behaviour(state=ServerState.DRAINING)


def test_first_plan_of_a_term_follows_the_rules_in_force() -> None:
    """Guards against a new coordinator that undoes pins before it reads the rules."""

    async def check() -> None:
        async with coordinator_deployment() as running:
            line = f"pin key {SERVICE} k to server s1 # requested by Ama Mensah"
            running.rules = RulesDocument(RulesVersion(1), line)
            pinned: list[bool] = []

            def plan(
                state: PlacementState, policy: PlacementPolicy, now_ms: float
            ) -> list[PlannedMove]:
                pinned.append("k" in state.services[SERVICE].pins)
                return plan_moves(state, policy, now_ms)

            # No ``Sync`` stream delivers the rules to this process.
            running.begin_term("e1", plan=plan, rules=RouterRules(OPTIONS))
            await running.wait_for(_all_owned)
            assert pinned and all(pinned), pinned

    asyncio.run(check())


def test_units_cool_down_after_a_change_of_coordinator() -> None:
    """Guards against churn by a new coordinator, which does not know earlier moves."""

    async def check() -> None:
        async with coordinator_deployment() as running:
            _, lease = running.begin_term("e1")
            await running.wait_for(_all_owned)
            running.stop_lease(lease)
            cooling: list[set[str]] = []

            def plan(
                state: PlacementState, policy: PlacementPolicy, now_ms: float
            ) -> list[PlannedMove]:
                placement = state.services[SERVICE]
                cool_down_ms = policy.services[SERVICE].cool_down_ms
                cooling.append(
                    {
                        unit
                        for unit, last_move_ms in placement.last_move_ms.items()
                        if now_ms - last_move_ms < cool_down_ms
                    }
                )
                return plan_moves(state, policy, now_ms)

            running.begin_term("e2", plan=plan)
            async with asyncio.timeout(5):
                while not cooling:
                    await asyncio.sleep(0.01)
            assert cooling[0] == {f"r{index}" for index in range(RANGES)}

    asyncio.run(check())


def test_move_is_continued_after_loss_of_the_coordinator_at_each_step() -> None:
    """Guards against units that stay in state ``moving``, or that two servers serve,
    after the coordinator was lost during a move."""

    async def check(step: MoveStep) -> None:
        async with coordinator_deployment() as running:
            reached = asyncio.Event()
            armed = asyncio.Event()

            async def at_step(passed: MoveStep) -> None:
                if armed.is_set() and passed is step:
                    reached.set()
                    await asyncio.Event().wait()

            coordinator, lease = running.begin_term("e1", at_step=at_step)
            await running.wait_for(_all_owned)
            running.spawn(FakeRouter(coordinator).run())
            running.spawn(running.record_overlaps())
            before = await running.units()
            armed.set()
            await running.set_state("s1", DRAINING)
            async with asyncio.timeout(5):
                await reached.wait()
            running.stop_lease(lease)
            running.begin_term("e2")
            await running.wait_for(lambda units: _owners(units) == {"s2"})
            await _wait_until_granted(running, "s2")
            for name, unit in (await running.units()).items():
                moved = before[name].owner != "s2"
                assert unit.epoch == before[name].epoch + moved, (step, unit)
            assert not running.overlaps, (step, running.overlaps[:5])

    for step in MoveStep:
        asyncio.run(check(step))


def test_new_coordinator_waits_for_leases_of_the_previous_term() -> None:
    """Guards against a new coordinator that moves units while grants are in force.

    A server that is missing from its instance list may have a grant of the previous
    term.
    """

    async def check() -> None:
        async with coordinator_deployment() as running:
            _, lease = running.begin_term("e1")
            await running.wait_for(_all_owned)
            running.spawn(running.record_overlaps())
            await asyncio.sleep(0.1)
            running.stop_lease(lease)
            running.platform.unlist_instance("s1")
            running.begin_term("e2")
            await running.wait_for(lambda units: _owners(units) == {"s2"})
            await _wait_until_granted(running, "s2")
            assert not running.overlaps, running.overlaps[:5]

    asyncio.run(check())


def test_restarted_server_waits_for_the_grant_of_its_previous_process() -> None:
    """Guards against two processes of one server that serve a unit at the same time.

    The previous process is disconnected, but serves its units until its grant expires.
    """

    async def check() -> None:
        async with coordinator_deployment() as running:
            coordinator, _ = running.begin_term("e1")
            await running.wait_for(_all_owned)
            running.spawn(FakeRouter(coordinator).run())
            running.spawn(running.record_overlaps())
            before = await running.units()
            previous = running.servers.pop(ServerId("s1"))
            running.servers[ServerId("former")] = previous
            await running.disconnect_server("s1")
            await running.add_server("s1")
            lost = {name for name, unit in before.items() if unit.owner == "s1"}
            await running.wait_for(
                lambda units: (
                    _all_owned(units) and all(units[name].epoch == 2 for name in lost)
                )
            )
            await asyncio.sleep(TIMING.lease_ms / 1000)
            assert not running.overlaps, running.overlaps[:5]
            still_granted = [unit for unit in before if previous.may_run(UnitId(unit))]
            assert not still_granted, still_granted

    asyncio.run(check())


LEASE_TIMEOUT_S = 5.0
"""Time in which a coordinator must issue a routing lease beyond the bridge time."""


def test_move_waits_for_a_router_that_does_not_confirm() -> None:
    """Guards against a new owner while a router with a lease may send to the old one.

    A reply may be queued while the lease expires and the units move. It has the
    versions of the time of sending, so that it does not renew the lease of a router
    that still has the local view from before the move.
    """

    async def check() -> None:
        async with coordinator_deployment() as running:
            running.rules = RulesDocument(RulesVersion(3), "# rules")
            coordinator, _ = running.begin_term("e1")
            await running.wait_for(_all_owned)
            router = FakeRouter(coordinator)
            begin_ms = monotonic_ms()
            replies = router.open()
            full = await anext(replies)
            assert (full.full, full.rules_text) == (True, "# rules")
            first = await anext(replies)
            async with asyncio.timeout(LEASE_TIMEOUT_S):
                while first.routing_lease_ms <= TIMING.bridge_ms:
                    # The coordinator lease was about to be renewed.
                    begin_ms = monotonic_ms()
                    router.send()
                    first = await anext(replies)
            router.send()
            await asyncio.sleep(0.05)
            await running.set_state("s1", DRAINING)
            await running.wait_for(lambda units: _owners(units) == {"s2"})
            assert monotonic_ms() >= begin_ms + first.routing_lease_ms
            late: list[SyncReply] = []
            async for reply in replies:
                if any(unit.state == "moving" for unit in reply.units):
                    break
                late += [reply] if reply.sequence else []
            assert late
            for before in late:
                assert before.routing_lease_ms
                assert before.assignment_version >= reply.view_version

    asyncio.run(check())


def test_override_begins_and_ends_with_a_new_epoch_of_its_range() -> None:
    """Guards against running requests for a key under the grant of its range after the
    key has moved alone."""

    async def check() -> None:
        key = Key("trainer-17")
        home = f"r{range_index(key, RANGES)}"
        planned: list[PlannedMove] = []

        def plan(
            state: PlacementState, policy: PlacementPolicy, now_ms: float
        ) -> list[PlannedMove]:
            units = {unit.unit: unit for unit in state.services[SERVICE].units}
            initial = [
                PlannedMove(SERVICE, name, ServerId("s1"), MoveReason.INITIAL)
                for name, unit in units.items()
                if unit.owner is None
            ]
            return initial + planned

        async with coordinator_deployment() as running:
            coordinator, _ = running.begin_term("e1", plan=plan)
            await running.wait_for(_all_owned)
            running.spawn(running.record_overlaps())
            running.spawn(FakeRouter(coordinator).run())
            override = override_unit(key)
            planned.append(
                PlannedMove(SERVICE, override, ServerId("s2"), MoveReason.PIN)
            )
            await running.wait_for(lambda u: override in u and _all_owned(u))
            planned.clear()
            units = await running.units()
            assert units[override].owner == "s2"
            assert units[override].epoch == units[home].epoch == 2, units
            assert units[home].owner == "s1"
            planned.append(
                PlannedMove(SERVICE, override, ServerId("s1"), MoveReason.COOLED)
            )
            await running.wait_for(lambda u: override not in u and _all_owned(u))
            planned.clear()
            assert (await running.units())[home].epoch == 3
            assert not running.overlaps

    asyncio.run(check())


def test_server_refuses_outdated_commands() -> None:
    """Guards against a delayed grant command that grants units revoked meanwhile.

    The command may be older than the last one, expired, or meant for the previous
    process at the address.
    """

    async def check() -> None:
        unit = GrantedUnit(UnitId("r1"), Epoch(1))

        def command(
            sequence: int,
            server_clock_ms: int | None,
            boot_id: BootId | None,
            full: bool,
        ) -> GrantRequest:
            granted = {unit.unit: unit.epoch} if full else {}
            return GrantRequest(
                InstanceId("e1"),
                Term(1),
                500,
                sequence,
                server_clock_ms,
                boot_id,
                changed=[unit] if full else [],
                revoked=[] if full else [unit],
                full=full,
                digest=grants_digest(granted),
            )

        async with (
            coordinator_deployment() as running,
            aiohttp.ClientSession() as session,
        ):

            async def send(request: GrantRequest) -> GrantReply:
                response = await session.post(
                    running.urls[ServerId("s1")] + "/mulberry/grants",
                    data=msgspec.json.encode(request),
                )
                return msgspec.json.decode(await response.read(), type=GrantReply)

            first = await send(command(1, None, None, full=False))
            server_clock_ms, boot_id = first.server_clock_ms, first.boot_id
            assert (
                await send(command(2, server_clock_ms, boot_id, full=True))
            ).accepted
            revoked = await send(command(4, server_clock_ms, boot_id, full=False))
            assert (revoked.accepted, revoked.idle) == (True, [unit.unit])
            for late in (
                command(3, server_clock_ms, boot_id, full=True),
                command(5, server_clock_ms - 500, boot_id, full=True),
                command(6, server_clock_ms, BootId("former"), full=True),
            ):
                assert not (await send(late)).accepted, late
                assert not running.servers[ServerId("s1")].may_run(unit.unit)

    asyncio.run(check())


def _all_owned(units: dict[str, Unit]) -> bool:
    ranges = [unit for name, unit in units.items() if name.startswith("r")]
    is_settled = all(unit.state is UnitState.ACTIVE for unit in units.values())
    return len(ranges) == RANGES and is_settled and all(u.owner for u in ranges)


def _owners(units: dict[str, Unit]) -> set[str | None]:
    states = {unit.state for unit in units.values()}
    return {unit.owner for unit in units.values()} if len(states) == 1 else set()


async def _wait_until_granted(running: CoordinatorDeployment, server: str) -> None:
    standin = running.servers[ServerId(server)]
    async with asyncio.timeout(5):
        while not all(standin.may_run(UnitId(unit)) for unit in await running.units()):
            await asyncio.sleep(0.005)

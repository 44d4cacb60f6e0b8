"""Tests of the coordinator lease with failing routers, stores and connections.

``LeaseRouters.run`` checks during each test that at most one router holds the lease.
"""

from bench.virtual_time import virtual_clock
from mulberryrelay_control.lease import LEASE_ROW, TERM_ROW
from mulberryrelay_control.successors import choose_successors
from mulberryrelay_kernel.ids import BootId, DataCentre, InstanceId
from mulberryrelay_kernel.messages import RouterAddress
from mulberryrelay_kernel.states import LeaseTransition

from .fixtures.faulty_platform import once, writes_row
from .fixtures.lease_routers import LeaseRouter, LeaseRouters, with_routers

LEASE_MS, MARGIN_MS, PROMISE_MS, OUTAGE_CAP_MS = 500, 50, 1000, 300_000


def disconnect(router: LeaseRouter) -> None:
    """Disconnect a running router from the store and from its peers."""
    router.peer_link_down = True
    router.platform.unreachable = True


@with_routers(4)
async def test_takeover_waits_for_expiry(routers: LeaseRouters) -> None:
    """Guards against a successor that takes over before the lease has expired."""
    first = routers.holder()
    await routers.run(3000)
    assert routers.holder() is first
    disconnect(first)
    second = await routers.run_until_term(2, 1000)
    assert second.address.instance in ("entry-2", "entry-3")


@with_routers(3)
async def test_resumed_holder_finds_its_lease_expired(routers: LeaseRouters) -> None:
    """Guards against a suspended holder that continues as coordinator on resuming."""
    first = routers.holder()
    first.advance_clock(LEASE_MS)
    assert not first.lease.is_held() and first.lease.remaining_ms < 0
    await routers.run_until_term(2, 2000)
    expected = [LeaseTransition.ACQUIRED, LeaseTransition.LOST]
    assert first.transitions[:2] == expected


@with_routers(3)
async def test_applied_renewals_with_lost_replies_count(routers: LeaseRouters) -> None:
    """Guards against treating an applied renewal as failed if its reply is lost."""
    first = routers.holder()
    first.peer_link_down = True
    first.platform.lose_reply = writes_row(LEASE_ROW)
    for fails_read_back in (False, True):
        first.platform.fails_read_back = fails_read_back
        await routers.run(3000)
        assert routers.holder() is first and first.lease.term == 1


@with_routers(3)
async def test_applied_takeover_with_lost_reply_counts(routers: LeaseRouters) -> None:
    """Guards against treating an applied takeover as failed if its reply is lost."""
    disconnect(routers.holder())
    for router in routers.members[1:]:
        router.platform.lose_reply = once(writes_row(TERM_ROW))
    await routers.run_until_term(2, 1200)
    await routers.run(2000)
    assert routers.holder().lease.term == 2


@with_routers(3)
async def test_takeover_that_was_not_read_back_uses_the_new_term_version(
    routers: LeaseRouters,
) -> None:
    """Guards against a term that uses an outdated version of the term row.

    All writes of such a term would fail, since they are conditional on that version.
    """
    disconnect(routers.holder())
    for router in routers.members[1:]:
        router.platform.refuse_next_read = once(writes_row(TERM_ROW))
    second = await routers.run_until_term(2, 1200)
    row = (await routers.store.read([TERM_ROW])).unwrap()[TERM_ROW]
    assert second.lease.term_condition.version == row.version
    await routers.run(2000)
    assert routers.holder() is second and second.lease.term == 2


async def check_takeover_after_lost_change(
    routers: LeaseRouters, applied: bool
) -> None:
    first, second, third, fourth = routers.members
    # The holder replaces entry-2 by entry-4. From then on its store calls time out.
    routers.disconnected.add(second.address.instance)
    change = once(writes_row(LEASE_ROW))

    def matches_change(writes: object) -> bool:
        first.platform.unreachable = first.platform.unreachable or change(writes)  # type: ignore[arg-type]
        return first.platform.unreachable

    if applied:
        first.platform.lose_reply = matches_change
    else:
        first.platform.delay = matches_change
    # The successor in the stored row besides entry-3 is not reachable from the holder,
    # so it gives no promise and may take over.
    unreachable = fourth if applied else second
    unreachable.peer_link_down = True
    third.platform.unreachable = True
    new_holder = await routers.run_until_term(2, 3000)
    assert new_holder is unreachable


@with_routers(4)
async def test_old_and_new_successors_promise_after_lost_reply(
    routers: LeaseRouters,
) -> None:
    """Guards against a lease extended by the old successors only, while the row with
    the new ones is stored but the reply was lost."""
    await check_takeover_after_lost_change(routers, applied=True)


@with_routers(4)
async def test_old_and_new_successors_promise_during_pending_change(
    routers: LeaseRouters,
) -> None:
    """Guards against a lease extended by the new successors only, while the row with
    the old ones is still stored."""
    await check_takeover_after_lost_change(routers, applied=False)


@with_routers(4)
async def test_stopped_successor_is_replaced(routers: LeaseRouters) -> None:
    """Guards against successors in the lease row that have stopped running."""
    routers.members[1].kill()
    await routers.run(400)
    named = {address.instance for address in (await routers.row()).successors}
    assert named == {"entry-3", "entry-4"}


@with_routers(3)
async def test_promises_extend_the_lease_during_an_outage(
    routers: LeaseRouters,
) -> None:
    """Guards against losing the lease in a store outage, and against counting a promise
    from its arrival instead of from the request."""
    first = routers.holder()
    first.reply_delay_ms = 80
    for outage in ("unreachable", "down"):
        for router in routers.members:
            setattr(router.platform, outage, True)
        # A refused write leads to promise requests at once, a lost reply later.
        least_ms = LEASE_MS / 2 if outage == "down" else 0
        for _ in range(2000):
            await routers.run(5)
            left_ms = first.lease.remaining_ms
            assert least_ms < left_ms <= PROMISE_MS - first.reply_delay_ms
        for router in routers.members:
            setattr(router.platform, outage, False)
        await routers.run(2000)
        assert routers.holder() is first and first.lease.term == 1


@with_routers(3)
async def test_partition_from_one_successor_ends_the_lease(
    routers: LeaseRouters,
) -> None:
    """Guards against extending the lease with the promise of only one successor."""
    first, second, third = routers.members
    first.platform.unreachable = True
    await routers.run(5000)
    assert routers.holder() is first
    third.peer_link_down = True
    assert await routers.run_until_term(2, 3000) is third
    assert not second.lease.is_held()


@with_routers(3)
async def test_successor_waits_until_its_promise_ends(routers: LeaseRouters) -> None:
    """Guards against a takeover by a successor before its promise has ended."""
    first, *successors = routers.members
    for router in successors:
        assert router.lease.handle_promise_request(
            first.address.instance, first.lease.term, 5000
        )
    promised_ms = virtual_clock()
    first.kill()
    await routers.run_until_term(2, 6000)
    assert virtual_clock() - promised_ms >= 5000 + MARGIN_MS


@with_routers(3)
async def test_no_promise_while_a_takeover_is_pending(routers: LeaseRouters) -> None:
    """Guards against a promise while a takeover write may still take effect."""
    first, second, third = routers.members
    third.platform.unreachable = True
    second.platform.delay = writes_row(TERM_ROW)
    disconnect(first)
    await routers.run(2000)
    second.platform.unreachable = True
    await routers.run(1000)
    assert not second.lease.handle_promise_request(
        first.address.instance, first.lease.term, 1000
    )
    assert any(await second.platform.deliver_delayed())


@with_routers(3)
async def test_restarted_routers_wait_for_the_outage_cap(
    routers: LeaseRouters,
) -> None:
    """Guards against an early takeover by a restarted successor, which does not know
    the promise of its previous process."""
    for router in list(routers.members):
        router.kill()
    killed_ms = virtual_clock()
    restarted = [routers.add(index) for index in (1, 2, 3)]
    await routers.run(OUTAGE_CAP_MS)
    assert not routers.holders()
    await routers.run_until_term(2, 2000)
    waited_ms = virtual_clock() - killed_ms
    assert waited_ms >= OUTAGE_CAP_MS + LEASE_MS + MARGIN_MS + PROMISE_MS
    assert routers.holder() in restarted


@with_routers(4, outage_cap_ms=3000)
async def test_outage_cap_counts_from_the_last_write(routers: LeaseRouters) -> None:
    """Guards against extending the lease beyond the time after which routers that are
    not successors may take over."""
    first = routers.holder()
    started_ms = virtual_clock()
    first.platform.unreachable = True
    first.platform.readable = True
    await routers.run_until_term(2, 6000)
    assert LEASE_MS < virtual_clock() - started_ms <= 3000 + 2 * PROMISE_MS


@with_routers(3)
async def test_released_lease_is_taken_at_once(routers: LeaseRouters) -> None:
    """Guards against a slow takeover after a release, and against changes of owner
    before the routing leases of the released term have expired."""
    first = routers.holder()
    first.platform.lose_reply = once(writes_row(LEASE_ROW))
    released_ms = virtual_clock()
    await first.lease.release()
    assert first.transitions[-1] is LeaseTransition.LOST
    second = await routers.run_until_term(2, 150)
    assert second.lease.handover_wait_start_ms >= released_ms + LEASE_MS
    await routers.run(3000)
    assert routers.holder() is second


@with_routers(4)
async def test_leaving_successor_is_replaced(routers: LeaseRouters) -> None:
    """Guards against a successor that exits while its promise may be needed."""
    second = routers.members[1]
    routers.disconnected.add(second.address.instance)
    await second.lease.release()
    assert second.address not in (await routers.row()).successors
    assert len((await routers.row()).successors) == 2


@with_routers(2)
async def test_leaving_router_never_takes_over(routers: LeaseRouters) -> None:
    """Guards against a router that becomes coordinator while it is shutting down."""
    first, second = routers.members
    await second.lease.release()
    assert second.address in (await routers.row()).successors
    await first.lease.release()
    await routers.run(3000)
    assert not routers.holders() and (await routers.row()).released


def test_successors_are_in_other_data_centres() -> None:
    """Guards against losing the holder and all successors with one data centre."""
    cases = [
        ("b1 c1", "", "b1 c1"),
        ("a2 b1 b2 c1", "", "b1 c1"),
        ("a2 a3 b1", "", "b1 a2"),
        ("b1 b2 c1 c2", "b2 c2", "b2 c2"),
        ("b1 b2 c1", "b2 c2", "b2 c1"),
        ("", "b1 c1", "b1 c1"),
        ("c1", "b1 c2", "c1 b1"),
    ]
    for candidates, current, expected in cases:
        chosen = choose_successors(
            address("a1"),
            [address(name) for name in current.split()],
            [address(name) for name in candidates.split()],
        )
        assert [entry.instance for entry in chosen] == expected.split(), candidates


def address(name: str) -> RouterAddress:
    """Return an address whose data centre is the first letter of its name."""
    return RouterAddress(
        InstanceId(name), BootId(name), DataCentre(name[0]), "127.0.0.1", 1
    )

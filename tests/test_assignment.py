"""Tests of ``AssignmentStore`` with store calls that fail or whose replies are lost.

A commit that was reported as applied stays stored, and an assignment that a pending
commit may still change is not returned.
"""

import asyncio
from collections.abc import Sequence
from typing import cast

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from bench.virtual_time import run_virtual
from mulberryrelay_control.assignment import (
    CHUNKS_PER_TRANSACTION,
    AssignmentStore,
    overrides_row,
)
from mulberryrelay_control.lease import TERM_ROW, CoordinatorLease
from mulberryrelay_control.platform_memory import MemoryPlatform
from mulberryrelay_kernel.hashing import override_unit, range_index, range_unit
from mulberryrelay_kernel.ids import (
    Epoch,
    Key,
    RowName,
    ServerId,
    ServiceName,
    UnitId,
    WriteId,
)
from mulberryrelay_kernel.messages import (
    Assignment,
    ChunkRow,
    Condition,
    Unit,
    UnitUpdate,
    Write,
)
from mulberryrelay_kernel.states import LeaseTransition, StoreFailure

from .fixtures.faulty_platform import FaultyPlatform, always, never, once, writes_row
from .fixtures.lease_routers import (
    LeaseRouter,
    LeaseRouters,
    lease_options,
    with_routers,
)

SERVICE = ServiceName("slotfinder")


class StubLease:
    """A lease that is always held. The store has no term row."""

    term_condition = Condition(TERM_ROW, 0)

    def is_held(self) -> bool:
        return True


class RecordingPlatform(MemoryPlatform):
    """Records the rows and overrides of each transaction."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[set[RowName]] = []
        self.overrides_written: list[set[UnitId]] = []

    async def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        write_id: WriteId,
    ) -> Result[None, StoreFailure]:
        self.written.append({write.name for write in writes})
        self.overrides_written.append(
            {
                unit.unit
                for write in writes
                if write.name == overrides_row(SERVICE) and write.value is not None
                for unit in msgspec.json.decode(write.value, type=ChunkRow).units
            }
        )
        return await super().transact(conditions, writes, write_id)


def update(index: int, server: str, epoch: int) -> UnitUpdate:
    """Return an update that assigns one range to a server."""
    return UnitUpdate(SERVICE, Unit(range_unit(index), ServerId(server), Epoch(epoch)))


def stub_store(platform: MemoryPlatform, ranges: int) -> AssignmentStore:
    """Return an assignment store with a lease that is always held."""
    lease = cast(CoordinatorLease, StubLease())
    return AssignmentStore(lease_options(ranges), platform, lease)


async def stored_assignment(platform: MemoryPlatform, ranges: int = 256) -> Assignment:
    """Return the assignment as another process reads it."""
    return (await stub_store(platform, ranges).load()).unwrap()


def row_name(chunk: int) -> RowName:
    return RowName(f"assignment/{SERVICE}/{chunk}")


async def load_store(router: LeaseRouter, routers: LeaseRouters) -> AssignmentStore:
    """Return a router's assignment store after loading it."""
    store = AssignmentStore(routers.options, router.platform, router.lease)
    (await store.load()).unwrap()
    return store


@with_routers(3)
async def test_late_commit_is_fenced(routers: LeaseRouters) -> None:
    """Guards against a delayed commit that is applied after the next term began."""
    first = routers.holder()
    store = await load_store(first, routers)
    first.platform.delay = writes_row(row_name(0))
    assert await store.commit([update(0, "late", 1)]) == Failure(StoreFailure.UNKNOWN)
    first.peer_link_down = first.platform.unreachable = True
    await routers.run_until_term(2, 1000)
    first.platform.unreachable = False
    first.platform.delay = never
    assert await first.platform.deliver_delayed() == [False]
    assert await store.commit([update(0, "late", 1)]) == Failure(StoreFailure.CONFLICT)
    assert (await stored_assignment(routers.store)).ranges[SERVICE][0].owner is None


@with_routers(3)
async def test_commit_of_an_expired_lease_is_refused(routers: LeaseRouters) -> None:
    """Guards against commits of a holder that was suspended past its lease's expiry."""
    first = routers.holder()
    store = await load_store(first, routers)
    first.advance_clock(600)
    assert await store.commit([update(0, "a", 1)]) == Failure(StoreFailure.CONFLICT)


@with_routers(3)
async def test_commit_with_lost_reply_is_read_back(routers: LeaseRouters) -> None:
    """Guards against reporting an applied commit as failed."""
    first = routers.holder()
    store = await load_store(first, routers)
    first.platform.lose_reply = once(writes_row(row_name(0)))
    assert await store.commit([update(0, "a", 1)]) == Success(None)
    assert store.assignment.ranges == (await stored_assignment(routers.store)).ranges
    assert store.assignment.ranges[SERVICE][0].owner == "a"


@with_routers(3)
async def test_unreadable_commit_stays_unknown(routers: LeaseRouters) -> None:
    """Guards against loading an assignment that a pending commit may still change."""
    first = routers.holder()
    store = await load_store(first, routers)
    first.platform.delay = once(writes_row(row_name(0)))
    assert await store.commit([update(0, "a", 1)]) == Failure(StoreFailure.UNKNOWN)
    assert not store.is_resolved
    first.platform.down = True
    assert await store.load() == Failure(StoreFailure.UNKNOWN)
    first.platform.down = False
    loaded = (await store.load()).unwrap()
    assert await first.platform.deliver_delayed() == [False]
    assert loaded == await stored_assignment(routers.store)


def test_partly_stored_batch_is_tracked() -> None:
    """Guards against a wrong local state if the store fails within a batch."""

    async def main() -> None:
        ranges = 20 * 64
        platform = FaultyPlatform(MemoryPlatform())
        store = stub_store(platform, ranges)
        (await store.load()).unwrap()
        changes = [update(index, "a", 1) for index in range(ranges)]
        commit = asyncio.ensure_future(store.commit(changes))
        while not platform.transactions:
            await asyncio.sleep(0.001)
        platform.down = True
        assert await commit == Failure(StoreFailure.UNAVAILABLE)
        platform.down = False
        owned = [unit.owner == "a" for unit in store.assignment.ranges[SERVICE]]
        assert owned == [True] * 1024 + [False] * 256
        assert (
            store.assignment.ranges
            == (await stored_assignment(platform, ranges)).ranges
        )
        assert await store.commit(changes) == Success(None)
        reread = (await stored_assignment(platform, ranges)).ranges[SERVICE]
        assert {unit.owner for unit in reread} == {"a"}

    run_virtual(main())


def test_override_and_its_range_are_stored_together() -> None:
    """Guards against an override that is stored while its range still has the key."""

    async def main() -> None:
        platform = FaultyPlatform(MemoryPlatform())
        store = stub_store(platform, 256)
        (await store.load()).unwrap()
        key = Key("trainer-17")
        unit = Unit(override_unit(key), ServerId("b"), Epoch(2))
        override = UnitUpdate(SERVICE, unit)
        changes = [update(index, "a", 2) for index in range(256)]
        assert await store.commit([*changes, override]) == Success(None)
        assert platform.transactions == 1
        loaded = await stored_assignment(platform)
        assert loaded.overrides[SERVICE][key] == override.unit
        # If the version decreased, routers would ignore the next coordinator.
        assert loaded.version >= store.assignment.version
        removed = msgspec.structs.replace(override.unit, owner=None)
        (await store.commit([UnitUpdate(SERVICE, removed)])).unwrap()
        assert (await stored_assignment(platform)).overrides[SERVICE] == {}

    run_virtual(main())


def test_transactions_with_overrides_stay_within_their_limit() -> None:
    """Guards against a transaction that is too large for the store.

    Each override is stored in the same transaction as the row of its range.
    """
    ranges = 40 * 64
    rows_of_range = {}
    keys = [Key(f"trainer-{number}") for number in range(60)]
    for key in keys:
        index = range_index(key, ranges)
        rows_of_range[override_unit(key)] = row_name(index // 64)

    async def main() -> None:
        platform = RecordingPlatform()
        store = stub_store(platform, ranges)
        (await store.load()).unwrap()
        changes = [update(index, "a", 2) for index in range(ranges)]
        for key in keys:
            unit = Unit(override_unit(key), ServerId("b"), Epoch(2))
            changes.append(UnitUpdate(SERVICE, unit))
        assert await store.commit(changes) == Success(None)
        stored: set[UnitId] = set()
        for names in platform.written:
            assert len(names) <= CHUNKS_PER_TRANSACTION
        for names, overrides in zip(
            platform.written, platform.overrides_written, strict=True
        ):
            for override in overrides - stored:
                assert rows_of_range[override] in names
            stored |= overrides
        assert stored == set(rows_of_range)

    run_virtual(main())


def test_commit_on_an_older_assignment_is_refused() -> None:
    """Guards against an epoch of a unit that decreases or has two owners."""

    async def main() -> None:
        store = stub_store(FaultyPlatform(MemoryPlatform()), 256)
        assert await store.commit([update(0, "a", 3)]) == Success(None)
        for change in (update(0, "b", 3), update(0, "b", 2)):
            assert await store.commit([change]) == Failure(StoreFailure.CONFLICT)
        assert await store.commit([update(0, "a", 3)]) == Success(None)

    run_virtual(main())


@with_routers(3)
async def test_assignment_survives_replacement_of_all_routers(
    routers: LeaseRouters,
) -> None:
    """Guards against an assignment that is only kept in the memory of routers."""
    old = list(routers.members)
    store = await load_store(old[0], routers)
    changes = [update(index, "a", 1) for index in range(256)]
    (await store.commit(changes)).unwrap()
    new = [routers.add(index) for index in (4, 5, 6)]
    for router in old:
        routers.disconnected.add(router.address.instance)
        await router.lease.release()
        router.kill()
        await routers.run(600)
    holder = routers.holder()
    assert holder in new and holder.transitions == [LeaseTransition.ACQUIRED]
    assert not (await routers.row()).released
    loaded = (await load_store(holder, routers)).assignment
    assert loaded.ranges == store.assignment.ranges
    assert loaded.version >= store.assignment.version


# Each step: fault of the transaction, chunk, whether reads fail after it.
FAULTS = (
    *("none", "lost", "delayed", "down", "unreachable", "foreign", "takeover"),
    "overwritten",
)
STEPS = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.integers(0, 3), st.booleans()), max_size=12
)


@settings(derandomize=True, deadline=None, max_examples=150, database=None)
@given(STEPS)
def test_commit_results_match_the_store(steps: list[tuple[str, int, bool]]) -> None:
    """Guards against a commit result that does not match the store, at once or after
    all delayed calls have arrived."""
    run_virtual(check_commit_results(steps))


async def check_commit_results(steps: list[tuple[str, int, bool]]) -> None:
    shared = MemoryPlatform()
    platform = FaultyPlatform(shared)
    store = stub_store(platform, 256)
    refused: set[str] = set()
    for number, (fault, chunk, unreadable) in enumerate(steps):
        name = f"{number}-{fault}"
        platform.lose_reply = always if fault in ("lost", "overwritten") else never
        platform.delay = always if fault == "delayed" else never
        if fault in ("foreign", "takeover"):
            row = TERM_ROW if fault == "takeover" else row_name(chunk)
            await write_as_other_process(shared, row)
        platform.down = fault == "down"
        platform.unreachable = fault == "unreachable"
        platform.readable = not unreadable
        commit = asyncio.ensure_future(
            store.commit([update(chunk * 64, name, number + 1)])
        )
        if fault == "overwritten":
            # The commit is applied, then overwritten in another term before it is read
            # back.
            await asyncio.sleep(0.1)
            await write_as_other_process(shared, TERM_ROW)
            await write_as_other_process(shared, row_name(chunk))
        result = await commit
        platform.down = platform.unreachable = False
        if result == Success(None):
            assert await owner_of(shared, chunk) == name
        elif result != Failure(StoreFailure.UNKNOWN):
            refused.add(name)
        if not unreadable:
            continue
        loaded = await store.load()
        await platform.deliver_delayed()
        if isinstance(loaded, Success):
            assert loaded.unwrap().ranges == (await stored_assignment(shared)).ranges
    await platform.deliver_delayed()
    for chunk in range(4):
        assert await owner_of(shared, chunk) not in refused


async def owner_of(platform: MemoryPlatform, chunk: int) -> ServerId | None:
    return (await stored_assignment(platform)).ranges[SERVICE][chunk * 64].owner


async def write_as_other_process(platform: MemoryPlatform, name: RowName) -> None:
    rows = (await platform.read([name])).unwrap()
    value = rows[name].value if name in rows else msgspec.Raw(b'{"units":[]}')
    written = await platform.transact([], [Write(name, value)], WriteId("foreign"))
    written.unwrap()

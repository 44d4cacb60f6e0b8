"""Keeps local copies of store tables current, by long polls or through the leader.

Only the leader, and routers that get no replies from it, poll the store. The reply to a
long poll may be lost; the poll then ends only after its whole wait time. One table, the
probe, is therefore followed with short polls that show whether the store answers.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Mapping
from enum import Enum
from typing import Any

import msgspec
from reactivex.subject import Subject
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.logs import log_event

from .storeversion import restores_of
from .tablemirror import TableMirror, TableUpdate
from .tablestore import TableFailure, TableRead, TableStore
from .viewage import ViewAge, WriteTimes

INITIAL_BACKOFF_S = 0.1
"""Base of the exponential backoff after a failed call."""
MAX_BACKOFF_S = 0.8
"""Maximum backoff, before jitter."""
MAX_OUTAGE_BACKOFF_S = 2.4
"""Maximum backoff while the store is unreachable, for all but the probe table.

They are read at once when a call to the store succeeds.
"""
PROBE_WAIT_MS = 2000
"""Wait time of a poll of the probe table."""
LONG_WAIT_MS = 10_000
"""Wait time of a poll of any other table."""


class Role(Enum):
    """Where a router gets changes of the store's tables from."""

    STANDALONE = "alone"
    """It polls the store, because it gets no replies from a leader."""
    FOLLOWER = "linked"
    """It is a follower: the leader sends it the changes."""
    LEADER = "leading"
    """It is the leader: it polls the store and writes the ranges table itself."""


class StoreRestored(msgspec.Struct, frozen=True):
    """The store came back from an older copy."""

    restores: int
    """How often it has been restored."""
    informed_until_ms: float | None
    """Time before the restore until which this router knew all that the leader knew.

    None if that is not certain.
    """


def _ignore_reply(version: int) -> None:
    """Ignore a reply."""


def _ignore_call() -> Callable[[int], None]:
    """Ignore a call."""
    return _ignore_reply


class FollowedTable(msgspec.Struct, frozen=True):
    """A table to follow, and how to follow it."""

    table: str
    apply: Callable[[TableRead, bool], None]
    """Called with rows that were read and whether they are the complete table."""
    is_probe: bool = False
    """Whether to poll it with short waits, to detect that the store does not answer."""
    is_written_by_leader: bool = False
    """Whether the leader writes the table.

    The leader does not poll such a table and sends its changes as ``RangeChange``.
    """
    batch_delay_s: float = 0.0
    """Pause after a change, so that the next poll returns several changes at once."""
    begin_call: Callable[[], Callable[[int], None]] = _ignore_call
    """Called before each call of this router for the table.

    What it returns is called with the version that the reply states, once the rows of
    the reply are applied.
    """


class StoreSync:
    """State of this router's connection to the store.

    It holds the router's role, whether the store answers, and the copies of the tables
    that this router has read.
    """

    def __init__(self) -> None:
        self._role = Role.STANDALONE
        self._role_changed = asyncio.Event()
        self._followed: dict[str, FollowedTable] = {}
        self._mirrors: dict[str, TableMirror] = {}
        self._early_versions: dict[str, int] = {}
        self._catch_up_events: dict[str, asyncio.Event] = {}
        self._is_reachable = True
        self._has_own_call_failed = False
        """Whether a call of this router failed since ``_is_reachable`` last changed.

        The leader's calls may fail while the store answers all other routers.
        """
        self._restores: int | None = None
        """How often the store had been restored when rows were last read."""
        self._leader_lost_store_ms: float | None = None
        """Time at which the leader reported that it does not reach the store.

        None if it did not, or if rows were read since.
        """
        self._view_age = ViewAge()
        self._routes_view_age = ViewAge()
        self._write_times = WriteTimes()
        self._reachable_event = asyncio.Event()
        """Set when the store answers again."""
        self._changes: Subject[bool] = Subject()
        self._restored: Subject[StoreRestored] = Subject()

    @property
    def changes(self) -> Subject[bool]:
        """Emits whether the store answers, after a change of that or of a table."""
        return self._changes

    @property
    def restored(self) -> Subject[StoreRestored]:
        """Emits after a restore of the store, before its rows are applied."""
        return self._restored

    @property
    def is_reachable(self) -> bool:
        """Whether the store answers, as last recorded."""
        return self._is_reachable

    @property
    def has_own_call_failed(self) -> bool:
        """Whether a call of this router failed during the current outage of the store.

        Otherwise only the leader reported the outage, and the registrations that this
        router reads are complete.
        """
        return self._has_own_call_failed

    @property
    def role(self) -> Role:
        """Where this router gets changes from."""
        return self._role

    @property
    def table_versions(self) -> dict[str, int]:
        """Version of the store at the last read of each table."""
        return {table: mirror.version for table, mirror in self._mirrors.items()}

    @property
    def early_versions(self) -> dict[str, int]:
        """Highest version of the rows of each table that were applied early."""
        return dict(self._early_versions)

    def known_version(self, table: str) -> int | None:
        """Return the version up to which all changes of a table are copied.

        None if there is no copy, so that the table has to be read whole.
        """
        mirror = self._mirrors.get(table)
        return mirror.version or None if mirror is not None else None

    @property
    def view_age(self) -> ViewAge:
        """Up to when this router knows all changes of the servers."""
        return self._view_age

    @property
    def routes_view_age(self) -> ViewAge:
        """Up to when this router knows all changes of the routes table."""
        return self._routes_view_age

    @property
    def write_times(self) -> WriteTimes:
        """Earliest times at which rows may have been written."""
        return self._write_times

    @property
    def informed_until_ms(self) -> float:
        """Time up to which all changes of the servers are certainly known here."""
        return self._view_age.informed_until_ms

    def follow(self, followed: FollowedTable) -> None:
        """Start to keep a copy of a table, unless that was started before."""
        if followed.table in self._followed:
            return
        self._followed[followed.table] = followed
        if not followed.is_written_by_leader:
            self._mirrors[followed.table] = TableMirror()

    def set_reachable(self, is_reachable: bool) -> None:
        """Record whether the store answers; if it does, catch up with all tables."""
        self._is_reachable = is_reachable
        self._changes.on_next(is_reachable)
        self._has_own_call_failed = False
        if not is_reachable:
            return
        self._reachable_event.set()
        self._reachable_event = asyncio.Event()
        for table in self._followed:
            self._request_catch_up(table)

    def record_failed_call(self) -> None:
        """Record that a read of a table, or a poll, failed at this router."""
        self._has_own_call_failed = True

    def set_leader_lost_store(self, lost_ms: float | None) -> None:
        """Record when the leader reported that it lost the store; None if it did not.

        All that the leader knew then has to be applied here. Without the store the
        leader learns of no servers and moves no keys.
        """
        self._leader_lost_store_ms = lost_ms

    def set_role(self, role: Role) -> None:
        """Set where this router gets changes from."""
        if role is self._role:
            return
        log_event("role_changed", role=role.value, former=self._role.value)
        self._role = role
        self._role_changed.set()
        self._role_changed = asyncio.Event()
        # Cancel polls that are no longer needed or whose reply may have been lost.
        for table in self._followed:
            self._request_catch_up(table)

    async def wait_before_retry(self, followed: FollowedTable, failures: int) -> None:
        """Wait after failed calls for a table, or until the store answers again."""
        max_s = MAX_BACKOFF_S
        if not self._is_reachable and not followed.is_probe:
            max_s = MAX_OUTAGE_BACKOFF_S
        delay_s = min(max_s, INITIAL_BACKOFF_S * 2 ** min(failures, 8))
        try:
            async with asyncio.timeout(delay_s * random.uniform(0.5, 1.0)):
                await self._reachable_event.wait()
        except TimeoutError:
            return

    async def wait_for_poll(self, followed: FollowedTable) -> asyncio.Event:
        """Wait until this router has to poll a table.

        The returned event is set when the poll has to be cancelled and all changes read
        without a wait.
        """
        while not self._is_polled(followed):
            await self._role_changed.wait()
        event = self._catch_up_events.get(followed.table)
        if event is None or event.is_set():
            event = self._catch_up_events[followed.table] = asyncio.Event()
        return event

    def apply_rows(self, table: str, read: TableRead, is_complete: bool) -> None:
        """Apply rows of a table, and keep them for updates to other routers.

        Rows that are older than those already applied are ignored: the reply to a read
        may arrive after newer rows from the leader, and would undo their deletions.
        """
        followed = self._followed.get(table)
        if followed is None:
            return
        self._record_restores(restores_of(read.version))
        mirror = self._mirrors.get(table)
        if mirror is not None and read.version < mirror.version:
            log_event(
                "old_rows_ignored",
                table=table,
                row_version=read.version,
                applied_version=mirror.version,
            )
            return
        followed.apply(read, is_complete)
        if mirror is not None:
            mirror.apply(read, is_complete)
            if read.rows:
                self._changes.on_next(self._is_reachable)

    def apply_early(self, update: TableUpdate) -> None:
        """Apply rows ahead of older ones of their table, which is not copied further.

        They come again with the other rows.
        """
        followed = self._followed.get(update.table)
        known_version = self._early_versions.get(update.table, 0)
        if followed is None or update.version <= known_version:
            return
        self._early_versions[update.table] = update.version
        followed.apply(TableRead(update.rows, update.version, 0.0), False)

    def updates_since(self, known_versions: Mapping[str, int]) -> list[TableUpdate]:
        """Return the updates for a router that has the given versions of the tables."""
        updates = []
        for table, mirror in self._mirrors.items():
            update = mirror.update_since(table, known_versions.get(table, 0))
            if update is not None:
                updates.append(update)
        return updates

    def _record_restores(self, restores: int) -> None:
        former = self._restores
        if former is not None and restores < former:
            return
        if former is not None and restores > former:
            # A leader may have worked between two restores without this router.
            is_certain = restores == former + 1
            informed_until_ms = self._leader_lost_store_ms if is_certain else None
            self._restored.on_next(StoreRestored(restores, informed_until_ms))
        self._restores = restores
        self._leader_lost_store_ms = None

    def _is_polled(self, followed: FollowedTable) -> bool:
        if self._role is Role.LEADER:
            return not followed.is_written_by_leader
        return self._role is Role.STANDALONE

    def _request_catch_up(self, table: str) -> None:
        event = self._catch_up_events.get(table)
        if event is not None:
            event.set()


async def follow_table(
    store: TableStore, followed: FollowedTable, store_sync: StoreSync
) -> None:
    """Read a table, then apply each change; never returns."""
    table = followed.table
    wait_ms = PROBE_WAIT_MS if followed.is_probe else LONG_WAIT_MS
    store_sync.follow(followed)
    version: int | None = None
    failures = 0
    is_catching_up = False
    catch_up_event = asyncio.Event()
    while True:
        is_catching_up = is_catching_up or catch_up_event.is_set()
        catch_up_event = await store_sync.wait_for_poll(followed)
        if is_catching_up:
            version = store_sync.known_version(table)
        record_reply = followed.begin_call()
        if version is None:
            result = await store.read(table)
        elif is_catching_up:
            result = await store.follow(table, version, 0)
        else:
            result = await _call_unless_set(
                store.follow(table, version, wait_ms), catch_up_event
            )
        if isinstance(result, Success):
            if failures:
                log_event("store_regained", table=table, failures=failures)
                failures = 0
            if not store_sync.is_reachable:
                # Before the rows are applied: after an outage of the store, rows may
                # be missing that are written again soon.
                store_sync.set_reachable(True)
            if version is None or is_catching_up:
                # Polls from this version miss no change, so that this call serves all
                # requests to catch up that came while it ran.
                catch_up_event = asyncio.Event()
            read = result.unwrap()
            store_sync.apply_rows(table, read, version is None)
            record_reply(read.version)
            is_catching_up = False
            version = read.version
            if followed.batch_delay_s and read.rows:
                await asyncio.sleep(followed.batch_delay_s)
            continue
        reason = result.failure()
        if reason is TableFailure.HISTORY_LOST:
            log_event("history_lost", table=table, version=version)
            is_catching_up = False
            version = None
            continue
        if catch_up_event.is_set() and version is not None and not is_catching_up:
            continue
        # A poll's reply may be lost; a call without a wait shows at once whether the
        # store answers.
        is_catching_up = True
        if not failures:
            log_event("store_lost", table=table, reason=reason.value)
            if followed.is_probe:
                store_sync.set_reachable(False)
        failures += 1
        store_sync.record_failed_call()
        await store_sync.wait_before_retry(followed, failures)


async def _call_unless_set(
    call: Coroutine[Any, Any, Result[TableRead, TableFailure]], event: asyncio.Event
) -> Result[TableRead, TableFailure]:
    """Return the result of a call, or cancel the call when the event is set."""
    polling = asyncio.ensure_future(call)
    cancelling = asyncio.ensure_future(event.wait())
    try:
        await asyncio.wait({polling, cancelling}, return_when=asyncio.FIRST_COMPLETED)
        if polling.done():
            return polling.result()
        return Failure(TableFailure.UNKNOWN)
    finally:
        polling.cancel()
        cancelling.cancel()

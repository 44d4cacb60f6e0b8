"""Follows tables of the store: by polls, or through the leader.

Only the leader and routers that do not hear from it poll. A poll that waits for changes
may be lost on the way and then ends only after its whole wait, so one table, the probe,
is followed with short polls, which show whether the store answers.
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

from .tablemirror import TableMirror, TableUpdate
from .tablestore import TableFailure, TableRead, TableStore

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.8
PROBE_WAIT_MS = 2000
LONG_WAIT_MS = 10_000


class Role(Enum):
    """How a router learns of changes."""

    ALONE = "alone"
    """By polls of its own."""
    LINKED = "linked"
    """From the leader."""
    LEADING = "leading"
    """By polls of its own, which it passes on; it writes the ranges itself."""


class Followed(msgspec.Struct, frozen=True):
    """How a table is followed."""

    table: str
    take: Callable[[TableRead, bool], None]
    """Is given rows, and whether they are the complete table."""
    is_probe: bool = False
    """Whether its polls show if the store answers."""
    is_written_here: bool = False
    """Whether the leader writes it, and passes it on by other means."""
    gather_s: float = 0.0
    """Time in which changes after one are fetched together."""


class StoreContact:
    """Whether the store answers, and what is known of its tables."""

    def __init__(self) -> None:
        self._role = Role.ALONE
        self._role_changed = asyncio.Event()
        self._followed: dict[str, Followed] = {}
        self._mirrors: dict[str, TableMirror] = {}
        self._rereads: dict[str, asyncio.Event] = {}
        self._answers = True
        self._changes: Subject[bool] = Subject()

    @property
    def changes(self) -> Subject[bool]:
        """Emits after each change of whether the store answers, and of a table."""
        return self._changes

    @property
    def answers(self) -> bool:
        """Whether the store answered when that was last noted."""
        return self._answers

    @property
    def role(self) -> Role:
        """How this router learns of changes."""
        return self._role

    @property
    def table_versions(self) -> dict[str, int]:
        """The store's version up to which each table is known."""
        return {table: mirror.version for table, mirror in self._mirrors.items()}

    def follow(self, followed: Followed) -> None:
        """Begin to keep what is known of a table."""
        self._followed[followed.table] = followed
        if not followed.is_written_here:
            self._mirrors[followed.table] = TableMirror()

    def note(self, answers: bool) -> None:
        """Note that the store was lost or answers again; then all is read anew."""
        self._answers = answers
        self._changes.on_next(answers)
        if not answers:
            return
        for table in self._followed:
            self._reread(table)

    def set_role(self, role: Role) -> None:
        """Note how this router learns of changes from now on."""
        if role is self._role:
            return
        log_event("role_changed", role=role.value, former=self._role.value)
        self._role = role
        self._role_changed.set()
        self._role_changed = asyncio.Event()
        # Ends polls that are not needed, or may have been lost unnoticed.
        for table in self._followed:
            self._reread(table)

    async def turn(self, followed: Followed) -> asyncio.Event:
        """Return when a table is to be polled; the event ends the poll."""
        while not self._is_polled(followed):
            await self._role_changed.wait()
        event = self._rereads.get(followed.table)
        if event is None or event.is_set():
            event = self._rereads[followed.table] = asyncio.Event()
        return event

    def take(self, table: str, read: TableRead, is_complete: bool) -> None:
        """Pass on rows of a table and keep them for other routers."""
        followed = self._followed.get(table)
        if followed is None:
            return
        followed.take(read, is_complete)
        mirror = self._mirrors.get(table)
        if mirror is not None:
            mirror.take(read, is_complete)
            if read.rows:
                self._changes.on_next(self._answers)

    def updates_since(self, known: Mapping[str, int]) -> list[TableUpdate]:
        """Return what is new to a router that knows tables up to the given versions."""
        updates = []
        for table, mirror in self._mirrors.items():
            update = mirror.update_since(table, known.get(table, 0))
            if update is not None:
                updates.append(update)
        return updates

    def _is_polled(self, followed: Followed) -> bool:
        if self._role is Role.LEADING:
            return not followed.is_written_here
        return self._role is Role.ALONE

    def _reread(self, table: str) -> None:
        event = self._rereads.get(table)
        if event is not None:
            event.set()


async def follow_table(
    store: TableStore, followed: Followed, contact: StoreContact
) -> None:
    """Read a table, then pass on each change; never returns."""
    table = followed.table
    wait_ms = PROBE_WAIT_MS if followed.is_probe else LONG_WAIT_MS
    contact.follow(followed)
    version: int | None = None
    failures = 0
    reread = asyncio.Event()
    while True:
        is_reread = reread.is_set()
        reread = await contact.turn(followed)
        if is_reread:
            version = None
        if version is None:
            result = await store.read(table)
        else:
            result = await _unless_set(store.follow(table, version, wait_ms), reread)
        if isinstance(result, Success):
            if failures:
                log_event("store_regained", table=table, failures=failures)
                failures = 0
            if not contact.answers:
                # Whichever table is read first: what it lacks may be back soon.
                contact.note(True)
            read = result.unwrap()
            contact.take(table, read, version is None)
            version = read.version
            if followed.gather_s and read.rows:
                await asyncio.sleep(followed.gather_s)
            continue
        reason = result.failure()
        if reason is TableFailure.HISTORY_LOST:
            log_event("history_lost", table=table, version=version)
            version = None
            continue
        if reread.is_set() and version is not None:
            version = None
            continue
        # A wait may be lost on the way; a read shows at once whether the store answers.
        version = None
        if not failures:
            log_event("store_lost", table=table, reason=reason.value)
            if followed.is_probe:
                contact.note(False)
        failures += 1
        delay_s = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2 ** min(failures, 8))
        await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))


async def _unless_set(
    call: Coroutine[Any, Any, Result[TableRead, TableFailure]], event: asyncio.Event
) -> Result[TableRead, TableFailure]:
    """Return the result of a call, or give it up when the event is set."""
    following = asyncio.ensure_future(call)
    waiting = asyncio.ensure_future(event.wait())
    try:
        await asyncio.wait({following, waiting}, return_when=asyncio.FIRST_COMPLETED)
        if following.done():
            return following.result()
        return Failure(TableFailure.UNKNOWN)
    finally:
        following.cancel()
        waiting.cancel()

"""Follows tables of the store, on its own or with what the leader tells.

A poll that waits for changes may be lost on the way and then ends only after its whole
wait. A router that hears from the leader is told of lost polls and outages; one that
does not follows one table, the probe, with short polls, which show the same.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

import msgspec
from reactivex.subject import Subject
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.logs import log_event

from .tablestore import TableFailure, TableRead, TableStore

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.8
PROBE_WAIT_MS = 2000
LONG_WAIT_MS = 10_000


class Followed(msgspec.Struct, frozen=True):
    """How a table is followed."""

    table: str
    is_probe: bool = False
    """Whether its polls show if the store answers."""
    is_relayed: bool = False
    """Whether the leader passes its rows on, so that it need not be polled."""
    gather_s: float = 0.0
    """Time in which changes after one are fetched together."""


class StoreContact:
    """Whether the store answers, and what is known of each table."""

    def __init__(self) -> None:
        self._is_linked = False
        self._unlinked = asyncio.Event()
        self._unlinked.set()
        self._rereads: dict[str, asyncio.Event] = {}
        self._followed: dict[str, Followed] = {}
        self._read_versions: dict[str, int] = {}
        self._changed_versions: dict[str, int] = {}
        self._answers = True
        self._changes: Subject[bool] = Subject()

    @property
    def changes(self) -> Subject[bool]:
        """Emits whether the store answers, at each change of that."""
        return self._changes

    @property
    def answers(self) -> bool:
        """Whether the store answered when that was last noted."""
        return self._answers

    @property
    def is_linked(self) -> bool:
        """Whether the leader tells this router what changes, or is this router."""
        return self._is_linked

    @property
    def changed_versions(self) -> Mapping[str, int]:
        """The version of the newest change seen of each table that is not relayed."""
        return self._changed_versions

    def read_version(self, table: str) -> int:
        """Return the store's version up to which changes of a table are known."""
        return self._read_versions.get(table, 0)

    def note(self, answers: bool) -> None:
        """Note that the store was lost or answers again; then all is read anew."""
        self._answers = answers
        self._changes.on_next(answers)
        if not answers:
            return
        for table in self._followed:
            self.reread(table)

    def set_linked(self, is_linked: bool) -> None:
        """Note whether the leader tells this router what changes."""
        if is_linked is self._is_linked:
            return
        self._is_linked = is_linked
        if is_linked:
            self._unlinked.clear()
        else:
            self._unlinked.set()
        for followed in self._followed.values():
            # Ends the polls whose kind is another now.
            if followed.is_relayed or (followed.is_probe and not is_linked):
                self.reread(followed.table)

    def reread(self, table: str) -> None:
        """End the poll of a table and read it as a whole."""
        event = self._rereads.get(table)
        if event is not None:
            event.set()

    async def turn(self, followed: Followed) -> asyncio.Event:
        """Return when a table is to be asked for; the event ends a poll of it."""
        self._followed[followed.table] = followed
        if followed.is_relayed:
            await self._unlinked.wait()
        event = self._rereads.get(followed.table)
        if event is None or event.is_set():
            event = self._rereads[followed.table] = asyncio.Event()
        return event

    def wait_ms(self, followed: Followed) -> int:
        """Return how long a poll waits for changes."""
        is_short = followed.is_probe and not self._is_linked
        return PROBE_WAIT_MS if is_short else LONG_WAIT_MS

    def note_read(self, followed: Followed, read: TableRead) -> None:
        """Note up to which version a table is known, and its newest change."""
        self._read_versions[followed.table] = read.version
        if followed.is_relayed or not read.rows:
            return
        newest = max(row.version for row in read.rows)
        known = self._changed_versions.get(followed.table, 0)
        self._changed_versions[followed.table] = max(known, newest)


async def follow_table(
    store: TableStore,
    followed: Followed,
    take: Callable[[TableRead, bool], None],
    contact: StoreContact,
) -> None:
    """Read a table, then pass on each change; never returns.

    ``take`` is given the rows and whether they are the complete table.
    """
    table = followed.table
    version: int | None = None
    failures = 0
    while True:
        reread = await contact.turn(followed)
        if version is None:
            result = await store.read(table)
        else:
            wait_ms = contact.wait_ms(followed)
            result = await _unless_set(store.follow(table, version, wait_ms), reread)
        if isinstance(result, Success):
            if failures:
                log_event("store_regained", table=table, failures=failures)
                failures = 0
            if not contact.answers:
                # Whichever table is read first: what it lacks may be back soon.
                contact.note(True)
            read = result.unwrap()
            take(read, version is None)
            version = read.version
            contact.note_read(followed, read)
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

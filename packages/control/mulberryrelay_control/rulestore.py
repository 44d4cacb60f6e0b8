"""Versions of the rule file in the platform's store: loading, submission and history.

The text goes to the object store first. One conditional transaction then writes the row
``rules/current`` and a history row, so that exactly one of two operators wins.
"""

import difflib
import hashlib
import time
import uuid
from collections.abc import Callable
from enum import Enum

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from mulberryrelay_kernel.errors import Finding
from mulberryrelay_kernel.ids import OperatorName, RowName, RulesVersion, WriteId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import (
    Condition,
    Row,
    RulesDocument,
    RulesRow,
    Write,
)
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.platform import Platform
from mulberryrelay_kernel.states import StoreFailure

from .rules import parse_rules

CURRENT_ROW = RowName("rules/current")
HISTORY_PREFIX = "rules/history/"
NO_VERSION = RulesVersion(0)

MAX_HISTORY = 1000

# A write whose reply was lost may still be on its way. Sending it again under the same
# write id settles the outcome; after this many attempts it is reported as unknown.
SUBMIT_ATTEMPTS = 3


class SubmitReason(Enum):
    """Why a submission was not accepted."""

    REJECTED = "rejected"
    """The text has findings; nothing was written."""
    LOST = "lost"
    """Another version was committed on the same base; nothing was written."""
    UNAVAILABLE = "unavailable"
    """The store refused before the row was written."""
    UNKNOWN = "unknown"
    """The store gave no reply and the row could not be read back."""


class SubmitFailure(msgspec.Struct, frozen=True):
    """Why a submission was not accepted, with what the operator needs to go on."""

    reason: SubmitReason
    findings: list[Finding] = []
    current: RulesRow | None = None
    """For LOST: the current version, its submitter and time."""
    diff: str = ""
    """For LOST: unified diff from the base version to the current one."""


class _Attempt(msgspec.Struct, frozen=True):
    """One submission on its way to the table."""

    row: RulesRow
    conditions: list[Condition]
    write_id: WriteId


class RuleStore:
    """Reads and writes versions of the rule file."""

    def __init__(
        self,
        options: Options,
        platform: Platform,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._options = options
        self._platform = platform
        self._unix_time = unix_time

    async def current(self) -> Result[RulesRow | None, StoreFailure]:
        """Return the row of the current version, or None if there is none."""
        return (await self._read_rows([CURRENT_ROW])).map(
            lambda rows: _rules_row(rows.get(CURRENT_ROW))
        )

    async def load(self) -> Result[RulesDocument | None, StoreFailure]:
        """Return the current version, or None if none was ever submitted."""
        row = await self.current()
        if not is_successful(row):
            return Failure(row.failure())
        found = row.unwrap()
        if found is None:
            return Success(None)
        return await self._document(found)

    async def load_version(
        self, version: RulesVersion
    ) -> Result[RulesDocument | None, StoreFailure]:
        """Return any committed version, or None if there is none of this number."""
        name = history_row(version)
        rows = await self._read_rows([name])
        if not is_successful(rows):
            return Failure(rows.failure())
        row = _rules_row(rows.unwrap().get(name))
        if row is None:
            return Success(None)
        return await self._document(row)

    async def history(self, limit: int) -> Result[list[RulesRow], StoreFailure]:
        """Return the rows of at most ``limit`` versions, the newest first."""
        current = await self.current()
        if not is_successful(current):
            return Failure(current.failure())
        newest = current.unwrap()
        if newest is None:
            return Success([])
        oldest = max(1, newest.version - min(limit, MAX_HISTORY) + 1)
        versions = [RulesVersion(n) for n in range(newest.version, oldest - 1, -1)]
        names = [history_row(version) for version in versions]
        rows = await self._read_rows(names)
        return rows.map(
            lambda found: [
                row for name in names if (row := _rules_row(found.get(name)))
            ]
        )

    async def submit(
        self,
        base: RulesVersion,
        text: str,
        operator: OperatorName,
        file: str = "rules",
    ) -> Result[RulesVersion, SubmitFailure]:
        """Commit ``text`` as the version after ``base``.

        Success means that the version is committed. ``SubmitReason.UNKNOWN`` means that
        it may have been.
        """
        parsed = parse_rules(text, file, self._options)
        if not is_successful(parsed):
            return Failure(SubmitFailure(SubmitReason.REJECTED, parsed.failure()))
        rows = await self._read_rows([CURRENT_ROW])
        if not is_successful(rows):
            return Failure(SubmitFailure(SubmitReason.UNAVAILABLE))
        known = rows.unwrap().get(CURRENT_ROW)
        current = _rules_row(known)
        if base != (current.version if current else NO_VERSION):
            return Failure(await self._lost(base, current))
        body = text.encode()
        digest = text_digest(body)
        version = RulesVersion(base + 1)
        row = RulesRow(
            version=version,
            object_name=f"rules/{version}-{digest}",
            digest=digest,
            submitter=operator,
            submitted_s=int(self._unix_time()),
        )
        stored = await self._platform.put_object(row.object_name, body)
        if not is_successful(stored):
            # No row names the object, so nothing has taken effect.
            return Failure(SubmitFailure(SubmitReason.UNAVAILABLE))
        conditions = [
            Condition(CURRENT_ROW, known.version if known else 0),
            Condition(history_row(version), 0),
        ]
        attempt = _Attempt(row, conditions, WriteId(uuid.uuid4().hex))
        return await self._commit(base, attempt)

    async def _commit(
        self, base: RulesVersion, attempt: _Attempt
    ) -> Result[RulesVersion, SubmitFailure]:
        value = msgspec.Raw(msgspec.json.encode(attempt.row))
        version = attempt.row.version
        names = (CURRENT_ROW, history_row(version))
        writes = [Write(name, value) for name in names]
        may_have_applied = False
        for _ in range(SUBMIT_ATTEMPTS):
            reply = await self._platform.transact(
                attempt.conditions, writes, attempt.write_id
            )
            if is_successful(reply):
                return Success(version)
            failure = reply.failure()
            if failure is StoreFailure.UNAVAILABLE and not may_have_applied:
                return Failure(SubmitFailure(SubmitReason.UNAVAILABLE))
            may_have_applied |= failure is StoreFailure.UNKNOWN
            winner = await self._winner(version)
            if winner is None:
                continue
            if winner == attempt.write_id:
                return Success(version)
            current = (await self.current()).value_or(None)
            return Failure(await self._lost(base, current))
        if not may_have_applied:
            return Failure(SubmitFailure(SubmitReason.LOST))
        log_event("rules_submission_unknown", version=version)
        return Failure(SubmitFailure(SubmitReason.UNKNOWN))

    async def _winner(self, version: RulesVersion) -> WriteId | None:
        """Return the write id that committed a version, or None if not known.

        Reads the history row: ``rules/current`` may already hold a later version.
        """
        name = history_row(version)
        rows = await self._read_rows([name])
        row = rows.value_or({}).get(name)
        return row.write_id if row else None

    async def _lost(
        self, base: RulesVersion, current: RulesRow | None
    ) -> SubmitFailure:
        before = (await self.load_version(base)).value_or(None)
        after = None
        if current is not None:
            after = (await self._document(current)).value_or(None)
        return SubmitFailure(
            SubmitReason.LOST, current=current, diff=_diff(base, before, current, after)
        )

    async def _read_rows(
        self, names: list[RowName]
    ) -> Result[dict[RowName, Row], StoreFailure]:
        return await self._platform.read(names)

    async def _document(
        self, row: RulesRow
    ) -> Result[RulesDocument | None, StoreFailure]:
        body = await self._platform.get_object(row.object_name)
        if not is_successful(body):
            return Failure(body.failure())
        content = body.unwrap()
        if content is None or text_digest(content) != row.digest:
            # Rules are applied exactly as committed or not at all.
            log_event("rules_object_damaged", version=row.version)
            return Failure(StoreFailure.UNKNOWN)
        return Success(RulesDocument(row.version, content.decode()))


def history_row(version: RulesVersion) -> RowName:
    """Return the name of the row that keeps a version's submitter, time and object."""
    return RowName(f"{HISTORY_PREFIX}{version:010d}")


def text_digest(body: bytes) -> str:
    """Return the digest that names and verifies a text of rules."""
    return hashlib.sha256(body).hexdigest()


def _rules_row(row: Row | None) -> RulesRow | None:
    if row is None:
        return None
    return msgspec.json.decode(row.value, type=RulesRow)


def _diff(
    base: RulesVersion,
    before: RulesDocument | None,
    current: RulesRow | None,
    after: RulesDocument | None,
) -> str:
    if current is None or after is None:
        return ""
    if before is None and base != NO_VERSION:
        return ""
    lines = difflib.unified_diff(
        before.text.splitlines() if before else [],
        after.text.splitlines(),
        f"version {base}",
        f"version {current.version} by {current.submitter}",
        lineterm="",
    )
    return "\n".join(lines)

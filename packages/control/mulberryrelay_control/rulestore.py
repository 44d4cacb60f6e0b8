"""Versions of the rule file in the platform's store: loading, submission and history.

A submission first stores the text in the object store. One conditional transaction then
writes the row ``rules/current`` and a history row, so that of two operators who submit
at the same time exactly one succeeds.
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
# Base version of the first submission.
NO_VERSION = RulesVersion(0)

# Largest number of versions that one call of ``history`` returns.
MAX_HISTORY = 1000

# Attempts to commit a submission. A write whose reply was lost may still be in transit;
# retrying it with the same write id determines the outcome. After this many attempts
# the outcome is reported as unknown.
SUBMIT_ATTEMPTS = 3


class SubmitFailureReason(Enum):
    """Why a submission was not accepted."""

    REJECTED = "rejected"
    """The text has findings; nothing was written."""
    CONFLICT = "lost"
    """The base is no longer the current version; nothing was written."""
    UNAVAILABLE = "unavailable"
    """A call to the store failed; no version was written."""
    UNKNOWN = "unknown"
    """The store did not reply and the row could not be read back."""


class SubmitFailure(msgspec.Struct, frozen=True):
    """Failure of a submission, with the details that the operator needs to fix it."""

    reason: SubmitFailureReason
    findings: list[Finding] = []
    current: RulesRow | None = None
    """For CONFLICT: row of the current version, with its submitter and time."""
    diff: str = ""
    """For CONFLICT: unified diff from the base version to the current one."""


class _Commit(msgspec.Struct, frozen=True):
    """Transaction that commits a submission; the same for every attempt."""

    row: RulesRow
    conditions: list[Condition]
    write_id: WriteId


class RuleStore:
    """Reads versions of the rule file from the store and submits new ones."""

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
        """Return the current version with its text, or None if there is none."""
        row = await self.current()
        if not is_successful(row):
            return Failure(row.failure())
        current = row.unwrap()
        if current is None:
            return Success(None)
        return await self._read_document(current)

    async def load_version(
        self, version: RulesVersion
    ) -> Result[RulesDocument | None, StoreFailure]:
        """Return a committed version with its text, or None if it does not exist."""
        name = history_row(version)
        rows = await self._read_rows([name])
        if not is_successful(rows):
            return Failure(rows.failure())
        row = _rules_row(rows.unwrap().get(name))
        if row is None:
            return Success(None)
        return await self._read_document(row)

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
            lambda rows_by_name: [
                row for name in names if (row := _rules_row(rows_by_name.get(name)))
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

        Success means that the version was committed, ``SubmitFailureReason.UNKNOWN``
        that it may have been, any other failure that it was not.
        """
        parsed = parse_rules(text, file, self._options)
        if not is_successful(parsed):
            return Failure(
                SubmitFailure(SubmitFailureReason.REJECTED, parsed.failure())
            )
        rows = await self._read_rows([CURRENT_ROW])
        if not is_successful(rows):
            return Failure(SubmitFailure(SubmitFailureReason.UNAVAILABLE))
        current_row = rows.unwrap().get(CURRENT_ROW)
        current = _rules_row(current_row)
        if base != (current.version if current else NO_VERSION):
            return Failure(await self._conflict_failure(base, current))
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
            # No row refers to the object, so the submission has no effect.
            return Failure(SubmitFailure(SubmitFailureReason.UNAVAILABLE))
        conditions = [
            Condition(CURRENT_ROW, current_row.version if current_row else 0),
            Condition(history_row(version), 0),
        ]
        commit = _Commit(row, conditions, WriteId(uuid.uuid4().hex))
        return await self._commit(base, commit)

    async def _commit(
        self, base: RulesVersion, commit: _Commit
    ) -> Result[RulesVersion, SubmitFailure]:
        """Run the transaction until it succeeds, fails or is out of attempts."""
        value = msgspec.Raw(msgspec.json.encode(commit.row))
        version = commit.row.version
        names = (CURRENT_ROW, history_row(version))
        writes = [Write(name, value) for name in names]
        may_have_applied = False
        for _ in range(SUBMIT_ATTEMPTS):
            reply = await self._platform.transact(
                commit.conditions, writes, commit.write_id
            )
            if is_successful(reply):
                return Success(version)
            failure = reply.failure()
            if failure is StoreFailure.UNAVAILABLE and not may_have_applied:
                return Failure(SubmitFailure(SubmitFailureReason.UNAVAILABLE))
            may_have_applied |= failure is StoreFailure.UNKNOWN
            committed_by = await self._committed_write_id(version)
            if committed_by is None:
                continue
            if committed_by == commit.write_id:
                return Success(version)
            current = (await self.current()).value_or(None)
            return Failure(await self._conflict_failure(base, current))
        if not may_have_applied:
            return Failure(SubmitFailure(SubmitFailureReason.CONFLICT))
        log_event("rules_submission_unknown", version=version)
        return Failure(SubmitFailure(SubmitFailureReason.UNKNOWN))

    async def _committed_write_id(self, version: RulesVersion) -> WriteId | None:
        """Return the write id that committed a version, or None if it is unknown.

        Reads the history row, since ``rules/current`` may already have a later version.
        """
        name = history_row(version)
        rows = await self._read_rows([name])
        row = rows.value_or({}).get(name)
        return row.write_id if row else None

    async def _conflict_failure(
        self, base: RulesVersion, current: RulesRow | None
    ) -> SubmitFailure:
        """Return the failure of a submission whose base is not the current version."""
        before = (await self.load_version(base)).value_or(None)
        after = None
        if current is not None:
            after = (await self._read_document(current)).value_or(None)
        return SubmitFailure(
            SubmitFailureReason.CONFLICT,
            current=current,
            diff=_diff(base, before, current, after),
        )

    async def _read_rows(
        self, names: list[RowName]
    ) -> Result[dict[RowName, Row], StoreFailure]:
        return await self._platform.read(names)

    async def _read_document(
        self, row: RulesRow
    ) -> Result[RulesDocument | None, StoreFailure]:
        body = await self._platform.get_object(row.object_name)
        if not is_successful(body):
            return Failure(body.failure())
        content = body.unwrap()
        if content is None or text_digest(content) != row.digest:
            # The text must be applied exactly as committed, or not at all.
            log_event("rules_object_damaged", version=row.version)
            return Failure(StoreFailure.UNKNOWN)
        return Success(RulesDocument(row.version, content.decode()))


def history_row(version: RulesVersion) -> RowName:
    """Return the name of a version's history row, which contains a ``RulesRow``."""
    return RowName(f"{HISTORY_PREFIX}{version:010d}")


def text_digest(body: bytes) -> str:
    """Return the digest of a rule file, used in its object name and to verify it."""
    return hashlib.sha256(body).hexdigest()


def _rules_row(row: Row | None) -> RulesRow | None:
    """Return the decoded value of a row, or None if the row is absent."""
    if row is None:
        return None
    return msgspec.json.decode(row.value, type=RulesRow)


def _diff(
    base: RulesVersion,
    before: RulesDocument | None,
    current: RulesRow | None,
    after: RulesDocument | None,
) -> str:
    """Return the diff from base to current version; empty if a text is missing."""
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

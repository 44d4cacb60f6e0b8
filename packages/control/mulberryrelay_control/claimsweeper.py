"""Deletes idempotency claims that are older than the retention setting.

A claim is the stored record of a request with an idempotency key. The sweeper runs as a
task of the coordinator. It reads the claims of a service in slices by the first digits
of their digests, so that one read stays small with millions of claims. A deletion is
conditional on the version that was read, so that a claim that was renewed meanwhile is
kept.
"""

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful

from mulberryrelay_kernel.clock import Clock, monotonic_ms
from mulberryrelay_kernel.ids import RowName, WriteId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import ClaimRow, Condition, Row, Write
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.platform import Platform

# Number of hexadecimal digits that the digests of a slice have in common. With three, a
# slice has about 2,400 of 10 million claims.
SLICE_DIGITS = 3
# Number of times that all slices are read within the retention time.
SWEEPS_PER_RETENTION = 4
# Claims deleted by one transaction, and the pause after each.
BATCH_SIZE = 32
BATCH_PAUSE_S = 0.25
# A claim is only deleted if it stayed unchanged for this many times the longest
# deadline. This protects requests in flight of a router whose clock is far behind.
MIN_UNCHANGED_DEADLINES = 3


class _ExpiredBatch(NamedTuple):
    """Claims that may be deleted from ``due_ms`` on if they are still unchanged."""

    due_ms: float
    conditions: Sequence[Condition]


class ClaimSweeper:
    """Finds and deletes old claims in small batches.

    ``now_s`` returns the wall-clock time in seconds since the Unix epoch.
    """

    def __init__(
        self,
        options: Options,
        platform: Platform,
        clock: Clock = monotonic_ms,
        now_s: Callable[[], float] = time.time,
    ) -> None:
        self._options = options
        self._platform = platform
        self._clock = clock
        self._now_s = now_s
        self._unchanged_ms = options.limits.deadline_ms * MIN_UNCHANGED_DEADLINES
        self._expired_batches: deque[_ExpiredBatch] = deque()

    async def run(self) -> None:
        """Read all slices in turn and delete old claims, until cancelled."""
        prefixes = list(self._prefixes())
        sweep_s = self._options.limits.claim_retention_s / SWEEPS_PER_RETENTION
        # A random start, since a term may be shorter than a whole sweep.
        position = random.randrange(len(prefixes))
        while True:
            await asyncio.sleep(sweep_s / len(prefixes))
            await self.queue_expired_claims(prefixes[position])
            position = (position + 1) % len(prefixes)
            await self.delete_queued_claims()

    async def queue_expired_claims(self, prefix: str) -> None:
        """Queue the claims below a prefix that are past the retention time."""
        scanned = await self._platform.scan(prefix)
        if not is_successful(scanned):
            return
        expired_before_s = self._now_s() - self._options.limits.claim_retention_s
        conditions = [
            Condition(row.name, row.version)
            for row in scanned.unwrap()
            if _created_s(row) < expired_before_s
        ]
        due_ms = self._clock() + self._unchanged_ms
        for start in range(0, len(conditions), BATCH_SIZE):
            batch = conditions[start : start + BATCH_SIZE]
            self._expired_batches.append(_ExpiredBatch(due_ms, batch))

    async def delete_queued_claims(self) -> None:
        """Delete the queued claims whose waiting time has passed."""
        while (
            self._expired_batches and self._expired_batches[0].due_ms <= self._clock()
        ):
            batch = self._expired_batches.popleft().conditions
            if not await self._delete(batch):
                # A claim was renewed or the store does not reply. The next sweep finds
                # the remaining claims again.
                log_event("claim_deletion_failed", rows=len(batch))
            await asyncio.sleep(BATCH_PAUSE_S)

    async def _delete(self, batch: Sequence[Condition]) -> bool:
        deletions = [Write(condition.name, None) for condition in batch]
        write_id = WriteId(f"{random.getrandbits(128):032x}")
        return is_successful(await self._platform.transact(batch, deletions, write_id))

    def _prefixes(self) -> Iterator[str]:
        for service in self._options.services:
            for number in range(16**SLICE_DIGITS):
                yield claims_prefix(service, f"{number:0{SLICE_DIGITS}x}")


def claims_prefix(service: str, digits: str) -> RowName:
    """Return the row name prefix of a service's claims in one slice."""
    return RowName(f"claims/{service}/{digits}")


def _created_s(row: Row) -> int:
    return msgspec.json.decode(row.value, type=ClaimRow).created_s

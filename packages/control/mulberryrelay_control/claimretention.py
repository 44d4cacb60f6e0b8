"""Deletes idempotency claims that are older than the retention setting.

Part of the coordinator. The claims of a service are read in slices of their digests, so
that one read stays small with millions of claims. A deletion is conditional on the
version that was read, so that a claim that was renewed meanwhile stays.
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

# A slice has the claims whose digest begins with these hexadecimal digits: of 10
# million claims, about 2,400.
SLICE_DIGITS = 3
# All slices are read once in this part of the retention time.
SWEEPS_PER_RETENTION = 4
BATCH_SIZE = 32
BATCH_PAUSE_S = 0.25
# A claim is deleted only if it is unchanged for this many of the longest deadlines. It
# protects a request in flight from a router whose clock is far behind.
UNCHANGED_DEADLINES = 3


class _Expired(NamedTuple):
    """Claims that may be deleted from ``due_ms`` on, if they are unchanged."""

    due_ms: float
    conditions: Sequence[Condition]


class ClaimSweeper:
    """Deletes old claims in small batches.

    ``now_s`` returns seconds since the Unix epoch.
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
        self._unchanged_ms = options.limits.deadline_ms * UNCHANGED_DEADLINES
        self._expired: deque[_Expired] = deque()

    async def run(self) -> None:
        """Sweep all slices again and again until cancelled."""
        prefixes = list(self._prefixes())
        sweep_s = self._options.limits.claim_retention_s / SWEEPS_PER_RETENTION
        # A coordinator may not last for a whole sweep.
        place = random.randrange(len(prefixes))
        while True:
            await asyncio.sleep(sweep_s / len(prefixes))
            await self.read_slice(prefixes[place])
            place = (place + 1) % len(prefixes)
            await self.delete_due()

    async def read_slice(self, prefix: str) -> None:
        """Find the claims below a prefix that are old enough."""
        found = await self._platform.scan(prefix)
        if not is_successful(found):
            return
        oldest_s = self._now_s() - self._options.limits.claim_retention_s
        conditions = [
            Condition(row.name, row.version)
            for row in found.unwrap()
            if _created_s(row) < oldest_s
        ]
        due_ms = self._clock() + self._unchanged_ms
        for start in range(0, len(conditions), BATCH_SIZE):
            batch = conditions[start : start + BATCH_SIZE]
            self._expired.append(_Expired(due_ms, batch))

    async def delete_due(self) -> None:
        """Delete the claims that were found long enough ago."""
        while self._expired and self._expired[0].due_ms <= self._clock():
            batch = self._expired.popleft().conditions
            if not await self._delete(batch):
                # One of them was renewed or the store does not answer. The next sweep
                # finds the rest again.
                log_event("claims_kept", rows=len(batch))
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
    """Return the beginning of the names of a service's claims."""
    return RowName(f"claims/{service}/{digits}")


def _created_s(row: Row) -> int:
    return msgspec.json.decode(row.value, type=ClaimRow).created_s

"""Decides when a router that does not lead reads the leader lease again.

While the leader replies, that is rarely. A router that misses the leader reads the
lease once, and then when it may be free: a read before would not help. So many routers
that lose the leader together make few calls to the store.
"""

import asyncio
import random

from mulberryrelay_kernel.clock import Clock

from .messages import LeaderNoticeRow
from .ownership import Ownership

CHECK_PERIOD_MS = 60_000.0
"""Mean period in which the lease is read although nothing indicates that the leader is
gone; a leader that does not reply to reports is such an indication."""
RETRY_MS = 150.0
"""Unit of the pause before the lease is read again; one pause is up to three of them,
so that few routers read it at once."""


class LeaseWatch:
    """When the lease may be free, and whether the leader may be gone."""

    def __init__(self, ownership: Ownership, clock: Clock) -> None:
        self._ownership = ownership
        self._clock = clock
        self._check_event = asyncio.Event()
        """Set when the lease has to be read now."""
        self._free_from_ms = float("-inf")
        """Time at which the lease last read may be taken, if it is not renewed."""
        self._is_leader_suspected = False
        """Whether the leader may be gone."""
        ownership.changes.subscribe(lambda _: self._on_ownership_change())

    def set_free_from(self, free_from_ms: float) -> None:
        """Record when the lease that was read may be taken."""
        self._free_from_ms = free_from_ms

    def check_soon(self) -> None:
        """Read the lease as soon as it may be free, because the leader may be gone.

        A leader that releases its lease before it expires says so in its notice.
        """
        self._is_leader_suspected = True
        if self._clock() >= self._free_from_ms:
            self._check_event.set()

    async def wait(self) -> None:
        """Wait until the lease has to be read again."""
        wait_ms = self._wait_ms()
        self._is_leader_suspected = False
        self._check_event.clear()
        await wait_for_event(self._check_event, wait_ms)

    def _wait_ms(self) -> float:
        is_check_due = self._check_event.is_set()
        is_leader_known = is_leading(self._ownership.leader_notice)
        if is_leader_known and not self._is_leader_suspected and not is_check_due:
            return CHECK_PERIOD_MS * random.uniform(0.5, 1.5)
        left_ms = self._free_from_ms - self._clock()
        if left_ms <= 0 or is_check_due:
            return RETRY_MS * random.uniform(1.0, 3.0)
        return left_ms + RETRY_MS * random.uniform(0.0, 3.0)

    def _on_ownership_change(self) -> None:
        notice = self._ownership.leader_notice
        if notice is not None and not is_leading(notice):
            self._check_event.set()


def is_leading(notice: LeaderNoticeRow | None) -> bool:
    """Return whether a notice names a leader; that of a released lease names none."""
    return notice is not None and bool(notice.boot_id)


async def wait_for_event(event: asyncio.Event, timeout_ms: float) -> None:
    """Wait for an event, at most the given time; clear it if it was set."""
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            await event.wait()
    except TimeoutError:
        return
    event.clear()

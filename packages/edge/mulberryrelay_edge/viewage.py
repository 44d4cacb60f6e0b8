"""Up to when a router knows all changes of the servers, and whether it may rely on it.

A server may begin to drain right after that time without the router knowing. So the
time bounds how long any server, known to drain or not, may still get requests. Only the
start of a call whose rows were applied shows it; the leader passes its own time on to
its followers.
"""

from collections import deque
from math import inf

import msgspec

from mulberryrelay_kernel.logs import log_event

SEND_MARGIN_MS = 500.0
"""Time that a request may take from its write to a server that must soon get none."""
SILENT_MS = 1200.0
"""Time without any answer after which the store may be away.

A leader whose calls for the lease are answered gets answers more often.
"""
MAX_READS = 64
"""Reads of which the version is kept; there are about three in a second."""


class VersionRead(msgspec.Struct, frozen=True, array_like=True):
    """A read of the store that started at a time and returned a version."""

    version: int
    started_ms: float


class WriteTimes:
    """Earliest times at which rows may have been written, by their versions.

    All tables share the versions of the store. A row whose version is above that of a
    read was written after the start of the read. If a read contradicts that, no time is
    known from then on. Times are on the router's clock.
    """

    def __init__(self) -> None:
        self._reads: deque[VersionRead] = deque(maxlen=MAX_READS)
        """Reads with rising versions and start times."""
        self._highest = 0
        self._highest_since_ms = inf
        """Time from which on each read has to return the highest version or more."""
        self._are_versions_shared = True

    @property
    def last_read(self) -> VersionRead | None:
        """The read with the highest version."""
        if not self._reads or not self._are_versions_shared:
            return None
        return self._reads[-1]

    def record_read(
        self, version: int, started_ms: float, ended_ms: float = inf
    ) -> None:
        """Record that the store had a version between two times."""
        if version < self._highest and started_ms > self._highest_since_ms:
            if self._are_versions_shared:
                log_event("store_version_fell", version=version, highest=self._highest)
            self._are_versions_shared = False
        if version > self._highest:
            self._highest = version
            self._highest_since_ms = ended_ms
        while self._reads and self._reads[-1].started_ms <= started_ms:
            if self._reads[-1].version < version:
                break
            self._reads.pop()
        if not self._reads or self._reads[-1].started_ms < started_ms:
            self._reads.append(VersionRead(version, started_ms))

    def earliest_ms(self, version: int) -> float:
        """Return the earliest time of the write of a row; minus infinity if unknown."""
        if not self._are_versions_shared:
            return -inf
        for read in reversed(self._reads):
            if read.version < version:
                return read.started_ms
        return -inf


class ViewAge:
    """The age of a router's view of the servers. Times are on the router's clock."""

    def __init__(self) -> None:
        self._informed_until_ms = -inf
        self._unanswered_ms = -inf
        self._answered_ms = -inf

    @property
    def informed_until_ms(self) -> float:
        """Time up to which all changes are certainly known.

        Minus infinity before the first read.
        """
        return self._informed_until_ms

    @property
    def has_unanswered_call(self) -> bool:
        """Whether the store has not answered a call since the view was current."""
        return self._unanswered_ms > self._informed_until_ms

    def record_informed(self, until_ms: float) -> None:
        """Record that all changes up to a time are known."""
        self._informed_until_ms = max(self._informed_until_ms, until_ms)

    def record_unanswered(self, started_ms: float) -> None:
        """Record that the store has not answered a call that started then."""
        self._unanswered_ms = max(self._unanswered_ms, started_ms)

    def record_answered(self, started_ms: float) -> None:
        """Record that the store answered some call that started then."""
        self._answered_ms = max(self._answered_ms, started_ms)

    def age_ms(self, now_ms: float) -> float:
        """Return the time since all changes were known; infinity before a read."""
        return now_ms - self._informed_until_ms

    def is_usable(self, now_ms: float, max_age_ms: float) -> bool:
        """Return whether requests may be sent by the view.

        An old view is used only while the store answers no call of this router, since
        nothing newer is to be had then.
        """
        if self.age_ms(now_ms) <= max_age_ms:
            return True
        is_silent = now_ms - self._answered_ms > SILENT_MS
        return self.has_unanswered_call and is_silent

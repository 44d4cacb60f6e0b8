"""Owners of keys as this router last read them from the store."""

from bisect import bisect_right

import msgspec
from reactivex.subject import Subject

from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event

from .messages import KeyRange, LeaderNoticeRow, RangeMapRow
from .tablestore import TableRead

RANGES_TABLE = "ranges"
"""Followed by every router; a row for each keyed service and the leader notice."""
NOTICE_KEY = "~leader"
"""Not a valid name of a service."""


class Ownership:
    """Ranges of all keyed services, from the table that the leader writes."""

    def __init__(self) -> None:
        self._maps: dict[ServiceName, RangeMapRow] = {}
        self._starts: dict[ServiceName, list[int]] = {}
        self._versions: dict[str, int] = {}
        self._notice: LeaderNoticeRow | None = None
        self._changes: Subject[None] = Subject()

    @property
    def changes(self) -> Subject[None]:
        """Emits after each change."""
        return self._changes

    @property
    def notice(self) -> LeaderNoticeRow | None:
        """The last announcement of a leader."""
        return self._notice

    def version(self, service: ServiceName) -> int:
        """Return the store's version of a service's ranges; 0 before the first."""
        return self._versions.get(service, 0)

    def find(self, service: ServiceName, key: int) -> KeyRange | None:
        """Return the range of a key, or None before the keys were divided."""
        row = self._maps.get(service)
        if row is None:
            return None
        return row.ranges[bisect_right(self._starts[service], key) - 1]

    def take(self, read: TableRead, is_complete: bool) -> None:
        """Apply rows; older versions than those known are passed over."""
        for row in read.rows:
            if row.value is None or row.version <= self._versions.get(row.key, 0):
                continue
            self._versions[row.key] = row.version
            try:
                if row.key == NOTICE_KEY:
                    self._notice = msgspec.json.decode(row.value, type=LeaderNoticeRow)
                    continue
                ranges = msgspec.json.decode(row.value, type=RangeMapRow)
            except msgspec.MsgspecError as error:
                log_event("bad_row", table=RANGES_TABLE, key=row.key, error=str(error))
                continue
            service = ServiceName(row.key)
            self._maps[service] = ranges
            self._starts[service] = [part.first for part in ranges.ranges]
            log_event(
                "ranges_applied",
                service=service,
                row_version=row.version,
                ranges=len(ranges.ranges),
                moving=sum(part.is_moving for part in ranges.ranges),
            )
        self._changes.on_next(None)

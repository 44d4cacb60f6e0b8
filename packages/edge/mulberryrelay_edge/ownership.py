"""Owners of keys as this router last heard of them, from the store or the leader."""

from bisect import bisect_right
from collections import deque
from collections.abc import Mapping

import msgspec
from reactivex.subject import Subject

from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event

from .keyspace import Ranges, changed_ranges, is_whole, patch_ranges
from .messages import KeyRange, LeaderNoticeRow, RangeChange, RangeMapRow
from .tablestore import TableRead

RANGES_TABLE = "ranges"
"""Followed by every router; a row for each keyed service and the leader notice."""
NOTICE_KEY = "~leader"
"""Not a valid name of a service."""
KEPT_VERSIONS = 8
"""Versions of a service's ranges to which changes can be told."""


class Ownership:
    """Ranges of all keyed services, from the table that the leader writes."""

    def __init__(self) -> None:
        self._maps: dict[ServiceName, Ranges] = {}
        self._former: dict[ServiceName, deque[tuple[int, Ranges]]] = {}
        """The last versions of each service's ranges."""
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
        ranges = self._maps.get(service)
        if ranges is None:
            return None
        return ranges[bisect_right(self._starts[service], key) - 1]

    def ranges(self, service: ServiceName) -> Ranges:
        """Return all ranges of a service; none before its keys were divided."""
        return self._maps.get(service, ())

    @property
    def range_versions(self) -> Mapping[ServiceName, int]:
        """The store's version of the ranges of each service."""
        return {service: self._versions[service] for service in self._maps}

    def changes_since(self, known: Mapping[ServiceName, int]) -> list[RangeChange]:
        """Return what is new to a router that knows the given versions."""
        changes = []
        for service, ranges in self._maps.items():
            version = self._versions[service]
            base_version = known.get(service, 0)
            if base_version >= version:
                continue
            base = dict(self._former[service]).get(base_version)
            if base is None:
                changes.append(RangeChange(service, version, 0, ranges))
                continue
            changed = changed_ranges(base, ranges)
            changes.append(RangeChange(service, version, base_version, changed))
        return changes

    def take_changes(self, changes: list[RangeChange]) -> None:
        """Apply what the leader tells; versions that are known are passed over."""
        for change in changes:
            service = change.service
            known_version = self._versions.get(service, 0)
            if change.version <= known_version:
                continue
            ranges = change.ranges
            if change.base_version:
                if change.base_version != known_version:
                    continue
                ranges = patch_ranges(self._maps[service], ranges)
            if not is_whole(ranges):
                log_event("bad_ranges", service=service, row_version=change.version)
                continue
            self._put(service, change.version, ranges)
        if changes:
            self._changes.on_next(None)

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
            self._put(ServiceName(row.key), row.version, ranges.ranges)
        self._changes.on_next(None)

    def _put(self, service: ServiceName, version: int, ranges: Ranges) -> None:
        self._versions[service] = version
        self._maps[service] = ranges
        self._starts[service] = [part.first for part in ranges]
        former = self._former.setdefault(service, deque(maxlen=KEPT_VERSIONS))
        former.append((version, ranges))
        log_event(
            "ranges_applied",
            service=service,
            row_version=version,
            ranges=len(ranges),
            moving=sum(part.is_moving for part in ranges),
        )

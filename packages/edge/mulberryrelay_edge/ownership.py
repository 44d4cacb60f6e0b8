"""Local view of the range maps: which server owns each key of each keyed service.

The view is updated from the store's ranges table or, on followers, by the leader.
"""

from bisect import bisect_right
from collections import deque
from collections.abc import Mapping

import msgspec
from reactivex.subject import Subject

from mulberryrelay_kernel.decoding import decode_json
from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event

from .messages import KeyRange, LeaderNoticeRow, RangeChange, RangeMapRow
from .rangeedits import Ranges, changed_ranges, covers_all_keys, patch_ranges
from .storeversion import restores_of
from .tablestore import TableRead

RANGES_TABLE = "ranges"
"""Table with the range maps and the leader notice; every router tracks it."""
LEADER_NOTICE_KEY = "~leader"
"""Key of the leader notice; it cannot be the name of a service."""
KEPT_VERSIONS = 8
"""Number of versions of a service's ranges that are kept as a base for updates."""


class Ownership:
    """The ranges of all keyed services as last observed, and the leader notice."""

    def __init__(self) -> None:
        self._range_maps: dict[ServiceName, Ranges] = {}
        self._recent_versions: dict[ServiceName, deque[tuple[int, Ranges]]] = {}
        """The last versions of each service's ranges, the current one included."""
        self._first_keys: dict[ServiceName, list[int]] = {}
        self._versions: dict[str, int] = {}
        self._leader_notice: LeaderNoticeRow | None = None
        self._changes: Subject[None] = Subject()

    @property
    def changes(self) -> Subject[None]:
        """Emits after each change of ranges or of the leader notice."""
        return self._changes

    @property
    def leader_notice(self) -> LeaderNoticeRow | None:
        """The last announcement of a leader, or None if there was none."""
        return self._leader_notice

    def version(self, service: ServiceName) -> int:
        """Return the row version of a service's ranges; 0 if there are none yet."""
        return self._versions.get(service, 0)

    def find(self, service: ServiceName, key: int) -> KeyRange | None:
        """Return the range of a key, or None before the initial assignment."""
        ranges = self._range_maps.get(service)
        if ranges is None:
            return None
        return ranges[bisect_right(self._first_keys[service], key) - 1]

    def ranges(self, service: ServiceName) -> Ranges:
        """Return all ranges of a service; empty before the initial assignment."""
        return self._range_maps.get(service, ())

    @property
    def range_versions(self) -> Mapping[ServiceName, int]:
        """Row version of the ranges of each service."""
        return {service: self._versions[service] for service in self._range_maps}

    def has_ranges_before(self, restores: int) -> bool:
        """Return whether ranges are known that were read before the given restore."""
        return any(
            self.is_from_before(service, restores) for service in self._range_maps
        )

    def is_from_before(self, service: ServiceName, restores: int) -> bool:
        """Return whether a service's ranges were read before the given restore."""
        return restores_of(self.version(service)) < restores

    def changes_since(
        self, known_versions: Mapping[ServiceName, int]
    ) -> list[RangeChange]:
        """Return the updates for a router that has the given versions."""
        changes = []
        for service, ranges in self._range_maps.items():
            version = self._versions[service]
            base_version = known_versions.get(service, 0)
            if base_version >= version:
                continue
            base = dict(self._recent_versions[service]).get(base_version)
            if base is None:
                changes.append(RangeChange(service, version, 0, ranges))
                continue
            changed = changed_ranges(base, ranges)
            changes.append(RangeChange(service, version, base_version, changed))
        return changes

    def apply_changes(self, changes: list[RangeChange]) -> None:
        """Apply updates from the leader; skip those that are not newer."""
        for change in changes:
            service = change.service
            known_version = self._versions.get(service, 0)
            if change.version <= known_version:
                continue
            ranges = change.ranges
            if change.base_version:
                if change.base_version != known_version:
                    continue
                ranges = patch_ranges(self._range_maps[service], ranges)
            if not covers_all_keys(ranges):
                log_event("bad_ranges", service=service, row_version=change.version)
                continue
            self._set_ranges(service, change.version, ranges)
        if changes:
            self._changes.on_next(None)

    def apply_rows(self, read: TableRead, is_complete: bool) -> None:
        """Apply rows of the ranges table; skip those that are not newer."""
        for row in read.rows:
            if row.value is None or row.version <= self._versions.get(row.key, 0):
                continue
            try:
                if row.key == LEADER_NOTICE_KEY:
                    self._versions[row.key] = row.version
                    self._leader_notice = decode_json(row.value, LeaderNoticeRow)
                    continue
                ranges = decode_json(row.value, RangeMapRow)
            except msgspec.MsgspecError as error:
                log_event("bad_row", table=RANGES_TABLE, key=row.key, error=str(error))
                self._versions[row.key] = row.version
                continue
            is_outdated = ranges.restores < restores_of(row.version)
            if is_outdated and row.key in self._range_maps:
                # A restored store lost later moves, which are known here.
                log_event("outdated_ranges_ignored", service=row.key)
                continue
            self._set_ranges(ServiceName(row.key), row.version, ranges.ranges)
        self._changes.on_next(None)

    def _set_ranges(self, service: ServiceName, version: int, ranges: Ranges) -> None:
        self._versions[service] = version
        self._range_maps[service] = ranges
        self._first_keys[service] = [key_range.first for key_range in ranges]
        recent = self._recent_versions.setdefault(service, deque(maxlen=KEPT_VERSIONS))
        recent.append((version, ranges))
        log_event(
            "ranges_applied",
            service=service,
            row_version=version,
            ranges=len(ranges),
            moving=sum(key_range.is_moving for key_range in ranges),
        )

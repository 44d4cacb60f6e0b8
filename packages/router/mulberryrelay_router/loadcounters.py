"""Counts the requests of each key range and of the most frequent keys.

The coordinator client collects the counts once per second and sends them with a
heartbeat to the coordinator, which uses them for placement.
"""

import heapq
from collections import Counter
from collections.abc import Collection, Sequence

from mulberryrelay_kernel.hashing import (
    OVERRIDE_PREFIX,
    is_override,
    range_index,
    range_unit,
)
from mulberryrelay_kernel.ids import Key, ServiceName
from mulberryrelay_kernel.messages import UnitCount, UnitUpdate
from mulberryrelay_kernel.options import Options

# Number of frequent keys that a router counts, and of those that it reports.
TRACKED_KEYS = 256
REPORTED_KEYS = 32


class HotKeys:
    """Counts the most frequent keys in bounded memory (space-saving algorithm).

    Any key with more than 1 / ``capacity`` of all requests is tracked.
    """

    def __init__(self, capacity: int = TRACKED_KEYS) -> None:
        self._capacity = capacity
        self._counts: dict[Key, int] = {}
        self._max_errors: dict[Key, int] = {}
        # Contains each tracked key once, with a count that may be out of date and too
        # low. A hit does not update the heap; an eviction corrects the top entries.
        self._heap: list[tuple[int, Key]] = []

    def __len__(self) -> int:
        return len(self._counts)

    def count(self, key: Key) -> None:
        """Count one request."""
        counts = self._counts
        if key in counts:
            counts[key] += 1
            return
        if len(counts) < self._capacity:
            self._max_errors[key] = 0
            counts[key] = 1
            heapq.heappush(self._heap, (1, key))
            return
        lowest, evicted = self._lowest_count()
        del counts[evicted], self._max_errors[evicted]
        counts[key] = lowest + 1
        self._max_errors[key] = lowest
        heapq.heapreplace(self._heap, (lowest + 1, key))

    def top(self, number: int) -> list[tuple[Key, int]]:
        """Return the keys with the highest guaranteed counts.

        The guaranteed count of a key is its count minus its maximum error.
        """
        guaranteed = [
            (key, count - self._max_errors[key]) for key, count in self._counts.items()
        ]
        guaranteed.sort(key=lambda item: (-item[1], item[0]))
        return guaranteed[:number]

    def _lowest_count(self) -> tuple[int, Key]:
        while True:
            heap_count, key = self._heap[0]
            count = self._counts[key]
            if count == heap_count:
                return count, key
            heapq.heapreplace(self._heap, (count, key))


class LoadCounter:
    """Counts the requests of one service that is partitioned by key."""

    def __init__(self, service: ServiceName, ranges: int) -> None:
        self._service = service
        self._ranges = ranges
        self._range_counts = [0] * ranges
        self._hot_keys = HotKeys()
        self._override_counts: Counter[Key] = Counter()
        self._override_keys: frozenset[Key] = frozenset()

    def set_overrides(self, keys: Collection[Key]) -> None:
        """Count the requests of these keys exactly from now on."""
        self._override_keys = frozenset(keys)

    def count(self, key: Key) -> None:
        """Count one request.

        A key with an override is also counted for its range, so that the average of the
        range does not jump when the override is created or removed.
        """
        self._range_counts[range_index(key, self._ranges)] += 1
        if key in self._override_keys:
            self._override_counts[key] += 1
            return
        self._hot_keys.count(key)

    def collect_and_reset(self) -> list[UnitCount]:
        """Return the counts since the last call and reset them."""
        counts = [
            UnitCount(self._service, range_unit(index), requests)
            for index, requests in enumerate(self._range_counts)
            if requests
        ]
        counts += self._key_counts(sorted(self._override_counts.items()))
        counts += self._key_counts(self._hot_keys.top(REPORTED_KEYS))
        self._range_counts = [0] * self._ranges
        self._hot_keys = HotKeys()
        self._override_counts.clear()
        return counts

    def _key_counts(self, items: Sequence[tuple[Key, int]]) -> list[UnitCount]:
        return [
            UnitCount(
                self._service,
                range_unit(range_index(key, self._ranges)),
                requests,
                key,
            )
            for key, requests in items
            if requests
        ]


class LoadCounters:
    """Counters of all services that are partitioned by key."""

    def __init__(self, options: Options) -> None:
        self._counters = {
            name: LoadCounter(name, service.ranges)
            for name, service in options.services.items()
            if service.partitioned
        }
        self._overrides: dict[ServiceName, set[Key]] = {
            name: set() for name in self._counters
        }

    def count(self, service: ServiceName, key: Key) -> None:
        """Count one request; ignore services that are not partitioned."""
        counter = self._counters.get(service)
        if counter is not None:
            counter.count(key)

    def track_override(self, update: UnitUpdate) -> None:
        """Apply a changed unit of the view: an override may be created or removed."""
        unit = update.unit
        counter = self._counters.get(update.service)
        if counter is None or not is_override(unit.unit):
            return
        key = Key(unit.unit.removeprefix(OVERRIDE_PREFIX))
        overrides = self._overrides[update.service]
        if unit.owner is None:
            overrides.discard(key)
        else:
            overrides.add(key)
        counter.set_overrides(overrides)

    def collect_and_reset(self) -> list[UnitCount]:
        """Return the counts since the last call and reset them."""
        return [
            count
            for counter in self._counters.values()
            for count in counter.collect_and_reset()
        ]

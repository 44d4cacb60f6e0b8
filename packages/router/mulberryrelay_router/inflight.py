"""Counts requests in flight, per unit and in total.

A move and the shutdown of a router wait until their requests have ended.
"""

from collections import Counter

from reactivex import Observable
from reactivex.subject import Subject

from mulberryrelay_kernel.hashing import override_unit
from mulberryrelay_kernel.ids import Key, ServiceName, UnitId


class InFlight:
    """Counts requests that were sent to a server and may still have an effect."""

    def __init__(self) -> None:
        self._total = 0
        self._started = 0
        self._units: Counter[tuple[ServiceName, UnitId]] = Counter()
        self._drained: Subject[tuple[ServiceName, UnitId]] = Subject()

    @property
    def total(self) -> int:
        """Number of requests in flight."""
        return self._total

    @property
    def started(self) -> int:
        """Number of requests sent since the process started."""
        return self._started

    @property
    def drained(self) -> Observable[tuple[ServiceName, UnitId]]:
        """Emits a unit whenever its last request in flight has ended."""
        return self._drained

    def is_drained(self, service: ServiceName, unit: UnitId) -> bool:
        """Return whether no request for the unit is in flight.

        A request counts for the unit under which it was sent and for the override of
        its key, because an override may be created while requests run under the key's
        range.
        """
        return not self._units[service, unit]

    def start(self, service: ServiceName, unit: UnitId | None, key: Key | None) -> None:
        """Count a request directly before it is sent."""
        self._total += 1
        self._started += 1
        for counted in _counted_units(unit, key):
            self._units[service, counted] += 1

    def end(self, service: ServiceName, unit: UnitId | None, key: Key | None) -> None:
        """Stop counting a request that can have no later effect."""
        self._total -= 1
        for counted in _counted_units(unit, key):
            self._units[service, counted] -= 1
            if self._units[service, counted]:
                continue
            del self._units[service, counted]
            self._drained.on_next((service, counted))


def _counted_units(unit: UnitId | None, key: Key | None) -> set[UnitId]:
    if unit is None or key is None:
        return set()
    return {unit, override_unit(key)}

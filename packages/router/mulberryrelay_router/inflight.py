"""Counts requests in flight, so that moving units and stopping routers can drain."""

from collections import Counter

from reactivex import Observable
from reactivex.subject import Subject

from mulberryrelay_kernel.hashing import override_unit
from mulberryrelay_kernel.ids import Key, ServiceName, UnitId


class InFlight:
    """Requests that were sent to a backend server and have not ended."""

    def __init__(self) -> None:
        self._total = 0
        self._started = 0
        self._units: Counter[tuple[ServiceName, UnitId]] = Counter()
        # An emission costs more than the counting, and hardly any unit is moving.
        self._watched: set[tuple[ServiceName, UnitId]] = set()
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
        """Emits a watched unit whenever its last request in flight has ended."""
        return self._drained

    def watch(self, service: ServiceName, unit: UnitId) -> None:
        """Emit from now on when the unit is drained."""
        self._watched.add((service, unit))

    def unwatch(self, service: ServiceName, unit: UnitId) -> None:
        """Stop emitting for the unit."""
        self._watched.discard((service, unit))

    def is_drained(self, service: ServiceName, unit: UnitId) -> bool:
        """Return whether no request for the unit is in flight.

        A request counts for the unit that it was sent under and for the override of its
        key, since an override is made while requests run under the key's range.
        """
        return not self._units[service, unit]

    def start(self, service: ServiceName, unit: UnitId | None, key: Key | None) -> None:
        """Count a request directly before it is sent."""
        self._total += 1
        self._started += 1
        for counted in _units_of(unit, key):
            self._units[service, counted] += 1

    def end(self, service: ServiceName, unit: UnitId | None, key: Key | None) -> None:
        """Count a request that has ended and can have no later effect."""
        self._total -= 1
        for counted in _units_of(unit, key):
            name = (service, counted)
            left = self._units[name] - 1
            if left:
                self._units[name] = left
                continue
            del self._units[name]
            if name in self._watched:
                self._drained.on_next(name)


def _units_of(unit: UnitId | None, key: Key | None) -> tuple[UnitId, ...]:
    if unit is None or key is None:
        return ()
    override = override_unit(key)
    return (unit,) if unit == override else (unit, override)

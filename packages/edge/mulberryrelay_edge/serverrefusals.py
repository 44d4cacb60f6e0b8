"""Which servers lately refused connections, as any router found.

A server that refuses connections may start again under the same id and is cold then.
Few routers try to reach it while it is down. They report it to the leader, which tells
all others, so that these do not send as before to the new process. Routers of one data
centre may be refused only because its links are broken, so others heed their reports
only if those of another data centre agree.
"""

from collections.abc import Iterable
from math import floor, inf

from reactivex.subject import Subject

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre, ServerId

from .messages import Refusals, ServerRefusal

REPORTED_MS = 2000.0
"""Time after a refusal in which it is reported; reports are sent every 0.6 s."""
NEW_AFTER_MS = 1000.0
"""Time after a refusal from which on another one of the server is passed on."""
AGE_STEP_MS = 100.0
"""Step to which ages are rounded down, so that equal replies are encoded once."""
CONFIRMING_MS = 3000.0
"""Time in which refusals in two data centres confirm each other."""
MAX_REFUSALS = 1024
"""Servers and data centres whose refusals are remembered."""

_Observer = tuple[ServerId, DataCentre]
"""A server and the data centre of a router whose connection it refused."""


class ServerRefusals:
    """The latest refusal of each server."""

    def __init__(self, data_centre: DataCentre, clock: Clock) -> None:
        """``data_centre`` is the one of this router."""
        self._data_centre = data_centre
        self._clock = clock
        self._own_ms: dict[_Observer, float] = {}
        """Time of the latest refusal that this router observed."""
        self._any_ms: dict[_Observer, float] = {}
        """Time of the latest refusal that any router observed, as far as known."""
        self._version = 0
        self._changes: Subject[None] = Subject()

    @property
    def changes(self) -> Subject[None]:
        """Emits after each refusal that other routers have to know of."""
        return self._changes

    @property
    def own(self) -> tuple[ServerRefusal, ...]:
        """Recent refusals that this router observed, to be reported to the leader."""
        return self._recent(self._own_ms)

    @property
    def all(self) -> Refusals:
        """Recent refusals that any router observed, for the leader's replies."""
        return Refusals(self._version, self._recent(self._any_ms))

    def record(self, server: ServerId) -> None:
        """Record that a server refused a connection of this router."""
        observer = (server, self._data_centre)
        self._own_ms[observer] = self._clock()
        _drop_oldest(self._own_ms)
        self._add(observer, self._clock())

    def apply(self, refusals: Iterable[ServerRefusal]) -> set[ServerId]:
        """Record refusals that other routers observed.

        Returns the servers that have refused connections again, as is confirmed.
        """
        now_ms = self._clock()
        new = {
            refusal.server
            for refusal in refusals
            if self._add((refusal.server, refusal.data_centre), now_ms - refusal.age_ms)
        }
        return {server for server in new if self._is_confirmed(server)}

    def _is_confirmed(self, server: ServerId) -> bool:
        oldest_ms = self._clock() - CONFIRMING_MS
        observers = {
            data_centre
            for (refused, data_centre), time_ms in self._any_ms.items()
            if refused == server and time_ms >= oldest_ms
        }
        return self._data_centre in observers or len(observers) > 1

    def _add(self, observer: _Observer, refused_ms: float) -> bool:
        if refused_ms - self._any_ms.get(observer, -inf) < NEW_AFTER_MS:
            return False
        self._any_ms[observer] = refused_ms
        _drop_oldest(self._any_ms)
        self._version += 1
        self._changes.on_next(None)
        return True

    def _recent(self, refused_ms: dict[_Observer, float]) -> tuple[ServerRefusal, ...]:
        now_ms = self._clock()
        return tuple(
            ServerRefusal(
                *observer, floor((now_ms - time_ms) / AGE_STEP_MS) * AGE_STEP_MS
            )
            for observer, time_ms in refused_ms.items()
            if now_ms - time_ms < REPORTED_MS
        )


def _drop_oldest(refused_ms: dict[_Observer, float]) -> None:
    if len(refused_ms) > MAX_REFUSALS:
        del refused_ms[min(refused_ms, key=lambda observer: refused_ms[observer])]

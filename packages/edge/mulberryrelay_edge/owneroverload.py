"""Finds the owners of keys that are asked for more than their slots can run.

The leader decides it from the keys that all routers report, and names these servers in
its replies, so that all routers pace their requests to them (``measuredrate.py``). It
answers a hot key, and keys that became busy before they were moved.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId, ServiceName
from mulberryrelay_kernel.logs import log_event

from .capacity import Capacity
from .keyload import KeySample
from .messages import KeyRange, PacedServer
from .unreachableservers import Incarnation

OVERLOAD = 1.1
"""Utilisation of the slots of an owner above which it is paced."""
MIN_SAMPLES = 10
"""Sampled requests of an owner from which its utilisation is known well enough."""
CHECK_PERIOD_MS = 300.0
"""Minimum time between two checks."""
HOLD_MS = 2000.0
"""Time after its last overload for which an owner is paced."""

KeyedLoad = tuple[Sequence[KeyRange], KeySample, Sequence[Capacity]]
"""The ranges, the sampled requests and the capacities of a keyed service."""


def overloaded_owners(
    ranges: Sequence[KeyRange], sample: KeySample, capacities: Sequence[Capacity]
) -> list[PacedServer]:
    """Return the owners with more sampled requests than they can run, with their rates.

    Empty while it is not known how long a request takes.
    """
    if sample.service_ms <= 0:
        return []
    samples = _count_by_owner(ranges, sample.keys)
    overloaded = []
    for capacity in capacities:
        server = capacity.server
        requests = samples[server.server, server.started_ms]
        utilisation = requests * sample.slots_per_key / capacity.slots
        if requests < MIN_SAMPLES or utilisation <= OVERLOAD:
            continue
        per_s = capacity.slots * 1000.0 / sample.service_ms
        overloaded.append(
            PacedServer(server.server, server.started_ms, round(per_s, 1))
        )
    return overloaded


def _count_by_owner(
    ranges: Sequence[KeyRange], keys: Sequence[int]
) -> Counter[tuple[ServerId, int]]:
    """Return the number of keys of each owner; both arguments are in key order."""
    counts: Counter[tuple[ServerId, int]] = Counter()
    remaining = iter(ranges)
    key_range = next(remaining, None)
    for key in keys:
        while key_range is not None and key > key_range.last:
            key_range = next(remaining, None)
        if key_range is None:
            break
        counts[key_range.owner, key_range.owner_started_ms] += 1
    return counts


class OwnerOverload:
    """The owners that are paced while this router leads."""

    def __init__(
        self, load: Callable[[], Mapping[ServiceName, KeyedLoad]], clock: Clock
    ) -> None:
        self._load = load
        self._clock = clock
        self._checked_ms = float("-inf")
        self._overloaded: dict[Incarnation, tuple[PacedServer, float]] = {}
        """Each owner with the time of its last overload."""

    def paced(self) -> tuple[PacedServer, ...]:
        """Return the servers that all routers pace."""
        now_ms = self._clock()
        if now_ms - self._checked_ms >= CHECK_PERIOD_MS:
            self._checked_ms = now_ms
            self._check(now_ms)
        return tuple(paced for paced, _ in self._overloaded.values())

    def _check(self, now_ms: float) -> None:
        for service, (ranges, sample, capacities) in self._load().items():
            for paced in overloaded_owners(ranges, sample, capacities):
                incarnation = (paced.server, paced.started_ms)
                if incarnation not in self._overloaded:
                    log_event(
                        "owner_overloaded",
                        service=service,
                        server=paced.server,
                        per_s=paced.per_s,
                    )
                self._overloaded[incarnation] = (paced, now_ms)
        for incarnation, (_, overloaded_ms) in list(self._overloaded.items()):
            if now_ms - overloaded_ms > HOLD_MS:
                del self._overloaded[incarnation]

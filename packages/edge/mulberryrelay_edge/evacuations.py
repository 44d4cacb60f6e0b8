"""Evacuated data centres, as this router observes them.

An operator writes a row beside the routes to evacuate a data centre. Its servers get no
requests any more some time after the write, which is counted from the earliest time at
which the row may have been written. When the row is gone, requests without a key return
in steps.
"""

import functools
from collections.abc import Callable, Sequence

import msgspec
import xxhash

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre, InstanceId, ServerId, ServiceName
from mulberryrelay_kernel.logs import log_event

from .messages import BackendServer
from .tablestore import Source, TableRead, decode_row
from .viewage import SEND_MARGIN_MS, WriteTimes

RETURN_RAMP_MS = 4000.0
"""Time after an evacuation until all routers use all servers of the data centre."""
RETURN_FIRST_SHARE = 0.1
"""Share of the servers that a router uses at once after an evacuation."""
MAX_LOGGED_AGE_MS = 3_600_000.0
"""Age in a log line if it is not known."""


class Evacuation(msgspec.Struct, frozen=True):
    """An evacuation that is in force; times are on the router's clock."""

    data_centre: DataCentre
    since_ms: float
    """Earliest time at which the row may have been written."""
    seen_ms: float
    """Time at which this router read the row."""


class Evacuations:
    """The evacuated data centres, and those whose evacuation ended lately."""

    def __init__(
        self,
        source: Source[DataCentre],
        evacuation_ms: float,
        instance: InstanceId,
        write_times: WriteTimes,
        clock: Clock,
        are_servers_divided: Callable[[ServiceName], bool] = lambda service: False,
    ) -> None:
        """``evacuation_ms`` is ``EdgeOptions.evacuation_ms``.

        ``are_servers_divided`` tells whether the leader divides the servers of a
        service among the routers; it then lets the load of each one rise.
        """
        self._source = source
        self._grace_ms = max(0.0, evacuation_ms - SEND_MARGIN_MS)
        self._instance = instance
        self._write_times = write_times
        self._clock = clock
        self._are_servers_divided = are_servers_divided
        self._evacuations: dict[DataCentre, Evacuation] = {}
        self._row_versions: dict[DataCentre, int] = {}
        """Version of the newest row of each data centre, deletions included."""
        self._ended_ms: dict[DataCentre, float] = {}
        """End of the last evacuation of each data centre, within the ramp."""

    @property
    def grace_ms(self) -> float:
        """Time after the write of its row in which a server may get requests."""
        return self._grace_ms

    @property
    def data_centres(self) -> tuple[DataCentre, ...]:
        """The evacuated data centres, in order of their names."""
        return tuple(sorted(self._evacuations))

    def evacuation(self, data_centre: DataCentre) -> Evacuation | None:
        """Return the evacuation of a data centre, or None if it is not evacuated."""
        return self._evacuations.get(data_centre)

    def is_evacuated(self, data_centre: DataCentre) -> bool:
        """Return whether servers of a data centre get no new requests or keys."""
        return data_centre in self._evacuations

    def is_grace_over(self, data_centre: DataCentre) -> bool:
        """Return whether servers of a data centre get no requests at all."""
        evacuation = self._evacuations.get(data_centre)
        if evacuation is None:
            return False
        return self._clock() - evacuation.since_ms > self._grace_ms

    def return_share(self, data_centre: DataCentre) -> float:
        """Return the share of a data centre's servers that a router uses.

        It is below 1 for a while after an evacuation.
        """
        ended_ms = self._ended_ms.get(data_centre)
        if ended_ms is None:
            return 1.0
        elapsed_share = (self._clock() - ended_ms) / RETURN_RAMP_MS
        if elapsed_share >= 1.0:
            del self._ended_ms[data_centre]
            return 1.0
        return RETURN_FIRST_SHARE + (1.0 - RETURN_FIRST_SHARE) * elapsed_share

    def usable(self, servers: Sequence[BackendServer]) -> list[BackendServer]:
        """Return the servers to which requests without a key may go.

        Servers of evacuated data centres are returned only if there are no others, and
        until their grace is over.
        """
        if not self._evacuations and not self._ended_ms:
            return list(servers)
        elsewhere = [s for s in servers if not self.is_evacuated(s.data_centre)]
        if not elsewhere:
            return [s for s in servers if not self.is_grace_over(s.data_centre)]
        return [s for s in elsewhere if self._has_returned(s)] or elsewhere

    def _has_returned(self, server: BackendServer) -> bool:
        """Return whether this router uses a server again after an evacuation.

        Each router uses other servers first, so that the load of each one rises evenly.
        """
        if self._are_servers_divided(server.service):
            return True
        share = self.return_share(server.data_centre)
        return share >= 1.0 or _position(self._instance, server.server) < share

    def apply(self, read: TableRead, is_complete: bool) -> bool:
        """Apply rows; return whether the evacuated data centres changed.

        Rows of another kind are ignored. A complete read ends the evacuations whose
        rows are gone. Rows may come ahead of older ones of their table.
        """
        before = self.data_centres
        listed: set[DataCentre] = set()
        for row in read.rows:
            data_centre = decode_row(self._source, row)
            if data_centre is None:
                continue
            listed.add(data_centre)
            if row.version <= self._row_versions.get(data_centre, 0):
                continue
            self._row_versions[data_centre] = row.version
            if row.value is None:
                self._end(data_centre)
            else:
                self._begin(data_centre, row.version)
        if is_complete:
            self._remove_absent(listed, read.version)
        return self.data_centres != before

    def _remove_absent(self, listed: set[DataCentre], version: int) -> None:
        for data_centre, row_version in list(self._row_versions.items()):
            if data_centre in listed or row_version > version:
                continue
            del self._row_versions[data_centre]
            self._end(data_centre)

    def _begin(self, data_centre: DataCentre, version: int) -> None:
        if data_centre in self._evacuations:
            return
        now_ms = self._clock()
        since_ms = self._write_times.earliest_ms(version)
        self._evacuations[data_centre] = Evacuation(data_centre, since_ms, now_ms)
        self._ended_ms.pop(data_centre, None)
        log_event(
            "evacuation_began",
            data_centre=data_centre,
            row_version=version,
            max_age_ms=round(min(now_ms - since_ms, MAX_LOGGED_AGE_MS)),
        )

    def _end(self, data_centre: DataCentre) -> None:
        evacuation = self._evacuations.pop(data_centre, None)
        if evacuation is None:
            return
        now_ms = self._clock()
        self._ended_ms[data_centre] = now_ms
        log_event(
            "evacuation_ended",
            data_centre=data_centre,
            lasted_ms=round(now_ms - evacuation.seen_ms),
            ramp_ms=RETURN_RAMP_MS,
        )


@functools.lru_cache(maxsize=4096)
def _position(instance: InstanceId, server: ServerId) -> float:
    """Return a number in [0, 1) that differs between routers and servers."""
    return xxhash.xxh32_intdigest(f"{server} {instance}".encode()) / (1 << 32)

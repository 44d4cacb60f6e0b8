"""Finds out which data centres this router does not reach, while it reaches others.

A connection to a server that hangs is a hint. The router then tries to connect to some
servers of that data centre. If none of them answers twice in a row, though servers
elsewhere respond, the fault is between the data centres. A refused connection counts as
an answer: the network passes it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from reactivex.subject import Subject

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre
from mulberryrelay_kernel.logs import log_event

from .messages import BackendServer

PROBED_SERVERS = 4
"""Servers of a suspected data centre that are probed at a time."""
PROBED_ELSEWHERE = 2
"""Servers elsewhere that are probed if none of them has responded lately."""
PROBED_FOR_RETURN = 3
"""Servers of an unreached data centre that are probed at a time."""
ROUNDS_TO_UNREACHED = 2
"""Rounds of probes without an answer after which a data centre is unreached."""
ROUND_PERIOD_S = 0.1
"""Pause between two rounds of probes of a suspected data centre."""
RETURN_PERIOD_S = 0.5
"""Pause between two rounds of probes while data centres are unreached."""
HINT_PERIOD_MS = 1000.0
"""Time after an answer to a probe in which hints are ignored."""
ANSWERED_MS = 300.0
"""Time after a response in which hints on its data centre are ignored."""

Probe = Callable[[BackendServer], Awaitable[bool]]
"""Returns whether an address accepts or refuses a connection, so that it is reached."""


class DataCentreReach:
    """Which data centres this router reaches, as far as hints made it probe them."""

    def __init__(
        self, servers: Callable[[], Sequence[BackendServer]], probe: Probe, clock: Clock
    ) -> None:
        """``servers`` returns all registered servers."""
        self._servers = servers
        self._probe = probe
        self._clock = clock
        self._hint = asyncio.Event()
        """Set while a data centre is suspected or unreached."""
        self._failed_rounds: dict[DataCentre, int] = {}
        """Rounds of probes without an answer, of each suspected data centre."""
        self._suspected_ms: dict[DataCentre, float] = {}
        """Time of the last hint on each data centre that was not ignored."""
        self._unreached_ms: dict[DataCentre, float] = {}
        """Since when each unreached data centre is."""
        self._ignores_hints_until_ms: dict[DataCentre, float] = {}
        self._responded_ms: dict[DataCentre, float] = {}
        """Time of the last response of a server in each data centre."""
        self._changes: Subject[None] = Subject()

    @property
    def changes(self) -> Subject[None]:
        """Emits when a data centre is no longer reached, or is reached again."""
        return self._changes

    @property
    def unreached(self) -> tuple[DataCentre, ...]:
        """The data centres that are not reached, while others are."""
        return tuple(sorted(self._unreached_ms))

    def is_unreached(self, data_centre: DataCentre) -> bool:
        """Return whether a data centre is not reached, while others are."""
        return data_centre in self._unreached_ms

    def usable(self, servers: Sequence[BackendServer]) -> Sequence[BackendServer]:
        """Return the servers in reached data centres, or all if there are none."""
        if not self._unreached_ms:
            return servers
        return [s for s in servers if s.data_centre not in self._unreached_ms] or (
            servers
        )

    def are_unreached(self, servers: Sequence[BackendServer]) -> bool:
        """Return whether there are servers, all in unreached data centres."""
        if not self._unreached_ms or not servers:
            return False
        return all(s.data_centre in self._unreached_ms for s in servers)

    def suspect(self, data_centre: DataCentre) -> None:
        """Probe a data centre now, because a connection or response of it hangs."""
        if self.is_unreached(data_centre) or data_centre in self._failed_rounds:
            return
        now_ms = self._clock()
        if now_ms < self._ignores_hints_until_ms.get(data_centre, float("-inf")):
            return
        if now_ms - self._last_response_ms(data_centre) < ANSWERED_MS:
            return
        if all(s.data_centre == data_centre for s in self._servers()):
            # No server elsewhere can show that the fault is between data centres.
            return
        self._failed_rounds[data_centre] = 0
        self._suspected_ms[data_centre] = now_ms
        self._hint.set()

    def record_response(self, data_centre: DataCentre) -> None:
        """Record that a server of a data centre has responded."""
        self._responded_ms[data_centre] = self._clock()
        self._failed_rounds.pop(data_centre, None)
        if data_centre in self._unreached_ms:
            self._end(data_centre)

    async def run(self) -> None:
        """Probe data centres whenever there is a reason to; never returns."""
        while True:
            await self._hint.wait()
            checked = {*self._failed_rounds, *self._unreached_ms}
            await asyncio.gather(*(self._check(name) for name in checked))
            if self._failed_rounds:
                await asyncio.sleep(ROUND_PERIOD_S)
            elif self._unreached_ms:
                await self._wait_for_return_round()
            else:
                self._hint.clear()

    async def _wait_for_return_round(self) -> None:
        """Wait for the next round of probes; a new hint starts one at once."""
        self._hint.clear()
        try:
            async with asyncio.timeout(RETURN_PERIOD_S):
                await self._hint.wait()
        except TimeoutError:
            self._hint.set()

    async def _check(self, data_centre: DataCentre) -> None:
        """Probe a data centre once, and draw the conclusions."""
        if self.is_unreached(data_centre):
            chosen = self._choose(PROBED_FOR_RETURN, data_centre)
            reached = await asyncio.gather(*(self._probe(s) for s in chosen))
            if 2 * sum(reached) >= len(chosen) and self.is_unreached(data_centre):
                self._end(data_centre)
            return
        chosen = self._choose(PROBED_SERVERS, data_centre)
        if not chosen or await self._reaches_any(chosen):
            self._clear_suspicion(data_centre)
            return
        if data_centre not in self._failed_rounds:
            # A server has responded in the meantime.
            return
        self._failed_rounds[data_centre] += 1
        if self._failed_rounds[data_centre] < ROUNDS_TO_UNREACHED:
            return
        is_other_reached = await self._reaches_elsewhere(data_centre)
        if data_centre not in self._failed_rounds:
            return
        self._clear_suspicion(data_centre)
        if is_other_reached:
            self._begin(data_centre)

    def _begin(self, data_centre: DataCentre) -> None:
        self._unreached_ms[data_centre] = self._clock()
        servers = sum(s.data_centre == data_centre for s in self._servers())
        log_event("data_centre_unreached", data_centre=data_centre, servers=servers)
        self._changes.on_next(None)

    def _end(self, data_centre: DataCentre) -> None:
        lost_ms = round(self._clock() - self._unreached_ms.pop(data_centre))
        log_event("data_centre_reached", data_centre=data_centre, lost_ms=lost_ms)
        self._changes.on_next(None)

    def _clear_suspicion(self, data_centre: DataCentre) -> None:
        self._failed_rounds.pop(data_centre, None)
        until_ms = self._clock() + HINT_PERIOD_MS
        self._ignores_hints_until_ms[data_centre] = until_ms

    def _last_response_ms(self, data_centre: DataCentre) -> float:
        return self._responded_ms.get(data_centre, float("-inf"))

    async def _reaches_elsewhere(self, data_centre: DataCentre) -> bool:
        """Return whether servers of other data centres are reached."""
        others = {s.data_centre for s in self._servers()} - {data_centre}
        since_ms = self._suspected_ms[data_centre]
        if any(self._last_response_ms(other) > since_ms for other in others):
            return True
        others -= {*self._unreached_ms, *self._failed_rounds}
        return await self._reaches_any(self._choose(PROBED_ELSEWHERE, *others))

    async def _reaches_any(self, servers: Sequence[BackendServer]) -> bool:
        """Return whether one of some servers is reached, as soon as that is known."""
        probes = [asyncio.ensure_future(self._probe(server)) for server in servers]
        try:
            for probe in asyncio.as_completed(probes):
                if await probe:
                    return True
            return False
        finally:
            for started in probes:
                started.cancel()

    def _choose(self, count: int, *data_centres: DataCentre) -> list[BackendServer]:
        """Return some servers of data centres."""
        servers = [s for s in self._servers() if s.data_centre in data_centres]
        return random.sample(servers, min(count, len(servers)))

"""Spreads the requests of all routers to a server evenly over time.

A server in need states how many requests a second it takes from all routers together.
The leader has one schedule for all routers: a router reserves a time for each request
that it sends to such a server. Times are reserved only as far ahead as the requests may
wait, so that a request that would be too late is refused at once. It answers demand
above the limit of a server, from any number of routers.
"""

import random
import uuid

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ScheduleId

from .measuredrate import MeasuredRate
from .messages import ReservationRequest, Reservations
from .unreachableservers import Incarnation

MAX_BURST = 2.0
"""Requests that may be sent at once after a pause."""
MAX_RETURN_MS = 1000.0
"""Time until which refused callers are told to return, at most."""
COLD_DELAY_MS = 800.0
"""Time from the first request for a cold server until the first reserved time.

In it, routers that do not know yet that the server is cold may still send to it. With
500 ms and 20 requests per second before, 65 routers sent up to 14 within a second.
"""
COLD_PAUSE_MS = 2000.0
"""Time without a request for a cold server after which this delay applies again."""
COLD_STARTED_MS = -1
"""Start time under which the times of all incarnations of a cold server are kept."""
FORGET_MS = 10_000.0
"""Time after the last request for a server for which its limit is remembered."""


class _ServerTimes:
    """Reserved times of one incarnation of a server."""

    def __init__(self, free_ms: float) -> None:
        self.free_ms = free_ms
        """First time that is not reserved."""
        self.return_ms = free_ms
        """Time at which the caller refused last should return."""
        self.asked_ms = free_ms
        """Time of the last request for reservations."""
        self.limit_per_s = 0.0
        self.measured: MeasuredRate | None = None
        """Rate of a server that states no limit."""


class SendSchedule:
    """The reserved times of all servers that state a limit."""

    def __init__(self, clock: Clock, starts_full: bool = True) -> None:
        """Without ``starts_full``, the first time is one interval after the start.

        Such a schedule is of one router only, and its first time at a cold server is at
        random within one interval, so that many such routers do not send together.
        """
        self._clock = clock
        self._id = ScheduleId(uuid.uuid4().hex[:12])
        self._starts_full = starts_full
        self._servers: dict[Incarnation, _ServerTimes] = {}

    def limit_per_s(self, incarnation: Incarnation) -> float | None:
        """Return the limit that a router lately reserved times under, or None."""
        times = self._servers.get(incarnation)
        if times is None or self._clock() - times.asked_ms > FORGET_MS:
            return None
        return times.limit_per_s if times.measured is None else None

    def reserve(
        self,
        request: ReservationRequest,
        share: float = 1.0,
        cold_from_ms: float = float("-inf"),
    ) -> Reservations:
        """Reserve times for some requests to a server, as many as it takes.

        A request for no times confirms those that were reserved before.
        ``share`` is the part of the server's limit that this schedule may use, and no
        time at a cold server is before ``cold_from_ms``.
        """
        now_ms = self._clock()
        times = self._times(request, 1000.0 / (request.limit_per_s * share))
        times.asked_ms = now_ms
        times.limit_per_s = _limit_in_force(times, request, now_ms)
        interval_ms = 1000.0 / (times.limit_per_s * share)
        if request.is_cold:
            earliest_ms = max(now_ms, cold_from_ms)
        else:
            earliest_ms = now_ms - (MAX_BURST - 1) * interval_ms
        times.free_ms = max(times.free_ms, earliest_ms)
        waits_ms: list[float] = []
        while len(waits_ms) < request.wanted:
            wait_ms = max(0.0, times.free_ms - now_ms)
            if wait_ms > request.max_wait_ms:
                break
            waits_ms.append(wait_ms)
            times.free_ms += interval_ms
        return_in_ms = 0.0
        refused = request.wanted - len(waits_ms)
        if refused:
            # Refused callers return one after the other, at the rate that is served.
            first_ms = max(times.return_ms, times.free_ms)
            times.return_ms = min(
                first_ms + refused * interval_ms, now_ms + MAX_RETURN_MS
            )
            return_in_ms = times.return_ms - now_ms
        free_in_ms = max(0.0, times.free_ms - now_ms)
        if request.is_cold:
            # A router that has lost the leader asks again once there is another one.
            free_in_ms = min(free_in_ms, MAX_RETURN_MS)
        return Reservations(tuple(waits_ms), free_in_ms, return_in_ms, self._id)

    def refuse(self) -> Reservations:
        """Reserve no times, since it is not known how many this schedule may use."""
        return Reservations((), MAX_RETURN_MS, MAX_RETURN_MS, self._id)

    def _times(self, request: ReservationRequest, interval_ms: float) -> _ServerTimes:
        now_ms = self._clock()
        started_ms = COLD_STARTED_MS if request.is_cold else request.started_ms
        incarnation = (request.server, started_ms)
        times = self._servers.get(incarnation)
        if times is not None and not self._has_paused(request, times):
            return times
        if times is None:
            self._forget_old(now_ms)
        if not request.is_cold:
            free_ms = now_ms if self._starts_full else now_ms + interval_ms
        elif self._starts_full:
            free_ms = now_ms + COLD_DELAY_MS
        else:
            free_ms = now_ms + random.random() * interval_ms
        if times is not None:
            free_ms = max(free_ms, times.free_ms)
        times = self._servers[incarnation] = _ServerTimes(free_ms)
        return times

    def _has_paused(self, request: ReservationRequest, times: _ServerTimes) -> bool:
        """Return whether a cold server may have turned cold since the last request."""
        if not request.is_cold or not self._starts_full:
            return False
        return self._clock() - times.asked_ms > COLD_PAUSE_MS

    def _forget_old(self, now_ms: float) -> None:
        for incarnation, times in list(self._servers.items()):
            if now_ms - times.asked_ms > FORGET_MS:
                del self._servers[incarnation]


def _limit_in_force(
    times: _ServerTimes, request: ReservationRequest, now_ms: float
) -> float:
    """Return the limit of a server, which its queue corrects if it states none."""
    if not request.is_estimate:
        times.measured = None
        return request.limit_per_s
    if times.measured is None:
        times.measured = MeasuredRate(request.limit_per_s, now_ms)
    if request.queue_length is not None:
        times.measured.record_queue(request.queue_length, now_ms)
    return times.measured.per_s

"""Reserves times to send to servers with a limit, from the leader where there is one.

Without a leader that replies, a router uses its own schedule for an equal part of each
limit, and the leader leaves the parts of routers that do not report to it. A router's
own schedule starts anew each time, with its first time one interval later, so that
routers that lose the leader together do not all send at once.
"""

from collections.abc import Awaitable, Callable, Sequence

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.logs import log_event

from .messages import LeaderNoticeRow, ReservationRequest, Reservations
from .sendschedule import SendSchedule

ALONE_COLD_SHARE = 0.4
"""Part of the rate of a cold server that all routers without a leader may use.

They send independently of each other, so that more of them may send within one second
than on average. At 0.4 of 3.6 requests per second, 14 do with a probability of 1e-9.
"""
COLD_HANDOVER_MS = 1000.0
"""Time from the start of a term until the first time at a cold server.

Times that an earlier leader reserved hold for 0.75 s after its last reply.
"""
LEADER_RETRY_MS = 500.0
"""Time after a reservation without a reply in which the leader is not asked again."""

AskLeader = Callable[
    [str, Sequence[ReservationRequest]], Awaitable[Sequence[Reservations] | None]
]
"""Reserves times at the leader with this URL; returns None without a reply."""


class ReservationSource:
    """Reserves times at the leader, which may be this router."""

    def __init__(
        self,
        boot_id: str,
        is_leader: Callable[[], bool],
        leader_notice: Callable[[], LeaderNoticeRow | None],
        routers: Callable[[], int],
        reporting_share: Callable[[], float],
        ask_leader: AskLeader,
        clock: Clock,
        known_routers: Callable[[], int] | None = None,
    ) -> None:
        """``routers`` returns among how many routers a limit is divided.

        ``reporting_share`` returns the share of them that report to this router.
        ``known_routers`` returns how many routers a leader has counted, or 0 if that is
        not known; by default it is ``routers``.
        """
        self._boot_id = boot_id
        self._is_leader = is_leader
        self._leader_notice = leader_notice
        self._routers = routers
        self._reporting_share = reporting_share
        self._ask_leader = ask_leader
        self._clock = clock
        self._schedule = SendSchedule(clock)
        """Schedule for all routers, while this one leads."""
        self._own_schedule: SendSchedule | None = None
        """Schedule for this router alone, while no leader replies."""
        self._ask_again_ms = float("-inf")
        self._known_routers = known_routers or routers
        self._cold_from_ms = float("-inf")

    @property
    def schedule(self) -> SendSchedule:
        """The schedule for all routers; in use while this router leads."""
        return self._schedule

    def reserve_for_all(
        self, requests: Sequence[ReservationRequest]
    ) -> list[Reservations] | None:
        """Reserve times as the leader; returns None if this router does not lead."""
        if not self._is_leader():
            return None
        share = self._reporting_share()
        return [
            self._schedule.reserve(request, share, self._cold_from_ms)
            for request in requests
        ]

    def set_leading(self, is_leading: bool) -> None:
        """Record that a term of this router begins or ends."""
        if is_leading:
            self._cold_from_ms = self._clock() + COLD_HANDOVER_MS

    async def reserve(
        self, requests: Sequence[ReservationRequest]
    ) -> Sequence[Reservations]:
        """Reserve times for this router; implements ``Reserve``."""
        results: Sequence[Reservations] | None = self.reserve_for_all(requests)
        if results is None:
            results = await self._reserve_at_leader(requests)
        if results is not None and len(results) == len(requests):
            self._set_alone(False)
            return results
        self._set_alone(True)
        return [self._reserve_alone(request) for request in requests]

    def _reserve_alone(self, request: ReservationRequest) -> Reservations:
        """Reserve times in this router's part of a limit."""
        assert self._own_schedule is not None
        if not request.is_cold:
            return self._own_schedule.reserve(request, 1.0 / max(1, self._routers()))
        if not self._known_routers():
            return self._own_schedule.refuse()
        share = ALONE_COLD_SHARE / max(self._routers(), self._known_routers())
        return self._own_schedule.reserve(request, share)

    async def _reserve_at_leader(
        self, requests: Sequence[ReservationRequest]
    ) -> Sequence[Reservations] | None:
        notice = self._leader_notice()
        if notice is None or notice.boot_id in ("", self._boot_id):
            return None
        if self._clock() < self._ask_again_ms:
            return None
        results = await self._ask_leader(notice.link_url, requests)
        if results is None:
            self._ask_again_ms = self._clock() + LEADER_RETRY_MS
        return results

    def _set_alone(self, is_alone: bool) -> None:
        if is_alone is (self._own_schedule is not None):
            return
        self._own_schedule = (
            SendSchedule(self._clock, starts_full=False) if is_alone else None
        )
        log_event(
            "limits_divided" if is_alone else "limits_shared", routers=self._routers()
        )

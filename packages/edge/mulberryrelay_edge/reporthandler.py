"""Replies of the leader to the reports of its followers (``leaderlink.py``)."""

import asyncio
from collections.abc import Callable
from math import floor, isinf

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event

from .bulkupdates import BulkUpdates, DividedUpdates
from .coldservers import ColdServers
from .keyload import KeyLoad
from .messages import (
    LeaderReply,
    PacedServer,
    Refusals,
    RouterPeer,
    RouterReport,
)
from .ownership import Ownership
from .servershares import Shares
from .sharetable import ShareTable
from .speedsums import SpeedSums
from .suspectlink import SuspectLink
from .tablefollower import StoreSync
from .unreachableservers import Incarnation
from .viewage import VersionRead, ViewAge

MAX_WAIT_MS = 2000.0
"""Maximum time that the leader waits for newer data before it replies."""
ROUTER_TTL_MS = 30_000.0
"""Time after its last report for which a router is counted."""
SILENT_MS = 1500.0
"""Time after its last report from which a router may not reach the leader."""
COUNT_SETTLE_MS = 3000.0
"""Time from the start of a term until all routers that reach the leader reported."""
INFORMED_STEP_MS = 100.0
"""Step to which the time is rounded down that a reply states of the leader."""
NO_REFUSALS = Refusals(0, ())


class ReportHandler:
    """Replies to the reports of followers while this router is the leader."""

    def __init__(
        self,
        load: KeyLoad,
        ownership: Ownership,
        store_sync: StoreSync,
        suspects: SuspectLink,
        record_leaving: Callable[[Incarnation], None],
        is_leader: Callable[[], bool],
        is_store_unresponsive: Callable[[], bool],
        store_answered_ms: Callable[[], float],
        bulk_updates: BulkUpdates,
        clock: Clock,
        share_table: ShareTable | None = None,
        paced: Callable[[], tuple[PacedServer, ...]] = tuple,
        cold: ColdServers | None = None,
    ) -> None:
        """``record_leaving`` records that a server told a follower that it drains.

        ``store_answered_ms`` returns the start of the leader's last call for the lease
        that the store answered.
        """
        self._load = load
        self._ownership = ownership
        self._store_sync = store_sync
        self._suspects = suspects
        self._record_leaving = record_leaving
        self._is_leader = is_leader
        self._is_store_unresponsive = is_store_unresponsive
        self._store_answered_ms = store_answered_ms
        self._bulk_updates = bulk_updates
        self._clock = clock
        self._is_store_reachable = True
        self._leading_since_ms: float | None = None
        self._reported_ms: dict[str, float] = {}
        """Time of each router's last report, by boot id."""
        self._peer_urls: dict[str, str] = {}
        """URLs of the routers that reach servers, by boot id."""
        self._peers: dict[str, RouterPeer] = {}
        """Where the same routers are and what they reach, by boot id."""
        self._share_table = share_table
        self._paced = paced
        self._speeds = SpeedSums(clock)
        self._update_event = asyncio.Event()
        ownership.changes.subscribe(lambda _: self.notify_waiters())
        store_sync.changes.subscribe(lambda _: self.notify_waiters())
        self._cold = cold
        if cold is not None:
            cold.refusals.changes.subscribe(lambda _: self.notify_waiters())

    @property
    def routers(self) -> int:
        """Number of routers that reported recently, plus this one."""
        oldest_ms = self._clock() - ROUTER_TTL_MS
        for boot_id, reported_ms in list(self._reported_ms.items()):
            if reported_ms < oldest_ms:
                del self._reported_ms[boot_id]
                self._peer_urls.pop(boot_id, None)
                self._peers.pop(boot_id, None)
        return 1 + len(self._reported_ms)

    @property
    def counted_routers(self) -> int:
        """Number of routers once all of them can have reported; 0 before."""
        if self._leading_since_ms is None:
            return 0
        is_settled = self._clock() - self._leading_since_ms >= COUNT_SETTLE_MS
        return self.routers if is_settled else 0

    @property
    def reporting_share(self) -> float:
        """Share of the routers, this one included, that report to this one."""
        latest_ms = self._clock() - SILENT_MS
        routers = self.routers
        reporting = 1
        for reported_ms in self._reported_ms.values():
            reporting += reported_ms >= latest_ms
        return reporting / routers

    @property
    def peer_urls(self) -> list[str]:
        """URLs of the followers that report to this router and reach servers."""
        latest_ms = self._clock() - SILENT_MS
        return [
            url
            for boot_id, url in self._peer_urls.items()
            if self._reported_ms.get(boot_id, float("-inf")) >= latest_ms
        ]

    @property
    def peers(self) -> list[RouterPeer]:
        """The followers of ``peer_urls``, with what they reach."""
        urls = set(self.peer_urls)
        return [peer for peer in self._peers.values() if peer.url in urls]

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store answers this router, as last checked."""
        return self._is_store_reachable

    @property
    def share_table(self) -> ShareTable | None:
        """The division of servers among the routers, if servers are divided."""
        return self._share_table

    @property
    def paced(self) -> tuple[PacedServer, ...]:
        """Servers to which all routers pace their requests."""
        return self._paced()

    @property
    def speeds(self) -> SpeedSums:
        """Speeds of the servers, summed over all routers in this router's term."""
        return self._speeds

    def set_leading(self, is_leader: bool) -> None:
        """Record that a term of this router begins or ends."""
        self._leading_since_ms = self._clock() if is_leader else None
        self._speeds = SpeedSums(self._clock)
        if self._share_table is not None:
            self._share_table.clear()

    def notify_waiters(self) -> None:
        """Make waiting reports check whether there is newer data for them."""
        self._update_event.set()
        self._update_event = asyncio.Event()

    def check_store(self) -> None:
        """Check whether the store still answers; has to be called regularly."""
        self._store_sync.view_age.record_answered(self._store_answered_ms())
        is_store_reachable = (
            self._store_sync.is_reachable and not self._is_store_unresponsive()
        )
        if is_store_reachable is not self._is_store_reachable:
            self._is_store_reachable = is_store_reachable
            log_event("leader_store_changed", store_answers=is_store_reachable)
            self.notify_waiters()

    async def handle_report(self, report: RouterReport) -> LeaderReply | None:
        """Return the data that a router lacks, or None if this one is not the leader.

        If there is no newer data, wait for it as long as the report allows.
        """
        arrived_ms = self._clock()
        self._load.add_report(report.requested)
        self._speeds.add_report(report.speeds)
        if self._share_table is not None and report.requests_per_s is not None:
            self._share_table.record(
                report.boot_id, report.data_centre, report.requests_per_s
            )
        self._reported_ms[report.boot_id] = arrived_ms
        for incarnation in report.state.leaving:
            self._record_leaving(incarnation)
        if self._cold is not None:
            self._cold.apply_refusals(report.state.refusals)
        self._peer_urls.pop(report.boot_id, None)
        self._peers.pop(report.boot_id, None)
        if report.state.link_url and not report.state.is_cut_off:
            self._peer_urls[report.boot_id] = report.state.link_url
            self._peers[report.boot_id] = RouterPeer(
                report.state.link_url,
                report.data_centre,
                report.state.unreached,
                report.state.region,
            )
        end_ms = arrived_ms + min(report.wait_ms, MAX_WAIT_MS)
        while self._is_leader():
            update_event = self._update_event
            updates = self._divide_updates(report)
            known_after_ms = self._known_after_ms(self._store_sync.view_age, arrived_ms)
            routes_known_after_ms = None
            if not updates.are_small_rows_withheld:
                routes_known_after_ms = self._known_after_ms(
                    self._store_sync.routes_view_age, arrived_ms
                )
            leader_reply = LeaderReply(
                updates.sent,
                self._ownership.changes_since(report.range_versions),
                self._is_store_reachable,
                self.counted_routers,
                self._suspects.changes_since(report.suspects_version),
                known_after_ms,
                known_after_ms,
                updates.unsent,
                routes_known_after_ms,
                self._last_read(arrived_ms),
                updates.early,
                self._speeds.changes_since(
                    report.speeds.sums_id, report.speeds.version
                ),
                self._paced(),
                self._shares_for(report, updates),
                self._cold.refusals.all if self._cold is not None else NO_REFUSALS,
            )
            left_ms = end_ms - self._clock()
            is_store_state_new = (
                leader_reply.is_store_reachable is not report.is_store_reachable
            )
            if (
                leader_reply.tables
                or leader_reply.unsent_tables
                or leader_reply.early
                or leader_reply.ranges
                or leader_reply.suspects.suspects
                or _has_news(leader_reply.refusals, report)
                or is_store_state_new
                or left_ms <= 0
            ):
                return leader_reply
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await update_event.wait()
            except TimeoutError:
                continue
        return None

    def _divide_updates(self, report: RouterReport) -> DividedUpdates:
        """Return the updates to send, and the tables that the follower has to read."""
        store_reads = report.store_reads if self._is_store_reachable else None
        updates = self._store_sync.updates_since(report.table_versions)
        return self._bulk_updates.divide(updates, store_reads, report.early_versions)

    def _shares_for(
        self, report: RouterReport, updates: DividedUpdates
    ) -> dict[ServiceName, Shares] | None:
        """Return the follower's shares, unless the reply has rows for several ones."""
        if self._share_table is None or report.requests_per_s is None or updates.sent:
            return None
        return self._share_table.shares_of(report.boot_id)

    def _known_after_ms(self, view_age: ViewAge, arrived_ms: float) -> float | None:
        """Return ``LeaderReply.servers_known_after_report_ms``, or that of routes."""
        after_ms = view_age.informed_until_ms - arrived_ms
        return None if isinf(after_ms) else _rounded_down(after_ms)

    def _last_read(self, arrived_ms: float) -> VersionRead | None:
        """Return ``LeaderReply.store_read``."""
        read = self._store_sync.write_times.last_read
        if read is None:
            return None
        return VersionRead(read.version, _rounded_down(read.started_ms - arrived_ms))


def _rounded_down(after_ms: float) -> float:
    """Return a rounded time, so that replies to many followers are encoded once."""
    return floor(after_ms / INFORMED_STEP_MS) * INFORMED_STEP_MS


def _has_news(refusals: Refusals, report: RouterReport) -> bool:
    """Return whether a follower has to be told of refusals at once."""
    if report.refusals_version is None or not refusals.servers:
        return False
    return refusals.version != report.refusals_version

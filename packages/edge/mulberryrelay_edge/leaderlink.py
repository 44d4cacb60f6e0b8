"""Link between the leader and its followers (over HTTP: ``linkhttp.py``).

A follower reports the keys that were requested from it. The leader replies as soon as
it has newer data: rows of tables, ranges, or whether the store answers it. So followers
need not poll the store. All this data is in the store as well, and a router that does
not reach a leader polls the store itself.
"""

import asyncio
from collections.abc import Awaitable, Callable

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre, ServerId
from mulberryrelay_kernel.logs import log_event

from .coldservers import ColdServers
from .directreads import DirectReads
from .keyload import KeyLoad
from .messages import (
    BackendServer,
    LeaderNoticeRow,
    LeaderReply,
    RouterReport,
    RouterState,
)
from .ownership import Ownership
from .reporthandler import ReportHandler
from .routershares import RouterShares
from .serverspeed import ServerSpeeds
from .suspectlink import SuspectLink
from .tablefollower import Role, StoreSync
from .tablestore import TableRead

MAX_REPORT_PERIOD_MS = 600.0
"""Maximum time between two reports of a follower."""
MAX_BUSY_REPORT_PERIOD_MS = 250.0
"""The same while requests are queued at the follower, or it reads a table itself."""
RETRY_S = 0.25
"""Pause after a report that got no reply."""
COUNT_TTL_MS = 10_000.0
"""Time for which a follower relies on the number of routers that the leader sent."""
CHECK_PERIOD_S = 0.1
"""Period in which a leader checks its role and the store.

A router that has no leader looks for one in the same period.
"""
UNKNOWN_DATA_CENTRE = DataCentre("")
SendReport = Callable[[str, RouterReport], Awaitable[LeaderReply | None]]
"""Sends a report to a leader's URL; returns None if it gets no reply from a leader."""


class LeaderLink:
    """Reports to the leader, applies its replies and sets this router's role."""

    def __init__(
        self,
        load: KeyLoad,
        ownership: Ownership,
        store_sync: StoreSync,
        report_handler: ReportHandler,
        suspects: SuspectLink,
        describe_self: Callable[[], RouterState],
        boot_id: str,
        is_leader: Callable[[], bool],
        on_leader_lost: Callable[[], None],
        has_queued_requests: Callable[[], bool],
        direct_reads: DirectReads,
        speeds: ServerSpeeds,
        send: SendReport,
        clock: Clock,
        shares: RouterShares | None = None,
        find_server: Callable[[ServerId], BackendServer | None] = lambda _: None,
        data_centre: DataCentre = UNKNOWN_DATA_CENTRE,
        cold: ColdServers | None = None,
    ) -> None:
        """``find_server`` returns the entry of a server for its shares and pacing."""
        self._load = load
        self._ownership = ownership
        self._store_sync = store_sync
        self._report_handler = report_handler
        self._suspects = suspects
        self._describe_self = describe_self
        self._boot_id = boot_id
        self._is_leader = is_leader
        self._on_leader_lost = on_leader_lost
        self._has_queued_requests = has_queued_requests
        self._direct_reads = direct_reads
        self._speeds = speeds
        self._send = send
        self._clock = clock
        self._shares = shares
        self._find_server = find_server
        self._data_centre = data_centre
        self._shares_exchanged_ms = float("-inf")
        self._is_store_reachable = True
        """Whether the store answers the leader, according to its last reply."""
        self._routers = 0
        self._counted_ms = float("-inf")
        self._is_leader_unreachable = False
        self._cold = cold
        self._refusals_version = 0

    @property
    def routers(self) -> int:
        """Last known number of routers; 0 if the leader has not counted them yet."""
        return self._routers

    @property
    def counted_routers(self) -> int | None:
        """Number of routers as the leader counted them lately, or None."""
        is_recent = self._clock() - self._counted_ms < COUNT_TTL_MS
        return self._routers if is_recent else None

    async def run(self) -> None:
        """Report to the leader until cancelled."""
        while True:
            if self._is_leader():
                self._load.pop_report()
                self._store_sync.set_role(Role.LEADER)
                self._report_handler.check_store()
                self._record_leader_store(self._report_handler.is_store_reachable)
                self._set_count(self._report_handler.counted_routers)
                self._exchange_own_speeds()
                self._exchange_own_shares()
                await asyncio.sleep(CHECK_PERIOD_S)
                continue
            notice = self._ownership.leader_notice
            if notice is None or notice.boot_id in ("", self._boot_id):
                self._load.pop_report()
                self._speeds.discard_report()
                self._store_sync.set_role(Role.STANDALONE)
                await asyncio.sleep(CHECK_PERIOD_S)
                continue
            await self._suspects.report_due()
            report = RouterReport(
                self._boot_id,
                self._load.pop_report(),
                dict(self._ownership.range_versions),
                self._store_sync.table_versions,
                self._is_store_reachable,
                self._report_period_ms(),
                self._suspects.applied_version,
                self._describe_self(),
                self._direct_reads.reported,
                self._store_sync.early_versions,
                self._speeds.pop_report(),
                self._data_centre,
                self._shares.demand.pop_rates() if self._shares is not None else None,
                self._refusals_version,
            )
            sent_ms = self._clock()
            leader_reply = await self._send(notice.link_url, report)
            self._log_reachability(leader_reply is not None, notice)
            if self._is_leader():
                continue
            if leader_reply is None:
                self._store_sync.set_role(Role.STANDALONE)
                self._on_leader_lost()
                await asyncio.sleep(RETRY_S)
                continue
            self._apply_reply(leader_reply, sent_ms)

    def _exchange_own_shares(self) -> None:
        """Divide the servers also for this router while it leads."""
        table = self._report_handler.share_table
        now_ms = self._clock()
        is_due = now_ms - self._shares_exchanged_ms >= MAX_REPORT_PERIOD_MS
        if self._shares is None or table is None or not is_due:
            return
        self._shares_exchanged_ms = now_ms
        rates = self._shares.demand.pop_rates()
        table.record(self._boot_id, self._data_centre, rates)
        self._shares.apply_shares(table.shares_of(self._boot_id))
        self._shares.apply_paced(self._report_handler.paced, self._find_server)

    def _exchange_own_speeds(self) -> None:
        """Add this router's observations to its own sums while it leads."""
        sums = self._report_handler.speeds
        report = self._speeds.pop_report()
        sums.add_report(report)
        sums.publish_due()
        changes = sums.changes_since(report.sums_id, report.version)
        self._speeds.apply_changes(changes, self._clock())

    def _report_period_ms(self) -> float:
        """Return the time until the next report, unless there is newer data.

        The leader should soon learn how a read of the store ended.
        """
        if self._has_queued_requests() or self._direct_reads.are_pending:
            return MAX_BUSY_REPORT_PERIOD_MS
        return MAX_REPORT_PERIOD_MS

    def _apply_reply(self, leader_reply: LeaderReply, sent_ms: float) -> None:
        """Apply the reply to a report that was sent at ``sent_ms``."""
        self._set_count(leader_reply.routers)
        has_store_state_changed = (
            leader_reply.is_store_reachable is not self._is_store_reachable
        )
        self._is_store_reachable = leader_reply.is_store_reachable
        # Before the rows are applied: after an outage of the store, rows may be
        # missing that are written again soon.
        if leader_reply.is_store_reachable and not self._store_sync.is_reachable:
            self._store_sync.set_reachable(True)
        elif has_store_state_changed and not leader_reply.is_store_reachable:
            self._store_sync.set_reachable(False)
        for update in leader_reply.tables:
            if update.version > self._store_sync.table_versions.get(update.table, 0):
                read = TableRead(update.rows, update.version, 0.0)
                self._store_sync.apply_rows(update.table, read, update.is_complete)
            self._direct_reads.record_applied(update.table)
        for update in leader_reply.early:
            self._store_sync.apply_early(update)
        for table in leader_reply.unsent_tables:
            self._direct_reads.request(table)
        self._ownership.apply_changes(leader_reply.ranges)
        self._suspects.apply_changes(leader_reply.suspects)
        self._speeds.apply_changes(leader_reply.speeds, sent_ms)
        if self._shares is not None:
            self._shares.apply_reply(leader_reply, self._find_server)
        if self._cold is not None:
            self._cold.apply_refusals(leader_reply.refusals.servers)
            self._refusals_version = leader_reply.refusals.version
        self._record_leader_store(leader_reply.is_store_reachable)
        known_after_ms = leader_reply.servers_known_after_report_ms
        if known_after_ms is not None:
            # The report arrived at the leader after it was sent here.
            self._store_sync.view_age.record_informed(sent_ms + known_after_ms)
        known_after_ms = leader_reply.routes_known_after_report_ms
        if known_after_ms is not None:
            self._store_sync.routes_view_age.record_informed(sent_ms + known_after_ms)
        last_read = leader_reply.store_read
        if last_read is not None:
            self._store_sync.write_times.record_read(
                last_read.version, sent_ms + last_read.started_ms
            )
        # While the store does not answer the leader, it cannot send changes, so this
        # router polls the store itself.
        self._store_sync.set_role(
            Role.FOLLOWER if leader_reply.is_store_reachable else Role.STANDALONE
        )

    def _record_leader_store(self, is_reachable: bool) -> None:
        """Record whether the leader reaches the store, after its data is applied."""
        lost_ms = None if is_reachable else self._clock()
        self._store_sync.set_leader_lost_store(lost_ms)

    def _set_count(self, routers: int) -> None:
        """Store the number of routers, unless the leader has not counted them yet."""
        if routers:
            self._routers = routers
            self._counted_ms = self._clock()

    def _log_reachability(self, is_reached: bool, notice: LeaderNoticeRow) -> None:
        if self._is_leader_unreachable is not is_reached:
            return
        self._is_leader_unreachable = not is_reached
        event = "leader_reached" if is_reached else "leader_unreachable"
        log_event(event, term=notice.term, url=notice.link_url)

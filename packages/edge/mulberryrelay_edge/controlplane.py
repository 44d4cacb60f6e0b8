"""Builds and connects the control components of a router.

They track routes, servers and key owners, and let the router act as leader or follower:
the lease, the coordinator and the link between the leader and its followers.
"""

from collections.abc import Awaitable, Callable, Sequence

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import ServerId, ServiceName
from mulberryrelay_kernel.peerproto.peer_pb2 import ServerDeath
from mulberryrelay_kernel.supervision import run_supervised
from mulberryrelay_router.deaths import ProbeResult, is_unreachable, probe_address
from mulberryrelay_router.serverconnection import ResponseBuffer

from .adapter import Adapter
from .bulkupdates import BulkUpdates
from .capacity import (
    ServerCondition,
    capacities,
    combined_condition,
    with_cold_limit,
)
from .catalog import Catalog
from .coldservers import ColdBound
from .coordinator import Coordinator
from .datacentrereach import DataCentreReach
from .datacentrerelay import DataCentreRelay
from .directreads import DirectReads, read_due_tables
from .evacuations import Evacuations
from .keyload import KeyLoad
from .leaderlink import LeaderLink
from .leaderproxy import LeaderProxy
from .lease import LeaderLease
from .linkhttp import LINK_PATH, LinkClient, LinkServer
from .messages import (
    BackendServer,
    EdgeRequest,
    EdgeResponse,
    ReservationRequest,
    Reservations,
    RouterPeer,
    RouterState,
)
from .owneroverload import KeyedLoad, OwnerOverload
from .ownership import RANGES_TABLE, Ownership
from .regions import RegionRules, own_region
from .relay import Relay, RelayReceiver
from .reporthandler import ReportHandler
from .requestbuffer import BodyHold
from .reservations import ReservationSource
from .routershares import RouterShares
from .serverreach import PROBE_TIMEOUT_S, ServerReach
from .serverspeed import ServerSpeeds
from .sharetable import ShareTable
from .status import StatusSource
from .suspectlink import SuspectLink
from .tablefollower import FollowedTable, StoreSync, follow_table


class ControlPlane:
    """Tracks routes, servers and key owners, and leads while it holds the lease."""

    def __init__(
        self,
        adapter: Adapter,
        boot_id: str,
        condition: Callable[[BackendServer], ServerCondition],
        speeds: ServerSpeeds,
        shares: RouterShares,
        has_queued_requests: Callable[[], bool],
        forward: Callable[[EdgeRequest], Awaitable[EdgeResponse]],
        on_relay_ready: Callable[[], None],
        on_data_centre_relay_ready: Callable[[], None],
        responses: ResponseBuffer,
        open_body: Callable[[], BodyHold],
        clock: Clock,
    ) -> None:
        """``condition`` returns what this router observes of a server.

        ``speeds`` and ``shares`` are updated with the leader's replies to the reports.

        ``forward`` handles a request that another router relays to this one, and
        ``on_relay_ready`` is called when this one can relay requests itself, and
        ``on_data_centre_relay_ready`` when it can relay those for a data centre.
        ``responses`` counts those to relayed requests, and ``open_body`` returns a hold
        for the body of one.
        """
        options = adapter.options
        self._adapter = adapter
        self._condition = condition
        self._store_sync = StoreSync()
        self._catalog = Catalog(
            adapter.store,
            adapter.route_source,
            adapter.server_source,
            self._store_sync,
            options.reregistration_ms,
            options.drain_ms,
            Evacuations(
                adapter.evacuation_source,
                options.evacuation_ms,
                options.instance,
                self._store_sync.write_times,
                clock,
                lambda service: bool(shares.shares(service)),
            ),
            clock,
            lambda: ColdBound(
                adapter.options.cold_overshoot, adapter.options.cold_slack
            ),
            options.data_centre,
        )
        self._ownership = Ownership()
        self._reach = ServerReach(
            lambda: self._data_centre_reach.usable(self._catalog.all_servers()),
            _accepts_connections,
            clock,
        )
        self._data_centre_reach = DataCentreReach(
            self._catalog.all_servers, _answers_connections, clock
        )
        self._key_load = KeyLoad(clock)
        link_url = self._link_url = (
            f"http://{options.host}:{options.internal_port}{LINK_PATH}"
        )
        self._lease = lease = LeaderLease(
            adapter.store,
            self._ownership,
            options.instance,
            boot_id,
            link_url,
            self._reach,
            clock,
        )
        coordinator = Coordinator(
            lease,
            adapter.store,
            adapter.commands,
            self._catalog,
            self._ownership,
            self._store_sync,
            self._key_load,
            self._condition_of,
            options.max_grant_ttl_ms,
            boot_id,
            clock,
        )
        self._link_client = LinkClient(
            responses, lambda url: self._data_centre_relay.find_via(url)
        )
        self._suspects = SuspectLink(
            options.instance,
            boot_id,
            lambda: lease.is_valid,
            lambda: self._ownership.leader_notice,
            self._link_client,
            self._is_lost,
            lambda: report_handler.notify_waiters(),
            clock,
        )
        self._report_handler = report_handler = ReportHandler(
            self._key_load,
            self._ownership,
            self._store_sync,
            self._suspects,
            self._catalog.record_leaving,
            lambda: lease.is_valid,
            lambda: lease.is_store_unresponsive,
            lambda: lease.stored_ms,
            BulkUpdates([adapter.route_source.table], options.link_bytes_per_s, clock),
            clock,
            ShareTable(
                lambda: self._catalog.routes,
                self._catalog.assignable,
                self._key_load.service_ms,
                self._condition_of,
                clock,
                self._catalog.evacuations.return_share,
            ),
            OwnerOverload(self._keyed_load, clock).paced,
            cold=self._catalog.cold,
        )
        lease.changes.subscribe(report_handler.set_leading)
        lease.changes.subscribe(self._suspects.set_leading)
        lease.changes.subscribe(lambda _: report_handler.notify_waiters())
        self._relay_receiver = RelayReceiver(
            lambda: self._catalog.routes,
            self._reach,
            forward,
            clock,
            self._data_centre_reach.is_unreached,
            lambda: own_region(adapter.options),
        )
        self._reservations = ReservationSource(
            boot_id,
            lambda: lease.is_valid,
            lambda: self._ownership.leader_notice,
            lambda: max(adapter.options.min_routers, self._link.routers),
            lambda: report_handler.reporting_share,
            self._link_client.reserve,
            clock,
            lambda: self._link.routers,
        )
        lease.changes.subscribe(self._reservations.set_leading)
        self._leader_proxy = LeaderProxy(
            lambda: self._ownership.leader_notice,
            lambda url: self._data_centre_relay.is_router_unreached(url),
            self._link_client.pass_on,
        )
        self._link_server = LinkServer(
            report_handler,
            self._reservations.reserve_for_all,
            self._suspects,
            self._relay_receiver,
            responses,
            open_body,
            lambda: self._peer_urls(report_handler),
            lambda: self._routers(report_handler),
            self._leader_proxy.forward,
        )
        regions = RegionRules(lambda: adapter.options, lambda: self._catalog.routes)
        self._relay = Relay(
            self._reach,
            lambda: lease.is_valid,
            lambda: self._ownership.leader_notice,
            lambda: report_handler.peer_urls,
            self._link_client,
            on_relay_ready,
            clock,
            lambda url: self._data_centre_relay.region_of(url),
        )
        self._data_centre_relay = DataCentreRelay(
            self._data_centre_reach,
            options.data_centre,
            self._catalog.all_servers,
            lambda: lease.is_valid,
            lambda: self._ownership.leader_notice,
            lambda: report_handler.peers,
            self._link_client,
            on_data_centre_relay_ready,
            clock,
            lambda: regions.has_restricted_routes,
        )
        self._direct_reads = DirectReads()
        self._link = LeaderLink(
            self._key_load,
            self._ownership,
            self._store_sync,
            report_handler,
            self._suspects,
            lambda: RouterState(
                link_url,
                self._reach.is_cut_off,
                self._catalog.leaving,
                self._catalog.cold.refusals.own,
                self._data_centre_reach.unreached,
                own_region(adapter.options),
            ),
            boot_id,
            lambda: lease.is_valid,
            self._on_leader_lost,
            has_queued_requests,
            self._direct_reads,
            speeds,
            self._link_client.send,
            clock,
            shares,
            self._catalog.server,
            options.data_centre,
            cold=self._catalog.cold,
        )
        self._status = StatusSource(
            options.instance,
            self._catalog,
            self._ownership,
            self._store_sync,
            lease,
            coordinator,
            self._link,
            clock,
        )

    @property
    def catalog(self) -> Catalog:
        """The routes and registered servers, as observed here."""
        return self._catalog

    @property
    def ownership(self) -> Ownership:
        """The owners of keys, as observed here."""
        return self._ownership

    @property
    def key_load(self) -> KeyLoad:
        """The sampled load of keys."""
        return self._key_load

    @property
    def lease(self) -> LeaderLease:
        """The leader lease, held or watched by this process."""
        return self._lease

    @property
    def store_sync(self) -> StoreSync:
        """Whether the store answers, and where this router gets changes from."""
        return self._store_sync

    @property
    def reach(self) -> ServerReach:
        """Whether this router reaches servers."""
        return self._reach

    @property
    def relay(self) -> Relay:
        """Passes requests on to other routers while this one reaches no server."""
        return self._relay

    @property
    def data_centre_relay(self) -> DataCentreRelay:
        """Passes requests for unreached data centres on to other routers."""
        return self._data_centre_relay

    @property
    def leader_proxy(self) -> LeaderProxy:
        """Passes calls of other routers on to the leader."""
        return self._leader_proxy

    @property
    def relay_receiver(self) -> RelayReceiver:
        """Handles the requests that other routers relay to this one."""
        return self._relay_receiver

    @property
    def suspects(self) -> SuspectLink:
        """The requests suspected of crashing servers, of all routers."""
        return self._suspects

    @property
    def status(self) -> StatusSource:
        """Source of the status that operators read."""
        return self._status

    @property
    def counted_routers(self) -> int | None:
        """Number of routers as the leader counted them lately, or None."""
        return self._link.counted_routers

    def _condition_of(self, server: BackendServer) -> ServerCondition:
        """Return the condition of a server, by what all routers observed.

        Used while this router leads.
        """
        incarnation = (server.server, server.started_ms)
        condition = combined_condition(
            self._condition(server),
            self._report_handler.speeds.slowdown(incarnation),
            self._reservations.schedule.limit_per_s(incarnation),
        )
        cold = self._catalog.cold
        return with_cold_limit(
            condition, cold.limit_per_s(server), cold.left_ms(server)
        )

    def _keyed_load(self) -> dict[ServiceName, KeyedLoad]:
        """Return what the leader knows of the load of keyed services."""
        routes = self._catalog.routes
        result: dict[ServiceName, KeyedLoad] = {}
        for service in routes.services.values() if routes is not None else ():
            if not service.is_keyed:
                continue
            sample = self._key_load.sample(service.name)
            servers = [
                (server, self._condition_of(server))
                for server in self._catalog.servers(service.name)
            ]
            ranges = self._ownership.ranges(service.name)
            result[service.name] = (ranges, sample, capacities(servers, sample))
        return result

    def _peer_urls(self, report_handler: ReportHandler) -> list[str] | None:
        """Return the routers that reach servers, or None if this one does not lead."""
        if not self._lease.is_valid:
            return None
        own = [] if self._reach.is_cut_off else [self._link_url]
        return own + report_handler.peer_urls

    def _on_leader_lost(self) -> None:
        """Find out why the leader does not reply."""
        self._lease.check_soon()
        self._data_centre_relay.suspect_leader()

    def _routers(self, report_handler: ReportHandler) -> list[RouterPeer] | None:
        """Return where routers are, or None if this one does not lead."""
        if not self._lease.is_valid:
            return None
        own = RouterPeer(
            self._link_url,
            self._adapter.options.data_centre,
            self._data_centre_reach.unreached,
            own_region(self._adapter.options),
        )
        return [*([] if self._reach.is_cut_off else [own]), *report_handler.peers]

    async def _is_lost(self, death: ServerDeath) -> bool:
        """Return whether a server process that was reported lost is not up."""
        server = self._catalog.server(ServerId(death.server))
        if server is None or server.entry.boot_id != death.boot_id:
            return True
        return await is_unreachable(server.entry)

    async def reserve(
        self, requests: Sequence[ReservationRequest]
    ) -> Sequence[Reservations]:
        """Reserve times at servers that state a limit; implements ``Reserve``."""
        return await self._reservations.reserve(requests)

    async def start(self) -> None:
        """Start to listen for reports of other routers."""
        options = self._adapter.options
        await self._link_server.start(options.host, options.internal_port)

    def tasks(self) -> list[Awaitable[None]]:
        """Return the tasks that run as long as the process."""
        ranges = FollowedTable(
            RANGES_TABLE, self._ownership.apply_rows, is_written_by_leader=True
        )
        return [
            *self._catalog.tasks(),
            run_supervised(
                f"follow {RANGES_TABLE}",
                lambda: follow_table(self._adapter.store, ranges, self._store_sync),
            ),
            run_supervised(
                "read due tables",
                lambda: read_due_tables(
                    self._adapter.store, self._store_sync, self._direct_reads
                ),
            ),
            run_supervised("lease", self._lease.run),
            run_supervised("link", self._link.run),
            run_supervised("reach", self._reach.run),
            run_supervised("relay", self._relay.run),
            run_supervised("data centres", self._data_centre_reach.run),
            run_supervised("data centre relay", self._data_centre_relay.run),
        ]

    async def close(self) -> None:
        """Close all connections and the listening port."""
        await self._link_client.close()
        await self._link_server.close()


async def _accepts_connections(server: BackendServer) -> bool:
    result = await probe_address(server.entry, PROBE_TIMEOUT_S)
    return result is ProbeResult.ACCEPTED


async def _answers_connections(server: BackendServer) -> bool:
    """Return whether a server's address accepts or refuses a connection."""
    result = await probe_address(server.entry, PROBE_TIMEOUT_S)
    return result is not ProbeResult.SILENT

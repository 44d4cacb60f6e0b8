"""Builds and runs the control plane of one router process.

Every router can become the coordinator, so each has a coordinator lease, a coordinator
that works while the process holds the lease, a gRPC server for other routers, a client
of the current coordinator, and the rules that it applies.
"""

import asyncio

import aiohttp

from mulberryrelay_control.coordinator import Coordinator
from mulberryrelay_control.grants import MAX_REPLY_BYTES
from mulberryrelay_control.lease import CoordinatorLease
from mulberryrelay_control.rulestore import RuleStore
from mulberryrelay_control.suspectregistry import SuspectRegistry
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.httpclient import create_client_session
from mulberryrelay_kernel.ids import BootId, DataCentre, InstanceId
from mulberryrelay_kernel.messages import RouterAddress
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.platform import Platform
from mulberryrelay_kernel.registry import plugin_factory
from mulberryrelay_kernel.settings import split_host_port
from mulberryrelay_kernel.states import InstanceKind
from mulberryrelay_kernel.supervision import run_supervised

from .coordinatorclient import CoordinatorClient
from .inflight import InFlight
from .loadcounters import LoadCounters
from .peerchannels import PeerChannels
from .peerserver import PeerServicer, open_peer_server, serve_peers
from .routerrules import RouterRules
from .routingview import RoutingView
from .serverconnection import bound_responses

# Time for routers to report their probation runs to a new coordinator. After it, the
# routing lease of a router that has not connected has expired.
PROBATION_REPORT_WINDOW_MS = 1000.0


async def find_peers(
    options: Options, platform: Platform, me: RouterAddress
) -> list[RouterAddress]:
    """Return the other routers that the settings or the platform list."""
    endpoints = [
        endpoint for peer in options.peers if (endpoint := split_host_port(peer))
    ]
    listed = await platform.instances()
    endpoints += [
        (entry.host, entry.port)
        for entry in listed.value_or([])
        if entry.kind is InstanceKind.ROUTER
    ]
    return [
        RouterAddress(
            InstanceId(f"{host}:{port}"), BootId(""), DataCentre(""), host, port
        )
        for host, port in dict.fromkeys(endpoints)
        if (host, port) != (me.host, me.port)
    ]


class ControlPlane:
    """Coordinator lease, coordinator, router connections and rules of one process."""

    def __init__(
        self,
        options: Options,
        view: RoutingView,
        platform: Platform,
        in_flight: InFlight,
        load: LoadCounters,
        boot_id: BootId,
    ) -> None:
        instance = options.instance
        self._server, self._port = open_peer_server(options)
        me = RouterAddress(
            instance.name, boot_id, instance.data_centre, instance.host, self._port
        )
        self._rules = RouterRules(options)
        self._rule_store = RuleStore(options, platform)
        self._channels = PeerChannels(me)
        # Commands to servers do not share connections with requests.
        connector = aiohttp.TCPConnector(limit=0)
        bound_responses(connector, MAX_REPLY_BYTES)
        self._command_session = create_client_session(connector)
        self._lease = CoordinatorLease(
            options,
            platform,
            me,
            self._channels.request_promise,
            lambda: self._coordinator.candidates,
            monotonic_ms,
        )
        self._coordinator = Coordinator(
            options,
            platform,
            self._lease,
            self._command_session,
            self._rule_store.load,
            lambda: SuspectRegistry(monotonic_ms() + PROBATION_REPORT_WINDOW_MS),
            view.servers,
            self._rules.active,
            self._rules.apply,
            plugin_factory("placement", options.placement),
        )
        self._coordinator_client = CoordinatorClient(
            options,
            me,
            lambda: self._lease.holder,
            view,
            in_flight,
            self._channels,
            load.collect_and_reset,
            self._rules.apply,
            monotonic_ms,
            lambda: find_peers(options, platform, me),
        )
        self._rules.on_change(lambda _: self._coordinator.replan())
        self._rules.failures.subscribe(lambda _: view.revoke_rules())
        serve_peers(self._server, PeerServicer(me, self._lease, self._coordinator))

    @property
    def port(self) -> int:
        """Port of the gRPC server for other routers."""
        return self._port

    @property
    def coordinator_client(self) -> CoordinatorClient:
        """This router's connection to the current coordinator."""
        return self._coordinator_client

    @property
    def rules(self) -> RouterRules:
        """The rules that this router applies."""
        return self._rules

    @property
    def rule_store(self) -> RuleStore:
        """Access to the stored versions of the rules."""
        return self._rule_store

    async def start(self) -> list[asyncio.Task[None]]:
        """Start the gRPC server; return the tasks that run as long as the process."""
        await self._server.start()
        return [
            asyncio.create_task(self._lease.run()),
            asyncio.create_task(self._coordinator.run()),
            asyncio.create_task(
                run_supervised("coordinator-client", self._coordinator_client.run)
            ),
            asyncio.create_task(run_supervised("rules", self._rules.run)),
        ]

    async def leave(self) -> None:
        """Give up the routing lease, then the role of coordinator or successor."""
        await self._coordinator_client.leave()
        await self._lease.release()

    async def close(self) -> None:
        """Stop the gRPC server and close all connections."""
        await self._server.stop(grace=None)
        await self._channels.close()
        await self._command_session.close()

"""The part of one process in the control of all: lease, coordinator, peers, rules."""

import asyncio

import aiohttp
from reactivex import Observable

from mulberryrelay_control.coordinator import Coordinator
from mulberryrelay_control.lease import CoordinatorLease
from mulberryrelay_control.rules import ActiveRules
from mulberryrelay_control.rulestore import RuleStore
from mulberryrelay_control.suspects import SuspectRegistry
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.httpclient import periodic_session
from mulberryrelay_kernel.ids import BootId
from mulberryrelay_kernel.messages import Address
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.platform import Platform

from .inflight import InFlight
from .loadcount import LoadCounters
from .peers import PeerChannels, PeerServicer, PeerTask, open_peer_server, serve_peers
from .rules import RouterRules
from .view import RoutingView


class ControlPath:
    """The coordinator lease, the coordinator, and the connections between routers."""

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
        me = Address(
            instance.name, boot_id, instance.data_centre, instance.host, self._port
        )
        self._rules = RouterRules(options)
        self._rule_store = RuleStore(options, platform)
        self._channels = PeerChannels(me)
        # Grants have connections of their own, apart from those for requests.
        self._orders = periodic_session(aiohttp.TCPConnector(limit=0))
        self._lease = CoordinatorLease(
            options,
            platform,
            me,
            self._channels.ask_promise,
            lambda: self._coordinator.candidates,
            monotonic_ms,
        )
        self._coordinator = Coordinator(
            options,
            platform,
            self._lease,
            self._orders,
            self._rule_store.load,
            SuspectRegistry,
            view.servers,
            self._rules.active,
        )
        self._peers = PeerTask(
            options,
            me,
            lambda: self._lease.holder,
            view,
            in_flight,
            self._channels,
            load.take,
            self._rules.apply,
            monotonic_ms,
        )
        self._rules.changes.subscribe(lambda _: self._coordinator.replan())
        serve_peers(self._server, PeerServicer(me, self._lease, self._coordinator))

    @property
    def port(self) -> int:
        """Port for the calls of other routers."""
        return self._port

    @property
    def peers(self) -> PeerTask:
        """The stream to the coordinator."""
        return self._peers

    @property
    def rules(self) -> RouterRules:
        """The rules that this router applies."""
        return self._rules

    @property
    def rule_store(self) -> RuleStore:
        """All versions of the rules."""
        return self._rule_store

    @property
    def rule_changes(self) -> Observable[ActiveRules]:
        """Emits the active rules whenever they have changed."""
        return self._rules.changes

    async def start(self) -> list[asyncio.Task[None]]:
        """Serve peers; return the tasks that run as long as the process."""
        await self._server.start()
        return [
            asyncio.create_task(self._lease.run()),
            asyncio.create_task(self._coordinator.run()),
            asyncio.create_task(self._peers.run()),
            asyncio.create_task(self._rules.run()),
        ]

    async def leave(self) -> None:
        """Give up the routing lease, then the coordinator role or successor place."""
        await self._peers.leave()
        await self._lease.release()

    async def close(self) -> None:
        """Close all connections."""
        await self._server.stop(grace=None)
        await self._channels.close()
        await self._orders.close()

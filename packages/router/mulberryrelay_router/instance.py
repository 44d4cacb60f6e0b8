"""Wires one router process together and runs it until it is told to stop."""

import asyncio
import signal
import uuid
from collections.abc import Sequence

import aiohttp
from aiohttp import web
from returns.result import Result, Success

from mulberryrelay_control.coordinator import Coordinator
from mulberryrelay_control.lease import CoordinatorLease
from mulberryrelay_control.suspects import SuspectRegistry
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import BootId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import Address, RulesDocument
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.platform import Platform
from mulberryrelay_kernel.registry import load_plugins, plugin
from mulberryrelay_kernel.states import StoreFailure

from .callers import Handler, caller_handler
from .claims import Claims
from .inflight import InFlight
from .open_admission import OpenAdmission
from .peers import PeerChannels, PeerServicer, PeerTask, open_peer_server, serve_peers
from .pool import Pools
from .readiness import Readiness
from .routing import Router
from .suspects import PeerLink, Suspects
from .view import RoutingView

LISTEN_BACKLOG = 1024
# Longest header line; the sum of all lines is limited by limits.header_bytes.
MAX_HEADER_LINE = 8190
# Attempts whose outcome stayed unknown may still count as in flight at a server that
# does not check grants, for at most the rest of a routing lease.
DRAIN_POLL_S = 0.01
# An expired routing lease is no change of the view, and is found by looking.
READINESS_PERIOD_MS = 100.0
# Time to record the outcomes of idempotency claims after the last answer.
CLAIMS_TIMEOUT_S = 2.0


class RequestPath:
    """Everything between the callers' listener and the backend servers."""

    def __init__(
        self,
        options: Options,
        view: RoutingView,
        platform: Platform,
        link: PeerLink,
        boot_id: BootId,
        in_flight: InFlight | None = None,
    ) -> None:
        instance = options.instance.name
        self._pools = Pools(max(s.connections for s in options.services.values()))
        self._in_flight = in_flight or InFlight()
        self._claims = Claims(platform, instance, monotonic_ms)
        self._readiness = Readiness(view)
        self._metrics = Metrics(options.tenant)
        self._admission = OpenAdmission(options, monotonic_ms)
        view.unit_changes.subscribe(lambda _: self._admission.wake())
        view.server_changes.subscribe(lambda _: self._admission.wake())
        router = Router(
            options,
            view,
            self._pools,
            self._metrics,
            monotonic_ms,
            self._in_flight,
            self._admission,
            Suspects(link, instance, boot_id),
            self._claims,
        )
        self._handler = caller_handler(
            options, router.route, self._readiness.is_stopping
        )

    @property
    def handler(self) -> Handler:
        """Handler of the callers' listener."""
        return self._handler

    @property
    def in_flight(self) -> InFlight:
        """Requests sent and not ended."""
        return self._in_flight

    @property
    def claims(self) -> Claims:
        """Idempotency claims of this router."""
        return self._claims

    @property
    def readiness(self) -> Readiness:
        """Whether the router takes work."""
        return self._readiness

    @property
    def admission(self) -> OpenAdmission:
        """Queues and limits, which take the rules in force."""
        return self._admission

    @property
    def metrics(self) -> Metrics:
        """Latencies and outcomes of this router."""
        return self._metrics

    async def close(self) -> None:
        """Close the connections to backend servers."""
        await self._pools.close()


class ControlPath:
    """The coordinator lease, the coordinator, and the connections between routers."""

    def __init__(
        self,
        options: Options,
        view: RoutingView,
        platform: Platform,
        in_flight: InFlight,
        boot_id: BootId,
    ) -> None:
        instance = options.instance
        self._server, self._port = open_peer_server(options)
        me = Address(
            instance.name, boot_id, instance.data_centre, instance.host, self._port
        )
        self._channels = PeerChannels(me)
        self._orders = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
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
            no_rules,
            SuspectRegistry,
            view.servers,
        )
        self._peers = PeerTask(
            options,
            me,
            lambda: self._lease.holder,
            view,
            in_flight,
            self._channels,
            list,
            monotonic_ms,
        )
        serve_peers(self._server, PeerServicer(me, self._lease, self._coordinator))

    @property
    def port(self) -> int:
        """Port for the calls of other routers."""
        return self._port

    @property
    def peers(self) -> PeerTask:
        """The stream to the coordinator."""
        return self._peers

    async def start(self) -> list[asyncio.Task[None]]:
        """Serve peers; return the tasks that run as long as the process."""
        await self._server.start()
        return [
            asyncio.create_task(self._lease.run()),
            asyncio.create_task(self._coordinator.run()),
            asyncio.create_task(self._peers.run()),
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


async def run_instance(options: Options) -> None:
    """Serve callers and peers until SIGTERM or SIGINT, then shut down gracefully."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    load_plugins()
    boot_id = BootId(uuid.uuid4().hex)
    instance = options.instance
    platform = plugin("platform", options.platform.plugin)(
        options.platform, instance.name
    )
    view = RoutingView()
    in_flight = InFlight()
    control = ControlPath(options, view, platform, in_flight, boot_id)
    path = RequestPath(options, view, platform, control.peers, boot_id, in_flight)
    tasks = await control.start()
    tasks.append(asyncio.create_task(log_readiness(view, path.readiness)))
    runner, site = await open_listener(options, path.handler)
    log_event(
        "listening",
        instance=instance.name,
        boot_id=boot_id,
        caller_port=runner.addresses[0][1],
        peer_port=control.port,
    )
    await wait_until_stopped(stopping, tasks)
    log_event("stopping", instance=instance.name, in_flight=in_flight.total)
    path.readiness.stop()
    await stop_listener(options, runner, site)
    await drain(options, path)
    await control.leave()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await control.close()
    await path.close()
    await platform.close()
    log_event("stopped", instance=instance.name)


async def log_readiness(view: RoutingView, readiness: Readiness) -> None:
    """Log each time that the router becomes ready or stops to be ready."""
    was_ready = False
    while True:
        if readiness.is_ready() is not was_ready:
            was_ready = not was_ready
            log_event("ready" if was_ready else "not_ready", term=view.term)
        await view.wait_for_change(READINESS_PERIOD_MS)


async def wait_until_stopped(
    stopping: asyncio.Event, tasks: Sequence[asyncio.Task[None]]
) -> None:
    """Wait for the signal to stop.

    Raises:
        Exception: of a task that must run as long as the process.
    """
    stop = asyncio.create_task(stopping.wait())
    await asyncio.wait({stop, *tasks}, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if task.done():
            task.result()


async def no_rules() -> Result[RulesDocument | None, StoreFailure]:
    """Stand for the rule store."""
    return Success(None)


async def open_listener(
    options: Options, handler: Handler
) -> tuple[web.ServerRunner, web.TCPSite]:
    """Listen for callers.

    A handler is cancelled when its caller disconnects. Bodies are passed on as they
    are, so that they fit the headers that describe them.
    """
    line = min(MAX_HEADER_LINE, options.limits.header_bytes)
    server = web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        max_line_size=line,
        max_field_size=line,
    )
    runner = web.ServerRunner(
        server, shutdown_timeout=options.limits.deadline_ms / 1000
    )
    await runner.setup()
    site = web.TCPSite(
        runner,
        options.instance.host,
        options.instance.caller_port,
        backlog=LISTEN_BACKLOG,
    )
    await site.start()
    return runner, site


async def stop_listener(
    options: Options, runner: web.ServerRunner, site: web.TCPSite
) -> None:
    """Let the load balancer settle, then end the listener without cutting requests.

    During the settle time every answer closes its connection, so that afterwards only
    connections that were idle all that time are closed by the router.
    """
    await asyncio.sleep(options.timing.settle_ms / 1000)
    await site.stop()
    await runner.cleanup()


async def drain(options: Options, path: RequestPath) -> None:
    """Wait until no attempt can have a later effect and all claims are recorded."""
    give_up_ms = monotonic_ms() + options.timing.lease_ms + options.timing.bridge_ms
    while path.in_flight.total and monotonic_ms() < give_up_ms:
        await asyncio.sleep(DRAIN_POLL_S)
    try:
        async with asyncio.timeout(CLAIMS_TIMEOUT_S):
            await path.claims.drain()
    except TimeoutError:
        log_event("claims_not_recorded")

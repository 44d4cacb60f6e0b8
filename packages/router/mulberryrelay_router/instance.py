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
from .suspects import Suspects
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
    readiness = Readiness(view)
    in_flight = InFlight()
    pools = Pools(max(s.connections for s in options.services.values()))
    claims = Claims(platform, instance.name, monotonic_ms)
    peer_server, peer_port = await open_peer_server(options)
    me = Address(instance.name, boot_id, instance.data_centre, instance.host, peer_port)
    channels = PeerChannels(me)
    orders = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    lease = CoordinatorLease(
        options,
        platform,
        me,
        channels.ask_promise,
        lambda: coordinator.candidates,
        monotonic_ms,
    )
    coordinator = Coordinator(
        options, platform, lease, orders, no_rules, SuspectRegistry, view.servers
    )
    peers = PeerTask(
        options,
        me,
        lambda: lease.holder,
        view,
        in_flight,
        channels,
        list,
        monotonic_ms,
    )
    servicer = PeerServicer(me, lease, coordinator)
    serve_peers(peer_server, servicer)
    await peer_server.start()
    suspects = Suspects(peers, instance.name, boot_id)
    router = Router(
        options,
        view,
        pools,
        Metrics(options.tenant),
        monotonic_ms,
        in_flight,
        OpenAdmission(options, monotonic_ms),
        suspects,
        claims,
    )
    tasks = [
        asyncio.create_task(lease.run()),
        asyncio.create_task(coordinator.run()),
        asyncio.create_task(peers.run()),
        asyncio.create_task(log_readiness(view, readiness)),
    ]
    handler = caller_handler(options, router.route, readiness.is_stopping)
    runner, site = await open_listener(options, handler)
    log_event(
        "listening",
        instance=instance.name,
        boot_id=boot_id,
        caller_port=runner.addresses[0][1],
        peer_port=peer_port,
    )
    await wait_until_stopped(stopping, tasks)
    log_event("stopping", instance=instance.name, in_flight=in_flight.total)
    readiness.stop()
    await stop_listener(options, runner, site)
    await drain(options, in_flight, claims)
    await peers.leave()
    await lease.release()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await peer_server.stop(grace=None)
    await channels.close()
    await orders.close()
    await pools.close()
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


async def drain(options: Options, in_flight: InFlight, claims: Claims) -> None:
    """Wait until no attempt can have a later effect and all claims are recorded."""
    give_up_ms = monotonic_ms() + options.timing.lease_ms + options.timing.bridge_ms
    while in_flight.total and monotonic_ms() < give_up_ms:
        await asyncio.sleep(DRAIN_POLL_S)
    try:
        async with asyncio.timeout(CLAIMS_TIMEOUT_S):
            await claims.drain()
    except TimeoutError:
        log_event("claims_not_recorded")

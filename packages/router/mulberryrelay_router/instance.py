"""Runs one router process: starts its parts, and shuts it down on a signal.

The shutdown lets requests in flight end before the router gives up its routing lease
and its role as coordinator or successor.
"""

import asyncio
import signal
import uuid
from collections.abc import Sequence

from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import BootId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.registry import load_plugins, plugin_factory

from .admin import AdminContext, start_admin
from .controlplane import ControlPlane
from .inflight import InFlight
from .listener import open_listener, stop_listener
from .loadcounters import LoadCounters
from .readiness import Readiness
from .requestforwarder import RequestForwarder
from .routingview import RoutingView

# Period of checking for attempts in flight. At a server that does not check grants, an
# attempt with unknown outcome may count as in flight until the routing lease expires.
DRAIN_POLL_PERIOD_S = 0.01
# The view emits no change when the routing lease expires, so it is polled.
READINESS_POLL_PERIOD_MS = 100.0
# Time to store the outcomes of idempotency claims after the last response.
CLAIMS_DRAIN_TIMEOUT_S = 2.0
# Time to observe crashes of servers caused by probation runs that timed out.
PROBATIONS_DRAIN_TIMEOUT_S = 2.5


async def run_instance(options: Options) -> None:
    """Serve callers and other routers until SIGTERM or SIGINT, then drain and stop."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    load_plugins()
    boot_id = BootId(uuid.uuid4().hex)
    instance = options.instance
    platform = plugin_factory("platform", options.platform.plugin)(
        options.platform, instance.name
    )
    view = RoutingView()
    in_flight = InFlight()
    load = LoadCounters(options)
    view.unit_changes.subscribe(load.track_override)
    control = ControlPlane(options, view, platform, in_flight, load, boot_id)
    forwarder = RequestForwarder(
        options, view, platform, control.coordinator_client, boot_id, in_flight, load
    )
    control.rules.on_change(forwarder.set_rules)
    tasks = await control.start()
    tasks.append(asyncio.create_task(log_readiness(view, forwarder.readiness)))
    admin = await start_admin(
        AdminContext(
            options=options,
            boot_id=boot_id,
            platform=platform,
            view=view,
            metrics=forwarder.metrics,
            store=control.rule_store,
            rules=control.rules,
            list_routers=control.coordinator_client.routers,
            notify_rules_submitted=control.coordinator_client.notify_rules,
            is_ready=forwarder.readiness.is_ready,
        )
    )
    runner, site = await open_listener(options, forwarder.handler)
    log_event(
        "listening",
        instance=instance.name,
        boot_id=boot_id,
        caller_port=runner.addresses[0][1],
        peer_port=control.port,
        admin_port=admin.addresses[0][1],
    )
    await wait_until_stopped(stopping, tasks)
    log_event("stopping", instance=instance.name, in_flight=in_flight.total)
    forwarder.readiness.stop()
    await stop_listener(options, runner, site)
    await drain(options, forwarder)
    await control.leave()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await admin.cleanup()
    await control.close()
    await forwarder.close()
    await platform.close()
    log_event("stopped", instance=instance.name)


async def log_readiness(view: RoutingView, readiness: Readiness) -> None:
    """Log each change of the router's readiness."""
    was_ready = False
    while True:
        if readiness.is_ready() is not was_ready:
            was_ready = not was_ready
            log_event("ready" if was_ready else "not_ready", term=view.term)
        await view.wait_for_change(READINESS_POLL_PERIOD_MS)


async def wait_until_stopped(
    stopping: asyncio.Event, tasks: Sequence[asyncio.Task[None]]
) -> None:
    """Wait for the signal to stop or the end of a task.

    Raises:
        Exception: raised by a task that must run as long as the process.
    """
    stop = asyncio.create_task(stopping.wait())
    await asyncio.wait({stop, *tasks}, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if task.done():
            task.result()


async def drain(options: Options, forwarder: RequestForwarder) -> None:
    """Wait until no attempt can take effect any more and all claims are stored.

    Each of the three waits has a time limit.
    """
    timeout_at_ms = monotonic_ms() + options.timing.lease_ms + options.timing.bridge_ms
    while forwarder.in_flight.total and monotonic_ms() < timeout_at_ms:
        await asyncio.sleep(DRAIN_POLL_PERIOD_S)
    await forwarder.drain_probations(PROBATIONS_DRAIN_TIMEOUT_S)
    try:
        async with asyncio.timeout(CLAIMS_DRAIN_TIMEOUT_S):
            await forwarder.claims.drain()
    except TimeoutError:
        log_event("claims_not_recorded")

"""Runs one router process until it is told to stop."""

import asyncio
import signal
import uuid
from collections.abc import Sequence

from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import BootId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.registry import load_plugins, plugin

from .admin import AdminSources, start_admin
from .controlpath import ControlPath
from .inflight import InFlight
from .listener import open_listener, stop_listener
from .loadcount import LoadCounters
from .readiness import Readiness
from .requestpath import RequestPath
from .view import RoutingView

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
    in_flight = InFlight()
    load = LoadCounters(options)
    view.unit_changes.subscribe(load.note_unit)
    control = ControlPath(options, view, platform, in_flight, load, boot_id)
    path = RequestPath(options, view, platform, control.peers, boot_id, in_flight, load)
    control.rule_changes.subscribe(path.set_rules)
    tasks = await control.start()
    tasks.append(asyncio.create_task(log_readiness(view, path.readiness)))
    admin = await start_admin(
        AdminSources(
            options=options,
            boot_id=boot_id,
            platform=platform,
            view=view,
            metrics=path.metrics,
            store=control.rule_store,
            rules=control.rules,
            routers=control.peers.routers,
            rules_submitted=control.peers.notify_rules,
            is_ready=path.readiness.is_ready,
        )
    )
    runner, site = await open_listener(options, path.handler)
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
    path.readiness.stop()
    await stop_listener(options, runner, site)
    await drain(options, path)
    await control.leave()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await admin.cleanup()
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

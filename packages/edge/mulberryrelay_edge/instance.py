"""Runs one edge router until it is told to stop."""

import asyncio
import signal
import uuid

from mulberryrelay_kernel.clock import Clock, suspended_ms
from mulberryrelay_kernel.errors import FindingsError
from mulberryrelay_kernel.ids import Tenant
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_router.pool import Pool

from .adapter import Adapter
from .callers import CallerServer
from .controlplane import ControlPlane
from .dispatch import Dispatcher
from .following import Role
from .metricspage import MetricsPage
from .requests import RequestPath

CONNECTIONS_PER_SERVER = 12
"""A server accepts about 110 connections from all routers together."""
KEEPALIVE_S = 5.0
"""Shorter than the time after which servers close idle connections."""
RELEASE_TIMEOUT_S = 1.0
SUMMARY_S = 10.0
RELOAD_S = 2.0
"""Period in which the settings are read again, as they may change without a signal."""


async def follow_settings(adapter: Adapter, hangup: asyncio.Event) -> None:
    """Reload the settings regularly, and at each SIGHUP; never returns."""
    while True:
        hangup.clear()
        try:
            async with asyncio.timeout(RELOAD_S):
                await hangup.wait()
        except TimeoutError:
            pass
        try:
            if adapter.reload():
                log_event("reloaded", by_signal=hangup.is_set())
        except FindingsError as error:
            log_event("reload_failed", findings=str(error))


async def log_summaries(metrics: Metrics) -> None:
    """Log regularly what ended, as served requests have no lines; never returns."""
    while True:
        await asyncio.sleep(SUMMARY_S)
        for summary in metrics.summaries():
            log_event(
                "requests_summed",
                service=summary.service,
                route=summary.request_class,
                p50_ms=round(summary.p50_us / 1000, 1),
                p99_ms=round(summary.p99_us / 1000, 1),
                **summary.outcomes,
            )


async def run_edge(adapter: Adapter, clock: Clock = suspended_ms) -> None:
    """Serve callers until SIGTERM or SIGINT, then shut down gracefully.

    Raises:
        Exception: of a task that must run as long as the process.
    """
    options = adapter.options
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    hangup = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    boot_id = uuid.uuid4().hex[:12]
    dispatcher = Dispatcher(options.data_centre, clock)
    control = ControlPlane(
        adapter,
        boot_id,
        lambda server: dispatcher.loads.view(server).slowness,
        lambda: dispatcher.waiting > 0,
        clock,
    )
    control.catalog.changes.subscribe(lambda _: dispatcher.wake())
    control.ownership.changes.subscribe(lambda _: dispatcher.wake())
    pool = Pool(CONNECTIONS_PER_SERVER, keepalive_s=KEEPALIVE_S)
    metrics = Metrics(Tenant(""))
    path = RequestPath(
        adapter,
        control.catalog,
        control.ownership,
        dispatcher,
        pool,
        control.key_load,
        metrics,
        lambda: control.routers,
        clock,
    )
    callers = CallerServer(adapter, control.catalog, path, clock)
    await control.start()
    await callers.start()
    page = MetricsPage(
        metrics,
        lambda: {
            "in_flight": callers.in_flight,
            "waiting": dispatcher.waiting,
            "leader": float(control.lease.is_valid),
            "linked": float(control.contact.role is Role.LINKED),
            "routes_version": control.catalog.version,
            "store_silent_ms": control.catalog.store_silent_ms,
        },
        lambda: control.status.take(callers.in_flight, dispatcher.waiting),
    )
    await page.start(options.host, options.metrics_port)
    log_event("started", instance=options.instance, boot_id=boot_id)
    tasks = [
        asyncio.ensure_future(work)
        for work in (
            *control.tasks(),
            dispatcher.run(),
            follow_settings(adapter, hangup),
            log_summaries(metrics),
        )
    ]
    stop = asyncio.create_task(stopping.wait())
    await asyncio.wait({stop, *tasks}, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if task.done():
            task.result()
    log_event("stopping", instance=options.instance, in_flight=callers.in_flight)
    releasing = asyncio.create_task(control.lease.release())
    await callers.stop()
    await asyncio.wait({releasing}, timeout=RELEASE_TIMEOUT_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await control.close()
    await page.close()
    await pool.close()
    await adapter.orders.close()
    await adapter.store.close()
    log_event("stopped", instance=options.instance)

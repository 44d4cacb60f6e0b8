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
from .catalog import Catalog
from .coordinator import Coordinator
from .dispatch import Dispatcher
from .following import Followed, Role, StoreContact, follow_table
from .keyload import KeyLoad
from .leaderlink import LINK_PATH, LeaderDesk, LeaderLink, LinkClient, LinkServer
from .lease import LeaderLease
from .metricspage import MetricsPage
from .ownership import RANGES_TABLE, Ownership
from .requests import RequestPath
from .status import StatusSource

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
    contact = StoreContact()
    catalog = Catalog(
        adapter.store,
        adapter.route_source,
        adapter.server_source,
        contact,
        options.relist_ms,
        clock,
    )
    ownership = Ownership()
    dispatcher = Dispatcher(options.data_centre, clock)
    catalog.changes.subscribe(lambda _: dispatcher.wake())
    ownership.changes.subscribe(lambda _: dispatcher.wake())
    load = KeyLoad(clock)
    pool = Pool(CONNECTIONS_PER_SERVER, keepalive_s=KEEPALIVE_S)
    metrics = Metrics(Tenant(""))
    path = RequestPath(
        adapter,
        catalog,
        ownership,
        dispatcher,
        pool,
        load,
        metrics,
        lambda: link.routers,
        clock,
    )
    callers = CallerServer(adapter, catalog, path, clock)
    link_url = f"http://{options.host}:{options.internal_port}{LINK_PATH}"
    lease = LeaderLease(
        adapter.store, ownership, options.instance, boot_id, link_url, clock
    )
    coordinator = Coordinator(
        lease,
        adapter.store,
        adapter.orders,
        catalog,
        ownership,
        load,
        lambda server: dispatcher.loads.view(server).slowness,
        options.longest_hold_ms,
        boot_id,
        clock,
    )
    desk = LeaderDesk(
        load,
        ownership,
        contact,
        lambda: lease.is_valid,
        lambda: lease.is_cut_off,
        clock,
    )
    lease.changes.subscribe(lambda _: desk.wake())
    link_server = LinkServer(desk)
    await link_server.start(options.host, options.internal_port)
    link_client = LinkClient()
    link = LeaderLink(
        load,
        ownership,
        contact,
        desk,
        boot_id,
        lambda: lease.is_valid,
        lease.check_soon,
        lambda: dispatcher.waiting > 0,
        link_client.send,
    )
    await callers.start()
    status = StatusSource(
        options.instance,
        catalog,
        ownership,
        contact,
        lease,
        coordinator,
        link,
        clock,
    )
    page = MetricsPage(
        metrics,
        lambda: {
            "in_flight": callers.in_flight,
            "waiting": dispatcher.waiting,
            "leader": float(lease.is_valid),
            "linked": float(contact.role is Role.LINKED),
            "routes_version": catalog.version,
            "store_silent_ms": catalog.store_silent_ms,
        },
        lambda: status.take(callers.in_flight, dispatcher.waiting),
    )
    await page.start(options.host, options.metrics_port)
    log_event("started", instance=options.instance, boot_id=boot_id)
    ranges = Followed(RANGES_TABLE, ownership.take, is_written_here=True)
    tasks = [
        asyncio.ensure_future(work)
        for work in (
            *catalog.tasks(),
            follow_table(adapter.store, ranges, contact),
            lease.run(),
            dispatcher.run(),
            link.run(),
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
    releasing = asyncio.create_task(lease.release())
    await callers.stop()
    await asyncio.wait({releasing}, timeout=RELEASE_TIMEOUT_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await link_client.close()
    await link_server.close()
    await page.close()
    await pool.close()
    await adapter.orders.close()
    await adapter.store.close()
    log_event("stopped", instance=options.instance)

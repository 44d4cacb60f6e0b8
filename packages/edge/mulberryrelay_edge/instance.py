"""Runs one edge router process: starts its components and shuts them down again."""

import asyncio
import signal
import uuid

from mulberryrelay_kernel.clock import Clock, boottime_ms
from mulberryrelay_kernel.errors import FindingsError
from mulberryrelay_kernel.ids import BootId, Tenant
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_kernel.supervision import run_supervised
from mulberryrelay_router.pool import Pool
from mulberryrelay_router.serverconnection import ResponseBuffer
from mulberryrelay_router.suspects import Suspects

from .adapter import Adapter
from .callers import STOP_RESERVE_MS, CallerServer
from .controlplane import ControlPlane
from .dispatch import Dispatcher
from .explain import ExplanationSource
from .forwarder import RequestForwarder
from .loopwatch import log_stalls
from .monitoring import MonitoringServer
from .relay import RelayReceiver
from .suspectlink import EDGE_POLICY
from .tablefollower import Role

CONNECTIONS_PER_SERVER = 12
"""Maximum number of connections to one server.

A server accepts about 110 connections from all routers together.
"""
KEEPALIVE_S = 60.0
"""Time for which an idle connection to a server is kept at most.

It is reused only within the idle time that its server states.
"""
DEFAULT_IDLE_S = 5.0
"""Idle time after which a connection is not reused if its server states none."""
RELEASE_TIMEOUT_S = 1.0
"""Maximum time to release the leader lease after the callers' requests have ended."""
PROBATIONS_DRAIN_S = 0.2
"""Maximum time to report the results of suspects' runs after the callers' requests."""
SUMMARY_PERIOD_S = 10.0
"""Period in which request counts and latencies are logged."""
RELOAD_PERIOD_S = 2.0
"""Period in which the settings are reloaded, as they may change without a signal."""


async def reload_settings(adapter: Adapter, hangup: asyncio.Event) -> None:
    """Reload the settings periodically and at each SIGHUP; never returns."""
    while True:
        hangup.clear()
        try:
            async with asyncio.timeout(RELOAD_PERIOD_S):
                await hangup.wait()
        except TimeoutError:
            pass
        try:
            if adapter.reload():
                log_event("settings_reloaded", by_signal=hangup.is_set())
        except FindingsError as error:
            log_event("settings_reload_failed", findings=str(error))


async def log_summaries(metrics: Metrics) -> None:
    """Log request counts and latencies periodically; never returns.

    Requests that succeed have no log lines of their own.
    """
    while True:
        await asyncio.sleep(SUMMARY_PERIOD_S)
        for summary in metrics.summaries():
            log_event(
                "requests_summed",
                service=summary.service,
                route=summary.request_class,
                p50_ms=round(summary.p50_us / 1000, 1),
                p99_ms=round(summary.p99_us / 1000, 1),
                **summary.outcomes,
            )


async def complete_requests(
    callers: CallerServer, relays: RelayReceiver, grace_ms: float
) -> None:
    """Take no more requests, and let those of callers and other routers complete."""
    relays_s = (grace_ms - STOP_RESERVE_MS) / 1000
    await asyncio.gather(callers.stop(), relays.stop(relays_s))


async def run_edge(adapter: Adapter, clock: Clock = boottime_ms) -> None:
    """Serve callers until SIGTERM or SIGINT, then shut down gracefully."""
    options = adapter.options
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    hangup = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    boot_id = uuid.uuid4().hex[:12]
    dispatcher = Dispatcher(
        options.data_centre,
        lambda requests: control.reserve(requests),
        clock,
        lambda server: control.catalog.cold.limit_per_s(server),
        lambda server: control.catalog.cold.states_cold(server),
    )
    responses = ResponseBuffer(options.max_buffered_bytes)
    control = ControlPlane(
        adapter,
        boot_id,
        dispatcher.condition,
        dispatcher.loads.speeds,
        dispatcher.shares,
        lambda: dispatcher.queue_length > 0,
        lambda request: forwarder.forward(request),
        dispatcher.release_queued,
        lambda: dispatcher.release_queued(
            control.data_centre_relay.reach.are_unreached
        ),
        responses,
        lambda: callers.open_body(),
        clock,
    )

    def on_catalog_change() -> None:
        dispatcher.loads.remove_except(control.catalog.server_ids)
        dispatcher.limits.remove_except(control.catalog.server_ids)
        dispatcher.schedule_dispatch()

    control.catalog.changes.subscribe(lambda _: on_catalog_change())
    control.ownership.changes.subscribe(lambda _: dispatcher.schedule_dispatch())
    pool = Pool(
        CONNECTIONS_PER_SERVER,
        keepalive_s=KEEPALIVE_S,
        max_response_bytes=options.max_response_bytes,
        default_idle_s=DEFAULT_IDLE_S,
        on_lost=control.catalog.cold.record_lost_connection,
    )
    metrics = Metrics(Tenant(""))
    forwarder = RequestForwarder(
        adapter,
        control.catalog,
        control.ownership,
        dispatcher,
        pool,
        responses,
        control.key_load,
        metrics,
        lambda: control.counted_routers,
        Suspects(control.suspects, options.instance, BootId(boot_id), EDGE_POLICY),
        control.reach,
        control.relay,
        control.data_centre_relay,
        clock,
    )
    callers = CallerServer(adapter, control.catalog, forwarder, clock)
    await control.start()
    await callers.start()
    monitoring = MonitoringServer(
        metrics,
        lambda: {
            "in_flight": callers.in_flight,
            "waiting": dispatcher.queue_length,
            "limited_servers": dispatcher.limits.limited_servers,
            "divided_services": dispatcher.shares.services,
            "paced_servers": dispatcher.limits.paced_servers,
            "shared_speeds": dispatcher.loads.speeds.shared_servers,
            "cold_servers": control.catalog.cold.count,
            "cold_requests_held": dispatcher.limits.held_requests,
            "leader": float(control.lease.is_valid),
            "linked": float(control.store_sync.role is Role.FOLLOWER),
            "servers_unreachable": float(control.reach.is_cut_off),
            "data_centres_unreached": len(control.data_centre_relay.reach.unreached),
            "data_centre_requests": control.data_centre_relay.passed_on,
            "leader_relayed": float(control.data_centre_relay.is_leader_relayed),
            "leader_calls": control.leader_proxy.calls,
            "blocked_requests": control.suspects.blocked,
            "routes_version": control.catalog.version,
            "evacuated_data_centres": control.catalog.evacuated_data_centres,
            "store_silent_ms": control.catalog.store_unreachable_ms,
            **callers.limiter.gauges(),
        },
        lambda: control.status.snapshot(callers.in_flight, dispatcher.queue_length),
        ExplanationSource(
            options.instance,
            control.catalog,
            control.ownership,
            dispatcher,
            forwarder,
            clock,
        ).explain,
    )
    await monitoring.start(options.host, options.metrics_port)
    log_event("started", instance=options.instance, boot_id=boot_id)
    tasks = [
        asyncio.ensure_future(coroutine)
        for coroutine in (
            *control.tasks(),
            run_supervised("dispatch", dispatcher.run),
            run_supervised("reload", lambda: reload_settings(adapter, hangup)),
            run_supervised("stalls", lambda: log_stalls(clock)),
            run_supervised("summaries", lambda: log_summaries(metrics)),
        )
    ]
    await stopping.wait()
    log_event("stopping", instance=options.instance, in_flight=callers.in_flight)
    releasing = asyncio.create_task(control.lease.release())
    await complete_requests(callers, control.relay_receiver, options.stop_grace_ms)
    await forwarder.drain_probations(PROBATIONS_DRAIN_S)
    await asyncio.wait({releasing}, timeout=RELEASE_TIMEOUT_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await control.close()
    await monitoring.close()
    await pool.close()
    await adapter.commands.close()
    await adapter.store.close()
    log_event("stopped", instance=options.instance)

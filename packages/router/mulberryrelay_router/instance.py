"""Wires one router process together and runs it until it is told to stop."""

import asyncio
import signal
import uuid

from aiohttp import web
from reactivex.subject import Subject

from mulberryrelay_control.rulestore import RuleStore
from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.ids import BootId
from mulberryrelay_kernel.logs import log_event
from mulberryrelay_kernel.messages import RulesDocument
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.registry import load_plugins, plugin

from .admin import AdminSources, OwnConfirmation, start_admin
from .bootstrap import load_static_view
from .callers import caller_handler
from .pool import open_pool
from .routing import request_router
from .rules import RouterRules, poll_rules
from .view import RoutingView


async def run_instance(options: Options) -> None:
    """Serve callers and peers until SIGTERM or SIGINT, then shut down gracefully."""
    load_plugins()
    boot_id = BootId(uuid.uuid4().hex)
    platform = plugin("platform", options.platform.plugin)(
        options.platform, options.instance.name
    )
    view = RoutingView()
    metrics = Metrics(options.tenant)
    session = open_pool(max(s.connections for s in options.services.values()))
    await load_static_view(options, platform, view)
    route = request_router(options, view, session, metrics, monotonic_ms)
    server = web.Server(caller_handler(options, route), access_log=None)
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(
        runner, options.instance.host, options.instance.caller_port, backlog=1024
    )
    await site.start()
    rule_store = RuleStore(options, platform)
    documents: Subject[RulesDocument] = Subject()
    rules = RouterRules(options, documents)
    rule_tasks = [
        asyncio.create_task(rules.run()),
        asyncio.create_task(
            poll_rules(rule_store, options.timing.rules_period_ms, documents)
        ),
    ]
    admin_runner = await start_admin(
        AdminSources(
            options=options,
            boot_id=boot_id,
            platform=platform,
            view=view,
            metrics=metrics,
            store=rule_store,
            rules=rules,
            confirmations=OwnConfirmation(options, view, rules),
            rules_submitted=lambda version: None,
            is_ready=view.has_lease,
        )
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    log_event(
        "listening",
        instance=options.instance.name,
        boot_id=boot_id,
        caller_port=runner.addresses[0][1],
        admin_port=admin_runner.addresses[0][1],
    )
    await stopping.wait()
    await runner.cleanup()
    await admin_runner.cleanup()
    for task in rule_tasks:
        task.cancel()
    rules.close()
    await session.close()
    await platform.close()

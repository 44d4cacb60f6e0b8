"""Plays one run: starts everything, injects the faults, and returns what was found."""

import asyncio
import json
import random
import time
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web
from hdrh.histogram import HdrHistogram

from standins.keyedservers import KeyedServers
from standins.tables import Tables
from standins.tableserver import TableServer

from .callers import Balancer, Caller, PoisonCaller, probe_routes
from .checks import CallResult, Checks, Rule, Violation
from .fleet import HOST, Registry, SoakServer
from .injector import Injector
from .operator import KEYED_SERVICE, PLAIN_SERVICE, Operator
from .options import ZONES, SoakOptions
from .plan import Fault, draw_plan
from .proxy import Proxy
from .routers import CALLER_PORT, RouterProcess

ALL_READY_S = 20.0
"""Time in which all routers become ready at the start."""
WATCH_PERIOD_S = 0.02
MAX_LATENCY_MS = 60_000


class SoakResult(msgspec.Struct, frozen=True):
    """What one run found."""

    seed: int
    violations: list[Violation]
    counts: dict[str, int]
    latency_ms: dict[str, float]
    """Percentiles of the time until a success."""


class Soak:
    """The parts of one run."""

    def __init__(self, seed: int, options: SoakOptions, directory: Path) -> None:
        self._seed = seed
        self._options = options
        self._directory = directory.resolve()
        self._rng = random.Random(seed)
        self._tables = Tables()
        self._store = TableServer(self._tables, self._rng)
        self._operator = Operator(self._tables, self._rng)
        self._keyed = KeyedServers(lambda: time.monotonic() * 1000)
        self._checks = Checks(self._keyed)
        self._routers = [
            RouterProcess(number, ZONES[number % len(ZONES)], options, self._directory)
            for number in range(options.routers)
        ]
        self._poison = PoisonCaller(self._checks)
        self._servers = [
            self._new_server(number, service)
            for service, count in (
                (KEYED_SERVICE, options.keyed_servers),
                (PLAIN_SERVICE, options.plain_servers),
            )
            for number in range(count)
        ]
        self._store_proxies: dict[str, Proxy] = {}
        self._caller_proxies: dict[str, Proxy] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def play(self) -> SoakResult:
        """Play the run and end all processes that it started."""
        plan = draw_plan(self._seed, self._options)
        self._write("plan.json", plan)
        runner = await self._open()
        try:
            await self._play_faults(plan)
        finally:
            for router in self._routers:
                router.end()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for server in self._servers:
                await server.close()
            for proxy in (
                *self._store_proxies.values(),
                *self._caller_proxies.values(),
            ):
                await proxy.close()
            with suppress(TimeoutError):
                await asyncio.wait_for(runner.cleanup(), 1.0)
        result = SoakResult(
            self._seed,
            self._checks.violations,
            dict(sorted(self._checks.counts.items())),
            _percentiles(self._checks.results),
        )
        self._write("result.json", result)
        return result

    def _new_server(self, number: int, service: str) -> SoakServer:
        zone = ZONES[number % len(ZONES)]
        record = self._checks.record_execution
        return SoakServer(
            number,
            service,
            zone,
            self._keyed,
            self._tables,
            self._routers,
            record,
            self._poison.record_crash,
        )

    async def _open(self) -> web.AppRunner:
        """Start the store, the servers, all proxies and the routers."""
        runner = web.AppRunner(self._store.application(), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, HOST, 0, backlog=1024).start()
        store_port = int(runner.addresses[0][1])
        self._operator.write()
        for server in self._servers:
            await server.open()
        for router in self._routers:
            store_proxy = Proxy(router.host, HOST, store_port)
            await store_proxy.start()
            self._store_proxies[router.name] = store_proxy
            caller_proxy = Proxy(HOST, router.host, CALLER_PORT)
            await caller_proxy.start()
            self._caller_proxies[router.name] = caller_proxy
            router.write_settings(f"{router.host}:{store_proxy.port}")
            router.start()
        return runner

    async def _play_faults(self, plan: list[Fault]) -> None:
        balancer = Balancer(self._routers, self._rng)
        injector = Injector(
            self._routers,
            self._servers,
            self._store,
            self._store_proxies,
            self._caller_proxies,
            self._operator,
            self._checks,
            lambda end_s: self._poison.run(
                end_s, balancer, self._caller_proxies, self._rng
            ),
            self._rng,
        )
        registry = Registry(self._servers, self._tables)
        self._start(registry.run(lambda: injector.is_store_away))
        self._start(injector.copy_store())
        self._start(self._watch())
        for router in self._routers:
            self._start(balancer.watch(router))
        await self._wait_until_ready(balancer)
        self._start_callers(balancer)
        started_s = time.monotonic()
        injections = []
        for fault in plan:
            await asyncio.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
            injections.append(asyncio.create_task(injector.inject(fault)))
        end_s = started_s + self._options.seconds
        await asyncio.gather(*injections)
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))
        self._checks.check_end(time.monotonic())

    async def _wait_until_ready(self, balancer: Balancer) -> None:
        give_up_s = time.monotonic() + ALL_READY_S
        while len(balancer.ready) < len(self._routers):
            if time.monotonic() > give_up_s:
                self._checks.break_rule(Rule.RECOVERY, "routers were not ready in time")
                return
            await asyncio.sleep(0.1)

    def _start_callers(self, balancer: Balancer) -> None:
        for number in range(self._options.callers):
            rng = random.Random(self._rng.random())
            proxies = self._caller_proxies
            caller = Caller(number, balancer, proxies, self._checks, rng)
            self._start(caller.run())
        for router in self._routers:
            proxy = self._caller_proxies[router.name]
            rng = random.Random(self._rng.random())
            self._start(probe_routes(router, proxy, self._operator, self._checks, rng))

    async def _watch(self) -> None:
        """Watch grants, processes and this process's own stalls; never returns."""
        watched_s = time.monotonic()
        while True:
            stalled_ms = round((time.monotonic() - watched_s - WATCH_PERIOD_S) * 1000)
            watched_s = time.monotonic()
            longest_ms = self._checks.counts["longest stall ms"]
            self._checks.counts["longest stall ms"] = max(longest_ms, stalled_ms)
            self._checks.watch_grants()
            for router in self._routers:
                status = router.unexpected_end()
                if status is not None:
                    detail = f"{router.name} ended by itself with status {status}"
                    self._checks.break_rule(Rule.KEEPS_RUNNING, detail)
                    router.start()
            await asyncio.sleep(WATCH_PERIOD_S)

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    def _write(self, name: str, value: object) -> None:
        text = json.dumps(msgspec.to_builtins(value), indent=1)
        (self._directory / name).write_text(text + "\n")


def _percentiles(results: list[CallResult]) -> dict[str, float]:
    histogram = HdrHistogram(1, MAX_LATENCY_MS, 3)
    for result in results:
        if result.status == 200:
            took_ms = round((result.ended_s - result.sent_s) * 1000)
            histogram.record_value(max(1, min(MAX_LATENCY_MS, took_ms)))
    return {
        f"p{percent}": float(histogram.get_value_at_percentile(percent))
        for percent in (50, 90, 99, 99.9)
    }

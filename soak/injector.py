"""Carries out the faults of a plan and undoes them when they end."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

import msgspec

from mulberryrelay_edge.leaserow import LEADER_TABLE, LEASE_KEY
from mulberryrelay_edge.messages import LeaderRow
from mulberryrelay_kernel.states import ServerState
from standins.tables import Tables, TablesCopy
from standins.tableserver import TableServer

from .checks import CONTACT_S, SERVERS, STORE, Checks
from .faultkinds import FaultKind
from .fleet import LAPSE_S, LEAVES_S, SLOW_FACTOR, WORK_S, SoakServer
from .operator import Operator
from .plan import Fault
from .proxy import Proxy
from .routers import GRACE_S, RouterProcess

RESTART_S = (0.1, 1.5)
"""Bounds of the time until a router that has ended is started again."""
STOPS_WITHIN_S = GRACE_S + 1.0
"""Time from SIGTERM in which a router ends or is killed."""
LIMIT_PER_S = 6.0
COPY_PERIOD_S = 1.0
"""Period in which the store is copied; a restore uses the oldest copy."""
COPIES = 8
REWRITE_S = 0.3
"""Time after a restore until the operator and the servers write again."""


class Injector:
    """Applies faults to the parts of a run."""

    def __init__(
        self,
        routers: list[RouterProcess],
        servers: list[SoakServer],
        store: TableServer,
        store_proxies: dict[str, Proxy],
        caller_proxies: dict[str, Proxy],
        operator: Operator,
        checks: Checks,
        rng: random.Random,
    ) -> None:
        self._routers = routers
        self._servers = servers
        self._store = store
        self._store_proxies = store_proxies
        self._caller_proxies = caller_proxies
        self._operator = operator
        self._checks = checks
        self._rng = rng
        self._copies: list[TablesCopy] = []
        self._store_silences = 0
        self._busy_stores = 0
        self._actions: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.ROUTER_KILL: self._kill_router,
            FaultKind.ROUTER_TERM: self._stop_router,
            FaultKind.ROUTER_PAUSE: self._pause_router,
            FaultKind.ROUTER_HANGUP: self._hang_up,
            FaultKind.ALL_ROUTERS_KILL: self._kill_all_routers,
            FaultKind.CALLER_LINK_RESET: self._reset_callers,
            FaultKind.STORE_LINK_CUT: self._cut_from_store,
            FaultKind.STORE_LINK_REFUSED: self._refuse_at_store,
            FaultKind.SERVER_CRASH: self._crash_server,
            FaultKind.SERVER_REBORN: self._restart_server,
            FaultKind.SERVER_SILENT: self._silence_server,
            FaultKind.SERVER_DEAF: self._deafen_server,
            FaultKind.SERVER_RESET: self._reset_server,
            FaultKind.SERVER_SLOW: self._slow_server,
            FaultKind.SERVER_DRAIN: self._drain_server,
            FaultKind.SERVER_LIMIT: self._limit_server,
            FaultKind.SERVER_LOSES_RESPONSES: self._lose_responses,
            FaultKind.STORE_SILENT: self._silence_store,
            FaultKind.STORE_BUSY: self._refuse_calls,
            FaultKind.STORE_LOSES_REPLIES: self._lose_replies,
            FaultKind.STORE_LATE: self._apply_late,
            FaultKind.STORE_COMPACT: self._compact_store,
            FaultKind.STORE_RESTORED: self._restore_store,
            FaultKind.ROUTE_ADDED: self._add_route,
            FaultKind.ROUTE_REMOVED: self._remove_route,
        }

    @property
    def is_store_away(self) -> bool:
        """Whether servers cannot write to the store."""
        return self._store_silences > 0 or self._busy_stores > 0

    async def inject(self, fault: Fault) -> None:
        """Carry out a fault; returns when it has ended."""
        await self._actions[fault.kind](fault)
        self._checks.counts[f"fault {fault.kind.value}"] += 1

    async def copy_store(self) -> None:
        """Copy the store periodically; never returns."""
        while True:
            self._copies = [*self._copies[-COPIES + 1 :], self._store.tables.copy()]
            await asyncio.sleep(COPY_PERIOD_S)

    def _disturb(self, part: str, for_s: float, is_planned: bool = False) -> None:
        now_s = time.monotonic()
        self._checks.disturbances.add(part, now_s, now_s + for_s, is_planned)

    def _router(self, fault: Fault) -> RouterProcess:
        if fault.strikes_leader:
            row = self._store.tables.rows.get((LEADER_TABLE, LEASE_KEY))
            if row is not None and row.value is not None:
                holder = msgspec.json.decode(row.value, type=LeaderRow).holder
                for router in self._routers:
                    if router.name == holder:
                        return router
        return self._routers[fault.target % len(self._routers)]

    def _server(self, fault: Fault) -> SoakServer:
        return self._servers[fault.target % len(self._servers)]

    async def _restart(self, router: RouterProcess) -> None:
        down_s = self._rng.uniform(*RESTART_S)
        self._disturb(router.name, down_s + 1.0)
        await asyncio.sleep(down_s)
        if not router.is_running:
            router.start()

    async def _kill_router(self, fault: Fault) -> None:
        router = self._router(fault)
        if not router.is_running:
            return
        self._disturb(router.name, 0.1)
        router.end()
        await self._restart(router)

    async def _kill_all_routers(self, fault: Fault) -> None:
        for router in self._routers:
            self._disturb(router.name, 0.1)
            router.end()
        await asyncio.gather(*(self._restart(router) for router in self._routers))

    async def _stop_router(self, fault: Fault) -> None:
        router = self._router(fault)
        if not router.is_running or router.is_paused:
            return
        self._disturb(router.name, STOPS_WITHIN_S, is_planned=True)
        router.send(signal.SIGTERM)
        end_s = time.monotonic() + STOPS_WITHIN_S
        while router.is_running and time.monotonic() < end_s:
            await asyncio.sleep(0.05)
        router.end()
        await self._restart(router)

    async def _pause_router(self, fault: Fault) -> None:
        router = self._router(fault)
        if router.is_paused:
            return
        self._disturb(router.name, fault.for_s)
        router.pause()
        await asyncio.sleep(fault.for_s)
        router.resume()

    async def _hang_up(self, fault: Fault) -> None:
        router = self._router(fault)
        if not router.handles_signals:
            return
        self._disturb(router.name, 0.1, is_planned=True)
        router.send(signal.SIGHUP)

    async def _reset_callers(self, fault: Fault) -> None:
        router = self._router(fault)
        self._disturb(router.name, 0.1)
        self._caller_proxies[router.name].reset_connections()

    async def _cut_from_store(self, fault: Fault) -> None:
        router = self._router(fault)
        proxy = self._store_proxies[router.name]
        is_one_way = fault.target % 2 == 0
        self._disturb(router.name, fault.for_s)
        proxy.is_silent_to_target = not is_one_way
        proxy.is_silent_from_target = True
        await asyncio.sleep(fault.for_s)
        proxy.is_silent_to_target = proxy.is_silent_from_target = False

    async def _refuse_at_store(self, fault: Fault) -> None:
        router = self._router(fault)
        proxy = self._store_proxies[router.name]
        self._disturb(router.name, fault.for_s)
        proxy.is_refusing = True
        proxy.reset_connections()
        await asyncio.sleep(fault.for_s)
        proxy.is_refusing = False

    async def _crash_server(self, fault: Fault) -> None:
        server = self._server(fault)
        if server.incarnation is None:
            return
        self._disturb(SERVERS, fault.for_s + LAPSE_S)
        server.crash()
        await asyncio.sleep(fault.for_s + LAPSE_S)
        server.start(keeps_name=False)

    async def _restart_server(self, fault: Fault) -> None:
        server = self._server(fault)
        if server.incarnation is None:
            return
        down_s = min(1.0, fault.for_s)
        self._disturb(SERVERS, down_s)
        server.crash()
        await asyncio.sleep(down_s)
        server.start()

    async def _silence_server(self, fault: Fault) -> None:
        proxy = self._proxy(fault)
        self._disturb(SERVERS, fault.for_s)
        proxy.is_silent_to_target = proxy.is_silent_from_target = True
        await asyncio.sleep(fault.for_s)
        proxy.is_silent_to_target = proxy.is_silent_from_target = False

    async def _deafen_server(self, fault: Fault) -> None:
        """Let a server receive everything while its responses are held back."""
        proxy = self._proxy(fault)
        self._disturb(SERVERS, fault.for_s)
        proxy.is_silent_from_target = True
        await asyncio.sleep(fault.for_s)
        proxy.is_silent_from_target = False

    async def _reset_server(self, fault: Fault) -> None:
        self._disturb(SERVERS, 0.1)
        self._proxy(fault).reset_connections()

    def _proxy(self, fault: Fault) -> Proxy:
        proxy = self._server(fault).proxy
        assert proxy is not None
        return proxy

    async def _slow_server(self, fault: Fault) -> None:
        server = self._server(fault).incarnation
        if server is None:
            return
        self._disturb(SERVERS, fault.for_s)
        server.work_s = WORK_S * SLOW_FACTOR
        await asyncio.sleep(fault.for_s)
        server.work_s = WORK_S

    async def _drain_server(self, fault: Fault) -> None:
        place = self._server(fault)
        server = place.incarnation
        if server is None or place.state is not ServerState.SERVING:
            return
        if self.is_store_away:
            return
        place.state = ServerState.DRAINING
        place.register()
        left_s = time.monotonic()
        self._disturb(SERVERS, LEAVES_S + 1.0, is_planned=True)
        await asyncio.sleep(LEAVES_S)
        self._checks.check_drained(place.name, left_s, server.arrivals_s)
        if place.incarnation is not server:
            return
        place.remove_entry()
        place.crash()
        place.start(keeps_name=False)

    async def _limit_server(self, fault: Fault) -> None:
        server = self._server(fault).incarnation
        if server is None or server.limit_per_s is not None:
            return
        told_s = time.monotonic()
        server.limit_per_s = LIMIT_PER_S
        await asyncio.sleep(fault.for_s + CONTACT_S)
        arrivals_s = list(server.arrivals_s)
        name = server.server.entry.server
        self._checks.check_limit(name, LIMIT_PER_S, told_s, arrivals_s)
        server.limit_per_s = None

    async def _lose_responses(self, fault: Fault) -> None:
        server = self._server(fault).incarnation
        if server is None:
            return
        self._disturb(SERVERS, fault.for_s)
        server.drops_responses = True
        await asyncio.sleep(fault.for_s)
        server.drops_responses = False

    async def _silence_store(self, fault: Fault) -> None:
        self._disturb(STORE, fault.for_s)
        self._set_store_silent(True)
        await asyncio.sleep(fault.for_s)
        self._set_store_silent(False)

    def _set_store_silent(self, is_silent: bool) -> None:
        self._store_silences += 1 if is_silent else -1
        for proxy in self._store_proxies.values():
            proxy.is_silent_to_target = self._store_silences > 0
            proxy.is_silent_from_target = self._store_silences > 0

    async def _refuse_calls(self, fault: Fault) -> None:
        self._disturb(STORE, fault.for_s)
        self._busy_stores += 1
        self._store.is_busy = True
        await asyncio.sleep(fault.for_s)
        self._busy_stores -= 1
        self._store.is_busy = self._busy_stores > 0

    async def _lose_replies(self, fault: Fault) -> None:
        self._disturb(STORE, fault.for_s)
        self._store.lost_share = 0.5
        await asyncio.sleep(fault.for_s)
        self._store.lost_share = 0.0

    async def _apply_late(self, fault: Fault) -> None:
        self._disturb(STORE, fault.for_s)
        self._store.late_share = 0.5
        await asyncio.sleep(fault.for_s)
        self._store.late_share = 0.0

    async def _compact_store(self, fault: Fault) -> None:
        self._disturb(STORE, 0.1)
        self._store.tables.compact()

    async def _restore_store(self, fault: Fault) -> None:
        """Take the store away and bring it back from a copy some seconds old."""
        self._disturb(STORE, fault.for_s + REWRITE_S)
        self._set_store_silent(True)
        await asyncio.sleep(fault.for_s)
        tables: Tables = self._store.tables
        tables.restore(self._copies[fault.target % len(self._copies)])
        for proxy in self._store_proxies.values():
            proxy.reset_connections()
        self._set_store_silent(False)
        await asyncio.sleep(REWRITE_S)
        self._operator.write_again()

    async def _add_route(self, fault: Fault) -> None:
        if not self.is_store_away:
            self._operator.add_route()

    async def _remove_route(self, fault: Fault) -> None:
        if not self.is_store_away:
            self._operator.remove_route()

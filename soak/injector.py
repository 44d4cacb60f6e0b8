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
from .operator import KEYED_SERVICE, Operator
from .plan import Fault
from .proxy import LinkState, Proxy
from .routers import GRACE_S, RouterProcess

RESTART_S = (0.1, 1.5)
"""Bounds of the time until a router that has ended is started again."""
STOPS_WITHIN_S = GRACE_S + 1.0
"""Time from SIGTERM in which a router ends or is killed."""
LIMIT_PER_S = 6.0
COPY_PERIOD_S = 1.0
"""Period in which the store is copied; a restore uses the oldest copy."""
COPIES = 8
QUEUED_S = (0.5, 2.0)
"""Bounds of the time for which bytes wait in the queue of a link."""
LOST_AFTER_QUEUE_S = 7.0
"""Time after a queue for which one of the servers may be silent to all routers.

It outlasts the grants that have waited in the queue.
"""
ARRIVES_S = 0.1
"""Time in which bytes arrive once they do not wait any more."""
CUT_OFF_S = CONTACT_S + 1.0
"""Minimum time for which a router is cut off from the servers."""
MOST = 0.7
"""Share of the routers that are cut off at a time."""
BEGINS_S = 0.1
"""Time in which a fault of links has begun."""
POISON_S = 10.0
"""Time for which a request that crashes servers is sent."""
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
        send_poison: Callable[[float], Awaitable[None]],
        rng: random.Random,
    ) -> None:
        """``send_poison`` sends a request that crashes servers until a time."""
        self._routers = routers
        self._servers = servers
        self._store = store
        self._store_proxies = store_proxies
        self._caller_proxies = caller_proxies
        self._operator = operator
        self._checks = checks
        self._rng = rng
        self._send_poison = send_poison
        self._faulty_links: set[str] = set()
        """Routers whose links to the servers have a fault."""
        self._is_owner_silent = False
        """Whether a server is silent after bytes for it have waited in a queue."""
        self._copies: list[TablesCopy] = []
        self._store_silences = 0
        self._busy_stores = 0
        self._actions: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.ROUTER_KILL: self._kill_router,
            FaultKind.ROUTER_TERM: self._stop_router,
            FaultKind.ROUTER_PAUSE: self._pause_router,
            FaultKind.ROUTER_HANGUP: self._hang_up,
            FaultKind.ALL_ROUTERS_KILL: self._kill_all_routers,
            FaultKind.ROUTER_QUEUE: self._queue_links,
            FaultKind.ROUTER_CUT_OFF: self._cut_off_router,
            FaultKind.MOST_ROUTERS_CUT_OFF: self._cut_off_most,
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
            FaultKind.POISON_REQUEST: self._crash_servers,
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

    async def _queue_links(self, fault: Fault) -> None:
        """Let bytes wait; one owner of keys may be silent to all others and after."""
        router = self._router(fault)
        shortest_s, longest_s = QUEUED_S
        for_s = min(longest_s, shortest_s + fault.for_s / 3)
        if router.name in self._faulty_links or self._is_owner_silent:
            return
        self._disturb(router.name, for_s)
        queue = self._set_all_links([router], LinkState.QUEUED, for_s)
        if fault.target % 3 == 0:
            await queue
            return
        self._is_owner_silent = True
        keyed = [s for s in self._servers if s.service == KEYED_SERVICE]
        links = dict(self._rng.choice(keyed).links)
        link = links.pop(router.name)
        lost_s = for_s + LOST_AFTER_QUEUE_S
        self._disturb(SERVERS, lost_s)
        others = asyncio.create_task(
            _set_links(list(links.values()), LinkState.HUNG, lost_s)
        )
        await queue
        await asyncio.sleep(ARRIVES_S)
        await _set_links([link], LinkState.HUNG, LOST_AFTER_QUEUE_S)
        await others
        self._is_owner_silent = False

    async def _cut_off_router(self, fault: Fault) -> None:
        await self._cut_off([self._router(fault)], fault)

    async def _cut_off_most(self, fault: Fault) -> None:
        start = fault.target % len(self._routers)
        turned = [*self._routers[start:], *self._routers[:start]]
        await self._cut_off(turned[: round(MOST * len(turned))], fault)

    async def _cut_off(self, routers: list[RouterProcess], fault: Fault) -> None:
        """Cut routers off from all servers; open connections hang, end or live on."""
        for_s = CUT_OFF_S + fault.for_s
        routers = [r for r in routers if r.name not in self._faulty_links]
        resets = fault.target % 3 == 0
        is_hung = fault.target % 3 == 1
        state = LinkState.HUNG if is_hung else LinkState.REFUSING
        if is_hung:
            # Requests that were written before arrive when the links are back.
            for router in routers:
                self._disturb(router.name, for_s)
        started_s = time.monotonic()
        cut = asyncio.create_task(self._set_all_links(routers, state, for_s))
        await asyncio.sleep(BEGINS_S)
        if resets:
            for server in self._servers:
                for router in routers:
                    server.links[router.name].reset_connections()
        intact = self._intact_routers()
        await cut
        intact &= self._intact_routers()
        names = frozenset(router.name for router in routers)
        self._checks.check_cut_off(names, intact, started_s, time.monotonic())

    def _intact_routers(self) -> set[str]:
        return {router.name for router in self._routers} - self._faulty_links

    async def _set_all_links(
        self, routers: list[RouterProcess], state: LinkState, for_s: float
    ) -> None:
        """Give the links of routers to all servers a fault."""
        names = {router.name for router in routers}
        self._faulty_links |= names
        links = [server.links[name] for server in self._servers for name in names]
        await _set_links(links, state, for_s)
        self._faulty_links -= names

    async def _crash_servers(self, fault: Fault) -> None:
        await self._send_poison(time.monotonic() + POISON_S)

    async def _crash_server(self, fault: Fault) -> None:
        server = self._server(fault)
        if server.incarnation is None:
            return
        self._disturb(SERVERS, fault.for_s + LAPSE_S)
        await server.crash()
        await asyncio.sleep(fault.for_s + LAPSE_S)
        await server.start(keeps_name=False)

    async def _restart_server(self, fault: Fault) -> None:
        server = self._server(fault)
        if server.incarnation is None:
            return
        down_s = min(1.0, fault.for_s)
        self._disturb(SERVERS, down_s)
        await server.crash()
        await asyncio.sleep(down_s)
        await server.start()

    async def _silence_server(self, fault: Fault) -> None:
        links = self._server(fault).links.values()
        self._disturb(SERVERS, fault.for_s)
        for link in links:
            link.is_silent_to_target = link.is_silent_from_target = True
        await asyncio.sleep(fault.for_s)
        for link in links:
            link.is_silent_to_target = link.is_silent_from_target = False

    async def _deafen_server(self, fault: Fault) -> None:
        """Let a server receive everything while its responses are held back."""
        links = self._server(fault).links.values()
        self._disturb(SERVERS, fault.for_s)
        for link in links:
            link.is_silent_from_target = True
        await asyncio.sleep(fault.for_s)
        for link in links:
            link.is_silent_from_target = False

    async def _reset_server(self, fault: Fault) -> None:
        self._disturb(SERVERS, 0.1)
        for link in self._server(fault).links.values():
            link.reset_connections()

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
        await place.crash()
        await place.start(keeps_name=False)

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


async def _set_links(links: list[Proxy], state: LinkState, for_s: float) -> None:
    for link in links:
        await link.set_link(state)
    await asyncio.sleep(for_s)
    for link in links:
        await link.set_link(LinkState.OPEN)

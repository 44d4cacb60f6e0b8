"""Callers: each keeps its connection to a router until the router closes it."""

import asyncio
import random
import time

import aiohttp

from mulberryrelay_platform.names import HEADERS, READY_PATH
from standins.edgeserver import response_body

from .checks import CHANGE_APPLIES_S, CallResult, Checks, Rule
from .fleet import POISON_PREFIX
from .operator import (
    HOST,
    KEYED_READ,
    KEYED_WRITE,
    PLAIN_READ,
    PLAIN_WRITE,
    Operator,
)
from .proxy import Proxy
from .routers import READY_PORT, RouterProcess

PATHS = {KEYED_READ: 5, KEYED_WRITE: 2, PLAIN_READ: 2, PLAIN_WRITE: 2}
"""Paths and how often they are called, relative to each other."""
IDEMPOTENT = frozenset({KEYED_READ, PLAIN_READ})
KEYS = 65536
HOT_KEYS = (4000, 4001, 60_000)
HOT_SHARE = 0.2
THINK_S = (0.02, 0.15)
"""Bounds of the pause of a caller between two requests."""
DEADLINE_MS = 2500
TIMEOUT_S = 4.0
"""Time after which a caller gives up."""
POISON_PAUSE_S = (0.1, 0.4)
"""Bounds of the pause until a request that crashes servers is sent again."""
CHECK_PERIOD_S = 1.0
"""Period in which the load balancer asks routers whether they are ready."""
MISSES = 2
"""Checks in a row without a success that take a router out."""
PROBE_PERIOD_S = 0.4
"""Period in which a router gets a request on a route that was added or removed."""


class Balancer:
    """Chooses routers for new connections, by their readiness."""

    def __init__(self, routers: list[RouterProcess], rng: random.Random) -> None:
        self._routers = routers
        self._rng = rng
        self._misses = {router.name: MISSES for router in routers}

    @property
    def ready(self) -> list[RouterProcess]:
        """Routers that take new connections."""
        return [r for r in self._routers if self._misses[r.name] < MISSES]

    def choose(self) -> RouterProcess:
        """Return a router; any if none is ready."""
        return self._rng.choice(self.ready or self._routers)

    async def watch(self, router: RouterProcess) -> None:
        """Ask a router periodically whether it is ready; never returns."""
        url = f"http://{router.host}:{READY_PORT}{READY_PATH}"
        timeout = aiohttp.ClientTimeout(total=CHECK_PERIOD_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                started_s = time.monotonic()
                is_ready = False
                try:
                    async with session.get(url) as response:
                        is_ready = response.status == 200
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass
                misses = 0 if is_ready else self._misses[router.name] + 1
                self._misses[router.name] = misses
                elapsed_s = time.monotonic() - started_s
                await asyncio.sleep(max(0.0, CHECK_PERIOD_S - elapsed_s))


class Caller:
    """Sends requests one after the other, on one connection as long as it lasts."""

    def __init__(
        self,
        number: int,
        balancer: Balancer,
        proxies: dict[str, Proxy],
        checks: Checks,
        rng: random.Random,
    ) -> None:
        self._number = number
        self._balancer = balancer
        self._proxies = proxies
        self._checks = checks
        self._rng = rng
        self._sent = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            router = self._balancer.choose()
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                while await self._send(session, router):
                    await asyncio.sleep(self._rng.uniform(*THINK_S))
            await asyncio.sleep(self._rng.uniform(*THINK_S))

    async def _send(
        self, session: aiohttp.ClientSession, router: RouterProcess
    ) -> bool:
        """Send a request; return whether the connection can be used again."""
        self._sent += 1
        request_id = f"c{self._number}-{self._sent}"
        prefix = self._rng.choices(list(PATHS), list(PATHS.values()))[0]
        path = f"{prefix}{self._sent}"
        key = self._rng.randrange(KEYS)
        if self._rng.random() < HOT_SHARE:
            key = self._rng.choice(HOT_KEYS)
        is_idempotent = prefix in IDEMPOTENT
        headers: dict[str, str] = {HEADERS.key: str(key)}
        sent_s = time.monotonic()
        status, is_kept = await send_request(
            session,
            self._proxies[router.name],
            "GET" if is_idempotent else "POST",
            path,
            request_id,
            headers,
            self._checks,
        )
        self._checks.record_result(
            CallResult(
                request_id,
                router.name,
                path,
                is_idempotent,
                sent_s,
                time.monotonic(),
                status,
            )
        )
        return is_kept


class PoisonCaller:
    """Sends requests that crash servers, and sends each again when it has failed."""

    def __init__(self, checks: Checks) -> None:
        self._checks = checks
        self._sent = 0
        self._crashes_s: dict[str, list[float]] = {}
        """Times at which servers crashed, by the path of the request."""

    def record_crash(self, path: str) -> None:
        """Record that a request has crashed a server."""
        self._crashes_s[path].append(time.monotonic())

    async def run(
        self,
        end_s: float,
        balancer: Balancer,
        proxies: dict[str, Proxy],
        rng: random.Random,
    ) -> None:
        """Send a new such request again and again until a time."""
        path = f"{POISON_PREFIX}{len(self._crashes_s)}"
        self._crashes_s[path] = []
        while time.monotonic() < end_s:
            self._sent += 1
            proxy = proxies[balancer.choose().name]
            async with aiohttp.ClientSession() as session:
                request_id = f"poison-{self._sent}"
                await send_request(
                    session, proxy, "GET", path, request_id, {}, self._checks
                )
            await asyncio.sleep(rng.uniform(*POISON_PAUSE_S))
        self._checks.check_poison(path, self._crashes_s[path], end_s)


async def send_request(
    session: aiohttp.ClientSession,
    proxy: Proxy,
    method: str,
    path: str,
    request_id: str,
    headers: dict[str, str],
    checks: Checks,
) -> tuple[int | None, bool]:
    """Return the status, None without a complete response, and if the link is kept.

    Checks that a success has the whole response that belongs to the request.
    """
    all_headers = {
        "Host": HOST,
        HEADERS.request_id: request_id,
        HEADERS.deadline_ms: str(DEADLINE_MS),
        **headers,
    }
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S, sock_connect=1.0)
    url = f"http://127.0.0.1:{proxy.port}{path}"
    try:
        async with session.request(
            method, url, headers=all_headers, timeout=timeout
        ) as response:
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None, False
    if response.status == 200 and body != response_body(request_id):
        detail = f"{request_id} {path} got {body[:40]!r}, {len(body)} bytes"
        checks.break_rule(Rule.OWN_RESPONSE, detail)
    is_closed = response.headers.get("Connection", "").lower() == "close"
    return response.status, not is_closed


async def probe_routes(
    router: RouterProcess,
    proxy: Proxy,
    operator: Operator,
    checks: Checks,
    rng: random.Random,
) -> None:
    """Send requests on added and removed routes to one router; never returns."""
    number = 0
    seen: dict[str, tuple[int, float]] = {}
    """Lifetime and time in which each route was first served."""
    while True:
        await asyncio.sleep(PROBE_PERIOD_S * rng.uniform(0.5, 1.5))
        if not operator.routes or not router.is_running:
            continue
        route = rng.choice(operator.routes)
        number += 1
        path = f"{route.prefix}{number}"
        lifetime, sent_s = router.starts, time.monotonic()
        async with aiohttp.ClientSession() as session:
            status, _ = await send_request(
                session, proxy, "GET", path, f"p{router.name}-{number}", {}, checks
            )
        if status not in (200, 404) or lifetime != router.starts:
            continue
        if (
            sent_s >= route.acknowledged_s + CHANGE_APPLIES_S
            and route in operator.routes
        ):
            checks.check_added_route(
                router.name, sent_s, status == 200, route.is_present, route.prefix
            )
        if status == 200:
            seen.setdefault(route.prefix, (lifetime, time.monotonic()))
            continue
        first_lifetime, first_s = seen.pop(route.prefix, (0, 0.0))
        is_revert = first_lifetime == lifetime and sent_s > first_s
        if is_revert and route.is_present and route in operator.routes:
            detail = f"{route.prefix} at {router.name} was served before"
            checks.break_rule(Rule.NO_REVERT, detail, f"{router.name}{route.prefix}")

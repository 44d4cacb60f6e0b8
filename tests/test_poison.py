"""Poison requests through real routers: each crashes at most two servers."""

import asyncio
import hashlib
import signal
from collections import Counter

import aiohttp

from standins.deployment import Process

from .fixtures.cluster import Cluster, count_printed_digests, till_cluster

SENDS = 5
# Each case: body, path, deadline in ms, time in s until the caller disconnects, number
# of concurrent copies. A server dies ``die`` ms after it accepts the request. Each case
# may crash at most two servers.
CASES: list[tuple[bytes, str, int, float, int]] = [
    (b"resent", "/till/pay?die=20", 2000, 5.0, 1),
    (b"two at once", "/till/pay?die=100", 2000, 5.0, 2),
    (b"caller leaves", "/till/pay?die=400", 2000, 0.1, 1),
    (b"deadline passes", "/till/pay?die=400", 150, 5.0, 1),
]
SERVERS = 2 * len(CASES) + 2


async def _send(
    session: aiohttp.ClientSession,
    router: Process,
    path: str,
    body: bytes = b"",
    deadline_ms: int = 3000,
    timeout_s: float = 5.0,
) -> str:
    url = router.url("caller_port") + path
    headers = {"Mulberry-Deadline-Ms": str(deadline_ms)}
    method = "POST" if body else "GET"
    try:
        async with (
            asyncio.timeout(timeout_s),
            session.request(method, url, data=body, headers=headers) as response,
        ):
            outcome = response.headers["Mulberry-Outcome"]
            if outcome == "ran":
                return outcome
            return f"{outcome} {(await response.json())['error']}"
    except TimeoutError:
        return "disconnected"


async def _send_harmless(
    session: aiohttp.ClientSession, routers: list[Process], done: asyncio.Event
) -> Counter[str]:
    outcomes: Counter[str] = Counter()
    while not done.is_set():
        for router in routers:
            outcomes[await _send(session, router, "/till/list?work_ms=20")] += 1
    return outcomes


async def _send_poison(running: Cluster) -> Counter[str]:
    """Send each poison request repeatedly; return the outcomes of other requests."""
    coordinator = running.coordinator()
    routers = [running.routers[name] for name in running.others()]
    done = asyncio.Event()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        harmless = [
            asyncio.create_task(_send_harmless(session, routers, done))
            for _ in range(3)
        ]

        async def send_all(sends: int) -> None:
            for body, path, deadline_ms, timeout_s, copies in CASES:
                for number in range(sends):
                    calls = [
                        _send(
                            session,
                            routers[(number + copy) % 2],
                            path,
                            body,
                            deadline_ms,
                            timeout_s,
                        )
                        for copy in range(copies)
                    ]
                    await asyncio.gather(*calls)
                    await asyncio.sleep(0.7 if "400" in path else 0.05)

        await send_all(SENDS)
        running.routers[coordinator].signal(signal.SIGKILL)
        await asyncio.sleep(1.0)
        await send_all(1)
        done.set()
        return sum(await asyncio.gather(*harmless), Counter())


def test_each_poison_request_crashes_at_most_two_servers() -> None:
    """Guards against a resent request that crashes all servers.

    Causes: crashes by concurrent copies of a request are not counted per server, or a
    server is not watched after the caller of a request disconnected or its deadline
    passed. The coordinator is killed before the last requests.
    """
    with till_cluster(SERVERS) as running:
        outcomes = asyncio.run(_send_poison(running))
        died: Counter[str] = Counter()
        for server in running.servers.values():
            died.update(set(count_printed_digests([server], "died")))
        logs = running.logs()
    digests = {hashlib.sha256(case[0]).hexdigest(): case[0] for case in CASES}
    counts = {name: died[digest] for digest, name in digests.items()}
    assert all(1 <= count <= 2 for count in counts.values()), (counts, logs)
    assert set(outcomes) == {"ran"}, (outcomes, counts, logs)

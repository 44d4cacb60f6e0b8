"""Run counts of real server processes agree with the outcomes that callers get."""

import asyncio
import hashlib
import signal
from collections import Counter
from typing import Any

import aiohttp

from standins.deployment import Deployment, Process, get_json, post_json

from .fixtures.deployment import DEPLOYMENT_SETTINGS

CALLERS = 300
ROUNDS = 3

# Behaviour of each server. All are slow enough to shed, and the last one is suspended
# for a while.
BEHAVIOURS: list[dict[str, Any]] = [
    {"work_ms": 60, **faults}
    for faults in ({}, {}, {"foreign": True}, {"truncate": True}, {})
]


async def _pay(
    session: aiohttp.ClientSession, urls: list[str], number: int
) -> tuple[bytes, str, bool]:
    """Send a payment; return its body, its outcome and whether the body was echoed."""
    body = b"payment %d" % number
    headers = {"Mulberry-Deadline-Ms": "600"}
    if number % 3 == 0:
        headers["Idempotency-Key"] = f"key-{number}"
    url = urls[number % len(urls)] + "/till/pay"
    async with session.post(url, data=body, headers=headers) as response:
        content = await response.read()
        return body, response.headers["Mulberry-Outcome"], content == body


async def _send_payments(
    routers: list[Process], suspended: Process
) -> list[tuple[bytes, str, bool]]:
    urls = [router.url("caller_port") for router in routers]
    connector = aiohttp.TCPConnector(limit=0)
    results = []
    async with aiohttp.ClientSession(connector=connector) as session:
        for index in range(ROUNDS):
            numbers = range(index * CALLERS, (index + 1) * CALLERS)
            calls = [asyncio.create_task(_pay(session, urls, n)) for n in numbers]
            if index == 1:
                await asyncio.sleep(0.05)
                suspended.signal(signal.SIGSTOP)
                await asyncio.sleep(0.8)
                suspended.signal(signal.SIGCONT)
            results += await asyncio.gather(*calls)
    return results


def test_run_counts_agree_with_outcomes() -> None:
    """Guards against "not run" for a payment that ran, and against a second run.

    Servers respond with the id of another request, truncate responses, shed requests or
    are suspended.
    An attempt whose bytes were written must not be reported as not run or sent again.
    """
    with Deployment(DEPLOYMENT_SETTINGS) as deployment:
        servers = [
            deployment.start_server(f"till-{n}", "till") for n in range(len(BEHAVIOURS))
        ]
        routers = [deployment.start_router(name) for name in ("entry-1", "entry-2")]
        for server, behaviour in zip(servers, BEHAVIOURS, strict=True):
            post_json(server.url() + "/control/behaviour", behaviour)
        results = asyncio.run(_send_payments(routers, servers[-1]))
        runs = Counter(
            execution["body_digest"]
            for server in servers
            for execution in get_json(server.url() + "/control/executions")
        )
    outcomes = Counter(outcome for _, outcome, _ in results)
    assert outcomes["ran"] > CALLERS / 6, outcomes
    assert outcomes["not-run"] > 0 and outcomes["unknown"] > 0, outcomes
    for body, outcome, is_whole in results:
        count = runs[hashlib.sha256(body).hexdigest()]
        allowed = {"ran": (1,), "not-run": (0,), "unknown": (0, 1)}[outcome]
        assert count in allowed, (body, outcome, count)
        assert is_whole or outcome != "ran", body

"""Payments through real router processes run at most once while processes fail."""

import asyncio
import hashlib
import signal
import sys
from collections import Counter
from collections.abc import Iterable

import aiohttp
import msgspec

from standins.deployment import Process, post_json

from .fixtures.cluster import Cluster, count_printed_digests, till_cluster

PAYMENTS = 600
# Of four payments, two have a key and are resent, one has a key and is sent once, and
# one is sent once without a key.
KINDS = ("resent", "resent", "once", "unkeyed")
# Maximum number of sends of a payment.
ATTEMPTS = 12
# Time over which the first sends of all payments are spread.
SPREAD_S = 2.5
SERVICE_TIME_MS = 70


class PaymentRecord(msgspec.Struct):
    """Outcomes that a caller received for one payment; None if no response arrived."""

    kind: str
    digest: str
    outcomes: list[str | None]


async def _send(session: aiohttp.ClientSession, url: str, body: bytes, key: str) -> str:
    headers = {"Mulberry-Deadline-Ms": "700"}
    if key:
        headers["Idempotency-Key"] = key
    async with session.post(url, data=body, headers=headers) as response:
        await response.read()
        return response.headers["Mulberry-Outcome"]


async def _pay(
    session: aiohttp.ClientSession, urls: list[str], number: int
) -> PaymentRecord:
    """Send a payment; one of kind "resent" is resent until it may have run."""
    body = b"payment %d" % number
    record = PaymentRecord(
        KINDS[number % len(KINDS)], hashlib.sha256(body).hexdigest(), []
    )
    key = "" if record.kind == "unkeyed" else f"key-{number}"
    await asyncio.sleep(SPREAD_S * number / PAYMENTS)
    for attempt in range(ATTEMPTS):
        outcome = None
        try:
            url = urls[(number + attempt) % len(urls)]
            outcome = await _send(session, url, body, key)
        except aiohttp.ClientError:
            pass
        record.outcomes.append(outcome)
        if record.kind != "resent" or outcome in ("ran", "unknown"):
            break
        await asyncio.sleep(0.1)
    return record


def set_behaviour(servers: Iterable[Process], **faults: int) -> None:
    """Set the service time of payments and faults at servers."""
    for server in servers:
        behaviour = {"work_ms": SERVICE_TIME_MS, **faults}
        post_json(server.url() + "/control/behaviour", behaviour)


async def _pay_during_failures(running: Cluster) -> list[PaymentRecord]:
    urls = [r.url("caller_port") + "/till/pay" for r in running.routers.values()]
    coordinator = running.routers[running.coordinator()]
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        calls = [
            asyncio.create_task(_pay(session, urls, number))
            for number in range(PAYMENTS)
        ]
        await asyncio.sleep(0.5)
        running.servers["t1"].signal(signal.SIGKILL)
        await asyncio.sleep(0.3)
        running.servers["t2"].signal(signal.SIGSTOP)
        await asyncio.sleep(0.4)
        coordinator.signal(signal.SIGKILL)
        # All remaining servers shed for a while, so that some payments are not run.
        left = [running.servers[name] for name in ("t3", "t4", "t5")]
        await asyncio.to_thread(set_behaviour, left, shed_every=1)
        await asyncio.sleep(0.3)
        await asyncio.to_thread(set_behaviour, left[:1], shed_every=2)
        await asyncio.to_thread(set_behaviour, left[1:])
        await asyncio.sleep(0.3)
        running.servers["t2"].signal(signal.SIGCONT)
        return await asyncio.gather(*calls)


def test_payments_run_at_most_once_while_processes_fail() -> None:
    """Guards against payments that run twice or are lost when processes fail.

    Causes: a lost connection is reported as not run, or a claim in state ``claimed`` or
    ``unknown`` is claimed again. If servers accept a payment without a key twice, a
    router has resent it after it may have run.
    """
    with till_cluster(5) as running:
        set_behaviour(running.servers.values())
        set_behaviour([running.servers["t3"]], shed_every=2)
        records = asyncio.run(_pay_during_failures(running))
        servers = running.servers.values()
        runs, accepted = (
            count_printed_digests(servers, "ran"),
            count_printed_digests(servers, "accepted"),
        )
    outcomes = Counter(outcome for payment in records for outcome in payment.outcomes)
    resends = sum(len(payment.outcomes) > 1 for payment in records)
    print(f"payments: {dict(outcomes)}, {resends} resent", file=sys.stderr)
    assert outcomes["ran"] > PAYMENTS / 4 and outcomes["unknown"], outcomes
    assert resends and outcomes[None] and outcomes["not-run"], outcomes
    for payment in records:
        last = payment.outcomes[-1]
        allowed = {"ran": (1,), "not-run": (0,)}.get(last or "", (0, 1))
        if payment.outcomes[:-1].count(None):
            # A payment for which an earlier router sent no response may have run.
            allowed = (1,) if last == "ran" else (0, 1)
        assert runs[payment.digest] in allowed, (payment, runs[payment.digest])
        assert accepted[payment.digest] <= 1, (payment, accepted[payment.digest])

"""Graceful shutdown of real router processes: SIGTERM under load loses no request."""

import asyncio
import signal
import sys
import time
from collections import Counter
from collections.abc import Sequence

import aiohttp

from standins.deployment import Deployment, Process

from .fixtures.cluster import (
    SERVED_AGAIN_S,
    SERVICE_WITH_GRANT_CHECKS,
    SERVICE_WITHOUT_GRANT_CHECKS,
    RequestResult,
    cluster,
    load,
)
from .fixtures.deployment import DEPLOYMENT_SETTINGS

CALLERS = 16
IDLE_CALLERS = 100
HANDOVER_LIMIT_S = 1.8


async def _call(
    session: aiohttp.ClientSession, url: str, sigterm_sent: asyncio.Event
) -> list[str]:
    """Send requests until the router closes the connection or refuses a new one."""
    results = []
    while True:
        try:
            async with session.post(url, data=b"x" * 1000) as response:
                content = await response.read()
                is_complete = response.status == 200 and len(content) == 1000
                results.append(
                    "ran" if is_complete else f"{response.status} {content!r}"
                )
                closes = response.headers.get("Connection") == "close"
        except aiohttp.ClientConnectorError:
            # A refused connection carries no request.
            return results
        except aiohttp.ClientError as error:
            return [*results, repr(error)]
        if closes:
            # From here on the load balancer sends no requests to this router.
            assert sigterm_sent.is_set()
            return results


async def _stop_under_load(router: Process) -> list[str]:
    sigterm_sent = asyncio.Event()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        url = router.url("caller_port") + "/till/pay?work_ms=500"
        calls = [
            asyncio.create_task(_call(session, url, sigterm_sent))
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(0.5)
        sigterm_sent.set()
        router.signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        # The load balancer has not detected the shutdown yet and opens a connection.
        async with aiohttp.ClientSession() as late:
            calls.append(asyncio.create_task(_call(late, url, sigterm_sent)))
            results = await asyncio.gather(*calls)
    assert results[-1] == ["ran"], results[-1]
    return [result for caller_results in results for result in caller_results]


class _IdleCallers:
    """Callers with one connection each, which is idle when the shutdown begins."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._first_responses = 0
        self._all_have_responses = asyncio.Event()
        self._is_stopping = asyncio.Event()

    async def stop(self, router: Process) -> None:
        """Send SIGTERM once every connection has had its first response."""
        await self._all_have_responses.wait()
        router.signal(signal.SIGTERM)
        self._is_stopping.set()

    async def send_before_and_after(self, pause_s: float) -> str:
        """Send a request, and another one some time after the shutdown has begun."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        try:
            heads = [await self._exchange(reader, writer)]
            self._first_responses += 1
            if self._first_responses == IDLE_CALLERS:
                self._all_have_responses.set()
            await self._is_stopping.wait()
            await asyncio.sleep(pause_s)
            if reader.at_eof():
                return "closed"
            heads.append(await self._exchange(reader, writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            return "lost"
        finally:
            writer.close()
        all_ran = all("Mulberry-Outcome: ran" in head for head in heads)
        return "ran" if all_ran else "bad"

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str:
        writer.write(b"POST /till/pay HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n")
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(head.partition("Content-Length: ")[2].split()[0])
        await reader.readexactly(length)
        return head


def test_idle_connections_are_answered_while_the_router_stops() -> None:
    """Guards against losing a request sent while the router closes its connection.

    The pauses end after the settle time, and within the time in which a stopping router
    keeps idle connections open. Fails without that time.
    """

    async def run() -> list[str]:
        callers = _IdleCallers(router.port("caller_port"))
        pauses_s = [0.1 + number / IDLE_CALLERS for number in range(IDLE_CALLERS)]
        calls = [
            asyncio.create_task(callers.send_before_and_after(pause_s))
            for pause_s in pauses_s
        ]
        await callers.stop(router)
        return await asyncio.gather(*calls)

    with Deployment(DEPLOYMENT_SETTINGS) as deployment:
        deployment.start_server("till-1", "till")
        router = deployment.start_router("entry-1")
        results = Counter(asyncio.run(run()))
        started_s = time.monotonic()
        assert router.wait() == 0, router.log
        print(f"idle connections: {dict(results)}", file=sys.stderr)
        assert set(results) == {"ran"}, results
        # The last response closed the last connection, so the router waits for none.
        assert time.monotonic() - started_s < 1.5


def test_coordinator_and_successor_shut_down_under_load() -> None:
    """Guards against lost requests, a lease that is not handed over, and keys without
    responses when routers shut down.

    Fails if the coordinator does not release its lease on shutdown: the lease row then
    names it until the lease has expired.
    """
    servers = {
        "s1": SERVICE_WITH_GRANT_CHECKS,
        "s2": SERVICE_WITH_GRANT_CHECKS,
        "p1": SERVICE_WITHOUT_GRANT_CHECKS,
        "p2": SERVICE_WITHOUT_GRANT_CHECKS,
    }
    with cluster(servers, routers=5) as running:
        with load(
            running, SERVICE_WITH_GRANT_CHECKS, work_ms=5, threads=8, deadline_ms=2000
        ) as results:
            for role in ("coordinator", "successor"):
                time.sleep(0.4)
                holder = running.coordinator()
                successor = str(running.lease()["successors"][0]["instance"])
                name = holder if role == "coordinator" else successor
                # Without this entry, the load generator sends it no more requests.
                stopping_router = running.routers.pop(name)
                sigterm_s = time.monotonic()
                stopping_router.signal(signal.SIGTERM)
                assert stopping_router.wait() == 0, stopping_router.log
                shutdown_s = time.monotonic() - sigterm_s
                row = running.lease()
                handed_over = row["released"] or row["holder"]["instance"] != name
                assert handed_over, (row, running.logs())
                pause_s = longest_pause(results, sigterm_s)
                print(
                    f"{role} left after {shutdown_s:.2f} s, longest time of a key "
                    f"without a response {pause_s * 1000:.0f} ms",
                    file=sys.stderr,
                )
                time.sleep(0.4)
                assert running.coordinator() != name, running.logs()
                assert longest_pause(results, sigterm_s) < SERVED_AGAIN_S
                # Without a handover the router would wait for two promises to expire.
                assert shutdown_s < HANDOVER_LIMIT_S, (role, shutdown_s)
        outcomes = Counter(result.outcome for result in results)
        assert set(outcomes) == {"ran"}, (outcomes, running.logs())


def longest_pause(results: Sequence[RequestResult], since_s: float) -> float:
    """Return the longest time between responses for one key since ``since_s``."""
    longest = 0.0
    ends: dict[str, float] = {}
    for result in sorted(results, key=lambda result: result.end_s):
        if result.end_s >= since_s and result.key in ends:
            longest = max(longest, result.end_s - ends[result.key])
        ends[result.key] = result.end_s
    return longest


def test_sigterm_under_load_answers_every_request() -> None:
    """Guards against a shutdown that cuts off requests or never ends.

    Fails without ``Connection: close`` on the responses of a stopping router, without
    the settle time, and if the listener does not wait for its handlers.
    """
    with Deployment(DEPLOYMENT_SETTINGS) as deployment:
        for number in range(4):
            deployment.start_server(f"till-{number}", "till")
        router = deployment.start_router("entry-1")
        results = asyncio.run(_stop_under_load(router))
        started_s = time.monotonic()
        assert router.wait() == 0, router.log
        assert time.monotonic() - started_s < 5
        assert set(results) == {"ran"}, set(results)
        assert len(results) > CALLERS

"""Counts which keys are requested, here and at the other routers."""

import asyncio
from collections import deque
from collections.abc import Callable

import aiohttp
import msgspec
from aiohttp import web

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.httpclient import periodic_session
from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_kernel.logs import log_event

from .messages import EdgeRequest, KeySamples
from .ownership import Ownership

SAMPLES_PATH = "/samples"
REPORT_S = 0.7
BUSY_REPORT_S = 0.25
"""Period of the reports while requests wait here."""
REPORT_TIMEOUT_S = 0.5
MEMORY_MS = 2500.0
"""Age after which a request no longer counts."""
MAX_SAMPLES = 4000
MAX_REPORT = 400


class KeyLoad:
    """Recently requested keys of each service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._keys: dict[ServiceName, deque[tuple[float, int]]] = {}
        self._unreported: dict[ServiceName, list[int]] = {}
        self._latencies: dict[ServiceName, float] = {}

    def note(self, request: EdgeRequest) -> None:
        """Count a request of this router."""
        if request.key is None:
            return
        self._add(request.service, request.key)
        report = self._unreported.setdefault(request.service, [])
        if len(report) < MAX_REPORT:
            report.append(request.key)

    def take_report(self) -> KeySamples:
        """Return what was counted here since the last report."""
        report = KeySamples(self._unreported)
        self._unreported = {}
        return report

    def add_report(self, report: KeySamples) -> None:
        """Count the requests of another router."""
        for service, keys in report.keys.items():
            for key in keys[:MAX_REPORT]:
                self._add(service, key)

    def samples(self, service: ServiceName) -> list[int]:
        """Return the recently requested keys in order."""
        keys = self._keys.get(service)
        if keys is None:
            return []
        oldest_ms = self._clock() - MEMORY_MS
        while keys and keys[0][0] < oldest_ms:
            keys.popleft()
        return sorted(key for _, key in keys)

    def note_latency(self, service: ServiceName, latency_ms: float) -> None:
        """Note how long a server worked on a request."""
        usual_ms = self._latencies.get(service, latency_ms)
        self._latencies[service] = usual_ms + 0.05 * (latency_ms - usual_ms)

    def work_per_sample(self, service: ServiceName) -> float:
        """Return the slots that one sample stands for, on a server of usual speed."""
        return self._latencies.get(service, 0.0) / MEMORY_MS

    def _add(self, service: ServiceName, key: int) -> None:
        keys = self._keys.get(service)
        if keys is None:
            keys = self._keys[service] = deque(maxlen=MAX_SAMPLES)
        keys.append((self._clock(), key))


class SampleExchange:
    """Sends the samples of this router to the leader, and takes those of others."""

    def __init__(
        self,
        load: KeyLoad,
        ownership: Ownership,
        boot_id: str,
        on_leader_lost: Callable[[], None],
        has_waiting: Callable[[], bool],
        is_leader: Callable[[], bool],
    ) -> None:
        self._load = load
        self._has_waiting = has_waiting
        self._is_leader = is_leader
        self._on_leader_lost = on_leader_lost
        self._ownership = ownership
        self._boot_id = boot_id
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for the reports of other routers."""
        app = web.Application()
        app.router.add_post(SAMPLES_PATH, self._take)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def run(self) -> None:
        """Report to the leader regularly, which also shows whether it lives."""
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        self._session = periodic_session(timeout=timeout)
        is_lost = False
        periods = 0
        while True:
            await asyncio.sleep(BUSY_REPORT_S)
            periods += 1
            if not self._has_waiting() and periods * BUSY_REPORT_S < REPORT_S:
                continue
            periods = 0
            notice = self._ownership.notice
            report = self._load.take_report()
            if notice is None or not notice.boot_id:
                continue
            if notice.boot_id == self._boot_id:
                continue
            body = msgspec.json.encode(report)
            try:
                async with self._session.post(notice.sample_url, data=body) as reply:
                    was_taken = reply.status == 204
            except (aiohttp.ClientError, TimeoutError, OSError):
                was_taken = False
            if not was_taken:
                self._on_leader_lost()
            if is_lost is was_taken:
                is_lost = not was_taken
                event = "leader_unreachable" if is_lost else "leader_reached"
                log_event(event, term=notice.term, url=notice.sample_url)

    async def close(self) -> None:
        """Release connections and the port."""
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _take(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            report = msgspec.json.decode(body, type=KeySamples)
        except msgspec.MsgspecError as error:
            log_event("bad_samples", error=str(error))
            return web.Response(status=400)
        self._load.add_report(report)
        return web.Response(status=204 if self._is_leader() else 409)

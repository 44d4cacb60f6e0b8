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
SHORT_MEMORY_MS = 1200.0
"""Age that suffices while there are ``ENOUGH_SAMPLES`` younger ones."""
ENOUGH_SAMPLES = 150
MAX_SAMPLES = 4000
MAX_REPORT = 400


class KeySample(msgspec.Struct, frozen=True):
    """Recently requested keys of a service."""

    keys: list[int]
    """In order, one for each request."""
    work_per_key: float
    """Slots that one of them stands for, on a server of usual speed."""


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

    def sample(self, service: ServiceName) -> KeySample:
        """Return the recently requested keys, over a short time if they suffice."""
        keys = self._keys.get(service, deque())
        now_ms = self._clock()
        while keys and keys[0][0] < now_ms - MEMORY_MS:
            keys.popleft()
        recent = [key for at_ms, key in keys if at_ms >= now_ms - SHORT_MEMORY_MS]
        window_ms = SHORT_MEMORY_MS
        if len(recent) < ENOUGH_SAMPLES:
            recent = [key for _, key in keys]
            window_ms = MEMORY_MS
        work = self._latencies.get(service, 0.0) / window_ms
        return KeySample(sorted(recent), work)

    def note_latency(self, service: ServiceName, latency_ms: float) -> None:
        """Note how long a server worked on a request."""
        usual_ms = self._latencies.get(service, latency_ms)
        self._latencies[service] = usual_ms + 0.05 * (latency_ms - usual_ms)

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

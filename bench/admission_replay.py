"""Replay generated requests through ``Admission`` in virtual time.

The simulated servers consist of their slots, a short queue and random service times;
routers and servers exchange no messages. ``bench.policy`` compares the results with
those of a router without admission control.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

import msgspec
from hdrh.histogram import HdrHistogram
from returns.pipeline import is_successful

from mulberryrelay_kernel.ids import (
    DataCentre,
    InstanceId,
    RequestClass,
    ServerId,
    ServiceName,
    Tenant,
)
from mulberryrelay_kernel.messages import ServerEntry
from mulberryrelay_kernel.options import (
    InstanceOptions,
    Options,
    PlatformOptions,
    ServiceOptions,
)
from mulberryrelay_kernel.states import ServerState
from mulberryrelay_router.admission import Admission, Slot
from mulberryrelay_router.balancer import Observation

from .virtual_time import run_virtual, virtual_clock

ROUTERS = 9
SLOTS = 4
"""Requests that a server runs at the same time."""
SERVER_QUEUE_LENGTH = 16
"""Requests that may wait for a slot of a server; further ones are shed."""
MEAN_SERVICE_TIME_MS = 10.0
DEADLINE_MS = 2_000.0
FREEZE_DURATION_MS = 2_000.0


class AdmissionCase(msgspec.Struct, frozen=True):
    """One scenario: a service, its servers and the load on it."""

    name: str
    """Label of the load, e.g. ``overload``."""
    tenant: Tenant
    service: ServiceName
    classes: dict[RequestClass, float]
    """Share of the requests by class, in descending order of priority."""
    data_centres: list[DataCentre]
    servers: int
    load: float
    """Offered load relative to the capacity of all slots; 1.0 is full utilisation."""
    partitioned: bool
    disturbed: bool
    """Whether one server joins cold and another one freezes for 2 s."""
    seconds: int
    seed: int


class ClassResult(msgspec.Struct, frozen=True):
    """Number of requests of a class by outcome, and latency of those served."""

    offered: int
    served: int
    refused: int
    """Refused by admission or shed by the server; these were certainly not run."""
    timed_out: int
    """Sent to a server that did not respond before the deadline."""
    p50_ms: float
    p99_ms: float


class _Request(msgspec.Struct, frozen=True):
    service: ServiceName
    request_class: RequestClass
    deadline_ms: float


class _Server:
    """A simulated server with slots, a bounded queue and random service times."""

    def __init__(self, entry: ServerEntry, rng: random.Random) -> None:
        self.entry = entry
        self.frozen_until_ms = 0.0
        self._rng = rng
        self._slots = asyncio.Semaphore(SLOTS)
        self._in_flight = 0

    async def run(self) -> bool:
        """Run one request; return False if the server shed it instead."""
        if self._in_flight >= SLOTS + SERVER_QUEUE_LENGTH:
            return False
        self._in_flight += 1
        try:
            async with self._slots:
                freeze_left_ms = self.frozen_until_ms - virtual_clock()
                service_time_ms = self._rng.expovariate(1 / MEAN_SERVICE_TIME_MS)
                await asyncio.sleep((max(0.0, freeze_left_ms) + service_time_ms) / 1000)
        finally:
            self._in_flight -= 1
        return True


class _CaseReplay:
    """Offers requests at a constant mean rate and counts their outcomes."""

    def __init__(self, case: AdmissionCase, use_admission: bool) -> None:
        self._case = case
        self._rng = random.Random(case.seed)
        self._one_way_ms = 1.5 if case.tenant == "kwahu" else 1.0
        self._servers = [self._make_server(index) for index in range(case.servers)]
        self._routers = [self._make_router(index) for index in range(ROUTERS)]
        self._use_admission = use_admission
        self._histograms = {
            name: HdrHistogram(1, 120_000_000, 3) for name in case.classes
        }
        self._counts: Counter[tuple[RequestClass, str]] = Counter()

    async def run(self) -> dict[RequestClass, ClassResult]:
        """Offer requests for the duration of the case; return the results by class."""
        case = self._case
        names, shares = list(case.classes), list(case.classes.values())
        per_ms = case.load * case.servers * SLOTS / MEAN_SERVICE_TIME_MS
        tasks = [asyncio.create_task(self._inject_faults())] if case.disturbed else []
        while virtual_clock() < case.seconds * 1000:
            await asyncio.sleep(self._rng.expovariate(per_ms) / 1000)
            name = self._rng.choices(names, shares)[0]
            tasks.append(asyncio.create_task(self._run_request(name)))
        await asyncio.gather(*tasks)
        return {name: self._class_result(name) for name in names}

    def _make_server(
        self, index: int, state: ServerState = ServerState.SERVING
    ) -> _Server:
        centres = self._case.data_centres
        entry = ServerEntry(
            ServerId(f"s{index}"),
            self._case.service,
            centres[index % len(centres)],
            "127.0.0.1",
            1,
            state,
        )
        return _Server(entry, self._rng)

    def _make_router(self, index: int) -> Admission:
        case = self._case
        options = Options(
            tenant=case.tenant,
            instance=InstanceOptions(
                name=InstanceId(f"entry-{index}"),
                data_centre=case.data_centres[index % len(case.data_centres)],
            ),
            platform=PlatformOptions(),
            data_centres=case.data_centres,
            services={
                case.service: ServiceOptions(
                    classes=list(case.classes),
                    partitioned=case.partitioned,
                    slots=SLOTS,
                )
            },
            routers=ROUTERS,
        )
        rng = random.Random(case.seed * 100 + index)
        return Admission(options, virtual_clock, rng)

    async def _inject_faults(self) -> None:
        await asyncio.sleep(self._case.seconds * 0.2)
        joined = self._make_server(len(self._servers), ServerState.COLD)
        self._servers.append(joined)
        await asyncio.sleep(self._case.seconds * 0.4)
        self._servers[1].frozen_until_ms = virtual_clock() + FREEZE_DURATION_MS

    async def _run_request(self, request_class: RequestClass) -> None:
        started_ms = virtual_clock()
        self._counts[request_class, "offered"] += 1
        request = _Request(self._case.service, request_class, started_ms + DEADLINE_MS)
        outcome = await self._route(request, self._rng.choice(self._routers))
        self._counts[request_class, outcome] += 1
        if outcome == "served":
            latency_us = int((virtual_clock() - started_ms) * 1000)
            self._histograms[request_class].record_value(max(1, latency_us))

    async def _route(self, request: _Request, admission: Admission) -> str:
        servers = self._servers
        if self._case.partitioned:
            servers = [self._rng.choice(self._servers[: self._case.servers])]
        if not self._use_admission:
            entry = self._rng.choice(servers).entry
            observation, _ = await self._send(Slot(entry, 0.0), request)
            return _outcome_of(observation)
        while True:
            result = await admission.acquire(
                request, lambda: [server.entry for server in servers]
            )
            if not is_successful(result):
                return "refused"
            slot = result.unwrap()
            observation, latency_ms = await self._send(slot, request)
            admission.release(slot, observation, latency_ms)
            shed = observation is Observation.SHED
            if not shed or not admission.try_consume_retry(request.service):
                return _outcome_of(observation)

    async def _send(self, slot: Slot, request: _Request) -> tuple[Observation, float]:
        """Send one attempt; return its result and its latency in milliseconds."""
        sent_ms = virtual_clock()
        remaining_ms = request.deadline_ms - sent_ms
        server = next(s for s in self._servers if s.entry.server == slot.server.server)
        await asyncio.sleep(self._one_way_ms / 1000)
        try:
            ran = await asyncio.wait_for(server.run(), remaining_ms / 1000)
        except TimeoutError:
            return Observation.TIMED_OUT, remaining_ms
        await asyncio.sleep(self._one_way_ms / 1000)
        observation = Observation.RESPONDED if ran else Observation.SHED
        return observation, virtual_clock() - sent_ms

    def _class_result(self, name: RequestClass) -> ClassResult:
        histogram = self._histograms[name]
        return ClassResult(
            self._counts[name, "offered"],
            self._counts[name, "served"],
            self._counts[name, "refused"],
            self._counts[name, "timed-out"],
            histogram.get_value_at_percentile(50) / 1000,
            histogram.get_value_at_percentile(99) / 1000,
        )


def replay_admission(
    case: AdmissionCase, use_admission: bool
) -> dict[RequestClass, ClassResult]:
    """Replay a case; without admission, send each request to a random server."""

    async def main() -> dict[RequestClass, ClassResult]:
        return await _CaseReplay(case, use_admission).run()

    return run_virtual(main())


def _outcome_of(observation: Observation) -> str:
    if observation is Observation.RESPONDED:
        return "served"
    return "refused" if observation is Observation.SHED else "timed-out"


def admission_cases(seed: int, seconds: int) -> Sequence[AdmissionCase]:
    """Return the cases for two services of each tenant, at three loads each."""
    tenants = [
        (
            "kwahu",
            [("bookpay", 5, False), ("slotfinder", 10, True)],
            {"payment": 0.2, "booking": 0.2, "summary": 0.6},
            ["accra-osu", "accra-tema", "accra-legon"],
        ),
        (
            "wattlebrook",
            [("till", 10, False), ("roster", 10, True)],
            {"payment": 0.2, "invoice": 0.2, "history": 0.6},
            ["qld-a", "qld-b", "qld-c", "qld-d"],
        ),
    ]
    loads = [("steady", 0.7, False), ("disturbed", 0.7, True), ("overload", 2.0, False)]
    return [
        AdmissionCase(
            name=name,
            tenant=Tenant(tenant),
            service=ServiceName(service),
            classes={RequestClass(c): share for c, share in classes.items()},
            data_centres=[DataCentre(centre) for centre in centres],
            servers=servers,
            load=load,
            partitioned=partitioned,
            disturbed=disturbed,
            seconds=seconds,
            seed=seed,
        )
        for tenant, services, classes, centres in tenants
        for service, servers, partitioned in services
        for name, load, disturbed in loads
    ]

"""Property test of idempotency claims: a key runs at most once.

Hypothesis generates interleavings of resends, store failures and outcomes of runs.
"""

import asyncio
from collections import Counter
from collections.abc import Sequence

from hypothesis import example, given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict
from returns.result import Failure, Result

from bench.virtual_time import run_virtual, virtual_clock
from mulberryrelay_control.platform_memory import MemoryPlatform
from mulberryrelay_kernel.ids import (
    IdempotencyKey,
    RequestClass,
    RequestId,
    RowName,
    ServiceName,
    WriteId,
)
from mulberryrelay_kernel.messages import Condition, Row, Write
from mulberryrelay_kernel.settings import check_settings
from mulberryrelay_kernel.states import Outcome, StoreFailure
from mulberryrelay_router.attempts import CallerRequest, RoutedResponse, local_response
from mulberryrelay_router.claims import Claims

from .fixtures.deployment import DEPLOYMENT_SETTINGS

KEY = IdempotencyKey("key")
DEADLINE_MS = 1000.0
STORE_TIMEOUT_MS = 200
# Result of one call to the store.
CALLS = ("ok", "slow", "lost reply", "lost request", "late", "refused", "conflict")
# How the run of a request ends.
RUNS = ("ran", "unknown, ran", "unknown, not run", "refused", "caller disconnects")


class ScriptedPlatform(MemoryPlatform):
    """One router's client of a shared store, whose calls succeed or fail by script."""

    def __init__(self, store: MemoryPlatform, script: Sequence[str]) -> None:
        super().__init__()
        self._store = store
        self._script = list(script)
        self._late: set[asyncio.Task[object]] = set()

    async def read(
        self, names: Sequence[RowName]
    ) -> Result[dict[RowName, Row], StoreFailure]:
        event = self._next()
        await asyncio.sleep(0.05 if event == "slow" else 0.002)
        if event in ("ok", "slow", "conflict"):
            return await self._store.read(names)
        return Failure(StoreFailure.UNKNOWN)

    async def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        write_id: WriteId,
    ) -> Result[None, StoreFailure]:
        event = self._next()
        await asyncio.sleep(0.05 if event == "slow" else 0.002)
        if event == "refused":
            return Failure(StoreFailure.UNAVAILABLE)
        if event == "conflict":
            return Failure(StoreFailure.CONFLICT)
        if event == "late":
            task = asyncio.ensure_future(self._later(conditions, writes, write_id))
            self._late.add(task)
        if event in ("late", "lost request"):
            await asyncio.sleep(STORE_TIMEOUT_MS / 1000)
            return Failure(StoreFailure.UNKNOWN)
        result = await self._store.transact(conditions, writes, write_id)
        if event != "lost reply":
            return result
        await asyncio.sleep(STORE_TIMEOUT_MS / 1000)
        return Failure(StoreFailure.UNKNOWN)

    def recover(self) -> None:
        """Make all further calls succeed."""
        self._script.clear()

    async def _later(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        write_id: WriteId,
    ) -> None:
        await asyncio.sleep(STORE_TIMEOUT_MS * 1.5 / 1000)
        await self._store.transact(conditions, writes, write_id)

    def _next(self) -> str:
        return self._script.pop(0) if self._script else "ok"


def _request(number: int) -> CallerRequest:
    return CallerRequest(
        request_id=RequestId(f"request-{number}"),
        service=ServiceName("till"),
        request_class=RequestClass("payment"),
        method="POST",
        path="/pay",
        key=None,
        idempotency_key=KEY,
        headers=CIMultiDict(),
        body=b"120",
        deadline_ms=virtual_clock() + DEADLINE_MS,
    )


async def _check_scripts(
    scripts: tuple[list[str], list[str]], sends: list[tuple[int, int, str]]
) -> None:
    """Check that requests with one key run at most once.

    ``scripts`` are the results of each router's store calls. Each of ``sends`` is the
    delay of a request in ms, the index of its router and the end of its run.
    """
    store = MemoryPlatform()
    document = {
        **DEPLOYMENT_SETTINGS,
        "instance": {"name": "entry-1", "data_centre": "qld-a"},
        "platform": {"plugin": "memory"},
    }
    options = check_settings(document, "test")
    platforms = [ScriptedPlatform(store, script) for script in scripts]
    routers = [Claims(options, platform, virtual_clock) for platform in platforms]
    runs: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()

    async def send(number: int, delay_ms: int, router: int, run: str) -> None:
        async def forward(request: CallerRequest) -> RoutedResponse:
            runs["sent"] += 1
            await asyncio.sleep(0.03)
            if run in ("ran", "unknown, ran", "caller disconnects"):
                runs["ran"] += 1
            if run == "caller disconnects":
                raise asyncio.CancelledError
            if run == "ran":
                return RoutedResponse(Outcome.RAN, 200, CIMultiDict(), b"paid")
            is_refused = run == "refused"
            outcome = Outcome.NOT_RUN if is_refused else Outcome.UNKNOWN
            return local_response(outcome, 503, "failed")

        await asyncio.sleep(delay_ms / 1000)
        try:
            response = await routers[router].run(_request(number), KEY, forward)
        except asyncio.CancelledError:
            return
        outcomes[response.outcome.value] += 1
        if response.outcome is Outcome.NOT_RUN and runs["ran"]:
            runs["denied"] += 1

    await asyncio.gather(
        *(send(number, *arguments) for number, arguments in enumerate(sends)),
        return_exceptions=True,
    )
    for platform, router in zip(platforms, routers, strict=True):
        platform.recover()
        await router.drain()
    assert runs["ran"] <= 1, (runs, outcomes)
    assert not outcomes["ran"] or runs["ran"] == 1, (runs, outcomes)
    # A resend must not get the outcome "not run" for a payment that has run.
    assert not runs["denied"], (runs, outcomes)
    # Whatever the store did, a key that has certainly not run can run later, and a key
    # that may have run does not run again.
    was_sent = bool(runs["sent"])
    for number in range(2):
        before = Counter(outcomes)
        await send(len(sends) + number, 0, number, "ran")
        ended = next(iter(outcomes - before))
        assert runs["ran"] <= 1, (runs, outcomes)
        assert ended != "not-run", (runs, outcomes)
        assert was_sent or ended == "ran", (runs, outcomes)


SEND = st.tuples(st.integers(0, 400), st.integers(0, 1), st.sampled_from(RUNS))
SCRIPT = st.lists(st.sampled_from(CALLS), max_size=10)


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@example(([], []), [(0, 0, "refused"), (5, 1, "ran"), (100, 0, "ran")])
@example((["lost reply"], []), [(0, 0, "ran"), (10, 1, "ran")])
@example((["late"], []), [(0, 0, "ran"), (250, 1, "ran")])
@given(st.tuples(SCRIPT, SCRIPT), st.lists(SEND, min_size=1, max_size=5))
def _check_one_run(
    scripts: tuple[list[str], list[str]], sends: list[tuple[int, int, str]]
) -> None:
    run_virtual(_check_scripts(scripts, sends))


def test_any_interleaving_runs_a_key_at_most_once() -> None:
    """Guards against a second run of a key, and against a key that never runs.

    Causes: an insertion without reply counts as recorded; a row in state ``claimed`` or
    ``unknown`` is claimed again; an insertion that timed out is not withdrawn.
    """
    _check_one_run()

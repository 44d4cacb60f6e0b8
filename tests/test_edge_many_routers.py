"""What callers get from servers that 65 routers share, in virtual time.

Each router sends so few requests to each server that it cannot know its load by itself.
"""

import sys

from bench.virtual_time import run_virtual

from .fixtures.overload import OverloadOptions, overload

SERVERS = 20
SECONDS = 12.0
OPTIONS = OverloadOptions(
    routers=65,
    slots=2,
    work_ms=160.0,
    target_ms=600.0,
    timeout_ms=1500.0,
    caller_deadline_ms=1500.0,
    has_leader=True,
)
CAPACITY_PER_S = SERVERS * OPTIONS.slots * 1000.0 / OPTIONS.work_ms
LOADS = ((0.5, 0.97), (0.8, 0.92))
"""Load relative to the capacity, and share of it that has to be answered on time."""
OWNER_LOADS = (1.5, 5.0)
OWNER_CAPACITY_PER_S = OPTIONS.slots * 1000.0 / OPTIONS.work_ms
OWNER_ON_TIME_SHARE = 0.7
"""Share of what the slots of a key owner can do that has to be answered on time."""


def test_many_routers_use_free_slots_evenly() -> None:
    """Guards against servers that are overrun in turns while others idle."""
    for load, on_time_share in LOADS:
        run_virtual(_check_load(load, on_time_share))


async def _check_load(load: float, on_time_share: float) -> None:
    async with overload(SERVERS, options=OPTIONS) as running:
        await running.run(load * CAPACITY_PER_S, SECONDS)
        results = running.results
        share = results["on time"] / results.total()
        print(f"load {load}: {dict(results)}, on time {share:.2f}", file=sys.stderr)
        assert share >= on_time_share, load


def test_many_routers_keep_a_full_key_owner_on_time() -> None:
    """Guards against the owner of a hot key whose slots run what comes too late.

    The slots are in use either way; what counts is whether the callers still want the
    responses.
    """
    for load in OWNER_LOADS:
        run_virtual(_check_owner(load))


async def _check_owner(load: float) -> None:
    async with overload(1, is_keyed=True, options=OPTIONS) as running:
        await running.run(load * OWNER_CAPACITY_PER_S, 2 * SECONDS)
        results = running.results
        possible = OWNER_CAPACITY_PER_S * 2 * SECONDS
        share = results["on time"] / possible
        print(f"owner, load {load}: {dict(results)}, {share:.2f}", file=sys.stderr)
        assert share >= OWNER_ON_TIME_SHARE, load

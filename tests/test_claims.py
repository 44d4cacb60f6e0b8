"""Idempotency keys: at most one run, and the same response to each resend."""

import asyncio
import signal
import sys
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec
from returns.result import Failure, Result

from mulberryrelay_control.claimsweeper import ClaimSweeper, claims_prefix
from mulberryrelay_control.platform_http import HttpPlatform
from mulberryrelay_control.platform_memory import MemoryPlatform
from mulberryrelay_kernel.ids import (
    Fingerprint,
    IdempotencyKey,
    InstanceId,
    RequestId,
    RowName,
    ServiceName,
    WriteId,
)
from mulberryrelay_kernel.messages import ClaimRow, Condition, Row, Write
from mulberryrelay_kernel.options import PlatformOptions
from mulberryrelay_kernel.settings import check_settings
from mulberryrelay_kernel.states import ClaimState, StoreFailure
from mulberryrelay_router.claims import TRANSACTION_BURST, claim_row_name
from standins.deployment import Deployment, get_json

from .fixtures import async_test
from .fixtures.deployment import DEPLOYMENT_SETTINGS
from .fixtures.rawserver import close, echo, raw_server, respond_with, shed
from .fixtures.router import CallerResponse, RouterFixture, running_router

DEPLOYMENT_DOCUMENT: dict[str, Any] = {
    **DEPLOYMENT_SETTINGS,
    "instance": {"name": "entry-1", "data_centre": "qld-a"},
    "platform": {"plugin": "memory"},
}


class FaultyPlatform(MemoryPlatform):
    """Counts transactions; injects failures, lost replies, late writes, conflicts."""

    def __init__(self) -> None:
        super().__init__()
        self.transactions = 0
        self.failure: StoreFailure | None = None
        self.lost_replies = 0
        self.late_writes = 0
        self.conflicts = 0

    async def read(
        self, names: Sequence[RowName]
    ) -> Result[dict[RowName, Row], StoreFailure]:
        return Failure(self.failure) if self.failure else await super().read(names)

    async def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        write_id: WriteId,
    ) -> Result[None, StoreFailure]:
        self.transactions += 1
        await asyncio.sleep(0.01)
        if self.failure is not None:
            return Failure(self.failure)
        if self.conflicts:
            self.conflicts -= 1
            return Failure(StoreFailure.CONFLICT)
        transaction = super().transact(conditions, writes, write_id)
        if self.late_writes:
            self.late_writes -= 1
            asyncio.get_running_loop().call_later(
                0.1, asyncio.ensure_future, transaction
            )
            return Failure(StoreFailure.UNKNOWN)
        result = await transaction
        if self.lost_replies:
            self.lost_replies -= 1
            return Failure(StoreFailure.UNKNOWN)
        return result


async def pay(
    router: RouterFixture, key: str, body: bytes = b"120", **headers: str
) -> CallerResponse:
    return await router.send(body=body, Idempotency_Key=key, **headers)


@async_test
async def test_resends_at_two_routers_run_once() -> None:
    """Guards against a second run when a request is resent at another router.

    Requests with the same request id must be told apart by the id of their claims.
    """
    platform = FaultyPlatform()
    async with (
        raw_server() as server,
        running_router([server.entry()], platform) as first,
        running_router([server.entry()], platform, name="entry-2") as second,
    ):
        # Each case: key, body, server behaviour for the first request, both outcomes.
        for key, body, respond, outcomes in [
            ("a", b"120", echo, ("ran", "ran")),
            ("b", b"60", close, ("unknown", "unknown")),
            ("c", b"120", shed, ("not-run", "ran")),
        ]:
            server.respond = respond
            responses = [await pay(first, key, body)]
            server.respond = echo
            responses.append(await pay(second, key, body))
            assert tuple(response.outcome for response in responses) == outcomes, key
            assert outcomes[1] != "ran" or responses[1].body == body
        other = await pay(second, "a", b"999")
        assert (other.status, other.outcome) == (422, "not-run")
        assert len(server.received) == 4
        # Concurrent requests with the same request id at both routers.
        server.respond = respond_with(delay_s=0.15)
        calls = [
            pay(router, "d", Mulberry_Request_Id="same")
            for router in (first, second, first, second)
        ]
        assert {r.outcome for r in await asyncio.gather(*calls)} == {"ran"}
        assert len(server.received) == 5
        slow = asyncio.create_task(pay(first, "e"))
        await asyncio.sleep(0.05)
        assert (await pay(second, "e", Mulberry_Deadline_Ms="60")).outcome == "unknown"
        await slow


@async_test
async def test_requests_are_sent_only_with_a_recorded_claim() -> None:
    """Guards against a run without a recorded claim, and against lost claims.

    The store fails, loses replies, reports conflicts or applies a write late.
    """
    platform = FaultyPlatform()
    async with (
        raw_server() as server,
        running_router([server.entry()], platform) as router,
    ):
        for failure in (StoreFailure.UNAVAILABLE, StoreFailure.UNKNOWN):
            platform.failure = failure
            response = await pay(router, "a")
            assert (response.status, response.outcome) == (503, "unknown")
            assert (await router.send(body=b"no key")).outcome == "ran"
        assert len(server.received) == 2
        platform.failure = None
        platform.lost_replies = 2
        assert (await pay(router, "b")).outcome == "ran"
        await router.path.claims.drain()
        assert (await pay(router, "b")).outcome == "ran"
        assert len(server.received) == 3
        # Conflicts although no other request has a claim.
        platform.conflicts = 2
        assert (await pay(router, "d")).outcome == "ran"
        platform.conflicts = 1000
        assert (await pay(router, "e")).outcome == "unknown"
        platform.conflicts = 0
        await asyncio.sleep(0.5)
        assert (await pay(router, "e")).outcome == "ran"
        assert len(server.received) == 5
        # The insertion takes effect after the router has responded.
        platform.late_writes = 1
        assert (await pay(router, "c")).outcome == "unknown"
        await asyncio.sleep(0.5)
        assert (await pay(router, "c")).outcome == "ran"


@async_test
async def test_refusals_before_the_claim_lookup_are_unknown() -> None:
    """Guards against "not run" for a resend of a payment that has run.

    The requests are refused before the claim of their key is looked up.
    """
    platform = FaultyPlatform()
    async with (
        raw_server() as server,
        running_router([server.entry()], platform) as first,
        running_router([server.entry()], platform, lease_ms=-1000) as second,
    ):
        assert (await pay(first, "a")).outcome == "ran"
        for router, status, request_class in (
            (second, 503, "payment"),
            (first, 400, "no-such-class"),
        ):
            response = await pay(router, "a", Mulberry_Class=request_class)
            assert (response.status, response.outcome) == (status, "unknown"), response
            response = await router.send(body=b"no key", Mulberry_Class=request_class)
            assert (response.status, response.outcome) == (status, "not-run"), response
        assert len(server.received) == 1


@async_test
async def test_claims_are_committed_in_batches() -> None:
    """Guards against one transaction per request, which would overload the store."""
    platform = FaultyPlatform()
    async with (
        raw_server() as server,
        running_router([server.entry()], platform) as router,
    ):
        calls = [pay(router, f"key-{number}") for number in range(96)]
        assert {r.outcome for r in await asyncio.gather(*calls)} == {"ran"}
        assert len(server.received) == 96
        assert platform.transactions < 40, platform.transactions


@async_test
async def test_transactions_for_claims_are_paced() -> None:
    """Guards against routers that together exceed the write rate of the store."""
    platform = FaultyPlatform()
    pace = {"claim_writes_per_second": 270}
    async with (
        raw_server() as server,
        running_router([server.entry()], platform, limits=pace, routers=9) as router,
    ):
        started_s = time.monotonic()
        for turn in range(10):
            calls = [pay(router, f"key-{turn}-{number}") for number in range(30)]
            responses = await asyncio.gather(*calls)
            assert {response.outcome for response in responses} == {"ran"}
        elapsed_s = time.monotonic() - started_s
        print(
            f"300 claims in {elapsed_s:.2f} s and {platform.transactions} transactions",
            file=sys.stderr,
        )
        assert platform.transactions <= 30 * elapsed_s + TRANSACTION_BURST + 1


@async_test
async def test_slow_store_never_lets_a_payment_run_twice() -> None:
    """Guards against runs without a recorded claim while store calls take 300 ms.

    Each call times out after 200 ms but still takes effect.
    """
    with Deployment(DEPLOYMENT_SETTINGS) as deployment:
        url = deployment.platform.url()
        platforms = [
            HttpPlatform(PlatformOptions(url=url), InstanceId(name))
            for name in ("entry-1", "entry-2")
        ]
        async with (
            raw_server() as server,
            running_router([server.entry()], platforms[0]) as first,
            running_router([server.entry()], platforms[1], name="entry-2") as second,
        ):
            await asyncio.to_thread(deployment.set_faults, delay_ms=300)
            calls = [
                pay(router, f"key-{number}")
                for router in (first, second)
                for number in range(10)
            ]
            outcomes = {response.outcome for response in await asyncio.gather(*calls)}
            assert outcomes == {"unknown"}, outcomes
            assert not server.received
            await asyncio.to_thread(deployment.set_faults)
            # Wait until the insertions are withdrawn.
            await asyncio.sleep(1.0)
            for router in (first, second):
                calls = [pay(router, f"key-{number}") for number in range(10)]
                responses = await asyncio.gather(*calls)
                assert {response.outcome for response in responses} == {"ran"}
            assert len(server.received) == 10
        for platform in platforms:
            await platform.close()


@async_test
async def test_only_claims_past_the_retention_are_deleted() -> None:
    """Guards against a store that fills up, and against deleting claims too early.

    A claim is deleted only if it is older than the retention, if its row stayed
    unchanged for a while and if the deletion is conditional on its version.
    """
    now_s = 1_000_000_000.0
    clock_ms = 0.0
    platform = MemoryPlatform()

    async def write(name: str, age_s: float) -> None:
        row = ClaimRow(
            ClaimState.RAN,
            Fingerprint("f"),
            InstanceId("entry-1"),
            RequestId("r"),
            IdempotencyKey(name),
            created_s=int(now_s - age_s),
        )
        value = msgspec.Raw(msgspec.json.encode(row))
        await platform.transact([], [Write(RowName(name), value)], WriteId("w"))

    options = check_settings(DEPLOYMENT_DOCUMENT, "test")
    sweeper = ClaimSweeper(options, platform, lambda: clock_ms, lambda: now_s)
    day_s = options.limits.claim_retention_s
    prefix = claims_prefix("till", "0ab")
    await write(prefix + "1-young", day_s - 10)
    await write(prefix + "2-old", day_s + 10)
    await write("claims/till/0ac-other-slice", day_s + 10)
    await sweeper.queue_expired_claims(prefix)
    await sweeper.delete_queued_claims()
    assert len((await platform.scan("claims/")).unwrap()) == 3
    clock_ms = 1e6
    await sweeper.delete_queued_claims()
    names = [row.name for row in (await platform.scan("claims/")).unwrap()]
    assert names == [prefix + "1-young", "claims/till/0ac-other-slice"]
    # A row that is claimed again after it was queued for deletion is not deleted.
    await write(prefix + "3-renewed", day_s + 10)
    await sweeper.queue_expired_claims(prefix)
    await write(prefix + "3-renewed", 0)
    clock_ms = 2e6
    await sweeper.delete_queued_claims()
    names = [row.name for row in (await platform.scan(prefix)).unwrap()]
    assert names == [prefix + "1-young", prefix + "3-renewed"]


def test_resend_after_the_claiming_router_was_killed() -> None:
    """Guards against a second run after the router that claimed the key crashed."""
    headers = {"Idempotency-Key": "k", "Mulberry-Deadline-Ms": "1500"}

    async def send(url: str) -> str:
        async with aiohttp.ClientSession(headers=headers) as caller:
            path = "/till/pay?work_ms=400"
            async with caller.post(url + path, data=b"120") as response:
                return response.headers["Mulberry-Outcome"]

    async def run() -> None:
        first = asyncio.create_task(send(routers[0].url("caller_port")))
        await asyncio.sleep(0.2)
        routers[0].signal(signal.SIGKILL)
        (outcome,) = await asyncio.gather(first, return_exceptions=True)
        assert isinstance(outcome, aiohttp.ClientError)
        assert await send(routers[1].url("caller_port")) == "unknown"

    with Deployment(DEPLOYMENT_SETTINGS) as deployment:
        server = deployment.start_server("till-1", "till")
        routers = [deployment.start_router(name) for name in ("entry-1", "entry-2")]
        asyncio.run(run())
        assert len(get_json(server.url() + "/control/executions")) <= 1


def test_claim_row_names_are_distinct() -> None:
    """Guards against a shared row for two keys or two services."""
    names = {
        claim_row_name(ServiceName(service), IdempotencyKey(key))
        for service in ("till", "ledger")
        for key in ("a", "b", "a/b")
    }
    assert len(names) == 6

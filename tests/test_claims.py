"""Idempotency keys: one run at most, the same answer for each resend."""

import asyncio
import signal
from collections.abc import Sequence

import aiohttp
from returns.result import Failure, Result

from mulberryrelay_control.platform_memory import MemoryPlatform
from mulberryrelay_kernel.ids import IdempotencyKey, RowName, ServiceName, WriteId
from mulberryrelay_kernel.messages import Condition, Row, Write
from mulberryrelay_kernel.states import StoreFailure
from mulberryrelay_router.claims import claim_name
from standins.deployment import Deployment, get_json

from .fixtures import async_test
from .fixtures.deployment import DEPLOYMENT_SETTINGS
from .fixtures.rawserver import close, echo, raw_server, responding, shed
from .fixtures.router import Reply, RouterFixture, running_router


class FaultyPlatform(MemoryPlatform):
    """Counts transactions, and fails, loses replies or is late where it is told to."""

    def __init__(self) -> None:
        super().__init__()
        self.transactions = 0
        self.failure: StoreFailure | None = None
        self.lost_replies = 0
        self.late_writes = 0

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
        work = super().transact(conditions, writes, write_id)
        if self.late_writes:
            self.late_writes -= 1
            asyncio.get_running_loop().call_later(0.1, asyncio.ensure_future, work)
            return Failure(StoreFailure.UNKNOWN)
        result = await work
        if self.lost_replies:
            self.lost_replies -= 1
            return Failure(StoreFailure.UNKNOWN)
        return result


async def pay(
    router: RouterFixture, key: str, body: bytes = b"120", **headers: str
) -> Reply:
    return await router.send(body=body, Idempotency_Key=key, **headers)


@async_test
async def test_resends_at_two_routers_run_once() -> None:
    """Guards against a second run, whatever the first request's outcome.

    Fails without the claim, and without ``claim_id`` in the comparison of claims.
    """
    platform = FaultyPlatform()
    async with (
        raw_server() as server,
        running_router([server.entry()], platform) as first,
        running_router([server.entry()], platform, name="entry-2") as second,
    ):
        # Each case: key, body, response to the first request, outcomes of both.
        for key, body, respond, outcomes in [
            ("a", b"120", echo, ("ran", "ran")),
            ("b", b"60", close, ("unknown", "unknown")),
            ("c", b"120", shed, ("not-run", "ran")),
        ]:
            server.respond = respond
            replies = [await pay(first, key, body)]
            server.respond = echo
            replies.append(await pay(second, key, body))
            assert tuple(reply.outcome for reply in replies) == outcomes, key
            assert outcomes[1] != "ran" or replies[1].body == body
        other = await pay(second, "a", b"999")
        assert (other.status, other.outcome) == (422, "not-run")
        assert len(server.received) == 4
        # Several at once, with one request id, at both routers.
        server.respond = responding(delay_s=0.15)
        calls = [
            pay(router, "d", Mulberry_Request_Id="same")
            for router in (first, second, first, second)
        ]
        assert {reply.outcome for reply in await asyncio.gather(*calls)} == {"ran"}
        assert len(server.received) == 5
        slow = asyncio.create_task(pay(first, "e"))
        await asyncio.sleep(0.05)
        assert (await pay(second, "e", Mulberry_Deadline_Ms="60")).outcome == "unknown"
        await slow


@async_test
async def test_store_failures() -> None:
    """Guards against a run without a claim, and against a claim that is lost."""
    platform = FaultyPlatform()
    async with (
        raw_server() as server,
        running_router([server.entry()], platform) as router,
    ):
        for failure in (StoreFailure.UNAVAILABLE, StoreFailure.UNKNOWN):
            platform.failure = failure
            reply = await pay(router, "a")
            assert (reply.status, reply.outcome) == (503, "not-run")
            assert (await router.send(body=b"no key")).outcome == "ran"
        assert len(server.received) == 2
        platform.failure = None
        platform.lost_replies = 2
        assert (await pay(router, "b")).outcome == "ran"
        await router.path.claims.drain()
        assert (await pay(router, "b")).outcome == "ran"
        assert len(server.received) == 3
        # The claim takes effect after its request was answered "not run".
        platform.late_writes = 1
        assert (await pay(router, "c")).outcome == "not-run"
        await asyncio.sleep(0.5)
        assert (await pay(router, "c")).outcome == "ran"


@async_test
async def test_claims_are_committed_in_groups() -> None:
    """Guards against one transaction for each request, which the store cannot bear."""
    platform = FaultyPlatform()
    async with (
        raw_server() as server,
        running_router([server.entry()], platform) as router,
    ):
        calls = [pay(router, f"key-{number}") for number in range(96)]
        assert {reply.outcome for reply in await asyncio.gather(*calls)} == {"ran"}
        assert len(server.received) == 96
        assert platform.transactions < 40, platform.transactions


def test_resend_after_the_first_router_was_killed() -> None:
    """Guards against a second run when the router that claimed the key is lost."""
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


def test_names_of_claims_are_apart() -> None:
    """Guards against one row for two keys or two services."""
    names = {
        claim_name(ServiceName(service), IdempotencyKey(key))
        for service in ("till", "ledger")
        for key in ("a", "b", "a/b")
    }
    assert len(names) == 6

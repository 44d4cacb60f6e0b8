"""Requests that crash servers, at the edge router."""

import msgspec

from mulberryrelay_edge.messages import EdgeRequest

from .fixtures import async_test
from .fixtures.crashes import crashing_servers, send_beside
from .fixtures.edgerouter import edge_router

SERVERS = 8
FOR_S = 8.0
POISON_PATH = "/listing/poison"
MAX_LATE_ARRIVALS = 3
"""Arrivals of a poison request allowed later than 3 s after its third crash."""


@async_test
async def test_a_request_that_crashes_servers_is_sent_to_few_of_them() -> None:
    """Guards against a request that crashes one server after the other without end."""
    for is_idempotent in (True, False):
        async with edge_router() as router:

            def poison() -> EdgeRequest:
                request = router.request(is_idempotent)  # noqa: B023
                return msgspec.structs.replace(request, target=POISON_PATH)

            async with crashing_servers(
                [router], SERVERS, lambda request: request.path == POISON_PATH
            ) as servers:
                statuses = await send_beside(router, poison, router.request, FOR_S)
        assert servers.late_arrivals() <= MAX_LATE_ARRIVALS, servers.late_arrivals()
        assert set(statuses) == {200}, statuses

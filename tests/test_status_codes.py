"""Responses whose status is no final status, at both routers.

A failing server once sent status 000, which was passed on to the caller.
"""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

import aiohttp

from .fixtures import async_test
from .fixtures.edgerouter import edge_response, edge_router
from .fixtures.rawserver import (
    RawRequest,
    Respond,
    close,
    make_response,
    raw_server,
    respond_with,
)
from .fixtures.router import running_router

INVALID_STATUSES = (
    *("000", "001", "099", "600", "999"),
    *("0", "20", "99", "0200", "2000", "00200", "-200", "+200", "2x0", "2e2"),
)
INTERIM_STATUSES = ("100", "102", "150", "199")
"""Statuses that are not final; the connection ends after a response with one."""
TIMEOUT_MS = 2000.0
MAX_ATTEMPTS_OF_TEST_ROUTE = 2
"""Attempts that may run, of one request on the route of the tests."""

Run = Callable[[str], Awaitable[object]]


def _respond(make: Callable[[RawRequest, str], bytes], status: str) -> Respond:
    """Return a ``Respond`` for a status; it closes the connection without one."""
    if not status:
        return close
    return respond_with(
        lambda request: make(request, f"{status} X"),
        closes=status in INTERIM_STATUSES,
    )


async def _find_passed_on(run: Run) -> list[str]:
    """Return the statuses for which the caller does not get the result of ``""``."""
    lost = await run("")
    statuses = (*INVALID_STATUSES, *INTERIM_STATUSES)
    return [status for status in statuses if await run(status) != lost]


@async_test
async def test_an_edge_router_takes_an_invalid_status_for_a_lost_response() -> None:
    """Guards against a status that callers cannot interpret, and a lost retry."""

    async def send(is_idempotent: bool, status: str) -> tuple[int, bool, int]:
        async with (
            raw_server(_respond(edge_response, status)) as server,
            edge_router() as router,
        ):
            router.register_server(server)
            request = router.request(is_idempotent, timeout_ms=TIMEOUT_MS)
            response = await router.send(request)
            assert len(server.received) <= MAX_ATTEMPTS_OF_TEST_ROUTE, status
            return response.status, response.is_from_router, len(server.received)

    for is_idempotent in (False, True):
        passed_on = await _find_passed_on(partial(send, is_idempotent))
        assert not passed_on, (is_idempotent, passed_on)


@async_test
async def test_an_edge_router_repeats_a_request_after_an_invalid_status() -> None:
    """Guards against an idempotent request that fails with its first server."""
    for status in (*INVALID_STATUSES, *INTERIM_STATUSES):
        answers = [_respond(edge_response, status), _respond(edge_response, "200")]

        async def respond(
            request: RawRequest,
            writer: asyncio.StreamWriter,
            answers: list[Respond] = answers,
        ) -> None:
            await answers.pop(0)(request, writer)

        async with (
            raw_server(respond) as server,
            edge_router() as router,
        ):
            router.register_server(server)
            response = await router.send(router.request(timeout_ms=TIMEOUT_MS))
            assert response.status == 200, status


@async_test
async def test_the_router_takes_an_invalid_status_for_a_lost_response() -> None:
    """Guards against an invalid status that states that the request ran."""

    async def send(method: str, status: str) -> tuple[int, str | None]:
        async with (
            raw_server(_respond(make_response, status)) as server,
            running_router([server.entry()]) as router,
        ):
            try:
                response = await router.send(method=method)
            except aiohttp.ClientResponseError:
                return 0, None
            return response.status, response.outcome

    for method in ("POST", "GET"):
        passed_on = await _find_passed_on(partial(send, method))
        assert not passed_on, (method, passed_on)

"""Defects of an edge router, to show that a soak finds such defects.

``python -m soak --defect NAME`` runs all routers with one (``links.py``).
"""

from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import msgspec

from mulberryrelay_edge import grantexpiries
from mulberryrelay_edge.callerhandler import CallerHandler
from mulberryrelay_edge.callers import CallerServer
from mulberryrelay_edge.catalog import Catalog
from mulberryrelay_edge.exchange import AttemptOutcome, AttemptResult, Exchange
from mulberryrelay_edge.grantexpiries import GrantExpiries
from mulberryrelay_edge.lease import LeaderLease
from mulberryrelay_edge.messages import BackendServer, EdgeRequest, EdgeResponse
from mulberryrelay_edge.serverlimits import ServerLimits
from mulberryrelay_edge.serverreach import ServerReach
from mulberryrelay_edge.tablestore import TableRead
from mulberryrelay_kernel.ids import ServiceName
from mulberryrelay_router.suspects import Suspects

_run_exchange = Exchange.run
_apply_routes = Catalog.apply_routes
_forward = CallerHandler.forward


async def _report_broken_as_not_run(exchange: Exchange, pool: Any) -> AttemptResult:
    result = await _run_exchange(exchange, pool)
    if result.outcome in (AttemptOutcome.BROKEN, AttemptOutcome.TIMED_OUT):
        return AttemptResult(AttemptOutcome.NOT_RUN, 503)
    return result


def _apply_first_routes(catalog: Catalog, read: TableRead, is_complete: bool) -> None:
    if catalog.routes is None:
        _apply_routes(catalog, read, is_complete)


async def _stop_at_once(callers: CallerServer) -> None:
    runner = callers._runner
    assert runner is not None and runner.server is not None
    for connection in runner.server.connections:
        if connection.transport is not None:
            connection.transport.abort()


async def _cut_body(handler: CallerHandler, request: EdgeRequest) -> EdgeResponse:
    response = await _forward(handler, request)
    return msgspec.structs.replace(response, body=response.body[:2000])


async def _report_no_suspects(suspects: Suspects, reported: Any) -> None:
    pass


def _serving_and_draining(
    catalog: Catalog, service: ServiceName
) -> list[BackendServer]:
    return catalog.servers(service)


DEFECTS: dict[str, Callable[[], Any]] = {
    "grants-expire-at-once": lambda: patch.object(
        GrantExpiries, "begun_so_far", lambda self, incarnation: lambda: 0.0
    ),
    "grants-expire-from-their-write": lambda: patch.object(
        grantexpiries, "MAX_TRAVEL_MS", 0.0
    ),
    "links-never-suspected": lambda: patch.object(
        ServerReach, "suspect", lambda self: None
    ),
    "crashes-unnoticed": lambda: patch.object(Suspects, "report", _report_no_suspects),
    "lease-never-expires": lambda: patch.object(
        LeaderLease, "is_valid", property(lambda self: self.is_held)
    ),
    "earlier-grants-ignored": lambda: patch.object(
        LeaderLease, "previous_leader_end_ms", property(lambda self: float("-inf"))
    ),
    "sent-requests-retried": lambda: patch.object(
        Exchange, "run", _report_broken_as_not_run
    ),
    "first-routes-kept": lambda: patch.object(
        Catalog, "apply_routes", _apply_first_routes
    ),
    "stops-at-once": lambda: patch.object(CallerServer, "stop", _stop_at_once),
    "responses-cut": lambda: patch.object(CallerHandler, "forward", _cut_body),
    "drained-servers-used": lambda: patch.multiple(
        Catalog,
        serving=_serving_and_draining,
        is_drain_grace_over=lambda self, server: False,
    ),
    "limits-ignored": lambda: patch.object(
        ServerLimits, "record", lambda self, server, limit_per_s: None
    ),
}

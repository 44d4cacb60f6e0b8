"""Routes a request: finds its server, sends attempts and records the outcome."""

import random

import aiohttp

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import Key
from mulberryrelay_kernel.messages import ServerEntry
from mulberryrelay_kernel.metrics import Metrics
from mulberryrelay_kernel.options import Options
from mulberryrelay_kernel.states import Outcome, ServerState, UnitState

from .callers import RouteRequest
from .forward import (
    OWNER_HEADER,
    Answer,
    CallerRequest,
    Target,
    failed_answer,
    send_attempt,
)
from .view import RoutingView


def request_router(
    options: Options,
    view: RoutingView,
    session: aiohttp.ClientSession,
    metrics: Metrics,
    clock: Clock,
) -> RouteRequest:
    """Return the function that routes one request of a caller."""

    async def route(request: CallerRequest) -> Answer:
        started_ms = clock()
        answer = await _route(request)
        metrics.record(
            request.service,
            request.request_class,
            answer.outcome,
            clock() - started_ms,
        )
        return answer

    async def _route(request: CallerRequest) -> Answer:
        while True:
            left_ms = request.deadline_ms - clock()
            if left_ms <= 0:
                return failed_answer(Outcome.NOT_RUN, 504)
            target = _find_target(request) if view.has_lease() else None
            if target is None:
                await view.wait_for_change(left_ms)
                continue
            answer = await send_attempt(session, request, target, left_ms)
            answer.headers[OWNER_HEADER] = target.server.server
            return answer

    def _find_target(request: CallerRequest) -> Target | None:
        if options.services[request.service].partitioned:
            return _owner_target(request, Key(request.key or ""))
        servers = [s for s in view.servers_of(request.service) if _takes_work(s)]
        if not servers:
            return None
        return Target(random.choice(servers), view.term)

    def _owner_target(request: CallerRequest, key: Key) -> Target | None:
        unit = view.unit_of(request.service, key)
        if unit is None or unit.state is UnitState.MOVING or unit.owner is None:
            return None
        server = view.server(unit.owner)
        if server is None:
            return None
        return Target(server, view.term, unit.unit, unit.epoch)

    return route


def _takes_work(server: ServerEntry) -> bool:
    return server.state in (ServerState.SERVING, ServerState.COLD)

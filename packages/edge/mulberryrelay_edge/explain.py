"""Explains where this router would send a request now, and why.

Nothing is sent, and no time at a server is reserved. ``explain_service`` is a pure
function of what ``ExplanationSource`` collects.
"""

from collections.abc import Sequence
from math import isinf

import msgspec
from multidict import CIMultiDict

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import InstanceId, RequestId, ServerId, ServiceName
from mulberryrelay_kernel.messages import (
    EdgeDecision,
    EdgeExplanation,
    EdgeServerExplanation,
)
from mulberryrelay_kernel.states import ServerState

from .catalog import Catalog
from .dispatch import Dispatcher, Preview
from .forwarder import RequestForwarder
from .messages import BackendServer, EdgeRequest, KeyRange, Route, ServiceShare
from .ownership import Ownership
from .queuedrequest import RefusalReason
from .routematcher import RouteMatcher

MAX_EXPLAINED_SERVERS = 500
"""Servers of a service in one explanation; further ones are left out."""


class ServerFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What this router knows of a server, as far as it matters for a request."""

    server: BackendServer
    is_candidate: bool
    """Whether the request may go there, apart from load and limits."""
    may_get_requests: bool
    """Whether a request that was chosen before may still be written."""
    is_evacuated: bool
    return_share: float
    """Share of the data centre's servers in use; below 1 after an evacuation."""
    pause_ms: float
    is_ejected: bool
    is_unresponsive: bool
    has_capacity: bool
    share: float | None
    """Part of the server that the leader gives this router; None if it gives none."""
    in_flight: int
    """Requests of this router."""
    window: float
    load: float
    """Estimated requests of all routers."""
    load_age_ms: float | None
    """Age of the last load report, or None without one."""
    slowdown: float
    limit_per_s: float | None
    """Limit that the server states."""
    is_cold: bool
    is_limit_open: bool
    limit_wait_ms: float | None
    """Time until the next reserved time; None if it is not known."""
    is_region_allowed: bool = True
    """Whether the route allows the region of the server."""


class ServiceFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What decides on a request to one service."""

    share: ServiceShare
    key: int | None
    """Key of the request; None if it does not matter."""
    key_range: KeyRange | None
    is_view_usable: bool
    servers: Sequence[ServerFacts]
    preview: Preview


def explain_service(facts: ServiceFacts) -> EdgeDecision:
    """Return the decision on a request to a service, with its reasons."""
    outcome, reason = _decide(facts)
    key_range = facts.key_range
    return EdgeDecision(
        service=facts.share.service,
        weight=facts.share.weight,
        key=facts.key,
        owner=key_range.owner if key_range is not None else ServerId(""),
        next_owner=key_range.next_owner if key_range is not None else ServerId(""),
        outcome=outcome,
        reason=reason,
        server=facts.preview.server or ServerId(""),
        queued=facts.preview.queued,
        expected_wait_ms=facts.preview.expected_wait_ms,
        allowed_wait_ms=facts.preview.allowed_wait_ms,
        servers=[_explain_server(server, facts) for server in facts.servers],
    )


def _decide(facts: ServiceFacts) -> tuple[str, str]:
    """Return what would happen to the request, and why."""
    preview = facts.preview
    if preview.refusal:
        return "refused", preview.refusal
    if preview.server is not None and not preview.queued:
        return "sent", "owner of the key" if facts.key is not None else "lowest cost"
    if preview.server is not None:
        return "queued", f"{preview.queued} requests were there before"
    return "queued", _obstacle(facts)


def _obstacle(facts: ServiceFacts) -> str:
    """Return why no server gets the request now."""
    if not facts.is_view_usable:
        return "the view of the servers is too old"
    if facts.key is not None:
        if facts.key_range is None:
            return "the key has no owner yet"
        if facts.key_range.is_moving:
            return f"the key moves to {facts.key_range.next_owner}"
    candidates = [server for server in facts.servers if server.is_candidate]
    if candidates:
        return "all servers that may run it are at capacity or held back"
    if not facts.servers:
        return "no server of the service is registered"
    if facts.key is not None:
        return "the owner of the key gets no requests"
    return "no server of the service may get requests"


def _explain_server(facts: ServerFacts, service: ServiceFacts) -> EdgeServerExplanation:
    is_chosen = facts.server.server == service.preview.server
    return EdgeServerExplanation(
        server=facts.server.server,
        data_centre=facts.server.data_centre,
        is_candidate=facts.is_candidate,
        is_chosen=is_chosen,
        reasons=[] if is_chosen else reasons_against(facts, service),
        in_flight=facts.in_flight,
        window=round(facts.window, 2),
        slots=facts.server.slots,
        load=round(facts.load, 2),
        load_age_ms=facts.load_age_ms,
        slowdown=round(facts.slowdown, 2),
        limit_per_s=facts.limit_per_s,
        is_cold=facts.is_cold,
    )


def reasons_against(facts: ServerFacts, service: ServiceFacts) -> list[str]:
    """Return why a server does not get the request; empty if another one is better."""
    reasons = []
    if facts.server.state is ServerState.DRAINING:
        reasons.append("draining")
    if facts.is_evacuated:
        reasons.append("evacuated")
    if not facts.may_get_requests:
        reasons.append("gets no requests any more")
    if facts.return_share < 1.0:
        reasons.append(f"returning, {facts.return_share:.0%} of the servers in use")
    key_range = service.key_range
    if service.key is not None and (
        key_range is None or not key_range.is_owned_by(facts.server)
    ):
        reasons.append("not the owner of the key")
    if not facts.is_region_allowed:
        reasons.append("outside the allowed regions")
    if not reasons and not facts.is_candidate:
        reasons.append("not registered, or the view is too old")
    if facts.share == 0.0:
        reasons.append("share of other routers")
    if facts.pause_ms > 0:
        reasons.append(f"wants none for {facts.pause_ms:.0f} ms")
    elif not facts.has_capacity:
        reasons.append("at capacity")
    if facts.is_ejected:
        reasons.append("ejected after failures")
    if facts.is_unresponsive:
        reasons.append("unresponsive")
    if not facts.is_limit_open:
        kind = "rate of a cold server" if facts.is_cold else "stated limit"
        wait = "at an unknown time"
        if facts.limit_wait_ms is not None:
            wait = f"in {facts.limit_wait_ms:.0f} ms"
        reasons.append(f"{kind}, free {wait}")
    return reasons


class ExplanationSource:
    """Collects what decides on a request from the components of a router."""

    def __init__(
        self,
        instance: InstanceId,
        catalog: Catalog,
        ownership: Ownership,
        dispatcher: Dispatcher,
        forwarder: RequestForwarder,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._catalog = catalog
        self._ownership = ownership
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._clock = clock
        self._matcher = RouteMatcher()

    def explain(self, host: str, path: str, key: int | None) -> EdgeExplanation:
        """Return the decisions on a request, one for each service of its route."""
        routes = self._catalog.routes
        route = None
        if routes is not None:
            route = self._matcher.match(routes, host, path)
        shares = route.shares if route is not None else ()
        return EdgeExplanation(
            instance=self._instance,
            host=host,
            path=path,
            route=route.name if route is not None else "",
            routes_version=self._catalog.version,
            routes_age_ms=self._catalog.routes_age_ms,
            view_age_ms=self._catalog.view_age_ms,
            store_unreachable_ms=self._catalog.store_unreachable_ms,
            evacuated=list(self._catalog.evacuations.data_centres),
            decisions=[
                explain_service(self._collect(route, share, path, host, key))
                for share in shares
                if route is not None
            ],
        )

    def _collect(
        self, route: Route, share: ServiceShare, path: str, host: str, key: int | None
    ) -> ServiceFacts:
        now_ms = self._clock()
        request = EdgeRequest(
            request_id=RequestId(""),
            method="GET",
            target=path,
            host=host,
            key=key,
            headers=CIMultiDict(),
            body=b"",
            route=route,
            service=share.service,
            arrived_ms=now_ms,
            deadline_ms=now_ms + route.timeout_ms,
        )
        candidates, is_keyed = self._forwarder.candidates(request)
        preview = self._dispatcher.preview(request, candidates, is_keyed)
        if self._forwarder.is_outside_regions(request):
            refusal = RefusalReason.REGION.value
            preview = msgspec.structs.replace(preview, refusal=refusal)
        names = {server.server for server in candidates()}
        return ServiceFacts(
            share=share,
            key=key if is_keyed else None,
            key_range=self._find_range(share.service, key if is_keyed else None),
            is_view_usable=self._catalog.is_view_usable,
            servers=[
                self._collect_server(
                    server,
                    server.server in names,
                    is_keyed,
                    self._forwarder.regions.may_get(request, server),
                )
                for server in self._catalog.servers(share.service)
            ][:MAX_EXPLAINED_SERVERS],
            preview=preview,
        )

    def _find_range(self, service: ServiceName, key: int | None) -> KeyRange | None:
        return self._ownership.find(service, key) if key is not None else None

    def _collect_server(
        self,
        server: BackendServer,
        is_candidate: bool,
        is_keyed: bool,
        is_region_allowed: bool,
    ) -> ServerFacts:
        loads, limits = self._dispatcher.loads, self._dispatcher.limits
        evacuations = self._catalog.evacuations
        stats = loads.stats(server)
        load_age_ms = self._clock() - stats.load_reported_ms
        has_capacity = loads.has_capacity(server)
        if is_keyed:
            has_capacity = loads.has_capacity_for_key(server)
            has_capacity |= limits.is_paced(server)
        shares = self._dispatcher.shares.shares(server.service)
        return ServerFacts(
            server=server,
            is_candidate=is_candidate,
            may_get_requests=self._catalog.may_send_to(server),
            is_evacuated=evacuations.is_evacuated(server.data_centre),
            return_share=evacuations.return_share(server.data_centre),
            pause_ms=loads.pause_ms(server),
            is_ejected=loads.is_ejected(server),
            is_unresponsive=loads.is_unresponsive(server),
            has_capacity=has_capacity,
            share=shares.get(server.server, 0.0) if shares else None,
            in_flight=stats.in_flight,
            window=loads.window_size(server),
            load=loads.expected_load(server),
            load_age_ms=None if isinf(load_age_ms) else round(load_age_ms),
            slowdown=loads.slowdown(server),
            limit_per_s=limits.limit_per_s(server),
            is_cold=limits.is_cold(server),
            is_limit_open=limits.is_open(server),
            limit_wait_ms=limits.wait_ms(server, 0),
            is_region_allowed=is_region_allowed,
        )

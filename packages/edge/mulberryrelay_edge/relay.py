"""Passes requests on to another router while this one reaches no server.

The leader knows which routers reach servers, from their reports. A router that is cut
off asks it for their addresses again and again, and sends each request to one of them,
which handles it as if its caller had sent it there. A relayed request is not relayed
again.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from enum import Enum
from typing import Protocol, cast

import msgspec
from multidict import CIMultiDict

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre
from mulberryrelay_kernel.logs import log_event

from .messages import (
    EdgeRequest,
    EdgeResponse,
    LeaderNoticeRow,
    RelayedRequest,
    RelayedResponse,
    RouteTable,
)
from .regions import intersection, is_allowed
from .requestbuffer import BodyHold
from .routematcher import RouteMatcher
from .serverreach import ServerReach

PEERS_PERIOD_S = 0.5
"""Period in which a router that is cut off asks the leader which others are not."""
MAX_RELAY_ATTEMPTS = 5
"""Routers to which one request is sent, if those before did not get it."""
MAX_FOR_DATA_CENTRES = 64
"""Requests that one router handles at a time for others that miss a data centre."""
MAX_MESSAGE_BYTES = 33_554_432
"""Length of a message that a router accepts from another one."""
MAX_BODY_BYTES = MAX_MESSAGE_BYTES - 262_144
"""Length of a body that is passed on; its head takes the rest of the message."""
REPLY_RESERVE_MS = 20.0
"""Part of a request's time that is left for the way back of the response."""

NO_DATA_CENTRE = DataCentre("")


class RelayFailure(Enum):
    """Why a relayed request brought no response."""

    NOT_SENT = "not-sent"
    """The other router did not get the request, or did not accept it."""
    UNKNOWN = "unknown"
    """The other router may have got it; it may have run."""
    INCOMPLETE = "incomplete"
    """The other router responded, but not all of its response arrived."""


class RelayCalls(Protocol):
    """Calls to other routers; ``LinkClient`` has them over HTTP."""

    async def relay(
        self, url: str, request: RelayedRequest
    ) -> RelayedResponse | RelayFailure:
        """Send a request to the router with this URL."""

    async def find_peers(self, url: str) -> list[str] | None:
        """Return the URLs of routers that reach servers, from the leader's URL."""


class Relay:
    """Sends requests to other routers while this one is cut off from the servers."""

    def __init__(
        self,
        reach: ServerReach,
        is_leader: Callable[[], bool],
        leader_notice: Callable[[], LeaderNoticeRow | None],
        own_peers: Callable[[], Sequence[str]],
        calls: RelayCalls,
        on_ready: Callable[[], None],
        clock: Clock,
        region_of: Callable[[str], str] = lambda _: "",
    ) -> None:
        """``own_peers`` returns the routers that reach servers, at the leader.

        ``on_ready`` is called once requests can be relayed. ``region_of`` returns the
        region of the router with a URL, empty if it is unknown.
        """
        self._region_of = region_of
        self._reach = reach
        self._is_leader = is_leader
        self._leader_notice = leader_notice
        self._own_peers = own_peers
        self._calls = calls
        self._on_ready = on_ready
        self._clock = clock
        self._peers: list[str] = []
        self._cut_off_event = asyncio.Event()
        self._peers_known = asyncio.Event()
        reach.changes.subscribe(self._on_reach_change)

    @property
    def is_needed(self) -> bool:
        """Whether requests have to be relayed, and there is a router to take them."""
        return self._reach.is_cut_off and bool(self._peers)

    async def wait_needed(self, deadline_ms: float) -> bool:
        """Return whether requests have to be relayed, once that is known.

        Waits only while the links to the servers are suspected to be lost, and after
        their loss for the list of other routers.
        """
        left_ms = deadline_ms - self._clock()
        try:
            async with asyncio.timeout(max(0.0, left_ms) / 1000):
                await self._reach.wait_for_verdict()
                if self._reach.is_cut_off:
                    await self._peers_known.wait()
        except TimeoutError:
            return False
        return self.is_needed

    async def run(self) -> None:
        """Keep the list of other routers current while cut off; never returns."""
        while True:
            await self._cut_off_event.wait()
            peers = await self._find_peers()
            is_ready = self.is_needed
            if peers is not None:
                self._peers = peers
            self._peers_known.set()
            if self.is_needed and not is_ready:
                self._on_ready()
            await asyncio.sleep(PEERS_PERIOD_S)

    async def forward(
        self, request: EdgeRequest, may_repeat: Callable[[], bool]
    ) -> EdgeResponse | RelayFailure:
        """Send a request to another router; return its response.

        ``may_repeat`` is asked before it is sent again though it may have reached a
        server; it counts the repetition.
        """
        allowed = request.route.allowed_regions
        peers = self._peers
        if allowed is not None:
            peers = [p for p in peers if is_allowed(self._region_of(p), allowed)]
        peers = random.sample(peers, min(MAX_RELAY_ATTEMPTS, len(peers)))
        return await pass_on(
            request, peers, self._calls, may_repeat, self._remove, self._clock
        )

    def _remove(self, peer: str) -> None:
        if peer in self._peers:
            self._peers.remove(peer)

    def _on_reach_change(self, is_cut_off: bool) -> None:
        if is_cut_off:
            self._cut_off_event.set()
            return
        self._cut_off_event.clear()
        self._peers_known.clear()
        self._peers = []

    async def _find_peers(self) -> list[str] | None:
        if self._is_leader():
            return list(self._own_peers())
        notice = self._leader_notice()
        if notice is None or not notice.boot_id:
            return None
        return await self._calls.find_peers(notice.link_url)


async def pass_on(
    request: EdgeRequest,
    peers: Sequence[str],
    calls: RelayCalls,
    may_repeat: Callable[[], bool],
    on_failure: Callable[[str], None],
    clock: Clock,
    data_centre: DataCentre = NO_DATA_CENTRE,
) -> EdgeResponse | RelayFailure:
    """Send a request to other routers, one after the other, until one responds.

    ``on_failure`` is called with the URL of a router that did not respond.
    ``data_centre`` is ``RelayedRequest.data_centre``.
    """
    if len(request.body) > MAX_BODY_BYTES:
        log_event(
            "body_too_long_to_relay",
            request_id=request.request_id,
            length=len(request.body),
        )
        return RelayFailure.NOT_SENT
    failure = RelayFailure.NOT_SENT
    result: RelayedResponse | RelayFailure = RelayFailure.NOT_SENT
    for peer in peers:
        left_ms = request.deadline_ms - clock()
        if left_ms <= REPLY_RESERVE_MS:
            break
        if result is RelayFailure.UNKNOWN and not may_repeat():
            break
        result = await calls.relay(peer, _relayed(request, left_ms, data_centre))
        log_event(
            "request_relayed",
            request_id=request.request_id,
            peer=peer,
            left_ms=round(left_ms),
            result=result.value if isinstance(result, RelayFailure) else result.status,
            data_centre=data_centre,
        )
        if isinstance(result, RelayedResponse):
            is_refused = result.is_from_router and result.status == 503
            if is_refused and failure is RelayFailure.UNKNOWN:
                # The router before may have run it.
                return failure
            return _response(result)
        if result is RelayFailure.INCOMPLETE:
            # The peer is alive; one of the two routers had no room for the response.
            result = RelayFailure.UNKNOWN
        else:
            on_failure(peer)
        if failure is RelayFailure.NOT_SENT:
            failure = result
        if result is RelayFailure.UNKNOWN and not request.route.is_idempotent:
            break
    return failure


class RelayReceiver:
    """Handles requests that other routers relay to this one."""

    def __init__(
        self,
        routes: Callable[[], RouteTable | None],
        reach: ServerReach,
        forward: Callable[[EdgeRequest], Awaitable[EdgeResponse]],
        clock: Clock,
        is_unreached: Callable[[DataCentre], bool] = lambda _: False,
        region: Callable[[], str] = lambda: "",
    ) -> None:
        """``is_unreached`` returns whether this router does not reach a data centre.

        ``region`` returns the region of this router, empty if it is unknown.
        """
        self._region = region
        self._is_unreached = is_unreached
        self._for_data_centres = 0
        """Requests in flight for data centres that their routers do not reach."""
        self._routes = routes
        self._reach = reach
        self._forward = forward
        self._clock = clock
        self._matcher = RouteMatcher()
        self._is_stopping = False
        self._in_flight: set[asyncio.Task[EdgeResponse]] = set()

    @property
    def is_accepting(self) -> bool:
        """Whether requests are accepted, as far as it does not depend on them."""
        is_ready = self._routes() is not None and not self._is_stopping
        return is_ready and not self._reach.is_cut_off

    async def handle(
        self,
        relayed: RelayedRequest,
        waited_ms: float = 0.0,
        body_hold: BodyHold | None = None,
    ) -> RelayedResponse | None:
        """Return the response to a relayed request; None if it is not accepted.

        ``waited_ms`` is the time since its first byte arrived.
        """
        routes = self._routes()
        if not self.is_accepting or routes is None:
            return None
        if relayed.data_centre:
            is_full = self._for_data_centres >= MAX_FOR_DATA_CENTRES
            if is_full or self._is_unreached(relayed.data_centre):
                return None
        path = relayed.target.partition("?")[0]
        route = self._matcher.match(routes, relayed.host, path)
        if route is None:
            return None
        # The routers may have different versions of the routes.
        allowed = intersection(route.allowed_regions, relayed.allowed_regions)
        if not is_allowed(self._region(), allowed):
            log_event(
                "relayed_outside_regions",
                request_id=relayed.request_id,
                route=route.name,
                region=self._region(),
            )
            return None
        arrived_ms = self._clock() - waited_ms
        # A route may have changed its kind between the versions of the two routers.
        is_idempotent = route.is_idempotent and relayed.is_idempotent
        route = msgspec.structs.replace(
            route, is_idempotent=is_idempotent, allowed_regions=allowed
        )
        request = EdgeRequest(
            relayed.request_id,
            relayed.method,
            relayed.target,
            relayed.host,
            relayed.key,
            CIMultiDict(relayed.headers),
            relayed.body,
            route,
            self._matcher.pick_service(route),
            arrived_ms,
            arrived_ms + relayed.left_ms,
            relayed.caller_address,
            is_relayed=True,
            body_hold=body_hold,
        )
        task = asyncio.ensure_future(self._forward(request))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)
        if relayed.data_centre:
            self._for_data_centres += 1
            task.add_done_callback(self._record_end)
        response = await task
        return relayed_response(response)

    def _record_end(self, task: "asyncio.Task[EdgeResponse]") -> None:
        self._for_data_centres -= 1

    async def stop(self, timeout_s: float) -> None:
        """Accept no more requests, and wait for those in flight."""
        self._is_stopping = True
        if self._in_flight:
            await asyncio.wait(self._in_flight, timeout=timeout_s)


def relayed_response(response: EdgeResponse) -> RelayedResponse:
    """Return the message with a response to a relayed request."""
    return RelayedResponse(
        response.status,
        _pairs(response.headers),
        response.body,
        response.is_from_router,
    )


def _relayed(
    request: EdgeRequest, left_ms: float, data_centre: DataCentre
) -> RelayedRequest:
    return RelayedRequest(
        request.request_id,
        request.method,
        request.target,
        request.host,
        request.key,
        _pairs(request.headers),
        # A bytearray is encoded like bytes; a copy would hold the body twice.
        cast(bytes, request.body),
        left_ms - REPLY_RESERVE_MS,
        request.caller_address,
        request.route.is_idempotent,
        data_centre,
        request.route.allowed_regions,
    )


def _pairs(headers: CIMultiDict[str]) -> list[tuple[str, str]]:
    """Return headers as they are encoded; names may be instances of ``istr``."""
    return [(str(name), value) for name, value in headers.items()]


def _response(relayed: RelayedResponse) -> EdgeResponse:
    return EdgeResponse(
        relayed.status,
        CIMultiDict(relayed.headers),
        relayed.body,
        relayed.is_from_router,
    )

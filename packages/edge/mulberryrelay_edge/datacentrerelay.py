"""Passes requests for an unreached data centre on to a router that reaches it.

The leader knows from the reports where each router is and which data centres it does
not reach. Each router asks it for that list now and then, as the leader may be the one
that cannot be reached later. The list is only a hint: a router that is passed a request
accepts it only while it reaches the data centre itself, and never passes it on again.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.ids import DataCentre
from mulberryrelay_kernel.logs import log_event

from .datacentrereach import DataCentreReach
from .messages import (
    BackendServer,
    EdgeRequest,
    EdgeResponse,
    LeaderNoticeRow,
    RouterPeer,
)
from .queuedrequest import Candidates
from .regions import PermittedRegions, is_allowed
from .relay import MAX_RELAY_ATTEMPTS, RelayCalls, RelayFailure, pass_on

MIN_DATA_CENTRES = 3
"""Data centres from which on one of them can stand between two others."""
REFRESH_PERIOD_S = 20.0
"""Period in which the list of routers is read while all data centres are reached.

The list has 3 KB with 68 routers, and the leader sends it to all of them.
"""
BUSY_REFRESH_PERIOD_S = 2.0
"""The same while a data centre is unreached, or there is no list yet."""
LIST_TTL_MS = 60_000.0
"""Age from which a list of routers is not used."""
REST_MS = 1000.0
"""Time for which a router gets no requests after it did not accept one."""
MAX_PASSED_ON = 128
"""Requests that are passed on at a time; further ones are refused."""


class PeerCalls(RelayCalls, Protocol):
    """Calls to other routers; ``LinkClient`` has them over HTTP."""

    async def list_routers(self, url: str) -> list[RouterPeer] | None:
        """Return where routers are and what they reach, from the leader's URL."""


class DataCentreRelay:
    """Sends requests for unreached data centres to routers that reach these."""

    def __init__(
        self,
        reach: DataCentreReach,
        data_centre: DataCentre,
        servers: Callable[[], Sequence[BackendServer]],
        is_leader: Callable[[], bool],
        leader_notice: Callable[[], LeaderNoticeRow | None],
        own_peers: Callable[[], Sequence[RouterPeer]],
        calls: PeerCalls,
        on_ready: Callable[[], None],
        clock: Clock,
        needs_regions: Callable[[], bool] = lambda: False,
    ) -> None:
        """``data_centre`` is the one of this router.

        ``own_peers`` returns the routers that report to this one while it leads.
        ``on_ready`` is called when queued requests may have to be passed on.
        ``needs_regions`` returns whether the regions of other routers matter.
        """
        self._needs_regions = needs_regions
        self._reach = reach
        self._data_centre = data_centre
        self._servers = servers
        self._is_leader = is_leader
        self._leader_notice = leader_notice
        self._own_peers = own_peers
        self._calls = calls
        self._on_ready = on_ready
        self._clock = clock
        self._peers: list[RouterPeer] = []
        self._listed_ms = float("-inf")
        self._rests_until_ms: dict[str, float] = {}
        self._passed_on = 0
        self._is_leader_relayed = False
        self._reach_changed = asyncio.Event()
        reach.changes.subscribe(lambda _: self._on_reach_change())

    @property
    def reach(self) -> DataCentreReach:
        """Which data centres this router reaches."""
        return self._reach

    @property
    def passed_on(self) -> int:
        """Number of requests that other routers handle for this one."""
        return self._passed_on

    def target(self, request: EdgeRequest, candidates: Candidates) -> DataCentre | None:
        """Return the data centre because of which a request has to be passed on.

        None if the request may be sent from here, or nobody can send it either.
        """
        if request.is_relayed or not self._reach.unreached:
            return None
        servers = candidates()
        if not self._reach.are_unreached(servers):
            return None
        target = servers[0].data_centre
        allowed = request.route.allowed_regions
        return target if self.routers_for(target, allowed) else None

    def routers_for(
        self, data_centre: DataCentre, allowed: PermittedRegions = None
    ) -> list[str]:
        """Return URLs of routers in third data centres that reach both.

        They are in one of the allowed regions.
        """
        now_ms = self._clock()
        if now_ms - self._listed_ms > LIST_TTL_MS:
            return []
        return [
            peer.url
            for peer in self._peers
            if peer.data_centre not in ("", self._data_centre, data_centre)
            and is_allowed(peer.region, allowed)
            and data_centre not in peer.unreached
            and self._data_centre not in peer.unreached
            and not self._reach.is_unreached(peer.data_centre)
            and now_ms >= self._rests_until_ms.get(peer.url, float("-inf"))
        ]

    def region_of(self, url: str) -> str:
        """Return the region of the router with this URL; empty if unknown."""
        if self._clock() - self._listed_ms > LIST_TTL_MS:
            return ""
        for peer in self._peers:
            if peer.url == url:
                return peer.region
        return ""

    @property
    def is_leader_relayed(self) -> bool:
        """Whether calls for the leader go through another router."""
        return self._is_leader_relayed

    def find_via(self, leader_url: str) -> str | None:
        """Return the router through which to call the leader; None if directly."""
        data_centre = self._data_centre_of(leader_url)
        urls: list[str] = []
        if data_centre is not None and self._reach.is_unreached(data_centre):
            urls = self.routers_for(data_centre)
        via = random.choice(urls) if urls else None
        if (via is not None) is not self._is_leader_relayed:
            self._is_leader_relayed = via is not None
            event = "leader_relayed" if via is not None else "leader_direct"
            log_event(event, leader=leader_url, via=via or "")
        return via

    def is_router_unreached(self, url: str) -> bool:
        """Return whether a router is in an unreached data centre."""
        data_centre = self._data_centre_of(url)
        return data_centre is not None and self._reach.is_unreached(data_centre)

    def suspect_leader(self) -> None:
        """Probe the leader's data centre, because the leader does not reply."""
        notice = self._leader_notice()
        data_centre = self._data_centre_of(notice.link_url) if notice else None
        if data_centre is not None:
            self._reach.suspect(data_centre)

    def _data_centre_of(self, url: str) -> DataCentre | None:
        """Return the data centre of the router with this URL, or None if unknown."""
        for peer in self._peers:
            if peer.url == url and peer.data_centre:
                return peer.data_centre
        return None

    async def forward(
        self,
        request: EdgeRequest,
        target: DataCentre,
        may_repeat: Callable[[], bool],
    ) -> EdgeResponse | RelayFailure:
        """Send a request to a router that reaches a data centre; return its response.

        ``may_repeat`` is as for ``Relay.forward``.
        """
        if self._passed_on >= MAX_PASSED_ON:
            log_event("relay_full", request_id=request.request_id, data_centre=target)
            return RelayFailure.NOT_SENT
        urls = self.routers_for(target, request.route.allowed_regions)
        urls = random.sample(urls, min(MAX_RELAY_ATTEMPTS, len(urls)))
        self._passed_on += 1
        try:
            return await pass_on(
                request, urls, self._calls, may_repeat, self.rest, self._clock, target
            )
        finally:
            self._passed_on -= 1

    def rest(self, url: str) -> None:
        """Send nothing to a router for a while, as it did not accept or respond."""
        self._rests_until_ms[url] = self._clock() + REST_MS

    async def run(self) -> None:
        """Keep the list of routers current; never returns."""
        while True:
            self._reach_changed.clear()
            data_centres = {server.data_centre for server in self._servers()}
            period_s = REFRESH_PERIOD_S
            if len(data_centres) >= MIN_DATA_CENTRES or self._needs_regions():
                await self._refresh()
            if self._listed_ms == float("-inf") or self._reach.unreached:
                period_s = BUSY_REFRESH_PERIOD_S
            try:
                async with asyncio.timeout(period_s):
                    await self._reach_changed.wait()
            except TimeoutError:
                continue

    async def _refresh(self) -> None:
        """Read the list; keep the last one if the leader does not reply."""
        peers = await self._find_peers()
        if peers is None:
            return
        could_pass_on = self._can_pass_on
        self._peers = peers
        self._listed_ms = self._clock()
        urls = {peer.url for peer in peers}
        for url in [url for url in self._rests_until_ms if url not in urls]:
            del self._rests_until_ms[url]
        if self._can_pass_on and not could_pass_on:
            self._on_ready()

    @property
    def _can_pass_on(self) -> bool:
        return any(self.routers_for(name) for name in self._reach.unreached)

    async def _find_peers(self) -> list[RouterPeer] | None:
        if self._is_leader():
            return list(self._own_peers())
        notice = self._leader_notice()
        if notice is None or not notice.boot_id:
            return None
        return await self._calls.list_routers(notice.link_url)

    def _on_reach_change(self) -> None:
        self._reach_changed.set()
        if self._can_pass_on:
            self._on_ready()

"""HTTP backend server of the users' platform that records what it runs.

A server of a keyed service runs a request only while it has a grant of its key. Tests
read ``KeyedServer`` for the grants and get a call for each request that begins.
"""

import asyncio
import time
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from mulberryrelay_platform.names import (
    GRANT_PATH,
    HANDOVER_HEADER,
    HEADERS,
    RELEASE_PATH,
)

from .keyedservers import KeyedServer

HEALTH_PATH = "/health"
QUEUE_LENGTH = 8
"""Requests that may wait for a slot before further ones are refused."""
LOST_RESPONSE_S = 30.0
"""Time for which a request waits whose response is lost; its caller gives up before."""
NOT_RUN = {str(HEADERS.not_run): "1"}
MAX_FILLER = 4000
"""Maximum number of bytes of a response beyond the request's id."""


def response_body(request_id: str) -> bytes:
    """Return the body that every server sends in response to a request."""
    filler = zlib.crc32(request_id.encode()) % MAX_FILLER
    return f"{request_id} ".encode() + b"x" * filler


class Execution(msgspec.Struct, frozen=True):
    """A request that a server begins to run."""

    request_id: str
    path: str
    key: int | None
    server: KeyedServer
    began_s: float
    """Time of the steady clock."""


class EdgeServer:
    """One incarnation of a server; its attributes are switched by a test."""

    def __init__(
        self,
        server: KeyedServer,
        is_keyed: bool,
        work_s: float,
        on_execution: Callable[[Execution], None],
    ) -> None:
        self.server = server
        self.work_s = work_s
        self.limit_per_s: float | None = None
        """Limit that it states in its responses."""
        self.drops_responses = False
        """Whether requests run and their responses are lost."""
        self.arrivals_s: list[float] = []
        """Times at which requests reached it, refused ones included."""
        self._is_keyed = is_keyed
        self._on_execution = on_execution
        self._running_keys: dict[int, int] = {}
        self._running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handle a command, a health check or a request."""
        entry = self.server.entry
        expected = request.headers.get(HEADERS.expected_server, entry.server)
        if not self.server.is_up or expected != entry.server:
            return self._refusal(request, 421)
        if request.path == HEALTH_PATH:
            return web.Response(headers=self._headers())
        if request.path in (GRANT_PATH, RELEASE_PATH):
            return await self._handle_command(request)
        return await self._handle_request(request)

    async def _handle_command(self, request: web.BaseRequest) -> web.Response:
        arrived_s = time.monotonic()
        body: dict[str, Any] = msgspec.json.decode(await request.read())
        first, last, fence = body["From"], body["To"], body["fence"]
        if request.path == GRANT_PATH:
            elapsed_ms = (time.monotonic() - arrived_s) * 1000
            ttl_ms = body["HoldS"] * 1000 - elapsed_ms
            return web.Response(status=self.server.grant(first, last, fence, ttl_ms))
        self.server.release(first, last, fence)
        while any(first <= key <= last for key in self._running_keys):
            await asyncio.sleep(0.005)
        return web.Response(headers={HANDOVER_HEADER: f"token-{fence}"})

    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        self.arrivals_s.append(time.monotonic())
        await request.read()
        key = int(request.headers.get(HEADERS.key, 0)) if self._is_keyed else None
        if key is not None and not self.server.has_grant(key):
            return self._refusal(request, 421)
        if not await self._wait_for_slot():
            return self._refusal(request, 503)
        try:
            if not self.server.is_up or (
                key is not None and not self.server.has_grant(key)
            ):
                return self._refusal(request, 421)
            return await self._run(request, key)
        finally:
            self._free_slot()

    async def _run(self, request: web.BaseRequest, key: int | None) -> web.Response:
        request_id = request.headers[HEADERS.request_id]
        self._on_execution(
            Execution(request_id, request.path, key, self.server, time.monotonic())
        )
        if key is not None:
            self._running_keys[key] = self._running_keys.get(key, 0) + 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            if key is not None:
                self._running_keys[key] -= 1
                if not self._running_keys[key]:
                    del self._running_keys[key]
        if self.drops_responses:
            await asyncio.sleep(LOST_RESPONSE_S)
        headers = {
            **self._headers(),
            HEADERS.request_id: request_id,
            HEADERS.response_signature: "s",
        }
        return web.Response(body=response_body(request_id), headers=headers)

    async def _wait_for_slot(self) -> bool:
        if self._running < self.server.entry.slots:
            self._running += 1
            return True
        if len(self._waiting) >= QUEUE_LENGTH:
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self._waiting:
                self._waiting.remove(turn)
            else:
                self._free_slot()
            raise
        return True

    def _free_slot(self) -> None:
        """Give the slot to the request that waits longest."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._running -= 1

    def _refusal(self, request: web.BaseRequest, status: int) -> web.Response:
        headers = {**self._headers(), **NOT_RUN}
        request_id = request.headers.get(HEADERS.request_id)
        if request_id is not None:
            headers[HEADERS.request_id] = request_id
        return web.Response(status=status, headers=headers)

    def _headers(self) -> dict[str, str]:
        entry = self.server.entry
        load = f"{self._running},{len(self._waiting)},{entry.slots}"
        headers = {str(HEADERS.server): entry.server, str(HEADERS.load): load}
        if self.limit_per_s is not None:
            headers[str(HEADERS.limit)] = f"{self.limit_per_s:.1f}"
        return headers

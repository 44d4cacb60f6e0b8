"""Connections of callers, which a stopping router closes without losing a request.

``web.RequestHandler.close`` and ``shutdown`` ignore all bytes that arrive after them,
also the rest of a request that has arrived in part. Both routers therefore first close
idle connections only.
"""

import asyncio
from typing import Any

from aiohttp import web

DRAIN_POLL_S = 0.01
"""Pause between checks for connections that have become idle."""


class CallerConnection(web.RequestHandler):
    """A connection that knows whether a part of a request has arrived on it."""

    def __init__(self, server: web.Server, **options: Any) -> None:
        super().__init__(server, **options)
        self._has_partial_head = False

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request that has no response yet has arrived."""
        waiter = self._waiter
        is_waiting = waiter is not None and not waiter.done()
        return is_waiting and not self._has_partial_head

    def data_received(self, data: bytes) -> None:
        awaits_head = not self._request_count or self._waiter is not None
        super().data_received(data)
        if awaits_head:
            self._has_partial_head = not self._messages


class CallerConnectionServer(web.Server):
    """Creates a ``CallerConnection`` for each connection."""

    def __call__(self) -> web.RequestHandler:
        return CallerConnection(self, loop=self._loop, **self._kwargs)


async def drain_connections(server: web.Server, deadline_s: float) -> None:
    """Close each connection once it is idle, until a time of the event loop."""
    loop = asyncio.get_running_loop()
    while server.connections and loop.time() < deadline_s:
        for connection in server.connections:
            if isinstance(connection, CallerConnection) and connection.is_idle:
                connection.force_close()
        await asyncio.sleep(DRAIN_POLL_S)

"""Lets what was started for a request end, although its caller has disconnected."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from .messages import EdgeRequest

Result = TypeVar("Result")


async def run_to_end(request: EdgeRequest, running: Awaitable[Result]) -> Result:
    """Return the result of what must not be cancelled with the request.

    It keeps the body of the request, which therefore keeps its room in memory.
    """
    task = asyncio.ensure_future(running)
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        if request.body_hold is not None:
            request.body_hold.close_after(task)
        raise

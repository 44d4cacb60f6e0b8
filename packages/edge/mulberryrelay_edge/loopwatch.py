"""Logs when the event loop of this process stood still.

A router whose loop stands still decides on older knowledge, and reads replies later
than they arrived; without this line its logs look as if the others were late.
"""

import asyncio

from mulberryrelay_kernel.clock import Clock
from mulberryrelay_kernel.logs import log_event

PERIOD_S = 0.1
"""Period in which the delay of the event loop is checked."""
LOGGED_DELAY_MS = 200.0
"""Delay of a timer from which it is logged."""


async def log_stalls(clock: Clock) -> None:
    """Log each delay of the event loop; never returns."""
    while True:
        started_ms = clock()
        await asyncio.sleep(PERIOD_S)
        late_ms = clock() - started_ms - PERIOD_S * 1000
        if late_ms >= LOGGED_DELAY_MS:
            log_event("event_loop_stalled", late_ms=round(late_ms))

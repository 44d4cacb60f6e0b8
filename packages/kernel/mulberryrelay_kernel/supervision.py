"""Keeps tasks running that must run as long as the process.

An unexpected error, for example about a message that no code path foresees, must not
end a process that still serves requests.
"""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from .logs import log_event

RESTART_DELAY_S = 0.2
"""Pause before a failed task starts again."""


async def run_supervised(name: str, start: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns; log its errors and start it again.

    ``start`` is called again after each error, so a task must be able to continue with
    the state that an error leaves behind.
    """
    while True:
        try:
            await start()
            return
        except Exception as error:
            log_failure(name, error)
        await asyncio.sleep(RESTART_DELAY_S)


def log_failure(task: str, error: BaseException) -> None:
    """Log an unexpected error of a task with its stack trace."""
    log_event(
        "task_failed",
        task=task,
        error=repr(error),
        stack="".join(traceback.format_tb(error.__traceback__)),
    )

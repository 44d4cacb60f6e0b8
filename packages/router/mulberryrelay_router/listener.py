"""The callers' HTTP listener, and how it ends without cutting off a request."""

import asyncio

from aiohttp import web

from mulberryrelay_kernel.clock import monotonic_ms
from mulberryrelay_kernel.options import Options

from .callers import Handler

LISTEN_BACKLOG = 1024
# Longest header line; the sum of all lines is limited by limits.header_bytes.
MAX_HEADER_LINE = 8190
IDLE_POLL_S = 0.01


async def open_listener(
    options: Options, handler: Handler
) -> tuple[web.ServerRunner, web.TCPSite]:
    """Listen for callers.

    A handler is cancelled when its caller disconnects. Bodies are passed on as they
    are, so that they fit the headers that describe them.
    """
    line = min(MAX_HEADER_LINE, options.limits.header_bytes)
    server = web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        max_line_size=line,
        max_field_size=line,
    )
    runner = web.ServerRunner(
        server, shutdown_timeout=options.limits.deadline_ms / 1000
    )
    await runner.setup()
    site = web.TCPSite(
        runner,
        options.instance.host,
        options.instance.caller_port,
        backlog=LISTEN_BACKLOG,
    )
    await site.start()
    return runner, site


async def stop_listener(
    options: Options, runner: web.ServerRunner, site: web.TCPSite
) -> None:
    """Let the load balancer settle, then end the listener without cutting requests.

    From the settle time on every answer closes its connection. HTTP/1.1 cannot tell a
    caller on an idle connection that it is about to be closed, and a request that
    crosses with the close gets no answer. So idle connections are kept for a while
    longer: only one that was idle all that time can lose a request.
    """
    await asyncio.sleep(options.timing.settle_ms / 1000)
    await site.stop()
    assert runner.server is not None
    give_up_ms = monotonic_ms() + options.timing.idle_ms
    while runner.server.connections and monotonic_ms() < give_up_ms:
        await asyncio.sleep(IDLE_POLL_S)
    await runner.cleanup()

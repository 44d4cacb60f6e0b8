"""Minimal aiohttp reverse proxy, the baseline for the router's processor time.

Forwards requests to the servers in round-robin order and returns their responses. It
has no ownership, deadlines, outcomes or retries.
"""

import asyncio
import itertools
import os
import sys

import aiohttp
import click
from aiohttp import web
from yarl import URL


async def serve(servers: list[str]) -> None:
    """Listen on a free port, print the port and forward requests until cancelled."""
    connector = aiohttp.TCPConnector(limit=0)
    server_cycle = itertools.cycle(servers)
    async with aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False
    ) as session:

        async def handle(request: web.BaseRequest) -> web.Response:
            body = await request.read()
            async with session.request(
                request.method,
                URL(next(server_cycle) + request.path_qs, encoded=True),
                headers=request.headers,
                data=body or None,
            ) as response:
                content = await response.read()
                return web.Response(
                    status=response.status,
                    headers={"Content-Type": response.headers["Content-Type"]},
                    body=content,
                )

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0, backlog=1024).start()
        print(f"event=listening caller_port={runner.addresses[0][1]}", flush=True)
        await asyncio.Event().wait()


@click.command()
@click.argument("servers", nargs=-1, required=True)
def main(servers: tuple[str, ...]) -> None:
    """Forward requests to SERVERS, a list of base URLs."""
    # io_uring must not be used; libuv reads this variable when it creates a loop.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(list(servers)))
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    main()

"""Starts an edge router whose links to the servers go through proxies of its own.

``python -m soak.links HOST [DEFECT]`` runs the router at the address ``HOST``. It
connects to ``HOST`` wherever it would connect to the address at which all servers
listen; there the run has a proxy at each server's port. So the links of one router can
fail while those of the others are fine, and no setting of the router is needed for it.
"""

import runpy
import sys
from asyncio.selector_events import BaseSelectorEventLoop
from typing import Any
from unittest.mock import patch

SERVERS_HOST = "127.0.0.1"
"""Address at which all servers listen."""
START = "platform/start.py"

_sock_connect = BaseSelectorEventLoop.sock_connect


def links_through(host: str) -> Any:
    """Return a context in which connections to servers go to another address."""

    async def connect(
        loop: BaseSelectorEventLoop, sock: Any, address: tuple[str, int]
    ) -> None:
        if address[0] == SERVERS_HOST:
            address = (host, address[1])
        await _sock_connect(loop, sock, address)

    return patch.object(BaseSelectorEventLoop, "sock_connect", connect)


def run_with_defect(name: str) -> None:
    """Run a router with one of ``DEFECTS``.

    They are imported here, since the start of a router without one imports less.
    """
    from mulberryrelay_platform.main import main

    from .defects import DEFECTS

    with DEFECTS[name]():
        main()


if __name__ == "__main__":
    with links_through(sys.argv[1]):
        if len(sys.argv) > 2:
            run_with_defect(sys.argv[2])
        else:
            runpy.run_path(START, run_name="__main__")

"""Commands to servers over sockets, while the router stands still or gives up."""

import asyncio
import time

from returns.result import Success

from mulberryrelay_platform.commands import PlatformCommands

from .fixtures import async_test
from .fixtures.edgefleet import backend
from .fixtures.rawserver import HOST, RawRequest, raw_server

STALL_S = 0.6
"""Time for which the event loop stands still, longer than the timeout of a grant."""
STALL_STEPS = range(8)
"""Steps of the event loop before it stands still; a grant is written in one of them."""


async def _confirm(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


async def _grant_during_a_stall(steps: int, is_connected: bool) -> tuple[int, int, int]:
    """Return how often a grant might and might not be written, and how often it was.

    It may be written until the middle of the stall.
    """
    verdicts: list[bool] = []
    commands = PlatformCommands()
    async with raw_server(_confirm) as server:
        entry = backend(1, host=HOST, port=server.port)
        if is_connected:
            await commands.grant(entry, 0, 9, 1, 1000.0, None, lambda: True)
        earlier = len(server.received)
        until_s = time.monotonic() + STALL_S / 2

        def may_write() -> bool:
            verdicts.append(time.monotonic() < until_s)
            return verdicts[-1]

        sending = asyncio.ensure_future(
            commands.grant(entry, 0, 9, 1, 1000.0, None, may_write)
        )
        for _ in range(steps):
            await asyncio.sleep(0)
        time.sleep(STALL_S)
        result = await sending
        await asyncio.sleep(0.02)
        arrived = len(server.received) - earlier
    await commands.close()
    assert arrived or not isinstance(result, Success), (steps, is_connected)
    return verdicts.count(True), verdicts.count(False), arrived


@async_test
async def test_a_grant_that_may_not_be_written_any_more_reaches_no_server() -> None:
    """Guards against a check that is made before the connection, not at the write."""
    refused = 0
    for is_connected in (False, True):
        for steps in STALL_STEPS:
            permits, refusals, arrived = await _grant_during_a_stall(
                steps, is_connected
            )
            assert arrived == permits, (steps, is_connected, permits, refusals)
            refused += refusals
    assert refused, "no grant was to be written after the stall"


@async_test
async def test_a_command_without_a_reply_is_discarded_when_it_is_given_up() -> None:
    """Guards against a command that is sent again after its sender has given it up."""
    endings: list[object] = []

    async def never_reply(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await reader.read(65_536):
                continue
            endings.append("closed")
        except ConnectionResetError:
            endings.append("reset")
        writer.close()

    commands = PlatformCommands()
    listener = await asyncio.start_server(never_reply, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    entry = backend(1, host=HOST, port=port)
    granted = await commands.grant(entry, 0, 9, 1, 1000.0, None, lambda: True)
    assert not isinstance(granted, Success)
    await asyncio.sleep(0.05)
    assert endings == ["reset"]
    await commands.close()
    listener.close()

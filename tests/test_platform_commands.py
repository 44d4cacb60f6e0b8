"""Commands to servers over sockets: a router that stands still, extra responses."""

import asyncio
import time
from collections import Counter

from returns.result import Success

from mulberryrelay_edge.adapter import CommandRefused, CommandUnanswered
from mulberryrelay_edge.messages import BackendServer
from mulberryrelay_platform.commands import PlatformCommands
from mulberryrelay_platform.names import GRANT_PATH, HANDOVER_HEADER, HEADERS

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


WORK_S = 0.1
"""Time for which a server still works on keys that are released."""
EXTRA_DELAY_S = 0.02
"""Time after a complete response at which a server sends another one."""
CONFIRMATION = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
TOKEN = "token-of-this-release"
RELEASED = CONFIRMATION.replace(
    b"\r\n\r\n", f"\r\n{HANDOVER_HEADER}: {TOKEN}\r\n\r\n".encode()
)
RELEASED_EARLIER = RELEASED.replace(TOKEN.encode(), b"token-of-another-release")
MISDIRECTED = tuple(
    f"HTTP/1.1 {status}\r\n{more}Content-Length: 0\r\n\r\n".encode()
    for status, more in (
        ("400 Bad Request", ""),
        ("404 Not Found", ""),
        ("405 Method Not Allowed", ""),
        ("421 Misdirected Request", ""),
        ("421 Misdirected Request", f"{HEADERS.server}: server-2\r\n"),
        ("200 OK", f"{HEADERS.server}: server-2\r\n"),
    )
)
"""Responses that a server gives to a command that was meant for another one."""
REFUSED = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
OPENINGS = (b"HT", CONFIRMATION[:20], CONFIRMATION[:-2], b"\r\n", b"\0")
"""Bytes that are no complete response."""


class ExtraResponses:
    """Servers that send an extra response to the first grant on a connection.

    It comes after the response, or in place of the response to the next command, whose
    own response follows when the work on the released keys has ended.
    """

    def __init__(self, extra: bytes, first: bytes, is_in_place: bool) -> None:
        self._extra = extra
        self._first = first
        self._is_in_place = is_in_place
        self._commands: Counter[int] = Counter()
        self.ended = 0
        """Releases whose work has ended."""

    async def respond(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        """Respond to a command; the first connection is the faulty one."""
        number = self._commands[request.connection]
        self._commands[request.connection] += 1
        if request.connection == 0 and number == 0:
            writer.write(self._first)
            if not self._is_in_place:
                asyncio.get_running_loop().call_later(
                    EXTRA_DELAY_S, writer.write, self._extra
                )
            return
        if request.connection == 0 and number == 1 and self._is_in_place:
            writer.write(self._extra)
        if request.path == GRANT_PATH:
            await asyncio.sleep(EXTRA_DELAY_S)
            writer.write(CONFIRMATION)
            return
        await asyncio.sleep(WORK_S)
        self.ended += 1
        writer.write(RELEASED)


async def _release_after_extra(
    extra: bytes, first: bytes = CONFIRMATION, is_in_place: bool = False
) -> list[str]:
    """Return what is wrong with a release after a grant and an extra response."""
    server = ExtraResponses(extra, first, is_in_place)
    commands = PlatformCommands()
    async with raw_server(server.respond) as raw:
        entry = backend(1, host=HOST, port=raw.port)
        if first == CONFIRMATION:
            await commands.grant(entry, 0, 9, 1, 1000.0, None, lambda: True)
        else:
            await commands.release(entry, 10, 19, 2, lambda: True)
        await asyncio.sleep(2 * EXTRA_DELAY_S)
        result = await commands.release(entry, 0, 9, 2, lambda: True)
        ended = server.ended
    await commands.close()
    if isinstance(result, Success) and not ended:
        return [f"{extra!r} confirmed a release (in place: {is_in_place})"]
    if result != Success(TOKEN):
        return [f"{extra!r} gave {result} (in place: {is_in_place})"]
    return []


async def _grant_after_extra(extra: bytes, is_in_place: bool) -> list[str]:
    """Return what is wrong with a renewal after a grant and an extra response."""
    server = ExtraResponses(extra, CONFIRMATION, is_in_place)
    commands = PlatformCommands()
    async with raw_server(server.respond) as raw:
        entry = backend(1, host=HOST, port=raw.port)
        for _ in range(2):
            result = await commands.grant(entry, 0, 9, 1, 1000.0, None, lambda: True)
            await asyncio.sleep(2 * EXTRA_DELAY_S)
    await commands.close()
    if isinstance(result, Success):
        return []
    return [f"{extra!r} gave {result} (in place: {is_in_place})"]


@async_test
async def test_bytes_on_an_idle_connection_are_no_response_to_a_release() -> None:
    """Guards against keys that are granted on while their owner works on them."""
    errors = []
    for extra in (CONFIRMATION, RELEASED_EARLIER, REFUSED, *MISDIRECTED, *OPENINGS):
        errors += await _release_after_extra(extra)
    assert not errors, "\n".join(errors)


@async_test
async def test_a_response_in_place_of_that_to_a_release_does_not_confirm_it() -> None:
    """Guards against keys that are granted on while their owner works on them."""
    errors = []
    for extra in (CONFIRMATION, REFUSED, *MISDIRECTED):
        errors += await _release_after_extra(extra, is_in_place=True)
    errors += await _release_after_extra(
        RELEASED_EARLIER, first=RELEASED_EARLIER, is_in_place=True
    )
    assert not errors, "\n".join(errors)


@async_test
async def test_a_response_to_another_command_does_not_end_the_owner() -> None:
    """Guards against a second owner after a refusal that belongs to another command."""
    errors = []
    for extra in MISDIRECTED:
        for is_in_place in (False, True):
            errors += await _grant_after_extra(extra, is_in_place)
    assert not errors, "\n".join(errors)


@async_test
async def test_a_refusal_under_the_name_of_the_owner_does_not_end_it() -> None:
    """Guards against a second owner after a refusal of a server that starts or ends."""
    for status in ("400 Bad Request", "404 Not Found", "421 Misdirected Request"):
        response = f"HTTP/1.1 {status}\r\n{HEADERS.server}: server-1\r\n"

        async def respond(
            request: RawRequest, writer: asyncio.StreamWriter, head: str = response
        ) -> None:
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())

        commands = PlatformCommands()
        async with raw_server(respond) as raw:
            entry = backend(1, host=HOST, port=raw.port)
            granted = await commands.grant(entry, 0, 9, 1, 1000.0, None, lambda: True)
            released = await commands.release(entry, 0, 9, 2, lambda: True)
        await commands.close()
        for result in (granted, released):
            assert isinstance(result.failure(), CommandRefused), (status, result)


@async_test
async def test_a_probe_is_not_answered_by_a_response_to_a_grant() -> None:
    """Guards against grants to a server that does not respond."""
    for is_in_place in (False, True):

        async def respond(
            request: RawRequest,
            writer: asyncio.StreamWriter,
            is_in_place: bool = is_in_place,
        ) -> None:
            if request.path == GRANT_PATH:
                writer.write(CONFIRMATION)
                await asyncio.sleep(EXTRA_DELAY_S)
            if request.connection == 0 and is_in_place == (request.method == "GET"):
                writer.write(CONFIRMATION)

        commands = PlatformCommands()
        async with raw_server(respond) as raw:
            entry = backend(1, host=HOST, port=raw.port)
            await commands.grant(entry, 0, 9, 1, 1000.0, None, lambda: True)
            await asyncio.sleep(2 * EXTRA_DELAY_S)
            result = await commands.probe(entry, "/health")
        await commands.close()
        assert isinstance(result.failure(), CommandUnanswered), is_in_place


@async_test
async def test_a_command_is_not_repeated_after_the_lease_has_ended() -> None:
    """Guards against a grant called unsent that was written, then not repeated."""
    server = ExtraResponses(MISDIRECTED[0], CONFIRMATION, is_in_place=True)
    commands = PlatformCommands()
    async with raw_server(server.respond) as raw:
        entry = backend(1, host=HOST, port=raw.port)
        await commands.grant(entry, 0, 9, 1, 1000.0, None, lambda: True)
        permits = iter((True, False))
        result = await commands.grant(
            entry, 0, 9, 1, 1000.0, None, lambda: next(permits)
        )
        assert len(raw.received) == 2
    await commands.close()
    assert isinstance(result.failure(), CommandUnanswered), result


@async_test
async def test_renewals_and_a_release_share_a_connection() -> None:
    """Guards against a new connection for each command, which a busy server resets."""

    name = f"{HEADERS.server}: server-1\r\n\r\n".encode()
    named = CONFIRMATION[:-2] + name

    async def respond(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(named if request.path == GRANT_PATH else RELEASED)

    commands = PlatformCommands()
    async with raw_server(respond) as raw:
        entry = backend(1, host=HOST, port=raw.port)
        for _ in range(5):
            await commands.grant(entry, 0, 9, 1, 1000.0, None, lambda: True)
        released = await commands.release(entry, 0, 4, 2, lambda: True)
        granted = await commands.grant(entry, 5, 9, 1, 1000.0, None, lambda: True)
        assert released == Success(TOKEN)
        assert isinstance(granted, Success)
        assert raw.connections == 1
    await commands.close()


@async_test
async def test_two_responses_at_once_do_not_confirm_a_release() -> None:
    """Guards against a second response that is received along with the first one."""
    for extra in (CONFIRMATION, RELEASED_EARLIER, *MISDIRECTED, *OPENINGS):

        async def respond(
            request: RawRequest, writer: asyncio.StreamWriter, extra: bytes = extra
        ) -> None:
            if request.path == GRANT_PATH:
                writer.write(CONFIRMATION + extra)
                return
            await asyncio.sleep(EXTRA_DELAY_S)
            writer.write(RELEASED)

        commands = PlatformCommands()
        async with raw_server(respond) as raw:
            entry = backend(1, host=HOST, port=raw.port)
            await commands.grant(entry, 0, 9, 1, 1000.0, None, lambda: True)
            result = await commands.release(entry, 0, 9, 2, lambda: True)
            assert result == Success(TOKEN), (extra, result)
        await commands.close()


CLOSE_DELAY_S = 0.05
"""Time after which a connection that a server ends is noticed."""


class KeptWriters:
    """A server that confirms commands, and whose connections a test can end."""

    def __init__(self) -> None:
        self.writers: dict[int, asyncio.StreamWriter] = {}
        self.is_silent = False

    async def respond(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        """Confirm a command; a release only when its work has ended."""
        self.writers[request.connection] = writer
        if self.is_silent:
            return
        if request.path != GRANT_PATH:
            await asyncio.sleep(WORK_S)
        writer.write(CONFIRMATION if request.path == GRANT_PATH else RELEASED)

    async def end(self, connection: int) -> None:
        """End a connection."""
        self.writers[connection].close()
        await asyncio.sleep(CLOSE_DELAY_S)


async def _grant(commands: PlatformCommands, entry: BackendServer) -> bool:
    """Return whether a grant was confirmed that needs an unbroken continuity."""
    continuity = commands.continuity(entry)
    result = await commands.grant(
        entry, 0, 9, 1, 1000.0, None, lambda: not continuity.is_broken
    )
    return isinstance(result, Success)


async def _connect_twice(commands: PlatformCommands, entry: BackendServer) -> None:
    """Open two connections, of which the first one was used last."""
    release = commands.release(entry, 10, 19, 2, lambda: True)
    releasing = asyncio.ensure_future(release)
    await asyncio.sleep(WORK_S / 2)
    assert await _grant(commands, entry)
    assert await releasing == Success(TOKEN)


@async_test
async def test_a_server_that_ends_its_only_connection_may_have_ended() -> None:
    """Guards against a renewal at an old fence to the next life of a server."""
    for kind in ("ends the connection", "is silent", "restarts"):
        server = KeptWriters()
        commands = PlatformCommands()
        async with raw_server(server.respond) as raw:
            entry = backend(1, host=HOST, port=raw.port)
            for _ in range(3):
                assert await _grant(commands, entry)
            continuity = commands.continuity(entry)
            assert not continuity.is_broken
            if kind == "is silent":
                # The connection of a command without a reply is closed here.
                server.is_silent = True
                assert not await _grant(commands, entry)
                server.is_silent = False
            if kind == "ends the connection":
                await server.end(0)
            if kind == "restarts":
                raw.die()
                await raw.start()
                await asyncio.sleep(CLOSE_DELAY_S)
            assert continuity.is_broken, kind
            assert commands.continuity(entry) is not continuity
            assert await _grant(commands, entry)
            assert not commands.continuity(entry).is_broken
        await commands.close()


@async_test
async def test_a_response_shows_that_a_server_has_not_ended() -> None:
    """Guards against fences that rise whenever a server ends an idle connection."""
    server = KeptWriters()
    commands = PlatformCommands()
    async with raw_server(server.respond) as raw:
        entry = backend(1, host=HOST, port=raw.port)
        await _connect_twice(commands, entry)
        continuity = commands.continuity(entry)
        await server.end(0)
        assert await _grant(commands, entry)
        await _connect_twice(commands, entry)
        assert raw.connections == 3
        assert commands.continuity(entry) is continuity
        assert not continuity.is_broken
    await commands.close()


@async_test
async def test_a_connection_opened_in_doubt_is_no_proof_of_the_process_before() -> None:
    """Guards against a renewal to the next life while a connection seems open."""
    server = KeptWriters()
    commands = PlatformCommands()
    async with raw_server(server.respond) as raw:
        entry = backend(1, host=HOST, port=raw.port)
        await _connect_twice(commands, entry)
        continuity = commands.continuity(entry)
        await server.end(0)
        assert not continuity.is_broken
        release = commands.release(entry, 10, 19, 2, lambda: True)
        releasing = asyncio.ensure_future(release)
        await asyncio.sleep(WORK_S / 2)
        # The other connection is in use, and no response has arrived on it.
        grants = len(raw.received)
        assert not await _grant(commands, entry)
        assert len(raw.received) == grants
        assert continuity.is_broken
        await releasing
    await commands.close()

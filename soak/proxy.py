"""A loopback TCP proxy that delays, silences, resets or refuses connections."""

import asyncio
import contextlib
import socket
import struct
from enum import Enum

CHUNK_BYTES = 65_536
POLL_S = 0.02
"""Period in which a silenced direction is checked for the end of its silence."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which closing a socket resets its connection."""
FILLERS = 2
"""Connections that fill a listener whose backlog is 0."""
HANDLED_S = 0.1
"""Time in which a target handles bytes before their connection is reset."""


class LinkState(Enum):
    """What a link does with bytes to the target and with new connections."""

    OPEN = "open"
    QUEUED = "queued"
    """Bytes wait and arrive in order, after a reset too; connections wait."""
    HUNG = "hung"
    """Bytes of both directions wait, and are lost by a reset; connections wait."""
    REFUSING = "refusing"
    """Open connections go on, new ones are refused."""


class Proxy:
    """Forwards connections to one address; the attributes are faults."""

    def __init__(self, host: str, target_host: str, target_port: int) -> None:
        self._host = host
        self._target = (target_host, target_port)
        self._listener: asyncio.Server | None = None
        self._fillers: list[socket.socket] = []
        """A listener that answers no connection, and connections that fill it."""
        self._writers: set[asyncio.StreamWriter] = set()
        self._link = LinkState.OPEN
        self._is_target_down = False
        self._changes = asyncio.Lock()
        self.port = 0
        self.delay_s = 0.0
        """Delay of each chunk in each direction."""
        self.is_silent_to_target = False
        """Whether bytes to the target are held back until the fault ends."""
        self.is_silent_from_target = False
        """Whether bytes from the target are held back until the fault ends."""
        self.is_refusing = False
        """Whether new connections are reset."""

    async def start(self, port: int = 0) -> None:
        """Listen on a port, or on a free one if it is 0."""
        self._listener = await asyncio.start_server(
            self._serve, self._host, port, backlog=1024
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def set_link(self, link: LinkState) -> None:
        """Change what the link does."""
        self._link = link
        await self._listen_again()

    async def set_target_down(self, is_down: bool) -> None:
        """Refuse new connections while the target is down."""
        self._is_target_down = is_down
        await self._listen_again()

    async def _listen_again(self) -> None:
        """Accept, refuse or ignore new connections, as the state of the link says."""
        async with self._changes:
            self._stop_listening()
            if self._link in (LinkState.QUEUED, LinkState.HUNG):
                self._ignore_connections()
            elif self._link is LinkState.OPEN and not self._is_target_down:
                await self.start(self.port)

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for filler in self._fillers:
            filler.close()
        self._fillers = []

    def _ignore_connections(self) -> None:
        """Listen with a full backlog, so that connections are not established."""
        listener = socket.socket()
        self._fillers = [listener]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._host, self.port))
        listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            self._fillers.append(filler)
            filler.setblocking(False)
            filler.connect_ex((self._host, self.port))

    def reset_connections(self) -> None:
        """Reset all open connections on both sides."""
        for writer in list(self._writers):
            _reset(writer)

    async def close(self) -> None:
        """Stop to listen and reset all connections."""
        self._stop_listening()
        self.reset_connections()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            if self.is_refusing:
                _reset(writer)
                return
            while self.is_silent_to_target:
                await asyncio.sleep(POLL_S)
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            self._writers.add(target_writer)
            await asyncio.gather(
                self._pump(reader, target_writer, is_to_target=True),
                self._pump(target_reader, writer, is_to_target=False),
            )
        except OSError:
            _reset(writer)
            if target_writer is not None:
                _reset(target_writer)
        except asyncio.CancelledError:
            pass
        finally:
            for used in (writer, target_writer):
                if used is not None:
                    self._writers.discard(used)
                    used.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_to_target: bool,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if is_to_target and self._link is LinkState.QUEUED:
                chunk += await self._read_queued(reader)
            await self._wait_while_silent(reader, is_to_target)
            writer.write(chunk)
            await writer.drain()
            if is_to_target and reader.exception() is not None:
                await asyncio.sleep(HANDLED_S)
        await self._wait_while_silent(reader, is_to_target)
        with contextlib.suppress(OSError):
            writer.write_eof()
        if not is_to_target:
            writer.close()

    async def _read_queued(self, reader: asyncio.StreamReader) -> bytes:
        """Return what arrives until the queue ends, or the sender ends before."""
        queued = bytearray()
        while self._link is LinkState.QUEUED:
            if reader.at_eof() or reader.exception() is not None:
                await asyncio.sleep(POLL_S)
                continue
            with contextlib.suppress(TimeoutError, OSError):
                async with asyncio.timeout(POLL_S):
                    queued += await reader.read(CHUNK_BYTES)
        return bytes(queued)

    async def _wait_while_silent(
        self, reader: asyncio.StreamReader, is_to_target: bool
    ) -> None:
        """Wait; raise if the sender reset the connection while the link hung."""
        has_hung = False
        while self._is_silent(is_to_target):
            has_hung = has_hung or self._link is LinkState.HUNG
            await asyncio.sleep(POLL_S)
        error = reader.exception()
        if has_hung and error is not None:
            raise error

    def _is_silent(self, is_to_target: bool) -> bool:
        if self._link is LinkState.HUNG:
            return True
        return self.is_silent_to_target if is_to_target else self.is_silent_from_target


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None:
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()

"""A loopback TCP proxy that delays, silences, resets or refuses connections."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 65_536
POLL_S = 0.02
"""Period in which a silenced direction is checked for the end of its silence."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which closing a socket resets its connection."""


class Proxy:
    """Forwards connections to one address; the attributes are faults."""

    def __init__(self, host: str, target_host: str, target_port: int) -> None:
        self._host = host
        self._target = (target_host, target_port)
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
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

    def reset_connections(self) -> None:
        """Reset all open connections on both sides."""
        for writer in list(self._writers):
            _reset(writer)

    async def close(self) -> None:
        """Stop to listen and reset all connections."""
        if self._listener is not None:
            self._listener.close()
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
            while self._is_silent(is_to_target):
                await asyncio.sleep(POLL_S)
            writer.write(chunk)
            await writer.drain()
        while self._is_silent(is_to_target):
            await asyncio.sleep(POLL_S)
        with contextlib.suppress(OSError):
            writer.write_eof()
        if not is_to_target:
            writer.close()

    def _is_silent(self, is_to_target: bool) -> bool:
        return self.is_silent_to_target if is_to_target else self.is_silent_from_target


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None:
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()

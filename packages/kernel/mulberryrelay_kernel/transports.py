"""Settings of asyncio's transports."""

import asyncio

READ_BYTES = 32_768
"""Bytes read from a connection at once.

A connection whose reading stops may hold this much unparsed; asyncio reads 256 KB.
"""


def limit_reads(transport: asyncio.BaseTransport) -> None:
    """Let a transport read at most ``READ_BYTES`` at once."""
    if hasattr(transport, "max_size"):
        # asyncio has no public way to set it; uvloop has no such bound.
        transport.max_size = READ_BYTES

"""Encodes relayed requests and responses in pieces, so that bodies are not copied.

The pieces together are the MessagePack encoding of the message, an array of its fields.
The formats are those of the MessagePack specification.
"""

from collections.abc import AsyncIterator

import msgspec

from .messages import RelayedRequest, RelayedResponse

PIECE_BYTES = 65_536
"""Length of the pieces of the body."""
FIXARRAY = 0x90
"""First byte of an array, with the number of its items in the lower half."""
BINARY_8, BINARY_16, BINARY_32 = b"\xc4", b"\xc5", b"\xc6"
"""First byte of binary data whose length has 1, 2 or 4 bytes."""


class EncodedRelay:
    """The encoding of one relayed request, or of the response to it."""

    def __init__(self, message: RelayedRequest | RelayedResponse) -> None:
        body_index = message.__struct_fields__.index("body")
        fields = msgspec.structs.astuple(message)
        start = [bytes([FIXARRAY | len(fields)])]
        start += [msgspec.msgpack.encode(field) for field in fields[:body_index]]
        end = [msgspec.msgpack.encode(field) for field in fields[body_index + 1 :]]
        self._start = b"".join(start) + _binary_start(len(message.body))
        self._body = memoryview(message.body)
        self._end = b"".join(end)

    @property
    def length(self) -> int:
        """Number of bytes of all pieces."""
        return len(self._start) + len(self._body) + len(self._end)

    @property
    def is_short(self) -> bool:
        """Whether it may be sent as a whole."""
        return len(self._body) <= PIECE_BYTES

    def whole(self) -> bytes:
        """Return all pieces together."""
        return b"".join((self._start, self._body, self._end))

    async def pieces(self) -> AsyncIterator[bytes | memoryview]:
        """Yield the pieces in order."""
        yield self._start
        for start in range(0, len(self._body), PIECE_BYTES):
            yield self._body[start : start + PIECE_BYTES]
        yield self._end


def _binary_start(length: int) -> bytes:
    """Return what stands before binary data of a length."""
    if length < 1 << 8:
        return BINARY_8 + length.to_bytes(1, "big")
    if length < 1 << 16:
        return BINARY_16 + length.to_bytes(2, "big")
    return BINARY_32 + length.to_bytes(4, "big")

"""Encodes a relayed request in pieces, so that its body is not copied.

The pieces together are the MessagePack encoding of ``RelayedRequest``, an array of its
fields. The formats are those of the MessagePack specification.
"""

from collections.abc import AsyncIterator

import msgspec

from .messages import RelayedRequest

PIECE_BYTES = 65_536
"""Length of the pieces of the body."""
FIXARRAY = 0x90
"""First byte of an array, with the number of its items in the lower half."""
BINARY_8, BINARY_16, BINARY_32 = b"\xc4", b"\xc5", b"\xc6"
"""First byte of binary data whose length has 1, 2 or 4 bytes."""
BODY_INDEX = RelayedRequest.__struct_fields__.index("body")


class EncodedRelay:
    """The encoding of one relayed request."""

    def __init__(self, request: RelayedRequest) -> None:
        fields = msgspec.structs.astuple(request)
        start = [bytes([FIXARRAY | len(fields)])]
        start += [msgspec.msgpack.encode(field) for field in fields[:BODY_INDEX]]
        end = [msgspec.msgpack.encode(field) for field in fields[BODY_INDEX + 1 :]]
        self._start = b"".join(start) + _binary_start(len(request.body))
        self._body = memoryview(request.body)
        self._end = b"".join(end)

    @property
    def length(self) -> int:
        """Number of bytes of all pieces."""
        return len(self._start) + len(self._body) + len(self._end)

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

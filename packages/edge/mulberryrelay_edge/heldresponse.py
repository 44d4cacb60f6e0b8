"""Writes a long response that is held as a whole, as fast as its caller reads it."""

import weakref
from typing import Any

from aiohttp import web

from mulberryrelay_router.serverconnection import ResponseHold

PIECE_BYTES = 16_384
"""Length of the pieces in which a body is written.

Written at once, aiohttp would copy it behind its head, and asyncio what is not sent.
"""


class HeldResponse(web.Response):
    """A response whose body counts as held until it is written."""

    def __init__(self, hold: ResponseHold, body: bytes, **options: Any) -> None:
        super().__init__(body=body, **options)
        self._hold = hold
        # If the caller has left, the response is never written.
        weakref.finalize(self, hold.close)

    async def write_eof(self, data: bytes = b"") -> None:
        try:
            assert isinstance(self.body, bytes)
            body = memoryview(self.body)
            for start in range(0, len(body), PIECE_BYTES):
                await self.write(body[start : start + PIECE_BYTES])
            # That of ``web.Response`` would write the body once more.
            await web.StreamResponse.write_eof(self)
        finally:
            self._hold.close()
            # aiohttp keeps the last response of each open connection.
            self._body = None

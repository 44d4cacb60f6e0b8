"""HTTP client sessions for periodic calls to the platform, servers and the leader.

The responses to these calls are read with a limit, since a faulty peer may send a body
without end.
"""

import aiohttp

# Headers that aiohttp adds to each request by default. No recipient reads them, and
# with a call every 100 ms or 150 ms to each peer they are a large part of the bytes
# sent.
UNUSED_HEADERS = frozenset({"Accept", "Accept-Encoding", "User-Agent"})
READ_AHEAD_BYTES = 65_536
"""Half of the bytes of a response that are read before they are asked for."""


def create_client_session(
    connector: aiohttp.TCPConnector | None = None,
    timeout: aiohttp.ClientTimeout | None = None,
    headers: dict[str, str] | None = None,
    read_ahead_bytes: int = READ_AHEAD_BYTES,
) -> aiohttp.ClientSession:
    """Return a client session that sends no cookies and no unused default headers.

    Responses are not decompressed: no recipient is asked to compress them, and a small
    compressed body may be very large. Up to twice ``read_ahead_bytes`` of each are read
    before they are asked for.
    """
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout or aiohttp.ClientTimeout(),
        headers=headers,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=UNUSED_HEADERS,
        auto_decompress=False,
        read_bufsize=read_ahead_bytes,
    )


class ResponseTooLongError(aiohttp.ClientPayloadError):
    """A peer sent more than a response may have."""


class InvalidStatusError(aiohttp.ClientPayloadError):
    """A peer sent a status that no response may have, RFC 9110 section 15."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of a response.

    Raises:
        ResponseTooLongError: it has more than ``max_bytes``; the connection is closed.
        aiohttp.ClientError: the connection broke.
    """
    chunks: list[bytes] = []
    length = 0
    while chunk := await response.content.readany():
        length += len(chunk)
        if length > max_bytes:
            response.close()
            raise ResponseTooLongError(f"a body of more than {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)

"""HTTP client sessions for periodic calls to the platform, servers and the leader."""

import aiohttp

# Headers that aiohttp adds to each request by default. No recipient reads them, and
# with a call every 100 ms or 150 ms to each peer they are a large part of the bytes
# sent.
UNUSED_HEADERS = frozenset({"Accept", "Accept-Encoding", "User-Agent"})


def create_client_session(
    connector: aiohttp.TCPConnector | None = None,
    timeout: aiohttp.ClientTimeout | None = None,
    headers: dict[str, str] | None = None,
) -> aiohttp.ClientSession:
    """Return a client session that sends no cookies and no unused default headers."""
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout or aiohttp.ClientTimeout(),
        headers=headers,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=UNUSED_HEADERS,
    )

"""Settings of the HTTP clients for periodic calls to the platform and to servers."""

import aiohttp

# aiohttp would add these to each call. Nothing reads them, and with a call every 100 ms
# or 150 ms to each peer they are a large part of the bytes sent.
UNUSED_HEADERS = frozenset({"Accept", "Accept-Encoding", "User-Agent"})


def periodic_session(
    connector: aiohttp.TCPConnector | None = None,
    timeout: aiohttp.ClientTimeout | None = None,
    headers: dict[str, str] | None = None,
) -> aiohttp.ClientSession:
    """Return a session without cookies and without headers that nothing reads."""
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout or aiohttp.ClientTimeout(),
        headers=headers,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=UNUSED_HEADERS,
    )

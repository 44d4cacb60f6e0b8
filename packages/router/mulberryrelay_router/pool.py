"""HTTP connections to backend servers."""

import aiohttp

CONNECT_TIMEOUT_S = 0.5
KEEPALIVE_S = 30.0


def open_pool(connections_per_server: int) -> aiohttp.ClientSession:
    """Return a session that reuses connections.

    Answers are passed on as they are: no decompression, redirects or cookies. Each
    attempt sets its own timeout.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=connections_per_server,
        keepalive_timeout=KEEPALIVE_S,
        use_dns_cache=False,
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
    )

"""Passes calls for the leader on, for routers whose data centre does not reach it.

The caller names the leader, and only calls to the leader that this router knows are
passed on, directly: a call is never relayed twice. The replies state times relative to
the arrival of the call at the leader, which is after it was sent, so their age is kept.
"""

from collections.abc import Awaitable, Callable

from mulberryrelay_kernel.logs import log_event

from .messages import LeaderNoticeRow

MAX_CALLS = 64
"""Calls that are passed on at a time; a waiting report is one of them."""

CallLeader = Callable[[str, str, bytes], Awaitable[bytes | None]]
"""Posts a body to a path at the leader's URL; returns None without a reply."""


class LeaderProxy:
    """Calls of other routers to the leader."""

    def __init__(
        self,
        leader_notice: Callable[[], LeaderNoticeRow | None],
        is_unreached: Callable[[str], bool],
        call: CallLeader,
    ) -> None:
        """``is_unreached`` returns whether a leader's URL is not reached from here."""
        self._leader_notice = leader_notice
        self._is_unreached = is_unreached
        self._call = call
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls that are being passed on."""
        return self._calls

    async def forward(self, leader_url: str, path: str, body: bytes) -> bytes | None:
        """Return the leader's reply to a call; None if there is none.

        ``leader_url`` is the leader's URL as the caller knows it.
        """
        notice = self._leader_notice()
        if notice is None or not notice.boot_id or notice.link_url != leader_url:
            return None
        if self._is_unreached(leader_url):
            return None
        if self._calls >= MAX_CALLS:
            log_event("leader_calls_full", path=path)
            return None
        self._calls += 1
        try:
            return await self._call(leader_url, path, body)
        finally:
            self._calls -= 1


async def no_proxy(leader_url: str, path: str, body: bytes) -> bytes | None:
    """Pass no call on."""
    return None

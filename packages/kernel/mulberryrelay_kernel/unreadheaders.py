"""Logs headers of responses that this process does not read.

A platform that is newer than the router may state things in headers that the router
ignores. One log line for each such header shows it.
"""

from collections.abc import Iterable, Mapping

from .logs import log_event

STANDARD_HEADERS = (
    "Connection",
    "Content-Encoding",
    "Content-Length",
    "Content-Type",
    "Date",
    "Keep-Alive",
    "Retry-After",
    "Server",
    "Transfer-Encoding",
)
MAX_NAMES = 64
"""Header names that are remembered; further ones are not logged."""
MAX_LOGGED_LENGTH = 64
"""Characters of a name or value in a log line."""


class UnreadHeaders:
    """The header names seen in responses of one kind of sender."""

    def __init__(self, sender: str, read: Iterable[str]) -> None:
        """``read`` are the names that the process reads, beside the standard ones."""
        self._sender = sender
        self._read = {name.lower() for name in (*STANDARD_HEADERS, *read)}
        self._seen: set[str] = set()

    def log_new(self, headers: Mapping[str, str], sender_id: str) -> None:
        """Log each header that is not read and was not seen before."""
        for name, value in headers.items():
            if name in self._seen or len(self._seen) >= MAX_NAMES:
                continue
            self._seen.add(name)
            if name.lower() in self._read:
                continue
            log_event(
                "response_header_unread",
                sender=self._sender,
                sender_id=sender_id,
                name=name[:MAX_LOGGED_LENGTH],
                value=value[:MAX_LOGGED_LENGTH],
            )

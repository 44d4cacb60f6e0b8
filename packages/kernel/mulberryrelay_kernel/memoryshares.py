"""Shares of a process's memory, of which one may lend to another.

Each kind of holder has a share: bodies of requests, responses, and connections of
callers. A single body that is longer than the share of all bodies borrows from the
others while it is held. These drop what they hold beyond the rest.
"""

MIN_KEPT_SHARE = 0.0625
"""Part of a share that is not lent, so that ordinary small requests are served."""


def kept_bytes(share_bytes: float, lent_bytes: float) -> float:
    """Return what is left of a share of which a number of bytes is asked for."""
    return max(share_bytes - lent_bytes, MIN_KEPT_SHARE * share_bytes)

"""Pure functions that edit the range map of one service.

An edit gets ranges that cover all keys without gaps and returns such ranges.
"""

from collections.abc import Callable, Sequence

import msgspec

from mulberryrelay_kernel.ids import ServerId

from .messages import LAST_KEY, BackendServer, KeyRange

Ranges = tuple[KeyRange, ...]
Edit = Callable[[Ranges], Ranges]

FIRST_FENCE = 1
"""Fencing token of a range at the initial assignment."""
RELEASE_STEP = 1
"""Added to a range's fencing token for the command that releases it from its owner."""
GRANT_STEP = 2
"""Added to a range's fencing token for the grant to its next owner."""
REFENCE_STEP = 10
"""Raises a fencing token above those of commands that may have got no reply."""
NOBODY = ServerId("")
"""Id in place of a server that is unknown or does not exist."""
LARGEST_MAP = 700
"""Maximum number of ranges of a service.

The row with all ranges, at most 90 bytes each, has to fit into 64 KB.
"""


class Piece(msgspec.Struct, frozen=True):
    """A planned move of keys, both ends included, to another server."""

    first: int
    last: int
    to: BackendServer


def divide(servers: Sequence[BackendServer]) -> Ranges:
    """Return the key space split into equal ranges, one for each server.

    Servers beyond ``MAX_RANGES`` get no range here; they get keys by rebalancing as
    soon as there is load.
    """
    servers = servers[:LARGEST_MAP]
    ranges = []
    count = len(servers)
    for index, server in enumerate(servers):
        first = index * (LAST_KEY + 1) // count
        last = (index + 1) * (LAST_KEY + 1) // count - 1
        ranges.append(KeyRange(first, last, server.server, server.born_ms, FIRST_FENCE))
    return tuple(ranges)


def begin_moves(pieces: Sequence[Piece]) -> Edit:
    """Return an edit that marks keys as moving, and splits ranges where needed.

    Keys that are already moving, or owned by the destination, are not changed.
    """

    def edit(ranges: Ranges) -> Ranges:
        for piece in pieces:
            ranges = _begin_move(ranges, piece)
        return ranges

    return edit


def _begin_move(ranges: Ranges, piece: Piece) -> Ranges:
    edited: list[KeyRange] = []
    for part in ranges:
        is_outside = part.last < piece.first or part.first > piece.last
        if is_outside or part.is_moving or part.is_held_by(piece.to):
            edited.append(part)
            continue
        first = max(part.first, piece.first)
        last = min(part.last, piece.last)
        if part.first < first:
            edited.append(_resized(part, part.first, first - 1))
        edited.append(
            msgspec.structs.replace(
                part,
                first=first,
                last=last,
                next_owner=piece.to.server,
                next_born_ms=piece.to.born_ms,
            )
        )
        if last < part.last:
            edited.append(_resized(part, last + 1, part.last))
    return tuple(edited)


def complete_move(moved: KeyRange) -> Edit:
    """Return an edit that makes the next owner of a moving range its owner."""
    done = KeyRange(
        moved.first,
        moved.last,
        moved.next_owner,
        moved.next_born_ms,
        moved.fence + GRANT_STEP,
    )
    return replace_range(moved, done)


def raise_fence(part: KeyRange) -> Edit:
    """Return an edit that raises a range's fencing token above all earlier commands."""
    return replace_range(part, _raised(part))


def raise_fences_of(owner: ServerId, born_ms: int) -> Edit:
    """Return an edit that raises the fencing tokens of all ranges of an incarnation."""

    def edit(ranges: Ranges) -> Ranges:
        return tuple(
            _raised(part)
            if part.owner == owner and part.owner_born_ms == born_ms
            else part
            for part in ranges
        )

    return edit


def raise_all_fences(ranges: Ranges) -> Ranges:
    """Return the ranges with fencing tokens above those of any earlier leader."""
    return tuple(_raised(part) for part in ranges)


def replace_range(old: KeyRange, new: KeyRange) -> Edit:
    """Return an edit that replaces a range if it has not changed meanwhile."""

    def edit(ranges: Ranges) -> Ranges:
        return tuple(new if part == old else part for part in ranges)

    return edit


def merge_neighbours(most: int) -> Edit:
    """Return an edit that merges adjacent ranges of one owner that are not moving.

    It does at most ``max_merges`` merges. A merged range has a higher fencing token
    than the ranges it replaces, so it has to be granted to its owner again.
    """

    def edit(ranges: Ranges) -> Ranges:
        merged: list[KeyRange] = []
        joins = 0
        for part in ranges:
            previous = merged[-1] if merged else None
            if previous is None or joins >= most or not _can_join(previous, part):
                merged.append(part)
                continue
            joins += 1
            merged[-1] = msgspec.structs.replace(
                previous,
                last=part.last,
                fence=max(previous.fence, part.fence) + GRANT_STEP,
            )
        return tuple(merged)

    return edit


def changed_ranges(old: Ranges, new: Ranges) -> Ranges:
    """Return the ranges of ``new`` that are not in ``old``."""
    known = set(old)
    return tuple(part for part in new if part not in known)


def patch_ranges(old: Ranges, changed: Ranges) -> Ranges:
    """Return the old ranges with those that ``changed`` overlaps replaced by it."""
    patched: list[KeyRange] = list(changed)
    kept = iter(changed)
    cover = next(kept, None)
    for part in old:
        while cover is not None and cover.last < part.first:
            cover = next(kept, None)
        if cover is None or cover.first > part.last:
            patched.append(part)
    return tuple(sorted(patched, key=lambda part: part.first))


def is_whole(ranges: Ranges) -> bool:
    """Return whether the ranges cover all keys in order, without gaps."""
    first = 0
    for part in ranges:
        if part.first != first or part.last < first:
            return False
        first = part.last + 1
    return first == LAST_KEY + 1


def _raised(part: KeyRange) -> KeyRange:
    return msgspec.structs.replace(part, fence=part.fence + REFENCE_STEP)


def _can_join(left: KeyRange, right: KeyRange) -> bool:
    return (
        not left.is_moving
        and not right.is_moving
        and bool(left.owner)
        and left.owner == right.owner
        and left.owner_born_ms == right.owner_born_ms
    )


def _resized(part: KeyRange, first: int, last: int) -> KeyRange:
    return msgspec.structs.replace(part, first=first, last=last)

"""Edits of the ranges of one service; each returns new ranges without gaps."""

from collections.abc import Callable, Sequence

import msgspec

from mulberryrelay_kernel.ids import ServerId

from .messages import LAST_KEY, BackendServer, KeyRange

Ranges = tuple[KeyRange, ...]
Edit = Callable[[Ranges], Ranges]

FIRST_FENCE = 1
RELEASE_STEP = 1
GRANT_STEP = 2
REFENCE_STEP = 10
"""Raises a fence over those that orders without an answer may have used."""
NOBODY = ServerId("")
LARGEST_MAP = 700
"""Ranges of a service; their row of at most 90 bytes each has to fit into 64 KB."""


class Piece(msgspec.Struct, frozen=True):
    """Keys that are to move to another server."""

    first: int
    last: int
    to: BackendServer


def divide(servers: Sequence[BackendServer]) -> Ranges:
    """Return the whole key space in equal parts, one for each server.

    Further servers get keys as soon as there is load.
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
    """Return an edit that marks pieces as moving, splitting ranges where needed.

    Keys that move already, or belong to the target, are left as they are.
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
    """Return an edit that raises the fence of a range over all earlier orders."""
    return replace_range(part, _raised(part))


def raise_fences_of(owner: ServerId, born_ms: int) -> Edit:
    """Return an edit that raises the fences of all ranges of one life of a server."""

    def edit(ranges: Ranges) -> Ranges:
        return tuple(
            _raised(part)
            if part.owner == owner and part.owner_born_ms == born_ms
            else part
            for part in ranges
        )

    return edit


def raise_all_fences(ranges: Ranges) -> Ranges:
    """Raise all fences over those of orders under any earlier leader."""
    return tuple(_raised(part) for part in ranges)


def replace_range(old: KeyRange, new: KeyRange) -> Edit:
    """Return an edit that replaces a range if it is still as it was."""

    def edit(ranges: Ranges) -> Ranges:
        return tuple(new if part == old else part for part in ranges)

    return edit


def merge_neighbours(most: int) -> Edit:
    """Return an edit that joins settled neighbours of one owner.

    At most ``most`` joins; each result has a higher fence than its parts, so its owner
    has to be granted it again.
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
    """Return the new ranges that the old ones do not have."""
    known = set(old)
    return tuple(part for part in new if part not in known)


def patch_ranges(old: Ranges, changed: Ranges) -> Ranges:
    """Return the ranges to which the old ones were changed."""
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
    """Return whether ranges cover all keys in order, without gaps."""
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

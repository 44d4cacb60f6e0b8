"""Pure functions that edit the range map of one service.

An edit gets ranges that cover all keys without gaps and returns such ranges.
"""

from collections.abc import Callable, Sequence

import msgspec

from mulberryrelay_kernel.ids import ServerId

from .messages import LAST_KEY, BackendServer, KeyRange

Ranges = tuple[KeyRange, ...]
"""All ranges of a service, in key order and without gaps."""
Edit = Callable[[Ranges], Ranges]
"""Returns edited ranges; may be applied again to newer ranges after a conflict."""

FIRST_FENCE = 1
"""Fencing token of a range at the initial assignment."""
RELEASE_STEP = 1
"""Added to a range's fencing token for the command that releases it from its owner."""
GRANT_STEP = 2
"""Added to a range's fencing token for the grant to its next owner."""
FENCE_RAISE_STEP = 10
"""Raises a fencing token above those of commands that may have got no reply."""
FENCES_PER_RESTORE = 1_000_000
"""Fencing tokens that a range may use up between two restores of the store."""
NO_SERVER = ServerId("")
"""Id in place of a server that is unknown or does not exist."""
MAX_RANGES = 700
"""Maximum number of ranges of a service.

The row with all ranges, at most 90 bytes each, has to fit into 64 KB.
"""


class PlannedMove(msgspec.Struct, frozen=True):
    """A planned move of keys, both ends included, to another server."""

    first: int
    last: int
    destination: BackendServer


def initial_assignment(
    servers: Sequence[BackendServer], fence: int = FIRST_FENCE
) -> Ranges:
    """Return the key space split into equal ranges, one for each server.

    Servers beyond ``MAX_RANGES`` get no range here; they get keys by rebalancing as
    soon as there is load.
    """
    servers = servers[:MAX_RANGES]
    ranges = []
    count = len(servers)
    for index, server in enumerate(servers):
        first = index * (LAST_KEY + 1) // count
        last = (index + 1) * (LAST_KEY + 1) // count - 1
        ranges.append(KeyRange(first, last, server.server, server.started_ms, fence))
    return tuple(ranges)


def first_fence(restores: int) -> int:
    """Return a fencing token above all that were used before the last restore."""
    return restores * FENCES_PER_RESTORE + FIRST_FENCE


def replace_after_restore(known: Ranges, restores: int) -> Edit:
    """Return an edit that replaces outdated ranges by the last ones that are known.

    Fencing tokens are raised above those of lost ranges. If no ranges are known, the
    outdated ones stay.
    """

    def edit(ranges: Ranges) -> Ranges:
        return tuple(
            msgspec.structs.replace(
                key_range,
                fence=max(key_range.fence + FENCE_RAISE_STEP, first_fence(restores)),
            )
            for key_range in known or ranges
        )

    return edit


def begin_moves(moves: Sequence[PlannedMove]) -> Edit:
    """Return an edit that marks keys as moving, and splits ranges where needed.

    Keys that are already moving, or owned by the destination, are not changed.
    """

    def edit(ranges: Ranges) -> Ranges:
        for move in moves:
            ranges = _begin_move(ranges, move)
        return ranges

    return edit


def _begin_move(ranges: Ranges, move: PlannedMove) -> Ranges:
    edited: list[KeyRange] = []
    for key_range in ranges:
        is_outside = key_range.last < move.first or key_range.first > move.last
        if is_outside or key_range.is_moving or key_range.is_owned_by(move.destination):
            edited.append(key_range)
            continue
        first = max(key_range.first, move.first)
        last = min(key_range.last, move.last)
        if key_range.first < first:
            edited.append(_resized(key_range, key_range.first, first - 1))
        edited.append(
            msgspec.structs.replace(
                key_range,
                first=first,
                last=last,
                next_owner=move.destination.server,
                next_started_ms=move.destination.started_ms,
            )
        )
        if last < key_range.last:
            edited.append(_resized(key_range, last + 1, key_range.last))
    return tuple(edited)


def complete_move(moved: KeyRange) -> Edit:
    """Return an edit that makes the next owner of a moving range its owner."""
    done = KeyRange(
        moved.first,
        moved.last,
        moved.next_owner,
        moved.next_started_ms,
        moved.fence + GRANT_STEP,
    )
    return replace_range(moved, done)


def raise_fence(key_range: KeyRange) -> Edit:
    """Return an edit that raises a range's fencing token above all earlier commands."""
    return replace_range(key_range, _with_raised_fence(key_range))


def raise_fences_of_incarnation(owner: ServerId, started_ms: int) -> Edit:
    """Return an edit that raises the fencing tokens of all ranges of an incarnation."""

    def edit(ranges: Ranges) -> Ranges:
        return tuple(
            _with_raised_fence(key_range)
            if key_range.owner == owner and key_range.owner_started_ms == started_ms
            else key_range
            for key_range in ranges
        )

    return edit


def raise_all_fences(ranges: Ranges) -> Ranges:
    """Return the ranges with fencing tokens above those of any earlier leader."""
    return tuple(_with_raised_fence(key_range) for key_range in ranges)


def replace_range(old: KeyRange, new: KeyRange) -> Edit:
    """Return an edit that replaces a range if it has not changed meanwhile."""

    def edit(ranges: Ranges) -> Ranges:
        return tuple(new if key_range == old else key_range for key_range in ranges)

    return edit


def merge_adjacent_ranges(max_merges: int) -> Edit:
    """Return an edit that merges adjacent ranges of one owner that are not moving.

    It does at most ``max_merges`` merges. A merged range has a higher fencing token
    than the ranges it replaces, so it has to be granted to its owner again.
    """

    def edit(ranges: Ranges) -> Ranges:
        merged: list[KeyRange] = []
        merges = 0
        for key_range in ranges:
            previous = merged[-1] if merged else None
            if (
                previous is None
                or merges >= max_merges
                or not _can_merge(previous, key_range)
            ):
                merged.append(key_range)
                continue
            merges += 1
            merged[-1] = msgspec.structs.replace(
                previous,
                last=key_range.last,
                fence=max(previous.fence, key_range.fence) + GRANT_STEP,
            )
        return tuple(merged)

    return edit


def changed_ranges(old: Ranges, new: Ranges) -> Ranges:
    """Return the ranges of ``new`` that are not in ``old``."""
    old_ranges = set(old)
    return tuple(key_range for key_range in new if key_range not in old_ranges)


def patch_ranges(old: Ranges, changed: Ranges) -> Ranges:
    """Return the old ranges with those that ``changed`` overlaps replaced by it."""
    patched: list[KeyRange] = list(changed)
    replacements = iter(changed)
    replacement = next(replacements, None)
    for key_range in old:
        while replacement is not None and replacement.last < key_range.first:
            replacement = next(replacements, None)
        if replacement is None or replacement.first > key_range.last:
            patched.append(key_range)
    return tuple(sorted(patched, key=lambda key_range: key_range.first))


def covers_all_keys(ranges: Ranges) -> bool:
    """Return whether the ranges cover all keys in order, without gaps."""
    first = 0
    for key_range in ranges:
        if key_range.first != first or key_range.last < first:
            return False
        first = key_range.last + 1
    return first == LAST_KEY + 1


def _with_raised_fence(key_range: KeyRange) -> KeyRange:
    return msgspec.structs.replace(key_range, fence=key_range.fence + FENCE_RAISE_STEP)


def _can_merge(left: KeyRange, right: KeyRange) -> bool:
    return (
        not left.is_moving
        and not right.is_moving
        and bool(left.owner)
        and left.owner == right.owner
        and left.owner_started_ms == right.owner_started_ms
    )


def _resized(key_range: KeyRange, first: int, last: int) -> KeyRange:
    return msgspec.structs.replace(key_range, first=first, last=last)

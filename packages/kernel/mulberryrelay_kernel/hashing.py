"""Maps keys to ranges, builds unit ids and computes digests.

A service's keys are hashed into a fixed number of ranges. A *unit* is what a backend
server owns: one range, or one key that is assigned separately from its range (an
override). Unit ids are ``r<index>`` and ``k:<key>``.
"""

from collections.abc import Mapping, Sequence

import msgspec
import xxhash

from .ids import Epoch, Fingerprint, Key, UnitId

RANGE_PREFIX = "r"
OVERRIDE_PREFIX = "k:"


def range_index(key: Key, ranges: int) -> int:
    """Return the index of the range, 0 to ``ranges`` - 1, that contains ``key``."""
    return xxhash.xxh3_64_intdigest(key.encode()) % ranges


def range_unit(index: int) -> UnitId:
    """Return the unit id of the range with this index."""
    return UnitId(f"{RANGE_PREFIX}{index}")


def override_unit(key: Key) -> UnitId:
    """Return the unit id of a key that is assigned separately from its range."""
    return UnitId(f"{OVERRIDE_PREFIX}{key}")


def is_override(unit: UnitId) -> bool:
    """Return whether the unit is a single key rather than a range."""
    return unit.startswith(OVERRIDE_PREFIX)


def grants_digest(granted: Mapping[UnitId, Epoch]) -> str:
    """Return a digest of granted units and their epochs.

    The coordinator and a server compare digests to detect that their lists differ.
    """
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(sorted(granted.items())))


def request_fingerprint(parts: Sequence[str], body: bytes | bytearray) -> Fingerprint:
    """Return the digest by which equal requests are recognised.

    ``parts`` are the texts that equal requests have in common, in a fixed order.
    """
    digest = xxhash.xxh3_128()
    for part in parts:
        encoded = part.encode(errors="surrogateescape")
        digest.update(b"%d:" % len(encoded))
        digest.update(encoded)
    digest.update(body)
    return Fingerprint(digest.hexdigest())

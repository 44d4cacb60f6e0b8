"""Maps keys to ranges, names the units of ownership and digests lists of grants."""

from collections.abc import Mapping

import msgspec
import xxhash

from .ids import Epoch, Key, UnitId

RANGE_PREFIX = "r"
OVERRIDE_PREFIX = "k:"


def range_index(key: Key, ranges: int) -> int:
    """Return the index of the range, 0 to ``ranges`` - 1, that contains ``key``."""
    return xxhash.xxh3_64_intdigest(key.encode()) % ranges


def range_unit(index: int) -> UnitId:
    """Return the id of the unit of the range with this index."""
    return UnitId(f"{RANGE_PREFIX}{index}")


def override_unit(key: Key) -> UnitId:
    """Return the id of the unit that overrides the range of one key."""
    return UnitId(f"{OVERRIDE_PREFIX}{key}")


def is_override(unit: UnitId) -> bool:
    """Return whether the unit is an override for a single key."""
    return unit.startswith(OVERRIDE_PREFIX)


def grants_digest(granted: Mapping[UnitId, Epoch]) -> str:
    """Return the digest by which a coordinator and a server compare their lists."""
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(sorted(granted.items())))

"""Versions of the store's rows that rise even when the store is restored from a copy.

A restored store has lost its latest writes and gives their versions out again. An
adapter therefore combines how often the store was restored with the store's own
version, so that every row read after a restore is newer than any read before.
"""

VERSIONS_PER_RESTORE = 10**12
"""Versions that the store may give out between two restores."""


def store_version(restores: int, own_version: int) -> int:
    """Return the version for a version that the store itself gave out.

    0, which stands for no row, stays 0.
    """
    if not own_version:
        return 0
    return restores * VERSIONS_PER_RESTORE + own_version


def own_version(version: int) -> int:
    """Return the version that the store itself gave out."""
    return version % VERSIONS_PER_RESTORE


def restores_of(version: int) -> int:
    """Return how often the store had been restored when it gave out a version."""
    return version // VERSIONS_PER_RESTORE

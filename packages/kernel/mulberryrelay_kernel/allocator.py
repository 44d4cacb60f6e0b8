"""Settings of the C library's memory allocator.

By default glibc raises the length from which on a buffer gets pages of its own as soon
as such a buffer is freed. Long bodies then grow and end inside the common heap, which
keeps their pages for as long as anything behind them is in use.
"""

import ctypes

from .logs import log_event

MMAP_THRESHOLD_OPTION = -3
"""``M_MMAP_THRESHOLD`` of glibc's ``mallopt``."""
TRIM_THRESHOLD_OPTION = -1
"""``M_TRIM_THRESHOLD`` of glibc's ``mallopt``."""
LONG_BUFFER_BYTES = 262_144
"""Length from which on a buffer gets pages of its own, which are returned with it."""
SPARE_HEAP_BYTES = 1_048_576
"""Free memory at the end of the heap that is kept, to save system calls."""


def return_long_buffers() -> bool:
    """Return the memory of long buffers to the system as soon as they are freed.

    Returns whether the C library has the settings; others than glibc have none.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        log_event("allocator_not_set")
        return False
    is_set = bool(mallopt(MMAP_THRESHOLD_OPTION, LONG_BUFFER_BYTES))
    return bool(mallopt(TRIM_THRESHOLD_OPTION, SPARE_HEAP_BYTES)) and is_set


def return_free_memory() -> None:
    """Return the free pages inside the heap to the system, before a long body."""
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)

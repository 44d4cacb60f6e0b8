"""Use of the work time that a server's machine reports, for the choice of a server.

The figure changes many times a second, so it is used only for a fraction of a second
after the report and enters no average.
"""

import math

NORMAL_PERCENT = 100
"""Work time of a machine without other load."""
HALF_LIFE_MS = 100.0
"""Half-life of a reported deviation from the normal work time."""
MAX_AGE_MS = 300.0
"""Age of a report from which it is ignored."""
MIN_FACTOR = 0.5
MAX_FACTOR = 4.0
"""Bounds of the factor, so that one report cannot outweigh the load of a server."""


def cost_factor(work_percent: int, age_ms: float) -> float:
    """Return the factor on a server's cost for a work time reported ``age_ms`` ago."""
    if age_ms >= MAX_AGE_MS:
        return 1.0
    reported = max(MIN_FACTOR, min(MAX_FACTOR, work_percent / NORMAL_PERCENT))
    return 1.0 + (reported - 1.0) * math.exp2(-max(0.0, age_ms) / HALF_LIFE_MS)

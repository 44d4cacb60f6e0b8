"""Settings of a soak run."""

import msgspec

from .faultkinds import FaultKind

ZONES = ("a", "b", "c")
RECOVERY_S = 15.0
"""Time after the last fault in which the system recovers."""
END_S = 5.0
"""Length of the time at the end of a run in which requests have to be served."""


class SoakOptions(msgspec.Struct, frozen=True):
    """How large a run is and how long it takes; times in seconds."""

    kinds: tuple[FaultKind, ...] = ()
    """Kinds of faults that may happen; all of them if there are none."""
    defect: str = ""
    """Name of a defect that all routers have (``defects.py``); empty for none."""
    network: int = 1
    """First of the numbers n of the addresses 127.0.n.x that routers listen on.

    Runs at the same time need numbers of their own, one for each 200 routers.
    """
    routers: int = 5
    keyed_servers: int = 5
    plain_servers: int = 4
    callers: int = 24
    warm_up_s: float = 8.0
    """Time before the first fault."""
    faults_s: float = 24.0
    """Time in which faults happen."""
    recovery_s: float = RECOVERY_S + END_S
    """Time after the last fault has ended."""

    @property
    def seconds(self) -> float:
        """Length of a run."""
        return self.warm_up_s + self.faults_s + self.recovery_s

"""Check the specification and its seeded faults: ``python -m model [bound]``.

The bound is the maximum number of steps. Exits with status 1 if the specification has a
violation or if a seeded fault has none within the bound.
"""

import sys
import time

from .check import Violation, find_violation
from .spec import Fault

DEFAULT_BOUND = 8
"""Maximum number of steps; every seeded fault leads to a violation within 8."""


def main() -> int:
    """Check every fault and the correct specification; return the exit status."""
    bound = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_BOUND
    unexpected = 0
    for fault in Fault:
        unexpected += (_report(fault, bound, True) is None) != (fault is Fault.NONE)
    unexpected += _report(Fault.NONE, bound, False) is not None
    return 1 if unexpected else 0


def _report(fault: Fault, bound: int, checks_grants: bool) -> Violation | None:
    """Search for a shortest violation and print the result with its trace."""
    started_s = time.monotonic()
    violation = find_violation(fault, bound, checks_grants)
    elapsed_s = time.monotonic() - started_s
    result = violation.invariant if violation else "no violation"
    servers = "check grants" if checks_grants else "do not check grants"
    print(
        f"{fault.name}, servers {servers}: {result}, bound {bound}, {elapsed_s:.1f} s"
    )
    for line in violation.trace if violation else []:
        print(f"    {line}", flush=True)
    return violation


if __name__ == "__main__":
    sys.exit(main())

"""Checks the specification and each seeded fault: ``python -m model [bound]``."""

import sys
import time

from .check import Violation, find_violation
from .spec import Fault

DEFAULT_BOUND = 8


def main() -> int:
    """Print the shortest violation of each fault; the correct one must have none."""
    bound = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_BOUND
    wrong = 0
    for fault in Fault:
        wrong += (_report(fault, bound, True) is None) != (fault is Fault.NONE)
    wrong += _report(Fault.NONE, bound, False) is not None
    return 1 if wrong else 0


def _report(fault: Fault, bound: int, checks_grants: bool) -> Violation | None:
    started_s = time.monotonic()
    violation = find_violation(fault, bound, checks_grants)
    took_s = time.monotonic() - started_s
    found = violation.invariant if violation else "no violation"
    servers = "checking" if checks_grants else "not checking"
    print(f"{fault.name}, servers {servers}: {found}, bound {bound}, {took_s:.1f} s")
    for line in violation.trace if violation else []:
        print(f"    {line}", flush=True)
    return violation


if __name__ == "__main__":
    sys.exit(main())

"""Runs all tests, or those whose names contain one of the arguments.

``KNOWN-RED.txt`` lists tests that are known to fail, each by a line
``test: module.function``. They are run, and their failures are printed but do not make
the run fail.
"""

import sys
import unittest
from pathlib import Path

from . import load_tests

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "


def main() -> int:
    """Run the tests, print the numbers of passed and failed ones; return the status."""
    chosen = unittest.TestSuite()
    for test in load_tests(unittest.defaultTestLoader, unittest.TestSuite(), None):
        if not isinstance(test, unittest.TestCase):
            continue
        if _is_chosen(str(test.shortDescription()), sys.argv[1:]):
            chosen.addTest(test)
    result = unittest.TextTestRunner(sys.stdout, verbosity=2).run(chosen)
    failed_names = {
        str(test.shortDescription()) for test, _ in result.failures + result.errors
    }
    known_failures = failed_names & _known_red()
    for name in sorted(known_failures):
        print(f"known red: {name}")
    failed = len(failed_names - known_failures)
    print(f"{result.testsRun - len(failed_names)} passed, {failed} failed")
    return 1 if failed else 0


def _is_chosen(name: str, patterns: list[str]) -> bool:
    return not patterns or any(pattern in name for pattern in patterns)


def _known_red() -> set[str]:
    """Return the names of the tests that are listed as known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    }


if __name__ == "__main__":
    sys.exit(main())

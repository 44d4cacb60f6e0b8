"""Runs all tests, or those whose names contain one of the arguments.

Tests that ``KNOWN-RED.txt`` lists are run and printed, but do not fail the run. Each of
its entries begins with a line ``test: module.function``.
"""

import sys
import unittest
from pathlib import Path

from . import load_tests

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "


def main() -> int:
    """Run the tests; the last line of output counts them."""
    chosen = unittest.TestSuite()
    for test in load_tests(unittest.defaultTestLoader, unittest.TestSuite(), None):
        if not isinstance(test, unittest.TestCase):
            continue
        if _is_chosen(str(test.shortDescription()), sys.argv[1:]):
            chosen.addTest(test)
    result = unittest.TextTestRunner(sys.stdout, verbosity=2).run(chosen)
    red = {str(test.shortDescription()) for test, _ in result.failures + result.errors}
    known = red & _known_red()
    for name in sorted(known):
        print(f"known red: {name}")
    failed = len(red - known)
    print(f"{result.testsRun - len(red)} passed, {failed} failed")
    return 1 if failed else 0


def _is_chosen(name: str, patterns: list[str]) -> bool:
    return not patterns or any(pattern in name for pattern in patterns)


def _known_red() -> set[str]:
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

"""Tests are functions named ``test_*``; ``python -m tests`` runs them with unittest.

Fixtures are context managers and helper functions in ``tests.fixtures``.
"""

import importlib
import inspect
import os
import pkgutil
import unittest
from collections.abc import Iterator
from types import ModuleType

# By default gRPC prints a line for each closed connection.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")


def load_tests(
    loader: unittest.TestLoader, standard_tests: unittest.TestSuite, pattern: str | None
) -> unittest.TestSuite:
    """Return a suite of all test functions (unittest's ``load_tests`` protocol)."""
    suite = unittest.TestSuite()
    for name, function in test_functions():
        suite.addTest(
            unittest.FunctionTestCase(function, description=f"{name}")  # type: ignore[arg-type]
        )
    return suite


def test_functions() -> Iterator[tuple[str, object]]:
    """Yield each test function with its name ``module.function``, sorted by module."""
    for info in sorted(pkgutil.iter_modules(__path__), key=lambda info: info.name):
        if not info.name.startswith("test_"):
            continue
        yield from _functions_of(importlib.import_module(f"{__name__}.{info.name}"))


def _functions_of(module: ModuleType) -> Iterator[tuple[str, object]]:
    short_name = module.__name__.rpartition(".")[2]
    for name, function in vars(module).items():
        if name.startswith("test_") and inspect.isfunction(function):
            yield f"{short_name}.{name}", function

#!/bin/sh
# Builds the stand-ins of the scripts: they need only the Python standard library.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m py_compile review/harness.py review/*/case.py

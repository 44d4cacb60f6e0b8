#!/bin/sh
# Builds the stand-ins of the scripts, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m py_compile review/harness.py review/*/case.py

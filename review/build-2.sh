#!/bin/bash
# Builds what the scripts of the cases 6 to 10 start beside the router. All stand-ins are
# Python and use the libraries that the build of the deploy file puts into target/deps,
# so this only checks that they can be imported.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/lib2:$PWD/platform:$PWD/packages/kernel:$PWD/packages/control:$PWD/packages/router:$PWD/packages/edge"
exec python3 -c "import stage2, standins.tableserver"

# Runs the case of a folder: bash review/lib2/run.sh FOLDER
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/platform:$PWD/packages/kernel:$PWD/packages/control:$PWD/packages/router:$PWD/packages/edge"
exec python3 "$1/case.py"

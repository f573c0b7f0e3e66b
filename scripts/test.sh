#!/bin/sh
# Runs all behave features; the last line counts the scenarios.
set -eu
cd "$(dirname "$0")/.."
venv="${VENV:-$PWD/.venv}"
if [ ! -x "$venv/bin/behave" ]; then
  python3 -m venv "$venv"
  "$venv/bin/pip" install --quiet --editable '.[test,lint]'
fi
cd tests
exec "$venv/bin/python" -m cluster.run_features "$@"

#!/bin/sh
# Installs the package into a virtual environment and runs a small demo cluster.
set -eu
cd "$(dirname "$0")/.."
venv="${VENV:-$PWD/.venv}"
if [ ! -x "$venv/bin/godwittack" ]; then
  python3 -m venv "$venv"
  "$venv/bin/pip" install --quiet --editable '.[test]'
fi
cd tests
exec "$venv/bin/python" -m cluster.quickstart

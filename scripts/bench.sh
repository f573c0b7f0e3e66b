#!/bin/sh
# Runs a measurement: policy, faults, limits, path, capacity, membership, fleet,
# target, uneven.
set -eu
cd "$(dirname "$0")/.."
venv="${VENV:-$PWD/.venv}"
if [ ! -x "$venv/bin/godwittack" ]; then
  python3 -m venv "$venv"
  "$venv/bin/pip" install --quiet --editable '.[test,lint]'
fi
exec "$venv/bin/python" -m bench "$@"

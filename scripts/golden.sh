#!/bin/sh
# Regenerates the golden sessions and shows the differences; the commit message
# must give the reason for each change.
set -eu
cd "$(dirname "$0")/../tests"
exec "${VENV:-../.venv}/bin/python" -m sim.recordings "$@"

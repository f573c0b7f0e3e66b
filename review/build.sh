#!/bin/sh
# Builds the stand-ins of the scripts: Python sources of review/common and of
# tests/, with the packages that the deploy file's build has installed.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common tests/standins tests/cluster

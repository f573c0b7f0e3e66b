#!/bin/sh
# Builds what the scripts of the second review start: compiles the stand-ins of
# the project and of the review. Needs no network; runs after the deploy file's
# build, whose libraries they use.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q tests/standins tests/cluster review/common2
PYTHONPATH=target/deps:src:tests:review/common2 python3 -c "import lab"

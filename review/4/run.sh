#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it
# couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:tests
exec python3 -P review/4/case.py

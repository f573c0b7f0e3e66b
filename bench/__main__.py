"""Runs the measurement named on the command line."""

from __future__ import annotations

import importlib
import sys

MEASUREMENTS = (
    "capacity",
    "faults",
    "fleet",
    "limits",
    "membership",
    "path",
    "policy",
    "target",
    "uneven",
)


def main() -> int:
    """Runs the measurement; passes it the remaining arguments."""
    if len(sys.argv) < 2 or sys.argv[1] not in MEASUREMENTS:
        print(f"usage: scripts/bench.sh {'|'.join(MEASUREMENTS)} [options]")
        return 2
    module = importlib.import_module(f"bench.{sys.argv[1]}")
    return module.main(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())

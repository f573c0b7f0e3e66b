"""Entry point of the command line."""

from __future__ import annotations

import sys

from godwittack.command import parser


def main() -> None:
    """Runs the command named on the command line and exits with its code."""
    parser.register()
    result = parser.app()
    sys.exit(result if isinstance(result, int) else 0)


__all__ = ["main"]

"""Exit codes of the commands."""

from __future__ import annotations

OK = 0
FAILED = 1
BAD_INPUT = 2
CONFLICT = 3
UNAVAILABLE = 4

__all__ = ["BAD_INPUT", "CONFLICT", "FAILED", "OK", "UNAVAILABLE"]

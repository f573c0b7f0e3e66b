"""How old a daemon's copies of the store's rows may be, for which purpose."""

from __future__ import annotations

# The store's feed may leave changes out for this long, and an answer without
# rows says nothing about them.
FEED_SILENCE_MS = 1_000

__all__ = ["FEED_SILENCE_MS"]

"""Cuts a prompt into nested levels with chained hashes."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import xxhash

from godwittack.core import work

if TYPE_CHECKING:
    from collections.abc import Iterable

BYTES_PER_TOKEN = 4
MAX_LEVELS = 64
# Tokens below which it does not matter where a level is cached: an engine
# computes 157 a millisecond. Most levels are that small, and told between
# daemons they were most of the bytes of news.
SMALL_TOKENS = 256


@functools.lru_cache(maxsize=8_192)
def versioned(key: int, weights_version: str) -> int:
    """Returns a level's key as computed by one version of weights.

    Stores of cached state keep levels over a change of weights. Known by
    the level alone, one of older weights would be taken for a newer one.
    """
    return xxhash.xxh3_64_intdigest(f"{key}/{weights_version}".encode())


def named(owner: str, level: str) -> int:
    """Returns the key of a level that callers name, of an owner's alone."""
    return xxhash.xxh3_64_intdigest(f"{owner}/{level}".encode())


def chain(
    *, workspace: str, target: str, parts: Iterable[bytes]
) -> tuple[work.Level, ...]:
    """Returns a level a part, each hash covering all parts before it.

    The seed holds workspace and model, so that equal prompts of two
    workspaces never share a key. Parts beyond `MAX_LEVELS` are not levels of
    their own: they still count in the last level's tokens and hash.

    Args:
        workspace: Whose prompt it is.
        target: Model name.
        parts: Prompt pieces, outermost first, such as one a message.
    """
    seed = f"{len(workspace)}:{workspace}{target}".encode()
    running = xxhash.xxh3_64(seed)
    levels: list[work.Level] = []
    for part in parts:
        running.update(len(part).to_bytes(8, "little"))
        running.update(part)
        tokens = max(1, len(part) // BYTES_PER_TOKEN)
        if len(levels) == MAX_LEVELS:
            tokens += levels.pop().tokens
        levels.append(work.Level(running.intdigest(), tokens))
    return tuple(levels)


__all__ = ["BYTES_PER_TOKEN", "MAX_LEVELS", "SMALL_TOKENS", "chain", "named"]

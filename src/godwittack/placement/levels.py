"""Splits a prompt into nested levels with chained hashes."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

import xxhash

from godwittack.backend import headers
from godwittack.core import work

if TYPE_CHECKING:
    from collections.abc import Iterable

BYTES_PER_TOKEN = 4
MAX_LEVELS = 64
# Longest name of a part that is kept as its caller wrote it.
MAX_PART_NAME = 32
# Below this many tokens it does not matter where a level is cached: an engine
# computes 157 tokens a millisecond. Most levels are that small; exchanged
# between daemons, they made up most bytes of the peer updates.
SMALL_LEVEL_TOKENS = 256


@functools.lru_cache(maxsize=8_192)
def key_for_weights(key: int, weights_version: str) -> int:
    """Returns the key of a level computed with one version of the weights.

    Stores of cached state keep levels across a change of weights. With the
    level's own key alone, state of older weights would be used for newer ones.
    """
    return xxhash.xxh3_64_intdigest(f"{key}/{weights_version}".encode())


def key_for_name(owner: str, level_name: str) -> int:
    """Returns the key of a level named by callers, unique to `owner`."""
    return xxhash.xxh3_64_intdigest(f"{owner}/{level_name}".encode())


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One part of a prompt, as its caller names it."""

    name: str
    tokens: int


def parse_parts(text: str) -> tuple[Part, ...]:
    """Parses comma-separated entries NAME:TOKENS; skips malformed ones."""
    parts: list[Part] = []
    for entry in text.split(","):
        name, _, tokens = entry.strip().partition(":")
        size = headers.parse_number(tokens)
        if name and size is not None:
            parts.append(Part(name, size))
    return tuple(parts)


def of_parts(parts: Iterable[Part], *, owner: str) -> tuple[work.Level, ...]:
    """Returns the levels of the parts that callers name."""
    return tuple(
        work.Level(key_for_name(owner, part.name), part.tokens)
        for part in parts
    )


def of_prompt(
    parts: tuple[Part, ...], tokens: int | None, owner: str, name: str
) -> tuple[work.Level, ...]:
    """Returns a prompt's levels; all of it as one level without parts.

    Args:
        parts: The parts that its caller names.
        tokens: Tokens of the prompt; None if the caller does not state them.
        owner: Owner of the cached state.
        name: Name of the whole prompt.
    """
    if parts or not tokens:
        return of_parts(parts, owner=owner)
    return (work.Level(key_for_name(owner, name), tokens),)


def used_tokens(
    parts: tuple[Part, ...],
    prompt_tokens: int | None,
    answer_tokens: int | None,
) -> int | None:
    """Returns the tokens that a request counts as, None without a count.

    A count that can't be read does not make a request cheaper than the parts
    of its prompt.
    """
    if prompt_tokens is not None and answer_tokens is not None:
        return prompt_tokens + answer_tokens
    return sum(part.tokens for part in parts) or None


def part_digest(part: bytes) -> str:
    """Returns a name that is equal for equal parts."""
    return xxhash.xxh3_128_hexdigest(part)


def shared_parts(names: Iterable[str]) -> tuple[str, ...]:
    """Returns the names of the parts that other requests may share.

    The last part belongs to the request itself. Of a prompt with very many
    parts, the first `MAX_LEVELS` are returned.
    """
    return tuple(map(_short_name, tuple(names)[:-1][:MAX_LEVELS]))


def _short_name(name: str) -> str:
    if len(name) <= MAX_PART_NAME and name.isascii() and name.isalnum():
        return name
    return part_digest(name.encode())


def chain(
    *, workspace: str, target: str, parts: Iterable[bytes]
) -> tuple[work.Level, ...]:
    """Returns a level for each part, with a hash over all parts so far.

    The seed contains workspace and model, so that equal prompts of two
    workspaces never share a key. Parts after the first `MAX_LEVELS` are added
    to the tokens and hash of the last level.

    Args:
        workspace: Workspace that the prompt belongs to.
        target: Model name.
        parts: Parts of the prompt, outermost first, such as its messages.
    """
    seed = f"{len(workspace)}:{workspace}{target}".encode()
    running_hash = xxhash.xxh3_64(seed)
    levels: list[work.Level] = []
    for part in parts:
        running_hash.update(len(part).to_bytes(8, "little"))
        running_hash.update(part)
        tokens = max(1, len(part) // BYTES_PER_TOKEN)
        if len(levels) == MAX_LEVELS:
            tokens += levels.pop().tokens
        levels.append(work.Level(running_hash.intdigest(), tokens))
    return tuple(levels)


__all__ = [
    "BYTES_PER_TOKEN",
    "MAX_LEVELS",
    "SMALL_LEVEL_TOKENS",
    "Part",
    "chain",
    "key_for_name",
    "of_parts",
    "of_prompt",
    "parse_parts",
    "part_digest",
    "shared_parts",
    "used_tokens",
]

"""Rendezvous hashing (Thaler and Ravishankar 1998) with a rank cache."""

from __future__ import annotations

import functools
import heapq
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

_RANK_CACHE_SIZE = 4096


def rank(key: int, names: tuple[str, ...]) -> tuple[str, ...]:
    """Returns `names` by descending score for `key`.

    Every daemon computes the same order from the same names. Adding or removing
    a name changes the first name only of the keys that rank this name first.
    """
    return _rank(key, names)


def owner(key: str, names: Iterable[str]) -> str | None:
    """Returns the name that ranks first for `key`, or None without names."""
    ordered = rank(xxhash.xxh3_64_intdigest(key.encode()), tuple(sorted(names)))
    return ordered[0] if ordered else None


def first(key: bytes, names: Iterable[str], *, count: int) -> tuple[str, ...]:
    """Returns the first names for a key that is rarely used again."""
    seed = xxhash.xxh3_64_intdigest(key)
    return tuple(
        heapq.nsmallest(count, names, key=lambda n: (-_score(seed, n), n))
    )


@functools.lru_cache(maxsize=_RANK_CACHE_SIZE)
def _rank(key: int, names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(sorted(names, key=lambda n: (-_score(key, n), n)))


def _score(key: int, name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed=key)


__all__ = ["first", "owner", "rank"]

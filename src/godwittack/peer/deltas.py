"""Differences between two versions of the operators' table as JSON.

A table of a thousand routes takes half a second of a slow link, and a change is
mostly one route. Each list item is a piece; a difference names the pieces of
the earlier version that stay, and has the others in full.
"""

from __future__ import annotations

import xxhash

from godwittack.peer import peer_pb2

# What stands between two items of a list of objects.
_SEPARATOR = "},{"


def digest(text: str) -> int:
    """Returns the digest of a table; never 0, which stands for none."""
    return xxhash.xxh3_64_intdigest(text.encode()) or 1


def diff(base: str, text: str) -> peer_pb2.TableDelta:
    """Returns the difference that leads from one version to another."""
    base_pieces = base.split(_SEPARATOR)
    positions = {piece: n for n, piece in enumerate(base_pieces)}
    delta = peer_pb2.TableDelta(base_digest=digest(base), digest=digest(text))
    span = delta.spans.add()
    for piece in text.split(_SEPARATOR):
        position = positions.get(piece)
        if position is None:
            span.added.append(piece)
        elif (
            span.count
            and not span.added
            and (position == span.first + span.count)
        ):
            span.count += 1
        else:
            span = delta.spans.add(first=position, count=1)
    return delta


def apply(base: str, delta: peer_pb2.TableDelta) -> str | None:
    """Returns the later version; None if the difference doesn't fit."""
    base_pieces = base.split(_SEPARATOR)
    pieces: list[str] = []
    for span in delta.spans:
        pieces += base_pieces[span.first : span.first + span.count]
        pieces += span.added
    text = _SEPARATOR.join(pieces)
    return text if digest(text) == delta.digest else None


__all__ = ["apply", "diff", "digest"]

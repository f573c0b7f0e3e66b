"""Keys of what a request holds that may crash a server.

A crash counts against each key of the requests that ran there: the content,
which is a whole request, and the parts of its prompt that other requests share.
"""

from __future__ import annotations

_PART_PREFIX = "/part/"
_TARGET_PREFIX = "/target/"


def content_key(workspace: str, fingerprint: str) -> str:
    """Returns the key of a whole request; empty without a fingerprint."""
    return f"{workspace}/{fingerprint}" if fingerprint else ""


def part_key(target: str, part: str) -> str:
    """Returns the key of a part of prompts.

    It is the same for all workspaces: a part that crashes servers does so
    whoever sends it, and ends them for all.
    """
    return f"{_PART_PREFIX}{target}/{part}"


def target_key(target: str) -> str:
    """Returns the key of all that a target's servers run."""
    return _TARGET_PREFIX + target


def is_target(key: str) -> bool:
    """Returns whether a key is that of all that a target's servers run."""
    return key.startswith(_TARGET_PREFIX)


def is_part(key: str) -> bool:
    """Returns whether a key is that of a part, not of a whole request."""
    return key.startswith(_PART_PREFIX)


def is_content(key: str) -> bool:
    """Returns whether a key is that of a whole request."""
    return not (is_part(key) or is_target(key))


def target_of(key: str) -> str:
    """Returns the model whose servers the key of a part or target is about."""
    if is_target(key):
        return key.removeprefix(_TARGET_PREFIX)
    return key.removeprefix(_PART_PREFIX).rpartition("/")[0]


def name_of(part: str) -> str:
    """Returns the name of a part, as its callers write it."""
    return part.rpartition("/")[2]


__all__ = [
    "content_key",
    "is_content",
    "is_part",
    "is_target",
    "name_of",
    "part_key",
    "target_key",
    "target_of",
]

"""Chooses the addresses that callers are told to connect to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from godwittack.member import view

# Daemons in the caller's own failure domain from which those of others are
# left out: with one alone, its loss would leave callers without an address.
ENOUGH_NEAR = 2
MAX_ADDRESSES = 64


def choose(members: Sequence[view.Member], *, failure_domain: str) -> list[str]:
    """Returns addresses for a caller, the nearest first.

    Args:
        members: Daemons that take requests.
        failure_domain: Where the caller is; empty if it did not say.
    """
    near = [m for m in members if m.failure_domain == failure_domain]
    far = [m for m in members if m.failure_domain != failure_domain]
    chosen = near if len(near) >= ENOUGH_NEAR else [*near, *far]
    return [member.http_address for member in chosen[:MAX_ADDRESSES]]


__all__ = ["choose"]

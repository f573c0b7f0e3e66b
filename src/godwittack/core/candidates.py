"""Draws the servers among which a prompt is placed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from godwittack.placement import rendezvous

if TYPE_CHECKING:
    from godwittack.core import entities

# Servers up to which each is scored; beyond it only candidates are.
SCORE_ALL = 8
# Candidates drawn at random, besides the home and the holders.
DRAWN = 4


def choose(
    world: entities.World,
    request: entities.RequestRow,
    usable: list[entities.ServerRow],
    *,
    held: dict[str, int],
    home: str,
) -> list[entities.ServerRow]:
    """Returns the servers to score: home, holders, and a few at random.

    Load pattern: an engine comes back idle, and tens of daemons hear of it
    before they hear of each other's requests. If all scored it, all would
    choose it (Mitzenmacher, The power of two choices, 2001).
    """
    if len(usable) <= SCORE_ALL:
        return usable
    seed = f"{request.request_id}/{world.now_ms}".encode()
    drawn_at = xxhash.xxh3_64_intdigest(seed)
    drawn = set()
    for _ in range(DRAWN):
        drawn_at, place = divmod(drawn_at, len(usable))
        drawn.add(usable[place].server_id)
    return [
        server
        for server in usable
        if server.server_id in drawn
        or server.server_id == home
        or held.get(server.server_id, 0)
    ]


def home(request: entities.RequestRow, usable: list[entities.ServerRow]) -> str:
    """Returns the server on which a prompt's shared levels should stand.

    It is chosen by the last shared level, since many prompts may open with the
    same first one.
    """
    levels_asked = request.work.levels
    if not levels_asked:
        return ""
    names = tuple(sorted(server.server_id for server in usable))
    last_shared = levels_asked[:-1] or levels_asked
    return rendezvous.rank(last_shared[-1].key, names)[0]


__all__ = ["SCORE_ALL", "choose", "home"]

"""Decides which requests go behind those that can still be in time.

Load pattern: a burst, or servers that are dark or loading weights, bring more
prompts for seconds than engines can compute. In the order of arrival each
request then waits a little longer than the one before, until all of them are
late, also after the burst. An answer that is late anyway is worth as much a
second later; so those that would miss their aim are given to the engines with
the least urgent priority, and what can still be in time goes before them.

Nothing is held back for that, so that no engine stands idle, and each is still
answered unless its own deadline passes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import entities, placing


def is_missed(
    world: entities.World,
    request: entities.RequestRow,
    choice: placing.Choice,
) -> bool:
    """Returns whether a request's first token would come after its aim.

    Not for a stream that has begun: its caller waits for the rest.
    """
    route = request.work.route
    if route is None or not route.streaming or not world.policy.behind_rank:
        return False
    if request.begun or request.is_behind or choice.first_token_ms <= 0:
        return False
    left_ms = request.arrived_at_ms + route.aim_ms - world.now_ms
    return choice.first_token_ms > left_ms


__all__ = ["is_missed"]

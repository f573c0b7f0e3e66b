"""Refuses and ends requests while the daemon stops."""

from __future__ import annotations

from godwittack.core import closing, effects, entities, refusing

# Callers need no longer than this to choose another daemon.
ELSEWHERE_RETRY_MS = 50
_DETAIL = "this daemon stops; use another"


def refusal(request_id: str) -> effects.Refuse:
    """Returns the refusal of a request that arrives at a stopping daemon.

    Its callers' connections are closed when the process ends, so that a
    request may be cut if it is begun.
    """
    return effects.Refuse(
        request_id=request_id,
        status=503,
        outcome=effects.Outcome.NOT_RUN,
        reason=effects.Reason.STOPPING,
        detail=_DETAIL,
        retry_after_ms=ELSEWHERE_RETRY_MS,
    )


def refuse(world: entities.World, request_id: str) -> None:
    """Refuses a request that arrives at a stopping daemon."""
    refused = refusal(request_id)
    world.emit(refused)
    world.event(
        "refused",
        request_id,
        reason=refused.reason.value,
        outcome=refused.outcome.value,
        status=refused.status,
        retry_after_ms=refused.retry_after_ms,
    )


def end_requests(world: entities.World) -> None:
    """Ends all requests with a final answer, as the process must end.

    Without it their connections would be closed, from which a caller can't
    tell whether its request has run.
    """
    for request in list(world.requests.values()):
        if request.open_attempts:
            # Callers of the project's own interface can resume their streams
            # through other daemons.
            is_resumable = request.answer_started and not request.work.route
            closing.cancel_attempts(
                world, request, stop_engine=not is_resumable
            )
            request.may_have_run = True
        refusing.refuse_unassigned(
            world,
            request,
            effects.Reason.STOPPING,
            _DETAIL,
            0 if request.may_have_run else ELSEWHERE_RETRY_MS,
        )


__all__ = ["end_requests", "refusal", "refuse"]

"""Resumes a stream begun by another daemon, which may be dead."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    admission,
    cell_limits,
    closing,
    dispatching,
    effects,
    entities,
    stopping,
    work,
)

if TYPE_CHECKING:
    from godwittack.core import inputs

RESUME_DEADLINE_MS = 10_000


def resume(world: entities.World, message: inputs.StreamResumed) -> None:
    """Opens the stream identified by a verified resume token.

    The token's signature was verified on arrival. This checks that the caller
    belongs to the workspace that the stream was made for.
    """
    if world.stopping:
        stopping.refuse(world, message.request_id)
        return
    workspace = admission.authenticate(
        world, message.request_id, message.token_sha256
    )
    if workspace is None:
        return
    request = entities.RequestRow(
        request_id=message.request_id,
        work=work.Work(
            kind=work.WorkKind.GENERATION,
            token_sha256=message.token_sha256,
            target=message.stamp.target,
            streaming=True,
        ),
        workspace=workspace.name,
        arrived_at_ms=world.now_ms,
        deadline_at_ms=world.now_ms + RESUME_DEADLINE_MS,
        next_frame=message.after + 1,
    )
    world.requests[request.request_id] = request
    request.cells = tuple(cell_limits.limits(world, request, workspace))
    for cell in request.cells:
        world.shares.record_start(cell)
    server = world.servers.get(message.server_id)
    if workspace.name != message.stamp.workspace or server is None:
        _refuse(world, request, server is None)
        return
    original_attempt = entities.AttemptRow(
        attempt_id="",
        request_id=request.request_id,
        server_id=message.server_id,
        stamp=message.stamp,
        stream_id=message.stream_id,
        sent_at_ms=world.now_ms,
        last_progress_ms=world.now_ms,
    )
    request.started_elsewhere = True
    request.resumes += 1
    dispatching.resume(world, request, original_attempt)


def _refuse(
    world: entities.World, request: entities.RequestRow, server_gone: bool
) -> None:
    if server_gone:
        closing.refuse(
            world,
            request,
            status=410,
            outcome=effects.Outcome.UNKNOWN,
            reason=effects.Reason.STREAM_LOST,
            detail="the backend server of this stream is gone",
        )
        return
    closing.refuse(
        world,
        request,
        status=403,
        outcome=effects.Outcome.NOT_RUN,
        reason=effects.Reason.BAD_RESUME,
        detail="the resume token was made for another workspace",
    )


__all__ = ["resume"]

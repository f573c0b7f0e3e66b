"""Writes outcomes of claimed calls until the table service confirms them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import effects, entities, work

if TYPE_CHECKING:
    from godwittack.core import inputs


def store(
    world: entities.World,
    request: entities.RequestRow,
    state: work.ClaimState,
    answer: work.Answer | None = None,
) -> None:
    """Writes the outcome of a request's claim, and retries until confirmed.

    The row outlives the request: a caller that got "not run" may retry the
    call, and finds its key released once the write has taken effect.
    """
    if request.claim_key is None:
        return
    row = entities.OutcomeRow(
        request_id=request.request_id,
        key=request.claim_key,
        claim=work.Claim(
            state=state,
            nonce=request.nonce,
            daemon=world.daemon,
            fingerprint=request.work.fingerprint,
            answer=answer,
        ),
        first_write_ms=world.now_ms,
    )
    world.outcomes[request.request_id] = row
    _send(world, row)


def apply_write_result(
    world: entities.World, result: inputs.OutcomeStored
) -> bool:
    """Applies the result of a write; returns whether it succeeded."""
    row = world.outcomes.get(result.request_id)
    if row is None:
        return False
    if result.stored:
        del world.outcomes[result.request_id]
        return True
    row.next_retry_at_ms = world.now_ms + world.policy.store_retry_ms
    return False


def retry_due_writes(world: entities.World) -> None:
    """Retries writes that the table service has not confirmed."""
    for row in list(world.outcomes.values()):
        if row.next_retry_at_ms and row.next_retry_at_ms <= world.now_ms:
            row.next_retry_at_ms = 0
            _send(world, row)


def _send(world: entities.World, row: entities.OutcomeRow) -> None:
    world.emit(effects.StoreOutcome(row.request_id, row.key, row.claim))


__all__ = ["apply_write_result", "retry_due_writes", "store"]

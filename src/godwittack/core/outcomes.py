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


def stored(world: entities.World, told: inputs.OutcomeStored) -> bool:
    """Applies the result of a write; returns whether it succeeded."""
    row = world.outcomes.get(told.request_id)
    if row is None:
        return False
    if told.stored:
        del world.outcomes[told.request_id]
        return True
    row.next_retry_at_ms = world.now_ms + world.policy.store_retry_ms
    return False


def retry_due(world: entities.World) -> None:
    """Retries writes that the table service has not confirmed."""
    for row in list(world.outcomes.values()):
        if row.next_retry_at_ms and row.next_retry_at_ms <= world.now_ms:
            row.next_retry_at_ms = 0
            _send(world, row)


def _send(world: entities.World, row: entities.OutcomeRow) -> None:
    world.emit(effects.StoreOutcome(row.request_id, row.key, row.claim))


__all__ = ["retry_due", "store", "stored"]

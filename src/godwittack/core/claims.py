"""Claims the key of an at-most-once call before the call is sent."""

from __future__ import annotations

from godwittack.core import (
    closing,
    dispatching,
    effects,
    entities,
    inputs,
    outcomes,
    work,
)

IN_PROGRESS_RETRY_MS = 500
SERVICE_DOWN_RETRY_MS = 2_000


def begin(world: entities.World, request: entities.RequestRow) -> None:
    """Writes the claim of a new request."""
    request.phase = entities.Phase.CLAIMING
    request.claim_key = work.ClaimKey(
        request.workspace, request.work.target, request.work.idempotency_key
    )
    request.nonce = world.next_attempt_id()
    _write_claim(world, request, over_version=0)


def apply_verdict(world: entities.World, reply: inputs.ClaimAnswered) -> None:
    """Applies the result of a request's claim write."""
    request = world.requests.get(reply.request_id)
    if request is None or request.phase is not entities.Phase.CLAIMING:
        return
    match reply.verdict:
        case inputs.ClaimVerdict.HELD:
            _place_claimed(world, request)
        case inputs.ClaimVerdict.TAKEN:
            assert reply.claim is not None
            _handle_existing_claim(world, request, reply.claim)
        case inputs.ClaimVerdict.UNANSWERED:
            _retry_or_refuse(world, request)


def _write_claim(
    world: entities.World, request: entities.RequestRow, *, over_version: int
) -> None:
    assert request.claim_key is not None
    world.emit(
        effects.WriteClaim(
            request_id=request.request_id,
            key=request.claim_key,
            claim=work.Claim(
                state=work.ClaimState.CLAIMED,
                nonce=request.nonce,
                daemon=world.daemon,
                fingerprint=request.work.fingerprint,
            ),
            over_version=over_version,
        )
    )


def _place_claimed(world: entities.World, request: entities.RequestRow) -> None:
    if request.caller_gone:
        # The caller is gone and nothing was sent: the key is released.
        outcomes.store(world, request, work.ClaimState.RELEASED)
        closing.remove(world, request)
        return
    dispatching.place(world, request)


def _handle_existing_claim(
    world: entities.World, request: entities.RequestRow, claim: work.Claim
) -> None:
    if claim.fingerprint != request.work.fingerprint:
        closing.refuse(
            world,
            request,
            status=422,
            outcome=effects.Outcome.NOT_RUN,
            reason=effects.Reason.KEY_REUSED,
            detail="this Idempotency-Key was used for a different request",
        )
        return
    match claim.state:
        case work.ClaimState.DONE:
            assert claim.answer is not None
            world.emit(
                effects.Reply(
                    request_id=request.request_id,
                    answer=claim.answer,
                    late=False,
                    replayed=True,
                )
            )
            closing.finish(world, request, replayed=True)
        case work.ClaimState.RELEASED:
            _write_claim(world, request, over_version=claim.row_version)
        case work.ClaimState.UNKNOWN:
            _refuse_unknown(world, request)
        case work.ClaimState.CLAIMED:
            _refuse_claimed(world, request, claim)


def _refuse_claimed(
    world: entities.World, request: entities.RequestRow, claim: work.Claim
) -> None:
    """Refuses a call whose key is claimed by another request.

    A claim is never taken over: the daemon that wrote it may be paused
    between claim and dispatch, and would send the call when it resumes. The
    call would then run twice.
    """
    if claim.daemon not in world.live_daemons:
        _refuse_unknown(world, request)
        return
    closing.refuse(
        world,
        request,
        status=409,
        outcome=effects.Outcome.IN_PROGRESS,
        reason=effects.Reason.KEY_IN_PROGRESS,
        detail="a call with this Idempotency-Key is running",
        retry_after_ms=IN_PROGRESS_RETRY_MS,
    )


def _refuse_unknown(
    world: entities.World, request: entities.RequestRow
) -> None:
    closing.refuse(
        world,
        request,
        status=409,
        outcome=effects.Outcome.UNKNOWN,
        reason=effects.Reason.ANSWER_LOST,
        detail=(
            "a call with this Idempotency-Key may have run and its answer was"
            " lost; look it up at the service before using a new key"
        ),
    )


def _retry_or_refuse(
    world: entities.World, request: entities.RequestRow
) -> None:
    request.claim_tries += 1
    if request.claim_tries < world.policy.claim_tries:
        # The nonce is the same: if an earlier write did take effect, the
        # stored row carries this nonce and the claim is ours.
        _write_claim(world, request, over_version=0)
        return
    # Nothing was sent, so "not run" is true. The row that the unanswered
    # write may still create must not block the caller's retry.
    outcomes.store(world, request, work.ClaimState.RELEASED)
    closing.refuse(
        world,
        request,
        status=503,
        outcome=effects.Outcome.NOT_RUN,
        reason=effects.Reason.TABLE_SERVICE_DOWN,
        detail="the key can't be claimed while the table service is down",
        retry_after_ms=SERVICE_DOWN_RETRY_MS,
    )


__all__ = ["apply_verdict", "begin"]

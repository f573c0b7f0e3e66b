"""Numbers that the decisions use; settings override them by name."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Tunable numbers of the core.

    Attributes:
        frame_gap_ms: Silence in a stream after which it is resumed on a
            fresh connection.
        first_frame_ms: Silence before the first frame after which a
            generation is sent to another backend server.
        answer_patience_ms: Longest wait for a whole answer.
        store_patience_ms: How long an answer waits for its record to be
            written before the caller gets it anyway.
        store_retry_ms: Pause between tries to write an outcome.
        claim_tries: Unanswered claim writes before the call is refused.
        max_attempts: Dispatches of one request, the first included.
        max_resumes: Resumptions of one stream without a new frame between.
        retry_ratio: Retries allowed a request accepted.
        retry_burst: Retries allowed at once after a quiet time.
        retry_saved_ratio: Retries saved a request accepted by a daemon whose
            part of the burst is less than one; with `retry_ratio`, at most
            what operators allow.
        retry_window_ms: Time for which such savings hold.
        failures_to_eject: Broken connections in a row until a backend server
            is paused; one that accepts no connection is paused at once.
        deadline_part: Part of the time left that an estimate may take up;
            estimates are made from late news.
        spill_ratio: Moves to a server that lacks a prefix, a request accepted.
        spill_burst: Such moves allowed at once after a quiet time.
        budget_by_target: Whether retries are limited for each target, with a
            burst that all live daemons share.
        old_weights_limit_ms: Time after which a server with weights that have
            been replaced gets no new work; 0 for never.
        old_weights_from_ms: Time after which an answer by such weights is
            worth less.
        old_weights_cost_ms: What placement adds to such a server's cost then.
        eject_ms: First pause after failures of a backend server; doubles.
        eject_max_ms: Longest such pause.
        report_stale_ms: Age from which a load report is no evidence.
        hold_ms: Estimated wait at a server from which requests are held
            back here, so that fairness decides whose turn it is.
        hint_ms: Age from which a level last heard of is half believed.
        prefill_us_per_token: Assumed until a server reports its own.
        learns_pace: Whether the time a prompt token takes is learnt from first
            tokens; 0 for what is assumed or reported alone.
        slots: Assumed batch size until a server reports its own.
        queue_total: Requests held back over all targets.
        max_residency: Level keys remembered a server.
    """

    frame_gap_ms: int = 2_000
    first_frame_ms: int = 5_000
    answer_patience_ms: int = 120_000
    store_patience_ms: int = 250
    store_retry_ms: int = 300
    claim_tries: int = 2
    max_attempts: int = 3
    max_resumes: int = 3
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    retry_saved_ratio: float = 0.05
    retry_window_ms: int = 10_000
    deadline_part: float = 0.8
    spill_ratio: float = 0.02
    spill_burst: float = 4.0
    failures_to_eject: int = 2
    budget_by_target: int = 0
    old_weights_limit_ms: int = 0
    old_weights_from_ms: int = 1_500
    old_weights_cost_ms: int = 0
    eject_ms: int = 1_000
    eject_max_ms: int = 30_000
    report_stale_ms: int = 3_000
    hold_ms: int = 800
    hint_ms: int = 60_000
    prefill_us_per_token: int = 100
    learns_pace: int = 1
    slots: int = 16
    queue_total: int = 2_000
    max_residency: int = 20_000


__all__ = ["Policy"]

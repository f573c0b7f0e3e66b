"""Tunable parameters of the core; settings override them by name."""

from __future__ import annotations

import dataclasses

# Beyond 0.8 of the tolerated excess, too little is left for what daemons admit
# before they hear of each other.
MAX_VALUES = {
    "quota_spare_ratio": 0.8,
    "quota_window_part": 1.0,
    "late_answer_value": 1.0,
    "engine_memory": 1,
    "uneven_servers": 2,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Tunable parameters of the core.

    Attributes:
        frame_gap_ms: Time without a frame after which a stream is resumed on
            a fresh connection.
        first_frame_ms: Time without a first frame after which a generation is
            sent to another backend server.
        answer_patience_ms: Timeout for a whole answer.
        store_patience_ms: How long an answer is held for its record to be
            written before the caller gets it anyway.
        store_retry_ms: Pause between attempts to write an outcome.
        claim_tries: Unanswered claim writes before the call is refused.
        max_attempts: Maximum dispatches of one request, including the first.
        max_resumes: Maximum resumptions of a stream that fails again and again
            without a new frame.
        retry_ratio: Retries earned per accepted request.
        retry_burst: Retries allowed at once after a quiet period.
        retry_saved_ratio: Retries saved per accepted request by a daemon whose
            share of the burst is less than one; with `retry_ratio`, at most
            what operators allow.
        retry_window_ms: Time after which saved retries expire.
        failures_to_eject: Consecutive broken connections until a backend
            server is ejected; one that accepts no connection is ejected at
            once.
        deadline_part: Fraction of the remaining time that an estimate may
            use, as estimates rest on delayed reports.
        spill_ratio: Dispatches to a server that lacks a prefix, earned per
            accepted request.
        spill_burst: Such dispatches allowed at once after a quiet period.
        budget_by_target: Whether retries are limited for each target, with a
            burst that all live daemons share.
        old_weights_limit_ms: Time after which a server with replaced weights
            gets no new work; 0 for never.
        old_weights_from_ms: Time after which placement penalizes replaced
            weights.
        old_weights_cost_ms: Cost that placement then adds for such a server.
        eject_ms: First ejection time of a backend server; doubles with each
            further ejection.
        eject_max_ms: Maximum ejection time.
        report_stale_ms: Age from which a load report is ignored.
        hold_ms: Estimated wait at a server from which requests are queued
            here instead, so that fairness decides their order.
        hint_ms: Age from which a record that a level is cached counts only
            half.
        prefill_us_per_token: Assumed until a server reports its own.
        learns_pace: Whether the prefill cost is learnt from first tokens; 0 to
            use only the assumed or reported cost.
        slots: Assumed batch size until a server reports its own.
        queue_total: Maximum queued requests over all targets.
        max_residency: Maximum level keys remembered per server.
        quota_window_s: Window in which operators tolerate use beyond a quota.
        quota_overage_ratio: That use relative to what the quota allows in it.
        quota_slack: Further units of that use.
        quota_spare_ratio: Part of that use that may be admitted while this
            daemon is in contact with the whole fleet; 0 for the default.
        quota_window_part: Part of what a quota allows in that window that may
            be used at any time within it, while servers have free capacity and
            at least 16 daemons serve; 0 to admit at the rate of the quota only.
        uneven_servers: Whether each server's pace and distance count in
            placement: 1 for targets whose servers report their pace, 2 for all
            models and services.
        engine_memory: Whether, for these targets, the memory of engines counts
            as well.
        uneven_hold_ms: As `hold_ms`, for these targets; 0 for the same. Their
            waits are estimated several times as long, nearer to the actual
            ones, so that `hold_ms` would queue most requests here.
        cross_domain_cost_ms: Waiting time that operators accept to keep a
            request in its failure domain.
        cross_domain_cost_ms_per_kb: The same, per kilobyte of its body.
        new_connection_cost_ms: Waiting time that operators accept to use a
            connection that is already open.
        long_prompt_tokens: Length from which prompts are kept on engines of
            their own, for targets whose servers report their pace; 0 to mix
            prompts of all lengths.
        final_refusal_age_ms: Age of the table's last confirmation up to which
            unknown paths and keys are refused for good; 0 for any age.
        max_unseen_ms: Time without a confirmation in which an entry of the
            instance list, or a change of the table, may have come and gone.
        late_answer_value: Value of an answer after its route's target latency,
            relative to one in time; 1 if lateness does not matter.
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
    quota_window_s: float = 8.0
    quota_overage_ratio: float = 0.1
    quota_slack: float = 0.0
    quota_spare_ratio: float = 0.0
    quota_window_part: float = 0.0
    uneven_servers: int = 0
    uneven_hold_ms: int = 0
    engine_memory: int = 0
    cross_domain_cost_ms: float = 0.0
    cross_domain_cost_ms_per_kb: float = 0.0
    new_connection_cost_ms: float = 0.0
    long_prompt_tokens: int = 0
    final_refusal_age_ms: int = 0
    max_unseen_ms: int = 3_000
    late_answer_value: float = 1.0


__all__ = ["MAX_VALUES", "Policy"]

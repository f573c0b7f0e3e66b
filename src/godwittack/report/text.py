"""Renders counts as text, with an action for each problem."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.report import counters

if TYPE_CHECKING:
    from collections.abc import Iterator

ADVICE_BY_REASON: dict[str, str] = {
    "unauthenticated": (
        "the caller's token is in no workspace row; compare token_sha256"
    ),
    "unknown_target": "add a model or service row, or correct the caller",
    "idempotency_key_required": (
        "the caller must send an Idempotency-Key, or set repeatable to all"
    ),
    "idempotency_key_reused": "the caller used one key for two requests",
    "in_progress": "the same call was still running; no action needed",
    "limit": "raise max_in_flight or max_requests_per_s, or reduce the load",
    "quota": "raise quota_per_s or quota_burst, or reduce the load",
    "queue_full": "raise max_queue, or add backend servers",
    "deadline": "add backend servers, or raise deadline_ms",
    "no_server": "check the backend servers of this row: none accepts requests",
    "dispatch_failed": "check the backend servers named in the log",
    "table_service_down": "the platform's table service did not answer",
    "table_not_current": "a daemon was cut off; see godwittack table status",
    "answer_lost": "check these calls at the service before repeating them",
    "too_large": "the prompt is larger than the memory of every engine",
    "bad_resume_token": "the caller sent a token that is not its own",
}


def render(counts: counters.Counts) -> str:
    """Returns the report, with a section for each workspace."""
    return "\n".join(_lines(counts)) + "\n"


def first_token_quantile_ms(
    counts: counters.WorkspaceCounts, quantile: float
) -> int | None:
    """Returns the bucket bound that covers `quantile` of first tokens."""
    total = sum(counts.first_token_counts)
    if not total:
        return None
    cumulative = 0
    for count, bound in zip(
        counts.first_token_counts, counters.FIRST_TOKEN_BOUNDS_MS, strict=False
    ):
        cumulative += count
        if cumulative >= quantile * total:
            return bound
    return counters.FIRST_TOKEN_BOUNDS_MS[-1]


def _lines(counts: counters.Counts) -> Iterator[str]:
    minutes = max(1, round(counts.window_s / 60))
    yield (
        f"The last {minutes} min on {len(counts.daemons)} daemons"
        f" ({', '.join(sorted(counts.daemons))})."
    )
    if counts.unreachable:
        yield (
            f"{len(counts.unreachable)} daemons did not answer and are not"
            f" counted: {', '.join(sorted(counts.unreachable))}."
        )
    if not counts.workspaces:
        yield "No requests."
    for name in sorted(counts.workspaces):
        yield ""
        yield from _workspace_lines(name, counts.workspaces[name])


def _workspace_lines(
    name: str, counts: counters.WorkspaceCounts
) -> Iterator[str]:
    refused = sum(counts.refused.values())
    total = counts.finished + counts.broken + refused
    yield f"{name}: {total} requests, {counts.finished} answered."
    yield from _late_lines(counts)
    yield from _refused_lines(counts, refused)
    yield from _wasted_lines(counts)


def _late_lines(counts: counters.WorkspaceCounts) -> Iterator[str]:
    if counts.late:
        yield (
            f"  Late: {counts.late} answers began after their deadline and"
            " were still delivered. Add backend servers, lower"
            " reuse_weight, or raise deadline_ms."
        )
    else:
        yield "  Late: none."
    median_ms = first_token_quantile_ms(counts, 0.5)
    p95_ms = first_token_quantile_ms(counts, 0.95)
    if median_ms is not None:
        yield (
            f"  First token: within {median_ms} ms for half of the requests,"
            f" within {p95_ms} ms for 95%."
        )
    if counts.broken:
        yield (
            f"  Interrupted: {counts.broken} streams ended with an error"
            " because their engine was lost."
        )


def _refused_lines(
    counts: counters.WorkspaceCounts, refused: int
) -> Iterator[str]:
    if not refused:
        yield "  Refused: none."
    else:
        not_run = counts.outcomes.get("not_run", 0)
        unknown = counts.outcomes.get("unknown", 0)
        yield (
            f"  Refused: {refused}, of which {not_run} were not run and can"
            f" be retried, and {unknown} may have run."
        )
    for reason, count in sorted(counts.refused.items()):
        advice = ADVICE_BY_REASON.get(reason, "see the log")
        yield f"    {count} x {reason}: {advice}."
    if counts.retried:
        yield f"  Retried: {counts.retried} times on another backend server."


def _wasted_lines(counts: counters.WorkspaceCounts) -> Iterator[str]:
    if not counts.prompt_tokens:
        return
    hit = 100 * counts.cached_tokens / counts.prompt_tokens
    wasted = 100 * counts.wasted_tokens / counts.prompt_tokens
    yield (
        f"  Wasted: {counts.wasted_tokens} of {counts.prompt_tokens} prompt"
        f" tokens ({wasted:.0f}%) were recomputed although they had been"
        f" sent before; {hit:.0f}% came from a cache."
    )
    if wasted > 10:
        yield "    Raise reuse_weight of the model, or add backend servers."


__all__ = ["ADVICE_BY_REASON", "first_token_quantile_ms", "render"]

"""Computes who waits in a run of a mix, and the value of its responses."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from bench import figures, uneven_mixes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from bench import experiment

# Upper bounds of the classes of prompt tokens; the first is the length from
# which mix A splits prompts.
SIZE_BOUNDS = (2_048, 8_192, 16_384, 32_768)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waits:
    """Who waits, for one group of requests.

    Attributes:
        number: Requests in the group, the sum of the next four.
        in_time: First token within the target latency.
        late: First token after it.
        refused: Refused, with or without an attempt.
        unanswered: Neither a first token nor a refusal.
        ttft_p50_ms: Median time to the first token; 0 without any.
        ttft_p99_ms: 99th percentile of the same.
    """

    number: int
    in_time: int
    late: int
    refused: int
    unanswered: int
    ttft_p50_ms: float
    ttft_p99_ms: float


def waits(
    outcomes: Sequence[experiment.RequestOutcome], mix: uneven_mixes.Mix
) -> Waits:
    """Returns the figures of a group of requests."""
    results = collections.Counter(result(o, mix) for o in outcomes)
    first_token_delays_ms = sorted(
        _first_token_delay_ms(outcome)
        for outcome in outcomes
        if result(outcome, mix) in ("in_time", "late")
    )
    return Waits(
        number=len(outcomes),
        in_time=results["in_time"],
        late=results["late"],
        refused=results["refused"],
        unanswered=results["unanswered"],
        ttft_p50_ms=figures.quantile(first_token_delays_ms, 0.50),
        ttft_p99_ms=figures.quantile(first_token_delays_ms, 0.99),
    )


def result(outcome: experiment.RequestOutcome, mix: uneven_mixes.Mix) -> str:
    """Returns how a request ended, as the name of a field of `Waits`."""
    # A first token that was on its way when the request was refused does not
    # reach the caller.
    if outcome.refusal_reason:
        return "refused"
    if outcome.first_token_ms < 0:
        return "unanswered"
    aim_ms = mix.kinds[outcome.request.kind].aim_ms
    is_in_time = _first_token_delay_ms(outcome) <= aim_ms
    return "in_time" if is_in_time else "late"


def relative_value(
    outcomes: Iterable[experiment.RequestOutcome], mix: uneven_mixes.Mix
) -> float:
    """Returns the value of responses relative to all requests in time."""
    value = possible = 0.0
    for outcome in outcomes:
        kind = mix.kinds[outcome.request.kind]
        values = {"in_time": kind.value, "late": kind.late_value}
        value += values.get(result(outcome, mix), 0.0)
        possible += kind.value
    return value / possible if possible else 0.0


def table(
    outcomes: list[experiment.RequestOutcome], mix: uneven_mixes.Mix
) -> list[str]:
    """Returns the lines of the table of who waits, and of the value."""
    names = [field.name for field in dataclasses.fields(Waits)]
    lines = ["group".ljust(26) + "".join(name.rjust(12) for name in names)]
    for by, group_of in _GROUPINGS.items():
        groups = collections.defaultdict(list)
        for outcome in outcomes:
            groups[group_of(outcome)].append(outcome)
        for group in sorted(groups):
            cells = dataclasses.astuple(waits(groups[group], mix))
            label = f"{by} {group[1]}".ljust(26)
            lines.append(label + "".join(f"{c:.0f}".rjust(12) for c in cells))
    for kind in mix.kinds:
        of_kind = [o for o in outcomes if o.request.kind == kind]
        lines.append(f"value {kind}: {relative_value(of_kind, mix):.4f}")
    lines.append(f"value: {relative_value(outcomes, mix):.4f}")
    return lines


def _first_token_delay_ms(outcome: experiment.RequestOutcome) -> float:
    return outcome.first_token_ms - outcome.arrived_ms


def _size_group(outcome: experiment.RequestOutcome) -> tuple[int, str]:
    tokens = sum(level.tokens for level in outcome.request.levels)
    for bound in SIZE_BOUNDS:
        if tokens < bound:
            return bound, f"< {bound}"
    return SIZE_BOUNDS[-1] + 1, f">= {SIZE_BOUNDS[-1]}"


def _workspace_group(outcome: experiment.RequestOutcome) -> tuple[int, str]:
    name = outcome.request.workspace
    return int(name.removeprefix("ws")), name


# The first element of a group is its place in the table, the second its name.
_GROUPINGS: dict[
    str, Callable[[experiment.RequestOutcome], tuple[int, str]]
] = {
    "all": lambda outcome: (0, "requests"),
    "kind": lambda outcome: (0, outcome.request.kind),
    "tokens": _size_group,
    "workspace": _workspace_group,
    "domain": lambda outcome: (0, outcome.request.failure_domain),
}

__all__ = ["Waits", "relative_value", "result", "table", "waits"]

"""Estimates how long work takes at each server of an uneven target.

Load pattern: engines of one model differ by a factor of 2.7, and a seventh of
their machines is 2.5 times slower for 600 ms at a time. With one estimate for
all, slow engines get as many prompts as fast ones, and their queues grow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import prefill_cost, prompt_cost, server_pace, uneven

if TYPE_CHECKING:
    from godwittack.core import entities

MIN_US_PER_TOKEN = 0.01
MIN_BASE_PACE = 0.25
MAX_BASE_PACE = 8.0
# Prompt whose time is compared between daemons. Each daemon learns its own
# estimate for the model, so that ratios to it can't be compared.
REFERENCE_NEW_TOKENS = 4_000
REFERENCE_CACHED_TOKENS = 13_000
# Shorter prompts show the fixed part of a first token, not the engine's pace.
MIN_SAMPLE_TOKENS = 1_000
# A base pace is computed again after this, as the model's estimate changes.
BASE_PACE_TTL_MS = 500
# Without other samples for this long, those with a long wait count too, so that
# an estimate that makes all waits look long is corrected.
NO_SAMPLE_MS = 30_000
# Weight of the assumption that a server is as fast as its model's estimate, in
# samples: a single first token that waited may be ten times too late.
ASSUMED_SAMPLES = 2
# Change of a base pace from which it is logged.
LOG_CHANGE_RATIO = 1 / 3


def factor(world: entities.World, server: entities.ServerRow) -> float:
    """Returns how long work takes at a server now, relative to its model."""
    if not uneven.is_uneven(world, server.target):
        return 1.0
    return base(world, server) * server.pace.momentary(world.now_ms)


def base(world: entities.World, server: entities.ServerRow) -> float:
    """Returns how long work usually takes at a server of an uneven target."""
    pace = server.pace
    if not 0 <= world.now_ms - pace.base_at_ms < BASE_PACE_TTL_MS or (
        pace.base_at_ms < 0
    ):
        pace.base = _computed_base(world, server)
        pace.base_at_ms = world.now_ms
    return pace.base


def prompt_ms(
    world: entities.World,
    server: entities.ServerRow,
    *,
    new_tokens: float,
    cached_tokens: float,
) -> float:
    """Returns the time that a server takes to compute a prompt.

    Args:
        world: The tables.
        server: The server.
        new_tokens: Prompt tokens that it has to compute.
        cached_tokens: Prompt tokens before them that it has cached.
    """
    if not uneven.is_uneven(world, server.target):
        return new_tokens * prefill_cost.us_per_token(world, server) / 1000
    work_ms = prefill_cost.prompt_ms(
        world, server, new_tokens=new_tokens, cached_tokens=cached_tokens
    )
    return server.pace.stretched_ms(
        work_ms * base(world, server),
        from_ms=world.now_ms + backlog_ms(world, server),
    )


def add_prompt(
    world: entities.World,
    server: entities.ServerRow,
    *,
    tokens: float,
    priority: int,
) -> None:
    """Adds a prompt that was sent to a server of an uneven target."""
    _remove_computed(world, server)
    server.pace.prompts.add(priority=priority, tokens=tokens)


def backlog_ms(
    world: entities.World,
    server: entities.ServerRow,
    *,
    priority: int | None = None,
    less_urgent_fraction: float = 1.0,
) -> float:
    """Returns how long a server takes for the prompts sent to it.

    Args:
        world: The tables.
        server: The server, of an uneven target.
        priority: Priority of the request that waits; None to count all prompts
            in full.
        less_urgent_fraction: Fraction of less urgent prompts that counts.
    """
    if not server.pace.prompts:
        return 0.0
    _remove_computed(world, server)
    tokens = sum(
        tokens
        if priority is None or other_priority <= priority
        else tokens * less_urgent_fraction
        for other_priority, tokens in server.pace.prompts.tokens_by_priority()
    )
    return server.pace.stretched_ms(
        tokens * _ms_per_token(world, server), from_ms=world.now_ms
    )


def _remove_computed(world: entities.World, server: entities.ServerRow) -> None:
    """Removes what a server has probably computed since the last time."""
    prompts = server.pace.prompts
    elapsed_ms = world.now_ms - prompts.computed_until_ms
    if elapsed_ms <= 0:
        return
    ms_per_token = _ms_per_token(world, server)
    ms_per_token *= server.pace.momentary(world.now_ms)
    prompts.remove_computed(elapsed_ms / ms_per_token)
    prompts.computed_until_ms = world.now_ms


def _ms_per_token(world: entities.World, server: entities.ServerRow) -> float:
    us_per_token = prefill_cost.us_per_token(world, server)
    # A reported or learnt cost of nothing would make the backlog vanish.
    return max(us_per_token, MIN_US_PER_TOKEN) / 1000 * base(world, server)


def delay_ms(world: entities.World, server: entities.ServerRow) -> float:
    """Returns by how much first tokens come later than estimated.

    Short prompts are not announced, and others are announced late or not at
    all. A first token that is overdue shows the same before it arrives.
    """
    overdue_ms = max(
        (
            world.now_ms - attempt.first_token_due_ms
            for attempt in server.in_flight.values()
            if attempt.first_token_due_ms
        ),
        default=0.0,
    )
    return max(overdue_ms, server.pace.current_delay_ms(world.now_ms))


def expect_first_token(
    world: entities.World,
    server: entities.ServerRow,
    attempt: entities.AttemptRow,
    *,
    wait_ms: float,
    idle_ms: float,
) -> None:
    """Records when the first token of a new attempt is expected.

    Args:
        world: The tables.
        server: The server that it is sent to.
        attempt: The attempt.
        wait_ms: Estimated wait, the observed delay aside.
        idle_ms: Estimated time to the first token without waiting.
    """
    if not uneven.is_uneven(world, server.target):
        return
    attempt.expected_wait_ms = wait_ms + delay_ms(world, server)
    attempt.expected_idle_ms = idle_ms
    attempt.first_token_due_ms = world.now_ms + wait_ms + idle_ms


def record_first_token(
    world: entities.World,
    attempt: entities.AttemptRow,
    server: entities.ServerRow,
) -> None:
    """Updates the estimates when the first token of an attempt arrives."""
    due_ms, attempt.first_token_due_ms = attempt.first_token_due_ms, 0.0
    if not due_ms or not uneven.is_uneven(world, server.target):
        return
    pace = server.pace
    pace.record_delay(world.now_ms - due_ms, world.now_ms)
    if not _is_informative(world, attempt, server):
        return
    sample = prompt_cost.Sample(
        new_tokens=attempt.expected_tokens,
        cached_tokens=attempt.expected_cached_tokens,
        took_ms=(world.now_ms - attempt.sent_at_ms)
        / pace.momentary(world.now_ms),
    )
    if world.policy.learns_pace:
        world.prefill_costs[server.target].parts.add_sample(sample)
    if sample.new_tokens >= MIN_SAMPLE_TOKENS:
        pace.samples.append(sample)
        pace.sampled_at_ms = world.now_ms
        pace.base_at_ms = -1
        log_base(world, server)


def _is_informative(
    world: entities.World,
    attempt: entities.AttemptRow,
    server: entities.ServerRow,
) -> bool:
    """Returns whether a first token shows the pace rather than the wait.

    This must not depend on the measured time: if only short ones counted, the
    estimate would fall under load.
    """
    if not prefill_cost.is_known(world, server):
        return True
    is_wait_short = attempt.expected_wait_ms <= attempt.expected_idle_ms
    last_ms = max(server.pace.sampled_at_ms, world.started_at_ms)
    return is_wait_short or world.now_ms - last_ms >= NO_SAMPLE_MS


def _computed_base(world: entities.World, server: entities.ServerRow) -> float:
    """Returns the lower quartile of samples, here and at other daemons."""
    if not prefill_cost.is_known(world, server):
        return 1.0
    ratios = [*_own_ratios(world, server), *_told_ratios(world, server)]
    ratio = server_pace.weighted_quantile(ratios)
    if not ratio:
        return 1.0
    samples = sum(weight for _, weight in ratios)
    ratio **= samples / (samples + ASSUMED_SAMPLES)
    return min(max(ratio, MIN_BASE_PACE), MAX_BASE_PACE)


def own_reference_ms(
    world: entities.World, server: entities.ServerRow
) -> float:
    """Returns the time for the reference prompt by this daemon's samples.

    It is 0 without samples. What other daemons told is left out: they would
    hear their own estimates again.
    """
    if not prefill_cost.is_known(world, server):
        return 0.0
    ratio = server_pace.weighted_quantile(_own_ratios(world, server))
    return ratio * _reference_ms(world, server)


def _own_ratios(
    world: entities.World, server: entities.ServerRow
) -> list[tuple[float, int]]:
    return [
        (
            sample.took_ms
            / prefill_cost.prompt_ms(
                world,
                server,
                new_tokens=sample.new_tokens,
                cached_tokens=sample.cached_tokens,
            ),
            1,
        )
        for sample in server.pace.samples
    ]


def _told_ratios(
    world: entities.World, server: entities.ServerRow
) -> list[tuple[float, int]]:
    told = server.pace.told
    if not told:
        return []
    since_ms = world.now_ms - server_pace.TOLD_TTL_MS
    for daemon in [name for name, t in told.items() if t.at_ms < since_ms]:
        del told[daemon]
    reference_ms = _reference_ms(world, server)
    return [(t.reference_ms / reference_ms, t.samples) for t in told.values()]


def _reference_ms(world: entities.World, server: entities.ServerRow) -> float:
    return prefill_cost.prompt_ms(
        world,
        server,
        new_tokens=REFERENCE_NEW_TOKENS,
        cached_tokens=REFERENCE_CACHED_TOKENS,
    )


def log_base(world: entities.World, server: entities.ServerRow) -> None:
    """Logs the base pace of a server if it has changed by a third."""
    pace = server.pace
    base(world, server)
    change = abs(pace.base - pace.logged_base)
    if change < LOG_CHANGE_RATIO * pace.logged_base:
        return
    world.event(
        "server_pace",
        server=server.server_id,
        target=server.target,
        base=round(pace.base, 2),
        before=round(pace.logged_base, 2),
        samples=len(pace.samples),
        told=sum(told.samples for told in pace.told.values()),
    )
    pace.logged_base = pace.base


__all__ = [
    "add_prompt",
    "backlog_ms",
    "base",
    "delay_ms",
    "expect_first_token",
    "factor",
    "log_base",
    "own_reference_ms",
    "prompt_ms",
    "record_first_token",
]

"""Decides whether a request may be retried."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from godwittack.core import crashes, resting
from godwittack.limit import budget

if TYPE_CHECKING:
    from godwittack.core import entities

# Limit on dispatches of a routed request that servers declined, besides those
# that may have run: a stale instance list may contain a few servers that are
# full or gone.
MAX_DECLINED = 3


class Limit(enum.StrEnum):
    """Limit that prevents a retry."""

    DEADLINE = "deadline"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    CRASHES = "crashes"
    REST = "rest"


def try_acquire(world: entities.World, request: entities.RequestRow) -> bool:
    """Returns whether to retry; if so, spends a token of the retry budget."""
    limit = _exceeded_limit(world, request)
    if limit is None:
        return True
    if limit.value == request.logged_limit:
        return False
    request.logged_limit = limit.value
    world.event(
        "not_retried",
        request.request_id,
        workspace=request.workspace,
        target=request.work.target,
        limit=limit.value,
        attempts=request.attempts,
        runs=request.possible_runs,
        **budget_state(world, request.work.target),
    )
    return False


def budget_state(world: entities.World, target: str) -> dict[str, float]:
    """Returns a retry budget, its inputs and their age, for the log."""
    if not world.policy.budget_by_target:
        return {"tokens": round(world.retry_budget.tokens, 2)}
    shared = _shared_budget(world, target)
    return {
        "tokens": round(shared.tokens, 2),
        "part": round(shared.share, 2),
        "daemons": world.max_expected_daemons,
        "live": len(world.live_daemons),
        "known": world.expected_daemons,
        "view_age_ms": world.now_ms - world.members_changed_ms,
    }


def _exceeded_limit(
    world: entities.World, request: entities.RequestRow
) -> Limit | None:
    if world.now_ms >= request.deadline_at_ms:
        return Limit.DEADLINE
    if _has_no_attempts_left(world, request):
        return Limit.ATTEMPTS
    if crashes.would_be_quarantined(world, request):
        return Limit.CRASHES
    if resting.is_rest_too_long(world, request):
        return Limit.REST
    return None if _spend_token(world, request.work.target) else Limit.BUDGET


def earn(world: entities.World, target: str) -> None:
    """Counts an accepted request, which earns a fraction of a retry."""
    if world.policy.budget_by_target:
        _shared_budget(world, target).earn(now_ms=world.now_ms)
    else:
        world.retry_budget.earn()


def _spend_token(world: entities.World, target: str) -> bool:
    if world.policy.budget_by_target:
        return _shared_budget(world, target).spend(now_ms=world.now_ms)
    return world.retry_budget.spend()


def _has_no_attempts_left(
    world: entities.World, request: entities.RequestRow
) -> bool:
    route = request.work.route
    if route is None:
        return request.attempts >= world.policy.max_attempts
    # A server that declined did not run the request, so it does not count
    # against the route's limit.
    declined = request.attempts - request.possible_runs
    return (
        request.possible_runs >= route.max_attempts or declined > MAX_DECLINED
    )


def _shared_budget(world: entities.World, target: str) -> budget.SharedBudget:
    """Returns this daemon's share of the retry budget of `target`.

    It is divided by the highest number of daemons known so far: while their
    views of the membership differ, shares computed from the live daemons alone
    could add up to more than the whole budget.
    """
    policy = world.policy
    share = policy.retry_burst / world.max_expected_daemons
    shared = world.target_budgets.get(target)
    if shared is None:
        shared = world.target_budgets[target] = budget.SharedBudget(
            ratio=policy.retry_ratio,
            saved_ratio=policy.retry_saved_ratio,
            window_ms=policy.retry_window_ms,
            share=share,
            granted_at_ms=world.started_at_ms + policy.retry_window_ms,
        )
    shared.resize(share)
    return shared


__all__ = ["Limit", "budget_state", "earn", "try_acquire"]

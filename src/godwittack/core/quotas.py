"""Admits requests under the quotas of their workspaces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import effects, entities, return_times
from godwittack.limit import quota
from godwittack.table import model

if TYPE_CHECKING:
    from godwittack.core import inputs, policy, work


def tolerance(core_policy: policy.Policy) -> quota.Tolerance:
    """Returns the use beyond quotas that operators tolerate."""
    return quota.Tolerance(
        window_s=core_policy.quota_window_s,
        overage_ratio=core_policy.quota_overage_ratio,
        slack=core_policy.quota_slack,
        spare_ratio=core_policy.quota_spare_ratio,
        window_part=core_policy.quota_window_part,
    )


def check(
    world: entities.World,
    request: entities.RequestRow,
    workspace: model.WorkspaceRow,
) -> quota.Verdict | None:
    """Takes a request's units; returns the verdict if it is refused."""
    limit = _quota(workspace)
    if limit is None:
        return None
    units = _units(workspace, request.work)
    verdict = world.quotas.admit(
        workspace.name,
        limit,
        units=units,
        now_ms=world.now_ms,
        has_free_capacity=_has_free_capacity(world, request.work.target),
        honoured_ms=return_times.honoured_ms(world, request),
    )
    if not verdict.is_admitted:
        return verdict
    request.quota_units = units
    request.quota_runs = 1
    return None


def refuse(
    world: entities.World,
    request: entities.RequestRow,
    workspace: model.WorkspaceRow,
    verdict: quota.Verdict,
) -> None:
    """Refuses a request beyond its workspace's quota."""
    units = _units(workspace, request.work)
    detail = (
        f"workspace {workspace.name} has used its quota of"
        f" {workspace.quota_per_s:g} {workspace.quota_unit}/s"
    )
    if not verdict.retry_after_ms:
        detail = (
            f"it uses {units} {workspace.quota_unit}, more than the quota of"
            f" workspace {workspace.name} ever lets through at once"
        )
    world.emit(
        effects.Refuse(
            request_id=request.request_id,
            status=429,
            outcome=effects.Outcome.NOT_RUN,
            reason=effects.Reason.QUOTA,
            detail=detail,
            retry_after_ms=verdict.retry_after_ms,
        )
    )
    world.event(
        "refused",
        request.request_id,
        workspace=workspace.name,
        reason=effects.Reason.QUOTA.value,
        outcome=effects.Outcome.NOT_RUN.value,
        units=units,
        per_s=workspace.quota_per_s,
        burst=workspace.quota_burst,
        level=verdict.level,
        reach=verdict.reach,
        heard_ms_ago=verdict.heard_ms_ago,
        retry_after_ms=verdict.retry_after_ms,
        table=world.table.version,
    )


def record_dispatch(
    world: entities.World, request: entities.RequestRow
) -> None:
    """Takes a request's units again if it may run once more."""
    if not request.quota_runs or request.possible_runs <= request.quota_runs:
        return
    request.quota_runs += 1
    world.quotas.charge(
        request.workspace, units=request.quota_units, now_ms=world.now_ms
    )


def release(world: entities.World, request: entities.RequestRow) -> None:
    """Returns the units of runs of an ended request that never began."""
    spared_runs = request.quota_runs - request.possible_runs
    if spared_runs > 0:
        world.quotas.give_back(
            request.workspace, units=spared_runs * request.quota_units
        )


def apply_reports(world: entities.World, told: inputs.UsageTold) -> None:
    """Takes what another daemon admitted from the buckets here."""
    for usage in told.usages:
        workspace = world.table.workspaces.get(usage.workspace)
        limit = _quota(workspace) if workspace is not None else None
        if limit is not None:
            world.quotas.apply_report(
                told.daemon_id, usage, limit, now_ms=world.now_ms
            )


def report_usage(world: entities.World) -> None:
    """Reports use that the other daemons must know of."""
    due = world.quotas.due_reports(world.now_ms)
    if due and len(world.serving_daemons) > 1:
        world.emit(effects.TellUsage(tuple(due)))


def record_reach(world: entities.World, part: float) -> None:
    """Applies the part of the fleet that this daemon is in contact with.

    A daemon that does not serve gets no reports.
    """
    own_part = 1.0 / max(1, world.expected_daemons)
    is_serving = world.daemon in world.serving_daemons
    world.quotas.set_reach(
        max(own_part, part) if is_serving else own_part,
        daemons=len(world.serving_daemons),
        own_part=own_part,
        now_ms=world.now_ms,
    )


def record_members(world: entities.World, *, before: frozenset[str]) -> None:
    """Notes when this daemon begins to serve, from when it gets reports."""
    if world.daemon not in before and world.daemon in world.serving_daemons:
        world.quotas.start_listening(world.now_ms)


def _has_free_capacity(world: entities.World, target: str) -> bool:
    """Returns whether no request for a target waits for a server here."""
    return not any(map(len, world.queues.get(target, {}).values()))


def _quota(workspace: model.WorkspaceRow) -> quota.Quota | None:
    if workspace.quota_per_s <= 0:
        return None
    return quota.Quota(per_s=workspace.quota_per_s, burst=workspace.quota_burst)


def _units(workspace: model.WorkspaceRow, requested: work.Work) -> int:
    if workspace.quota_unit is model.QuotaUnit.REQUESTS:
        return 1
    if requested.used_tokens is None:
        return workspace.uncounted_tokens
    return requested.used_tokens


__all__ = [
    "apply_reports",
    "check",
    "record_dispatch",
    "record_members",
    "record_reach",
    "refuse",
    "release",
    "report_usage",
    "tolerance",
]

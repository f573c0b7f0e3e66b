"""Derives the inputs of a roll-out from the core's state of the servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import backlog, weights
from godwittack.daemon import rollout_log
from godwittack.lead import rollout

if TYPE_CHECKING:
    from godwittack.core import entities

# Mean wait at the servers above which a roll-out takes no more of them out of
# service than necessary: a third of the target latency of a short answer.
HIGH_LOAD_WAIT_MS = 80
LOWEST_PRIORITY = 9


def replicas(world: entities.World, model: str) -> list[rollout.Replica]:
    """Returns the servers that may have to load weights."""
    return [
        rollout.Replica(
            server_id=row.server_id,
            incarnation=row.incarnation,
            weights_version=row.weights_version,
            unfinished_requests=row.running + row.waiting + len(row.in_flight),
            is_reachable=row.ejected_until_ms <= world.now_ms,
            outdated_for_ms=weights.outdated_for_ms(world, row),
            accepts_work=not weights.are_too_old(world, row),
        )
        for row in world.servers_by_target[model].values()
        if _may_load(row)
    ]


def servers_behind(
    world: entities.World, model: str, desired_version: str
) -> frozenset[str]:
    """Returns the ids of the servers that lack a version.

    Called ten times a second on each daemon, whether it leads or not.
    """
    return frozenset(
        row.server_id
        for row in world.servers_by_target[model].values()
        if row.weights_version != desired_version and _may_load(row)
    )


def pace_inputs(
    world: entities.World, model: str, desired_version: str
) -> rollout_log.PaceInputs:
    """Returns the figures that decide the pace of a roll-out."""
    servers = world.servers_by_target[model].values()
    wait_ms = mean_wait_ms(world, model)
    return rollout_log.PaceInputs(
        desired_version=desired_version,
        oldest_ms=weights.longest_outdated_ms(world, model),
        too_old=sum(weights.are_too_old(world, row) for row in servers),
        wait_ms=wait_ms,
        is_under_load=wait_ms > HIGH_LOAD_WAIT_MS,
    )


def mean_wait_ms(world: entities.World, model: str) -> float:
    """Returns the mean wait of prompts at the servers that receive work.

    Servers with weights that are too old receive no requests, so none wait
    there. Included, they would lower the mean just when few servers handle
    all requests, and half of those would be taken out of service as well.
    """
    waits = [
        backlog.wait_ms(world, row, priority=LOWEST_PRIORITY)
        for row in world.servers_by_target[model].values()
        if not row.leaving
        and max(row.ejected_until_ms, row.draining_until_ms) <= world.now_ms
        and not weights.are_too_old(world, row)
    ]
    return sum(waits) / len(waits) if waits else 0.0


def _may_load(row: entities.ServerRow) -> bool:
    return bool(row.incarnation) and not row.leaving


__all__ = [
    "HIGH_LOAD_WAIT_MS",
    "servers_behind",
    "mean_wait_ms",
    "pace_inputs",
    "replicas",
]

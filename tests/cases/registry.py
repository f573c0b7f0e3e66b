"""Finds test cases by the sentences that name them."""

from __future__ import annotations

import asyncio
import importlib
import inspect

GROUPS = (
    "routed",
    "sourcing",
    "length_routing",
    "locality",
    "waiting",
    "urgent",
    "weights",
    "isolation",
    "leading",
    "rollouts",
    "rollout_bounds",
    "fleet_bounds",
    "serving",
    "connections",
    "late_copies",
    "plain_streams",
    "body_memory",
    "contracts",
    "crash_rows",
    "crowds",
    "crashing",
    "crashing_parts",
    "suspect_parts",
    "part_fleets",
    "feed_follower",
    "freshness",
    "confirming",
    "old_copies",
    "old_copies_real",
    "passed_changes",
    "fetching",
    "changes_in_force",
    "following",
    "adapter",
    "instance_rows",
    "odd_entries",
    "pace",
    "prefill_costs",
    "logs",
    "waits",
    "peers",
    "paced_updates",
    "starts",
    "joining",
    "limited",
    "rate_limits",
    "quotas",
    "connection_timeouts",
    "listeners",
    "inbound",
    "quarantines",
    "repeating",
    "repeats",
    "availability",
    "withdrawing",
    "cut_off",
    "stopping",
    "broken_off",
    "odd_answers",
    "torn_heads",
    "versions",
    "stream_versions",
    "stream_history",
    "split_streams",
    "out_of_step",
    "endless",
    "silent",
    "silent_servers",
    "paths",
    "relaying",
    "brittle",
    "fuzz",
    "engine_memory",
    "uneven_bench",
    "endings",
    "own_stop",
)


def play(group: str, name: str) -> None:
    """Runs the case of a group whose function is named like the sentence."""
    assert group in GROUPS, group
    module = importlib.import_module(f"cases.{group}")
    function = getattr(module, _identifier(name))
    result = function()
    if inspect.iscoroutine(result):
        asyncio.run(result)


def _identifier(name: str) -> str:
    return "".join(c if c.isalnum() else "_" for c in name.lower())

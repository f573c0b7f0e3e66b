"""Which cached state workspaces share as their isolation changes."""

from __future__ import annotations

import asyncio
import json
import random
import signal

from cases import routed_core
from cluster import platform
from godwittack.core import effects, inputs, server_inputs
from godwittack.placement import levels
from godwittack.platform import servers
from godwittack.table import forwarding

WORKSPACES = ("desk", "fair", "town", "harbour/7", "é")
HISTORIES = 300
CHANGES = 12
# Time within which a configuration is in force after its acknowledgement.
APPLY_S = 2.0
PROMPT = {"X-Godwittack-Prefix-Hash": "5c1e07a2:800,91bd3f06:100"}


def _owner(isolated: frozenset[str], workspace: str) -> str:
    return forwarding.Forwarding(isolated=isolated).cache_owner(workspace)


def no_history_of_isolation_shares_state() -> None:
    """Guards against state of an isolated workspace that others find."""
    for seed in range(HISTORIES):
        rng = random.Random(seed)
        makers: dict[str, set[str]] = {}
        for _ in range(CHANGES):
            present = rng.sample(WORKSPACES, rng.randint(1, len(WORKSPACES)))
            isolated = frozenset(w for w in present if rng.random() < 0.4)
            for user in present:
                made_by = makers.setdefault(_owner(isolated, user), set())
                foreign = made_by - {user}
                assert not (user in isolated and foreign), (seed, user, foreign)
                assert not foreign & isolated, (seed, user, foreign)
                made_by.add(user)


def equal_configurations_share_one_scope() -> None:
    """Guards against scopes that depend on what a daemon has seen before."""
    first = _owner(frozenset(("desk", "town")), "fair")
    assert first == _owner(frozenset(("town", "desk")), "harbour/7")
    assert first != _owner(frozenset(("desk",)), "fair")
    assert _owner(frozenset(), "fair") == ""


def a_workspace_named_like_a_group_stays_apart() -> None:
    """Guards against names of workspaces that are read as other scopes."""
    group = _owner(frozenset(("desk",)), "fair")
    for name in (group, group.removeprefix("/"), "a/b", "a b", "é"):
        owner = _owner(frozenset((name,)), name)
        assert owner and owner.isascii() and "/" not in owner, owner
        assert owner != group


def cache_events_are_found_under_the_scope_that_was_sent() -> None:
    """Guards against prompts placed by state that they can't use."""
    codec = servers.ServerFormat(lambda target: target)
    for isolated in (frozenset(), frozenset({"desk"}), frozenset({"é/1"})):
        for workspace in ("fair", "desk", "é/1"):
            owner = _owner(isolated, workspace)
            event = [1, "+", f"v3/{owner}", "ab12", 800, "m"]
            fields = {
                "boot-epoch": 1,
                "next": 2,
                "lost": False,
                "events": [event],
            }
            body = json.dumps(fields).encode()
            (read,) = codec.read_events(body, "e1").events
            expected = levels.key_for_name(owner, "ab12")
            assert read.level_key == levels.key_for_weights(expected, "3"), (
                event
            )


def a_request_that_waits_takes_the_scope_in_force() -> None:
    """Guards against state shared by what was accepted before a change."""
    core = routed_core.Core(servers=1, hold_ms=0)
    report = {
        "server_id": "e1",
        "incarnation": "e1",
        "weights_version": "1",
        "prefill_us_per_token": 100,
        "slots": 1,
    }
    core.tell_named(
        server_inputs.LoadReported,
        running=1,
        waiting=8,
        waiting_tokens=4_000,
        **report,
    )
    core.arrive("long", "held")
    assert not core.find(effects.Dispatch), core.last_effects
    core.tell(
        inputs.TableChanged, routed_core.table(2, isolated=frozenset({"fair"}))
    )
    core.now_ms += 100
    core.tell_named(
        server_inputs.LoadReported,
        running=0,
        waiting=0,
        waiting_tokens=0,
        **report,
    )
    group = _owner(frozenset({"fair"}), "desk")
    assert core.dispatch().cache_scope == f"v1/{group}"


def _tenants(isolated: frozenset[str], *names: str) -> list[dict]:
    return [
        {
            "name": name,
            "api-keys": [f"key-of-{name}"],
            "isolated": name in isolated,
        }
        for name in names
    ]


async def others_find_nothing_of_a_workspace_that_was_isolated() -> None:
    """Guards against state that stays shared after a change of isolation."""
    desk = frozenset({"desk"})
    changes = (
        _tenants(frozenset(), "desk", "fair"),
        _tenants(desk, "desk", "fair"),
        _tenants(frozenset(), "desk", "fair"),
        _tenants(desk, "desk", "fair"),
        _tenants(frozenset({"office"}), "office", "fair"),
    )
    makers: dict[tuple[str, str], set[str]] = {}
    async with platform.Platform(daemons=3) as cluster:
        for version, tenants in enumerate(changes, 2):
            cluster.store.put(
                "op",
                "config",
                {**platform.config(version), "tenants": tenants},
            )
            await asyncio.sleep(APPLY_S)
            if version == len(changes):
                cluster.signal(2, signal.SIGKILL)
                await cluster.processes[2].wait()
                await cluster.restart_daemon(2)
                await cluster.until_ready(2)
            await _ask_all(cluster, version, tenants)
            _check_state(cluster, version, tenants, makers)


async def _ask_all(
    cluster: platform.Platform, version: int, tenants: list[dict]
) -> None:
    for daemon in range(len(cluster.fields)):
        for tenant in tenants:
            status, _, _ = await cluster.call(
                "long",
                f"{version}-{daemon}-{tenant['name']}",
                daemon=daemon,
                key=tenant["api-keys"][0],
                headers=PROMPT,
            )
            assert status == 200, (version, daemon, tenant, status)


def _check_state(
    cluster: platform.Platform,
    version: int,
    tenants: list[dict],
    makers: dict[tuple[str, str], set[str]],
) -> None:
    """Checks the runs of one version against all that made state before."""
    isolated = {tenant["name"] for tenant in tenants if tenant["isolated"]}
    for name, replica in cluster.replicas.items():
        for run in replica.ran:
            if not run.request_id.startswith(f"{version}-"):
                continue
            made_by = makers.setdefault((name, run.scope), set())
            foreign = made_by - {run.workspace}
            assert not foreign & isolated, (run, foreign)
            assert not (foreign and run.workspace in isolated), (run, foreign)
            made_by.add(run.workspace)

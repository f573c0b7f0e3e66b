"""Keeps the table of backend servers: lists, loads, caches, failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    availability,
    crashes,
    entities,
    incarnation,
    inputs,
    server_inputs,
    weights,
)

if TYPE_CHECKING:
    from godwittack.core import work


# Time for which a server that reset a new connection counts as full.
FULL_AFTER_RESET_MS = 300


def apply_list_entry(
    world: entities.World, told: server_inputs.ServerListed
) -> None:
    """Takes in an entry of the instance list."""
    if told.gone:
        _remove(world, told.server_id)
        return
    server = world.servers.get(told.server_id)
    if server and _is_of_earlier_start(server, told.incarnation):
        return
    if server and (server.address, server.target) != (
        told.address,
        told.target,
    ):
        _remove(world, told.server_id)
        server = None
    if server is None:
        server = entities.ServerRow(
            server_id=told.server_id,
            address=told.address,
            target=told.target,
            failure_domain=told.failure_domain,
        )
        world.servers[told.server_id] = server
        world.servers_by_target[told.target][told.server_id] = server
        availability.apply_notice(world, server)
    _take_listed_state(world, server, told)
    # The list lags: it may still show a server as live that has said itself
    # that it leaves. Only a new incarnation takes that back.
    if told.leaving:
        _leaves(world, told, server_inputs.Source.LIST)


def _take_listed_state(
    world: entities.World,
    server: entities.ServerRow,
    told: server_inputs.ServerListed,
) -> None:
    """Believes what the list says of a server, unless more is known.

    The list lags behind a server's own reports: an older version there would
    take back what an engine has said of itself since.
    """
    if told.slots and not server.slots:
        server.slots = told.slots
    if not told.incarnation:
        return
    restarted = incarnation.is_older(server.incarnation, told.incarnation)
    newer = weights.is_newer(told.weights_version, server.weights_version)
    if server.incarnation and not restarted and not newer:
        return
    _see_state(world, server, told.incarnation, told.weights_version)
    world.freed_targets.add(server.target)


def apply_draining(
    world: entities.World, told: server_inputs.ServerDraining
) -> None:
    """Keeps new work from a server until a time, for a load of weights."""
    server = world.servers.get(told.server_id)
    if server is not None:
        server.draining_until_ms = told.until_ms


def apply_load_report(
    world: entities.World, told: server_inputs.LoadReported
) -> None:
    """Takes in a load report unless a newer one is known."""
    server = world.servers.get(told.server_id)
    true_at_ms = told.at_ms - told.age_ms
    if server is None or _is_of_earlier_start(server, told.incarnation):
        return
    restarted = incarnation.is_older(server.incarnation, told.incarnation)
    if true_at_ms < server.reported_at_ms and not restarted:
        return
    if not _is_outdated(world, server, told):
        _see_state(world, server, told.incarnation, told.weights_version)
    server.reported_at_ms = true_at_ms
    server.running = told.running
    server.waiting = told.waiting
    server.waiting_tokens = told.waiting_tokens
    server.prefill_us_per_token = told.prefill_us_per_token
    server.slots = told.slots or server.slots
    if told.leaving:
        _leaves(world, told, server_inputs.Source.REPORT)
    world.freed_targets.add(server.target)


def _is_outdated(
    world: entities.World,
    server: entities.ServerRow,
    told: server_inputs.LoadReported,
) -> bool:
    """Returns whether a report was made before the weights known here.

    Reports are some hundred milliseconds old, and the list may have told of
    new weights since. Believed, an old one would have requests sent for
    weights that are gone, and the same load ordered twice.
    """
    return (
        world.table.forwarding is not None
        and server.incarnation == told.incarnation
        and server.weights_version != told.weights_version
        and not weights.is_newer(told.weights_version, server.weights_version)
    )


def apply_echoed_load(
    world: entities.World, told: server_inputs.LoadEchoed
) -> None:
    """Takes in the load that came with an answer."""
    server = world.servers.get(told.server_id)
    if server is None:
        return
    server.reported_at_ms = told.at_ms
    server.heard_at_ms = max(server.heard_at_ms, told.at_ms)
    server.running = told.running
    server.waiting = told.waiting
    server.slots = told.slots or server.slots
    world.freed_targets.add(server.target)


def apply_cache_digest(
    world: entities.World, told: server_inputs.CacheDigest
) -> None:
    """Takes in what changed in an engine's cache."""
    server = world.servers.get(told.server_id)
    if server is None or server.incarnation != told.incarnation:
        return
    # Keys of routed requests' levels hold the weights' version themselves.
    by_version = world.table.forwarding is None
    if by_version and server.weights_version != told.weights_version:
        return
    cache = server.cache
    if told.cleared:
        cache.clear()
    for key in told.removed:
        cache.forget(key)
    tokens = told.tokens or (0,) * len(told.stored)
    for key, stored in zip(told.stored, tokens, strict=True):
        cache.note(
            key,
            now_ms=world.now_ms,
            limit=world.policy.max_residency,
            tokens=stored,
        )


def record_contact(world: entities.World, server_id: str) -> None:
    """Notes that a server said something."""
    server = world.servers.get(server_id)
    if server is not None:
        server.heard_at_ms = world.now_ms


def apply_probe_result(
    world: entities.World, told: server_inputs.ProbeAnswered
) -> None:
    """Takes in whether a fresh connection to a server worked."""
    server = world.servers.get(told.server_id)
    if server is None:
        return
    if told.alive:
        # Not 0: the next request is a trial.
        server.ejected_until_ms = world.now_ms
        world.freed_targets.add(server.target)
    else:
        _eject(world, server, "probe failed")


def record_success(world: entities.World, attempt: entities.AttemptRow) -> None:
    """Counts an attempt that ended well."""
    server = world.servers.get(attempt.server_id)
    if server is not None:
        server.failures = 0
        server.ejected_until_ms = 0


def record_failure(
    world: entities.World,
    attempt: entities.AttemptRow,
    told: inputs.AttemptFailed,
) -> None:
    """Counts an attempt that failed; refusals are no failures."""
    server = world.servers.get(attempt.server_id)
    if server is None:
        return
    if told.cause is inputs.FailureCause.REFUSED:
        if told.phase is inputs.FailurePhase.CONNECT:
            server.full_until_ms = world.now_ms + FULL_AFTER_RESET_MS
        return
    if told.cause is inputs.FailureCause.OTHER_SERVER:
        # Another process has its address: at this one it is gone for good.
        crashes.record_process_end(world, server)
        _mark_gone_here(world, server)
        return
    if told.cause is inputs.FailureCause.ENDED:
        crashes.record_process_end(world, server)
    if told.phase is inputs.FailurePhase.CONNECT:
        # The process is gone or starts anew: its cache is empty either way.
        server.cache.clear()
        _eject(world, server, told.detail)
    else:
        _suspect(world, server, told.detail)


def record_missing_first_frame(
    world: entities.World, attempt: entities.AttemptRow
) -> None:
    """Counts an attempt that showed no first frame."""
    server = world.servers.get(attempt.server_id)
    if server is not None:
        _suspect(world, server, "silent before the first frame")


def apply_echoed_state(
    world: entities.World, server_id: str, stamp: work.Stamp
) -> None:
    """Believes the state that an engine itself gave with an answer."""
    server = world.servers.get(server_id)
    if server is None or _is_of_earlier_start(server, stamp.incarnation):
        return
    if stamp.incarnation:
        _see_state(world, server, stamp.incarnation, stamp.weights_version)


def _see_state(
    world: entities.World,
    server: entities.ServerRow,
    seen_incarnation: str,
    weights_version: str,
) -> None:
    if (server.incarnation, server.weights_version) == (
        seen_incarnation,
        weights_version,
    ):
        return
    if server.incarnation and server.incarnation != seen_incarnation:
        crashes.record_process_end(world, server)
        _forget_process(server)
    if server.weights_version != weights_version:
        # New weights are what it was drained for.
        server.draining_until_ms = 0
    restarted = server.incarnation not in ("", seen_incarnation)
    server.incarnation = seen_incarnation
    server.weights_version = weights_version
    server.cache.clear()
    availability.reconcile_notice(world, server)
    world.event(
        "server_restarted" if restarted else "server_state",
        server=server.server_id,
        incarnation=seen_incarnation,
        weights=weights_version,
    )


def _is_of_earlier_start(server: entities.ServerRow, told: str) -> bool:
    """Returns whether news is of a process that has ended since.

    News of a server that started again under its id may still come in from a
    peer, the list, a report or an answer. Believed, it would give the new
    process the cache, the leaving or the weights of the one before.
    """
    return bool(told) and incarnation.is_older(told, server.incarnation)


def _forget_process(server: entities.ServerRow) -> None:
    """Drops what was true of the process that a server ran before.

    Its connections broke with it; attempts that were sent there end by that.
    """
    server.leaving = False
    server.draining_until_ms = 0
    server.failures = 0
    server.ejected_until_ms = 0
    server.full_until_ms = 0
    server.rest_until_ms = 0
    server.limit = None
    server.trial_attempt = ""
    server.reported_at_ms = -1
    server.running = 0
    server.waiting = 0
    server.waiting_tokens = 0
    server.sent.clear()
    server.backlog.clear()
    server.begun_sent_ms.clear()


def _leaves(
    world: entities.World,
    told: server_inputs.ServerListed | server_inputs.LoadReported,
    source: server_inputs.Source,
) -> None:
    availability.record_leaving(
        world,
        server_inputs.ServerLeaving(
            world.now_ms, told.server_id, told.incarnation, source
        ),
    )


def _mark_gone_here(world: entities.World, server: entities.ServerRow) -> None:
    """Keeps a server from service until it is listed at another address."""
    if not server.leaving:
        server.leaving = True
        world.event(
            "server_leaving",
            server=server.server_id,
            leaving=1,
            start=server.incarnation,
            source="other_server",
        )


def _remove(world: entities.World, server_id: str) -> None:
    server = world.servers.pop(server_id, None)
    if server is not None:
        crashes.record_process_end(world, server)
        availability.drop_unnamed_notice(world, server_id)
        world.servers_by_target[server.target].pop(server_id, None)
        world.event("server_gone", server=server_id)


def _suspect(
    world: entities.World, server: entities.ServerRow, detail: str
) -> None:
    """Counts a failure that one connection alone may have had.

    Pausing a server for one broken connection would refuse work that it
    could do; with a single server of a service, all of it.
    """
    if server.failures + 1 < world.policy.failures_to_eject:
        server.failures += 1
        return
    _eject(world, server, detail)


def _eject(
    world: entities.World, server: entities.ServerRow, detail: str
) -> None:
    server.failures += 1
    server.ejected_at_ms = world.now_ms
    server.ejected_until_ms = world.now_ms + ejection_ms(world, server)
    world.event(
        "server_ejected",
        server=server.server_id,
        failures=server.failures,
        until_ms=server.ejected_until_ms - world.now_ms,
        detail=detail,
    )


def ejection_ms(world: entities.World, server: entities.ServerRow) -> int:
    """Returns the pause of a server by its failures in a row."""
    doubled = world.policy.eject_ms * 2 ** min(server.failures - 1, 10)
    return min(doubled, world.policy.eject_max_ms)


__all__ = [
    "apply_cache_digest",
    "apply_draining",
    "record_failure",
    "record_contact",
    "apply_echoed_load",
    "apply_list_entry",
    "apply_load_report",
    "ejection_ms",
    "apply_probe_result",
    "record_missing_first_frame",
    "apply_echoed_state",
    "record_success",
]

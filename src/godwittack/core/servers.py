"""Updates the backend servers' rows: list, load, cache, failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    availability,
    brittle,
    crashes,
    entities,
    incarnation,
    inputs,
    memory_records,
    memory_updates,
    pace_sharing,
    paths,
    server_inputs,
    software,
    uneven,
    weights,
)

if TYPE_CHECKING:
    from godwittack.core import work


# Time for which a server that reset a new connection is considered full.
FULL_AFTER_RESET_MS = 300
# Reports are less than a second old, and made once a second: a server whose
# reports have older weights for longer has gone back to them.
REVERTED_AFTER_MS = 3_000


def apply_list_entry(
    world: entities.World, entry: server_inputs.ServerListed
) -> None:
    """Applies an entry of the instance list, or its removal."""
    if entry.gone:
        _remove(world, entry.server_id)
        return
    server = world.servers.get(entry.server_id)
    if server and _is_from_earlier_incarnation(server, entry.incarnation):
        return
    if server and (server.address, server.target) != (
        entry.address,
        entry.target,
    ):
        _remove(world, entry.server_id)
        server = None
    if server is None:
        server = entities.ServerRow(
            server_id=entry.server_id,
            address=entry.address,
            target=entry.target,
            failure_domain=entry.failure_domain,
        )
        world.servers[entry.server_id] = server
        world.servers_by_target[entry.target][entry.server_id] = server
        world.preferred_engines.pop(entry.target, None)
        availability.apply_notice(world, server)
    _apply_listed_state(world, server, entry)
    # The list lags: it may still show as live a server that has announced that
    # it is leaving. Only a new incarnation revokes that.
    if entry.leaving:
        _record_leaving(world, entry, server_inputs.Source.LIST)


def _apply_listed_state(
    world: entities.World,
    server: entities.ServerRow,
    entry: server_inputs.ServerListed,
) -> None:
    """Applies the state in a list entry unless newer state is known.

    The list lags behind a server's own reports: an older version in it would
    overwrite what the engine has reported since.
    """
    if entry.slots and not server.slots:
        server.slots = entry.slots
    software.record_listed(world, server, entry.software_version)
    if not entry.incarnation:
        return
    restarted = incarnation.is_older(server.incarnation, entry.incarnation)
    newer = weights.is_newer(entry.weights_version, server.weights_version)
    if server.incarnation and not restarted and not newer:
        return
    _update_state(world, server, entry.incarnation, entry.weights_version)
    world.targets_to_dispatch.add(server.target)


def apply_draining(
    world: entities.World, draining: server_inputs.ServerDraining
) -> None:
    """Withholds new work from a server while it loads weights."""
    server = world.servers.get(draining.server_id)
    if server is not None:
        server.draining_until_ms = draining.until_ms


def apply_load_report(
    world: entities.World, report: server_inputs.LoadReported
) -> None:
    """Applies a load report unless a newer one is known."""
    server = world.servers.get(report.server_id)
    measured_at_ms = report.at_ms - report.age_ms
    if server is None or _is_from_earlier_incarnation(
        server, report.incarnation
    ):
        return
    restarted = incarnation.is_older(server.incarnation, report.incarnation)
    is_outdated = _is_outdated(world, server, report)
    if measured_at_ms < server.reported_at_ms and not restarted:
        # Answers have brought a newer load, but never the memory in use.
        memory_updates.apply_report(world, server, report)
        return
    if not is_outdated:
        _update_state(world, server, report.incarnation, report.weights_version)
    server.reported_at_ms = measured_at_ms
    crashes.record_report(world, server, report)
    server.running = report.running
    server.waiting = report.waiting
    server.waiting_tokens = report.waiting_tokens
    server.prefill_us_per_token = report.prefill_us_per_token
    server.slots = report.slots or server.slots
    memory_updates.apply_report(world, server, report)
    if report.leaving:
        _record_leaving(world, report, server_inputs.Source.REPORT)
    world.targets_to_dispatch.add(server.target)


def _is_outdated(
    world: entities.World,
    server: entities.ServerRow,
    report: server_inputs.LoadReported,
) -> bool:
    """Returns whether a report predates the weights known here.

    Reports are some hundred milliseconds old, and the list may have announced
    new weights since. If an old one were applied, requests would be sent for
    weights that are gone, and the same load would be ordered twice. A server
    may also go back to older weights, by an order that it carries out late; if
    its reports were ignored for good, it would decline all requests.
    """
    is_older = (
        world.table.forwarding is not None
        and server.incarnation == report.incarnation
        and server.weights_version != report.weights_version
        and not weights.is_newer(report.weights_version, server.weights_version)
    )
    if not is_older:
        server.older_weights_since_ms = -1
        return False
    if server.older_weights_since_ms < 0:
        server.older_weights_since_ms = world.now_ms
    older_for_ms = world.now_ms - server.older_weights_since_ms
    return older_for_ms < REVERTED_AFTER_MS


def apply_echoed_load(
    world: entities.World, load: server_inputs.LoadEchoed
) -> None:
    """Applies the load that a server sent with an answer."""
    server = world.servers.get(load.server_id)
    if server is None:
        return
    server.reported_at_ms = load.at_ms
    if load.is_relayed:
        server.heard_alive_ms = load.at_ms
    else:
        server.last_contact_ms = max(server.last_contact_ms, load.at_ms)
    server.running = load.running
    server.waiting = load.waiting
    server.slots = load.slots or server.slots
    pace_sharing.apply_header(world, server, load)
    world.targets_to_dispatch.add(server.target)


def apply_cache_digest(
    world: entities.World, digest: server_inputs.CacheDigest
) -> None:
    """Applies the changes in an engine's cache."""
    server = world.servers.get(digest.server_id)
    if server is None or server.incarnation != digest.incarnation:
        return
    # Level keys of routed requests include the version of the weights.
    keys_lack_version = world.table.forwarding is None
    if keys_lack_version and server.weights_version != digest.weights_version:
        return
    cache = server.cache
    if digest.cleared:
        cache.clear()
    for key in digest.removed:
        cache.forget(key)
    tokens = digest.tokens or (0,) * len(digest.stored)
    for key, stored_tokens in zip(digest.stored, tokens, strict=True):
        cache.record(
            key,
            cached_at_ms=world.now_ms,
            max_keys=world.policy.max_residency,
            tokens=stored_tokens,
        )


def record_contact(world: entities.World, attempt: entities.AttemptRow) -> None:
    """Records when this daemon last received something from a server."""
    server = world.servers.get(attempt.server_id)
    if server is None:
        return
    if attempt.relay:
        server.heard_alive_ms = world.now_ms
    else:
        server.last_contact_ms = world.now_ms


def apply_probe_result(
    world: entities.World, result: server_inputs.ProbeAnswered
) -> None:
    """Applies the result of a probe."""
    server = world.servers.get(result.server_id)
    if server is None:
        return
    if result.alive:
        if paths.is_lost(server) and not result.fresh_connection:
            return
        # Not 0, which would end the ejection: the next request is a trial.
        server.ejected_until_ms = world.now_ms
        paths.restore(world, server)
        world.targets_to_dispatch.add(server.target)
        return
    detail = _probe_detail(result)
    if not paths.is_alive_elsewhere(server):
        _eject(world, server, detail)
    if result.broken:
        # The connection was open: this daemon reaches the server.
        paths.verify(world, server, is_verified=result.fresh_connection)
        return
    has_own_requests = bool(server.in_flight or server.possible_crashes)
    paths.lose(
        world,
        server,
        is_refused=result.ended,
        detail=detail,
        asks=has_own_requests and not result.was_asked,
    )


def _probe_detail(result: server_inputs.ProbeAnswered) -> str:
    if result.ended:
        return "probe refused"
    return "probe broken" if result.broken else "probe not answered"


def record_success(world: entities.World, attempt: entities.AttemptRow) -> None:
    """Resets a server's failures and ejection after a success."""
    if attempt.relay:
        paths.record_relayed(world, attempt)
        return
    server = world.servers.get(attempt.server_id)
    if server is None:
        return
    if paths.is_lost(server):
        # The connection may be older than the loss of the path.
        paths.probe_soon(world, server)
    else:
        server.consecutive_failures = 0
        server.ejected_until_ms = 0


def record_failure(
    world: entities.World,
    attempt: entities.AttemptRow,
    failure: inputs.AttemptFailed,
) -> None:
    """Counts a failed attempt; a refusal is not a failure."""
    server = world.servers.get(attempt.server_id)
    if server is None:
        return
    if failure.cause is inputs.FailureCause.REFUSED:
        brittle.record_rejection(world, server)
    if failure.cause is inputs.FailureCause.ENDLESS:
        # Already ejected if this daemon itself has read the answer.
        if world.now_ms >= server.ejected_until_ms:
            _eject(world, server, failure.detail)
        return
    if attempt.relay and failure.cause is not inputs.FailureCause.OTHER_SERVER:
        paths.record_relay_failure(world, attempt, failure)
        return
    if failure.cause is inputs.FailureCause.REFUSED:
        if failure.phase is inputs.FailurePhase.CONNECT:
            server.full_until_ms = world.now_ms + FULL_AFTER_RESET_MS
        return
    if failure.cause is inputs.FailureCause.OTHER_SERVER:
        # Another process has its address: the server won't return there.
        crashes.record_process_end(world, server)
        _mark_gone_at_address(world, server)
        return
    if failure.phase is inputs.FailurePhase.CONNECT:
        if not paths.is_lost(server):
            _eject(world, server, failure.detail)
        paths.lose(
            world,
            server,
            is_refused=failure.cause is inputs.FailureCause.ENDED,
            detail=failure.detail,
        )
    else:
        _count_failure(world, server, failure.detail)


def apply_endless_answer(
    world: entities.World, answer: server_inputs.EndlessAnswer
) -> None:
    """Ejects a server that sent something without an end.

    Unlike a broken connection, which may be the only one, this shows that the
    server itself is at fault.
    """
    world.event(
        "endless_answer",
        server=answer.server_id,
        what=answer.what,
        bytes=answer.size_bytes,
    )
    server = world.servers.get(answer.server_id)
    if (
        server is None
        or _is_from_earlier_incarnation(server, answer.incarnation)
        or world.now_ms < server.ejected_until_ms
    ):
        return
    _eject(world, server, f"endless {answer.what}")


def record_missing_first_frame(
    world: entities.World, attempt: entities.AttemptRow
) -> None:
    """Counts an attempt whose first frame did not arrive in time."""
    server = world.servers.get(attempt.server_id)
    if server is None:
        return
    if attempt.relay:
        paths.record_failed_relay(world, server, attempt.relay)
    else:
        _count_failure(world, server, "silent before the first frame")


def apply_echoed_state(
    world: entities.World, server_id: str, stamp: work.Stamp
) -> None:
    """Applies the state that an engine sent with an answer."""
    server = world.servers.get(server_id)
    if server is None or _is_from_earlier_incarnation(
        server, stamp.incarnation
    ):
        return
    if stamp.incarnation:
        _update_state(world, server, stamp.incarnation, stamp.weights_version)


def _update_state(
    world: entities.World,
    server: entities.ServerRow,
    new_incarnation: str,
    weights_version: str,
) -> None:
    if (server.incarnation, server.weights_version) == (
        new_incarnation,
        weights_version,
    ):
        return
    if server.incarnation and server.incarnation != new_incarnation:
        crashes.record_process_end(world, server)
        brittle.forget(world, server)
        _reset_process_state(server)
    if server.weights_version != weights_version:
        # It was drained in order to load these weights.
        server.draining_until_ms = 0
    restarted = server.incarnation not in ("", new_incarnation)
    server.incarnation = new_incarnation
    server.weights_version = weights_version
    server.older_weights_since_ms = -1
    server.cache.clear()
    availability.reconcile_notice(world, server)
    world.event(
        "server_restarted" if restarted else "server_state",
        server=server.server_id,
        incarnation=new_incarnation,
        weights=weights_version,
    )


def _is_from_earlier_incarnation(
    server: entities.ServerRow, reported_incarnation: str
) -> bool:
    """Returns whether a message is about a process that has ended since.

    After a server has restarted under its id, messages about the previous
    process may still arrive from a peer, the list, a report or an answer. If
    they were applied, the new process would be given the cache, the leaving
    state or the weights of the previous one.
    """
    return bool(reported_incarnation) and incarnation.is_older(
        reported_incarnation, server.incarnation
    )


def _reset_process_state(server: entities.ServerRow) -> None:
    """Resets the state that belonged to a server's previous process.

    The connections broke when that process ended, which also ends the attempts
    sent over them.
    """
    server.leaving = False
    server.draining_until_ms = 0
    server.consecutive_failures = 0
    server.ejected_until_ms = 0
    server.full_until_ms = 0
    server.rest_until_ms = 0
    server.rate_limit = None
    server.trial_attempt_id = ""
    paths.forget(server)
    server.reported_at_ms = -1
    server.running = 0
    server.waiting = 0
    server.waiting_tokens = 0
    server.in_flight.clear()
    server.backlog_until_ms.clear()
    server.pace.reset_process()
    server.last_answered_sent_ms.clear()
    server.memory = memory_records.ServerMemory()


def _record_leaving(
    world: entities.World,
    report: server_inputs.ServerListed | server_inputs.LoadReported,
    source: server_inputs.Source,
) -> None:
    availability.record_leaving(
        world,
        server_inputs.ServerLeaving(
            world.now_ms, report.server_id, report.incarnation, source
        ),
    )


def _mark_gone_at_address(
    world: entities.World, server: entities.ServerRow
) -> None:
    """Marks a server as leaving until it is listed at another address."""
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
        brittle.forget(world, server)
        software.record_gone(world, server)
        availability.drop_unnamed_notice(world, server_id)
        world.servers_by_target[server.target].pop(server_id, None)
        world.preferred_engines.pop(server.target, None)
        uneven.forget_unlisted(world, server.target)
        world.event("server_gone", server=server_id)


def _count_failure(
    world: entities.World, server: entities.ServerRow, detail: str
) -> None:
    """Counts a failure that may concern a single connection only.

    Ejecting a server for one broken connection would refuse work that it
    could do; all of the work, where a service has only this server.
    """
    if server.consecutive_failures + 1 < world.policy.failures_to_eject:
        server.consecutive_failures += 1
        return
    _eject(world, server, detail)


def _eject(
    world: entities.World, server: entities.ServerRow, detail: str
) -> None:
    server.consecutive_failures += 1
    server.ejected_at_ms = world.now_ms
    server.ejected_until_ms = world.now_ms + ejection_ms(world, server)
    world.event(
        "server_ejected",
        server=server.server_id,
        failures=server.consecutive_failures,
        until_ms=server.ejected_until_ms - world.now_ms,
        detail=detail,
        # A report that is newer than the ejection shows a live server that
        # this daemon can't reach.
        report_age_ms=world.now_ms - server.reported_at_ms
        if server.reported_at_ms >= 0
        else -1,
    )


def ejection_ms(world: entities.World, server: entities.ServerRow) -> int:
    """Returns how long to eject a server, by its consecutive failures."""
    doubled = world.policy.eject_ms * 2 ** min(
        server.consecutive_failures - 1, 10
    )
    return min(doubled, world.policy.eject_max_ms)


__all__ = [
    "apply_cache_digest",
    "apply_draining",
    "apply_echoed_load",
    "apply_echoed_state",
    "apply_endless_answer",
    "apply_list_entry",
    "apply_load_report",
    "apply_probe_result",
    "ejection_ms",
    "record_contact",
    "record_failure",
    "record_missing_first_frame",
    "record_success",
]

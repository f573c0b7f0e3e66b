"""Probes servers that stopped responding, well before requests time out.

Load pattern: a server stops responding under full load. Its connections stay
open but carry nothing, and it stays listed until its entry expires, some four
seconds later. Without probes, every daemon would learn of the failure only
from the requests that it loses there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    availability,
    crashes,
    effects,
    entities,
    hedging,
    paths,
    server_inputs,
    servers,
    silence,
)
from godwittack.member import assignment

if TYPE_CHECKING:
    from collections.abc import Iterable

# Extra delay of the last daemon to probe a server in a large fleet; the others
# are spread below it, and the first that gets no response notifies them. When
# sixty daemons probed at once, their probes were half of all calls to engines
# besides requests, mostly for prompts that took a little longer.
PROBE_SPREAD_MS = 600
# Daemons that tell all others of a silent server, and the time in which they
# count. One alone may be cut off from some.
DOUBTS_TOLD = 2
DOUBT_SPREADS_MS = 1_000
# Multiple of a plain service's smoothed response time after which it is probed.
# A probe waits in the same queue as calls and makes it longer.
SERVICE_TIME_FACTOR = 3.0


def probe_unresponsive(world: entities.World) -> None:
    """Probes servers that have requests in flight but do not respond."""
    if world.table.forwarding is None:
        return
    for server in world.servers.values():
        crashes.clear_outlived(world, server)
        is_lost = paths.is_lost(server)
        if not is_lost and crashes.needs_sign_of_life(world, server):
            silence.probe(world, server)
        if not server.in_flight:
            continue
        if is_lost:
            _ask_silent_relays(world, server)
        elif _is_unresponsive(world, server):
            silence.probe(world, server)


def check_ejected(world: entities.World) -> None:
    """Checks whether ejected servers are back when their ejection ends."""
    for server in world.servers.values():
        if paths.is_lost(server):
            _check_lost(world, server)
            continue
        is_ejection_over = 0 < server.ejected_until_ms <= world.now_ms
        if (
            not server.consecutive_failures
            or not is_ejection_over
            or server.leaving
        ):
            continue
        if availability.is_resting(world, server):
            continue
        if server.reported_at_ms > server.ejected_at_ms:
            servers.apply_probe_result(
                world,
                server_inputs.ProbeAnswered(
                    world.now_ms, server.server_id, alive=True
                ),
            )
            continue
        server.ejected_until_ms = world.now_ms + servers.ejection_ms(
            world, server
        )
        if not _is_reported_by_another(world, server):
            world.emit(effects.Probe(server.server_id, server.address))


def _check_lost(world: entities.World, server: entities.ServerRow) -> None:
    """Checks whether a lost path works again.

    A server that is known to be alive is probed at a fixed interval, as only
    the path is at fault. Load reports that others received don't count.
    """
    if not paths.is_probe_due(world, server) or server.leaving:
        return
    if availability.is_resting(world, server):
        return
    is_alive = paths.is_alive_elsewhere(server)
    server.path_probe_at_ms = world.now_ms + (
        paths.PROBE_INTERVAL_MS
        if is_alive
        else servers.ejection_ms(world, server)
    )
    if is_alive or not _is_reported_by_another(world, server):
        world.emit(
            effects.Probe(
                server.server_id, server.address, fresh_connection=True
            )
        )


def _is_reported_by_another(
    world: entities.World, server: entities.ServerRow
) -> bool:
    """Returns whether another daemon's reports will show that a server is back.

    In a large fleet one daemon polls each engine and publishes its load. The
    subscribers of those reports need no probes of their own.
    """
    if len(world.live_daemons) <= assignment.MESH_LIMIT:
        return False
    if server.target not in world.table.models or server.reported_at_ms < 0:
        return False
    report_age_ms = server.ejected_at_ms - server.reported_at_ms
    return report_age_ms < world.policy.report_stale_ms


def handle_suspected(
    world: entities.World, report: server_inputs.ServerDoubted
) -> None:
    """Probes a server that did not respond to another daemon.

    Each daemon probes for itself: were the report trusted, one daemon with a
    broken network path would make all others eject every server.
    """
    server = world.servers.get(report.server_id)
    if server is None:
        return
    _forget_old_doubts(world, server)
    server.doubted_by[report.daemon] = world.now_ms
    if server.ejected_until_ms <= world.now_ms:
        silence.probe(world, server)


def apply_result(
    world: entities.World, result: server_inputs.ProbeAnswered
) -> None:
    """Records the result of a probe, and whether a server is silent."""
    server = world.servers.get(result.server_id)
    if server is None:
        return
    if result.alive and not paths.was_quick_restart(world, server):
        crashes.record_health_response(world, server, result.incarnation)
    if result.alive:
        server.last_contact_ms = world.now_ms
        if not server.ejected_until_ms:
            hedging.check_target(world, server.target)
            return
    has_timed_out = not (result.alive or result.ended or result.broken)
    if has_timed_out and silence.was_paused(world, result.late_ms):
        # Its answer may wait to be read.
        world.emit(
            effects.Probe(
                server.server_id, server.address, result.fresh_connection
            )
        )
        return
    was_in_service = not server.ejected_until_ms
    is_silent = not result.alive and world.table.forwarding is not None
    # A daemon that is cut off would make all others doubt live servers.
    if (
        is_silent
        and was_in_service
        and not paths.is_cut_off(world)
        and not _is_widely_doubted(world, server)
    ):
        world.emit(effects.Doubt(server.server_id, server.target))
    servers.apply_probe_result(world, result)
    if is_silent:
        _suspect(
            world,
            _own_attempts(server),
            "its server gave no sign of life",
            entities.Silence.SERVER,
        )


def _is_widely_doubted(
    world: entities.World, server: entities.ServerRow
) -> bool:
    """Returns whether several daemons have told all others a moment ago.

    When a server ends, most daemons notice it within a second: if each told all
    others, the messages would grow with the square of their number.
    """
    _forget_old_doubts(world, server)
    return len(server.doubted_by) >= DOUBTS_TOLD


def _forget_old_doubts(
    world: entities.World, server: entities.ServerRow
) -> None:
    oldest_ms = world.now_ms - DOUBT_SPREADS_MS
    server.doubted_by = {
        daemon: at_ms
        for daemon, at_ms in server.doubted_by.items()
        if at_ms >= oldest_ms
    }


def apply_path_answer(
    world: entities.World, answer: server_inputs.PathAnswered
) -> None:
    """Applies another daemon's answer about its path to a server.

    A daemon that passes on requests to a server may lose its own path to it.
    """
    paths.apply_answer(world, answer)
    server = world.servers.get(answer.server_id)
    if server is None or answer.verdict is server_inputs.PathVerdict.ALIVE:
        return
    relayed = [
        attempt
        for attempt in server.in_flight.values()
        if attempt.relay == answer.daemon
    ]
    _suspect(
        world,
        relayed,
        "its relay does not reach the server",
        entities.Silence.RELAY,
    )


def _ask_silent_relays(
    world: entities.World, server: entities.ServerRow
) -> None:
    """Asks daemons whether they still reach a server that is silent."""
    if world.now_ms - server.last_probe_ms < silence.PROBE_INTERVAL_MS:
        return
    silence_ms = _silence_limit_ms(world, server)
    silent_relays = {
        attempt.relay
        for attempt in server.in_flight.values()
        if attempt.relay
        and world.now_ms - attempt.last_progress_ms >= silence_ms
    }
    if silent_relays:
        server.last_probe_ms = world.now_ms
        world.emit(
            effects.AskPaths(
                server.server_id, server.address, tuple(sorted(silent_relays))
            )
        )


def _is_unresponsive(world: entities.World, server: entities.ServerRow) -> bool:
    if server.ejected_until_ms > world.now_ms:
        return False
    oldest_progress_ms = min(
        attempt.last_progress_ms for attempt in server.in_flight.values()
    )
    last_contact_ms = max(oldest_progress_ms, server.last_contact_ms)
    silent_ms = world.now_ms - last_contact_ms
    return silent_ms >= silence.SILENT_MS and silent_ms >= _silence_limit_ms(
        world, server
    )


def _silence_limit_ms(
    world: entities.World, server: entities.ServerRow
) -> float:
    limit_ms = float(silence.SILENT_MS)
    if server.target in world.table.services:
        usual_ms = world.response_time_ms.get(server.target, 0.0)
        limit_ms = max(limit_ms, SERVICE_TIME_FACTOR * usual_ms)
    daemons = tuple(sorted(world.live_daemons))
    if len(daemons) <= assignment.MESH_LIMIT or world.daemon not in daemons:
        return limit_ms
    order = assignment.probe_order(server.server_id, daemons)
    return limit_ms + PROBE_SPREAD_MS * order.index(world.daemon) / len(order)


def _suspect(
    world: entities.World,
    attempts: Iterable[entities.AttemptRow],
    detail: str,
    cause: entities.Silence,
) -> None:
    for attempt in list(attempts):
        request = world.requests.get(attempt.request_id)
        if request is not None and request.work.route is not None:
            hedging.suspect(world, request, attempt, detail, cause=cause)


def _own_attempts(server: entities.ServerRow) -> list[entities.AttemptRow]:
    """Returns the attempts that this daemon sent over its own path."""
    return [a for a in server.in_flight.values() if not a.relay]


__all__ = [
    "apply_result",
    "check_ejected",
    "handle_suspected",
    "probe_unresponsive",
]

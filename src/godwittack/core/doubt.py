"""Notices servers that fell silent, long before a request's time is over.

Load pattern: a server goes dark under full load. Its connections stay open and
say nothing, and it is listed until its entry lapses, some four seconds later.
Every daemon would learn of it by requests that it loses there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import (
    availability,
    closing,
    crashes,
    effects,
    followup,
    server_inputs,
    servers,
)
from godwittack.member import assignment

if TYPE_CHECKING:
    from godwittack.core import entities

# Silence of a server that has requests of ours, after which it is asked for a
# sign of life. A long prompt takes some 300 ms in which nothing is sent, and
# the question costs a busy server nothing.
SILENT_MS = 300
# Added for the daemon that asks last, where there are many. The first that
# gets no answer tells all; sixty that asked at once were half of what engines
# were asked beside requests, mostly for prompts that took a little longer.
SPREAD_MS = 600
# Smoothed answer times for which a plain service may be silent. A probe waits
# in the same queue as calls do, and makes it longer.
SERVICE_TIMES = 3.0
# Pause between two questions.
ASK_AGAIN_MS = 600


def check(world: entities.World) -> None:
    """Asks servers that owe an answer and say nothing."""
    if world.table.forwarding is None:
        return
    for server in world.servers.values():
        if server.in_flight and _is_silent(world, server):
            ask(world, server)


def check_ejected(world: entities.World) -> None:
    """Looks for a sign of life of ejected servers when their pause is over."""
    for server in world.servers.values():
        due = 0 < server.ejected_until_ms <= world.now_ms
        if not server.consecutive_failures or not due or server.leaving:
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


def _is_reported_by_another(
    world: entities.World, server: entities.ServerRow
) -> bool:
    """Returns whether a report will tell that an ejected server is back.

    In a large fleet one daemon polls each engine and publishes its load. The
    subscribers of those reports need no probes of their own.
    """
    if len(world.live_daemons) <= assignment.MESH_LIMIT:
        return False
    if server.target not in world.table.models or server.reported_at_ms < 0:
        return False
    unheard_ms = server.ejected_at_ms - server.reported_at_ms
    return unheard_ms < world.policy.report_stale_ms


def ask(world: entities.World, server: entities.ServerRow) -> None:
    """Asks a server for a sign of life, unless it was asked just now."""
    if world.now_ms - server.last_probe_ms < ASK_AGAIN_MS:
        return
    server.last_probe_ms = world.now_ms
    world.emit(effects.Probe(server.server_id, server.address))


def told(world: entities.World, doubted: server_inputs.ServerDoubted) -> None:
    """Takes in that a server did not answer another daemon.

    Believed at once, one daemon with a broken path would take every server
    from all others; so each asks for itself.
    """
    server = world.servers.get(doubted.server_id)
    if server is not None and server.ejected_until_ms <= world.now_ms:
        ask(world, server)


def probed(
    world: entities.World, answered: server_inputs.ProbeAnswered
) -> None:
    """Takes in whether a server gave a sign of life."""
    server = world.servers.get(answered.server_id)
    if server is None:
        return
    if answered.alive:
        crashes.record_health_response(world, server, answered.incarnation)
    elif answered.ended:
        crashes.record_process_end(world, server)
    if answered.alive and not server.ejected_until_ms:
        server.last_contact_ms = world.now_ms
        return
    was_trusted = not server.ejected_until_ms
    servers.apply_probe_result(world, answered)
    if answered.alive or world.table.forwarding is None:
        return
    if was_trusted:
        world.emit(effects.Doubt(server.server_id, server.target))
        _note_broken(world, server)
    _move_away(world, server)


def _is_silent(world: entities.World, server: entities.ServerRow) -> bool:
    if server.ejected_until_ms > world.now_ms:
        return False
    oldest_ms = min(
        attempt.last_progress_ms for attempt in server.in_flight.values()
    )
    since_ms = max(oldest_ms, server.last_contact_ms)
    silent_ms = world.now_ms - since_ms
    return silent_ms >= SILENT_MS and silent_ms >= _patience_ms(world, server)


def _patience_ms(world: entities.World, server: entities.ServerRow) -> float:
    least_ms = float(SILENT_MS)
    if server.target in world.table.services:
        usual_ms = world.service_time_ms.get(server.target, 0.0)
        least_ms = max(least_ms, SERVICE_TIMES * usual_ms)
    names = tuple(sorted(world.live_daemons))
    if len(names) <= assignment.MESH_LIMIT or world.daemon not in names:
        return least_ms
    order = assignment.probe_order(server.server_id, names)
    return least_ms + SPREAD_MS * order.index(world.daemon) / len(order)


def _note_broken(world: entities.World, server: entities.ServerRow) -> None:
    """Notes what a dead server ran, in case its process ended under that."""
    for attempt in server.in_flight.values():
        request = world.requests.get(attempt.request_id)
        if request is not None:
            crashes.record_broken_connection(world, request, attempt)


def _move_away(world: entities.World, server: entities.ServerRow) -> None:
    """Lets other servers do what a dead one was asked and may be repeated."""
    for attempt in list(server.in_flight.values()):
        request = world.requests.get(attempt.request_id)
        if request is None or request.work.route is None:
            continue
        if request.at_most_once or request.attempt_id != attempt.attempt_id:
            continue
        world.emit(effects.CancelAttempt(attempt.attempt_id, False))
        request.may_have_run = True
        detail = "its server gave no sign of life"
        if request.answer_started:
            followup.resume_or_break(world, request, attempt, detail)
        else:
            closing.close_attempt(world, attempt.attempt_id)
            followup.retry(world, request, attempt, detail)


__all__ = ["ask", "check", "check_ejected", "probed", "told"]

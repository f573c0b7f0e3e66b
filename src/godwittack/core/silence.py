"""Tells how long backend servers are silent, and asks for a sign of life.

A silent server may have ended, hang, be cut off from this daemon, or be about
to go on. Only a proof that its process has ended tells these apart.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import effects

if TYPE_CHECKING:
    from godwittack.core import entities

# Time without progress from which an attempt counts as waiting for a silent
# server. A long prompt takes some 300 ms in which nothing is sent.
SILENT_MS = 300
# Time after a pause of this process in which expired timeouts are ignored.
PAUSE_GRACE_MS = 100
# Minimum time between two probes of a server.
PROBE_INTERVAL_MS = 600


def discount_pause(world: entities.World, late_ms: int) -> None:
    """Lets the time in which this process did not run count for no silence.

    Args:
        world: The tables.
        late_ms: How late the current tick is.
    """
    if late_ms < SILENT_MS:
        return
    world.event("daemon_paused", late_ms=late_ms, in_flight=len(world.attempts))
    world.paused_until_ms = world.now_ms
    for attempt in world.attempts.values():
        attempt.last_progress_ms = min(
            world.now_ms, attempt.last_progress_ms + late_ms
        )
    for server in world.servers.values():
        if server.last_contact_ms >= 0:
            server.last_contact_ms = min(
                world.now_ms, server.last_contact_ms + late_ms
            )


def was_paused(world: entities.World, late_ms: int) -> bool:
    """Returns whether a timeout may have expired while this process stood.

    Args:
        world: The tables.
        late_ms: How late this process's timers are.
    """
    return (
        late_ms >= SILENT_MS
        or world.now_ms - world.paused_until_ms < PAUSE_GRACE_MS
    )


def probe(world: entities.World, server: entities.ServerRow) -> None:
    """Probes a server, unless it was probed just now."""
    if world.now_ms - server.last_probe_ms < PROBE_INTERVAL_MS:
        return
    server.last_probe_ms = world.now_ms
    world.emit(effects.Probe(server.server_id, server.address))


def heard_ms(server: entities.ServerRow) -> int:
    """Returns when a server was last heard, here or by its load report."""
    return max(server.last_contact_ms, server.reported_at_ms)


def contact_age_ms(world: entities.World, server: entities.ServerRow) -> int:
    """Returns the time since this daemon last heard a server; -1 for never."""
    if server.last_contact_ms < 0:
        return -1
    return world.now_ms - server.last_contact_ms


def report_age_ms(world: entities.World, server: entities.ServerRow) -> int:
    """Returns the age of a server's last load report; -1 for none.

    Other daemons publish such reports, so it may be known by them alone that
    a server is alive.
    """
    if server.reported_at_ms < 0:
        return -1
    return world.now_ms - server.reported_at_ms


def silent_attempts(world: entities.World) -> list[entities.AttemptRow]:
    """Returns the attempts that wait for servers of which nothing is heard."""
    return [
        attempt
        for server in world.servers.values()
        if world.now_ms - server.last_contact_ms >= SILENT_MS
        for attempt in server.in_flight.values()
        if world.now_ms - attempt.last_progress_ms >= SILENT_MS
    ]


def longest_wait_ms(world: entities.World) -> int:
    """Returns how long the oldest attempt has waited for a silent server."""
    return max(
        (world.now_ms - a.last_progress_ms for a in silent_attempts(world)),
        default=0,
    )


def log_attempt(
    world: entities.World,
    request: entities.RequestRow,
    attempt: entities.AttemptRow,
    detail: str,
) -> None:
    """Logs that an attempt made no progress, and when its server was heard."""
    world.event(
        "attempt_silent",
        request.request_id,
        attempt=attempt.attempt_id,
        **attempt_fields(world, attempt),
        left_ms=request.deadline_at_ms - world.now_ms,
        detail=detail,
    )


def attempt_fields(
    world: entities.World, attempt: entities.AttemptRow
) -> dict[str, str | int]:
    """Returns the log fields of an attempt's last signs of life."""
    fields: dict[str, str | int] = {"server": attempt.server_id}
    if attempt.relay:
        fields["relay"] = attempt.relay
    fields["idle_ms"] = world.now_ms - attempt.last_progress_ms
    server = world.servers.get(attempt.server_id)
    if server is not None:
        fields["contact_age_ms"] = contact_age_ms(world, server)
        fields["report_age_ms"] = report_age_ms(world, server)
    return fields


__all__ = [
    "PROBE_INTERVAL_MS",
    "SILENT_MS",
    "attempt_fields",
    "contact_age_ms",
    "heard_ms",
    "discount_pause",
    "log_attempt",
    "longest_wait_ms",
    "probe",
    "report_age_ms",
    "silent_attempts",
    "was_paused",
]

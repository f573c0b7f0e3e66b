"""Applies the pace and load in responses, and shares them with other daemons.

Load pattern: a daemon gets some six responses a second from 30 engines, too few
to learn each engine's pace, or to see that one is slow for 600 ms.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import effects, incarnation, pace, server_pace, uneven

if TYPE_CHECKING:
    from godwittack.core import entities, server_inputs

# Minimum time between two updates on one server.
MIN_INTERVAL_MS = 200
# A load that is this old is replaced by the next response, even if that is much
# the same.
REFRESH_MS = 500
# Changes of counts, percentages, and delays that are worth an update. Bytes
# between failure domains are expensive.
COUNT_CHANGE = 2
PERCENT_CHANGE = 10
DELAY_CHANGE_MS = 50
BASE_CHANGE_RATIO = 0.1
# Age from which a load is not sent with an announcement any more.
MAX_ANNOUNCED_AGE_MS = 1_000


def apply_header(
    world: entities.World,
    server: entities.ServerRow,
    load: server_inputs.LoadEchoed,
) -> None:
    """Applies the load and pace in a response, and shares them if new."""
    if load.pace_percent:
        uneven.record_pace_reported(world, server.target)
    if not uneven.is_uneven(world, server.target):
        return
    known = server.pace.echoed
    server.pace.echoed = server_pace.EchoedLoad(
        load.running, load.waiting, load.pace_percent, load.at_ms
    )
    _tell_if_new(world, server, known)


def apply_peer(
    world: entities.World, told: server_inputs.LoadTold | None
) -> None:
    """Applies the load and paces of a server as told by another daemon."""
    server = world.servers.get(told.server_id) if told else None
    if told is None or server is None:
        return
    if incarnation.is_older(told.incarnation, server.incarnation):
        return
    if told.pace_percent:
        uneven.record_pace_reported(world, server.target)
    if not uneven.is_uneven(world, server.target):
        return
    _apply_load(server, told)
    _apply_delay(world, server, told)
    if told.samples and told.daemon:
        server.pace.told[told.daemon] = server_pace.ToldPace(
            reference_ms=told.reference_prompt_us / 1000,
            samples=told.samples,
            at_ms=world.now_ms,
        )
        world.prefill_costs[server.target].parts.record_told(
            told.reference_prompt_us / 1000 / pace.REFERENCE_NEW_TOKENS
        )
        pace.log_base(world, server)


def announced_load(
    world: entities.World, server: entities.ServerRow
) -> server_pace.EchoedLoad | None:
    """Returns the load to send with an announcement, None if it is too old."""
    echoed = server.pace.echoed
    if echoed is None or not uneven.is_uneven(world, server.target):
        return None
    is_recent = world.now_ms - echoed.at_ms < MAX_ANNOUNCED_AGE_MS
    return echoed if is_recent else None


def _apply_load(
    server: entities.ServerRow, told: server_inputs.LoadTold
) -> None:
    """Applies a load unless a newer one is known."""
    measured_at_ms = told.at_ms - told.age_ms
    known = server.pace.echoed
    if known is None or known.at_ms < measured_at_ms:
        server.pace.echoed = server_pace.EchoedLoad(
            told.running, told.waiting, told.pace_percent, measured_at_ms
        )
    if server.reported_at_ms < measured_at_ms:
        server.reported_at_ms = measured_at_ms
        server.running = told.running
        server.waiting = told.waiting
        server.slots = told.slots or server.slots


def _apply_delay(
    world: entities.World,
    server: entities.ServerRow,
    told: server_inputs.LoadTold,
) -> None:
    """Applies a delay unless one was observed more recently."""
    if told.at_ms - told.age_ms > server.pace.delay_at_ms:
        server.pace.delay_ms = float(told.delay_ms)
        server.pace.delay_at_ms = world.now_ms


def _tell_if_new(
    world: entities.World,
    server: entities.ServerRow,
    known: server_pace.EchoedLoad | None,
) -> None:
    """Tells other daemons of a response unless they know as much already.

    Args:
        world: The tables.
        server: The server.
        known: What was known before; the others know about the same.
    """
    shared = server.pace.shared
    echoed = server.pace.echoed
    if echoed is None or not echoed.pace_percent:
        return
    if world.now_ms - shared.at_ms < MIN_INTERVAL_MS:
        return
    delay_ms = pace.delay_ms(world, server)
    reference_ms = pace.own_reference_ms(world, server)
    samples = len(server.pace.samples) if reference_ms else 0
    is_new = (
        _is_new_load(echoed, known)
        or abs(delay_ms - shared.delay_ms) > DELAY_CHANGE_MS
        or abs(reference_ms - shared.reference_ms)
        > BASE_CHANGE_RATIO * shared.reference_ms
    )
    if not is_new:
        return
    server.pace.shared = server_pace.SharedPace(
        at_ms=world.now_ms, delay_ms=delay_ms, reference_ms=reference_ms
    )
    world.emit(
        effects.TellLoad(
            server_id=server.server_id,
            target=server.target,
            incarnation=server.incarnation,
            weights_version=server.weights_version,
            running=echoed.running,
            waiting=echoed.waiting,
            slots=server.slots,
            pace_percent=echoed.pace_percent,
            reference_prompt_us=round(reference_ms * 1000),
            samples=samples,
            delay_ms=round(delay_ms),
            at_ms=echoed.at_ms,
        )
    )


def _is_new_load(
    echoed: server_pace.EchoedLoad, known: server_pace.EchoedLoad | None
) -> bool:
    return (
        known is None
        or echoed.at_ms - known.at_ms >= REFRESH_MS
        or abs(echoed.running - known.running) > COUNT_CHANGE
        or abs(echoed.waiting - known.waiting) > COUNT_CHANGE
        or abs(echoed.pace_percent - known.pace_percent) > PERCENT_CHANGE
    )


__all__ = ["announced_load", "apply_header", "apply_peer"]

"""Tracks which servers this daemon can't reach, and relays around lost paths.

Load pattern: some daemons of a fleet lose their network paths to all or some
backend servers, while callers, the store and the other daemons still reach
them. New connections to servers hang or are refused, which looks the same as
servers that have ended. If the own path alone decided, these daemons would
refuse every caller beside idle servers, record crashes that did not happen and
make all others doubt live servers.

So other daemons are asked (an indirect probe, as in SWIM). While one of them
reaches a server, requests go through such a daemon, which decides nothing but
whether it can pass them on. Only probes on new connections find out whether
the own path works again.
"""

from __future__ import annotations

import xxhash

from godwittack.core import (
    availability,
    brittle,
    crashes,
    effects,
    entities,
    inputs,
    server_inputs,
)
from godwittack.core import incarnation as incarnations
from godwittack.placement import rendezvous

# Daemons asked at a time, and at most, whether they reach a server.
ASKED_AT_ONCE = 3
MAX_ASKED = 16
# Minimum time between two questions about a server.
ASK_INTERVAL_MS = 500
# Interval at which it is asked again whether a server has ended.
ASK_AGAIN_MS = 1_000
# Time after which a question without an answer is asked again.
ASK_EXPIRES_MS = 3_000
# Time until the first probe of a lost path: an open connection may have been
# silent while new ones work.
FIRST_PROBE_MS = 100
# Interval of probes of a lost path to a server that is known to be alive.
PROBE_INTERVAL_MS = 500
# Time for which another daemon's path counts as it was found.
REACHES_MS = 10_000
FAILED_MS = 2_000
# Time after which a daemon that declined to pass on a request is used again.
DECLINED_MS = 500
# Lost paths are told to other daemons at this interval, and forgotten by them
# after three.
TELL_INTERVAL_MS = 2_000
TOLD_EXPIRES_MS = 3 * TELL_INTERVAL_MS
# Estimated time that passing a request through another daemon takes.
RELAY_COST_MS = 3.0
# Time for which a refused path may be that of a server that restarts.
QUICK_RESTART_MS = 1_000
# Time without contact after which a server counts as possibly unreachable.
CONTACT_MS = 300


def is_lost(server: entities.ServerRow) -> bool:
    """Returns whether this daemon can't open connections to a server."""
    return server.path_lost_at_ms > 0


def is_alive_elsewhere(server: entities.ServerRow) -> bool:
    """Returns whether a server is known to be alive since its path was lost."""
    return is_lost(server) and (
        server.heard_alive_ms >= server.path_lost_at_ms
        or server.reported_at_ms > server.path_lost_at_ms
    )


def is_cut_off(world: entities.World) -> bool:
    """Returns whether other daemons reach servers that this one doesn't."""
    return any(map(is_alive_elsewhere, world.servers.values()))


def lose(
    world: entities.World,
    server: entities.ServerRow,
    *,
    is_refused: bool,
    detail: str,
    asks: bool = True,
) -> None:
    """Records that no connection to a server could be opened.

    Args:
        world: The tables.
        server: The server.
        is_refused: Whether its address refused the connection.
        detail: What failed, for the log.
        asks: Whether to ask other daemons.
    """
    if not is_lost(server):
        server.path_lost_at_ms = world.now_ms
        server.path_is_refused = is_refused
        server.path_probe_at_ms = world.now_ms + FIRST_PROBE_MS
        server.peer_paths.clear()
        world.event(
            "path_lost",
            server=server.server_id,
            refused=int(is_refused),
            contact_age_ms=world.now_ms - server.last_contact_ms,
            detail=detail,
        )
        world.emit(effects.DropConnections(server.server_id))
        tell(world)
    if not _other_daemons(world):
        if is_refused:
            _record_process_end(world, server)
    elif asks and not is_alive_elsewhere(server):
        ask(world, server)


def restore(world: entities.World, server: entities.ServerRow) -> None:
    """Records that a new connection to a server could be opened."""
    if not is_lost(server):
        return
    if was_quick_restart(world, server):
        _record_process_end(world, server)
    was_alive = is_alive_elsewhere(server)
    world.event(
        "path_restored",
        server=server.server_id,
        lost_ms=world.now_ms - server.path_lost_at_ms,
        alive_elsewhere=int(was_alive),
    )
    forget(server)
    if was_alive:
        # Its failures were those of the path, so it needs no trial.
        server.ejected_until_ms = 0
        server.consecutive_failures = 0
        server.trial_attempt_id = ""
    world.targets_to_dispatch.add(server.target)
    tell(world)


def forget(server: entities.ServerRow) -> None:
    """Resets what is known of the paths to a server."""
    server.path_lost_at_ms = 0
    server.path_probe_at_ms = 0
    server.peer_paths.clear()
    server.inquiry = None
    server.found_dead_until_ms = 0


def verify(
    world: entities.World, server: entities.ServerRow, *, is_verified: bool
) -> None:
    """Probes a server on a new connection after an open one has broken.

    Args:
        world: The tables.
        server: The server.
        is_verified: Whether it was a new connection that has broken.
    """
    if not is_verified and not is_lost(server):
        world.emit(
            effects.Probe(
                server.server_id, server.address, fresh_connection=True
            )
        )


def probe_soon(world: entities.World, server: entities.ServerRow) -> None:
    """Lets a lost path be probed at once, as it may work again."""
    server.path_probe_at_ms = min(server.path_probe_at_ms, world.now_ms)


def was_quick_restart(
    world: entities.World, server: entities.ServerRow
) -> bool:
    """Returns whether a path was refused for a moment only.

    A process that has no named incarnations and restarts at once looks the
    same as a path that is lost for a moment. It counts as a restart, so that
    a request that crashes such servers is recorded.
    """
    return (
        is_lost(server)
        and server.path_is_refused
        and not incarnations.started_at_ms(server.incarnation)
        and world.now_ms - server.path_lost_at_ms < QUICK_RESTART_MS
    )


def ask(world: entities.World, server: entities.ServerRow) -> None:
    """Asks other daemons whether they reach a server."""
    asked_ago_ms = world.now_ms - server.asked_at_ms
    if server.inquiry is not None and asked_ago_ms < ASK_EXPIRES_MS:
        return
    if asked_ago_ms < ASK_INTERVAL_MS:
        return
    server.asked_at_ms = world.now_ms
    server.inquiry = entities.Inquiry(waiting_for=set(), asked=set())
    _ask_more(world, server, server.inquiry)


def apply_answer(
    world: entities.World, answer: server_inputs.PathAnswered
) -> None:
    """Applies another daemon's answer whether it reaches a server."""
    server = world.servers.get(answer.server_id)
    if server is None:
        return
    world.event(
        "path_answered",
        server=answer.server_id,
        daemon=answer.daemon,
        verdict=answer.verdict.value,
        reaches_others=int(answer.reaches_others),
        after_ms=world.now_ms - server.asked_at_ms,
    )
    if answer.verdict is server_inputs.PathVerdict.ALIVE:
        _apply_alive(world, server, answer)
        return
    if answer.verdict is server_inputs.PathVerdict.UNKNOWN:
        world.lost_relays[answer.daemon] = world.now_ms + DECLINED_MS
    elif is_lost(server):
        record_failed_relay(world, server, answer.daemon)
    inquiry = server.inquiry
    if inquiry is None or answer.daemon not in inquiry.asked:
        return
    inquiry.waiting_for.discard(answer.daemon)
    inquiry.answers.append(answer)
    if not inquiry.waiting_for:
        _conclude(world, server, inquiry)


def apply_told(world: entities.World, told: server_inputs.PathsTold) -> None:
    """Records the servers that another daemon can't reach."""
    world.told_paths[told.daemon] = entities.ToldPaths(
        frozenset(told.lost), world.now_ms
    )


def tell(world: entities.World) -> None:
    """Tells other daemons all servers that this one can't reach."""
    world.paths_told_ms = world.now_ms
    lost = [server for server in world.servers.values() if is_lost(server)]
    world.emit(
        effects.TellPaths(
            lost=tuple(sorted(server.server_id for server in lost)),
            targets=tuple(sorted(world.servers_by_target)),
        )
    )


def reaches(
    world: entities.World, daemon: str, server: entities.ServerRow
) -> bool:
    """Returns whether no loss of a daemon's path to a server is known."""
    if daemon == world.daemon:
        return not is_lost(server)
    return not _has_told_loss(world, server, daemon)


def lost_paths(world: entities.World) -> frozenset[tuple[str, str]]:
    """Returns all known lost paths as pairs of daemon and server."""
    own = {
        (world.daemon, server.server_id)
        for server in world.servers.values()
        if is_lost(server)
    }
    told = {
        (daemon, server_id)
        for daemon, told_paths in world.told_paths.items()
        for server_id in told_paths.lost
    }
    return frozenset(own | told)


def check(world: entities.World) -> None:
    """Asks, tells and probes again while paths are lost."""
    _expire_told(world)
    lost = [server for server in world.servers.values() if is_lost(server)]
    for server in lost:
        if is_alive_elsewhere(server):
            # It was probed less and less often while it seemed to be dead.
            server.path_probe_at_ms = min(
                server.path_probe_at_ms, world.now_ms + PROBE_INTERVAL_MS
            )
            if not was_quick_restart(world, server):
                crashes.clear_by_relay(world, server)
        if _is_end_undecided(world, server):
            ask(world, server)
        server.ejected_until_ms = max(
            server.ejected_until_ms, world.now_ms + PROBE_INTERVAL_MS
        )
    if lost and world.now_ms - world.paths_told_ms >= TELL_INTERVAL_MS:
        tell(world)


def _is_end_undecided(
    world: entities.World, server: entities.ServerRow
) -> bool:
    """Returns whether to ask if a server has ended under its requests.

    Where most servers have ended, few daemons are believed at first.
    """
    if not server.possible_crashes:
        return False
    broken_ms = max(run.at_ms for run in server.possible_crashes)
    if broken_ms >= server.asked_at_ms:
        return True
    return (
        world.now_ms - server.asked_at_ms >= ASK_AGAIN_MS
        and world.now_ms - broken_ms < crashes.CRASH_WINDOW_MS
    )


def is_probe_due(world: entities.World, server: entities.ServerRow) -> bool:
    """Returns whether to probe a lost path now."""
    return is_lost(server) and world.now_ms >= server.path_probe_at_ms


def relays(
    world: entities.World, server: entities.ServerRow, *, tries_unknown: bool
) -> list[str]:
    """Returns the daemons through which a server may be reached.

    Args:
        world: The tables.
        server: A server whose own path is lost.
        tries_unknown: Whether to name daemons although none is known to reach
            the server. One that doesn't declines at once.
    """
    if not is_alive_elsewhere(server) and (
        not tries_unknown or world.now_ms < server.found_dead_until_ms
    ):
        return []
    return [
        daemon
        for daemon in _other_daemons(world)
        if _may_reach(world, server, daemon)
    ]


def has_other_daemons(world: entities.World) -> bool:
    """Returns whether any other daemon could pass on requests."""
    return bool(_other_daemons(world))


def has_relay(
    world: entities.World, server: entities.ServerRow, *, tries_unknown: bool
) -> bool:
    """Returns whether a request can go to a server through another daemon."""
    return bool(relays(world, server, tries_unknown=tries_unknown))


def choose_relay(
    world: entities.World,
    server: entities.ServerRow,
    request: entities.RequestRow,
) -> str:
    """Returns the daemon that passes on a request; empty for none.

    Daemons of the own failure domain are preferred, unless most of them are
    cut off as well: the few that are left would carry all of its requests.
    """
    candidates = relays(world, server, tries_unknown=True)
    if not candidates:
        return ""
    near = [name for name in candidates if name in world.near_daemons]
    if 2 * len(near) > len(world.near_daemons):
        candidates = near
    seed = xxhash.xxh3_64_intdigest(request.request_id.encode())
    return rendezvous.rank(seed, tuple(sorted(candidates)))[0]


def record_relayed(world: entities.World, attempt: entities.AttemptRow) -> None:
    """Records that a server answered through another daemon."""
    server = world.servers.get(attempt.server_id)
    if server is None:
        return
    server.heard_alive_ms = world.now_ms
    if not attempt.has_own_place:
        brittle.record_accepted(world, server.target)
    if is_lost(server):
        server.peer_paths[attempt.relay] = entities.PeerPath(
            reaches=True, until_ms=world.now_ms + REACHES_MS
        )


def record_failed_relay(
    world: entities.World,
    server: entities.ServerRow,
    daemon: str,
    *,
    for_ms: int = FAILED_MS,
) -> None:
    """Records that a daemon did not pass on a request, or its answer."""
    server.peer_paths[daemon] = entities.PeerPath(
        reaches=False, until_ms=world.now_ms + for_ms
    )


def record_relay_failure(
    world: entities.World,
    attempt: entities.AttemptRow,
    failure: inputs.AttemptFailed,
) -> None:
    """Records why a request that another daemon should pass on failed."""
    server = world.servers.get(attempt.server_id)
    if server is None:
        return
    is_declined = failure.phase is inputs.FailurePhase.DECLINED
    if failure.cause is inputs.FailureCause.RELAY and not is_declined:
        # The daemon itself is lost, whichever server it is to send to.
        world.lost_relays[attempt.relay] = world.now_ms + FAILED_MS
    elif failure.cause is inputs.FailureCause.RELAY and (
        not attempt.has_own_place
    ):
        brittle.record_declined(world, server, attempt.relay)
    elif failure.cause is inputs.FailureCause.RELAY:
        record_failed_relay(world, server, attempt.relay, for_ms=DECLINED_MS)
    elif is_declined:
        server.heard_alive_ms = world.now_ms
    else:
        record_failed_relay(world, server, attempt.relay)


def _apply_alive(
    world: entities.World,
    server: entities.ServerRow,
    answer: server_inputs.PathAnswered,
) -> None:
    was_alive = is_alive_elsewhere(server)
    server.heard_alive_ms = world.now_ms
    server.inquiry = None
    # The server responds to another daemon, so its process has not ended, or
    # another one runs in its place.
    if not was_quick_restart(world, server):
        crashes.record_health_response(world, server, answer.incarnation)
    if not is_lost(server):
        return
    server.peer_paths[answer.daemon] = entities.PeerPath(
        reaches=True, until_ms=world.now_ms + REACHES_MS
    )
    world.targets_to_dispatch.add(server.target)
    if not was_alive:
        _probe_other_paths(world, server)


def _probe_other_paths(
    world: entities.World, server: entities.ServerRow
) -> None:
    """Probes the servers without recent contact.

    A path to one live server is lost, so others probably are as well.
    """
    for other in world.servers.values():
        if other is server or is_lost(other) or other.leaving:
            continue
        if availability.is_resting(world, other):
            continue
        is_silent = world.now_ms - other.last_contact_ms >= CONTACT_MS
        if is_silent and world.now_ms - other.last_probe_ms >= CONTACT_MS:
            other.last_probe_ms = world.now_ms
            world.emit(
                effects.Probe(
                    other.server_id, other.address, fresh_connection=True
                )
            )


def _conclude(
    world: entities.World,
    server: entities.ServerRow,
    inquiry: entities.Inquiry,
) -> None:
    """Concludes from answers of daemons that don't reach a server either.

    Only daemons that reach other servers are believed: the others are cut off
    themselves. As a cut may leave them a part of the servers, a process counts
    as ended only after all daemons were asked, and none found it alive.
    """
    believed = {
        answer.verdict for answer in inquiry.answers if answer.reaches_others
    }
    needs_all = bool(server.possible_crashes) or not believed
    if needs_all and len(inquiry.asked) < MAX_ASKED:
        _ask_more(world, server, inquiry)
    else:
        server.inquiry = None
    if believed:
        server.found_dead_until_ms = world.now_ms + FAILED_MS
    if server.inquiry is None and server_inputs.PathVerdict.ENDED in believed:
        _record_process_end(world, server)


def _ask_more(
    world: entities.World,
    server: entities.ServerRow,
    inquiry: entities.Inquiry,
) -> None:
    """Asks the next daemons, first those that said nothing of a lost path."""
    remaining = [d for d in _other_daemons(world) if d not in inquiry.asked]
    if not remaining:
        server.inquiry = None
        return
    seed = xxhash.xxh3_64_intdigest(
        f"path/{server.server_id}/{world.daemon}".encode()
    )
    ranked = rendezvous.rank(seed, tuple(sorted(remaining)))
    by_told = sorted(ranked, key=lambda d: _has_told_loss(world, server, d))
    chosen = tuple(by_told[:ASKED_AT_ONCE])
    inquiry.asked.update(chosen)
    inquiry.waiting_for.update(chosen)
    world.emit(effects.AskPaths(server.server_id, server.address, chosen))


def _record_process_end(
    world: entities.World, server: entities.ServerRow
) -> None:
    server.cache.clear()
    crashes.record_process_end(world, server)


def _other_daemons(world: entities.World) -> list[str]:
    daemons = world.serving_daemons - {world.daemon}
    return sorted(daemons or world.live_daemons - {world.daemon})


def _may_reach(
    world: entities.World, server: entities.ServerRow, daemon: str
) -> bool:
    if world.now_ms < world.lost_relays.get(daemon, 0):
        return False
    known = server.peer_paths.get(daemon)
    if known is not None and known.until_ms > world.now_ms:
        return known.reaches
    return not _has_told_loss(world, server, daemon)


def _has_told_loss(
    world: entities.World, server: entities.ServerRow, daemon: str
) -> bool:
    told = world.told_paths.get(daemon)
    return told is not None and server.server_id in told.lost


def _expire_told(world: entities.World) -> None:
    for daemon, told in list(world.told_paths.items()):
        is_expired = world.now_ms - told.at_ms >= TOLD_EXPIRES_MS
        if is_expired or daemon not in world.live_daemons:
            del world.told_paths[daemon]
    for daemon, until_ms in list(world.lost_relays.items()):
        if until_ms <= world.now_ms:
            del world.lost_relays[daemon]


__all__ = [
    "RELAY_COST_MS",
    "apply_answer",
    "apply_told",
    "ask",
    "check",
    "choose_relay",
    "forget",
    "has_other_daemons",
    "has_relay",
    "is_alive_elsewhere",
    "is_cut_off",
    "is_lost",
    "is_probe_due",
    "lose",
    "lost_paths",
    "probe_soon",
    "reaches",
    "record_failed_relay",
    "record_relay_failure",
    "record_relayed",
    "relays",
    "restore",
    "tell",
    "verify",
    "was_quick_restart",
]

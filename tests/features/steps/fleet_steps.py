"""Steps on a fleet whose daemons run on virtual time."""

from __future__ import annotations

import asyncio
import dataclasses

from behave import given, then, when

from godwittack.core import cell_limits, entities, inputs, server_inputs, work
from godwittack.member import assignment
from godwittack.store import protocol as platform
from sim import fleet as fleets
from sim import loop

LIMIT = 100
CELL = "workspace/desk"


@given("a fleet of {daemons:d} daemons on virtual time")
def given_fleet(context, daemons):
    """Notes the size; the steps play whole sessions."""
    context.daemons = daemons


@when("one of its daemons {trouble}")
def one_in_trouble(context, trouble):
    """Plays the trouble and 6 s more."""
    context.fleet = loop.run(_trouble(context.daemons, trouble))


@then("no other daemon counts it as live after 6 s")
def counted_dead(context):
    """Checks every other daemon's view."""
    victim = context.fleet.victim
    for daemon in context.fleet.alive():
        live = {m.member_id for m in daemon.gossiper.members.live()}
        assert daemon is victim or victim.name not in live, daemon.name


@when("{count:d} daemons are cut off from the others for 30 s")
def part_cut_off(context, count):
    """Plays the partition and 5 s more."""
    context.fleet = loop.run(_partition(context.daemons, count))


@then("every daemon counts every other as live after 5 s")
def counted_live(context):
    """Checks every daemon's view."""
    for daemon in context.fleet.alive():
        live = daemon.gossiper.members.live()
        assert len(live) == context.daemons, (daemon.name, len(live))


@when(
    "servers come and go while <updates are lost, readers die, links are cut>"
)
def list_changes(context):
    """Plays 180 s of changes and faults."""
    context.fleet = loop.run(_list_session(context.daemons))


@then("every daemon has the platform's list")
def same_list(context):
    """Checks the servers that each core knows."""
    listed = set(context.fleet.listed)
    for daemon in context.fleet.alive():
        known = set(daemon.runtime.core.world.servers)
        assert known == listed, (daemon.name, known ^ listed)


@then("the list was read fewer than {most:d} times in 180 s")
def few_reads(context, most):
    """Checks the platform's count."""
    assert 0 < context.fleet.list_reads < most, context.fleet.list_reads


@when("one of its servers is leaving {told}")
def server_leaving(context, told):
    """Plays the news of it and 3 s more."""
    context.fleet = loop.run(_leaving(context.daemons, told))


@then("every daemon counts it as leaving after 3 s")
def counted_leaving(context):
    """Checks every core."""
    for daemon in context.fleet.alive():
        row = daemon.runtime.core.world.servers["server-7"]
        assert row.leaving, daemon.name


@when(
    'workspace "desk" demands more than its limit of 100 at its three daemons'
    " and a fourth"
)
def demand(context):
    """Plays steady demand until the shares are settled."""
    context.fleet = loop.run(_demand_session(context.daemons))


@then(
    "these admit {least:d} to {most:d} requests before they know of each other"
)
def first_shares(context, least, most):
    """Checks what the four let through at once."""
    first = context.fleet.first_shares
    assert least <= sum(first) <= most, first


@then(
    "the shares of the four add up to at most {most:d} and to at least"
    " {least:d}"
)
def shares_add_up(context, most, least):
    """Checks what the four would let through."""
    total = sum(context.fleet.shares)
    assert least <= total <= most, context.fleet.shares


@then("no other daemon received the demand")
def untold(context):
    """Checks the figures that the others hold."""
    for daemon in context.fleet.alive():
        told = daemon.runtime.core.world.shares.reported[CELL]
        assert daemon in context.fleet.users or not told, (daemon.name, told)


@then(
    "of {daemons:d} daemons each serves {served:d} of {models:d} models, and"
    " each model has {least:d} or more"
)
def even_duties(context, daemons, served, models, least):
    """Checks who hears of which model."""
    context.audiences = heard = _audiences(daemons, models)
    for name in _names(daemons):
        serving = [m for m, names in heard.items() if name in names]
        assert len(serving) == served, (name, serving)
    assert min(len(names) for names in heard.values()) >= least, heard


@then("a daemon that leaves changes no other assignment")
def no_moves(context):
    """Checks the audiences without one daemon."""
    gone = _names(340)[200]
    for model, names in _audiences(340, 15, without=gone).items():
        before = context.audiences[model]
        assert set(before) - {gone} == set(names), model


def _names(daemons: int) -> tuple[str, ...]:
    return tuple(sorted(f"entry-{n}@{n:08x}" for n in range(daemons)))


def _audiences(daemons: int, models: int, *, without: str = ""):
    names = tuple(name for name in _names(daemons) if name != without)
    targets = tuple(sorted(f"model-{n}" for n in range(models)))
    return {t: assignment.audience_ids(t, names, targets) for t in targets}


async def _started(daemons: int) -> fleets.Fleet:
    fleet = fleets.Fleet(seed=3, size=daemons)
    await asyncio.sleep(10)
    return fleet


async def _trouble(daemons: int, trouble: str) -> fleets.Fleet:
    fleet = await _started(daemons)
    fleet.victim = victim = fleet.daemons[daemons // 2]
    match trouble:
        case "is killed":
            victim.kill()
        case "is paused":
            victim.pause()
        case "receives nothing":
            fleet.cut_links |= {(a, victim.address) for a in fleet.seeds}
    await asyncio.sleep(6)
    return fleet


async def _partition(daemons: int, count: int) -> fleets.Fleet:
    fleet = await _started(daemons)
    fleet.partition(fleet.daemons[:count])
    await asyncio.sleep(30)
    fleet.heal()
    await asyncio.sleep(5)
    return fleet


async def _list_session(daemons: int) -> fleets.Fleet:
    fleet = await _started(daemons)
    _list(fleet, *range(20))
    await asyncio.sleep(10)
    deaf, cut = fleet.daemons[5], fleet.daemons[6]
    fleet.update_loss_addresses.add(deaf.address)
    fleet.partition([cut])
    _list(fleet, 20, 21)
    del fleet.listed["server-3"]
    await asyncio.sleep(30)
    fleet.heal()
    members = deaf.gossiper.members.live()
    for reader in assignment.list_readers(members):
        next(d for d in fleet.alive() if d.name == reader.member_id).kill()
    _list(fleet, 22)
    await asyncio.sleep(20)
    fleet.table.faults.down = True
    await asyncio.sleep(20)
    fleet.table.faults.down = False
    _list(fleet, 23)
    await asyncio.sleep(100)
    return fleet


def _list(fleet: fleets.Fleet, *numbers: int) -> None:
    for number in numbers:
        name = f"server-{number}"
        fleet.listed[name] = platform.Instance(
            name=name,
            role=platform.InstanceRole.ENGINE,
            address=f"10.1.0.{number}:1",
            target="rulebook",
        )


async def _leaving(daemons: int, told: str) -> fleets.Fleet:
    fleet = await _started(daemons)
    _list(fleet, *range(20))
    await asyncio.sleep(5)
    if told == "by its own report":
        # Its watcher alone reads it in a load report.
        fleet.daemons[2].news.publish_leaving("server-7")
        fleet.daemons[2].runtime.submit(
            server_inputs.ServerLeaving(fleet.clock.now_ms(), "server-7")
        )
    else:
        entry = fleet.listed["server-7"]
        fleet.listed["server-7"] = dataclasses.replace(entry, leaving=True)
    await asyncio.sleep(3)
    return fleet


async def _demand_session(daemons: int) -> fleets.Fleet:
    fleet = await _started(daemons)
    live = fleet.daemons[0].gossiper.members.live()
    names = tuple(member.member_id for member in live)
    group = assignment.workspace_group_ids("desk", "rulebook", names, ())
    stray = next(d for d in fleet.alive() if d.name not in group)
    fleet.users = [d for d in fleet.alive() if d.name in group] + [stray]
    for daemon in fleet.users:
        _want(daemon, 40)
    fleet.first_shares = [_share(daemon) for daemon in fleet.users]
    for _ in range(100):
        for daemon in fleet.users:
            _want(daemon, 40)
        await asyncio.sleep(0.1)
    fleet.shares = [_share(daemon) for daemon in fleet.users]
    return fleet


def _want(daemon: fleets.FleetDaemon, wanted: int) -> None:
    """Ends a fifth of a daemon's requests and begins what it may of others."""
    world = daemon.runtime.core.world
    use = world.shares.cells[CELL]
    cell_limits.record_groups(world, _request())
    for _ in range(use.in_flight // 5):
        world.shares.record_end(CELL)
    for _ in range(wanted - use.in_flight):
        if world.shares.allows_request(CELL, limit=LIMIT):
            world.shares.record_start(CELL)
    daemon.runtime.submit(inputs.Tick(daemon.fleet.clock.now_ms()))


def _request() -> entities.RequestRow:
    """Returns a request that shows which target the demand is for."""
    return entities.RequestRow(
        request_id="r",
        work=work.Work(
            kind=work.WorkKind.GENERATION, token_sha256="", target="rulebook"
        ),
        workspace="desk",
        arrived_at_ms=0,
        deadline_at_ms=1 << 50,
    )


def _share(daemon: fleets.FleetDaemon) -> int:
    return daemon.runtime.core.world.shares.cells[CELL].in_flight

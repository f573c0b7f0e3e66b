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
    """Stores the size; the steps play whole sessions."""
    context.daemons = daemons


@when("one of its daemons {fault}")
def play_daemon_fault(context, fault):
    """Plays the fault and 6 s more."""
    context.fleet = loop.run(_fault_session(context.daemons, fault))


@then("no other daemon counts it as live after 6 s")
def counted_dead(context):
    """Checks every other daemon's view."""
    victim = context.fleet.victim
    for daemon in context.fleet.alive():
        live = {m.member_id for m in daemon.gossiper.members.live()}
        assert daemon is victim or victim.name not in live, daemon.name


@when("{count:d} daemons are cut off from the others for 30 s")
def play_partition(context, count):
    """Plays the partition and 5 s more."""
    context.fleet = loop.run(_partition_session(context.daemons, count))


@then("every daemon counts every other as live after 5 s")
def counted_live(context):
    """Checks every daemon's view."""
    for daemon in context.fleet.alive():
        live = daemon.gossiper.members.live()
        assert len(live) == context.daemons, (daemon.name, len(live))


@when(
    "servers come and go while updates are lost, readers die and links are cut"
)
def play_list_changes(context):
    """Plays 180 s of changes and faults."""
    context.fleet = loop.run(_list_session(context.daemons))


@then("every daemon has the platform's list")
def same_list(context):
    """Checks the servers of each core."""
    listed = set(context.fleet.listed)
    for daemon in context.fleet.alive():
        known = set(daemon.runtime.core.world.servers)
        assert known == listed, (daemon.name, known ^ listed)


@then("the list was read fewer than {limit:d} times in 180 s")
def few_reads(context, limit):
    """Checks the platform's count of reads."""
    assert 0 < context.fleet.list_reads < limit, context.fleet.list_reads


@when("one of its servers is marked as leaving in {source}")
def play_leaving(context, source):
    """Plays the mark and 3 s more."""
    context.fleet = loop.run(_leaving_session(context.daemons, source))


@then("every daemon counts it as leaving after 3 s")
def counted_leaving(context):
    """Checks every core."""
    for daemon in context.fleet.alive():
        row = daemon.runtime.core.world.servers["server-7"]
        assert row.leaving, daemon.name


@when(
    'workspace "desk" sends more than its limit of 100 through its three'
    " daemons and a fourth"
)
def play_demand(context):
    """Plays steady demand until the shares are settled."""
    context.fleet = loop.run(_demand_session(context.daemons))


@then(
    "these admit {at_least:d} to {at_most:d} before they receive each other's"
    " demand"
)
def check_first_shares(context, at_least, at_most):
    """Checks how many requests the four admit at first."""
    first = context.fleet.first_shares
    assert at_least <= sum(first) <= at_most, first


@then(
    "the shares of the four add up to at most {at_most:d} and to at least"
    " {at_least:d}"
)
def shares_add_up(context, at_most, at_least):
    """Checks how many requests the four admit in the end."""
    total = sum(context.fleet.shares)
    assert at_least <= total <= at_most, context.fleet.shares


@then("no other daemon received the demand")
def demand_not_sent(context):
    """Checks the demand that the others recorded."""
    for daemon in context.fleet.alive():
        demand = daemon.runtime.core.world.shares.reported[CELL]
        assert daemon in context.fleet.users or not demand, (
            daemon.name,
            demand,
        )


@then(
    "of {daemons:d} daemons each serves {served:d} of {models:d} models, and"
    " each model has {min_daemons:d} or more"
)
def even_assignments(context, daemons, served, models, min_daemons):
    """Checks which daemons receive the updates of which model."""
    context.audiences = audiences = _audiences(daemons, models)
    for name in _names(daemons):
        serving = [m for m, names in audiences.items() if name in names]
        assert len(serving) == served, (name, serving)
    assert min(len(names) for names in audiences.values()) >= min_daemons, (
        audiences
    )


@then("removing a daemon reassigns no other")
def no_reassignment(context):
    """Checks the audiences without one daemon."""
    removed = _names(340)[200]
    for model, names in _audiences(340, 15, without=removed).items():
        before = context.audiences[model]
        assert set(before) - {removed} == set(names), model


def _names(daemons: int) -> tuple[str, ...]:
    return tuple(sorted(f"entry-{n}@{n:08x}" for n in range(daemons)))


def _audiences(daemons: int, models: int, *, without: str = ""):
    names = tuple(name for name in _names(daemons) if name != without)
    targets = tuple(sorted(f"model-{n}" for n in range(models)))
    return {t: assignment.audience_ids(t, names, targets) for t in targets}


async def _start_fleet(daemons: int) -> fleets.Fleet:
    fleet = fleets.Fleet(seed=3, size=daemons)
    await asyncio.sleep(10)
    return fleet


async def _fault_session(daemons: int, fault: str) -> fleets.Fleet:
    fleet = await _start_fleet(daemons)
    fleet.victim = victim = fleet.daemons[daemons // 2]
    match fault:
        case "is killed":
            victim.kill()
        case "is paused":
            victim.pause()
        case "receives nothing":
            fleet.cut_links |= {(a, victim.address) for a in fleet.seeds}
    await asyncio.sleep(6)
    return fleet


async def _partition_session(daemons: int, count: int) -> fleets.Fleet:
    fleet = await _start_fleet(daemons)
    fleet.partition(fleet.daemons[:count])
    await asyncio.sleep(30)
    fleet.heal()
    await asyncio.sleep(5)
    return fleet


async def _list_session(daemons: int) -> fleets.Fleet:
    fleet = await _start_fleet(daemons)
    _add_listed(fleet, *range(20))
    await asyncio.sleep(10)
    lossy, cut = fleet.daemons[5], fleet.daemons[6]
    fleet.update_loss_addresses.add(lossy.address)
    fleet.partition([cut])
    _add_listed(fleet, 20, 21)
    del fleet.listed["server-3"]
    await asyncio.sleep(30)
    fleet.heal()
    members = lossy.gossiper.members.live()
    for reader in assignment.list_readers(members):
        next(d for d in fleet.alive() if d.name == reader.member_id).kill()
    _add_listed(fleet, 22)
    await asyncio.sleep(20)
    fleet.table.faults.down = True
    await asyncio.sleep(20)
    fleet.table.faults.down = False
    _add_listed(fleet, 23)
    await asyncio.sleep(100)
    return fleet


def _add_listed(fleet: fleets.Fleet, *numbers: int) -> None:
    for number in numbers:
        name = f"server-{number}"
        fleet.listed[name] = platform.Instance(
            name=name,
            role=platform.InstanceRole.ENGINE,
            address=f"10.1.0.{number}:1",
            target="rulebook",
        )


async def _leaving_session(daemons: int, source: str) -> fleets.Fleet:
    fleet = await _start_fleet(daemons)
    _add_listed(fleet, *range(20))
    await asyncio.sleep(5)
    if source == "its load report":
        # Only its watcher reads the load report.
        fleet.daemons[2].updates.publish_leaving("server-7")
        fleet.daemons[2].runtime.submit(
            server_inputs.ServerLeaving(fleet.clock.now_ms(), "server-7")
        )
    else:
        entry = fleet.listed["server-7"]
        fleet.listed["server-7"] = dataclasses.replace(entry, leaving=True)
    await asyncio.sleep(3)
    return fleet


async def _demand_session(daemons: int) -> fleets.Fleet:
    fleet = await _start_fleet(daemons)
    live = fleet.daemons[0].gossiper.members.live()
    names = tuple(member.member_id for member in live)
    group = assignment.workspace_group_ids("desk", "rulebook", names, ())
    outsider = next(d for d in fleet.alive() if d.name not in group)
    fleet.users = [d for d in fleet.alive() if d.name in group] + [outsider]
    for daemon in fleet.users:
        _run_requests(daemon, 40)
    fleet.first_shares = [_share(daemon) for daemon in fleet.users]
    for _ in range(100):
        for daemon in fleet.users:
            _run_requests(daemon, 40)
        await asyncio.sleep(0.1)
    fleet.shares = [_share(daemon) for daemon in fleet.users]
    return fleet


def _run_requests(daemon: fleets.FleetDaemon, demand: int) -> None:
    """Ends a fifth of a daemon's requests and starts those that it admits."""
    world = daemon.runtime.core.world
    use = world.shares.cells[CELL]
    cell_limits.record_groups(world, _request())
    for _ in range(use.in_flight // 5):
        world.shares.record_end(CELL)
    for _ in range(demand - use.in_flight):
        if world.shares.allows_request(CELL, limit=LIMIT):
            world.shares.record_start(CELL)
    daemon.runtime.submit(inputs.Tick(daemon.fleet.clock.now_ms()))


def _request() -> entities.RequestRow:
    """Returns a request that names the target of the demand."""
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

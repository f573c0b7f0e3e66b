"""Failure domains and open connections in placement."""

from __future__ import annotations

import asyncio
import collections
import io

from cases import connections, routed_core
from godwittack.backend import idle_reporter
from godwittack.clock import ManualClock
from godwittack.core import (
    backlog,
    cached_state,
    candidates,
    inputs,
    locality,
    server_inputs,
    work,
)
from godwittack.placement import subsets
from godwittack.session import record
from godwittack.table import forwarding
from standins.scripted import Reply, ScriptedServer

OWN, FAR, FARTHEST = "a", "b", "c"
ENGINES = routed_core.ENGINES
SHARED = work.Level(key=11, tokens=13_000)
PROMPT = (SHARED, work.Level(key=12, tokens=3_000))


def _core(
    engines: dict[str, int],
    *,
    domain: str = OWN,
    is_uneven: bool = True,
    **fields,
) -> routed_core.Core:
    """Returns a core in `domain`, and engines and services in each domain."""
    fields = {"uneven_servers": 1, "prefill_us_per_token": 7, **fields}
    core = routed_core.Core(servers=0, failure_domain=domain, **fields)
    for other, count in engines.items():
        for number in range(count):
            core.list_server(f"{other}{number}", ENGINES, failure_domain=other)
        core.list_server(
            f"{other}-s", routed_core.SERVICE, failure_domain=other
        )
    for name in list(core.world.servers):
        _tell_load(core, name, pace_percent=100 if is_uneven else 0)
    return core


def _tell_load(core: routed_core.Core, name: str, **fields) -> None:
    fields = {"running": 0, "waiting": 0, "slots": 16, **fields}
    core.tell_named(server_inputs.LoadEchoed, server_id=name, **fields)


def _join_daemons(core: routed_core.Core) -> None:
    """Lets 18 other daemons of the same domain share its engines."""
    near = tuple(sorted(("d", *(f"d{number}" for number in range(18)))))
    core.tell(inputs.MembersChanged, near, near, len(near), near)


def _domain_of_prompt(core: routed_core.Core, name: str, **fields) -> str:
    core.arrive("long", name, **{"levels": PROMPT, **fields})
    return core.world.servers[core.dispatch().server_id].failure_domain


def _set_wait(core: routed_core.Core, server, wait_ms: float) -> None:
    """Gives a server the tokens that it computes in that time."""
    server.pace.prompts.clear()
    core.world.now_ms = core.now_ms
    tokens = wait_ms * 1000 / core.world.policy.prefill_us_per_token
    backlog.add(core.world, server, tokens=tokens, priority=0)


def _row(core: routed_core.Core, **fields):
    """Returns a request that runs, to ask for its costs and candidates."""
    core.arrive("long", "probe", **fields)
    return core.world.requests["probe"]


def _tell_idle(core, name: str, count: int, *, closes_in_ms: int = 3_000):
    core.tell_named(
        server_inputs.IdleConnections,
        server_id=name,
        count=count,
        closes_at_ms=core.now_ms + closes_in_ms,
    )


def nothing_changes_without_the_settings_or_a_pace() -> None:
    """Guards against other placement for operators who did not ask for it."""
    costs = {"cross_domain_cost_ms": 90.0, "new_connection_cost_ms": 90.0}
    sessions = []
    for fields in (
        {"domain": "", "uneven_servers": 0, "is_uneven": False},
        {"uneven_servers": 0, **costs},
        {"is_uneven": False, **costs},
        costs,
    ):
        core = _core({OWN: 5, FAR: 5, FARTHEST: 5}, **fields)
        sent = []
        for number in range(60):
            core.now_ms += 7
            levels = (work.Level(number % 9, 2_000),)
            sent += core.arrive("long", f"l{number}", levels=levels)
            sent += core.arrive("open", f"o{number}", body_bytes=9_000)
        sessions.append(sent)
    assert sessions[0] == sessions[1] == sessions[2]
    assert sessions[0] != sessions[3], "the settings have no effect"


def a_prompt_leaves_its_domain_only_for_a_longer_wait() -> None:
    """Guards against bytes between domains that save less than they cost."""
    for cost_ms, body_bytes, wait_ms, domain in (
        (0.0, 0, 10.0, FAR),
        (100.0, 0, 90.0, OWN),
        (100.0, 0, 110.0, FAR),
        (50.0, 100_000, 140.0, OWN),
        (50.0, 100_000, 160.0, FAR),
    ):
        core = _core(
            {OWN: 2, FAR: 2},
            cross_domain_cost_ms=cost_ms,
            cross_domain_cost_ms_per_kb=1.0,
        )
        for name in ("a0", "a1"):  # The home's bonus is 5 ms.
            server = core.world.servers[name]
            _set_wait(core, server, wait_ms)
        found = _domain_of_prompt(core, "r", body_bytes=body_bytes)
        assert found == domain, (cost_ms, body_bytes, wait_ms)


def a_plain_call_leaves_its_domain_only_for_a_longer_queue() -> None:
    """Guards against plain calls that ignore domains."""
    # One more request at a service is worth 160 ms / 16 slots = 10 ms.
    for running, server in ((0, "a-s"), (2, "a-s"), (4, "b-s")):
        core = _core({OWN: 1, FAR: 1}, cross_domain_cost_ms=30.0)
        core.world.service_time_ms[routed_core.SERVICE] = 160.0
        _tell_load(core, "a-s", running=running)
        core.arrive("open")
        assert core.dispatch().server_id == server, running


def a_prompt_has_one_home_for_all_domains() -> None:
    """Guards against a copy in each domain, which evicts other prompts."""
    homes = set()
    for own in (OWN, FAR):
        core = _core({OWN: 4, FAR: 4})
        core.world.failure_domain = own
        usable = list(core.world.servers_by_target[ENGINES].values())
        homes.add(candidates.home_server(_row(core, levels=PROMPT), usable))
    assert len(homes) == 1 and homes != {""}


def _candidates_by_domain(core: routed_core.Core) -> collections.Counter[str]:
    usable = list(core.world.servers_by_target[ENGINES].values())
    chosen = locality.candidates(
        core.world, _row(core), usable, cached_tokens={}, home_id=""
    )
    return collections.Counter(server.failure_domain for server in chosen)


def candidates_include_one_engine_of_each_other_domain() -> None:
    """Guards against an overloaded domain that does not find idle engines."""
    core = _core({OWN: 9, FAR: 9, FARTHEST: 9})
    assert _candidates_by_domain(core) == {OWN: 4, FAR: 1, FARTHEST: 1}


def without_engines_in_its_domain_a_daemon_uses_the_others() -> None:
    """Guards against refusals, or one domain for all, without an own one."""
    for domain in (OWN, ""):
        core = _core(
            {FAR: 9, FARTHEST: 9}, domain=domain, cross_domain_cost_ms=10.0
        )
        assert _candidates_by_domain(core).total() >= 4
        request = core.world.requests["probe"]
        costs = {
            locality.cost_ms(core.world, request, server)
            for server in core.world.servers.values()
        }
        assert costs == ({10.0} if domain else {0.0}), costs
        domains = {
            _domain_of_prompt(core, f"r{n}", levels=(work.Level(n, 300),))
            for n in range(20)
        }
        assert domains == {FAR, FARTHEST}, domains


def a_part_that_another_domain_has_is_copied() -> None:
    """Guards against a prefill of what another domain has cached."""
    core = _core({OWN: 3, FAR: 3}, cross_domain_cost_ms=100.0)
    holder = core.world.servers["b0"]
    key = cached_state.level_key(SHARED, "1")
    holder.cache.record(
        key, cached_at_ms=core.now_ms, max_keys=9, tokens=SHARED.tokens
    )
    core.now_ms += 50
    assert _domain_of_prompt(core, "r") == OWN
    assert core.dispatch().kv_fetch_from == holder.address


def preferred_engines_are_shared_out_evenly() -> None:
    """Guards against engines with twice the daemons of others."""
    for daemons, engines, size in ((25, 9, 3), (19, 10, 3), (68, 120, 4)):
        names = frozenset(f"d{n}" for n in range(daemons))
        servers = frozenset(f"e{n}" for n in range(engines))
        assigned = subsets.assign(names, servers, size)
        assert {len(subset) for subset in assigned.values()} == {size}
        counts = collections.Counter(e for s in assigned.values() for e in s)
        spread = max(counts.values()) - min(counts[e] for e in servers)
        assert spread <= 2, (daemons, engines, counts)


def preferred_engines_change_little_with_the_fleet() -> None:
    """Guards against new connections everywhere when a daemon comes or goes."""
    servers = frozenset(f"e{n}" for n in range(10))
    names = [f"d{n}" for n in range(20)]
    before = subsets.assign(frozenset(names[:19]), servers, 3)
    after = subsets.assign(frozenset(names), servers, 3)
    kept = sum(len(before[d] & after[d]) for d in names[:19])
    assert kept >= 0.8 * 3 * 19, kept


def an_engine_outside_the_subset_is_used_for_a_longer_wait() -> None:
    """Guards against requests spread over all engines, or held to a few."""
    for wait_ms, is_inside in ((10.0, True), (30.0, False)):
        core = _core({OWN: 10}, new_connection_cost_ms=20.0)
        _join_daemons(core)
        preferred = locality.preferred_engines(core.world, ENGINES)
        for name in preferred:
            server = core.world.servers[name]
            _set_wait(core, server, wait_ms)
        core.arrive("long", "r", levels=PROMPT)
        assert (core.dispatch().server_id in preferred) is is_inside, wait_ms


def an_idle_connection_is_preferred_until_it_expires() -> None:
    """Guards against new connections beside idle ones, and late reuse."""
    for closes_in_ms, cost_ms in ((400, 10.0), (3_000, 0.0)):
        core = _core({OWN: 3}, new_connection_cost_ms=10.0)
        request = _row(core)
        _tell_idle(core, "a1", 1, closes_in_ms=closes_in_ms)
        costs = [
            locality.cost_ms(core.world, request, core.world.servers[name])
            for name in ("a0", "a1", "a2")
        ]
        assert costs == [10.0, cost_ms, 10.0], costs
    core.arrive("long", "next")
    # The connection that a request is about to take is no longer idle.
    assert core.dispatch().server_id == "a1"
    assert core.world.servers["a1"].idle_connections == 0


def no_connection_beyond_the_share_while_others_are_as_good() -> None:
    """Guards against connections over an engine's limit, which it resets."""
    core = _core({OWN: 2}, new_connection_cost_ms=50.0)
    table = routed_core.table(2)
    limits = forwarding.EngineLimits(model="m", max_connections=6)
    table.forwarding.engines[ENGINES] = limits
    core.tell(inputs.TableChanged, table)
    core.tell(inputs.MembersChanged, ("d", "d2", "d3"))
    for name in ("r1", "r2"):
        core.arrive("short", name)
    # Both requests run at a0, which is this daemon's share of connections.
    core.world.servers["a0"].in_flight = dict(core.world.attempts)
    core.world.servers["a1"].in_flight = {}
    for wait_ms, server in ((90.0, "a0"), (30.0, "a1")):
        _set_wait(core, core.world.servers["a1"], wait_ms)
        core.arrive("short", f"r{wait_ms}")
        assert core.dispatch().server_id == server, wait_ms
        core.world.servers[server].in_flight.pop(core.dispatch().attempt_id)


def most_requests_reuse_a_connection() -> None:
    """Guards against connections that expire before they are used again."""
    opened = {c: _count_opened(cost_ms=c) for c in (0.0, 20.0)}
    assert opened[20.0] <= 0.5 * opened[0.0], opened


def _count_opened(*, cost_ms: float, requests: int = 400) -> int:
    """Returns the connections opened by 6 requests a second to 10 engines."""
    core = _core({OWN: 10, FAR: 10}, new_connection_cost_ms=cost_ms)
    _join_daemons(core)
    idle = {name: [] for name in core.world.servers}
    running = []
    opened = 0
    for number in range(requests):
        core.now_ms += 167
        if number > 2:  # A request takes half a second.
            sent = running.pop(0)
            core.open(sent)
            core.frames(sent, 1, end=True)
            idle[sent.server_id].append(core.now_ms)
        for name, ended in idle.items():
            ended[:] = [ms for ms in ended if core.now_ms - ms < 2_500]
            closes_in_ms = 3_000 - (core.now_ms - max(ended, default=0))
            _tell_idle(core, name, len(ended), closes_in_ms=closes_in_ms)
        core.arrive("long", f"r{number}", levels=(work.Level(number, 300),))
        running.append(core.dispatch())
        ended = idle[running[-1].server_id]
        opened += not ended
        ended[-1:] = []
    return opened


async def only_repeatable_requests_use_an_expiring_connection() -> None:
    """Guards against once-only calls lost on a connection being closed."""
    head = connections.HEAD + b"Keep-Alive: timeout=3\r\n"
    replies = [Reply(connections.complete(b"1", head)) for _ in range(6)]
    async with ScriptedServer(*replies) as server:
        backend = connections.Backend(server)
        clock = backend.pool._clock = ManualClock(1_000)
        backend.pool.keeps_expiring = lambda key: True
        reported = []
        reporter = idle_reporter.IdleReporter(
            pool=backend.pool,
            clock=clock,
            submit=reported.append,
            is_reported=lambda key: True,
        )
        backend.pool.on_idle = reporter.record
        for idle_ms, margin_ms, opened in (
            (0, 0, 1),
            (2_000, 0, 2),  # The first is kept for repeatable requests.
            (2_000, 500, 2),
            (2_600, 500, 3),
        ):
            clock.advance(by_ms=idle_ms)
            backend.pool.close_expired()
            await backend.send(f"r{clock.now_ms()}", idle_margin_ms=margin_ms)
            assert server.connections == opened, (idle_ms, margin_ms)
        await asyncio.sleep(0)
        assert reported[-1].closes_at_ms == clock.now_ms() + 3_000


def counts_of_idle_connections_are_replayed() -> None:
    """Guards against recordings that replay with other decisions."""
    text = io.StringIO()
    core = _core({OWN: 5, FAR: 5}, record_to=text, new_connection_cost_ms=20.0)
    for number in range(20):
        core.now_ms += 30
        _tell_idle(core, f"a{number % 5}", number % 3)
        core.arrive("long", f"r{number}", levels=PROMPT, body_bytes=5_000)
    lines = text.getvalue().splitlines()
    assert record.replay(lines) == lines

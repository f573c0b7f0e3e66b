"""What one daemon of a large fleet may do, and knows."""

from __future__ import annotations

import asyncio
import collections
import random

from result import Ok

from cases import connections, one_lead, routed_core
from godwittack.core import effects, entities, inputs, server_inputs, servers
from godwittack.daemon import news
from godwittack.limit import budget
from godwittack.member import assignment, view
from sim import loop
from standins.scripted import Reply, ScriptedServer

# Daemons up to which each hears of every server, as deployed.
MESH_LIMIT = 100
DAEMONS = 340
MODELS = 15


def _members(count: int) -> list[view.Member]:
    return [
        view.Member(
            member_id=f"edge-{number}",
            peer_address=f"127.0.0.1:{number + 1}",
            http_address=f"127.0.0.2:{number + 1}",
            failure_domain="a",
        )
        for number in range(count)
    ]


def a_model_is_led_by_a_daemon_that_hears_of_its_servers() -> None:
    """Whoever rolls weights out knows the load of the servers concerned.

    Beyond a hundred daemons, some twenty hear of each model's servers; the
    one that leads its roll-outs is chosen among all. It is told neither what
    waits at the servers nor what runs there, takes each for idle, and has as
    many load at one time as may, whatever the load.
    """
    members = _members(DAEMONS)
    targets = tuple(f"model-{number}" for number in range(MODELS))
    deaf = []
    for target in targets:
        audience = assignment.AudienceByTarget(MESH_LIMIT)
        hears = audience.among(target, members, targets)
        first = assignment.leaders(target, members, targets, audience)[0]
        if first not in {member.member_id for member in hears}:
            deaf.append(target)
    assert not deaf, (len(deaf), MODELS)


def each_daemon_of_a_large_fleet_may_retry() -> None:
    """However many daemons there are, accepted requests earn retries.

    With 166 retries allowed at once, dealt to 340 daemons, each had half a
    one, and a retry takes a whole one: no daemon ever sent a request again,
    however many it had accepted.
    """
    core = routed_core.Core(servers=3, retry_ratio=0.15, retry_burst=166.0)
    core.tell(inputs.MembersChanged, tuple(f"d{n}" for n in range(DAEMONS)))
    for number in range(100):
        core.arrive("release", f"good{number}")
        core.answer(core.dispatch())
    core.arrive("release", "declined")
    core.fail(core.dispatch(), inputs.FailurePhase.CONNECT)
    assert core.find(effects.Dispatch), core.made


def retries_of_a_fleet_stay_within_their_budget() -> None:
    """In no window do all daemons together retry more than is allowed.

    Daemons whose part of the burst is less than one retry save up for one;
    savings of many windows spent in one would exceed the budget.
    """
    rng = random.Random(7)
    window_ms, burst, allowed_ratio = 10_000, 166.0, 0.2
    part = burst / DAEMONS
    budgets = [
        budget.SharedBudget(
            ratio=0.15,
            saved_ratio=0.05,
            window_ms=window_ms,
            share=part,
            tokens=part,
        )
        for _ in range(DAEMONS)
    ]
    requests, retries = collections.Counter(), collections.Counter()
    for now_ms in range(0, 6 * window_ms, 20):
        eager = rng.random() < (0.9 if now_ms % 30_000 > 18_000 else 0.0)
        for _ in range(rng.randrange(30)):
            one = rng.choice(budgets)
            one.earn(now_ms=now_ms)
            requests[now_ms] += 1
            if eager:
                retries[now_ms] += one.spend(now_ms=now_ms)
    for start_ms in range(0, 5 * window_ms, 500):
        spent = _between(retries, start_ms, start_ms + window_ms)
        accepted = max(
            _between(requests, start_ms - before_ms, start_ms + after_ms)
            for before_ms, after_ms in ((0, window_ms), (window_ms, 0))
        )
        allowed = burst + allowed_ratio * accepted
        assert spent <= allowed, (start_ms, spent, allowed)
    assert sum(retries.values()) > burst, sum(retries.values())


def _between(counts, start_ms: int, end_ms: int) -> int:
    return sum(n for at_ms, n in counts.items() if start_ms <= at_ms < end_ms)


async def a_full_server_is_not_taken_for_gone() -> None:
    """A server that accepts a connection and resets it is full, not gone.

    On a fleet of 63 daemons, two of three servers of a service were left, had
    long queues, and reset what was opened beyond. Each daemon took that for
    the end of the process and paused the server for 1, 2, 4 s; with both
    paused it refused every call: 2,063 in 13 s.

        event=attempt_failed step=connect cause=broken
        detail="reset before anything was sent"
        event=server_ejected failures=3 until_ms=4000
        event=refused reason=no_server attempts=0
    """
    says = Reply(connections.whole(b"1"))
    async with ScriptedServer(says, resets=1) as server:
        backend = connections.Backend(server)
        sink = await backend.send(fresh_connection=True)
    assert sink.failure == (
        inputs.FailurePhase.CONNECT,
        inputs.FailureCause.REFUSED,
    ), sink.failure


def a_server_that_turned_a_call_away_is_used_last_for_a_while() -> None:
    """A full server stays in service, behind those that have room.

    Paused like one that is gone, the two servers left of a service took no
    call at all; not remembered as full, it was tried by each next call.
    """
    core = routed_core.Core(servers=2)
    core.arrive("release", "first")
    full = core.dispatch()
    core.fail(full, inputs.FailurePhase.CONNECT, inputs.FailureCause.REFUSED)
    spare = core.dispatch()
    assert spare.server_id != full.server_id
    for number in range(8):
        core.arrive("release", f"soon{number}")
        assert core.dispatch().server_id == spare.server_id
    core.world.servers[spare.server_id].leaving = True
    core.arrive("release", "alone")
    assert core.dispatch().server_id == full.server_id
    core.world.servers[spare.server_id].leaving = False
    core.wait(servers.FULL_AFTER_RESET_MS)
    core.arrive("release", "later")
    assert core.dispatch().server_id == full.server_id


def _report(core, server_id: str) -> None:
    core.tell_named(
        server_inputs.LoadReported,
        server_id=server_id,
        incarnation=server_id,
        weights_version="1",
        running=1,
        waiting=0,
        waiting_tokens=0,
        prefill_us_per_token=7,
        slots=16,
    )


def an_ejected_engine_is_asked_by_the_daemon_that_follows_it() -> None:
    """In a large fleet a report tells that an engine is back, not a question.

    Sixty daemons asked each of twenty dark engines every 1, 2, 4 s.
    """
    core = routed_core.Core(servers=1)
    core.tell(inputs.MembersChanged, tuple(f"d{n}" for n in range(60)))
    _report(core, "e1")
    core.arrive("short", "lost")
    core.fail(core.dispatch(), inputs.FailurePhase.CONNECT)
    dark = core.world.servers["e1"]
    assert not [made for made in core.wait(8_000) if _asks(made, dark)]
    core.arrive("short", "early")
    assert core.refusal()
    _report(core, "e1")
    core.wait(servers.ejection_ms(core.world, dark) + 100)
    core.arrive("short", "back")
    assert core.dispatch().server_id == "e1"


def a_daemon_without_reports_asks_an_ejected_engine_itself() -> None:
    """A daemon outside the serving set doesn't wait for news it won't get."""
    core = routed_core.Core(servers=1)
    core.tell(inputs.MembersChanged, tuple(f"d{n}" for n in range(60)))
    core.arrive("short", "lost")
    core.fail(core.dispatch(), inputs.FailurePhase.CONNECT)
    dark = core.world.servers["e1"]
    assert [made for made in core.wait(1_500) if _asks(made, dark)]


def _asks(made, server: entities.ServerRow) -> bool:
    is_question = isinstance(made, effects.Probe)
    return is_question and made.server_id == server.server_id


def a_member_is_passed_on_a_bounded_number_of_times() -> None:
    """News of members doesn't fill the links between failure domains.

    Each daemon passed each state on 32 times: 195 daemons that had lost a
    third of each other told each other for most of a minute.
    """
    for daemons, most in ((7, 12), (63, 12), (195, 16), (340, 18)):
        me, *others = _members(daemons)
        members = view.View(
            me=me, policy=view.MemberPolicy(), rng=random.Random(1)
        )
        for other in others:
            members.apply(other, now_ms=0)
        told = collections.Counter()
        while chosen := members.updates():
            told.update(member.member_id for member in chosen)
        assert set(told.values()) == {most}, (daemons, set(told.values()))


class _Streams:
    """Streams that take all news; keeps when loads were told on each."""

    def __init__(self, clock) -> None:
        self._clock = clock
        self.told_ms: list[int] = []

    def open_news(self, address, *, on_broken):
        """Opens a stream."""
        del address, on_broken
        return self

    async def send(self, told):
        """Takes a message."""
        if told.loads:
            self.told_ms.append(self._clock.now_ms())
        return Ok(None)

    def close(self) -> None:
        """Ends it."""


def loads_told_in_a_large_fleet_are_news() -> None:
    """A load report reaches its readers before it is too old for use.

    The pause between two messages grows with the daemons told, 10 ms for
    each. A daemon that has told all 339 others of something, as those that
    read the list do at each change, told loads 3.4 s late; from 3 s on they
    count for nothing, and each server looks idle.
    """

    async def case() -> None:
        clock = loop.LoopClock(asyncio.get_running_loop())
        runtime = one_lead.Runtime(clock)
        me, *others = _members(DAEMONS)
        members = view.View(
            me=me, policy=view.MemberPolicy(), rng=random.Random(1)
        )
        for other in others:
            members.apply(other, now_ms=clock.now_ms())
        streams = _Streams(clock)
        teller = news.News(runtime=runtime, members=members, client=streams)
        teller.publish_leaving("gone")
        task = asyncio.create_task(teller.tell_forever(news_ms=200))
        await asyncio.sleep(0.01)
        teller.publish_load(
            server_inputs.LoadReported(
                at_ms=clock.now_ms(),
                server_id="e1",
                incarnation="e1",
                weights_version="1",
                running=1,
                waiting=1,
                waiting_tokens=1,
                prefill_us_per_token=7,
                slots=16,
                leaving=False,
            ),
            one_lead.MODEL,
        )
        told_at_ms = clock.now_ms()
        await asyncio.sleep(5)
        task.cancel()
        teller.close()
        late_ms = max(streams.told_ms) - told_at_ms
        stale_ms = runtime.core.world.policy.report_stale_ms
        assert late_ms < stale_ms, (late_ms, stale_ms)

    one_lead.play(case())

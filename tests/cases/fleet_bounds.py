"""Bounds on what each daemon of a large fleet does."""

from __future__ import annotations

import asyncio
import collections
import random

from result import Ok

from cases import connections, one_lead, routed_core
from godwittack.core import effects, entities, inputs, server_inputs, servers
from godwittack.daemon import peer_updates
from godwittack.limit import budget
from godwittack.member import assignment, view
from sim import loop
from standins.scripted import Reply, ScriptedServer

# Fleet size up to which each daemon receives every server's reports,
# as deployed.
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


def a_model_is_led_by_a_daemon_that_receives_its_load_reports() -> None:
    """The lead of a model must be among the daemons that get its load reports.

    With more than 100 daemons, some 20 receive the reports of each model's
    servers. A lead chosen among all daemons knew neither the queues nor the
    running requests, treated each server as idle, and loaded the maximum number
    at one time whatever the load.
    """
    members = _members(DAEMONS)
    targets = tuple(f"model-{number}" for number in range(MODELS))
    without_reports = []
    for target in targets:
        audience = assignment.AudienceByTarget(MESH_LIMIT)
        audience_members = audience.among(target, members, targets)
        first = assignment.leaders(target, members, targets, audience)[0]
        if first not in {member.member_id for member in audience_members}:
            without_reports.append(target)
    assert not without_reports, (len(without_reports), MODELS)


def each_daemon_of_a_large_fleet_may_retry() -> None:
    """Accepted requests earn retries, however many daemons there are.

    With a burst of 166 retries divided among 340 daemons, each had half a
    retry. A retry takes a whole one, so no daemon ever retried, however many
    requests it had accepted.
    """
    core = routed_core.Core(servers=3, retry_ratio=0.15, retry_burst=166.0)
    core.tell(inputs.MembersChanged, tuple(f"d{n}" for n in range(DAEMONS)))
    for number in range(100):
        core.arrive("release", f"good{number}")
        core.answer(core.dispatch())
    core.arrive("release", "declined")
    core.fail(core.dispatch(), inputs.FailurePhase.CONNECT)
    assert core.find(effects.Dispatch), core.last_effects


def retries_of_a_fleet_stay_within_their_budget() -> None:
    """In no window do all daemons together retry more than is allowed.

    Daemons whose share of the burst is less than one retry save up for one.
    Savings of many windows spent in one window would exceed the budget.
    """
    rng = random.Random(7)
    window_ms, burst, allowed_ratio = 10_000, 166.0, 0.2
    share = burst / DAEMONS
    budgets = [
        budget.SharedBudget(
            ratio=0.15,
            saved_ratio=0.05,
            window_ms=window_ms,
            share=share,
            tokens=share,
        )
        for _ in range(DAEMONS)
    ]
    requests, retries = collections.Counter(), collections.Counter()
    for now_ms in range(0, 6 * window_ms, 20):
        is_retried = rng.random() < (0.9 if now_ms % 30_000 > 18_000 else 0.0)
        for _ in range(rng.randrange(30)):
            daemon_budget = rng.choice(budgets)
            daemon_budget.earn(now_ms=now_ms)
            requests[now_ms] += 1
            if is_retried:
                retries[now_ms] += daemon_budget.spend(now_ms=now_ms)
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


async def a_full_server_is_not_considered_gone() -> None:
    """A server that accepts a connection and resets it is full, not gone.

    On a fleet of 63 daemons, two of three servers of a service were left, had
    long queues, and reset further connections. Each daemon treated a reset as
    the end of the process and ejected the server for 1, 2, 4 s. With both
    ejected it refused every call: 2,063 in 13 s.

        event=attempt_failed step=connect cause=broken
        detail="reset before anything was sent"
        event=server_ejected failures=3 until_ms=4000
        event=refused reason=no_server attempts=0
    """
    script = Reply(connections.complete(b"1"))
    async with ScriptedServer(script, resets=1) as server:
        backend = connections.Backend(server)
        sink = await backend.send(fresh_connection=True)
    assert sink.failure == (
        inputs.FailurePhase.CONNECT,
        inputs.FailureCause.REFUSED,
    ), sink.failure


def a_server_that_reset_a_call_is_used_last_for_a_while() -> None:
    """A full server stays in service, ranked behind those with room.

    Ejected like a server that is gone, the last two servers of a service got no
    calls. Not remembered as full, the server was tried first by each next call.
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


def an_ejected_engine_is_probed_by_its_watcher_only() -> None:
    """In a large fleet only a load report leads to a probe of a lost engine.

    Sixty daemons probed each of twenty unresponsive engines every 1, 2, 4 s.
    """
    core = routed_core.Core(servers=1)
    core.tell(inputs.MembersChanged, tuple(f"d{n}" for n in range(60)))
    _report(core, "e1")
    core.arrive("short", "lost")
    questions = core.fail(core.dispatch(), inputs.FailurePhase.CONNECT)
    ejected = core.world.servers["e1"]
    found = core.wait(8_000)
    assert not [effect for effect in found if _is_probe_of(effect, ejected)]
    _answer_dead(core, questions)
    core.arrive("short", "early")
    assert core.refusal()
    _report(core, "e1")
    found = core.wait(servers.ejection_ms(core.world, ejected) + 100)
    assert [effect for effect in found if _is_probe_of(effect, ejected)]
    core.tell(
        server_inputs.ProbeAnswered, "e1", alive=True, fresh_connection=True
    )
    core.arrive("short", "back")
    assert core.dispatch().server_id == "e1"
    assert not core.dispatch().relay


def _answer_dead(core, questions) -> None:
    """Answers all questions: other daemons don't reach the server either."""
    for question in questions:
        if not isinstance(question, effects.AskPaths):
            continue
        for daemon in question.daemons:
            core.tell_named(
                server_inputs.PathAnswered,
                server_id=question.server_id,
                daemon=daemon,
                verdict=server_inputs.PathVerdict.SILENT,
                reaches_others=True,
            )


def a_daemon_without_reports_probes_an_ejected_engine_itself() -> None:
    """A daemon outside the serving set does not wait for reports."""
    core = routed_core.Core(servers=1)
    core.tell(inputs.MembersChanged, tuple(f"d{n}" for n in range(60)))
    core.arrive("short", "lost")
    core.fail(core.dispatch(), inputs.FailurePhase.CONNECT)
    ejected = core.world.servers["e1"]
    assert [
        effect for effect in core.wait(1_500) if _is_probe_of(effect, ejected)
    ]


def _is_probe_of(effect, server: entities.ServerRow) -> bool:
    is_probe = isinstance(effect, effects.Probe)
    return is_probe and effect.server_id == server.server_id


def a_member_is_gossiped_a_bounded_number_of_times() -> None:
    """Member updates must not fill the links between failure domains.

    Each daemon sent each state 32 times: 195 daemons that had lost a third of
    each other exchanged updates for most of a minute.
    """
    for daemons, expected_count in ((7, 12), (63, 12), (195, 16), (340, 18)):
        me, *others = _members(daemons)
        members = view.View(
            me=me, policy=view.MemberPolicy(), rng=random.Random(1)
        )
        for other in others:
            members.apply(other, now_ms=0)
        sent = collections.Counter()
        while chosen := members.take_updates():
            sent.update(member.member_id for member in chosen)
        assert set(sent.values()) == {expected_count}, (
            daemons,
            set(sent.values()),
        )


class _Streams:
    """Accepts all updates and records when load reports were sent."""

    def __init__(self, clock) -> None:
        self._clock = clock
        self.loads_sent_ms: list[int] = []

    def open_news(self, address, *, on_broken):
        """Opens a stream."""
        del address, on_broken
        return self

    async def send(self, message):
        """Accepts a message."""
        if message.loads:
            self.loads_sent_ms.append(self._clock.now_ms())
        return Ok(None)

    def close(self) -> None:
        """Closes the stream."""


def load_reports_in_a_large_fleet_arrive_in_time() -> None:
    """A load report reaches its readers before it is too old for use.

    The interval between two messages grows by 10 ms for each recipient. A
    daemon that sent an update to all 339 others, as list readers do at each
    change, sent loads 3.4 s late. Reports are ignored from an age of 3 s on,
    and each server looks idle.
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
        updates = peer_updates.PeerUpdates(
            runtime=runtime, members=members, client=streams
        )
        updates.publish_leaving("gone")
        task = asyncio.create_task(updates.flush_forever(min_interval_ms=200))
        await asyncio.sleep(0.01)
        updates.publish_load(
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
        published_at_ms = clock.now_ms()
        await asyncio.sleep(5)
        task.cancel()
        updates.close()
        late_ms = max(streams.loads_sent_ms) - published_at_ms
        stale_ms = runtime.core.world.policy.report_stale_ms
        assert late_ms < stale_ms, (late_ms, stale_ms)

    one_lead.play(case())

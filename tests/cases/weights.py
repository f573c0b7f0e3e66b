"""Weights: which servers may serve, and how a roll-out goes on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cases import routed_core
from godwittack.core import effects, inputs, server_inputs
from godwittack.daemon import feed_table
from godwittack.lead import rollout
from godwittack.member import freshness, store_lease

if TYPE_CHECKING:
    from godwittack.table import model


def _named(core: routed_core.Core, version: str) -> None:
    core.tell(inputs.TableChanged, routed_core.table(2, weights=version))


def _report(core: routed_core.Core, server: str, version: str) -> None:
    core.tell_named(
        server_inputs.LoadReported,
        server_id=server,
        incarnation=server,
        weights_version=version,
        running=0,
        waiting=0,
        waiting_tokens=0,
        prefill_us_per_token=0,
        slots=0,
    )


def a_server_back_with_replaced_weights_gets_no_work() -> None:
    """Long after newer weights were named, older ones serve nobody.

    Symptom: answers by weights that were replaced 15 s ago.
    Sequence: version 2 is named and loaded; a server that was dark all the
        while comes back with version 1.
    Cause: any listed server was as good as another.
    """
    core = routed_core.Core(servers=1)
    _named(core, "2")
    _report(core, "e1", "2")
    core.wait(12_000)
    core.list_server("e2", routed_core.ENGINES, weights_version="1")
    for number in range(6):
        core.arrive("long", f"r{number}")
        assert core.dispatch().server_id == "e1"


def each_naming_ages_older_weights_by_itself() -> None:
    """A second naming does not make the first one's weights young again.

    Symptom: a request begins on weights that were replaced 12 s ago.
    Sequence: version 2 is named; a roll-out loses its lead half way; version
        3 is named 7 s later; a server still has version 1.
    Cause: the time of the last naming taken for the time since when any other
        version is old.
    """
    core = routed_core.Core(servers=1)
    _named(core, "2")
    core.wait(7_000)
    core.tell(inputs.TableChanged, routed_core.table(3, weights="3"))
    core.wait(900)
    core.arrive("long", "r1")
    assert core.dispatch().server_id == "e1"
    core.wait(200)
    core.arrive("long", "r2")
    assert core.refusal().status == 503
    _report(core, "e1", "2")
    core.arrive("long", "r3")
    assert core.dispatch().stamp.weights_version == "2"
    core.wait(7_000)
    core.arrive("long", "r4")
    assert core.refusal().status == 503


def older_weights_serve_until_they_are_too_old() -> None:
    """Just after a naming, servers go on with what they have.

    Symptom: all requests are refused while a roll-out goes on.
    Sequence: version 2 is named; no server has it yet.
    Cause: only servers with the newest weights counted.
    """
    core = routed_core.Core()
    _named(core, "2")
    core.wait(1_000)
    core.arrive("long")
    assert core.dispatch().stamp.weights_version == "1"


def a_late_report_does_not_bring_old_weights_back() -> None:
    """A report made before a load is not believed after it.

    Symptom: requests declined for the wrong weights, and the same load
        ordered twice.
    Sequence: the list tells of version 2; a report made 100 ms before it
        still says 1.
    Cause: whatever came last was believed.
    """
    core = routed_core.Core(servers=1)
    _named(core, "2")
    core.list_server("e1", routed_core.ENGINES, weights_version="2")
    _report(core, "e1", "1")
    assert core.world.servers["e1"].weights_version == "2"


def new_weights_end_a_drain() -> None:
    """A server that has loaded takes work at once.

    Symptom: each server stands idle for three seconds after its load.
    Sequence: a server is drained, loads, and reports the new version.
    Cause: a drain lapsed by its time alone.
    """
    core = routed_core.Core(servers=1)
    _named(core, "2")
    core.tell(server_inputs.ServerDraining, "e1", core.now_ms + 3_000)
    _report(core, "e1", "2")
    core.arrive("long")
    assert core.dispatch().server_id == "e1"


def scopes_differ_by_version_and_isolation() -> None:
    """Cached state is shared under one version, and by no isolated workspace.

    Symptom: an answer built on state of older weights, or of a workspace
        that shares with nobody.
    Sequence: requests before and after a load, with and without isolation.
    Cause: stores drop nothing when new weights come.
    """
    seen = set()
    for version in ("1", "2"):
        for isolated in (frozenset(), frozenset({"desk"})):
            core = routed_core.Core(servers=0)
            core.tell(
                inputs.TableChanged,
                routed_core.table(2, weights=version, isolated=isolated),
            )
            core.list_server("e1", "assistant", weights_version=version)
            core.arrive("long")
            seen.add(core.dispatch().cache_scope)
    assert len(seen) == 4, seen


def a_refused_order_frees_its_place() -> None:
    """A server that takes no order does not hold up the others.

    Symptom: a roll-out stands still for seconds beside a dark server.
    Sequence: the order to the first of three servers is refused.
    Cause: an order that was not taken counted as a load under way.
    """
    rolling = rollout.Rollout(rollout.RolloutPolicy(order_after_ms=100))
    behind = [
        rollout.Replica(
            server_id=name, weights_version="1", unfinished_requests=3
        )
        for name in ("a", "b", "c", "d")
    ]
    rolling.decide(desired_version="2", replicas=behind, now_ms=0)
    ordered = rolling.decide(
        desired_version="2", replicas=behind, now_ms=100
    ).servers_to_load
    assert ordered == ("a", "b"), ordered
    for name in ordered:
        rolling.record_order(name, now_ms=100)
    rolling.record_refusal("a", now_ms=100)
    drained = rolling.decide(
        desired_version="2", replicas=behind, now_ms=200
    ).draining
    assert drained == ("b", "c"), drained


def no_server_left_is_refused_at_once() -> None:
    """Where all servers are too old, callers are told so at once.

    Symptom: callers wait for an answer that can't come.
    Sequence: version 2 was named long ago; the only server has version 1.
    Cause: a request held for a server that takes none.
    """
    core = routed_core.Core(servers=1)
    _named(core, "2")
    core.wait(12_000)
    core.arrive("long")
    assert core.refusal().status == 503
    assert core.refusal().outcome is effects.Outcome.NOT_RUN


def a_server_that_crashes_while_it_loads_frees_its_place() -> None:
    """A server that answers nothing any more is not waited for.

    Symptom: new weights are first ordered 3.9 s after they were named.
    Sequence: under pressure one server at a time is ordered; it crashes, and
        its entry lapses four seconds later; newer weights are named.
    Cause: its load waited for until the limit of a load.
    """
    planned = rollout.Rollout(
        policy=rollout.RolloutPolicy(order_after_ms=100, load_limit_ms=4_000)
    )

    def decide(now_ms: int, *, reachable: bool = True) -> rollout.Decision:
        replicas = [
            rollout.Replica(
                server_id="e1",
                weights_version="1",
                unfinished_requests=0,
                is_reachable=reachable,
            ),
            rollout.Replica(
                server_id="e2", weights_version="1", unfinished_requests=1
            ),
        ]
        return planned.decide(
            desired_version="2",
            replicas=replicas,
            now_ms=now_ms,
            is_under_load=True,
        )

    assert decide(0).servers_to_load == ("e1",)
    planned.record_order("e1", now_ms=0)
    assert decide(500).draining == ("e1",)
    assert decide(600, reachable=False).draining == ("e2",)
    assert decide(750, reachable=False).servers_to_load == ("e2",)


class _Running:
    """Stands for the runtime and its clock: the core is told at once."""

    def __init__(self, fed: routed_core.Core) -> None:
        self.core = fed.router
        self.clock = self
        self._fed = fed

    def now_ms(self) -> int:
        """Returns the time of the core that is fed."""
        return self._fed.now_ms

    def submit(self, told: inputs.Input) -> None:
        """Hands an input over."""
        self.core.step(told)


class _Followed:
    """A core with one engine whose tables come as the store is followed."""

    def __init__(self) -> None:
        self.core = routed_core.Core(servers=1)
        self.keeper = feed_table.FeedTableKeeper(
            runtime=_Running(self.core),
            peers=None,
            serving_lease=store_lease.StoreServingLease(
                bound_ms=routed_core.ALLOWED_MS
            ),
            members=None,
            table_freshness=freshness.Freshness(topic=freshness.Topic.TABLE),
        )
        self.keeper.table_freshness.on_confirmed = (
            self.keeper.record_confirmation
        )
        self.keeper.table_freshness.record_version(1)

    def read(self, table: model.Table | None = None) -> None:
        """Lets an answer of the store come, with a newer table or without."""
        if table is not None:
            assert self.keeper.adopt(table)
        self.keeper.table_freshness.record_confirmation(self.core.now_ms)

    def read_for(self, ms: int) -> None:
        """Lets time pass, with an answer of the store each second."""
        for _ in range(ms // 1_000):
            self.core.wait(1_000)
            self.read()
        if ms % 1_000:
            self.core.wait(ms % 1_000)

    def serves(self, request: str) -> bool:
        """Returns whether the engine gets work."""
        self.core.arrive("long", request)
        return bool(self.core.find(effects.Dispatch))


def late_news_of_a_naming_makes_no_weights_young() -> None:
    """A daemon that hears late of new weights counts from before they were.

    A daemon was suspended for five seconds, and weights were named meanwhile.
    It sent work to servers with the old ones for eight seconds after it had
    heard of the new: thirteen after they were named, where the limit is
    eight. The age was counted from when the table came. It is counted from
    the store's last word that the table before was the newest; its word on
    the new one, and a change of routes that follows, date nothing.
    """
    daemon = _Followed()
    daemon.read()
    daemon.core.wait(5_000)
    daemon.read(routed_core.table(2, weights="2"))
    daemon.read_for(1_000)
    daemon.read(
        routed_core.table(3, weights="2", routes=routed_core.ROUTES[:2])
    )
    daemon.read_for(1_900)
    assert daemon.serves("r1")
    daemon.core.wait(200)
    assert not daemon.serves("r2")


def namings_heard_of_together_are_of_one_age() -> None:
    """Of two namings in one table, the one not seen dates nothing later.

    The store's readers were away for three seconds, and versions 2 and 3 were
    named meanwhile; one table brought both. A server with version 2 and one
    with version 1 may both have had replaced weights since just after the
    last word on the table before.
    """
    daemon = _Followed()
    daemon.read()
    daemon.core.wait(3_000)
    daemon.read(routed_core.table(3, weights="3"))
    daemon.read_for(4_900)
    assert daemon.serves("r1")
    _report(daemon.core, "e1", "2")
    assert daemon.serves("r2")
    daemon.core.wait(200)
    assert not daemon.serves("r3")
    daemon.core.list_server("e2", routed_core.ENGINES, weights_version="1")
    assert not daemon.serves("r4")


def news_after_a_long_silence_leaves_a_quarter_of_the_limit() -> None:
    """A daemon that knows no better takes a naming for three quarters old.

    One was cut off for twenty seconds; another had its table from a peer and
    no word of the store at all. Both counted the age of a naming from when
    they heard of it, and used the old weights for eight seconds more. Dated by
    the last word, or by none, all servers would be refused at once, also where
    weights were named a moment ago; so they go on as a daemon that starts.
    """
    for heard_before in (True, False):
        daemon = _Followed()
        if heard_before:
            daemon.read()
        daemon.core.wait(20_000)
        daemon.read(routed_core.table(2, weights="2"))
        daemon.read_for(1_900)
        assert daemon.serves("r1")
        daemon.core.wait(200)
        assert not daemon.serves("r2"), heard_before


def a_calm_daemon_dates_a_naming_a_second_early_at_most() -> None:
    """With an answer of the store each second, most of the limit is left.

    Dated by an older word than the last, a naming would take servers out of
    use while the roll-out still has time.
    """
    daemon = _Followed()
    daemon.read_for(20_000)
    daemon.core.wait(950)
    daemon.read(routed_core.table(2, weights="2"))
    daemon.read_for(7_000)
    assert daemon.serves("r1")
    daemon.core.wait(100)
    assert not daemon.serves("r2")

"""Weights: which servers may serve, and how a roll-out proceeds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cases import routed_core
from godwittack.core import effects, inputs, server_inputs
from godwittack.daemon import feed_table
from godwittack.lead import rollout
from godwittack.member import freshness, store_lease

if TYPE_CHECKING:
    from godwittack.table import model


def _publish_version(core: routed_core.Core, version: str) -> None:
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
    """Weights that were replaced long ago serve no request.

    Symptom: answers by weights that were replaced 15 s ago.
    Sequence: version 2 is published and loaded; a server that was unreachable
        until then comes back with version 1.
    Cause: any listed server was used.
    """
    core = routed_core.Core(servers=1)
    _publish_version(core, "2")
    _report(core, "e1", "2")
    core.wait(12_000)
    core.list_server("e2", routed_core.ENGINES, weights_version="1")
    for number in range(6):
        core.arrive("long", f"r{number}")
        assert core.dispatch().server_id == "e1"


def each_publication_ages_older_weights_separately() -> None:
    """A second publication does not reset the age of older weights.

    Symptom: a request starts on weights that were replaced 12 s ago.
    Sequence: version 2 is published; the roll-out loses its lead halfway;
        version 3 is published 7 s later; a server still has version 1.
    Cause: the age of all other versions was counted from the last
        publication.
    """
    core = routed_core.Core(servers=1)
    _publish_version(core, "2")
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
    """Just after a publication, servers continue with their weights.

    Symptom: all requests are refused during a roll-out.
    Sequence: version 2 is published; no server has it yet.
    Cause: only servers with the newest weights were used.
    """
    core = routed_core.Core()
    _publish_version(core, "2")
    core.wait(1_000)
    core.arrive("long")
    assert core.dispatch().stamp.weights_version == "1"


def a_late_report_does_not_bring_old_weights_back() -> None:
    """A report from before a load is ignored after it.

    Symptom: requests are declined for the wrong weights, and the same load is
        ordered twice.
    Sequence: the list has version 2; a report made 100 ms earlier still has
        version 1.
    Cause: whatever arrived last was used.
    """
    core = routed_core.Core(servers=1)
    _publish_version(core, "2")
    core.list_server("e1", routed_core.ENGINES, weights_version="2")
    _report(core, "e1", "1")
    assert core.world.servers["e1"].weights_version == "2"


def a_server_that_goes_back_to_older_weights_is_noticed() -> None:
    """Reports of older weights are believed if they don't stop.

    Guards against a server that declines all requests for good: it carried out
    a late order, and its reports counted as older than its load.
    """
    core = routed_core.Core(servers=1)
    _publish_version(core, "2")
    _report(core, "e1", "2")
    for _ in range(2):
        core.wait(1_000)
        _report(core, "e1", "1")
    assert core.world.servers["e1"].weights_version == "2"
    core.wait(1_000)
    _report(core, "e1", "2")
    for _ in range(4):
        core.wait(1_000)
        _report(core, "e1", "1")
    assert core.world.servers["e1"].weights_version == "1"
    core.arrive("long")
    assert core.dispatch().stamp.weights_version == "1"


def new_weights_end_a_drain() -> None:
    """A server that has loaded new weights gets requests at once.

    Symptom: each server is idle for three seconds after its load.
    Sequence: a server is drained, loads, and reports the new version.
    Cause: a drain ended only when its time expired.
    """
    core = routed_core.Core(servers=1)
    _publish_version(core, "2")
    core.tell(server_inputs.ServerDraining, "e1", core.now_ms + 3_000)
    _report(core, "e1", "2")
    core.arrive("long")
    assert core.dispatch().server_id == "e1"


def cache_scopes_differ_by_version_and_isolation() -> None:
    """Cached state is shared within one version, except if isolated.

    Symptom: an answer uses cached state of older weights, or of an isolated
        workspace.
    Sequence: requests before and after a load, with and without isolation.
    Cause: stores drop nothing when new weights are loaded.
    """
    scopes = set()
    for version in ("1", "2"):
        for isolated in (frozenset(), frozenset({"desk"})):
            core = routed_core.Core(servers=0)
            core.tell(
                inputs.TableChanged,
                routed_core.table(2, weights=version, isolated=isolated),
            )
            core.list_server("e1", "assistant", weights_version=version)
            core.arrive("long")
            scopes.add(core.dispatch().cache_scope)
    assert len(scopes) == 4, scopes


def a_refused_order_frees_its_place() -> None:
    """A server that refuses an order does not delay the others.

    Symptom: a roll-out stops for seconds because of an unresponsive server.
    Sequence: the order to the first of three servers is refused.
    Cause: a refused order counted as a load in progress.
    """
    rolling = rollout.Rollout(rollout.RolloutPolicy(order_after_ms=100))
    outdated = [
        rollout.Replica(
            server_id=name, weights_version="1", unfinished_requests=3
        )
        for name in ("a", "b", "c", "d")
    ]
    rolling.decide(desired_version="2", replicas=outdated, now_ms=0)
    ordered = rolling.decide(
        desired_version="2", replicas=outdated, now_ms=100
    ).servers_to_load
    assert ordered == ("a", "b"), ordered
    for name in ordered:
        rolling.record_order(name, now_ms=100)
    rolling.record_refusal("a", now_ms=100)
    drained = rolling.decide(
        desired_version="2", replicas=outdated, now_ms=200
    ).draining
    assert drained == ("b", "c"), drained


def requests_without_a_usable_server_are_refused_at_once() -> None:
    """If the weights of all servers are too old, requests are refused.

    Symptom: callers wait for an answer that can't be given.
    Sequence: version 2 was published long ago; the only server has version 1.
    Cause: a request was queued for a server that gets none.
    """
    core = routed_core.Core(servers=1)
    _publish_version(core, "2")
    core.wait(12_000)
    core.arrive("long")
    assert core.refusal().status == 503
    assert core.refusal().outcome is effects.Outcome.NOT_RUN


def a_server_that_crashes_while_it_loads_frees_its_place() -> None:
    """A roll-out does not wait for a server that stopped responding.

    Symptom: new weights are first ordered 3.9 s after their publication.
    Sequence: under load one server at a time is ordered; it crashes, and its
        entry expires four seconds later; newer weights are published.
    Cause: its load counted as in progress until the time limit of a load.
    """
    rolling = rollout.Rollout(
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
        return rolling.decide(
            desired_version="2",
            replicas=replicas,
            now_ms=now_ms,
            is_under_load=True,
        )

    assert decide(0).servers_to_load == ("e1",)
    rolling.record_order("e1", now_ms=0)
    assert decide(500).draining == ("e1",)
    assert decide(600, reachable=False).draining == ("e2",)
    assert decide(750, reachable=False).servers_to_load == ("e2",)


class _DirectRuntime:
    """A runtime and its clock that pass inputs to the core directly."""

    def __init__(self, driver: routed_core.Core) -> None:
        self.core = driver.router
        self.clock = self
        self._driver = driver

    def now_ms(self) -> int:
        """Returns the manual time of the core."""
        return self._driver.now_ms

    def submit(self, input_: inputs.Input) -> None:
        """Processes an input at once."""
        self.core.step(input_)


class StoreReader:
    """A daemon with one engine that reads its tables from the store."""

    def __init__(self) -> None:
        self.core = routed_core.Core(servers=1)
        self.keeper = feed_table.FeedTableKeeper(
            runtime=_DirectRuntime(self.core),
            peers=None,
            serving_lease=store_lease.StoreServingLease(
                bound_ms=routed_core.NO_LIMIT
            ),
            members=None,
            table_freshness=freshness.Freshness(topic=freshness.Topic.TABLE),
        )
        self.keeper.table_freshness.on_confirmed = (
            self.keeper.record_confirmation
        )
        self.keeper.table_freshness.record_version(1)

    def read(self, table: model.Table | None = None) -> None:
        """Applies an answer of the store, with a newer table or without."""
        if table is not None:
            assert self.keeper.adopt(table, source="store")
        self.keeper.table_freshness.record_confirmation(self.core.now_ms)

    def read_for(self, ms: int) -> None:
        """Advances the clock, with an answer of the store each second."""
        for _ in range(ms // 1_000):
            self.core.wait(1_000)
            self.read()
        if ms % 1_000:
            self.core.wait(ms % 1_000)

    def serves(self, request: str) -> bool:
        """Returns whether a new request is sent to an engine."""
        self.core.arrive("long", request)
        return bool(self.core.find(effects.Dispatch))


def a_late_table_does_not_make_old_weights_look_recent() -> None:
    """The age of old weights counts from before a table that arrives late.

    A daemon was suspended for five seconds; new weights were published
    meanwhile. It sent requests to servers with the old weights for eight
    seconds after it received the table: thirteen after the publication, where
    the limit is eight. The age was counted from the receipt of the table. Now
    it counts from the store's last confirmation that the previous table was
    the newest; neither a confirmation of the new table nor a later change of
    routes changes it.
    """
    daemon = StoreReader()
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


def publications_received_in_one_table_have_one_age() -> None:
    """Two publications received in one table count as equally old.

    The store's readers were disconnected for three seconds; versions 2 and 3
    were published meanwhile, and one table brought both. The weights of a
    server with version 2 and of one with version 1 may both have been replaced
    just after the last confirmation of the previous table.
    """
    daemon = StoreReader()
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


def a_table_after_a_long_outage_leaves_a_quarter_of_the_limit() -> None:
    """Without a recent confirmation, a publication counts as 3/4 expired.

    One daemon was cut off for twenty seconds; another had its table from a
    peer and no confirmation by the store at all. Both counted the age of a
    publication from its receipt, and used the old weights for eight seconds
    more. Counted from the last confirmation, or without one, no server could
    be used, even if the weights were published a moment ago; so both continue
    like a daemon that starts.
    """
    for is_confirmed in (True, False):
        daemon = StoreReader()
        if is_confirmed:
            daemon.read()
        daemon.core.wait(20_000)
        daemon.read(routed_core.table(2, weights="2"))
        daemon.read_for(1_900)
        assert daemon.serves("r1")
        daemon.core.wait(200)
        assert not daemon.serves("r2"), is_confirmed


def a_connected_daemon_dates_a_publication_a_second_early_at_most() -> None:
    """With an answer of the store each second, most of the limit is left.

    Counted from an older confirmation than the last, a publication would take
    servers out of use while the roll-out still has time.
    """
    daemon = StoreReader()
    daemon.read_for(20_000)
    daemon.core.wait(950)
    daemon.read(routed_core.table(2, weights="2"))
    daemon.read_for(7_000)
    assert daemon.serves("r1")
    daemon.core.wait(100)
    assert not daemon.serves("r2")

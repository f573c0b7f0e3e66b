"""How daemons confirm the store's state by each other's reports."""

from __future__ import annotations

from cases import feed_follower
from godwittack.member.freshness import Belief, Freshness, Topic
from godwittack.peer import pending
from godwittack.store import protocol


def _freshness_at(version: int = 5) -> Freshness:
    freshness = Freshness(topic=Topic.TABLE)
    freshness.record_version(version)
    return freshness


def a_peer_s_delayed_answer_is_dated_by_its_request() -> None:
    """A peer's confirmation counts from when it was requested.

    Guards against a revoked key served by a daemon that was suspended: it sends
    a request to a peer, is suspended for 8 s, then reads the answer from its
    socket. The age was counted from the arrival of the answer.
    """
    freshness = _freshness_at()
    belief = Belief(Topic.TABLE, 5, age_ms=200)
    freshness.apply_belief(belief, asked_at_ms=10_000, now_ms=18_000)
    assert freshness.confirmed_at_ms == 9_800


def a_peer_with_a_newer_version_confirms_nothing() -> None:
    """Confirmation of another version does not confirm this one.

    Guards against an older table served as the newest: a peer reports that
    version 6 was confirmed a moment ago, and only the age was checked.
    """
    freshness = _freshness_at()
    freshness.apply_belief(
        Belief(Topic.TABLE, 6, 0), asked_at_ms=10_000, now_ms=10_004
    )
    assert freshness.confirmed_at_ms < 0
    assert freshness.behind_since_ms == 10_004
    freshness.record_version(6)
    assert freshness.behind_since_ms == -1


def a_peer_that_lags_confirms_nothing() -> None:
    """A peer with an older version does not know of the newer one.

    Guards against a table confirmed by daemons that have not seen it: a peer
    that is cut off reports version 4 as the newest, and any confirmation
    counted for the daemon's own version.
    """
    freshness = _freshness_at()
    freshness.apply_belief(
        Belief(Topic.TABLE, 4, 0), asked_at_ms=10_000, now_ms=10_004
    )
    assert freshness.confirmed_at_ms < 0 and freshness.behind_since_ms < 0


def confirmation_ages_add_up_over_many_daemons() -> None:
    """A forwarded confirmation is as old as the store's answer.

    Guards against daemons without the store that keep each other fresh forever:
    ten of them query each other for 10 s, and each dated what it received by
    its own clock.
    """
    daemons = [_freshness_at() for _ in range(10)]
    daemons[0].record_confirmation(1_000)
    for now_ms in range(1_000, 11_000, 100):
        for number, freshness in enumerate(daemons):
            belief = daemons[(number + 1) % 10].current_belief(now_ms=now_ms)
            if belief is not None:
                freshness.apply_belief(
                    belief, asked_at_ms=now_ms - 4, now_ms=now_ms
                )
    assert max(freshness.confirmed_at_ms for freshness in daemons) == 1_000


async def a_daemon_does_not_poll_while_peers_confirm() -> None:
    """Only readers poll the store all the time.

    Guards against store calls that grow with the fleet, each daemon following
    the store by itself: a daemon that is no reader gets confirmations from
    peers, then none.
    """
    harness = feed_follower.FollowerHarness()
    freshness = _freshness_at(version=5)
    harness.follower._freshness = freshness
    harness.follower._is_reader = lambda: False
    assert not harness.follower.can_skip_read()
    await harness.step(feed_follower.page(5, ("a", "1"), clock_ms=50_000))
    freshness.record_confirmation(harness.clock.now_ms())
    assert harness.follower.can_skip_read()
    harness.clock.advance(by_ms=3_000)
    assert not harness.follower.can_skip_read()
    freshness.record_confirmation(harness.clock.now_ms())
    freshness.behind_since_ms = harness.clock.now_ms() - 1_000
    assert not harness.follower.can_skip_read()


async def unreadable_rows_confirm_nothing() -> None:
    """A table kept because its successor is unreadable is not fresh.

    Guards against serving keys that an unreadable change revoked: version 5 is
    active; a row of version 7 can't be decoded; the store's answer counted as a
    confirmation of the active table.
    """
    harness = feed_follower.FollowerHarness()
    freshness = _freshness_at(version=5)
    harness.follower._freshness = freshness
    await harness.step(feed_follower.page(5, ("a", "1"), clock_ms=50_000))
    confirmed = len(harness.confirmed)
    await harness.step(feed_follower.page(7, ("a", "broken"), clock_ms=50_010))
    assert len(harness.confirmed) == confirmed


class _RecordedUpdates:
    """Records what readers publish."""

    def __init__(self) -> None:
        self.published: list[tuple[dict, int, int]] = []
        self.on_versioned_list = lambda changes, before, version: None

    def publish_listed(self, changes, *, before=0, version=0) -> None:
        """Records a change."""
        self.published.append((changes, before, version))


def _instance(name: str, *, leaving: bool = False) -> protocol.Instance:
    return protocol.Instance(
        name=name,
        role=protocol.InstanceRole.SERVICE,
        address="10.0.0.1:1",
        target="booking",
        leaving=leaving,
    )


def _list_follower(*, is_reader: bool):
    from cases import one_lead
    from godwittack.clock import ManualClock
    from godwittack.daemon import instance_rows, instances

    clock = ManualClock(feed_follower.START_MS)
    updates = _RecordedUpdates()
    freshness = Freshness(topic=Topic.SERVERS)
    follower = feed_follower.FollowerHarness().follower
    follower._clock = clock
    instance_follower = instances.InstanceFollower(
        core=one_lead.Runtime(clock),
        decode=lambda rows: instance_rows.ParsedRows(dict(rows), {}),
        updates=updates,
        list_freshness=freshness,
        is_reader=lambda: is_reader,
    )
    instance_follower.follower = follower
    return instance_follower, follower, freshness, updates


def a_gap_in_the_list_s_changes_is_detected() -> None:
    """Changes that do not continue the known version are not complete.

    Guards against work sent to a server that left long ago: the update of one
    change is lost, the next one arrives, and changes were merged without
    comparing versions.
    """
    instance_follower, _, freshness, _ = _list_follower(is_reader=False)
    freshness.record_version(5)
    instance_follower.apply_changes({"s8": _instance("s8")}, 5, 6)
    assert freshness.version == 6 and freshness.behind_since_ms < 0
    instance_follower.apply_changes({"s9": _instance("s9")}, 7, 8)
    assert freshness.version == 6 and freshness.behind_since_ms >= 0
    assert "s9" not in instance_follower._instances


def a_gap_is_repaired_while_more_updates_arrive() -> None:
    """Further updates do not postpone the read for a missed one.

    A daemon that does not poll missed the update that a server leaves; updates
    of other servers followed every 0.3 s, none of which it could apply. Each
    restarted the wait of 0.4 s for the missing one, so that the list was read
    only once peers' confirmations were two seconds old, and the server got new
    work until then. The wait counts from the first update after the gap.
    """
    instance_follower, follower, freshness, _ = _list_follower(is_reader=False)
    clock = instance_follower._core.clock
    follower._freshness = freshness
    follower._is_reader = lambda: False
    follower._needs_snapshot = False
    freshness.record_version(6)
    freshness.record_confirmation(clock.now_ms())
    for version in (8, 9):
        instance_follower.apply_changes(
            {"s9": _instance(f"s{version}")}, version - 1, version
        )
        assert follower.can_skip_read()
        clock.advance(by_ms=300)
    assert not follower.can_skip_read()


def entries_that_expire_in_an_outage_are_kept_for_a_while() -> None:
    """A server whose entry expired during a store outage may still exist.

    Guards against an empty server list for two seconds after an outage: the
    store is unavailable; entries expire; it returns without them; one comes
    back, the other does not. A missing entry must not yet mean that its server
    left.
    """
    instance_follower, follower, _, updates = _list_follower(is_reader=True)
    clock = instance_follower._core.clock
    instances_by_name = {name: _instance(name) for name in ("a", "b")}
    follower.version = 5
    instance_follower.apply_rows(instances_by_name)
    follower.recovered_at_ms = clock.now_ms()
    follower.version = 6
    instance_follower.apply_rows({})
    assert set(instance_follower._instances) == {"a", "b"}
    clock.advance(by_ms=1_500)
    follower.version = 7
    instance_follower.apply_rows({"a": instances_by_name["a"]})
    clock.advance(by_ms=900)
    instance_follower.drop_missing()
    assert set(instance_follower._instances) == {"a"}
    assert updates.published[-1][0] == {"b": None}


def a_leaving_server_is_announced_by_readers_at_once() -> None:
    """Readers forward what the store lists, other daemons do not.

    Guards against new work for a leaving server from daemons that do not poll:
    list changes were sent only on the tick. A reader and another daemon read
    that a server leaves.
    """
    for is_reader in (True, False):
        instance_follower, follower, _, updates = _list_follower(
            is_reader=is_reader
        )
        follower.version = 5
        instance_follower.apply_rows({"a": _instance("a")})
        follower.version = 6
        instance_follower.apply_rows({"a": _instance("a", leaving=True)})
        assert instance_follower._core.core.world.servers["a"].leaving
        assert bool(updates.published) == is_reader


def a_reader_that_retains_expired_entries_claims_no_newer_list() -> None:
    """Receivers must not skip changes that a reader has not published yet.

    One daemon of 63 kept using eleven servers that had left. 15 s later it took
    the lead of a roll-out to give them new weights: `event=lease held=1
    fencing=2`, then orders answered 421, one every 0.2 s. It had received no
    updates for a second, and then first those of a reader whose store had just
    come back.

    That reader kept expired entries for 2.3 s, in case their servers were
    alive, and published another server's change as the newest list. The other
    readers' updates that those servers were gone arrived later, had an older
    version, and were dropped.
    """
    reader, follower, _, updates = _list_follower(is_reader=True)
    peer, _, freshness, _ = _list_follower(is_reader=False)
    instances_by_name = {name: _instance(name) for name in ("a", "b")}
    follower.version = 5
    reader.apply_rows(instances_by_name)
    peer.apply_changes(*updates.published[-1])
    follower.recovered_at_ms = reader._core.clock.now_ms()
    follower.version = 7
    changes = {"a": _instance("a", leaving=True)}
    reader.apply_rows(changes)
    peer.apply_changes(*updates.published[-1])
    assert peer._core.core.world.servers["a"].leaving
    peer.apply_changes({"b": None}, 5, 6)
    assert set(peer._instances) == {"a"}, peer._instances
    reader._core.clock.advance(by_ms=2_400)
    reader.drop_missing()
    peer.apply_changes(*updates.published[-1])
    assert freshness.version == 7, freshness
    assert updates.published[-1][0] == {**changes, "b": None}


def updates_sent_while_entries_are_retained_are_applied() -> None:
    """A daemon that has read the list applies a change sent at its version.

    A reader that retains entries publishes other changes at the version of its
    last complete list. A daemon that had read the list itself, with the store
    at version 9 and the list at 5, considered that older than its own read: a
    leaving server got new work from it for 2.3 s more, until the rest was
    published. Its read showed nothing newer than 5, so that a change based on 5
    is newer than the read.
    """
    peer, follower, freshness, _ = _list_follower(is_reader=False)
    follower.version, follower._feed_version = 5, 9
    peer.apply_rows({"a": _instance("a")})
    peer.apply_changes({"a": _instance("a", leaving=True)}, 5, 5)
    assert peer._core.core.world.servers["a"].leaving
    assert freshness.version == 5


def a_slow_answer_does_not_restore_a_removed_server() -> None:
    """A reader's store answer older than a peer's update is not published.

    A reader's link was slow: the store's answer of version 4 arrived after a
    peer's update that a server had left with version 5. The reader listed the
    server again and published that as a change of version 5, which all others
    applied.
    """
    reader, follower, _, updates = _list_follower(is_reader=True)
    peer, _, _, _ = _list_follower(is_reader=False)
    instances_by_name = {name: _instance(name) for name in ("a", "b")}
    follower.version = 3
    reader.apply_rows(instances_by_name)
    peer.apply_changes(*updates.published[-1])
    for instance_follower in (reader, peer):
        instance_follower.apply_changes({"b": None}, 3, 5)
    follower.version = 4
    reader.apply_rows({**instances_by_name, "c": _instance("c")})
    for update in updates.published[1:]:
        peer.apply_changes(*update)
    assert set(reader._instances) == {"a"}, reader._instances
    assert set(peer._instances) == {"a"}, peer._instances
    follower.version = 6
    reader.apply_rows({name: _instance(name) for name in ("a", "c")})
    assert set(reader._instances) == {"a", "c"}


def an_older_update_does_not_replace_newer_rows() -> None:
    """While entries are retained, a peer's update may be older than the rows.

    A reader whose store had just come back had read version 5, in which a
    server leaves, and retained another's expired entry. A peer's update of
    version 4 replaced the server's entry by an older one, and the reader then
    published its list as version 5 without the leaving state.
    """
    reader, follower, freshness, updates = _list_follower(is_reader=True)
    instances_by_name = {name: _instance(name) for name in ("a", "b")}
    leaving = _instance("a", leaving=True)
    follower.version = 3
    reader.apply_rows(instances_by_name)
    follower.recovered_at_ms = reader._core.clock.now_ms()
    follower.version = 5
    reader.apply_rows({"a": leaving})
    reader.apply_changes({"a": _instance("a")}, 3, 4)
    assert reader._instances["a"].leaving
    reader._core.clock.advance(by_ms=2_400)
    reader.drop_missing()
    assert freshness.version == 5
    assert updates.published[-1] == ({"a": leaving, "b": None}, 4, 5)


def an_entry_restored_by_a_peer_s_update_stays() -> None:
    """A retained entry that a newer list has again is not dropped.

    A daemon that no longer polls had read version 5 without a server whose
    entry had expired. With version 6 the entry was back, unchanged, so that no
    reader published a change of it. The daemon dropped it after 2.3 s, and had
    the newest list without it.
    """
    instance_follower, follower, freshness, _ = _list_follower(is_reader=False)
    instances_by_name = {name: _instance(name) for name in ("a", "b")}
    follower.version = 3
    instance_follower.apply_rows(instances_by_name)
    follower.recovered_at_ms = instance_follower._core.clock.now_ms()
    follower.version = 5
    instance_follower.apply_rows({"a": instances_by_name["a"]})
    instance_follower.apply_changes({"c": _instance("c")}, 3, 6)
    instance_follower._core.clock.advance(by_ms=2_400)
    instance_follower.drop_missing()
    assert freshness.version == 6
    assert set(instance_follower._instances) == {"a", "b", "c"}, (
        instance_follower._instances
    )


def queued_updates_are_not_merged_over_a_gap() -> None:
    """Merging queued updates must not skip another reader's change.

    The stream to a peer was broken for a moment. A reader's changes of versions
    4 and 6 were queued for it, and in between another reader sent it the change
    of version 5, that a server had left. Merged into one update from version 3
    to 6, they made the peer drop the update of version 5 and keep the server.
    """
    first = pending.PendingNews()
    first.add_list_changes({"x": _instance("x")}, before=3, version=4)
    later = pending.PendingNews()
    later.add_list_changes({"y": _instance("y")}, before=5, version=6)
    merged = first.merged_with(later)
    first.add_list_changes({"y": _instance("y")}, before=5, version=6)
    for updates in (merged, first):
        peer, _, freshness, _ = _list_follower(is_reader=False)
        peer.apply_changes({"b": _instance("b")}, 0, 3)
        peer.apply_changes(
            updates.listed, updates.list_before, updates.list_version
        )
        assert freshness.version == 3 and freshness.behind_since_ms >= 0
    combined = pending.PendingNews()
    combined.add_list_changes({"x": _instance("x")}, before=3, version=4)
    combined.add_list_changes({"y": None}, before=4, version=5)
    assert (combined.list_before, combined.list_version) == (3, 5)
    assert set(combined.listed) == {"x", "y"}

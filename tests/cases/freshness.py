"""What daemons believe of the store by each other's word."""

from __future__ import annotations

from cases import following as cases
from godwittack.member.freshness import Belief, Freshness, Topic
from godwittack.peer import pending
from godwittack.store import protocol


def _fresh(version: int = 5) -> Freshness:
    known = Freshness(topic=Topic.TABLE)
    known.record_version(version)
    return known


def an_answer_that_waited_is_not_fresh() -> None:
    """A peer's word counts from when it was asked.

    Symptom: a key taken away is served by a daemon that was suspended.
    Sequence: a peer is asked; this process is suspended for 8 s; it wakes and
        reads the answer from its socket.
    Cause: the age counted from the arrival of the answer.
    """
    known = _fresh()
    belief = Belief(Topic.TABLE, 5, age_ms=200)
    known.apply_belief(belief, asked_at_ms=10_000, now_ms=18_000)
    assert known.confirmed_at_ms == 9_800


def a_peer_with_a_newer_version_confirms_nothing() -> None:
    """Another version's confirmation is none of this one's.

    Symptom: a daemon serves an older table as if it were the newest.
    Sequence: a peer says that version 6 was confirmed a moment ago.
    Cause: only the age looked at.
    """
    known = _fresh()
    known.apply_belief(
        Belief(Topic.TABLE, 6, 0), asked_at_ms=10_000, now_ms=10_004
    )
    assert known.confirmed_at_ms < 0
    assert known.behind_since_ms == 10_004
    known.record_version(6)
    assert known.behind_since_ms == -1


def a_peer_that_lags_confirms_nothing() -> None:
    """A peer with an older version does not know of the newer one.

    Symptom: a table is called confirmed by daemons that have not seen it.
    Sequence: a peer that is cut off says that version 4 is the newest.
    Cause: any confirmation taken for one of the own version.
    """
    known = _fresh()
    known.apply_belief(
        Belief(Topic.TABLE, 4, 0), asked_at_ms=10_000, now_ms=10_004
    )
    assert known.confirmed_at_ms < 0 and known.behind_since_ms < 0


def ages_add_up_over_many_daemons() -> None:
    """A confirmation passed on by many is as old as the store's answer.

    Symptom: daemons cut off from the store keep each other fresh for ever.
    Sequence: ten daemons without the store ask each other for 10 s.
    Cause: each dated what it heard by its own clock.
    """
    daemons = [_fresh() for _ in range(10)]
    daemons[0].record_confirmation(1_000)
    for now_ms in range(1_000, 11_000, 100):
        for number, known in enumerate(daemons):
            told = daemons[(number + 1) % 10].current_belief(now_ms=now_ms)
            if told is not None:
                known.apply_belief(told, asked_at_ms=now_ms - 4, now_ms=now_ms)
    assert max(known.confirmed_at_ms for known in daemons) == 1_000


async def a_daemon_rests_while_peers_confirm() -> None:
    """Only readers ask the store all the time.

    Symptom: the store's calls grow with the fleet.
    Sequence: a daemon that is no reader hears from peers, then no more.
    Cause: each daemon followed the store by itself.
    """
    case = cases.Followed()
    known = _fresh(version=5)
    case.follower._freshness = known
    case.follower._is_reader = lambda: False
    assert not case.follower.can_skip_read()
    await case.step(cases.page(5, ("a", "1"), clock_ms=50_000))
    known.record_confirmation(case.clock.now_ms())
    assert case.follower.can_skip_read()
    case.clock.advance(by_ms=3_000)
    assert not case.follower.can_skip_read()
    known.record_confirmation(case.clock.now_ms())
    known.behind_since_ms = case.clock.now_ms() - 1_000
    assert not case.follower.can_skip_read()


async def rows_that_can_t_be_read_confirm_nothing() -> None:
    """A table that stayed in force for want of a better one is not fresh.

    Symptom: keys taken away by a change that could not be read are served.
    Sequence: version 5 is in force; a row of version 7 can't be decoded.
    Cause: the store's answer taken for a word on what is in force.
    """
    case = cases.Followed()
    known = _fresh(version=5)
    case.follower._freshness = known
    await case.step(cases.page(5, ("a", "1"), clock_ms=50_000))
    told = len(case.confirmed)
    await case.step(cases.page(7, ("a", "broken"), clock_ms=50_010))
    assert len(case.confirmed) == told


class _News:
    """Keeps what readers tell."""

    def __init__(self) -> None:
        self.published: list[tuple[dict, int, int]] = []
        self.on_versioned_list = lambda changes, before, version: None

    def publish_listed(self, changes, *, before=0, version=0) -> None:
        """A reader tells of changes."""
        self.published.append((changes, before, version))


def _instance(name: str, *, leaving: bool = False) -> protocol.Instance:
    return protocol.Instance(
        name=name,
        role=protocol.InstanceRole.SERVICE,
        address="10.0.0.1:1",
        target="booking",
        leaving=leaving,
    )


def _list(*, is_reader: bool):
    from cases import one_lead
    from godwittack.clock import ManualClock
    from godwittack.daemon import instance_rows, instances

    clock = ManualClock(cases.START_MS)
    news = _News()
    known = Freshness(topic=Topic.SERVERS)
    follower = cases.Followed().follower
    follower._clock = clock
    held = instances.InstanceFollower(
        core=one_lead.Runtime(clock),
        decode=lambda rows: instance_rows.ParsedRows(dict(rows), {}),
        updates=news,
        table_freshness=known,
        is_reader=lambda: is_reader,
    )
    held.follower = follower
    return held, follower, known, news


def a_gap_in_the_list_s_changes_is_seen() -> None:
    """Changes that do not follow on what is known are not taken for all.

    Symptom: a daemon sends work to a server that left long ago.
    Sequence: the news of one change is lost, the next one arrives.
    Cause: changes merged without a look at what they follow on.
    """
    held, _, known, _ = _list(is_reader=False)
    known.record_version(5)
    held.apply_changes({"s8": _instance("s8")}, 5, 6)
    assert known.version == 6 and known.behind_since_ms < 0
    held.apply_changes({"s9": _instance("s9")}, 7, 8)
    assert known.version == 6 and known.behind_since_ms >= 0
    assert "s9" not in held._instances


def a_gap_is_read_also_while_more_news_comes() -> None:
    """More news of changes does not put off the reading of a missed one.

    A daemon that rests missed the news that a server leaves; news of other
    servers followed every 0.3 s, none of which it could take in. Each began
    the wait of 0.4 s for the missing one anew, so that the list was read only
    once peers' word was two seconds old, and the server got new work until
    then. The wait counts from the first sign of the gap.
    """
    held, follower, known, _ = _list(is_reader=False)
    clock = held._core.clock
    follower._freshness = known
    follower._is_reader = lambda: False
    follower._needs_snapshot = False
    known.record_version(6)
    known.record_confirmation(clock.now_ms())
    for version in (8, 9):
        held.apply_changes(
            {"s9": _instance(f"s{version}")}, version - 1, version
        )
        assert follower.can_skip_read()
        clock.advance(by_ms=300)
    assert not follower.can_skip_read()


def entries_that_lapse_in_an_outage_are_kept_for_a_while() -> None:
    """A server whose entry lapsed while the store was away is not gone yet.

    Symptom: for two seconds after an outage no server is known.
    Sequence: the store is away; entries lapse; it returns without them; one
        comes back, the other does not.
    Cause: a missing entry taken for a server that left.
    """
    held, follower, _, news = _list(is_reader=True)
    clock = held._core.clock
    both = {name: _instance(name) for name in ("a", "b")}
    follower.version = 5
    held.apply_rows(both)
    follower.recovered_at_ms = clock.now_ms()
    follower.version = 6
    held.apply_rows({})
    assert set(held._instances) == {"a", "b"}
    clock.advance(by_ms=1_500)
    follower.version = 7
    held.apply_rows({"a": both["a"]})
    clock.advance(by_ms=900)
    held.drop_missing()
    assert set(held._instances) == {"a"}
    assert news.published[-1][0] == {"b": None}


def a_leaving_server_is_told_by_readers_at_once() -> None:
    """Readers pass on what the store says of servers, others do not.

    Symptom: new work for a leaving server, from daemons that rest.
    Sequence: a reader and another daemon read that a server leaves.
    Cause: news of the list only on the tick.
    """
    for is_reader in (True, False):
        held, follower, _, news = _list(is_reader=is_reader)
        follower.version = 5
        held.apply_rows({"a": _instance("a")})
        follower.version = 6
        held.apply_rows({"a": _instance("a", leaving=True)})
        assert held._core.core.world.servers["a"].leaving
        assert bool(news.published) == is_reader


def a_reader_that_keeps_entries_back_claims_no_newer_list() -> None:
    """What a reader does not tell yet is not skipped by those that hear it.

    One daemon of 63 went on with eleven servers that had left. 15 s later it
    took the lead of a roll-out to bring them new weights: `event=lease held=1
    fencing=2`, then orders answered 421, one every 0.2 s. It had heard no news
    for a second, and then first those of a reader whose store had just come
    back.
    That reader kept lapsed entries for 2.3 s, in case their servers lived, and
    told another server's change as the newest list; the other readers' word
    that those were gone came after it, was older than that, and was dropped.
    """
    reader, follower, _, news = _list(is_reader=True)
    peer, _, known, _ = _list(is_reader=False)
    both = {name: _instance(name) for name in ("a", "b")}
    follower.version = 5
    reader.apply_rows(both)
    peer.apply_changes(*news.published[-1])
    follower.recovered_at_ms = reader._core.clock.now_ms()
    follower.version = 7
    changed = {"a": _instance("a", leaving=True)}
    reader.apply_rows(changed)
    peer.apply_changes(*news.published[-1])
    assert peer._core.core.world.servers["a"].leaving
    peer.apply_changes({"b": None}, 5, 6)
    assert set(peer._instances) == {"a"}, peer._instances
    reader._core.clock.advance(by_ms=2_400)
    reader.drop_missing()
    peer.apply_changes(*news.published[-1])
    assert known.version == 7, known
    assert news.published[-1][0] == {**changed, "b": None}


def what_is_told_while_entries_are_kept_back_is_taken_in() -> None:
    """A daemon that has read the list takes a change told at its version.

    A reader that keeps entries back tells other changes at the version of its
    last whole account. A daemon that had read the list itself, with the store
    at version 9 and the list at 5, took that for older than its own reading: a
    server that leaves got new work from it for 2.3 s more, until the rest was
    told. Its reading showed nothing newer than 5, so that what follows on 5 is
    newer than the reading.
    """
    peer, follower, known, _ = _list(is_reader=False)
    follower.version, follower._feed_version = 5, 9
    peer.apply_rows({"a": _instance("a")})
    peer.apply_changes({"a": _instance("a", leaving=True)}, 5, 5)
    assert peer._core.core.world.servers["a"].leaving
    assert known.version == 5


def an_answer_that_was_long_on_its_way_brings_nobody_back() -> None:
    """A reader's answer older than a peer's word is not told as the list.

    A reader's link was slow: the store's answer of version 4 came after a
    peer's word that a server had left with version 5. The reader listed it
    again, and told that as a change of version 5, which all others believed.
    """
    reader, follower, _, news = _list(is_reader=True)
    peer, _, _, _ = _list(is_reader=False)
    both = {name: _instance(name) for name in ("a", "b")}
    follower.version = 3
    reader.apply_rows(both)
    peer.apply_changes(*news.published[-1])
    for heard in (reader, peer):
        heard.apply_changes({"b": None}, 3, 5)
    follower.version = 4
    reader.apply_rows({**both, "c": _instance("c")})
    for told in news.published[1:]:
        peer.apply_changes(*told)
    assert set(reader._instances) == {"a"}, reader._instances
    assert set(peer._instances) == {"a"}, peer._instances
    follower.version = 6
    reader.apply_rows({name: _instance(name) for name in ("a", "c")})
    assert set(reader._instances) == {"a", "c"}


def older_word_does_not_replace_what_was_read_here() -> None:
    """While entries are kept back, a peer's word may be older than the rows.

    A reader whose store had just come back had read version 5, in which a
    server leaves, and kept another's lapsed entry. A peer's word on version 4
    put the server's older entry in its place, and the reader then told its
    list as version 5 without the leaving.
    """
    reader, follower, known, news = _list(is_reader=True)
    both = {name: _instance(name) for name in ("a", "b")}
    leaving = _instance("a", leaving=True)
    follower.version = 3
    reader.apply_rows(both)
    follower.recovered_at_ms = reader._core.clock.now_ms()
    follower.version = 5
    reader.apply_rows({"a": leaving})
    reader.apply_changes({"a": _instance("a")}, 3, 4)
    assert reader._instances["a"].leaving
    reader._core.clock.advance(by_ms=2_400)
    reader.drop_missing()
    assert known.version == 5
    assert news.published[-1] == ({"a": leaving, "b": None}, 4, 5)


def an_entry_that_came_back_by_a_peer_s_word_stays() -> None:
    """An entry kept back that a newer list has again is not dropped.

    A daemon that rests again had read version 5 without a server whose entry
    had lapsed; with version 6 it was back, unchanged, so that no reader told a
    change of it. The daemon dropped it after 2.3 s, and had the newest list
    without it.
    """
    held, follower, known, _ = _list(is_reader=False)
    both = {name: _instance(name) for name in ("a", "b")}
    follower.version = 3
    held.apply_rows(both)
    follower.recovered_at_ms = held._core.clock.now_ms()
    follower.version = 5
    held.apply_rows({"a": both["a"]})
    held.apply_changes({"c": _instance("c")}, 3, 6)
    held._core.clock.advance(by_ms=2_400)
    held.drop_missing()
    assert known.version == 6
    assert set(held._instances) == {"a", "b", "c"}, held._instances


def news_that_waits_is_not_told_over_a_gap() -> None:
    """Changes of others' telling are not skipped by what waits for a peer.

    The stream to a peer was broken for a moment. A reader's changes of
    versions 4 and 6 waited for it, and between them another reader told it
    that a server had left. Sent as one, from version 3 to 6, they had the peer
    drop the other reader's word of version 5, and go on with the server.
    """
    first = pending.PendingNews()
    first.add_list_changes({"x": _instance("x")}, before=3, version=4)
    later = pending.PendingNews()
    later.add_list_changes({"y": _instance("y")}, before=5, version=6)
    merged = first.merged_with(later)
    first.add_list_changes({"y": _instance("y")}, before=5, version=6)
    for news in (merged, first):
        peer, _, known, _ = _list(is_reader=False)
        peer.apply_changes({"b": _instance("b")}, 0, 3)
        peer.apply_changes(news.listed, news.list_before, news.list_version)
        assert known.version == 3 and known.behind_since_ms >= 0
    whole = pending.PendingNews()
    whole.add_list_changes({"x": _instance("x")}, before=3, version=4)
    whole.add_list_changes({"y": None}, before=4, version=5)
    assert (whole.list_before, whole.list_version) == (3, 5)
    assert set(whole.listed) == {"x", "y"}

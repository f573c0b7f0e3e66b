"""Entries of backend servers: by other writers, and of servers that restart."""

from __future__ import annotations

import json
import random

from cases import routed_core
from godwittack.core import incarnation, inputs, server_inputs, work
from godwittack.daemon import entries as reading
from godwittack.daemon import published_weights
from godwittack.lead import rollout
from godwittack.platform import instances, rows, servers, table
from godwittack.store import protocol

BORN_MS = 1_790_000_000_000
SEED = 14
MUTATIONS = 3_000


def entry(**fields) -> dict:
    """Returns what an engine writes of itself."""
    return {
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": "north",
        "version": "v1",
        "slots": 16,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 3,
        "born": BORN_MS,
        "models": [{"name": "m", "version": 2, "adapters": []}],
        **fields,
    }


def without(name: str) -> dict:
    """Returns an entry that lacks a field."""
    told = entry()
    del told[name]
    return told


def decode(**entries: dict | str) -> reading.Entries:
    """Reads rows with these values."""
    return reading.read(
        {
            key: protocol.ChangedRow(
                key=key,
                value=told if isinstance(told, str) else json.dumps(told),
                version=1,
            )
            for key, told in entries.items()
        },
        instances.instance_from_row,
        failure_domains=("north", "south"),
    )


def good(number: int) -> dict:
    """Returns an entry of a server of its own."""
    return entry(address=f"10.0.0.{number}:80")


def a_bad_entry_names_no_server_and_the_others_hold() -> None:
    """Each row is read by itself.

    Symptom: one row by another writer, and no daemon hears of servers that
        come, leave or change, for as long as it lies there.
    Sequence: beside two good entries lies one with a field missing, of another
        type, out of range, or with text that is no entry at all.
    Cause: the whole list refused for one row.
    """
    bad = [without(name) for name in entry() if name != "models"]
    bad += [
        entry(**{name: wrong})
        for name in entry()
        for wrong in (None, [], {}, True, -1, 2.5, "", "x", "1", 1 << 70)
        if not _is_right(name, wrong)
    ]
    bad += [
        entry(state="resting"),
        entry(zone="nowhere"),
        entry(address="10.0.0.1"),
        entry(address="10.0.0.1:70000"),
        entry(address="engine:80"),
        entry(models=[{"name": "m"}]),
        entry(models=[{"name": "m", "version": "2"}]),
        "",
        "no JSON",
        "[]",
        "null",
    ]
    for told in bad:
        got = decode(a=good(2), b=told, c=good(3))
        assert set(got.listed) == {"a", "c"}, told
        assert set(got.refused) == {"b"}, told


def _is_right(name: str, wrong: object) -> bool:
    """Returns whether a value is one that a good entry may have."""
    if name == "version":
        return isinstance(wrong, str)
    if name == "service":
        return wrong in ("x", "1")
    if name == "models":
        return wrong == []
    return name == "cold-remaining-ms" and wrong == 2.5


def bytes_of_any_kind_in_a_row_hurt_no_other() -> None:
    """Seeded changes to an entry's bytes, as another writer could make.

    Symptom: the reader of the list ends with an error, or a page is lost.
    Sequence: bytes of one row are changed, cut, doubled; the value may be no
        base64 and no UTF-8.
    Cause: one error for a whole page.
    """
    rng = random.Random(SEED)
    whole = json.dumps(entry()).encode()
    for _ in range(MUTATIONS):
        data = bytearray(whole)
        for _ in range(rng.randint(1, 4)):
            at = rng.randrange(len(data))
            data[at : at + rng.randint(0, 3)] = rng.randbytes(rng.randint(0, 3))
        text = rows._decoded(rows._encoded("x")[: rng.randint(0, 4)])
        assert isinstance(text, str)
        got = decode(a=good(2), b=data.decode(errors="replace"), c=good(3))
        assert {"a", "c"} <= set(got.listed)
        assert set(got.listed) | set(got.refused) == {"a", "b", "c"}
    for value in ("%%%", "gICA", "a", "\u00e9"):
        assert rows._decoded(value) == ""


def servers_that_tell_no_start_are_named_by_their_id() -> None:
    """Where no server tells its start, entries without it are good.

    Symptom: no server of a whole site is used.
    Sequence: all entries lack the start; then all but one have it.
    Cause: a rule made for sites whose servers tell it.
    """
    old = [{**good(n), "born": 1} for n in (1, 2, 3)]
    for told in old:
        del told["born"]
    got = decode(a=old[0], b=old[1], c=old[2])
    assert [i.incarnation for i in got.listed.values()] == ["a", "b", "c"]
    # One entry that has it must not end the use of all others.
    got = decode(a=old[0], b=old[1], c=good(3))
    assert set(got.listed) == {"a", "b", "c"}
    got = decode(a=good(1), b=old[1], c=good(3))
    assert set(got.listed) == {"a", "c"}


def of_two_rows_with_an_address_the_later_start_counts() -> None:
    """An address belongs to the server that started there last.

    Symptom: requests sent to a server that is gone, answered 421 by another.
    Sequence: an entry still lies there; a server that started later has its
        address.
    Cause: both entries believed.
    """
    got = decode(a=entry(born=BORN_MS + 1), b=entry(), c=good(3))
    assert set(got.listed) == {"a", "c"} and set(got.refused) == {"b"}


def a_bad_row_of_weights_keeps_the_version_in_force() -> None:
    """What names weights can't be read: the version before holds.

    Symptom: weights go back to the first version, or no change of the
        configuration is put in force any more.
    Sequence: version 4 is named; its row is overwritten; the operator changes
        a route.
    Cause: a row left out taken for a version never named; or the whole table
        refused.
    """
    config = {
        "version": 1,
        "services": [{"name": "llm", "engine": {"models": [{"name": "m"}]}}],
    }
    named = {"model": "m", "version": 4}
    held = published_weights.PublishedVersions()
    for value in (json.dumps(named), "", '{"model":"m","version":"9"}', "[]"):
        told = {
            "config": json.dumps(config),
            "version/m": value,
            "version/other": '{"model":"m","version":7}',
        }
        found = {
            key: protocol.ChangedRow(key=key, value=text, version=2)
            for key, text in told.items()
        }
        held.apply_rows(found, table.weights_from_row)
        got = table.table_from_rows(found, version=2, weights=held.by_model)
        assert got.ok_value.models["llm"].weights_version == "4", value


def an_engine_that_tells_no_weights_gets_no_work() -> None:
    """An entry of an engine's service without weights names no engine.

    Symptom: prompts are answered by nobody knows which weights.
    Sequence: a row of the model's service bears no weights.
    Cause: weights compared where they are told alone.
    """
    core = routed_core.Core(servers=0)
    _listed(core, 1_000, weights_version="")
    core.arrive("long", "r1")
    assert core.refusal().status == 503
    _loaded(core, 1_000)
    core.arrive("long", "r2")
    assert core.dispatch().server_id == "e1"


def _engine(core: routed_core.Core):
    return core.world.servers["e1"]


def _listed(core: routed_core.Core, born_ms: int, **fields) -> None:
    core.list_server(
        "e1",
        routed_core.ENGINES,
        address="10.0.0.1:1",
        incarnation=incarnation.make_name("e1", born_ms),
        **fields,
    )


def _loaded(core: routed_core.Core, born_ms: int, **fields) -> None:
    core.submit_named(
        server_inputs.LoadReported,
        server_id="e1",
        incarnation=incarnation.make_name("e1", born_ms),
        **{
            "weights_version": "1",
            "running": 0,
            "waiting": 0,
            "waiting_tokens": 0,
            "prefill_us_per_token": 0,
            "slots": 0,
            **fields,
        },
    )


def _digest(core: routed_core.Core, born_ms: int, *keys: int) -> None:
    core.submit_named(
        server_inputs.CacheDigest,
        server_id="e1",
        incarnation=incarnation.make_name("e1", born_ms),
        weights_version="1",
        cleared=False,
        stored=keys,
        removed=(),
    )


def a_server_that_starts_again_has_nothing_of_before() -> None:
    """Cache, backlog, leaving and pause are of the process that ended.

    Symptom: prompts sent to where their levels were cached before a restart;
        or a server that came back gets no work, since it was leaving.
    Sequence: a server leaves with a full cache and requests; it starts again
        under its id, and its entry has a later start.
    Cause: the id taken for the incarnation.
    """
    core = routed_core.Core(servers=0)
    _listed(core, 1_000)
    _digest(core, 1_000, 11, 12)
    core.arrive("long", "r1", levels=(work.Level(11, 900), work.Level(20, 500)))
    _loaded(core, 1_000, running=9, leaving=True)
    server = _engine(core)
    assert server.leaving and server.in_flight and server.backlog_until_ms
    _listed(core, 2_000)
    assert _engine(core) is server
    assert (
        not server.leaving
        and not server.in_flight
        and not server.backlog_until_ms
    )
    assert server.cache.cached_at_ms(11) is None and server.running == 0
    core.arrive("long", "r2")
    assert core.dispatch().server_id == "e1"


def late_news_of_the_start_before_is_dropped() -> None:
    """Entry, report, cache events: none brings the earlier process back.

    Symptom: a server that has just started is taken for one that leaves, or
        for one with a cache.
    Sequence: each source tells of the later start, then of the earlier one.
    Cause: news taken in by id alone.
    """
    for first in (_listed, _loaded):
        core = routed_core.Core(servers=0)
        _listed(core, 1_000)
        _digest(core, 1_000, 11)
        first(core, 2_000)
        server = _engine(core)
        assert server.incarnation == "e1@2000"
        core.wait(10)
        _listed(core, 1_000, leaving=True)
        _loaded(core, 1_000, running=7, leaving=True)
        _loaded(core, 0, running=7, leaving=True)
        _digest(core, 1_000, 12)
        assert server.incarnation == "e1@2000"
        assert not server.leaving and server.running == 0
        assert server.cache.cached_at_ms(11) is None
        assert server.cache.cached_at_ms(12) is None
        _digest(core, 2_000, 13)
        assert server.cache.cached_at_ms(13) is not None


def an_answer_of_the_start_before_changes_nothing() -> None:
    """An attempt that was sent to the earlier process proves nothing new.

    Symptom: a restarted server's state goes back and forth.
    Sequence: a stream is opened by the process before; the entry tells of the
        later start; frames of the stream are read after that.
    Cause: state of an answer believed whatever it is of.
    """
    core = routed_core.Core(servers=0)
    _listed(core, 1_000)
    core.arrive("long", "r1")
    sent = core.dispatch()
    _listed(core, 2_000)
    core.submit(
        inputs.AttemptOpened,
        sent.attempt_id,
        sent.attempt_id,
        sent.stamp,
    )
    assert _engine(core).incarnation == "e1@2000"


def an_order_to_the_start_before_is_not_waited_for() -> None:
    """A server that starts again while it loads is ordered once more.

    Symptom: a server keeps replaced weights until an order is given up.
    Sequence: a server is ordered to load; it starts again under its id, with
        the weights it had.
    Cause: the order taken for one of the new process.
    """
    planned = rollout.Rollout(
        policy=rollout.RolloutPolicy(order_after_ms=100, load_limit_ms=4_000)
    )

    def decide(started: int, now_ms: int) -> rollout.Decision:
        replica = rollout.Replica(
            server_id="e1",
            incarnation=incarnation.make_name("e1", started),
            weights_version="1",
            busy=3,
        )
        return planned.decide(
            desired_version="2", replicas=[replica], now_ms=now_ms
        )

    decide(1_000, 0)
    assert decide(1_000, 150).load == ("e1",)
    planned.record_order("e1", now_ms=150)
    assert decide(1_000, 300).load == ()
    decide(2_000, 400)
    assert decide(2_000, 550).load == ("e1",)


def reports_and_events_bear_the_start() -> None:
    """All that a server says of itself is dated by its start.

    Symptom: events of a process that ended fill the cache of the new one.
    Sequence: a report and events, with a start, without one, with text there.
    Cause: the id taken for the incarnation.
    """
    spoken = servers.ServerFormat(lambda target: "m")
    report = {"models": [{"name": "m", "version": 2}], "sequence": 0}
    events = {"boot-epoch": 1, "next": 0, "events": []}
    for told, read in (
        (report, spoken.read_load),
        (events, spoken.read_events),
    ):
        for born, name in ((BORN_MS, f"e1@{BORN_MS}"), (None, "e1")):
            body = {**told, **({"born": born} if born else {})}
            assert read(json.dumps(body).encode(), "e1").incarnation == name
        for wrong in ("1", 1.5, True, None, -1):
            try:
                read(json.dumps({**told, "born": wrong}).encode(), "e1")
            except ValueError:
                continue
            raise AssertionError(f"taken: {wrong!r}")

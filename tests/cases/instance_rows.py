"""Instance entries: invalid rows, and servers that restart."""

from __future__ import annotations

import json
import random

from cases import routed_core
from godwittack.core import incarnation, inputs, server_inputs, work
from godwittack.daemon import instance_rows, published_weights
from godwittack.lead import rollout
from godwittack.platform import instances, servers, table
from godwittack.store import base64_text, protocol

STARTED_AT_MS = 1_790_000_000_000
SEED = 14
MUTATIONS = 3_000


def entry(**fields) -> dict:
    """Returns the entry that an engine writes for itself."""
    return {
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": "north",
        "version": "v1",
        "slots": 16,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 3,
        "born": STARTED_AT_MS,
        "models": [{"name": "m", "version": 2, "adapters": []}],
        **fields,
    }


def without(name: str) -> dict:
    """Returns an entry that lacks a field."""
    fields = entry()
    del fields[name]
    return fields


def decode(**entries: dict | str) -> instance_rows.ParsedRows:
    """Parses rows with these values."""
    parser = instance_rows.Parser(
        instances.instance_from_row, failure_domains=("north", "south")
    )
    return parser.parse(
        {
            key: protocol.ChangedRow(
                key=key,
                value=value if isinstance(value, str) else json.dumps(value),
                version=1,
            )
            for key, value in entries.items()
        }
    )


def valid_entry(number: int) -> dict:
    """Returns a valid entry of a server with its own address."""
    return entry(address=f"10.0.0.{number}:80")


def an_invalid_entry_is_skipped_and_the_others_are_used() -> None:
    """Each row is parsed by itself.

    Guards against a whole list refused for one row, after which no daemon sees
    servers that come, leave or change. Between two valid entries is one with a
    field missing, of another type or out of range, or with text that is no
    entry at all.
    """
    invalid = [without(name) for name in entry() if name != "models"]
    invalid += [
        entry(**{name: value})
        for name in entry()
        for value in (None, [], {}, True, -1, 2.5, "", "x", "1", 1 << 70)
        if not _is_valid(name, value)
    ]
    invalid += [
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
    for value in invalid:
        parsed = decode(a=valid_entry(2), b=value, c=valid_entry(3))
        assert set(parsed.listed) == {"a", "c"}, value
        assert set(parsed.refused) == {"b"}, value


def _is_valid(name: str, value: object) -> bool:
    """Returns whether a value is valid for this field."""
    if name == "version":
        return isinstance(value, str)
    if name == "service":
        return value in ("x", "1")
    if name == "models":
        return value == []
    return name == "cold-remaining-ms" and value == 2.5


def corrupted_bytes_in_a_row_affect_no_other_row() -> None:
    """Applies seeded changes to an entry's bytes, as another writer could.

    Guards against a list reader that fails, or a page that is lost, for one
    row: its bytes are changed, cut or doubled, and the value may be neither
    base64 nor UTF-8.
    """
    rng = random.Random(SEED)
    valid = json.dumps(entry()).encode()
    for _ in range(MUTATIONS):
        data = bytearray(valid)
        for _ in range(rng.randint(1, 4)):
            offset = rng.randrange(len(data))
            data[offset : offset + rng.randint(0, 3)] = rng.randbytes(
                rng.randint(0, 3)
            )
        text = base64_text.decode(base64_text.encode("x")[: rng.randint(0, 4)])
        assert isinstance(text, str)
        parsed = decode(
            a=valid_entry(2), b=data.decode(errors="replace"), c=valid_entry(3)
        )
        assert {"a", "c"} <= set(parsed.listed)
        assert set(parsed.listed) | set(parsed.refused) == {"a", "b", "c"}
    for value in ("%%%", "gICA", "a", "\u00e9"):
        assert base64_text.decode(value) == ""


def servers_without_a_start_time_are_identified_by_their_id() -> None:
    """Where no server publishes a start time, entries without one are valid.

    Guards against a site none of whose servers is used: all entries lack the
    start time; then all but one have it.
    """
    without_start = [{**valid_entry(n), "born": 1} for n in (1, 2, 3)]
    for fields in without_start:
        del fields["born"]
    parsed = decode(a=without_start[0], b=without_start[1], c=without_start[2])
    assert [i.incarnation for i in parsed.listed.values()] == ["a", "b", "c"]
    # One entry with a start time must not invalidate all others.
    parsed = decode(a=without_start[0], b=without_start[1], c=valid_entry(3))
    assert set(parsed.listed) == {"a", "b", "c"}
    parsed = decode(a=valid_entry(1), b=without_start[1], c=valid_entry(3))
    assert set(parsed.listed) == {"a", "c"}


def of_two_rows_with_one_address_the_later_start_wins() -> None:
    """An address belongs to the server that started there last.

    Guards against requests to a server that is gone, answered 421 by another:
    its entry still exists, and a server that started later has its address.
    """
    parsed = decode(
        a=entry(born=STARTED_AT_MS + 1), b=entry(), c=valid_entry(3)
    )
    assert set(parsed.listed) == {"a", "c"} and set(parsed.refused) == {"b"}


def an_invalid_weights_row_keeps_the_active_version() -> None:
    """If the row that publishes weights is unreadable, the version stays.

    Guards against weights that revert to the first version, or configuration
    changes that no longer take effect. Version 4 is published; its row is
    overwritten; the operator changes a route. The omitted row must not count as
    a version never published, nor invalidate the whole table.
    """
    config = {
        "version": 1,
        "services": [{"name": "llm", "engine": {"models": [{"name": "m"}]}}],
    }
    publication = {"model": "m", "version": 4}
    published = published_weights.PublishedVersions()
    for value in (
        json.dumps(publication),
        "",
        '{"model":"m","version":"9"}',
        "[]",
    ):
        texts = {
            "config": json.dumps(config),
            "version/m": value,
            "version/other": '{"model":"m","version":7}',
        }
        rows_read = {
            key: protocol.ChangedRow(key=key, value=text, version=2)
            for key, text in texts.items()
        }
        published.apply_rows(rows_read, table.weights_from_row)
        parsed = table.table_from_rows(
            rows_read, version=2, weights=published.by_model
        )
        assert parsed.ok_value.models["llm"].weights_version == "4", value


def an_engine_that_reports_no_weights_gets_no_work() -> None:
    """An entry of an engine's service without weights lists no engine.

    Guards against prompts answered with unknown weights: a row of the model's
    service has no weights, and weights were compared only where reported.
    """
    core = routed_core.Core(servers=0)
    _list_engine(core, 1_000, weights_version="")
    core.arrive("long", "r1")
    assert core.refusal().status == 503
    _report_load(core, 1_000)
    core.arrive("long", "r2")
    assert core.dispatch().server_id == "e1"


def _engine(core: routed_core.Core):
    return core.world.servers["e1"]


def _list_engine(core: routed_core.Core, started_at_ms: int, **fields) -> None:
    core.list_server(
        "e1",
        routed_core.ENGINES,
        address="10.0.0.1:1",
        incarnation=incarnation.make_name("e1", started_at_ms),
        **fields,
    )


def _report_load(core: routed_core.Core, started_at_ms: int, **fields) -> None:
    core.tell_named(
        server_inputs.LoadReported,
        server_id="e1",
        incarnation=incarnation.make_name("e1", started_at_ms),
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


def _report_cache(
    core: routed_core.Core, started_at_ms: int, *keys: int
) -> None:
    core.tell_named(
        server_inputs.CacheDigest,
        server_id="e1",
        incarnation=incarnation.make_name("e1", started_at_ms),
        weights_version="1",
        cleared=False,
        stored=keys,
        removed=(),
    )


def a_restarted_server_keeps_no_earlier_state() -> None:
    """Cache, backlog, leaving and ejection belong to the process that ended.

    Guards against an id that is treated as the incarnation: a server leaves
    with a full cache and requests, then restarts under its id with a later
    start time in its entry. Prompts were sent to it for levels cached before
    the restart, or it got no work, since it was leaving.
    """
    core = routed_core.Core(servers=0)
    _list_engine(core, 1_000)
    _report_cache(core, 1_000, 11, 12)
    core.arrive("long", "r1", levels=(work.Level(11, 900), work.Level(20, 500)))
    _report_load(core, 1_000, running=9, leaving=True)
    server = _engine(core)
    assert server.leaving and server.in_flight and server.backlog_until_ms
    _list_engine(core, 2_000)
    assert _engine(core) is server
    assert (
        not server.leaving
        and not server.in_flight
        and not server.backlog_until_ms
    )
    assert server.cache.cached_at_ms(11) is None and server.running == 0
    core.arrive("long", "r2")
    assert core.dispatch().server_id == "e1"


def late_updates_of_an_earlier_incarnation_are_dropped() -> None:
    """No entry, report or cache event restores the earlier process.

    Guards against updates applied by id alone: each source reports the later
    start, then the earlier one, and a server that has just started was
    considered leaving, or to have a cache.
    """
    for report in (_list_engine, _report_load):
        core = routed_core.Core(servers=0)
        _list_engine(core, 1_000)
        _report_cache(core, 1_000, 11)
        report(core, 2_000)
        server = _engine(core)
        assert server.incarnation == "e1@2000"
        core.wait(10)
        _list_engine(core, 1_000, leaving=True)
        _report_load(core, 1_000, running=7, leaving=True)
        _report_load(core, 0, running=7, leaving=True)
        _report_cache(core, 1_000, 12)
        assert server.incarnation == "e1@2000"
        assert not server.leaving and server.running == 0
        assert server.cache.cached_at_ms(11) is None
        assert server.cache.cached_at_ms(12) is None
        _report_cache(core, 2_000, 13)
        assert server.cache.cached_at_ms(13) is not None


def an_answer_of_an_earlier_incarnation_changes_nothing() -> None:
    """An attempt sent to the earlier process shows nothing about the new one.

    Guards against a restarted server whose state alternates: the earlier
    process opens a stream; the entry reports the later start; frames of the
    stream are read after that.
    """
    core = routed_core.Core(servers=0)
    _list_engine(core, 1_000)
    core.arrive("long", "r1")
    sent = core.dispatch()
    _list_engine(core, 2_000)
    core.tell(
        inputs.AttemptOpened,
        sent.attempt_id,
        sent.attempt_id,
        sent.stamp,
    )
    assert _engine(core).incarnation == "e1@2000"


def an_order_to_an_earlier_incarnation_is_not_awaited() -> None:
    """A server that restarts while it loads is ordered once more.

    Guards against a server that keeps replaced weights until its order times
    out: it is ordered to load, then restarts under its id with the weights
    it had, and the order was attributed to the new process.
    """
    rollout_state = rollout.Rollout(
        policy=rollout.RolloutPolicy(order_after_ms=100, load_limit_ms=4_000)
    )

    def decide(started_at_ms: int, now_ms: int) -> rollout.Decision:
        replica = rollout.Replica(
            server_id="e1",
            incarnation=incarnation.make_name("e1", started_at_ms),
            weights_version="1",
            unfinished_requests=3,
        )
        return rollout_state.decide(
            desired_version="2", replicas=[replica], now_ms=now_ms
        )

    decide(1_000, 0)
    assert decide(1_000, 150).servers_to_load == ("e1",)
    rollout_state.record_order("e1", now_ms=150)
    assert decide(1_000, 300).servers_to_load == ()
    decide(2_000, 400)
    assert decide(2_000, 550).servers_to_load == ("e1",)


def reports_and_events_carry_the_incarnation() -> None:
    """All that a server reports about itself is tagged with its incarnation.

    Guards against events of an ended process that fill the cache of the new
    one: reports and events with a start time, without one, and with an invalid
    one.
    """
    server_format = servers.ServerFormat(lambda target: "m")
    report = {"models": [{"name": "m", "version": 2}], "sequence": 0}
    events = {"boot-epoch": 1, "next": 0, "events": []}
    for payload, read in (
        (report, server_format.read_load),
        (events, server_format.read_events),
    ):
        for started_at_ms, name in (
            (STARTED_AT_MS, f"e1@{STARTED_AT_MS}"),
            (None, "e1"),
        ):
            body = {
                **payload,
                **({"born": started_at_ms} if started_at_ms else {}),
            }
            assert read(json.dumps(body).encode(), "e1").incarnation == name
        for invalid in ("1", 1.5, True, None, -1):
            try:
                read(json.dumps({**payload, "born": invalid}).encode(), "e1")
            except ValueError:
                continue
            raise AssertionError(f"accepted: {invalid!r}")

"""Steps on the daemons' hints of what an engine has cached."""

from __future__ import annotations

import re

from behave import then, when

from godwittack.backend import protocol as backend
from godwittack.core import router, server_inputs
from godwittack.daemon import digest
from godwittack.peer import peer_pb2, pending, wire

SERVER = "engine-1"
LEVELS = "xyz"
EVENT = re.compile(r"(?P<process>[a-z])@(?P<number>\d+)(?P<kind>[-+c])(\w?)")
KINDS = {
    "+": backend.CacheEventKind.STORED,
    "-": backend.CacheEventKind.REMOVED,
    "c": backend.CacheEventKind.CLEARED,
}


@when('an engine\'s events are read as "{events}"')
def read_events(context, events):
    """Applies the batches at the watcher and, as messages, at a daemon."""
    context.cores = [_core("watcher"), _core("peer")]
    digester = digest.Digester(SERVER)
    writer, reader = wire.NewsWriter(), wire.NewsReader()
    for now_ms, text in enumerate(events.split("/"), start=1):
        batch = _parse_batch(text)
        for core in context.cores:
            core.step(_report(batch.incarnation, now_ms))
        cache_digest = digester.digest(batch, now_ms=now_ms)
        if cache_digest is None:
            continue
        message = writer.write(
            pending.PendingNews(digests=[cache_digest]), now_ms=now_ms
        )
        message = peer_pb2.News.FromString(message.SerializeToString())
        context.cores[0].step(cache_digest)
        for received in reader.digests(message, now_ms=now_ms):
            context.cores[1].step(received)


@then('the watcher and the daemon that it updates have "{cached}" as cached')
@then('the watcher and the daemon that it updates have "" as cached')
def check_cached(context, cached=""):
    """Checks the hints of both cores."""
    for core in context.cores:
        cache = core.world.servers[SERVER].cache
        known = [k for k in LEVELS if cache.cached_at_ms(ord(k)) is not None]
        assert known == cached.split(), (core.world.daemon, known)


def _parse_batch(text: str) -> backend.CacheEvents:
    matches = [EVENT.fullmatch(word) for word in text.split()]
    return backend.CacheEvents(
        incarnation=matches[0]["process"],
        weights_version="1",
        oldest=0,
        events=tuple(
            backend.CacheEvent(
                int(match["number"]), KINDS[match["kind"]], ord(match[4] or "0")
            )
            for match in matches
        ),
    )


def _core(daemon: str) -> router.Router:
    core = router.Router.from_config(daemon=daemon)
    core.step(
        server_inputs.ServerListed(
            at_ms=0,
            server_id=SERVER,
            address="10.0.0.1:1",
            target="rulebook",
            failure_domain="north",
        )
    )
    return core


def _report(incarnation: str, now_ms: int) -> server_inputs.LoadReported:
    # From 3 ms on, a report of the first process "a" is a delayed one, with
    # an age of 100 ms.
    return server_inputs.LoadReported(
        at_ms=now_ms,
        age_ms=100 if incarnation == "a" and now_ms > 2 else 0,
        server_id=SERVER,
        incarnation=incarnation,
        weights_version="1",
        running=0,
        waiting=0,
        waiting_tokens=0,
        prefill_us_per_token=100,
        slots=4,
        leaving=False,
    )

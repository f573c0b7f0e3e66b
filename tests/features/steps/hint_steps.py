"""Steps on what daemons believe of an engine's cache."""

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
    """Takes the pieces in at the watcher and, as messages, at a daemon."""
    context.cores = [_core("watcher"), _core("told")]
    digester = digest.Digester(SERVER)
    writer, reader = wire.NewsWriter(), wire.NewsReader()
    for now_ms, piece in enumerate(events.split("/"), start=1):
        told = _piece(piece)
        for core in context.cores:
            core.step(_report(told.incarnation, now_ms))
        summed = digester.digest(told, now_ms=now_ms)
        if summed is None:
            continue
        message = writer.write(
            pending.PendingNews(digests=[summed]), now_ms=now_ms
        )
        message = peer_pb2.News.FromString(message.SerializeToString())
        context.cores[0].step(summed)
        for digested in reader.digests(message, now_ms=now_ms):
            context.cores[1].step(digested)


@then('the watcher and the daemon it tells believe "{held}" to be cached')
@then('the watcher and the daemon it tells believe "" to be cached')
def believed(context, held=""):
    """Checks the hints of both cores."""
    for core in context.cores:
        cache = core.world.servers[SERVER].cache
        known = [k for k in LEVELS if cache.cached_at_ms(ord(k)) is not None]
        assert known == held.split(), (core.world.daemon, known)


def _piece(text: str) -> backend.CacheEvents:
    found = [EVENT.fullmatch(word) for word in text.split()]
    return backend.CacheEvents(
        incarnation=found[0]["process"],
        weights_version="1",
        oldest=0,
        events=tuple(
            backend.CacheEvent(
                int(one["number"]), KINDS[one["kind"]], ord(one[4] or "0")
            )
            for one in found
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
    # The first process is heard of last by a report that lingered: its age
    # says so.
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

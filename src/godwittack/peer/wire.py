"""Writes and reads the news on one stream, naming each server once."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from godwittack.core import server_inputs
from godwittack.peer import codec, peer_pb2

if TYPE_CHECKING:
    from godwittack.peer import pending


@dataclasses.dataclass(frozen=True, slots=True)
class ServerIdentity:
    """What seldom changes of a backend server."""

    server_id: str
    incarnation: str
    weights_version: str


@dataclasses.dataclass(slots=True)
class _KnownServer:
    ref: int
    identity: ServerIdentity
    slots: int = -1


class NewsWriter:
    """Turns news into the messages of one stream, from its beginning.

    A server is named in full once and where something of it changed; after
    that a load report takes a third of the bytes.
    """

    def __init__(self) -> None:
        """Has named no server."""
        self._servers: dict[str, _KnownServer] = {}

    def write(self, told: pending.PendingNews, *, now_ms: int) -> peer_pb2.News:
        """Returns the next message."""
        return peer_pb2.News(
            has_demands=told.demands is not None,
            demands=[codec.demand_to_proto(d) for d in told.demands or ()],
            loads=[
                self._load(load, now_ms=now_ms) for load in told.loads.values()
            ],
            digests=[self._digest(digest) for digest in told.digests],
            leaving=[
                peer_pb2.Leaving(server_id=server_id, incarnation=start)
                for server_id, start in sorted(told.leaving.items())
            ],
            draining_servers=sorted(told.draining),
            doubted_servers=sorted(told.suspected),
            list_before=told.list_before,
            list_version=told.list_version,
            listed=[
                codec.listed_to_proto(name, instance)
                for name, instance in told.listed.items()
            ],
            crashes=[
                codec.crash_to_proto(crash, now_ms=now_ms)
                for crash in told.crashes
            ],
            rate_limits=[
                codec.rate_limit_to_proto(named, now_ms=now_ms)
                for named in told.rate_limits.values()
            ],
            completions=[
                codec.completion_to_proto(done, now_ms=now_ms)
                for done in told.completions
            ],
        )

    def _load(
        self, load: server_inputs.LoadReported, *, now_ms: int
    ) -> peer_pb2.Load:
        message = peer_pb2.Load(
            running=load.running,
            waiting=load.waiting,
            waiting_tokens=load.waiting_tokens,
            prefill_us_per_token=load.prefill_us_per_token,
            age_ms=max(0, now_ms - load.at_ms + load.age_ms),
            leaving=load.leaving,
        )
        known = self._set_server(message, load)
        if load.slots != known.slots:
            known.slots = message.slots = load.slots
        return message

    def _digest(self, digest: server_inputs.CacheDigest) -> peer_pb2.Digest:
        message = peer_pb2.Digest(
            stored=digest.stored,
            removed=digest.removed,
            cleared=digest.cleared,
            tokens=digest.tokens,
        )
        self._set_server(message, digest)
        return message

    def _set_server(
        self,
        message: peer_pb2.Load | peer_pb2.Digest,
        told: server_inputs.LoadReported | server_inputs.CacheDigest,
    ) -> _KnownServer:
        """Names a message's server, by its number where it is known."""
        identity = _identity(told)
        known = self._servers.get(told.server_id)
        if known is None:
            known = _KnownServer(len(self._servers) + 1, identity)
            self._servers[told.server_id] = known
            is_named = False
        else:
            is_named = known.identity == identity
        message.server_ref = known.ref
        if not is_named:
            known.identity = identity
            message.server_id = identity.server_id
            message.incarnation = identity.incarnation
            message.weights_version = identity.weights_version
        return known


class NewsReader:
    """Reads the messages of one stream, from its beginning."""

    def __init__(self) -> None:
        """Knows no server."""
        self._servers: dict[int, _KnownServer] = {}

    def loads(
        self, told: peer_pb2.News, *, now_ms: int
    ) -> list[server_inputs.LoadReported]:
        """Returns a message's load reports."""
        found: list[server_inputs.LoadReported] = []
        for load in told.loads:
            known = self._resolve_server(load)
            if known is None:
                continue
            known.slots = load.slots or known.slots
            found.append(
                server_inputs.LoadReported(
                    at_ms=now_ms,
                    server_id=known.identity.server_id,
                    incarnation=known.identity.incarnation,
                    weights_version=known.identity.weights_version,
                    running=load.running,
                    waiting=load.waiting,
                    waiting_tokens=load.waiting_tokens,
                    prefill_us_per_token=load.prefill_us_per_token,
                    slots=known.slots,
                    age_ms=load.age_ms,
                    leaving=load.leaving,
                )
            )
        return found

    def digests(
        self, told: peer_pb2.News, *, now_ms: int
    ) -> list[server_inputs.CacheDigest]:
        """Returns a message's cache digests."""
        found: list[server_inputs.CacheDigest] = []
        for digest in told.digests:
            known = self._resolve_server(digest)
            if known is None:
                continue
            found.append(
                server_inputs.CacheDigest(
                    at_ms=now_ms,
                    server_id=known.identity.server_id,
                    incarnation=known.identity.incarnation,
                    weights_version=known.identity.weights_version,
                    cleared=digest.cleared,
                    stored=tuple(digest.stored),
                    removed=tuple(digest.removed),
                    tokens=tuple(digest.tokens),
                )
            )
        return found

    def _resolve_server(
        self, told: peer_pb2.Load | peer_pb2.Digest
    ) -> _KnownServer | None:
        """Returns a message's server, or None for one never named."""
        known = self._servers.get(told.server_ref)
        if not told.server_id:
            return known
        identity = ServerIdentity(
            told.server_id, told.incarnation, told.weights_version
        )
        if known is None:
            known = self._servers[told.server_ref] = _KnownServer(
                told.server_ref, identity, slots=0
            )
        known.identity = identity
        return known


def _identity(
    told: server_inputs.LoadReported | server_inputs.CacheDigest,
) -> ServerIdentity:
    return ServerIdentity(
        told.server_id, told.incarnation, told.weights_version
    )


__all__ = ["NewsReader", "NewsWriter"]

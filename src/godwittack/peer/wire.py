"""Encodes and decodes the updates on one stream, naming each server once."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from godwittack.core import server_inputs
from godwittack.peer import codec, peer_pb2, ranges

if TYPE_CHECKING:
    from godwittack.core import effects
    from godwittack.peer import pending


@dataclasses.dataclass(frozen=True, slots=True)
class ServerIdentity:
    """Properties of a backend server that seldom change."""

    server_id: str
    incarnation: str
    weights_version: str


@dataclasses.dataclass(slots=True)
class _KnownServer:
    ref: int
    identity: ServerIdentity
    slots: int = -1


class NewsWriter:
    """Encodes updates as the messages of one stream, from its beginning.

    A server's identity is written in full once and whenever it changes; without
    it a load report takes a third of the bytes.
    """

    def __init__(self) -> None:
        """Starts without known servers."""
        self._servers: dict[str, _KnownServer] = {}

    def write(
        self, updates: pending.PendingNews, *, now_ms: int
    ) -> peer_pb2.News:
        """Returns the next message."""
        return peer_pb2.News(
            has_demands=updates.demands is not None,
            demands=[codec.demand_to_proto(d) for d in updates.demands or ()],
            loads=[
                self._load(load, now_ms=now_ms)
                for load in updates.loads.values()
            ]
            + [
                self._told_load(load, now_ms=now_ms)
                for load in updates.told_loads.values()
            ],
            digests=[self._digest(digest) for digest in updates.digests],
            leaving=[
                peer_pb2.Leaving(server_id=server_id, incarnation=incarnation)
                for server_id, incarnation in sorted(updates.leaving.items())
            ],
            draining_servers=sorted(updates.draining),
            doubted_servers=sorted(updates.suspected),
            list_before=ranges.uint64(updates.list_before),
            list_version=ranges.uint64(updates.list_version),
            listed=[
                codec.listed_to_proto(name, instance)
                for name, instance in updates.listed.items()
            ],
            crashes=[
                codec.crash_to_proto(crash, now_ms=now_ms)
                for crash in updates.crashes
            ],
            rate_limits=[
                codec.rate_limit_to_proto(limit, now_ms=now_ms)
                for limit in updates.rate_limits.values()
            ],
            completions=[
                codec.completion_to_proto(completion, now_ms=now_ms)
                for completion in updates.completions
            ],
            brittle=[
                codec.brittle_to_proto(brittle, now_ms=now_ms)
                for brittle in updates.brittle.values()
            ],
            usages=[
                codec.usage_to_proto(usage, now_ms=now_ms)
                for usage in updates.usages.values()
            ],
            has_lost_paths=updates.lost_paths is not None,
            lost_paths=updates.lost_paths or (),
        )

    def _load(
        self, load: server_inputs.LoadReported, *, now_ms: int
    ) -> peer_pb2.Load:
        message = peer_pb2.Load(
            running=ranges.uint32(load.running),
            waiting=ranges.uint32(load.waiting),
            waiting_tokens=ranges.uint32(load.waiting_tokens),
            prefill_us_per_token=ranges.uint32(load.prefill_us_per_token),
            age_ms=ranges.uint32(now_ms - load.at_ms + load.age_ms),
            leaving=load.leaving,
            kv_used_tokens=ranges.uint32(load.kv_used_tokens),
            kv_total_tokens=ranges.uint32(load.kv_total_tokens),
            kv_reserved_tokens=ranges.uint32(load.kv_reserved_tokens),
            next_tokens=ranges.uint32(load.next_tokens),
        )
        return self._set_slots(message, load)

    def _told_load(
        self, load: effects.TellLoad, *, now_ms: int
    ) -> peer_pb2.Load:
        message = peer_pb2.Load(
            running=ranges.uint32(load.running),
            waiting=ranges.uint32(load.waiting),
            age_ms=ranges.uint32(now_ms - load.at_ms),
            pace_percent=ranges.uint32(load.pace_percent),
            reference_prompt_us=ranges.uint32(load.reference_prompt_us),
            base_pace_samples=ranges.uint32(load.samples),
            delay_ms=ranges.uint32(load.delay_ms),
        )
        return self._set_slots(message, load)

    def _set_slots(
        self,
        message: peer_pb2.Load,
        load: server_inputs.LoadReported | effects.TellLoad,
    ) -> peer_pb2.Load:
        """Names the server, and states its slots if they have changed."""
        known = self._set_server(message, load)
        if load.slots != known.slots:
            known.slots = load.slots
            message.slots = ranges.uint32(load.slots)
        return message

    def _digest(self, digest: server_inputs.CacheDigest) -> peer_pb2.Digest:
        message = peer_pb2.Digest(
            stored=digest.stored,
            removed=digest.removed,
            cleared=digest.cleared,
            tokens=map(ranges.uint32, digest.tokens),
        )
        self._set_server(message, digest)
        return message

    def _set_server(
        self,
        message: peer_pb2.Load | peer_pb2.Digest,
        update: (
            server_inputs.LoadReported
            | server_inputs.CacheDigest
            | effects.TellLoad
        ),
    ) -> _KnownServer:
        """Sets a message's server, by number alone if the peer knows it."""
        identity = _identity(update)
        known = self._servers.get(update.server_id)
        if known is None:
            known = _KnownServer(len(self._servers) + 1, identity)
            self._servers[update.server_id] = known
            is_current = False
        else:
            is_current = known.identity == identity
        message.server_ref = known.ref
        if not is_current:
            known.identity = identity
            message.server_id = identity.server_id
            message.incarnation = identity.incarnation
            message.weights_version = identity.weights_version
        return known


class NewsReader:
    """Decodes the messages of one stream, from its beginning."""

    def __init__(self) -> None:
        """Starts without known servers."""
        self._servers: dict[int, _KnownServer] = {}

    def loads(
        self, news: peer_pb2.News, *, now_ms: int, sender_id: str = ""
    ) -> list[server_inputs.LoadReported | server_inputs.LoadTold]:
        """Returns a message's loads, from reports and from responses.

        Only those from responses have a pace.
        """
        found: list[server_inputs.LoadReported | server_inputs.LoadTold] = []
        for load in news.loads:
            known = self._resolve_server(load)
            if known is None:
                continue
            known.slots = load.slots or known.slots
            if load.pace_percent:
                found.append(_told_load(load, known, sender_id, now_ms))
                continue
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
                    kv_used_tokens=load.kv_used_tokens,
                    kv_total_tokens=load.kv_total_tokens,
                    kv_reserved_tokens=load.kv_reserved_tokens,
                    next_tokens=load.next_tokens,
                )
            )
        return found

    def digests(
        self, news: peer_pb2.News, *, now_ms: int
    ) -> list[server_inputs.CacheDigest]:
        """Returns a message's cache digests."""
        found: list[server_inputs.CacheDigest] = []
        for digest in news.digests:
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
        self, message: peer_pb2.Load | peer_pb2.Digest
    ) -> _KnownServer | None:
        """Returns a message's server, or None if it was never identified."""
        known = self._servers.get(message.server_ref)
        if not message.server_id:
            return known
        identity = ServerIdentity(
            message.server_id, message.incarnation, message.weights_version
        )
        if known is None:
            known = self._servers[message.server_ref] = _KnownServer(
                message.server_ref, identity, slots=0
            )
        known.identity = identity
        return known


def _told_load(
    load: peer_pb2.Load, known: _KnownServer, sender_id: str, now_ms: int
) -> server_inputs.LoadTold:
    return server_inputs.LoadTold(
        at_ms=now_ms,
        server_id=known.identity.server_id,
        running=load.running,
        waiting=load.waiting,
        slots=known.slots,
        pace_percent=load.pace_percent,
        age_ms=load.age_ms,
        incarnation=known.identity.incarnation,
        daemon=sender_id,
        reference_prompt_us=load.reference_prompt_us,
        samples=load.base_pace_samples,
        delay_ms=load.delay_ms,
    )


def _identity(
    update: (
        server_inputs.LoadReported
        | server_inputs.CacheDigest
        | effects.TellLoad
    ),
) -> ServerIdentity:
    return ServerIdentity(
        update.server_id, update.incarnation, update.weights_version
    )


__all__ = ["NewsReader", "NewsWriter"]

"""Announces dispatches of long prompts to other daemons, and applies theirs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from godwittack.core import server_inputs
from godwittack.peer import peer_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import effects
    from godwittack.daemon import peer_updates
    from godwittack.daemon import runtime as runtimes
    from godwittack.member import view


class DatagramSender(Protocol):
    """Sends one message to many daemons without acknowledgement."""

    def broadcast(self, peers: Iterable[str], news: peer_pb2.News) -> None:
        """Sends `news` once to each of these addresses."""


class Announcer:
    """Announces this daemon's long prompts and applies those of others.

    An announcement is one datagram per peer instead of a message on a stream:
    sending it again or late is useless, since the prompt has been computed by
    then, and sixty daemons announce a hundred prompts a second.
    """

    def __init__(
        self,
        *,
        members: view.View,
        updates: peer_updates.PeerUpdates,
        runtime: runtimes.Runtime,
        datagrams: DatagramSender,
    ) -> None:
        """Announces to the members that `updates` returns as the audience."""
        self._members = members
        self._updates = updates
        self._runtime = runtime
        self._datagrams = datagrams

    def announce(self, announcement: effects.Announce) -> None:
        """Announces a dispatched prompt to the daemons that serve its model."""
        own = self._members.me.member_id
        message = peer_pb2.News(
            dispatched=[
                announcement_to_proto(
                    announcement, now_ms=self._runtime.clock.now_ms()
                )
            ]
        )
        self._datagrams.broadcast(
            (
                member.peer_address
                for member in self._updates.audience(announcement.target)
                if member.member_id != own
            ),
            message,
        )

    def apply(self, message: peer_pb2.News) -> None:
        """Submits another daemon's announcements to the core."""
        now_ms = self._runtime.clock.now_ms()
        for announcement in message.dispatched:
            self._runtime.submit(
                announcement_from_proto(announcement, now_ms=now_ms)
            )


def announcement_to_proto(
    announcement: effects.Announce, *, now_ms: int
) -> peer_pb2.Dispatched:
    """Returns an announcement as a protobuf message."""
    message = peer_pb2.Dispatched(
        server_id=announcement.server_id,
        tokens=announcement.tokens,
        priority=announcement.priority,
        levels=announcement.levels,
        delay_ms=announcement.delay_ms,
        memory_tokens=announcement.memory_tokens,
        shared_tokens=announcement.shared_tokens,
        is_long=announcement.is_long,
    )
    load = announcement.load
    if load is not None:
        message.has_load = True
        message.running = load.running
        message.waiting = load.waiting
        message.pace_percent = load.pace_percent
        message.load_age_ms = max(0, now_ms - load.at_ms)
    return message


def announcement_from_proto(
    message: peer_pb2.Dispatched, *, now_ms: int
) -> server_inputs.PeerDispatched:
    """Returns another daemon's announcement."""
    return server_inputs.PeerDispatched(
        at_ms=now_ms,
        server_id=message.server_id,
        tokens=message.tokens,
        priority=message.priority,
        levels=tuple(message.levels),
        load=_load_from_proto(message, now_ms=now_ms),
        memory_tokens=message.memory_tokens,
        shared_tokens=message.shared_tokens,
        is_long=message.is_long,
    )


def _load_from_proto(
    message: peer_pb2.Dispatched, *, now_ms: int
) -> server_inputs.LoadTold | None:
    """Returns the load in an announcement, None if it has none."""
    if not message.has_load:
        return None
    return server_inputs.LoadTold(
        at_ms=now_ms,
        server_id=message.server_id,
        running=message.running,
        waiting=message.waiting,
        pace_percent=message.pace_percent,
        age_ms=message.load_age_ms,
        delay_ms=message.delay_ms,
    )


__all__ = [
    "Announcer",
    "DatagramSender",
    "announcement_from_proto",
    "announcement_to_proto",
]

"""Announces dispatches of long prompts to other daemons, and applies theirs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from godwittack.peer import codec, peer_pb2

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
                codec.announcement_to_proto(
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
                codec.announcement_from_proto(announcement, now_ms=now_ms)
            )


__all__ = ["Announcer", "DatagramSender"]

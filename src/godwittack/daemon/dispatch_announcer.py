"""Tells other daemons at once of long prompts sent to servers, and hears it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from godwittack.core import server_inputs
from godwittack.peer import peer_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

    from godwittack.core import effects
    from godwittack.daemon import news as newses
    from godwittack.daemon import runtime as runtimes
    from godwittack.member import view


class DatagramSender(Protocol):
    """Sends one message to many daemons, with no word of its arrival."""

    def spread(self, peers: Iterable[str], news: peer_pb2.News) -> None:
        """Sends `news` once to each of these addresses."""


class Announcer:
    """Announces this daemon's long prompts, and takes in those of others.

    Each is a datagram a peer, not a message on a stream: one that is late or
    lost is worth nothing, since the prompt has been computed by then, and
    sixty daemons tell each other of a hundred prompts a second.
    """

    def __init__(
        self,
        *,
        members: view.View,
        news: newses.News,
        runtime: runtimes.Runtime,
        datagrams: DatagramSender,
    ) -> None:
        """Announces to those that `news` names as a model's audience."""
        self._members = members
        self._news = news
        self._runtime = runtime
        self._datagrams = datagrams

    def announce(self, announcement: effects.Announce) -> None:
        """Tells the daemons that serve a model of a prompt sent."""
        own = self._members.me.member_id
        message = peer_pb2.News(
            dispatched=[
                peer_pb2.Dispatched(
                    server_id=announcement.server_id,
                    tokens=announcement.tokens,
                    priority=announcement.priority,
                    levels=announcement.levels,
                )
            ]
        )
        self._datagrams.spread(
            (
                member.peer_address
                for member in self._news.audience(announcement.target)
                if member.member_id != own
            ),
            message,
        )

    def apply(self, message: peer_pb2.News) -> None:
        """Takes in what another daemon announced."""
        now_ms = self._runtime.clock.now_ms()
        for announcement in message.dispatched:
            self._runtime.submit(
                server_inputs.PeerDispatched(
                    at_ms=now_ms,
                    server_id=announcement.server_id,
                    tokens=announcement.tokens,
                    priority=announcement.priority,
                    levels=tuple(announcement.levels),
                )
            )


__all__ = ["Announcer", "DatagramSender"]

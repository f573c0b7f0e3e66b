"""Tells other daemons at once of long prompts sent to servers, and hears it."""

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


class Spreader(Protocol):
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
        news: peer_updates.PeerUpdates,
        runtime: runtimes.Runtime,
        spreader: Spreader,
    ) -> None:
        """Announces to those that `news` names as a model's audience."""
        self._members = members
        self._news = news
        self._runtime = runtime
        self._spreader = spreader

    def announce(self, sent: effects.Announce) -> None:
        """Tells the daemons that serve a model of a prompt sent."""
        own = self._members.me.member_id
        told = peer_pb2.News(
            dispatched=[
                peer_pb2.Dispatched(
                    server_id=sent.server_id,
                    tokens=sent.tokens,
                    priority=sent.priority,
                    levels=sent.levels,
                )
            ]
        )
        self._spreader.spread(
            (
                member.peer_address
                for member in self._news.audience(sent.target)
                if member.member_id != own
            ),
            told,
        )

    def heard(self, told: peer_pb2.News) -> None:
        """Takes in what another daemon announced."""
        now_ms = self._runtime.clock.now_ms()
        for sent in told.dispatched:
            self._runtime.submit(
                server_inputs.PeerDispatched(
                    at_ms=now_ms,
                    server_id=sent.server_id,
                    tokens=sent.tokens,
                    priority=sent.priority,
                    levels=tuple(sent.levels),
                )
            )


__all__ = ["Announcer", "Spreader"]

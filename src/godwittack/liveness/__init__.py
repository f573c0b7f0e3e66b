"""Detects connections whose path is dead while both ends seem open."""

from __future__ import annotations

import socket

# TCP keep-alive: if the network path has dropped the state of an idle
# connection, this shows within five seconds instead of never.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# Limit for sent data without acknowledgement, which keep-alive probes don't
# cover.
MAX_UNACKNOWLEDGED_MS = 2_000


def enable_keepalive(sock: socket.socket) -> None:
    """Makes the system probe an idle connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def limit_unacknowledged(sock: socket.socket) -> None:
    """Makes the system close a connection whose peer acknowledges nothing."""
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS
    )


__all__ = ["limit_unacknowledged", "enable_keepalive"]

"""Logs unreadable values from servers, without repeating them."""

from __future__ import annotations

from absl import logging

# Servers whose last unreadable value is remembered.
MAX_SERVERS = 100


class UnreadableLog:
    """Writes a line when a server's unreadable value differs from its last."""

    def __init__(self, event: str, **fields: int) -> None:
        """Logs lines with event name `event`, each ending with `fields`."""
        self._event = event
        self._fields = "".join(f" {k}={v}" for k, v in fields.items())
        self._last_detail: dict[str, str] = {}

    def log(self, server_id: str, detail: str) -> None:
        """Logs `detail` unless it equals the server's last one."""
        if self._last_detail.get(server_id) == detail:
            return
        self._last_detail[server_id] = detail
        while len(self._last_detail) > MAX_SERVERS:
            del self._last_detail[next(iter(self._last_detail))]
        logging.warning(
            "event=%s server=%s detail=%r%s",
            self._event,
            server_id,
            detail,
            self._fields,
        )


__all__ = ["UnreadableLog"]

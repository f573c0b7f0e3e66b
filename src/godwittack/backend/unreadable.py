"""Logs what servers say and can't be read, without repeating it."""

from __future__ import annotations

from absl import logging

# Servers whose last such text is remembered.
MAX_SERVERS = 100


class UnreadableLog:
    """Writes a line where a server's unreadable text is another than before."""

    def __init__(self, event: str, **fields: int) -> None:
        """Names its lines `event`, and ends each with `fields`."""
        self._event = event
        self._fields = "".join(f" {k}={v}" for k, v in fields.items())
        self._last_detail: dict[str, str] = {}

    def log(self, server_id: str, detail: str) -> None:
        """Takes in a text that can't be read."""
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

"""Selects the load reports that are published to other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwittack.core import server_inputs

# An unchanged load is published again after this, for peers that missed it.
REPEAT_INTERVAL_MS = 2_000
# A count may change by this fraction without being published.
RELATIVE_TOLERANCE = 0.1
# Memory in use may change by this fraction of all memory.
MEMORY_TOLERANCE = 0.05


class LoadFilter:
    """Compares load reports with the one published last for each server."""

    def __init__(self) -> None:
        """Starts without published reports."""
        self._last_published: dict[str, server_inputs.LoadReported] = {}

    def record_if_changed(self, load: server_inputs.LoadReported) -> bool:
        """Returns whether to publish a report, and records it if so."""
        last = self._last_published.get(load.server_id)
        if last is not None and _is_same(last, load):
            return False
        self._last_published[load.server_id] = load
        return True


def _is_same(
    last: server_inputs.LoadReported, load: server_inputs.LoadReported
) -> bool:
    return (
        load.at_ms - last.at_ms < REPEAT_INTERVAL_MS
        and _exact_fields(last) == _exact_fields(load)
        and _is_close(last.running, load.running)
        and _is_close(last.waiting, load.waiting)
        and _is_close(last.waiting_tokens, load.waiting_tokens)
        and _is_memory_close(last, load)
    )


def _is_memory_close(
    last: server_inputs.LoadReported, load: server_inputs.LoadReported
) -> bool:
    changed_tokens = abs(load.kv_used_tokens - last.kv_used_tokens)
    return (
        last.kv_total_tokens == load.kv_total_tokens
        and changed_tokens <= MEMORY_TOLERANCE * load.kv_total_tokens
    )


def _exact_fields(
    load: server_inputs.LoadReported,
) -> tuple[str, str, int, bool]:
    return (load.incarnation, load.weights_version, load.slots, load.leaving)


def _is_close(last: int, current: int) -> bool:
    return abs(current - last) <= RELATIVE_TOLERANCE * max(current, last)


__all__ = ["LoadFilter"]

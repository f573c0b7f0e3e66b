"""Log lines, metrics and report counts from the core's events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from absl import logging

if TYPE_CHECKING:
    from godwittack.core import effects
    from godwittack.daemon import stories
    from godwittack.metric import meters
    from godwittack.report import counters


class Observer(Protocol):
    """Hears every event of the core."""

    def event(self, event: effects.Event) -> None:
        """Takes in one event."""


class EventObserver:
    """Logs, counts and measures events."""

    def __init__(
        self,
        *,
        counts: counters.EventCounters,
        measures: meters.Meters,
        told: stories.Stories | None = None,
    ) -> None:
        """Counts in `counts` and measures in `measures`.

        Args:
            counts: What reports are made of.
            measures: What metrics are made of.
            told: Keeps the volume of lines bounded; None for all lines.
        """
        self._counts = counts
        self._measures = measures
        self._told = told

    def event(self, event: effects.Event) -> None:
        """Takes in one event."""
        self._counts.record(event)
        self._measures.event(event)
        if self._told is None:
            logging.info("%s", line(event))
        else:
            self._told.tell(event, line(event))


def line(event: effects.Event) -> str:
    """Returns an event as one line of key=value pairs."""
    parts = [f"event={event.name}"]
    if event.request_id:
        parts.append(f"request={_quoted(event.request_id)}")
    parts.extend(f"{f.key}={_quoted(f.value)}" for f in event.fields)
    return " ".join(parts)


def _quoted(value: str | int | float) -> str:
    text = str(value)
    # A line break in a value that came from outside would forge a line.
    text = text.replace("\\", "\\\\").replace("\n", "\\n")
    text = text.replace("\r", "\\r").replace('"', "'")
    return f'"{text}"' if not text or " " in text or "=" in text else text


__all__ = ["EventObserver", "Observer", "line"]

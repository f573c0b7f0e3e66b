"""Turns the core's events into log lines, metrics and report counts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from absl import logging

if TYPE_CHECKING:
    from godwittack.core import effects
    from godwittack.daemon import log_sampling
    from godwittack.metric import meters
    from godwittack.report import counters


# Events after which a caller holds a part of an answer.
WARNING_EVENTS = frozenset({"stream_broken"})


class Observer(Protocol):
    """Receives every event of the core."""

    def record(self, event: effects.Event) -> None:
        """Records one event."""


class EventObserver:
    """Logs events and records them in reports and metrics."""

    def __init__(
        self,
        *,
        counts: counters.EventCounters,
        event_meters: meters.Meters,
        log_sampler: log_sampling.RequestLogSampler | None = None,
    ) -> None:
        """Sets where events are recorded.

        Args:
            counts: Counts for reports.
            event_meters: Instruments for metrics.
            log_sampler: Bounds the volume of log lines; None logs every line.
        """
        self._counts = counts
        self._meters = event_meters
        self._log_sampler = log_sampler

    def record(self, event: effects.Event) -> None:
        """Counts, measures and logs one event."""
        self._counts.record(event)
        self._meters.record_event(event)
        line = format_line(event)
        if self._log_sampler is not None:
            self._log_sampler.record(event, f"level={level_name(event)} {line}")
        elif event.name in WARNING_EVENTS:
            logging.warning("%s", line)
        else:
            logging.info("%s", line)


def level_name(event: effects.Event) -> str:
    """Returns the level at which an event is logged."""
    return "WARNING" if event.name in WARNING_EVENTS else "INFO"


def format_line(event: effects.Event) -> str:
    """Returns an event as one line of key=value pairs."""
    parts = [f"event={event.name}"]
    if event.request_id:
        parts.append(f"request={_quote(event.request_id)}")
    parts.extend(f"{f.key}={_quote(f.value)}" for f in event.fields)
    return " ".join(parts)


def _quote(value: str | int | float) -> str:
    text = str(value)
    # A line break in an external value could forge a log line.
    text = text.replace("\\", "\\\\").replace("\n", "\\n")
    text = text.replace("\r", "\\r").replace('"', "'")
    return f'"{text}"' if not text or " " in text or "=" in text else text


__all__ = ["EventObserver", "Observer", "format_line", "level_name"]

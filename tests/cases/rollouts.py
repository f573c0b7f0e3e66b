"""Roll-outs over many servers: their pace, and what is told of them."""

from __future__ import annotations

import asyncio
import contextlib
import logging

from absl import logging as absl_logging

from cases import one_lead


class _Lines(logging.Handler):
    """Keeps the messages of log records."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Takes in a record."""
        self.lines.append(record.getMessage())


@contextlib.contextmanager
def _logged(event: str):
    """Collects the lines of one event."""
    handler = _Lines()
    logger = absl_logging.get_absl_logger()
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    found: list[str] = []
    try:
        yield found
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
        found.extend(
            line for line in handler.lines if line.startswith(f"event={event} ")
        )


def a_roll_out_under_load_tells_its_pace() -> None:
    """The lines of a roll-out say why no further server is ordered.

    Symptom: servers stay on old weights, and the log names orders alone.
    Sequence: requests wait at all of 56 engines; weights are named.
    Cause: nothing was written of what a step is decided from.
    """

    async def case() -> None:
        led = one_lead.Led(servers=56, load_s=0.45)
        load = asyncio.create_task(led.press())
        with _logged("rollout") as lines:
            await led.run(for_s=2.0)
        assert load.cancel(), load
        assert 4 <= len(lines) <= 12, lines
        for field in ("behind", "loading", "held", "room", "oldest_ms"):
            assert all(f" {field}=" in line for line in lines), lines
        assert "behind=56" in lines[0] and "pressed=1" in lines[0], lines[0]

    one_lead.play(case())


def a_lead_without_the_store_says_so_once() -> None:
    """A daemon that may not order tells why, when that changes.

    Symptom: no orders for seconds, and no line of any daemon says why.
    Sequence: the store answers nothing for 3 s, and then again.
    Cause: only orders and changes of the holder were written.
    """

    async def case() -> None:
        led = one_lead.Led()
        led.table.faults.down = True
        with _logged("rollout_waits") as lines:
            await led.run(for_s=3.0)
            led.table.faults.down = False
            await led.run(for_s=1.0)
        whys = [line.split("why=")[1].split()[0] for line in lines]
        assert whys == ["store_lost", "none"], lines

    one_lead.play(case())


def a_large_fleet_under_load_has_new_weights_in_time() -> None:
    """Weights reach every server before those that they replace are too old.

    Answers by weights that had been replaced for longer than allowed, on a
    fleet of 56 engines under load. Orders went out one after the other while
    nothing held them up: no other lead, no refusal, no loss.
    """

    async def case() -> None:
        led = one_lead.Led(servers=56, load_s=0.45)
        limit_ms = led.runtime.core.world.policy.old_weights_limit_ms
        load = asyncio.create_task(led.press())
        await led.run(for_s=limit_ms / 1000)
        assert load.cancel(), load
        assert led.with_weights("2") == 56, led.with_weights("2")

    one_lead.play(case())

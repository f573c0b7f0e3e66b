"""Runs one daemon in its own process."""

from __future__ import annotations

import asyncio
import logging as std_logging
import signal
import sys
from typing import TYPE_CHECKING

from absl import flags, logging
from result import Err, Ok, Result

from godwittack import clock
from godwittack.clock import loop_delay
from godwittack.config import settings as configs
from godwittack.config import validation
from godwittack.daemon import cancellation

if TYPE_CHECKING:
    from collections.abc import Coroutine

# Signals that the platform sends to a daemon, or a terminal.
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def run(path: str) -> Result[None, str]:
    """Runs a daemon until it is stopped.

    Args:
        path: Settings file.

    Returns:
        An error message if the settings are invalid.

    Raises:
        OSError: An address is in use.
    """
    validated = validation.load_and_check(path)
    if isinstance(validated, Err):
        return validated
    loaded = validated.ok_value
    # Without this, absl warns about unparsed flags; this program uses none.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    if loaded.settings.interface is configs.Interface.PLATFORM:
        _run_on_platform(loaded)
    else:
        _run_own_interface(path, loaded)
    return Ok(None)


def _run_on_platform(loaded: configs.LoadedSettings) -> None:
    # Each interface imports only the modules it needs, to start faster.
    from godwittack.daemon import logs, platform_daemon

    writer = logs.install()
    selector = loop_delay.TimedSelector(clock.SystemClock())
    daemon_run = platform_daemon.serve(
        loaded, write_line=writer.write_now, delay=selector
    )
    try:
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            runner.run(_run_to_the_end(daemon_run))
    finally:
        writer.close()


async def _run_to_the_end(
    daemon_run: Coroutine[object, object, None],
) -> None:
    """Runs a daemon, and ends what is left of it once it has stopped.

    Signals are ignored from then on: the event loop restores their default
    action when it is closed. A further signal would then end the process before
    its last log lines are written, and its exit code would be that of a daemon
    that was cut.
    """
    try:
        await daemon_run
    finally:
        loop = asyncio.get_running_loop()
        for number in HANDLED_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        # The event loop would cancel them only once.
        await cancellation.cancel_all(
            asyncio.all_tasks() - {asyncio.current_task()}
        )


def _run_own_interface(path: str, loaded: configs.LoadedSettings) -> None:
    from godwittack.daemon import serve

    problem = validation.platform_error(path, loaded)
    if problem:
        # A daemon must also start during an outage of the platform.
        print(f"{problem}; starting without it", file=sys.stderr)
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(
        std_logging.Formatter(
            "time=%(asctime)s.%(msecs)03d level=%(levelname)s %(message)s",
            datefmt="%Y-%m-%dT%H:%M:%S",
        )
    )
    asyncio.run(_run_to_the_end(serve.serve(loaded)))


__all__ = ["run"]

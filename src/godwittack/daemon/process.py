"""Runs one daemon as the whole of a process."""

from __future__ import annotations

import asyncio
import logging as std_logging
import sys

from absl import flags, logging
from result import Err, Ok, Result

from godwittack import clock
from godwittack.clock import loop_delay
from godwittack.config import settings as configs
from godwittack.config import validation


def run(path: str) -> Result[None, str]:
    """Runs a daemon until it is stopped.

    Args:
        path: Settings file.

    Returns:
        What is wrong with the settings, if anything is.

    Raises:
        OSError: An address is in use.
    """
    got = validation.load_and_check(path)
    if isinstance(got, Err):
        return got
    loaded = got.ok_value
    # Without this absl complains of flags, which this program does not use.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    if loaded.settings.interface is configs.Interface.PLATFORM:
        _run_on_platform(loaded)
    else:
        _run(path, loaded)
    return Ok(None)


def _run_on_platform(loaded: configs.LoadedSettings) -> None:
    # Each way of running imports what it needs, and starts the sooner.
    from godwittack.daemon import edge, logs

    writer = logs.install()
    selector = loop_delay.TimedSelector(clock.SystemClock())
    serving = edge.serve(loaded, write_line=writer.tell, delay=selector)
    try:
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            runner.run(serving)
    finally:
        writer.close()


def _run(path: str, loaded: configs.LoadedSettings) -> None:
    from godwittack.daemon import serve

    trouble = validation.platform_error(path, loaded)
    if trouble:
        # The platform has outages, and a daemon must start during one.
        print(f"{trouble}; starting without it", file=sys.stderr)
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(
        std_logging.Formatter(
            "time=%(asctime)s.%(msecs)03d level=%(levelname)s %(message)s",
            datefmt="%Y-%m-%dT%H:%M:%S",
        )
    )
    asyncio.run(serve.serve(loaded))


__all__ = ["run"]

"""`godwittack serve`: runs a daemon."""

from __future__ import annotations

import asyncio
import sys
from typing import Annotated

import cyclopts
from result import Err

from godwittack.command import check, codes, parser


@parser.app.command
def serve(
    *,
    settings: Annotated[str, cyclopts.Parameter(help="YAML settings file")],
) -> int:
    """Runs a daemon until SIGTERM, then lets it finish its requests."""
    loaded = check.load_checked(settings)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        return codes.BAD_INPUT
    from godwittack.config import settings as configs

    on_platform = (
        loaded.ok_value.settings.interface is configs.Interface.PLATFORM
    )
    trouble = ""
    if not on_platform:
        trouble = check.platform_trouble(settings, loaded.ok_value)
    if trouble:
        # The platform has outages, and a daemon must start during one.
        print(f"{trouble}; starting without it", file=sys.stderr)
    from absl import flags, logging

    # Without this absl complains of flags, which this program does not use.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    if on_platform:
        from godwittack.daemon import edge, logs

        writer = logs.install()
        try:
            asyncio.run(edge.serve(loaded.ok_value, write_line=writer.tell))
        finally:
            writer.close()
        return codes.OK
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(check.log_formatter())
    from godwittack.daemon import serve as daemon

    asyncio.run(daemon.serve(loaded.ok_value))
    return codes.OK


__all__ = ["serve"]

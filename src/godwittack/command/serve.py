"""`godwittack serve`: runs a daemon."""

from __future__ import annotations

import sys
from typing import Annotated

import cyclopts
from result import Err

from godwittack.command import codes, parser


@parser.app.command
def serve(
    *,
    settings: Annotated[str, cyclopts.Parameter(help="YAML settings file")],
) -> int:
    """Runs a daemon until SIGTERM, then lets it finish its requests."""
    # Imported here because the other commands don't need the daemon's modules.
    from godwittack.daemon import process

    ended = process.run(settings)
    if isinstance(ended, Err):
        print(ended.err_value, file=sys.stderr)
        return codes.BAD_INPUT
    return codes.OK


__all__ = ["serve"]

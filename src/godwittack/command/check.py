"""`godwittack check`: checks settings without starting a daemon."""

from __future__ import annotations

import sys
from typing import Annotated

import cyclopts
from result import Err

from godwittack.command import codes, parser
from godwittack.config import validation


@parser.app.command
def check(
    *,
    settings: Annotated[str, cyclopts.Parameter(help="YAML settings file")],
) -> int:
    """Checks a settings file, its addresses and the platform."""
    loaded = validation.load_and_check(settings)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        return codes.BAD_INPUT
    problem = validation.platform_error(settings, loaded.ok_value)
    if problem:
        print(
            f"{problem}; write http://IP:port of the platform's service"
            " (`serve` starts even if it is down)",
            file=sys.stderr,
        )
        return codes.BAD_INPUT
    print(f"{settings}: valid, for instance {loaded.ok_value.settings.name}")
    return codes.OK


__all__ = ["check"]

"""The command-line parser with which all commands register."""

from __future__ import annotations

import cyclopts

import godwittack

app = cyclopts.App(
    name="godwittack",
    help="Routes language-model traffic with long shared prompts.",
    version=godwittack.__version__,
    result_action="return_value",
)
table = cyclopts.App(
    name="table", help="Shows and changes the operators' table."
)
app.command(table)


def register() -> None:
    """Imports the command modules, which register themselves."""
    # Imported here because each of them imports this module for `app`.
    from godwittack.command import (  # noqa: F401
        check,
        diff,
        explain,
        export,
        history,
        import_,
        replay,
        report,
        serve,
        set_,
        settings,
        show,
        status,
        undo,
        waits,
    )


__all__ = ["app", "table"]

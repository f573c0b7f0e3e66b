"""`godwittack replay`: replays recorded sessions and shows differences."""

from __future__ import annotations

import pathlib

from godwittack.command import client, codes, parser
from godwittack.session import record


@parser.app.command
def replay(*files: str, write: bool = False) -> int:
    """Replays sessions; exits 1 where the decisions differ now.

    Args:
        files: Recordings, as the setting record_file makes them.
        write: Write the decisions of now into the files.
    """
    code = codes.OK
    for name in files:
        path = pathlib.Path(name)
        try:
            lines = path.read_text(encoding="utf-8").splitlines()
        except OSError as error:
            return client.fail(f"{name}: {error.strerror}")
        changed = record.replay_diff(name, lines)
        if not changed:
            print(f"{name}: same")
            continue
        print("\n".join(changed))
        code = codes.FAILED
        if write:
            made = record.replay(lines)
            path.write_text("\n".join(made) + "\n", encoding="utf-8")
    return code


__all__ = ["replay"]

"""`godwittack replay`: replays recorded sessions and shows differences."""

from __future__ import annotations

import pathlib

from godwittack.command import client, codes, parser
from godwittack.session import record


@parser.app.command
def replay(*files: str, write: bool = False) -> int:
    """Replays sessions; exits 1 if the decisions differ.

    Args:
        files: Recordings, as written to the setting record_file.
        write: Overwrite the recorded decisions with the current ones.
    """
    code = codes.OK
    for name in files:
        path = pathlib.Path(name)
        try:
            lines = path.read_text(encoding="utf-8").splitlines()
        except OSError as error:
            return client.fail(f"{name}: {error.strerror}")
        differences = record.replay_diff(name, lines)
        if not differences:
            print(f"{name}: same")
            continue
        print("\n".join(differences))
        code = codes.FAILED
        if write:
            replayed = record.replay(lines)
            path.write_text("\n".join(replayed) + "\n", encoding="utf-8")
    return code


__all__ = ["replay"]

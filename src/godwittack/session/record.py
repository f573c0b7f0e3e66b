"""Records a core's session, and replays one byte for byte."""

from __future__ import annotations

import difflib
import json
from typing import TYPE_CHECKING, Protocol

from godwittack.core import effects, inputs, router
from godwittack.session import codec

if TYPE_CHECKING:
    from collections.abc import Iterable

INPUT_PREFIX = "> "
EFFECT_PREFIX = "< "
COMMENT_PREFIX = "#"


class Sink(Protocol):
    """Where the lines of a recording go."""

    def write(self, text: str, /) -> object:
        """Adds text."""


class Recorder:
    """Writes every input of a core, and its effects below it."""

    def __init__(self, core: router.Router, sink: Sink) -> None:
        """Writes the head of the recording."""
        self._sink = sink
        sink.write(header_line(core) + "\n")

    def record_step(
        self, told: inputs.Input, made: list[effects.Effect]
    ) -> None:
        """Writes one input with its effects."""
        self._sink.write(f"{INPUT_PREFIX}{codec.encode(told)}\n")
        for effect in made:
            self._sink.write(f"{EFFECT_PREFIX}{codec.encode(effect)}\n")


def header_line(core: router.Router) -> str:
    """Returns the line that a recording starts with."""
    numbers = codec.encode_policy(core.world.policy)
    return json.dumps(
        {"daemon": core.world.daemon, "policy": json.loads(numbers)}
    )


def replay(lines: Iterable[str]) -> list[str]:
    """Returns a recording's lines with the effects made anew.

    Args:
        lines: A recording; comment lines are kept.
    """
    core: router.Router | None = None
    made: list[str] = []
    for raw in lines:
        line = raw.rstrip("\n")
        if line.startswith(COMMENT_PREFIX) or not line:
            made.append(line)
        elif core is None:
            core = _router_from_header(line)
            made.append(header_line(core))
        elif line.startswith(INPUT_PREFIX):
            made.append(line)
            told = codec.decode(line[len(INPUT_PREFIX) :])
            for effect in core.step(told):  # type: ignore[arg-type]
                made.append(EFFECT_PREFIX + codec.encode(effect))
    return made


def replay_diff(name: str, lines: list[str]) -> list[str]:
    """Returns a unified diff between a recording and its replay."""
    before = [line.rstrip("\n") for line in lines]
    after = replay(lines)
    return list(
        difflib.unified_diff(
            before, after, f"{name} (recorded)", f"{name} (now)", lineterm=""
        )
    )


def _router_from_header(line: str) -> router.Router:
    told = json.loads(line)
    numbers = codec.decode_policy(json.dumps(told["policy"]))
    return router.Router.from_config(daemon=told["daemon"], policy=numbers)


__all__ = ["Recorder", "replay_diff", "header_line", "replay"]

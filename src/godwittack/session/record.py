"""Records a core's session, and replays recordings byte for byte."""

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
    """Receives the lines of a recording."""

    def write(self, text: str, /) -> object:
        """Appends text."""


class Recorder:
    """Writes every input of a core, followed by its effects."""

    def __init__(self, core: router.Router, sink: Sink) -> None:
        """Writes the header line of the recording."""
        self._sink = sink
        sink.write(header_line(core) + "\n")

    def record_step(
        self, message: inputs.Input, emitted: list[effects.Effect]
    ) -> None:
        """Writes one input and its effects."""
        self._sink.write(f"{INPUT_PREFIX}{codec.encode(message)}\n")
        for effect in emitted:
            self._sink.write(f"{EFFECT_PREFIX}{codec.encode(effect)}\n")


def header_line(core: router.Router) -> str:
    """Returns the first line of a recording."""
    policy_json = codec.encode_policy(core.world.policy)
    world = core.world
    header = {"daemon": world.daemon, "policy": json.loads(policy_json)}
    if world.failure_domain:
        header["failure_domain"] = world.failure_domain
    return json.dumps(header)


def replay(lines: Iterable[str]) -> list[str]:
    """Replays a recording and returns its lines with the new effects.

    Args:
        lines: A recording; comment lines are kept.
    """
    core: router.Router | None = None
    replayed: list[str] = []
    for raw in lines:
        line = raw.rstrip("\n")
        if line.startswith(COMMENT_PREFIX) or not line:
            replayed.append(line)
        elif core is None:
            core = _router_from_header(line)
            replayed.append(header_line(core))
        elif line.startswith(INPUT_PREFIX):
            replayed.append(line)
            message = codec.decode(line[len(INPUT_PREFIX) :])
            for effect in core.step(message):  # type: ignore[arg-type]
                replayed.append(EFFECT_PREFIX + codec.encode(effect))
    return replayed


def replay_diff(name: str, lines: list[str]) -> list[str]:
    """Returns a unified diff between a recording and its replay."""
    recorded = [line.rstrip("\n") for line in lines]
    replayed = replay(lines)
    return list(
        difflib.unified_diff(
            recorded,
            replayed,
            f"{name} (recorded)",
            f"{name} (now)",
            lineterm="",
        )
    )


def _router_from_header(line: str) -> router.Router:
    header = json.loads(line)
    policy = codec.decode_policy(json.dumps(header["policy"]))
    return router.Router.from_config(
        daemon=header["daemon"],
        failure_domain=header.get("failure_domain", ""),
        policy=policy,
    )


__all__ = ["Recorder", "header_line", "replay", "replay_diff"]

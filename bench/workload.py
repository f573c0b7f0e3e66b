"""Generates requests with nested prompt prefixes: rulebook, section, case."""

from __future__ import annotations

import dataclasses
import itertools
import random

from godwittack.core import work
from godwittack.placement import levels


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BaseDeployment:
    """Sizes that the simulation of any deployment uses.

    Attributes:
        engines: Replicas of the model.
        daemons: Entry instances; they share no memory.
        reuse_weight: Value of this field in the model's table row.
        cache_tokens: Prompt tokens that fit into an engine's cache.
        hop_ms: One-way delay between daemon and engine.
    """

    name: str
    engines: int
    daemons: int
    reuse_weight: float
    cache_tokens: int
    hop_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment(BaseDeployment):
    """Sizes of a deployment with nested prompts.

    Attributes:
        deadline_ms: Time until the first token.
        rulebooks: Rulebooks per workspace.
        sections: Sections per rulebook.
    """

    deadline_ms: int
    rulebooks: int
    sections: int
    workspaces: int = 8
    rulebook_tokens: int = 6_000
    section_tokens: int = 1_500
    case_tokens: int = 250
    output_tokens: int = 40


DEPLOYMENTS = {
    "vatuvola": Deployment(
        name="vatuvola",
        engines=5,
        daemons=6,
        reuse_weight=0.3,
        deadline_ms=2_000,
        cache_tokens=120_000,
        rulebooks=5,
        sections=12,
        hop_ms=1.0,
    ),
    "bengal": Deployment(
        name="bengal",
        engines=6,
        daemons=6,
        reuse_weight=1.0,
        deadline_ms=3_000,
        cache_tokens=120_000,
        rulebooks=6,
        sections=14,
        hop_ms=0.5,
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request before it is placed.

    Attributes:
        daemon: Index of the daemon that receives it.
    """

    number: int
    workspace: str
    levels: tuple[work.Level, ...]
    output_tokens: int
    daemon: int


class Workload:
    """Generates random requests; a seed always gives the same ones."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Sets the popularity of workspaces, rulebooks and sections."""
        self.deployment = deployment
        self.rng = random.Random(f"workload/{deployment.name}/{seed}")
        self.rulebook_shift = 0
        self._request_numbers = itertools.count()
        self._workspaces = _zipf(deployment.workspaces, 1.0)
        self._rulebooks = _zipf(deployment.rulebooks, 1.1)
        self._sections = _zipf(deployment.sections, 0.9)

    def workspace_names(self) -> list[str]:
        """Returns the names of all workspaces."""
        return [f"ws{n}" for n in range(self.deployment.workspaces)]

    def draw(self) -> Request:
        """Returns the next request."""
        rng, deployment = self.rng, self.deployment
        number = next(self._request_numbers)
        workspace = _pick(rng, self._workspaces)
        rulebook = _pick(rng, self._rulebooks)
        section = _pick(rng, self._sections)
        # A shift makes other rulebooks popular, in all workspaces at once.
        rulebook = (rulebook + self.rulebook_shift) % deployment.rulebooks
        parts = (
            f"rulebook {workspace} {rulebook}",
            f"section {section}",
            f"case {number}",
        )
        chain = levels.chain(
            workspace=f"ws{workspace}",
            target="rulebook",
            parts=[part.encode() for part in parts],
        )
        tokens = (
            deployment.rulebook_tokens,
            deployment.section_tokens,
            max(20, int(rng.expovariate(1 / deployment.case_tokens))),
        )
        sized = tuple(
            work.Level(level.key, size)
            for level, size in zip(chain, tokens, strict=True)
        )
        return Request(
            number=number,
            workspace=f"ws{workspace}",
            levels=sized,
            output_tokens=max(
                4, int(rng.expovariate(1 / deployment.output_tokens))
            ),
            daemon=rng.randrange(deployment.daemons),
        )


def _zipf(count: int, exponent: float) -> list[float]:
    weights = [1 / (rank + 1) ** exponent for rank in range(count)]
    return list(itertools.accumulate(w / sum(weights) for w in weights))


def _pick(rng: random.Random, cumulative: list[float]) -> int:
    sample = rng.random()
    for index, upper_bound in enumerate(cumulative):
        if sample <= upper_bound:
            return index
    return len(cumulative) - 1


__all__ = ["DEPLOYMENTS", "BaseDeployment", "Deployment", "Request", "Workload"]

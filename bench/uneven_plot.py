"""Draws how the requests of a run ended, over time."""

from __future__ import annotations

import collections
import importlib
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from bench import uneven_figures, uneven_mixes

if TYPE_CHECKING:
    from bench import experiment

WINDOW_MS = 500
RESULTS = ("in_time", "late", "refused", "unanswered")


def load_pyplot() -> Result[Any, str]:
    """Returns matplotlib's pyplot, or the reason why it can't be used."""
    try:
        matplotlib = importlib.import_module("matplotlib")
    except ImportError as error:
        return Err(
            f"--plot needs matplotlib ({error}); install the extra:"
            " pip install --editable '.[plot]'"
        )
    # The command has no display.
    matplotlib.use("Agg")
    return Ok(importlib.import_module("matplotlib.pyplot"))


def draw(
    pyplot: Any,
    path: str,
    outcomes: list[experiment.RequestOutcome],
    mix: uneven_mixes.Mix,
) -> None:
    """Writes a diagram with one part for each kind of prompt."""
    figure = pyplot.figure()
    for row, kind in enumerate(mix.kinds, start=1):
        axis = figure.add_subplot(len(mix.kinds), 1, row)
        counts = counts_by_window(outcomes, mix, kind)
        windows = sorted({window for window, _ in counts})
        times_s = [window * WINDOW_MS / 1000 for window in windows]
        series = [[counts[w, result] for w in windows] for result in RESULTS]
        axis.stackplot(times_s, series, labels=RESULTS)
        axis.set_ylabel(f"{kind} prompts per {WINDOW_MS} ms")
        axis.set_xlabel("arrival, s")
        axis.legend()
    figure.savefig(path)


def counts_by_window(
    outcomes: list[experiment.RequestOutcome],
    mix: uneven_mixes.Mix,
    kind: str,
) -> collections.Counter[tuple[int, str]]:
    """Returns how many requests of a kind ended how, by time of arrival."""
    return collections.Counter(
        (
            int((outcome.arrived_ms - uneven_mixes.WARM_UP_MS) // WINDOW_MS),
            uneven_figures.result(outcome, mix),
        )
        for outcome in outcomes
        if outcome.request.kind == kind
    )


__all__ = ["counts_by_window", "draw", "load_pyplot"]

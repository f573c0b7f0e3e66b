"""`scripts/bench.sh uneven`: who waits for uneven engines under two mixes."""

from __future__ import annotations

import argparse
import math
import pathlib
import sys

import pydantic
from result import Err, Ok, Result

from bench import (
    policies,
    uneven_experiment,
    uneven_figures,
    uneven_mixes,
    uneven_plot,
)
from godwittack.config import settings as configs
from godwittack.core import policy as core_policy

DEFAULT_SECONDS = 18.0
# Settings that any daemon needs, and that the simulation does not use.
UNUSED_SETTINGS = {
    "name": "bench",
    "failure_domain": "",
    "http_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "platform_url": "http://127.0.0.1:0",
}
US_PER_MS = 1_000


def main(arguments: list[str]) -> int:
    """Runs one mix and prints its table; returns 2 for invalid options."""
    options = _parse(arguments)
    mix = uneven_mixes.MIXES[options.mix]
    decisions = decisions_of(mix, options.set)
    if isinstance(decisions, Err):
        return _fail(decisions.err_value)
    policy = policy_of(mix, decisions.ok_value)
    if isinstance(policy, Err):
        return _fail(policy.err_value)
    pyplot = uneven_plot.load_pyplot() if options.plot else Ok(None)
    if isinstance(pyplot, Err):
        return _fail(pyplot.err_value)
    if options.plot and not pathlib.Path(options.plot).parent.is_dir():
        return _fail(f"--plot {options.plot}: no such folder")
    run = uneven_experiment.UnevenExperiment(
        mix=mix, seed=options.seed, core_policy=policy.ok_value
    )
    outcomes = run.run_measured(options.seconds)
    values = " ".join(f"{k}={v:g}" for k, v in decisions.ok_value.items())
    print(f"mix {mix.name}, {options.seconds:g} s, seed {options.seed}")
    print(f"decisions: {values}")
    print("\n".join(uneven_figures.table(outcomes, mix)))
    if options.plot:
        uneven_plot.draw(pyplot.ok_value, options.plot, outcomes, mix)
    return 0


def decisions_of(
    mix: uneven_mixes.Mix, overrides: list[str]
) -> Result[dict[str, int | float], str]:
    """Returns a mix's settings with overrides of the form NAME=VALUE."""
    decisions = dict(mix.settings)
    for override in overrides:
        name, equals, text = override.partition("=")
        number = _number(text)
        if not name or not equals or number is None:
            return Err(f"--set {override}: write NAME=VALUE with a number")
        decisions[name] = number
    return Ok(decisions)


def policy_of(
    mix: uneven_mixes.Mix, decisions: dict[str, int | float]
) -> Result[core_policy.Policy, str]:
    """Returns the policy of the cores, checked like a settings file."""
    usual = {
        # Only the first and last frames are simulated; the time between them
        # must not time out.
        "frame_gap_ms": policies.FOREVER_MS,
        "prefill_us_per_token": round(US_PER_MS / mix.tokens_per_ms),
    }
    try:
        settings = configs.Settings.model_validate(
            {**UNUSED_SETTINGS, "decisions": {**usual, **decisions}}
        )
    except pydantic.ValidationError as error:
        message = error.errors()[0]["msg"]
        return Err(f"--set: {message.removeprefix('Value error, ')}")
    return Ok(settings.policy())


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bench uneven")
    parser.add_argument("--mix", choices=[*uneven_mixes.MIXES], default="A")
    parser.add_argument("--seconds", type=_seconds, default=DEFAULT_SECONDS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="NAME=VALUE",
        help="a number under `decisions`, see `godwittack settings`",
    )
    parser.add_argument(
        "--plot", metavar="FILE", help="diagram; needs the extra `plot`"
    )
    return parser.parse_args(arguments)


def _seconds(text: str) -> float:
    seconds = float(text)
    if not 0 < seconds < math.inf:
        raise argparse.ArgumentTypeError("write a positive number of seconds")
    return seconds


def _number(text: str) -> int | float | None:
    """Returns a finite number, or None: NaN passes any check of a range."""
    try:
        return int(text)
    except ValueError:
        pass
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _fail(message: str) -> int:
    print(f"bench uneven: {message}", file=sys.stderr)
    return 2


__all__ = ["decisions_of", "main", "policy_of"]

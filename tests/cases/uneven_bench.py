"""The measurement `scripts/bench.sh uneven`."""

from __future__ import annotations

import contextlib
import io
import os
import pathlib
import subprocess
import sys
from unittest import mock

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from bench import (  # noqa: E402 - found below the root only.
    chunked_engines,
    engines,
    experiment,
    uneven,
    uneven_figures,
    uneven_mixes,
    uneven_plot,
)

from godwittack.core import work  # noqa: E402

SPEC = chunked_engines.ChunkedSpec(
    cache_tokens=100_000,
    slots=2,
    chunk_tokens=1_000,
    tokens_per_ms=100.0,
    ms_per_pair=0.0,
    step_ms=3.0,
    first_token_ms=0.0,
)
TIMEOUT_S = 300


def _play(mix: str, *, hash_seed: int) -> str:
    run = subprocess.run(
        f"{sys.executable} -m bench uneven --mix {mix} --seconds 2".split(),
        cwd=ROOT,
        env={
            **os.environ,
            "PYTHONHASHSEED": str(hash_seed),
            "PYTHONPATH": str(ROOT / "src"),
        },
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert run.returncode == 0, run.stderr
    return run.stdout


def _check_two_runs(mix: str) -> None:
    printed = _play(mix, hash_seed=1)
    assert printed == _play(mix, hash_seed=2)
    rows = [line.split()[-7:] for line in printed.splitlines()]
    groups = [line.rsplit(maxsplit=7)[0] for line in printed.splitlines()]
    all_row = rows[groups.index("all requests")]
    number, *ends = (int(cell) for cell in all_row[:5])
    assert number > 300 and number == sum(ends), all_row
    for by in ("kind", "tokens", "workspace", "domain"):
        counts = [
            int(row[0])
            for row, group in zip(rows, groups, strict=True)
            if group.startswith(f"{by} ")
        ]
        assert len(counts) > 1 and sum(counts) == number, (by, counts)
    assert 0 < float(printed.split()[-1]) <= 1


def mix_a_prints_the_same_twice() -> None:
    """Guards against variants that differ by chance, and uncounted requests."""
    _check_two_runs("A")


def mix_b_prints_the_same_twice() -> None:
    """Guards against the same failures with slow engines and told paces."""
    _check_two_runs("B")


def _demand(mix: str, kind: str, domain: int) -> list[float]:
    """Returns the demand of each tenth of a second, from the measured time."""
    requests = uneven_mixes.MixWorkload(uneven_mixes.MIXES[mix], 1)
    usual = uneven_mixes.MIXES[mix].kinds[kind].per_s / 3
    return [
        requests.rate_per_s(kind, domain, uneven_mixes.WARM_UP_MS + 100 * n)
        / usual
        for n in range(130)
    ]


def demand_of_mix_a_bursts_by_kind() -> None:
    """Guards against bursts of both kinds at once, or of a wrong length."""
    long, short = (_demand("A", kind, 0) for kind in ("long", "short"))
    factor = long[0]
    assert 2.1 <= factor <= 2.5
    # 6 s of long prompts, 6 s of short ones, and 1 s at the usual load.
    bursts = [factor] * 60
    usual = [1.0] * 60
    expected = bursts + usual + [1.0] * 10, usual + bursts + [1.0] * 10
    for demand, wanted in zip((long, short), expected, strict=True):
        differences = [abs(a - b) for a, b in zip(demand, wanted, strict=True)]
        assert max(differences) < 1e-9, demand


def demand_of_mix_b_swings_by_domain() -> None:
    """Guards against domains that are all overloaded at the same time."""
    demands = [_demand("B", "long", domain) for domain in range(3)]
    for demand in demands:
        assert abs(max(demand) - 1.55) < 0.01
        assert abs(min(demand) - 0.45) < 0.01
    peaks = {demand.index(max(demand)) for demand in demands}
    assert len(peaks) == 3, peaks
    totals = [sum(at_once) for at_once in zip(*demands, strict=True)]
    assert max(abs(total - 3) for total in totals) < 1e-9


def _engine() -> tuple[chunked_engines.ChunkedEngine, list[tuple[str, float]]]:
    timeline = engines.Timeline()
    engine = chunked_engines.ChunkedEngine(
        "e", SPEC, timeline, speed=1.0, failure_domain="d"
    )
    return engine, []


def _submit(engine, log, name: str, *, tokens: int, output=3, priority=0):
    job = engines.Job(
        (work.Level(ord(name), tokens),),
        output,
        lambda: log.append((f"{name} first", engine.timeline.now_ms)),
        lambda: log.append((f"{name} end", engine.timeline.now_ms)),
        priority=priority,
    )
    engine.submit(job)
    return job


def a_chunk_lengthens_the_step_of_all_running_requests() -> None:
    """Guards against engines whose long prompts delay no other request."""
    engine, log = _engine()
    _submit(engine, log, "s", tokens=100)
    engine.timeline.run_until(1.0)
    _submit(engine, log, "l", tokens=2_000)
    engine.timeline.run_until(100.0)
    # The first step lasts 3 ms; two chunks of 10 ms follow.
    assert log == [
        ("s first", 3.0),
        ("s end", 23.0),
        ("l first", 23.0),
        ("l end", 29.0),
    ], log


def waiting_requests_are_admitted_by_priority_then_by_arrival() -> None:
    """Guards against urgent prompts that wait for all earlier ones."""
    engine, log = _engine()
    for name, priority in (("a", 1), ("b", 1), ("c", 1), ("d", 0), ("e", 1)):
        _submit(engine, log, name, tokens=100, output=1, priority=priority)
    engine.timeline.run_until(100.0)
    # The engine is idle when a arrives, and starts its step alone.
    firsts = [name for name, _ in log if name.endswith("first")]
    expected = [f"{name} first" for name in ("a", "d", "b", "c", "e")]
    assert firsts == expected, firsts


def a_cancelled_request_frees_its_slot() -> None:
    """Guards against engines that stay full of requests past their deadline."""
    engine, log = _engine()
    jobs = [
        _submit(engine, log, name, tokens=100, output=1_000) for name in "ab"
    ]
    _submit(engine, log, "c", tokens=100)
    engine.timeline.run_until(10.0)
    assert "c first" not in dict(log)
    engine.cancel(jobs[0])
    engine.timeline.run_until(20.0)
    assert "c first" in dict(log)


def _error(*arguments: str) -> str:
    """Returns what the command prints as its error, and checks its status."""
    stderr = io.StringIO()
    with contextlib.redirect_stderr(stderr):
        assert uneven.main(list(arguments)) == 2
    return stderr.getvalue()


def invalid_settings_get_a_clear_error() -> None:
    """Guards against runs that compare a variant with itself."""
    for override, expected in (
        ("long_prompt_token=0", "no number is named 'long_prompt_token'"),
        ("uneven_servers=3", "uneven_servers must be at most 2"),
        ("uneven_hold_ms=-1", "uneven_hold_ms must not be negative"),
        ("uneven_hold_ms=nan", "write NAME=VALUE with a number"),
        ("uneven_hold_ms", "write NAME=VALUE with a number"),
    ):
        message = _error("--set", override)
        assert expected in message, (override, message)


def a_plot_without_matplotlib_ends_with_a_clear_error() -> None:
    """Guards against a run of minutes that ends with a traceback."""
    with mock.patch.dict(sys.modules, {"matplotlib": None}):
        message = _error("--plot", "waits.png")
    assert "--plot needs matplotlib" in message and "[plot]" in message


def _outcome(kind: str, waited_ms: float, refusal_reason: str = ""):
    request = uneven_mixes.MixRequest(0, "ws0", (), 1, 0, kind, "domain-0")
    at_ms = float(uneven_mixes.WARM_UP_MS)
    first_ms = at_ms + waited_ms if waited_ms >= 0 else -1.0
    return experiment.RequestOutcome(
        request, at_ms, first_ms, refusal_reason=refusal_reason
    )


def the_value_counts_late_and_refused_requests() -> None:
    """Guards against a value that hides refusals."""
    mix = uneven_mixes.MIXES["A"]
    outcomes = [
        _outcome("long", 1_263),
        _outcome("long", 1_264),
        _outcome("short", -1, "overload"),
        _outcome("short", 273),
    ]
    expected = (4 + 1.8 + 2.4) / (2 * 4 + 2 * 2.4)
    value = uneven_figures.relative_value(outcomes, mix)
    assert abs(value - expected) < 1e-9, value
    counts = uneven_plot.counts_by_window(outcomes, mix, "short")
    assert counts == {(0, "refused"): 1, (0, "in_time"): 1}, counts


def a_plot_shows_each_kind_and_is_saved() -> None:
    """Guards against a failure after the run, without real matplotlib."""
    pyplot = mock.MagicMock()
    outcomes = [_outcome("long", 10), _outcome("short", 300)]
    uneven_plot.draw(pyplot, "f.png", outcomes, uneven_mixes.MIXES["B"])
    figure = pyplot.figure.return_value
    assert figure.add_subplot.call_count == 2
    plotted = figure.add_subplot.return_value.stackplot.call_args_list
    long_series, short_series = (call.args[1] for call in plotted)
    assert long_series[0] == [1] and short_series[1] == [1], plotted
    figure.savefig.assert_called_once_with("f.png")


__all__ = [
    "a_cancelled_request_frees_its_slot",
    "a_chunk_lengthens_the_step_of_all_running_requests",
    "a_plot_shows_each_kind_and_is_saved",
    "a_plot_without_matplotlib_ends_with_a_clear_error",
    "demand_of_mix_a_bursts_by_kind",
    "demand_of_mix_b_swings_by_domain",
    "invalid_settings_get_a_clear_error",
    "mix_a_prints_the_same_twice",
    "mix_b_prints_the_same_twice",
    "the_value_counts_late_and_refused_requests",
    "waiting_requests_are_admitted_by_priority_then_by_arrival",
]

"""Runs the features in parallel groups and counts their scenarios."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile

TESTS = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = TESTS.parent / "KNOWN-RED.txt"
# Each scenario starts up to a dozen processes; more workers would slow down
# all of them.
WORKERS = 3
# Features that measure what their crowds of clients do to a daemon.
RUN_ALONE = ("crowds.feature",)
NOT_FAILED = ("passed", "skipped", "untested")


@dataclasses.dataclass
class Tally:
    """Numbers of scenarios by result."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0
    known_red: list[str] = dataclasses.field(default_factory=list)


def main() -> int:
    """Runs the named features, or all; returns 0 if none failed."""
    names = sys.argv[1:] or _all_features()
    tally = Tally()
    beside = [name for name in names if not name.endswith(RUN_ALONE)]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for output, scenarios in pool.map(_run, beside):
            print(output, end="")
            _count(tally, scenarios)
    for name in names:
        if name not in beside:
            output, scenarios = _run(name)
            print(output, end="")
            _count(tally, scenarios)
    for name in tally.known_red:
        print(f"known red: {name}")
    print(
        f"{tally.passed} passed, {tally.failed} failed, {tally.skipped} skipped"
    )
    return 1 if tally.failed or not tally.passed else 0


def _all_features() -> list[str]:
    """Returns all feature files, the longest first.

    Started last, the longest one would run alone for minutes.
    """
    found = sorted((TESTS / "features").rglob("*.feature"))
    found.sort(key=lambda path: path.stat().st_size, reverse=True)
    return [str(path.relative_to(TESTS)) for path in found]


def _run(name: str) -> tuple[str, list[tuple[str, str]]]:
    """Runs one feature file; returns its output and scenario results."""
    with tempfile.TemporaryDirectory() as folder:
        out = pathlib.Path(folder) / "result.json"
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "behave",
                "--no-color",
                "--no-summary",
                "--format=json",
                f"--outfile={out}",
                "--format=progress3",
                name,
            ],
            cwd=TESTS,
            capture_output=True,
            text=True,
            check=False,
            env={**os.environ, "PYTHONHASHSEED": "0"},
        )
        try:
            features = json.loads(out.read_text())
        except (OSError, ValueError):
            return done.stdout + done.stderr, [(name, "failed")]
    scenarios = [
        (f"{name}: {element['name'].strip()}", element["status"])
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    if done.returncode and all(s in NOT_FAILED for _, s in scenarios):
        scenarios.append((name, "failed"))
    output = done.stdout
    if done.returncode:
        output += done.stderr
    return output, scenarios


def _count(tally: Tally, scenarios: list[tuple[str, str]]) -> None:
    known = _known_red()
    for name, status in scenarios:
        if status == "passed":
            tally.passed += 1
        elif status in NOT_FAILED:
            tally.skipped += 1
        elif name in known:
            tally.known_red.append(name)
            tally.skipped += 1
        else:
            tally.failed += 1


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split(" | ")[0] for line in lines if line.strip()}


if __name__ == "__main__":
    sys.exit(main())

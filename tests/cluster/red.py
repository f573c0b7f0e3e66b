"""Checks that tests fail without the mechanism that they cover.

Each entry of red.yaml names a promise, a file, the mechanism's source text, the
text that replaces it, and the feature that must then fail.
"""

from __future__ import annotations

import concurrent.futures
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
WORKERS = 4


def main() -> int:
    """Runs all entries, or those of the promises on the command line."""
    entries = yaml.safe_load((ROOT / "tests" / "red.yaml").read_text())
    promises = set(sys.argv[1:])
    chosen = [e for e in entries if not promises or e["promise"] in promises]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(_run, chosen))
    for line in results:
        print(line)
    green = [line for line in results if line.startswith("STILL GREEN")]
    print(f"{len(results) - len(green)} red, {len(green)} still green")
    return 1 if green else 0


def _apply_edit(copy: pathlib.Path, edit: dict) -> bool:
    file = copy / edit["file"]
    text = file.read_text()
    file.write_text(text.replace(edit["with"], edit["without"]))
    return text.count(edit["with"]) == 1


def _run(entry: dict) -> str:
    with tempfile.TemporaryDirectory(prefix="godwittack-red-") as folder:
        copy = pathlib.Path(folder)
        for name in ("src", "tests", "deploy"):
            shutil.copytree(ROOT / name, copy / name)
        for edit in (entry, entry.get("also")):
            if edit and not _apply_edit(copy, edit):
                return f"STILL GREEN {entry['promise']}: text not found once"
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "behave",
                "--no-color",
                "--no-summary",
                "--format=plain",
                f"features/{entry['feature']}",
                *(["--name", entry["name"]] if "name" in entry else []),
            ],
            cwd=copy / "tests",
            env={**os.environ, "PYTHONPATH": str(copy / "src")},
            capture_output=True,
            text=True,
            check=False,
            timeout=500,
        )
    failures = [
        line.strip()
        for line in done.stdout.splitlines()
        if "ASSERT FAILED" in line or "Error:" in line or "FAILED" in line
    ]
    head = f"{entry['promise']}: {entry['case']}"
    if done.returncode == 0 or not failures:
        return f"STILL GREEN {head}"
    return f"red {head}\n    {failures[0][:300]}"


if __name__ == "__main__":
    sys.exit(main())

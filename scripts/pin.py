"""Writes requirements.txt: pyproject.toml's dependencies, each pinned.

The versions are those installed in the environment that runs this script,
transitive dependencies included.
"""

from __future__ import annotations

import importlib.metadata
import pathlib
import re
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAME = re.compile(r"^[A-Za-z0-9._-]+")


def main() -> None:
    """Writes requirements.txt."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    pinned: dict[str, str] = {}
    for requirement in project["dependencies"]:
        _add(requirement, pinned)
    lines = [f"{name}=={pinned[name]}\n" for name in sorted(pinned)]
    (ROOT / "requirements.txt").write_text("".join(lines))


def _add(requirement: str, pinned: dict[str, str]) -> None:
    found = NAME.match(requirement)
    if found is None or "extra ==" in requirement:
        return
    try:
        installed = importlib.metadata.distribution(found.group())
    except importlib.metadata.PackageNotFoundError:
        # Required only on other systems or older versions of Python.
        return
    name = installed.metadata["Name"].lower()
    if name not in pinned:
        pinned[name] = installed.version
        for needed in installed.requires or []:
            _add(needed, pinned)


if __name__ == "__main__":
    main()

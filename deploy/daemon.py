"""Starts a daemon from a checkout: `python3 deploy/daemon.py serve ...`."""

from __future__ import annotations

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from godwittack import run

run.main()

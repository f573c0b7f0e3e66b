"""`godwittack check`: checks settings without starting a daemon."""

from __future__ import annotations

import logging
import socket
import sys
import urllib.error
import urllib.request
from typing import Annotated

import cyclopts
from result import Err, Ok, Result

from godwittack.command import codes, parser
from godwittack.config import settings as configs

PLATFORM_TIMEOUT_S = 2.0


@parser.app.command
def check(
    *,
    settings: Annotated[str, cyclopts.Parameter(help="YAML settings file")],
) -> int:
    """Checks a settings file, its addresses and the platform."""
    loaded = load_checked(settings)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        return codes.BAD_INPUT
    trouble = platform_trouble(settings, loaded.ok_value)
    if trouble:
        print(
            f"{trouble}; write http://IP:port of the platform's service (in an"
            " outage of it `serve` starts all the same)",
            file=sys.stderr,
        )
        return codes.BAD_INPUT
    print(f"{settings}: good, for instance {loaded.ok_value.settings.name}")
    return codes.OK


def load_checked(path: str) -> Result[configs.Loaded, str]:
    """Loads settings and tries the addresses they name."""
    loaded = configs.load(path)
    if isinstance(loaded, Err):
        return loaded
    settings = loaded.ok_value.settings
    if settings.interface is configs.Interface.PLATFORM:
        # The platform gives the addresses to this process alone.
        return Ok(loaded.ok_value)
    for key, kind in (
        ("http_address", socket.SOCK_STREAM),
        ("peer_address", socket.SOCK_STREAM),
        ("peer_address", socket.SOCK_DGRAM),
    ):
        trouble = _cannot_bind(getattr(settings, key), kind)
        if trouble:
            return Err(f"{path}: {key}: {trouble}; write a free IP:port")
    return Ok(loaded.ok_value)


def platform_trouble(path: str, loaded: configs.Loaded) -> str:
    """Returns why the platform can't be reached, or nothing."""
    trouble = _cannot_reach(loaded.settings.platform_url)
    return f"{path}: platform_url: {trouble}" if trouble else ""


def log_formatter() -> logging.Formatter:
    """Returns the form of a log line: time, level, then the pairs."""
    return logging.Formatter(
        "time=%(asctime)s.%(msecs)03d level=%(levelname)s %(message)s",
        datefmt="%Y-%m-%dT%H:%M:%S",
    )


def _cannot_bind(address: str, kind: socket.SocketKind) -> str:
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if host.startswith("[") else socket.AF_INET
    with socket.socket(family, kind) as probe:
        if kind is socket.SOCK_STREAM:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host.strip("[]"), int(port)))
        except (OSError, OverflowError) as error:
            return f"{address} can't be used ({error})"
    return ""


def _cannot_reach(url: str) -> str:
    try:
        with urllib.request.urlopen(
            url + "/instances", timeout=PLATFORM_TIMEOUT_S
        ):
            return ""
    except (urllib.error.URLError, OSError, ValueError) as error:
        return f"{url} can't be reached ({error})"


__all__ = ["check", "load_checked", "log_formatter", "platform_trouble"]

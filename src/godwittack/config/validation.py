"""Checks that the addresses in the settings can be used."""

from __future__ import annotations

import socket
import urllib.error
import urllib.request

from result import Err, Ok, Result

from godwittack import address as addresses
from godwittack.config import settings as configs

PLATFORM_TIMEOUT_S = 2.0


def load_and_check(path: str) -> Result[configs.LoadedSettings, str]:
    """Loads settings and tries to bind the addresses that they name."""
    loaded = configs.load(path)
    if isinstance(loaded, Err):
        return loaded
    settings = loaded.ok_value.settings
    if settings.interface is configs.Interface.PLATFORM:
        # The platform reserves the addresses for this process.
        return Ok(loaded.ok_value)
    for key, kind in (
        ("http_address", socket.SOCK_STREAM),
        ("peer_address", socket.SOCK_STREAM),
        ("peer_address", socket.SOCK_DGRAM),
    ):
        problem = _bind_error(getattr(settings, key), kind)
        if problem:
            return Err(f"{path}: {key}: {problem}; write a free IP:port")
    return Ok(loaded.ok_value)


def platform_error(path: str, loaded: configs.LoadedSettings) -> str:
    """Returns why the platform can't be reached, or "" if it can."""
    problem = _connection_error(loaded.settings.platform_url)
    return f"{path}: platform_url: {problem}" if problem else ""


def _bind_error(address: str, kind: socket.SocketKind) -> str:
    host, port = addresses.split(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, kind) as probe:
        if kind is socket.SOCK_STREAM:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except (OSError, OverflowError) as error:
            return f"{address} can't be used ({error})"
    return ""


def _connection_error(url: str) -> str:
    try:
        with urllib.request.urlopen(
            url + "/instances", timeout=PLATFORM_TIMEOUT_S
        ):
            return ""
    except (urllib.error.URLError, OSError, ValueError) as error:
        return f"{url} can't be reached ({error})"


__all__ = ["load_and_check", "platform_error"]

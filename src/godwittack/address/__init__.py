"""Addresses as the settings and tables write them: IP:PORT, [IPv6]:PORT."""

from __future__ import annotations

import functools


@functools.lru_cache(maxsize=1_024)
def split(address: str) -> tuple[str, int]:
    """Returns an address's IP and port.

    Raises:
        ValueError: There is no port.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


__all__ = ["split"]

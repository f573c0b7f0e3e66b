"""Addresses in settings and tables: IP:PORT or [IPv6]:PORT."""

from __future__ import annotations

import functools
import ipaddress

MAX_PORT = 65_535


@functools.lru_cache(maxsize=1_024)
def split(address: str) -> tuple[str, int]:
    """Returns an address's IP and port.

    Raises:
        ValueError: There is no numeric port.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def validate(address: str) -> str:
    """Returns the address if it consists of an IP and a valid port.

    Raises:
        ValueError: It does not.
    """
    host, port = split(address)
    ipaddress.ip_address(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError("the port is out of range")
    return address


__all__ = ["validate", "split"]

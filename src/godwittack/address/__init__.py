"""Addresses in settings and tables: IP:PORT or [IPv6]:PORT."""

from __future__ import annotations

import functools
import ipaddress
import re

from godwittack import digits

MAX_PORT = 65_535
# Longer than any address; longer texts are not kept in the cache of `split`.
MAX_CHARS = 64
_VISIBLE = re.compile("[!-~]+")


@functools.lru_cache(maxsize=1_024)
def split(address: str) -> tuple[str, int]:
    """Returns an address's IP and port.

    Raises:
        ValueError: There is no numeric port.
    """
    host, _, port_text = address.rpartition(":")
    port = digits.parse(port_text)
    if port is None:
        raise ValueError("the port is not a number")
    return host.strip("[]"), port


def validate(address: str) -> str:
    """Returns the address if it consists of an IP and a valid port.

    An address is also sent in headers, so it must be ASCII and without line
    breaks, and it identifies a server, so it must be in its normal form.

    Raises:
        ValueError: It does not.
    """
    if len(address) > MAX_CHARS:
        raise ValueError("the address is too long")
    host, port = split(address)
    ip = ipaddress.ip_address(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError("the port is out of range")
    shown_host = f"[{host}]" if ip.version == 6 else host
    # The scope of an IPv6 address is arbitrary text.
    if "%" in host or address != f"{shown_host}:{port}":
        raise ValueError("the address is not in the form IP:PORT")
    return address


def is_callable(address: str) -> bool:
    """Returns whether an address has a host, a valid port, and is ASCII.

    Unlike a valid address, it may have a name instead of an IP.
    """
    try:
        host, port = split(address)
    except ValueError:
        return False
    return bool(host) and is_visible(address) and 0 < port <= MAX_PORT


def is_visible(text: str) -> bool:
    """Returns whether a text is of visible ASCII characters, as in a header."""
    return bool(_VISIBLE.fullmatch(text))


__all__ = ["is_callable", "is_visible", "split", "validate"]

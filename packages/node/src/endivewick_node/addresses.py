"""Addresses of the form ``ip:port``."""

import re


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_address(address: str) -> bool:
    """Return whether ``address`` is an IPv4 address and a port, both in range."""
    match = re.fullmatch(r"(\d+)\.(\d+)\.(\d+)\.(\d+):(\d+)", address)
    if match is None:
        return False
    *octets, port = (int(part) for part in match.groups())
    return all(octet <= 255 for octet in octets) and 0 < port <= 65_535

"""Addresses of the form ``ip:port``."""

import re
from ipaddress import AddressValueError, IPv4Address

_PORT = re.compile(r"[0-9]{1,5}")


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_address(address: str) -> bool:
    """Return whether ``address`` is an IPv4 address and a port, both in range."""
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return _PORT.fullmatch(port) is not None and 0 < int(port) <= 65_535

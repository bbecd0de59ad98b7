"""Parsing of ``IP:PORT`` addresses in settings and documents."""

import ipaddress

MAX_PORT = 65_535


def is_address(text: str) -> bool:
    """Return whether the text is an IP address and a port. Port 0 means any port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 <= int(port) <= MAX_PORT
    except ValueError:
        return False


def split_address(text: str) -> tuple[str, int]:
    """Split an address that `is_address` accepts into host and port."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)

"""Addresses as settings and documents write them: ``IP:PORT``."""

import ipaddress

MAX_PORT = 65_535


def is_address(text: str) -> bool:
    """Tell whether the text is an IP address and a port; port 0 is any."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 <= int(port) <= MAX_PORT
    except ValueError:
        return False


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of an address that `is_address` accepts."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)

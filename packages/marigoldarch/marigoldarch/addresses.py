"""Addresses of targets and nodes in text that others have written."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address

from marigoldarch.decimals import parse_whole_number

MAX_PORT = 65_535


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port that can be connected to."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return bool(parse_whole_number(port, MAX_PORT))

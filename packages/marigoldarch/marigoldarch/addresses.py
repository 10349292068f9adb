"""Addresses of targets and nodes in text that others have written."""

from __future__ import annotations

import re

MAX_PORT = 65_535

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_ADDRESS = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}:([0-9]{{1,5}})")


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port that can be connected to."""
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match.group(1)) <= MAX_PORT

"""Splits a stream of bytes into lines; each byte is searched once."""

from __future__ import annotations

import math

from marigoldarch.exceptions import MarigoldarchError


class LineTooLongError(MarigoldarchError):
    """An incomplete line exceeds its bound."""


class LineSplitter:
    """Splits chunks into lines without their ends, and keeps the incomplete line.

    An incomplete line may have `max_bytes` and arrive in `max_pieces` chunks, without that in any
    number of them.
    """

    def __init__(self, max_bytes: int, max_pieces: float = math.inf) -> None:
        self._max_bytes = max_bytes
        self._max_pieces = max_pieces
        self._incomplete_line = bytearray()
        self._pieces = 0

    @property
    def incomplete_bytes(self) -> int:
        """Return the size of the incomplete line."""
        return len(self._incomplete_line)

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add a chunk; return the lines that are complete now."""
        lines = chunk.split(b"\n")
        rest = lines.pop()
        if lines:
            lines[0] = bytes(self._incomplete_line) + lines[0]
            self._incomplete_line.clear()
            self._pieces = 0
        self._incomplete_line += rest
        self._pieces += 1
        return lines

    def check(self) -> None:
        """Raise `LineTooLongError` if the incomplete line exceeds its bound."""
        if len(self._incomplete_line) > self._max_bytes:
            raise LineTooLongError(f"a line exceeds {self._max_bytes} bytes")
        if self._pieces > self._max_pieces:
            raise LineTooLongError(f"a line exceeds {self._max_pieces} chunks")

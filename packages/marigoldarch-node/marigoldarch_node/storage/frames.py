"""Frames of append-only files: magic bytes, the payload length, the CRC-32 of the payload, and the payload."""

from __future__ import annotations

import struct
import zlib

FRAME_MAGIC = b"\xff\xfeMR"
"""The magic bytes that begin each frame; 0xFF and 0xFE never occur in UTF-8, so in no JSON payload."""

MAX_FRAME_BYTES = 256 * 1024 * 1024

_HEADER = struct.Struct("<4sII")
HEADER_BYTES = _HEADER.size


def wrap_payload(payload: bytes) -> bytes:
    """Return a frame with a payload."""
    return _HEADER.pack(FRAME_MAGIC, len(payload), zlib.crc32(payload)) + payload


def find_frame_end(data: bytes, position: int) -> int | None:
    """Return the end of the frame at `position`, or `None` if it is not intact."""
    if position + HEADER_BYTES > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, position)
    end = position + HEADER_BYTES + length
    if magic != FRAME_MAGIC or length > MAX_FRAME_BYTES or end > len(data):
        return None
    payload = memoryview(data)[position + HEADER_BYTES : end]
    return end if zlib.crc32(payload) == checksum else None


def find_intact_frame(data: bytes, position: int) -> int | None:
    """Return where the first intact frame at `position` or after it begins, `None` if there is none.

    Only the positions of magic bytes are tried, so that the search stays linear in the size.
    """
    start = data.find(FRAME_MAGIC, position)
    while start >= 0:
        if find_frame_end(data, start) is not None:
            return start
        start = data.find(FRAME_MAGIC, start + 1)
    return None

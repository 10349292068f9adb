"""The format of the log on disk: frames of a mark, the length, CRC-32 and JSON records.

One frame holds what one sync covers. After a power loss any part of the last frame may be missing,
its start included, and never a part of an earlier one.
"""

from __future__ import annotations

import struct
import zlib
from typing import NamedTuple

import msgspec

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.control.commands import Entry
from marigoldarch.control.configuration import Snapshot
from marigoldarch.effects import LogRecord, TruncateRecord, VoteRecord
from marigoldarch.exceptions import CodecError, DamagedLogError

MARK = b"\xff\xfeMR"
"""Begins each frame. Bytes 0xFF and 0xFE never occur in UTF-8, so no payload contains it."""

MAX_FRAME_BYTES = 256 * 1024 * 1024

_HEADER = struct.Struct("<4sII")
_CLASSES = {cls.__name__: cls for cls in (VoteRecord, TruncateRecord, Snapshot, Entry)}


class Scan(NamedTuple):
    """The records of a file, and the length up to which the file is intact."""

    records: list[LogRecord]
    intact_bytes: int


def encode_frame(records: list[LogRecord]) -> bytes:
    """Return the records of one sync with their header."""
    payload = encode_json([[type(record).__name__, record] for record in records])
    return _HEADER.pack(MARK, len(payload), zlib.crc32(payload)) + payload


def scan_records(data: bytes) -> Scan:
    """Read all records; a torn last frame is left out.

    A frame that is cut short or damaged is a torn one only if no intact frame follows it.
    Raises `DamagedLogError` otherwise, since cutting there would forget acknowledged records.
    """
    records: list[LogRecord] = []
    position = 0
    while position < len(data):
        end = _frame_end(data, position)
        if end is None:
            if _has_intact_frame_after(data, position):
                raise DamagedLogError(f"damaged record at byte {position}")
            return Scan(records, position)
        records += _decode(data[position + _HEADER.size : end], position)
        position = end
    return Scan(records, position)


def _frame_end(data: bytes, position: int) -> int | None:
    if position + _HEADER.size > len(data):
        return None
    mark, length, checksum = _HEADER.unpack_from(data, position)
    end = position + _HEADER.size + length
    if mark != MARK or length > MAX_FRAME_BYTES or end > len(data):
        return None
    payload = memoryview(data)[position + _HEADER.size : end]
    return end if zlib.crc32(payload) == checksum else None


def _has_intact_frame_after(data: bytes, position: int) -> bool:
    """Return whether an intact frame begins after `position`; looks only where a mark stands."""
    start = data.find(MARK, position + 1)
    while start >= 0:
        if _frame_end(data, start) is not None:
            return True
        start = data.find(MARK, start + 1)
    return False


def _decode(payload: bytes, position: int) -> list[LogRecord]:
    try:
        return [msgspec.convert(fields, _CLASSES[name]) for name, fields in decode_json(payload)]
    except (CodecError, KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
        raise DamagedLogError(f"undecodable record at byte {position}: {error}") from error

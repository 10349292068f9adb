"""The format of log records on disk: a mark, the length, CRC-32 and a JSON payload."""

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
"""Begins each record. Bytes 0xFF and 0xFE never occur in UTF-8, so no payload contains it."""

MAX_RECORD_BYTES = 256 * 1024 * 1024

_HEADER = struct.Struct("<4sII")
_CLASSES = {cls.__name__: cls for cls in (VoteRecord, TruncateRecord, Snapshot, Entry)}


class Scan(NamedTuple):
    """The records of a file, and the length up to which the file is intact."""

    records: list[LogRecord]
    intact_bytes: int


def encode_record(record: LogRecord) -> bytes:
    """Return a record with its header."""
    payload = encode_json([type(record).__name__, record])
    return _HEADER.pack(MARK, len(payload), zlib.crc32(payload)) + payload


def scan_records(data: bytes) -> Scan:
    """Read all records; a torn tail is left out.

    A record that is cut short or damaged is a torn tail only if no intact record follows it.
    Raises `DamagedLogError` otherwise, since cutting there would forget acknowledged records.
    """
    records: list[LogRecord] = []
    position = 0
    while position < len(data):
        end = _record_end(data, position)
        if end is None:
            if _has_record_after(data, position):
                raise DamagedLogError(f"damaged record at byte {position}")
            return Scan(records, position)
        records.append(_decode(data[position + _HEADER.size : end], position))
        position = end
    return Scan(records, position)


def _record_end(data: bytes, position: int) -> int | None:
    if position + _HEADER.size > len(data):
        return None
    mark, length, checksum = _HEADER.unpack_from(data, position)
    end = position + _HEADER.size + length
    if mark != MARK or length > MAX_RECORD_BYTES or end > len(data):
        return None
    payload = memoryview(data)[position + _HEADER.size : end]
    return end if zlib.crc32(payload) == checksum else None


def _has_record_after(data: bytes, position: int) -> bool:
    """Return whether an intact record begins after `position`; looks only where a mark stands."""
    start = data.find(MARK, position + 1)
    while start >= 0:
        if _record_end(data, start) is not None:
            return True
        start = data.find(MARK, start + 1)
    return False


def _decode(payload: bytes, position: int) -> LogRecord:
    try:
        name, fields = decode_json(payload)
        return msgspec.convert(fields, _CLASSES[name])
    except (CodecError, KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
        raise DamagedLogError(f"undecodable record at byte {position}: {error}") from error

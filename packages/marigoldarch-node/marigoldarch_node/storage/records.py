"""The format of log records on disk: length, CRC-32 and a JSON payload."""

from __future__ import annotations

import struct
import zlib
from typing import Any, NamedTuple

import msgspec

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.control.commands import Entry
from marigoldarch.effects import LogRecord, TruncateRecord, VoteRecord
from marigoldarch.exceptions import CodecError, DamagedLogError

_HEADER = struct.Struct("<II")
_CLASSES = {cls.__name__: cls for cls in (VoteRecord, TruncateRecord, Entry)}
MAX_RECORD_BYTES = 64 * 1024 * 1024


class Scan(NamedTuple):
    """The records of a file, and the length up to which the file is intact."""

    records: list[LogRecord]
    intact_bytes: int


def encode_record(record: LogRecord) -> bytes:
    """Return a record with its header."""
    payload = encode_json([type(record).__name__, msgspec.to_builtins(record)])
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


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
    length, checksum = _HEADER.unpack_from(data, position)
    end = position + _HEADER.size + length
    if length > MAX_RECORD_BYTES or end > len(data):
        return None
    return end if zlib.crc32(data[position + _HEADER.size : end]) == checksum else None


def _has_record_after(data: bytes, position: int) -> bool:
    return any(
        _record_end(data, start) is not None and data[start : start + 4] != b"\0\0\0\0"
        for start in range(position + 1, len(data) - _HEADER.size)
    )


def _decode(payload: bytes, position: int) -> LogRecord:
    try:
        name, fields = decode_json(payload)
        return msgspec.convert(fields, _CLASSES[name])
    except (CodecError, KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
        raise DamagedLogError(f"undecodable record at byte {position}: {error}") from error


def plain_identity(node: str) -> dict[str, Any]:
    """Return the identity that a data folder of `node` carries."""
    return {"format": 1, "node": node}

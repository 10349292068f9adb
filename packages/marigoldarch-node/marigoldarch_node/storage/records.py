"""The on-disk format of the log: a sequence of frames.

The payload of a frame (`frames`) is a JSON list of records. Each sync covers exactly one frame. After a power loss any part of the last
frame may be missing, including its start, but no part of an earlier frame.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.control.commands import Entry
from marigoldarch.control.configuration import Snapshot
from marigoldarch.effects import LogRecord, TruncateRecord, VoteRecord
from marigoldarch.exceptions import CodecError, DamagedLogError
from marigoldarch_node.storage.frames import (
    HEADER_BYTES,
    find_frame_end,
    find_intact_frame,
    wrap_payload,
)

_RECORD_CLASSES = {cls.__name__: cls for cls in (VoteRecord, TruncateRecord, Snapshot, Entry)}


class Scan(NamedTuple):
    """The intact records of a log file, and the number of bytes that they occupy."""

    records: list[LogRecord]
    intact_bytes: int


def encode_frame(records: list[LogRecord]) -> bytes:
    """Return one frame: a header and the encoded records."""
    return wrap_payload(encode_json([[type(record).__name__, record] for record in records]))


def scan_records(data: bytes) -> Scan:
    """Read all records, except those of a torn last frame.

    An incomplete or damaged frame counts as torn only if an intact one precedes it and none follows.
    Otherwise `DamagedLogError` is raised, since truncating there would lose acknowledged records: the
    first frame is a checkpoint, which replaces the file when it is complete. If it is the first that was
    ever appended, nothing has been acknowledged yet, and a new replica loses nothing.
    """
    records: list[LogRecord] = []
    position = 0
    while position < len(data):
        end = find_frame_end(data, position)
        if end is None:
            if _is_damage(data, position):
                raise DamagedLogError(f"damaged record at byte {position}")
            return Scan(records, position)
        records += _decode_records(data[position + HEADER_BYTES : end], position)
        position = end
    return Scan(records, position)


def _is_damage(data: bytes, position: int) -> bool:
    """Return whether the frame at `position`, which is not intact, is no torn write."""
    return position == 0 or find_intact_frame(data, position + 1) is not None


def _decode_records(payload: bytes, position: int) -> list[LogRecord]:
    try:
        return [
            msgspec.convert(fields, _RECORD_CLASSES[name]) for name, fields in decode_json(payload)
        ]
    except (CodecError, KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
        raise DamagedLogError(f"undecodable record at byte {position}: {error}") from error

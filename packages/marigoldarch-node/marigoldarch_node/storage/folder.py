"""The data folder of a voter: its identity and its write-ahead log."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, BinaryIO

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.control.commands import Entry
from marigoldarch.control.log import Log
from marigoldarch.control.replica import DurableState
from marigoldarch.effects import LogRecord, TruncateRecord, VoteRecord
from marigoldarch.exceptions import CodecError, ForeignDataFolderError, StorageError
from marigoldarch_node.storage.records import encode_record, plain_identity, scan_records

if TYPE_CHECKING:
    from pathlib import Path

IDENTITY_FILE = "identity.json"
LOG_FILE = "log"


class DataFolder:
    """One voter's files. Records count only once `append` has returned."""

    def __init__(self, path: Path, node: str) -> None:
        self._path = path
        self._node = node
        self._file: BinaryIO | None = None

    def open(self) -> DurableState:
        """Check the identity, cut a torn tail, and return the durable state.

        Raises `ForeignDataFolderError`, `DamagedLogError` or `StorageError`.
        """
        try:
            self._path.mkdir(parents=True, exist_ok=True)
            self._check_identity()
            return self._open_log()
        except OSError as error:
            raise StorageError(f"cannot use the data folder: {error.strerror}") from error

    def append(self, records: list[LogRecord]) -> None:
        """Write and sync records; raise `StorageError` when the disk refuses."""
        data = b"".join(encode_record(record) for record in records)
        try:
            self._file.write(data)
            self._file.flush()
            os.fdatasync(self._file.fileno())
        except OSError as error:
            raise StorageError(f"cannot write the log: {error.strerror}") from error

    def close(self) -> None:
        """Close the log."""
        if self._file is not None:
            self._file.close()

    def _check_identity(self) -> None:
        path = self._path / IDENTITY_FILE
        if not path.exists():
            if (self._path / LOG_FILE).exists():
                raise ForeignDataFolderError("the data folder holds a log without an identity")
            self._write_synced(path, encode_json(plain_identity(self._node)))
            return
        try:
            identity = decode_json(path.read_bytes())
        except CodecError as error:
            raise ForeignDataFolderError("the identity of the data folder is damaged") from error
        if identity != plain_identity(self._node):
            raise ForeignDataFolderError(f"the data folder does not belong to {self._node}")

    def _open_log(self) -> DurableState:
        path = self._path / LOG_FILE
        data = path.read_bytes() if path.exists() else b""
        scan = scan_records(data)
        self._file = path.open("ab", buffering=0)
        if scan.intact_bytes < len(data):
            os.truncate(path, scan.intact_bytes)
        os.fsync(self._file.fileno())
        self._sync_folder()
        return replay(scan.records)

    def _write_synced(self, path: Path, data: bytes) -> None:
        with path.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def replay(records: list[LogRecord]) -> DurableState:
    """Return the state that the records lead to."""
    state = DurableState()
    entries: list[Entry] = []
    for record in records:
        match record:
            case VoteRecord():
                state.term, state.voted_for = record.term, record.voted_for
            case TruncateRecord(index=index):
                del entries[index - 1 :]
            case Entry():
                entries.append(record)
    state.log = Log()
    for entry in entries:
        state.log.append(entry)
    return state

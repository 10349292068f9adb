"""The data folder of a replica: its identity and its write-ahead log."""

from __future__ import annotations

import errno
import os
from typing import TYPE_CHECKING

from marigoldarch.control.durable import DurableState, replay
from marigoldarch.exceptions import DiskFullError, ForeignDataFolderError, StorageError
from marigoldarch_node.storage.files import (
    TEMPORARY_SUFFIX,
    replace_file_durably,
    sync_directory,
    write_all,
)
from marigoldarch_node.storage.identity import (
    decode_identity,
    encode_identity,
    new_identity,
)
from marigoldarch_node.storage.records import encode_frame, scan_records

if TYPE_CHECKING:
    from pathlib import Path

    from marigoldarch.effects import LogRecord

IDENTITY_FILE = "identity.json"
LOG_FILE = "log"
DAMAGED_LOG_FILE = "log.damaged"

_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class DataFolder:
    """The files of one replica; records are durable only once `append` or `replace` has returned.

    After a failed write, further writes are refused until `discard_partial_write` has succeeded.
    Opening the folder again after a restart also truncates a partial write.
    """

    def __init__(self, path: Path, node: str, installation: str) -> None:
        self._path = path
        self._node = node
        self._installation = installation
        self._descriptor: int | None = None
        self._has_failed = False
        self._synced_bytes = 0

    def open(self) -> DurableState:
        """Check the identity, truncate a torn tail, and return the durable state.

        Raises `ForeignDataFolderError`, `DamagedLogError` or `StorageError`.
        """
        try:
            self._path.mkdir(parents=True, exist_ok=True)
            replica_id = self._open_identity()
            return self._open_log(replica_id)
        except OSError as error:
            raise _storage_error(error, "cannot use the data folder") from error

    def append(self, records: list[LogRecord]) -> None:
        """Append and sync records; raise `StorageError` if a write or sync fails."""
        data = encode_frame(records)
        self._check_writable()
        try:
            write_all(self._descriptor, data)
            os.fdatasync(self._descriptor)
            self._synced_bytes += len(data)
        except OSError as error:
            self._has_failed = True
            raise _storage_error(error, "cannot write the log") from error

    def replace(self, records: list[LogRecord]) -> None:
        """Replace the whole log by these records, atomically and durably.

        Raises `StorageError` if a write or sync fails.
        """
        data = encode_frame(records)
        self._check_writable()
        path = self._path / LOG_FILE
        try:
            replace_file_durably(path, data)
            os.close(self._descriptor)
            self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
            self._synced_bytes = len(data)
        except OSError as error:
            self._has_failed = True
            raise _storage_error(error, "cannot replace the log") from error

    def discard_partial_write(self) -> None:
        """Truncate the log after its last synced byte, so that a failed write can be retried.

        Raises `StorageError` if that fails too.
        """
        try:
            size = os.fstat(self._descriptor).st_size
            if size > self._synced_bytes:
                os.ftruncate(self._descriptor, self._synced_bytes)
            self._has_failed = False
        except OSError as error:
            raise _storage_error(error, "cannot truncate the log") from error

    def quarantine_damaged_log(self) -> None:
        """Rename a damaged log and delete the identity, so that `open` creates a new replica.

        Raises `StorageError`.
        """
        try:
            os.replace(self._path / LOG_FILE, self._path / DAMAGED_LOG_FILE)
            (self._path / IDENTITY_FILE).unlink(missing_ok=True)
            sync_directory(self._path)
        except OSError as error:
            raise _storage_error(error, "cannot rename the damaged log") from error

    def close(self) -> None:
        """Close the log file; does nothing if it is not open."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _check_writable(self) -> None:
        if self._has_failed or self._descriptor is None:
            raise StorageError(
                "the log cannot be written: it is not open, or an earlier write failed"
            )

    def _open_identity(self) -> str:
        path = self._path / IDENTITY_FILE
        if path.exists():
            return decode_identity(path.read_bytes(), self._installation, self._node).replica_id
        if (self._path / LOG_FILE).exists():
            raise ForeignDataFolderError("the data folder contains a log but no identity file")
        identity = new_identity(self._installation, self._node)
        replace_file_durably(path, encode_identity(identity))
        return identity.replica_id

    def _open_log(self, replica_id: str) -> DurableState:
        path = self._path / LOG_FILE
        (self._path / (LOG_FILE + TEMPORARY_SUFFIX)).unlink(missing_ok=True)
        data = path.read_bytes() if path.exists() else b""
        scan = scan_records(data)
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        if scan.intact_bytes < len(data):
            os.ftruncate(self._descriptor, scan.intact_bytes)
        os.fsync(self._descriptor)
        self._synced_bytes = scan.intact_bytes
        sync_directory(self._path)
        return replay(scan.records, replica_id)


def _storage_error(error: OSError, problem: str) -> StorageError:
    if error.errno in _DISK_FULL_ERRNOS:
        return DiskFullError(f"{problem}: the disk is full")
    return StorageError(f"{problem}: {error.strerror}")

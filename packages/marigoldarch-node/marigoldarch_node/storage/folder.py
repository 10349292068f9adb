"""The data folder of a replica: its identity and its write-ahead log."""

from __future__ import annotations

import errno
import os
from typing import TYPE_CHECKING

from marigoldarch.control.durable import DurableState, replay
from marigoldarch.exceptions import DiskFullError, ForeignDataFolderError, StorageError
from marigoldarch_node.storage.files import NEW_SUFFIX, sync_folder, write_all, write_synced
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
DAMAGED_FILE = "log.damaged"

_FULL = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class DataFolder:
    """One replica's files. Records count only once `append` or `replace` has returned.

    After an error nothing more may be written before `repair` has cut what was written in part, or
    the process has started again, which cuts it too.
    """

    def __init__(self, path: Path, node: str, installation: str) -> None:
        self._path = path
        self._node = node
        self._installation = installation
        self._descriptor: int | None = None
        self._is_broken = False
        self._synced_bytes = 0

    def open(self) -> DurableState:
        """Check the identity, cut a torn tail, and return the durable state.

        Raises `ForeignDataFolderError`, `DamagedLogError` or `StorageError`.
        """
        try:
            self._path.mkdir(parents=True, exist_ok=True)
            replica_id = self._open_identity()
            return self._open_log(replica_id)
        except OSError as error:
            raise _typed(error, "cannot use the data folder") from error

    def append(self, records: list[LogRecord]) -> None:
        """Write and sync records; raise `StorageError` when the disk refuses."""
        data = encode_frame(records)
        self._check_usable()
        try:
            write_all(self._descriptor, data)
            os.fdatasync(self._descriptor)
            self._synced_bytes += len(data)
        except OSError as error:
            self._is_broken = True
            raise _typed(error, "cannot write the log") from error

    def replace(self, records: list[LogRecord]) -> None:
        """Replace the whole log by these records, in one step that lasts."""
        data = encode_frame(records)
        self._check_usable()
        path = self._path / LOG_FILE
        try:
            write_synced(path, data)
            os.close(self._descriptor)
            self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
            self._synced_bytes = len(data)
        except OSError as error:
            self._is_broken = True
            raise _typed(error, "cannot write a snapshot") from error

    def discard_partial_write(self) -> None:
        """Cut what a refused write left in part, so that the write can be tried again.

        Raises `StorageError` when the disk does not allow that either.
        """
        try:
            size = os.fstat(self._descriptor).st_size
            if size > self._synced_bytes:
                os.ftruncate(self._descriptor, self._synced_bytes)
            self._is_broken = False
        except OSError as error:
            raise _typed(error, "cannot cut the log") from error

    def quarantine_damaged_log(self) -> None:
        """Rename a damaged log and drop the identity: the folder begins as a new replica's.

        Raises `StorageError`.
        """
        try:
            os.replace(self._path / LOG_FILE, self._path / DAMAGED_FILE)
            (self._path / IDENTITY_FILE).unlink(missing_ok=True)
            sync_folder(self._path)
        except OSError as error:
            raise _typed(error, "cannot set the damaged log aside") from error

    def close(self) -> None:
        """Close the log."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _check_usable(self) -> None:
        if self._is_broken or self._descriptor is None:
            raise StorageError("the log cannot be written after an earlier error")

    def _open_identity(self) -> str:
        path = self._path / IDENTITY_FILE
        if path.exists():
            return decode_identity(path.read_bytes(), self._installation, self._node).replica_id
        if (self._path / LOG_FILE).exists():
            raise ForeignDataFolderError("the data folder holds a log without an identity")
        identity = new_identity(self._installation, self._node)
        write_synced(path, encode_identity(identity))
        return identity.replica_id

    def _open_log(self, replica_id: str) -> DurableState:
        path = self._path / LOG_FILE
        (self._path / (LOG_FILE + NEW_SUFFIX)).unlink(missing_ok=True)
        data = path.read_bytes() if path.exists() else b""
        scan = scan_records(data)
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        if scan.intact_bytes < len(data):
            os.ftruncate(self._descriptor, scan.intact_bytes)
        os.fsync(self._descriptor)
        self._synced_bytes = scan.intact_bytes
        sync_folder(self._path)
        return replay(scan.records, replica_id)


def _typed(error: OSError, what: str) -> StorageError:
    if error.errno in _FULL:
        return DiskFullError(f"{what}: the disk is full")
    return StorageError(f"{what}: {error.strerror}")

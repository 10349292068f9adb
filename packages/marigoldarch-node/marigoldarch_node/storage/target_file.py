"""The file in which a control host saves the targets that it knows.

Load pattern: all nodes restart at once, and targets announce themselves only every second or so.
Until then a control host uses the targets that it loads from its file. The file is only a hint: it
may be some seconds old, a damaged one is treated as missing, and a request that is sent to a target
that no longer exists is refused by whatever now has its address.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec

from marigoldarch.exceptions import StorageError
from marigoldarch.serving.target_lists import read_targets
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.storage.files import replace_file_durably

if TYPE_CHECKING:
    from pathlib import Path

    from marigoldarch.serving.targets import Target

FILE_NAME = "targets"
CHECKSUM_BYTES = 4

log = EventLog("targets")


class TargetFile:
    """A checksummed file of targets in a control host's data folder."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME

    def save(self, targets: list[Target]) -> None:
        """Replace the file atomically; raise `StorageError` if the write fails."""
        body = msgspec.msgpack.encode(targets)
        try:
            replace_file_durably(self._path, _checksum(body) + body)
        except OSError as error:
            raise StorageError(f"cannot write the target file: {error}") from error

    def load(self) -> list[Target]:
        """Return the sound ones of the saved targets, or an empty list if there is no file.

        Raises `StorageError` if the file is unreadable, damaged, or of an incompatible build.
        """
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return []
        except OSError as error:
            raise StorageError(f"cannot read the target file: {error}") from error
        body = data[CHECKSUM_BYTES:]
        if data[:CHECKSUM_BYTES] != _checksum(body):
            raise StorageError("the target file is damaged: its checksum does not match")
        try:
            saved = read_targets(body, msgspec.msgpack.decode)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise StorageError(f"the target file cannot be decoded: {error}") from error
        if saved.odd and not saved.targets:
            raise StorageError("the target file was written by an incompatible build")
        if saved.odd:
            log.warning("odd targets in the file", odd=saved.odd)
        return saved.targets


def _checksum(body: bytes) -> bytes:
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big")

"""The targets that a control host knew when it last wrote them down.

Load pattern: all nodes start again at once, and targets announce themselves only every second or
so. A control host begins with the targets of its file. The file is a hint: it may be some seconds
old, a damaged one counts as none, and a request for a target that is no more is refused by whoever
has its address now.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec

from marigoldarch.exceptions import StorageError
from marigoldarch.serving.targets import Target
from marigoldarch_node.storage.files import write_synced

if TYPE_CHECKING:
    from pathlib import Path

FILE = "targets"
CHECKSUM_BYTES = 4


class TargetFile:
    """The file in a control host's data folder."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE

    def save(self, targets: list[Target]) -> None:
        """Replace the file; raise `StorageError` when the disk refuses."""
        body = msgspec.msgpack.encode(targets)
        try:
            write_synced(self._path, _checksum(body) + body)
        except OSError as error:
            raise StorageError(f"cannot write the targets: {error}") from error

    def load(self) -> list[Target]:
        """Return the targets of the file, none without a file; raise `StorageError` if it is damaged."""
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return []
        except OSError as error:
            raise StorageError(f"cannot read the targets: {error}") from error
        body = data[CHECKSUM_BYTES:]
        if data[:CHECKSUM_BYTES] != _checksum(body):
            raise StorageError("the file of targets is damaged")
        try:
            return msgspec.msgpack.decode(body, type=list[Target])
        except msgspec.MsgspecError as error:
            raise StorageError(f"the file of targets is of another build: {error}") from error


def _checksum(body: bytes) -> bytes:
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big")

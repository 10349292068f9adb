"""The file in which a control host records that targets leave, before it acknowledges this.

Load pattern: all control hosts lose power right after one has acknowledged that a target leaves. The
target does not announce itself again, or only seconds later, and the file of all targets (`target_file`)
may be older. So each change is appended and synced; one sync covers all that wait for it.
"""

from __future__ import annotations

import os
from contextlib import suppress
from typing import TYPE_CHECKING

import msgspec

from marigoldarch.exceptions import StorageError
from marigoldarch.serving.target_lists import read_targets
from marigoldarch_node.storage.files import replace_file_durably, sync_directory, write_all
from marigoldarch_node.storage.frames import (
    HEADER_BYTES,
    find_frame_end,
    find_intact_frame,
    wrap_payload,
)

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from marigoldarch.serving.targets import Target

FILE_NAME = "departures"

MIN_REWRITE_BYTES = 64 * 1024
"""A smaller file is not worth rewriting."""

GROWTH_BEFORE_REWRITE = 2
"""The file is rewritten when it is so many times as large as after the last time, so that a change costs
the same however many targets are remembered."""


class DepartureFile:
    """An append-only file of announcements by which targets leave, in a control host's data folder."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME
        self._bytes = 0
        self._rewritten_bytes = 0

    @property
    def is_rewrite_due(self) -> bool:
        """Return whether the file should be replaced by what is still remembered."""
        limit = max(MIN_REWRITE_BYTES, GROWTH_BEFORE_REWRITE * self._rewritten_bytes)
        return self._bytes >= limit

    def load(self) -> list[Target]:
        """Return the recorded announcements, oldest first; none of a missing file or a damaged frame.

        Raises `StorageError` if the file cannot be read.
        """
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return []
        except OSError as error:
            raise StorageError(f"cannot read the file of departures: {error}") from error
        self._bytes = len(data)
        targets: list[Target] = []
        position = find_intact_frame(data, 0)
        while position is not None:
            end = find_frame_end(data, position)
            try:
                payload = data[position + HEADER_BYTES : end]
                targets += read_targets(payload, msgspec.msgpack.decode).targets
            except (msgspec.MsgspecError, RecursionError):
                pass  # Of an incompatible build; the other frames hold.
            position = find_intact_frame(data, end)
        return targets

    def append(self, targets: Iterable[Target]) -> None:
        """Add announcements with one sync; raise `StorageError` if the write or the sync fails."""
        frame = _encode(targets)
        try:
            is_new = not self._path.exists()
            descriptor = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
            try:
                self._append_frame(descriptor, frame)
            finally:
                os.close(descriptor)
            if is_new:
                sync_directory(self._path.parent)
        except OSError as error:
            raise StorageError(f"cannot write the file of departures: {error}") from error

    def _append_frame(self, descriptor: int, frame: bytes) -> None:
        """Write and sync a frame; a part that a failed write leaves is cut off again, so that retries take no room."""
        size = os.fstat(descriptor).st_size
        try:
            write_all(descriptor, frame)
            os.fsync(descriptor)
        except OSError:
            with suppress(OSError):
                os.ftruncate(descriptor, size)
            raise
        self._bytes = size + len(frame)

    def replace(self, targets: Iterable[Target]) -> None:
        """Replace the file atomically; raise `StorageError` if the write fails."""
        frame = _encode(targets)
        try:
            replace_file_durably(self._path, frame)
        except OSError as error:
            raise StorageError(f"cannot rewrite the file of departures: {error}") from error
        self._bytes = self._rewritten_bytes = len(frame)


def _encode(targets: Iterable[Target]) -> bytes:
    return wrap_payload(msgspec.msgpack.encode(list(targets)))

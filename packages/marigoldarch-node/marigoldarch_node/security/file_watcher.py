"""Reload keys and certificates when their files change, or on demand."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import trio

from marigoldarch.exceptions import ConfigurationError
from marigoldarch_node.logs import get_logger

POLL_INTERVAL_S = 2.0

log = get_logger("security")

FileFingerprint = tuple[int, int, int]
"""Modification time in nanoseconds, size in bytes, and inode number."""


class WatchedFiles:
    """Files that are reloaded together when one of them has changed."""

    def __init__(self, paths: tuple[Path, ...], reload: Callable[[], None]) -> None:
        self._paths = paths
        self._reload = reload
        self._fingerprints = self._read_fingerprints()

    def check(self, *, is_forced: bool = False) -> None:
        """Reload if a file has changed; if loading fails, the old content stays in use.

        A failed load is not retried until a file changes again or the check is forced.
        """
        fingerprints = self._read_fingerprints()
        if fingerprints == self._fingerprints and not is_forced:
            return
        self._fingerprints = fingerprints
        try:
            self._reload()
        except ConfigurationError as error:
            log.error("Reloading failed, the old keys or certificates stay in use: {}.", error)
            return
        log.info("Keys or certificates were reloaded.")

    def _read_fingerprints(self) -> list[FileFingerprint | None]:
        return [_fingerprint(path) for path in self._paths]


def _fingerprint(path: Path) -> FileFingerprint | None:
    """Return the fingerprint of a file, or `None` if it cannot be examined."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


async def poll_files(watched: list[WatchedFiles]) -> None:
    """Check all files every `POLL_INTERVAL_S` seconds until cancelled."""
    while True:
        await trio.sleep(POLL_INTERVAL_S)
        for files in watched:
            files.check()

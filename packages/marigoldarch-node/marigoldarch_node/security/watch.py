"""Load keys and certificates anew when their files change or on demand."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import trio

from marigoldarch.exceptions import ConfigurationError
from marigoldarch_node.logs import get_logger

POLL_S = 2.0

log = get_logger("security")

FileMark = tuple[int, int, int]


class Watched:
    """Files, and what to do when one of them has changed."""

    def __init__(self, paths: tuple[Path, ...], reload: Callable[[], None]) -> None:
        self._paths = paths
        self._reload = reload
        self._marks = self._read_marks()

    def check(self, *, is_forced: bool = False) -> None:
        """Reload if a file has changed; what cannot be loaded leaves the old in use."""
        marks = self._read_marks()
        if marks == self._marks and not is_forced:
            return
        self._marks = marks
        try:
            self._reload()
        except ConfigurationError as error:
            log.error("Nothing was replaced: {}.", error)
            return
        log.info("Keys or certificates were loaded anew.")

    def _read_marks(self) -> list[FileMark | None]:
        return [_mark(path) for path in self._paths]


def _mark(path: Path) -> FileMark | None:
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino


async def watch(items: list[Watched]) -> None:
    """Check all files at an interval."""
    while True:
        await trio.sleep(POLL_S)
        for item in items:
            item.check()

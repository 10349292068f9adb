"""File operations whose results survive a crash or a power loss."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

TEMPORARY_SUFFIX = ".new"


def replace_file_durably(path: Path, data: bytes) -> None:
    """Replace a file atomically by way of a synced temporary file; raise `OSError`."""
    temporary_path = path.with_name(path.name + TEMPORARY_SUFFIX)
    descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary_path, path)
    sync_directory(path.parent)


def sync_directory(path: Path) -> None:
    """Sync a directory, so that files created or renamed in it survive a power loss."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes, in several calls if needed: a nearly full disk may accept only a part."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]

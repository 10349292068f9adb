"""Writing whole files so that they last."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

NEW_SUFFIX = ".new"


def write_synced(path: Path, data: bytes) -> None:
    """Write a file under another name, sync it, and move it into place; raise `OSError`."""
    new_path = path.with_name(path.name + NEW_SUFFIX)
    descriptor = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(new_path, path)
    sync_folder(path.parent)


def sync_folder(path: Path) -> None:
    """Make the names in a folder last."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes: a nearly full disk may take only some of them at a time."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]

"""Write the log records that the reducer emits, in order and with as few syncs as possible."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.effects import Checkpoint, LogRecord, Persist

if TYPE_CHECKING:
    from marigoldarch_node.storage.folder import DataFolder


def write_batch(folder: DataFolder, batch: list[Persist | Checkpoint]) -> None:
    """Write and sync a batch; records that are appended after the last checkpoint share one sync.

    Raises `StorageError` if a write or sync fails.
    """
    records: list[LogRecord] = []
    for effect in batch:
        match effect:
            case Persist():
                records += effect.records
            case Checkpoint():
                # A checkpoint includes the effect of all earlier records: they need no write.
                records.clear()
                folder.replace(list(effect.records))
    if records:
        folder.append(records)

"""Write what the reducer wants persisted, in its order and with as few syncs as it allows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.effects import Checkpoint, LogRecord, Persist

if TYPE_CHECKING:
    from marigoldarch_node.storage.folder import DataFolder


def write_batch(folder: DataFolder, batch: list[Persist | Checkpoint]) -> None:
    """Write and sync a batch; raise `StorageError` when the disk refuses."""
    records: list[LogRecord] = []
    for effect in batch:
        match effect:
            case Persist():
                records += effect.records
            case Checkpoint():
                # A checkpoint holds all that was written before it.
                records.clear()
                folder.replace(list(effect.records))
    if records:
        folder.append(records)

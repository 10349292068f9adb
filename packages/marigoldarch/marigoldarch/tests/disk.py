"""The in-memory disk of a replica, on which only synced records survive a crash."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.control.configuration import Snapshot
from marigoldarch.control.durable import DurableState, replay
from marigoldarch.effects import Checkpoint, LogRecord, Persist

if TYPE_CHECKING:
    from marigoldarch.clock import Millis


class Write(NamedTuple):
    """A write that becomes durable at `due_ms`, a time of the cluster's clock."""

    due_ms: Millis
    effect: Persist | Checkpoint


class Disk:
    """The synced records of one replica, and its writes in progress."""

    def __init__(self, replica_id: str) -> None:
        self.replica_id = replica_id
        self.records: list[LogRecord] = []
        self.writes: list[Write] = []

    def write(self, effect: Persist | Checkpoint, due_ms: Millis) -> None:
        """Begin a write; writes become durable in the order in which they were begun."""
        if self.writes:
            due_ms = max(due_ms, self.writes[-1].due_ms)
        self.writes.append(Write(due_ms, effect))

    def sync_due(self, now_ms: Millis) -> int | None:
        """Make due writes durable; return the last one's persist id, None if none was due."""
        persist_id = None
        while self.writes and self.writes[0].due_ms <= now_ms:
            write = self.writes.pop(0)
            self._apply(write.effect, len(write.effect.records))
            persist_id = write.effect.persist_id
        return persist_id

    def crash(self, kept_records: int = 0) -> None:
        """Lose the writes in progress except their first `kept_records` records.

        A checkpoint is applied as a whole or not at all.
        """
        for write in self.writes:
            count = len(write.effect.records)
            if isinstance(write.effect, Checkpoint) and kept_records < count:
                break
            self._apply(write.effect, kept_records)
            kept_records -= count
            if kept_records <= 0:
                break
        self.writes.clear()

    def read(self) -> DurableState:
        """Return the state that results from the synced records."""
        return replay(self.records, self.replica_id)

    def _apply(self, effect: Persist | Checkpoint, count: int) -> None:
        records = [_as_written(record) for record in effect.records[:count]]
        if isinstance(effect, Checkpoint):
            self.records = records
        else:
            self.records.extend(records)


def _as_written(record: LogRecord) -> LogRecord:
    """Return a record as it would be read; JSON turns a snapshot's state into built-in types."""
    if isinstance(record, Snapshot):
        return record._replace(state=decode_json(encode_json(record.state)))
    return record

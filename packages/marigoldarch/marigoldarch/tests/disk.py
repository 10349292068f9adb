"""A voter's disk in memory: records count only once they are synced."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.control.commands import Entry
from marigoldarch.control.log import Log
from marigoldarch.control.replica import DurableState
from marigoldarch.effects import LogRecord, Persist, TruncateRecord, VoteRecord

if TYPE_CHECKING:
    from marigoldarch.clock import Millis


class Write(NamedTuple):
    """A write that becomes durable at `due_ms` of the cluster's time."""

    due_ms: Millis
    persist_id: int
    records: tuple[LogRecord, ...]


class Disk:
    """The synced records of one node, and its writes in progress."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.writes: list[Write] = []

    def write(self, effect: Persist, due_ms: Millis) -> None:
        """Begin a write; writes become durable in their order."""
        if self.writes:
            due_ms = max(due_ms, self.writes[-1].due_ms)
        self.writes.append(Write(due_ms, effect.persist_id, effect.records))

    def sync_due(self, now_ms: Millis) -> int | None:
        """Make due writes durable; return the last one's persist id."""
        persist_id = None
        while self.writes and self.writes[0].due_ms <= now_ms:
            write = self.writes.pop(0)
            self.records.extend(write.records)
            persist_id = write.persist_id
        return persist_id

    def crash(self, kept_records: int = 0) -> None:
        """Lose the writes in progress, but for the first `kept_records` records of them."""
        unsynced = [record for write in self.writes for record in write.records]
        self.records.extend(unsynced[:kept_records])
        self.writes.clear()

    def read(self) -> DurableState:
        """Return the state that the synced records describe."""
        state = DurableState()
        entries: list[Entry] = []
        for record in self.records:
            match record:
                case VoteRecord():
                    state.term, state.voted_for = record.term, record.voted_for
                case TruncateRecord(index=index):
                    entries = [entry for entry in entries if entry.index < index]
                case Entry():
                    entries.append(record)
        state.log = Log()
        for entry in entries:
            state.log.append(entry)
        return state

"""What a replica holds of the log: entries, snapshot, configurations, and how far each counts."""

from __future__ import annotations

from typing import Any

from marigoldarch.control.commands import COMMANDS, Configure, Entry
from marigoldarch.control.configuration import Configuration, ConfigurationTrack, Snapshot
from marigoldarch.control.durable import DurableState
from marigoldarch.control.log import Log
from marigoldarch.effects import Checkpoint, LogRecord, Persist, TruncateRecord, VoteRecord
from marigoldarch.settings import ControlSettings


class ReplicaLog:
    """Entries after a snapshot, with the marks of what is durable, committed and applied."""

    def __init__(self, durable: DurableState, settings: ControlSettings) -> None:
        self._settings = settings
        self._entries = durable.log
        self._snapshot = durable.snapshot or Snapshot(0, 0, Configuration(), {})
        self._restored: Snapshot | None = durable.snapshot
        self._configurations = ConfigurationTrack(
            self._snapshot.index, self._snapshot.configuration
        )
        self._log_ms: int = self._snapshot.state.get("log_ms", 0)
        self._commit = self._entries.base_index
        self._applied = self._entries.base_index
        self._durable_index = self._entries.last_index
        self._persist_id = 0
        self._pending: dict[int, tuple[int, int]] = {}
        self._note_entries_from(self._entries.base_index + 1)

    @property
    def entries(self) -> Log:
        """Return the entries that are held in memory."""
        return self._entries

    @property
    def snapshot(self) -> Snapshot:
        """Return the newest snapshot."""
        return self._snapshot

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in effect."""
        return self._configurations.newest

    @property
    def is_configuration_committed(self) -> bool:
        """Return whether the configuration in effect is committed."""
        return self._configurations.newest_index <= self._commit

    @property
    def log_ms(self) -> int:
        """Return the latest of the log's own time on any entry."""
        return self._log_ms

    @property
    def commit_index(self) -> int:
        """Return the highest index known to be committed."""
        return self._commit

    @property
    def applied_index(self) -> int:
        """Return the highest index handed out by `take_committed`."""
        return self._applied

    @property
    def durable_index(self) -> int:
        """Return up to where this replica has synced its entries."""
        return self._durable_index

    @property
    def persist_id(self) -> int:
        """Return the id of the last persist or checkpoint."""
        return self._persist_id

    @property
    def has_pending(self) -> bool:
        """Return whether a persist or checkpoint is not synced yet."""
        return bool(self._pending)

    @property
    def wants_snapshot(self) -> bool:
        """Return whether enough entries were applied since the last snapshot."""
        return self._applied - self._snapshot.index >= self._settings.snapshot_entries

    def append(self, entry: Entry) -> bool:
        """Append the next entry; return whether it changes the configuration."""
        self._entries.append(entry)
        return self._note_entry(entry)

    def merge(self, entries: list[Entry]) -> tuple[LogRecord, ...]:
        """Take a leader's entries in the place of those that differ; return what to persist."""
        records: list[LogRecord] = []
        for entry in entries:
            held_term = self._entries.term_at(entry.index)
            if held_term == entry.term or entry.index <= self._entries.base_index:
                continue
            if held_term is not None:
                self._entries.truncate_from(entry.index)
                self._configurations.truncate_from(entry.index)
                self._durable_index = min(self._durable_index, entry.index - 1)
                records.append(TruncateRecord(entry.index))
            self.append(entry)
            records.append(entry)
        return tuple(records)

    def conflict_hint(self, previous_index: int) -> int:
        """Return the index that a leader should go back to after a mismatch."""
        if previous_index > self._entries.last_index:
            return self._entries.last_index
        first = self._entries.first_index_of_term(previous_index)
        return max(self._entries.base_index, first - 1)

    def commit(self, index: int) -> None:
        """Note that everything up to an index is committed."""
        self._commit = max(self._commit, index)

    def take_committed(self) -> list[Entry]:
        """Hand out the entries that were committed since the last call."""
        entries = self._entries.entries_from(self._applied + 1, self._commit - self._applied)
        self._applied = self._commit
        return entries

    def take_restored(self) -> Snapshot | None:
        """Hand out a snapshot that replaces the state, at most once."""
        snapshot, self._restored = self._restored, None
        return snapshot

    def persist(self, records: tuple[LogRecord, ...]) -> Persist:
        """Return the effect that makes records durable."""
        self._begin_write()
        return Persist(self._persist_id, records)

    def on_persisted(self, persist_id: int) -> None:
        """Count own entries as durable."""
        for pending_id in [key for key in self._pending if key <= persist_id]:
            index, term = self._pending.pop(pending_id)
            if self._entries.term_at(index) == term:
                self._durable_index = max(self._durable_index, index)

    def form(self, configuration: Configuration, vote: VoteRecord) -> Checkpoint:
        """Begin as a replica of a new installation."""
        self._snapshot = Snapshot(0, 0, configuration, {})
        self._configurations = ConfigurationTrack(0, configuration)
        return self._checkpoint(vote)

    def compact(self, state: dict[str, Any], vote: VoteRecord) -> Checkpoint:
        """Replace the log up to the applied index by a snapshot of the state there.

        In memory a tail of entries stays, so that a replica that lags little needs no snapshot.
        """
        index = self._applied
        configuration = self._configurations.at(index)
        self._snapshot = Snapshot(index, self._entries.term_at(index) or 0, configuration, state)
        self._configurations.compact(index)
        tail_index = index - self._settings.log_tail_entries
        self._entries.compact(max(self._entries.base_index, tail_index))
        return self._checkpoint(vote)

    def install(self, snapshot: Snapshot, vote: VoteRecord) -> Checkpoint:
        """Replace the state by a leader's snapshot; keep later entries only if they follow it."""
        if self._entries.term_at(snapshot.index) == snapshot.term:
            self._entries.compact(snapshot.index)
        else:
            self._entries = Log(snapshot.index, snapshot.term)
            self._durable_index = 0
        self._snapshot = snapshot
        self._restored = snapshot
        self._configurations = ConfigurationTrack(snapshot.index, snapshot.configuration)
        self._log_ms = max(self._log_ms, snapshot.state.get("log_ms", 0))
        self._note_entries_from(snapshot.index + 1)
        self._commit = snapshot.index
        self._applied = snapshot.index
        return self._checkpoint(vote)

    def _checkpoint(self, vote: VoteRecord) -> Checkpoint:
        self._begin_write()
        tail = self._entries.entries_from(self._snapshot.index + 1, len(self._entries))
        return Checkpoint(self._persist_id, (vote, self._snapshot, *tail))

    def _begin_write(self) -> None:
        self._persist_id += 1
        self._pending[self._persist_id] = (self._entries.last_index, self._entries.last_term)

    def _note_entries_from(self, index: int) -> None:
        for entry in self._entries.entries_from(index, len(self._entries)):
            self._note_entry(entry)

    def _note_entry(self, entry: Entry) -> bool:
        """Follow the log's time and configuration; return whether the latter has changed."""
        self._log_ms = max(self._log_ms, entry.log_ms)
        if entry.command[0] != Configure.__name__:
            return False
        command = COMMANDS.from_plain(entry.command)
        self._configurations.append(entry.index, command.configuration)
        return True

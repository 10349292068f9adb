"""A replica's log: entries, snapshot, configurations, and the durable and commit indexes."""

from __future__ import annotations

from typing import Any

from marigoldarch.control.commands import COMMANDS, Configure, Entry
from marigoldarch.control.configuration import Configuration, ConfigurationHistory, Snapshot
from marigoldarch.control.durable import DurableState
from marigoldarch.control.log import Log
from marigoldarch.effects import Checkpoint, LogRecord, Persist, TruncateRecord, VoteRecord
from marigoldarch.settings import ControlSettings


class ReplicaLog:
    """The latest snapshot and the entries after it, with durable, commit and applied index."""

    def __init__(self, durable: DurableState, settings: ControlSettings) -> None:
        self._settings = settings
        self._entries = durable.log
        self._snapshot = durable.snapshot or Snapshot(0, 0, Configuration(), {})
        self._snapshot_to_restore: Snapshot | None = durable.snapshot
        self._configurations = ConfigurationHistory(
            self._snapshot.index, self._snapshot.configuration
        )
        self._log_ms: int = self._snapshot.state.get("log_ms", 0)
        self._commit = self._entries.base_index
        self._applied = self._entries.base_index
        self._durable_index = self._entries.last_index
        self._persist_id = 0
        self._pending_writes: dict[int, tuple[int, int]] = {}
        self._track_entries_from(self._entries.base_index + 1)

    @property
    def entries(self) -> Log:
        """Return the entries held in memory."""
        return self._entries

    @property
    def snapshot(self) -> Snapshot:
        """Return the latest snapshot; an empty one of index 0 before the first."""
        return self._snapshot

    @property
    def configuration(self) -> Configuration:
        """Return the latest configuration in the log, committed or not."""
        return self._configurations.latest

    @property
    def is_configuration_committed(self) -> bool:
        """Return whether the latest configuration in the log is committed."""
        return self._configurations.latest_index <= self._commit

    @property
    def log_ms(self) -> int:
        """Return the highest log time of any entry, in milliseconds."""
        return self._log_ms

    @property
    def commit_index(self) -> int:
        """Return the highest index known to be committed."""
        return self._commit

    @property
    def applied_index(self) -> int:
        """Return the highest index that `take_committed` has returned."""
        return self._applied

    @property
    def durable_index(self) -> int:
        """Return the highest index up to which the entries are synced to disk."""
        return self._durable_index

    @property
    def persist_id(self) -> int:
        """Return the id of the last persist or checkpoint effect."""
        return self._persist_id

    @property
    def has_pending_writes(self) -> bool:
        """Return whether a persist or checkpoint effect is not synced yet."""
        return bool(self._pending_writes)

    @property
    def is_snapshot_due(self) -> bool:
        """Return whether `snapshot_entries` entries were applied since the last snapshot."""
        return self._applied - self._snapshot.index >= self._settings.snapshot_entries

    def append(self, entry: Entry) -> bool:
        """Append the next entry; return whether it changes the configuration."""
        self._entries.append(entry)
        return self._track_entry(entry)

    def merge(self, entries: list[Entry]) -> tuple[LogRecord, ...]:
        """Append a leader's entries in place of conflicting ones; return the records to persist."""
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
        """Return the index from which a leader should retry after a mismatch.

        This is the entry before the conflicting term, or the last entry if the log is too short.
        """
        if previous_index > self._entries.last_index:
            return self._entries.last_index
        first = self._entries.first_index_of_term(previous_index)
        return max(self._entries.base_index, first - 1)

    def commit(self, index: int) -> None:
        """Advance the commit index; a lower index is ignored."""
        self._commit = max(self._commit, index)

    def take_committed(self) -> list[Entry]:
        """Return the entries that were committed since the last call."""
        entries = self._entries.entries_from(self._applied + 1, self._commit - self._applied)
        self._applied = self._commit
        return entries

    def take_snapshot_to_restore(self) -> Snapshot | None:
        """Return a snapshot that replaces the state machine's state, or None; each only once."""
        snapshot, self._snapshot_to_restore = self._snapshot_to_restore, None
        return snapshot

    def persist(self, records: tuple[LogRecord, ...]) -> Persist:
        """Return the effect that writes records to disk."""
        self._register_write()
        return Persist(self._persist_id, records)

    def on_persisted(self, persist_id: int) -> None:
        """Advance the durable index by the writes up to `persist_id`."""
        for pending_id in [key for key in self._pending_writes if key <= persist_id]:
            index, term = self._pending_writes.pop(pending_id)
            if self._entries.term_at(index) == term:
                self._durable_index = max(self._durable_index, index)

    def initialize(self, configuration: Configuration, vote: VoteRecord) -> Checkpoint:
        """Initialize the replica with the first configuration of an installation."""
        self._snapshot = Snapshot(0, 0, configuration, {})
        self._configurations = ConfigurationHistory(0, configuration)
        return self._checkpoint(vote)

    def compact(self, state: dict[str, Any], vote: VoteRecord) -> Checkpoint:
        """Replace the log up to the applied index with a snapshot of `state`.

        The last `log_tail_entries` entries stay in memory, so that a replica that lags by no more
        than that needs no snapshot.
        """
        index = self._applied
        configuration = self._configurations.at(index)
        self._snapshot = Snapshot(index, self._entries.term_at(index) or 0, configuration, state)
        self._configurations.compact(index)
        tail_index = index - self._settings.log_tail_entries
        self._entries.compact(max(self._entries.base_index, tail_index))
        return self._checkpoint(vote)

    def install(self, snapshot: Snapshot, vote: VoteRecord) -> Checkpoint:
        """Replace the state with a leader's snapshot; keep later entries only if they follow it."""
        if self._entries.term_at(snapshot.index) == snapshot.term:
            self._entries.compact(snapshot.index)
        else:
            self._entries = Log(snapshot.index, snapshot.term)
            self._durable_index = 0
        self._snapshot = snapshot
        self._snapshot_to_restore = snapshot
        self._configurations = ConfigurationHistory(snapshot.index, snapshot.configuration)
        self._log_ms = max(self._log_ms, snapshot.state.get("log_ms", 0))
        self._track_entries_from(snapshot.index + 1)
        self._commit = snapshot.index
        self._applied = snapshot.index
        return self._checkpoint(vote)

    def _checkpoint(self, vote: VoteRecord) -> Checkpoint:
        self._register_write()
        tail = self._entries.entries_from(self._snapshot.index + 1, len(self._entries))
        return Checkpoint(self._persist_id, (vote, self._snapshot, *tail))

    def _register_write(self) -> None:
        self._persist_id += 1
        self._pending_writes[self._persist_id] = (self._entries.last_index, self._entries.last_term)

    def _track_entries_from(self, index: int) -> None:
        for entry in self._entries.entries_from(index, len(self._entries)):
            self._track_entry(entry)

    def _track_entry(self, entry: Entry) -> bool:
        """Update the log time and the configuration; return whether the entry is a `Configure`."""
        self._log_ms = max(self._log_ms, entry.log_ms)
        if entry.command[0] != Configure.__name__:
            return False
        command = COMMANDS.from_plain(entry.command)
        self._configurations.append(entry.index, command.configuration)
        return True

"""The leader's side of replication: what it knows of the other replicas and sends to them."""

from __future__ import annotations

from dataclasses import dataclass

from marigoldarch.clock import Millis
from marigoldarch.control.configuration import Configuration
from marigoldarch.control.replica_log import ReplicaLog
from marigoldarch.control.snapshots import OutgoingSnapshot
from marigoldarch.effects import Effect, Send
from marigoldarch.identifiers import ReplicaName
from marigoldarch.messages import AppendReply, AppendRequest, SnapshotPiece, SnapshotReply
from marigoldarch.settings import ControlSettings

NEVER_MS: Millis = float("-inf")


@dataclass
class Progress:
    """What a leader knows of one replica; `acked_ms` is when the last answered append was sent."""

    next_index: int
    match_index: int = 0
    acked_ms: Millis = NEVER_MS
    sent_ms: Millis = NEVER_MS
    outgoing: OutgoingSnapshot | None = None
    offset: int = 0


class Replication:
    """The progress of every other replica in one leader's term, and what is sent to each."""

    def __init__(
        self, own: ReplicaName, term: int, store: ReplicaLog, settings: ControlSettings
    ) -> None:
        self._own = own
        self._term = term
        self._store = store
        self._settings = settings
        self._progress: dict[ReplicaName, Progress] = {}

    @property
    def replicas(self) -> list[ReplicaName]:
        """Return the other replicas."""
        return list(self._progress)

    def find(self, replica: ReplicaName) -> Progress | None:
        """Return the progress of a replica of the configuration."""
        return self._progress.get(replica)

    def sync(self, configuration: Configuration, next_index: int, acked_ms: Millis) -> None:
        """Follow a change of the configuration; new replicas begin at `next_index`."""
        self._progress = {
            replica: self._progress.get(replica) or Progress(next_index, acked_ms=acked_ms)
            for replica in configuration.members
            if replica != self._own
        }

    def majority_acked_ms(self, configuration: Configuration, now_ms: Millis) -> Millis:
        """Return since when a majority has certainly followed this leader."""
        acked = [
            now_ms if voter == self._own else self._progress[voter].acked_ms
            for voter in configuration.voters
        ]
        return sorted(acked, reverse=True)[configuration.majority - 1]

    def majority_match(self, configuration: Configuration, durable_index: int) -> int:
        """Return the highest index that a majority holds durably."""
        matches = [
            durable_index if voter == self._own else self._progress[voter].match_index
            for voter in configuration.voters
        ]
        return sorted(matches, reverse=True)[configuration.majority - 1]

    def find_successor(
        self, configuration: Configuration, last_index: int, oldest_ms: Millis
    ) -> ReplicaName | None:
        """Return a voter that holds the whole log and has followed since `oldest_ms`."""
        for voter in configuration.voters:
            progress = self._progress.get(voter)
            if progress is None or progress.acked_ms < oldest_ms:
                continue
            if progress.match_index == last_index:
                return voter
        return None

    def append_where_due(self, now_ms: Millis) -> list[Effect]:
        """Send an append to each replica that got none for an interval."""
        interval = self._settings.append_interval_ms
        return [
            self.append_to(replica, now_ms)
            for replica, progress in self._progress.items()
            if now_ms >= progress.sent_ms + interval
        ]

    def append_to_all(self, now_ms: Millis) -> list[Effect]:
        """Send what is new at once, but to a replica in a snapshot's transfer only when it asks."""
        return [
            self.append_to(replica, now_ms)
            for replica, progress in self._progress.items()
            if progress.outgoing is None
        ]

    def append_to(self, replica: ReplicaName, now_ms: Millis) -> Send:
        """Send a replica the next entries, or the next piece of a snapshot that covers them."""
        progress = self._progress[replica]
        progress.sent_ms = now_ms
        log = self._store.entries
        if progress.next_index <= log.base_index:
            return self._piece_to(replica, progress, now_ms)
        previous = progress.next_index - 1
        entries = log.entries_from(progress.next_index, self._settings.append_batch_entries)
        request = AppendRequest(
            self._term,
            previous,
            log.term_at(previous) or 0,
            entries,
            self._store.commit_index,
            now_ms,
            replica.replica_id,
        )
        progress.next_index += len(entries)
        return Send(replica.node, request)

    def on_append_reply(
        self, replica: ReplicaName, reply: AppendReply, now_ms: Millis
    ) -> list[Effect]:
        """Advance or move back a replica's progress."""
        progress = self._progress.get(replica)
        if progress is None:
            return []
        progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
        if not reply.is_success:
            # A late refusal never moves back behind what the replica has acknowledged.
            hinted = min(progress.next_index - 1, reply.match_index + 1)
            progress.next_index = max(progress.match_index + 1, hinted)
            return [self.append_to(replica, now_ms)]
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        if progress.outgoing and progress.match_index >= progress.outgoing.snapshot.index:
            progress.outgoing = None
        effects = self.advance_commit(now_ms)
        if progress.next_index <= self._store.entries.last_index:
            effects.append(self.append_to(replica, now_ms))
        return effects

    def on_snapshot_reply(
        self, replica: ReplicaName, reply: SnapshotReply, now_ms: Millis
    ) -> list[Effect]:
        """Send the next piece; an answer that was seen before starts no second series."""
        progress = self._progress.get(replica)
        if progress is None:
            return []
        progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
        if progress.outgoing is None or progress.outgoing.snapshot.index != reply.index:
            return []
        if reply.offset == progress.offset:
            return []
        progress.offset = reply.offset
        return [self.append_to(replica, now_ms)]

    def advance_commit(self, now_ms: Millis) -> list[Effect]:
        """Commit what a majority holds, if it is of this term, and tell the replicas."""
        majority = self.majority_match(self._store.configuration, self._store.durable_index)
        is_new = majority > self._store.commit_index
        if not is_new or self._store.entries.term_at(majority) != self._term:
            return []
        self._store.commit(majority)
        return self.append_to_all(now_ms)

    def _piece_to(self, replica: ReplicaName, progress: Progress, now_ms: Millis) -> Send:
        if progress.outgoing is None:
            progress.outgoing = OutgoingSnapshot(self._store.snapshot)
            progress.offset = 0
        outgoing = progress.outgoing
        piece = SnapshotPiece(
            self._term,
            outgoing.snapshot.index,
            outgoing.snapshot.term,
            outgoing.snapshot.configuration,
            outgoing.length,
            progress.offset,
            outgoing.cut(progress.offset, self._settings.snapshot_piece_chars),
            now_ms,
            replica.replica_id,
        )
        return Send(replica.node, piece)

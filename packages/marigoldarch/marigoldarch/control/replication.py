"""The leader's side of replication: the progress of the other replicas and what to send them."""

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
    """The replication progress of one replica, as the leader knows it.

    `acked_ms` is the time at which the latest acknowledged append was sent, `sent_ms` the time of
    the last send. `snapshot_offset` is where the next piece of `outgoing_snapshot` starts.
    """

    next_index: int
    match_index: int = 0
    acked_ms: Millis = NEVER_MS
    sent_ms: Millis = NEVER_MS
    outgoing_snapshot: OutgoingSnapshot | None = None
    snapshot_offset: int = 0


class Replication:
    """The progress of all other replicas during one leader's term, and the messages to them."""

    def __init__(
        self, own_name: ReplicaName, term: int, replica_log: ReplicaLog, settings: ControlSettings
    ) -> None:
        self._own_name = own_name
        self._term = term
        self._replica_log = replica_log
        self._settings = settings
        self._progress: dict[ReplicaName, Progress] = {}

    @property
    def replicas(self) -> list[ReplicaName]:
        """Return the other replicas."""
        return list(self._progress)

    def find(self, replica: ReplicaName) -> Progress | None:
        """Return the progress of a replica, or None if it is no member of the configuration."""
        return self._progress.get(replica)

    def update_members(
        self, configuration: Configuration, next_index: int, acked_ms: Millis
    ) -> None:
        """Track the members of a new configuration; new members start at `next_index`."""
        self._progress = {
            replica: self._progress.get(replica) or Progress(next_index, acked_ms=acked_ms)
            for replica in configuration.members
            if replica != self._own_name
        }

    def majority_acked_ms(self, configuration: Configuration, now_ms: Millis) -> Millis:
        """Return the latest time at which a majority is known to have followed this leader."""
        acked = [
            now_ms if voter == self._own_name else self._progress[voter].acked_ms
            for voter in configuration.voters
        ]
        return sorted(acked, reverse=True)[configuration.majority - 1]

    def majority_match(self, configuration: Configuration, durable_index: int) -> int:
        """Return the highest index that is durable on a majority of the voters."""
        matches = [
            durable_index if voter == self._own_name else self._progress[voter].match_index
            for voter in configuration.voters
        ]
        return sorted(matches, reverse=True)[configuration.majority - 1]

    def find_successor(
        self, configuration: Configuration, last_index: int, oldest_ms: Millis
    ) -> ReplicaName | None:
        """Return a voter that has the whole log and has acknowledged since `oldest_ms`."""
        for voter in configuration.voters:
            progress = self._progress.get(voter)
            if progress is None or progress.acked_ms < oldest_ms:
                continue
            if progress.match_index == last_index:
                return voter
        return None

    def send_due_appends(self, now_ms: Millis) -> list[Effect]:
        """Send an append to each replica that was sent none for `append_interval_ms`."""
        interval_ms = self._settings.append_interval_ms
        return [
            self.send_append(replica, now_ms)
            for replica, progress in self._progress.items()
            if now_ms >= progress.sent_ms + interval_ms
        ]

    def send_append_to_all(self, now_ms: Millis) -> list[Effect]:
        """Send an append to each replica, except to those that are receiving a snapshot.

        A replica that receives a snapshot gets the next piece when it asks for it.
        """
        return [
            self.send_append(replica, now_ms)
            for replica, progress in self._progress.items()
            if progress.outgoing_snapshot is None
        ]

    def send_append(self, replica: ReplicaName, now_ms: Millis) -> Send:
        """Send a replica its next entries, or a snapshot piece if the entries were compacted."""
        progress = self._progress[replica]
        progress.sent_ms = now_ms
        log = self._replica_log.entries
        if progress.next_index <= log.base_index:
            return self._send_snapshot_piece(replica, progress, now_ms)
        previous = progress.next_index - 1
        entries = log.entries_from(progress.next_index, self._settings.append_batch_entries)
        request = AppendRequest(
            self._term,
            previous,
            log.term_at(previous) or 0,
            entries,
            self._replica_log.commit_index,
            now_ms,
            replica.replica_id,
        )
        progress.next_index += len(entries)
        return Send(replica.node, request)

    def on_append_reply(
        self, replica: ReplicaName, reply: AppendReply, now_ms: Millis
    ) -> list[Effect]:
        """Advance a replica's progress, or move its next index back after a refusal."""
        progress = self._progress.get(replica)
        if progress is None:
            return []
        progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
        if not reply.is_success:
            # A refusal that arrives late never moves the next index below what was acknowledged.
            hinted_index = min(progress.next_index - 1, reply.match_index + 1)
            progress.next_index = max(progress.match_index + 1, hinted_index)
            return [self.send_append(replica, now_ms)]
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        if (
            progress.outgoing_snapshot
            and progress.match_index >= progress.outgoing_snapshot.snapshot.index
        ):
            progress.outgoing_snapshot = None
        effects = self.advance_commit(now_ms)
        if progress.next_index <= self._replica_log.entries.last_index:
            effects.append(self.send_append(replica, now_ms))
        return effects

    def on_snapshot_reply(
        self, replica: ReplicaName, reply: SnapshotReply, now_ms: Millis
    ) -> list[Effect]:
        """Send the next piece; ignore a duplicate reply, which would start a second transfer."""
        progress = self._progress.get(replica)
        if progress is None:
            return []
        progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
        if (
            progress.outgoing_snapshot is None
            or progress.outgoing_snapshot.snapshot.index != reply.index
        ):
            return []
        if reply.offset == progress.snapshot_offset:
            return []
        progress.snapshot_offset = reply.offset
        return [self.send_append(replica, now_ms)]

    def advance_commit(self, now_ms: Millis) -> list[Effect]:
        """Commit the entries that a majority holds, and tell the replicas.

        Only an entry of the current term is committed by counting replicas; earlier entries are
        committed with it.
        """
        majority_index = self.majority_match(
            self._replica_log.configuration, self._replica_log.durable_index
        )
        is_new = majority_index > self._replica_log.commit_index
        if not is_new or self._replica_log.entries.term_at(majority_index) != self._term:
            return []
        self._replica_log.commit(majority_index)
        return self.send_append_to_all(now_ms)

    def _send_snapshot_piece(
        self, replica: ReplicaName, progress: Progress, now_ms: Millis
    ) -> Send:
        if progress.outgoing_snapshot is None:
            progress.outgoing_snapshot = OutgoingSnapshot(self._replica_log.snapshot)
            progress.snapshot_offset = 0
        outgoing_snapshot = progress.outgoing_snapshot
        piece = SnapshotPiece(
            self._term,
            outgoing_snapshot.snapshot.index,
            outgoing_snapshot.snapshot.term,
            outgoing_snapshot.snapshot.configuration,
            outgoing_snapshot.length,
            progress.snapshot_offset,
            outgoing_snapshot.text_from(
                progress.snapshot_offset, self._settings.snapshot_piece_chars
            ),
            now_ms,
            replica.replica_id,
        )
        return Send(replica.node, piece)

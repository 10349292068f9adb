"""A replica of the log: elections with pre-vote, replication, commitment and the leader's lease.

After Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014).
"""

from __future__ import annotations

import random
from enum import StrEnum
from typing import Any

from expression import Result

from marigoldarch.clock import Millis
from marigoldarch.control.bootstrap import Bootstrap
from marigoldarch.control.commands import COMMANDS, Command, Configure, Entry, Noop
from marigoldarch.control.configuration import Configuration, ConfigurationTrack, Snapshot
from marigoldarch.control.durable import DurableState
from marigoldarch.control.log import Log
from marigoldarch.control.replication import NEVER_MS, Progress, Replication
from marigoldarch.control.snapshots import IncomingSnapshot, OutgoingSnapshot
from marigoldarch.effects import (
    Checkpoint,
    Effect,
    LogRecord,
    Persist,
    Record,
    Send,
    TruncateRecord,
    VoteRecord,
)
from marigoldarch.identifiers import ReplicaName
from marigoldarch.messages import (
    AppendReply,
    AppendRequest,
    BootstrapQuery,
    BootstrapReply,
    LeadershipTransfer,
    SnapshotPiece,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from marigoldarch.settings import ControlSettings

NO_GRANTS_MS: Millis = -1e9
"""The `grants_end_in_ms` of a replica that knows of no earlier leader."""


class ReplicaRole(StrEnum):
    """The roles of a replica."""

    FOLLOWER = "follower"
    PROBING = "probing"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Replica:
    """One replica of the log: a voter, a learner, or blank and in no configuration yet.

    Each handler returns effects. The owner applies the entries that `take_committed` hands out,
    after restoring the snapshot that `take_restored` hands out.
    """

    def __init__(
        self,
        node: str,
        voters: tuple[str, ...],
        settings: ControlSettings,
        durable: DurableState,
        seed: int,
    ) -> None:
        self._name = ReplicaName(node, durable.replica_id)
        self._settings = settings
        self._random = random.Random(f"{seed}/{node}")
        self._term = durable.term
        self._voted_for = durable.voted_for
        self._log = durable.log
        self._snapshot = durable.snapshot or Snapshot(0, 0, Configuration(), {})
        self._configurations = ConfigurationTrack(
            self._snapshot.index, self._snapshot.configuration
        )
        self._log_ms: int = self._snapshot.state.get("log_ms", 0)
        for entry in self._log.entries_from(self._log.base_index + 1, len(self._log)):
            self._note_entry(entry)
        self._bootstrap = Bootstrap(self._name, voters, settings)
        self._role = ReplicaRole.FOLLOWER
        self._leader = ""
        self._earlier_leader = ""
        self._commit = self._log.base_index
        self._applied = self._log.base_index
        self._durable_index = self._log.last_index
        self._restored: Snapshot | None = durable.snapshot
        self._incoming: IncomingSnapshot | None = None
        self._election_due_ms: Millis = 0.0
        self._leader_contact_ms: Millis = NEVER_MS
        self._grants_end_ms: Millis = NEVER_MS
        self._votes: set[ReplicaName] = set()
        self._replication = Replication(self._name)
        self._led_since_ms: Millis = 0.0
        self._led_since_log_ms = 0
        self._persist_id = 0
        self._pending: dict[int, tuple[int, int]] = {}
        self._has_handed_over = False

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._term

    @property
    def role(self) -> ReplicaRole:
        """Return the current role."""
        return self._role

    @property
    def leader(self) -> str:
        """Return the leader this replica knows of, or an empty string."""
        return self._leader

    @property
    def led_since_ms(self) -> Millis:
        """Return when this replica became leader."""
        return self._led_since_ms

    @property
    def earlier_leader(self) -> str:
        """Return the last other replica that led, as far as this one knows."""
        return self._earlier_leader

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads its term."""
        return self._role is ReplicaRole.LEADER

    @property
    def name(self) -> ReplicaName:
        """Return the name of this replica."""
        return self._name

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in effect."""
        return self._configurations.newest

    @property
    def is_configuration_committed(self) -> bool:
        """Return whether the configuration in effect is committed."""
        return self._configurations.newest_index <= self._commit

    @property
    def is_blank(self) -> bool:
        """Return whether this replica holds nothing of any installation."""
        return not self.configuration.voters and self._log.last_index == 0

    @property
    def grants_end_ms(self) -> Millis:
        """Return when the last earlier leader certainly stopped granting leases."""
        return self._grants_end_ms

    @property
    def log(self) -> Log:
        """Return the log."""
        return self._log

    @property
    def commit_index(self) -> int:
        """Return the highest index known to be committed."""
        return self._commit

    @property
    def applied_index(self) -> int:
        """Return the highest index handed out by `take_committed`."""
        return self._applied

    @property
    def is_caught_up(self) -> bool:
        """Return whether a leader has committed and applied an entry of its own term."""
        return self._log.term_at(self._applied) == self._term

    def has_leader_lease(self, now_ms: Millis) -> bool:
        """Return whether no other replica can have become leader by `now_ms`.

        A majority has acknowledged an append that was sent less than the shortest election timeout
        ago, and a voter that heard from its leader that recently grants no vote.
        """
        if not self.is_leader:
            return False
        horizon = self._settings.election_timeout_min_ms - self._settings.clock_drift_ms
        return now_ms < self._majority_acked_ms(now_ms) + horizon

    def log_ms(self, now_ms: Millis) -> int:
        """Return the log's own time as this leader stamps it on entries."""
        return self._led_since_log_ms + int(now_ms - self._led_since_ms)

    def progress_of(self, replica: ReplicaName) -> Progress | None:
        """Return what this leader knows of another replica."""
        return self._replication.find(replica)

    def start(self, now_ms: Millis) -> list[Effect]:
        """Begin as a follower that first waits for a leader.

        A restart forgets when the leader was last heard from, so it counts as heard from now:
        otherwise a vote given at once could break the leader's lease.
        """
        self._leader_contact_ms = now_ms
        self._grants_end_ms = now_ms + self._settings.election_timeout_min_ms
        self._reset_election_timer(now_ms)
        if self.configuration.voters == (self._name,):
            self._election_due_ms = now_ms
        return []

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Start elections, send heartbeats, and step down when no majority answers."""
        if self.is_blank:
            return self._bootstrap.tick(now_ms) + self._form_installation(now_ms)
        if self.is_leader:
            if now_ms > self._majority_acked_ms(now_ms) + self._settings.election_timeout_max_ms:
                return self._step_down(self._term, now_ms)
            return self._append_where_due(now_ms)
        if now_ms < self._election_due_ms or not self._is_voter:
            return []
        return self._start_probe(now_ms)

    def hand_over(self, now_ms: Millis) -> list[Effect]:
        """Give leadership up, once, to a voter that holds the whole log; for a planned stop.

        The lease ends here, before any vote: voters of a transfer need not wait it out.
        """
        if not self.is_leader or self._has_handed_over:
            return []
        oldest_ms = now_ms - self._settings.election_timeout_min_ms
        successor = self._replication.find_successor(
            self.configuration, self._log.last_index, oldest_ms
        )
        if successor is None:
            return []
        self._has_handed_over = True
        message = LeadershipTransfer(self._term, successor.replica_id)
        effects = self._step_down(self._term, now_ms)
        record = Record("leadership_handed_over", {"term": self._term, "to": successor.node})
        return [*effects, record, Send(successor.node, message)]

    def on_leadership_transfer(
        self, sender: str, message: LeadershipTransfer, now_ms: Millis
    ) -> list[Effect]:
        """Stand for election at once, if nobody has been elected since."""
        if message.to_replica != self._name.replica_id or message.term != self._term:
            return []
        if self._role is not ReplicaRole.FOLLOWER or sender != self._leader or not self._is_voter:
            return []
        return self._start_election(now_ms, is_transfer=True)

    def propose(self, command: Command, now_ms: Millis) -> tuple[int, list[Effect]]:
        """Append a command as leader; return its index and the effects."""
        plain = COMMANDS.to_plain(command)
        entry = Entry(self._log.last_index + 1, self._term, plain, self.log_ms(now_ms))
        self._log.append(entry)
        if self._note_entry(entry):
            self._replication.sync(self.configuration, entry.index, NEVER_MS)
        effects: list[Effect] = [self._persist((entry,))]
        effects += self._append_to_all(now_ms)
        return entry.index, effects

    def take_committed(self) -> list[Entry]:
        """Hand out the entries that were committed since the last call."""
        entries = self._log.entries_from(self._applied + 1, self._commit - self._applied)
        self._applied = self._commit
        return entries

    def take_restored(self) -> Snapshot | None:
        """Hand out a snapshot that replaces the state, at most once."""
        snapshot, self._restored = self._restored, None
        return snapshot

    @property
    def wants_snapshot(self) -> bool:
        """Return whether enough entries were applied since the last snapshot."""
        return self._applied - self._snapshot.index >= self._settings.snapshot_entries

    def save_snapshot(self, state: dict[str, Any]) -> list[Effect]:
        """Replace the log up to the applied index by a snapshot of the state there.

        In memory a tail of entries stays, so that a replica that lags little needs no snapshot.
        """
        index = self._applied
        configuration = self._configurations.at(index)
        self._snapshot = Snapshot(index, self._log.term_at(index) or 0, configuration, state)
        self._configurations.compact(index)
        self._log.compact(max(self._log.base_index, index - self._settings.log_tail_entries))
        return [self._checkpoint(), Record("snapshot_saved", {"index": index})]

    def on_bootstrap_query(self, sender: str, query: BootstrapQuery) -> list[Effect]:
        """Answer the coordinator of a first start."""
        return self._bootstrap.on_query(sender, query) if self.is_blank else []

    def on_bootstrap_reply(
        self, sender: str, reply: BootstrapReply, now_ms: Millis
    ) -> list[Effect]:
        """Form the installation once every listed voter is known to be blank."""
        if not self.is_blank:
            return []
        self._bootstrap.on_reply(sender, reply)
        return self._form_installation(now_ms)

    def on_persisted(self, persist_id: int, now_ms: Millis) -> list[Effect]:
        """Count own entries as durable."""
        for pending_id in [key for key in self._pending if key <= persist_id]:
            index, term = self._pending.pop(pending_id)
            if self._log.term_at(index) == term:
                self._durable_index = max(self._durable_index, index)
        return self._advance_commit(now_ms) if self.is_leader else []

    def on_vote_request(self, sender: str, request: VoteRequest, now_ms: Millis) -> list[Effect]:
        """Grant or refuse a vote; refuse while the leader was heard from recently."""
        if request.to_replica != self._name.replica_id:
            return []
        is_leader_alive = self.is_leader or (
            now_ms < self._leader_contact_ms + self._settings.election_timeout_min_ms
        )
        if is_leader_alive and not request.is_transfer:
            return [self._vote(sender, self._term, request, now_ms, is_granted=False)]
        is_up_to_date = (request.last_term, request.last_index) >= (
            self._log.last_term,
            self._log.last_index,
        )
        if request.is_probe:
            is_granted = is_up_to_date and request.term >= self._term
            # A refusal names the own term, so that a candidate behind it can catch up with it.
            term = request.term if is_granted else self._term
            return [self._vote(sender, term, request, now_ms, is_granted=is_granted)]
        effects: list[Effect] = []
        if request.term > self._term:
            effects += self._step_down(request.term, now_ms)
        candidate = str(ReplicaName(sender, request.from_replica))
        is_granted = (
            request.term == self._term and is_up_to_date and self._voted_for in ("", candidate)
        )
        if not is_granted:
            return [*effects, self._vote(sender, self._term, request, now_ms, is_granted=False)]
        self._voted_for = candidate
        self._reset_election_timer(now_ms)
        effects.append(self._persist((VoteRecord(self._term, candidate),)))
        effects.append(self._vote(sender, self._term, request, now_ms, is_granted=True))
        return effects

    def on_vote_reply(self, sender: str, reply: VoteReply, now_ms: Millis) -> list[Effect]:
        """Count a vote of a voter under the identity that the configuration names."""
        if reply.term > self._term and not reply.is_granted:
            return self._step_down(reply.term, now_ms)
        expected = ReplicaRole.PROBING if reply.is_probe else ReplicaRole.CANDIDATE
        if self._role is not expected or not reply.is_granted:
            return []
        expected_term = self._term + 1 if reply.is_probe else self._term
        voter = ReplicaName(sender, reply.from_replica)
        if reply.term != expected_term or voter not in self.configuration.voters:
            return []
        self._votes.add(voter)
        self._grants_end_ms = max(self._grants_end_ms, now_ms + reply.grants_end_in_ms)
        if len(self._votes) < self.configuration.majority:
            return []
        return self._start_election(now_ms) if reply.is_probe else self._become_leader(now_ms)

    def on_append_request(
        self, sender: str, request: AppendRequest, now_ms: Millis
    ) -> list[Effect]:
        """Take entries from the leader."""
        if request.to_replica != self._name.replica_id:
            return []
        if request.term < self._term:
            return [self._append_reply(sender, request.sent_ms, 0, is_success=False)]
        effects = self._follow(sender, request.term, now_ms)
        previous, entries = request.previous_index, request.entries
        if previous < self._log.base_index:
            # Everything up to the base is committed, so it matches the leader's log.
            entries = [entry for entry in entries if entry.index > self._log.base_index]
            previous = self._log.base_index
        elif self._log.term_at(previous) != request.previous_term:
            hint = self._conflict_hint(previous)
            return [*effects, self._append_reply(sender, request.sent_ms, hint, is_success=False)]
        records = self._merge(entries)
        if records:
            effects.append(self._persist(records))
        match = previous + len(entries)
        self._commit = max(self._commit, min(request.commit, match))
        return [*effects, self._append_reply(sender, request.sent_ms, match, is_success=True)]

    def on_append_reply(self, sender: str, reply: AppendReply, now_ms: Millis) -> list[Effect]:
        """Advance or move back a replica's progress."""
        if reply.term > self._term:
            return self._step_down(reply.term, now_ms)
        replica = ReplicaName(sender, reply.from_replica)
        progress = self._replication.find(replica)
        if not self.is_leader or reply.term != self._term or progress is None:
            return []
        progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
        if not reply.is_success:
            # A late refusal never moves back behind what the replica has acknowledged.
            hinted = min(progress.next_index - 1, reply.match_index + 1)
            progress.next_index = max(progress.match_index + 1, hinted)
            return [self._append_to(replica, now_ms)]
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        if progress.outgoing and progress.match_index >= progress.outgoing.snapshot.index:
            progress.outgoing = None
        effects = self._advance_commit(now_ms)
        if progress.next_index <= self._log.last_index:
            effects.append(self._append_to(replica, now_ms))
        return effects

    def on_snapshot_piece(self, sender: str, piece: SnapshotPiece, now_ms: Millis) -> list[Effect]:
        """Collect a leader's snapshot; install it when it is whole."""
        if piece.to_replica != self._name.replica_id:
            return []
        if piece.term < self._term:
            return [self._append_reply(sender, piece.sent_ms, 0, is_success=False)]
        effects = self._follow(sender, piece.term, now_ms)
        if piece.index <= self._commit:
            reply = self._append_reply(sender, piece.sent_ms, self._commit, is_success=True)
            return [*effects, reply]
        if self._incoming is None or not self._incoming.belongs(piece):
            self._incoming = IncomingSnapshot(piece)
        incoming = self._incoming
        incoming.add(piece)
        if incoming.is_complete:
            self._incoming = None
            match incoming.decode(piece):
                case Result(tag="ok", ok=snapshot):
                    effects += self._install(snapshot)
                    match_index = snapshot.index
                    reply = self._append_reply(sender, piece.sent_ms, match_index, is_success=True)
                    return [*effects, reply]
            incoming = IncomingSnapshot(piece)
        own_id = self._name.replica_id
        reply = SnapshotReply(self._term, piece.index, incoming.offset, piece.sent_ms, own_id)
        return [*effects, Send(sender, reply)]

    def on_snapshot_reply(self, sender: str, reply: SnapshotReply, now_ms: Millis) -> list[Effect]:
        """Send the next piece."""
        if reply.term > self._term:
            return self._step_down(reply.term, now_ms)
        replica = ReplicaName(sender, reply.from_replica)
        progress = self._replication.find(replica)
        if not self.is_leader or reply.term != self._term or progress is None:
            return []
        progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
        if progress.outgoing is None or progress.outgoing.snapshot.index != reply.index:
            return []
        if reply.offset == progress.offset:
            return []
        progress.offset = reply.offset
        return [self._append_to(replica, now_ms)]

    @property
    def _is_voter(self) -> bool:
        return self._name in self.configuration.voters

    def _vote(
        self, sender: str, term: int, request: VoteRequest, now_ms: Millis, *, is_granted: bool
    ) -> Send:
        """Return a vote; one that counts is sent only once it is synced."""
        grants_end_in_ms = max(NO_GRANTS_MS, self._grants_end_ms - now_ms)
        reply = VoteReply(
            term, is_granted, request.is_probe, self._name.replica_id, grants_end_in_ms
        )
        is_counted = is_granted and not request.is_probe
        return Send(sender, reply, after=self._persist_id if is_counted else 0)

    def _append_reply(
        self, sender: str, sent_ms: Millis, match_index: int, *, is_success: bool
    ) -> Send:
        reply = AppendReply(self._term, is_success, match_index, sent_ms, self._name.replica_id)
        after = self._persist_id if is_success and self._pending else 0
        return Send(sender, reply, after)

    def _follow(self, leader: str, term: int, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        if term > self._term or self._role is not ReplicaRole.FOLLOWER:
            effects += self._step_down(term, now_ms)
        self._leader = leader
        self._earlier_leader = leader
        self._leader_contact_ms = now_ms
        grants_end_ms = now_ms + self._settings.election_timeout_min_ms
        self._grants_end_ms = max(self._grants_end_ms, grants_end_ms)
        self._reset_election_timer(now_ms)
        return effects

    def _form_installation(self, now_ms: Millis) -> list[Effect]:
        configuration = self._bootstrap.form()
        if configuration is None:
            return []
        self._snapshot = Snapshot(0, 0, configuration, {})
        self._configurations = ConfigurationTrack(0, configuration)
        self._election_due_ms = now_ms
        return [self._checkpoint(), Record("installation_formed")]

    def _note_entry(self, entry: Entry) -> bool:
        """Follow the log's time and configuration; return whether the latter has changed."""
        self._log_ms = max(self._log_ms, entry.log_ms)
        if entry.command[0] != Configure.__name__:
            return False
        command = COMMANDS.from_plain(entry.command)
        self._configurations.append(entry.index, command.configuration)
        return True

    def _checkpoint(self) -> Checkpoint:
        self._persist_id += 1
        self._pending[self._persist_id] = (self._log.last_index, self._log.last_term)
        first = self._snapshot.index + 1
        tail = self._log.entries_from(first, len(self._log))
        vote = VoteRecord(self._term, self._voted_for)
        return Checkpoint(self._persist_id, (vote, self._snapshot, *tail))

    def _install(self, snapshot: Snapshot) -> list[Effect]:
        if self._log.term_at(snapshot.index) == snapshot.term:
            self._log.compact(snapshot.index)
        else:
            self._log = Log(snapshot.index, snapshot.term)
            self._durable_index = 0
        self._snapshot = snapshot
        self._configurations = ConfigurationTrack(snapshot.index, snapshot.configuration)
        self._log_ms = max(self._log_ms, snapshot.state.get("log_ms", 0))
        for entry in self._log.entries_from(snapshot.index + 1, len(self._log)):
            self._note_entry(entry)
        self._commit = snapshot.index
        self._applied = snapshot.index
        self._restored = snapshot
        return [self._checkpoint(), Record("snapshot_installed", {"index": snapshot.index})]

    def _majority_acked_ms(self, now_ms: Millis) -> Millis:
        return self._replication.majority_acked_ms(self.configuration, now_ms)

    def _reset_election_timer(self, now_ms: Millis) -> None:
        settings = self._settings
        timeout = self._random.uniform(
            settings.election_timeout_min_ms, settings.election_timeout_max_ms
        )
        self._election_due_ms = now_ms + timeout

    def _persist(self, records: tuple[LogRecord, ...]) -> Persist:
        self._persist_id += 1
        self._pending[self._persist_id] = (self._log.last_index, self._log.last_term)
        return Persist(self._persist_id, records)

    def _step_down(self, term: int, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        if term > self._term:
            self._term = term
            self._voted_for = ""
            effects.append(self._persist((VoteRecord(term, ""),)))
        if self.is_leader:
            effects.append(Record("leader_lost", {"term": self._term}))
            self._grants_end_ms = max(self._grants_end_ms, now_ms)
        self._role = ReplicaRole.FOLLOWER
        self._leader = ""
        self._votes.clear()
        self._reset_election_timer(now_ms)
        return effects

    def _start_probe(self, now_ms: Millis) -> list[Effect]:
        self._role = ReplicaRole.PROBING
        self._leader = ""
        self._votes = {self._name}
        self._reset_election_timer(now_ms)
        if self.configuration.majority == 1:
            return self._start_election(now_ms)
        return self._ask_votes(self._term + 1, is_probe=True)

    def _start_election(self, now_ms: Millis, *, is_transfer: bool = False) -> list[Effect]:
        self._role = ReplicaRole.CANDIDATE
        self._term += 1
        self._voted_for = str(self._name)
        self._votes = {self._name}
        self._reset_election_timer(now_ms)
        effects: list[Effect] = [self._persist((VoteRecord(self._term, self._voted_for),))]
        effects.append(Record("election", {"term": self._term}))
        if self.configuration.majority == 1:
            return effects + self._become_leader(now_ms)
        return effects + self._ask_votes(
            self._term, is_probe=False, is_transfer=is_transfer, after=self._persist_id
        )

    def _ask_votes(
        self, term: int, *, is_probe: bool, is_transfer: bool = False, after: int = 0
    ) -> list[Effect]:
        return [
            Send(
                voter.node,
                VoteRequest(
                    term,
                    self._log.last_index,
                    self._log.last_term,
                    is_probe,
                    self._name.replica_id,
                    voter.replica_id,
                    is_transfer,
                ),
                after,
            )
            for voter in self.configuration.voters
            if voter != self._name
        ]

    def _become_leader(self, now_ms: Millis) -> list[Effect]:
        self._role = ReplicaRole.LEADER
        self._led_since_ms = now_ms
        self._led_since_log_ms = self._log_ms
        self._leader = self._name.node
        self._replication = Replication(self._name)
        acked_ms = now_ms - self._settings.election_timeout_min_ms
        self._replication.sync(self.configuration, self._log.last_index + 1, acked_ms)
        # The first entry of an installation tells the other replicas its configuration.
        is_first = self._log.last_index == 0
        _, effects = self.propose(Configure(self.configuration) if is_first else Noop(), now_ms)
        return [Record("leader_elected", {"term": self._term}), *effects]

    def _append_where_due(self, now_ms: Millis) -> list[Effect]:
        interval = self._settings.append_interval_ms
        return [
            self._append_to(replica, now_ms)
            for replica in self._replication.replicas
            if now_ms >= self._replication.find(replica).sent_ms + interval
        ]

    def _append_to_all(self, now_ms: Millis) -> list[Effect]:
        """Send what is new at once, but to a replica in a snapshot's transfer only when it asks."""
        return [
            self._append_to(replica, now_ms)
            for replica in self._replication.replicas
            if self._replication.find(replica).outgoing is None
        ]

    def _append_to(self, replica: ReplicaName, now_ms: Millis) -> Send:
        progress = self._replication.find(replica)
        progress.sent_ms = now_ms
        if progress.next_index <= self._log.base_index:
            return self._piece_to(replica, progress, now_ms)
        previous = progress.next_index - 1
        entries = self._log.entries_from(progress.next_index, self._settings.append_batch_entries)
        request = AppendRequest(
            self._term,
            previous,
            self._log.term_at(previous) or 0,
            entries,
            self._commit,
            now_ms,
            replica.replica_id,
        )
        progress.next_index += len(entries)
        return Send(replica.node, request)

    def _piece_to(self, replica: ReplicaName, progress: Progress, now_ms: Millis) -> Send:
        if progress.outgoing is None:
            progress.outgoing = OutgoingSnapshot(self._snapshot)
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

    def _conflict_hint(self, previous_index: int) -> int:
        if previous_index > self._log.last_index:
            return self._log.last_index
        return max(self._log.base_index, self._log.first_index_of_term(previous_index) - 1)

    def _merge(self, entries: list[Entry]) -> tuple[LogRecord, ...]:
        records: list[LogRecord] = []
        for entry in entries:
            held_term = self._log.term_at(entry.index)
            if held_term == entry.term or entry.index <= self._log.base_index:
                continue
            if held_term is not None:
                self._log.truncate_from(entry.index)
                self._configurations.truncate_from(entry.index)
                self._durable_index = min(self._durable_index, entry.index - 1)
                records.append(TruncateRecord(entry.index))
            self._log.append(entry)
            self._note_entry(entry)
            records.append(entry)
        return tuple(records)

    def _advance_commit(self, now_ms: Millis) -> list[Effect]:
        majority = self._replication.majority_match(self.configuration, self._durable_index)
        if majority > self._commit and self._log.term_at(majority) == self._term:
            self._commit = majority
            return self._append_to_all(now_ms)
        return []

"""A replica of the Raft log: elections with pre-vote, replication, commitment, leader lease.

Follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014).
"""

from __future__ import annotations

import random
from enum import StrEnum
from typing import Any

from expression import Result

from marigoldarch.clock import Millis
from marigoldarch.control.bootstrap import Bootstrap
from marigoldarch.control.commands import COMMANDS, Command, Configure, Entry, Noop
from marigoldarch.control.configuration import Configuration, Snapshot
from marigoldarch.control.durable import DurableState
from marigoldarch.control.log import Log
from marigoldarch.control.replica_log import ReplicaLog
from marigoldarch.control.replication import NEVER_MS, Progress, Replication
from marigoldarch.control.snapshots import IncomingSnapshot
from marigoldarch.effects import (
    Effect,
    RecordEvent,
    Send,
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
"""The `grants_end_in_ms` that a replica reports if it knows of no previous leader."""


class ReplicaRole(StrEnum):
    """The roles of a replica in the current term.

    A pre-candidate asks the voters whether they would vote for it; it has not raised its term yet.
    """

    FOLLOWER = "follower"
    PRE_CANDIDATE = "probing"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Replica:
    """One replica of the log: a voter, a learner, or uninitialized (in no configuration yet).

    Each handler returns the effects to carry out. After each call the owner restores the snapshot
    that `take_snapshot_to_restore` returns, then applies the entries that `take_committed` returns.
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
        self._replica_log = ReplicaLog(durable, settings)
        self._bootstrap = Bootstrap(self._name, voters, settings)
        self._role = ReplicaRole.FOLLOWER
        self._leader = ""
        self._previous_leader = ""
        self._incoming_snapshot: IncomingSnapshot | None = None
        self._election_due_ms: Millis = 0.0
        self._leader_contact_ms: Millis = NEVER_MS
        self._grants_end_ms: Millis = NEVER_MS
        self._votes: set[ReplicaName] = set()
        self._replication = Replication(self._name, self._term, self._replica_log, self._settings)
        self._leader_since_ms: Millis = 0.0
        self._leader_since_log_ms = 0
        self._has_transferred_leadership = False

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
        """Return the node of the current leader, or an empty string if it is unknown."""
        return self._leader

    @property
    def leader_since_ms(self) -> Millis:
        """Return the time at which this replica last became leader, in milliseconds."""
        return self._leader_since_ms

    @property
    def previous_leader(self) -> str:
        """Return the node of the last other leader this replica followed, or an empty string."""
        return self._previous_leader

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader of its current term."""
        return self._role is ReplicaRole.LEADER

    @property
    def name(self) -> ReplicaName:
        """Return the node and the replica id of this replica."""
        return self._name

    @property
    def configuration(self) -> Configuration:
        """Return the latest configuration in the log, committed or not."""
        return self._replica_log.configuration

    @property
    def is_configuration_committed(self) -> bool:
        """Return whether the latest configuration in the log is committed."""
        return self._replica_log.is_configuration_committed

    @property
    def is_uninitialized(self) -> bool:
        """Return whether this replica has neither a configuration nor log entries."""
        return not self.configuration.voters and self.log.last_index == 0

    @property
    def grants_end_ms(self) -> Millis:
        """Return the time by which every previous leader has stopped granting leases."""
        return self._grants_end_ms

    @property
    def log(self) -> Log:
        """Return the log entries held in memory."""
        return self._replica_log.entries

    @property
    def commit_index(self) -> int:
        """Return the highest index known to be committed."""
        return self._replica_log.commit_index

    @property
    def applied_index(self) -> int:
        """Return the highest index that `take_committed` has returned."""
        return self._replica_log.applied_index

    @property
    def is_caught_up(self) -> bool:
        """Return whether an entry of the current term has been applied.

        A leader for which this holds has applied every entry committed in earlier terms.
        """
        return self.log.term_at(self.applied_index) == self._term

    def has_leader_lease(self, now_ms: Millis) -> bool:
        """Return whether no other replica can have become leader by `now_ms`.

        A majority has acknowledged an append that was sent less than the minimum election timeout
        ago (less the clock drift), and a voter that heard from its leader within that time refuses
        its vote.
        """
        if not self.is_leader:
            return False
        lease_ms = self._settings.election_timeout_min_ms - self._settings.clock_drift_ms
        return now_ms < self._majority_acked_ms(now_ms) + lease_ms

    def log_ms(self, now_ms: Millis) -> int:
        """Return the log time that this leader stamps on an entry proposed at `now_ms`."""
        return self._leader_since_log_ms + int(now_ms - self._leader_since_ms)

    def progress_of(self, replica: ReplicaName) -> Progress | None:
        """Return the replication progress of another replica, or None if it is no member."""
        return self._replication.find(replica)

    def start(self, now_ms: Millis) -> list[Effect]:
        """Start as a follower that waits for a leader for one election timeout.

        The time of the last contact with the leader is not stored, so a restart counts as contact:
        a vote granted right after the restart could elect a second leader while the lease of the
        first still runs. A single voter starts an election at its first tick.
        """
        self._leader_contact_ms = now_ms
        self._grants_end_ms = now_ms + self._settings.election_timeout_min_ms
        self._reset_election_timer(now_ms)
        if self.configuration.voters == (self._name,):
            self._election_due_ms = now_ms
        return []

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Start due elections, send due appends, and step down if no majority acknowledges."""
        if self.is_uninitialized:
            return self._bootstrap.tick(now_ms) + self._form_installation(now_ms)
        if self.is_leader:
            if now_ms > self._majority_acked_ms(now_ms) + self._settings.election_timeout_max_ms:
                return self._step_down(self._term, now_ms)
            return self._replication.send_due_appends(now_ms)
        if now_ms < self._election_due_ms or not self._is_voter:
            return []
        return self._start_pre_vote(now_ms)

    def transfer_leadership(self, now_ms: Millis) -> list[Effect]:
        """Step down, once, in favour of a voter that holds the whole log; for a planned stop.

        The leader lease ends here, before any vote is granted, so voters in a transfer grant their
        vote without waiting for the lease to run out.
        """
        if not self.is_leader or self._has_transferred_leadership:
            return []
        oldest_ms = now_ms - self._settings.election_timeout_min_ms
        successor = self._replication.find_successor(
            self.configuration, self.log.last_index, oldest_ms
        )
        if successor is None:
            return []
        self._has_transferred_leadership = True
        message = LeadershipTransfer(self._term, successor.replica_id)
        effects = self._step_down(self._term, now_ms)
        record = RecordEvent("leadership_handed_over", {"term": self._term, "to": successor.node})
        return [*effects, record, Send(successor.node, message)]

    def on_leadership_transfer(
        self, sender: str, message: LeadershipTransfer, now_ms: Millis
    ) -> list[Effect]:
        """Start an election at once, unless the sender no longer leads the current term."""
        if message.to_replica != self._name.replica_id or message.term != self._term:
            return []
        if self._role is not ReplicaRole.FOLLOWER or sender != self._leader or not self._is_voter:
            return []
        return self._start_election(now_ms, is_transfer=True)

    def propose(self, command: Command, now_ms: Millis) -> tuple[int, list[Effect]]:
        """Append a command as leader; return its log index and the effects."""
        encoded = COMMANDS.to_plain(command)
        entry = Entry(self.log.last_index + 1, self._term, encoded, self.log_ms(now_ms))
        if self._replica_log.append(entry):
            self._replication.update_members(self.configuration, entry.index, NEVER_MS)
        effects: list[Effect] = [self._replica_log.persist((entry,))]
        effects += self._replication.send_append_to_all(now_ms)
        return entry.index, effects

    def take_committed(self) -> list[Entry]:
        """Return the entries that were committed since the last call."""
        return self._replica_log.take_committed()

    def take_snapshot_to_restore(self) -> Snapshot | None:
        """Return a snapshot that replaces the state machine's state, or None; each only once."""
        return self._replica_log.take_snapshot_to_restore()

    @property
    def is_snapshot_due(self) -> bool:
        """Return whether `snapshot_entries` entries were applied since the last snapshot."""
        return self._replica_log.is_snapshot_due

    def save_snapshot(self, state: dict[str, Any]) -> list[Effect]:
        """Replace the log up to the applied index with a snapshot of `state`."""
        record = RecordEvent("snapshot_saved", {"index": self.applied_index})
        return [self._replica_log.compact(state, self._vote_record), record]

    def on_bootstrap_query(self, sender: str, query: BootstrapQuery) -> list[Effect]:
        """Answer the bootstrap coordinator, if this replica is uninitialized."""
        return self._bootstrap.on_query(sender, query) if self.is_uninitialized else []

    def on_bootstrap_reply(
        self, sender: str, reply: BootstrapReply, now_ms: Millis
    ) -> list[Effect]:
        """Form the installation once every listed voter is known to be uninitialized."""
        if not self.is_uninitialized:
            return []
        self._bootstrap.on_reply(sender, reply)
        return self._form_installation(now_ms)

    def on_persisted(self, persist_id: int, now_ms: Millis) -> list[Effect]:
        """Mark the entries of a finished write as durable, and commit what that allows."""
        self._replica_log.on_persisted(persist_id)
        return self._replication.advance_commit(now_ms) if self.is_leader else []

    def on_vote_request(self, sender: str, request: VoteRequest, now_ms: Millis) -> list[Effect]:
        """Grant or refuse a vote or pre-vote.

        Refuses while the leader was in contact within the minimum election timeout, except during
        a leadership transfer.
        """
        if request.to_replica != self._name.replica_id:
            return []
        is_leader_alive = self.is_leader or (
            now_ms < self._leader_contact_ms + self._settings.election_timeout_min_ms
        )
        if is_leader_alive and not request.is_transfer:
            return [self._vote_reply(sender, self._term, request, now_ms, is_granted=False)]
        is_up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.is_probe:
            is_granted = is_up_to_date and request.term >= self._term
            # A refusal carries this replica's term, so that a candidate with a lower one adopts it.
            term = request.term if is_granted else self._term
            return [self._vote_reply(sender, term, request, now_ms, is_granted=is_granted)]
        effects: list[Effect] = []
        if request.term > self._term:
            effects += self._step_down(request.term, now_ms)
        candidate = str(ReplicaName(sender, request.from_replica))
        is_granted = (
            request.term == self._term and is_up_to_date and self._voted_for in ("", candidate)
        )
        if not is_granted:
            return [
                *effects,
                self._vote_reply(sender, self._term, request, now_ms, is_granted=False),
            ]
        self._voted_for = candidate
        self._reset_election_timer(now_ms)
        effects.append(self._replica_log.persist((self._vote_record,)))
        effects.append(self._vote_reply(sender, self._term, request, now_ms, is_granted=True))
        return effects

    def on_vote_reply(self, sender: str, reply: VoteReply, now_ms: Millis) -> list[Effect]:
        """Count a vote or pre-vote, if the configuration lists the sender under its replica id."""
        if reply.term > self._term and not reply.is_granted:
            return self._step_down(reply.term, now_ms)
        expected = ReplicaRole.PRE_CANDIDATE if reply.is_probe else ReplicaRole.CANDIDATE
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
        """Append the leader's entries, or refuse them if the preceding entry does not match."""
        if request.to_replica != self._name.replica_id:
            return []
        if request.term < self._term:
            return [self._append_reply(sender, request.sent_ms, 0, is_success=False)]
        effects = self._follow_leader(sender, request.term, now_ms)
        previous, entries = request.previous_index, request.entries
        if previous < self.log.base_index:
            # Entries up to the base index are committed, so they match the leader's log.
            entries = [entry for entry in entries if entry.index > self.log.base_index]
            previous = self.log.base_index
        elif self.log.term_at(previous) != request.previous_term:
            hint = self._replica_log.conflict_hint(previous)
            return [*effects, self._append_reply(sender, request.sent_ms, hint, is_success=False)]
        records = self._replica_log.merge(entries)
        if records:
            effects.append(self._replica_log.persist(records))
        match = previous + len(entries)
        self._replica_log.commit(min(request.commit, match))
        return [*effects, self._append_reply(sender, request.sent_ms, match, is_success=True)]

    def on_append_reply(self, sender: str, reply: AppendReply, now_ms: Millis) -> list[Effect]:
        """Update the progress of a replica that answered an append; step down on a higher term."""
        if reply.term > self._term:
            return self._step_down(reply.term, now_ms)
        if not self.is_leader or reply.term != self._term:
            return []
        replica = ReplicaName(sender, reply.from_replica)
        return self._replication.on_append_reply(replica, reply, now_ms)

    def on_snapshot_piece(self, sender: str, piece: SnapshotPiece, now_ms: Millis) -> list[Effect]:
        """Collect the pieces of a leader's snapshot; install it when it is complete."""
        if piece.to_replica != self._name.replica_id:
            return []
        if piece.term < self._term:
            return [self._append_reply(sender, piece.sent_ms, 0, is_success=False)]
        effects = self._follow_leader(sender, piece.term, now_ms)
        if piece.index <= self.commit_index:
            reply = self._append_reply(sender, piece.sent_ms, self.commit_index, is_success=True)
            return [*effects, reply]
        if self._incoming_snapshot is None or not self._incoming_snapshot.is_same_transfer(piece):
            self._incoming_snapshot = IncomingSnapshot(piece)
        incoming = self._incoming_snapshot
        incoming.add(piece)
        if incoming.is_complete:
            self._incoming_snapshot = None
            match incoming.decode(piece):
                case Result(tag="ok", ok=snapshot):
                    effects.append(self._replica_log.install(snapshot, self._vote_record))
                    effects.append(RecordEvent("snapshot_installed", {"index": snapshot.index}))
                    match_index = snapshot.index
                    reply = self._append_reply(sender, piece.sent_ms, match_index, is_success=True)
                    return [*effects, reply]
            incoming = IncomingSnapshot(piece)
        own_id = self._name.replica_id
        reply = SnapshotReply(self._term, piece.index, incoming.offset, piece.sent_ms, own_id)
        return [*effects, Send(sender, reply)]

    def on_snapshot_reply(self, sender: str, reply: SnapshotReply, now_ms: Millis) -> list[Effect]:
        """Send the next snapshot piece; step down on a higher term."""
        if reply.term > self._term:
            return self._step_down(reply.term, now_ms)
        if not self.is_leader or reply.term != self._term:
            return []
        replica = ReplicaName(sender, reply.from_replica)
        return self._replication.on_snapshot_reply(replica, reply, now_ms)

    @property
    def _vote_record(self) -> VoteRecord:
        return VoteRecord(self._term, self._voted_for)

    @property
    def _is_voter(self) -> bool:
        return self._name in self.configuration.voters

    def _vote_reply(
        self, sender: str, term: int, request: VoteRequest, now_ms: Millis, *, is_granted: bool
    ) -> Send:
        """Return a vote reply; a granted vote is sent only after it is synced to disk."""
        grants_end_in_ms = max(NO_GRANTS_MS, self._grants_end_ms - now_ms)
        reply = VoteReply(
            term, is_granted, request.is_probe, self._name.replica_id, grants_end_in_ms
        )
        is_counted = is_granted and not request.is_probe
        return Send(
            sender, reply, after_persist_id=self._replica_log.persist_id if is_counted else 0
        )

    def _append_reply(
        self, sender: str, sent_ms: Millis, match_index: int, *, is_success: bool
    ) -> Send:
        reply = AppendReply(self._term, is_success, match_index, sent_ms, self._name.replica_id)
        after_persist_id = (
            self._replica_log.persist_id
            if is_success and self._replica_log.has_pending_writes
            else 0
        )
        return Send(sender, reply, after_persist_id)

    def _follow_leader(self, leader: str, term: int, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        if term > self._term or self._role is not ReplicaRole.FOLLOWER:
            effects += self._step_down(term, now_ms)
        self._leader = leader
        self._previous_leader = leader
        self._leader_contact_ms = now_ms
        grants_end_ms = now_ms + self._settings.election_timeout_min_ms
        self._grants_end_ms = max(self._grants_end_ms, grants_end_ms)
        self._reset_election_timer(now_ms)
        return effects

    def _form_installation(self, now_ms: Millis) -> list[Effect]:
        configuration = self._bootstrap.first_configuration()
        if configuration is None:
            return []
        self._election_due_ms = now_ms
        checkpoint = self._replica_log.initialize(configuration, self._vote_record)
        return [checkpoint, RecordEvent("installation_formed")]

    def _majority_acked_ms(self, now_ms: Millis) -> Millis:
        return self._replication.majority_acked_ms(self.configuration, now_ms)

    def _reset_election_timer(self, now_ms: Millis) -> None:
        settings = self._settings
        timeout_ms = self._random.uniform(
            settings.election_timeout_min_ms, settings.election_timeout_max_ms
        )
        self._election_due_ms = now_ms + timeout_ms

    def _step_down(self, term: int, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        if term > self._term:
            self._term = term
            self._voted_for = ""
            effects.append(self._replica_log.persist((self._vote_record,)))
        if self.is_leader:
            effects.append(RecordEvent("leader_lost", {"term": self._term}))
            self._grants_end_ms = max(self._grants_end_ms, now_ms)
        self._role = ReplicaRole.FOLLOWER
        self._leader = ""
        self._votes.clear()
        self._reset_election_timer(now_ms)
        return effects

    def _start_pre_vote(self, now_ms: Millis) -> list[Effect]:
        self._role = ReplicaRole.PRE_CANDIDATE
        self._leader = ""
        self._votes = {self._name}
        self._reset_election_timer(now_ms)
        if self.configuration.majority == 1:
            return self._start_election(now_ms)
        return self._request_votes(self._term + 1, is_probe=True)

    def _start_election(self, now_ms: Millis, *, is_transfer: bool = False) -> list[Effect]:
        self._role = ReplicaRole.CANDIDATE
        self._term += 1
        self._voted_for = str(self._name)
        self._votes = {self._name}
        self._reset_election_timer(now_ms)
        effects: list[Effect] = [self._replica_log.persist((self._vote_record,))]
        effects.append(RecordEvent("election", {"term": self._term}))
        if self.configuration.majority == 1:
            return effects + self._become_leader(now_ms)
        return effects + self._request_votes(
            self._term,
            is_probe=False,
            is_transfer=is_transfer,
            after_persist_id=self._replica_log.persist_id,
        )

    def _request_votes(
        self, term: int, *, is_probe: bool, is_transfer: bool = False, after_persist_id: int = 0
    ) -> list[Effect]:
        return [
            Send(
                voter.node,
                VoteRequest(
                    term,
                    self.log.last_index,
                    self.log.last_term,
                    is_probe,
                    self._name.replica_id,
                    voter.replica_id,
                    is_transfer,
                ),
                after_persist_id,
            )
            for voter in self.configuration.voters
            if voter != self._name
        ]

    def _become_leader(self, now_ms: Millis) -> list[Effect]:
        self._role = ReplicaRole.LEADER
        self._leader_since_ms = now_ms
        self._leader_since_log_ms = self._replica_log.log_ms
        self._leader = self._name.node
        self._replication = Replication(self._name, self._term, self._replica_log, self._settings)
        acked_ms = now_ms - self._settings.election_timeout_min_ms
        self._replication.update_members(self.configuration, self.log.last_index + 1, acked_ms)
        # The first entry of an installation carries the configuration to the other replicas.
        is_first = self.log.last_index == 0
        _, effects = self.propose(Configure(self.configuration) if is_first else Noop(), now_ms)
        return [RecordEvent("leader_elected", {"term": self._term}), *effects]

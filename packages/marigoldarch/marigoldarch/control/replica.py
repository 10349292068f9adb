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
        self._store = ReplicaLog(durable, settings)
        self._bootstrap = Bootstrap(self._name, voters, settings)
        self._role = ReplicaRole.FOLLOWER
        self._leader = ""
        self._earlier_leader = ""
        self._incoming: IncomingSnapshot | None = None
        self._election_due_ms: Millis = 0.0
        self._leader_contact_ms: Millis = NEVER_MS
        self._grants_end_ms: Millis = NEVER_MS
        self._votes: set[ReplicaName] = set()
        self._replication = Replication(self._name, self._term, self._store, self._settings)
        self._led_since_ms: Millis = 0.0
        self._led_since_log_ms = 0
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
        return self._store.configuration

    @property
    def is_configuration_committed(self) -> bool:
        """Return whether the configuration in effect is committed."""
        return self._store.is_configuration_committed

    @property
    def is_blank(self) -> bool:
        """Return whether this replica holds nothing of any installation."""
        return not self.configuration.voters and self.log.last_index == 0

    @property
    def grants_end_ms(self) -> Millis:
        """Return when the last earlier leader certainly stopped granting leases."""
        return self._grants_end_ms

    @property
    def log(self) -> Log:
        """Return the log."""
        return self._store.entries

    @property
    def commit_index(self) -> int:
        """Return the highest index known to be committed."""
        return self._store.commit_index

    @property
    def applied_index(self) -> int:
        """Return the highest index handed out by `take_committed`."""
        return self._store.applied_index

    @property
    def is_caught_up(self) -> bool:
        """Return whether a leader has committed and applied an entry of its own term."""
        return self.log.term_at(self.applied_index) == self._term

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
            return self._replication.append_where_due(now_ms)
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
            self.configuration, self.log.last_index, oldest_ms
        )
        if successor is None:
            return []
        self._has_handed_over = True
        message = LeadershipTransfer(self._term, successor.replica_id)
        effects = self._step_down(self._term, now_ms)
        record = RecordEvent("leadership_handed_over", {"term": self._term, "to": successor.node})
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
        entry = Entry(self.log.last_index + 1, self._term, plain, self.log_ms(now_ms))
        if self._store.append(entry):
            self._replication.sync(self.configuration, entry.index, NEVER_MS)
        effects: list[Effect] = [self._store.persist((entry,))]
        effects += self._replication.append_to_all(now_ms)
        return entry.index, effects

    def take_committed(self) -> list[Entry]:
        """Hand out the entries that were committed since the last call."""
        return self._store.take_committed()

    def take_restored(self) -> Snapshot | None:
        """Hand out a snapshot that replaces the state, at most once."""
        return self._store.take_restored()

    @property
    def wants_snapshot(self) -> bool:
        """Return whether enough entries were applied since the last snapshot."""
        return self._store.wants_snapshot

    def save_snapshot(self, state: dict[str, Any]) -> list[Effect]:
        """Replace the log up to the applied index by a snapshot of the state there."""
        record = RecordEvent("snapshot_saved", {"index": self.applied_index})
        return [self._store.compact(state, self._vote_record), record]

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
        self._store.on_persisted(persist_id)
        return self._replication.advance_commit(now_ms) if self.is_leader else []

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
            self.log.last_term,
            self.log.last_index,
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
        effects.append(self._store.persist((self._vote_record,)))
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
        if previous < self.log.base_index:
            # Everything up to the base is committed, so it matches the leader's log.
            entries = [entry for entry in entries if entry.index > self.log.base_index]
            previous = self.log.base_index
        elif self.log.term_at(previous) != request.previous_term:
            hint = self._store.conflict_hint(previous)
            return [*effects, self._append_reply(sender, request.sent_ms, hint, is_success=False)]
        records = self._store.merge(entries)
        if records:
            effects.append(self._store.persist(records))
        match = previous + len(entries)
        self._store.commit(min(request.commit, match))
        return [*effects, self._append_reply(sender, request.sent_ms, match, is_success=True)]

    def on_append_reply(self, sender: str, reply: AppendReply, now_ms: Millis) -> list[Effect]:
        """Advance or move back a replica's progress."""
        if reply.term > self._term:
            return self._step_down(reply.term, now_ms)
        if not self.is_leader or reply.term != self._term:
            return []
        replica = ReplicaName(sender, reply.from_replica)
        return self._replication.on_append_reply(replica, reply, now_ms)

    def on_snapshot_piece(self, sender: str, piece: SnapshotPiece, now_ms: Millis) -> list[Effect]:
        """Collect a leader's snapshot; install it when it is whole."""
        if piece.to_replica != self._name.replica_id:
            return []
        if piece.term < self._term:
            return [self._append_reply(sender, piece.sent_ms, 0, is_success=False)]
        effects = self._follow(sender, piece.term, now_ms)
        if piece.index <= self.commit_index:
            reply = self._append_reply(sender, piece.sent_ms, self.commit_index, is_success=True)
            return [*effects, reply]
        if self._incoming is None or not self._incoming.belongs(piece):
            self._incoming = IncomingSnapshot(piece)
        incoming = self._incoming
        incoming.add(piece)
        if incoming.is_complete:
            self._incoming = None
            match incoming.decode(piece):
                case Result(tag="ok", ok=snapshot):
                    effects.append(self._store.install(snapshot, self._vote_record))
                    effects.append(RecordEvent("snapshot_installed", {"index": snapshot.index}))
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

    def _vote(
        self, sender: str, term: int, request: VoteRequest, now_ms: Millis, *, is_granted: bool
    ) -> Send:
        """Return a vote; one that counts is sent only once it is synced."""
        grants_end_in_ms = max(NO_GRANTS_MS, self._grants_end_ms - now_ms)
        reply = VoteReply(
            term, is_granted, request.is_probe, self._name.replica_id, grants_end_in_ms
        )
        is_counted = is_granted and not request.is_probe
        return Send(sender, reply, after_persist_id=self._store.persist_id if is_counted else 0)

    def _append_reply(
        self, sender: str, sent_ms: Millis, match_index: int, *, is_success: bool
    ) -> Send:
        reply = AppendReply(self._term, is_success, match_index, sent_ms, self._name.replica_id)
        after_persist_id = self._store.persist_id if is_success and self._store.has_pending else 0
        return Send(sender, reply, after_persist_id)

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
        self._election_due_ms = now_ms
        checkpoint = self._store.form(configuration, self._vote_record)
        return [checkpoint, RecordEvent("installation_formed")]

    def _majority_acked_ms(self, now_ms: Millis) -> Millis:
        return self._replication.majority_acked_ms(self.configuration, now_ms)

    def _reset_election_timer(self, now_ms: Millis) -> None:
        settings = self._settings
        timeout = self._random.uniform(
            settings.election_timeout_min_ms, settings.election_timeout_max_ms
        )
        self._election_due_ms = now_ms + timeout

    def _step_down(self, term: int, now_ms: Millis) -> list[Effect]:
        effects: list[Effect] = []
        if term > self._term:
            self._term = term
            self._voted_for = ""
            effects.append(self._store.persist((self._vote_record,)))
        if self.is_leader:
            effects.append(RecordEvent("leader_lost", {"term": self._term}))
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
        effects: list[Effect] = [self._store.persist((self._vote_record,))]
        effects.append(RecordEvent("election", {"term": self._term}))
        if self.configuration.majority == 1:
            return effects + self._become_leader(now_ms)
        return effects + self._ask_votes(
            self._term,
            is_probe=False,
            is_transfer=is_transfer,
            after_persist_id=self._store.persist_id,
        )

    def _ask_votes(
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
        self._led_since_ms = now_ms
        self._led_since_log_ms = self._store.log_ms
        self._leader = self._name.node
        self._replication = Replication(self._name, self._term, self._store, self._settings)
        acked_ms = now_ms - self._settings.election_timeout_min_ms
        self._replication.sync(self.configuration, self.log.last_index + 1, acked_ms)
        # The first entry of an installation tells the other replicas its configuration.
        is_first = self.log.last_index == 0
        _, effects = self.propose(Configure(self.configuration) if is_first else Noop(), now_ms)
        return [RecordEvent("leader_elected", {"term": self._term}), *effects]

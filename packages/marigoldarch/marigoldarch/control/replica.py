"""A replica of the log: elections with pre-vote, replication, commitment and the leader's lease.

After Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum

from marigoldarch.clock import Millis
from marigoldarch.control.commands import COMMANDS, Command, Entry, Noop
from marigoldarch.control.log import Log
from marigoldarch.effects import (
    Effect,
    LogRecord,
    Persist,
    Record,
    Send,
    TruncateRecord,
    VoteRecord,
)
from marigoldarch.messages import AppendReply, AppendRequest, VoteReply, VoteRequest
from marigoldarch.settings import ControlSettings


class ReplicaRole(StrEnum):
    """The roles of a replica."""

    FOLLOWER = "follower"
    PROBING = "probing"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass
class Progress:
    """What a leader knows of a follower; `acked_ms` is when the last answered append was sent."""

    next_index: int
    match_index: int = 0
    acked_ms: Millis = float("-inf")
    sent_ms: Millis = float("-inf")


@dataclass
class DurableState:
    """What a replica reads back from its disk."""

    term: int = 0
    voted_for: str = ""
    log: Log = field(default_factory=Log)


class Replica:
    """One voter of the replicated log.

    Each handler returns effects. The owner applies the entries that `take_committed` hands out.
    """

    def __init__(
        self,
        node: str,
        voters: tuple[str, ...],
        settings: ControlSettings,
        durable: DurableState,
        seed: int,
    ) -> None:
        self._node = node
        self._voters = voters
        self._settings = settings
        self._random = random.Random(f"{seed}/{node}")
        self._term = durable.term
        self._voted_for = durable.voted_for
        self._log = durable.log
        self._role = ReplicaRole.FOLLOWER
        self._leader = ""
        self._earlier_leader = ""
        self._commit = durable.log.base_index
        self._applied = durable.log.base_index
        self._durable_index = durable.log.last_index
        self._election_due_ms: Millis = 0.0
        self._leader_contact_ms: Millis = float("-inf")
        self._votes: set[str] = set()
        self._progress: dict[str, Progress] = {}
        self._persist_id = 0
        self._pending: dict[int, tuple[int, int]] = {}
        self._led_since_ms: Millis = 0.0

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
    def earlier_leader(self) -> str:
        """Return the last other replica that led, as far as this one knows."""
        return self._earlier_leader

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads its term."""
        return self._role is ReplicaRole.LEADER

    @property
    def led_since_ms(self) -> Millis:
        """Return when this replica became leader."""
        return self._led_since_ms

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

    def start(self, now_ms: Millis) -> list[Effect]:
        """Begin as a follower that first waits for a leader."""
        self._reset_election_timer(now_ms)
        if len(self._voters) == 1:
            self._election_due_ms = now_ms
        return []

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Start elections, send heartbeats, and step down when no majority answers."""
        if self.is_leader:
            if now_ms > self._majority_acked_ms(now_ms) + self._settings.election_timeout_max_ms:
                return self._step_down(self._term, now_ms)
            return self._append_where_due(now_ms)
        if now_ms < self._election_due_ms:
            return []
        return self._start_probe(now_ms)

    def propose(self, command: Command, now_ms: Millis) -> tuple[int, list[Effect]]:
        """Append a command as leader; return its index and the effects."""
        entry = Entry(self._log.last_index + 1, self._term, COMMANDS.to_plain(command))
        self._log.append(entry)
        effects: list[Effect] = [self._persist((entry,))]
        effects += self._append_to_all(now_ms)
        return entry.index, effects

    def take_committed(self) -> list[Entry]:
        """Hand out the entries that were committed since the last call."""
        entries = self._log.entries_from(self._applied + 1, self._commit - self._applied)
        self._applied = self._commit
        return entries

    def on_persisted(self, persist_id: int, now_ms: Millis) -> list[Effect]:
        """Count own entries as durable."""
        for pending_id in [key for key in self._pending if key <= persist_id]:
            index, term = self._pending.pop(pending_id)
            if self._log.term_at(index) == term:
                self._durable_index = max(self._durable_index, index)
        return self._advance_commit(now_ms) if self.is_leader else []

    def on_vote_request(self, sender: str, request: VoteRequest, now_ms: Millis) -> list[Effect]:
        """Grant or refuse a vote; refuse while the leader was heard from recently."""
        is_leader_alive = self.is_leader or (
            now_ms < self._leader_contact_ms + self._settings.election_timeout_min_ms
        )
        if is_leader_alive:
            return [Send(sender, VoteReply(self._term, False, request.is_probe))]
        is_up_to_date = (request.last_term, request.last_index) >= (
            self._log.last_term,
            self._log.last_index,
        )
        if request.is_probe:
            is_granted = is_up_to_date and request.term >= self._term
            return [Send(sender, VoteReply(request.term, is_granted, True))]
        effects: list[Effect] = []
        if request.term > self._term:
            effects += self._step_down(request.term, now_ms)
        is_granted = (
            request.term == self._term and is_up_to_date and self._voted_for in ("", sender)
        )
        if not is_granted:
            return [*effects, Send(sender, VoteReply(self._term, False, False))]
        self._voted_for = sender
        self._reset_election_timer(now_ms)
        effects.append(self._persist((VoteRecord(self._term, sender),)))
        effects.append(Send(sender, VoteReply(self._term, True, False), after=self._persist_id))
        return effects

    def on_vote_reply(self, sender: str, reply: VoteReply, now_ms: Millis) -> list[Effect]:
        """Count a vote."""
        if reply.term > self._term and not reply.is_granted:
            return self._step_down(reply.term, now_ms)
        expected = ReplicaRole.PROBING if reply.is_probe else ReplicaRole.CANDIDATE
        if self._role is not expected or not reply.is_granted:
            return []
        expected_term = self._term + 1 if reply.is_probe else self._term
        if reply.term != expected_term:
            return []
        self._votes.add(sender)
        if not self._is_majority(len(self._votes)):
            return []
        return self._start_election(now_ms) if reply.is_probe else self._become_leader(now_ms)

    def on_append_request(
        self, sender: str, request: AppendRequest, now_ms: Millis
    ) -> list[Effect]:
        """Take entries from the leader."""
        if request.term < self._term:
            return [Send(sender, AppendReply(self._term, False, 0, request.sent_ms))]
        effects: list[Effect] = []
        if request.term > self._term or self._role is not ReplicaRole.FOLLOWER:
            effects += self._step_down(request.term, now_ms)
        self._leader = sender
        self._earlier_leader = sender
        self._leader_contact_ms = now_ms
        self._reset_election_timer(now_ms)
        if self._log.term_at(request.previous_index) != request.previous_term:
            hint = self._conflict_hint(request.previous_index)
            effects.append(Send(sender, AppendReply(self._term, False, hint, request.sent_ms)))
            return effects
        records = self._merge(request.entries)
        if records:
            effects.append(self._persist(records))
        match = request.previous_index + len(request.entries)
        self._commit = max(self._commit, min(request.commit, match))
        reply = AppendReply(self._term, True, match, request.sent_ms)
        effects.append(Send(sender, reply, after=self._persist_id if self._pending else 0))
        return effects

    def on_append_reply(self, sender: str, reply: AppendReply, now_ms: Millis) -> list[Effect]:
        """Advance or move back a follower's progress."""
        if reply.term > self._term:
            return self._step_down(reply.term, now_ms)
        progress = self._progress.get(sender)
        if not self.is_leader or reply.term != self._term or progress is None:
            return []
        progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
        if not reply.is_success:
            progress.next_index = max(1, min(progress.next_index - 1, reply.match_index + 1))
            return [self._append_to(sender, now_ms)]
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        effects = self._advance_commit(now_ms)
        if progress.next_index <= self._log.last_index:
            effects.append(self._append_to(sender, now_ms))
        return effects

    def _others(self) -> list[str]:
        return [voter for voter in self._voters if voter != self._node]

    def _is_majority(self, count: int) -> bool:
        return count > len(self._voters) // 2

    def _majority_acked_ms(self, now_ms: Millis) -> Millis:
        acked = [progress.acked_ms for progress in self._progress.values()] + [now_ms]
        return sorted(acked, reverse=True)[len(self._voters) // 2]

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
        self._role = ReplicaRole.FOLLOWER
        self._leader = ""
        self._votes.clear()
        self._progress.clear()
        self._reset_election_timer(now_ms)
        return effects

    def _start_probe(self, now_ms: Millis) -> list[Effect]:
        self._role = ReplicaRole.PROBING
        self._leader = ""
        self._votes = {self._node}
        self._reset_election_timer(now_ms)
        if self._is_majority(1):
            return self._start_election(now_ms)
        return self._ask_votes(self._term + 1, is_probe=True)

    def _start_election(self, now_ms: Millis) -> list[Effect]:
        self._role = ReplicaRole.CANDIDATE
        self._term += 1
        self._voted_for = self._node
        self._votes = {self._node}
        self._reset_election_timer(now_ms)
        effects: list[Effect] = [self._persist((VoteRecord(self._term, self._node),))]
        effects.append(Record("election", {"term": self._term}))
        if self._is_majority(1):
            return effects + self._become_leader(now_ms)
        return effects + self._ask_votes(self._term, is_probe=False, after=self._persist_id)

    def _ask_votes(self, term: int, *, is_probe: bool, after: int = 0) -> list[Effect]:
        request = VoteRequest(term, self._log.last_index, self._log.last_term, is_probe)
        return [Send(voter, request, after) for voter in self._others()]

    def _become_leader(self, now_ms: Millis) -> list[Effect]:
        self._role = ReplicaRole.LEADER
        self._leader = self._node
        self._led_since_ms = now_ms
        following = self._log.last_index + 1
        self._progress = {
            voter: Progress(following, acked_ms=now_ms - self._settings.election_timeout_min_ms)
            for voter in self._others()
        }
        _, effects = self.propose(Noop(), now_ms)
        return [Record("leader_elected", {"term": self._term}), *effects]

    def _append_where_due(self, now_ms: Millis) -> list[Effect]:
        interval = self._settings.append_interval_ms
        return [
            self._append_to(voter, now_ms)
            for voter, progress in self._progress.items()
            if now_ms >= progress.sent_ms + interval
        ]

    def _append_to_all(self, now_ms: Millis) -> list[Effect]:
        return [self._append_to(voter, now_ms) for voter in self._progress]

    def _append_to(self, voter: str, now_ms: Millis) -> Send:
        progress = self._progress[voter]
        progress.sent_ms = now_ms
        previous = progress.next_index - 1
        entries = self._log.entries_from(progress.next_index, self._settings.append_batch_entries)
        previous_term = self._log.term_at(previous) or 0
        request = AppendRequest(self._term, previous, previous_term, entries, self._commit, now_ms)
        progress.next_index += len(entries)
        return Send(voter, request)

    def _conflict_hint(self, previous_index: int) -> int:
        if previous_index > self._log.last_index:
            return self._log.last_index
        return self._log.first_index_of_term(previous_index) - 1

    def _merge(self, entries: list[Entry]) -> tuple[LogRecord, ...]:
        records: list[LogRecord] = []
        for entry in entries:
            held_term = self._log.term_at(entry.index)
            if held_term == entry.term or entry.index <= self._log.base_index:
                continue
            if held_term is not None:
                self._log.truncate_from(entry.index)
                self._durable_index = min(self._durable_index, entry.index - 1)
                records.append(TruncateRecord(entry.index))
            self._log.append(entry)
            records.append(entry)
        return tuple(records)

    def _advance_commit(self, now_ms: Millis) -> list[Effect]:
        matches = [progress.match_index for progress in self._progress.values()]
        matches = sorted([*matches, self._durable_index], reverse=True)
        majority = matches[len(self._voters) // 2]
        if majority > self._commit and self._log.term_at(majority) == self._term:
            self._commit = majority
            return self._append_to_all(now_ms)
        return []

"""The oracle of declarations: the answers to changes, and the revisions that nodes act on."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from marigoldarch.tests.cluster import MemoryCluster

ACCEPTED_STATUSES = ("in_force", "committed")


class Change(NamedTuple):
    """A change of a team's declaration, as an operator sent it."""

    change_id: str
    team: str
    base_revision: int


@dataclass
class DeclarationOracle:
    """What was observed of declarations; checks compare nodes with these records only.

    `changes` holds changes by id, `requests` their ids by request id, and `answers` the status and
    revision of each answered change. `in_force_revision` is the highest that was reported in force.
    `acting_revisions` holds the last revision that each node acted on, `change_at_revision` the
    change id of each team's revisions.
    """

    changes: dict[str, Change] = field(default_factory=dict)
    requests: dict[str, str] = field(default_factory=dict)
    answers: dict[str, tuple[str, int]] = field(default_factory=dict)
    in_force_revision: int = 0
    acting_revisions: dict[str, int] = field(default_factory=dict)
    change_at_revision: dict[tuple[str, int], str] = field(default_factory=dict)

    def add_answer(self, request_id: str, body: dict[str, Any]) -> None:
        """Add an answer to an operator, and check it against earlier answers."""
        change = self.changes[self.requests[request_id]]
        status, revision = body["status"], body["revision"]
        if status == "conflict":
            self._set_answer(change, "conflict", 0)
            self._check_conflict(change, body)
        elif status in ACCEPTED_STATUSES and revision:
            self._set_answer(change, "won", revision)
            self._check_only_winner(change)
        if status == "in_force":
            self.in_force_revision = max(self.in_force_revision, revision)

    def check(self, cluster: MemoryCluster) -> None:
        """Check that nodes act on every change in force, and never on an older revision than before.

        A node may act while it runs and holds its session lease.
        """
        for name in cluster.running:
            member = cluster.nodes[name].state.control.member
            self._check_content(member.view.teams)
            if not member.has_lease(cluster.local_ms(name)):
                continue
            revision = member.view.revision
            in_force = self.in_force_revision
            assert revision >= in_force, f"{name} acts on {revision}, but {in_force} is in force"
            previous = self.acting_revisions.get(name, 0)
            assert revision >= previous, f"{name} went back from {previous} to {revision}"
            self.acting_revisions[name] = revision

    def _set_answer(self, change: Change, status: str, revision: int) -> None:
        first = self.answers.setdefault(change.change_id, (status, revision))
        assert first == (status, revision), f"{change}: first {first}, then {status} {revision}"

    def _check_conflict(self, change: Change, body: dict[str, Any]) -> None:
        if body["winner"]:
            winner = self.changes[body["winner"]]
            assert winner.team == change.team, f"{change} lost to {winner} of another team"
            self._set_answer(winner, "won", body["revision"])

    def _check_only_winner(self, change: Change) -> None:
        winners = [
            other.change_id
            for other in self.changes.values()
            if (other.team, other.base_revision) == (change.team, change.base_revision)
            and self.answers.get(other.change_id, ("", 0))[0] == "won"
        ]
        assert winners == [
            change.change_id
        ], f"several changes won with the same base revision: {winners}"

    def _check_content(self, teams: dict[str, Any]) -> None:
        for team, state in teams.items():
            change_id = self.change_at_revision.setdefault((team, state.revision), state.change_id)
            assert (
                change_id == state.change_id
            ), f"{team} at revision {state.revision} is {change_id} on one node, {state} on another"
            # Every change declares one model, named after the change.
            assert (
                state.change_id in state.declaration.models
            ), f"{state} does not hold the declaration of its change"

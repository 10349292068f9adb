"""The oracle of declarations: which changes were answered how, and what nodes act on."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from marigoldarch.tests.cluster import MemoryCluster

WON = ("in_force", "committed")


class Change(NamedTuple):
    """A change as its operator sent it."""

    change_id: str
    team: str
    base_revision: int


@dataclass
class DeclarationOracle:
    """Facts of declarations; every check is against these lists alone."""

    changes: dict[str, Change] = field(default_factory=dict)
    requests: dict[str, str] = field(default_factory=dict)
    answers: dict[str, tuple[str, int]] = field(default_factory=dict)
    in_force: int = 0
    acted_on: dict[str, int] = field(default_factory=dict)
    content: dict[tuple[str, int], str] = field(default_factory=dict)

    def answer(self, request_id: str, body: dict[str, Any]) -> None:
        """Add an operator's answer, and check it against the others."""
        change = self.changes[self.requests[request_id]]
        status, revision = body["status"], body["revision"]
        if status == "conflict":
            self._set_answer(change, "conflict", 0)
            self._check_conflict(change, body)
        elif status in WON and revision:
            self._set_answer(change, "won", revision)
            self._check_only_winner(change)
        if status == "in_force":
            self.in_force = max(self.in_force, revision)

    def check(self, cluster: MemoryCluster) -> None:
        """Check that every node that may act does so on all that is in force, and never goes back.

        A node may act while it runs and holds its configuration lease.
        """
        for name in cluster.running:
            member = cluster.nodes[name].state.control.member
            self._check_content(member.view.teams)
            if not member.has_lease(cluster.local_ms(name)):
                continue
            revision = member.view.revision
            assert revision >= self.in_force, f"{name} acts on {revision}, not {self.in_force}"
            before = self.acted_on.get(name, 0)
            assert revision >= before, f"{name} went back from {before} to {revision}"
            self.acted_on[name] = revision

    def _set_answer(self, change: Change, status: str, revision: int) -> None:
        first = self.answers.setdefault(change.change_id, (status, revision))
        assert first == (status, revision), f"{change}: first {first}, then {status} {revision}"

    def _check_conflict(self, change: Change, body: dict[str, Any]) -> None:
        if body["winner"]:
            winner = self.changes[body["winner"]]
            assert winner.team == change.team, f"{change} lost to {winner} of another team"
            self._set_answer(winner, "won", body["revision"])

    def _check_only_winner(self, change: Change) -> None:
        rivals = [
            other.change_id
            for other in self.changes.values()
            if (other.team, other.base_revision) == (change.team, change.base_revision)
            and self.answers.get(other.change_id, ("", 0))[0] == "won"
        ]
        assert rivals == [change.change_id], f"several changes won with equal numbers: {rivals}"

    def _check_content(self, teams: dict[str, Any]) -> None:
        for team, state in teams.items():
            known = self.content.setdefault((team, state.revision), state.change_id)
            assert known == state.change_id, f"{team} at {state.revision}: {known}, {state}"
            assert state.change_id in state.declaration.models, f"{state} has other content"

"""Fuzzing of declarations: every node acts on a change reported in force, and none reverts."""

from __future__ import annotations

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from marigoldarch.effects import Effect, OperatorReply
from marigoldarch.events import DeclareRequested
from marigoldarch.tests.fuzz.declaration_oracle import Change, DeclarationOracle
from marigoldarch.tests.fuzz.machine import CI_SETTINGS, NUMBERS, STATISTICS, ClusterMachine

TEAMS = ("guild", "vetting")
TIMEOUT_MS = 6000.0


class DeclarationMachine(ClusterMachine):
    """Operators send competing and repeated changes to any node; one node has no replica."""

    node_count = 4

    def prepare(self) -> None:
        """Create an empty oracle."""
        self.oracle = DeclarationOracle()
        self.request_count = 0
        self.cluster.observers.append(self._observe)

    @rule(number=NUMBERS, team=st.sampled_from(TEAMS), age=st.integers(0, 1))
    def declare(self, number: int, team: str, age: int) -> None:
        """Send a new change, based on the team's newest known revision or on the one before."""
        name = self.running_name(number)
        if name is None:
            return
        revisions = [
            0,
            *sorted(rev for owner, rev in self.oracle.change_at_revision if owner == team),
        ]
        change_id = f"c{len(self.oracle.changes) + 1}"
        base_revision = revisions[max(0, len(revisions) - 1 - age)]
        self.oracle.changes[change_id] = Change(change_id, team, base_revision)
        self._request(name, change_id)

    @rule(number=NUMBERS, other=NUMBERS, team=st.sampled_from(TEAMS))
    def race(self, number: int, other: int, team: str) -> None:
        """Send two changes of one team that are based on the same revision."""
        self.declare(number, team, 0)
        self.declare(other, team, 0)

    @rule(number=NUMBERS, which=NUMBERS)
    def resend(self, number: int, which: int) -> None:
        """Send one of the last changes again, perhaps through another node."""
        name = self.running_name(number)
        if name is not None and self.oracle.changes:
            change_ids = list(self.oracle.changes)
            self._request(name, change_ids[-1 - which % len(change_ids)])

    def check(self) -> None:
        """Check the guarantees of declarations."""
        self.oracle.check(self.cluster)

    def is_recovered(self) -> bool:
        """Return whether a last change was answered, and all nodes have leases and one revision."""
        name = self.cluster.running[0]
        if "last" not in self.oracle.changes:
            self.oracle.changes["last"] = Change("last", "last-team", 0)
            self._request(name, "last")
        if "last" not in self.oracle.answers:
            self._request(name, "last")
            return False
        nodes = self.cluster.nodes
        members = {name: node.state.control.member for name, node in nodes.items()}
        local_ms = self.cluster.local_ms
        have_leases = all(member.has_lease(local_ms(name)) for name, member in members.items())
        return have_leases and len({member.view.revision for member in members.values()}) == 1

    def _request(self, name: str, change_id: str) -> None:
        self.request_count += 1
        change = self.oracle.changes[change_id]
        request_id = f"op{self.request_count}"
        self.oracle.requests[request_id] = change_id
        declaration = {"team": change.team, "models": {change_id: {}}}
        self.cluster.submit(
            name,
            DeclareRequested(
                self.cluster.local_ms(name),
                request_id,
                change_id,
                "ada",
                change.team,
                change.base_revision,
                declaration,
                TIMEOUT_MS,
            ),
        )

    def _observe(self, node: str, effect: Effect) -> None:
        if isinstance(effect, OperatorReply):
            STATISTICS[f"answered {effect.body['status']}"] += 1
            self.run_check(lambda: self.oracle.add_answer(effect.request_id, effect.body))


class DeclarationFuzzTests(unittest.TestCase):
    """Declarations under every fault that they must tolerate."""

    def test_every_node_acts_on_changes_in_force_and_never_reverts(self) -> None:
        run_state_machine_as_test(DeclarationMachine, settings=CI_SETTINGS)

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
    """Operators race each other and resend, at any node; one node holds no replica."""

    node_count = 4

    def prepare(self) -> None:
        """Begin without facts."""
        self.oracle = DeclarationOracle()
        self.requested = 0
        self.cluster.observers.append(self._observe)

    @rule(number=NUMBERS, team=st.sampled_from(TEAMS), age=st.integers(0, 1))
    def declare(self, number: int, team: str, age: int) -> None:
        """Send a new change, made from the team's newest revision or from an earlier one."""
        name = self.running_name(number)
        if name is None:
            return
        revisions = [0, *sorted(rev for held, rev in self.oracle.content if held == team)]
        change_id = f"c{len(self.oracle.changes) + 1}"
        base = revisions[max(0, len(revisions) - 1 - age)]
        self.oracle.changes[change_id] = Change(change_id, team, base)
        self._request(name, change_id)

    @rule(number=NUMBERS, other=NUMBERS, team=st.sampled_from(TEAMS))
    def race(self, number: int, other: int, team: str) -> None:
        """Let two operators change one team from the same revision."""
        self.declare(number, team, 0)
        self.declare(other, team, 0)

    @rule(number=NUMBERS, which=NUMBERS)
    def resend(self, number: int, which: int) -> None:
        """Send one of the last changes again, perhaps through another node."""
        name = self.running_name(number)
        if name is not None and self.oracle.changes:
            known = list(self.oracle.changes)
            self._request(name, known[-1 - which % len(known)])

    def check(self) -> None:
        """Check the promises of declarations."""
        self.oracle.check(self.cluster)

    def is_recovered(self) -> bool:
        """Return whether a last change is in force on every node, and all hold leases."""
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
        are_leased = all(member.has_lease(local_ms(name)) for name, member in members.items())
        return are_leased and len({member.view.revision for member in members.values()}) == 1

    def _request(self, name: str, change_id: str) -> None:
        self.requested += 1
        change = self.oracle.changes[change_id]
        request_id = f"op{self.requested}"
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
            self.guarded(lambda: self.oracle.answer(effect.request_id, effect.body))


class DeclarationFuzzTests(unittest.TestCase):
    """Declarations under every fault that they must tolerate."""

    def test_every_node_acts_on_changes_in_force_and_never_reverts(self) -> None:
        run_state_machine_as_test(DeclarationMachine, settings=CI_SETTINGS)

"""Tests of declarations by several operators: rights, conflicts, resends, bounded memory."""

from __future__ import annotations

import hashlib
import unittest

from marigoldarch.control.commands import (
    COMMANDS,
    Command,
    CommandResult,
    Declare,
    DeclareConflict,
    Declared,
    DeclareForbidden,
    DeclareKeyTaken,
    Entry,
)
from marigoldarch.control.state_machine import MAX_DECLARE_RESULTS, StateMachine
from marigoldarch.control.view import MAX_CHANGES_PER_SUBTREE, ClusterView
from marigoldarch.declarations import loader
from marigoldarch.tests.cluster import MemoryCluster
from marigoldarch.tests.control.support import declare, replies

KEY = hashlib.sha256(b"key").hexdigest()


def declare_command(
    change_id: str, team: str, base_revision: int, operator: str = "", **fields: object
) -> Declare:
    """Return a declaration of a team; by the root operator if no operator is given."""
    declaration = {"team": team, **fields}
    return Declare(change_id, operator or "root", team, base_revision, declaration, not operator)


class StateMachineTests(unittest.TestCase):
    """A state machine with two operators, each with the right to one team."""

    def setUp(self) -> None:
        self.state_machine = StateMachine(1024)
        self.index = 0
        operators = {"ada": {"teams": ["guild"]}, "eva": {"teams": ["vetting"]}}
        subtree = loader.OPERATORS_SUBTREE
        self.apply(Declare("o1", "root", subtree, 0, {"operators": operators}))

    def apply(self, command: Command) -> CommandResult:
        """Apply a command as the next log entry."""
        self.index += 1
        return self.state_machine.apply(Entry(self.index, 1, COMMANDS.to_plain(command)))

    def test_operator_changes_only_its_own_subtree(self) -> None:
        self.assertEqual(self.apply(declare_command("c1", "guild", 0, "ada")), Declared(2))
        refused = self.apply(declare_command("c2", "guild", 2, "eva"))
        self.assertEqual(refused, DeclareForbidden("eva", "guild"))
        unknown_operator = self.apply(declare_command("c3", "guild", 2, "nobody"))
        self.assertEqual(unknown_operator, DeclareForbidden("nobody", "guild"))
        self.assertEqual(self.state_machine.view.teams["guild"].change_id, "c1")

    def test_operator_cannot_give_itself_rights(self) -> None:
        rights = {"operators": {"ada": {"teams": ["*"]}}}
        command = Declare("c1", "ada", loader.OPERATORS_SUBTREE, 1, rights, False)
        refused = DeclareForbidden("ada", loader.OPERATORS_SUBTREE)
        self.assertEqual(self.apply(command), refused)

    def test_revoked_right_is_refused(self) -> None:
        subtree = loader.OPERATORS_SUBTREE
        self.apply(Declare("o2", "root", subtree, 1, {"operators": {}}))
        refused = self.apply(declare_command("c1", "guild", 0, "ada"))
        self.assertIsInstance(refused, DeclareForbidden)

    def test_first_of_equal_base_revisions_wins_and_conflicts_name_it(self) -> None:
        self.assertEqual(self.apply(declare_command("c1", "guild", 0, "ada")), Declared(2))
        for number in range(5):
            conflict = self.apply(declare_command(f"d{number}", "guild", 0))
            self.assertEqual(conflict, DeclareConflict(2, "c1", "ada"))

    def test_resent_change_returns_its_first_result_after_other_changes(self) -> None:
        first = self.apply(declare_command("c1", "guild", 0))
        conflict = self.apply(declare_command("c2", "guild", 0))
        self.apply(declare_command("c3", "guild", 2))
        self.assertEqual(self.apply(declare_command("c1", "guild", 0)), first)
        self.assertEqual(self.apply(declare_command("c2", "guild", 0)), conflict)
        self.assertEqual(self.state_machine.view.teams["guild"].change_id, "c3")

    def test_kept_results_are_bounded_and_a_late_resend_changes_nothing(self) -> None:
        first = self.apply(declare_command("c1", "guild", 0))
        for number in range(MAX_DECLARE_RESULTS):
            self.apply(declare_command(f"x{number}", "vetting", 10**9))
        self.assertEqual(len(self.state_machine.to_plain()["answers"]), MAX_DECLARE_RESULTS)
        self.assertEqual(self.apply(declare_command("c1", "guild", 0)), first)
        self.assertEqual(self.state_machine.view.teams["guild"].revision, 2)

    def test_customer_key_of_another_team_is_refused(self) -> None:
        customers = {"harbor": {"key_sha256": [KEY]}}
        self.apply(declare_command("c1", "guild", 0, customers=customers))
        result = self.apply(declare_command("c2", "vetting", 0, customers=customers))
        self.assertEqual(result, DeclareKeyTaken("harbor"))
        self.assertEqual(self.state_machine.view.find_customer(KEY).team, "guild")

    def test_removed_customer_is_not_found(self) -> None:
        self.apply(declare_command("c1", "guild", 0, customers={"harbor": {"key_sha256": [KEY]}}))
        self.apply(declare_command("c2", "guild", 2))
        self.assertIsNone(self.state_machine.view.find_customer(KEY))

    def test_change_history_is_bounded_and_restored_from_its_encoded_form(self) -> None:
        revision = 0
        for number in range(MAX_CHANGES_PER_SUBTREE + 5):
            revision = self.apply(declare_command(f"c{number}", "guild", revision)).revision
        changes = self.state_machine.view.changes("guild")
        self.assertEqual(len(changes), MAX_CHANGES_PER_SUBTREE)
        copy = ClusterView.from_plain(self.state_machine.view.to_plain())
        self.assertEqual(copy.changes("guild"), changes)
        self.assertEqual(copy.operators, self.state_machine.view.operators)


class ConcurrentDeclarationTests(unittest.TestCase):
    """Operators at several nodes that declare with the same base revision."""

    def test_one_of_many_operators_wins_and_the_conflicts_name_it(self) -> None:
        cluster = MemoryCluster(nodes=5, voters=3)
        cluster.run(4000)
        for number, node in enumerate(list(cluster.nodes) * 4):
            declare(cluster, node, "guild", 0, f"c{number}", operator=f"op{number}")
        cluster.run(2000)
        answers = [answer for node in cluster.nodes for answer in replies(cluster, node)]
        accepted = [answer for answer in answers if answer["status"] == "in_force"]
        conflicts = [answer for answer in answers if answer["status"] == "conflict"]
        self.assertEqual((len(accepted), len(conflicts)), (1, 19))
        winner = cluster.nodes["n1"].state.control.member.view.teams["guild"]
        named_winners = {(answer["winner"], answer["winner_operator"]) for answer in conflicts}
        self.assertEqual(named_winners, {(winner.change_id, winner.operator)})

"""Tests of changes by several operators: rights, races, resends and bounded memory."""

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


def change(change_id: str, team: str, base: int, operator: str = "", **fields: object) -> Declare:
    """Return a change; of the root operator when none is named."""
    declaration = {"team": team, **fields}
    return Declare(change_id, operator or "root", team, base, declaration, not operator)


class MachineTests(unittest.TestCase):
    """The state machine with two operators of one team each."""

    def setUp(self) -> None:
        self.machine = StateMachine(1024)
        self.index = 0
        operators = {"ada": {"teams": ["guild"]}, "eva": {"teams": ["vetting"]}}
        subtree = loader.OPERATORS_SUBTREE
        self.apply(Declare("o1", "root", subtree, 0, {"operators": operators}))

    def apply(self, command: Command) -> CommandResult:
        """Apply a command as the next entry."""
        self.index += 1
        return self.machine.apply(Entry(self.index, 1, COMMANDS.to_plain(command)))

    def test_operator_changes_only_its_own_subtree(self) -> None:
        self.assertEqual(self.apply(change("c1", "guild", 0, "ada")), Declared(2))
        refused = self.apply(change("c2", "guild", 2, "eva"))
        self.assertEqual(refused, DeclareForbidden("eva", "guild"))
        nobody = self.apply(change("c3", "guild", 2, "nobody"))
        self.assertEqual(nobody, DeclareForbidden("nobody", "guild"))
        self.assertEqual(self.machine.view.teams["guild"].change_id, "c1")

    def test_operator_cannot_give_itself_rights(self) -> None:
        rights = {"operators": {"ada": {"teams": ["*"]}}}
        command = Declare("c1", "ada", loader.OPERATORS_SUBTREE, 1, rights, False)
        refused = DeclareForbidden("ada", loader.OPERATORS_SUBTREE)
        self.assertEqual(self.apply(command), refused)

    def test_right_that_was_taken_away_no_longer_counts(self) -> None:
        subtree = loader.OPERATORS_SUBTREE
        self.apply(Declare("o2", "root", subtree, 1, {"operators": {}}))
        refused = self.apply(change("c1", "guild", 0, "ada"))
        self.assertIsInstance(refused, DeclareForbidden)

    def test_of_equal_numbers_exactly_one_wins_and_is_named(self) -> None:
        self.assertEqual(self.apply(change("c1", "guild", 0, "ada")), Declared(2))
        for number in range(5):
            lost = self.apply(change(f"d{number}", "guild", 0))
            self.assertEqual(lost, DeclareConflict(2, "c1", "ada"))

    def test_resent_change_keeps_its_first_answer_whatever_came_between(self) -> None:
        first = self.apply(change("c1", "guild", 0))
        lost = self.apply(change("c2", "guild", 0))
        self.apply(change("c3", "guild", 2))
        self.assertEqual(self.apply(change("c1", "guild", 0)), first)
        self.assertEqual(self.apply(change("c2", "guild", 0)), lost)
        self.assertEqual(self.machine.view.teams["guild"].change_id, "c3")

    def test_answers_are_bounded_and_a_very_late_resend_changes_nothing(self) -> None:
        first = self.apply(change("c1", "guild", 0))
        for number in range(MAX_DECLARE_RESULTS):
            self.apply(change(f"x{number}", "vetting", 10**9))
        self.assertEqual(len(self.machine.to_plain()["answers"]), MAX_DECLARE_RESULTS)
        self.assertEqual(self.apply(change("c1", "guild", 0)), first)
        self.assertEqual(self.machine.view.teams["guild"].revision, 2)

    def test_key_of_another_team_s_customer_is_refused(self) -> None:
        customers = {"harbor": {"key_sha256": [KEY]}}
        self.apply(change("c1", "guild", 0, customers=customers))
        taken = self.apply(change("c2", "vetting", 0, customers=customers))
        self.assertEqual(taken, DeclareKeyTaken("harbor"))
        self.assertEqual(self.machine.view.find_customer(KEY).team, "guild")

    def test_removed_customer_is_found_no_more(self) -> None:
        self.apply(change("c1", "guild", 0, customers={"harbor": {"key_sha256": [KEY]}}))
        self.apply(change("c2", "guild", 2))
        self.assertIsNone(self.machine.view.find_customer(KEY))

    def test_history_is_bounded_and_survives_the_plain_form(self) -> None:
        revision = 0
        for number in range(MAX_CHANGES_PER_SUBTREE + 5):
            revision = self.apply(change(f"c{number}", "guild", revision)).revision
        changes = self.machine.view.changes("guild")
        self.assertEqual(len(changes), MAX_CHANGES_PER_SUBTREE)
        copy = ClusterView.from_plain(self.machine.view.to_plain())
        self.assertEqual(copy.changes("guild"), changes)
        self.assertEqual(copy.operators, self.machine.view.operators)


class RaceTests(unittest.TestCase):
    """Operators at several nodes with equal numbers."""

    def test_exactly_one_of_many_wins_and_the_others_name_it(self) -> None:
        cluster = MemoryCluster(nodes=5, voters=3)
        cluster.run(4000)
        for number, node in enumerate(list(cluster.nodes) * 4):
            declare(cluster, node, "guild", 0, f"c{number}", operator=f"op{number}")
        cluster.run(2000)
        answers = [answer for node in cluster.nodes for answer in replies(cluster, node)]
        won = [answer for answer in answers if answer["status"] == "in_force"]
        lost = [answer for answer in answers if answer["status"] == "conflict"]
        self.assertEqual((len(won), len(lost)), (1, 19))
        winner = cluster.nodes["n1"].state.control.member.view.teams["guild"]
        named = {(answer["winner"], answer["winner_operator"]) for answer in lost}
        self.assertEqual(named, {(winner.change_id, winner.operator)})

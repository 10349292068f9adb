"""Tests of what keepers lend."""

from __future__ import annotations

import unittest

from marigoldarch.entry.keepers import place
from marigoldarch.entry.limit_owner import LimitOwner
from marigoldarch.entry.limits import Limit
from marigoldarch.settings import EntrySettings
from marigoldarch.tests.entry.support import SUBJECT, need

SETTINGS = EntrySettings()
NODES = [f"n{number}" for number in range(200)]
BEST = place(SUBJECT, NODES)
OWN = place(SUBJECT, [node for node in NODES if node != BEST])


class LimitKeeperTests(unittest.TestCase):
    """What a keeper lends."""

    def setUp(self) -> None:
        self.owner = LimitOwner(OWN, SETTINGS)

    def test_rate_holds_over_all_nodes_together(self) -> None:
        limit = Limit(10.0, 0.0, 0)
        lent = 0.0
        for step in range(1000):
            node = f"n{step % 5}"
            lent += self.owner.lend(node, need(requests=3.0), limit, step * 10.0).requests
        seconds = 10.0
        self.assertLessEqual(lent, 10.0 * seconds + 10.0)
        self.assertGreaterEqual(lent, 10.0 * seconds - 1.0)

    def test_refused_request_is_told_when_the_rate_allows_it(self) -> None:
        limit = Limit(2.0, 0.0, 0)
        self.owner.lend("n1", need(requests=2.0), limit, 0.0)
        refused = self.owner.lend("n1", need(requests=1.0), limit, 0.0)
        self.assertEqual((refused.requests, refused.retry_after_ms), (0.0, 500.0))
        again = self.owner.lend("n1", need(requests=1.0), limit, refused.retry_after_ms)
        self.assertEqual(again.requests, 1.0)

    def test_slots_are_never_lent_twice(self) -> None:
        limit = Limit(0.0, 0.0, 3)
        first = self.owner.lend("n1", need(slots=2), limit, 0.0)
        second = self.owner.lend("n2", need(slots=2), limit, 1.0)
        self.assertEqual((first.slots, second.slots), (2, 1))
        self.assertGreater(second.retry_after_ms, 0.0)

    def test_slots_of_a_dead_node_come_back(self) -> None:
        limit = Limit(0.0, 0.0, 3)
        self.owner.lend("n1", need(slots=3), limit, 0.0)
        later_ms = SETTINGS.slot_lease_ms + 1.0
        self.assertEqual(self.owner.lend("n2", need(slots=3), limit, later_ms).slots, 3)

    def test_slots_in_use_are_counted_even_above_the_limit(self) -> None:
        limit = Limit(0.0, 0.0, 2)
        self.owner.lend("n1", need(slots=2, used=2), limit, 0.0)
        second = self.owner.lend("n2", need(slots=1, used=1), limit, 0.0)
        third = self.owner.lend("n3", need(slots=1), limit, 0.0)
        self.assertEqual((second.slots, third.slots), (1, 0))

    def test_prompt_above_the_token_burst_is_lent_as_a_debt(self) -> None:
        limit = Limit(0.0, 1000.0, 0)
        big = need(tokens=50_000.0, first=50_000.0)
        self.assertEqual(self.owner.lend("n1", big, limit, 0.0).tokens, 50_000.0)
        small = need(tokens=100.0, first=100.0)
        refused = self.owner.lend("n1", small, limit, 0.0)
        self.assertEqual(refused.tokens, 0.0)
        self.assertEqual(refused.retry_after_ms, 40_100.0)

    def move_here(self) -> None:
        """Let the node that kept the subject die, so that this one keeps it."""
        self.owner.set_nodes((OWN, BEST), 0.0)
        self.owner.set_nodes((OWN,), 100.0)

    def test_new_keeper_starts_with_an_empty_rate(self) -> None:
        self.move_here()
        lent = self.owner.lend("n1", need(requests=5.0), Limit(5.0, 0.0, 0), 100.0)
        self.assertEqual(lent.requests, 0.0)

    def test_new_keeper_lends_only_slots_in_use_until_all_have_shown_theirs(self) -> None:
        self.move_here()
        limit = Limit(0.0, 0.0, 4)
        first = self.owner.lend("n1", need(slots=3, used=1), limit, 100.0)
        second = self.owner.lend("n2", need(slots=3, used=3), limit, 200.0)
        self.assertEqual((first.slots, second.slots), (1, 3))
        later_ms = 100.0 + SETTINGS.limit_recovery_ms
        third = self.owner.lend("n1", need(slots=3, used=1), limit, later_ms)
        self.assertEqual(third.slots, 1)

    def test_subject_that_did_not_move_is_not_disturbed_by_a_change_of_membership(self) -> None:
        later = next(n for n in NODES if place(SUBJECT, [OWN, n]) == OWN and n != OWN)
        self.owner.set_nodes((OWN, later), 0.0)
        self.owner.set_nodes((OWN,), 100.0)
        lent = self.owner.lend("n1", need(requests=5.0), Limit(5.0, 0.0, 0), 100.0)
        self.assertEqual(lent.requests, 5.0)

    def test_idle_subject_has_no_account(self) -> None:
        class View:
            teams: dict = {}

        self.owner.lend("n1", need(requests=1.0), Limit(5.0, 0.0, 0), 0.0)
        self.assertEqual(self.owner.account_count, 1)
        self.owner.forget_idle(View(), 1000.0)
        self.assertEqual(self.owner.account_count, 0)

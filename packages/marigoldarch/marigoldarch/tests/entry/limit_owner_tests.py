"""Tests of the shares that a limit's owner lends."""

from __future__ import annotations

import unittest

from marigoldarch.entry.limit_owner import LimitOwner
from marigoldarch.entry.limits import Limit, find_limit
from marigoldarch.entry.owner_placement import choose_owner
from marigoldarch.settings import EntrySettings
from marigoldarch.tests.entry.support import SUBJECT, need

SETTINGS = EntrySettings()
NODES = [f"n{number}" for number in range(200)]
PREVIOUS_OWNER = choose_owner(SUBJECT, NODES)
NODE = choose_owner(SUBJECT, [node for node in NODES if node != PREVIOUS_OWNER])


class LimitOwnerTests(unittest.TestCase):
    """Shares lent by an owner, before and after a subject moves to it."""

    def setUp(self) -> None:
        self.owner = LimitOwner(NODE, SETTINGS)

    def test_rate_holds_over_all_nodes_together(self) -> None:
        limit = Limit(10.0, 0.0, 0)
        lent = 0.0
        for step in range(1000):
            node = f"n{step % 5}"
            lent += self.owner.lend(node, need(requests=3.0), limit, step * 10.0).requests
        seconds = 10.0
        self.assertLessEqual(lent, 10.0 * seconds + 10.0)
        self.assertGreaterEqual(lent, 10.0 * seconds - 1.0)

    def test_refused_request_is_lent_after_the_wait_it_was_given(self) -> None:
        limit = Limit(2.0, 0.0, 0)
        self.owner.lend("n1", need(requests=2.0), limit, 0.0)
        refused = self.owner.lend("n1", need(requests=1.0), limit, 0.0)
        self.assertEqual((refused.requests, refused.retry_after_ms), (0.0, 500.0))
        again = self.owner.lend("n1", need(requests=1.0), limit, refused.retry_after_ms)
        self.assertEqual(again.requests, 1.0)

    def test_one_slot_is_not_lent_to_two_nodes(self) -> None:
        limit = Limit(0.0, 0.0, 3)
        first = self.owner.lend("n1", need(slots=2), limit, 0.0)
        second = self.owner.lend("n2", need(slots=2), limit, 1.0)
        self.assertEqual((first.slots, second.slots), (2, 1))
        self.assertGreater(second.retry_after_ms, 0.0)

    def test_slots_of_a_dead_node_expire_with_their_lease(self) -> None:
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

    def move_subject_here(self) -> None:
        """Remove the node that owned the subject, so that it moves to this one."""
        self.owner.set_nodes((NODE, PREVIOUS_OWNER), 0.0)
        self.owner.set_nodes((NODE,), 100.0)

    def test_new_owner_starts_with_an_empty_request_bucket(self) -> None:
        self.move_subject_here()
        lent = self.owner.lend("n1", need(requests=5.0), Limit(5.0, 0.0, 0), 100.0)
        self.assertEqual(lent.requests, 0.0)

    def test_new_owner_lends_only_slots_in_use_during_recovery(self) -> None:
        self.move_subject_here()
        limit = Limit(0.0, 0.0, 4)
        first = self.owner.lend("n1", need(slots=3, used=1), limit, 100.0)
        second = self.owner.lend("n2", need(slots=3, used=3), limit, 200.0)
        self.assertEqual((first.slots, second.slots), (1, 3))
        later_ms = 100.0 + SETTINGS.limit_recovery_ms
        third = self.owner.lend("n1", need(slots=3, used=1), limit, later_ms)
        self.assertEqual(third.slots, 1)

    def test_subject_that_did_not_move_keeps_its_bucket_when_nodes_change(self) -> None:
        later = next(n for n in NODES if choose_owner(SUBJECT, [NODE, n]) == NODE and n != NODE)
        self.owner.set_nodes((NODE, later), 0.0)
        self.owner.set_nodes((NODE,), 100.0)
        lent = self.owner.lend("n1", need(requests=5.0), Limit(5.0, 0.0, 0), 100.0)
        self.assertEqual(lent.requests, 5.0)

    def test_account_of_an_idle_subject_is_dropped(self) -> None:
        class View:
            teams: dict = {}

        self.owner.lend("n1", need(requests=1.0), Limit(5.0, 0.0, 0), 0.0)
        self.assertEqual(self.owner.subject_count, 1)
        self.owner.drop_idle(lambda subject: find_limit(View(), subject), 1000.0)
        self.assertEqual(self.owner.subject_count, 0)

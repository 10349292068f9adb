"""Tests of the guesses of cached prefixes."""

from __future__ import annotations

import unittest

from marigoldarch.entry.prefix import prefix_tokens
from marigoldarch.pools.affinity import AGE_LIMIT_MS, HOLDER_LIMIT, CacheIndex

PREFIX = ("p0", "p1", "p2")


class CacheIndexTests(unittest.TestCase):
    """Late and gappy events."""

    def setUp(self) -> None:
        self.index = CacheIndex()

    def test_longest_stored_prefix_is_found(self) -> None:
        self.index.report("e1", 1, ["p0", "p1"], [], 0.0)
        self.index.report("e2", 1, ["p0"], [], 0.0)
        guesses = self.index.find(PREFIX, 1.0)
        self.assertEqual([(g.target, g.tokens) for g in guesses], [("e1", prefix_tokens(1))])

    def test_gap_lowers_the_trust_and_events_in_sequence_restore_it(self) -> None:
        self.index.report("e1", 1, ["p0"], [], 0.0)
        self.index.report("e1", 5, [], [], 0.0)
        low = self.index.find(PREFIX, 1.0)[0].tokens
        self.assertLess(low, prefix_tokens(0))
        for sequence in range(6, 20):
            self.index.report("e1", sequence, [], [], 0.0)
        self.assertEqual(self.index.find(PREFIX, 1.0)[0].tokens, prefix_tokens(0))

    def test_late_event_removes_but_does_not_add(self) -> None:
        self.index.report("e1", 7, ["p0"], [], 0.0)
        self.index.report("e1", 3, ["p1"], ["p0"], 0.0)
        self.assertEqual(self.index.find(PREFIX, 1.0), [])

    def test_old_entries_and_those_of_a_gone_target_are_not_believed(self) -> None:
        self.index.report("e1", 1, ["p0"], [], 0.0)
        self.assertEqual(self.index.find(PREFIX, AGE_LIMIT_MS + 1.0), [])
        self.index.report("e1", 2, ["p0"], [], AGE_LIMIT_MS)
        self.index.forget_target("e1")
        self.assertEqual(self.index.find(PREFIX, AGE_LIMIT_MS), [])

    def test_holders_of_one_prefix_are_bounded(self) -> None:
        for number in range(3 * HOLDER_LIMIT):
            self.index.report(f"e{number}", 1, ["p0"], [], 0.0)
        self.assertEqual(len(self.index.find(PREFIX, 1.0)), HOLDER_LIMIT)

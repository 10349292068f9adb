"""Tests of the prefix cache index."""

from __future__ import annotations

import unittest

from marigoldarch.entry.prefix import prefix_tokens
from marigoldarch.pools.affinity import ENTRY_AGE_LIMIT_MS, HOLDER_LIMIT, PrefixCacheIndex

PREFIX = ("p0", "p1", "p2")


class CacheIndexTests(unittest.TestCase):
    """Cache events that are late or incomplete."""

    def setUp(self) -> None:
        self.index = PrefixCacheIndex()

    def test_longest_stored_prefix_is_found(self) -> None:
        self.index.apply_events("e1", 1, ["p0", "p1"], [], 0.0)
        self.index.apply_events("e2", 1, ["p0"], [], 0.0)
        matches = self.index.find(PREFIX, 1.0)
        self.assertEqual([(g.target, g.tokens) for g in matches], [("e1", prefix_tokens(1))])

    def test_gap_lowers_the_confidence_and_events_in_sequence_restore_it(self) -> None:
        self.index.apply_events("e1", 1, ["p0"], [], 0.0)
        self.index.apply_events("e1", 5, [], [], 0.0)
        low = self.index.find(PREFIX, 1.0)[0].tokens
        self.assertLess(low, prefix_tokens(0))
        for sequence in range(6, 20):
            self.index.apply_events("e1", sequence, [], [], 0.0)
        self.assertEqual(self.index.find(PREFIX, 1.0)[0].tokens, prefix_tokens(0))

    def test_late_event_removes_but_does_not_add(self) -> None:
        self.index.apply_events("e1", 7, ["p0"], [], 0.0)
        self.index.apply_events("e1", 3, ["p1"], ["p0"], 0.0)
        self.assertEqual(self.index.find(PREFIX, 1.0), [])

    def test_old_entries_and_those_of_a_removed_target_are_ignored(self) -> None:
        self.index.apply_events("e1", 1, ["p0"], [], 0.0)
        self.assertEqual(self.index.find(PREFIX, ENTRY_AGE_LIMIT_MS + 1.0), [])
        self.index.apply_events("e1", 2, ["p0"], [], ENTRY_AGE_LIMIT_MS)
        self.index.forget_target("e1")
        self.assertEqual(self.index.find(PREFIX, ENTRY_AGE_LIMIT_MS), [])

    def test_number_of_targets_kept_per_prefix_is_limited(self) -> None:
        for number in range(3 * HOLDER_LIMIT):
            self.index.apply_events(f"e{number}", 1, ["p0"], [], 0.0)
        self.assertEqual(len(self.index.find(PREFIX, 1.0)), HOLDER_LIMIT)

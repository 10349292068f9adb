"""Tests of the comparison of declarations."""

from __future__ import annotations

import unittest

from marigoldarch.declarations.diff import compare


class CompareTests(unittest.TestCase):
    """Two declarations given as built-in types."""

    def test_equal_declarations_have_no_difference(self) -> None:
        plain = {"team": "guild", "kinds": {"quiz": {"rank": 0}}}
        self.assertEqual(compare(plain, dict(plain)), [])

    def test_added_removed_and_changed_values_are_listed_with_their_paths(self) -> None:
        before = {"kinds": {"quiz": {"rank": 0}, "old": {}}, "models": {"a": {"versions": ["1"]}}}
        after = {"kinds": {"quiz": {"rank": 1}}, "models": {"a": {"versions": ("1",)}, "b": {}}}
        lines = [str(difference) for difference in compare(before, after)]
        self.assertEqual(
            lines, ["- kinds.old = {}", "~ kinds.quiz.rank: 0 -> 1", "+ models.b = {}"]
        )

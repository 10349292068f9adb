"""Tests of the time after which callers abandon a stream."""

from __future__ import annotations

import unittest

from marigoldarch.serving.abandonment import abandon_ms
from marigoldarch.tests.serving.support import route


class AbandonTests(unittest.TestCase):
    """The longest of three times applies."""

    def test_short_goals_give_the_minimum(self) -> None:
        self.assertEqual(abandon_ms(route(goal_ms=300.0, pause_goal_ms=100.0)), 2000.0)

    def test_long_goals_extend_the_time(self) -> None:
        self.assertEqual(abandon_ms(route(goal_ms=3000.0, pause_goal_ms=1000.0)), 12_000.0)
        self.assertEqual(abandon_ms(route(goal_ms=300.0, pause_goal_ms=1000.0)), 8000.0)

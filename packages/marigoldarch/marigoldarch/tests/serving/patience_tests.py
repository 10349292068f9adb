"""Tests of what a shorter patience tells."""

from __future__ import annotations

import unittest

from marigoldarch.serving.patience import LEAST_WAIT_MS, Patience, abandon_ms
from marigoldarch.tests.serving.support import route


class PatienceTests(unittest.TestCase):
    """Load pattern: refused callers come back with what is left of their time."""

    def setUp(self) -> None:
        self.patience = Patience()
        self.patience.waited_before_ms("quiz", 10_000.0)

    def test_caller_with_less_time_has_waited_before(self) -> None:
        self.assertEqual(self.patience.waited_before_ms("quiz", 9_400.0), 600.0)

    def test_small_differences_mean_nothing(self) -> None:
        patience_ms = 10_000.0 - LEAST_WAIT_MS + 1.0
        self.assertEqual(self.patience.waited_before_ms("quiz", patience_ms), 0.0)

    def test_stream_is_given_up_after_the_longest_of_three_times(self) -> None:
        self.assertEqual(abandon_ms(route(goal_ms=300.0, pause_goal_ms=100.0)), 2000.0)
        self.assertEqual(abandon_ms(route(goal_ms=3000.0, pause_goal_ms=1000.0)), 12_000.0)

    def test_routes_are_apart_and_forgotten(self) -> None:
        self.assertEqual(self.patience.waited_before_ms("review", 5_000.0), 0.0)
        self.patience.keep_only({"review"})
        self.assertEqual(self.patience.waited_before_ms("quiz", 9_400.0), 0.0)

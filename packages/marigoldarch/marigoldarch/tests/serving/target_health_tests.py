"""Tests of setting targets aside, and of their pace."""

from __future__ import annotations

import unittest

from marigoldarch.serving.target_health import HealthSettings, TargetHealth

SETTINGS = HealthSettings()


class TargetHealthTests(unittest.TestCase):
    """Load pattern: a target fails part of its requests while its health answers are good."""

    def setUp(self) -> None:
        self.health = TargetHealth(SETTINGS)

    def fail(self, count: int, now_ms: float) -> None:
        """Fail several requests in a row."""
        for _ in range(count):
            self.health.note_failure("t", now_ms, is_unreachable=False)

    def test_one_failure_suspends_nothing(self) -> None:
        self.fail(1, 0.0)
        self.assertFalse(self.health.is_suspended("t", 0.0))

    def test_failures_in_a_row_suspend_for_longer_each_time(self) -> None:
        now_ms = 0.0
        for duration_ms in (1000.0, 2000.0, 4000.0, 8000.0, 8000.0):
            self.fail(2, now_ms)
            self.assertTrue(self.health.is_suspended("t", now_ms + duration_ms - 1))
            self.assertFalse(self.health.is_suspended("t", now_ms + duration_ms))
            now_ms += duration_ms

    def test_success_between_failures_begins_the_count_anew(self) -> None:
        self.fail(1, 0.0)
        self.health.note_success("t", 1.0)
        self.fail(1, 2.0)
        self.assertFalse(self.health.is_suspended("t", 2.0))

    def test_target_that_accepts_no_connection_is_set_aside_at_once(self) -> None:
        self.health.note_failure("t", 0.0, is_unreachable=True)
        self.assertTrue(self.health.is_suspended("t", 1.0))

    def test_slowness_is_measured_and_wears_off(self) -> None:
        for _ in range(20):
            self.health.note_slowdown("t", 5.0, 0.0)
        self.assertGreater(self.health.slowdown_of("t", 0.0), 4.5)
        half = self.health.slowdown_of("t", SETTINGS.pace_half_life_ms)
        self.assertAlmostEqual(half, 3.0, delta=0.1)

    def test_target_that_is_measured_looks_no_slower_than_an_idle_one(self) -> None:
        for _ in range(20):
            self.health.note_slowdown("t", 1.5, 0.0)
        self.assertEqual(self.health.slowdown_of("t", 0.0), 1.0)

    def test_targets_that_are_no_more_are_forgotten(self) -> None:
        self.health.note_failure("t", 0.0, is_unreachable=True)
        self.health.keep_only({"other"})
        self.assertFalse(self.health.is_suspended("t", 1.0))

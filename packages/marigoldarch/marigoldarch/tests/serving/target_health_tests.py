"""Tests of suspended targets and of measured slowdowns."""

from __future__ import annotations

import unittest

from marigoldarch.serving.target_health import HealthSettings, TargetHealth

SETTINGS = HealthSettings()


class TargetHealthTests(unittest.TestCase):
    """Load pattern: a target fails part of its requests, and its health endpoint stays good."""

    def setUp(self) -> None:
        self.health = TargetHealth(SETTINGS)

    def fail(self, count: int, now_ms: float) -> None:
        """Record several failures in a row."""
        for _ in range(count):
            self.health.note_failure("t", now_ms, is_unreachable=False)

    def test_one_failure_does_not_suspend(self) -> None:
        self.fail(1, 0.0)
        self.assertFalse(self.health.is_suspended("t", 0.0))

    def test_consecutive_failures_suspend_for_longer_each_time(self) -> None:
        now_ms = 0.0
        for duration_ms in (1000.0, 2000.0, 4000.0, 8000.0, 8000.0):
            self.fail(2, now_ms)
            self.assertTrue(self.health.is_suspended("t", now_ms + duration_ms - 1))
            self.assertFalse(self.health.is_suspended("t", now_ms + duration_ms))
            now_ms += duration_ms

    def test_success_resets_the_failure_count(self) -> None:
        self.fail(1, 0.0)
        self.health.note_success("t", 1.0)
        self.fail(1, 2.0)
        self.assertFalse(self.health.is_suspended("t", 2.0))

    def test_unreachable_target_is_suspended_at_once(self) -> None:
        self.health.note_failure("t", 0.0, is_unreachable=True)
        self.assertTrue(self.health.is_suspended("t", 1.0))

    def test_slowdown_is_measured_and_decays(self) -> None:
        for _ in range(20):
            self.health.note_slowdown("t", 5.0, 0.0)
        self.assertGreater(self.health.slowdown_of("t", 0.0), 4.5)
        half = self.health.slowdown_of("t", SETTINGS.slowdown_half_life_ms)
        self.assertAlmostEqual(half, 3.0, delta=0.1)

    def test_small_slowdown_counts_as_none(self) -> None:
        for _ in range(20):
            self.health.note_slowdown("t", 1.5, 0.0)
        self.assertEqual(self.health.slowdown_of("t", 0.0), 1.0)

    def test_removed_targets_are_forgotten(self) -> None:
        self.health.note_failure("t", 0.0, is_unreachable=True)
        self.health.keep_only({"other"})
        self.assertFalse(self.health.is_suspended("t", 1.0))

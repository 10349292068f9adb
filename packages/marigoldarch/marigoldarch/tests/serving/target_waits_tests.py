"""Tests of the waits that targets ask for, and of the first request after each of them."""

from __future__ import annotations

import unittest

from marigoldarch.serving.target_waits import TargetWaits, WaitSettings
from marigoldarch.serving.targets import TargetStart

SETTINGS = WaitSettings(max_wait_ms=60_000.0, spread=0.0)
START = TargetStart("t", 1000)


class TargetWaitsTests(unittest.TestCase):
    """Load pattern: a target at its limit asks every entry to send it nothing for a while."""

    def setUp(self) -> None:
        self.waits = TargetWaits(SETTINGS)

    def test_target_that_asked_for_nothing_is_free(self) -> None:
        self.assertEqual(self.waits.left_ms(START, 0.0), 0.0)
        self.assertTrue(self.waits.admit(START, 1, 0.0))
        self.assertTrue(self.waits.admit(START, 2, 0.0))

    def test_nothing_is_admitted_until_the_wait_is_over(self) -> None:
        self.waits.ask(START, 800.0, 100.0)
        self.assertEqual(self.waits.left_ms(START, 100.0), 800.0)
        self.assertFalse(self.waits.admit(START, 1, 899.0))
        self.assertTrue(self.waits.admit(START, 2, 900.0))

    def test_later_and_shorter_wait_does_not_end_the_first(self) -> None:
        self.waits.ask(START, 2000.0, 0.0)
        self.waits.ask(START, 100.0, 50.0)
        self.assertEqual(self.waits.left_ms(START, 1000.0), 1000.0)

    def test_longer_wait_extends_the_first(self) -> None:
        self.waits.ask(START, 500.0, 0.0)
        self.waits.ask(START, 500.0, 400.0)
        self.assertEqual(self.waits.left_ms(START, 500.0), 400.0)

    def test_huge_wait_is_cut_to_the_limit(self) -> None:
        self.assertEqual(self.waits.ask(START, 1e15, 0.0), SETTINGS.max_wait_ms)
        self.assertEqual(self.waits.left_ms(START, 0.0), SETTINGS.max_wait_ms)

    def test_wait_of_nothing_or_less_is_none(self) -> None:
        for wait_ms in (0.0, -5.0, float("nan")):
            self.assertEqual(self.waits.ask(START, wait_ms, 0.0), 0.0)
        self.assertEqual(self.waits.left_ms(START, 0.0), 0.0)

    def test_new_start_under_the_same_id_is_free(self) -> None:
        self.waits.ask(START, 5000.0, 0.0)
        self.assertEqual(self.waits.left_ms(TargetStart("t", 2000), 1.0), 0.0)

    def test_one_request_goes_first_after_the_wait_and_others_after_its_answer(self) -> None:
        self.waits.ask(START, 800.0, 0.0)
        self.assertTrue(self.waits.admit(START, 1, 800.0))
        self.assertFalse(self.waits.admit(START, 2, 801.0))
        self.assertGreater(self.waits.left_ms(START, 801.0), 0.0)
        self.waits.note_end(START, 1)
        self.assertTrue(self.waits.admit(START, 2, 810.0))
        self.assertTrue(self.waits.admit(START, 3, 810.0))

    def test_end_of_an_earlier_request_does_not_end_the_trial(self) -> None:
        self.waits.ask(START, 800.0, 0.0)
        self.waits.admit(START, 7, 800.0)
        self.waits.note_end(START, 3)
        self.assertFalse(self.waits.admit(START, 8, 820.0))

    def test_slow_first_request_holds_the_others_for_a_bounded_time(self) -> None:
        self.waits.ask(START, 800.0, 0.0)
        self.waits.admit(START, 1, 800.0)
        held_ms = self.waits.left_ms(START, 800.0)
        self.assertEqual(held_ms, SETTINGS.trial_timeout_ms)
        self.assertTrue(self.waits.admit(START, 2, 800.0 + held_ms))

    def test_refusal_of_the_first_request_begins_a_new_wait(self) -> None:
        self.waits.ask(START, 800.0, 0.0)
        self.waits.admit(START, 1, 800.0)
        self.waits.ask(START, 800.0, 810.0)
        self.waits.note_end(START, 1)
        self.assertFalse(self.waits.admit(START, 2, 1609.0))
        self.assertTrue(self.waits.admit(START, 2, 1610.0))

    def test_waits_of_several_entries_end_at_different_times(self) -> None:
        """Load pattern: a target refuses many entries at once, and all would return at once."""
        ends = set()
        for spread in (0.0, 0.25, 0.5, 0.75):
            waits = TargetWaits(SETTINGS._replace(spread=spread))
            waits.ask(START, 1000.0, 0.0)
            ends.add(waits.left_ms(START, 0.0))
        self.assertEqual(len(ends), 4)
        self.assertEqual(min(ends), 1000.0)
        self.assertLessEqual(max(ends), 1100.0)

    def test_waits_that_are_over_are_forgotten(self) -> None:
        self.waits.ask(START, 800.0, 0.0)
        self.waits.forget_old(800.0 + SETTINGS.trial_timeout_ms)
        self.assertEqual(self.waits.count, 0)

"""Tests of when a silent target is given up."""

from __future__ import annotations

import unittest

from marigoldarch.serving.stall_timeout import (
    LONGEST_EXCUSE_MS,
    StallState,
    first_event_timeout_ms,
    pause_timeout_ms,
    stall_deadline_ms,
)

SILENCE = StallState(1000.0, 2100.0, 0.0, 0.0, 4000.0, is_suspended=False)


class GivenUpAtTests(unittest.TestCase):
    """Large prompts keep coming, and some engines are gone."""

    def test_target_without_a_sign_of_life_is_given_up_after_the_patience(self) -> None:
        self.assertEqual(stall_deadline_ms(SILENCE), 3100.0)

    def test_large_prompt_waits_for_a_target_that_has_reading_to_do(self) -> None:
        self.assertEqual(stall_deadline_ms(SILENCE._replace(prefill_until_ms=2500.0)), 4600.0)

    def test_large_prompt_waits_for_a_target_that_serves_others(self) -> None:
        self.assertEqual(stall_deadline_ms(SILENCE._replace(heard_ms=3000.0)), 5100.0)

    def test_signs_of_life_excuse_only_as_long_as_a_dead_connection_may_last(self) -> None:
        found = stall_deadline_ms(SILENCE._replace(prefill_until_ms=60_000.0))
        self.assertEqual(found, 1000.0 + LONGEST_EXCUSE_MS + 2100.0)

    def test_suspended_target_has_no_excuse(self) -> None:
        suspended = SILENCE._replace(heard_ms=3000.0, is_suspended=True)
        self.assertEqual(stall_deadline_ms(suspended), 3100.0)

    def test_short_prompt_goes_elsewhere_whatever_the_cause(self) -> None:
        short = SILENCE._replace(heard_ms=3000.0, repeat_prefill_ms=35.0)
        self.assertEqual(stall_deadline_ms(short), 3100.0)


class PatienceTests(unittest.TestCase):
    """How long silence may last by itself."""

    def test_first_event_may_take_three_times_as_long_as_expected(self) -> None:
        self.assertEqual(first_event_timeout_ms(1000.0, 1500.0), 3600.0)
        self.assertEqual(first_event_timeout_ms(100.0, 3000.0), 3000.0)

    def test_pause_is_bounded_below_and_above(self) -> None:
        self.assertEqual(pause_timeout_ms(100.0), 900.0)
        self.assertEqual(pause_timeout_ms(600.0), 2400.0)
        self.assertEqual(pause_timeout_ms(5000.0), 4000.0)

"""Tests of the timeouts for targets that send nothing."""

from __future__ import annotations

import unittest

from marigoldarch.serving.stall_timeout import (
    MAX_EXTENSION_MS,
    StallState,
    call_timeout_ms,
    first_event_timeout_ms,
    pause_timeout_ms,
    stall_deadline_ms,
)

STALL = StallState(1000.0, 2100.0, 0.0, 0.0, 4000.0, is_suspended=False)


class StallDeadlineTests(unittest.TestCase):
    """Load pattern: large prompts keep arriving, and some engines have stopped."""

    def test_without_activity_the_timeout_is_not_extended(self) -> None:
        self.assertEqual(stall_deadline_ms(STALL), 3100.0)

    def test_prefill_backlog_extends_the_timeout_of_a_large_prompt(self) -> None:
        self.assertEqual(stall_deadline_ms(STALL._replace(prefill_until_ms=2500.0)), 4600.0)

    def test_activity_for_others_extends_the_timeout_of_a_large_prompt(self) -> None:
        self.assertEqual(stall_deadline_ms(STALL._replace(last_heard_ms=3000.0)), 5100.0)

    def test_call_has_four_goals_and_longer_than_a_sound_target_is_silent(self) -> None:
        self.assertEqual(call_timeout_ms(300.0), 1500.0)
        self.assertEqual(call_timeout_ms(1000.0), 4000.0)

    def test_extension_is_limited(self) -> None:
        found = stall_deadline_ms(STALL._replace(prefill_until_ms=60_000.0))
        self.assertEqual(found, 1000.0 + MAX_EXTENSION_MS + 2100.0)

    def test_timeout_on_a_suspended_target_is_not_extended(self) -> None:
        suspended = STALL._replace(last_heard_ms=3000.0, is_suspended=True)
        self.assertEqual(stall_deadline_ms(suspended), 3100.0)

    def test_timeout_of_a_short_prompt_is_not_extended(self) -> None:
        short = STALL._replace(last_heard_ms=3000.0, repeat_prefill_ms=35.0)
        self.assertEqual(stall_deadline_ms(short), 3100.0)


class TimeoutTests(unittest.TestCase):
    """The timeouts before any extension."""

    def test_first_event_may_take_three_times_its_expected_time(self) -> None:
        self.assertEqual(first_event_timeout_ms(1000.0, 1500.0), 3600.0)
        self.assertEqual(first_event_timeout_ms(100.0, 3000.0), 3000.0)

    def test_pause_timeout_has_a_minimum_and_a_maximum(self) -> None:
        self.assertEqual(pause_timeout_ms(100.0), 900.0)
        self.assertEqual(pause_timeout_ms(600.0), 2400.0)
        self.assertEqual(pause_timeout_ms(5000.0), 4000.0)

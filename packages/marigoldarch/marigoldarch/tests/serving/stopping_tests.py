"""Tests of what a stopping entry still takes and sends."""

from __future__ import annotations

import unittest

from marigoldarch.serving.stopping import CallDurations, can_end_in_time, plan_stop

CALL_MS = 200.0


class StopPlanTests(unittest.TestCase):
    """Load pattern: callers come for seconds after a stop has begun; what runs at its end is cut."""

    def test_callers_are_accepted_for_three_times_a_directory_response(self) -> None:
        plan = plan_stop(1000.0, 8000.0)
        self.assertEqual((plan.accept_until_ms, plan.end_ms), (4000.0, 8600.0))

    def test_short_grace_time_leaves_half_to_end_what_was_accepted(self) -> None:
        for grace_ms in (0.0, 300.0, 2000.0, 5000.0):
            plan = plan_stop(1000.0, grace_ms)
            self.assertLessEqual(plan.accept_until_ms - 1000.0, grace_ms / 2.0)
            self.assertLessEqual(plan.end_ms - 1000.0, grace_ms)

    def test_request_is_sent_only_if_it_can_end(self) -> None:
        plan = plan_stop(0.0, 8400.0)
        for now_ms, expected_ms, left_ms, can_end in (
            (0.0, 6000.0, 10_000.0, True),
            (3000.0, 6000.0, 10_000.0, False),
            (3000.0, 6000.0, 5000.0, True),  # its caller is answered at its deadline
            (7900.0, CALL_MS, 3000.0, False),
        ):
            self.assertIs(can_end_in_time(plan, now_ms, expected_ms, left_ms), can_end)


class CallDurationsTests(unittest.TestCase):
    """Calls to plain services, whose duration no formula tells."""

    def test_longest_call_counts_and_is_forgotten_slowly(self) -> None:
        durations = CallDurations()
        self.assertEqual(durations.expected_ms("desk", 400.0), 400.0)
        durations.record("desk", 2000.0)
        durations.record("desk", CALL_MS)
        self.assertGreater(durations.expected_ms("desk", 400.0), 1500.0)
        for _ in range(100):
            durations.record("desk", CALL_MS)
        self.assertEqual(durations.expected_ms("desk", 400.0), 400.0)

    def test_services_that_are_not_declared_any_more_are_forgotten(self) -> None:
        durations = CallDurations()
        durations.record("desk", 2000.0)
        durations.keep({"engines"})
        self.assertEqual(durations.expected_ms("desk", 0.0), 0.0)

"""Tests of the order in which waiting requests get limited targets."""

from __future__ import annotations

import unittest

from marigoldarch.serving.waiting_turns import (
    MIN_TURN_MS,
    WaitingTurns,
    leave_limited_to_earlier,
    next_turn_ms,
)
from marigoldarch.tests.serving.support import candidate


class NextTurnTests(unittest.TestCase):
    """When a request behind others gets one of some targets that all wait."""

    def test_requests_ahead_take_the_next_turns_of_all_targets(self) -> None:
        slow = candidate("slow", wait_ms=300.0, limit_per_s=1.0)
        fast = candidate("fast", wait_ms=100.0, limit_per_s=5.0)
        turns = [next_turn_ms([slow, fast], ahead) for ahead in range(5)]
        self.assertEqual(turns, [100.0, 300.0, 300.0, 500.0, 700.0])

    def test_target_without_a_limit_accepts_all_after_its_wait(self) -> None:
        waiting = candidate("waiting", wait_ms=400.0)
        limited = candidate("limited", wait_ms=100.0, limit_per_s=1.0)
        self.assertEqual(next_turn_ms([waiting, limited], 50), 400.0)

    def test_turn_of_a_request_behind_very_many_is_found_in_bounded_time(self) -> None:
        limited = candidate("limited", wait_ms=0.0, limit_per_s=1.0)
        self.assertGreaterEqual(next_turn_ms([limited], 10**9), 1_000_000.0)

    def test_without_targets_there_is_nothing_to_wait_for(self) -> None:
        self.assertEqual(next_turn_ms([], 3), 0.0)

    def test_later_requests_leave_limited_targets_to_earlier_ones(self) -> None:
        limited, free = candidate("limited", limit_per_s=1.0), candidate("free")
        self.assertEqual(leave_limited_to_earlier([limited, free], 0), [limited, free])
        left = leave_limited_to_earlier([limited, free], 1)
        self.assertEqual([item.wait_ms for item in left], [MIN_TURN_MS, 0.0])


class WaitingTurnsTests(unittest.TestCase):
    """Requests that wait in the order of their arrival."""

    def test_requests_count_those_that_arrived_before_them(self) -> None:
        turns = WaitingTurns()
        for turn in ((20.0, 2), (10.0, 1), (10.0, 3), (20.0, 2)):
            turns.join("desk", turn)
        self.assertEqual(turns.count_ahead("desk", (10.0, 1)), 0)
        self.assertEqual(turns.count_ahead("desk", (20.0, 2)), 2)
        self.assertEqual(turns.count_ahead("desk", (30.0, 0)), 3)
        self.assertEqual(turns.count_ahead("engines", (30.0, 0)), 0)

    def test_nothing_is_kept_of_requests_that_wait_no_longer(self) -> None:
        turns = WaitingTurns()
        turns.leave("desk", (5.0, 0))
        turns.join("desk", (10.0, 1))
        turns.leave("desk", (10.0, 1))
        self.assertEqual(turns.count_ahead("desk", (30.0, 0)), 0)
        self.assertEqual(turns._waiting, {})

"""Tests of request timers."""

from __future__ import annotations

import unittest

from marigoldarch.entry.timers import RequestTimers


class RequestTimersTests(unittest.TestCase):
    """Due requests, and pruning of timers."""

    def test_due_requests_are_returned_once_and_in_order(self) -> None:
        timers = RequestTimers()
        for request_id, due_ms in (("b", 2.0), ("a", 1.0), ("c", 9.0), ("b", 1.5)):
            timers.add(request_id, due_ms)
        self.assertEqual(timers.take_due(2.0), ["a", "b"])
        self.assertEqual(timers.take_due(2.0), [])
        self.assertEqual(timers.take_due(9.0), ["c"])

    def test_timers_of_ended_requests_are_pruned(self) -> None:
        timers = RequestTimers()
        for number in range(10_000):
            timers.add(f"r{number}", 86_400_000.0)
            timers.prune({f"r{number}"}, 1)
        self.assertLess(len(timers), 2000)

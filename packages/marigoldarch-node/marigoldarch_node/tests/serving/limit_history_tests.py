"""Tests of the limits over time."""

from __future__ import annotations

import unittest

from marigoldarch_node.serving.http_server import ServerLimits
from marigoldarch_node.serving.limit_history import MAX_PAST_TIMEOUTS, LimitHistory


def limits(idle_timeout_ms: float) -> ServerLimits:
    """Return limits with an idle timeout."""
    return ServerLimits(idle_timeout_ms=idle_timeout_ms)


class LimitHistoryTests(unittest.TestCase):
    """The longest idle timeout since a time."""

    def setUp(self) -> None:
        self.history = LimitHistory(limits(300.0))

    def test_timeouts_count_while_they_were_in_force(self) -> None:
        self.assertEqual(self.history.longest_idle_timeout_ms(0.0), 300.0)
        self.history.change(limits(900.0), 10.0)
        self.history.change(limits(100.0), 20.0)
        self.assertEqual(self.history.current, limits(100.0))
        for since_ms, longest_ms in ((0.0, 900.0), (10.0, 900.0), (20.0, 900.0), (21.0, 100.0)):
            self.assertEqual(self.history.longest_idle_timeout_ms(since_ms), longest_ms)

    def test_many_changes_shorten_no_timeout(self) -> None:
        self.history.change(limits(900.0), 1.0)
        for number in range(10 * MAX_PAST_TIMEOUTS):
            self.history.change(limits(100.0 + number % 2), 2.0 + number)
        self.assertEqual(self.history.longest_idle_timeout_ms(2.0), 900.0)
        self.assertEqual(
            self.history.longest_idle_timeout_ms(1e9), self.history.current.idle_timeout_ms
        )

"""Tests of the exchange of running work among entries."""

from __future__ import annotations

import unittest

import msgspec
import trio

from marigoldarch.clock import ManualClock
from marigoldarch.serving.pool_view import RunningAttempt
from marigoldarch.serving.retry_budget import RetryBudgetSettings
from marigoldarch.serving.work_reports import WorkReport
from marigoldarch_node.serving.shared_workload import PEER_TIMEOUT_MS, SharedWorkload

BUDGET = RetryBudgetSettings(slack=10.0, usable_share=1.0)
WORK = RunningAttempt(0, 5, (7, 8), 100.0, 1000, 0, 250.0, 300.0, False)


class SharedWorkloadTests(unittest.TestCase):
    """Reports from one entry to another."""

    def setUp(self) -> None:
        self.clock = ManualClock(1000.0)
        self.first = SharedWorkload("e1", 1, self.clock, BUDGET)
        self.second = SharedWorkload("e2", 2, self.clock, BUDGET)

    def report(self, workload: SharedWorkload) -> WorkReport:
        """Return the next report of an entry."""
        return msgspec.msgpack.decode(trio.run(workload.next_report), type=WorkReport)

    def active(self) -> int:
        """Return how many attempts on target 7 the second entry knows of."""
        return self.second.view.load_of(7).active

    def test_peer_learns_of_start_and_end_of_work(self) -> None:
        number = self.first.start(WORK)
        self.second.receive(self.report(self.first))
        self.assertEqual(self.active(), 1)
        self.first.end(number)
        self.second.receive(self.report(self.first))
        self.assertEqual(self.active(), 0)

    def test_full_report_makes_up_for_a_lost_one(self) -> None:
        self.second.receive(self.report(self.first))
        number = self.first.start(WORK)
        self.report(self.first)
        self.clock.advance(1600.0)
        self.first.count_request(5)
        self.second.receive(self.report(self.first))
        self.assertEqual(self.active(), 1)
        self.first.end(number)
        self.report(self.first)
        self.clock.advance(1600.0)
        self.first.count_request(5)
        self.second.receive(self.report(self.first))
        self.assertEqual(self.active(), 0)

    def test_report_that_arrives_out_of_order_is_ignored(self) -> None:
        number = self.first.start(WORK)
        before = self.report(self.first)
        self.first.end(number)
        after = self.report(self.first)
        self.second.receive(after)
        self.second.receive(before)
        self.assertEqual(self.active(), 0)

    def test_work_of_a_silent_or_restarted_entry_is_dropped(self) -> None:
        self.first.start(WORK)
        self.second.receive(self.report(self.first))
        self.clock.advance(PEER_TIMEOUT_MS)
        self.second.drop_silent_peers()
        self.assertEqual((self.active(), self.second.peer_count), (0, 0))
        self.first.start(WORK)
        self.second.receive(self.report(self.first))
        restarted = SharedWorkload("e1", 9, self.clock, BUDGET)
        restarted.count_request(5)
        self.second.receive(self.report(restarted))
        self.assertEqual(self.active(), 0)

    def test_retries_of_peers_count_against_the_shared_budget(self) -> None:
        for _ in range(10):
            self.first.start(WORK._replace(is_repeat=True))
        self.assertTrue(self.second.allows_retry(5))
        self.second.receive(self.report(self.first))
        self.assertFalse(self.second.allows_retry(5))

    def test_peers_learn_of_suspended_and_slow_targets(self) -> None:
        reported: list[object] = []
        self.second.on_suspended = reported.append
        self.second.on_slow = lambda target, pace: reported.append((target, pace))
        self.first.report_suspended_target(7)
        self.first.report_slow_target(8, 4.5)
        self.second.receive(self.report(self.first))
        self.assertEqual(reported, [7, (8, 4.5)])

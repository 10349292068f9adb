"""Tests of the exchange of running work among entries."""

from __future__ import annotations

import unittest

import msgspec
import trio

from marigoldarch.clock import ManualClock
from marigoldarch.serving.pool_view import RunningAttempt
from marigoldarch.serving.retry_budget import RetryBudgetSettings
from marigoldarch.serving.work_reports import PoolSummary, WorkReport
from marigoldarch_node.serving.shared_workload import (
    IDLE_REPORT_INTERVAL_MS,
    PEER_RETENTION_MS,
    PEER_TIMEOUT_MS,
    SharedWorkload,
)

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
        return msgspec.msgpack.decode(trio.run(workload.next_report).whole, type=WorkReport)

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

    def test_entry_without_work_reports_less_often_and_is_not_forgotten(self) -> None:
        """Guards against traffic among hundreds of idle entries."""
        self.second.receive(self.report(self.first))
        self.clock.advance(IDLE_REPORT_INTERVAL_MS - 1.0)
        self.assertFalse(self.first.is_report_due)
        self.second.drop_silent_peers()
        self.assertEqual(self.second.peer_count, 1)
        self.clock.advance(1.0)
        self.assertTrue(self.first.is_report_due)
        self.clock.advance(PEER_RETENTION_MS)
        self.second.drop_silent_peers()
        self.assertEqual(self.second.peer_count, 0)

    def test_work_that_has_ended_is_followed_by_a_full_report_without_it(self) -> None:
        number = self.first.start(WORK)
        self.report(self.first)
        self.first.end(number)
        self.report(self.first)
        self.clock.advance(1600.0)
        self.assertTrue(self.first.is_report_due)
        self.assertTrue(self.report(self.first).is_whole)
        self.clock.advance(1600.0)
        self.assertFalse(self.first.is_report_due)


SHORT = WORK._replace(targets=(7,), prefill_ms=30.0)
WIDE = WORK._replace(is_widely_reported=True)


class PartialReportTests(unittest.TestCase):
    """Load pattern: entries in several data centres, most of whose requests are short."""

    def setUp(self) -> None:
        self.clock = ManualClock(1000.0)
        self.near = SharedWorkload("a1", 1, self.clock, BUDGET)
        self.far = SharedWorkload("b1", 2, self.clock, BUDGET)
        self.tell()

    def tell(self, *, is_lost: bool = False) -> bool:
        """Send the far entry the next partial report of the near one; return if there is one."""
        partial = self.near.take_reports().partial
        if partial is not None and not is_lost:
            self.far.receive(msgspec.msgpack.decode(partial, type=WorkReport))
        return partial is not None

    def active(self) -> int:
        """Return how many attempts on target 7 the far entry knows of."""
        return self.far.view.load_of(7).active

    def test_work_that_stays_in_its_data_centre_is_not_reported_elsewhere(self) -> None:
        number = self.near.start(WORK)
        self.near.count_request(5)
        self.assertFalse(self.tell())
        self.near.end(number)
        self.assertFalse(self.tell())

    def test_widely_reported_work_is_told_elsewhere_from_start_to_end(self) -> None:
        number = self.near.start(WIDE)
        self.tell()
        self.assertEqual(self.active(), 1)
        self.near.finish_prefill(number)
        self.tell()
        self.assertEqual(self.far.view.load_of(7).pending_prefills(self.clock.monotonic_ms()), [])
        self.near.end(number)
        self.tell()
        self.assertEqual(self.active(), 0)

    def test_short_work_on_a_target_elsewhere_is_reported_there(self) -> None:
        number = self.near.start(SHORT._replace(is_widely_reported=True))
        self.tell()
        self.assertEqual(self.active(), 1)
        self.near.end(number)
        self.tell()
        self.assertEqual(self.active(), 0)

    def test_full_partial_report_makes_up_for_a_lost_one(self) -> None:
        number = self.near.start(WIDE)
        self.tell(is_lost=True)
        self.clock.advance(1600.0)
        self.assertTrue(self.tell())
        self.assertEqual(self.active(), 1)
        self.near.end(number)
        self.tell(is_lost=True)
        self.clock.advance(1600.0)
        self.assertTrue(self.tell())
        self.assertEqual(self.active(), 0)
        self.clock.advance(1600.0)
        self.assertFalse(self.tell())

    def test_retries_elsewhere_do_not_use_up_this_budget(self) -> None:
        for _ in range(10):
            self.near.start(WIDE._replace(is_repeat=True))
        self.tell()
        self.assertTrue(self.far.allows_retry(5))

    def test_entry_elsewhere_is_no_peer_that_shares_the_budget(self) -> None:
        self.near.start(WIDE)
        self.tell()
        self.assertEqual(self.far.peer_count, 0)

    def test_suspended_and_leaving_targets_are_reported_elsewhere(self) -> None:
        told: list[int] = []
        self.far.on_suspended = told.append
        self.far.on_leaving = lambda target, born_ms: told.append(target)
        self.near.report_suspended_target(7)
        self.near.report_leaving_target(8, 1000)
        self.tell()
        self.assertEqual(told, [7, 8])

    def test_summary_tells_the_work_that_stays_and_outdated_ones_are_ignored(self) -> None:
        def summary() -> PoolSummary:
            data = self.near.next_summary("a", [7], ["a1"])
            return msgspec.msgpack.decode(data, type=PoolSummary)

        before = summary()
        self.near.start(SHORT)
        self.near.start(WIDE)
        self.far.receive_summary(summary())
        self.far.receive_summary(before)
        self.assertEqual((self.active(), self.far.summary_count), (1, 1))

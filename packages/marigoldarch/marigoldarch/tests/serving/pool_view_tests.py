"""Tests of an entry's view of the work on each target."""

from __future__ import annotations

import unittest

from marigoldarch.serving.pool_view import PoolView, RunningAttempt


def attempt(number: int, *targets: int, prefill_ms: float = 100.0) -> RunningAttempt:
    """Return an attempt on these targets; the first one runs the request."""
    return RunningAttempt(number, 1, targets, prefill_ms, 1000, 0, 250.0, 300.0, False)


class PoolViewTests(unittest.TestCase):
    """Load pattern: entries place requests at the same time, and the targets' reports lag."""

    def setUp(self) -> None:
        self.view = PoolView()

    def test_prefills_of_several_requests_add_up(self) -> None:
        self.view.start("e1", attempt(1, 7), 0.0)
        self.view.start("e2", attempt(1, 7), 50.0)
        self.assertEqual(self.view.load_of(7).prefill_until_ms, 200.0)
        self.assertEqual(self.view.load_of(7).active, 2)

    def test_helper_has_prefill_backlog_but_no_request(self) -> None:
        self.view.start("e1", attempt(1, 7, 8), 0.0)
        self.assertEqual(self.view.load_of(8).active, 0)
        self.assertEqual(self.view.load_of(8).prefill_until_ms, 100.0)

    def test_cancelled_attempt_leaves_the_backlog(self) -> None:
        self.view.start("e1", attempt(1, 7), 0.0)
        self.view.start("e1", attempt(2, 7), 0.0)
        self.view.end("e1", 1, 40.0)
        self.assertEqual(self.view.load_of(7).prefill_until_ms, 140.0)

    def test_first_token_before_the_expected_end_completes_the_prefill(self) -> None:
        self.view.start("e1", attempt(1, 7, prefill_ms=500.0), 0.0)
        self.view.finish_prefill("e1", 1, 120.0)
        self.assertEqual(self.view.load_of(7).prefill_until_ms, 120.0)
        self.view.end("e1", 1, 300.0)
        self.assertEqual(self.view.load_of(7).active, 0)

    def test_short_prefill_counts_as_complete_at_its_expected_end(self) -> None:
        self.view.start("e1", attempt(1, 7, prefill_ms=90.0), 0.0)
        self.assertEqual(len(self.view.load_of(7).pending_prefills(50.0)), 1)
        self.assertEqual(len(self.view.load_of(7).pending_prefills(90.0)), 0)

    def test_long_prefill_counts_as_pending_until_its_end_is_reported(self) -> None:
        self.view.start("e1", attempt(1, 7), 0.0)
        self.assertEqual(len(self.view.load_of(7).pending_prefills(500.0)), 1)
        self.assertEqual(self.view.load_of(7).decoding_requests(500.0), 0)
        self.view.finish_prefill("e1", 1, 500.0)
        self.assertEqual(self.view.load_of(7).decoding_requests(500.0), 1)

    def test_part_on_the_first_target_runs_before_its_backlog_too(self) -> None:
        self.view.start("e1", attempt(1, 7, 8, prefill_ms=900.0), 0.0)
        self.view.start("e2", attempt(1, 8, 9, prefill_ms=4000.0), 10.0)
        older, newer = self.view.load_of(8).pending_prefills(10.0)
        self.assertEqual((older.last_part_end_ms, newer.last_part_end_ms), (4900.0, 4010.0))

    def test_whole_prompt_is_prefilled_after_all_parts(self) -> None:
        self.view.start("e1", attempt(1, 8, prefill_ms=500.0), 0.0)
        self.view.start("e2", attempt(1, 8, 9, prefill_ms=400.0), 0.0)
        whole, _ = self.view.load_of(8).pending_prefills(0.0)
        self.assertEqual(whole.last_part_end_ms, 900.0)

    def test_newest_part_on_a_helper_runs_first(self) -> None:
        self.view.start("e1", attempt(1, 7, 8, prefill_ms=2000.0), 0.0)
        self.view.start("e2", attempt(1, 9, 8, prefill_ms=1300.0), 1000.0)
        older, newer = self.view.load_of(8).pending_prefills(1000.0)
        self.assertEqual(older.last_part_end_ms, 3300.0)
        self.assertEqual(newer.last_part_end_ms, 2300.0)

    def test_split_prefill_ends_with_its_last_part(self) -> None:
        self.view.start("e1", attempt(1, 8, 9, prefill_ms=100.0), 0.0)
        self.view.start("e1", attempt(2, 8, 7, prefill_ms=700.0), 0.0)
        (part,) = self.view.load_of(9).pending_prefills(0.0)
        self.assertEqual((part.part_end_ms, part.last_part_end_ms), (100.0, 800.0))

    def test_early_end_of_a_part_advances_the_prefills_after_it(self) -> None:
        self.view.start("e1", attempt(1, 7, 8, prefill_ms=1000.0), 0.0)
        self.view.start("e2", attempt(1, 8, prefill_ms=500.0), 0.0)
        self.view.finish_prefill("e1", 1, 600.0)
        (own,) = self.view.load_of(8).pending_prefills(600.0)
        self.assertEqual(own.last_part_end_ms, 1100.0)

    def test_attempt_reported_twice_is_counted_once(self) -> None:
        self.assertTrue(self.view.start("e1", attempt(1, 7), 0.0))
        self.assertFalse(self.view.start("e1", attempt(1, 7), 10.0))
        self.assertEqual(self.view.load_of(7).prefill_until_ms, 100.0)

    def test_attempts_missing_from_the_complete_list_are_removed(self) -> None:
        self.view.start("e1", attempt(1, 7), 0.0)
        self.view.start("e2", attempt(1, 7), 0.0)
        self.view.keep_only("e1", set(), 10.0)
        self.assertEqual(self.view.load_of(7).active, 1)

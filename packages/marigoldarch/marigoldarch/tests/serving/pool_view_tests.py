"""Tests of what an entry knows of the work on each target."""

from __future__ import annotations

import unittest

from marigoldarch.serving.pool_view import PoolView, RunningWork


def work(number: int, *targets: int, prefill_ms: float = 100.0) -> RunningWork:
    """Return an attempt on targets, of which the first runs it."""
    return RunningWork(number, 1, targets, prefill_ms, 1000, 0, 250.0, 300.0, False)


class PoolViewTests(unittest.TestCase):
    """Load pattern: entries choose at the same time, and reports of targets lag."""

    def setUp(self) -> None:
        self.view = PoolView()

    def test_reading_of_several_requests_adds_up(self) -> None:
        self.view.start("e1", work(1, 7), 0.0)
        self.view.start("e2", work(1, 7), 50.0)
        self.assertEqual(self.view.load_of(7).prefill_until_ms, 200.0)
        self.assertEqual(self.view.load_of(7).active, 2)

    def test_helper_reads_and_runs_nothing(self) -> None:
        self.view.start("e1", work(1, 7, 8), 0.0)
        self.assertEqual(self.view.load_of(8).active, 0)
        self.assertEqual(self.view.load_of(8).prefill_until_ms, 100.0)

    def test_cancelled_work_gives_back_what_it_had_not_read(self) -> None:
        self.view.start("e1", work(1, 7), 0.0)
        self.view.start("e1", work(2, 7), 0.0)
        self.view.end("e1", 1, 40.0)
        self.assertEqual(self.view.load_of(7).prefill_until_ms, 140.0)

    def test_first_token_ends_the_reading_wherever_it_stood(self) -> None:
        self.view.start("e1", work(1, 7, prefill_ms=500.0), 0.0)
        self.view.finish_prefill("e1", 1, 120.0)
        self.assertEqual(self.view.load_of(7).prefill_until_ms, 120.0)
        self.view.end("e1", 1, 300.0)
        self.assertEqual(self.view.load_of(7).active, 0)

    def test_reading_whose_end_is_not_told_counts_as_over_when_it_is_expected(self) -> None:
        self.view.start("e1", work(1, 7, prefill_ms=90.0), 0.0)
        self.assertEqual(len(self.view.load_of(7).pending(50.0)), 1)
        self.assertEqual(len(self.view.load_of(7).pending(90.0)), 0)

    def test_reading_whose_end_is_told_goes_on_until_then(self) -> None:
        self.view.start("e1", work(1, 7), 0.0)
        self.assertEqual(len(self.view.load_of(7).pending(500.0)), 1)
        self.assertEqual(self.view.load_of(7).writers(500.0), 0)
        self.view.finish_prefill("e1", 1, 500.0)
        self.assertEqual(self.view.load_of(7).writers(500.0), 1)

    def test_first_targets_part_goes_ahead_like_those_of_the_helpers(self) -> None:
        self.view.start("e1", work(1, 7, 8, prefill_ms=900.0), 0.0)
        self.view.start("e2", work(1, 8, 9, prefill_ms=4000.0), 10.0)
        older, newer = self.view.load_of(8).pending(10.0)
        self.assertEqual((older.expected_ms, newer.expected_ms), (4900.0, 4010.0))

    def test_whole_prompt_is_read_behind_all_parts(self) -> None:
        self.view.start("e1", work(1, 8, prefill_ms=500.0), 0.0)
        self.view.start("e2", work(1, 8, 9, prefill_ms=400.0), 0.0)
        whole, _ = self.view.load_of(8).pending(0.0)
        self.assertEqual(whole.expected_ms, 900.0)

    def test_newest_part_for_another_target_goes_first(self) -> None:
        self.view.start("e1", work(1, 7, 8, prefill_ms=2000.0), 0.0)
        self.view.start("e2", work(1, 9, 8, prefill_ms=1300.0), 1000.0)
        older, newer = self.view.load_of(8).pending(1000.0)
        self.assertEqual(older.expected_ms, 3300.0)
        self.assertEqual(newer.expected_ms, 2300.0)

    def test_prompt_is_expected_when_its_last_part_is_read(self) -> None:
        self.view.start("e1", work(1, 8, 9, prefill_ms=100.0), 0.0)
        self.view.start("e1", work(2, 8, 7, prefill_ms=700.0), 0.0)
        (part,) = self.view.load_of(9).pending(0.0)
        self.assertEqual((part.here_ms, part.expected_ms), (100.0, 800.0))

    def test_part_that_is_read_early_brings_forward_what_is_behind_it(self) -> None:
        self.view.start("e1", work(1, 7, 8, prefill_ms=1000.0), 0.0)
        self.view.start("e2", work(1, 8, prefill_ms=500.0), 0.0)
        self.view.finish_prefill("e1", 1, 600.0)
        (own,) = self.view.load_of(8).pending(600.0)
        self.assertEqual(own.expected_ms, 1100.0)

    def test_work_is_counted_once_however_often_it_is_told(self) -> None:
        self.assertTrue(self.view.start("e1", work(1, 7), 0.0))
        self.assertFalse(self.view.start("e1", work(1, 7), 10.0))
        self.assertEqual(self.view.load_of(7).prefill_until_ms, 100.0)

    def test_whole_list_of_an_entry_drops_what_it_lacks(self) -> None:
        self.view.start("e1", work(1, 7), 0.0)
        self.view.start("e2", work(1, 7), 0.0)
        self.view.keep_only("e1", set(), 10.0)
        self.assertEqual(self.view.load_of(7).active, 1)

"""Tests of an entry's view of the work on each target."""

from __future__ import annotations

import unittest

from marigoldarch.serving.pool_view import (
    SUMMARY_LIFETIME_MS,
    PoolView,
    RunningAttempt,
    SummarizedLoad,
)


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

    def test_attempt_whose_targets_share_a_hash_ends(self) -> None:
        # Targets are known by the CRC-32 of their ids, which two of them may share.
        self.view.start("e1", attempt(1, 7, 7), 0.0)
        self.view.end("e1", 1, 10.0)
        self.assertTrue(self.view.load_of(7).is_empty)

    def test_attempts_missing_from_the_complete_list_are_removed(self) -> None:
        self.view.start("e1", attempt(1, 7), 0.0)
        self.view.start("e2", attempt(1, 7), 0.0)
        self.view.keep_only("e1", set(), 10.0)
        self.assertEqual(self.view.load_of(7).active, 1)


class SummaryTests(unittest.TestCase):
    """Load pattern: most attempts stay in their data centre; the others need only their sums."""

    def setUp(self) -> None:
        self.view = PoolView()

    def test_summary_holds_what_the_given_entries_do_not_report_widely(self) -> None:
        self.view.start("e1", attempt(1, 7, prefill_ms=30.0), 0.0)
        self.view.start("e2", attempt(1, 7, prefill_ms=30.0), 0.0)
        told = attempt(2, 7, prefill_ms=400.0)._replace(is_widely_reported=True)
        self.view.start("e2", told, 0.0)
        self.view.start("far", attempt(1, 7, prefill_ms=30.0), 0.0)
        found = self.view.summarize([7, 8, 9], {"e1", "e2"}, 0.0)
        self.assertEqual(found, {7: SummarizedLoad(2, 2000, 250.0, 490.0)})

    def test_summary_holds_the_parts_and_the_memory_of_helpers(self) -> None:
        split = attempt(1, 7, 8, prefill_ms=300.0)._replace(held_tokens=600)
        self.view.start("e1", split, 0.0)
        found = self.view.summarize([7, 8], {"e1"}, 100.0)
        self.assertEqual(found[8], SummarizedLoad(0, 600, 0.0, 200.0))
        self.assertEqual(found[7], SummarizedLoad(1, 1000, 250.0, 200.0))

    def test_summarized_backlog_ends_with_time(self) -> None:
        self.view.apply_summary("dc2", {7: SummarizedLoad(1, 10, 200.0, 500.0)}, 1000.0)
        self.assertEqual(self.view.load_of(7).busy_until_ms, 1500.0)

    def test_summary_counts_in_the_load_of_a_target(self) -> None:
        self.view.start("e1", attempt(1, 7, prefill_ms=400.0), 0.0)
        self.view.apply_summary("dc2", {7: SummarizedLoad(3, 5000, 200.0)}, 0.0)
        load = self.view.load_of(7)
        self.assertEqual((load.active, load.context_tokens), (4, 6000))
        self.assertEqual(load.shortest_pause_goal_ms, 200.0)
        self.assertEqual(load.decoding_requests(10.0), 3)

    def test_next_summary_replaces_the_last_one(self) -> None:
        self.view.apply_summary("dc2", {7: SummarizedLoad(3, 5000, 200.0)}, 0.0)
        self.view.apply_summary("dc2", {8: SummarizedLoad(1, 1000, 200.0)}, 1000.0)
        self.assertEqual((self.view.load_of(7).active, self.view.load_of(8).active), (0, 1))

    def test_summaries_of_several_data_centres_stand_side_by_side(self) -> None:
        self.view.apply_summary("dc2", {7: SummarizedLoad(3, 5000, 200.0)}, 0.0)
        self.view.apply_summary("dc3", {8: SummarizedLoad(1, 1000, 200.0)}, 0.0)
        self.assertEqual((self.view.load_of(7).active, self.view.load_of(8).active), (3, 1))

    def test_summary_that_is_not_renewed_is_dropped(self) -> None:
        self.view.apply_summary("dc2", {7: SummarizedLoad(3, 5000, 200.0)}, 0.0)
        self.view.drop_old_summaries(SUMMARY_LIFETIME_MS - 1.0)
        self.assertEqual(self.view.load_of(7).active, 3)
        self.view.drop_old_summaries(SUMMARY_LIFETIME_MS)
        self.assertEqual(self.view.load_of(7).active, 0)

    def test_end_of_an_attempt_keeps_the_summary_of_its_target(self) -> None:
        self.view.apply_summary("dc2", {7: SummarizedLoad(3, 5000, 200.0)}, 0.0)
        self.view.start("e1", attempt(1, 7), 0.0)
        self.view.end("e1", 1, 10.0)
        self.assertEqual(self.view.load_of(7).active, 3)

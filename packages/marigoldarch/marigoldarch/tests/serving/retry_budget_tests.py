"""Tests of the retry budget over all entries."""

from __future__ import annotations

import unittest

from marigoldarch.serving.retry_budget import RetryBudget, RetryBudgetSettings

SERVICE = 1
SETTINGS = RetryBudgetSettings(ratio=0.2, slack=10.0, window_ms=10_000.0, usable_share=1.0)


class RetryBudgetTests(unittest.TestCase):
    """Load pattern: every target fails, and every request would be retried."""

    def setUp(self) -> None:
        self.budget = RetryBudget(SETTINGS)

    def take_all(self, now_ms: float, peers: int = 0) -> int:
        """Repeat as often as the budget allows."""
        count = 0
        while self.budget.allows_retry(SERVICE, peers, now_ms):
            self.budget.note_retry(SERVICE, now_ms, is_own=True)
            count += 1
        return count

    def test_repeats_stay_below_a_share_of_requests_and_the_slack(self) -> None:
        for _ in range(100):
            self.budget.note_request(SERVICE, 0.0)
        self.assertEqual(self.take_all(0.0), 30)

    def test_repeats_of_peers_use_the_budget_up(self) -> None:
        for _ in range(8):
            self.budget.note_retry(SERVICE, 0.0, is_own=False)
        self.assertEqual(self.take_all(0.0), 2)

    def test_room_comes_back_when_the_window_has_passed(self) -> None:
        self.take_all(0.0)
        self.assertEqual(self.take_all(9000.0), 0)
        self.assertEqual(self.take_all(10_001.0), 10)

    def test_entry_that_hears_of_no_repeats_takes_a_few_shares_only(self) -> None:
        self.assertEqual(self.take_all(0.0, peers=8), 3)

    def test_services_have_budgets_of_their_own(self) -> None:
        self.take_all(0.0)
        self.assertTrue(self.budget.allows_retry(2, 0, 0.0))

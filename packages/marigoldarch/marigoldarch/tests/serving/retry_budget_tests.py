"""Tests of the retry budget that all entries share."""

from __future__ import annotations

import unittest

from marigoldarch.serving.retry_budget import RetryBudget, RetryBudgetSettings

SERVICE = 1
SETTINGS = RetryBudgetSettings(ratio=0.2, slack=10.0, window_ms=10_000.0, usable_share=1.0)


class RetryBudgetTests(unittest.TestCase):
    """Load pattern: every target fails, and every request would be retried."""

    def setUp(self) -> None:
        self.budget = RetryBudget(SETTINGS)

    def use_up(self, now_ms: float, peers: int = 0) -> int:
        """Retry as often as the budget allows; return the number of retries."""
        count = 0
        while self.budget.allows_retry(SERVICE, peers, now_ms):
            self.budget.note_retry(SERVICE, now_ms, is_own=True)
            count += 1
        return count

    def test_retries_are_limited_to_a_share_of_requests_plus_the_slack(self) -> None:
        for _ in range(100):
            self.budget.note_request(SERVICE, 0.0)
        self.assertEqual(self.use_up(0.0), 30)

    def test_retries_of_peers_use_up_the_budget(self) -> None:
        for _ in range(8):
            self.budget.note_retry(SERVICE, 0.0, is_own=False)
        self.assertEqual(self.use_up(0.0), 2)

    def test_retries_are_allowed_again_after_the_window(self) -> None:
        self.use_up(0.0)
        self.assertEqual(self.use_up(9000.0), 0)
        self.assertEqual(self.use_up(10_001.0), 10)

    def test_entry_without_reports_from_peers_uses_three_shares_only(self) -> None:
        self.assertEqual(self.use_up(0.0, peers=8), 3)

    def test_services_have_separate_budgets(self) -> None:
        self.use_up(0.0)
        self.assertTrue(self.budget.allows_retry(2, 0, 0.0))

    def test_budgets_of_data_centres_add_up_to_that_of_the_installation(self) -> None:
        """Guards against more retries in all than allowed when entries hear of few others."""
        retries = 0
        for entries in (39, 40, 35, 43, 38):
            budget = RetryBudget(SETTINGS._replace(slack=460.0))
            for _ in range(entries):
                budget.note_request(SERVICE, 0.0)
            share = entries / 195
            while budget.allows_retry(SERVICE, 0, 0.0, share):
                budget.note_retry(SERVICE, 0.0, is_own=True)
                retries += 1
        self.assertLessEqual(retries, 0.2 * 195 + 460)
        self.assertGreater(retries, 0.9 * (0.2 * 195 + 460))

"""Tests of the retry budget and of the decision whether to retry."""

from __future__ import annotations

import unittest

from marigoldarch.control.view import CustomerRecord
from marigoldarch.declarations.model import CustomerDeclaration
from marigoldarch.entry.request import Request
from marigoldarch.entry.retries import AttemptFailure, GiveUp, Retry, RetryBudget, decide_retry
from marigoldarch.events import CallInfo
from marigoldarch.outcomes import Failed, FailureReason, NotRun, OutcomeUnknown, RefusalReason
from marigoldarch.settings import EntrySettings

SETTINGS = EntrySettings()


def build_request(*, is_idempotent: bool = True, **fields: object) -> Request:
    """Return a request with one attempt made."""
    customer = CustomerRecord("guild", "harbor", CustomerDeclaration())
    call = CallInfo("r1", "", "quiz")
    request = Request(call, customer, 0, 0.0, 1000.0, is_idempotent, attempt_count=1)
    for name, value in fields.items():
        setattr(request, name, value)
    return request


class RetryBudgetTests(unittest.TestCase):
    """The share of the load that retries may be."""

    def test_retries_are_at_most_a_fixed_share_of_the_load(self) -> None:
        budget = RetryBudget(SETTINGS)
        retries = 0
        for _ in range(1000):
            budget.deposit()
            retries += budget.try_spend(0.0)
        self.assertLessEqual(retries, 1000 * SETTINGS.retry_ratio + SETTINGS.retry_burst)

    def test_budget_refills_with_time_without_requests(self) -> None:
        budget = RetryBudget(SETTINGS)
        while budget.try_spend(0.0):
            pass
        self.assertTrue(budget.try_spend(2000.0))


class DecideRetryTests(unittest.TestCase):
    """The decision after a failed attempt."""

    def decide_retry(
        self, request: Request, *, is_unsent: bool, at_ms: float = 0.0
    ) -> Retry | GiveUp:
        """Decide with a full budget."""
        return decide_retry(
            request, AttemptFailure(is_unsent, at_ms), RetryBudget(SETTINGS), SETTINGS
        )

    def test_unsent_non_idempotent_call_is_retried(self) -> None:
        request = build_request(is_idempotent=False)
        self.assertEqual(self.decide_retry(request, is_unsent=True), Retry())

    def test_sent_non_idempotent_call_is_not_retried(self) -> None:
        request = build_request(is_idempotent=False, was_sent=True)
        unknown = OutcomeUnknown(FailureReason.TARGET_FAILED)
        self.assertEqual(self.decide_retry(request, is_unsent=False), GiveUp(unknown, False))

    def test_cut_stream_is_resumed(self) -> None:
        request = build_request(was_sent=True, relayed_tokens=7)
        self.assertEqual(self.decide_retry(request, is_unsent=False), Retry())

    def test_failure_of_the_last_attempt_is_failed_if_an_earlier_one_was_sent(self) -> None:
        request = build_request(was_sent=True, attempt_count=SETTINGS.attempt_limit)
        failed = Failed(FailureReason.TARGET_FAILED)
        self.assertEqual(self.decide_retry(request, is_unsent=True), GiveUp(failed, False))

    def test_request_that_was_never_sent_is_not_run(self) -> None:
        request = build_request(attempt_count=SETTINGS.attempt_limit)
        refusal = NotRun(RefusalReason.TARGET_UNREACHABLE, 1000.0)
        self.assertEqual(self.decide_retry(request, is_unsent=True), GiveUp(refusal, True))

    def test_nothing_is_retried_after_the_deadline(self) -> None:
        request = build_request(was_sent=True)
        decision = self.decide_retry(request, is_unsent=False, at_ms=1000.0)
        self.assertIsInstance(decision, GiveUp)

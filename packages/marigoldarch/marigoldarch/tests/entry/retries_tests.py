"""Tests of the retry budget and of the decision after a failure."""

from __future__ import annotations

import unittest

from marigoldarch.control.view import CustomerRecord
from marigoldarch.declarations.model import CustomerDeclaration
from marigoldarch.entry.request import Request
from marigoldarch.entry.retries import Again, Failure, Over, RetryBudget, decide
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
    """The bound on retries."""

    def test_retries_stay_a_fixed_share_of_the_load(self) -> None:
        budget = RetryBudget(SETTINGS)
        retries = 0
        for _ in range(1000):
            budget.deposit()
            retries += budget.take(0.0)
        self.assertLessEqual(retries, 1000 * SETTINGS.retry_ratio + SETTINGS.retry_burst)

    def test_quiet_node_regains_retries_with_time(self) -> None:
        budget = RetryBudget(SETTINGS)
        while budget.take(0.0):
            pass
        self.assertTrue(budget.take(2000.0))


class DecideTests(unittest.TestCase):
    """What follows a failure."""

    def decide(self, request: Request, *, is_unsent: bool, at_ms: float = 0.0) -> Again | Over:
        """Decide with a full budget."""
        return decide(request, Failure(is_unsent, at_ms), RetryBudget(SETTINGS), SETTINGS)

    def test_unsent_posting_is_tried_again(self) -> None:
        request = build_request(is_idempotent=False)
        self.assertEqual(self.decide(request, is_unsent=True), Again())

    def test_sent_posting_is_never_tried_again(self) -> None:
        request = build_request(is_idempotent=False, is_started=True)
        unknown = OutcomeUnknown(FailureReason.TARGET_FAILED)
        self.assertEqual(self.decide(request, is_unsent=False), Over(unknown, False))

    def test_cut_stream_goes_on_from_its_offset(self) -> None:
        request = build_request(is_started=True, relayed_tokens=7)
        self.assertEqual(self.decide(request, is_unsent=False), Again())

    def test_failure_after_the_last_attempt_is_not_called_not_run(self) -> None:
        request = build_request(is_started=True, attempt_count=SETTINGS.attempt_limit)
        failed = Failed(FailureReason.TARGET_FAILED)
        self.assertEqual(self.decide(request, is_unsent=True), Over(failed, False))

    def test_request_that_was_never_sent_is_not_run(self) -> None:
        request = build_request(attempt_count=SETTINGS.attempt_limit)
        refusal = NotRun(RefusalReason.TARGET_UNREACHABLE, 1000.0)
        self.assertEqual(self.decide(request, is_unsent=True), Over(refusal, True))

    def test_nothing_is_tried_after_the_deadline(self) -> None:
        request = build_request(is_started=True)
        over = self.decide(request, is_unsent=False, at_ms=1000.0)
        self.assertIsInstance(over, Over)

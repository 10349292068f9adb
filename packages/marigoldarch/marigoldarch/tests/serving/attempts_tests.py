"""Tests of what follows an attempt."""

from __future__ import annotations

import unittest

from marigoldarch.serving.attempts import (
    UNSENT_LIMIT,
    AttemptHistory,
    AttemptOutcome,
    Budget,
    CutStream,
    DeliverFailure,
    Fail,
    FailureReason,
    NextStep,
    NotSent,
    OutcomeUnknown,
    Refuse,
    RefusedByTarget,
    StreamBroken,
    TargetFailed,
    TryAgain,
)
from marigoldarch.serving.declaration import RepeatRule, Route
from marigoldarch.tests.serving.support import call_once, route

ROOM = Budget(time_left_ms=1000.0, has_retry=True)
SPENT = Budget(time_left_ms=1000.0, has_retry=False)
ALONE = Budget(time_left_ms=1000.0, has_retry=True, has_other_target=False)
LATE = Budget(time_left_ms=1.0, has_retry=True)
UNREACHABLE = NotSent(FailureReason.UNREACHABLE)
RESET = OutcomeUnknown(FailureReason.RESET)
SHED = RefusedByTarget(503, 120.0)
BROKEN = StreamBroken(FailureReason.RESET, 4)


def steps(declared: Route, budget: Budget, *outcomes: AttemptOutcome) -> list[NextStep]:
    """Return what follows each of several attempts."""
    history = AttemptHistory(declared)
    found: list[NextStep] = []
    for number, outcome in enumerate(outcomes):
        history.record(f"t{number}", outcome)
        found.append(history.next_step(outcome, budget))
    return found


class CallThatRunsOnceTests(unittest.TestCase):
    """A call that may run once at most."""

    def test_unknown_outcome_is_never_repeated_nor_called_not_run(self) -> None:
        self.assertEqual(steps(call_once(attempt_limit=3), ROOM, RESET), [Fail(False)])

    def test_proof_of_not_run_allows_another_target_within_the_limit(self) -> None:
        found = steps(call_once(attempt_limit=2), ROOM, SHED, SHED)
        self.assertEqual(found, [TryAgain(), Refuse(120.0)])

    def test_limit_of_one_attempt_ends_in_a_refusal(self) -> None:
        self.assertEqual(steps(call_once(), ROOM, SHED), [Refuse(120.0)])

    def test_unreachable_target_costs_no_attempt(self) -> None:
        found = steps(call_once(), ROOM, UNREACHABLE, UNREACHABLE, SHED)
        self.assertEqual(found, [TryAgain(), TryAgain(), Refuse(120.0)])

    def test_many_unreachable_targets_end_in_a_refusal(self) -> None:
        found = steps(call_once(), ROOM, *[UNREACHABLE] * UNSENT_LIMIT)
        self.assertEqual(found[-1], Refuse(None))

    def test_refusal_after_an_unknown_outcome_is_a_failure(self) -> None:
        lookup = call_once(repeat_rule=RepeatRule.IDEMPOTENT, attempt_limit=2)
        self.assertEqual(steps(lookup, ROOM, RESET, SHED), [TryAgain(), Fail(False)])


class RepeatableTests(unittest.TestCase):
    """Lookups, and streams that may be resumed.

    Load pattern: targets that fail for many requests at once.
    """

    def test_failing_target_is_followed_by_another_and_then_delivered(self) -> None:
        lookup = call_once(repeat_rule=RepeatRule.IDEMPOTENT, attempt_limit=2)
        failed = TargetFailed(500)
        self.assertEqual(steps(lookup, ROOM, failed, failed), [TryAgain(), DeliverFailure()])

    def test_failure_after_the_answer_has_begun_cuts_the_stream(self) -> None:
        stream = route(attempt_limit=2)
        self.assertEqual(steps(stream, ROOM, BROKEN, TargetFailed(500)), [TryAgain(), CutStream()])

    def test_spent_budget_ends_retries(self) -> None:
        self.assertEqual(steps(route(), SPENT, RESET), [Fail(False)])
        self.assertEqual(steps(route(), SPENT, SHED), [Refuse(120.0)])
        self.assertEqual(steps(route(), SPENT, BROKEN), [CutStream()])

    def test_broken_stream_goes_on_elsewhere_once(self) -> None:
        self.assertEqual(steps(route(), ROOM, BROKEN, BROKEN), [TryAgain(), CutStream()])

    def test_stream_that_may_not_be_resumed_is_cut(self) -> None:
        self.assertEqual(steps(route(is_resumable=False), ROOM, BROKEN), [CutStream()])

    def test_only_target_that_fails_has_its_failure_delivered(self) -> None:
        lookup = call_once(repeat_rule=RepeatRule.IDEMPOTENT, attempt_limit=2)
        self.assertEqual(steps(lookup, ALONE, TargetFailed(500)), [DeliverFailure()])
        self.assertEqual(steps(lookup, ALONE, SHED), [Refuse(120.0)])
        self.assertEqual(steps(lookup, ALONE, UNREACHABLE), [Refuse(None)])

    def test_stream_may_go_on_at_the_only_target(self) -> None:
        self.assertEqual(steps(route(), ALONE, BROKEN), [TryAgain()])

    def test_nothing_is_sent_when_no_time_is_left(self) -> None:
        self.assertEqual(steps(route(), LATE, RESET), [Fail(True)])

"""Tests of the decision about what follows an attempt."""

from __future__ import annotations

import unittest

from marigoldarch.serving.attempts import (
    MAX_UNSENT_ATTEMPTS,
    AttemptHistory,
    AttemptOutcome,
    Budget,
    CutStream,
    DeliverFailure,
    Fail,
    FailureReason,
    HedgeObstacle,
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

RETRIES_LEFT = Budget(time_left_ms=1000.0, has_retry=True)
NO_RETRY_LEFT = Budget(time_left_ms=1000.0, has_retry=False)
ONLY_TARGET = Budget(time_left_ms=1000.0, has_retry=True, has_other_target=False)
NO_TIME_LEFT = Budget(time_left_ms=1.0, has_retry=True)
UNREACHABLE = NotSent(FailureReason.UNREACHABLE)
RESET = OutcomeUnknown(FailureReason.RESET)
SHED = RefusedByTarget(503, 120.0)
BROKEN = StreamBroken(FailureReason.RESET, 4)


def next_steps(declared: Route, budget: Budget, *outcomes: AttemptOutcome) -> list[NextStep]:
    """Return the step after each of several attempts with these outcomes."""
    history = AttemptHistory(declared)
    found: list[NextStep] = []
    for number, outcome in enumerate(outcomes):
        history.record(f"t{number}", outcome)
        found.append(history.next_step(outcome, budget))
    return found


class CallThatRunsOnceTests(unittest.TestCase):
    """A call that may run at most once."""

    def test_unknown_outcome_is_neither_retried_nor_refused(self) -> None:
        self.assertEqual(next_steps(call_once(attempt_limit=3), RETRIES_LEFT, RESET), [Fail(False)])

    def test_refusal_by_a_target_allows_another_within_the_limit(self) -> None:
        found = next_steps(call_once(attempt_limit=2), RETRIES_LEFT, SHED, SHED)
        self.assertEqual(found, [TryAgain(), Refuse(120.0)])

    def test_single_attempt_that_is_refused_ends_in_a_refusal(self) -> None:
        self.assertEqual(next_steps(call_once(), RETRIES_LEFT, SHED), [Refuse(120.0)])

    def test_unreachable_target_does_not_count_as_an_attempt(self) -> None:
        found = next_steps(call_once(), RETRIES_LEFT, UNREACHABLE, UNREACHABLE, SHED)
        self.assertEqual(found, [TryAgain(), TryAgain(), Refuse(120.0)])

    def test_target_at_its_limit_has_not_failed_the_request(self) -> None:
        """Guards against refusals of requests whose turn at the only target comes in time."""
        history = AttemptHistory(call_once())
        limited = NotSent(FailureReason.TARGET_LIMITED)
        for _ in range(2 * MAX_UNSENT_ATTEMPTS):
            history.record("t", limited)
            self.assertEqual(history.next_step(limited, RETRIES_LEFT), TryAgain())
        self.assertEqual(history.failed_targets, set())
        self.assertFalse(history.is_repeat)

    def test_many_unreachable_targets_end_in_a_refusal(self) -> None:
        found = next_steps(call_once(), RETRIES_LEFT, *[UNREACHABLE] * MAX_UNSENT_ATTEMPTS)
        self.assertEqual(found[-1], Refuse(None))

    def test_refusal_after_an_unknown_outcome_is_a_failure(self) -> None:
        lookup = call_once(repeat_rule=RepeatRule.IDEMPOTENT, attempt_limit=2)
        self.assertEqual(next_steps(lookup, RETRIES_LEFT, RESET, SHED), [TryAgain(), Fail(False)])


class RepeatableTests(unittest.TestCase):
    """Idempotent calls, and streams that may be resumed.

    Load pattern: targets that fail for many requests at once.
    """

    def test_failure_is_retried_and_the_second_one_delivered(self) -> None:
        lookup = call_once(repeat_rule=RepeatRule.IDEMPOTENT, attempt_limit=2)
        failed = TargetFailed(500)
        self.assertEqual(
            next_steps(lookup, RETRIES_LEFT, failed, failed), [TryAgain(), DeliverFailure()]
        )

    def test_failure_after_the_stream_has_begun_cuts_it(self) -> None:
        stream = route(attempt_limit=2)
        self.assertEqual(
            next_steps(stream, RETRIES_LEFT, BROKEN, TargetFailed(500)), [TryAgain(), CutStream()]
        )

    def test_exhausted_budget_ends_retries(self) -> None:
        self.assertEqual(next_steps(route(), NO_RETRY_LEFT, RESET), [Fail(False)])
        self.assertEqual(next_steps(route(), NO_RETRY_LEFT, SHED), [Refuse(120.0)])
        self.assertEqual(next_steps(route(), NO_RETRY_LEFT, BROKEN), [CutStream()])

    def test_broken_stream_is_resumed_within_the_limit(self) -> None:
        self.assertEqual(
            next_steps(route(), RETRIES_LEFT, BROKEN, BROKEN), [TryAgain(), CutStream()]
        )

    def test_stream_that_is_not_resumable_is_cut(self) -> None:
        self.assertEqual(next_steps(route(is_resumable=False), RETRIES_LEFT, BROKEN), [CutStream()])

    def test_without_another_target_the_failure_is_delivered(self) -> None:
        lookup = call_once(repeat_rule=RepeatRule.IDEMPOTENT, attempt_limit=2)
        self.assertEqual(next_steps(lookup, ONLY_TARGET, TargetFailed(500)), [DeliverFailure()])
        self.assertEqual(next_steps(lookup, ONLY_TARGET, SHED), [Refuse(120.0)])
        self.assertEqual(next_steps(lookup, ONLY_TARGET, UNREACHABLE), [Refuse(None)])

    def test_stream_may_be_resumed_on_the_only_target(self) -> None:
        self.assertEqual(next_steps(route(), ONLY_TARGET, BROKEN), [TryAgain()])

    def test_no_attempt_is_made_when_no_time_is_left(self) -> None:
        self.assertEqual(next_steps(route(), NO_TIME_LEFT, RESET), [Fail(True)])


class HedgeTests(unittest.TestCase):
    """Another attempt beside one whose target is silent.

    Load pattern: targets fall silent for a second while others are near their limits.
    """

    def obstacle(self, declared: Route, budget: Budget, running: int = 1) -> HedgeObstacle | None:
        """Return why no attempt may start beside running ones of a new request."""
        return AttemptHistory(declared).find_hedge_obstacle(running, budget)

    def test_hedge_needs_what_a_retry_needs(self) -> None:
        self.assertIsNone(self.obstacle(route(), RETRIES_LEFT))
        found = [
            self.obstacle(call_once(attempt_limit=2), RETRIES_LEFT),
            self.obstacle(route(attempt_limit=1), RETRIES_LEFT),
            self.obstacle(route(), RETRIES_LEFT._replace(is_suspected=True)),
            self.obstacle(route(), NO_RETRY_LEFT),
            self.obstacle(route(), NO_TIME_LEFT),
            self.obstacle(route(), ONLY_TARGET),
        ]
        self.assertEqual(
            found,
            [
                HedgeObstacle.NOT_REPEATABLE,
                HedgeObstacle.ATTEMPT_LIMIT,
                HedgeObstacle.SUSPECTED_PART,
                HedgeObstacle.RETRY_BUDGET,
                HedgeObstacle.NO_TIME,
                HedgeObstacle.NO_OTHER_TARGET,
            ],
        )

    def test_request_with_a_suspected_part_is_sent_only_once(self) -> None:
        suspected = RETRIES_LEFT._replace(is_suspected=True)
        self.assertEqual(next_steps(route(), suspected, BROKEN), [CutStream()])
        self.assertEqual(next_steps(route(), suspected, RESET), [Fail(False)])

    def test_running_and_ended_attempts_count_towards_the_limit(self) -> None:
        self.assertIsNone(self.obstacle(route(attempt_limit=3), RETRIES_LEFT, running=2))
        self.assertIsNotNone(self.obstacle(route(attempt_limit=2), RETRIES_LEFT, running=2))
        history = AttemptHistory(route(attempt_limit=2))
        history.record_superseded()
        self.assertIsNotNone(history.find_hedge_obstacle(1, RETRIES_LEFT))
        self.assertEqual(history.next_step(BROKEN, RETRIES_LEFT), TryAgain())
        history.record("t", BROKEN)
        self.assertEqual(history.next_step(BROKEN, RETRIES_LEFT), CutStream())

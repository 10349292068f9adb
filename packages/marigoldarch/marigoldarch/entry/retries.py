"""The retry budget, and the decision whether a failed attempt is retried."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.entry.request import Request
from marigoldarch.outcomes import (
    Failed,
    FailureReason,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RefusalReason,
)
from marigoldarch.settings import EntrySettings

UNREACHABLE_RETRY_MS: Millis = 1000.0


class RetryBudget:
    """A token bucket to which each request adds a fraction and from which each retry takes one.

    Retries are thereby at most a fixed share of the load, even while every target fails. A small
    constant refill also allows retries on a node with few requests.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._tokens = settings.retry_burst
        self._refilled_ms: Millis = 0.0

    @property
    def tokens(self) -> float:
        """Return how many retries are left."""
        return self._tokens

    def deposit(self) -> None:
        """Add the fraction of a retry that one new request allows."""
        self._tokens = min(self._settings.retry_burst, self._tokens + self._settings.retry_ratio)

    def try_spend(self, now_ms: Millis) -> bool:
        """Take one retry out of the budget; return False if it has less than one."""
        elapsed_s = max(0.0, now_ms - self._refilled_ms) / 1000.0
        refill = elapsed_s * self._settings.retry_floor_per_s
        self._refilled_ms = now_ms
        self._tokens = min(self._settings.retry_burst, self._tokens + refill)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True)
class Retry:
    """Start another attempt; the failed target is avoided."""


@dataclass(frozen=True)
class GiveUp:
    """End the request with this outcome; `is_unsent` tells that no byte of it was sent."""

    outcome: Outcome
    is_unsent: bool


class AttemptFailure(NamedTuple):
    """A failed attempt; `is_unsent` is true only if no byte has reached the target."""

    is_unsent: bool
    at_ms: Millis


def decide_retry(
    request: Request, failure: AttemptFailure, budget: RetryBudget, settings: EntrySettings
) -> Retry | GiveUp:
    """Decide whether to retry after a failed attempt.

    A call that may have run is retried only if it is idempotent. A stream that has begun is resumed
    from its offset; if resuming is switched off, it ends as cut.
    """
    may_repeat = failure.is_unsent or request.is_idempotent
    may_resume = request.relayed_tokens == 0 or settings.resume_streams
    has_attempts_left = request.attempt_count < settings.attempt_limit
    has_time_left = failure.at_ms < request.deadline_ms
    if (
        may_repeat
        and may_resume
        and has_attempts_left
        and has_time_left
        and budget.try_spend(failure.at_ms)
    ):
        return Retry()
    return GiveUp(outcome_without_answer(request), not request.was_sent)


def outcome_without_answer(request: Request) -> Outcome:
    """Return the outcome of a request whose last attempt has failed.

    It is `NotRun` only if no byte of the request was sent.
    """
    if not request.was_sent:
        return NotRun(RefusalReason.TARGET_UNREACHABLE, UNREACHABLE_RETRY_MS)
    if not request.is_idempotent:
        return OutcomeUnknown(FailureReason.TARGET_FAILED)
    is_cut = request.relayed_tokens > 0
    return Failed(FailureReason.STREAM_CUT if is_cut else FailureReason.TARGET_FAILED)

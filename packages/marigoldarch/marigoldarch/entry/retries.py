"""The retry budget and the decision what to do after a failed attempt."""

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
    """A token bucket that each request fills by a fraction and each retry empties by one.

    Retries are thereby at most a fixed share of the load, also when every target fails; a small
    constant inflow lets a quiet node retry too.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._tokens = settings.retry_burst
        self._filled_ms: Millis = 0.0

    @property
    def tokens(self) -> float:
        """Return how many retries are left."""
        return self._tokens

    def deposit(self) -> None:
        """Add the share of one request."""
        self._tokens = min(self._settings.retry_burst, self._tokens + self._settings.retry_ratio)

    def take(self, now_ms: Millis) -> bool:
        """Take one retry out of the budget, if there is one."""
        elapsed_s = max(0.0, now_ms - self._filled_ms) / 1000.0
        inflow = elapsed_s * self._settings.retry_floor_per_s
        self._filled_ms = now_ms
        self._tokens = min(self._settings.retry_burst, self._tokens + inflow)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True)
class Again:
    """Try again on another target."""


@dataclass(frozen=True)
class Over:
    """End the request with this outcome; `is_unsent` tells that no attempt was ever sent."""

    outcome: Outcome
    is_unsent: bool


class Failure(NamedTuple):
    """A failed attempt; `is_unsent` holds only if no byte has reached the target."""

    is_unsent: bool
    at_ms: Millis


def decide(
    request: Request, failure: Failure, budget: RetryBudget, settings: EntrySettings
) -> Again | Over:
    """Decide what follows a failed attempt.

    A call that may have run is repeated only if it is idempotent. A stream that has begun goes on
    from its offset; where that is switched off it ends as cut.
    """
    may_repeat = failure.is_unsent or request.is_idempotent
    may_resume = request.relayed_tokens == 0 or settings.resume_streams
    has_attempts = request.attempt_count < settings.attempt_limit
    has_time = failure.at_ms < request.deadline_ms
    if may_repeat and may_resume and has_attempts and has_time and budget.take(failure.at_ms):
        return Again()
    return Over(outcome_without_answer(request), not request.is_started)


def outcome_without_answer(request: Request) -> Outcome:
    """Return the honest outcome of a request whose last attempt has failed."""
    if not request.is_started:
        return NotRun(RefusalReason.TARGET_UNREACHABLE, UNREACHABLE_RETRY_MS)
    if not request.is_idempotent:
        return OutcomeUnknown(FailureReason.TARGET_FAILED)
    is_cut = request.relayed_tokens > 0
    return Failed(FailureReason.STREAM_CUT if is_cut else FailureReason.TARGET_FAILED)

"""What follows an attempt: another one, the target's answer, a refusal or a failure.

Load pattern: targets that shed, fail or vanish while callers wait. An attempt is repeated only
where it is safe, within the route's limit and the shared budget, and while time is left.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.serving.declaration import Route

UNSENT_LIMIT = 6
"""How many targets may prove unreachable for one request before it is refused."""

MIN_ATTEMPT_TIME_MS: Millis = 20.0
"""With less time left no further attempt is made: the shortest work of the sheets takes 20 ms."""


class FailureReason(StrEnum):
    """Why an attempt gave no usable answer."""

    UNREACHABLE = "unreachable"
    RESET = "reset"
    TIMEOUT = "timeout"
    GARBLED = "garbled"
    STALLED = "stalled"
    CUT = "cut"
    NO_MEMORY = "no memory"


@dataclass(frozen=True)
class NotSent:
    """Nothing has left this node for the target."""

    reason: FailureReason


@dataclass(frozen=True)
class RefusedByTarget:
    """The target proves that it did not run the request and never will."""

    status: int
    retry_after_ms: Millis | None = None


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run; no answer has reached the caller."""

    reason: FailureReason


@dataclass(frozen=True)
class TargetFailed:
    """The target ran the request and answered with a failure of its own."""

    status: int


@dataclass(frozen=True)
class StreamBroken:
    """Part of a stream has reached the caller, up to `last_event`."""

    reason: FailureReason
    last_event: int


AttemptOutcome = NotSent | RefusedByTarget | OutcomeUnknown | TargetFailed | StreamBroken


@dataclass(frozen=True)
class TryAgain:
    """Send the request to another target."""


@dataclass(frozen=True)
class DeliverFailure:
    """Pass the target's own failure on."""


@dataclass(frozen=True)
class Refuse:
    """Answer that the request has not run and never will."""

    retry_after_ms: Millis | None


@dataclass(frozen=True)
class Fail:
    """Answer with a failure that says nothing of whether the request has run."""

    is_timeout: bool


@dataclass(frozen=True)
class CutStream:
    """End the stream so that it looks cut."""


NextStep = TryAgain | DeliverFailure | Refuse | Fail | CutStream


class Budget(NamedTuple):
    """What is left for another attempt."""

    time_left_ms: Millis
    has_retry: bool
    has_other_target: bool = True


@dataclass
class AttemptHistory:
    """The attempts of one request so far; `has_begun` once part of a stream has reached the caller."""

    route: Route
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False
    has_begun: bool = False
    failed_targets: set[str] = field(default_factory=set)

    @property
    def is_repeat(self) -> bool:
        """Return whether the next send is one beyond the first."""
        return self.sent > 0

    def record(self, target_id: str, outcome: AttemptOutcome) -> None:
        """Remember an attempt."""
        self.failed_targets.add(target_id)
        match outcome:
            case NotSent():
                self.unsent += 1
            case RefusedByTarget():
                self.sent += 1
            case OutcomeUnknown() | TargetFailed() | StreamBroken():
                self.sent += 1
                self.may_have_run = True
                self.has_begun = self.has_begun or isinstance(outcome, StreamBroken)

    def next_step(self, outcome: AttemptOutcome, budget: Budget) -> NextStep:
        """Return what follows the newest attempt, which was noted before."""
        may_send = self._may_send(budget)
        may_move = may_send and budget.has_other_target
        match outcome:
            case NotSent():
                return TryAgain() if self._may_try_unsent(budget) else self._give_up(None, budget)
            case RefusedByTarget(retry_after_ms=retry_after_ms):
                return TryAgain() if may_move else self._give_up(retry_after_ms, budget)
            case TargetFailed():
                if may_move and self.route.may_repeat:
                    return TryAgain()
                return CutStream() if self.has_begun else DeliverFailure()
            case OutcomeUnknown():
                if may_send and self.route.may_repeat:
                    return TryAgain()
                return Fail(budget.time_left_ms <= MIN_ATTEMPT_TIME_MS)
            case StreamBroken():
                return TryAgain() if may_send and self.route.may_repeat else CutStream()

    def _may_try_unsent(self, budget: Budget) -> bool:
        """Return whether another target is worth a connection; the first send needs no budget."""
        if self.unsent >= UNSENT_LIMIT or not budget.has_other_target:
            return False
        if self.sent:
            return self._may_send(budget)
        return budget.time_left_ms > MIN_ATTEMPT_TIME_MS

    def _may_send(self, budget: Budget) -> bool:
        has_attempt = self.sent < self.route.attempt_limit
        return has_attempt and budget.has_retry and budget.time_left_ms > MIN_ATTEMPT_TIME_MS

    def _give_up(self, retry_after_ms: Millis | None, budget: Budget) -> NextStep:
        if self.may_have_run:
            return Fail(budget.time_left_ms <= MIN_ATTEMPT_TIME_MS)
        return Refuse(retry_after_ms)

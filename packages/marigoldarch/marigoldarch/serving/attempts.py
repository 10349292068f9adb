"""Decides what follows an attempt: a retry, the target's own failure, a refusal or an error.

Load pattern: targets that shed load, fail or disappear while callers wait. A request is retried
only where that is safe, within the route's attempt limit and the shared retry budget, and while
time is left.

Load pattern: targets that send nothing for a second or more. Most of them go on, a few have stopped.
Another target may then try as well, under the same conditions as a retry. The attempt on the silent
target goes on meanwhile, since the other target may refuse or fail.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.serving.declaration import Route

MAX_UNSENT_ATTEMPTS = 6
"""The number of attempts that reach no target after which a request is refused."""

MIN_ATTEMPT_TIME_MS: Millis = 20.0
"""With no more time left than this, no attempt is made: the shortest requests take 20 ms."""


class FailureReason(StrEnum):
    """Why an attempt has no usable answer.

    With `RESET` the target closed the connection before any byte of a response, or reset it; with
    `CUT` it ended in the middle of a response. With `CONNECTION_LOST` the target's host has not
    answered for so long that the kernel gave the connection up.
    """

    UNREACHABLE = "unreachable"
    RESET = "reset"
    TIMEOUT = "timeout"
    GARBLED = "garbled"
    CUT = "cut"
    CONNECTION_LOST = "connection lost"
    NO_MEMORY = "no memory"
    TARGET_WAITS = "target waits"
    TARGET_LEAVES = "target leaves"
    TARGET_LIMITED = "target limited"
    TARGET_EVACUATED = "target evacuated"
    SUSPECTED_PART = "suspected part"


@dataclass(frozen=True)
class NotSent:
    """Nothing was sent to the target."""

    reason: FailureReason


@dataclass(frozen=True)
class RefusedByTarget:
    """The target has confirmed that it did not run the request and never will."""

    status: int
    retry_after_ms: Millis | None = None


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run; no part of an answer was sent to the caller."""

    reason: FailureReason


@dataclass(frozen=True)
class TargetFailed:
    """The target ran the request and answered with a server error."""

    status: int


@dataclass(frozen=True)
class StreamBroken:
    """The stream broke after the events up to `last_event` were sent to the caller."""

    reason: FailureReason
    last_event: int


AttemptOutcome = NotSent | RefusedByTarget | OutcomeUnknown | TargetFailed | StreamBroken


@dataclass(frozen=True)
class TryAgain:
    """Retry the request, on another target if there is one."""


@dataclass(frozen=True)
class DeliverFailure:
    """Forward the target's server error to the caller."""


@dataclass(frozen=True)
class Refuse:
    """Tell the caller that the request did not run and never will."""

    retry_after_ms: Millis | None


@dataclass(frozen=True)
class Fail:
    """Answer with an error that leaves open whether the request has run."""

    is_timeout: bool


@dataclass(frozen=True)
class CutStream:
    """End the caller's stream in the middle, so that it is seen as incomplete."""


@dataclass(frozen=True)
class AwaitOther:
    """Wait for another attempt of the request, which is still in progress."""


NextStep = TryAgain | DeliverFailure | Refuse | Fail | CutStream | AwaitOther


class HedgeObstacle(StrEnum):
    """Why no other target may try while a target is silent."""

    NOT_REPEATABLE = "not repeatable"
    ATTEMPT_LIMIT = "attempt limit"
    RETRY_BUDGET = "retry budget"
    NO_TIME = "no time"
    NO_OTHER_TARGET = "no other target"
    NO_ROOM = "no room"
    SUSPECTED_PART = "suspected part"


class Budget(NamedTuple):
    """What is left for another attempt.

    `has_retry` says whether the shared retry budget allows a retry, `has_other_target` whether a
    target is left that has not failed this request. With `is_suspected` targets have crashed under a part
    of the prompt, so that the request is sent only once.
    """

    time_left_ms: Millis
    has_retry: bool
    has_other_target: bool = True
    is_suspected: bool = False


@dataclass
class AttemptHistory:
    """The attempts of one request so far.

    `sent` counts those that reached a target, `unsent` those that did not. `has_begun` is set once
    part of a stream was sent to the caller.
    """

    route: Route
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False
    has_begun: bool = False
    failed_targets: set[str] = field(default_factory=set)

    @property
    def is_repeat(self) -> bool:
        """Return whether the next attempt is a retry: the request was sent before."""
        return self.sent > 0

    def record(self, target_id: str, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt.

        A target at its limit has not failed the request; it may get it later.
        """
        if outcome == NotSent(FailureReason.TARGET_LIMITED):
            return
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

    def record_superseded(self) -> None:
        """Record that an attempt was given up after another one of the request had responded."""
        self.sent += 1
        self.may_have_run = True

    def find_hedge_obstacle(self, running: int, budget: Budget) -> HedgeObstacle | None:
        """Return why no further attempt may start beside `running` ones, None if one may."""
        if not self.route.may_repeat:
            return HedgeObstacle.NOT_REPEATABLE
        if self.sent + running >= self.route.attempt_limit:
            return HedgeObstacle.ATTEMPT_LIMIT
        if budget.is_suspected:
            return HedgeObstacle.SUSPECTED_PART
        if not budget.has_retry:
            return HedgeObstacle.RETRY_BUDGET
        if budget.time_left_ms <= MIN_ATTEMPT_TIME_MS:
            return HedgeObstacle.NO_TIME
        return None if budget.has_other_target else HedgeObstacle.NO_OTHER_TARGET

    def next_step(self, outcome: AttemptOutcome, budget: Budget) -> NextStep:
        """Return what follows the newest attempt, which must have been recorded."""
        may_send_again = self._may_send_again(budget)
        may_send_elsewhere = may_send_again and budget.has_other_target
        match outcome:
            case NotSent():
                return (
                    TryAgain()
                    if self._may_connect_to_another(budget)
                    else self._refuse_or_fail(None, budget)
                )
            case RefusedByTarget(retry_after_ms=retry_after_ms):
                return (
                    TryAgain()
                    if may_send_elsewhere
                    else self._refuse_or_fail(retry_after_ms, budget)
                )
            case TargetFailed():
                if may_send_elsewhere and self.route.may_repeat:
                    return TryAgain()
                return CutStream() if self.has_begun else DeliverFailure()
            case OutcomeUnknown():
                if may_send_again and self.route.may_repeat:
                    return TryAgain()
                return Fail(budget.time_left_ms <= MIN_ATTEMPT_TIME_MS)
            case StreamBroken():
                return TryAgain() if may_send_again and self.route.may_repeat else CutStream()

    def _may_connect_to_another(self, budget: Budget) -> bool:
        """Return whether to try another target after an attempt that sent nothing.

        As long as nothing was sent to any target, this takes nothing from the retry budget.
        """
        if self.unsent >= MAX_UNSENT_ATTEMPTS or not budget.has_other_target:
            return False
        if self.sent:
            return self._may_send_again(budget)
        return budget.time_left_ms > MIN_ATTEMPT_TIME_MS

    def _may_send_again(self, budget: Budget) -> bool:
        if self.sent >= self.route.attempt_limit or budget.is_suspected:
            return False
        return budget.has_retry and budget.time_left_ms > MIN_ATTEMPT_TIME_MS

    def _refuse_or_fail(self, retry_after_ms: Millis | None, budget: Budget) -> NextStep:
        if self.may_have_run:
            return Fail(budget.time_left_ms <= MIN_ATTEMPT_TIME_MS)
        return Refuse(retry_after_ms)

"""The final outcomes of a request: answered, not run, failed or unknown.

`NotRun` may be used only if no byte of the request has reached a target, or if the replicated log
proves that the request was not run. Every other negative outcome is `Failed` or `OutcomeUnknown`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from marigoldarch.clock import Millis


class RefusalReason(StrEnum):
    """Why a request was refused without being run."""

    NO_LEASE = "no_lease"
    NO_SCHEDULER = "no_scheduler"
    NO_TARGET = "no_target"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline_cannot_be_met"
    LIMIT = "limit_exceeded"
    LIMIT_UNAVAILABLE = "limit_unavailable"
    DRAINING = "draining"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_METHOD = "unknown_method"
    FORBIDDEN_KIND = "forbidden_kind"
    PROMPT_TOO_LONG = "prompt_too_long"
    INVALID_REQUEST = "invalid_request"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    TARGET_UNREACHABLE = "target_unreachable"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    PROMPT_CRASHES_TARGETS = "prompt_crashes_targets"


class FailureReason(StrEnum):
    """Why a request that may have run has no complete answer."""

    DEADLINE = "deadline_passed"
    TARGET_FAILED = "target_failed"
    STREAM_CUT = "stream_cut"
    CALLER_GONE = "caller_gone"
    RUNNING_ELSEWHERE = "running_elsewhere"
    NOT_RECORDED = "outcome_not_recorded"
    STOPPED = "node_stopped"
    LEASE_LOST = "lease_lost"


@dataclass(frozen=True)
class Answered:
    """The whole answer was received; `body` holds that of a service call.

    `replayed` tells that it is the recorded answer of an earlier call with the same key.
    """

    body: str = ""
    output_tokens: int = 0
    replayed: bool = False


@dataclass(frozen=True)
class NotRun:
    """The request was not run, and may be sent again after `retry_after_ms`."""

    reason: RefusalReason
    retry_after_ms: Millis = 0.0


@dataclass(frozen=True)
class Failed:
    """The request has run or may have run, at least in part, and has no complete answer."""

    reason: FailureReason
    retry_after_ms: Millis = 0.0


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run; it must not be sent again under another idempotency key."""

    reason: FailureReason


Outcome = Answered | NotRun | Failed | OutcomeUnknown

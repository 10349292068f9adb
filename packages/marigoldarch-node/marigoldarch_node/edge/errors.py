"""HTTP error responses for calls that end without an answer."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from marigoldarch.outcomes import Failed, FailureReason, NotRun, OutcomeUnknown, RefusalReason

_STATUS_BY_REASON = {
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.FORBIDDEN_KIND: 403,
    RefusalReason.UNKNOWN_MODEL: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_METHOD: 404,
    RefusalReason.PROMPT_TOO_LONG: 413,
    RefusalReason.INVALID_REQUEST: 400,
    RefusalReason.IDEMPOTENCY_KEY_REQUIRED: 400,
    RefusalReason.IDEMPOTENCY_KEY_REUSED: 409,
    RefusalReason.LIMIT: 429,
    FailureReason.DEADLINE: 504,
    FailureReason.RUNNING_ELSEWHERE: 409,
}
_DEFAULT_NOT_RUN_STATUS = 503
_DEFAULT_FAILED_STATUS = 502


class ErrorResponse(NamedTuple):
    """The status, JSON body and headers of an HTTP error response."""

    status: int
    body: dict[str, Any]
    headers: dict[str, str]


def error_response(request_id: str, outcome: NotRun | Failed | OutcomeUnknown) -> ErrorResponse:
    """Return the error response for a call that ended without an answer.

    The field `run` of the body tells the caller whether a target may have run the call.
    """
    retry_after_ms = 0.0
    match outcome:
        case NotRun(retry_after_ms=retry_after_ms):
            run, default_status = "not_run", _DEFAULT_NOT_RUN_STATUS
        case Failed(retry_after_ms=retry_after_ms):
            run, default_status = "failed", _DEFAULT_FAILED_STATUS
        case OutcomeUnknown():
            run, default_status = "unknown", _DEFAULT_FAILED_STATUS
    error = {"type": str(outcome.reason), "run": run, "request_id": request_id}
    headers = {"x-request-id": request_id}
    if retry_after_ms > 0:
        error["retry_after_ms"] = retry_after_ms
        headers["retry-after"] = str(math.ceil(retry_after_ms / 1000.0))
    return ErrorResponse(
        _STATUS_BY_REASON.get(outcome.reason, default_status), {"error": error}, headers
    )

"""Proposals to the at-most-once ledger, which records non-idempotent calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.control.commands import (
    Command,
    CommandResult,
    LedgerAbandon,
    LedgerAnswered,
    LedgerFinish,
    LedgerFull,
    LedgerMismatch,
    LedgerRunning,
    LedgerStart,
    LedgerStarted,
)
from marigoldarch.entry.request import Attempt, Phase, Request
from marigoldarch.outcomes import (
    Answered,
    FailureReason,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RefusalReason,
)

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.effects import Effect
    from marigoldarch.entry.state import EntryState

LEDGER_PROPOSAL_PREFIX = "ledger/"
RECORD_TIMEOUT_MS: Millis = 60_000.0
"""How long the proposal of an answer or of an abandoned start is repeated."""


def start(state: EntryState, request: Request, attempt: Attempt, now_ms: Millis) -> list[Effect]:
    """Propose the start of the call; it may be sent only if the ledger records it as started."""
    attempt.phase = Phase.LEDGER
    call = request.call
    command = LedgerStart(
        request.customer.customer,
        call.idempotency_key,
        call.body_sha256,
        state.settings.node,
        call.request_id,
        attempt.targets[0].target,
        call.wall_ms + int(request.deadline_ms - request.began_ms),
        int(request.deadline_ms - now_ms),
    )
    step = f"start-{attempt.number}"
    return _propose(state, request, step, command, now_ms, request.deadline_ms)


def record_answer(state: EntryState, request: Request, body: str, now_ms: Millis) -> list[Effect]:
    """Propose the answer for replay to later callers; the reply does not wait for the result."""
    call = request.call
    command = LedgerFinish(request.customer.customer, call.idempotency_key, call.request_id, body)
    return _propose(state, request, "finish", command, now_ms, now_ms + RECORD_TIMEOUT_MS)


def abandon(state: EntryState, request: Request, now_ms: Millis) -> list[Effect]:
    """Propose to free the idempotency key of a call of which no byte was or will be sent."""
    call = request.call
    command = LedgerAbandon(request.customer.customer, call.idempotency_key, call.request_id)
    return _propose(state, request, "abandon", command, now_ms, now_ms + RECORD_TIMEOUT_MS)


def outcome_from_result(result: CommandResult) -> Outcome | None:
    """Return the outcome of a request by the ledger's result, None if it may be sent."""
    match result:
        case LedgerStarted():
            return None
        case LedgerAnswered(answer=answer):
            return Answered(answer, replayed=True)
        case LedgerMismatch():
            return NotRun(RefusalReason.IDEMPOTENCY_KEY_REUSED)
        case LedgerFull(retry_after_ms=retry_after_ms):
            return NotRun(RefusalReason.LEDGER_UNAVAILABLE, float(retry_after_ms))
        case LedgerRunning():
            return OutcomeUnknown(FailureReason.RUNNING_ELSEWHERE)
        case _:
            return OutcomeUnknown(FailureReason.NOT_RECORDED)


def _propose(
    state: EntryState,
    request: Request,
    step: str,
    command: Command,
    now_ms: Millis,
    expires_ms: Millis,
) -> list[Effect]:
    proposal_id = f"{LEDGER_PROPOSAL_PREFIX}{request.request_id}/{step}"
    return state.proposals.propose(proposal_id, command, state.member.leader, now_ms, expires_ms)

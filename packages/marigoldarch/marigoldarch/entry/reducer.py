"""The reducer of the entry part: handles a request from its arrival to its final outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result

from marigoldarch.control.commands import RESULTS
from marigoldarch.effects import Effect, RecordEvent, Reply
from marigoldarch.entry import attempts, ledger_proposals, limit_enforcement
from marigoldarch.entry.admission import admit
from marigoldarch.entry.ledger_proposals import LEDGER_PROPOSAL_PREFIX
from marigoldarch.entry.request import Phase, Request
from marigoldarch.entry.state import EntryState, cancel_attempts, finish
from marigoldarch.events import (
    CallArrived,
    CallerGone,
    Event,
    FirstToken,
    MessageArrived,
    TargetAnswered,
    TargetFailed,
    Tick,
)
from marigoldarch.messages import (
    LimitAnswer,
    LimitAsk,
    PermitGranted,
    PermitQueued,
    PermitRefused,
    PermitWithdrawn,
    PresentPermits,
    ProposeReply,
)
from marigoldarch.outcomes import Failed, FailureReason, NotRun, OutcomeUnknown, RefusalReason

if TYPE_CHECKING:
    from marigoldarch.clock import Millis

STOPPED_RETRY_MS: Millis = 1000.0


def reduce_entry(
    state: EntryState, event: Event, *, is_closed_to_calls: bool = False
) -> list[Effect]:
    """Apply one event and return its effects.

    With `is_closed_to_calls`, new calls are refused as draining while requests in progress go on.
    """
    match event:
        case CallArrived():
            return _on_call(state, event, is_closed_to_calls)
        case CallerGone(at_ms=now_ms, request_id=request_id):
            return _on_caller_gone(state, request_id, now_ms)
        case FirstToken():
            return attempts.on_first_token(state, event)
        case TargetAnswered():
            return attempts.on_answered(state, event)
        case TargetFailed():
            return attempts.on_target_failed(state, event)
        case MessageArrived(at_ms=now_ms):
            return _on_message(state, event, now_ms)
        case Tick(at_ms=now_ms):
            return _on_tick(state, now_ms)
    return []


def _on_call(state: EntryState, event: CallArrived, is_closed_to_calls: bool) -> list[Effect]:
    call = event.call
    if is_closed_to_calls:
        refusal = NotRun(RefusalReason.DRAINING, STOPPED_RETRY_MS)
        return _refuse_call(call.request_id, refusal)
    match admit(call, state.member, state.settings, event.at_ms):
        case Result(tag="ok", ok=request):
            return _on_admitted(state, request, event.at_ms)
        case Result(error=refusal):
            return _refuse_call(call.request_id, refusal)


def _refuse_call(request_id: str, refusal: NotRun) -> list[Effect]:
    fields = {"request": request_id, "reason": str(refusal.reason)}
    return [RecordEvent("refused", fields), Reply(request_id, refusal)]


def _on_admitted(state: EntryState, request: Request, now_ms: Millis) -> list[Effect]:
    state.requests[request.request_id] = request
    state.timers.add(request.request_id, request.deadline_ms)
    state.retry_budget.deposit()
    call = request.call
    fields = {
        "request": call.request_id,
        "customer": request.customer.customer,
        "kind": call.kind,
        "prompt_tokens": call.prompt_tokens,
    }
    effects: list[Effect] = [RecordEvent("admitted", fields)]
    if limit_enforcement.acquire(state, request, now_ms):
        return effects + attempts.begin_attempt(state, request, now_ms)
    return effects + limit_enforcement.ask_owners(state, now_ms)


def _on_message(state: EntryState, event: MessageArrived, now_ms: Millis) -> list[Effect]:
    match event.message:
        case PermitGranted() as message:
            return attempts.on_granted(state, event.sender, message, now_ms)
        case PermitQueued() as message:
            return attempts.on_queued(state, message, now_ms)
        case PermitRefused() as message:
            return attempts.on_refused(state, message, now_ms)
        case PermitWithdrawn() as message:
            return attempts.on_withdrawn(state, message, now_ms)
        case PresentPermits() as message:
            return attempts.on_listing_requested(state, message)
        case LimitAsk() as message:
            return limit_enforcement.on_ask(state, event.sender, message, now_ms)
        case LimitAnswer() as message:
            return _on_limit_answer(state, event.sender, message, now_ms)
        case ProposeReply(proposal_id=proposal_id) as message:
            if proposal_id.startswith(LEDGER_PROPOSAL_PREFIX):
                return _on_ledger_reply(state, message, now_ms)
    return []


def _on_limit_answer(
    state: EntryState, sender: str, message: LimitAnswer, now_ms: Millis
) -> list[Effect]:
    ready, effects = limit_enforcement.on_answer(state, sender, message, now_ms)
    for request in ready:
        effects += attempts.begin_attempt(state, request, now_ms)
    return effects


def _on_ledger_reply(state: EntryState, message: ProposeReply, now_ms: Millis) -> list[Effect]:
    if state.proposals.take(message.proposal_id) is None:
        return []
    _, request_id, step = message.proposal_id.split("/")
    request = state.requests.get(request_id)
    if request is None or not step.startswith("start-"):
        return []
    result = RESULTS.from_plain(message.result)
    return attempts.on_ledger_result(state, request, result, now_ms)


def _on_caller_gone(state: EntryState, request_id: str, now_ms: Millis) -> list[Effect]:
    request = state.requests.get(request_id)
    if request is None:
        return []
    is_sent = any(item.phase is not Phase.PERMIT for item in request.attempts.values())
    if not request.is_idempotent and is_sent:
        # The call may already run, so it goes on and its answer is recorded for a resend.
        return []
    return _stop(state, request, FailureReason.CALLER_GONE, now_ms)


def _on_tick(state: EntryState, now_ms: Millis) -> list[Effect]:
    effects = limit_enforcement.on_tick(state, now_ms)
    grace_ms = state.settings.entry.permit_grace_ms
    if now_ms >= state.member.lease_until_ms + grace_ms:
        for request in list(state.requests.values()):
            effects += _stop(state, request, FailureReason.LEASE_LOST, now_ms)
    state.timers.prune(state.requests, len(state.requests))
    for request_id in state.timers.take_due(now_ms):
        request = state.requests.get(request_id)
        if request is None:
            continue
        if now_ms >= request.deadline_ms:
            effects += _stop(state, request, FailureReason.DEADLINE, now_ms)
        else:
            effects += attempts.on_tick(state, request, now_ms)
    return effects + attempts.list_permits(state, now_ms)


def _stop(
    state: EntryState, request: Request, reason: FailureReason, now_ms: Millis
) -> list[Effect]:
    """End a request that has no answer; as not run only if no byte of it was sent."""
    may_have_run = request.may_have_run
    effects = cancel_attempts(state, request)
    if not may_have_run:
        if not request.is_idempotent:
            effects += ledger_proposals.abandon(state, request, now_ms)
        refusal = NotRun(RefusalReason.DEADLINE, STOPPED_RETRY_MS)
        return effects + finish(state, request, refusal)
    if request.is_idempotent:
        return effects + finish(state, request, Failed(reason))
    return effects + finish(state, request, OutcomeUnknown(reason))

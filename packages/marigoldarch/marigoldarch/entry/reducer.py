"""The reducer of the entry part: the life of a request from its arrival to its final outcome."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from expression import Result

from marigoldarch.control.commands import (
    RESULTS,
    Command,
    CommandResult,
    Done,
    LedgerAbandon,
    LedgerAnswered,
    LedgerFinish,
    LedgerFull,
    LedgerMismatch,
    LedgerRunning,
    LedgerStart,
    LedgerStarted,
    LedgerUnknown,
)
from marigoldarch.effects import CallTarget, CancelCall, Effect, Record, Reply, Send
from marigoldarch.entry.admission import admit
from marigoldarch.entry.request import Phase, Request
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
from marigoldarch.identifiers import PermitId, PoolId, TargetAddress
from marigoldarch.messages import (
    HeldPermit,
    PermitGranted,
    PermitRefused,
    PermitReleased,
    PermitRequest,
    PermitsHeld,
    PermitWithdrawn,
    ProposeReply,
)
from marigoldarch.outcomes import (
    Answered,
    Failed,
    FailureReason,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RefusalReason,
)

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.control.member import Member
    from marigoldarch.control.proposals import Proposals
    from marigoldarch.settings import CoreSettings

LEDGER_PREFIX = "ledger/"
ATTEMPT_LIMIT = 3
HOLD_INTERVAL_MS: Millis = 1000.0
ABANDON_LIMIT_MS: Millis = 30_000.0


@dataclass
class EntryState:
    """The requests in progress at this node."""

    settings: CoreSettings
    member: Member
    proposals: Proposals
    requests: dict[str, Request] = field(default_factory=dict)
    hold_due_ms: Millis = 0.0
    hold_fences: dict[PoolId, int] = field(default_factory=dict)


def reduce_entry(state: EntryState, event: Event) -> list[Effect]:
    """Reduce one event."""
    match event:
        case CallArrived():
            return _on_call(state, event)
        case CallerGone(at_ms=now_ms, request_id=request_id):
            return _on_caller_gone(state, request_id, now_ms)
        case FirstToken(request_id=request_id, attempt=attempt):
            return [Record("first_token", {"request": request_id, "attempt": attempt})]
        case TargetAnswered():
            return _on_answered(state, event)
        case TargetFailed():
            return _on_target_failed(state, event)
        case MessageArrived(at_ms=now_ms, sender=sender):
            return _on_message(state, event, sender, now_ms)
        case Tick(at_ms=now_ms):
            return _on_tick(state, now_ms)
    return []


def _on_call(state: EntryState, event: CallArrived) -> list[Effect]:
    call = event.call
    match admit(call, state.member, state.settings, event.at_ms):
        case Result(tag="error", error=refusal):
            fields = {"request": call.request_id, "reason": str(refusal.reason)}
            return [Record("refused", fields), Reply(call.request_id, refusal)]
        case Result(tag="ok", ok=request):
            state.requests[call.request_id] = request
            fields = {"request": call.request_id, "pool": str(request.pool), "kind": call.kind}
            return [Record("admitted", fields), *_ask_permit(state, request, event.at_ms)]
    return []


def _ask_permit(state: EntryState, request: Request, now_ms: Millis) -> list[Effect]:
    request.phase = Phase.PERMIT
    request.asked_ms = now_ms
    request.permit = None
    assignment = state.member.view.assignments.get(request.pool)
    if assignment is None:
        return []
    return [Send(assignment.node, PermitRequest(request.pool, request.work_item(now_ms)))]


def _release(
    state: EntryState, request: Request, *, is_target_failure: bool = False
) -> list[Effect]:
    assignment = state.member.view.assignments.get(request.pool)
    if assignment is None:
        return []
    message = PermitReleased(
        request.pool, request.request_id, request.attempt, request.permit, is_target_failure
    )
    return [Send(assignment.node, message)]


def _finish(state: EntryState, request: Request, outcome: Outcome) -> list[Effect]:
    state.requests.pop(request.request_id, None)
    fields = {"request": request.request_id, "outcome": type(outcome).__name__}
    if not isinstance(outcome, Answered):
        fields["reason"] = str(outcome.reason)
    return [Record("finished", fields), Reply(request.request_id, outcome)]


def _on_message(
    state: EntryState, event: MessageArrived, sender: str, now_ms: Millis
) -> list[Effect]:
    match event.message:
        case PermitGranted() as message:
            return _on_granted(state, sender, message, now_ms)
        case PermitRefused() as message:
            return _on_refused(state, message)
        case PermitWithdrawn() as message:
            return _on_withdrawn(state, message, now_ms)
        case ProposeReply(proposal_id=proposal_id, result=result):
            if proposal_id.startswith(LEDGER_PREFIX):
                return _on_ledger_result(state, proposal_id, RESULTS.from_plain(result), now_ms)
    return []


def _on_granted(
    state: EntryState, sender: str, message: PermitGranted, now_ms: Millis
) -> list[Effect]:
    request = state.requests.get(message.request_id)
    is_expected = (
        request is not None and request.attempt == message.attempt and request.phase is Phase.PERMIT
    )
    if not is_expected:
        if request is not None and request.permit == PermitId(*message.permit):
            return []
        released = PermitReleased(message.pool, message.request_id, message.attempt, message.permit)
        return [Send(sender, released)]
    request.permit = PermitId(*message.permit)
    request.targets = tuple(TargetAddress(*target) for target in message.targets)
    if request.is_idempotent:
        return _call_target(request)
    return _start_ledger(state, request, now_ms)


def _call_target(request: Request) -> list[Effect]:
    request.phase = Phase.TARGET
    call = CallTarget(
        request.request_id,
        request.attempt,
        request.permit,
        request.targets,
        request.deadline_ms,
        request.rank,
        request.relayed_tokens,
    )
    fields = {
        "request": request.request_id,
        "attempt": request.attempt,
        "permit": str(request.permit),
        "targets": [target.target for target in request.targets],
    }
    return [Record("attempt", fields), call]


def _on_refused(state: EntryState, message: PermitRefused) -> list[Effect]:
    request = state.requests.get(message.request_id)
    if request is None or request.attempt != message.attempt:
        return []
    if request.phase is not Phase.PERMIT:
        return []
    refusal = NotRun(RefusalReason(message.reason), message.retry_after_ms)
    return _give_up(state, request, refusal)


def _give_up(state: EntryState, request: Request, refusal: NotRun) -> list[Effect]:
    """End a request that waits for a permit: as not run only if no attempt has been sent."""
    if request.is_started:
        return _finish(state, request, Failed(FailureReason.TARGET_FAILED, refusal.retry_after_ms))
    return _finish(state, request, refusal)


def _on_withdrawn(state: EntryState, message: PermitWithdrawn, now_ms: Millis) -> list[Effect]:
    request = state.requests.get(message.request_id)
    if request is None or request.permit != PermitId(*message.permit):
        return []
    if request.phase is not Phase.TARGET or not request.is_idempotent:
        return []
    effects: list[Effect] = [CancelCall(request.request_id, request.attempt)]
    effects += _release(state, request)
    request.is_started = True
    request.attempt += 1
    return effects + _ask_permit(state, request, now_ms)


def _on_answered(state: EntryState, event: TargetAnswered) -> list[Effect]:
    request = state.requests.get(event.request_id)
    if request is None or request.attempt != event.attempt:
        return []
    effects = _release(state, request)
    if request.is_idempotent:
        answered = Answered(event.body, event.output_tokens)
        return effects + _finish(state, request, answered)
    request.phase = Phase.LEDGER_FINISH
    request.answer = event.body
    call = request.call
    command = LedgerFinish(
        request.customer.customer, call.idempotency_key, call.request_id, event.body
    )
    return effects + _propose(state, request, "finish", command, event.at_ms)


def _on_target_failed(state: EntryState, event: TargetFailed) -> list[Effect]:
    request = state.requests.get(event.request_id)
    if request is None or request.attempt != event.attempt:
        return []
    request.relayed_tokens = event.relayed_tokens
    request.avoid.add(event.target)
    effects: list[Effect] = [
        Record("attempt_failed", {"request": event.request_id, "target": event.target})
    ]
    effects += _release(state, request, is_target_failure=True)
    if not event.is_unsent:
        request.is_started = True
    may_repeat = event.is_unsent or request.is_idempotent
    if may_repeat and event.relayed_tokens == 0 and request.attempt < ATTEMPT_LIMIT:
        request.attempt += 1
        return effects + _ask_permit(state, request, event.at_ms)
    return effects + _finish_after_failure(state, request, event.at_ms)


def _finish_after_failure(state: EntryState, request: Request, now_ms: Millis) -> list[Effect]:
    if not request.is_started:
        effects = [] if request.is_idempotent else _abandon(state, request, now_ms)
        return effects + _finish(state, request, NotRun(RefusalReason.TARGET_UNREACHABLE, 1000.0))
    if not request.is_idempotent:
        return _finish(state, request, OutcomeUnknown(FailureReason.TARGET_FAILED))
    reason = FailureReason.STREAM_CUT if request.relayed_tokens else FailureReason.TARGET_FAILED
    return _finish(state, request, Failed(reason))


def _start_ledger(state: EntryState, request: Request, now_ms: Millis) -> list[Effect]:
    request.phase = Phase.LEDGER_START
    call = request.call
    command = LedgerStart(
        request.customer.customer,
        call.idempotency_key,
        call.body_sha256,
        state.settings.node,
        call.request_id,
        request.targets[0].target,
        call.wall_ms + int(request.deadline_ms - now_ms),
        int(request.deadline_ms - now_ms),
    )
    return _propose(state, request, "start", command, now_ms)


def _abandon(state: EntryState, request: Request, now_ms: Millis) -> list[Effect]:
    call = request.call
    command = LedgerAbandon(request.customer.customer, call.idempotency_key, call.request_id)
    proposal_id = f"{LEDGER_PREFIX}{call.request_id}/abandon"
    expires_ms = now_ms + ABANDON_LIMIT_MS
    return state.proposals.propose(proposal_id, command, state.member.leader, now_ms, expires_ms)


def _propose(
    state: EntryState, request: Request, step: str, command: Command, now_ms: Millis
) -> list[Effect]:
    proposal_id = f"{LEDGER_PREFIX}{request.request_id}/{step}"
    return state.proposals.propose(
        proposal_id, command, state.member.leader, now_ms, request.deadline_ms
    )


def _on_ledger_result(
    state: EntryState, proposal_id: str, result: CommandResult, now_ms: Millis
) -> list[Effect]:
    if state.proposals.take(proposal_id) is None:
        return []
    request = state.requests.get(proposal_id.split("/")[1])
    if request is None:
        return []
    match result:
        case LedgerStarted() if request.phase is Phase.LEDGER_START:
            return _call_target(request)
        case LedgerAnswered(answer=answer):
            outcome: Outcome = Answered(answer, replayed=True)
        case LedgerRunning():
            outcome = OutcomeUnknown(FailureReason.RUNNING_ELSEWHERE)
        case LedgerUnknown():
            outcome = OutcomeUnknown(FailureReason.NOT_RECORDED)
        case LedgerFull(retry_after_ms=retry_after_ms):
            outcome = NotRun(RefusalReason.LEDGER_UNAVAILABLE, float(retry_after_ms))
        case LedgerMismatch():
            outcome = NotRun(RefusalReason.IDEMPOTENCY_KEY_REUSED)
        case Done() if request.phase is Phase.LEDGER_FINISH:
            return _finish(state, request, Answered(request.answer))
        case _:
            return []
    return _release(state, request) + _finish(state, request, outcome)


def _on_caller_gone(state: EntryState, request_id: str, now_ms: Millis) -> list[Effect]:
    request = state.requests.get(request_id)
    if request is None:
        return []
    if not request.is_idempotent and request.phase is not Phase.PERMIT:
        # The call may already run: its answer is still recorded for a resend.
        return []
    return _stop(state, request, now_ms, FailureReason.CALLER_GONE)


def _stop(
    state: EntryState, request: Request, now_ms: Millis, reason: FailureReason
) -> list[Effect]:
    effects: list[Effect] = []
    if request.phase is Phase.TARGET:
        request.is_started = True
        effects.append(CancelCall(request.request_id, request.attempt))
    if request.phase is not Phase.LEDGER_FINISH:
        effects += _release(state, request)
    if not request.is_started:
        if request.phase is Phase.LEDGER_START:
            effects += _abandon(state, request, now_ms)
        return effects + _finish(state, request, NotRun(RefusalReason.DEADLINE, 1000.0))
    if request.is_idempotent:
        return effects + _finish(state, request, Failed(reason))
    return effects + _finish(state, request, OutcomeUnknown(reason))


def _on_tick(state: EntryState, now_ms: Millis) -> list[Effect]:
    effects: list[Effect] = []
    retry_ms = state.settings.entry.permit_retry_ms
    for request in list(state.requests.values()):
        if now_ms >= request.deadline_ms:
            effects += _stop(state, request, now_ms, FailureReason.DEADLINE)
        elif request.phase is Phase.PERMIT and now_ms >= request.asked_ms + retry_ms:
            effects += _ask_permit(state, request, now_ms)
    return effects + _present_permits(state, now_ms)


def _present_permits(state: EntryState, now_ms: Millis) -> list[Effect]:
    """Renew the permits of each pool, at once when its scheduler is a new one."""
    held: dict[PoolId, list[HeldPermit]] = {}
    for request in state.requests.values():
        if request.permit is not None and request.phase is not Phase.LEDGER_FINISH:
            permit = HeldPermit(request.permit, request.work_item(now_ms), list(request.targets))
            held.setdefault(request.pool, []).append(permit)
    is_due = now_ms >= state.hold_due_ms
    if is_due:
        state.hold_due_ms = now_ms + HOLD_INTERVAL_MS
    effects: list[Effect] = []
    for pool, permits in held.items():
        assignment = state.member.view.assignments.get(pool)
        if assignment is None:
            continue
        if is_due or state.hold_fences.get(pool) != assignment.fence:
            state.hold_fences[pool] = assignment.fence
            effects.append(Send(assignment.node, PermitsHeld(pool, assignment.fence, permits)))
    return effects

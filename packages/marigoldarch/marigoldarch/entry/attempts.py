"""Attempts: permits asked for, granted and presented, and target calls begun and ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.effects import CallTarget, CancelCall, Effect, RecordEvent, Send
from marigoldarch.entry import ledger_proposals
from marigoldarch.entry.request import Attempt, Phase, Request
from marigoldarch.entry.retries import Again, Failure, Over, decide
from marigoldarch.entry.state import drop_attempts, finish, release
from marigoldarch.identifiers import PermitId, PoolId, TargetAddress
from marigoldarch.messages import (
    HeldPermit,
    PermitGranted,
    PermitQueued,
    PermitRefused,
    PermitReleased,
    PermitRequest,
    PermitsHeld,
    PermitWithdrawn,
    PresentPermits,
)
from marigoldarch.outcomes import Answered, Failed, FailureReason, NotRun, RefusalReason

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.entry.state import EntryState
    from marigoldarch.events import FirstToken, TargetAnswered, TargetFailed

PRESENT_INTERVAL_MS: Millis = 1000.0
EMPTY_LISTINGS = 10
"""How many empty listings follow the last one with permits; a permit unlisted for longer ends."""

NO_SCHEDULER_RETRY_MS: Millis = 1000.0

_OTHER_POOL_MAY_HELP = frozenset(
    {
        RefusalReason.NO_TARGET,
        RefusalReason.QUEUE_FULL,
        RefusalReason.DEADLINE,
        RefusalReason.NO_SCHEDULER,
    }
)


def begin(state: EntryState, request: Request, now_ms: Millis) -> list[Effect]:
    """Begin an attempt in the pool that promises the shortest wait."""
    return _begin_or_refuse(
        state, request, NotRun(RefusalReason.NO_SCHEDULER, NO_SCHEDULER_RETRY_MS), now_ms
    )


def _begin_or_refuse(
    state: EntryState, request: Request, refusal: NotRun, now_ms: Millis
) -> list[Effect]:
    name = request.call.service or request.call.model
    view = state.member.view
    pool = state.pool_choice.choose(view, name, request.refused_pools, now_ms)
    if pool is None:
        return _give_up(state, request, refusal, now_ms)
    attempt = request.begin_attempt(pool, now_ms)
    return _ask(state, request, attempt, now_ms)


def _ask(state: EntryState, request: Request, attempt: Attempt, now_ms: Millis) -> list[Effect]:
    attempt.asked_ms = now_ms
    state.agenda.add(request.request_id, now_ms + _retry_interval_ms(state, attempt))
    node = state.scheduler_of(attempt.pool)
    if node is None:
        return []
    return [Send(node, PermitRequest(attempt.pool, request.work_item(attempt, now_ms)))]


def _give_up(state: EntryState, request: Request, refusal: NotRun, now_ms: Millis) -> list[Effect]:
    """End a request without another attempt: as not run only if none has been sent."""
    if request.attempts:
        return []
    if request.is_started:
        reason = FailureReason.TARGET_FAILED
        return finish(state, request, Failed(reason, refusal.retry_after_ms))
    effects = [] if request.is_idempotent else ledger_proposals.abandon(state, request, now_ms)
    return effects + finish(state, request, refusal)


def on_granted(
    state: EntryState, sender: str, message: PermitGranted, now_ms: Millis
) -> list[Effect]:
    """Use a grant that is expected, fresh and of the present scheduler; give others back."""
    pool = PoolId(*message.pool)
    permit = PermitId(*message.permit)
    request = state.requests.get(message.request_id)
    attempt = request.attempts.get(message.attempt) if request else None
    if attempt is None:
        released = PermitReleased(pool, message.request_id, message.attempt, permit)
        return [Send(sender, released)]
    if attempt.phase is not Phase.PERMIT or not _is_usable(state, message, permit, now_ms):
        return []
    attempt.permit = permit
    attempt.targets = tuple(TargetAddress(*target) for target in message.targets)
    attempt.priority = message.priority
    if request.is_idempotent:
        return _call_target(state, request, attempt, now_ms)
    return ledger_proposals.start(state, request, attempt, now_ms)


def _is_usable(state: EntryState, message: PermitGranted, permit: PermitId, now_ms: Millis) -> bool:
    if not state.member.has_lease(now_ms):
        return False
    if message.asked_ms and now_ms > message.asked_ms + state.settings.entry.grant_fresh_ms:
        return False
    assignment = state.member.view.assignments.get(PoolId(*message.pool))
    return assignment is None or permit.epoch >= assignment.fence


def _call_target(
    state: EntryState, request: Request, attempt: Attempt, now_ms: Millis
) -> list[Effect]:
    attempt.phase = Phase.TARGET
    attempt.called_ms = now_ms
    if _is_lookup(request):
        state.agenda.add(request.request_id, now_ms + state.settings.entry.hedge_after_ms)
    call = CallTarget(
        request.request_id,
        attempt.number,
        attempt.permit,
        attempt.targets,
        request.deadline_ms,
        request.rank if attempt.priority is None else attempt.priority,
        request.relayed_tokens,
    )
    fields = {
        "request": request.request_id,
        "attempt": attempt.number,
        "permit": str(attempt.permit),
        "targets": [target.target for target in attempt.targets],
    }
    return [RecordEvent("attempt", fields), call]


def on_ledger_result(
    state: EntryState, request: Request, result: object, now_ms: Millis
) -> list[Effect]:
    """Send the call if the ledger allows it; otherwise end the request as the ledger says."""
    waiting = [item for item in request.attempts.values() if item.phase is Phase.LEDGER]
    if not waiting:
        return []
    outcome = ledger_proposals.outcome_of(result)
    if outcome is None:
        return _call_target(state, request, waiting[0], now_ms)
    return drop_attempts(state, request) + finish(state, request, outcome)


def on_queued(state: EntryState, message: PermitQueued, now_ms: Millis) -> list[Effect]:
    """Ask less often while the scheduler holds the request in its queue."""
    state.pool_choice.learn(PoolId(*message.pool), message.wait_estimate_ms, now_ms)
    request = state.requests.get(message.request_id)
    attempt = request.attempts.get(message.attempt) if request else None
    if attempt is not None:
        attempt.is_queued = True
    return []


def on_refused(state: EntryState, message: PermitRefused, now_ms: Millis) -> list[Effect]:
    """Try another pool where that may help; otherwise pass the refusal on."""
    pool = PoolId(*message.pool)
    request = state.requests.get(message.request_id)
    attempt = request.attempts.get(message.attempt) if request else None
    if attempt is None or attempt.phase is not Phase.PERMIT:
        return []
    del request.attempts[message.attempt]
    reason = RefusalReason(message.reason)
    state.pool_choice.learn(pool, message.retry_after_ms, now_ms)
    refusal = NotRun(reason, message.retry_after_ms)
    if reason not in _OTHER_POOL_MAY_HELP:
        return _give_up(state, request, refusal, now_ms)
    request.refused_pools.add(pool)
    return _begin_or_refuse(state, request, refusal, now_ms)


def on_withdrawn(state: EntryState, message: PermitWithdrawn, now_ms: Millis) -> list[Effect]:
    """Cancel an attempt whose permit was taken back, and ask again."""
    request = state.requests.get(message.request_id)
    attempt = request.attempts.get(message.attempt) if request else None
    if attempt is None or attempt.permit != PermitId(*message.permit):
        return []
    if attempt.phase is not Phase.TARGET or not request.is_idempotent:
        return []
    del request.attempts[attempt.number]
    request.is_started = True
    effects: list[Effect] = [CancelCall(request.request_id, attempt.number)]
    effects += release(state, request, attempt)
    return effects + begin(state, request, now_ms)


def on_first_token(state: EntryState, event: FirstToken) -> list[Effect]:
    """Note how long the target took to begin its answer."""
    request = state.requests.get(event.request_id)
    attempt = request.attempts.get(event.attempt) if request else None
    if attempt is not None:
        attempt.first_token_ms = event.at_ms - attempt.called_ms
    return [RecordEvent("first_token", {"request": event.request_id, "attempt": event.attempt})]


def on_answered(state: EntryState, event: TargetAnswered) -> list[Effect]:
    """Give the caller the answer; the other attempts of a hedged lookup end here."""
    request = state.requests.get(event.request_id)
    attempt = request.attempts.pop(event.attempt, None) if request else None
    if attempt is None:
        return []
    effects = release(state, request, attempt, output_tokens=event.output_tokens)
    effects += drop_attempts(state, request)
    if not request.is_idempotent:
        effects += ledger_proposals.record_answer(state, request, event.body, event.at_ms)
    return effects + finish(state, request, Answered(event.body, event.output_tokens))


def on_target_failed(state: EntryState, event: TargetFailed) -> list[Effect]:
    """Try again where that is safe and within the budget; otherwise end the request."""
    request = state.requests.get(event.request_id)
    attempt = request.attempts.pop(event.attempt, None) if request else None
    if attempt is None:
        return []
    request.relayed_tokens = max(request.relayed_tokens, event.relayed_tokens)
    request.avoid.add(event.target)
    request.is_started = request.is_started or not event.is_unsent
    fields = {"request": event.request_id, "attempt": event.attempt, "target": event.target}
    effects: list[Effect] = [RecordEvent("attempt_failed", fields)]
    effects += release(state, request, attempt, failed_target=event.target)
    if request.attempts:
        return effects
    failure = Failure(event.is_unsent, event.at_ms)
    match decide(request, failure, state.budget, state.settings.entry):
        case Again():
            return effects + begin(state, request, event.at_ms)
        case Over(outcome=outcome, is_unsent=is_unsent):
            if is_unsent and not request.is_idempotent:
                effects += ledger_proposals.abandon(state, request, event.at_ms)
            return effects + finish(state, request, outcome)


def on_tick(state: EntryState, request: Request, now_ms: Millis) -> list[Effect]:
    """Repeat unanswered permit requests, leave silent schedulers, and hedge slow lookups."""
    effects: list[Effect] = []
    for attempt in list(request.attempts.values()):
        if attempt.phase is Phase.PERMIT:
            effects += _tick_waiting(state, request, attempt, now_ms)
        elif attempt.phase is Phase.TARGET:
            effects += _hedge(state, request, attempt, now_ms)
    return effects


def _tick_waiting(
    state: EntryState, request: Request, attempt: Attempt, now_ms: Millis
) -> list[Effect]:
    settings = state.settings.entry
    is_silent = not attempt.is_queued and now_ms >= (
        attempt.began_ms + settings.scheduler_timeout_ms
    )
    if is_silent and _has_other_pool(state, request, attempt):
        del request.attempts[attempt.number]
        request.refused_pools.add(attempt.pool)
        return release(state, request, attempt) + begin(state, request, now_ms)
    due_ms = attempt.asked_ms + _retry_interval_ms(state, attempt)
    if now_ms < due_ms:
        state.agenda.add(request.request_id, due_ms)
        return []
    return _ask(state, request, attempt, now_ms)


def _retry_interval_ms(state: EntryState, attempt: Attempt) -> Millis:
    settings = state.settings.entry
    return settings.queued_retry_ms if attempt.is_queued else settings.permit_retry_ms


def _is_lookup(request: Request) -> bool:
    return bool(request.call.service) and request.is_idempotent


def _has_other_pool(state: EntryState, request: Request, attempt: Attempt) -> bool:
    pools = state.member.view.pools_of(request.call.service or request.call.model)
    return any(pool != attempt.pool and pool not in request.refused_pools for pool in pools)


def _hedge(state: EntryState, request: Request, attempt: Attempt, now_ms: Millis) -> list[Effect]:
    if not _is_lookup(request) or request.is_hedged:
        return []
    if now_ms < attempt.called_ms + state.settings.entry.hedge_after_ms:
        return []
    if not state.budget.take(now_ms):
        return []
    request.is_hedged = True
    request.avoid.add(attempt.targets[0].target)
    return begin(state, request, now_ms)


def on_present(state: EntryState, message: PresentPermits) -> list[Effect]:
    """List the permits of a pool in full with the next tick."""
    state.presented.pop(PoolId(*message.pool), None)
    state.is_asked_to_present = True
    return []


def present_permits(state: EntryState, now_ms: Millis) -> list[Effect]:
    """List the live permits of each pool: at an interval, and once for each new scheduler."""
    is_due = now_ms >= state.present_due_ms or state.is_asked_to_present
    state.is_asked_to_present = False
    view = state.member.view
    if not is_due and view.revision == state.presented_revision:
        return []
    if is_due:
        state.present_due_ms = now_ms + PRESENT_INTERVAL_MS
    state.presented_revision = view.revision
    held = _attempts_with_permits(state)
    effects: list[Effect] = []
    for pool, assignment in view.assignments.items():
        is_new = state.presented.get(pool) != assignment.fence
        if is_new or (is_due and _lists_pool(state, pool, is_held=pool in held)):
            state.presented[pool] = assignment.fence
            attempts = held.get(pool, [])
            message = _held_message(pool, assignment.fence, attempts, is_new, now_ms)
            effects.append(Send(assignment.node, message))
    return effects


def _lists_pool(state: EntryState, pool: PoolId, *, is_held: bool) -> bool:
    """Return whether a listing is due: an empty one is repeated, as it ends lost permits."""
    if is_held:
        state.empty_listings[pool] = EMPTY_LISTINGS
        return True
    left = state.empty_listings.pop(pool, 0)
    if left > 1:
        state.empty_listings[pool] = left - 1
    return left > 0


def _held_message(
    pool: PoolId,
    fence: int,
    attempts: list[tuple[Request, Attempt]],
    is_new: bool,
    now_ms: Millis,
) -> PermitsHeld:
    if not is_new:
        return PermitsHeld(pool, fence, [], [attempt.permit for _, attempt in attempts])
    held = [
        HeldPermit(attempt.permit, request.work_item(attempt, now_ms), list(attempt.targets))
        for request, attempt in attempts
    ]
    return PermitsHeld(pool, fence, held)


def _attempts_with_permits(state: EntryState) -> dict[PoolId, list[tuple[Request, Attempt]]]:
    found: dict[PoolId, list[tuple[Request, Attempt]]] = {}
    for request in state.requests.values():
        for attempt in request.attempts.values():
            if attempt.permit is not None:
                found.setdefault(attempt.pool, []).append((request, attempt))
    return found

"""Attempts of requests: permit requests, target calls, retries, hedges and permit listings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.effects import CallTarget, CancelCall, Effect, RecordEvent, Send
from marigoldarch.entry import ledger_proposals
from marigoldarch.entry.request import Attempt, Phase, Request
from marigoldarch.entry.retries import AttemptFailure, GiveUp, Retry, decide_retry
from marigoldarch.entry.state import cancel_attempts, finish, release_permit
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

LISTING_INTERVAL_MS: Millis = 1000.0
EMPTY_LISTING_COUNT = 10
"""Empty listings sent after the last one with permits; the scheduler ends unlisted permits.

A permit that was not listed for longer than these take has ended, so no more are needed.
"""

NO_SCHEDULER_RETRY_MS: Millis = 1000.0
"""The `retry_after_ms` of a request that is refused because no pool can be chosen for it."""

_POOL_SPECIFIC_REFUSALS = frozenset(
    {
        RefusalReason.NO_TARGET,
        RefusalReason.QUEUE_FULL,
        RefusalReason.DEADLINE,
        RefusalReason.NO_SCHEDULER,
    }
)


def begin_attempt(state: EntryState, request: Request, now_ms: Millis) -> list[Effect]:
    """Begin an attempt in the pool with the shortest expected wait."""
    return _begin_attempt_or_refuse(
        state, request, NotRun(RefusalReason.NO_SCHEDULER, NO_SCHEDULER_RETRY_MS), now_ms
    )


def _begin_attempt_or_refuse(
    state: EntryState, request: Request, refusal: NotRun, now_ms: Millis
) -> list[Effect]:
    name = request.call.service or request.call.model
    view = state.member.view
    pool = state.pool_selector.choose(view, name, request.excluded_pools, now_ms)
    if pool is None:
        return _end_without_attempt(state, request, refusal, now_ms)
    attempt = request.begin_attempt(pool, now_ms)
    return _request_permit(state, request, attempt, now_ms)


def _request_permit(
    state: EntryState, request: Request, attempt: Attempt, now_ms: Millis
) -> list[Effect]:
    attempt.asked_ms = now_ms
    state.timers.add(request.request_id, now_ms + _retry_interval_ms(state, attempt))
    node = state.scheduler_of(attempt.pool)
    if node is None:
        return []
    return [Send(node, PermitRequest(attempt.pool, request.work_item(attempt, now_ms)))]


def _end_without_attempt(
    state: EntryState, request: Request, refusal: NotRun, now_ms: Millis
) -> list[Effect]:
    """End a request that gets no further attempt; as not run only if none was sent.

    A request with an attempt in progress goes on.
    """
    if request.attempts:
        return []
    if request.was_sent:
        reason = FailureReason.TARGET_FAILED
        return finish(state, request, Failed(reason, refusal.retry_after_ms))
    effects = [] if request.is_idempotent else ledger_proposals.abandon(state, request, now_ms)
    return effects + finish(state, request, refusal)


def on_granted(
    state: EntryState, sender: str, message: PermitGranted, now_ms: Millis
) -> list[Effect]:
    """Use a grant that is expected, recent and from the current scheduler.

    A grant for an ended attempt is released; one that is too old or from a replaced scheduler is
    ignored.
    """
    pool = PoolId(*message.pool)
    permit = PermitId(*message.permit)
    request = state.requests.get(message.request_id)
    attempt = request.attempts.get(message.attempt) if request else None
    if attempt is None:
        released = PermitReleased(pool, message.request_id, message.attempt, permit)
        return [Send(sender, released)]
    if attempt.phase is not Phase.PERMIT or not _is_grant_usable(state, message, permit, now_ms):
        return []
    attempt.permit = permit
    attempt.targets = tuple(TargetAddress(*target) for target in message.targets)
    attempt.priority = message.priority
    if request.is_idempotent:
        return _call_target(state, request, attempt, now_ms)
    return ledger_proposals.start(state, request, attempt, now_ms)


def _is_grant_usable(
    state: EntryState, message: PermitGranted, permit: PermitId, now_ms: Millis
) -> bool:
    if not state.member.has_lease(now_ms):
        return False
    if message.asked_ms and now_ms > message.asked_ms + state.settings.entry.grant_max_age_ms:
        return False
    assignment = state.member.view.assignments.get(PoolId(*message.pool))
    return assignment is None or permit.epoch >= assignment.fence


def _call_target(
    state: EntryState, request: Request, attempt: Attempt, now_ms: Millis
) -> list[Effect]:
    attempt.phase = Phase.TARGET
    attempt.call_sent_ms = now_ms
    if _is_hedgeable(request):
        state.timers.add(request.request_id, now_ms + state.settings.entry.hedge_after_ms)
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
    """Send the call if the ledger has recorded its start; otherwise end the request."""
    waiting = [item for item in request.attempts.values() if item.phase is Phase.LEDGER]
    if not waiting:
        return []
    outcome = ledger_proposals.outcome_from_result(result)
    if outcome is None:
        return _call_target(state, request, waiting[0], now_ms)
    return cancel_attempts(state, request) + finish(state, request, outcome)


def on_queued(state: EntryState, message: PermitQueued, now_ms: Millis) -> list[Effect]:
    """Store the expected wait, and repeat the permit request less often while it is queued."""
    state.pool_selector.record_wait(PoolId(*message.pool), message.wait_estimate_ms, now_ms)
    request = state.requests.get(message.request_id)
    attempt = request.attempts.get(message.attempt) if request else None
    if attempt is not None:
        attempt.is_queued = True
    return []


def on_refused(state: EntryState, message: PermitRefused, now_ms: Millis) -> list[Effect]:
    """Try another pool if the refusal is of this pool alone; otherwise end the request."""
    pool = PoolId(*message.pool)
    request = state.requests.get(message.request_id)
    attempt = request.attempts.get(message.attempt) if request else None
    if attempt is None or attempt.phase is not Phase.PERMIT:
        return []
    del request.attempts[message.attempt]
    reason = _refusal_reason(message)
    refusal = NotRun(reason, message.retry_after_ms)
    if reason is RefusalReason.PROMPT_CRASHES_TARGETS:
        # The time to come back is that of this prompt, not a wait for the pool.
        return _end_without_attempt(state, request, refusal, now_ms)
    state.pool_selector.record_wait(pool, message.retry_after_ms, now_ms)
    if reason not in _POOL_SPECIFIC_REFUSALS:
        return _end_without_attempt(state, request, refusal, now_ms)
    request.excluded_pools.add(pool)
    return _begin_attempt_or_refuse(state, request, refusal, now_ms)


def _refusal_reason(message: PermitRefused) -> RefusalReason:
    is_known = message.specific_reason in list(RefusalReason)
    return RefusalReason(message.specific_reason if is_known else message.reason)


def on_withdrawn(state: EntryState, message: PermitWithdrawn, now_ms: Millis) -> list[Effect]:
    """Cancel an idempotent call whose permit was withdrawn, and begin another attempt.

    A non-idempotent call that may have run is not repeated.
    """
    request = state.requests.get(message.request_id)
    attempt = request.attempts.get(message.attempt) if request else None
    if attempt is None or attempt.permit != PermitId(*message.permit):
        return []
    if attempt.phase is not Phase.TARGET or not request.is_idempotent:
        return []
    del request.attempts[attempt.number]
    request.was_sent = True
    effects: list[Effect] = [CancelCall(request.request_id, attempt.number)]
    effects += release_permit(state, request, attempt)
    return effects + begin_attempt(state, request, now_ms)


def on_first_token(state: EntryState, event: FirstToken) -> list[Effect]:
    """Store the time from the target call to its first token."""
    request = state.requests.get(event.request_id)
    attempt = request.attempts.get(event.attempt) if request else None
    if attempt is not None:
        attempt.first_token_ms = event.at_ms - attempt.call_sent_ms
    return [RecordEvent("first_token", {"request": event.request_id, "attempt": event.attempt})]


def on_answered(state: EntryState, event: TargetAnswered) -> list[Effect]:
    """Reply the answer to the caller, and cancel the other attempt of a hedged request."""
    request = state.requests.get(event.request_id)
    attempt = request.attempts.pop(event.attempt, None) if request else None
    if attempt is None:
        return []
    effects = release_permit(state, request, attempt, output_tokens=event.output_tokens)
    effects += cancel_attempts(state, request)
    if not request.is_idempotent:
        effects += ledger_proposals.record_answer(state, request, event.body, event.at_ms)
    return effects + finish(state, request, Answered(event.body, event.output_tokens))


def on_target_failed(state: EntryState, event: TargetFailed) -> list[Effect]:
    """Retry if that is safe and within the retry budget; otherwise end the request."""
    request = state.requests.get(event.request_id)
    attempt = request.attempts.pop(event.attempt, None) if request else None
    if attempt is None:
        return []
    request.relayed_tokens = max(request.relayed_tokens, event.relayed_tokens)
    request.avoided_targets.add(event.target)
    request.was_sent = request.was_sent or not event.is_unsent
    fields = {"request": event.request_id, "attempt": event.attempt, "target": event.target}
    effects: list[Effect] = [RecordEvent("attempt_failed", fields)]
    effects += release_permit(
        state,
        request,
        attempt,
        failed_target=event.target,
        is_connection_lost=event.is_connection_lost,
    )
    if request.attempts:
        return effects
    failure = AttemptFailure(event.is_unsent, event.at_ms)
    match decide_retry(request, failure, state.retry_budget, state.settings.entry):
        case Retry():
            return effects + begin_attempt(state, request, event.at_ms)
        case GiveUp(outcome=outcome, is_unsent=is_unsent):
            if is_unsent and not request.is_idempotent:
                effects += ledger_proposals.abandon(state, request, event.at_ms)
            return effects + finish(state, request, outcome)


def on_tick(state: EntryState, request: Request, now_ms: Millis) -> list[Effect]:
    """Repeat permit requests, change the pool if its scheduler is silent, and hedge slow calls."""
    effects: list[Effect] = []
    for attempt in list(request.attempts.values()):
        if attempt.phase is Phase.PERMIT:
            effects += _retry_permit_request(state, request, attempt, now_ms)
        elif attempt.phase is Phase.TARGET:
            effects += _hedge_if_slow(state, request, attempt, now_ms)
    return effects


def _retry_permit_request(
    state: EntryState, request: Request, attempt: Attempt, now_ms: Millis
) -> list[Effect]:
    settings = state.settings.entry
    is_scheduler_silent = not attempt.is_queued and now_ms >= (
        attempt.began_ms + settings.scheduler_timeout_ms
    )
    if is_scheduler_silent and _has_other_pool(state, request, attempt):
        del request.attempts[attempt.number]
        request.excluded_pools.add(attempt.pool)
        return release_permit(state, request, attempt) + begin_attempt(state, request, now_ms)
    due_ms = attempt.asked_ms + _retry_interval_ms(state, attempt)
    if now_ms < due_ms:
        state.timers.add(request.request_id, due_ms)
        return []
    return _request_permit(state, request, attempt, now_ms)


def _retry_interval_ms(state: EntryState, attempt: Attempt) -> Millis:
    settings = state.settings.entry
    return settings.queued_retry_ms if attempt.is_queued else settings.permit_retry_ms


def _is_hedgeable(request: Request) -> bool:
    return bool(request.call.service) and request.is_idempotent


def _has_other_pool(state: EntryState, request: Request, attempt: Attempt) -> bool:
    pools = state.member.view.pools_of(request.call.service or request.call.model)
    return any(pool != attempt.pool and pool not in request.excluded_pools for pool in pools)


def _hedge_if_slow(
    state: EntryState, request: Request, attempt: Attempt, now_ms: Millis
) -> list[Effect]:
    if not _is_hedgeable(request) or request.is_hedged:
        return []
    if now_ms < attempt.call_sent_ms + state.settings.entry.hedge_after_ms:
        return []
    if not state.retry_budget.try_spend(now_ms):
        return []
    request.is_hedged = True
    request.avoided_targets.add(attempt.targets[0].target)
    return begin_attempt(state, request, now_ms)


def on_listing_requested(state: EntryState, message: PresentPermits) -> list[Effect]:
    """Have the permits of a pool listed in full at the next tick."""
    state.listed_fences.pop(PoolId(*message.pool), None)
    state.is_full_listing_requested = True
    return []


def list_permits(state: EntryState, now_ms: Millis) -> list[Effect]:
    """Send each pool's scheduler the permits in use.

    They are sent by id at an interval, and in full once to each new scheduler or when one asks.
    """
    is_due = now_ms >= state.listing_due_ms or state.is_full_listing_requested
    state.is_full_listing_requested = False
    view = state.member.view
    if not is_due and view.revision == state.listed_revision:
        return []
    if is_due:
        state.listing_due_ms = now_ms + LISTING_INTERVAL_MS
    state.listed_revision = view.revision
    attempts_by_pool = _find_attempts_with_permits(state)
    effects: list[Effect] = []
    for pool, assignment in view.assignments.items():
        is_full = state.listed_fences.get(pool) != assignment.fence
        if is_full or (is_due and _is_listing_due(state, pool, is_held=pool in attempts_by_pool)):
            state.listed_fences[pool] = assignment.fence
            attempts = attempts_by_pool.get(pool, [])
            message = _build_listing(pool, assignment.fence, attempts, is_full, now_ms)
            effects.append(Send(assignment.node, message))
    return effects


def _is_listing_due(state: EntryState, pool: PoolId, *, is_held: bool) -> bool:
    """Return whether a pool's permits are listed in this interval.

    An empty listing is repeated some times, as the scheduler ends the permits that it lacks.
    """
    if is_held:
        state.empty_listings_left[pool] = EMPTY_LISTING_COUNT
        return True
    left = state.empty_listings_left.pop(pool, 0)
    if left > 1:
        state.empty_listings_left[pool] = left - 1
    return left > 0


def _build_listing(
    pool: PoolId,
    fence: int,
    attempts: list[tuple[Request, Attempt]],
    is_full: bool,
    now_ms: Millis,
) -> PermitsHeld:
    if not is_full:
        return PermitsHeld(pool, fence, [], [attempt.permit for _, attempt in attempts])
    held_permits = [
        HeldPermit(attempt.permit, request.work_item(attempt, now_ms), list(attempt.targets))
        for request, attempt in attempts
    ]
    return PermitsHeld(pool, fence, held_permits)


def _find_attempts_with_permits(state: EntryState) -> dict[PoolId, list[tuple[Request, Attempt]]]:
    attempts_by_pool: dict[PoolId, list[tuple[Request, Attempt]]] = {}
    for request in state.requests.values():
        for attempt in request.attempts.values():
            if attempt.permit is not None:
                attempts_by_pool.setdefault(attempt.pool, []).append((request, attempt))
    return attempts_by_pool

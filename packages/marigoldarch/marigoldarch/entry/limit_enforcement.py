"""Enforcement of limits: claims of requests, and messages between entry nodes and owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.effects import Effect, Send
from marigoldarch.entry.limit_loans import LimitNeed
from marigoldarch.entry.limit_shares import Claim
from marigoldarch.entry.limits import find_limit
from marigoldarch.entry.state import finish
from marigoldarch.messages import LimitAnswer, LimitAsk
from marigoldarch.outcomes import NotRun, RefusalReason

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.entry.request import Request
    from marigoldarch.entry.state import EntryState

UNAVAILABLE_RETRY_MS: Millis = 1000.0


def acquire(state: EntryState, request: Request, now_ms: Millis) -> bool:
    """Acquire the request's shares, or queue its claim; return whether they were acquired."""
    claim = Claim(request.request_id, request.limit_subjects, request.cost_tokens, now_ms)
    if not request.limit_subjects or _try_acquire(state, claim, now_ms):
        return True
    state.shares.wait(claim)
    return False


def ask_owners(state: EntryState, now_ms: Millis) -> list[Effect]:
    """Ask owners for the shares that waiting claims need and to renew slots that are due."""
    needs = state.shares.needs(now_ms)
    if state.shares.generation != state.owners.generation:
        state.shares.generation = state.owners.generation
        for moved in state.shares.reassign(state.owners.find):
            needs.setdefault(moved.subject, moved)
    by_owner: dict[str, list[LimitNeed]] = {}
    for subject, need in needs.items():
        owner = state.owners.find(subject)
        if owner is not None:
            by_owner.setdefault(owner, []).append(need)
    effects: list[Effect] = []
    for owner, owner_needs in by_owner.items():
        ask_round = state.shares.ask(owner, owner_needs, now_ms)
        if ask_round is not None:
            effects.append(Send(owner, LimitAsk(ask_round, owner_needs)))
    return effects


def on_ask(state: EntryState, sender: str, message: LimitAsk, now_ms: Millis) -> list[Effect]:
    """Lend shares of the subjects that this node owns; without a lease it lends nothing."""
    if not state.member.has_lease(now_ms):
        return []
    _update_owner_nodes(state, now_ms)
    if not state.limit_owner.is_next_round(sender, message.round, now_ms):
        return []
    view = state.member.view
    shares = [
        state.limit_owner.lend(sender, need, find_limit(view, need.subject), now_ms)
        for need in message.needs
        if state.owners.find(need.subject) == state.settings.node
    ]
    lease_ms = state.settings.entry.limit_lease_ms
    return [Send(sender, LimitAnswer(message.round, lease_ms, shares))]


def on_answer(
    state: EntryState, sender: str, message: LimitAnswer, now_ms: Millis
) -> tuple[list[Request], list[Effect]]:
    """Store lent shares; return the requests that acquired theirs, and refuse those over a limit.

    A request that waits for other owners' answers keeps waiting.
    """
    has_new_claims = state.shares.has_claims_since_ask(sender)
    waits = state.shares.take_answer(sender, message.round, message.shares, now_ms)
    ready: list[Request] = []
    effects: list[Effect] = []
    for claim in state.shares.waiting:
        request = state.requests[claim.request_id]
        if _try_acquire(state, claim, now_ms):
            ready.append(request)
            continue
        wait_ms = max((waits.get(subject, 0.0) for subject in claim.subjects), default=0.0)
        if wait_ms > 0:
            effects += finish(state, request, NotRun(RefusalReason.LIMIT, wait_ms))
    if has_new_claims:
        effects += ask_owners(state, now_ms)
    return ready, effects


def on_tick(state: EntryState, now_ms: Millis) -> list[Effect]:
    """Ask owners again, refuse claims that no owner answered in time, and drop idle state."""
    _update_owner_nodes(state, now_ms)
    effects: list[Effect] = []
    for claim in state.shares.waiting:
        if now_ms >= claim.since_ms + state.settings.entry.limit_timeout_ms:
            refusal = NotRun(RefusalReason.LIMIT_UNAVAILABLE, UNAVAILABLE_RETRY_MS)
            effects += finish(state, state.requests[claim.request_id], refusal)
    effects += ask_owners(state, now_ms)
    state.shares.drop_idle(now_ms)
    view = state.member.view
    state.limit_owner.drop_idle(lambda subject: find_limit(view, subject), now_ms)
    return effects


def _update_owner_nodes(state: EntryState, now_ms: Millis) -> None:
    if state.member.has_lease(now_ms) and state.owners.update_membership(state.member):
        state.limit_owner.set_nodes(state.owners.nodes, now_ms)


def _try_acquire(state: EntryState, claim: Claim, now_ms: Millis) -> bool:
    view = state.member.view
    limits = {subject: find_limit(view, subject) for subject in claim.subjects}
    return state.shares.try_acquire(claim, limits, now_ms)

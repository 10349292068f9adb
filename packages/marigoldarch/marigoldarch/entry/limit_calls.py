"""Claims of requests against limits, and the messages between entries and keepers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.effects import Effect, Send
from marigoldarch.entry.limit_shares import Claim
from marigoldarch.entry.limits import find_limit
from marigoldarch.entry.state import finish
from marigoldarch.messages import LimitAnswer, LimitAsk, LimitNeed
from marigoldarch.outcomes import NotRun, RefusalReason

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.entry.request import Request
    from marigoldarch.entry.state import EntryState

UNAVAILABLE_RETRY_MS: Millis = 1000.0


def claim(state: EntryState, request: Request, now_ms: Millis) -> bool:
    """Take the request's shares, or let it wait for them; return whether they were taken."""
    wanted = Claim(request.request_id, request.limits, request.cost_tokens, now_ms)
    if not request.limits or _try_take(state, wanted, now_ms):
        return True
    state.shares.wait(wanted)
    return False


def ask_keepers(state: EntryState, now_ms: Millis) -> list[Effect]:
    """Ask the keepers for what waiting claims need and for slots that are due for renewal."""
    needs = state.shares.needs(now_ms)
    if state.shares.generation != state.keepers.generation:
        state.shares.generation = state.keepers.generation
        for moved in state.shares.move(state.keepers.find):
            needs.setdefault(moved.subject, moved)
    by_keeper: dict[str, list[LimitNeed]] = {}
    for subject, need in needs.items():
        owner = state.keepers.find(subject)
        if owner is not None:
            by_keeper.setdefault(owner, []).append(need)
    effects: list[Effect] = []
    for owner, items in by_keeper.items():
        number = state.shares.ask(owner, items, now_ms)
        if number is not None:
            effects.append(Send(owner, LimitAsk(number, items)))
    return effects


def on_ask(state: EntryState, sender: str, message: LimitAsk, now_ms: Millis) -> list[Effect]:
    """Lend shares as a keeper; a node without a lease lends nothing."""
    if not state.member.has_lease(now_ms):
        return []
    _watch_nodes(state, now_ms)
    if not state.owner.is_next_round(sender, message.round, now_ms):
        return []
    view = state.member.view
    shares = [
        state.owner.lend(sender, need, find_limit(view, need.subject), now_ms)
        for need in message.needs
        if state.keepers.find(need.subject) == state.settings.node
    ]
    lease_ms = state.settings.entry.limit_lease_ms
    return [Send(sender, LimitAnswer(message.round, lease_ms, shares))]


def on_answer(
    state: EntryState, sender: str, message: LimitAnswer, now_ms: Millis
) -> tuple[list[Request], list[Effect]]:
    """Take lent shares; return the requests that may go on, and refuse those over the limit."""
    has_arrivals = state.shares.has_arrivals_since_ask(sender)
    waits = state.shares.take_answer(sender, message.round, message.shares, now_ms)
    ready: list[Request] = []
    effects: list[Effect] = []
    for waiting in state.shares.waiting:
        request = state.requests[waiting.request_id]
        if _try_take(state, waiting, now_ms):
            ready.append(request)
            continue
        wait_ms = max((waits.get(subject, 0.0) for subject in waiting.subjects), default=0.0)
        if wait_ms > 0:
            effects += finish(state, request, NotRun(RefusalReason.LIMIT, wait_ms))
    if has_arrivals:
        effects += ask_keepers(state, now_ms)
    return ready, effects


def tick(state: EntryState, now_ms: Millis) -> list[Effect]:
    """Ask again, and refuse what no keeper has answered in time."""
    _watch_nodes(state, now_ms)
    effects: list[Effect] = []
    for waiting in state.shares.waiting:
        if now_ms >= waiting.since_ms + state.settings.entry.limit_timeout_ms:
            refusal = NotRun(RefusalReason.LIMIT_UNAVAILABLE, UNAVAILABLE_RETRY_MS)
            effects += finish(state, state.requests[waiting.request_id], refusal)
    effects += ask_keepers(state, now_ms)
    state.shares.forget_idle(now_ms)
    state.owner.forget_idle(state.member.view, now_ms)
    return effects


def _watch_nodes(state: EntryState, now_ms: Millis) -> None:
    if state.member.has_lease(now_ms) and state.keepers.watch(state.member):
        state.owner.set_nodes(state.keepers.nodes, now_ms)


def _try_take(state: EntryState, wanted: Claim, now_ms: Millis) -> bool:
    view = state.member.view
    limits = {subject: find_limit(view, subject) for subject in wanted.subjects}
    return state.shares.try_acquire(wanted, limits, now_ms)

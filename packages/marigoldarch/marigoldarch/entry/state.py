"""The state of the entry part, and the effects that several of its modules share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from marigoldarch.effects import CancelCall, Effect, Record, Reply, Send
from marigoldarch.entry.agenda import Agenda
from marigoldarch.entry.keepers import Keepers
from marigoldarch.entry.limit_keeper import LimitKeeper
from marigoldarch.entry.limit_shares import LimitShares
from marigoldarch.entry.pool_choice import PoolChoice
from marigoldarch.entry.request import Attempt, Phase, Request
from marigoldarch.entry.retries import RetryBudget
from marigoldarch.identifiers import PoolId
from marigoldarch.messages import PermitReleased
from marigoldarch.outcomes import Answered, Outcome
from marigoldarch.settings import CoreSettings

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.control.member import Member
    from marigoldarch.control.proposals import Proposals


@dataclass
class EntryState:
    """The requests in progress at this node, and what admission and routing remember."""

    settings: CoreSettings
    member: Member
    proposals: Proposals
    requests: dict[str, Request] = field(default_factory=dict)
    present_due_ms: Millis = 0.0
    presented: dict[PoolId, int] = field(default_factory=dict)
    presented_revision: int = -1
    is_asked_to_present: bool = False
    empty_listings: dict[PoolId, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.agenda = Agenda()
        self.budget = RetryBudget(self.settings.entry)
        self.pool_choice = PoolChoice(self.settings.address.data_centre)
        self.shares = LimitShares(self.settings.entry)
        self.keepers = Keepers()
        self.keeper = LimitKeeper(self.settings.node, self.settings.entry)

    def scheduler_of(self, pool: PoolId) -> str | None:
        """Return the node that schedules a pool."""
        assignment = self.member.view.assignments.get(pool)
        return assignment.node if assignment else None


def release(
    state: EntryState,
    request: Request,
    attempt: Attempt,
    *,
    failed_target: str = "",
    output_tokens: int = 0,
) -> list[Effect]:
    """Give an attempt's permit back, or withdraw it from the queue."""
    node = state.scheduler_of(attempt.pool)
    if node is None:
        return []
    message = PermitReleased(
        attempt.pool,
        request.request_id,
        attempt.number,
        attempt.permit,
        bool(failed_target),
        failed_target,
        attempt.first_token_ms,
        output_tokens,
    )
    return [Send(node, message)]


def drop_attempts(state: EntryState, request: Request) -> list[Effect]:
    """Cancel and release every attempt of a request."""
    effects: list[Effect] = []
    for attempt in request.attempts.values():
        if attempt.phase is Phase.TARGET:
            request.is_started = True
            effects.append(CancelCall(request.request_id, attempt.number))
        effects += release(state, request, attempt)
    request.attempts.clear()
    return effects


def finish(state: EntryState, request: Request, outcome: Outcome) -> list[Effect]:
    """Give a request its final outcome; its attempts must have been ended."""
    if state.requests.pop(request.request_id, None) is None:
        return []
    if not state.shares.withdraw(request.request_id):
        state.shares.give_back(request.limits)
    fields = {"request": request.request_id, "outcome": type(outcome).__name__}
    if not isinstance(outcome, Answered):
        fields["reason"] = str(outcome.reason)
    return [Record("finished", fields), Reply(request.request_id, outcome)]
